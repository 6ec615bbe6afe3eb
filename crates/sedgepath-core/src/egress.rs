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
mod health;
mod leaving;
mod queue;
mod ramp;
mod report;
mod reserve;
mod rise;
mod scope;
mod service;
pub mod settings;
mod upstream;
mod upstreams;

pub use leaving::Notice;
use queue::Waiting;
pub use scope::AdmissionContext;
use service::{Outlook, Service};
use settings::{AdmissionSettings, Queueing};
use upstream::{Change, Sent};
use upstreams::{Capacity, Choice, Upstreams};

/// The retry time told to a caller for whom no upstream is available, in milliseconds.
const RETRY_AFTER_MS: u64 = 500;

/// A dispatched request that was sent to an upstream.
#[derive(Debug, Clone, Copy)]
struct Call {
    upstream: UpstreamKey,
    service: ServiceKey,
    sent: Sent,
    sent_at_ms: u64,
}

/// Admission control for the upstreams that this node may use: running calls and queued requests.
#[derive(Debug)]
pub struct Egress {
    settings: AdmissionSettings,
    calls: Map<ExchangeKey, Call>,
    upstreams: Upstreams,
    services: Map<ServiceKey, Service>,
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
            upstreams: Upstreams::new(settings.warm_up),
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
            out.push(Action::RejectDispatch { exchange, refusal: unusable(capacity, now_ms) });
            return;
        }
        // Caps the deadline that the peer asks for: a lost call holds its slot until its deadline, and
        // the grants to other members assume the longest deadline of the record.
        let longest_ms = longest_deadline_ms(dispatch.service, scope);
        let deadline_at_ms = now_ms + dispatch.remaining_ms.min(longest_ms);
        let waiting = Waiting {
            exchange,
            class: dispatch.class,
            deadline_at_ms,
            since_ms: now_ms,
            avoid: dispatch.avoid_upstream,
        };
        let service = self.services.entry(dispatch.service).or_default();
        service.queue.push(waiting);
        if waiting.pays() {
            service.reserve.note(capacity.paying + service.queue.paying(), now_ms);
        }
        self.serve(dispatch.service, scope, out);
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
        let upstream = self.upstreams.entry(call.upstream);
        let change = upstream.end(call.sent, end, now_ms);
        if change == Change::Paused {
            log_upstream(Topic::Admission, "upstream_paused", call.upstream, scope, out);
        }
        if end == CallOutcome::Completed {
            let took_ms = now_ms.saturating_sub(call.sent_at_ms);
            self.services.entry(call.service).or_default().time.note(took_ms);
        }
        self.serve(call.service, scope, out);
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
    pub fn calls_in_flight(&self) -> usize {
        let waiting = self.services.values().map(|service| service.queue.waiting().len());
        self.calls.len() + waiting.sum::<usize>()
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
        self.upstreams.entry(upstream).take_report(&report);
        if let Some(entry) = scope.catalogue.upstreams.get(&upstream) {
            self.serve(entry.service, scope, out);
        }
    }

    /// Sets the number of connections that are open to an upstream.
    pub fn set_open_connections(&mut self, upstream: UpstreamKey, open: u32, now_ms: u64) {
        self.upstreams.entry(upstream).take_connections(open, now_ms);
    }

    /// Marks an upstream as leaving, as learnt from the upstream or the platform. It gets no new
    /// requests from now on, and [`Self::leaving_notice`] returns the notices for the peers.
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
    pub fn take_leaving(
        &mut self,
        leaving: &LeavingUpstreams,
        scope: AdmissionContext<'_>,
        out: &mut Outbox,
    ) {
        for entry in &leaving.upstreams {
            if self.upstreams.leaving.take(*entry, out.now_ms()) {
                log_upstream(Topic::Drain, "upstream_leaving_told", entry.upstream, scope, out);
            }
        }
    }

    /// Returns the notice that is due to be sent to the peers of the failure domain, if any.
    pub fn leaving_notice(&mut self, now_ms: u64) -> Option<Notice> {
        self.upstreams.leaving.notice(now_ms)
    }

    /// Returns the leaving upstreams, for a peer that joins.
    pub fn leaving(&self, now_ms: u64) -> LeavingUpstreams {
        self.upstreams.leaving.told(now_ms)
    }

    /// Expires what is past its time, refuses queued requests that can no longer be served and sends
    /// those that fit.
    pub fn tick(&mut self, scope: AdmissionContext<'_>, out: &mut Outbox) {
        let now_ms = out.now_ms();
        self.upstreams.tick(scope, now_ms);
        let mut services: Vec<_> = self.services.keys().copied().collect();
        services.sort_unstable();
        for service in services {
            self.services.entry(service).or_default().reserve.advance(now_ms);
            self.serve(service, scope, out);
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

    fn kept(&self, service: &Service, capacity: Capacity) -> u32 {
        let Capacity { slots, paying, .. } = capacity;
        if self.settings.reserve_for_paying { service.reserve.slots(slots, paying) } else { 0 }
    }

    /// Sends the queued requests of a service that fit, and refuses those that can't be served.
    fn serve(&mut self, key: ServiceKey, scope: AdmissionContext<'_>, out: &mut Outbox) {
        let now_ms = out.now_ms();
        self.refuse_overdue(key, out);
        let mut place = 0;
        while let Some(waiting) = self.waiting(key, place) {
            if self.free_for(waiting.pays(), key, scope, now_ms) == 0 {
                break;
            }
            match self.upstreams.choose(key, waiting.avoid, scope, now_ms) {
                Some(choice) => {
                    let service = self.services.entry(key).or_default();
                    service.queue.remove(place);
                    service.sent(waiting.pays(), now_ms);
                    self.send(key, &waiting, choice, out);
                }
                None => place += 1,
            }
        }
        self.refuse(key, scope, out);
    }

    /// Refuses queued requests whose deadline has passed, for example while the process was paused.
    fn refuse_overdue(&mut self, key: ServiceKey, out: &mut Outbox) {
        let now_ms = out.now_ms();
        let Some(service) = self.services.get_mut(&key) else {
            return;
        };
        for waiting in service.queue.drain_refused(|waiting| waiting.deadline_at_ms <= now_ms) {
            let refusal =
                Rejection { reason: RejectionReason::Deadline, retry_after_ms: RETRY_AFTER_MS };
            out.push(Action::RejectDispatch { exchange: waiting.exchange, refusal });
        }
    }

    /// Returns the free slots that paying requests, or all others, may take.
    fn free_for(
        &self,
        pays: bool,
        key: ServiceKey,
        scope: AdmissionContext<'_>,
        now_ms: u64,
    ) -> u32 {
        let capacity = self.upstreams.capacity(key, scope, now_ms);
        if pays {
            return capacity.free;
        }
        let kept = self.services.get(&key).map_or(0, |service| self.kept(service, capacity));
        capacity.free.saturating_sub(kept.saturating_sub(capacity.paying))
    }

    fn waiting(&self, service: ServiceKey, place: usize) -> Option<Waiting> {
        self.services.get(&service)?.queue.waiting().get(place).copied()
    }

    fn send(
        &mut self,
        service: ServiceKey,
        waiting: &Waiting,
        choice: Choice<'_>,
        out: &mut Outbox,
    ) {
        let now_ms = out.now_ms();
        let upstream = choice.allowance.upstream;
        let sent = Sent {
            class: waiting.class,
            may_open: choice.may_open,
            send_by_ms: choice.allowance.send_by_ms.min(waiting.deadline_at_ms),
            deadline_at_ms: waiting.deadline_at_ms,
        };
        self.upstreams.entry(upstream).begin(sent, now_ms);
        let call = Call { upstream, service, sent, sent_at_ms: now_ms };
        self.calls.insert(waiting.exchange, call);
        out.push(Action::CallUpstream {
            exchange: waiting.exchange,
            upstream,
            domain: choice.entry.domain,
            address: choice.entry.address,
            may_open: sent.may_open,
            send_by_ms: sent.send_by_ms,
            deadline_at_ms: sent.deadline_at_ms,
        });
    }

    /// Refuses queued requests that would miss their deadline or exceed the limits of the queue.
    fn refuse(&mut self, key: ServiceKey, scope: AdmissionContext<'_>, out: &mut Outbox) {
        let now_ms = out.now_ms();
        let capacity = self.upstreams.capacity(key, scope, now_ms);
        let settings = self.settings;
        let kept = self.services.get(&key).map_or(0, |service| self.kept(service, capacity));
        let Some(service) = self.services.get_mut(&key) else {
            return;
        };
        let outlook = Outlook {
            paying: capacity.slots,
            others: capacity.slots.saturating_sub(kept.max(capacity.paying)),
        };
        let mut refused = Vec::new();
        match settings.queueing {
            _ if capacity.slots == 0 => {
                for waiting in service.queue.drain_refused(|_| true) {
                    refused.push((waiting, unusable(capacity, now_ms)));
                }
            }
            Queueing::Off => {
                for waiting in service.queue.drain_refused(|_| true) {
                    let retry_after_ms = service.retry_after_ms(waiting.pays(), outlook, now_ms);
                    refused.push((waiting, full(retry_after_ms)));
                }
            }
            Queueing::Unbounded => {}
            Queueing::Bounded { paying_per_slot, others_per_slot } => {
                for (waiting, retry_after_ms) in service.refuse_late(outlook, now_ms) {
                    refused.push((waiting, full(retry_after_ms)));
                }
                let bounds = [
                    (true, paying_per_slot * outlook.paying),
                    (false, others_per_slot * outlook.others),
                ];
                for (pays, bound) in bounds {
                    while let Some(waiting) = service.queue.pop_above(pays, bound) {
                        let retry_after_ms = service.retry_after_ms(pays, outlook, now_ms);
                        refused.push((waiting, full(retry_after_ms)));
                    }
                }
            }
        }
        for (waiting, refusal) in refused {
            out.push(Action::RejectDispatch { exchange: waiting.exchange, refusal });
        }
    }
}

fn full(retry_after_ms: u64) -> Rejection {
    Rejection { reason: RejectionReason::Full, retry_after_ms }
}

/// Returns the rejection for a service none of whose upstreams can be used.
fn unusable(capacity: Capacity, now_ms: u64) -> Rejection {
    let reason =
        if capacity.owned { RejectionReason::NoUpstream } else { RejectionReason::NotOwner };
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
