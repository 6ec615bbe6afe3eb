//! The owner's side of a request: chooses an upstream for each dispatch and limits what runs there.
//!
//! A slot is taken when a request is sent and freed once the upstream can no longer be running the
//! request. A request without a free slot waits in a queue while it can still be served before its
//! deadline, and otherwise is refused at once with a time to retry.
//!
//! Invariants:
//! - the requests that may run at an upstream never exceed the smallest of this node's allowance, the
//!   warm-up limit, the slots the upstream reports and the limit set by its refusals; if a limit
//!   falls below what already runs, nothing is added;
//! - nothing is sent after the time until which the node may send;
//! - trial and guest requests leave the reserve free for paying requests;
//! - an upstream known to be leaving gets no new requests, and its running requests are left alone.

use crate::event::{Action, UpstreamReport};
use crate::hash::Map;
use crate::key::{ExchangeKey, ServiceKey, UpstreamKey};
use crate::message::{LeavingUpstreams, ServiceLoad};
use crate::outbox::Outbox;
use crate::request::{CallOutcome, Dispatch, Rejection, RejectionReason};
use crate::timeline::Topic;

mod connections;
mod context;
mod health;
mod interpolation;
mod leaving;
mod queue;
mod reported_slots;
mod reserve;
mod service;
pub mod settings;
mod upstream;
mod upstreams;
mod warm_up;

pub use context::AdmissionContext;
pub use leaving::LeavingNotice;
use queue::QueuedRequest;
use service::{GroupSlots, ServiceState};
use settings::{AdmissionSettings, Queueing};
use upstream::{CallTerms, HealthChange};
use upstreams::{ChosenUpstream, ServiceCapacity, UpstreamTable};

/// The retry time told to a caller for whom no upstream is available, in milliseconds.
const RETRY_AFTER_MS: u64 = 500;

/// A dispatched request that was sent to an upstream.
#[derive(Debug, Clone, Copy)]
struct ActiveCall {
    upstream: UpstreamKey,
    service: ServiceKey,
    terms: CallTerms,
    sent_at_ms: u64,
}

/// Admission control for the upstreams that this node may use: running calls and queued requests.
#[derive(Debug)]
pub struct Egress {
    settings: AdmissionSettings,
    calls: Map<ExchangeKey, ActiveCall>,
    upstreams: UpstreamTable,
    services: Map<ServiceKey, ServiceState>,
}

impl Default for Egress {
    fn default() -> Self {
        Self::new(AdmissionSettings::default())
    }
}

impl Egress {
    /// Creates the admission control of a node, without calls or queued requests.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            calls: Map::default(),
            upstreams: UpstreamTable::new(settings.warm_up),
            services: Map::default(),
        }
    }

    /// Sends, queues or refuses a dispatched request.
    pub fn dispatch(
        &mut self,
        exchange: ExchangeKey,
        dispatch: &Dispatch,
        scope: AdmissionContext<'_>,
        out: &mut Outbox,
    ) {
        let now_ms = out.now_ms();
        let capacity = self.upstreams.capacity(dispatch.service, scope, now_ms);
        if !self.upstreams.is_usable(dispatch.service, dispatch.avoid_upstream, scope, now_ms) {
            out.push(Action::RejectDispatch {
                exchange,
                refusal: unusable_refusal(capacity, now_ms),
            });
            return;
        }
        // Caps the deadline that the peer asks for: a lost call holds its slot until its deadline, and
        // the grants to other members assume the longest deadline of the record.
        let longest_ms = longest_deadline_ms(dispatch.service, scope);
        let deadline_at_ms = now_ms + dispatch.remaining_ms.min(longest_ms);
        let request = QueuedRequest {
            exchange,
            class: dispatch.class,
            deadline_at_ms,
            queued_at_ms: now_ms,
            avoid_upstream: dispatch.avoid_upstream,
        };
        let service = self.services.entry(dispatch.service).or_default();
        service.queue.push(request);
        if request.is_paying() {
            service
                .reserve
                .record_demand(capacity.paying_slots + service.queue.paying_count(), now_ms);
        }
        self.send_queued(dispatch.service, scope, out);
    }

    /// Frees the slot of a call that has ended, and sends queued requests that fit now.
    pub fn call_ended(
        &mut self,
        exchange: ExchangeKey,
        end: CallOutcome,
        scope: AdmissionContext<'_>,
        out: &mut Outbox,
    ) {
        let Some(call) = self.calls.remove(&exchange) else {
            return;
        };
        let now_ms = out.now_ms();
        let upstream = self.upstreams.state_mut(call.upstream);
        let change = upstream.call_ended(call.terms, end, now_ms);
        if change == HealthChange::Paused {
            log_upstream(Topic::Admission, "upstream_paused", call.upstream, scope, out);
        }
        if end == CallOutcome::Completed {
            let took_ms = now_ms.saturating_sub(call.sent_at_ms);
            self.services.entry(call.service).or_default().service_time.add_sample(took_ms);
        }
        self.send_queued(call.service, scope, out);
    }

    /// Stops a dispatch that the ingress no longer waits for: refuses it if it is queued, and tries
    /// to cancel it if it runs.
    pub fn cancel_dispatch(&mut self, exchange: ExchangeKey, out: &mut Outbox) {
        if self.calls.contains_key(&exchange) {
            out.push(Action::CancelCall { exchange });
            return;
        }
        let waited = self.services.values_mut().any(|service| {
            // At most one service has the exchange in its queue, so the iteration order has no effect.
            service.queue.remove_exchange(exchange).is_some()
        });
        if waited {
            let refusal =
                Rejection { reason: RejectionReason::Cancelled, retry_after_ms: RETRY_AFTER_MS };
            out.push(Action::RejectDispatch { exchange, refusal });
        }
    }

    /// Returns the number of dispatches that run at upstreams or are queued.
    pub fn dispatches_in_flight(&self) -> usize {
        let queued = self.services.values().map(|service| service.queue.requests().len());
        self.calls.len() + queued.sum::<usize>()
    }

    /// Applies an upstream's load report, and sends queued requests that fit now.
    pub fn record_report(
        &mut self,
        upstream: UpstreamKey,
        report: UpstreamReport,
        scope: AdmissionContext<'_>,
        out: &mut Outbox,
    ) {
        if report.leaving {
            self.mark_leaving(upstream, scope, out);
        }
        self.upstreams.state_mut(upstream).record_report(&report);
        if let Some(entry) = scope.catalogue.upstreams.get(&upstream) {
            self.send_queued(entry.service, scope, out);
        }
    }

    /// Sets the number of connections that are open to an upstream.
    pub fn set_open_connections(&mut self, upstream: UpstreamKey, open: u32, now_ms: u64) {
        self.upstreams.state_mut(upstream).set_open_connections(open, now_ms);
    }

    /// Marks an upstream as leaving, as learnt from the upstream or the platform. It gets no new
    /// requests from now on, and [`Self::due_leaving_notice`] returns the notices for the peers.
    pub fn mark_leaving(
        &mut self,
        upstream: UpstreamKey,
        scope: AdmissionContext<'_>,
        out: &mut Outbox,
    ) {
        // All nodes have the drain record, so peers need no notice.
        if scope.catalogue.has_own_drain(upstream) {
            return;
        }
        if self.upstreams.leaving.mark(upstream, out.now_ms()) {
            log_upstream(Topic::Drain, "upstream_leaving", upstream, scope, out);
        }
    }

    /// Merges a peer's list of leaving upstreams.
    pub fn merge_leaving(
        &mut self,
        leaving: &LeavingUpstreams,
        scope: AdmissionContext<'_>,
        out: &mut Outbox,
    ) {
        for entry in &leaving.upstreams {
            if self.upstreams.leaving.merge(*entry, out.now_ms()) {
                log_upstream(Topic::Drain, "upstream_leaving_told", entry.upstream, scope, out);
            }
        }
    }

    /// Returns the notice that is due to be sent to the peers of the failure domain, if any.
    pub fn due_leaving_notice(&mut self, now_ms: u64) -> Option<LeavingNotice> {
        self.upstreams.leaving.due_notice(now_ms)
    }

    /// Returns the leaving upstreams, for a peer that joins.
    pub fn leaving_upstreams(&self, now_ms: u64) -> LeavingUpstreams {
        self.upstreams.leaving.snapshot(now_ms)
    }

    /// Expires what is past its time, refuses queued requests that can no longer be served and sends
    /// those that fit.
    pub fn tick(&mut self, scope: AdmissionContext<'_>, out: &mut Outbox) {
        let now_ms = out.now_ms();
        self.upstreams.expire(scope, now_ms);
        let mut services: Vec<_> = self.services.keys().copied().collect();
        services.sort_unstable();
        for service in services {
            self.services.entry(service).or_default().reserve.decay(now_ms);
            self.send_queued(service, scope, out);
        }
    }

    /// Returns the number of requests that may be running at an upstream, lost ones included.
    pub fn in_flight(&self, upstream: UpstreamKey) -> u32 {
        self.upstreams.in_flight(upstream)
    }

    /// Returns the load of the upstreams that this node may use, by service.
    ///
    /// Leaving upstreams don't count; a service with no others has no slots.
    pub fn loads(&self, scope: AdmissionContext<'_>, now_ms: u64) -> Vec<ServiceLoad> {
        self.upstreams.loads(scope, now_ms)
    }

    fn reserved_slots(&self, service: &ServiceState, capacity: ServiceCapacity) -> u32 {
        let ServiceCapacity { slots, paying_slots: paying, .. } = capacity;
        if self.settings.reserve_for_paying { service.reserve.slots(slots, paying) } else { 0 }
    }

    /// Sends the queued requests of a service that fit, and refuses those that can't be served.
    fn send_queued(&mut self, key: ServiceKey, scope: AdmissionContext<'_>, out: &mut Outbox) {
        let now_ms = out.now_ms();
        self.refuse_expired(key, out);
        let mut index = 0;
        while let Some(request) = self.queued_at(key, index) {
            if self.free_slots_for(request.is_paying(), key, scope, now_ms) == 0 {
                break;
            }
            match self.upstreams.choose(key, request.avoid_upstream, scope, now_ms) {
                Some(choice) => {
                    let service = self.services.entry(key).or_default();
                    service.queue.remove(index);
                    service.record_sent(request.is_paying(), now_ms);
                    self.send(key, &request, choice, out);
                }
                None => index += 1,
            }
        }
        self.refuse_unservable(key, scope, out);
    }

    /// Refuses queued requests whose deadline has passed, for example while the process was paused.
    fn refuse_expired(&mut self, key: ServiceKey, out: &mut Outbox) {
        let now_ms = out.now_ms();
        let Some(service) = self.services.get_mut(&key) else {
            return;
        };
        for request in service.queue.remove_where(|request| request.deadline_at_ms <= now_ms) {
            let refusal =
                Rejection { reason: RejectionReason::Deadline, retry_after_ms: RETRY_AFTER_MS };
            out.push(Action::RejectDispatch { exchange: request.exchange, refusal });
        }
    }

    /// Returns the free slots that paying requests, or all others, may take.
    fn free_slots_for(
        &self,
        pays: bool,
        key: ServiceKey,
        scope: AdmissionContext<'_>,
        now_ms: u64,
    ) -> u32 {
        let capacity = self.upstreams.capacity(key, scope, now_ms);
        if pays {
            return capacity.free_slots;
        }
        let kept =
            self.services.get(&key).map_or(0, |service| self.reserved_slots(service, capacity));
        capacity.free_slots.saturating_sub(kept.saturating_sub(capacity.paying_slots))
    }

    fn queued_at(&self, service: ServiceKey, index: usize) -> Option<QueuedRequest> {
        self.services.get(&service)?.queue.requests().get(index).copied()
    }

    fn send(
        &mut self,
        service: ServiceKey,
        request: &QueuedRequest,
        choice: ChosenUpstream<'_>,
        out: &mut Outbox,
    ) {
        let now_ms = out.now_ms();
        let upstream = choice.allowance.upstream;
        let sent = CallTerms {
            class: request.class,
            may_open: choice.may_open,
            send_by_ms: choice.allowance.send_by_ms.min(request.deadline_at_ms),
            deadline_at_ms: request.deadline_at_ms,
        };
        self.upstreams.state_mut(upstream).call_sent(sent, now_ms);
        let call = ActiveCall { upstream, service, terms: sent, sent_at_ms: now_ms };
        self.calls.insert(request.exchange, call);
        out.push(Action::CallUpstream {
            exchange: request.exchange,
            upstream,
            domain: choice.entry.domain,
            address: choice.entry.address,
            may_open: sent.may_open,
            send_by_ms: sent.send_by_ms,
            deadline_at_ms: sent.deadline_at_ms,
        });
    }

    /// Refuses queued requests that would miss their deadline or exceed the limits of the queue.
    fn refuse_unservable(
        &mut self,
        key: ServiceKey,
        scope: AdmissionContext<'_>,
        out: &mut Outbox,
    ) {
        let now_ms = out.now_ms();
        let capacity = self.upstreams.capacity(key, scope, now_ms);
        let settings = self.settings;
        let kept =
            self.services.get(&key).map_or(0, |service| self.reserved_slots(service, capacity));
        let Some(service) = self.services.get_mut(&key) else {
            return;
        };
        let group_slots = GroupSlots {
            paying: capacity.slots,
            others: capacity.slots.saturating_sub(kept.max(capacity.paying_slots)),
        };
        let mut refused = Vec::new();
        match settings.queueing {
            _ if capacity.slots == 0 => {
                for request in service.queue.remove_where(|_| true) {
                    refused.push((request, unusable_refusal(capacity, now_ms)));
                }
            }
            Queueing::Off => {
                for request in service.queue.remove_where(|_| true) {
                    let retry_after_ms =
                        service.retry_after_ms(request.is_paying(), group_slots, now_ms);
                    refused.push((request, full_refusal(retry_after_ms)));
                }
            }
            Queueing::Unbounded => {}
            Queueing::Bounded { paying_per_slot, others_per_slot } => {
                for (request, retry_after_ms) in service.remove_late(group_slots, now_ms) {
                    refused.push((request, full_refusal(retry_after_ms)));
                }
                let bounds = [
                    (true, paying_per_slot * group_slots.paying),
                    (false, others_per_slot * group_slots.others),
                ];
                for (pays, bound) in bounds {
                    while let Some(request) = service.queue.pop_over_limit(pays, bound) {
                        let retry_after_ms = service.retry_after_ms(pays, group_slots, now_ms);
                        refused.push((request, full_refusal(retry_after_ms)));
                    }
                }
            }
        }
        for (request, refusal) in refused {
            out.push(Action::RejectDispatch { exchange: request.exchange, refusal });
        }
    }
}

fn full_refusal(retry_after_ms: u64) -> Rejection {
    Rejection { reason: RejectionReason::Full, retry_after_ms }
}

/// Returns the rejection for a service none of whose upstreams can be used.
fn unusable_refusal(capacity: ServiceCapacity, now_ms: u64) -> Rejection {
    let reason =
        if capacity.may_send { RejectionReason::NoUpstream } else { RejectionReason::NotOwner };
    let retry_after_ms = match capacity.retry_at_ms {
        Some(retry_at_ms) => retry_at_ms.saturating_sub(now_ms).max(1),
        None => RETRY_AFTER_MS,
    };
    Rejection { reason, retry_after_ms }
}

fn longest_deadline_ms(service: ServiceKey, scope: AdmissionContext<'_>) -> u64 {
    scope.catalogue.services.get(&service).map_or(0, |entry| entry.longest_deadline_ms)
}

fn log_upstream(
    topic: Topic,
    event: &str,
    upstream: UpstreamKey,
    scope: AdmissionContext<'_>,
    out: &mut Outbox,
) {
    if let Some(entry) = scope.catalogue.upstreams.get(&upstream) {
        out.log(topic, event, &[("upstream", &entry.name)]);
    }
}
