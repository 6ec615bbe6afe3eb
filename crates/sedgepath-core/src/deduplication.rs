//! At-most-once execution of requests.
//!
//! [`DeduplicationSystem`] admits a request before it is first sent to an upstream and records its
//! outcome. There are two mechanisms, and a key never moves from one to the other: [`claims`] stores
//! keys that callers choose in the platform's table; [`tickets`] keeps keys that a node mints in that
//! node's memory, so that they work while the platform is down. Tickets are lost if the process is
//! killed.

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

/// The delay after which a caller should retry if the outcome is *not run* or *unknown*, in
/// milliseconds.
const RETRY_AFTER_MS: u64 = 500;

/// The requests of a node that must run at most once.
#[derive(Debug, Default)]
pub struct DeduplicationSystem {
    batcher: Batcher,
    claims: Claims,
    tickets: Tickets,
    forwarded: ForwardedRequests,
    handover: Option<Handover>,
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
                self.forwarded.handle_request(request, ticket, head, membership, batcher, out);
                false
            }
            Deduplication::Key(_) if self.handover.is_some() => {
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

    /// Handles the end of relaying a response; `stored` is the response to return for retries.
    pub fn handle_relay_end(
        &mut self,
        request: RequestKey,
        stored: Option<StoredAnswer>,
        out: &mut Outbox,
    ) {
        self.forwarded.forget(request);
        self.tickets.handle_response(request, stored.clone());
        self.claims.handle_response(request, stored, &mut self.batcher);
        self.batcher.flush(out);
    }

    /// Handles the disconnection of a request's caller.
    pub fn handle_caller_disconnect(&mut self, request: RequestKey, out: &mut Outbox) {
        self.forwarded.forget(request);
        self.tickets.handle_caller_disconnect(request);
        self.claims.handle_caller_disconnect(request, &mut self.batcher);
        self.batcher.flush(out);
    }

    /// Handles a table result; returns false if this system did not request the operation.
    pub fn handle_table_result(
        &mut self,
        operation: OperationKey,
        result: &TableResult,
        out: &mut Outbox,
    ) -> bool {
        let Some(replies) = self.batcher.handle_result(operation, result) else {
            return false;
        };
        for (requester, reply) in replies {
            self.handle_reply(requester, reply, out);
        }
        self.batcher.flush(out);
        true
    }

    fn handle_reply(&mut self, requester: Requester, reply: Reply, out: &mut Outbox) {
        match requester {
            Requester::Claim(request) => {
                self.claims.handle_reply(request, reply, &mut self.batcher, out);
            }
            Requester::Ticket(request) => self.forwarded.handle_reply(request, &reply, out),
            Requester::Handover(index) => {
                if let Some(handover) = &mut self.handover {
                    handover.handle_reply(index, &reply, &mut self.batcher, out);
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

    /// Handles another VM's response to a forwarded request; returns false if the request was not
    /// forwarded.
    pub fn handle_hop_response(&self, request: RequestKey, attempt: u32, out: &mut Outbox) -> bool {
        self.forwarded.handle_hop_response(request, attempt, out)
    }

    /// Handles the failure of a request forwarded to another VM; returns false if the request was not
    /// forwarded.
    pub fn handle_hop_failure(
        &mut self,
        request: RequestKey,
        failure: HopFailure,
        membership: &Membership,
        out: &mut Outbox,
    ) -> bool {
        let was_forwarded =
            self.forwarded.handle_hop_failure(request, failure, membership, &mut self.batcher, out);
        self.batcher.flush(out);
        was_forwarded
    }

    /// Stores the tickets that a peer hands over.
    pub fn store_handover(&mut self, tickets: TicketHandover) {
        self.forwarded.store_handover(tickets);
    }

    /// Handles the result of sending a copy of this node's tickets to a successor.
    pub fn handle_copy_result(&mut self, operation: OperationKey, accepted: bool) {
        if let Some(handover) = &mut self.handover {
            handover.handle_copy_result(operation, accepted);
        }
    }

    /// Closes the tickets to new requests and, once none is running, hands over their state; returns
    /// true once the handover is complete or has timed out.
    ///
    /// Called at each tick once the node has nothing in flight.
    pub fn poll_handover(&mut self, membership: &Membership, out: &mut Outbox) -> bool {
        self.tickets.close();
        if !self.tickets.is_idle() || !self.forwarded.is_idle() {
            return false;
        }
        if self.handover.is_none() {
            let tickets = self.tickets.handover(out);
            self.handover = Some(Handover::new(tickets, membership, &mut self.batcher, out));
            self.batcher.flush(out);
        }
        let unsettled_claims = self.claims.unsettled_count();
        self.handover.as_ref().is_some_and(|handover| handover.is_done(unsettled_claims, out))
    }

    /// Retries table writes, times out waiting requests, and expires claims and tickets.
    pub fn tick(&mut self, out: &mut Outbox) {
        self.claims.tick(&mut self.batcher, out);
        self.forwarded.tick(out);
        self.tickets.expire(out.now_ms());
        if let Some(handover) = &mut self.handover {
            handover.tick(&mut self.batcher, out);
        }
        self.batcher.flush(out);
    }

    /// Records the outcomes among an event's actions and returns the actions to perform. An outcome
    /// that has to wait for the release of its claim is held back, for a limited time.
    ///
    /// Every outcome passes through here, so no caller is told *not run* before the node has started
    /// to release the claim.
    pub fn intercept_outcomes(&mut self, out: &mut Outbox) -> Vec<Action> {
        let mut actions = Vec::new();
        for action in out.take_actions() {
            match action {
                Action::Conclude { request, outcome } => {
                    self.tickets.handle_outcome(request, &outcome);
                    let outcome =
                        self.claims.handle_outcome(request, outcome, &mut self.batcher, out);
                    actions.extend(outcome.map(|outcome| Action::Conclude { request, outcome }));
                }
                other => actions.push(other),
            }
        }
        self.batcher.flush(out);
        actions.extend(out.take_actions());
        actions
    }
}

/// Returns the outcome of a request that was not run and will not be.
fn not_run(reason: RejectionReason) -> Outcome {
    let rejection = Rejection { reason, retry_after_ms: RETRY_AFTER_MS };
    Outcome::NotRun { refusal: rejection, others: Vec::new() }
}

/// Returns whether an attempt must not run because the caller was told *not run* for `denied`.
///
/// The caller may have continued with another key, so neither an earlier attempt that arrives late
/// nor a duplicate of the same attempt may run. A request without an attempt number (0) counts as
/// earlier than all numbered attempts, but not as a duplicate of another one without a number.
fn is_denied(attempt: u32, denied: u32) -> bool {
    attempt < denied || (attempt == denied && attempt != 0)
}

/// Returns the outcome of a request that was not sent while the state of its key is unknown.
///
/// The outcome is *not run* only for attempt 1. For a later attempt, or a request without an attempt
/// number, an earlier attempt may have run elsewhere.
fn unsettled(attempt: u32, reason: RejectionReason) -> Outcome {
    if attempt == 1 { not_run(reason) } else { Outcome::Unknown { retry_after_ms: RETRY_AFTER_MS } }
}

/// Replaces *not run* with *unknown* unless the request is attempt 1. Used for requests that were
/// rejected before their key was looked up.
pub fn not_run_to_unknown(head: &RequestHead, outcome: &mut Outcome) {
    if matches!(outcome, Outcome::NotRun { .. }) && head.attempt != 1 {
        *outcome = Outcome::Unknown { retry_after_ms: RETRY_AFTER_MS };
    }
}

/// Returns the outcome of a request of which this node had started no attempt when it ended.
///
/// Without a key or ticket no other attempt belongs to the request, so it was certainly not run.
pub fn node_ended(head: &RequestHead) -> Outcome {
    match head.deduplication {
        Deduplication::Repeatable => not_run(RejectionReason::NotReady),
        Deduplication::Key(_) | Deduplication::Ticket(_) => {
            unsettled(head.attempt, RejectionReason::NotReady)
        }
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
