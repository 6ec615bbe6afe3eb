//! Carries requests to the table and fetches from peers, with their faults.

use std::net::SocketAddr;

use sedgepath_core::configuration::store::RecordPosition;
use sedgepath_core::deduplication::row::TicketHandover;
use sedgepath_core::event::Event;
use sedgepath_core::key::{OperationKey, VmKey};
use sedgepath_core::table::TableService;
use sedgepath_core::table::{TableRequest, TableResult};

use super::faults::Place;
use super::{Bed, BedEvent, Item, NodeIndex};

impl Bed {
    pub(super) fn table_request(
        &mut self,
        index: NodeIndex,
        operation: OperationKey,
        request: TableRequest,
    ) {
        match request {
            TableRequest::Commit(_) => self.nodes[index].traffic.table_commits += 1,
            TableRequest::Read(_) | TableRequest::Scan { .. } => {
                self.nodes[index].traffic.table_reads += 1;
            }
        }
        let boot = self.nodes[index].boots;
        let down = self.faults.platform_down;
        if down || !self.faults.reaches(Place::Node(index), Place::Platform) {
            let event = BedEvent::Table(operation, TableResult::Unavailable);
            self.deliver_later(index, 5, event);
            return;
        }
        let delay_ms = self.faults.table_delay_ms(&mut self.random);
        let item = Item::TableArrives { node: index, boot, operation, request };
        self.schedule(delay_ms, item);
    }

    pub(super) fn table_arrives(
        &mut self,
        index: NodeIndex,
        boot: u64,
        operation: OperationKey,
        request: &TableRequest,
    ) {
        let commits = matches!(request, TableRequest::Commit(_));
        self.table_commits += u64::from(commits);
        self.table_reads += u64::from(!commits);
        if commits && self.faults.late_writes > 0 {
            self.faults.late_writes -= 1;
            let late_by_ms = self.faults.late_by_ms;
            self.schedule(late_by_ms, Item::LateWrite { request: request.clone() });
            self.answer_table(index, boot, operation, TableResult::Unknown);
            return;
        }
        let result = self.table.execute(request);
        let lost = commits && self.faults.loses_answer(&mut self.random);
        self.answer_table(index, boot, operation, if lost { TableResult::Unknown } else { result });
    }

    pub(super) fn answer_table(
        &mut self,
        index: NodeIndex,
        boot: u64,
        operation: OperationKey,
        result: TableResult,
    ) {
        let delay_ms = self.faults.table_delay_ms(&mut self.random);
        let event = Box::new(BedEvent::Table(operation, result));
        self.schedule(delay_ms, Item::Deliver { node: index, boot: Some(boot), event });
    }

    pub(super) fn fetch(
        &mut self,
        index: NodeIndex,
        operation: OperationKey,
        from: SocketAddr,
        after: &RecordPosition,
    ) {
        let target = self.nodes.iter().position(|slot| slot.card.operator_address == from);
        let reached = target.filter(|target| self.connects(index, *target) && self.runs(*target));
        let page = reached.and_then(|target| self.node(target)).map(|node| node.page(after));
        let bytes = page.as_ref().map_or(0, |page| serde_json::json!(page).to_string().len());
        self.nodes[index].traffic.fetches += 1;
        self.nodes[index].traffic.fetched_bytes += bytes as u64;
        let delay_ms = target.map_or(0, |target| 2 * self.delay_ms(index, target));
        self.deliver_later(index, delay_ms, BedEvent::Fetched(operation, page));
    }

    pub(super) fn hand_over(
        &mut self,
        index: NodeIndex,
        operation: OperationKey,
        to: VmKey,
        tickets: TicketHandover,
    ) {
        let target = self.nodes.iter().position(|slot| VmKey::of(&slot.name) == to);
        let target = target.filter(|target| self.connects(index, *target) && self.runs(*target));
        if let Some(target) = target {
            self.handle(target, Event::TicketsReceived(tickets));
        }
        self.deliver_later(index, 10, BedEvent::HandOverEnded(operation, target.is_some()));
    }

    pub(super) fn deliver_later(&mut self, index: NodeIndex, delay_ms: u64, event: BedEvent) {
        let boot = Some(self.nodes[index].boots);
        self.schedule(delay_ms, Item::Deliver { node: index, boot, event: Box::new(event) });
    }
}
