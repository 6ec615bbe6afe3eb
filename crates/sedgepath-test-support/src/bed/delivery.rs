//! Hands what is due to the nodes.

use sedgepath_core::event::{Event, ListedVm};
use sedgepath_core::key::{ExchangeKey, VmKey};
use sedgepath_core::request::HopFailure;
use sedgepath_core::table::TableService;

use super::faults::Place;
use super::{Bed, BedEvent, BedReply, Item, LIST_EVERY_MS, NodeIndex, TICK_EVERY_MS};

impl Bed {
    pub(super) fn take(&mut self, item: Item) {
        let node = match &item {
            Item::Tick { node, .. }
            | Item::List { node, .. }
            | Item::Deliver { node, .. }
            | Item::Asked { node, .. } => Some(*node),
            _ => None,
        };
        if let Some(node) = node
            && self.nodes[node].paused
        {
            self.nodes[node].held.push_back(item);
            return;
        }
        match item {
            Item::Tick { node, boot } => self.tick(node, boot),
            Item::List { node, boot } => self.list(node, boot),
            Item::Deliver { node, boot, event } => self.deliver(node, boot, *event),
            Item::TableArrives { node, boot, operation, request } => {
                self.table_arrives(node, boot, operation, &request);
            }
            Item::LateWrite { request } => {
                // Its answer was lost when it was sent; what became of it shows in the table.
                let _unseen = self.table.execute(&request);
            }
            Item::UpstreamArrives { owner, boot, exchange, upstream, call } => {
                self.upstream_arrives(owner, boot, exchange, upstream, call);
            }
            Item::Asked { node, boot, request, head } => {
                if self.is_boot(node, boot) {
                    self.handle(node, Event::Request { request, head: *head });
                }
            }
            Item::UpstreamDone { started } => self.upstream_done(&started),
        }
    }

    pub(super) fn tick(&mut self, index: NodeIndex, boot: u64) {
        if !self.is_boot(index, boot) {
            return;
        }
        let now_ms = self.local_ms(index);
        if let Some(node) = self.nodes[index].node.as_mut() {
            let actions = node.tick(now_ms);
            self.carry_out(index, actions);
        }
        self.schedule(TICK_EVERY_MS, Item::Tick { node: index, boot });
    }

    pub(super) fn list(&mut self, index: NodeIndex, boot: u64) {
        if !self.is_boot(index, boot) {
            return;
        }
        if self.faults.reaches(Place::Node(index), Place::Platform) && !self.faults.platform_down {
            let listed = self.listed();
            self.handle(index, Event::VmList(listed));
        }
        self.schedule(LIST_EVERY_MS, Item::List { node: index, boot });
    }

    pub(super) fn listed(&self) -> Vec<ListedVm> {
        let present = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(index, _)| !self.absent_from_list.contains(index));
        let listed = present.map(|(index, slot)| ListedVm {
            name: slot.name.clone(),
            domain: slot.domain.clone(),
            peer_address: slot.card.peer_address,
            leaving: self.leaving_in_list.contains(&index),
        });
        listed.chain(self.leaving_upstreams.iter().cloned()).collect()
    }

    pub(super) fn deliver(&mut self, index: NodeIndex, boot: Option<u64>, event: BedEvent) {
        if boot.is_some_and(|boot| !self.is_boot(index, boot)) || self.nodes[index].node.is_none() {
            if let BedEvent::Dispatch(_, exchange) = event {
                self.reply(&exchange, BedReply::Ended(HopFailure::NotSent), index);
            }
            return;
        }
        let event = match event {
            BedEvent::Datagram(envelope) => Event::Datagram(envelope),
            BedEvent::Table(operation, result) => Event::Table { operation, result },
            BedEvent::HopAnswered(request, attempt, head) => {
                Event::HopAnswered { request, attempt, head }
            }
            BedEvent::HopEnded(request, attempt, end) => Event::HopEnded { request, attempt, end },
            BedEvent::CallEnded(exchange, end, took_ms) => {
                self.nodes[index].exchanges.remove(&exchange);
                Event::CallEnded { exchange, end, took_ms }
            }
            BedEvent::Report(upstream, report) => Event::UpstreamReport { upstream, report },
            BedEvent::HandOverEnded(operation, taken) => {
                Event::TicketHandoverEnded { operation, taken }
            }
            BedEvent::Fetched(operation, page) => Event::PageFetched { operation, page },
            BedEvent::Dispatch(dispatch, exchange) => {
                let key = ExchangeKey(self.number());
                let from = VmKey::of(&self.nodes[exchange.ingress].name);
                self.nodes[index].exchanges.insert(key, exchange);
                Event::Dispatched { exchange: key, from, dispatch }
            }
        };
        self.handle(index, event);
    }
}
