//! Carries out what the nodes ask for between each other, callers and upstreams.

use std::net::SocketAddr;

use sedgepath_core::event::{Action, Event};
use sedgepath_core::key::{DomainKey, ExchangeKey, RequestKey, UpstreamKey, VmKey};
use sedgepath_core::request::{
    AnswerHead, CallOutcome, Deduplication, Dispatch, HopFailure, StoredAnswer,
};

use super::faults::Place;
use super::upstreams::{self, Started};
use super::{
    Bed, BedEvent, BedReply, CallIndex, DATAGRAM_EXTRA_BYTES, Exchange, Item, NodeIndex, Seen,
};

impl Bed {
    pub(super) fn carry_out(&mut self, index: NodeIndex, actions: Vec<Action>) {
        for action in actions {
            self.act(index, action);
        }
    }

    pub(super) fn act(&mut self, index: NodeIndex, action: Action) {
        match action {
            Action::SendDatagram { to, envelope } => self.send(index, to, &envelope),
            Action::Forward { request, attempt, to, dispatch, .. } => {
                self.forward(index, request, attempt, to, dispatch);
            }
            Action::ForwardHome { request, attempt, to, .. } => {
                self.forward_home(index, request, attempt, to);
            }
            Action::RelayResponse { request, attempt } => self.relay(index, request, attempt),
            Action::AnswerTickets { tickets, .. } => {
                self.minted = tickets.unwrap_or_default();
            }
            Action::HandOverTickets { operation, to, tickets, .. } => {
                self.hand_over(index, operation, to, tickets);
            }
            Action::CancelAttempt { .. }
            | Action::AnswerLookUp { .. }
            | Action::CancelCall { .. } => {}
            Action::Conclude { request, outcome } => {
                if let Some(call) = self.nodes[index].requests.remove(&request) {
                    self.see(call, Seen::Concluded(outcome));
                }
            }
            Action::CallUpstream { exchange, upstream, send_by_ms, .. } => {
                self.call_upstream(index, exchange, upstream, send_by_ms);
            }
            Action::RejectDispatch { exchange, refusal } => {
                if let Some(entry) = self.nodes[index].exchanges.remove(&exchange) {
                    self.reply(&entry, BedReply::Ended(HopFailure::Refused(refusal)), index);
                }
            }
            Action::Table { operation, request } => self.table_request(index, operation, request),
            Action::FetchPage { operation, from, after } => {
                self.fetch(index, operation, from, &after);
            }
            Action::AnswerChange { reply, outcome } => {
                self.changes.insert(reply, outcome);
            }
            Action::Log(entry) => self.log.push((index, entry)),
            Action::Stopped => {
                self.nodes[index].stopped = true;
                self.kill(index);
            }
        }
    }

    pub(super) fn send(
        &mut self,
        from: NodeIndex,
        to: SocketAddr,
        envelope: &sedgepath_core::message::Envelope,
    ) {
        let size = postcard::experimental::serialized_size(envelope);
        let bytes = size.map_or(0, |size| size as u64 + DATAGRAM_EXTRA_BYTES);
        self.nodes[from].traffic.sent += 1;
        self.nodes[from].traffic.sent_bytes += bytes;
        let Some(target) = self.nodes.iter().position(|slot| slot.card.peer_address == to) else {
            return;
        };
        if !self.faults.reaches(Place::Node(from), Place::Node(target)) {
            return;
        }
        let copies = self.faults.datagram_copies(&mut self.random);
        for _ in 0..copies {
            self.nodes[target].traffic.received += 1;
            self.nodes[target].traffic.received_bytes += bytes;
            let delay_ms = self.delay_ms(from, target);
            let mut envelope = envelope.clone();
            self.loads.replace(&mut envelope, &self.faults, self.now_ms);
            let event = Box::new(BedEvent::Datagram(envelope));
            self.schedule(delay_ms, Item::Deliver { node: target, boot: None, event });
        }
    }

    pub(super) fn forward(
        &mut self,
        index: NodeIndex,
        request: RequestKey,
        attempt: u32,
        to: VmKey,
        dispatch: Dispatch,
    ) {
        let Some(call) = self.nodes[index].requests.get(&request).copied() else {
            return;
        };
        let ingress_boot = self.nodes[index].boots;
        let exchange = Exchange { ingress: index, ingress_boot, request, attempt, call };
        let target = self.nodes.iter().position(|slot| VmKey::of(&slot.name) == to);
        match target {
            Some(target) if self.connects(index, target) => {
                let delay_ms = self.delay_ms(index, target);
                let boot = Some(self.nodes[target].boots);
                let event = Box::new(BedEvent::Dispatch(dispatch, exchange));
                self.schedule(delay_ms, Item::Deliver { node: target, boot, event });
            }
            _ => self.reply(&exchange, BedReply::Ended(HopFailure::NotSent), index),
        }
    }

    /// The home serves the request as if the caller had come to it; its outcome is the caller's.
    pub(super) fn forward_home(
        &mut self,
        index: NodeIndex,
        request: RequestKey,
        attempt: u32,
        to: VmKey,
    ) {
        let Some(call) = self.nodes[index].requests.get(&request).copied() else {
            return;
        };
        let target = self.nodes.iter().position(|slot| VmKey::of(&slot.name) == to);
        let Some(target) = target.filter(|target| self.connects(index, *target)) else {
            self.handle(index, Event::HopEnded { request, attempt, end: HopFailure::NotSent });
            return;
        };
        self.nodes[index].requests.remove(&request);
        self.handle(index, Event::CallerDisconnected { request });
        let mut head = self.calls[call].head.clone();
        head.forwarded_by = Some(VmKey::of(&self.nodes[index].name));
        head.deadline_at_ms = head.deadline_at_ms.saturating_add_signed(self.nodes[target].skew_ms);
        let forwarded = RequestKey(self.number());
        self.nodes[target].requests.insert(forwarded, call);
        self.ask(target, forwarded, head);
    }

    pub(super) fn relay(&mut self, index: NodeIndex, request: RequestKey, _attempt: u32) {
        let Some(call) = self.nodes[index].requests.remove(&request) else {
            return;
        };
        if let Some(upstream) = self.upstreams.answered(call) {
            self.see(call, Seen::Answered { upstream });
        }
        let once = self.calls[call].head.deduplication != Deduplication::Repeatable;
        let stored = once.then(|| StoredAnswer {
            status: 200,
            content_type: None,
            body: format!("call {call}").into(),
            hex: false,
        });
        self.handle(index, Event::RelayEnded { request, whole: true, stored });
    }

    pub(super) fn call_upstream(
        &mut self,
        index: NodeIndex,
        exchange: ExchangeKey,
        upstream: UpstreamKey,
        send_by_ms: u64,
    ) {
        let delay_ms = self.faults.pause_before_send_ms;
        let sent_at_ms = self.local_ms(index) + delay_ms;
        if sent_at_ms > send_by_ms || !self.reaches_upstream(index, upstream) {
            let event = BedEvent::CallEnded(exchange, CallOutcome::NotSent, 0);
            if let Some(entry) = self.nodes[index].exchanges.get(&exchange).cloned() {
                self.reply(&entry, BedReply::Ended(HopFailure::NotSent), index);
            }
            self.deliver_later(index, 0, event);
            return;
        }
        let boot = self.nodes[index].boots;
        let call = self.nodes[index].exchanges.get(&exchange).map(|entry| entry.call);
        let item = Item::UpstreamArrives { owner: index, boot, exchange, upstream, call };
        self.schedule(delay_ms + 1, item);
    }

    pub(super) fn upstream_arrives(
        &mut self,
        owner: NodeIndex,
        boot: u64,
        exchange: ExchangeKey,
        upstream: UpstreamKey,
        call: Option<CallIndex>,
    ) {
        let head = call.map(|call| self.calls[call].head.clone());
        let started = self.upstreams.start(
            Started { owner, boot, exchange, upstream, call, at_ms: self.now_ms },
            head.as_ref(),
            &mut self.random,
        );
        match started {
            Ok(takes_ms) => {
                let started = Started { owner, boot, exchange, upstream, call, at_ms: self.now_ms };
                self.schedule(takes_ms, Item::UpstreamDone { started });
            }
            Err(end) => self.call_ended(owner, boot, exchange, upstream, end, 0),
        }
    }

    pub(super) fn upstream_done(&mut self, started: &Started) {
        let end = self.upstreams.finish(started);
        let took_ms = self.now_ms - started.at_ms;
        let Started { owner, boot, exchange, upstream, .. } = *started;
        self.call_ended(owner, boot, exchange, upstream, end, took_ms);
    }

    pub(super) fn call_ended(
        &mut self,
        owner: NodeIndex,
        boot: u64,
        exchange: ExchangeKey,
        upstream: UpstreamKey,
        end: CallOutcome,
        took_ms: u64,
    ) {
        if !self.is_boot(owner, boot) {
            return;
        }
        let end = if self.reaches_upstream(owner, upstream) { end } else { CallOutcome::Lost };
        let report = self.upstreams.report(upstream, self.local_ms(owner));
        if let Some(report) = report.filter(|_| end != CallOutcome::Lost) {
            self.deliver_later(owner, 0, BedEvent::Report(upstream, report));
        }
        if let Some(entry) = self.nodes[owner].exchanges.get(&exchange).cloned() {
            let domain = DomainKey::of(&self.nodes[owner].domain);
            let reply = match end {
                CallOutcome::Completed => {
                    BedReply::Answered(AnswerHead { status: 200, upstream, domain })
                }
                CallOutcome::Refused => BedReply::Ended(HopFailure::Refused(upstreams::REFUSAL)),
                CallOutcome::NotSent | CallOutcome::Cancelled => {
                    BedReply::Ended(HopFailure::NotSent)
                }
                CallOutcome::Lost => BedReply::Ended(HopFailure::Lost),
            };
            self.reply(&entry, reply, owner);
        }
        self.deliver_later(owner, 0, BedEvent::CallEnded(exchange, end, took_ms));
    }

    /// Sends the reply to a dispatch back to its ingress.
    pub(super) fn reply(&mut self, exchange: &Exchange, reply: BedReply, from: NodeIndex) {
        let ingress = exchange.ingress;
        let cut = !self.faults.reaches(Place::Node(from), Place::Node(ingress));
        let Exchange { request, attempt, .. } = *exchange;
        let event = match reply {
            _ if cut => BedEvent::HopEnded(request, attempt, HopFailure::Lost),
            BedReply::Answered(head) => BedEvent::HopAnswered(request, attempt, head),
            BedReply::Ended(end) => BedEvent::HopEnded(request, attempt, end),
        };
        let delay_ms = self.delay_ms(from, ingress);
        let boot = Some(exchange.ingress_boot);
        self.schedule(delay_ms, Item::Deliver { node: ingress, boot, event: Box::new(event) });
    }
}
