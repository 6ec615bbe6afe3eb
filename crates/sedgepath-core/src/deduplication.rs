//! At-most-once execution of requests.
//!
//! [`DeduplicationSystem`] admits a request before its first attempt and records its outcome. There are
//! two mechanisms, and a key never moves from one to the other: [`claims`] stores keys that callers
//! choose in the platform's table; [`tickets`] keeps keys that a node mints in the memory of its
//! boot, so that they work while the platform is down.

use crate::event::Action;
use crate::hash::Digest;
use crate::key::{OperationKey, RequestKey, ServiceKey};
use crate::membership::Membership;
use crate::outbox::Outbox;
use crate::request::{
    Deduplication, HopFailure, Outcome, Rejection, RejectionReason, RequestHead, StoredAnswer,
    Ticket,
};
use crate::table::TableResult;

pub mod batch;
pub mod claim;
pub mod claims;
mod expiry;
pub mod forwarding;
pub mod handover;
pub mod row;
pub mod tickets;

use batch::{Batcher, Reply, Requester};
use claims::Claims;
use forwarding::ForwardedRequests;
use handover::Handover;
use row::TicketHandover;
use tickets::{MintError, Tickets};

/// The delay after which a caller should ask again for an outcome, in milliseconds.
const RETRY_AFTER_MS: u64 = 500;

/// The requests of a node that must run at most once.
#[derive(Debug, Default)]
pub struct DeduplicationSystem {
    batcher: Batcher,
    claims: Claims,
    tickets: Tickets,
    visitors: ForwardedRequests,
    poll_handover: Option<Handover>,
}

impl DeduplicationSystem {
    /// Handles a request that has arrived; returns true if it may be started now.
    ///
    /// Otherwise the request gets its outcome, or is returned by [`Self::take_granted`] later.
    pub fn admit(
        &mut self,
        request: RequestKey,
        head: &RequestHead,
        membership: &Membership,
        out: &mut Outbox,
    ) -> bool {
        let identity = out.identity();
        let admitted = match head.deduplication {
            Deduplication::Repeatable => true,
            Deduplication::Ticket(ticket)
                if (ticket.home, ticket.boot) == (identity.vm, identity.boot) =>
            {
                self.tickets.admit(request, ticket, head, out)
            }
            Deduplication::Ticket(ticket) => {
                let batcher = &mut self.batcher;
                self.visitors.take(request, ticket, head, membership, batcher, out);
                false
            }
            Deduplication::Key(_) if self.poll_handover.is_some() => {
                conclude(request, unsettled(head.attempt, RejectionReason::NotReady), out);
                false
            }
            Deduplication::Key(key) => {
                self.claims.admit(request, key, head, &mut self.batcher, out)
            }
        };
        self.batcher.flush(out);
        admitted
    }

    /// Returns the requests whose claims were granted since the last call.
    pub fn take_granted(&mut self) -> Vec<(RequestKey, RequestHead)> {
        self.claims.take_granted()
    }

    /// Handles the end of relaying an answer; `stored` is the answer to give to repeats.
    pub fn handle_relay_end(
        &mut self,
        request: RequestKey,
        stored: Option<StoredAnswer>,
        out: &mut Outbox,
    ) {
        self.visitors.forget(request);
        self.tickets.answered(request, stored.clone());
        self.claims.handle_answer(request, stored, &mut self.batcher);
        self.batcher.flush(out);
    }

    /// Handles that a request's caller disconnected.
    pub fn handle_caller_disconnect(&mut self, request: RequestKey, out: &mut Outbox) {
        self.visitors.forget(request);
        self.tickets.caller_gone(request);
        self.claims.handle_caller_gone(request, &mut self.batcher);
        self.batcher.flush(out);
    }

    /// Handles a table result; returns false if the request was not sent from here.
    pub fn handle_table_result(
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

    fn replied(&mut self, job: Requester, reply: Reply, out: &mut Outbox) {
        match job {
            Requester::Claim(request) => {
                self.claims.handle_reply(request, reply, &mut self.batcher, out);
            }
            Requester::Ticket(request) => self.visitors.replied(request, &reply, out),
            Requester::Handover(index) => {
                if let Some(hand_over) = &mut self.poll_handover {
                    hand_over.replied(index, &reply, &mut self.batcher, out);
                }
            }
        }
    }

    /// Mints `count` tickets for a service.
    ///
    /// # Errors
    ///
    /// Returns an error if `count` is out of range, too many tickets are valid, or the node is
    /// stopping.
    pub fn mint_tickets(
        &mut self,
        service: ServiceKey,
        count: u32,
        out: &Outbox,
    ) -> Result<Vec<Ticket>, MintError> {
        self.tickets.mint(service, count, out)
    }

    /// Handles the answer of another VM; returns false if the request was not forwarded.
    pub fn handle_hop_response(&self, request: RequestKey, attempt: u32, out: &mut Outbox) -> bool {
        self.visitors.hop_answered(request, attempt, out)
    }

    /// Handles the end of a hop to another VM; returns false if the request was not forwarded.
    pub fn handle_hop_failure(
        &mut self,
        request: RequestKey,
        end: HopFailure,
        membership: &Membership,
        out: &mut Outbox,
    ) -> bool {
        let known = self.visitors.hop_ended(request, end, membership, &mut self.batcher, out);
        self.batcher.flush(out);
        known
    }

    /// Stores the tickets that a peer hands over.
    pub fn store_handover(&mut self, tickets: TicketHandover) {
        self.visitors.keep(tickets);
    }

    /// Handles whether a successor accepted the copy of this node's tickets.
    pub fn handle_copy_result(&mut self, operation: OperationKey, taken: bool) {
        if let Some(hand_over) = &mut self.poll_handover {
            hand_over.handle_copy_result(operation, taken);
        }
    }

    /// Stops running tickets and hands over their state; returns true once the handover is complete
    /// or has timed out.
    ///
    /// Called at each tick once the node has nothing in flight.
    pub fn poll_handover(&mut self, membership: &Membership, out: &mut Outbox) -> bool {
        self.tickets.close();
        if !self.tickets.is_idle() || !self.visitors.is_idle() {
            return false;
        }
        if self.poll_handover.is_none() {
            let tickets = self.tickets.handover(out);
            self.poll_handover = Some(Handover::new(tickets, membership, &mut self.batcher, out));
            self.batcher.flush(out);
        }
        let claims = self.claims.unsettled_count();
        self.poll_handover.as_ref().is_some_and(|hand_over| hand_over.is_done(claims, out))
    }

    /// Handles timeouts, retries and expiry.
    pub fn tick(&mut self, out: &mut Outbox) {
        self.claims.tick(&mut self.batcher, out);
        self.visitors.tick(out);
        self.tickets.expire(out.now_ms());
        if let Some(hand_over) = &mut self.poll_handover {
            hand_over.tick(&mut self.batcher, out);
        }
        self.batcher.flush(out);
    }

    /// Records the outcomes among an event's actions and returns the actions to perform. An outcome
    /// that has to wait for the release of its claim is held back.
    ///
    /// All outcomes pass through the actions, whatever decided them, so no caller hears *not run*
    /// before the release of its claim was started.
    pub fn intercept_outcomes(&mut self, out: &mut Outbox) -> Vec<Action> {
        let mut kept = Vec::new();
        for action in out.take_actions() {
            match action {
                Action::Conclude { request, outcome } => {
                    self.tickets.concluded(request, &outcome);
                    let outcome =
                        self.claims.handle_outcome(request, outcome, &mut self.batcher, out);
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

/// Returns the outcome of a request that was not run and will not be.
fn not_run(reason: RejectionReason) -> Outcome {
    let refusal = Rejection { reason, retry_after_ms: RETRY_AFTER_MS };
    Outcome::NotRun { refusal, others: Vec::new() }
}

/// Whether an attempt must not run because the caller was told *not run* for attempt `denied`.
///
/// The caller may have moved on to another key, so neither an earlier attempt that arrives late nor
/// a duplicate of the same attempt may run. A request without an attempt number (0) is always new.
fn is_denied(attempt: u32, denied: u32) -> bool {
    attempt < denied || (attempt == denied && attempt != 0)
}

/// Returns the outcome of a request that was not sent while the state of its key is unknown.
///
/// It is *not run* for attempt 1 only: before a later attempt, an earlier one may have run elsewhere.
/// A request without an attempt number may be a repeat too.
fn unsettled(attempt: u32, reason: RejectionReason) -> Outcome {
    if attempt == 1 { not_run(reason) } else { Outcome::Unknown { retry_after_ms: RETRY_AFTER_MS } }
}

/// Replaces *not run* by *unknown* for a request that was rejected before its key was looked up,
/// unless it is attempt 1.
pub fn not_run_to_unknown(head: &RequestHead, outcome: &mut Outcome) {
    if matches!(outcome, Outcome::NotRun { .. }) && head.attempt != 1 {
        *outcome = Outcome::Unknown { retry_after_ms: RETRY_AFTER_MS };
    }
}

fn conclude(request: RequestKey, outcome: Outcome, out: &mut Outbox) {
    out.push(Action::Conclude { request, outcome });
}

/// Returns the digest of a key that a caller chose for a service.
///
/// The digest includes the organisation's key, so that organisations can't collide with each other's
/// keys or probe for them.
pub fn key_digest(service: &str, organisation: Option<Digest>, key: &[u8]) -> Digest {
    let organisation = organisation.map_or([0; 16], |digest| digest.0);
    Digest::of(&[b"idempotency key", service.as_bytes(), &organisation, key])
}
