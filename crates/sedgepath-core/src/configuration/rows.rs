//! The table rows that store the configuration.
//!
//! - `head`: the newest revision, as a decimal number. Every change is conditional on its version.
//! - `record/<kind>/<name>`: a [`RecordRow`] with the record as last accepted.
//! - `log/<revision as 20 digits>`: a [`LoggedChange`]. Readers that are a few revisions behind read
//!   only these rows. Changes whose commit result was lost are looked up in them. Operators list
//!   them.
//!
//! A change writes all of its rows in one transaction. Records are replaced but never removed, so
//! the records written after revision R are the complete difference from R to the head.

use serde::{Deserialize, Serialize};

use crate::record::RawRecord;

/// The key of the row that holds the head revision.
pub const HEAD_KEY: &str = "head";

/// The key prefix of record rows.
pub const RECORD_KEY_PREFIX: &str = "record/";

/// The key prefix of log rows.
pub const LOG_KEY_PREFIX: &str = "log/";

/// The number of log rows kept; each change removes the row that exceeds it.
pub const MAX_LOGGED_CHANGES: u64 = 10_000;

/// The value of a record's row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordRow {
    /// The revision that last wrote the record.
    pub revision: u64,
    /// The record as accepted.
    pub record: RawRecord,
}

/// The value of a log row: an accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoggedChange {
    /// The revision that the change created.
    pub revision: u64,
    /// The identifier from the operator's request.
    pub change_id: Box<str>,
    /// The operator's note.
    pub note: Box<str>,
    /// The name of the node that committed the change.
    pub node: Box<str>,
    /// The time of the commit request, in milliseconds by that node's clock.
    pub written_at_ms: u64,
    /// The records that the change wrote.
    pub records: Vec<RawRecord>,
}

/// Returns the key of a record's row.
pub fn record_key(record: &RawRecord) -> Box<str> {
    format!("{RECORD_KEY_PREFIX}{}/{}", record.kind, record.name).into()
}

/// Returns the key of a revision's log row; keys sort in the order of their revisions.
pub fn log_key(revision: u64) -> Box<str> {
    format!("{LOG_KEY_PREFIX}{revision:020}").into()
}
