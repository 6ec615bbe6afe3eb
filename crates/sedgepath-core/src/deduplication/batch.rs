//! Requests to the table, gathered into few transactions.
//!
//! The platform takes a few hundred writes a second in all, so rows that are due at about the same
//! time share a transaction. A transaction fails as a whole on the first row whose condition does
//! not hold. That row's job hears of the conflict, and the others hear that they were left out: they
//! read their rows, which costs one reading for all of them, before they write again. To send the
//! rest at once would cost a transaction for each conflict, and many repeats at once would use up
//! what the platform takes.

use std::collections::VecDeque;

use crate::hash::{Map, Set};
use crate::key::{OperationKey, RequestKey};
use crate::outbox::Outbox;
use crate::table::{Row, RowChange, RowWrite, TableRequest, TableResult, Transaction};

/// The least time between two transactions of a node, in milliseconds: ten nodes under load then make
/// 250 a second.
const FLUSH_EVERY_MS: u64 = 40;

/// The most requests of one kind that wait for the table at once.
const MAX_IN_FLIGHT: usize = 2;

/// The most rows in one transaction or reading. The store takes a hundred entries at once, and a row
/// with a condition and a change counts as two.
const MAX_ROWS: usize = 50;

/// The most bytes of rows in one transaction; a single larger row still goes alone.
const MAX_BYTES: usize = 256 * 1024;

/// Whose request to the table it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Job {
    /// The claim of a request.
    Claim(RequestKey),
    /// The look-up of a ticket whose home is gone.
    Ticket(RequestKey),
    /// A row of the hand-over, by its place in the list.
    HandOver(usize),
}

/// What became of a job's request.
#[derive(Debug)]
pub enum Reply {
    /// The row was written.
    Written,
    /// The row was not written: its condition did not hold, and this stands there.
    Conflict(Option<Row>),
    /// The row was not written, since the condition of another row did not hold.
    LeftOut,
    /// The request was surely not carried out.
    Refused,
    /// The row may or may not be written, now or later.
    Lost,
    /// The rows that were read.
    Rows(Vec<Row>),
}

#[derive(Debug)]
struct Write {
    job: Job,
    write: RowWrite,
}

#[derive(Debug)]
struct Reading {
    job: Job,
    keys: Vec<Box<str>>,
}

/// Gathers requests to the table and hands their results back to the jobs.
#[derive(Debug, Default)]
pub struct Batcher {
    writes: VecDeque<Write>,
    readings: VecDeque<Reading>,
    commits_in_flight: Map<OperationKey, Vec<Write>>,
    readings_in_flight: Map<OperationKey, Vec<Reading>>,
    next_commit_at_ms: u64,
    next_reading_at_ms: u64,
}

impl Batcher {
    /// Queues a row to be written.
    pub fn write(&mut self, job: Job, write: RowWrite) {
        self.writes.push_back(Write { job, write });
    }

    /// Queues rows to be read.
    pub fn read(&mut self, job: Job, keys: Vec<Box<str>>) {
        self.readings.push_back(Reading { job, keys });
    }

    /// Takes a job's write back if it has not been sent; returns whether it was found.
    pub fn take_back(&mut self, job: Job) -> bool {
        let before = self.writes.len();
        self.writes.retain(|write| write.job != job);
        self.writes.len() < before
    }

    /// Sends what is due.
    pub fn flush(&mut self, out: &mut Outbox) {
        if self.commits_in_flight.len() < MAX_IN_FLIGHT
            && self.next_commit_at_ms <= out.now_ms()
            && !self.writes.is_empty()
        {
            self.next_commit_at_ms = out.now_ms() + FLUSH_EVERY_MS;
            self.commit(out);
        }
        if self.readings_in_flight.len() < MAX_IN_FLIGHT
            && self.next_reading_at_ms <= out.now_ms()
            && !self.readings.is_empty()
        {
            self.next_reading_at_ms = out.now_ms() + FLUSH_EVERY_MS;
            let count = self.readings.len().min(MAX_ROWS);
            let batch: Vec<_> = self.readings.drain(..count).collect();
            let keys = batch.iter().flat_map(|reading| reading.keys.iter().cloned());
            let operation = out.request_table(TableRequest::Read(keys.collect()));
            self.readings_in_flight.insert(operation, batch);
        }
    }

    fn commit(&mut self, out: &mut Outbox) {
        let mut batch = Vec::new();
        let mut later = VecDeque::new();
        let mut keys: Set<Box<str>> = Set::default();
        let mut bytes = 0;
        for write in self.writes.drain(..) {
            let size = size_bytes(&write.write);
            let fits = batch.len() < MAX_ROWS && (batch.is_empty() || bytes + size <= MAX_BYTES);
            // Two writes of one row need an order, so they never share a transaction.
            if fits && later.is_empty() && keys.insert(write.write.key.clone()) {
                bytes += size;
                batch.push(write);
            } else {
                later.push_back(write);
            }
        }
        self.writes = later;
        let writes = batch.iter().map(|write| write.write.clone()).collect();
        let operation = out.request_table(TableRequest::Commit(Transaction { writes }));
        self.commits_in_flight.insert(operation, batch);
    }

    /// Takes in a result; none if the request was not sent from here.
    pub fn take_result(
        &mut self,
        operation: OperationKey,
        result: &TableResult,
    ) -> Option<Vec<(Job, Reply)>> {
        if let Some(batch) = self.commits_in_flight.remove(&operation) {
            return Some(Self::committed(batch, result));
        }
        let batch = self.readings_in_flight.remove(&operation)?;
        let replies = batch.into_iter().map(|reading| (reading.job, rows_of(&reading, result)));
        Some(replies.collect())
    }

    fn committed(batch: Vec<Write>, result: &TableResult) -> Vec<(Job, Reply)> {
        if let TableResult::Conflict { key, current } = result {
            let reply = |write: Write| {
                let conflicts = write.write.key == *key;
                let conflict = || Reply::Conflict(current.clone());
                (write.job, if conflicts { conflict() } else { Reply::LeftOut })
            };
            return batch.into_iter().map(reply).collect();
        }
        let reply = || match result {
            TableResult::Committed => Reply::Written,
            TableResult::Unavailable => Reply::Refused,
            _ => Reply::Lost,
        };
        batch.into_iter().map(|write| (write.job, reply())).collect()
    }
}

fn rows_of(reading: &Reading, result: &TableResult) -> Reply {
    let TableResult::Rows(rows) = result else {
        return Reply::Refused;
    };
    Reply::Rows(rows.iter().filter(|row| reading.keys.contains(&row.key)).cloned().collect())
}

fn size_bytes(write: &RowWrite) -> usize {
    write.key.len()
        + match &write.change {
            RowChange::Put(value) => value.len(),
            RowChange::Check | RowChange::Delete => 0,
        }
}
