//! Reads the configuration from the platform's table.
//!
//! Two serving members of each failure domain, chosen by rendezvous hashing, poll the head, so the
//! load on the platform does not grow with the number of nodes. Heartbeats carry the age of the
//! newest successful read that the sender knows of. When it exceeds
//! [`NodeSettings::head_stale_ms`](crate::identity::NodeSettings), the other members also poll, at
//! intervals that grow with their rank, in case the readers can't reach the platform.
//!
//! A reader that is a few revisions behind reads the log rows after its revision. Otherwise it scans
//! all records, which is not a snapshot. It therefore reads the head H before the scan and, after
//! it, the log from H + 1 up to at least the highest revision that the scan returned. A record
//! changed after H is in that log, any other was scanned unchanged: the result is one revision.

use super::rows::{HEAD_KEY, LoggedChange, RECORD_KEY_PREFIX, RecordRow, log_key};
use super::store::RecordChanges;
use crate::identity::NodeSettings;
use crate::key::OperationKey;
use crate::outbox::Outbox;
use crate::table::{Row, TableRequest, TableResult};

/// The number of members in a failure domain that regularly poll the head.
const READERS_PER_DOMAIN: u64 = 2;

/// The maximum number of rows in a page of a scan.
const MAX_SCAN_PAGE_ROWS: u32 = 64;

/// The number of log rows in one read; a reader that is further behind scans all records.
const MAX_LOG_ROWS_PER_READ: u64 = 64;

/// The additional age of the head per rank at which a member starts to poll, in milliseconds.
const BACKUP_DELAY_PER_RANK_MS: u64 = 100;

/// The read in progress, with the data that its result is combined with.
#[derive(Debug)]
enum PendingRead {
    Head,
    Log { after: u64, head: u64 },
    Scan { head: u64, rows: Vec<RecordRow> },
    LogAfterScan { head: u64, rows: Vec<RecordRow> },
}

/// The effect of a table result.
#[derive(Debug)]
pub enum ReadResult {
    /// The reader did not request the operation.
    NotRequested,
    /// There is nothing new, the read failed, or it continues.
    NoChanges,
    /// Records to apply to the store.
    Changes(RecordChanges),
}

impl From<Option<RecordChanges>> for ReadResult {
    fn from(changes: Option<RecordChanges>) -> Self {
        changes.map_or(Self::NoChanges, Self::Changes)
    }
}

/// Polls the head and reads records that changed.
#[derive(Debug, Default)]
pub struct TableReader {
    pending_read: Option<(OperationKey, PendingRead)>,
    head_read_sent_at_ms: u64,
    next_poll_at_ms: u64,
    head_confirmed_at_ms: u64,
    head: Option<u64>,
}

impl TableReader {
    /// Returns the age of the newest successful read of the head, by any node, known to this node.
    pub fn head_age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.head_confirmed_at_ms)
    }

    /// Returns the head revision that this node last read itself; `None` if it has not read it.
    pub fn head(&self) -> Option<u64> {
        self.head
    }

    /// Handles a peer's report of the age of the newest successful read that it knows of.
    pub fn observe_head_age(&mut self, age_ms: u64, now_ms: u64) {
        self.head_confirmed_at_ms = self.head_confirmed_at_ms.max(now_ms.saturating_sub(age_ms));
    }

    /// Reads the head now, regardless of this node's rank, unless a read is in progress.
    pub fn read_head_now(&mut self, out: &mut Outbox) {
        if self.pending_read.is_none() {
            self.read_head(out);
        }
    }

    /// Returns whether it is time for [`Self::poll`].
    pub fn is_due(&self, now_ms: u64) -> bool {
        self.pending_read.is_none() && now_ms >= self.next_poll_at_ms
    }

    /// Delays the first poll by `wait_ms`.
    pub fn delay_first_poll(&mut self, wait_ms: u64, now_ms: u64) {
        self.next_poll_at_ms = now_ms + wait_ms;
    }

    /// Reads the head if this node is one of the first of its domain by `rank`, or if the last
    /// known read is too old.
    pub fn poll(&mut self, rank: u64, settings: &NodeSettings, out: &mut Outbox) {
        let interval_ms = settings.head_every_ms;
        let Some(backup_rank) = rank.checked_sub(READERS_PER_DOMAIN) else {
            self.next_poll_at_ms = out.now_ms() + interval_ms;
            self.read_head(out);
            return;
        };
        let max_head_age_ms = settings.head_stale_ms + backup_rank * BACKUP_DELAY_PER_RANK_MS;
        if self.head_age_ms(out.now_ms()) < max_head_age_ms {
            self.next_poll_at_ms = out.now_ms() + interval_ms / 4;
            return;
        }
        self.next_poll_at_ms = out.now_ms() + interval_ms * (backup_rank + 1);
        self.read_head(out);
    }

    fn read_head(&mut self, out: &mut Outbox) {
        self.head_read_sent_at_ms = out.now_ms();
        self.read(vec![HEAD_KEY.into()], PendingRead::Head, out);
    }

    fn read(&mut self, keys: Vec<Box<str>>, read: PendingRead, out: &mut Outbox) {
        let operation = out.request_table(TableRequest::Read(keys));
        self.pending_read = Some((operation, read));
    }

    fn read_log(&mut self, after: u64, read: PendingRead, out: &mut Outbox) {
        let keys = (after + 1..=after + MAX_LOG_ROWS_PER_READ).map(log_key).collect();
        self.read(keys, read, out);
    }

    fn scan(&mut self, head: u64, rows: Vec<RecordRow>, after: Box<str>, out: &mut Outbox) {
        let request = TableRequest::Scan {
            prefix: RECORD_KEY_PREFIX.into(),
            after,
            limit: MAX_SCAN_PAGE_ROWS,
        };
        let operation = out.request_table(request);
        self.pending_read = Some((operation, PendingRead::Scan { head, rows }));
    }

    /// Handles a table result; `revision` is the one in force on this node.
    pub fn handle_result(
        &mut self,
        operation: OperationKey,
        result: &TableResult,
        revision: u64,
        out: &mut Outbox,
    ) -> ReadResult {
        let Some((_, read)) = self.pending_read.take_if(|(pending, _)| *pending == operation)
        else {
            return ReadResult::NotRequested;
        };
        let TableResult::Rows(rows) = result else {
            return ReadResult::NoChanges;
        };
        match read {
            PendingRead::Head => {
                self.handle_head(rows, revision, out);
                ReadResult::NoChanges
            }
            PendingRead::Log { after, head } => self.handle_log(after, head, rows, out).into(),
            PendingRead::Scan { head, rows: scanned } => {
                self.handle_scan(head, scanned, rows, out);
                ReadResult::NoChanges
            }
            PendingRead::LogAfterScan { head, rows: scanned } => {
                self.handle_log_after_scan(head, scanned, rows, out).into()
            }
        }
    }

    fn handle_head(&mut self, rows: &[Row], revision: u64, out: &mut Outbox) {
        self.head_confirmed_at_ms = self.head_confirmed_at_ms.max(self.head_read_sent_at_ms);
        let head = rows.first().and_then(|row| row.value.parse().ok()).unwrap_or(0);
        self.head = Some(head);
        if head <= revision {
            return;
        }
        if revision > 0 && head - revision <= MAX_LOG_ROWS_PER_READ {
            self.read_log(revision, PendingRead::Log { after: revision, head }, out);
        } else {
            self.scan(head, Vec::new(), Box::default(), out);
        }
    }

    fn handle_log(
        &mut self,
        after: u64,
        head: u64,
        rows: &[Row],
        out: &mut Outbox,
    ) -> Option<RecordChanges> {
        let (reached, records) = collect_log_records(after, rows);
        if reached == after {
            // The log no longer has the next revision, or its row can't be parsed.
            self.scan(head, Vec::new(), Box::default(), out);
            return None;
        }
        Some(RecordChanges { revision: reached, after, records })
    }

    fn handle_scan(
        &mut self,
        head: u64,
        mut scanned: Vec<RecordRow>,
        rows: &[Row],
        out: &mut Outbox,
    ) {
        scanned.extend(rows.iter().filter_map(|row| serde_json::from_str(&row.value).ok()));
        match rows.last() {
            Some(last) if rows.len() >= MAX_SCAN_PAGE_ROWS as usize => {
                self.scan(head, scanned, last.key.clone(), out);
            }
            _ => self.read_log(head, PendingRead::LogAfterScan { head, rows: scanned }, out),
        }
    }

    fn handle_log_after_scan(
        &mut self,
        head: u64,
        mut scanned: Vec<RecordRow>,
        rows: &[Row],
        out: &mut Outbox,
    ) -> Option<RecordChanges> {
        let highest = scanned.iter().map(|row| row.revision).max().unwrap_or(0).max(head);
        let (reached, records) = collect_log_records(head, rows);
        scanned.extend(records);
        if reached >= highest {
            return Some(RecordChanges { revision: reached, after: 0, records: scanned });
        }
        if reached > head {
            self.read_log(reached, PendingRead::LogAfterScan { head: reached, rows: scanned }, out);
        }
        // Otherwise the log lacks a revision that the scan returned; the next poll starts over.
        None
    }
}

/// Returns the last revision of the gapless run of log rows after `after`, and its records.
fn collect_log_records(after: u64, rows: &[Row]) -> (u64, Vec<RecordRow>) {
    let mut reached = after;
    let mut records = Vec::new();
    for row in rows {
        let Ok(change) = serde_json::from_str::<LoggedChange>(&row.value) else { break };
        if change.revision != reached + 1 {
            break;
        }
        reached = change.revision;
        let written = change.records.into_iter();
        records.extend(written.map(|record| RecordRow { revision: reached, record }));
    }
    (reached, records)
}
