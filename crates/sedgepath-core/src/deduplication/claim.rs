//! One claim of this node: its request, its step and its row.

use crate::hash::Digest;
use crate::request::{Outcome, RequestHead, StoredAnswer};
use crate::table::RowCondition;

use super::row::{ClaimRow, ClaimState, Holder};

/// How long a finished key is remembered, in milliseconds.
pub const KEPT_MS: u64 = 3_600_000;

/// How a claim ends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// The action was not run under it.
    NotRun,
    /// The action ran.
    Answered(Option<StoredAnswer>),
    /// The row has been kept for long enough and is removed.
    Swept,
}

/// What a claim waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// The first reading of a repeat, or the reading after a lost answer.
    Reading,
    /// The write of the claim under this condition.
    Claiming(RowCondition),
    /// The node to start the request.
    Granted,
    /// The end of the request.
    Running,
    /// The row to say how it ended.
    Ending(End),
}

/// One claim.
#[derive(Debug)]
pub struct Claim {
    /// The digest of the caller's key.
    pub key: Digest,
    /// The digest of the request.
    pub digest: Digest,
    /// The number of the attempt.
    pub attempt: u32,
    /// The request; none once its caller has got its outcome or it has been started.
    pub head: Option<RequestHead>,
    /// What it waits for.
    pub step: Step,
    /// The condition of a write of the claim whose answer was lost, so that it may still land.
    pub may_land: Option<RowCondition>,
    /// When the wait for the claim ends, in milliseconds.
    pub give_up_at_ms: u64,
    /// An outcome that waits for the release of the claim, and until when.
    pub held_back: Option<(Outcome, u64)>,
    /// When the end is tried again, in milliseconds.
    pub retry_at_ms: Option<u64>,
}

impl Claim {
    /// Creates the claim of a request.
    pub fn new(key: Digest, head: &RequestHead, give_up_at_ms: u64) -> Self {
        Self {
            key,
            digest: head.digest,
            attempt: head.attempt,
            head: Some(head.clone()),
            step: Step::Reading,
            may_land: None,
            give_up_at_ms,
            held_back: None,
            retry_at_ms: None,
        }
    }

    /// Creates the removal of an old row.
    pub fn swept(key: Digest, now_ms: u64) -> Self {
        Self {
            key,
            digest: Digest([0; 16]),
            attempt: 0,
            head: None,
            step: Step::Ending(End::Swept),
            may_land: None,
            give_up_at_ms: now_ms,
            held_back: None,
            retry_at_ms: Some(now_ms),
        }
    }

    /// Whether its request was not run and will not be.
    pub fn is_given_up(&self) -> bool {
        match self.step {
            Step::Claiming(_) | Step::Reading => self.head.is_none(),
            Step::Ending(End::NotRun | End::Swept) => true,
            Step::Ending(End::Answered(_)) | Step::Granted | Step::Running => false,
        }
    }

    /// Whether its request is left to the node.
    pub fn is_started(&self) -> bool {
        matches!(self.step, Step::Granted | Step::Running)
    }

    /// Returns the claim's row.
    pub fn row(&self, holder: Holder, state: ClaimState, now_ms: u64) -> ClaimRow {
        ClaimRow {
            holder,
            digest: self.digest,
            attempt: self.attempt,
            state,
            expires_at_ms: now_ms + KEPT_MS,
        }
    }
}
