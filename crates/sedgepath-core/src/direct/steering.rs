//! The decisions of a VM that sends to upstreams itself.

mod choosing;
mod learning;
mod store;

use std::sync::Arc;

use crate::hash::{Digest, Map, Set};

use self::store::StoreContact;
use super::attempts::{
    Attempt, AttemptCause, AttemptOutcome, InFlightAttempt, NextStep, PlacementDecision,
    RejectionReason, RequestState,
};
use super::budget::{RetryBudget, RetryBudgetLimits};
use super::placement::{Candidate, PlacementWeights, ServiceTimes};
use super::queueing::{self, Pressure, QueueTolerance};
use super::routing::{Configuration, ServiceSettings, WeightedRoundRobin};
use super::upstreams::UpstreamTable;
use super::vms::VmTable;

/// Where a VM stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmLocation {
    /// The VM's name.
    pub name: Box<str>,
    /// Its failure domain.
    pub domain: Box<str>,
    /// Its region.
    pub region: Box<str>,
    /// The region of each failure domain.
    pub regions: Map<Box<str>, Box<str>>,
}

/// The limits that the platform's operators set.
#[derive(Debug, Clone, Copy)]
pub struct OperatorLimits {
    /// The retry budget of all VMs.
    pub budget: RetryBudgetLimits,
}

/// The time to come back after when no upstream can be used, in milliseconds: an upstream that
/// restarts is known again within about this time.
const NO_UPSTREAM_RETRY_MS: u64 = 1_000;

/// The least time to come back after when all upstreams are busy, in milliseconds: about the time in
/// which a slot comes free.
const MIN_BUSY_RETRY_MS: u64 = 200;

/// The time to come back after when an upstream has room but the retry budget is spent, in
/// milliseconds. The caller's next attempt counts as a request of its own.
const ROOM_RETRY_MS: u64 = 30;

/// The most requests of a service, as a share of all, whose callers are told to come back after
/// [`ROOM_RETRY_MS`]. Callers that come back at once are the load that the retry budget keeps away, under
/// another name: those who go on doing so while every upstream refuses would ask thirty times a second.
/// Callers who come back once only are hardly ever told otherwise.
const RETURN_SHARE: f64 = 0.9;

/// The time to come back after for the others, in milliseconds.
const LATER_RETRY_MS: u64 = 400;

/// The longest time to come back after when all upstreams are busy, in milliseconds.
const MAX_BUSY_RETRY_MS: u64 = 1_500;

/// How many times the work for an object that is not warm an answer takes until it is overdue, beside
/// its wait for a slot. Upstreams that have just been filled with objects new to them answer nobody
/// for about once that time; at twice the expected time of a warm object, the first seconds of a day
/// were sent twice.
const OVERDUE_FACTOR: f64 = 2.0;

/// The round trip to other regions that is expected until one was measured, in milliseconds.
const FAR_ROUND_TRIP_MS: f64 = 60.0;

/// The weight of a new sample of a mean size or round trip.
const SAMPLE_WEIGHT: f64 = 0.1;

/// A request as a caller sent it.
#[derive(Debug, Clone, Copy)]
pub struct IncomingRequest<'a> {
    /// The host that it names.
    pub host: &'a str,
    /// Its path, without a query.
    pub path: &'a str,
    /// How much longer the caller waits, in milliseconds.
    pub time_left_ms: Option<u64>,
    /// The object that it concerns.
    pub object: Option<&'a str>,
}

/// A request that the VM answers itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejection {
    /// Why.
    pub reason: RejectionReason,
    /// The time to come back after, in milliseconds.
    pub retry_after_ms: u64,
}

/// The figures by which requests are placed and made to wait; those in force are the default, others
/// are for comparison.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SteeringConfig {
    /// How upstreams are weighed.
    pub weights: PlacementWeights,
    /// How long a request may wait.
    pub queue_tolerance: QueueTolerance,
    /// Whether a request may be sent a second time beside an upstream that says nothing.
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

/// The state of a VM that sends to upstreams itself.
#[derive(Debug)]
pub struct Steering {
    policy: SteeringConfig,
    location: VmLocation,
    configuration: Option<Arc<Configuration>>,
    splits: WeightedRoundRobin,
    upstreams: UpstreamTable,
    evacuated_domains: Set<Box<str>>,
    budget: RetryBudget,
    /// The callers that are told to come back at once, kept as repeats are.
    returns: RetryBudget,
    times: Map<Box<str>, ServiceTimes>,
    answer_bytes: Map<Box<str>, f64>,
    pressure: Pressure,
    far_ms: f64,
    vms: VmTable,
    store: StoreContact,
}

impl Steering {
    /// Creates the state of a VM that knows only itself.
    pub fn new(place: VmLocation, limits: OperatorLimits, vms: VmTable) -> Self {
        // Each VM keeps its own share; it has none of a slack.
        let returns = RetryBudgetLimits { ratio: RETURN_SHARE, slack: 0.0, ..limits.budget };
        Self {
            policy: SteeringConfig::default(),
            configuration: None,
            splits: WeightedRoundRobin::default(),
            upstreams: UpstreamTable::default(),
            evacuated_domains: Set::default(),
            budget: RetryBudget::new(limits.budget, &place.name),
            returns: RetryBudget::new(returns, &place.name),
            location: place,
            times: Map::default(),
            answer_bytes: Map::default(),
            pressure: Pressure::default(),
            far_ms: FAR_ROUND_TRIP_MS,
            vms,
            store: StoreContact { last_at_ms: 0, away_since_ms: None, away: true },
        }
    }

    /// Sets figures other than those in force.
    pub fn with_policy(mut self, policy: SteeringConfig) -> Self {
        self.policy = policy;
        self
    }

    /// Returns where the VM stands.
    pub fn location(&self) -> &VmLocation {
        &self.location
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Returns the upstreams.
    pub fn upstreams(&self) -> &UpstreamTable {
        &self.upstreams
    }

    /// Returns the upstreams to be changed.
    pub fn upstreams_mut(&mut self) -> &mut UpstreamTable {
        &mut self.upstreams
    }

    /// Returns the retry budget.
    pub fn budget(&self) -> &RetryBudget {
        &self.budget
    }

    /// Returns the entry VMs.
    pub fn vms(&self) -> &VmTable {
        &self.vms
    }

    /// Returns the entry VMs to be changed.
    pub fn vms_mut(&mut self) -> &mut VmTable {
        &mut self.vms
    }

    /// Returns the region of a failure domain, or its own name where none is known.
    pub fn region_of(&self, domain: &str) -> Box<str> {
        self.location.regions.get(domain).cloned().unwrap_or_else(|| domain.into())
    }

    /// Whether requests can be served: a configuration and an upstream are known.
    pub fn can_serve(&self) -> bool {
        self.configuration.is_some() && !self.upstreams.is_empty()
    }

    /// Puts a configuration in force unless it is older than the one in force.
    ///
    /// A read that was delayed may bring an older one; taken in, routes that callers have used
    /// already would be gone again. Returns whether it is in force now and was not before.
    pub fn apply_configuration(&mut self, configuration: Arc<Configuration>) -> bool {
        let newer =
            self.configuration.as_ref().is_none_or(|known| known.version < configuration.version);
        if newer {
            self.splits.clear();
            self.configuration = Some(configuration);
        }
        newer
    }

    /// Sets the failure domains that are being emptied; those that no longer are may be cold.
    pub fn set_evacuated_domains(&mut self, domains: Set<Box<str>>, now_ms: u64) {
        let cold_ms = self.configuration.as_ref().map_or(0, |configuration| {
            configuration.services.values().map(|service| service.cold_start_ms).max().unwrap_or(0)
        });
        for domain in self.evacuated_domains.difference(&domains) {
            self.upstreams.mark_domain_cold(domain, now_ms + cold_ms);
        }
        self.evacuated_domains = domains;
    }

    /// Returns the failure domains that are being emptied.
    pub fn evacuated_domains(&self) -> &Set<Box<str>> {
        &self.evacuated_domains
    }

    /// Takes in a request.
    ///
    /// # Errors
    ///
    /// Fails with the VM's own answer if no route takes it or its time is up.
    pub fn begin_request(
        &mut self,
        asked: IncomingRequest<'_>,
        now_ms: u64,
    ) -> Result<RequestState, Rejection> {
        let refuse = |reason, retry_after_ms| Err(Rejection { reason, retry_after_ms });
        let Some(configuration) = self.configuration.as_ref() else {
            return refuse(RejectionReason::NoConfiguration, NO_UPSTREAM_RETRY_MS);
        };
        let Some(route) = configuration.route(asked.host, asked.path).map(Arc::clone) else {
            return refuse(RejectionReason::NoRoute, 0);
        };
        let time_ms = asked.time_left_ms.unwrap_or(route.timeout_ms).min(route.timeout_ms);
        if time_ms == 0 {
            return refuse(RejectionReason::DeadlineExceeded, 0);
        }
        let object = asked.object.map(|name| Digest::of(&[name.as_bytes()]).to_u64());
        let service = self.splits.next_service(&route, object).service.clone();
        let vms = self.vms.max_known_vm_count();
        self.budget.deposit(&service, vms, now_ms);
        self.returns.deposit(&service, vms, now_ms);
        Ok(RequestState {
            version: configuration.version,
            service,
            object,
            arrived_at_ms: now_ms,
            deadline_at_ms: now_ms + time_ms,
            tried_upstreams: Vec::new(),
            delivered: 0,
            possible_runs: 0,
            cause: AttemptCause::First,
            in_flight: Vec::new(),
            route,
        })
    }

    /// Decides what happens next with a request none of whose sendings is under way.
    pub fn next_step(&mut self, attempts: &mut RequestState, random: u64, now_ms: u64) -> NextStep {
        let stop = |reason, retry_after_ms, attempts: &RequestState| {
            if attempts.possible_runs > 0 {
                return NextStep::GiveUp { reason };
            }
            NextStep::Reject { reason, retry_after_ms }
        };
        if !attempts.may_send() {
            return stop(RejectionReason::RetriesExhausted, MIN_BUSY_RETRY_MS, attempts);
        }
        let Some(candidate) = self.choose(attempts, random, now_ms) else {
            return stop(RejectionReason::NoUpstream, NO_UPSTREAM_RETRY_MS, attempts);
        };
        let pressure = self.pressure.note(&attempts.service, candidate.wait_ms > 0.0);
        let patience = self.policy.queue_tolerance;
        let most_ms = queueing::most_wait_ms(attempts, &candidate, patience, pressure, now_ms);
        if candidate.wait_ms > most_ms {
            // By then what waits now has been served.
            let retry_ms = candidate.wait_ms as u64;
            let retry_ms = retry_ms.clamp(MIN_BUSY_RETRY_MS, MAX_BUSY_RETRY_MS);
            return stop(RejectionReason::UpstreamsBusy, retry_ms, attempts);
        }
        if attempts.delivered > 0 {
            let vms = self.vms.max_known_vm_count();
            if !self.budget.try_withdraw(&attempts.service, vms, now_ms) {
                let retry_ms = if candidate.wait_ms > 0.0 {
                    MIN_BUSY_RETRY_MS
                } else if self.returns.try_withdraw(&attempts.service, vms, now_ms) {
                    // Another upstream has room now; only this VM may not send there on its own account.
                    ROOM_RETRY_MS
                } else {
                    LATER_RETRY_MS
                };
                return stop(RejectionReason::RetriesExhausted, retry_ms, attempts);
            }
        }
        self.send(attempts, candidate, now_ms)
    }

    fn send(&mut self, attempts: &mut RequestState, candidate: Candidate, now_ms: u64) -> NextStep {
        let key = candidate.upstream;
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return NextStep::GiveUp { reason: RejectionReason::NoUpstream };
        };
        let grounds = PlacementDecision {
            cause: attempts.cause,
            rank: candidate.rank,
            warm: candidate.warm,
            load_tenths: (upstream.load(now_ms) * 10.0).round() as u64,
            load_age_ms: upstream.load_age_ms(now_ms),
            expected_ms: candidate.expected_ms as u64,
        };
        upstream.sent(attempts.object, now_ms);
        let times = self.times.get(&attempts.service).copied().unwrap_or_default();
        let overdue_ms = candidate.wait_ms + times.work_ms(false) * OVERDUE_FACTOR;
        attempts.tried_upstreams.push(key);
        attempts.in_flight.push(InFlightAttempt {
            upstream: key,
            sent_at_ms: now_ms,
            warm: candidate.warm,
            wait_ms: candidate.wait_ms,
            way_ms: candidate.way_ms,
            overdue_at_ms: now_ms + overdue_ms as u64,
        });
        NextStep::Send(Attempt {
            upstream: key,
            address: upstream.entry.address,
            name: upstream.entry.name.clone(),
            decision: grounds,
        })
    }

    /// Returns when to look whether a request should be sent to a second upstream although the first
    /// may still answer, if it may be at all.
    pub fn hedge_at_ms(&self, attempts: &RequestState) -> Option<u64> {
        let [first] = &*attempts.in_flight else {
            return None;
        };
        if !self.policy.hedging {
            return None;
        }
        (attempts.route.kind.may_repeat() && attempts.may_send()).then_some(first.overdue_at_ms)
    }

    /// Sends a request to a second upstream if the first has answered nothing at all since.
    ///
    /// An upstream that is only busy or slow at this request answers others meanwhile; one that has
    /// lost its power does not, and the request would wait there until its time is up.
    pub fn hedge(
        &mut self,
        attempts: &mut RequestState,
        random: u64,
        now_ms: u64,
    ) -> Option<Attempt> {
        let first = attempts.in_flight.first()?;
        let silence_ms = self.upstreams.get(first.upstream).map(|up| up.silence_ms(now_ms));
        if silence_ms.is_some_and(|silence_ms| now_ms - silence_ms > first.sent_at_ms) {
            return None;
        }
        let candidate = self.choose(attempts, random, now_ms)?;
        let vms = self.vms.max_known_vm_count();
        if !self.budget.try_withdraw(&attempts.service, vms, now_ms) {
            return None;
        }
        attempts.cause = AttemptCause::Unresponsive;
        match self.send(attempts, candidate, now_ms) {
            NextStep::Send(sending) => Some(sending),
            NextStep::Reject { .. } | NextStep::GiveUp { .. } => None,
        }
    }

    /// Takes in that the caller has left or has its answer, whatever is still under way.
    pub fn cancel_request(&mut self, attempts: &mut RequestState, now_ms: u64) {
        while let Some(current) = attempts.in_flight.last() {
            self.record_outcome(attempts, current.upstream, AttemptOutcome::Canceled, now_ms);
        }
    }

    fn service(&self, name: &str) -> Option<&ServiceSettings> {
        self.configuration.as_ref()?.services.get(name)
    }
}
