//! Performs requests to the table and page fetches from peers, subject to faults.

use std::net::SocketAddr;

use sedgepath_core::configuration::store::RecordPosition;
use sedgepath_core::deduplication::row::TicketHandover;
use sedgepath_core::event::Event;
use sedgepath_core::key::{OperationKey, VmKey};
use sedgepath_core::table::TableService;
use sedgepath_core::table::{TableRequest, TableResult};

use super::faults::LinkEndpoint;
use super::{NodeEvent, NodeIndex, ScheduledItem, TestBed};

impl TestBed {
    pub(super) fn send_table_request(
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
        let boot = self.nodes[index].boot_count;
        let down = self.faults.platform_down;
        if down || !self.faults.is_open(LinkEndpoint::Node(index), LinkEndpoint::Platform) {
            let event = NodeEvent::Table(operation, TableResult::Unavailable);
            self.schedule_event(index, 5, event);
            return;
        }
        let delay_ms = self.faults.table_delay_ms(&mut self.random);
        let item = ScheduledItem::TableRequestArrival { node: index, boot, operation, request };
        self.schedule(delay_ms, item);
    }

    pub(super) fn execute_table_request(
        &mut self,
        index: NodeIndex,
        boot: u64,
        operation: OperationKey,
        request: &TableRequest,
    ) {
        let commits = matches!(request, TableRequest::Commit(_));
        self.table_commits += u64::from(commits);
        self.table_reads += u64::from(!commits);
        if commits && self.faults.delayed_commits > 0 {
            self.faults.delayed_commits -= 1;
            let late_by_ms = self.faults.commit_delay_ms;
            self.schedule(late_by_ms, ScheduledItem::DelayedCommit { request: request.clone() });
            self.send_table_result(index, boot, operation, TableResult::Unknown);
            return;
        }
        let result = self.table.execute(request);
        let lost = commits && self.faults.loses_commit_result(&mut self.random);
        self.send_table_result(
            index,
            boot,
            operation,
            if lost { TableResult::Unknown } else { result },
        );
    }

    pub(super) fn send_table_result(
        &mut self,
        index: NodeIndex,
        boot: u64,
        operation: OperationKey,
        result: TableResult,
    ) {
        let delay_ms = self.faults.table_delay_ms(&mut self.random);
        let event = Box::new(NodeEvent::Table(operation, result));
        self.schedule(delay_ms, ScheduledItem::Deliver { node: index, boot: Some(boot), event });
    }

    pub(super) fn fetch_page(
        &mut self,
        index: NodeIndex,
        operation: OperationKey,
        from: SocketAddr,
        after: &RecordPosition,
    ) {
        let target = self.nodes.iter().position(|slot| slot.descriptor.operator_address == from);
        let reached =
            target.filter(|target| self.can_connect(index, *target) && self.is_running(*target));
        let page = reached.and_then(|target| self.node(target)).map(|node| node.page(after));
        let bytes = page.as_ref().map_or(0, |page| serde_json::json!(page).to_string().len());
        self.nodes[index].traffic.fetches += 1;
        self.nodes[index].traffic.fetched_bytes += bytes as u64;
        let delay_ms = target.map_or(0, |target| 2 * self.delay_ms(index, target));
        self.schedule_event(index, delay_ms, NodeEvent::PageFetched(operation, page));
    }

    pub(super) fn hand_over_tickets(
        &mut self,
        index: NodeIndex,
        operation: OperationKey,
        to: VmKey,
        tickets: TicketHandover,
    ) {
        let target = self.nodes.iter().position(|slot| VmKey::of(&slot.name) == to);
        let target =
            target.filter(|target| self.can_connect(index, *target) && self.is_running(*target));
        if let Some(target) = target {
            self.handle(target, Event::TicketsReceived(tickets));
        }
        self.schedule_event(index, 10, NodeEvent::TicketHandoverEnded(operation, target.is_some()));
    }

    pub(super) fn schedule_event(&mut self, index: NodeIndex, delay_ms: u64, event: NodeEvent) {
        let boot = Some(self.nodes[index].boot_count);
        self.schedule(
            delay_ms,
            ScheduledItem::Deliver { node: index, boot, event: Box::new(event) },
        );
    }
}
