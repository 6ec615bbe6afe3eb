//! Request routing, retries and hedging on one entry VM.

mod learning;
mod selection;
mod store;

use std::sync::Arc;

use crate::hash::{Digest, Map, Set};

use self::store::StoreAvailability;
use super::attempts::{
    Attempt, AttemptCause, AttemptOutcome, InFlightAttempt, NextStep, PlacementDecision,
    RejectionReason, RequestState,
};
use super::budget::{RetryBudget, RetryBudgetLimits};
use super::crashes::quarantine::{Clocks, QuarantineWrite};
use super::crashes::{CrashLedger, Verdict};
use super::placement::{Candidate, PlacementWeights, ServiceTimes};
use super::queueing::{self, QueuePressure, QueueTolerance};
use super::rate_limits::RateLimits;
use super::reports::{Report, ReportQueue};
use super::routing::{Configuration, ServiceSettings, WeightedRoundRobin};
use super::upstreams::UpstreamTable;
use super::vms::VmTable;

/// The name and location of a VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmLocation {
    /// The VM's name.
    pub name: Box<str>,
    /// The name of the VM's failure domain.
    pub domain: Box<str>,
    /// The name of the VM's region.
    pub region: Box<str>,
    /// The region of each failure domain.
    pub regions: Map<Box<str>, Box<str>>,
}

/// The limits set by the platform's operators.
#[derive(Debug, Clone, Copy)]
pub struct OperatorLimits {
    /// The limits on the retries of all VMs together.
    pub budget: RetryBudgetLimits,
}

/// The delay that a caller is told when there is no configuration or no usable upstream, in
/// milliseconds: about the time until a restarted upstream is known.
const NO_UPSTREAM_RETRY_AFTER_MS: u64 = 1_000;

/// The shortest delay that a caller is told when all upstreams are busy, in milliseconds: about the
/// time until a slot is free. It is also used once a request's attempts are used up.
const MIN_BUSY_RETRY_AFTER_MS: u64 = 200;

/// The delay that a caller is told when an upstream has a free slot but the retry budget is used
/// up, in milliseconds. The caller's next attempt counts as a new request.
const IMMEDIATE_RETRY_AFTER_MS: u64 = 30;

/// The largest share of a service's requests whose callers are told to retry after
/// [`IMMEDIATE_RETRY_AFTER_MS`]. Without the limit, such retries would bypass the retry budget
/// while every upstream rejects requests.
const IMMEDIATE_RETRY_SHARE: f64 = 0.9;

/// The delay that a caller is told once [`IMMEDIATE_RETRY_SHARE`] is used up, in milliseconds.
const DEFERRED_RETRY_AFTER_MS: u64 = 400;

/// The delay that a caller is told when its request could be a probe that this VM can't claim, in
/// milliseconds: the store doesn't respond, or another VM has claimed the probe.
const PROBE_RETRY_AFTER_MS: u64 = 1_000;

/// The longest delay that a caller is told when all upstreams are busy, in milliseconds.
const MAX_BUSY_RETRY_AFTER_MS: u64 = 1_500;

/// The time after which a response is overdue, beyond the wait for a slot, as a multiple of the time
/// of cold work. A smaller multiple would hedge requests at upstreams that run only cold objects.
const OVERDUE_FACTOR: f64 = 2.0;

/// The initial estimate of the mean round trip to other regions, in milliseconds.
const INITIAL_OTHER_REGION_RTT_MS: f64 = 60.0;

/// The weight of a new sample in the mean response sizes and in the mean round trip to other regions.
const SAMPLE_WEIGHT: f64 = 0.1;

/// The properties of a caller's request that affect routing.
#[derive(Debug, Clone, Copy)]
pub struct IncomingRequest<'a> {
    /// The value of the `Host` header.
    pub host: &'a str,
    /// The path without the query.
    pub path: &'a str,
    /// The time for which the caller waits for a response, in milliseconds, if it sets a limit.
    pub time_left_ms: Option<u64>,
    /// The name of the requested object, if the request has one.
    pub object: Option<&'a str>,
}

/// A response of the VM itself to a request that did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejection {
    /// Why the request is rejected.
    pub reason: RejectionReason,
    /// The delay before the caller's next attempt, in milliseconds.
    pub retry_after_ms: u64,
}

/// The parameters of the choice of upstreams, of queueing and of hedging.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SteeringConfig {
    /// The parameters of the choice of an upstream.
    pub weights: PlacementWeights,
    /// The limits on the expected response time of a request that is sent.
    pub queue_tolerance: QueueTolerance,
    /// Whether a second attempt may start while the first one's upstream doesn't respond.
    pub hedging: bool,
}

impl Default for SteeringConfig {
    fn default() -> Self {
        Self {
            weights: PlacementWeights::default(),
            queue_tolerance: QueueTolerance::default(),
            hedging: true,
        }
    }
}

/// The routing state of an entry VM.
#[derive(Debug)]
pub struct Steering {
    config: SteeringConfig,
    location: VmLocation,
    configuration: Option<Arc<Configuration>>,
    round_robin: WeightedRoundRobin,
    upstreams: UpstreamTable,
    evacuated_domains: Set<Box<str>>,
    budget: RetryBudget,
    /// The limit on the callers that are told to retry immediately.
    immediate_retries: RetryBudget,
    service_times: Map<Box<str>, ServiceTimes>,
    response_bytes: Map<Box<str>, f64>,
    queue_pressure: QueuePressure,
    other_region_rtt_ms: f64,
    vms: VmTable,
    store: StoreAvailability,
    crashes: CrashLedger,
    reports: ReportQueue,
    rate_limits: RateLimits,
}

impl Steering {
    /// Creates the state of a VM that knows no configuration, upstream or other VM.
    pub fn new(location: VmLocation, limits: OperatorLimits, vms: VmTable) -> Self {
        // No slack, since that is shared by all VMs, while this limit holds on each VM.
        let immediate_retries =
            RetryBudgetLimits { ratio: IMMEDIATE_RETRY_SHARE, slack: 0.0, ..limits.budget };
        Self {
            config: SteeringConfig::default(),
            configuration: None,
            round_robin: WeightedRoundRobin::default(),
            upstreams: UpstreamTable::default(),
            evacuated_domains: Set::default(),
            budget: RetryBudget::new(limits.budget, &location.name),
            immediate_retries: RetryBudget::new(immediate_retries, &location.name),
            location,
            service_times: Map::default(),
            response_bytes: Map::default(),
            queue_pressure: QueuePressure::default(),
            crashes: CrashLedger::new(vms.key()),
            reports: ReportQueue::default(),
            rate_limits: RateLimits::new(vms.key()),
            other_region_rtt_ms: INITIAL_OTHER_REGION_RTT_MS,
            vms,
            store: StoreAvailability {
                last_reachable_at_ms: 0,
                outage_since_ms: None,
                unavailable: true,
            },
        }
    }

    /// Replaces the default parameters.
    pub fn with_policy(mut self, config: SteeringConfig) -> Self {
        self.config = config;
        self
    }

    /// Returns the VM's name, failure domain and region.
    pub fn location(&self) -> &VmLocation {
        &self.location
    }

    /// Returns the active configuration, if one has been loaded.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Returns the known upstreams.
    pub fn upstreams(&self) -> &UpstreamTable {
        &self.upstreams
    }

    /// Returns a mutable reference to the known upstreams.
    pub fn upstreams_mut(&mut self) -> &mut UpstreamTable {
        &mut self.upstreams
    }

    /// Returns this VM's share of the retry budget.
    pub fn budget(&self) -> &RetryBudget {
        &self.budget
    }

    /// Returns the table of entry VMs.
    pub fn vms(&self) -> &VmTable {
        &self.vms
    }

    /// Returns a mutable reference to the table of entry VMs.
    pub fn vms_mut(&mut self) -> &mut VmTable {
        &mut self.vms
    }

    /// Returns the record of requests that were in flight at upstreams that crashed.
    pub fn crashes(&self) -> &CrashLedger {
        &self.crashes
    }

    /// Returns a mutable reference to the record of requests that were in flight at upstreams that
    /// crashed.
    pub fn crashes_mut(&mut self) -> &mut CrashLedger {
        &mut self.crashes
    }

    /// Checks the store's entries for upstreams that may have crashed, and drops expired suspicions.
    pub fn maintain_crashes(&mut self, now_ms: u64) {
        self.crashes.maintain(&self.upstreams, &mut self.reports, now_ms);
    }

    /// Returns the rate limits that upstreams state.
    pub fn rate_limits(&self) -> &RateLimits {
        &self.rate_limits
    }

    /// Returns the reports to other VMs.
    pub fn reports_mut(&mut self) -> &mut ReportQueue {
        &mut self.reports
    }

    /// Records a report of another VM. One that is news and comes from another failure domain is
    /// queued for the VMs of this VM's own one.
    pub fn receive_report(&mut self, report: &Report, relay: bool, now_ms: u64) {
        let is_news = match report {
            Report::RateLimit { upstream, per_s, age_ms } => {
                let is_news = self.rate_limits.receive(*upstream, *per_s, *age_ms, now_ms);
                self.update_rate_limits(now_ms);
                is_news
            }
            Report::Crashed { .. } | Report::Cleared { .. } => self.crashes.receive(report, now_ms),
        };
        if is_news && relay {
            self.reports.relay(report.clone(), now_ms);
        }
    }

    /// Returns the writes that claim a request's probe, which must be applied together; empty if the
    /// request needs none or none is due.
    pub fn probe_claim(&self, request: &RequestState, clocks: Clocks) -> Vec<QuarantineWrite> {
        match &request.fingerprints {
            Some(fingerprints) if self.verdict(request, clocks.now_ms) == Verdict::ProbeDue => {
                self.crashes.quarantine().probe_claim(fingerprints, clocks)
            }
            _ => Vec::new(),
        }
    }

    fn verdict(&self, request: &RequestState, now_ms: u64) -> Verdict {
        request
            .fingerprints
            .as_ref()
            .map_or(Verdict::Allowed, |fingerprints| self.crashes.verdict(fingerprints, now_ms))
    }

    /// Returns the region of a failure domain, or the domain's name if its region is unknown.
    pub fn region_of(&self, domain: &str) -> Box<str> {
        self.location.regions.get(domain).cloned().unwrap_or_else(|| domain.into())
    }

    /// Returns whether a configuration and at least one upstream are known.
    pub fn can_serve(&self) -> bool {
        self.configuration.is_some() && !self.upstreams.is_empty()
    }

    /// Activates a configuration if it is newer than the active one, and returns whether it was.
    ///
    /// A delayed read may bring an older configuration, which must not replace a newer one.
    pub fn apply_configuration(&mut self, configuration: Arc<Configuration>) -> bool {
        let is_newer =
            self.configuration.as_ref().is_none_or(|active| active.version < configuration.version);
        if is_newer {
            self.round_robin.clear();
            self.configuration = Some(configuration);
        }
        is_newer
    }

    /// Sets the evacuated failure domains, and marks the upstreams of domains that are no longer
    /// evacuated as cold.
    pub fn set_evacuated_domains(&mut self, domains: Set<Box<str>>, now_ms: u64) {
        let cold_ms = self.configuration.as_ref().map_or(0, |configuration| {
            configuration.services.values().map(|service| service.cold_start_ms).max().unwrap_or(0)
        });
        for domain in self.evacuated_domains.difference(&domains) {
            self.upstreams.mark_domain_cold(domain, now_ms + cold_ms);
        }
        self.evacuated_domains = domains;
    }

    /// Returns the evacuated failure domains.
    pub fn evacuated_domains(&self) -> &Set<Box<str>> {
        &self.evacuated_domains
    }

    /// Accepts a request and selects its route and service.
    ///
    /// # Errors
    ///
    /// Returns a rejection if there is no configuration, no route matches or the time limit has
    /// expired.
    pub fn begin_request(
        &mut self,
        incoming: IncomingRequest<'_>,
        now_ms: u64,
    ) -> Result<RequestState, Rejection> {
        let reject = |reason, retry_after_ms| Err(Rejection { reason, retry_after_ms });
        let Some(configuration) = self.configuration.as_ref() else {
            return reject(RejectionReason::NoConfiguration, NO_UPSTREAM_RETRY_AFTER_MS);
        };
        let Some(route) = configuration.route(incoming.host, incoming.path).map(Arc::clone) else {
            return reject(RejectionReason::NoRoute, 0);
        };
        let time_limit_ms = incoming.time_left_ms.unwrap_or(route.timeout_ms).min(route.timeout_ms);
        if time_limit_ms == 0 {
            return reject(RejectionReason::DeadlineExceeded, 0);
        }
        let object = incoming.object.map(|name| Digest::of(&[name.as_bytes()]).to_u64());
        let service = self.round_robin.next_service(&route, object).service.clone();
        let vm_count = self.vms.max_known_vm_count();
        self.budget.deposit(&service, vm_count, now_ms);
        self.immediate_retries.deposit(&service, vm_count, now_ms);
        Ok(RequestState {
            version: configuration.version,
            service,
            object,
            fingerprints: None,
            is_probe: false,
            arrived_at_ms: now_ms,
            deadline_at_ms: now_ms + time_limit_ms,
            tried_upstreams: Vec::new(),
            delivered: 0,
            possible_runs: 0,
            cause: AttemptCause::First,
            in_flight: Vec::new(),
            route,
        })
    }

    /// Decides the next step of a request without attempts in flight.
    pub fn next_step(&mut self, request: &mut RequestState, random: u64, now_ms: u64) -> NextStep {
        let reject_or_give_up = |reason, retry_after_ms, request: &RequestState| {
            if request.possible_runs > 0 {
                return NextStep::GiveUp { reason };
            }
            NextStep::Reject { reason, retry_after_ms }
        };
        let verdict = self.verdict(request, now_ms);
        if !(request.is_probe && request.tried_upstreams.is_empty()) {
            let retry_after_ms = match verdict {
                Verdict::Quarantined { retry_after_ms } => Some(retry_after_ms),
                Verdict::ProbeDue => Some(PROBE_RETRY_AFTER_MS),
                _ if request.possible_runs > 0 && !verdict.allows_retry() => Some(0),
                Verdict::Allowed | Verdict::Suspected { .. } => None,
            };
            if let Some(retry_after_ms) = retry_after_ms {
                let reason = RejectionReason::CrashesUpstreams;
                return reject_or_give_up(reason, retry_after_ms, request);
            }
        }
        if !request.allows_attempt() {
            return reject_or_give_up(
                RejectionReason::RetriesExhausted,
                MIN_BUSY_RETRY_AFTER_MS,
                request,
            );
        }
        let Some(candidate) = self.choose(request, random, now_ms) else {
            let (reason, retry_after_ms) = self.no_upstream(request, now_ms);
            return reject_or_give_up(reason, retry_after_ms, request);
        };
        let pressure = self.queue_pressure.record(&request.service, candidate.wait_ms > 0.0);
        let tolerance = self.config.queue_tolerance;
        let max_wait_ms = queueing::max_wait_ms(request, &candidate, tolerance, pressure, now_ms);
        if candidate.wait_ms > max_wait_ms {
            // By then the requests that are queued now should have been served.
            let retry_after_ms = candidate.wait_ms as u64;
            let retry_after_ms =
                retry_after_ms.clamp(MIN_BUSY_RETRY_AFTER_MS, MAX_BUSY_RETRY_AFTER_MS);
            return reject_or_give_up(RejectionReason::UpstreamsBusy, retry_after_ms, request);
        }
        if request.delivered > 0 {
            let vm_count = self.vms.max_known_vm_count();
            if !self.budget.try_withdraw(&request.service, vm_count, now_ms) {
                let retry_after_ms = if candidate.wait_ms > 0.0 {
                    MIN_BUSY_RETRY_AFTER_MS
                } else if self.immediate_retries.try_withdraw(&request.service, vm_count, now_ms) {
                    // A slot is free, but this VM has no retry left to use it.
                    IMMEDIATE_RETRY_AFTER_MS
                } else {
                    DEFERRED_RETRY_AFTER_MS
                };
                return reject_or_give_up(
                    RejectionReason::RetriesExhausted,
                    retry_after_ms,
                    request,
                );
            }
        }
        self.start_attempt(request, candidate, now_ms)
    }

    fn start_attempt(
        &mut self,
        request: &mut RequestState,
        candidate: Candidate,
        now_ms: u64,
    ) -> NextStep {
        let key = candidate.upstream;
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return NextStep::GiveUp { reason: RejectionReason::NoUpstream };
        };
        let decision = PlacementDecision {
            cause: request.cause,
            rank: candidate.rank,
            warm: candidate.warm,
            load_tenths: (upstream.load(now_ms) * 10.0).round() as u64,
            load_age_ms: upstream.load_age_ms(now_ms),
            expected_ms: candidate.expected_ms as u64,
        };
        self.rate_limits.record_send(upstream.incarnation, now_ms);
        upstream.record_send(request.object, now_ms);
        let times = self.service_times.get(&request.service).copied().unwrap_or_default();
        let overdue_ms = candidate.wait_ms + times.work_ms(false) * OVERDUE_FACTOR;
        request.tried_upstreams.push(key);
        request.in_flight.push(InFlightAttempt {
            upstream: key,
            incarnation: upstream.incarnation,
            sent_at_ms: now_ms,
            warm: candidate.warm,
            wait_ms: candidate.wait_ms,
            network_ms: candidate.network_ms,
            overdue_at_ms: now_ms + overdue_ms as u64,
        });
        NextStep::Send(Attempt {
            upstream: key,
            address: upstream.entry.address,
            name: upstream.entry.name.clone(),
            decision,
        })
    }

    /// Returns when to call [`Steering::hedge`] for a request, in milliseconds, or `None` if the
    /// request can't be hedged.
    pub fn hedge_at_ms(&self, request: &RequestState) -> Option<u64> {
        let [first] = &*request.in_flight else {
            return None;
        };
        if !self.config.hedging {
            return None;
        }
        (request.route.kind.may_retry() && request.allows_attempt()).then_some(first.overdue_at_ms)
    }

    /// Starts a second attempt if the upstream of the first has responded to nothing since the first
    /// attempt was sent.
    ///
    /// An upstream that is only busy or slow responds to other requests meanwhile; one that lost its
    /// power doesn't.
    pub fn hedge(
        &mut self,
        request: &mut RequestState,
        random: u64,
        now_ms: u64,
    ) -> Option<Attempt> {
        if !self.verdict(request, now_ms).allows_hedging() {
            return None;
        }
        let first = request.in_flight.first()?;
        let silence_ms =
            self.upstreams.get(first.upstream).map(|upstream| upstream.silence_ms(now_ms));
        if silence_ms.is_some_and(|silence_ms| now_ms - silence_ms > first.sent_at_ms) {
            return None;
        }
        let candidate = self.choose(request, random, now_ms)?;
        let vm_count = self.vms.max_known_vm_count();
        if !self.budget.try_withdraw(&request.service, vm_count, now_ms) {
            return None;
        }
        request.cause = AttemptCause::Unresponsive;
        match self.start_attempt(request, candidate, now_ms) {
            NextStep::Send(attempt) => Some(attempt),
            NextStep::Reject { .. } | NextStep::GiveUp { .. } => None,
        }
    }

    /// Cancels all attempts in flight after the caller disconnected or got its response.
    pub fn cancel_request(&mut self, request: &mut RequestState, now_ms: u64) {
        while let Some(attempt) = request.in_flight.last() {
            self.record_outcome(request, attempt.upstream, AttemptOutcome::Canceled, now_ms);
        }
    }

    fn service(&self, name: &str) -> Option<&ServiceSettings> {
        self.configuration.as_ref()?.services.get(name)
    }
}
