//! At-most-once execution under tickets, which are keys that this boot mints.
//!
//! Claims need the table, which may be unavailable. A ticket may be run only by the process that
//! minted it, so it suffices to store the used tickets in that process's memory. Tickets are bound to
//! a boot and not only to a VM, since a restarted process has lost that memory.
//!
//! # Invariants
//!
//! - Only the boot that minted a ticket runs it, and it marks the ticket as used before it sends the
//!   request. Every other process forwards the request; see [`super::forwarding`].
//! - A used ticket is stored until [`USED_TICKET_GRACE_MS`] after it expires, so that until then the
//!   outcome of an expired ticket that is not stored is *not run*. After that it is *unknown*.
//! - At most [`MAX_VALID_TICKETS`] tickets are valid at once, and at most
//!   [`MAX_STORED_ANSWER_BYTES`] of responses are stored. The outcome of a retry whose response
//!   was not stored is *unknown*.
//! - If the process is killed, the state of its tickets, used or not, is lost for good.

use std::collections::VecDeque;

use crate::hash::{Digest, Map};
use crate::key::{RequestKey, ServiceKey};
use crate::outbox::Outbox;
use crate::request::{Outcome, RejectionReason, RequestHead, StoredAnswer, Ticket};

use super::row::{ClaimState, TicketHandover, TicketRow, UsedTicket};
use super::{RETRY_AFTER_MS, conclude, is_denied, not_run};

/// How long a ticket is valid, in milliseconds.
pub const TICKET_VALIDITY_MS: u64 = 600_000;

/// How long a used ticket is stored after it expires, in milliseconds.
pub const USED_TICKET_GRACE_MS: u64 = 60_000;

/// The maximum number of valid tickets of a boot.
pub const MAX_VALID_TICKETS: usize = 20_000;

/// The maximum total size of the responses stored for retries, in bytes.
pub const MAX_STORED_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// The maximum number of tickets in one mint request.
pub const MAX_TICKETS_PER_MINT: u32 = 100;

/// Why no tickets were minted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum MintError {
    /// The service does not exist.
    #[error("no service has this name")]
    NoService,
    /// The requested number is 0 or too large.
    #[error("the number of tickets must be between 1 and {MAX_TICKETS_PER_MINT}")]
    CountOutOfRange,
    /// The number of valid tickets would exceed the maximum.
    #[error("this node has too many valid tickets")]
    TooManyValidTickets,
    /// The node is stopping and mints no more tickets.
    #[error("the node is stopping")]
    Stopping,
}

impl MintError {
    /// Returns the name that is sent to callers.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoService => "no_service",
            Self::CountOutOfRange => "count",
            Self::TooManyValidTickets => "tickets_full",
            Self::Stopping => "not_ready",
        }
    }
}

/// The number of tickets that were minted together, and their expiry time.
#[derive(Debug)]
struct MintedBatch {
    expires_at_ms: u64,
    count: usize,
}

/// The time at which a used ticket is removed from memory.
#[derive(Debug)]
struct UsedTicketExpiry {
    remove_at_ms: u64,
    number: u64,
}

/// The tickets of this boot.
#[derive(Debug, Default)]
pub struct Tickets {
    next_number: u64,
    minted_batches: VecDeque<MintedBatch>,
    valid_count: usize,
    used: Map<u64, TicketRow>,
    used_expiries: VecDeque<UsedTicketExpiry>,
    running: Map<RequestKey, u64>,
    stored_response_bytes: usize,
    closed: bool,
}

impl Tickets {
    /// Mints `count` tickets for a service.
    ///
    /// # Errors
    ///
    /// Returns an error if `count` is out of range, too many tickets are valid, or the node is
    /// stopping.
    pub fn mint(
        &mut self,
        service: ServiceKey,
        count: u32,
        out: &Outbox,
    ) -> Result<Vec<Ticket>, MintError> {
        self.expire(out.now_ms());
        if count == 0 || count > MAX_TICKETS_PER_MINT {
            return Err(MintError::CountOutOfRange);
        }
        if self.closed {
            return Err(MintError::Stopping);
        }
        if self.valid_count + count as usize > MAX_VALID_TICKETS {
            return Err(MintError::TooManyValidTickets);
        }
        let expires_at_ms = out.now_ms() + TICKET_VALIDITY_MS;
        self.valid_count += count as usize;
        self.minted_batches.push_back(MintedBatch { expires_at_ms, count: count as usize });
        let first_number = self.next_number;
        self.next_number += u64::from(count);
        let identity = out.identity();
        let ticket = |number| Ticket {
            home: identity.vm,
            boot: identity.boot,
            number,
            service,
            expires_at_ms,
        };
        Ok((first_number..self.next_number).map(ticket).collect())
    }

    /// Handles a request with a ticket of this boot; returns true if it may be started.
    pub fn admit(
        &mut self,
        request: RequestKey,
        ticket: Ticket,
        head: &RequestHead,
        out: &mut Outbox,
    ) -> bool {
        if let Some(outcome) = self.immediate_outcome(ticket, head, out.now_ms()) {
            conclude(request, outcome, out);
            return false;
        }
        self.mark_used(request, ticket, head);
        true
    }

    /// Returns the outcome of a request that must not be started, or `None` if it may be started.
    fn immediate_outcome(
        &self,
        ticket: Ticket,
        head: &RequestHead,
        now_ms: u64,
    ) -> Option<Outcome> {
        if ticket.service != ServiceKey::of(&head.service) {
            return Some(Outcome::KeyReused);
        }
        match self.used.get(&ticket.number) {
            Some(row) if row.digest != head.digest => Some(Outcome::KeyReused),
            Some(row) => match &row.state {
                ClaimState::NotRun if is_denied(head.attempt, row.attempt) => {
                    Some(not_run(RejectionReason::TicketVoid))
                }
                ClaimState::NotRun => self.rejection_reason(ticket, now_ms).map(not_run),
                ClaimState::Answered(Some(stored)) => Some(Outcome::Repeated(stored.clone())),
                ClaimState::Held | ClaimState::Answered(None) => {
                    Some(Outcome::Unknown { retry_after_ms: RETRY_AFTER_MS })
                }
            },
            None if ticket.number >= self.next_number
                || ticket.expires_at_ms + USED_TICKET_GRACE_MS <= now_ms =>
            {
                Some(Outcome::Unknown { retry_after_ms: RETRY_AFTER_MS })
            }
            None => self.rejection_reason(ticket, now_ms).map(not_run),
        }
    }

    /// Returns why a ticket that was certainly not run must not be run now, or `None` if it may be.
    fn rejection_reason(&self, ticket: Ticket, now_ms: u64) -> Option<RejectionReason> {
        if ticket.expires_at_ms <= now_ms {
            Some(RejectionReason::TicketVoid)
        } else if self.closed {
            Some(RejectionReason::NotReady)
        } else {
            None
        }
    }

    fn mark_used(&mut self, request: RequestKey, ticket: Ticket, head: &RequestHead) {
        let row = TicketRow { digest: head.digest, attempt: head.attempt, state: ClaimState::Held };
        if self.used.insert(ticket.number, row).is_none() {
            let remove_at_ms = ticket.expires_at_ms + USED_TICKET_GRACE_MS;
            self.used_expiries.push_back(UsedTicketExpiry { remove_at_ms, number: ticket.number });
        }
        self.running.insert(request, ticket.number);
    }

    /// Handles the outcome of a request that ended without a response.
    pub fn handle_outcome(&mut self, request: RequestKey, outcome: &Outcome) {
        if let Some(row) = self.end_run(request)
            && !matches!(outcome, Outcome::Unknown { .. })
        {
            row.state = ClaimState::NotRun;
        }
    }

    /// Handles the response to a request, to be stored for retries.
    pub fn handle_response(&mut self, request: RequestKey, stored: Option<StoredAnswer>) {
        let size_bytes = stored.as_ref().map_or(0, |stored| stored.body.len());
        let fits = self.stored_response_bytes + size_bytes <= MAX_STORED_ANSWER_BYTES;
        if let Some(row) = self.end_run(request) {
            row.state = ClaimState::Answered(stored.filter(|_| fits));
            self.stored_response_bytes += if fits { size_bytes } else { 0 };
        }
    }

    /// Handles the disconnection of a request's caller. The end of the request will not be reported.
    pub fn handle_caller_disconnect(&mut self, request: RequestKey) {
        self.running.remove(&request);
    }

    /// Removes a request from the running ones and returns the state of its ticket.
    fn end_run(&mut self, request: RequestKey) -> Option<&mut TicketRow> {
        let number = self.running.remove(&request)?;
        self.used.get_mut(&number)
    }

    /// Stops counting expired tickets as valid, and removes used ones [`USED_TICKET_GRACE_MS`] after
    /// they expire.
    pub fn expire(&mut self, now_ms: u64) {
        while let Some(batch) =
            self.minted_batches.pop_front_if(|batch| batch.expires_at_ms <= now_ms)
        {
            self.valid_count -= batch.count;
        }
        while let Some(expiry) =
            self.used_expiries.pop_front_if(|expiry| expiry.remove_at_ms <= now_ms)
        {
            if let Some(row) = self.used.remove(&expiry.number) {
                self.stored_response_bytes -= response_bytes(&row);
            }
        }
    }

    /// Stops minting and running tickets.
    pub fn close(&mut self) {
        self.closed = true;
    }

    /// Returns whether no ticket's request is running.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty()
    }

    /// Returns the state to hand over, or `None` if no ticket is valid and no used one is stored.
    pub fn handover(&self, out: &Outbox) -> Option<TicketHandover> {
        if self.valid_count == 0 && self.used.is_empty() {
            return None;
        }
        let used_ticket =
            |(number, row): (&u64, &TicketRow)| UsedTicket { number: *number, row: row.clone() };
        let mut used: Vec<_> = self.used.iter().map(used_ticket).collect();
        used.sort_unstable_by_key(|ticket| ticket.number);
        Some(TicketHandover {
            vm: out.identity().vm,
            boot: out.identity().boot,
            next_number: self.next_number,
            handed_over_at_ms: out.now_ms(),
            used,
        })
    }
}

fn response_bytes(row: &TicketRow) -> usize {
    match &row.state {
        ClaimState::Answered(Some(stored)) => stored.body.len(),
        _ => 0,
    }
}

/// Returns the outcome of a request whose ticket's home has handed its tickets over.
///
/// A home hands over its tickets only after it has stopped running them, so an unused ticket never
/// runs.
pub fn outcome_after_handover(
    ticket: Ticket,
    digest: Digest,
    handed_over: &HandedOverTicket,
) -> Outcome {
    let reason = match (&handed_over.row, handed_over.next_number) {
        (Some(row), _) if row.digest != digest => return Outcome::KeyReused,
        (Some(TicketRow { state: ClaimState::Answered(Some(stored)), .. }), _) => {
            return Outcome::Repeated(stored.clone());
        }
        (Some(TicketRow { state: ClaimState::NotRun, .. }), _) => Some(RejectionReason::TicketVoid),
        (None, next_number)
            if ticket.number < next_number
                && handed_over.handed_over_at_ms < ticket.expires_at_ms + USED_TICKET_GRACE_MS =>
        {
            Some(RejectionReason::TicketVoid)
        }
        _ => None,
    };
    reason.map_or(Outcome::Unknown { retry_after_ms: RETRY_AFTER_MS }, not_run)
}

/// The state of one ticket in a handover.
#[derive(Debug)]
pub struct HandedOverTicket {
    /// The first ticket number that the home did not mint.
    pub next_number: u64,
    /// The start of the handover, in milliseconds by the home's clock.
    pub handed_over_at_ms: u64,
    /// The state of the ticket; `None` if it was not used or was removed from memory.
    pub row: Option<TicketRow>,
}

impl HandedOverTicket {
    /// Returns the state of the ticket with the given number in a handover.
    pub fn find(handover: &TicketHandover, number: u64) -> Self {
        let index = handover.used.binary_search_by_key(&number, |ticket| ticket.number);
        Self {
            next_number: handover.next_number,
            handed_over_at_ms: handover.handed_over_at_ms,
            row: index.ok().map(|index| handover.used[index].row.clone()),
        }
    }
}
