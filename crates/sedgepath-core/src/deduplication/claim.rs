//! The state of one claim.

use crate::hash::Digest;
use crate::request::{Outcome, RequestHead, StoredAnswer};
use crate::table::RowCondition;

use super::row::{ClaimRow, ClaimState, Holder};

/// How long the row of a finished claim is kept, in milliseconds.
pub const CLAIM_RETENTION_MS: u64 = 3_600_000;

/// The final state of a claim, to be written to its row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FinalState {
    /// The action was not run under the claim.
    NotRun,
    /// The action ran; the response is `None` if it is not stored for retries.
    Answered(Option<StoredAnswer>),
    /// The row has expired and is to be removed.
    Expired,
}

/// What a claim waits for next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// The read of the row, for a retry or after a write that was not applied or may not have been.
    Reading,
    /// The write of the claim to the table, under this condition.
    Claiming(RowCondition),
    /// The node's start of the request.
    Granted,
    /// The end of the request.
    Running,
    /// The write of the final state to the row, or a read before it.
    WritingFinalState(FinalState),
}

/// A claim of this node.
#[derive(Debug)]
pub struct Claim {
    /// The digest of the caller's key.
    pub key: Digest,
    /// The digest of the request, to detect that the key is reused for another request.
    pub digest: Digest,
    /// The attempt number from the request, or 0 if it has none.
    pub attempt: u32,
    /// The request; `None` once it was granted, concluded or given up.
    pub head: Option<RequestHead>,
    /// What the claim waits for next.
    pub step: Step,
    /// The condition of a write of the claim whose result is unknown; it may still be applied.
    pub unconfirmed_write: Option<RowCondition>,
    /// When the request stops waiting for the claim, in milliseconds.
    pub give_up_at_ms: u64,
    /// An outcome that is held back until the claim is released, and the time in milliseconds at
    /// which it is sent at the latest.
    pub held_outcome: Option<(Outcome, u64)>,
    /// When the write of the final state is retried, in milliseconds.
    pub retry_at_ms: Option<u64>,
}

impl Claim {
    /// Creates a claim that is not in the table yet.
    pub fn new(key: Digest, head: &RequestHead, give_up_at_ms: u64) -> Self {
        Self {
            key,
            digest: head.digest,
            attempt: head.attempt,
            head: Some(head.clone()),
            step: Step::Reading,
            unconfirmed_write: None,
            give_up_at_ms,
            held_outcome: None,
            retry_at_ms: None,
        }
    }

    /// Creates a claim that removes its expired row.
    pub fn expired(key: Digest, now_ms: u64) -> Self {
        Self {
            key,
            digest: Digest([0; 16]),
            attempt: 0,
            head: None,
            step: Step::WritingFinalState(FinalState::Expired),
            unconfirmed_write: None,
            give_up_at_ms: now_ms,
            held_outcome: None,
            retry_at_ms: Some(now_ms),
        }
    }

    /// Returns whether the claim's request was not run and will not be.
    pub fn is_given_up(&self) -> bool {
        match self.step {
            Step::Claiming(_) | Step::Reading => self.head.is_none(),
            Step::WritingFinalState(FinalState::NotRun | FinalState::Expired) => true,
            Step::WritingFinalState(FinalState::Answered(_)) | Step::Granted | Step::Running => {
                false
            }
        }
    }

    /// Returns whether the claim's request was passed to the node to run.
    pub fn is_started(&self) -> bool {
        matches!(self.step, Step::Granted | Step::Running)
    }

    /// Returns the claim's row in the given state, expiring [`CLAIM_RETENTION_MS`] from now.
    pub fn row(&self, holder: Holder, state: ClaimState, now_ms: u64) -> ClaimRow {
        ClaimRow {
            holder,
            digest: self.digest,
            attempt: self.attempt,
            state,
            expires_at_ms: now_ms + CLAIM_RETENTION_MS,
        }
    }
}
