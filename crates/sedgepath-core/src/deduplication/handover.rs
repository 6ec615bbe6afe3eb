//! The handover of a boot's tickets at a planned stop.
//!
//! Only this boot's memory knows which of its tickets were used. To keep outcomes from becoming
//! *unknown*, the boot writes its tickets to the table and copies them to two successors, which can
//! answer while the platform is down. The boot runs no tickets during the handover.

use crate::event::Action;
use crate::key::OperationKey;
use crate::membership::Membership;
use crate::outbox::Outbox;
use crate::table::RowWrite;
use crate::timeline::Topic;

use super::batch::{Batcher, Reply, Requester};
use super::forwarding::successors;
use super::row::{HandoverRow, TicketHandover, TicketRow, put};

/// The delay before a failed row write is retried, in milliseconds.
const RETRY_MS: u64 = 500;

/// The maximum time to wait for the table if a successor has a copy, in milliseconds.
const MAX_TABLE_WAIT_MS: u64 = 2_000;

/// The maximum duration of a handover, in milliseconds; unwritten tickets are lost after it.
const HANDOVER_TIMEOUT_MS: u64 = 10_000;

/// A copy that was sent to a successor.
#[derive(Debug)]
struct SuccessorCopy {
    operation: OperationKey,
    taken: bool,
}

/// A handover in progress.
#[derive(Debug)]
pub struct Handover {
    tickets: Option<TicketHandover>,
    rows: Vec<RowWrite>,
    unwritten: usize,
    retries: Vec<usize>,
    retry_at_ms: u64,
    copies: Vec<SuccessorCopy>,
    started_at_ms: u64,
}

impl Handover {
    /// Starts the handover: queues the rows and sends the copies. There may be no tickets.
    pub fn new(
        tickets: Option<TicketHandover>,
        membership: &Membership,
        batcher: &mut Batcher,
        out: &mut Outbox,
    ) -> Self {
        let rows = tickets.as_ref().map(rows).unwrap_or_default();
        let mut hand_over = Self {
            unwritten: rows.len(),
            rows,
            tickets,
            retries: Vec::new(),
            retry_at_ms: 0,
            copies: Vec::new(),
            started_at_ms: out.now_ms(),
        };
        hand_over.write_all(batcher);
        hand_over.send_copies(membership, out);
        hand_over
    }

    fn write_all(&self, batcher: &mut Batcher) {
        // The last row marks the others as complete, so it is written after them.
        for index in 0..self.rows.len().saturating_sub(1) {
            batcher.write(Requester::Handover(index), self.rows[index].clone());
        }
        if self.rows.len() == 1 {
            batcher.write(Requester::Handover(0), self.rows[0].clone());
        }
    }

    fn send_copies(&mut self, membership: &Membership, out: &mut Outbox) {
        let Some(tickets) = self.tickets.clone() else {
            return;
        };
        for vm in successors(tickets.vm, tickets.boot, membership, None) {
            if let Some(member) = membership.member(vm) {
                let operation = out.next_operation();
                let (address, tickets) = (member.descriptor.peer_address, tickets.clone());
                out.push(Action::HandOverTickets { operation, to: vm, address, tickets });
                self.copies.push(SuccessorCopy { operation, taken: false });
            }
        }
    }

    /// Handles the result of a row's write.
    pub fn replied(&mut self, index: usize, reply: &Reply, batcher: &mut Batcher, out: &Outbox) {
        if !matches!(reply, Reply::Written) {
            self.retries.push(index);
            self.retry_at_ms = out.now_ms() + RETRY_MS;
            return;
        }
        self.unwritten -= 1;
        if self.unwritten == 1 && index + 1 != self.rows.len() {
            let last = self.rows.len() - 1;
            batcher.write(Requester::Handover(last), self.rows[last].clone());
        }
    }

    /// Handles whether a successor accepted its copy.
    pub fn handle_copy_result(&mut self, operation: OperationKey, taken: bool) {
        for copy in self.copies.iter_mut().filter(|copy| copy.operation == operation) {
            copy.taken = taken;
        }
    }

    /// Retries failed writes when they are due.
    pub fn tick(&mut self, batcher: &mut Batcher, out: &Outbox) {
        if self.retry_at_ms <= out.now_ms() {
            for index in std::mem::take(&mut self.retries) {
                batcher.write(Requester::Handover(index), self.rows[index].clone());
            }
        }
    }

    /// Whether the tickets are handed over and no claim is unsettled, or the handover timed out.
    ///
    /// `claims` is the number of unsettled claims.
    pub fn is_done(&self, claims: usize, out: &mut Outbox) -> bool {
        let took_ms = out.now_ms() - self.started_at_ms;
        let copied = self.copies.iter().any(|copy| copy.taken);
        let placed = self.unwritten == 0 || (copied && took_ms >= MAX_TABLE_WAIT_MS);
        if placed && claims == 0 {
            let rows = self.rows.len() - self.unwritten;
            out.log(Topic::Once, "handed_over", &[("rows", &rows), ("copied", &copied)]);
            return true;
        }
        let given_up = took_ms >= HANDOVER_TIMEOUT_MS;
        if given_up {
            let tickets = if placed { 0 } else { self.unwritten };
            out.log(Topic::Once, "hand_over_failed", &[("tickets", &tickets), ("claims", &claims)]);
        }
        given_up
    }
}

fn rows(tickets: &TicketHandover) -> Vec<RowWrite> {
    let TicketHandover { vm, boot, next_number, handed_over_at_ms, ref used } = *tickets;
    let ticket =
        |ticket: &super::row::UsedTicket| put(TicketRow::key(vm, boot, ticket.number), &ticket.row);
    let head = HandoverRow { next_number, handed_over_at_ms };
    let head = put(HandoverRow::key(vm, boot), &head);
    used.iter().map(ticket).chain(std::iter::once(head)).collect()
}
