//! Scenarios for a deployment, with simulated callers.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};

use sedgepath_core::egress::settings::AdmissionSettings;
use sedgepath_core::event::LookUp;
use sedgepath_core::identity::NodeSettings;
use sedgepath_core::request::{Class, RequestHead};
use sedgepath_core::steering::{
    HeadroomPolicy, LeastLoadedPolicy, SteeringPolicy, WeightedRandomPolicy,
};
use sedgepath_test_support::bed::{NodeIndex, TestBed};
use sedgepath_test_support::records;
use serde_json::json;

use crate::deployment::{CAP_PERCENT, DOMAINS, Deployment, NODES, REGIONS, SteeringParameters};

/// The warm-up before the event, which is not measured, in milliseconds.
const WARM_UP_MS: u64 = 10_000;

/// The measured period, which starts with the event, in milliseconds.
const MEASURED_MS: u64 = 30_000;

/// The time from a request to its deadline, in milliseconds.
pub const DEADLINE_MS: u64 = 1_000;

/// The number of callers in each region; each caches its look-up until it expires.
const CALLERS_PER_REGION: u64 = 64;

/// The fraction of the requests that each region sends.
const REGION_SHARES: [f64; REGIONS] = [0.4, 0.3, 0.3];

/// The load and the event of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    Ordinary,
    Overload,
    RegionLost,
    Drain,
    ColdCaches,
    LateMeasurements,
}

impl Scenario {
    pub const ALL: [Self; 6] = [
        Self::Ordinary,
        Self::Overload,
        Self::RegionLost,
        Self::Drain,
        Self::ColdCaches,
        Self::LateMeasurements,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Self::Ordinary => "ordinary load (0.6 of capacity)",
            Self::Overload => "1.3 times capacity, 0.65 of it trial",
            Self::RegionLost => "a region lost at 0.6",
            Self::Drain => "a failure domain drained at 0.6",
            Self::ColdCaches => "a group's shares move to cold caches at 0.6",
            Self::LateMeasurements => "0.85, loads 5 s late, after 15 s missing",
        }
    }

    /// Returns the load of each class as a fraction of the capacity.
    fn load(self) -> [(Class, f64); 3] {
        let [paying, trial, guest] = match self {
            Self::Overload => [0.5, 0.65, 0.15],
            Self::LateMeasurements => [0.45, 0.3, 0.1],
            _ => [0.35, 0.2, 0.05],
        };
        [(Class::Paying, paying), (Class::Trial, trial), (Class::Guest, guest)]
    }
}

/// A steering policy with its parameters.
#[derive(Debug, Clone, Copy)]
pub struct Variant {
    pub name: &'static str,
    pub policy: fn() -> Box<dyn SteeringPolicy>,
    pub parameters: SteeringParameters,
    /// Whether owners keep slots free for paying requests.
    pub reserve_for_paying: bool,
}

const UNCAPPED: SteeringParameters = SteeringParameters { cap_percent: 100.0 };
const CAPPED: SteeringParameters = SteeringParameters { cap_percent: CAP_PERCENT };

fn weighted_random() -> Box<dyn SteeringPolicy> {
    Box::new(WeightedRandomPolicy)
}

fn least_loaded() -> Box<dyn SteeringPolicy> {
    Box::new(LeastLoadedPolicy)
}

fn headroom() -> Box<dyn SteeringPolicy> {
    Box::new(HeadroomPolicy::new())
}

fn headroom_without_age_discount() -> Box<dyn SteeringPolicy> {
    Box::new(HeadroomPolicy::without_age_discount())
}

/// The compared variants: two baselines and the headroom policy without a cap, with it, and with one
/// of its mechanisms disabled.
pub const VARIANTS: [Variant; 6] = [
    Variant {
        name: "random by share",
        policy: weighted_random,
        parameters: UNCAPPED,
        reserve_for_paying: true,
    },
    Variant {
        name: "least loaded",
        policy: least_loaded,
        parameters: UNCAPPED,
        reserve_for_paying: true,
    },
    Variant {
        name: "headroom, no cap",
        policy: headroom,
        parameters: UNCAPPED,
        reserve_for_paying: true,
    },
    Variant {
        name: "headroom (ships)",
        policy: headroom,
        parameters: CAPPED,
        reserve_for_paying: true,
    },
    Variant {
        name: "- age discount",
        policy: headroom_without_age_discount,
        parameters: CAPPED,
        reserve_for_paying: true,
    },
    Variant {
        name: "- paying reserve",
        policy: headroom,
        parameters: CAPPED,
        reserve_for_paying: false,
    },
];

/// A run of a scenario: a deployment on a test bed, with its callers.
#[derive(Debug)]
pub struct Run {
    pub deployment: Deployment,
    pub scenario: Scenario,
    pub bed: TestBed,
    /// The start of the warm-up in milliseconds.
    pub started_at_ms: u64,
    /// The time of the event in milliseconds.
    pub event_at_ms: u64,
    parameters: SteeringParameters,
    random: fastrand::Rng,
    entry_vms_by_caller: BTreeMap<Ipv4Addr, (u64, Vec<NodeIndex>)>,
}

impl Run {
    /// Runs a scenario until all deadlines have passed.
    pub fn new(deployment: Deployment, scenario: Scenario, variant: &Variant, seed: u64) -> Self {
        let admission = AdmissionSettings {
            reserve_for_paying: variant.reserve_for_paying,
            ..Default::default()
        };
        let settings = NodeSettings { admission, seed, ..NodeSettings::default() };
        let mut bed = TestBed::new(seed).with_policy(variant.policy).with_settings(settings);
        deployment.start(&mut bed, variant.parameters);
        bed.run_for(5_000);
        let started_at_ms = bed.now_ms();
        let mut run = Self {
            deployment,
            scenario,
            bed,
            started_at_ms,
            event_at_ms: 0,
            parameters: variant.parameters,
            random: fastrand::Rng::with_seed(seed),
            entry_vms_by_caller: BTreeMap::new(),
        };
        if scenario == Scenario::ColdCaches {
            run.make_caches_cold();
        }
        run.send_load(WARM_UP_MS);
        run.event_at_ms = run.bed.now_ms();
        run.apply_event();
        run.send_load(MEASURED_MS / 2);
        if scenario == Scenario::LateMeasurements {
            run.bed.faults.omit_loads = true;
        }
        run.send_load(MEASURED_MS / 2);
        run.bed.run_for(2 * DEADLINE_MS);
        run
    }

    fn apply_event(&mut self) {
        let deployment = self.deployment;
        match self.scenario {
            Scenario::Ordinary | Scenario::Overload => {}
            Scenario::RegionLost => self.lose_region(0),
            Scenario::Drain => {
                let drain = json!({ "target": "domain", "active": true });
                let record = records::record(1, "drain", &deployment.domain(0), &drain);
                self.bed.write_records(&[record]);
            }
            Scenario::ColdCaches => {
                self.bed.write_records(&deployment.steering([1, 1, 2], self.parameters));
            }
            Scenario::LateMeasurements => self.bed.faults.load_delay_ms = 5_000,
        }
    }

    fn lose_region(&mut self, region: usize) {
        for node in (0..NODES).filter(|node| node % DOMAINS % REGIONS == region) {
            self.bed.kill(node);
        }
        for service in self.deployment.services {
            for number in (0..service.upstreams).filter(|number| number % REGIONS == region) {
                self.bed.upstreams.get(&service.upstream(number)).unreachable = true;
            }
        }
    }

    fn make_caches_cold(&mut self) {
        for service in self.deployment.services {
            for number in 0..service.upstreams {
                let upstream = self.bed.upstreams.get(&service.upstream(number));
                upstream.cold_requests_per_block = 20;
                upstream.cold_extra_ms = 3 * service.service_ms;
            }
        }
    }

    fn send_load(&mut self, duration_ms: u64) {
        let scenario = self.scenario;
        for _ in 0..duration_ms {
            for (service, settings) in self.deployment.services.into_iter().enumerate() {
                for (class, fraction) in scenario.load() {
                    let per_ms = fraction * settings.capacity_per_s() / 1_000.0;
                    for _ in 0..self.arrivals(per_ms) {
                        self.call(service, class);
                    }
                }
            }
            self.bed.run_for(1);
        }
    }

    /// Draws a Poisson-distributed number of requests by inversion, with a maximum of 20.
    fn arrivals(&mut self, mean: f64) -> u32 {
        let (mut count, mut remaining) = (0, self.random.f64());
        let mut probability = (-mean).exp();
        while remaining > probability && count < 20 {
            remaining -= probability;
            count += 1;
            probability *= mean / f64::from(count);
        }
        count
    }

    fn call(&mut self, service: usize, class: Class) {
        let draw = self.random.f64();
        let region = if draw < REGION_SHARES[0] {
            0
        } else {
            1 + usize::from(draw >= REGION_SHARES[0] + REGION_SHARES[1])
        };
        let source =
            Ipv4Addr::new(10, region as u8, 0, self.random.u64(0..CALLERS_PER_REGION) as u8);
        let key = match class {
            Class::Paying => Some("paying-key"),
            Class::Trial => Some("trial-key"),
            Class::Guest => None,
        };
        let service = self.deployment.services[service];
        let head = RequestHead {
            source: IpAddr::V4(source),
            key_digest: key.map(records::key_digest),
            deadline_at_ms: self.bed.now_ms() + DEADLINE_MS,
            idempotent: service.idempotent,
            ..self.bed.request_head(service.name)
        };
        if let Some(node) = self.entry_vm(source, region, service.name) {
            self.bed.call(node, head);
        }
    }

    /// Returns the entry VM that a caller uses: the first running one of its last look-up.
    fn entry_vm(&mut self, source: Ipv4Addr, region: usize, service: &str) -> Option<NodeIndex> {
        let cached = self
            .entry_vms_by_caller
            .get(&source)
            .filter(|(until_ms, _)| *until_ms > self.bed.now_ms());
        if cached.is_none() {
            let is_remote = |node: &NodeIndex| node % DOMAINS % REGIONS != region;
            let mut nodes: Vec<_> = (0..NODES).filter(|node| self.bed.is_running(*node)).collect();
            nodes.sort_by_key(is_remote);
            let look_up =
                LookUp { service: service.into(), source: IpAddr::V4(source), revision_seen: 0 };
            let answer = self.bed.look_up(*nodes.first()?, &look_up).ok()?;
            let entry_vms = answer.entry_vms.iter();
            let entry_vms =
                entry_vms.filter_map(|vm| vm.name.strip_prefix("vm-")?.parse().ok()).collect();
            let until_ms = self.bed.now_ms() + answer.expires_after_ms;
            self.entry_vms_by_caller.insert(source, (until_ms, entry_vms));
        }
        let (_, entry_vms) = self.entry_vms_by_caller.get(&source)?;
        entry_vms.iter().copied().find(|node| self.bed.is_running(*node))
    }
}
