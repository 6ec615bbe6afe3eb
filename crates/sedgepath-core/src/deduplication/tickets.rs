//! Tickets: actions that run at most once under keys that this boot mints.
//!
//! # Problem
//!
//! Claims need the table, which may be away for long. A key that one process alone may spend needs
//! neither a store nor an agreement: that process remembers what it has spent.
//!
//! # Ways weighed
//!
//! Tickets that any VM may run while it holds a lease on them compare clocks of different machines,
//! and a paused holder acts after its lease. Tickets that are bound to a VM but not to its boot would
//! be run again by a restarted process, whose memory is empty. A copy of the spent ones at a peer
//! before each send would save them from a kill, at the price of a round trip on every request.
//!
//! # Invariants
//!
//! - Only the boot that minted a ticket runs it, and it marks the ticket before it sends. Every other
//!   process forwards the request; see [`super::visitors`].
//! - A used ticket is remembered for [`GRACE_MS`] longer than it is valid, so that *never used* can be
//!   told of a lapsed one for a while. After that it is *unknown*.
//! - Memory is bounded: at most [`MAX_LIVE`] tickets are valid at once, and at most
//!   [`MAX_ANSWER_BYTES`] of answers are kept; a repeat whose answer was not kept is *unknown*.
//! - The price: the tickets that a killed process had spent or given out are *unknown* for good.

use std::collections::VecDeque;

use crate::hash::{Digest, Map};
use crate::key::{RequestKey, ServiceKey};
use crate::outbox::Outbox;
use crate::request::{Outcome, RejectionReason, RequestHead, StoredAnswer, Ticket};

use super::row::{ClaimState, HandedTicket, TicketHandover, TicketRow};
use super::{RETRY_AFTER_MS, conclude, is_denied, not_run};

/// How long a ticket is valid, in milliseconds.
pub const TICKET_VALIDITY_MS: u64 = 600_000;

/// How long a used ticket is remembered after it has lapsed, in milliseconds.
pub const GRACE_MS: u64 = 60_000;

/// The most tickets of a boot that are valid at once.
pub const MAX_LIVE: usize = 20_000;

/// The most bytes of answers that are kept for repeats.
pub const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// The most tickets that are minted at once.
pub const MAX_MINTED: u32 = 100;

/// Why no tickets were minted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum MintError {
    /// No such service.
    #[error("no service has this name")]
    NoService,
    /// The number is none or too large.
    #[error("between 1 and {MAX_MINTED} tickets can be had at once")]
    CountOutOfRange,
    /// Too many tickets are valid.
    #[error("too many tickets of this node are valid")]
    TooManyValidTickets,
    /// The node is about to stop.
    #[error("the node is about to stop")]
    Stopping,
}

impl MintError {
    /// Returns the reason's name as sent to callers.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoService => "no_service",
            Self::CountOutOfRange => "count",
            Self::TooManyValidTickets => "tickets_full",
            Self::Stopping => "not_ready",
        }
    }
}

/// Tickets that were minted together.
#[derive(Debug)]
struct Minted {
    expires_at_ms: u64,
    count: usize,
}

/// When a used ticket may be forgotten.
#[derive(Debug)]
struct Lapse {
    forget_at_ms: u64,
    number: u64,
}

/// The tickets that this boot has minted.
#[derive(Debug, Default)]
pub struct Tickets {
    next_number: u64,
    minted: VecDeque<Minted>,
    live: usize,
    used: Map<u64, TicketRow>,
    lapses: VecDeque<Lapse>,
    running: Map<RequestKey, u64>,
    answer_bytes: usize,
    closed: bool,
}

impl Tickets {
    /// Mints tickets for a service.
    ///
    /// # Errors
    ///
    /// Fails if the number is out of bounds, too many are valid, or the node is about to stop.
    pub fn mint(
        &mut self,
        service: ServiceKey,
        count: u32,
        out: &Outbox,
    ) -> Result<Vec<Ticket>, MintError> {
        self.lapse(out.now_ms());
        if count == 0 || count > MAX_MINTED {
            return Err(MintError::CountOutOfRange);
        }
        if self.closed {
            return Err(MintError::Stopping);
        }
        if self.live + count as usize > MAX_LIVE {
            return Err(MintError::TooManyValidTickets);
        }
        let expires_at_ms = out.now_ms() + TICKET_VALIDITY_MS;
        self.live += count as usize;
        self.minted.push_back(Minted { expires_at_ms, count: count as usize });
        let first = self.next_number;
        self.next_number += u64::from(count);
        let identity = out.identity();
        let ticket = |number| Ticket {
            home: identity.vm,
            boot: identity.boot,
            number,
            service,
            expires_at_ms,
        };
        Ok((first..self.next_number).map(ticket).collect())
    }

    /// Takes a request with a ticket of this boot; returns true if it may be started.
    pub fn admit(
        &mut self,
        request: RequestKey,
        ticket: Ticket,
        head: &RequestHead,
        out: &mut Outbox,
    ) -> bool {
        if let Some(outcome) = self.answer(ticket, head, out.now_ms()) {
            conclude(request, outcome, out);
            return false;
        }
        self.spend(request, ticket, head);
        true
    }

    /// Returns the outcome of a request that may not be started.
    fn answer(&self, ticket: Ticket, head: &RequestHead, now_ms: u64) -> Option<Outcome> {
        if ticket.service != ServiceKey::of(&head.service) {
            return Some(Outcome::KeyReused);
        }
        match self.used.get(&ticket.number) {
            Some(row) if row.digest != head.digest => Some(Outcome::KeyReused),
            Some(row) => match &row.state {
                ClaimState::NotRun if is_denied(head.attempt, row.attempt) => {
                    Some(not_run(RejectionReason::TicketVoid))
                }
                ClaimState::NotRun => self.refusal(ticket, now_ms).map(not_run),
                ClaimState::Answered(Some(stored)) => Some(Outcome::Repeated(stored.clone())),
                ClaimState::Held | ClaimState::Answered(None) => {
                    Some(Outcome::Unknown { retry_after_ms: RETRY_AFTER_MS })
                }
            },
            None if ticket.number >= self.next_number
                || ticket.expires_at_ms + GRACE_MS <= now_ms =>
            {
                Some(Outcome::Unknown { retry_after_ms: RETRY_AFTER_MS })
            }
            None => self.refusal(ticket, now_ms).map(not_run),
        }
    }

    /// Returns why a ticket that has surely not run may not be run now.
    fn refusal(&self, ticket: Ticket, now_ms: u64) -> Option<RejectionReason> {
        if ticket.expires_at_ms <= now_ms {
            Some(RejectionReason::TicketVoid)
        } else if self.closed {
            Some(RejectionReason::NotReady)
        } else {
            None
        }
    }

    fn spend(&mut self, request: RequestKey, ticket: Ticket, head: &RequestHead) {
        let row = TicketRow { digest: head.digest, attempt: head.attempt, state: ClaimState::Held };
        if self.used.insert(ticket.number, row).is_none() {
            let forget_at_ms = ticket.expires_at_ms + GRACE_MS;
            self.lapses.push_back(Lapse { forget_at_ms, number: ticket.number });
        }
        self.running.insert(request, ticket.number);
    }

    /// Takes in the outcome of a request.
    pub fn concluded(&mut self, request: RequestKey, outcome: &Outcome) {
        if let Some(row) = self.ended(request)
            && !matches!(outcome, Outcome::Unknown { .. })
        {
            row.state = ClaimState::NotRun;
        }
    }

    /// Takes in the answer of a request, for its repeats.
    pub fn answered(&mut self, request: RequestKey, stored: Option<StoredAnswer>) {
        let size = stored.as_ref().map_or(0, |stored| stored.body.len());
        let fits = self.answer_bytes + size <= MAX_ANSWER_BYTES;
        if let Some(row) = self.ended(request) {
            row.state = ClaimState::Answered(stored.filter(|_| fits));
            self.answer_bytes += if fits { size } else { 0 };
        }
    }

    /// Takes in that a request's caller has gone: nobody will learn of its end.
    pub fn caller_gone(&mut self, request: RequestKey) {
        self.running.remove(&request);
    }

    fn ended(&mut self, request: RequestKey) -> Option<&mut TicketRow> {
        let number = self.running.remove(&request)?;
        self.used.get_mut(&number)
    }

    /// Forgets what has lapsed.
    pub fn lapse(&mut self, now_ms: u64) {
        while let Some(minted) = self.minted.pop_front_if(|minted| minted.expires_at_ms <= now_ms) {
            self.live -= minted.count;
        }
        while let Some(lapse) = self.lapses.pop_front_if(|lapse| lapse.forget_at_ms <= now_ms) {
            if let Some(row) = self.used.remove(&lapse.number) {
                self.answer_bytes -= answer_bytes(&row);
            }
        }
    }

    /// Stops running tickets.
    pub fn close(&mut self) {
        self.closed = true;
    }

    /// Whether no ticket is being run.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty()
    }

    /// Returns what a successor has to know to answer for the tickets of this boot.
    pub fn handed_over(&self, out: &Outbox) -> Option<TicketHandover> {
        if self.live == 0 && self.used.is_empty() {
            return None;
        }
        let ticket =
            |(number, row): (&u64, &TicketRow)| HandedTicket { number: *number, row: row.clone() };
        let mut used: Vec<_> = self.used.iter().map(ticket).collect();
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

fn answer_bytes(row: &TicketRow) -> usize {
    match &row.state {
        ClaimState::Answered(Some(stored)) => stored.body.len(),
        _ => 0,
    }
}

/// Returns the outcome of a request whose ticket's home has handed over, from what it left.
///
/// A home hands over only once it runs nothing any more, so a ticket that it did not use never runs.
pub fn answer_for(ticket: Ticket, digest: Digest, left: &Left) -> Outcome {
    let outcome = match (&left.row, left.next_number) {
        (Some(row), _) if row.digest != digest => return Outcome::KeyReused,
        (Some(TicketRow { state: ClaimState::Answered(Some(stored)), .. }), _) => {
            return Outcome::Repeated(stored.clone());
        }
        (Some(TicketRow { state: ClaimState::NotRun, .. }), _) => Some(RejectionReason::TicketVoid),
        (None, next_number)
            if ticket.number < next_number
                && left.handed_over_at_ms < ticket.expires_at_ms + GRACE_MS =>
        {
            Some(RejectionReason::TicketVoid)
        }
        _ => None,
    };
    outcome.map_or(Outcome::Unknown { retry_after_ms: RETRY_AFTER_MS }, not_run)
}

/// What a home that has handed over left about one ticket.
#[derive(Debug)]
pub struct Left {
    /// The first number that it did not mint.
    pub next_number: u64,
    /// When it handed over, in milliseconds by its own clock.
    pub handed_over_at_ms: u64,
    /// What became of the ticket, if it was used.
    pub row: Option<TicketRow>,
}

impl Left {
    /// Finds a ticket among those handed over.
    pub fn of(tickets: &TicketHandover, number: u64) -> Self {
        let found = tickets.used.binary_search_by_key(&number, |ticket| ticket.number);
        Self {
            next_number: tickets.next_number,
            handed_over_at_ms: tickets.handed_over_at_ms,
            row: found.ok().map(|index| tickets.used[index].row.clone()),
        }
    }
}
