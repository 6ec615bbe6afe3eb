//! The state machine of a change, driven by the results of its table requests.

use serde::Serialize;

use super::{ChangeOutcome, ChangeRefusal, ChangeRequest, FinishedChange};
use crate::configuration::rows::{
    HEAD_KEY, LOG_KEY_PREFIX, LoggedChange, MAX_LOGGED_CHANGES, RecordRow, log_key, record_key,
};
use crate::configuration::store::{RecordChanges, RecordStore};
use crate::key::{OperationKey, ReplyKey};
use crate::outbox::Outbox;
use crate::record::check;
use crate::table::{
    Row, RowChange, RowCondition, RowVersion, RowWrite, TableRequest, TableResult, Transaction,
};

/// The time limit of a change, in milliseconds.
const CHANGE_TIMEOUT_MS: u64 = 8_000;

/// The delay before a failed table request is retried, in milliseconds.
const RETRY_DELAY_MS: u64 = 250;

/// The number of newest log rows in which a change's identifier is searched for.
const SEARCHED_LOG_ROWS: u64 = 256;

/// The head row that a change builds on; `version` is `None` if the row does not exist.
#[derive(Debug, Clone, Copy)]
struct Head {
    revision: u64,
    version: Option<RowVersion>,
}

/// What a change waits for next.
#[derive(Debug)]
enum Step {
    /// The time at which to read the head.
    ReadHead { at_ms: u64 },
    /// The head row.
    AwaitHead,
    /// The newest log rows, to search them for the change's identifier.
    AwaitLog { head: Head },
    /// This node's copy to catch up with the head's revision.
    AwaitStore { head: Head },
    /// The result of the transaction.
    AwaitCommit { head: Head },
    /// The time at which to read the log row that resolves an unknown commit result.
    ResolveCommit { head: Head, at_ms: u64 },
    /// The log row that resolves an unknown commit result.
    AwaitResolution { head: Head },
    /// The log row of the next revision, after a conflict.
    AwaitConflictingRow { head: Head },
}

/// A change in progress.
#[derive(Debug)]
pub(super) struct Change {
    reply: ReplyKey,
    request: ChangeRequest,
    give_up_at_ms: u64,
    /// Whether the result of a sent transaction is unknown.
    commit_result_unknown: bool,
    operation: Option<OperationKey>,
    step: Step,
    /// The records of the transaction, once its result shows that it was committed.
    committed: Option<RecordChanges>,
}

impl Change {
    pub(super) fn new(reply: ReplyKey, request: ChangeRequest, now_ms: u64) -> Self {
        Self {
            reply,
            request,
            give_up_at_ms: now_ms + CHANGE_TIMEOUT_MS,
            commit_result_unknown: false,
            operation: None,
            step: Step::ReadHead { at_ms: now_ms },
            committed: None,
        }
    }

    pub(super) fn reply(&self) -> ReplyKey {
        self.reply
    }

    /// Clears the pending table request if it is the given one; returns whether it was.
    pub(super) fn clear_operation(&mut self, operation: OperationKey) -> bool {
        self.operation.take_if(|pending| *pending == operation).is_some()
    }

    pub(super) fn waits_for_store(&self) -> bool {
        matches!(self.step, Step::AwaitStore { .. })
    }

    pub(super) fn tick(&mut self, store: &RecordStore, out: &mut Outbox) -> Option<ChangeOutcome> {
        match &self.step {
            Step::ReadHead { at_ms } if *at_ms <= out.now_ms() => self.read_head(out),
            Step::ResolveCommit { head, at_ms } if *at_ms <= out.now_ms() => {
                let head = *head;
                self.read(vec![log_key(head.revision + 1)], Step::AwaitResolution { head }, out);
            }
            Step::AwaitStore { head } if store.revision() >= head.revision => {
                let head = *head;
                return self.check_and_commit(head, store, out);
            }
            _ => {}
        }
        (self.give_up_at_ms <= out.now_ms()).then(|| self.give_up(store))
    }

    fn give_up(&self, store: &RecordStore) -> ChangeOutcome {
        if self.commit_result_unknown {
            return ChangeOutcome::Unknown;
        }
        let refusal = match &self.step {
            Step::AwaitCommit { .. } => return ChangeOutcome::Unknown,
            Step::AwaitConflictingRow { head } => {
                return ChangeOutcome::Conflict { revision: head.revision + 1, other: None };
            }
            Step::AwaitStore { head } => {
                ChangeRefusal::Behind { own: store.revision(), head: head.revision }
            }
            _ => ChangeRefusal::Unavailable,
        };
        ChangeOutcome::NotAccepted { refusal }
    }

    pub(super) fn conclude(&mut self, outcome: ChangeOutcome) -> FinishedChange {
        FinishedChange { reply: self.reply, outcome, changes: self.committed.take() }
    }

    fn record_changes(&self, revision: u64) -> RecordChanges {
        let records = self.request.records.iter();
        let records = records.map(|record| RecordRow { revision, record: record.clone() });
        RecordChanges { revision, after: revision - 1, records: records.collect() }
    }

    fn read(&mut self, keys: Vec<Box<str>>, step: Step, out: &mut Outbox) {
        self.operation = Some(out.request_table(TableRequest::Read(keys)));
        self.step = step;
    }

    fn read_head(&mut self, out: &mut Outbox) {
        self.read(vec![HEAD_KEY.into()], Step::AwaitHead, out);
    }

    pub(super) fn handle_result(
        &mut self,
        result: &TableResult,
        store: &RecordStore,
        out: &mut Outbox,
    ) -> Option<ChangeOutcome> {
        let retry_at_ms = out.now_ms() + RETRY_DELAY_MS;
        let step = std::mem::replace(&mut self.step, Step::ReadHead { at_ms: retry_at_ms });
        match (step, result) {
            (Step::AwaitHead, TableResult::Rows(rows)) => {
                self.handle_head(rows, out);
                None
            }
            (Step::AwaitLog { head }, TableResult::Rows(rows)) => {
                self.handle_log(head, rows, store, out)
            }
            (Step::AwaitCommit { head }, result) => self.handle_commit(head, result, out),
            (Step::AwaitResolution { head }, TableResult::Rows(rows)) => {
                self.handle_resolution(head, rows, out)
            }
            (Step::AwaitConflictingRow { head }, TableResult::Rows(rows)) => {
                Some(self.outcome_from_log(head.revision + 1, rows))
            }
            (Step::AwaitResolution { head } | Step::AwaitConflictingRow { head }, _) => {
                self.step = Step::ResolveCommit { head, at_ms: retry_at_ms };
                None
            }
            // A read failed; start again by reading the head after a delay.
            _ => None,
        }
    }

    /// Returns the outcome from the log row of the revision that the change would have created.
    fn outcome_from_log(&self, revision: u64, rows: &[Row]) -> ChangeOutcome {
        match rows.iter().find_map(parse_logged_change) {
            Some(own) if self.is_own(&own) => ChangeOutcome::Accepted { revision: own.revision },
            other => ChangeOutcome::Conflict { revision, other },
        }
    }

    fn is_own(&self, logged: &LoggedChange) -> bool {
        logged.change_id == self.request.change_id
    }

    /// Requests the newest log rows, to search them for the change's identifier, so that a retried
    /// change is not committed twice.
    fn handle_head(&mut self, rows: &[Row], out: &mut Outbox) {
        let row = rows.first();
        let head = Head {
            revision: row.and_then(|row| row.value.parse().ok()).unwrap_or(0),
            version: row.map(|row| row.version),
        };
        let request = TableRequest::Scan {
            prefix: LOG_KEY_PREFIX.into(),
            after: log_key(head.revision.saturating_sub(SEARCHED_LOG_ROWS)),
            limit: SEARCHED_LOG_ROWS as u32,
        };
        self.operation = Some(out.request_table(request));
        self.step = Step::AwaitLog { head };
    }

    fn handle_log(
        &mut self,
        head: Head,
        rows: &[Row],
        store: &RecordStore,
        out: &mut Outbox,
    ) -> Option<ChangeOutcome> {
        let mut changes: Vec<_> = rows.iter().filter_map(parse_logged_change).collect();
        if let Some(own) = changes.iter().find(|change| self.is_own(change)) {
            return Some(ChangeOutcome::Accepted { revision: own.revision });
        }
        match self.request.expected_revision {
            Some(expected) if expected != head.revision => {
                changes.retain(|change| change.revision == expected + 1);
                Some(ChangeOutcome::Conflict { revision: head.revision, other: changes.pop() })
            }
            _ => self.await_store(head, store, out),
        }
    }

    fn await_store(
        &mut self,
        head: Head,
        store: &RecordStore,
        out: &mut Outbox,
    ) -> Option<ChangeOutcome> {
        if store.revision() >= head.revision {
            return self.check_and_commit(head, store, out);
        }
        self.step = Step::AwaitStore { head };
        None
    }

    fn check_and_commit(
        &mut self,
        head: Head,
        store: &RecordStore,
        out: &mut Outbox,
    ) -> Option<ChangeOutcome> {
        if store.revision() > head.revision {
            if self.request.expected_revision.is_some() {
                self.read(
                    vec![log_key(head.revision + 1)],
                    Step::AwaitConflictingRow { head },
                    out,
                );
            } else {
                self.read_head(out);
            }
            return None;
        }
        let in_force = store.records().map(|row| &row.record);
        let problems = check::check_change(in_force, &self.request.records);
        if !problems.is_empty() {
            let refusal = ChangeRefusal::InvalidRecords { problems };
            return Some(ChangeOutcome::NotAccepted { refusal });
        }
        self.commit(head, out);
        None
    }

    fn commit(&mut self, head: Head, out: &mut Outbox) {
        let revision = head.revision + 1;
        let condition = head.version.map_or(RowCondition::Absent, RowCondition::Version);
        let put = |key: Box<str>, condition: RowCondition, value: String| RowWrite {
            key,
            condition,
            change: RowChange::Put(value.into()),
        };
        let logged = LoggedChange {
            revision,
            change_id: self.request.change_id.clone(),
            note: self.request.note.clone(),
            node: out.identity().descriptor.name.clone(),
            written_at_ms: out.now_ms(),
            records: self.request.records.clone(),
        };
        let mut writes = vec![
            put(HEAD_KEY.into(), condition, revision.to_string()),
            put(log_key(revision), RowCondition::Any, to_json(&logged)),
        ];
        for record in &self.request.records {
            let row = RecordRow { revision, record: record.clone() };
            writes.push(put(record_key(record), RowCondition::Any, to_json(&row)));
        }
        if let Some(outdated) = revision.checked_sub(MAX_LOGGED_CHANGES) {
            writes.push(RowWrite {
                key: log_key(outdated),
                condition: RowCondition::Any,
                change: RowChange::Delete,
            });
        }
        self.operation = Some(out.request_table(TableRequest::Commit(Transaction { writes })));
        self.step = Step::AwaitCommit { head };
    }

    fn handle_commit(
        &mut self,
        head: Head,
        result: &TableResult,
        out: &mut Outbox,
    ) -> Option<ChangeOutcome> {
        match result {
            TableResult::Committed => {
                self.committed = Some(self.record_changes(head.revision + 1));
                return Some(ChangeOutcome::Accepted { revision: head.revision + 1 });
            }
            TableResult::Conflict { .. } => {
                // The log row may be this change's own, if an earlier attempt committed and its
                // response was lost.
                self.read(
                    vec![log_key(head.revision + 1)],
                    Step::AwaitConflictingRow { head },
                    out,
                );
            }
            TableResult::Unavailable => {
                self.step = Step::ResolveCommit { head, at_ms: out.now_ms() + RETRY_DELAY_MS };
            }
            TableResult::Unknown | TableResult::Rows(_) => {
                self.commit_result_unknown = true;
                self.step = Step::ResolveCommit { head, at_ms: out.now_ms() };
            }
        }
        None
    }

    fn handle_resolution(
        &mut self,
        head: Head,
        rows: &[Row],
        out: &mut Outbox,
    ) -> Option<ChangeOutcome> {
        if rows.is_empty() {
            // Sending the transaction again is safe: both attempts are conditional on the same
            // version of the head, so at most one commits.
            self.commit(head, out);
            return None;
        }
        Some(self.outcome_from_log(head.revision + 1, rows))
    }
}

fn parse_logged_change(row: &Row) -> Option<LoggedChange> {
    row.key.starts_with(LOG_KEY_PREFIX).then(|| serde_json::from_str(&row.value).ok()).flatten()
}

fn to_json<T: Serialize>(row: &T) -> String {
    serde_json::to_string(row).expect("row types should be serializable as JSON")
}
