//! The owner's side: which upstream runs a request that a peer has handed over, and when.
//!
//! An upstream must never run more than its slots, whatever is lost on the way, and a request must
//! never wait for nothing. So a slot counts as taken from the decision to send until the upstream
//! surely no longer runs the request, and a request that finds no slot waits only while it can still
//! be served in time; else it is refused at once, with the time to come back.
//!
//! Invariants:
//! - what may run at an upstream is never above the least of: this node's allowance, the upstream's
//!   warm-up, its own reports and its refusals; when one of these falls below what runs already,
//!   nothing is added;
//! - nothing is sent after the time until which the node may send;
//! - trial and guest requests leave the reserve free for paying ones;
//! - an upstream that is heard to leave gets nothing new, and what runs there is left alone.

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

/// When a caller that found no upstream should come back, in milliseconds.
const RETRY_AFTER_MS: u64 = 500;

/// A dispatch that runs at an upstream.
#[derive(Debug, Clone, Copy)]
struct Call {
    upstream: UpstreamKey,
    service: ServiceKey,
    sent: Sent,
    sent_at_ms: u64,
}

/// The upstreams that this node may use, what runs there and what waits for them.
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
    /// Creates the admission of a node.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            calls: Map::default(),
            upstreams: Upstreams::new(settings.warm_up),
            services: Map::default(),
        }
    }

    /// Takes over a dispatched request: sends it, lets it wait or refuses it, at once.
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
        // A lost call holds its slot to its deadline, and an owner's promise to another member rests
        // on the longest one; a peer's longer word must not count.
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

    /// Takes in the end of a call.
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

    /// Takes in that the ingress no longer waits for a dispatch: one that waits is refused, for one
    /// that runs a cancellation is tried.
    pub fn cancel_dispatch(&mut self, exchange: ExchangeKey, out: &mut Outbox) {
        if self.calls.contains_key(&exchange) {
            out.push(Action::CancelCall { exchange });
            return;
        }
        let waited = self.services.values_mut().any(|service| {
            // At most one service holds it, so the order of the search has no effect.
            service.queue.remove_exchange(exchange).is_some()
        });
        if waited {
            let refusal =
                Rejection { reason: RejectionReason::Cancelled, retry_after_ms: RETRY_AFTER_MS };
            out.push(Action::RejectDispatch { exchange, refusal });
        }
    }

    /// Returns the number of dispatches that run at upstreams or wait for one.
    pub fn calls_in_flight(&self) -> usize {
        let waiting = self.services.values().map(|service| service.queue.waiting().len());
        self.calls.len() + waiting.sum::<usize>()
    }

    /// Takes in an upstream's word on its load.
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

    /// Takes in the number of connections that are open to an upstream.
    pub fn set_open_connections(&mut self, upstream: UpstreamKey, open: u32, now_ms: u64) {
        self.upstreams.entry(upstream).take_connections(open, now_ms);
    }

    /// Takes in first-hand that an upstream leaves: it gets nothing new from now on, and
    /// [`Self::leaving_notice`] tells the peers.
    pub fn mark_leaving(
        &mut self,
        upstream: UpstreamKey,
        scope: AdmissionContext<'_>,
        out: &mut Outbox,
    ) {
        // All nodes have the record; the answers of what is still in flight are no news.
        if scope.catalogue.has_own_drain(upstream) {
            return;
        }
        if self.upstreams.leaving.mark(upstream, out.now_ms()) {
            log_upstream(Topic::Drain, "upstream_leaving", upstream, scope, out);
        }
    }

    /// Takes in what a peer has heard of upstreams that leave.
    pub fn take_leaving(
        &mut self,
        leaving: &LeavingUpstreams,
        scope: AdmissionContext<'_>,
        out: &mut Outbox,
    ) {
        for told in &leaving.upstreams {
            if self.upstreams.leaving.take(*told, out.now_ms()) {
                log_upstream(Topic::Drain, "upstream_leaving_told", told.upstream, scope, out);
            }
        }
    }

    /// Returns what is due to be told to the peers of the failure domain.
    pub fn leaving_notice(&mut self, now_ms: u64) -> Option<Notice> {
        self.upstreams.leaving.notice(now_ms)
    }

    /// Returns what a peer that joins has to be told.
    pub fn leaving(&self, now_ms: u64) -> LeavingUpstreams {
        self.upstreams.leaving.told(now_ms)
    }

    /// Gives up what time has ended, refuses what can no longer be served and sends what can.
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

    /// Returns the requests that may run at an upstream.
    pub fn in_flight(&self, upstream: UpstreamKey) -> u32 {
        self.upstreams.in_flight(upstream)
    }

    /// Returns the load of the upstreams that this node may use, by service. Those that leave are left
    /// out; a service of which all leave has no slots.
    pub fn loads(&self, scope: AdmissionContext<'_>, now_ms: u64) -> Vec<ServiceLoad> {
        self.upstreams.loads(scope, now_ms)
    }

    fn kept(&self, service: &Service, capacity: Capacity) -> u32 {
        let Capacity { slots, paying, .. } = capacity;
        if self.settings.reserve_for_paying { service.reserve.slots(slots, paying) } else { 0 }
    }

    /// Sends what waits for a service and can be sent, and refuses what can no longer be served.
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

    /// Refuses what is past its deadline, as after a pause of the process; it must not be sent.
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

    /// Returns the free slots that a group of classes may take.
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

    /// Refuses the waiting requests that the settings and the time left do not let wait.
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

/// Says why no upstream of a service can be used.
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
