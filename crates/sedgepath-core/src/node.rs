//! The node, which passes each event to the components concerned.
//!
//! [`Node::handle`] and [`Node::tick`] use no clock, socket, thread or external source of
//! randomness. The driver passes the time in and carries out the returned actions, so the daemon,
//! tests, examples and benchmarks run the same code.

use std::sync::Arc;

use crate::allowance::Allowance;
use crate::configuration::Configuration;
use crate::configuration::store::{RecordPage, RecordPosition};
use crate::deduplication::tickets::MintError;
use crate::deduplication::{self, DeduplicationSystem};
use crate::egress::{AdmissionContext, Egress};
use crate::event::{Action, Event, ListedVm, LookUp, LookUpAnswer, LookUpError};
use crate::explain::{ExplainRequest, Explanation};
use crate::identity::{Identity, NodeSettings};
use crate::ingress::{self, ConcludedRequest, Ingress, RoutingContext};
use crate::key::{RequestKey, ServiceKey, UpstreamKey, VmKey};
use crate::lease::UpstreamLease;
use crate::membership::{LocalState, Membership};
use crate::message::{Baseline, Envelope, Heartbeat, Message, ServiceLoad};
use crate::outbox::Outbox;
use crate::request::{Deduplication, HopFailure, RequestHead, Ticket};
use crate::steering::{HeadroomPolicy, SteeringPolicy};
use crate::stop::{self, PlannedStop};
use crate::timeline::Topic;
use crate::view::SystemView;

/// Borrows the state on which the ingress's decisions depend. A macro borrows single fields, so
/// that the ingress and the outbox can be borrowed mutably at the same time.
macro_rules! routing_context {
    ($node:ident, $identity:ident) => {
        RoutingContext {
            view: SystemView {
                now_ms: $node.out.now_ms(),
                identity: &$identity,
                catalogue: $node.configuration.catalogue(),
                revision: $node.configuration.revision(),
                configuration_ready: $node.configuration.ready()
                    && !$node.stop.rejects_work($node.out.now_ms()),
                membership: &$node.membership,
                own_loads: &$node.own_loads,
            },
            policy: $node.policy.as_ref(),
        }
    };
}

/// The state machine of one node.
#[derive(Debug)]
pub struct Node {
    settings: NodeSettings,
    out: Outbox,
    configuration: Configuration,
    membership: Membership,
    lease: UpstreamLease,
    policy: Box<dyn SteeringPolicy>,
    ingress: Ingress,
    egress: Egress,
    deduplication: DeduplicationSystem,
    /// The cached allowances of the node; `None` if they must be recomputed.
    cached_allowances: Option<Vec<Allowance>>,
    stop: PlannedStop,
    own_loads: Vec<ServiceLoad>,
}

impl Node {
    /// Creates a node without configuration, members or requests.
    pub fn new(identity: Identity, settings: NodeSettings) -> Self {
        Self {
            lease: UpstreamLease::new(settings.clone(), &identity),
            out: Outbox::new(identity),
            configuration: Configuration::new(settings.clone()),
            membership: Membership::new(settings.clone()),
            policy: Box::new(HeadroomPolicy::new()),
            ingress: Ingress::new(settings.seed),
            egress: Egress::new(settings.admission),
            deduplication: DeduplicationSystem::default(),
            cached_allowances: None,
            stop: PlannedStop::default(),
            own_loads: Vec::new(),
            settings,
        }
    }

    /// Returns the node with another steering policy.
    pub fn with_policy(mut self, policy: Box<dyn SteeringPolicy>) -> Self {
        self.policy = policy;
        self
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Returns the page of records after a position, for a peer. The first page also holds the
    /// platform's list of VMs.
    pub fn page(&self, after: &RecordPosition) -> RecordPage {
        let mut page = self.configuration.page(after);
        if after.precedes_all_records() {
            page.listed = self.membership.listed_vms().to_vec();
        }
        page
    }

    /// Returns the known members.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the outbox, which also holds the node's identity and timeline.
    pub fn outbox(&self) -> &Outbox {
        &self.out
    }

    /// Handles an event at `now_ms` and returns the actions to carry out.
    pub fn handle(&mut self, now_ms: u64, event: Event) -> Vec<Action> {
        self.out.set_now_ms(now_ms);
        self.invalidate_allowances(&event);
        match event {
            Event::LookUp { reply, look_up } => {
                let answer = self.look_up(&look_up);
                self.out.push(Action::AnswerLookUp { reply, answer });
            }
            Event::MintTickets { reply, service, count } => {
                let tickets = self.mint_tickets(&service, count);
                self.out.push(Action::AnswerTickets { reply, tickets });
            }
            Event::Request { request, head } => self.handle_request(request, &head),
            Event::HopAnswered { request, attempt, .. } => {
                if !self.deduplication.handle_hop_response(request, attempt, &mut self.out) {
                    self.ingress.handle_hop_response(request, attempt, &mut self.out);
                }
            }
            Event::HopEnded { request, attempt, end: failure } => {
                self.handle_hop_failure(request, attempt, failure);
            }
            Event::RelayEnded { request, stored, .. } => {
                self.deduplication.handle_relay_end(request, stored, &mut self.out);
                self.ingress.remove(request);
            }
            Event::CallerDisconnected { request } => {
                self.deduplication.handle_caller_disconnect(request, &mut self.out);
                self.ingress.remove(request);
            }
            Event::Dispatched { exchange, .. } if self.stop.rejects_work(now_ms) => {
                self.out
                    .push(Action::RejectDispatch { exchange, refusal: stop::STOPPING_REJECTION });
            }
            Event::Dispatched { exchange, dispatch, .. } => {
                self.with_egress(|egress, context, out| {
                    egress.dispatch(exchange, &dispatch, context, out);
                });
            }
            Event::CallEnded { exchange, end: outcome, .. } => {
                self.with_egress(|egress, context, out| {
                    egress.call_ended(exchange, outcome, context, out);
                });
            }
            Event::DispatchCanceled { exchange } => {
                self.egress.cancel_dispatch(exchange, &mut self.out);
            }
            Event::UpstreamReport { upstream, report } => {
                self.lease.handle_upstream_report(upstream, &report);
                self.with_egress(|egress, context, out| {
                    egress.record_report(upstream, report, context, out);
                });
            }
            Event::ConnectionsChanged { upstream, open } => {
                self.egress.set_open_connections(upstream, open, now_ms);
            }
            Event::Datagram(envelope) => self.handle_datagram(&envelope),
            Event::Table { operation, result } => {
                if !self.deduplication.handle_table_result(operation, &result, &mut self.out) {
                    self.configuration.handle_table_result(operation, &result, &mut self.out);
                }
            }
            Event::VmList(listed) => self.handle_vm_list(listed),
            Event::PageFetched { operation, page } => {
                if let Some(page) = page.as_ref().filter(|page| !page.listed.is_empty())
                    && self.membership.apply_peer_vm_list(&page.listed)
                {
                    self.lease.apply_vm_list(&page.listed, now_ms);
                }
                self.configuration.handle_fetched_page(operation, page, &mut self.out);
            }
            Event::Change { reply, request } => {
                self.configuration.start_change(reply, request, &mut self.out);
            }
            Event::TicketsReceived(tickets) => self.deduplication.store_handover(tickets),
            Event::TicketHandoverEnded { operation, taken } => {
                self.deduplication.handle_copy_result(operation, taken);
            }
            Event::StopRequested => self.begin_stop(),
        }
        self.finish_step()
    }

    /// Does the work that is due by time and returns the actions to carry out; the driver calls it
    /// every few tens of milliseconds.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Action> {
        self.out.set_now_ms(now_ms);
        self.configuration.tick(&self.membership, &mut self.out);
        self.refresh_lease();
        self.with_egress(Egress::tick);
        self.send_leaving_notice();
        self.own_loads =
            self.with_egress(|egress, context, out| egress.loads(context, out.now_ms()));
        let local_state =
            LocalState { configuration: self.configuration.status(now_ms), loads: &self.own_loads };
        self.lease.update_in_flight(|upstream| self.egress.in_flight(upstream));
        self.membership.tick(local_state, &mut self.lease, &mut self.out);
        // Grants that were just made to other members may have reduced the allowances.
        self.cached_allowances = None;
        let identity = self.out.shared_identity();
        let context = routing_context!(self, identity);
        let concluded = self.ingress.tick(context, &mut self.out);
        self.conclude(concluded);
        self.deduplication.tick(&mut self.out);
        self.try_finish_stop();
        self.finish_step()
    }

    fn handle_request(&mut self, request: RequestKey, head: &RequestHead) {
        let identity = self.out.shared_identity();
        let context = routing_context!(self, identity);
        let is_once_only = head.deduplication != Deduplication::Repeatable;
        let is_known =
            is_once_only && ingress::service_and_caller_known(head, context.view.catalogue);
        if is_known && !self.deduplication.admit(request, head, &self.membership, &mut self.out) {
            return;
        }
        let mut conclusion = self.ingress.begin(request, head, context, &mut self.out);
        if let Some(conclusion) = conclusion.as_mut().filter(|_| is_once_only && !is_known) {
            deduplication::not_run_to_unknown(head, &mut conclusion.outcome);
        }
        self.conclude(conclusion);
    }

    fn handle_hop_failure(&mut self, request: RequestKey, attempt: u32, failure: HopFailure) {
        if self.deduplication.handle_hop_failure(request, failure, &self.membership, &mut self.out)
        {
            return;
        }
        let identity = self.out.shared_identity();
        let context = routing_context!(self, identity);
        let conclusion =
            self.ingress.handle_hop_failure(request, attempt, failure, context, &mut self.out);
        self.conclude(conclusion);
    }

    /// Starts the once-only requests whose claims were granted and returns the collected actions,
    /// after the deduplication system has processed the outcomes of its requests.
    fn finish_step(&mut self) -> Vec<Action> {
        for (request, head) in self.deduplication.take_granted() {
            self.handle_request(request, &head);
        }
        self.deduplication.intercept_outcomes(&mut self.out)
    }

    fn mint_tickets(&mut self, service: &str, count: u32) -> Result<Vec<Ticket>, MintError> {
        let service = ServiceKey::of(service);
        if !self.configuration.catalogue().services.contains_key(&service) {
            return Err(MintError::NoService);
        }
        if self.stop.has_begun() {
            return Err(MintError::Stopping);
        }
        self.deduplication.mint_tickets(service, count, &self.out)
    }

    fn begin_stop(&mut self) {
        // Several heartbeats are sent within the suspicion timeout, so that one arrives despite
        // losses. Forwarding by relays takes up to the same time again.
        let known_by_ms = self.out.now_ms() + 2 * self.settings.suspect_after_ms;
        if self.stop.start(known_by_ms, self.settings.look_up_valid_ms) {
            self.out.identity_mut().descriptor.leaving = true;
            self.out.log(Topic::Node, "stop_begun", &[]);
        } else {
            self.out.push(Action::Stopped);
        }
    }

    fn try_finish_stop(&mut self) {
        let in_flight = self.ingress.in_flight() + self.egress.pending_dispatches();
        if self.stop.may_end(self.out.now_ms(), in_flight)
            && self.deduplication.poll_handover(&self.membership, &mut self.out)
        {
            self.out.log(Topic::Node, "stop_ended", &[]);
            self.lease.relinquish();
            if self.lease.is_idle() {
                self.membership.send_boot_ended(&mut self.out);
            }
            self.out.push(Action::Stopped);
        }
    }

    /// Answers a look-up from the node's cached lists of entry VMs.
    ///
    /// # Errors
    ///
    /// Returns an error if the service is unknown or the node has no usable configuration of it.
    pub fn look_up(&mut self, look_up: &LookUp) -> Result<LookUpAnswer, LookUpError> {
        let valid_ms = self.settings.look_up_valid_ms;
        let identity = self.out.shared_identity();
        let context = routing_context!(self, identity);
        self.ingress.look_ups_mut().answer(look_up, valid_ms, &context.view)
    }

    /// Explains how this node would route a request.
    pub fn explain(&self, request: &ExplainRequest) -> Explanation {
        let identity = self.out.shared_identity();
        let context = routing_context!(self, identity);
        let origin = context.view.catalogue.origin_of_address(request.source);
        let current_shares =
            self.ingress.traffic_split(ServiceKey::of(&request.service), origin, &context);
        context.view.explain(request, context.policy, current_shares.as_deref())
    }

    /// Queues the actions that conclude requests.
    fn conclude(&mut self, concluded: impl IntoIterator<Item = ConcludedRequest>) {
        for ConcludedRequest { request, outcome } in concluded {
            self.out.push(Action::Conclude { request, outcome });
        }
    }

    /// Applies the platform's list of VMs, which may include VMs of upstreams.
    fn handle_vm_list(&mut self, listed: Vec<ListedVm>) {
        let catalogue = Arc::clone(self.configuration.catalogue());
        let is_upstream =
            |vm: &ListedVm| catalogue.upstreams.contains_key(&UpstreamKey::of(&vm.name));
        let (upstreams, vms): (Vec<_>, Vec<_>) = listed.into_iter().partition(is_upstream);
        self.lease.apply_vm_list(&vms, self.out.now_ms());
        self.membership.apply_vm_list(vms);
        for vm in upstreams.into_iter().filter(|vm| vm.leaving) {
            let upstream = UpstreamKey::of(&vm.name);
            self.with_egress(|egress, context, out| egress.mark_leaving(upstream, context, out));
        }
    }

    /// Sends the notice of leaving upstreams that is due, to all peers of the failure domain or to
    /// one of them.
    fn send_leaving_notice(&mut self) {
        let Some(notice) = self.egress.due_leaving_notice(self.out.now_ms()) else {
            return;
        };
        let identity = self.out.identity();
        let members = self.membership.members_in(identity.descriptor.domain);
        let peers: Vec<_> =
            members.into_iter().map(|(_, member)| member.descriptor.peer_address).collect();
        let chosen_index = notice.number.wrapping_add(identity.vm.0) % peers.len().max(1) as u64;
        for (index, peer) in peers.into_iter().enumerate() {
            if notice.broadcast || index as u64 == chosen_index {
                self.out.send(peer, Message::LeavingUpstreams(notice.leaving.clone()));
            }
        }
    }

    /// Sends the leaving upstreams to a member that has just started.
    ///
    /// The member may own some of these upstreams at once, and would send requests there until it
    /// received the next notice.
    fn send_leaving_to(&mut self, vm: VmKey) {
        let leaving = self.egress.leaving_upstreams(self.out.now_ms());
        let Some(member) = self.membership.member(vm) else {
            return;
        };
        if !leaving.upstreams.is_empty() {
            self.out.send(member.descriptor.peer_address, Message::LeavingUpstreams(leaving));
        }
    }

    /// Runs an operation of the admission control with the current allowances.
    fn with_egress<T>(
        &mut self,
        operation: impl FnOnce(&mut Egress, AdmissionContext<'_>, &mut Outbox) -> T,
    ) -> T {
        let allowances = match self.cached_allowances.take() {
            Some(allowances) => allowances,
            None => self.compute_allowances(),
        };
        let context =
            AdmissionContext { allowances: &allowances, catalogue: self.configuration.catalogue() };
        let result = operation(&mut self.egress, context, &mut self.out);
        self.cached_allowances = Some(allowances);
        result
    }

    /// Drops the cached allowances after an event that may change them.
    ///
    /// Between two ticks a member may be granted slots of an upstream that this node has used; with
    /// outdated allowances both would use them.
    fn invalidate_allowances(&mut self, event: &Event) {
        let may_change = matches!(
            event,
            Event::Datagram(_) | Event::Table { .. } | Event::VmList(_) | Event::PageFetched { .. }
        );
        if may_change {
            self.cached_allowances = None;
        }
    }

    fn compute_allowances(&self) -> Vec<Allowance> {
        self.lease.allowances(self.out.now_ms())
    }

    fn refresh_lease(&mut self) {
        self.cached_allowances = None;
        let revision = self.configuration.revision();
        let catalogue = self.configuration.catalogue();
        let egress = &self.egress;
        let in_flight = |upstream| egress.in_flight(upstream);
        self.lease.refresh(&self.membership, catalogue, revision, in_flight, &mut self.out);
    }

    /// Records the revision that a member has in force, if the member's address is known.
    fn record_revision(&mut self, vm: VmKey, revision: u64) {
        if let Some(member) = self.membership.member(vm) {
            self.configuration.observe_revision(vm, member.descriptor.operator_address, revision);
        }
    }

    fn handle_baseline(&mut self, from: VmKey, baseline: Option<&Baseline>) {
        let identity = self.out.shared_identity();
        let context = routing_context!(self, identity);
        self.ingress.placement_mut().handle_baseline(from, baseline, &context, &mut self.out);
    }

    fn handle_heartbeat(&mut self, envelope: &Envelope, heartbeat: &Heartbeat) {
        let known_boot =
            |node: &Self| node.membership.member(envelope.from).map(|member| member.boot);
        let previous_boot = known_boot(self);
        if self.membership.handle_heartbeat(envelope, heartbeat, &mut self.out) {
            self.lease.handle_heartbeat(envelope, heartbeat);
            let (peer_digest, own_digest) = (heartbeat.roster_digest, self.lease.roster_digest());
            self.membership.reconcile_roster(envelope.from, peer_digest, own_digest, &mut self.out);
        }
        if known_boot(self) != previous_boot {
            self.send_leaving_to(envelope.from);
        }
        self.configuration.observe_head_age(heartbeat.configuration.head_age_ms, &self.out);
        self.record_revision(envelope.from, heartbeat.configuration.revision);
    }

    fn handle_datagram(&mut self, envelope: &Envelope) {
        if envelope.from == self.out.identity().vm {
            return;
        }
        self.out.merge_stamp(envelope.stamp);
        match &envelope.message {
            Message::LeavingUpstreams(leaving) => {
                self.with_egress(|egress, context, out| {
                    egress.merge_leaving(leaving, context, out);
                });
            }
            Message::Heartbeat(heartbeat) => self.handle_heartbeat(envelope, heartbeat),
            Message::BootEnded => {
                if self.membership.handle_boot_ended(envelope, &mut self.out) {
                    self.lease.handle_boot_ended(envelope.from, envelope.boot);
                }
            }
            Message::Revision(notice) => {
                self.configuration.observe_head_age(notice.configuration.head_age_ms, &self.out);
                let revision = notice.configuration.revision;
                self.configuration.observe_revision(
                    envelope.from,
                    notice.operator_address,
                    revision,
                );
            }
            Message::BaselineRequest => self.handle_baseline(envelope.from, None),
            Message::Baseline(baseline) => self.handle_baseline(envelope.from, Some(baseline)),
            Message::Probe(probe) => self.membership.handle_probe(envelope, probe, &mut self.out),
            Message::ProbeAnswer(answer) => {
                self.membership.handle_probe_answer(answer, &mut self.out);
            }
            Message::Summary(summary) => {
                self.membership.handle_summary(summary, &mut self.out);
                for member in &summary.members {
                    self.record_revision(member.vm, member.revision);
                }
            }
        }
    }
}
