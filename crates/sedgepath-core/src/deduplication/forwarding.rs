//! Requests with tickets that another boot minted.
//!
//! Such a request is never run here. It is forwarded to the ticket's home, the boot that minted the
//! ticket. If that boot is gone, the request is answered from the state that it handed over: a copy
//! here or at a successor, or its rows in the table. Without that state the outcome is *unknown*,
//! or *not run* for attempt 1.

use crate::event::Action;
use crate::hash::{Digest, Map};
use crate::key::{BootId, RequestKey, VmKey};
use crate::membership::Membership;
use crate::outbox::Outbox;
use crate::rendezvous;
use crate::request::{HopFailure, Outcome, RejectionReason, RequestHead, Ticket};
use crate::table::Row;

use super::batch::{Batcher, Reply, Requester};
use super::row::{HandoverRow, TicketHandover, TicketRow};
use super::tickets::{HandedOverTicket, outcome_after_handover};
use super::{RETRY_AFTER_MS, conclude, unsettled};

/// The number of successors to which a node hands its tickets over.
pub const SUCCESSOR_COUNT: usize = 2;

/// The maximum number of handovers that a node stores for other boots; the oldest is dropped first.
const MAX_STORED_HANDOVERS: usize = 64;

/// What a forwarded request waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// The ticket's home, which alone may run the request.
    AtHome,
    /// A successor of the home, which may have a copy of the home's tickets.
    AtSuccessor,
    /// The read of the rows that the home wrote at its handover.
    Reading,
}

#[derive(Debug)]
struct ForwardedRequest {
    ticket: Ticket,
    digest: Digest,
    attempt: u32,
    deadline_at_ms: u64,
    step: Step,
}

/// The requests with tickets of other boots, and the handovers of other boots.
#[derive(Debug, Default)]
pub struct ForwardedRequests {
    requests: Map<RequestKey, ForwardedRequest>,
    handovers: Vec<TicketHandover>,
}

impl ForwardedRequests {
    /// Handles a request with a ticket that this boot did not mint.
    pub fn take(
        &mut self,
        request: RequestKey,
        ticket: Ticket,
        head: &RequestHead,
        membership: &Membership,
        batcher: &mut Batcher,
        out: &mut Outbox,
    ) {
        if let Some(outcome) = self.answer(ticket, head.digest) {
            conclude(request, outcome, out);
            return;
        }
        let visitor = ForwardedRequest {
            ticket,
            digest: head.digest,
            attempt: head.attempt,
            deadline_at_ms: head.deadline_at_ms,
            step: Step::AtHome,
        };
        self.requests.insert(request, visitor);
        // A request is forwarded at most once, which rules out forwarding loops.
        let forwarded = head.forwarded_by.is_some();
        let home = membership.member(ticket.home).filter(|home| home.boot == ticket.boot);
        match home {
            Some(home) if !forwarded => {
                self.forward(request, ticket.home, home.descriptor.peer_address, 1, out);
            }
            None if !forwarded => self.ask_successor(request, membership, batcher, out),
            _ => self.read(request, batcher),
        }
    }

    /// Stores the handover of another boot, in place of an earlier one of the same boot.
    pub fn keep(&mut self, tickets: TicketHandover) {
        self.handovers.retain(|kept| (kept.vm, kept.boot) != (tickets.vm, tickets.boot));
        if self.handovers.len() == MAX_STORED_HANDOVERS {
            self.handovers.remove(0);
        }
        self.handovers.push(tickets);
    }

    /// Relays the answer to a forwarded request; returns false if the request was not forwarded.
    pub fn hop_answered(&self, request: RequestKey, attempt: u32, out: &mut Outbox) -> bool {
        let known = self.requests.contains_key(&request);
        if known {
            out.push(Action::RelayResponse { request, attempt });
        }
        known
    }

    /// Handles the end of a hop; returns false if the request was not forwarded.
    pub fn hop_ended(
        &mut self,
        request: RequestKey,
        end: HopFailure,
        membership: &Membership,
        batcher: &mut Batcher,
        out: &mut Outbox,
    ) -> bool {
        let Some(visitor) = self.requests.get(&request) else {
            return false;
        };
        match (visitor.step, end) {
            // The home got the request and may have run it.
            (Step::AtHome, HopFailure::Lost) => {
                self.conclude(request, Outcome::Unknown { retry_after_ms: RETRY_AFTER_MS }, out);
            }
            (Step::AtHome, HopFailure::Refused(refusal)) => {
                self.conclude(request, Outcome::NotRun { refusal, others: Vec::new() }, out);
            }
            (Step::AtHome, HopFailure::NotSent) => {
                self.ask_successor(request, membership, batcher, out);
            }
            (Step::AtSuccessor, _) => self.read(request, batcher),
            (Step::Reading, _) => {}
        }
        true
    }

    /// Handles the result of reading the home's rows.
    pub fn replied(&mut self, request: RequestKey, reply: &Reply, out: &mut Outbox) {
        let Some(visitor) = self.requests.get(&request) else {
            return;
        };
        let left = match reply {
            Reply::Rows(rows) => parse_handover_rows(rows, visitor.ticket),
            _ => None,
        };
        let outcome = match left {
            Some(left) => outcome_after_handover(visitor.ticket, visitor.digest, &left),
            None => unsettled(visitor.attempt, RejectionReason::PeerUnreachable),
        };
        self.conclude(request, outcome, out);
    }

    /// Ends requests whose deadline passes while the home's rows are read.
    pub fn tick(&mut self, out: &mut Outbox) {
        let mut late: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, visitor)| visitor.step == Step::Reading)
            .filter(|(_, visitor)| visitor.deadline_at_ms <= out.now_ms())
            .map(|(request, _)| *request)
            .collect();
        late.sort_unstable();
        for request in late {
            self.conclude(request, Outcome::Unknown { retry_after_ms: RETRY_AFTER_MS }, out);
        }
    }

    /// Whether no request with another boot's ticket is in progress.
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty()
    }

    /// Forgets a request that was answered or whose caller disconnected.
    pub fn forget(&mut self, request: RequestKey) {
        self.requests.remove(&request);
    }

    fn answer(&self, ticket: Ticket, digest: Digest) -> Option<Outcome> {
        let kept =
            self.handovers.iter().find(|kept| (kept.vm, kept.boot) == (ticket.home, ticket.boot));
        kept.map(|kept| {
            outcome_after_handover(ticket, digest, &HandedOverTicket::find(kept, ticket.number))
        })
    }

    fn ask_successor(
        &mut self,
        request: RequestKey,
        membership: &Membership,
        batcher: &mut Batcher,
        out: &mut Outbox,
    ) {
        let Some(visitor) = self.requests.get_mut(&request) else {
            return;
        };
        let own = out.identity().vm;
        let ranked = successors(visitor.ticket.home, visitor.ticket.boot, membership, Some(own));
        let other = ranked.into_iter().find(|vm| *vm != own);
        let address =
            other.and_then(|vm| membership.member(vm)).map(|member| member.descriptor.peer_address);
        match (other, address) {
            (Some(vm), Some(address)) => {
                visitor.step = Step::AtSuccessor;
                self.forward(request, vm, address, 2, out);
            }
            _ => self.read(request, batcher),
        }
    }

    fn forward(
        &self,
        request: RequestKey,
        to: VmKey,
        address: std::net::SocketAddr,
        attempt: u32,
        out: &mut Outbox,
    ) {
        if let Some(visitor) = self.requests.get(&request) {
            out.push(Action::ForwardHome {
                request,
                attempt,
                to,
                boot: visitor.ticket.boot,
                address,
                deadline_at_ms: visitor.deadline_at_ms,
            });
        }
    }

    fn read(&mut self, request: RequestKey, batcher: &mut Batcher) {
        if let Some(visitor) = self.requests.get_mut(&request) {
            visitor.step = Step::Reading;
            let Ticket { home, boot, number, .. } = visitor.ticket;
            let keys = vec![HandoverRow::key(home, boot), TicketRow::key(home, boot, number)];
            batcher.read(Requester::Ticket(request), keys);
        }
    }

    fn conclude(&mut self, request: RequestKey, outcome: Outcome, out: &mut Outbox) {
        self.requests.remove(&request);
        conclude(request, outcome, out);
    }
}

/// Returns the VMs that get the tickets of a stopping boot, in the order in which they are asked.
///
/// `own` adds the VM that asks, which is not among the members that it knows.
pub fn successors(
    home: VmKey,
    boot: BootId,
    membership: &Membership,
    own: Option<VmKey>,
) -> Vec<VmKey> {
    let serving = membership.members().into_iter().filter(|(_, member)| member.accepts_work());
    let mut ranked: Vec<_> = serving.map(|(vm, _)| vm).chain(own).collect();
    ranked.retain(|vm| *vm != home);
    ranked.sort_unstable_by_key(|vm| std::cmp::Reverse((rendezvous::score(boot.0, vm.0), vm.0)));
    ranked.truncate(SUCCESSOR_COUNT);
    ranked
}

fn parse_handover_rows(rows: &[Row], ticket: Ticket) -> Option<HandedOverTicket> {
    let value = |key: Box<str>| rows.iter().find(|row| row.key == key).map(|row| &*row.value);
    let head = value(HandoverRow::key(ticket.home, ticket.boot))?;
    let HandoverRow { next_number, handed_over_at_ms } = serde_json::from_str(head).ok()?;
    let row = match value(TicketRow::key(ticket.home, ticket.boot, ticket.number)) {
        Some(row) => Some(serde_json::from_str(row).ok()?),
        None => None,
    };
    Some(HandedOverTicket { next_number, handed_over_at_ms, row })
}
