//! Handles requests with tickets that were issued by another VM, or by this VM before a restart.
//!
//! Such a request is never run here. It is forwarded to the ticket's home, the VM that issued the
//! ticket, if that VM is still in the same boot. Otherwise, the request is concluded from the state
//! that the home handed over: a copy here or at a successor, or its rows in the table. Without that
//! state the outcome is *unknown*, or *not run* for attempt 1. If the home's response was lost, or
//! the deadline passed during the read of the rows, the outcome is *unknown* for every attempt.

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

/// The maximum number of handovers that a node stores for other boots; when full, the handover
/// received first is dropped.
const MAX_STORED_HANDOVERS: usize = 64;

/// The number of the hop to a ticket's home.
const HOME_HOP: u32 = 1;

/// The number of the hop to a successor of the home.
const SUCCESSOR_HOP: u32 = 2;

/// What a forwarded request waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ForwardingStage {
    /// The ticket's home, which alone may run the request.
    AtHome,
    /// A successor of the home, which may have a copy of the home's tickets.
    AtSuccessor,
    /// The read of the rows that the home wrote at its handover.
    ReadingRows,
}

#[derive(Debug)]
struct ForwardedRequest {
    ticket: Ticket,
    digest: Digest,
    attempt: u32,
    deadline_at_ms: u64,
    stage: ForwardingStage,
}

/// Requests with tickets of other boots, and the handovers received from other boots.
#[derive(Debug, Default)]
pub struct ForwardedRequests {
    requests: Map<RequestKey, ForwardedRequest>,
    handovers: Vec<TicketHandover>,
}

impl ForwardedRequests {
    /// Handles a request with a ticket that this boot did not issue.
    pub fn handle_request(
        &mut self,
        request: RequestKey,
        ticket: Ticket,
        head: &RequestHead,
        membership: &Membership,
        batcher: &mut Batcher,
        out: &mut Outbox,
    ) {
        if let Some(outcome) = self.outcome_from_handover(ticket, head.digest) {
            conclude(request, outcome, out);
            return;
        }
        let forwarded = ForwardedRequest {
            ticket,
            digest: head.digest,
            attempt: head.attempt,
            deadline_at_ms: head.deadline_at_ms,
            stage: ForwardingStage::AtHome,
        };
        self.requests.insert(request, forwarded);
        // A request is forwarded at most once, which rules out forwarding loops.
        let is_forwarded = head.forwarded_by.is_some();
        let home = membership.member(ticket.home).filter(|home| home.boot == ticket.boot);
        match home {
            Some(home) if !is_forwarded => {
                self.forward(request, ticket.home, home.descriptor.peer_address, HOME_HOP, out);
            }
            None if !is_forwarded => self.forward_to_successor(request, membership, batcher, out),
            _ => self.read_handover_rows(request, batcher),
        }
    }

    /// Stores the handover of another boot, replacing an earlier handover of the same boot.
    pub fn store_handover(&mut self, handover: TicketHandover) {
        self.handovers.retain(|stored| (stored.vm, stored.boot) != (handover.vm, handover.boot));
        if self.handovers.len() == MAX_STORED_HANDOVERS {
            self.handovers.remove(0);
        }
        self.handovers.push(handover);
    }

    /// Relays the response to a forwarded request; returns whether this component handles the
    /// request.
    pub fn handle_hop_response(&self, request: RequestKey, attempt: u32, out: &mut Outbox) -> bool {
        let is_handled_here = self.requests.contains_key(&request);
        if is_handled_here {
            out.push(Action::RelayResponse { request, attempt });
        }
        is_handled_here
    }

    /// Handles the failure of a forwarded request; returns whether this component handles the
    /// request.
    pub fn handle_hop_failure(
        &mut self,
        request: RequestKey,
        failure: HopFailure,
        membership: &Membership,
        batcher: &mut Batcher,
        out: &mut Outbox,
    ) -> bool {
        let Some(forwarded) = self.requests.get(&request) else {
            return false;
        };
        match (forwarded.stage, failure) {
            // The home may have received and run the request.
            (ForwardingStage::AtHome, HopFailure::Lost) => {
                self.conclude(request, Outcome::Unknown { retry_after_ms: RETRY_AFTER_MS }, out);
            }
            (ForwardingStage::AtHome, HopFailure::Refused(rejection)) => {
                self.conclude(
                    request,
                    Outcome::NotRun { refusal: rejection, others: Vec::new() },
                    out,
                );
            }
            (ForwardingStage::AtHome, HopFailure::NotSent) => {
                self.forward_to_successor(request, membership, batcher, out);
            }
            (ForwardingStage::AtSuccessor, _) => self.read_handover_rows(request, batcher),
            (ForwardingStage::ReadingRows, _) => {}
        }
        true
    }

    /// Handles the result of reading the home's rows.
    pub fn handle_reply(&mut self, request: RequestKey, reply: &Reply, out: &mut Outbox) {
        let Some(forwarded) = self.requests.get(&request) else {
            return;
        };
        let handed_over = match reply {
            Reply::Rows(rows) => parse_handover_rows(rows, forwarded.ticket),
            _ => None,
        };
        let outcome = match handed_over {
            Some(ticket) => outcome_after_handover(forwarded.ticket, forwarded.digest, &ticket),
            None => unsettled(forwarded.attempt, RejectionReason::PeerUnreachable),
        };
        self.conclude(request, outcome, out);
    }

    /// Concludes requests whose deadline has passed while the home's rows are read. A request that
    /// waits for another VM ends with a hop response or failure instead.
    pub fn tick(&mut self, out: &mut Outbox) {
        let mut overdue: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, forwarded)| forwarded.stage == ForwardingStage::ReadingRows)
            .filter(|(_, forwarded)| forwarded.deadline_at_ms <= out.now_ms())
            .map(|(request, _)| *request)
            .collect();
        overdue.sort_unstable();
        for request in overdue {
            self.conclude(request, Outcome::Unknown { retry_after_ms: RETRY_AFTER_MS }, out);
        }
    }

    /// Returns whether no request with another boot's ticket is in progress.
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty()
    }

    /// Removes a request whose response was relayed or whose caller disconnected.
    pub fn forget(&mut self, request: RequestKey) {
        self.requests.remove(&request);
    }

    fn outcome_from_handover(&self, ticket: Ticket, digest: Digest) -> Option<Outcome> {
        let handover = self
            .handovers
            .iter()
            .find(|handover| (handover.vm, handover.boot) == (ticket.home, ticket.boot));
        handover.map(|handover| {
            outcome_after_handover(ticket, digest, &HandedOverTicket::find(handover, ticket.number))
        })
    }

    fn forward_to_successor(
        &mut self,
        request: RequestKey,
        membership: &Membership,
        batcher: &mut Batcher,
        out: &mut Outbox,
    ) {
        let Some(forwarded) = self.requests.get_mut(&request) else {
            return;
        };
        let own = out.identity().vm;
        // This VM may be among the successors, but its own handovers were checked before.
        let ranked =
            successors(forwarded.ticket.home, forwarded.ticket.boot, membership, Some(own));
        let successor = ranked.into_iter().find(|vm| *vm != own);
        let address = successor
            .and_then(|vm| membership.member(vm))
            .map(|member| member.descriptor.peer_address);
        match (successor, address) {
            (Some(vm), Some(address)) => {
                forwarded.stage = ForwardingStage::AtSuccessor;
                self.forward(request, vm, address, SUCCESSOR_HOP, out);
            }
            _ => self.read_handover_rows(request, batcher),
        }
    }

    fn forward(
        &self,
        request: RequestKey,
        to: VmKey,
        address: std::net::SocketAddr,
        hop: u32,
        out: &mut Outbox,
    ) {
        if let Some(forwarded) = self.requests.get(&request) {
            out.push(Action::ForwardHome {
                request,
                attempt: hop,
                to,
                boot: forwarded.ticket.boot,
                address,
                deadline_at_ms: forwarded.deadline_at_ms,
            });
        }
    }

    fn read_handover_rows(&mut self, request: RequestKey, batcher: &mut Batcher) {
        if let Some(forwarded) = self.requests.get_mut(&request) {
            forwarded.stage = ForwardingStage::ReadingRows;
            let Ticket { home, boot, number, .. } = forwarded.ticket;
            let keys = vec![HandoverRow::key(home, boot), TicketRow::key(home, boot, number)];
            batcher.read(Requester::Ticket(request), keys);
        }
    }

    fn conclude(&mut self, request: RequestKey, outcome: Outcome, out: &mut Outbox) {
        self.requests.remove(&request);
        conclude(request, outcome, out);
    }
}

/// Returns the VMs that receive the tickets of a stopping boot, in the order in which requests are
/// forwarded to them.
///
/// `own` is this VM if it may be a successor; `membership` lists only the other VMs.
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
    let row_value = |key: Box<str>| rows.iter().find(|row| row.key == key).map(|row| &*row.value);
    let handover = row_value(HandoverRow::key(ticket.home, ticket.boot))?;
    let HandoverRow { next_number, handed_over_at_ms } = serde_json::from_str(handover).ok()?;
    let row = match row_value(TicketRow::key(ticket.home, ticket.boot, ticket.number)) {
        Some(row) => Some(serde_json::from_str(row).ok()?),
        None => None,
    };
    Some(HandedOverTicket { next_number, handed_over_at_ms, row })
}
