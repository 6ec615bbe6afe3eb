//! Delivers scheduled work to the nodes.

use sedgepath_core::event::{Event, ListedVm};
use sedgepath_core::key::{ExchangeKey, VmKey};
use sedgepath_core::request::HopFailure;
use sedgepath_core::table::TableService;

use super::faults::LinkEndpoint;
use super::{
    DispatchReply, NodeEvent, NodeIndex, ScheduledItem, TICK_INTERVAL_MS, TestBed,
    VM_LIST_INTERVAL_MS,
};

impl TestBed {
    pub(super) fn process_item(&mut self, item: ScheduledItem) {
        let node = match &item {
            ScheduledItem::Tick { node, .. }
            | ScheduledItem::VmList { node, .. }
            | ScheduledItem::Deliver { node, .. }
            | ScheduledItem::CallerRequest { node, .. } => Some(*node),
            _ => None,
        };
        if let Some(node) = node
            && self.nodes[node].paused
        {
            self.nodes[node].held_items.push_back(item);
            return;
        }
        match item {
            ScheduledItem::Tick { node, boot } => self.tick(node, boot),
            ScheduledItem::VmList { node, boot } => self.deliver_vm_list(node, boot),
            ScheduledItem::Deliver { node, boot, event } => self.deliver_event(node, boot, *event),
            ScheduledItem::TableRequestArrival { node, boot, operation, request } => {
                self.execute_table_request(node, boot, operation, &request);
            }
            ScheduledItem::DelayedCommit { request } => {
                // The node has already received an unknown result.
                let _result = self.table.execute(&request);
            }
            ScheduledItem::UpstreamArrival { owner, boot, exchange, upstream, call } => {
                self.start_upstream_run(owner, boot, exchange, upstream, call);
            }
            ScheduledItem::CallerRequest { node, boot, request, head } => {
                if self.is_current_boot(node, boot) {
                    self.handle(node, Event::Request { request, head: *head });
                }
            }
            ScheduledItem::UpstreamEnd { run } => self.finish_upstream_run(&run),
        }
    }

    pub(super) fn tick(&mut self, index: NodeIndex, boot: u64) {
        if !self.is_current_boot(index, boot) {
            return;
        }
        let now_ms = self.node_time_ms(index);
        if let Some(node) = self.nodes[index].node.as_mut() {
            let actions = node.tick(now_ms);
            self.perform_actions(index, actions);
        }
        self.schedule(TICK_INTERVAL_MS, ScheduledItem::Tick { node: index, boot });
    }

    pub(super) fn deliver_vm_list(&mut self, index: NodeIndex, boot: u64) {
        if !self.is_current_boot(index, boot) {
            return;
        }
        if self.faults.is_open(LinkEndpoint::Node(index), LinkEndpoint::Platform)
            && !self.faults.platform_down
        {
            let listed = self.vm_list();
            self.handle(index, Event::VmList(listed));
        }
        self.schedule(VM_LIST_INTERVAL_MS, ScheduledItem::VmList { node: index, boot });
    }

    pub(super) fn vm_list(&self) -> Vec<ListedVm> {
        let listed_nodes =
            self.nodes.iter().enumerate().filter(|(index, _)| !self.unlisted_nodes.contains(index));
        let listed = listed_nodes.map(|(index, slot)| ListedVm {
            name: slot.name.clone(),
            domain: slot.domain.clone(),
            peer_address: slot.descriptor.peer_address,
            leaving: self.leaving_nodes.contains(&index),
        });
        listed.chain(self.leaving_upstreams.iter().cloned()).collect()
    }

    pub(super) fn deliver_event(&mut self, index: NodeIndex, boot: Option<u64>, event: NodeEvent) {
        if boot.is_some_and(|boot| !self.is_current_boot(index, boot))
            || self.nodes[index].node.is_none()
        {
            if let NodeEvent::Dispatch(_, pending) = event {
                self.send_reply(&pending, DispatchReply::Failed(HopFailure::NotSent), index);
            }
            return;
        }
        let event = match event {
            NodeEvent::Datagram(envelope) => Event::Datagram(envelope),
            NodeEvent::Table(operation, result) => Event::Table { operation, result },
            NodeEvent::HopAnswered(request, attempt, head) => {
                Event::HopAnswered { request, attempt, head }
            }
            NodeEvent::HopEnded(request, attempt, end) => Event::HopEnded { request, attempt, end },
            NodeEvent::CallEnded(exchange, end, took_ms) => {
                self.nodes[index].dispatches.remove(&exchange);
                Event::CallEnded { exchange, end, took_ms }
            }
            NodeEvent::Report(upstream, report) => Event::UpstreamReport { upstream, report },
            NodeEvent::TicketHandoverEnded(operation, taken) => {
                Event::TicketHandoverEnded { operation, taken }
            }
            NodeEvent::PageFetched(operation, page) => Event::PageFetched { operation, page },
            NodeEvent::Dispatch(dispatch, pending) => {
                let key = ExchangeKey(self.next_key());
                let from = VmKey::of(&self.nodes[pending.ingress].name);
                self.nodes[index].dispatches.insert(key, pending);
                Event::Dispatched { exchange: key, from, dispatch }
            }
        };
        self.handle(index, event);
    }
}
