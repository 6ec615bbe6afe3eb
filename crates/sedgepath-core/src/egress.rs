//! Admission control on a node that may use upstreams: chooses an upstream for each dispatched
//! request and limits the requests in flight there.
//!
//! A slot is in use from when a request is sent until the upstream can no longer be running the
//! request. A request without a free slot waits in a queue while it can still be served before its
//! deadline, and otherwise is rejected at once with a retry delay.
//!
//! Invariants:
//! - a request is sent only while fewer of this node's requests may be running at the upstream than
//!   the smallest of the node's allowance, the warm-up limit, the slots the upstream reports and
//!   the limit set by its rejections; a limit that falls below that number cancels no request;
//! - nothing is sent after the node's permission to send has expired;
//! - requests that aren't paying never use the free slots of the reserve;
//! - an upstream known to be leaving gets no new requests, and its requests in flight are not
//!   cancelled.

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
use service::{ClassSlots, ServiceState};
use settings::{AdmissionSettings, Queueing};
use upstream::{CallLimits, HealthChange};
use upstreams::{ChosenUpstream, ServiceCapacity, UpstreamTable};

/// The default delay after which a rejected caller should retry, in milliseconds.
const RETRY_AFTER_MS: u64 = 500;

/// A call: a dispatched request that was sent to an upstream and has not ended.
#[derive(Debug, Clone, Copy)]
struct ActiveCall {
    upstream: UpstreamKey,
    service: ServiceKey,
    limits: CallLimits,
    sent_at_ms: u64,
}

/// The admission control of a node, with its calls to upstreams and its queued requests.
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

    /// Sends, queues or rejects a dispatched request.
    pub fn dispatch(
        &mut self,
        exchange: ExchangeKey,
        dispatch: &Dispatch,
        context: AdmissionContext<'_>,
        out: &mut Outbox,
    ) {
        let now_ms = out.now_ms();
        let capacity = self.upstreams.capacity(dispatch.service, context, now_ms);
        if !self.upstreams.is_usable(dispatch.service, dispatch.avoid_upstream, context, now_ms) {
            out.push(Action::RejectDispatch {
                exchange,
                refusal: no_upstream_rejection(capacity, now_ms),
            });
            return;
        }
        // Caps the requested deadline at the service's longest: a lost call holds its slot until
        // its deadline, and grants to other members assume no longer one.
        let longest_ms = longest_deadline_ms(dispatch.service, context);
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
            service.reserve.record_demand(
                capacity.slots_used_by_paying + service.queue.paying_count(),
                now_ms,
            );
        }
        self.send_queued(dispatch.service, context, out);
    }

    /// Frees the slot of a call that has ended, and sends queued requests for which a slot is free.
    pub fn call_ended(
        &mut self,
        exchange: ExchangeKey,
        outcome: CallOutcome,
        context: AdmissionContext<'_>,
        out: &mut Outbox,
    ) {
        let Some(call) = self.calls.remove(&exchange) else {
            return;
        };
        let now_ms = out.now_ms();
        let upstream = self.upstreams.state_mut(call.upstream);
        let change = upstream.record_end(call.limits, outcome, now_ms);
        if change == HealthChange::BackedOff {
            log_upstream(Topic::Admission, "upstream_paused", call.upstream, context, out);
        }
        if outcome == CallOutcome::Completed {
            let took_ms = now_ms.saturating_sub(call.sent_at_ms);
            self.services.entry(call.service).or_default().service_time.add_sample(took_ms);
        }
        self.send_queued(call.service, context, out);
    }

    /// Cancels a dispatch that the ingress no longer waits for: rejects it if it is queued, and
    /// tries to cancel the call if it was sent.
    pub fn cancel_dispatch(&mut self, exchange: ExchangeKey, out: &mut Outbox) {
        if self.calls.contains_key(&exchange) {
            out.push(Action::CancelCall { exchange });
            return;
        }
        let was_queued = self.services.values_mut().any(|service| {
            // At most one service has the exchange in its queue, so the iteration order has no
            // effect.
            service.queue.remove_exchange(exchange).is_some()
        });
        if was_queued {
            let refusal =
                Rejection { reason: RejectionReason::Cancelled, retry_after_ms: RETRY_AFTER_MS };
            out.push(Action::RejectDispatch { exchange, refusal });
        }
    }

    /// Returns the number of dispatches that were sent to upstreams and have not ended, or are
    /// queued.
    pub fn pending_dispatches(&self) -> usize {
        let queued = self.services.values().map(|service| service.queue.requests().len());
        self.calls.len() + queued.sum::<usize>()
    }

    /// Applies an upstream's load report, and sends queued requests for which a slot is free.
    pub fn record_report(
        &mut self,
        upstream: UpstreamKey,
        report: UpstreamReport,
        context: AdmissionContext<'_>,
        out: &mut Outbox,
    ) {
        if report.leaving {
            self.mark_leaving(upstream, context, out);
        }
        self.upstreams.state_mut(upstream).record_report(&report);
        if let Some(entry) = context.catalogue.upstreams.get(&upstream) {
            self.send_queued(entry.service, context, out);
        }
    }

    /// Sets the number of connections that are open to an upstream.
    pub fn set_open_connections(&mut self, upstream: UpstreamKey, open: u32, now_ms: u64) {
        self.upstreams.state_mut(upstream).set_open_connections(open, now_ms);
    }

    /// Marks an upstream as leaving, as reported by the upstream or the platform. It gets no new
    /// requests from now on, and [`Self::due_leaving_notice`] returns the notices for the peers.
    ///
    /// Does nothing if the upstream has a drain record of its own.
    pub fn mark_leaving(
        &mut self,
        upstream: UpstreamKey,
        context: AdmissionContext<'_>,
        out: &mut Outbox,
    ) {
        // All nodes have the drain record, so peers need no notice.
        if context.catalogue.has_own_drain(upstream) {
            return;
        }
        if self.upstreams.leaving.mark(upstream, out.now_ms()) {
            log_upstream(Topic::Drain, "upstream_leaving", upstream, context, out);
        }
    }

    /// Merges a peer's list of leaving upstreams.
    pub fn merge_leaving(
        &mut self,
        leaving: &LeavingUpstreams,
        context: AdmissionContext<'_>,
        out: &mut Outbox,
    ) {
        for entry in &leaving.upstreams {
            if self.upstreams.leaving.merge(*entry, out.now_ms()) {
                log_upstream(Topic::Drain, "upstream_leaving_told", entry.upstream, context, out);
            }
        }
    }

    /// Returns the notice that is due to be sent to the peers of the failure domain, if any.
    pub fn due_leaving_notice(&mut self, now_ms: u64) -> Option<LeavingNotice> {
        self.upstreams.leaving.due_notice(now_ms)
    }

    /// Returns the leaving upstreams, to be sent to a peer that has just started.
    pub fn leaving_upstreams(&self, now_ms: u64) -> LeavingUpstreams {
        self.upstreams.leaving.snapshot(now_ms)
    }

    /// Removes the expired state of upstreams, sends the queued requests for which a slot is free
    /// and rejects those that can't be served.
    pub fn tick(&mut self, context: AdmissionContext<'_>, out: &mut Outbox) {
        let now_ms = out.now_ms();
        self.upstreams.expire(context, now_ms);
        let mut services: Vec<_> = self.services.keys().copied().collect();
        services.sort_unstable();
        for service in services {
            self.services.entry(service).or_default().reserve.decay(now_ms);
            self.send_queued(service, context, out);
        }
    }

    /// Returns the number of requests that may be running at an upstream, including lost calls,
    /// whose outcome is unknown.
    pub fn in_flight(&self, upstream: UpstreamKey) -> u32 {
        self.upstreams.in_flight(upstream)
    }

    /// Returns the load of the upstreams that this node may use, by service.
    ///
    /// Leaving upstreams are not counted; a service that has only leaving upstreams is reported
    /// with 0 slots.
    pub fn loads(&self, context: AdmissionContext<'_>, now_ms: u64) -> Vec<ServiceLoad> {
        self.upstreams.loads(context, now_ms)
    }

    fn reserved_slots(&self, service: &ServiceState, capacity: ServiceCapacity) -> u32 {
        let ServiceCapacity { slots, slots_used_by_paying, .. } = capacity;
        if self.settings.reserve_for_paying {
            service.reserve.slots(slots, slots_used_by_paying)
        } else {
            0
        }
    }

    /// Sends the queued requests of a service for which a slot is free, and rejects those that
    /// can't be served.
    fn send_queued(&mut self, key: ServiceKey, context: AdmissionContext<'_>, out: &mut Outbox) {
        let now_ms = out.now_ms();
        self.reject_expired(key, out);
        let mut index = 0;
        while let Some(request) = self.queued_at(key, index) {
            if self.free_slots_for(request.is_paying(), key, context, now_ms) == 0 {
                break;
            }
            match self.upstreams.choose(key, request.avoid_upstream, context, now_ms) {
                Some(choice) => {
                    let service = self.services.entry(key).or_default();
                    service.queue.remove(index);
                    service.record_sent(request.is_paying(), now_ms);
                    self.send(key, &request, choice, out);
                }
                None => index += 1,
            }
        }
        self.reject_unservable(key, context, out);
    }

    /// Rejects the queued requests of a service whose deadline has passed.
    fn reject_expired(&mut self, key: ServiceKey, out: &mut Outbox) {
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

    /// Returns the free slots for paying requests if `pays`, and otherwise those for other
    /// requests, which exclude the reserve.
    fn free_slots_for(
        &self,
        pays: bool,
        key: ServiceKey,
        context: AdmissionContext<'_>,
        now_ms: u64,
    ) -> u32 {
        let capacity = self.upstreams.capacity(key, context, now_ms);
        if pays {
            return capacity.free_slots;
        }
        let reserved =
            self.services.get(&key).map_or(0, |service| self.reserved_slots(service, capacity));
        capacity.free_slots.saturating_sub(reserved.saturating_sub(capacity.slots_used_by_paying))
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
        let limits = CallLimits {
            class: request.class,
            may_open: choice.may_open,
            send_by_ms: choice.allowance.send_by_ms.min(request.deadline_at_ms),
            deadline_at_ms: request.deadline_at_ms,
        };
        self.upstreams.state_mut(upstream).record_sent(limits, now_ms);
        let call = ActiveCall { upstream, service, limits, sent_at_ms: now_ms };
        self.calls.insert(request.exchange, call);
        out.push(Action::CallUpstream {
            exchange: request.exchange,
            upstream,
            domain: choice.entry.domain,
            address: choice.entry.address,
            may_open: limits.may_open,
            send_by_ms: limits.send_by_ms,
            deadline_at_ms: limits.deadline_at_ms,
        });
    }

    /// Rejects the queued requests of a service that the queueing setting doesn't let wait, and all
    /// of them if the service has no slots.
    fn reject_unservable(
        &mut self,
        key: ServiceKey,
        context: AdmissionContext<'_>,
        out: &mut Outbox,
    ) {
        let now_ms = out.now_ms();
        let capacity = self.upstreams.capacity(key, context, now_ms);
        let settings = self.settings;
        let reserved =
            self.services.get(&key).map_or(0, |service| self.reserved_slots(service, capacity));
        let Some(service) = self.services.get_mut(&key) else {
            return;
        };
        let class_slots = ClassSlots {
            paying: capacity.slots,
            others: capacity.slots.saturating_sub(reserved.max(capacity.slots_used_by_paying)),
        };
        let mut rejected = Vec::new();
        match settings.queueing {
            _ if capacity.slots == 0 => {
                for request in service.queue.remove_where(|_| true) {
                    rejected.push((request, no_upstream_rejection(capacity, now_ms)));
                }
            }
            Queueing::Off => {
                for request in service.queue.remove_where(|_| true) {
                    let retry_after_ms =
                        service.retry_after_ms(request.is_paying(), class_slots, now_ms);
                    rejected.push((request, full_rejection(retry_after_ms)));
                }
            }
            Queueing::Unbounded => {}
            Queueing::Bounded { paying_per_slot, others_per_slot } => {
                for (request, retry_after_ms) in service.remove_late(class_slots, now_ms) {
                    rejected.push((request, full_rejection(retry_after_ms)));
                }
                let bounds = [
                    (true, paying_per_slot * class_slots.paying),
                    (false, others_per_slot * class_slots.others),
                ];
                for (pays, bound) in bounds {
                    while let Some(request) = service.queue.pop_over_limit(pays, bound) {
                        let retry_after_ms = service.retry_after_ms(pays, class_slots, now_ms);
                        rejected.push((request, full_rejection(retry_after_ms)));
                    }
                }
            }
        }
        for (request, refusal) in rejected {
            out.push(Action::RejectDispatch { exchange: request.exchange, refusal });
        }
    }
}

fn full_rejection(retry_after_ms: u64) -> Rejection {
    Rejection { reason: RejectionReason::Full, retry_after_ms }
}

/// Returns the rejection of a request if no upstream of its service can be used.
fn no_upstream_rejection(capacity: ServiceCapacity, now_ms: u64) -> Rejection {
    let reason =
        if capacity.may_send { RejectionReason::NoUpstream } else { RejectionReason::NotOwner };
    let retry_after_ms = match capacity.retry_at_ms {
        Some(retry_at_ms) => retry_at_ms.saturating_sub(now_ms).max(1),
        None => RETRY_AFTER_MS,
    };
    Rejection { reason, retry_after_ms }
}

fn longest_deadline_ms(service: ServiceKey, context: AdmissionContext<'_>) -> u64 {
    context.catalogue.services.get(&service).map_or(0, |entry| entry.longest_deadline_ms)
}

fn log_upstream(
    topic: Topic,
    event: &str,
    upstream: UpstreamKey,
    context: AdmissionContext<'_>,
    out: &mut Outbox,
) {
    if let Some(entry) = context.catalogue.upstreams.get(&upstream) {
        out.log(topic, event, &[("upstream", &entry.name)]);
    }
}
