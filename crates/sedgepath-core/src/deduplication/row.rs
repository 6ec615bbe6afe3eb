//! The table rows of claims and tickets.

use serde::{Deserialize, Serialize};

use crate::hash::Digest;
use crate::key::{BootId, RequestKey, VmKey};
use crate::request::StoredAnswer;
use crate::table::{RowChange, RowCondition, RowWrite};

/// The holder of a claim: one request of one boot of one VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The VM that wrote the claim.
    pub vm: VmKey,
    /// The boot of that VM.
    pub boot: BootId,
    /// The request, by its number within the boot.
    pub request: RequestKey,
}

/// The state of a claim or a used ticket.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The holder may run, may be running or may have run the action.
    Held,
    /// No attempt up to the row's attempt number ran or will run.
    NotRun,
    /// The action ran; the response is `None` if it was not stored.
    Answered(Option<StoredAnswer>),
}

/// The row `claim/<digest of the key>`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// The request that wrote the row.
    pub holder: Holder,
    /// The digest of the request, to detect that the key is reused for another request.
    pub digest: Digest,
    /// The attempt number up to which the state applies.
    pub attempt: u32,
    /// The state of the key.
    pub state: ClaimState,
    /// When the holder removes the row, in milliseconds by the holder's clock.
    pub expires_at_ms: u64,
}

impl ClaimRow {
    /// Returns the row's key for the digest of a caller's key.
    pub fn key(key: Digest) -> Box<str> {
        format!("claim/{}", key.to_hex()).into()
    }

    /// Returns a conditional write of the row.
    pub fn write(&self, key: Digest, condition: RowCondition) -> RowWrite {
        RowWrite { key: Self::key(key), condition, change: RowChange::Put(to_json(self)) }
    }
}

/// Serializes a row's value as JSON.
///
/// # Panics
///
/// Panics if the value can't be serialized, which can't happen for the row types.
pub fn to_json(value: &impl Serialize) -> Box<str> {
    serde_json::to_string(value).expect("row types should be serializable as JSON").into()
}

/// Returns a conditional deletion of the claim row for the digest of a caller's key.
pub fn delete(key: Digest, condition: RowCondition) -> RowWrite {
    RowWrite { key: ClaimRow::key(key), condition, change: RowChange::Delete }
}

/// The state of a used ticket; also the value of the row `ticket/<vm>/<boot>/<number>`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketRow {
    /// The digest of the request, to detect that the key is reused for another request.
    pub digest: Digest,
    /// The attempt number up to which the state applies.
    pub attempt: u32,
    /// The state of the ticket.
    pub state: ClaimState,
}

/// A used ticket in a handover.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsedTicket {
    /// The ticket's number within its boot.
    pub number: u64,
    /// The ticket's state.
    pub row: TicketRow,
}

/// The tickets of a boot at its planned stop.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketHandover {
    /// The VM that minted the tickets.
    pub vm: VmKey,
    /// The boot of that VM.
    pub boot: BootId,
    /// The first ticket number that the boot did not mint.
    pub next_number: u64,
    /// The start of the handover, in milliseconds by the boot's clock.
    pub handed_over_at_ms: u64,
    /// The used tickets that the boot still stores, sorted by number.
    pub used: Vec<UsedTicket>,
}

/// The value of the row `ticket/<vm>/<boot>`.
///
/// The row is written after the rows of the boot's used tickets, so a ticket without a row was not
/// used, or was removed from memory before the handover.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverRow {
    /// The first ticket number that the boot did not mint.
    pub next_number: u64,
    /// The start of the handover, in milliseconds by the boot's clock.
    pub handed_over_at_ms: u64,
}

impl HandoverRow {
    /// Returns the row's key for a boot.
    pub fn key(vm: VmKey, boot: BootId) -> Box<str> {
        format!("ticket/{:016x}/{:016x}", vm.0, boot.0).into()
    }
}

impl TicketRow {
    /// Returns the row's key for a ticket.
    pub fn key(vm: VmKey, boot: BootId, number: u64) -> Box<str> {
        format!("{}/{number}", HandoverRow::key(vm, boot)).into()
    }
}

/// Returns an unconditional write, for rows that no other process writes.
pub fn put(key: Box<str>, value: &impl Serialize) -> RowWrite {
    RowWrite { key, condition: RowCondition::Any, change: RowChange::Put(to_json(value)) }
}
