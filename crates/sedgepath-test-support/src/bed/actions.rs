//! Performs the actions of nodes that concern other nodes, callers and upstreams.

use std::net::SocketAddr;

use sedgepath_core::event::{Action, Event};
use sedgepath_core::key::{DomainKey, ExchangeKey, RequestKey, UpstreamKey, VmKey};
use sedgepath_core::request::{
    AnswerHead, CallOutcome, Deduplication, Dispatch, HopFailure, StoredAnswer,
};

use super::faults::LinkEndpoint;
use super::upstreams::{self, UpstreamRun};
use super::{
    CallIndex, CallResult, DATAGRAM_OVERHEAD_BYTES, DispatchReply, NodeEvent, NodeIndex,
    PendingDispatch, ScheduledItem, TestBed,
};

impl TestBed {
    pub(super) fn perform_actions(&mut self, index: NodeIndex, actions: Vec<Action>) {
        for action in actions {
            self.perform_action(index, action);
        }
    }

    pub(super) fn perform_action(&mut self, index: NodeIndex, action: Action) {
        match action {
            Action::SendDatagram { to, envelope } => self.send_datagram(index, to, &envelope),
            Action::Forward { request, attempt, to, dispatch, .. } => {
                self.forward(index, request, attempt, to, dispatch);
            }
            Action::ForwardHome { request, attempt, to, .. } => {
                self.forward_home(index, request, attempt, to);
            }
            Action::RelayResponse { request, attempt } => {
                self.relay_response(index, request, attempt);
            }
            Action::AnswerTickets { tickets, .. } => {
                self.minted_tickets = tickets.unwrap_or_default();
            }
            Action::HandOverTickets { operation, to, tickets, .. } => {
                self.hand_over_tickets(index, operation, to, tickets);
            }
            Action::CancelAttempt { .. }
            | Action::AnswerLookUp { .. }
            | Action::CancelCall { .. } => {}
            Action::Conclude { request, outcome } => {
                if let Some(call) = self.nodes[index].requests.remove(&request) {
                    self.record_result(call, CallResult::Concluded(outcome));
                }
            }
            Action::CallUpstream { exchange, upstream, send_by_ms, .. } => {
                self.call_upstream(index, exchange, upstream, send_by_ms);
            }
            Action::RejectDispatch { exchange, refusal } => {
                if let Some(pending) = self.nodes[index].dispatches.remove(&exchange) {
                    self.send_reply(
                        &pending,
                        DispatchReply::Failed(HopFailure::Refused(refusal)),
                        index,
                    );
                }
            }
            Action::Table { operation, request } => {
                self.send_table_request(index, operation, request);
            }
            Action::FetchPage { operation, from, after } => {
                self.fetch_page(index, operation, from, &after);
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

    pub(super) fn send_datagram(
        &mut self,
        from: NodeIndex,
        to: SocketAddr,
        envelope: &sedgepath_core::message::Envelope,
    ) {
        let size = postcard::experimental::serialized_size(envelope);
        let bytes = size.map_or(0, |size| size as u64 + DATAGRAM_OVERHEAD_BYTES);
        self.nodes[from].traffic.sent += 1;
        self.nodes[from].traffic.sent_bytes += bytes;
        let Some(target) = self.nodes.iter().position(|slot| slot.descriptor.peer_address == to)
        else {
            return;
        };
        if !self.faults.is_open(LinkEndpoint::Node(from), LinkEndpoint::Node(target)) {
            return;
        }
        let copies = self.faults.datagram_copies(&mut self.random);
        for _ in 0..copies {
            self.nodes[target].traffic.received += 1;
            self.nodes[target].traffic.received_bytes += bytes;
            let delay_ms = self.delay_ms(from, target);
            let mut envelope = envelope.clone();
            self.loads.apply_faults(&mut envelope, &self.faults, self.now_ms);
            let event = Box::new(NodeEvent::Datagram(envelope));
            self.schedule(delay_ms, ScheduledItem::Deliver { node: target, boot: None, event });
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
        let ingress_boot = self.nodes[index].boot_count;
        let pending = PendingDispatch { ingress: index, ingress_boot, request, attempt, call };
        let target = self.nodes.iter().position(|slot| VmKey::of(&slot.name) == to);
        match target {
            Some(target) if self.can_connect(index, target) => {
                let delay_ms = self.delay_ms(index, target);
                let boot = Some(self.nodes[target].boot_count);
                let event = Box::new(NodeEvent::Dispatch(dispatch, pending));
                self.schedule(delay_ms, ScheduledItem::Deliver { node: target, boot, event });
            }
            _ => self.send_reply(&pending, DispatchReply::Failed(HopFailure::NotSent), index),
        }
    }

    /// Forwards a request to its home node, whose outcome becomes the caller's.
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
        let Some(target) = target.filter(|target| self.can_connect(index, *target)) else {
            self.handle(index, Event::HopEnded { request, attempt, end: HopFailure::NotSent });
            return;
        };
        self.nodes[index].requests.remove(&request);
        self.handle(index, Event::CallerDisconnected { request });
        let mut head = self.calls[call].head.clone();
        head.forwarded_by = Some(VmKey::of(&self.nodes[index].name));
        head.deadline_at_ms = head.deadline_at_ms.saturating_add_signed(self.nodes[target].skew_ms);
        let forwarded = RequestKey(self.next_key());
        self.nodes[target].requests.insert(forwarded, call);
        self.deliver_request(target, forwarded, head);
    }

    pub(super) fn relay_response(&mut self, index: NodeIndex, request: RequestKey, _attempt: u32) {
        let Some(call) = self.nodes[index].requests.remove(&request) else {
            return;
        };
        if let Some(upstream) = self.upstreams.responder(call) {
            self.record_result(call, CallResult::Answered { upstream });
        }
        let deduplicated = self.calls[call].head.deduplication != Deduplication::Repeatable;
        let stored = deduplicated.then(|| StoredAnswer {
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
        let delay_ms = self.faults.upstream_send_delay_ms;
        let sent_at_ms = self.node_time_ms(index) + delay_ms;
        if sent_at_ms > send_by_ms || !self.can_reach_upstream(index, upstream) {
            let event = NodeEvent::CallEnded(exchange, CallOutcome::NotSent, 0);
            if let Some(pending) = self.nodes[index].dispatches.get(&exchange).cloned() {
                self.send_reply(&pending, DispatchReply::Failed(HopFailure::NotSent), index);
            }
            self.schedule_event(index, 0, event);
            return;
        }
        let boot = self.nodes[index].boot_count;
        let call = self.nodes[index].dispatches.get(&exchange).map(|pending| pending.call);
        let item = ScheduledItem::UpstreamArrival { owner: index, boot, exchange, upstream, call };
        self.schedule(delay_ms + 1, item);
    }

    pub(super) fn start_upstream_run(
        &mut self,
        owner: NodeIndex,
        boot: u64,
        exchange: ExchangeKey,
        upstream: UpstreamKey,
        call: Option<CallIndex>,
    ) {
        let head = call.map(|call| self.calls[call].head.clone());
        let service_ms = self.upstreams.start(
            UpstreamRun { owner, boot, exchange, upstream, call, started_at_ms: self.now_ms },
            head.as_ref(),
            &mut self.random,
        );
        match service_ms {
            Ok(service_ms) => {
                let run = UpstreamRun {
                    owner,
                    boot,
                    exchange,
                    upstream,
                    call,
                    started_at_ms: self.now_ms,
                };
                self.schedule(service_ms, ScheduledItem::UpstreamEnd { run });
            }
            Err(end) => self.end_upstream_call(owner, boot, exchange, upstream, end, 0),
        }
    }

    pub(super) fn finish_upstream_run(&mut self, run: &UpstreamRun) {
        let end = self.upstreams.finish(run);
        let took_ms = self.now_ms - run.started_at_ms;
        let UpstreamRun { owner, boot, exchange, upstream, .. } = *run;
        self.end_upstream_call(owner, boot, exchange, upstream, end, took_ms);
    }

    pub(super) fn end_upstream_call(
        &mut self,
        owner: NodeIndex,
        boot: u64,
        exchange: ExchangeKey,
        upstream: UpstreamKey,
        end: CallOutcome,
        took_ms: u64,
    ) {
        if !self.is_current_boot(owner, boot) {
            return;
        }
        let end = if self.can_reach_upstream(owner, upstream) { end } else { CallOutcome::Lost };
        let report = self.upstreams.report(upstream, self.node_time_ms(owner));
        if let Some(report) = report.filter(|_| end != CallOutcome::Lost) {
            self.schedule_event(owner, 0, NodeEvent::Report(upstream, report));
        }
        if let Some(pending) = self.nodes[owner].dispatches.get(&exchange).cloned() {
            let domain = DomainKey::of(&self.nodes[owner].domain);
            let reply = match end {
                CallOutcome::Completed => {
                    DispatchReply::Answered(AnswerHead { status: 200, upstream, domain })
                }
                CallOutcome::Refused => {
                    DispatchReply::Failed(HopFailure::Refused(upstreams::REJECTION))
                }
                CallOutcome::NotSent | CallOutcome::Cancelled => {
                    DispatchReply::Failed(HopFailure::NotSent)
                }
                CallOutcome::Lost => DispatchReply::Failed(HopFailure::Lost),
            };
            self.send_reply(&pending, reply, owner);
        }
        self.schedule_event(owner, 0, NodeEvent::CallEnded(exchange, end, took_ms));
    }

    /// Sends the reply to a dispatch back to its ingress node.
    pub(super) fn send_reply(
        &mut self,
        pending: &PendingDispatch,
        reply: DispatchReply,
        from: NodeIndex,
    ) {
        let ingress = pending.ingress;
        let cut = !self.faults.is_open(LinkEndpoint::Node(from), LinkEndpoint::Node(ingress));
        let PendingDispatch { request, attempt, .. } = *pending;
        let event = match reply {
            _ if cut => NodeEvent::HopEnded(request, attempt, HopFailure::Lost),
            DispatchReply::Answered(head) => NodeEvent::HopAnswered(request, attempt, head),
            DispatchReply::Failed(end) => NodeEvent::HopEnded(request, attempt, end),
        };
        let delay_ms = self.delay_ms(from, ingress);
        let boot = Some(pending.ingress_boot);
        self.schedule(
            delay_ms,
            ScheduledItem::Deliver { node: ingress, boot, event: Box::new(event) },
        );
    }
}
