//! Reads the configuration from the platform's table.
//!
//! Two members of each failure domain poll the head, chosen by rendezvous hashing over the live
//! ones, so the platform's reads grow with the failure domains and not with the nodes. Every
//! heartbeat says how old the newest successful reading is that its sender knows of. When that age
//! passes [`NodeSettings::head_stale_ms`](crate::identity::NodeSettings), others step in, by their
//! rank and at growing intervals: a reader that lives but can't reach the platform is replaced, and
//! an outage of the platform raises the attempts of a domain of n members to about 2 + ln n a poll,
//! not to n.
//!
//! A reader that is a few revisions behind reads the log rows since its own. At boot, or far behind,
//! it scans all records, which is no snapshot: changes go on while it turns the pages. It therefore
//! reads the head H before the scan and the log after it, from H + 1 up to at least the highest
//! revision that the scan met. A record changed after H stands in that log, one changed before H was
//! scanned as it stands, so the outcome is exactly one revision.

use super::rows::{HEAD_KEY, LoggedChange, RECORD_PREFIX, RecordRow, log_key};
use super::store::Changes;
use crate::identity::NodeSettings;
use crate::key::OperationKey;
use crate::outbox::Outbox;
use crate::table::{Row, TableRequest, TableResult};

/// The members of a failure domain that poll the head.
const READERS: u64 = 2;

/// The most rows read from the table at once.
const PAGE_ROWS: u32 = 64;

/// The most log rows read at once; a reader further behind scans.
const LOG_ROWS: u64 = 64;

/// How much later each further member of a domain steps in, in milliseconds.
const STEP_IN_MS: u64 = 100;

/// What a reading of the table is for.
#[derive(Debug)]
enum Reading {
    Head,
    Log { after: u64, head: u64 },
    Scan { head: u64, rows: Vec<RecordRow> },
    LogAfterScan { head: u64, rows: Vec<RecordRow> },
}

/// What a result of the table has brought.
#[derive(Debug)]
pub enum ReadResult {
    /// It is no result of this reader.
    NotMine,
    /// Nothing new, or not yet.
    Nothing,
    /// Changes that are to be applied.
    Changes(Changes),
}

impl From<Option<Changes>> for ReadResult {
    fn from(changes: Option<Changes>) -> Self {
        changes.map_or(Self::Nothing, Self::Changes)
    }
}

/// Polls the head and reads what changed.
#[derive(Debug, Default)]
pub struct Reader {
    reading: Option<(OperationKey, Reading)>,
    sent_at_ms: u64,
    next_at_ms: u64,
    confirmed_at_ms: u64,
    head: Option<u64>,
}

impl Reader {
    /// Returns the time since the newest successful reading of the head that this node knows of.
    pub fn head_age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.confirmed_at_ms)
    }

    /// Returns the head as this node has last read it itself since its start.
    pub fn head(&self) -> Option<u64> {
        self.head
    }

    /// Takes in how old the newest reading is that a peer knows of.
    pub fn hear_head_age(&mut self, age_ms: u64, now_ms: u64) {
        self.confirmed_at_ms = self.confirmed_at_ms.max(now_ms.saturating_sub(age_ms));
    }

    /// Asks for a reading at the next tick, whoever the readers are.
    pub fn hurry(&mut self, out: &mut Outbox) {
        if self.reading.is_none() {
            self.read_head(out);
        }
    }

    /// Whether the time for a reading has come; the rank is asked for only then.
    pub fn is_due(&self, now_ms: u64) -> bool {
        self.reading.is_none() && now_ms >= self.next_at_ms
    }

    /// Delays the first reading at boot by `wait_ms`.
    pub fn wait(&mut self, wait_ms: u64, now_ms: u64) {
        self.next_at_ms = now_ms + wait_ms;
    }

    /// Reads the head if this node, the `rank`-th of its domain, is to do it.
    pub fn poll(&mut self, rank: u64, settings: &NodeSettings, out: &mut Outbox) {
        let every_ms = settings.head_every_ms;
        let Some(behind) = rank.checked_sub(READERS) else {
            self.next_at_ms = out.now_ms() + every_ms;
            self.read_head(out);
            return;
        };
        let step_in_at_ms = settings.head_stale_ms + behind * STEP_IN_MS;
        if self.head_age_ms(out.now_ms()) < step_in_at_ms {
            self.next_at_ms = out.now_ms() + every_ms / 4;
            return;
        }
        self.next_at_ms = out.now_ms() + every_ms * (behind + 1);
        self.read_head(out);
    }

    fn read_head(&mut self, out: &mut Outbox) {
        self.sent_at_ms = out.now_ms();
        self.read(vec![HEAD_KEY.into()], Reading::Head, out);
    }

    fn read(&mut self, keys: Vec<Box<str>>, reading: Reading, out: &mut Outbox) {
        let operation = out.request_table(TableRequest::Read(keys));
        self.reading = Some((operation, reading));
    }

    fn read_log(&mut self, after: u64, reading: Reading, out: &mut Outbox) {
        let keys = (after + 1..=after + LOG_ROWS).map(log_key).collect();
        self.read(keys, reading, out);
    }

    fn scan(&mut self, head: u64, rows: Vec<RecordRow>, after: Box<str>, out: &mut Outbox) {
        let request = TableRequest::Scan { prefix: RECORD_PREFIX.into(), after, limit: PAGE_ROWS };
        let operation = out.request_table(request);
        self.reading = Some((operation, Reading::Scan { head, rows }));
    }

    /// Takes in a result and returns what it has brought.
    pub fn take_result(
        &mut self,
        operation: OperationKey,
        result: &TableResult,
        revision: u64,
        out: &mut Outbox,
    ) -> ReadResult {
        let Some((_, reading)) = self.reading.take_if(|(key, _)| *key == operation) else {
            return ReadResult::NotMine;
        };
        let TableResult::Rows(rows) = result else {
            return ReadResult::Nothing;
        };
        match reading {
            Reading::Head => {
                self.take_head(rows, revision, out);
                ReadResult::Nothing
            }
            Reading::Log { after, head } => self.take_log(after, head, rows, out).into(),
            Reading::Scan { head, rows: known } => {
                self.take_scan(head, known, rows, out);
                ReadResult::Nothing
            }
            Reading::LogAfterScan { head, rows: known } => {
                self.take_log_after_scan(head, known, rows, out).into()
            }
        }
    }

    fn take_head(&mut self, rows: &[Row], revision: u64, out: &mut Outbox) {
        self.confirmed_at_ms = self.confirmed_at_ms.max(self.sent_at_ms);
        let head = rows.first().and_then(|row| row.value.parse().ok()).unwrap_or(0);
        self.head = Some(head);
        if head <= revision {
            return;
        }
        if revision > 0 && head - revision <= LOG_ROWS {
            self.read_log(revision, Reading::Log { after: revision, head }, out);
        } else {
            self.scan(head, Vec::new(), Box::default(), out);
        }
    }

    fn take_log(
        &mut self,
        after: u64,
        head: u64,
        rows: &[Row],
        out: &mut Outbox,
    ) -> Option<Changes> {
        let (reached, records) = follow_log(after, rows);
        if reached == after {
            // The log does not reach back so far, or was not written.
            self.scan(head, Vec::new(), Box::default(), out);
            return None;
        }
        Some(Changes { revision: reached, after, records })
    }

    fn take_scan(&mut self, head: u64, mut known: Vec<RecordRow>, rows: &[Row], out: &mut Outbox) {
        known.extend(rows.iter().filter_map(|row| serde_json::from_str(&row.value).ok()));
        match rows.last() {
            Some(last) if rows.len() >= PAGE_ROWS as usize => {
                self.scan(head, known, last.key.clone(), out);
            }
            _ => self.read_log(head, Reading::LogAfterScan { head, rows: known }, out),
        }
    }

    fn take_log_after_scan(
        &mut self,
        head: u64,
        mut known: Vec<RecordRow>,
        rows: &[Row],
        out: &mut Outbox,
    ) -> Option<Changes> {
        let highest = known.iter().map(|row| row.revision).max().unwrap_or(0).max(head);
        let (reached, records) = follow_log(head, rows);
        known.extend(records);
        if reached >= highest {
            return Some(Changes { revision: reached, after: 0, records: known });
        }
        if reached > head {
            self.read_log(reached, Reading::LogAfterScan { head: reached, rows: known }, out);
        }
        // Else the log lacks a change that the scan met, and the next poll starts anew.
        None
    }
}

/// Returns how far log rows reach without a gap, and the records that they hold.
fn follow_log(after: u64, rows: &[Row]) -> (u64, Vec<RecordRow>) {
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
