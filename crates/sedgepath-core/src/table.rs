//! Requests to the platform's transactional table and their results.
//!
//! The node never talks to the table itself: it emits a [`Transaction`] or a read as an action and
//! receives a [`TableResult`] as an event. A result of [`TableResult::Unknown`] means that the write
//! may have taken effect although its answer was lost; only a later read can settle it.

use serde::{Deserialize, Serialize};

/// The name of the table, where a store has several.
pub const RECORD_TABLE: &str = "sedgepath";

/// The version of a row; rises by at least one with each write of the row. An absent row has none.
pub type RowVersion = u64;

/// What must hold of a row for a transaction to be committed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RowCondition {
    /// The row may be in any state.
    Any,
    /// The row must not exist.
    Absent,
    /// The row must exist with this version.
    Version(RowVersion),
}

/// What a transaction does to a row once all of its conditions hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RowChange {
    /// The row is only checked.
    Check,
    /// The row is created or replaced.
    Put(Box<str>),
    /// The row is removed if it exists.
    Delete,
}

/// One row's part in a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowWrite {
    /// The row's key, for example `claim/<digest>`.
    pub key: Box<str>,
    /// What must hold of the row.
    pub condition: RowCondition,
    /// What becomes of the row.
    pub change: RowChange,
}

/// Rows that are written all together or not at all.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// The writes; no key stands twice.
    pub writes: Vec<RowWrite>,
}

/// A row as read from the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The row's key.
    pub key: Box<str>,
    /// The row's version.
    pub version: RowVersion,
    /// The row's text.
    pub value: Box<str>,
}

/// One request to the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TableRequest {
    /// Commits a transaction.
    Commit(Transaction),
    /// Reads the rows with these keys; absent ones are left out of the answer.
    Read(Vec<Box<str>>),
    /// Reads the rows whose key starts with `prefix` and is greater than `after`, in the order of
    /// their keys, at most `limit` of them.
    Scan {
        /// The common start of the keys.
        prefix: Box<str>,
        /// The last key already known; empty to start from the first.
        after: Box<str>,
        /// The most rows to return.
        limit: u32,
    },
}

/// What became of a request to the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TableResult {
    /// The transaction took effect.
    Committed,
    /// The transaction had no effect: this row's condition did not hold. The row as it stands is
    /// given, or none if it is absent.
    Conflict {
        /// The first key whose condition failed.
        key: Box<str>,
        /// The row that stands there.
        current: Option<Row>,
    },
    /// The rows that were read.
    Rows(Vec<Row>),
    /// The request was surely not carried out: no connection was made, or the platform refused it.
    Unavailable,
    /// The request was sent and no answer came; a transaction may or may not have taken effect.
    Unknown,
}

/// Carries out requests to a table.
///
/// Callers hold it as a trait object, so that tests can put a table in memory in the store's place.
pub trait TableService: std::fmt::Debug + Send + Sync {
    /// Executes one request and returns what became of it.
    ///
    /// A failed read is [`TableResult::Unavailable`]; a commit whose answer was lost is
    /// [`TableResult::Unknown`].
    fn execute(&self, request: &TableRequest) -> TableResult;
}
