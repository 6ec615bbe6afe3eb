//! Rows of the table that keep an action from running twice.

use serde::{Deserialize, Serialize};

use crate::hash::Digest;
use crate::key::{BootId, RequestKey, VmKey};
use crate::request::StoredAnswer;
use crate::table::{Change, Condition, RowWrite};

/// Who holds a claim: one request at one boot of one VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The VM.
    pub vm: VmKey,
    /// Its boot.
    pub boot: BootId,
    /// The request, numbered by that boot.
    pub request: RequestKey,
}

/// What a row says of its key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The holder may run the action, may be running it or may have run it.
    Held,
    /// No request up to [`ClaimRow::attempt`] ran or will run.
    NotRun,
    /// The action ran; its answer, unless that was too large to be kept.
    Answered(Option<StoredAnswer>),
}

/// The row `claim/<digest of the key>`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Who wrote it.
    pub holder: Holder,
    /// The digest of the request, to tell a repeat from another request.
    pub digest: Digest,
    /// The highest attempt that the row speaks for.
    pub attempt: u32,
    /// What it says.
    pub state: ClaimState,
    /// When the holder removes it, in milliseconds by the holder's clock.
    pub expires_at_ms: u64,
}

impl ClaimRow {
    /// Returns the key of the row of a caller's key.
    pub fn key(key: Digest) -> Box<str> {
        format!("claim/{}", key.to_hex()).into()
    }

    /// Writes the row under a condition.
    pub fn write(&self, key: Digest, condition: Condition) -> RowWrite {
        RowWrite { key: Self::key(key), condition, change: Change::Put(to_json(self)) }
    }
}

/// Writes a row's value as JSON.
///
/// # Panics
///
/// Panics if the value can't be written as JSON, which the types of rows rule out.
pub fn to_json(value: &impl Serialize) -> Box<str> {
    serde_json::to_string(value).expect("rows hold only what JSON can hold").into()
}

/// Removes the row of a caller's key under a condition.
pub fn delete(key: Digest, condition: Condition) -> RowWrite {
    RowWrite { key: ClaimRow::key(key), condition, change: Change::Delete }
}
