//! A harness that drives the admission of one owner without a node.
//!
//! Tests set the owner's allowances, dispatch requests and check its decisions, on a simulated clock
//! that only the test advances. The ends of calls, load reports and connection counts come from the
//! test.

use std::net::{Ipv4Addr, SocketAddr};

use sedgepath_core::allowance::Allowance;
use sedgepath_core::catalogue::Catalogue;
use sedgepath_core::egress::{AdmissionContext, Egress};
use sedgepath_core::event::{Action, UpstreamReport};
use sedgepath_core::identity::Identity;
use sedgepath_core::key::{BootId, DomainKey, ExchangeKey, OriginKey, ServiceKey, UpstreamKey};
use sedgepath_core::message::MemberDescriptor;
use sedgepath_core::outbox::Outbox;
use sedgepath_core::record::RawRecord;
use sedgepath_core::request::{CallOutcome, Class, Dispatch, Rejection};

/// The interval between two ticks, in milliseconds.
const TICK_INTERVAL_MS: u64 = 20;

/// The initial time of the simulated clock, in milliseconds.
const START_TIME_MS: u64 = 1_000_000;

/// The owner's decision on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The request is queued.
    Queued,
    /// The request was sent to an upstream.
    Sent {
        /// The upstream that the request was sent to.
        upstream: UpstreamKey,
        /// Whether a connection may be opened for the request.
        may_open: bool,
        /// The time after which the request must not be sent, in milliseconds.
        send_by_ms: u64,
        /// When the decision was made, in milliseconds.
        at_ms: u64,
    },
    /// The request was rejected.
    Rejected(Rejection),
}

/// The owner of all upstreams in its records.
#[derive(Debug)]
pub struct OwnerHarness {
    /// What the owner may use of each upstream; tests may change it at any time.
    pub allowances: Vec<Allowance>,
    egress: Egress,
    catalogue: Catalogue,
    outbox: Outbox,
    now_ms: u64,
    decisions: Vec<Decision>,
    sent: Vec<ExchangeKey>,
    cancelled: Vec<ExchangeKey>,
}

impl OwnerHarness {
    /// Creates an owner with the full capacity of all upstreams in the records.
    pub fn new(records: &[RawRecord]) -> Self {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 9));
        let descriptor = MemberDescriptor {
            name: "owner".into(),
            domain: DomainKey::of("a"),
            caller_address: address,
            peer_address: address,
            operator_address: address,
            leaving: false,
        };
        let catalogue = Catalogue::new(records);
        let mut allowances: Vec<_> = catalogue
            .upstreams
            .iter()
            .map(|(upstream, entry)| Allowance {
                upstream: *upstream,
                slots: entry.slots,
                connections: entry.connections,
                new_connections_per_s: entry.new_connections_per_s,
                send_by_ms: u64::MAX,
            })
            .collect();
        allowances.sort_unstable_by_key(|allowance| allowance.upstream);
        let mut outbox = Outbox::new(Identity::new(descriptor, BootId(1)));
        outbox.set_now_ms(START_TIME_MS);
        Self {
            allowances,
            egress: Egress::default(),
            catalogue,
            outbox,
            now_ms: START_TIME_MS,
            decisions: Vec::new(),
            sent: Vec::new(),
            cancelled: Vec::new(),
        }
    }

    /// Returns the time of the simulated clock in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Returns the admission state of the owner.
    pub fn egress(&self) -> &Egress {
        &self.egress
    }

    /// Replaces the records of the owner.
    pub fn apply_records(&mut self, records: &[RawRecord]) {
        self.catalogue = Catalogue::new(records);
    }

    /// Advances the clock and runs the ticks that fall due.
    pub fn advance_ms(&mut self, duration_ms: u64) {
        let until_ms = self.now_ms + duration_ms;
        loop {
            let next_ms = (self.now_ms / TICK_INTERVAL_MS + 1) * TICK_INTERVAL_MS;
            self.now_ms = next_ms.min(until_ms);
            self.outbox.set_now_ms(self.now_ms);
            if next_ms > until_ms {
                return;
            }
            self.with_admission(Egress::tick);
        }
    }

    /// Dispatches a request to a service and returns its key; see [`Self::decision`].
    pub fn dispatch(&mut self, service: &str, class: Class, remaining_ms: u64) -> ExchangeKey {
        self.dispatch_request(&Dispatch {
            service: ServiceKey::of(service),
            class,
            origin: OriginKey::of("any"),
            remaining_ms,
            once_only: false,
            avoid_upstream: None,
            revision: 1,
        })
    }

    /// Dispatches a request and returns its key.
    pub fn dispatch_request(&mut self, dispatch: &Dispatch) -> ExchangeKey {
        let exchange = ExchangeKey(self.decisions.len() as u64);
        self.decisions.push(Decision::Queued);
        self.with_admission(|egress, context, out| {
            egress.dispatch(exchange, dispatch, context, out);
        });
        exchange
    }

    /// Dispatches requests to the service `s` and returns those that were sent immediately.
    pub fn dispatch_many(
        &mut self,
        count: u32,
        class: Class,
        remaining_ms: u64,
    ) -> Vec<ExchangeKey> {
        let exchanges: Vec<_> =
            (0..count).map(|_| self.dispatch("s", class, remaining_ms)).collect();
        exchanges.into_iter().filter(|exchange| self.is_sent(*exchange)).collect()
    }

    /// Dispatches requests and returns all sent since the last [`Self::take_sent`], queued ones included.
    pub fn dispatch_and_take_sent(
        &mut self,
        count: u32,
        class: Class,
        remaining_ms: u64,
    ) -> Vec<ExchangeKey> {
        self.dispatch_many(count, class, remaining_ms);
        self.take_sent()
    }

    /// Returns the requests that were sent since the last call of this method.
    pub fn take_sent(&mut self) -> Vec<ExchangeKey> {
        std::mem::take(&mut self.sent)
    }

    /// Dispatches a batch of requests, returns how many were sent immediately, and ends all calls.
    pub fn count_admitted(&mut self, class: Class) -> usize {
        let admitted = self.dispatch_many(20, class, 60).len();
        loop {
            let sent = self.take_sent();
            if sent.is_empty() {
                return admitted;
            }
            for exchange in sent {
                self.end_call(exchange, CallOutcome::Completed);
            }
        }
    }

    /// Returns the number of requests sent so far.
    pub fn sent_count(&self) -> usize {
        self.decisions.iter().filter(|decision| matches!(decision, Decision::Sent { .. })).count()
    }

    /// Returns the owner's decision on a request.
    pub fn decision(&self, exchange: ExchangeKey) -> Decision {
        self.decisions[exchange.0 as usize]
    }

    /// Returns whether a request was sent to an upstream.
    pub fn is_sent(&self, exchange: ExchangeKey) -> bool {
        matches!(self.decision(exchange), Decision::Sent { .. })
    }

    /// Returns the rejection of a request, or `None` if it was not rejected.
    pub fn rejection(&self, exchange: ExchangeKey) -> Option<Rejection> {
        match self.decision(exchange) {
            Decision::Rejected(rejection) => Some(rejection),
            _ => None,
        }
    }

    /// Returns the requests that the owner asked the upstream to cancel.
    pub fn cancelled(&self) -> &[ExchangeKey] {
        &self.cancelled
    }

    /// Ends an upstream call with an outcome.
    pub fn end_call(&mut self, exchange: ExchangeKey, end: CallOutcome) {
        self.with_admission(|egress, context, out| egress.call_ended(exchange, end, context, out));
    }

    /// Delivers a load report of an upstream, made at the current time.
    pub fn report_load(&mut self, upstream: &str, in_flight: u32, slots: u32, leaving: bool) {
        let report = UpstreamReport {
            in_flight: Some(in_flight),
            slots: Some(slots),
            leaving,
            made_at_ms: self.now_ms,
        };
        let upstream = UpstreamKey::of(upstream);
        self.with_admission(|egress, context, out| {
            egress.record_report(upstream, report, context, out);
        });
    }

    /// Sets the number of open connections to an upstream.
    pub fn set_open_connections(&mut self, upstream: &str, open: u32) {
        self.egress.set_open_connections(UpstreamKey::of(upstream), open, self.now_ms);
    }

    /// Cancels a dispatch whose caller no longer waits.
    pub fn cancel_dispatch(&mut self, exchange: ExchangeKey) {
        self.egress.cancel_dispatch(exchange, &mut self.outbox);
        self.record_actions();
    }

    /// Returns the slots and the requests in flight that the owner reports, over all services.
    pub fn reported_load(&self) -> (u32, u32) {
        let context = AdmissionContext { allowances: &self.allowances, catalogue: &self.catalogue };
        let loads = self.egress.loads(context, self.now_ms);
        loads.iter().fold((0, 0), |sum, load| (sum.0 + load.slots, sum.1 + load.in_flight))
    }

    fn with_admission(
        &mut self,
        operate: impl FnOnce(&mut Egress, AdmissionContext<'_>, &mut Outbox),
    ) {
        let context = AdmissionContext { allowances: &self.allowances, catalogue: &self.catalogue };
        operate(&mut self.egress, context, &mut self.outbox);
        self.record_actions();
    }

    fn record_actions(&mut self) {
        for action in self.outbox.take_actions() {
            match action {
                Action::CallUpstream { exchange, upstream, may_open, send_by_ms, .. } => {
                    let at_ms = self.now_ms;
                    let sent = Decision::Sent { upstream, may_open, send_by_ms, at_ms };
                    self.decisions[exchange.0 as usize] = sent;
                    self.sent.push(exchange);
                }
                Action::RejectDispatch { exchange, refusal } => {
                    self.decisions[exchange.0 as usize] = Decision::Rejected(refusal);
                }
                Action::CancelCall { exchange } => self.cancelled.push(exchange),
                _ => {}
            }
        }
    }
}
