//! Requests to the platform's transactional table and their results.
//!
//! The node emits a [`Transaction`] or a read as an action and receives a [`TableResult`] as an
//! event. [`TableResult::Unknown`] means that the write may have taken effect although its response
//! was lost; only a later read can tell.

use serde::{Deserialize, Serialize};

/// The name of the table in a store that has several tables.
pub const RECORD_TABLE: &str = "sedgepath";

/// The version of a row, which increases by at least one with each write. An absent row has none.
pub type RowVersion = u64;

/// The precondition on a row for a transaction to commit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RowCondition {
    /// The row may be in any state.
    Any,
    /// The row must not exist.
    Absent,
    /// The row must exist with this version.
    Version(RowVersion),
}

/// The effect of a transaction on a row if all of its conditions hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RowChange {
    /// The row stays as it is; only its condition is checked.
    Check,
    /// The row is created or replaced.
    Put(Box<str>),
    /// The row is removed if it exists.
    Delete,
}

/// The condition and the change of one row in a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowWrite {
    /// The row's key, for example `claim/<digest>`.
    pub key: Box<str>,
    /// The precondition on the row.
    pub condition: RowCondition,
    /// The effect on the row.
    pub change: RowChange,
}

/// Row writes that take effect atomically.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// The writes, at most one for each key.
    pub writes: Vec<RowWrite>,
}

/// A row as read from the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The row's key.
    pub key: Box<str>,
    /// The row's version.
    pub version: RowVersion,
    /// The row's content.
    pub value: Box<str>,
}

/// A request to the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TableRequest {
    /// Commits a transaction.
    Commit(Transaction),
    /// Reads the rows with these keys; the result omits absent rows.
    Read(Vec<Box<str>>),
    /// Reads at most `limit` rows in key order whose key starts with `prefix` and is greater than
    /// `after`.
    Scan {
        /// The common prefix of the keys.
        prefix: Box<str>,
        /// The last key already read; empty to start from the first.
        after: Box<str>,
        /// The maximum number of rows to return.
        limit: u32,
    },
}

/// The result of a request to the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TableResult {
    /// The transaction took effect.
    Committed,
    /// The transaction had no effect because the condition of a row did not hold.
    Conflict {
        /// The first key whose condition failed.
        key: Box<str>,
        /// The current row, or `None` if it is absent.
        current: Option<Row>,
    },
    /// The rows of a read.
    Rows(Vec<Row>),
    /// The request was not carried out: no connection was made, or the platform rejected it.
    Unavailable,
    /// The request was sent, but no response arrived; a transaction may have taken effect.
    Unknown,
}

/// A table that executes requests; tests use an in-memory table instead of the store.
pub trait TableService: std::fmt::Debug + Send + Sync {
    /// Executes a request and returns its result.
    ///
    /// A failed read is [`TableResult::Unavailable`]; a commit whose response was lost is
    /// [`TableResult::Unknown`].
    fn execute(&self, request: &TableRequest) -> TableResult;
}
