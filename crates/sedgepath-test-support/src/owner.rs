//! The admission of one owner, driven without a node.
//!
//! Tests set what the owner may use, hand requests in and see what it asks for, at the times of a
//! clock that only they move. Connections and reports are events that the test makes up.

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

/// The time between two ticks, in milliseconds.
const TICK_EVERY_MS: u64 = 20;

/// Where the clock starts, in milliseconds.
const START_MS: u64 = 1_000_000;

/// What became of a request at the owner, as far as it has decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It waits.
    Queued,
    /// It was sent to an upstream.
    Sent {
        /// The upstream.
        upstream: UpstreamKey,
        /// Whether a connection may be opened for it.
        may_open: bool,
        /// The moment after which it may not be sent any more, in milliseconds.
        send_by_ms: u64,
        /// When that was decided, in milliseconds.
        at_ms: u64,
    },
    /// It was refused.
    Refused(Rejection),
}

/// One owner of all upstreams of its records.
#[derive(Debug)]
pub struct Owner {
    /// What the owner may use; tests change it at will.
    pub allowances: Vec<Allowance>,
    egress: Egress,
    catalogue: Catalogue,
    out: Outbox,
    now_ms: u64,
    decisions: Vec<Decision>,
    sent: Vec<ExchangeKey>,
    cancelled: Vec<ExchangeKey>,
}

impl Owner {
    /// Creates an owner that may use all upstreams of the records whole.
    pub fn new(records: &[RawRecord]) -> Self {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 9));
        let card = MemberDescriptor {
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
        let mut out = Outbox::new(Identity::new(card, BootId(1)));
        out.set_now_ms(START_MS);
        Self {
            allowances,
            egress: Egress::default(),
            catalogue,
            out,
            now_ms: START_MS,
            decisions: Vec::new(),
            sent: Vec::new(),
            cancelled: Vec::new(),
        }
    }

    /// Returns the time in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Returns the owner's admission.
    pub fn egress(&self) -> &Egress {
        &self.egress
    }

    /// Puts other records in force.
    pub fn apply(&mut self, records: &[RawRecord]) {
        self.catalogue = Catalogue::new(records);
    }

    /// Lets time pass, with the ticks that fall due.
    pub fn pass_ms(&mut self, duration_ms: u64) {
        let until_ms = self.now_ms + duration_ms;
        loop {
            let next_ms = (self.now_ms / TICK_EVERY_MS + 1) * TICK_EVERY_MS;
            self.now_ms = next_ms.min(until_ms);
            self.out.set_now_ms(self.now_ms);
            if next_ms > until_ms {
                return;
            }
            self.step(Egress::tick);
        }
    }

    /// Hands a request in and returns its key; see [`Self::decision`].
    pub fn dispatch(&mut self, service: &str, class: Class, remaining_ms: u64) -> ExchangeKey {
        self.hand_in(&Dispatch {
            service: ServiceKey::of(service),
            class,
            origin: OriginKey::of("any"),
            remaining_ms,
            once_only: false,
            avoid_upstream: None,
            revision: 1,
        })
    }

    /// Hands a request in and returns its key.
    pub fn hand_in(&mut self, dispatch: &Dispatch) -> ExchangeKey {
        let exchange = ExchangeKey(self.decisions.len() as u64);
        self.decisions.push(Decision::Queued);
        self.step(|egress, scope, out| egress.dispatch(exchange, dispatch, scope, out));
        exchange
    }

    /// Hands requests in and returns those that were sent at once.
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

    /// Hands requests in and returns all, new and queued ones, that were sent since.
    pub fn dispatch_and_take_sent(
        &mut self,
        count: u32,
        class: Class,
        remaining_ms: u64,
    ) -> Vec<ExchangeKey> {
        self.dispatch_many(count, class, remaining_ms);
        self.take_sent()
    }

    /// Returns the requests that were sent since this was last asked.
    pub fn take_sent(&mut self) -> Vec<ExchangeKey> {
        std::mem::take(&mut self.sent)
    }

    /// Returns how many requests are sent at once out of many; then ends all that were sent.
    pub fn fits(&mut self, class: Class) -> usize {
        let fits = self.dispatch_many(20, class, 60).len();
        loop {
            let sent = self.take_sent();
            if sent.is_empty() {
                return fits;
            }
            for exchange in sent {
                self.end(exchange, CallOutcome::Completed);
            }
        }
    }

    /// Returns the number of requests that were sent so far.
    pub fn sent_count(&self) -> usize {
        self.decisions.iter().filter(|decision| matches!(decision, Decision::Sent { .. })).count()
    }

    /// Returns what the owner has decided about a request.
    pub fn decision(&self, exchange: ExchangeKey) -> Decision {
        self.decisions[exchange.0 as usize]
    }

    /// Whether a request was sent to an upstream.
    pub fn is_sent(&self, exchange: ExchangeKey) -> bool {
        matches!(self.decision(exchange), Decision::Sent { .. })
    }

    /// Returns the refusal of a request, if it was refused.
    pub fn refusal(&self, exchange: ExchangeKey) -> Option<Rejection> {
        match self.decision(exchange) {
            Decision::Refused(refusal) => Some(refusal),
            _ => None,
        }
    }

    /// Returns the requests whose cancellation at the upstream was asked for.
    pub fn cancelled(&self) -> &[ExchangeKey] {
        &self.cancelled
    }

    /// Ends a call.
    pub fn end(&mut self, exchange: ExchangeKey, end: CallOutcome) {
        self.step(|egress, scope, out| egress.call_ended(exchange, end, scope, out));
    }

    /// Hands an upstream's report in, made now.
    pub fn report(&mut self, upstream: &str, in_flight: u32, slots: u32, leaving: bool) {
        let report = UpstreamReport {
            in_flight: Some(in_flight),
            slots: Some(slots),
            leaving,
            made_at_ms: self.now_ms,
        };
        let upstream = UpstreamKey::of(upstream);
        self.step(|egress, scope, out| egress.record_report(upstream, report, scope, out));
    }

    /// Says how many connections to an upstream are open.
    pub fn connections(&mut self, upstream: &str, open: u32) {
        self.egress.set_open_connections(UpstreamKey::of(upstream), open, self.now_ms);
    }

    /// Says that nobody waits for a request any more.
    pub fn gone(&mut self, exchange: ExchangeKey) {
        self.egress.cancel_dispatch(exchange, &mut self.out);
        self.take_actions();
    }

    /// Returns the slots and those taken that the owner reports, over all services.
    pub fn load(&self) -> (u32, u32) {
        let scope = AdmissionContext { allowances: &self.allowances, catalogue: &self.catalogue };
        let loads = self.egress.loads(scope, self.now_ms);
        loads.iter().fold((0, 0), |sum, load| (sum.0 + load.slots, sum.1 + load.in_flight))
    }

    fn step(&mut self, step: impl FnOnce(&mut Egress, AdmissionContext<'_>, &mut Outbox)) {
        let scope = AdmissionContext { allowances: &self.allowances, catalogue: &self.catalogue };
        step(&mut self.egress, scope, &mut self.out);
        self.take_actions();
    }

    fn take_actions(&mut self) {
        for action in self.out.take_actions() {
            match action {
                Action::CallUpstream { exchange, upstream, may_open, send_by_ms, .. } => {
                    let at_ms = self.now_ms;
                    let sent = Decision::Sent { upstream, may_open, send_by_ms, at_ms };
                    self.decisions[exchange.0 as usize] = sent;
                    self.sent.push(exchange);
                }
                Action::RejectDispatch { exchange, refusal } => {
                    self.decisions[exchange.0 as usize] = Decision::Refused(refusal);
                }
                Action::CancelCall { exchange } => self.cancelled.push(exchange),
                _ => {}
            }
        }
    }
}
