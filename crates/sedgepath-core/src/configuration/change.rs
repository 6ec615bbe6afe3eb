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

use super::rows::LoggedChange;
use super::store::{Changes, Store};
use crate::key::{OperationKey, ReplyKey};
use crate::outbox::Outbox;
use crate::record::RawRecord;
use crate::record::check::Problem;
use crate::table::TableResult;

mod progress;

use progress::Change;

/// The most text of all records of a change, in bytes. It goes to the store in one transaction of at
/// most 1 MB, in which each record stands twice (its own row and the log's), as base64.
const MAX_CHANGE_BYTES: usize = 350 * 1024;

/// The most records of a change: the store takes a hundred entries in a transaction, of which the
/// head's condition and value and the newest and the oldest row of the log are four.
const MAX_CHANGE_RECORDS: usize = 96;

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
    InvalidRecords {
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
    /// The change has too many records.
    #[error("the change has {records} records; split it into changes of at most {most}")]
    Many {
        /// Their number.
        records: usize,
        /// The most.
        most: usize,
    },
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
        } else if request.records.len() > MAX_CHANGE_RECORDS {
            let records = request.records.len();
            Some(ChangeRefusal::Many { records, most: MAX_CHANGE_RECORDS })
        } else if self.changes.len() >= MAX_CHANGES {
            Some(ChangeRefusal::Busy)
        } else {
            None
        };
        if let Some(refusal) = refusal {
            let outcome = ChangeOutcome::NotAccepted { refusal };
            return Some(Concluded { reply, outcome, changes: None });
        }
        self.changes.push(Change::new(reply, request, now_ms));
        None
    }

    /// Whether a change waits for this node to catch up.
    pub fn waits_for_store(&self) -> bool {
        self.changes.iter().any(Change::waits_for_store)
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
        let change = self
            .changes
            .iter_mut()
            .find_map(|change| change.take_operation(operation).then_some(change))?;
        let outcome = change.take_result(result, store, out);
        let concluded = Vec::from_iter(outcome.map(|outcome| change.conclude(outcome)));
        self.forget(&concluded);
        Some(concluded)
    }

    fn forget(&mut self, concluded: &[Concluded]) {
        self.changes.retain(|change| concluded.iter().all(|done| done.reply != change.reply()));
    }
}
