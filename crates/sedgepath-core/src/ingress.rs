//! The caller's side: from a request's arrival to its one outcome.

use std::net::SocketAddr;

use crate::event::Action;
use crate::hash::Map;
use crate::key::{RequestKey, VmKey};
use crate::outbox::Outbox;
use crate::request::{Dispatch, HopEnd, Outcome, Reason, Refusal, RequestHead};

/// When a caller whose request could not be placed should come back, in milliseconds.
const RETRY_AFTER_MS: u64 = 500;

/// Where an attempt goes.
#[derive(Debug, Clone)]
pub struct Target {
    /// The owner.
    pub vm: VmKey,
    /// Where the owner takes frames.
    pub address: SocketAddr,
    /// What to tell the owner.
    pub dispatch: Dispatch,
}

/// A request in flight.
#[derive(Debug)]
struct Pending {
    attempt: u32,
}

/// The requests that this node serves as ingress.
#[derive(Debug, Default)]
pub struct Ingress {
    pending: Map<RequestKey, Pending>,
}

impl Ingress {
    /// Sends a request to its first target, or gives it up at once if there is none.
    pub fn begin(
        &mut self,
        request: RequestKey,
        head: &RequestHead,
        target: Option<Target>,
        out: &mut Outbox,
    ) {
        let Some(target) = target else {
            conclude_not_run(request, Reason::NoUpstream, out);
            return;
        };
        self.pending.insert(request, Pending { attempt: 1 });
        out.push(Action::Forward {
            request,
            attempt: 1,
            to: target.vm,
            address: target.address,
            dispatch: target.dispatch,
            deadline_at_ms: head.deadline_at_ms,
        });
    }

    /// Relays the answer that an attempt has brought.
    pub fn hop_answered(&mut self, request: RequestKey, attempt: u32, out: &mut Outbox) {
        if self.pending.get(&request).is_some_and(|pending| pending.attempt == attempt) {
            out.push(Action::Relay { request, attempt });
        }
    }

    /// Gives a request its outcome when its attempt has ended without an answer.
    pub fn hop_ended(&mut self, request: RequestKey, attempt: u32, end: HopEnd, out: &mut Outbox) {
        if self.pending.remove_if_attempt(request, attempt) {
            match end {
                HopEnd::Refused(refusal) => conclude(request, not_run(refusal), out),
                HopEnd::NotSent => conclude_not_run(request, Reason::PeerUnreachable, out),
                HopEnd::Lost => {
                    conclude(request, Outcome::Unknown { retry_after_ms: RETRY_AFTER_MS }, out);
                }
            }
        }
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.pending.len()
    }

    /// Forgets a request whose answer has been relayed or whose caller has gone.
    pub fn forget(&mut self, request: RequestKey) {
        self.pending.remove(&request);
    }
}

trait RemoveIfAttempt {
    fn remove_if_attempt(&mut self, request: RequestKey, attempt: u32) -> bool;
}

impl RemoveIfAttempt for Map<RequestKey, Pending> {
    fn remove_if_attempt(&mut self, request: RequestKey, attempt: u32) -> bool {
        let current = self.get(&request).is_some_and(|pending| pending.attempt == attempt);
        current && self.remove(&request).is_some()
    }
}

fn not_run(refusal: Refusal) -> Outcome {
    Outcome::NotRun { refusal, others: Vec::new() }
}

fn conclude_not_run(request: RequestKey, reason: Reason, out: &mut Outbox) {
    conclude(request, not_run(Refusal { reason, retry_after_ms: RETRY_AFTER_MS }), out);
}

/// Gives a request its final outcome.
pub fn conclude(request: RequestKey, outcome: Outcome, out: &mut Outbox) {
    out.push(Action::Conclude { request, outcome });
}
