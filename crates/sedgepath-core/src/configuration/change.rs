//! Changes of the configuration that operators ask for.
//!
//! A change is one transaction: the head, conditional on the version that was read, the records, and
//! the log row. Of all transactions conditional on the same version of the head at most one takes
//! effect, which settles everything else:
//!
//! - Racing operators: the loser gets a conflict and the winner's log row.
//! - A lost answer: the log row of the expected revision tells whose change took effect. If there is
//!   none yet, the same transaction is sent again. Should the first one still arrive, only one of
//!   the two can take effect, and both say the same.
//! - Asking again: a change whose identifier stands in the log is accepted already.
//!
//! Before the transaction is sent, the records are checked against the records in force at exactly
//! the expected revision, so what is accepted is in order as a whole, not only by itself.

use serde::{Deserialize, Serialize};

use super::rows::{
    HEAD_KEY, KEPT_CHANGES, LOG_PREFIX, LoggedChange, RecordRow, log_key, record_key,
};
use super::store::{Changes, Store};
use crate::key::{OperationKey, ReplyKey};
use crate::outbox::Outbox;
use crate::record::RawRecord;
use crate::record::check::{self, Problem};
use crate::table::{
    Change as RowChange, Condition, Row, RowVersion, RowWrite, TableRequest, TableResult,
    Transaction,
};

/// How long a change is worked on before its outcome is given, in milliseconds.
const CHANGE_LIMIT_MS: u64 = 8_000;

/// The time between two tries of a request that failed, in milliseconds.
const RETRY_MS: u64 = 250;

/// The newest changes among which an identifier is looked for when no revision is expected.
const REMEMBERED_CHANGES: u64 = 256;

/// The most text of all records of a change, in bytes: it goes to the table in one transaction.
const MAX_CHANGE_BYTES: usize = 4 * 1024 * 1024;

/// The most changes that a node works on at once.
const MAX_CHANGES: usize = 32;

/// What an operator asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// A number that the operator's command draws once and sends again when it asks again.
    pub change_id: Box<str>,
    /// The records to write.
    pub records: Vec<RawRecord>,
    /// The revision that the operator has seen; the change is refused if another one is in force.
    pub expected_revision: Option<u64>,
    /// What the operator notes about it.
    pub note: Box<str>,
}

/// What became of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum ChangeOutcome {
    /// It made this revision, which is in force everywhere within seconds and never reverts.
    Accepted {
        /// The revision.
        revision: u64,
    },
    /// Another change came first; this one did not and will not take effect.
    Conflict {
        /// The head revision as far as known.
        revision: u64,
        /// The other change, if the log has it.
        other: Option<LoggedChange>,
    },
    /// It did not and will not take effect.
    NotAccepted {
        /// Why.
        refusal: ChangeRefusal,
    },
    /// It may take effect; asking again with the same identifier tells.
    Unknown,
}

impl ChangeOutcome {
    /// Returns the outcome's name as logged.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Accepted { .. } => "accepted",
            Self::Conflict { .. } => "conflict",
            Self::NotAccepted { .. } => "not_accepted",
            Self::Unknown => "unknown",
        }
    }
}

/// Why a change was not accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case", tag = "refusal")]
pub enum ChangeRefusal {
    /// The records are not in order.
    #[error("the records are not in order")]
    Check {
        /// What is wrong, and where.
        problems: Vec<Problem>,
    },
    /// The platform's table can't be reached.
    #[error("the platform's table can't be reached")]
    Unavailable,
    /// The node could not catch up to the revision that the change builds on.
    #[error("the node is behind: it has revision {own} in force and the head is {head}")]
    Behind {
        /// The revision in force on the node.
        own: u64,
        /// The head revision.
        head: u64,
    },
    /// The node works on too many changes already.
    #[error("the node works on too many changes already")]
    Busy,
    /// The change has no records.
    #[error("the change has no records")]
    Empty,
    /// The records of the change are too long together.
    #[error(
        "the records of the change have {bytes} bytes; split it into changes of at most {most}"
    )]
    Large {
        /// Their length in bytes.
        bytes: usize,
        /// The most.
        most: usize,
    },
}

/// The head as read for a change.
#[derive(Debug, Clone, Copy)]
struct Head {
    revision: u64,
    version: Option<RowVersion>,
}

/// What a change waits for.
#[derive(Debug)]
enum Step {
    /// To be sent at a time: the read of the head.
    ReadHead { at_ms: u64 },
    /// The head and the row that an expected revision would have made.
    AwaitHead,
    /// The newest log rows, to find the change's identifier.
    AwaitLog { head: Head },
    /// That this node has the head's revision in force.
    AwaitStore { head: Head },
    /// The result of the transaction.
    AwaitCommit { head: Head },
    /// To be sent at a time: the read of the log row that settles an unknown result.
    Settle { head: Head, at_ms: u64 },
    /// That log row.
    AwaitSettle { head: Head },
    /// The log row of the change that came first.
    AwaitOther { head: Head },
}

#[derive(Debug)]
struct Change {
    reply: ReplyKey,
    request: ChangeRequest,
    give_up_at_ms: u64,
    /// Whether a transaction was sent whose result is not known.
    in_doubt: bool,
    operation: Option<OperationKey>,
    step: Step,
    /// What the transaction has put in force, if this node saw it committed.
    committed: Option<Changes>,
}

/// What became of a change, and the records that it put in force.
#[derive(Debug)]
pub struct Concluded {
    /// The operator's question.
    pub reply: ReplyKey,
    /// The outcome.
    pub outcome: ChangeOutcome,
    /// What is to be applied on this node at once.
    pub changes: Option<Changes>,
}

/// The changes that the node works on.
#[derive(Debug, Default)]
pub struct ChangeDesk {
    changes: Vec<Change>,
}

impl ChangeDesk {
    /// Takes in a request; returns its outcome if it is refused at once.
    pub fn begin(
        &mut self,
        reply: ReplyKey,
        request: ChangeRequest,
        now_ms: u64,
    ) -> Option<Concluded> {
        let bytes = request.records.iter().map(|record| record.body.len()).sum();
        let refusal = if request.records.is_empty() {
            Some(ChangeRefusal::Empty)
        } else if bytes > MAX_CHANGE_BYTES {
            Some(ChangeRefusal::Large { bytes, most: MAX_CHANGE_BYTES })
        } else if self.changes.len() >= MAX_CHANGES {
            Some(ChangeRefusal::Busy)
        } else {
            None
        };
        if let Some(refusal) = refusal {
            let outcome = ChangeOutcome::NotAccepted { refusal };
            return Some(Concluded { reply, outcome, changes: None });
        }
        self.changes.push(Change {
            reply,
            request,
            give_up_at_ms: now_ms + CHANGE_LIMIT_MS,
            in_doubt: false,
            operation: None,
            step: Step::ReadHead { at_ms: now_ms },
            committed: None,
        });
        None
    }

    /// Whether a change waits for this node to catch up.
    pub fn waits_for_store(&self) -> bool {
        self.changes.iter().any(|change| matches!(change.step, Step::AwaitStore { .. }))
    }

    /// Goes on with what is due and gives up what has taken too long.
    pub fn tick(&mut self, store: &Store, out: &mut Outbox) -> Vec<Concluded> {
        let mut concluded = Vec::new();
        for change in &mut self.changes {
            let outcome = change.tick(store, out);
            concluded.extend(outcome.map(|outcome| change.conclude(outcome)));
        }
        self.forget(&concluded);
        concluded
    }

    /// Takes in a result; returns none if it is not one of a change.
    pub fn take_result(
        &mut self,
        operation: OperationKey,
        result: &TableResult,
        store: &Store,
        out: &mut Outbox,
    ) -> Option<Vec<Concluded>> {
        let waits = |change: &&mut Change| change.operation == Some(operation);
        let change = self.changes.iter_mut().find(waits)?;
        change.operation = None;
        let outcome = change.take_result(result, store, out);
        let concluded = Vec::from_iter(outcome.map(|outcome| change.conclude(outcome)));
        self.forget(&concluded);
        Some(concluded)
    }

    fn forget(&mut self, concluded: &[Concluded]) {
        self.changes.retain(|change| concluded.iter().all(|done| done.reply != change.reply));
    }
}

impl Change {
    fn tick(&mut self, store: &Store, out: &mut Outbox) -> Option<ChangeOutcome> {
        match &self.step {
            Step::ReadHead { at_ms } if *at_ms <= out.now_ms() => self.read_head(out),
            Step::Settle { head, at_ms } if *at_ms <= out.now_ms() => {
                let head = *head;
                self.read(vec![log_key(head.revision + 1)], Step::AwaitSettle { head }, out);
            }
            Step::AwaitStore { head } if store.revision() >= head.revision => {
                let head = *head;
                return self.check_and_commit(head, store, out);
            }
            _ => {}
        }
        (self.give_up_at_ms <= out.now_ms()).then(|| self.give_up(store))
    }

    fn give_up(&self, store: &Store) -> ChangeOutcome {
        if self.in_doubt {
            return ChangeOutcome::Unknown;
        }
        let refusal = match &self.step {
            Step::AwaitCommit { .. } => return ChangeOutcome::Unknown,
            Step::AwaitOther { head } => {
                return ChangeOutcome::Conflict { revision: head.revision + 1, other: None };
            }
            Step::AwaitStore { head } => {
                ChangeRefusal::Behind { own: store.revision(), head: head.revision }
            }
            _ => ChangeRefusal::Unavailable,
        };
        ChangeOutcome::NotAccepted { refusal }
    }

    fn conclude(&mut self, outcome: ChangeOutcome) -> Concluded {
        Concluded { reply: self.reply, outcome, changes: self.committed.take() }
    }

    fn changes(&self, revision: u64) -> Changes {
        let records = self.request.records.iter();
        let records = records.map(|record| RecordRow { revision, record: record.clone() });
        Changes { revision, after: revision - 1, records: records.collect() }
    }

    fn read(&mut self, keys: Vec<Box<str>>, step: Step, out: &mut Outbox) {
        self.operation = Some(out.table(TableRequest::Read(keys)));
        self.step = step;
    }

    fn read_head(&mut self, out: &mut Outbox) {
        let mut keys = vec![HEAD_KEY.into()];
        keys.extend(self.request.expected_revision.map(|expected| log_key(expected + 1)));
        self.read(keys, Step::AwaitHead, out);
    }

    fn take_result(
        &mut self,
        result: &TableResult,
        store: &Store,
        out: &mut Outbox,
    ) -> Option<ChangeOutcome> {
        let retry_at_ms = out.now_ms() + RETRY_MS;
        let step = std::mem::replace(&mut self.step, Step::ReadHead { at_ms: retry_at_ms });
        match (step, result) {
            (Step::AwaitHead, TableResult::Rows(rows)) => self.take_head(rows, store, out),
            (Step::AwaitLog { head }, TableResult::Rows(rows)) => {
                self.take_log(head, rows, store, out)
            }
            (Step::AwaitCommit { head }, result) => self.take_commit(head, result, out),
            (Step::AwaitSettle { head }, TableResult::Rows(rows)) => {
                self.take_settle(head, rows, out)
            }
            (Step::AwaitOther { head }, TableResult::Rows(rows)) => {
                Some(self.standing(head.revision + 1, rows))
            }
            (Step::AwaitSettle { head } | Step::AwaitOther { head }, _) => {
                self.step = Step::Settle { head, at_ms: retry_at_ms };
                None
            }
            // The read failed, and is sent again after a while.
            _ => None,
        }
    }

    /// Returns the outcome that follows from the log row of the expected revision.
    fn standing(&self, revision: u64, rows: &[Row]) -> ChangeOutcome {
        match rows.iter().find_map(logged) {
            Some(own) if self.is_mine(&own) => ChangeOutcome::Accepted { revision: own.revision },
            other => ChangeOutcome::Conflict { revision, other },
        }
    }

    fn is_mine(&self, logged: &LoggedChange) -> bool {
        logged.change_id == self.request.change_id
    }

    fn take_head(
        &mut self,
        rows: &[Row],
        store: &Store,
        out: &mut Outbox,
    ) -> Option<ChangeOutcome> {
        let row = rows.iter().find(|row| &*row.key == HEAD_KEY);
        let head = Head {
            revision: row.and_then(|row| row.value.parse().ok()).unwrap_or(0),
            version: row.map(|row| row.version),
        };
        match self.request.expected_revision {
            Some(expected) if expected == head.revision => self.await_store(head, store, out),
            Some(_) => Some(self.standing(head.revision, rows)),
            None => {
                let after = log_key(head.revision.saturating_sub(REMEMBERED_CHANGES));
                let request = TableRequest::Scan {
                    prefix: LOG_PREFIX.into(),
                    after,
                    limit: REMEMBERED_CHANGES as u32,
                };
                self.operation = Some(out.table(request));
                self.step = Step::AwaitLog { head };
                None
            }
        }
    }

    fn take_log(
        &mut self,
        head: Head,
        rows: &[Row],
        store: &Store,
        out: &mut Outbox,
    ) -> Option<ChangeOutcome> {
        let own = rows.iter().filter_map(logged).find(|change| self.is_mine(change));
        if let Some(own) = own {
            return Some(ChangeOutcome::Accepted { revision: own.revision });
        }
        self.await_store(head, store, out)
    }

    fn await_store(
        &mut self,
        head: Head,
        store: &Store,
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
        store: &Store,
        out: &mut Outbox,
    ) -> Option<ChangeOutcome> {
        if store.revision() > head.revision {
            if self.request.expected_revision.is_some() {
                self.read(vec![log_key(head.revision + 1)], Step::AwaitOther { head }, out);
            } else {
                self.read_head(out);
            }
            return None;
        }
        let in_force = store.records().map(|row| &row.record);
        let problems = check::change(in_force, &self.request.records);
        if !problems.is_empty() {
            let refusal = ChangeRefusal::Check { problems };
            return Some(ChangeOutcome::NotAccepted { refusal });
        }
        self.commit(head, out);
        None
    }

    fn commit(&mut self, head: Head, out: &mut Outbox) {
        let revision = head.revision + 1;
        let condition = head.version.map_or(Condition::Absent, Condition::Version);
        let put = |key: Box<str>, condition: Condition, value: String| RowWrite {
            key,
            condition,
            change: RowChange::Put(value.into()),
        };
        let logged = LoggedChange {
            revision,
            change_id: self.request.change_id.clone(),
            note: self.request.note.clone(),
            node: out.identity().card.name.clone(),
            written_at_ms: out.now_ms(),
            records: self.request.records.clone(),
        };
        let mut writes = vec![
            put(HEAD_KEY.into(), condition, revision.to_string()),
            put(log_key(revision), Condition::Any, json(&logged)),
        ];
        for record in &self.request.records {
            let row = RecordRow { revision, record: record.clone() };
            writes.push(put(record_key(record), Condition::Any, json(&row)));
        }
        if let Some(outdated) = revision.checked_sub(KEPT_CHANGES) {
            writes.push(RowWrite {
                key: log_key(outdated),
                condition: Condition::Any,
                change: RowChange::Delete,
            });
        }
        self.operation = Some(out.table(TableRequest::Commit(Transaction { writes })));
        self.step = Step::AwaitCommit { head };
    }

    fn take_commit(
        &mut self,
        head: Head,
        result: &TableResult,
        out: &mut Outbox,
    ) -> Option<ChangeOutcome> {
        match result {
            TableResult::Committed => {
                self.committed = Some(self.changes(head.revision + 1));
                return Some(ChangeOutcome::Accepted { revision: head.revision + 1 });
            }
            TableResult::Conflict { .. } => {
                // The first row after the head that was read: another's change, or this one's own
                // if an earlier try of it took effect and its answer was lost.
                self.read(vec![log_key(head.revision + 1)], Step::AwaitOther { head }, out);
            }
            TableResult::Unavailable => {
                self.step = Step::Settle { head, at_ms: out.now_ms() + RETRY_MS };
            }
            TableResult::Unknown | TableResult::Rows(_) => {
                self.in_doubt = true;
                self.step = Step::Settle { head, at_ms: out.now_ms() };
            }
        }
        None
    }

    fn take_settle(&mut self, head: Head, rows: &[Row], out: &mut Outbox) -> Option<ChangeOutcome> {
        if rows.is_empty() {
            // None has taken effect yet. The same transaction again is safe: both are conditional
            // on the same version of the head, so that at most one of them takes effect.
            self.commit(head, out);
            return None;
        }
        Some(self.standing(head.revision + 1, rows))
    }
}

fn logged(row: &Row) -> Option<LoggedChange> {
    row.key.starts_with(LOG_PREFIX).then(|| serde_json::from_str(&row.value).ok()).flatten()
}

fn json<T: Serialize>(row: &T) -> String {
    serde_json::to_string(row).expect("rows hold text and numbers only")
}
