//! The rows of the table that hold the configuration.
//!
//! - `head`: the revision in force, as a decimal number. Every change is conditional on its version.
//! - `record/<kind>/<name>`: a [`RecordRow`], the record as last accepted.
//! - `log/<revision as 20 digits>`: a [`LoggedChange`], so that a reader that is a few revisions
//!   behind reads only what changed, a lost answer can be settled, and operators see who changed
//!   what.
//!
//! A change writes all of its rows in one transaction. Records are never removed: one that is no
//! longer wanted is replaced, so "all records written after revision R" is a complete difference.

use serde::{Deserialize, Serialize};

use crate::record::RawRecord;

/// The key of the row that holds the head revision.
pub const HEAD_KEY: &str = "head";

/// The start of the keys of records.
pub const RECORD_PREFIX: &str = "record/";

/// The start of the keys of changes.
pub const LOG_KEY_PREFIX: &str = "log/";

/// The changes that the table keeps in its log; older ones are removed as new ones come.
pub const KEPT_CHANGES: u64 = 10_000;

/// A record as it stands in its row of the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordRow {
    /// The revision that wrote it.
    pub revision: u64,
    /// The record.
    pub record: RawRecord,
}

/// An accepted change as it stands in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoggedChange {
    /// The revision that it made.
    pub revision: u64,
    /// The number that the operator's command drew for it.
    pub change_id: Box<str>,
    /// What the operator noted.
    pub note: Box<str>,
    /// The name of the node that wrote it.
    pub node: Box<str>,
    /// When the node wrote it, in milliseconds by that node's clock.
    pub written_at_ms: u64,
    /// The records written.
    pub records: Vec<RawRecord>,
}

/// Returns the key of a record's row.
pub fn record_key(record: &RawRecord) -> Box<str> {
    format!("{RECORD_PREFIX}{}/{}", record.kind, record.name).into()
}

/// Returns the key of a change's row; keys sort as their revisions do.
pub fn log_key(revision: u64) -> Box<str> {
    format!("{LOG_KEY_PREFIX}{revision:020}").into()
}
