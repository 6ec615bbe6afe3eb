//! Requests that must run at most once.
//!
//! [`DeduplicationSystem`] stands between the arrival of a request and its first attempt, and hears of its
//! end. There are two paths, and a key never passes from one to the other: [`claims`] for keys that
//! callers choose, over the platform's table; [`tickets`] for keys that a node mints, over the memory
//! of its boot alone, so that they work while the platform is down.

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
pub mod handover;
pub mod row;
mod sweep;
pub mod tickets;
pub mod visitors;

use batch::{Batcher, Job, Reply};
use claims::Claims;
use handover::HandOver;
use row::TicketHandover;
use tickets::{MintError, Tickets};
use visitors::Visitors;

/// When a caller should come back to learn more of its action, in milliseconds.
const RETRY_AFTER_MS: u64 = 500;

/// The once-only requests of a node.
#[derive(Debug, Default)]
pub struct DeduplicationSystem {
    batcher: Batcher,
    claims: Claims,
    tickets: Tickets,
    visitors: Visitors,
    poll_handover: Option<HandOver>,
}

impl DeduplicationSystem {
    /// Takes a request; returns true if it may be started now. Otherwise it gets its outcome, or
    /// comes back from [`Self::take_granted`].
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

    /// Returns the requests that may be started since the last call.
    pub fn take_granted(&mut self) -> Vec<(RequestKey, RequestHead)> {
        self.claims.take_granted()
    }

    /// Takes in the end of an answer on its way to its caller, with the answer for repeats.
    pub fn handle_relay_end(
        &mut self,
        request: RequestKey,
        stored: Option<StoredAnswer>,
        out: &mut Outbox,
    ) {
        self.visitors.forget(request);
        self.tickets.answered(request, stored.clone());
        self.claims.answered(request, stored, &mut self.batcher);
        self.batcher.flush(out);
    }

    /// Takes in that a request's caller has gone.
    pub fn handle_caller_disconnect(&mut self, request: RequestKey, out: &mut Outbox) {
        self.visitors.forget(request);
        self.tickets.caller_gone(request);
        self.claims.caller_gone(request, &mut self.batcher);
        self.batcher.flush(out);
    }

    /// Takes in the result of a request to the table; returns false if it is not one of this system.
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

    fn replied(&mut self, job: Job, reply: Reply, out: &mut Outbox) {
        match job {
            Job::Claim(request) => {
                self.claims.replied(request, reply, &mut self.batcher, out);
            }
            Job::Ticket(request) => self.visitors.replied(request, &reply, out),
            Job::HandOver(index) => {
                if let Some(hand_over) = &mut self.poll_handover {
                    hand_over.replied(index, &reply, &mut self.batcher, out);
                }
            }
        }
    }

    /// Mints tickets for a service.
    ///
    /// # Errors
    ///
    /// Fails if the number is out of bounds, too many are valid, or the node is about to stop.
    pub fn mint_tickets(
        &mut self,
        service: ServiceKey,
        count: u32,
        out: &Outbox,
    ) -> Result<Vec<Ticket>, MintError> {
        self.tickets.mint(service, count, out)
    }

    /// Takes in the answer of another home; returns false if the request was not sent to one.
    pub fn handle_hop_response(&self, request: RequestKey, attempt: u32, out: &mut Outbox) -> bool {
        self.visitors.hop_answered(request, attempt, out)
    }

    /// Takes in the end of a hop to another home; returns false if the request was not sent to one.
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

    /// Keeps the tickets that a peer has handed over.
    pub fn store_handover(&mut self, tickets: TicketHandover) {
        self.visitors.keep(tickets);
    }

    /// Takes in whether a successor has taken this node's tickets over.
    pub fn handle_copy_result(&mut self, operation: OperationKey, taken: bool) {
        if let Some(hand_over) = &mut self.poll_handover {
            hand_over.copied(operation, taken);
        }
    }

    /// Stops running once-only requests and hands over what others need to answer for them; returns
    /// true once that is done, or has failed for good. To be called at each tick from the moment at
    /// which the node has nothing in flight.
    pub fn poll_handover(&mut self, membership: &Membership, out: &mut Outbox) -> bool {
        self.tickets.close();
        if !self.tickets.is_idle() || !self.visitors.is_idle() {
            return false;
        }
        if self.poll_handover.is_none() {
            let tickets = self.tickets.handed_over(out);
            self.poll_handover = Some(HandOver::new(tickets, membership, &mut self.batcher, out));
            self.batcher.flush(out);
        }
        let claims = self.claims.unsettled();
        self.poll_handover.as_ref().is_some_and(|hand_over| hand_over.is_done(claims, out))
    }

    /// Runs what works by time.
    pub fn tick(&mut self, out: &mut Outbox) {
        self.claims.tick(&mut self.batcher, out);
        self.visitors.tick(out);
        self.tickets.lapse(out.now_ms());
        if let Some(hand_over) = &mut self.poll_handover {
            hand_over.tick(&mut self.batcher, out);
        }
        self.batcher.flush(out);
    }

    /// Looks through the actions of an event for outcomes of once-only requests. An outcome that
    /// has to wait for the table is taken out and given later.
    ///
    /// The actions are the one place that all ends of a request pass, whatever decided them, so no
    /// retry can be told *not run* without the claim's release.
    pub fn intercept_outcomes(&mut self, out: &mut Outbox) -> Vec<Action> {
        let mut kept = Vec::new();
        for action in out.take_actions() {
            match action {
                Action::Conclude { request, outcome } => {
                    self.tickets.concluded(request, &outcome);
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
fn not_run(reason: RejectionReason) -> Outcome {
    let refusal = Rejection { reason, retry_after_ms: RETRY_AFTER_MS };
    Outcome::NotRun { refusal, others: Vec::new() }
}

/// Whether an attempt was overtaken by one whose caller has been told *not run*.
///
/// That caller may have turned to another key by then, so neither an earlier attempt that comes late
/// nor the same one sent again may run. A request without a number (0) is a new try of its caller.
fn is_denied(attempt: u32, denied: u32) -> bool {
    attempt < denied || (attempt == denied && attempt != 0)
}

/// The outcome of a request that was not sent although nothing is known of its key.
///
/// *Not run* is said of the first attempt only. A later one asks about the action, and an earlier
/// attempt may have run elsewhere; a caller that heard *not run* then might start the action anew
/// under another key. A request that does not say which attempt it is may be a repeat.
fn unsettled(attempt: u32, reason: RejectionReason) -> Outcome {
    if attempt == 1 { not_run(reason) } else { Outcome::Unknown { retry_after_ms: RETRY_AFTER_MS } }
}

/// Turns *not run* into *unknown* for a request that was denied before its key was looked at, unless
/// it is the first with that key.
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
/// The organisation's key is part of it, so that one organisation can neither meet nor probe the
/// keys of another.
pub fn key_digest(service: &str, organisation: Option<Digest>, key: &[u8]) -> Digest {
    let organisation = organisation.map_or([0; 16], |digest| digest.0);
    Digest::of(&[b"idempotency key", service.as_bytes(), &organisation, key])
}
