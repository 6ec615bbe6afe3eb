//! Requests that must run at most once.
//!
//! [`OnceSystem`] stands between the arrival of a request and its first attempt, and hears of its
//! end. There are two paths, and a key never passes from one to the other: [`claims`] for keys that
//! callers choose, over the platform's table; `tickets` for keys that a node mints, over the memory
//! of its boot alone, so that they work while the platform is down.

use crate::event::Action;
use crate::hash::Digest;
use crate::key::{OperationKey, RequestKey};
use crate::outbox::Outbox;
use crate::request::{Once, Outcome, Reason, Refusal, RequestHead, StoredAnswer};
use crate::table::TableResult;

pub mod batch;
pub mod claim;
pub mod claims;
pub mod row;
mod sweep;

use batch::{Batcher, Job, Reply};
use claims::Claims;

/// When a caller should come back to learn more of its action, in milliseconds.
const RETRY_AFTER_MS: u64 = 500;

/// The once-only requests of a node.
#[derive(Debug, Default)]
pub struct OnceSystem {
    batcher: Batcher,
    claims: Claims,
}

impl OnceSystem {
    /// Takes a request; returns true if it may be started now. Otherwise it gets its outcome, or
    /// comes back from [`Self::take_granted`].
    pub fn admit(&mut self, request: RequestKey, head: &RequestHead, out: &mut Outbox) -> bool {
        let admitted = match head.once {
            Once::Repeatable | Once::Ticket(_) => true,
            Once::Key(key) => self.claims.admit(request, key, head, &mut self.batcher, out),
        };
        self.batcher.flush(out);
        admitted
    }

    /// Returns the requests that may be started since the last call.
    pub fn take_granted(&mut self) -> Vec<(RequestKey, RequestHead)> {
        self.claims.take_granted()
    }

    /// Takes in the end of an answer on its way to its caller, with the answer for repeats.
    pub fn relay_ended(
        &mut self,
        request: RequestKey,
        stored: Option<StoredAnswer>,
        out: &mut Outbox,
    ) {
        self.claims.answered(request, stored, &mut self.batcher);
        self.batcher.flush(out);
    }

    /// Takes in that a request's caller has gone.
    pub fn caller_gone(&mut self, request: RequestKey, out: &mut Outbox) {
        self.claims.caller_gone(request, &mut self.batcher);
        self.batcher.flush(out);
    }

    /// Takes in the result of a request to the table; returns false if it is not one of this system.
    pub fn take_result(
        &mut self,
        operation: OperationKey,
        result: &TableResult,
        out: &mut Outbox,
    ) -> bool {
        let Some(replies) = self.batcher.take_result(operation, result) else {
            return false;
        };
        for (job, reply) in replies {
            self.replied(job, reply, out);
        }
        self.batcher.flush(out);
        true
    }

    fn replied(&mut self, job: Job, reply: Reply, out: &mut Outbox) {
        match job {
            Job::Claim(request) => {
                self.claims.replied(request, reply, &mut self.batcher, out);
            }
            Job::Ticket(_) | Job::HandOver(_) => {}
        }
    }

    /// Runs what works by time.
    pub fn tick(&mut self, out: &mut Outbox) {
        self.claims.tick(&mut self.batcher, out);
        self.batcher.flush(out);
    }

    /// Looks through the actions of an event for outcomes of once-only requests. An outcome that
    /// has to wait for the table is taken out and given later.
    ///
    /// The actions are the one place that all ends of a request pass, whatever decided them, so no
    /// retry can be told *not run* without the claim's release.
    pub fn settle(&mut self, out: &mut Outbox) -> Vec<Action> {
        let mut kept = Vec::new();
        for action in out.take_actions() {
            match action {
                Action::Conclude { request, outcome } => {
                    let outcome = self.claims.concluded(request, outcome, &mut self.batcher, out);
                    kept.extend(outcome.map(|outcome| Action::Conclude { request, outcome }));
                }
                other => kept.push(other),
            }
        }
        self.batcher.flush(out);
        kept.extend(out.take_actions());
        kept
    }
}

/// The outcome of a request that was not run and will not be.
fn not_run(reason: Reason) -> Outcome {
    let refusal = Refusal { reason, retry_after_ms: RETRY_AFTER_MS };
    Outcome::NotRun { refusal, others: Vec::new() }
}

/// The outcome of a request that was not sent although nothing is known of its key.
///
/// *Not run* is said of the first attempt only. A later one asks about the action, and an earlier
/// attempt may have run elsewhere; a caller that heard *not run* then might start the action anew
/// under another key. A request that does not say which attempt it is may be a repeat.
fn unsettled(attempt: u32, reason: Reason) -> Outcome {
    if attempt == 1 { not_run(reason) } else { Outcome::Unknown { retry_after_ms: RETRY_AFTER_MS } }
}

fn conclude(request: RequestKey, outcome: Outcome, out: &mut Outbox) {
    out.push(Action::Conclude { request, outcome });
}

/// Returns the digest of a key that a caller chose for a service.
///
/// The organisation's key is part of it, so that one organisation can neither meet nor probe the
/// keys of another.
pub fn key_digest(service: &str, organisation: Option<Digest>, key: &[u8]) -> Digest {
    let organisation = organisation.map_or([0; 16], |digest| digest.0);
    Digest::of(&[b"idempotency key", service.as_bytes(), &organisation, key])
}
