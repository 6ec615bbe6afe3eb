//! What happens to a deployment, and the callers that it happens to.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};

use sedgepath_core::egress::settings::AdmissionSettings;
use sedgepath_core::event::LookUp;
use sedgepath_core::identity::NodeSettings;
use sedgepath_core::request::{Class, RequestHead};
use sedgepath_core::steering::{
    HeadroomPolicy, LeastLoadedPolicy, SteeringPolicy, WeightedRandomPolicy,
};
use sedgepath_test_support::bed::{Bed, NodeIndex};
use sedgepath_test_support::records;
use serde_json::json;

use crate::deployment::{CAP_PERCENT, DOMAINS, Deployment, NODES, Plan, REGIONS};

/// The time before the event, in milliseconds; it is not measured.
const WARM_UP_MS: u64 = 10_000;

/// The time after the event, in milliseconds.
const MEASURED_MS: u64 = 30_000;

/// The time that each caller waits, in milliseconds.
pub const DEADLINE_MS: u64 = 1_000;

/// The callers of each region; each keeps the answer to its look-up while it is valid.
const CALLERS: u64 = 64;

/// The part of the requests that comes from each region.
const REGION_PARTS: [f64; REGIONS] = [0.4, 0.3, 0.3];

/// What happens.
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

    /// Returns the load of the classes as parts of capacity.
    fn load(self) -> [(Class, f64); 3] {
        let [paying, trial, guest] = match self {
            Self::Overload => [0.5, 0.65, 0.15],
            Self::LateMeasurements => [0.45, 0.3, 0.1],
            _ => [0.35, 0.2, 0.05],
        };
        [(Class::Paying, paying), (Class::Trial, trial), (Class::Guest, guest)]
    }
}

/// A policy with its records.
#[derive(Debug, Clone, Copy)]
pub struct Variant {
    pub name: &'static str,
    pub policy: fn() -> Box<dyn SteeringPolicy>,
    pub plan: Plan,
    /// Whether owners keep slots free for paying requests.
    pub reserve: bool,
}

const FREE: Plan = Plan { cap_percent: 100.0 };
const CAPPED: Plan = Plan { cap_percent: CAP_PERCENT };

fn random_by_share() -> Box<dyn SteeringPolicy> {
    Box::new(WeightedRandomPolicy)
}

fn least_loaded() -> Box<dyn SteeringPolicy> {
    Box::new(LeastLoadedPolicy)
}

fn by_headroom() -> Box<dyn SteeringPolicy> {
    Box::new(HeadroomPolicy::new())
}

fn without_discount() -> Box<dyn SteeringPolicy> {
    Box::new(HeadroomPolicy::without_age_discount())
}

/// The variants that are compared. The baselines know no cap; the last two are the shipping policy
/// with a part switched off.
pub const VARIANTS: [Variant; 6] = [
    Variant { name: "random by share", policy: random_by_share, plan: FREE, reserve: true },
    Variant { name: "least loaded", policy: least_loaded, plan: FREE, reserve: true },
    Variant { name: "headroom, no cap", policy: by_headroom, plan: FREE, reserve: true },
    Variant { name: "headroom (ships)", policy: by_headroom, plan: CAPPED, reserve: true },
    Variant { name: "- age discount", policy: without_discount, plan: CAPPED, reserve: true },
    Variant { name: "- paying reserve", policy: by_headroom, plan: CAPPED, reserve: false },
];

/// One run: a deployment on a bed, with its callers.
#[derive(Debug)]
pub struct Run {
    pub deployment: Deployment,
    pub scenario: Scenario,
    pub bed: Bed,
    /// When the warm-up began, in milliseconds.
    pub started_at_ms: u64,
    /// When the event came, in milliseconds.
    pub event_at_ms: u64,
    plan: Plan,
    random: fastrand::Rng,
    named: BTreeMap<Ipv4Addr, (u64, Vec<NodeIndex>)>,
}

impl Run {
    /// Runs a scenario to its end.
    pub fn new(deployment: Deployment, scenario: Scenario, variant: &Variant, seed: u64) -> Self {
        let admission =
            AdmissionSettings { reserve_for_paying: variant.reserve, ..Default::default() };
        let settings = NodeSettings { admission, seed, ..NodeSettings::default() };
        let mut bed = Bed::new(seed).with_policy(variant.policy).with_settings(settings);
        deployment.start(&mut bed, variant.plan);
        bed.run_for(5_000);
        let started_at_ms = bed.now_ms();
        let mut run = Self {
            deployment,
            scenario,
            bed,
            started_at_ms,
            event_at_ms: 0,
            plan: variant.plan,
            random: fastrand::Rng::with_seed(seed),
            named: BTreeMap::new(),
        };
        if scenario == Scenario::ColdCaches {
            run.chill_caches();
        }
        run.send(WARM_UP_MS);
        run.event_at_ms = run.bed.now_ms();
        run.event();
        run.send(MEASURED_MS / 2);
        if scenario == Scenario::LateMeasurements {
            run.bed.faults.omit_loads = true;
        }
        run.send(MEASURED_MS / 2);
        run.bed.run_for(2 * DEADLINE_MS);
        run
    }

    fn event(&mut self) {
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
                self.bed.write_records(&deployment.steering([1, 1, 2], self.plan));
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
                self.bed.upstreams.get(&service.upstream(number)).dead = true;
            }
        }
    }

    fn chill_caches(&mut self) {
        for service in self.deployment.services {
            for number in 0..service.upstreams {
                let upstream = self.bed.upstreams.get(&service.upstream(number));
                upstream.cold_requests_per_block = 20;
                upstream.cold_extra_ms = 3 * service.service_ms;
            }
        }
    }

    fn send(&mut self, duration_ms: u64) {
        let scenario = self.scenario;
        for _ in 0..duration_ms {
            for (service, figures) in self.deployment.services.into_iter().enumerate() {
                for (class, part) in scenario.load() {
                    let per_ms = part * figures.capacity_per_s() / 1_000.0;
                    for _ in 0..self.arrivals(per_ms) {
                        self.call(service, class);
                    }
                }
            }
            self.bed.run_for(1);
        }
    }

    /// Draws how many requests come in a millisecond: Poisson, by inversion.
    fn arrivals(&mut self, mean: f64) -> u32 {
        let (mut count, mut left) = (0, self.random.f64());
        let mut chance = (-mean).exp();
        while left > chance && count < 20 {
            left -= chance;
            count += 1;
            chance *= mean / f64::from(count);
        }
        count
    }

    fn call(&mut self, service: usize, class: Class) {
        let point = self.random.f64();
        let region = if point < REGION_PARTS[0] {
            0
        } else {
            1 + usize::from(point >= REGION_PARTS[0] + REGION_PARTS[1])
        };
        let source = Ipv4Addr::new(10, region as u8, 0, self.random.u64(0..CALLERS) as u8);
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
            ..self.bed.head(service.name)
        };
        if let Some(node) = self.entry_vm(source, region, service.name) {
            self.bed.call(node, head);
        }
    }

    /// Returns the entry VM that a caller uses: the first of its last look-up that can be reached.
    fn entry_vm(&mut self, source: Ipv4Addr, region: usize, service: &str) -> Option<NodeIndex> {
        let known = self.named.get(&source).filter(|(until_ms, _)| *until_ms > self.bed.now_ms());
        if known.is_none() {
            let near = |node: &NodeIndex| node % DOMAINS % REGIONS != region;
            let mut nodes: Vec<_> = (0..NODES).filter(|node| self.bed.runs(*node)).collect();
            nodes.sort_by_key(near);
            let look_up =
                LookUp { service: service.into(), source: IpAddr::V4(source), revision_seen: 0 };
            let answer = self.bed.look_up(*nodes.first()?, &look_up).ok()?;
            let named = answer.entry_vms.iter();
            let named = named.filter_map(|vm| vm.name.strip_prefix("vm-")?.parse().ok()).collect();
            let until_ms = self.bed.now_ms() + answer.expires_after_ms;
            self.named.insert(source, (until_ms, named));
        }
        let (_, named) = self.named.get(&source)?;
        named.iter().copied().find(|node| self.bed.runs(*node))
    }
}
