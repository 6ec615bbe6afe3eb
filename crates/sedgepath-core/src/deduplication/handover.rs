//! The handover of a boot's tickets at a planned stop.
//!
//! Only the boot that minted tickets knows which of them were used. To keep outcomes from becoming
//! *unknown*, it writes its tickets to the table and copies them to two successors, which can
//! conclude requests while the platform is down. It runs no tickets during the handover.

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

/// The maximum time to wait for the table once a successor has a copy, in milliseconds.
const MAX_TABLE_WAIT_MS: u64 = 2_000;

/// The maximum duration of a handover, in milliseconds; unwritten tickets are lost after it.
const HANDOVER_TIMEOUT_MS: u64 = 10_000;

/// A copy that was sent to a successor.
#[derive(Debug)]
struct SuccessorCopy {
    operation: OperationKey,
    accepted: bool,
}

/// A handover in progress.
#[derive(Debug)]
pub struct Handover {
    tickets: Option<TicketHandover>,
    rows: Vec<RowWrite>,
    unwritten_rows: usize,
    failed_rows: Vec<usize>,
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
        let rows = tickets.as_ref().map(handover_rows).unwrap_or_default();
        let mut handover = Self {
            unwritten_rows: rows.len(),
            rows,
            tickets,
            failed_rows: Vec::new(),
            retry_at_ms: 0,
            copies: Vec::new(),
            started_at_ms: out.now_ms(),
        };
        handover.write_all(batcher);
        handover.send_copies(membership, out);
        handover
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
                self.copies.push(SuccessorCopy { operation, accepted: false });
            }
        }
    }

    /// Handles the result of a row's write.
    pub fn handle_reply(
        &mut self,
        index: usize,
        reply: &Reply,
        batcher: &mut Batcher,
        out: &Outbox,
    ) {
        if !matches!(reply, Reply::Written) {
            self.failed_rows.push(index);
            self.retry_at_ms = out.now_ms() + RETRY_MS;
            return;
        }
        self.unwritten_rows -= 1;
        if self.unwritten_rows == 1 && index + 1 != self.rows.len() {
            let last = self.rows.len() - 1;
            batcher.write(Requester::Handover(last), self.rows[last].clone());
        }
    }

    /// Handles the result of sending a copy to a successor.
    pub fn handle_copy_result(&mut self, operation: OperationKey, accepted: bool) {
        for copy in self.copies.iter_mut().filter(|copy| copy.operation == operation) {
            copy.accepted = accepted;
        }
    }

    /// Retries failed writes when they are due.
    pub fn tick(&mut self, batcher: &mut Batcher, out: &Outbox) {
        if self.retry_at_ms <= out.now_ms() {
            for index in std::mem::take(&mut self.failed_rows) {
                batcher.write(Requester::Handover(index), self.rows[index].clone());
            }
        }
    }

    /// Returns whether the tickets are handed over and no claim is unsettled, or the handover timed
    /// out.
    pub fn is_done(&self, unsettled_claims: usize, out: &mut Outbox) -> bool {
        let elapsed_ms = out.now_ms() - self.started_at_ms;
        let copied = self.copies.iter().any(|copy| copy.accepted);
        let transferred = self.unwritten_rows == 0 || (copied && elapsed_ms >= MAX_TABLE_WAIT_MS);
        if transferred && unsettled_claims == 0 {
            let rows = self.rows.len() - self.unwritten_rows;
            out.log(Topic::Once, "handed_over", &[("rows", &rows), ("copied", &copied)]);
            return true;
        }
        let timed_out = elapsed_ms >= HANDOVER_TIMEOUT_MS;
        if timed_out {
            let tickets = if transferred { 0 } else { self.unwritten_rows };
            out.log(
                Topic::Once,
                "hand_over_failed",
                &[("tickets", &tickets), ("claims", &unsettled_claims)],
            );
        }
        timed_out
    }
}

fn handover_rows(tickets: &TicketHandover) -> Vec<RowWrite> {
    let TicketHandover { vm, boot, next_number, handed_over_at_ms, ref used } = *tickets;
    let ticket_row =
        |ticket: &super::row::UsedTicket| put(TicketRow::key(vm, boot, ticket.number), &ticket.row);
    let handover = HandoverRow { next_number, handed_over_at_ms };
    let handover = put(HandoverRow::key(vm, boot), &handover);
    used.iter().map(ticket_row).chain(std::iter::once(handover)).collect()
}
