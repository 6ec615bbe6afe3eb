//! Configuration changes requested by operators.
//!
//! A change is one transaction that writes the head, conditional on the version that was read, the
//! records and a log row. At most one transaction per version of the head commits:
//!
//! - Concurrent changes: those that fail get a conflict with the log row of the committed one.
//! - Lost response: the log row of the next revision shows which change committed. If there is none,
//!   the same transaction is sent again; at most one of the two commits, with the same content.
//! - Retried request: a change whose identifier is found in the log counts as accepted.
//!
//! Before the transaction is sent, the records are validated together with the records in force at
//! the revision that the change builds on.

use serde::{Deserialize, Serialize};

use super::rows::LoggedChange;
use super::store::{RecordChanges, RecordStore};
use crate::key::{OperationKey, ReplyKey};
use crate::outbox::Outbox;
use crate::record::RawRecord;
use crate::record::check::Problem;
use crate::table::TableResult;

mod progress;

use progress::Change;

/// The maximum total length of a change's record bodies in bytes. A transaction may have 1 MB and
/// contains each record twice, in its own row and in the log row, as base64.
const MAX_CHANGE_BYTES: usize = 350 * 1024;

/// The maximum number of records in a change. The platform's store takes 100 entries in a
/// transaction; the head's condition and value and the new and the expired log row are 4 of them.
const MAX_CHANGE_RECORDS: usize = 96;

/// The maximum number of concurrent changes on a node.
const MAX_PENDING_CHANGES: usize = 32;

/// An operator's request to write records.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// The change's unique identifier; a retry carries the same one.
    pub change_id: Box<str>,
    /// The records to write.
    pub records: Vec<RawRecord>,
    /// The revision that the change builds on; the change is rejected if the head is at another one.
    pub expected_revision: Option<u64>,
    /// The operator's note for the log.
    pub note: Box<str>,
}

/// The outcome of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum ChangeOutcome {
    /// The change was committed and is permanent.
    Accepted {
        /// The revision that the change created.
        revision: u64,
    },
    /// Another change was committed first; this one was not and will not be.
    Conflict {
        /// The head revision, or a lower bound of it.
        revision: u64,
        /// The other change, if it was found in the log.
        other: Option<LoggedChange>,
    },
    /// The change was not and will not be committed.
    NotAccepted {
        /// The reason.
        refusal: ChangeRefusal,
    },
    /// The change may or may not be committed. A retry with the same identifier returns which.
    Unknown,
}

impl ChangeOutcome {
    /// Returns the name used in log events.
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
    /// Validation of the records failed.
    #[error("the records are not in order")]
    #[serde(rename = "check")]
    InvalidRecords {
        /// The validation errors with their locations.
        problems: Vec<Problem>,
    },
    /// The platform's table can't be reached.
    #[error("the platform's table can't be reached")]
    Unavailable,
    /// The node did not catch up in time with the head that it read for the change.
    #[error("the node is behind: it has revision {own} in force and the head is {head}")]
    Behind {
        /// The revision in force on the node.
        own: u64,
        /// The head revision.
        head: u64,
    },
    /// The node has reached its limit of concurrent changes.
    #[error("the node has too many changes in progress")]
    Busy,
    /// The change has no records.
    #[error("the change has no records")]
    Empty,
    /// The change has too many records.
    #[error("the change has {records} records; split it into changes of at most {most}")]
    #[serde(rename = "many")]
    TooManyRecords {
        /// The number of records.
        records: usize,
        /// The maximum number of records.
        most: usize,
    },
    /// The total length of the record bodies is too large.
    #[error(
        "the records of the change have {bytes} bytes; split it into changes of at most {most}"
    )]
    #[serde(rename = "large")]
    TooLarge {
        /// The total length in bytes.
        bytes: usize,
        /// The maximum total length in bytes.
        most: usize,
    },
}

/// A finished change: its outcome, and the records that it wrote.
#[derive(Debug)]
pub struct FinishedChange {
    /// Identifies the operator's request to reply to.
    pub reply: ReplyKey,
    /// The outcome to send.
    pub outcome: ChangeOutcome,
    /// The committed records, for this node to apply without reading them from the table.
    pub changes: Option<RecordChanges>,
}

/// The changes in progress on a node.
#[derive(Debug, Default)]
pub struct PendingChanges {
    changes: Vec<Change>,
}

impl PendingChanges {
    /// Starts a change; returns it as finished if a limit is exceeded.
    pub fn start(
        &mut self,
        reply: ReplyKey,
        request: ChangeRequest,
        now_ms: u64,
    ) -> Option<FinishedChange> {
        let bytes = request.records.iter().map(|record| record.body.len()).sum();
        let refusal = if request.records.is_empty() {
            Some(ChangeRefusal::Empty)
        } else if bytes > MAX_CHANGE_BYTES {
            Some(ChangeRefusal::TooLarge { bytes, most: MAX_CHANGE_BYTES })
        } else if request.records.len() > MAX_CHANGE_RECORDS {
            let records = request.records.len();
            Some(ChangeRefusal::TooManyRecords { records, most: MAX_CHANGE_RECORDS })
        } else if self.changes.len() >= MAX_PENDING_CHANGES {
            Some(ChangeRefusal::Busy)
        } else {
            None
        };
        if let Some(refusal) = refusal {
            let outcome = ChangeOutcome::NotAccepted { refusal };
            return Some(FinishedChange { reply, outcome, changes: None });
        }
        self.changes.push(Change::new(reply, request, now_ms));
        None
    }

    /// Returns whether a change waits for this node to catch up with the head.
    pub fn waits_for_store(&self) -> bool {
        self.changes.iter().any(Change::waits_for_store)
    }

    /// Sends requests that are due and finishes changes whose time limit has passed.
    pub fn tick(&mut self, store: &RecordStore, out: &mut Outbox) -> Vec<FinishedChange> {
        let mut finished = Vec::new();
        for change in &mut self.changes {
            let outcome = change.tick(store, out);
            finished.extend(outcome.map(|outcome| change.conclude(outcome)));
        }
        self.remove_finished(&finished);
        finished
    }

    /// Handles a table result; returns `None` if no change requested the operation.
    pub fn handle_result(
        &mut self,
        operation: OperationKey,
        result: &TableResult,
        store: &RecordStore,
        out: &mut Outbox,
    ) -> Option<Vec<FinishedChange>> {
        let change = self
            .changes
            .iter_mut()
            .find_map(|change| change.clear_operation(operation).then_some(change))?;
        let outcome = change.handle_result(result, store, out);
        let finished = Vec::from_iter(outcome.map(|outcome| change.conclude(outcome)));
        self.remove_finished(&finished);
        Some(finished)
    }

    fn remove_finished(&mut self, finished: &[FinishedChange]) {
        self.changes
            .retain(|change| finished.iter().all(|finished| finished.reply != change.reply()));
    }
}
