//! Rows of the table that keep an action from running twice.

use serde::{Deserialize, Serialize};

use crate::hash::Digest;
use crate::key::{BootId, RequestKey, VmKey};
use crate::request::StoredAnswer;
use crate::table::{RowChange, RowCondition, RowWrite};

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
    /// No request up to [`ClaimRow::attempt_id`] ran or will run.
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
    pub fn write(&self, key: Digest, condition: RowCondition) -> RowWrite {
        RowWrite { key: Self::key(key), condition, change: RowChange::Put(to_json(self)) }
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
pub fn delete(key: Digest, condition: RowCondition) -> RowWrite {
    RowWrite { key: ClaimRow::key(key), condition, change: RowChange::Delete }
}

/// What became of a used ticket; also the row `ticket/<vm>/<boot>/<number>`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketRow {
    /// The digest of the request, to tell a repeat from another request.
    pub digest: Digest,
    /// The highest attempt that came with it.
    pub attempt: u32,
    /// What became of it.
    pub state: ClaimState,
}

/// A used ticket that is handed over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandedTicket {
    /// Its number.
    pub number: u64,
    /// What became of it.
    pub row: TicketRow,
}

/// The tickets of a boot that has stopped as planned, in the order of their numbers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketHandover {
    /// The VM.
    pub vm: VmKey,
    /// Its boot.
    pub boot: BootId,
    /// The first number that it did not mint.
    pub next_number: u64,
    /// When it handed over, in milliseconds by its own clock.
    pub handed_over_at_ms: u64,
    /// The tickets that it has used and still remembers.
    pub used: Vec<HandedTicket>,
}

/// The row `ticket/<vm>/<boot>`; written after the rows of all used tickets of the boot, so that a
/// ticket without a row of its own was never used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandOverRow {
    /// The first number that the boot did not mint.
    pub next_number: u64,
    /// When it handed over, in milliseconds by its own clock.
    pub handed_over_at_ms: u64,
}

impl HandOverRow {
    /// Returns the key of the row of a boot.
    pub fn key(vm: VmKey, boot: BootId) -> Box<str> {
        format!("ticket/{:016x}/{:016x}", vm.0, boot.0).into()
    }
}

impl TicketRow {
    /// Returns the key of the row of a ticket.
    pub fn key(vm: VmKey, boot: BootId, number: u64) -> Box<str> {
        format!("{}/{number}", HandOverRow::key(vm, boot)).into()
    }
}

/// Writes a row whatever stands there; for rows that no other process ever writes.
pub fn put(key: Box<str>, value: &impl Serialize) -> RowWrite {
    RowWrite { key, condition: RowCondition::Any, change: RowChange::Put(to_json(value)) }
}
