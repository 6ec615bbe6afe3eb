//! Prometheus metrics and the status of a VM.

mod gauges;

use std::cell::{Cell, RefCell};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use prometheus::{
    CounterVec, Encoder, Histogram, HistogramOpts, HistogramVec, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};
use sedgepath_core::direct::accounts::ClientAccounts;
use sedgepath_core::direct::attempts::{
    AttemptOutcome, ForwardOutcome, PlacementDecision, RejectionReason,
};
use sedgepath_core::hash::Set;

use self::gauges::{CapacityGauges, RequestGauges, StoreGauges, ToldLoadGauges};
use super::attempt::bytes_body;
use super::clock;
use super::connection_pool::Body;
use super::control_server::empty_response;
use super::shared::SharedState;
use crate::lingering_close::LingerEnd;

/// Upper bounds of the latency buckets, in seconds; they cover latency targets and deadlines.
const LATENCY_BUCKETS_S: [f64; 10] = [0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 4.0];

/// Upper bounds of the buckets of paces, as multiples of the usual one.
const PACE_BUCKETS: [f64; 9] = [0.95, 1.05, 1.25, 1.5, 2.0, 3.0, 4.0, 6.0, 10.0];

/// The pace, as a multiple of the usual one, from which an upstream's machine counts as busy.
const BUSY_PACE: f64 = 1.5;

/// The most client accounts that are counted one by one, so that configurations with many don't make
/// the metrics long.
const MAX_NAMED_ACCOUNTS: usize = 32;

/// The counters, gauges and histograms of a VM.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    latency: HistogramVec,
    attempts: IntCounterVec,
    pace: Histogram,
    pipelined_requests: IntCounterVec,
    streamed_request_bodies: IntCounterVec,
    connections: IntCounterVec,
    failed_caller_connections: IntCounterVec,
    closed_caller_connections: IntCounterVec,
    forwardings: IntCounterVec,
    rejections: IntCounterVec,
    requests_ended_in_flight: IntCounterVec,
    account_rejections: IntCounterVec,
    named_accounts: RefCell<Set<Box<str>>>,
    peer_bytes: IntCounterVec,
    rejected_peer_messages: IntCounterVec,
    peer_handling: CounterVec,
    peer_handling_since_check: Cell<Duration>,
    event_loop_delay: Histogram,
    upstreams: IntGaugeVec,
    vms: IntGauge,
    configuration: IntGauge,
    store: StoreGauges,
    upstream_silence: IntGauge,
    cut_off: IntGauge,
    held: RequestGauges,
    accounts: IntGauge,
    lent_slots: IntGauge,
    quarantined: IntGauge,
    limit_parts_computed: IntGauge,
    told_load: ToldLoadGauges,
    capacity: CapacityGauges,
}

fn failed_caller_connections() -> Result<IntCounterVec, prometheus::Error> {
    let options = Opts::new(
        "sedgepath_caller_connections_failed_total",
        "Connections of callers that failed, by how: `timed_out` if a caller didn't read or acknowledge what \
         it was sent.",
    );
    IntCounterVec::new(options, &["error"])
}

fn closed_caller_connections() -> Result<IntCounterVec, prometheus::Error> {
    let options = Opts::new(
        "sedgepath_caller_connections_closed_total",
        "Connections of callers that this VM closed, by what ended them: the caller (`peer`), or a time limit \
         without bytes of the caller (`time_limit`) or with some (`late_bytes`).",
    );
    IntCounterVec::new(options, &["end"])
}

fn requests_ended_in_flight() -> Result<IntCounterVec, prometheus::Error> {
    let options = Opts::new(
        "sedgepath_requests_ended_in_flight_total",
        "Requests that were given up while an upstream was, or may have been, at work, by reason.",
    );
    IntCounterVec::new(options, &["reason"])
}

fn pipelined_requests() -> Result<IntCounterVec, prometheus::Error> {
    let options = Opts::new(
        "sedgepath_pipelined_requests_total",
        "Requests sent before the response to an earlier one of the connection, by when they started.",
    );
    IntCounterVec::new(options, &["start"])
}

fn streamed_request_bodies() -> Result<IntCounterVec, prometheus::Error> {
    let options = Opts::new(
        "sedgepath_streamed_request_bodies_total",
        "Bodies that were passed on while their callers sent them, by how that ended.",
    );
    IntCounterVec::new(options, &["end"])
}

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    ///
    /// Fails if two metrics have the same name.
    pub fn new() -> Result<Self, prometheus::Error> {
        let counter = |name: &str, help: &str, labels: &[&str]| {
            IntCounterVec::new(Opts::new(name, help), labels)
        };
        let gauge = |name: &str, help: &str| IntGauge::new(name, help);
        let metrics = Self {
            registry: Registry::new(),
            requests: counter("sedgepath_requests_total", "Requests by outcome.", &["outcome"])?,
            latency: latency_histogram()?,
            attempts: counter(
                "sedgepath_sendings_total",
                "Requests sent to upstreams, by why and by how that ended.",
                &["cause", "outcome"],
            )?,
            pace: pace_histogram()?,
            pipelined_requests: pipelined_requests()?,
            streamed_request_bodies: streamed_request_bodies()?,
            connections: counter(
                "sedgepath_upstream_connections_total",
                "Connections to upstreams that were opened or could not be, by how that ended.",
                &["result"],
            )?,
            failed_caller_connections: failed_caller_connections()?,
            closed_caller_connections: closed_caller_connections()?,
            forwardings: counter(
                "sedgepath_forwardings_total",
                "Requests forwarded to other VMs while this one reached no upstream, by how that ended.",
                &["outcome"],
            )?,
            rejections: counter(
                "sedgepath_refusals_total",
                "Requests answered as not run, by reason.",
                &["reason"],
            )?,
            requests_ended_in_flight: requests_ended_in_flight()?,
            account_rejections: counter(
                "sedgepath_account_refusals_total",
                "Requests of client accounts answered as not run, by account; `(others)` are those \
                 beyond the first accounts.",
                &["account"],
            )?,
            named_accounts: RefCell::default(),
            peer_bytes: counter(
                "sedgepath_peer_bytes_total",
                "Bytes sent to other entry VMs, by what they tell, without those of the transport.",
                &["kind"],
            )?,
            rejected_peer_messages: counter(
                "sedgepath_peer_messages_rejected_total",
                "Messages of other entry VMs, or of somebody else, that were not accepted, by reason.",
                &["reason"],
            )?,
            peer_handling: CounterVec::new(
                Opts::new(
                    "sedgepath_peer_handling_seconds_total",
                    "Time spent on messages of other entry VMs, by what they tell.",
                ),
                &["kind"],
            )?,
            peer_handling_since_check: Cell::default(),
            event_loop_delay: Histogram::with_opts(
                HistogramOpts::new(
                    "sedgepath_event_loop_delay_seconds",
                    "Time by which a timer of the process was late.",
                )
                .buckets(LATENCY_BUCKETS_S.to_vec()),
            )?,
            upstreams: IntGaugeVec::new(
                Opts::new("sedgepath_upstreams", "Upstreams by state."),
                &["state"],
            )?,
            vms: gauge("sedgepath_vms", "Entry VMs that serve, this one among them.")?,
            configuration: gauge("sedgepath_configuration_version", "Configuration in force.")?,
            store: StoreGauges::new()?,
            upstream_silence: gauge(
                "sedgepath_upstream_silence_ms",
                "For how long no upstream has responded to this VM or accepted a connection of it.",
            )?,
            cut_off: gauge("sedgepath_cut_off", "1 while this VM reaches no upstream, else 0.")?,
            accounts: gauge(
                "sedgepath_accounts",
                "Client accounts of the configuration in force.",
            )?,
            lent_slots: gauge(
                "sedgepath_quota_slots_lent",
                "Slots of client accounts' quotas that this VM has lent from lately.",
            )?,
            held: RequestGauges::new()?,
            quarantined: gauge(
                "sedgepath_quarantined_fingerprints",
                "Fingerprints of requests that are rejected because they crash upstreams.",
            )?,
            limit_parts_computed: gauge(
                "sedgepath_limit_parts_computed",
                "How often the VM's part of an upstream's rate limit was computed since its start.",
            )?,
            told_load: ToldLoadGauges::new()?,
            capacity: CapacityGauges::new()?,
        };
        metrics.register()?;
        Ok(metrics)
    }

    fn register(&self) -> Result<(), prometheus::Error> {
        self.registry.register(Box::new(self.requests.clone()))?;
        self.registry.register(Box::new(self.latency.clone()))?;
        self.registry.register(Box::new(self.attempts.clone()))?;
        self.registry.register(Box::new(self.pace.clone()))?;
        self.registry.register(Box::new(self.pipelined_requests.clone()))?;
        self.registry.register(Box::new(self.streamed_request_bodies.clone()))?;
        self.registry.register(Box::new(self.connections.clone()))?;
        self.registry.register(Box::new(self.failed_caller_connections.clone()))?;
        self.registry.register(Box::new(self.closed_caller_connections.clone()))?;
        self.registry.register(Box::new(self.forwardings.clone()))?;
        self.registry.register(Box::new(self.rejections.clone()))?;
        self.registry.register(Box::new(self.requests_ended_in_flight.clone()))?;
        self.registry.register(Box::new(self.account_rejections.clone()))?;
        self.registry.register(Box::new(self.peer_bytes.clone()))?;
        self.registry.register(Box::new(self.rejected_peer_messages.clone()))?;
        self.registry.register(Box::new(self.peer_handling.clone()))?;
        self.registry.register(Box::new(self.event_loop_delay.clone()))?;
        self.registry.register(Box::new(self.upstreams.clone()))?;
        self.registry.register(Box::new(self.capacity.staying_share.clone()))?;
        self.registry.register(Box::new(self.store.table_versions.clone()))?;
        let gauges = [
            &self.vms,
            &self.configuration,
            &self.store.contact,
            &self.store.era,
            &self.upstream_silence,
            &self.cut_off,
            &self.held.in_flight,
            &self.held.held_body_bytes,
            &self.quarantined,
            &self.accounts,
            &self.lent_slots,
            &self.limit_parts_computed,
            &self.told_load.upstreams,
            &self.told_load.age,
            &self.capacity.hot_objects,
        ];
        for gauge in gauges {
            self.registry.register(Box::new(gauge.clone()))?;
        }
        Ok(())
    }

    /// Counts a request by outcome and records its duration.
    pub fn record_request(&self, outcome: &str, took_ms: u64) {
        self.requests.with_label_values(&[outcome]).inc();
        self.latency.with_label_values(&[outcome]).observe(took_ms as f64 / 1_000.0);
    }

    /// Counts an attempt by cause and outcome, and records the pace of its upstream.
    pub fn record_attempt(&self, decision: PlacementDecision, outcome: AttemptOutcome) {
        self.attempts.with_label_values(&[decision.cause.name(), outcome.name()]).inc();
        if let Some(pace_percent) = decision.pace_percent {
            self.pace.observe(f64::from(pace_percent) / 100.0);
        }
    }

    /// Counts a request that a caller sent before the response to an earlier one.
    pub fn count_pipelined_request(&self, start: &str) {
        self.pipelined_requests.with_label_values(&[start]).inc();
    }

    /// Returns the counter of bodies that are passed on while their callers send them.
    pub fn streamed_request_bodies(&self) -> IntCounterVec {
        self.streamed_request_bodies.clone()
    }

    /// Counts a connection to an upstream that was opened or could not be.
    pub fn count_connection(&self, result: &str) {
        self.connections.with_label_values(&[result]).inc();
    }

    /// Counts a connection of a caller that failed, by the name of the error.
    pub fn count_failed_caller_connection(&self, error: &str) {
        self.failed_caller_connections.with_label_values(&[error]).inc();
    }

    /// Counts a connection of a caller that this VM closed.
    pub fn count_closed_caller_connection(&self, end: LingerEnd) {
        self.closed_caller_connections.with_label_values(&[end.name()]).inc();
    }

    /// Counts a request that was forwarded to another VM.
    pub fn count_forwarding(&self, outcome: ForwardOutcome) {
        self.forwardings.with_label_values(&[outcome.name()]).inc();
    }

    /// Counts a request that the VM rejected without running it.
    pub fn count_rejection(&self, reason: RejectionReason) {
        self.rejections.with_label_values(&[reason.name()]).inc();
    }

    /// Counts a request that was given up while an upstream was, or may have been, at work.
    pub fn count_request_ended_in_flight(&self, reason: &str) {
        self.requests_ended_in_flight.with_label_values(&[reason]).inc();
    }

    /// Counts a request of a client account that the VM rejected without running it.
    pub fn count_account_rejection(&self, account: &str) {
        let mut named = self.named_accounts.borrow_mut();
        let is_named = named.contains(account)
            || (named.len() < MAX_NAMED_ACCOUNTS && named.insert(account.into()));
        let label = if is_named { account } else { "(others)" };
        self.account_rejections.with_label_values(&[label]).inc();
    }

    /// Counts bytes sent to another VM by kind of message.
    pub fn count_peer_bytes(&self, kind: &str, bytes: usize) {
        self.peer_bytes.with_label_values(&[kind]).inc_by(bytes as u64);
    }

    /// Counts a message of another VM that was not accepted.
    pub fn count_rejected_peer_message(&self, reason: &str) {
        self.rejected_peer_messages.with_label_values(&[reason]).inc();
    }

    /// Records the time spent on a message of another VM.
    pub fn record_peer_handling(&self, kind: &str, took: Duration) {
        self.peer_handling.with_label_values(&[kind]).inc_by(took.as_secs_f64());
        self.peer_handling_since_check.set(self.peer_handling_since_check.get() + took);
    }

    /// Returns the time spent on messages of other VMs since the last call.
    pub fn take_peer_handling(&self) -> Duration {
        self.peer_handling_since_check.take()
    }

    /// Records by how much a timer was late.
    pub fn record_event_loop_delay(&self, delay_ms: u64) {
        self.event_loop_delay.observe(delay_ms as f64 / 1_000.0);
    }

    fn encode(&self, shared: &SharedState) -> Vec<u8> {
        let now_ms = clock::now_ms();
        let steering = shared.steering.borrow();
        let count =
            |state: &str,
             matches: &dyn Fn(&sedgepath_core::direct::upstreams::Upstream) -> bool| {
                let count =
                    steering.upstreams().iter().filter(|(_, upstream)| matches(upstream)).count();
                self.upstreams.with_label_values(&[state]).set(to_gauge(count));
            };
        count("known", &|_| true);
        count("leaving", &|upstream| upstream.is_leaving());
        count("cold", &|upstream| upstream.is_cold(now_ms));
        count("limited", &|upstream| {
            steering.rate_limits().limit_per_s(upstream.incarnation).is_some()
        });
        count("paused", &|upstream| upstream.pause_ends_at_ms(now_ms).is_some());
        count("states_pace", &|upstream| upstream.work_pace().factor(now_ms).is_some());
        count("busy_machine", &|upstream| {
            upstream.work_pace().factor(now_ms).is_some_and(|pace| pace >= BUSY_PACE)
        });
        count("left_out", &|upstream| now_ms < upstream.ejected_until_ms);
        self.vms.set(to_gauge(steering.vms().serving_vms(now_ms).len()));
        let version = steering.configuration().map_or(0, |in_force| in_force.version);
        self.configuration.set(version.cast_signed());
        self.store.update(shared, now_ms);
        let silence_ms = now_ms.saturating_sub(shared.upstream_contact_at_ms.get());
        self.cut_off.set(i64::from(steering.is_cut_off()));
        self.upstream_silence.set(silence_ms.cast_signed());
        let accounts = steering.configuration().and_then(|in_force| in_force.accounts.as_ref());
        self.accounts.set(to_gauge(accounts.map_or(0, ClientAccounts::len)));
        self.lent_slots.set(to_gauge(steering.quotas().lent_slots()));
        self.quarantined.set(to_gauge(steering.crashes().quarantine().len()));
        self.limit_parts_computed.set(steering.rate_limits().parts_computed().cast_signed());
        self.told_load.update(&steering, now_ms);
        self.capacity.update(&steering, now_ms);
        self.held.update(shared);
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::error!("event=metrics_not_encoded error={:?}", error.to_string());
        }
        text
    }
}

fn latency_histogram() -> Result<HistogramVec, prometheus::Error> {
    let options = HistogramOpts::new(
        "sedgepath_request_seconds",
        "Time from a request's arrival to the head of its answer.",
    );
    HistogramVec::new(options.buckets(LATENCY_BUCKETS_S.to_vec()), &["outcome"])
}

fn pace_histogram() -> Result<Histogram, prometheus::Error> {
    let options = HistogramOpts::new(
        "sedgepath_sending_pace_ratio",
        "Pace of the upstreams that requests were sent to, as a multiple of the usual one, where they state it.",
    );
    Histogram::with_opts(options.buckets(PACE_BUCKETS.to_vec()))
}

fn to_gauge(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

/// Responds with the VM's status as JSON for `/status`, and with all metrics as text otherwise.
pub fn handle_request(shared: &SharedState, request: &Request<Incoming>) -> Response<Body> {
    if request.uri().path() != "/status" {
        return Response::new(bytes_body(shared.metrics.encode(shared).into()));
    }
    let status = shared.steering.borrow().status(clock::now_ms());
    match serde_json::to_vec(&status) {
        Ok(text) => Response::new(bytes_body(text.into())),
        Err(error) => {
            log::error!("event=status_not_written error={:?}", error.to_string());
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}
