//! Request routing, retries and hedging on one entry VM.

mod authentication;
mod capacity;
mod learning;
mod quota_admission;
mod reachability;
mod selection;
mod serving_keys;
mod shared_load;
mod shared_observations;
mod steps;
mod store;

use std::net::IpAddr;
use std::sync::Arc;

use crate::hash::{Digest, Map, Set};

use self::capacity::CapacityState;
use self::serving_keys::ServingKeys;
use self::store::StoreAvailability;
use super::accounts::PresentedCredential;
use super::admission::{Admission, AdmissionConfig, Arrival, CallerKey};
use super::attempts::{AttemptCause, ForwardedRequest, RejectionReason, RequestState};
use super::budget::{RetryBudget, RetryBudgetLimits};
use super::crashes::CrashLedger;
use super::load_sharing::LoadSharing;
use super::placement::{PlacementWeights, ServiceTimes};
use super::planned_stop::PlannedStop;
use super::quotas::{QuotaBounds, Quotas};
use super::rate_limits::RateLimits;
use super::reach::UpstreamReach;
use super::reports::ReportQueue;
use super::routing::{Configuration, ServiceSettings, WeightedRoundRobin};
use super::sender_limits::SenderLimits;
use super::upstreams::UpstreamTable;
use super::vms::VmTable;

pub use self::quota_admission::QuotaDecision;
pub use self::reachability::UpstreamCheck;
pub use super::attempts::Rejection;

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
    /// The margin beyond the quotas of client accounts.
    pub quotas: QuotaBounds,
}

/// The delay that a caller is told when there is no configuration or no usable upstream, in
/// milliseconds: about the time until a restarted upstream is known.
const NO_UPSTREAM_RETRY_AFTER_MS: u64 = 1_000;

/// The largest share of a service's requests whose callers are told to retry after
/// [`steps::IMMEDIATE_RETRY_AFTER_MS`]. Without the limit, such retries would bypass the retry budget
/// while every upstream rejects requests. Callers that return only once are hardly ever told a longer
/// delay.
const IMMEDIATE_RETRY_SHARE: f64 = 0.9;

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
    /// What the request presents to authenticate its client account.
    pub credential: PresentedCredential,
    /// The address of the caller, if it is known.
    pub caller: Option<IpAddr>,
    /// What another VM tells that has forwarded the request; `None` if a caller sent it to this VM.
    pub forwarded: Option<ForwardedRequest>,
}

/// The parameters of the choice of upstreams, of queueing and of hedging.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SteeringConfig {
    /// The parameters of the choice of an upstream.
    pub weights: PlacementWeights,
    /// The parameters of admission.
    pub admission: AdmissionConfig,
    /// Whether a second attempt may start while the first one's upstream doesn't respond.
    pub hedging: bool,
    /// Whether VMs tell each other of the load at upstreams.
    pub shared_load: bool,
    /// Whether idempotent requests that wait behind others on a connection are started early.
    pub pipelining: bool,
    /// What follows from the demand for services and objects.
    pub capacity: CapacitySwitches,
}

/// What follows from the demand for services and objects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CapacitySwitches {
    /// Whether the weights of the own region and domain fall where demand exceeds their slots.
    pub regional_weights: bool,
    /// Whether hot objects use as many upstreams as their demand needs.
    pub hot_objects: bool,
}

impl Default for CapacitySwitches {
    fn default() -> Self {
        Self { regional_weights: true, hot_objects: true }
    }
}

impl Default for SteeringConfig {
    fn default() -> Self {
        Self {
            weights: PlacementWeights::default(),
            admission: AdmissionConfig::default(),
            hedging: true,
            shared_load: true,
            capacity: CapacitySwitches::default(),
            pipelining: true,
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
    admission: Admission,
    other_region_rtt_ms: f64,
    vms: VmTable,
    reach: UpstreamReach,
    store: StoreAvailability,
    crashes: CrashLedger,
    reports: ReportQueue,
    sender_limits: SenderLimits,
    rate_limits: RateLimits,
    /// The VMs that share rate limits, as of the last update; `None` while there are no limits.
    serving_keys: Option<ServingKeys>,
    quotas: Quotas,
    load_sharing: LoadSharing,
    capacity: CapacityState,
    /// The times of the planned stop, once it has begun.
    planned_stop: Option<PlannedStop>,
}

impl Steering {
    /// Creates the state of a VM that knows no configuration, upstream or other VM.
    pub fn new(location: VmLocation, limits: OperatorLimits, vms: VmTable) -> Self {
        // No slack, since that is shared by all VMs, while this limit holds on each VM.
        let immediate_retries =
            RetryBudgetLimits { ratio: IMMEDIATE_RETRY_SHARE, slack: 0.0, ..limits.budget };
        let regions = location.regions.values().chain([&location.region]).cloned().collect();
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
            admission: Admission::default(),
            crashes: CrashLedger::new(vms.key()),
            reports: ReportQueue::default(),
            sender_limits: SenderLimits::default(),
            rate_limits: RateLimits::new(vms.key()),
            serving_keys: None,
            quotas: Quotas::new(vms.key(), limits.quotas, regions, vms.key().0 ^ vms.boot_at_ms()),
            load_sharing: LoadSharing::new(vms.boot_at_ms()),
            capacity: CapacityState::default(),
            planned_stop: None,
            other_region_rtt_ms: INITIAL_OTHER_REGION_RTT_MS,
            vms,
            reach: UpstreamReach::default(),
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

    /// Begins a planned stop: other VMs are told, and only requests that end in time are sent from now on.
    pub fn begin_stop(&mut self, stop: PlannedStop) {
        self.planned_stop = Some(stop);
        self.vms.begin_leaving();
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
    /// Returns a rejection if there is no configuration, no route matches, the request belongs to no
    /// client account, the account is over its quota or the time limit has expired.
    pub fn begin_request(
        &mut self,
        incoming: IncomingRequest<'_>,
        now_ms: u64,
    ) -> Result<RequestState, Rejection> {
        let reject = |reason, retry_after_ms| Err(Rejection { reason, retry_after_ms });
        self.load_sharing.record_request(now_ms);
        let Some(configuration) = self.configuration.as_ref() else {
            return reject(RejectionReason::NoConfiguration, NO_UPSTREAM_RETRY_AFTER_MS);
        };
        let Some(route) = configuration.route(incoming.host, incoming.path).map(Arc::clone) else {
            return reject(RejectionReason::NoRoute, 0);
        };
        let account = match authentication::authenticate(configuration, &route, incoming.credential)
        {
            Ok(account) => account,
            Err(reason) => return reject(reason, 0),
        };
        if let Some((_, account)) = &account
            && account.quota.is_some()
            && incoming.forwarded.is_none()
            && let Some(retry_after_ms) = self.quotas.over_quota_retry_after_ms(account.key, now_ms)
        {
            return reject(RejectionReason::OverQuota, retry_after_ms);
        }
        let time_limit_ms = incoming.time_left_ms.unwrap_or(route.timeout_ms).min(route.timeout_ms);
        if time_limit_ms == 0 {
            return reject(RejectionReason::DeadlineExceeded, 0);
        }
        let object = incoming.object.map(|name| Digest::of(&[name.as_bytes()]).to_u64());
        let service = self.round_robin.next_service(&route, object).service.clone();
        let vm_count = self.vms.max_known_vm_count(now_ms);
        let forwarded = incoming.forwarded;
        let mut arrival = Arrival::default();
        if forwarded.is_none() {
            // The VM that the caller sent a forwarded request to has counted it.
            let account = account.as_ref().map(|(_, account)| account.key);
            let caller = CallerKey::of(account, incoming.caller);
            let names = (&*route.name, &*service);
            arrival = self.admission.record_arrival(names, caller, incoming.time_left_ms, now_ms);
            self.budget.deposit(&service, vm_count, now_ms);
            // Otherwise immediate retries under overload would pay for each other.
            if !(arrival.is_returning() && self.admission.queues_persist(&service)) {
                self.immediate_retries.deposit(&service, vm_count, now_ms);
            }
        }
        let request = RequestState {
            version: configuration.version,
            service,
            object,
            account,
            caller: incoming.caller,
            quota_token: None,
            fingerprints: None,
            is_probe: forwarded.is_some_and(|forwarded| forwarded.is_probe),
            arrived_at_ms: now_ms,
            deadline_at_ms: now_ms + time_limit_ms,
            arrival,
            tried_upstreams: Vec::new(),
            delivered: forwarded.map_or(0, |forwarded| forwarded.delivered),
            possible_runs: forwarded.map_or(0, |forwarded| forwarded.possible_runs),
            was_started_early: false,
            cause: AttemptCause::First,
            in_flight: Vec::new(),
            unreachable: 0,
            is_forwarded: forwarded.is_some(),
            asked_vms: Vec::new(),
            forwardings_in_flight: 0,
            neighbour_rejection: None,
            route,
        };
        if !request.is_forwarded {
            self.record_demand(&request, now_ms);
        }
        Ok(request)
    }

    /// Returns whether a request may be started while earlier ones of its connection are in progress:
    /// its route is idempotent.
    pub fn may_start_early(&self, host: &str, path: &str) -> bool {
        let route = self.configuration.as_ref().and_then(|active| active.route(host, path));
        self.config.pipelining && route.is_some_and(|route| route.kind.may_retry())
    }

    fn service(&self, name: &str) -> Option<&ServiceSettings> {
        self.configuration.as_ref()?.services.get(name)
    }
}
