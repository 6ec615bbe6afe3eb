//! Batches table requests into few transactions, since the platform limits the rate of writes.
//!
//! A transaction fails as a whole if the condition of one row does not hold. That row's requester
//! gets [`Reply::Conflict`]; the others get [`Reply::NotWritten`] and read their rows in one batch
//! before they write again. Retrying the remaining rows at once could take a transaction per
//! conflict.

use std::collections::VecDeque;

use crate::hash::{Map, Set};
use crate::key::{OperationKey, RequestKey};
use crate::outbox::Outbox;
use crate::table::{Row, RowChange, RowWrite, TableRequest, TableResult, Transaction};

/// The minimum interval between two transactions, and between two reads, of a node, in milliseconds:
/// ten nodes under load make 250 transactions a second, and the platform takes a few hundred.
const MIN_FLUSH_INTERVAL_MS: u64 = 40;

/// The maximum number of transactions, and of reads, that are in flight at once.
const MAX_REQUESTS_IN_FLIGHT: usize = 2;

/// The maximum number of rows in a transaction, and of queued reads in one read. The platform's
/// store takes 100 entries per transaction; a row with a condition and a change counts as 2.
const MAX_BATCH_ROWS: usize = 50;

/// The maximum total size of the rows in a transaction, in bytes; a larger row is sent alone.
const MAX_TRANSACTION_BYTES: usize = 256 * 1024;

/// The requester of a table operation, to which the result is returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Requester {
    /// The claim of this request.
    Claim(RequestKey),
    /// A forwarded request that reads its ticket's rows because the ticket's home can't be reached.
    Ticket(RequestKey),
    /// A row of the handover, by its index.
    Handover(usize),
}

/// The result of a table operation for one requester.
#[derive(Debug)]
pub enum Reply {
    /// The row was written.
    Written,
    /// The row was not written: its condition did not hold for the row's current value.
    Conflict(Option<Row>),
    /// The row was not written, since the condition of another row did not hold.
    NotWritten,
    /// The write was certainly not applied, or the read failed.
    Unavailable,
    /// The row may have been written or may still be written later.
    Unknown,
    /// The rows that were read.
    Rows(Vec<Row>),
}

#[derive(Debug)]
struct QueuedWrite {
    requester: Requester,
    row: RowWrite,
}

#[derive(Debug)]
struct QueuedRead {
    requester: Requester,
    keys: Vec<Box<str>>,
}

/// Batches table requests and returns their results by requester.
#[derive(Debug, Default)]
pub struct Batcher {
    writes: VecDeque<QueuedWrite>,
    reads: VecDeque<QueuedRead>,
    commits_in_flight: Map<OperationKey, Vec<QueuedWrite>>,
    reads_in_flight: Map<OperationKey, Vec<QueuedRead>>,
    next_commit_at_ms: u64,
    next_read_at_ms: u64,
}

impl Batcher {
    /// Queues a row to be written.
    pub fn write(&mut self, requester: Requester, row: RowWrite) {
        self.writes.push_back(QueuedWrite { requester, row });
    }

    /// Queues rows to be read.
    pub fn read(&mut self, requester: Requester, keys: Vec<Box<str>>) {
        self.reads.push_back(QueuedRead { requester, keys });
    }

    /// Removes a requester's writes from the queue; returns false if none was queued.
    pub fn cancel_write(&mut self, requester: Requester) -> bool {
        let before = self.writes.len();
        self.writes.retain(|write| write.requester != requester);
        self.writes.len() < before
    }

    /// Sends queued requests as far as the rate and in-flight limits allow.
    pub fn flush(&mut self, out: &mut Outbox) {
        if self.commits_in_flight.len() < MAX_REQUESTS_IN_FLIGHT
            && self.next_commit_at_ms <= out.now_ms()
            && !self.writes.is_empty()
        {
            self.next_commit_at_ms = out.now_ms() + MIN_FLUSH_INTERVAL_MS;
            self.commit(out);
        }
        if self.reads_in_flight.len() < MAX_REQUESTS_IN_FLIGHT
            && self.next_read_at_ms <= out.now_ms()
            && !self.reads.is_empty()
        {
            self.next_read_at_ms = out.now_ms() + MIN_FLUSH_INTERVAL_MS;
            let count = self.reads.len().min(MAX_BATCH_ROWS);
            let batch: Vec<_> = self.reads.drain(..count).collect();
            let keys = batch.iter().flat_map(|read| read.keys.iter().cloned());
            let operation = out.request_table(TableRequest::Read(keys.collect()));
            self.reads_in_flight.insert(operation, batch);
        }
    }

    fn commit(&mut self, out: &mut Outbox) {
        let mut batch = Vec::new();
        let mut remaining = VecDeque::new();
        let mut keys: Set<Box<str>> = Set::default();
        let mut batch_bytes = 0;
        for write in self.writes.drain(..) {
            let size_bytes = row_size_bytes(&write.row);
            let fits = batch.len() < MAX_BATCH_ROWS
                && (batch.is_empty() || batch_bytes + size_bytes <= MAX_TRANSACTION_BYTES);
            // Writes of the same row must keep their order, so they never share a transaction.
            if fits && remaining.is_empty() && keys.insert(write.row.key.clone()) {
                batch_bytes += size_bytes;
                batch.push(write);
            } else {
                remaining.push_back(write);
            }
        }
        self.writes = remaining;
        let writes = batch.iter().map(|write| write.row.clone()).collect();
        let operation = out.request_table(TableRequest::Commit(Transaction { writes }));
        self.commits_in_flight.insert(operation, batch);
    }

    /// Returns the result by requester, or `None` if the batcher did not request the operation.
    pub fn handle_result(
        &mut self,
        operation: OperationKey,
        result: &TableResult,
    ) -> Option<Vec<(Requester, Reply)>> {
        if let Some(batch) = self.commits_in_flight.remove(&operation) {
            return Some(Self::commit_replies(batch, result));
        }
        let batch = self.reads_in_flight.remove(&operation)?;
        let replies = batch.into_iter().map(|read| (read.requester, read_reply(&read, result)));
        Some(replies.collect())
    }

    fn commit_replies(batch: Vec<QueuedWrite>, result: &TableResult) -> Vec<(Requester, Reply)> {
        if let TableResult::Conflict { key, current } = result {
            let reply = |write: QueuedWrite| {
                let conflicts = write.row.key == *key;
                let conflict = || Reply::Conflict(current.clone());
                (write.requester, if conflicts { conflict() } else { Reply::NotWritten })
            };
            return batch.into_iter().map(reply).collect();
        }
        let reply = || match result {
            TableResult::Committed => Reply::Written,
            TableResult::Unavailable => Reply::Unavailable,
            _ => Reply::Unknown,
        };
        batch.into_iter().map(|write| (write.requester, reply())).collect()
    }
}

fn read_reply(read: &QueuedRead, result: &TableResult) -> Reply {
    let TableResult::Rows(rows) = result else {
        return Reply::Unavailable;
    };
    Reply::Rows(rows.iter().filter(|row| read.keys.contains(&row.key)).cloned().collect())
}

fn row_size_bytes(write: &RowWrite) -> usize {
    write.key.len()
        + match &write.change {
            RowChange::Put(value) => value.len(),
            RowChange::Check | RowChange::Delete => 0,
        }
}
