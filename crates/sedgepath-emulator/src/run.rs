//! The simulation of one scenario under one policy: the event loop and the network. The callers and
//! VMs are in `requests`, the upstreams and their faults in `upstreams`.
//!
//! Events are processed in the order of their time, and events of the same time in the order in which
//! they were scheduled, so a run depends on its seed alone.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::sync::Arc;

use sedgepath_core::clock::HybridTimestamp;
use sedgepath_core::direct::Steering;
use sedgepath_core::direct::attempts::RequestState;
use sedgepath_core::direct::steering::SteeringConfig;
use sedgepath_core::direct::upstreams::{UpstreamEntry, UpstreamKey};
use sedgepath_core::direct::vms::VmHeartbeat;

use crate::scenario::Scenario;
use crate::setup::{HEARTBEAT_INTERVAL_MS, configuration, new_steering, upstream_entry};
use crate::upstream::Upstream;

mod metrics;
mod requests;
mod upstreams;

pub use self::metrics::{BIN_WIDTH_MS, RunMetrics};

/// The one-way network delay within a region.
const INTRA_REGION_DELAY_MS: u64 = 1;

/// The delay until all VMs know of an upstream's stop or start.
const UPSTREAM_UPDATE_DELAY_MS: u64 = 300;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    CallerArrives,
    Resubmit { request: usize },
    AttemptArrives { attempt: usize },
    WorkCompletes { upstream: usize, attempt: usize, epoch: u32 },
    ResponseArrives { attempt: usize, result: AttemptResult },
    HedgeCheck { request: usize, submission: u32 },
    DeadlineExpires { request: usize, submission: u32 },
    HeartbeatRound,
    FaultChange { index: usize, begins: bool },
    UpstreamUpdate { upstream: usize },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum AttemptResult {
    Completed,
    Failed,
    Rejected,
    Unreachable,
}

/// A request of a caller over all its submissions.
#[derive(Debug)]
struct Request {
    vm: usize,
    object: usize,
    arrived_at_ms: u64,
    submissions: u32,
    /// The core's state of the current submission; none between submissions.
    state: Option<RequestState>,
    /// The indices of the current submission's attempts.
    attempts: Vec<usize>,
    ended: bool,
}

/// An attempt that was sent to an upstream.
#[derive(Debug, Clone, Copy)]
struct SentAttempt {
    request: usize,
    vm: usize,
    upstream: usize,
    key: UpstreamKey,
    /// Whether the VM still waits for the response.
    awaited: bool,
}

struct SimulatedVm {
    steering: Steering,
    region: usize,
    /// For each upstream, when each open idle connection became idle, in milliseconds.
    idle_since_ms: Vec<VecDeque<u64>>,
}

struct SimulatedUpstream {
    model: Upstream,
    entry: UpstreamEntry,
    region: usize,
    /// Increases when a fault discards running work, which invalidates its completion events.
    epoch: u32,
}

/// The state of a run at the current simulated time.
struct Simulation<'a> {
    scenario: &'a Scenario,
    random: fastrand::Rng,
    now_ms: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    vms: Vec<SimulatedVm>,
    upstreams: Vec<SimulatedUpstream>,
    requests: Vec<Request>,
    attempts: Vec<SentAttempt>,
    /// The cumulative probability of each object.
    object_cdf: Vec<f64>,
    burst_factor: f64,
    next_vm: usize,
    metrics: RunMetrics,
}

/// Runs a scenario to its end under a steering configuration.
pub fn run_scenario(scenario: &Scenario, config: SteeringConfig, seed: u64) -> RunMetrics {
    let mut simulation = Simulation::new(scenario, config, seed);
    while let Some(Reverse((at_ms, _, event))) = simulation.events.pop() {
        simulation.now_ms = at_ms;
        simulation.handle(event);
    }
    for upstream in &simulation.upstreams {
        simulation.metrics.runs += upstream.model.runs;
        simulation.metrics.warm_runs += upstream.model.warm_runs;
        simulation.metrics.crashes += upstream.model.crashes;
    }
    simulation.metrics
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, config: SteeringConfig, seed: u64) -> Self {
        let domains: Vec<_> = scenario.domains().collect();
        let region_index = |name: &str| {
            scenario.regions.iter().position(|region| *region.name == *name).unwrap_or(0)
        };
        let mut upstreams = Vec::new();
        for (domain, region) in &domains {
            for _ in 0..scenario.upstreams.per_domain {
                upstreams.push(SimulatedUpstream {
                    model: Upstream::new(scenario.upstreams),
                    entry: upstream_entry(upstreams.len(), domain, scenario),
                    region: region_index(region),
                    epoch: 0,
                });
            }
        }
        let configuration = configuration(scenario);
        let mut vms = Vec::new();
        for (domain, region) in &domains {
            for _ in 0..scenario.vms_per_domain {
                let mut steering =
                    new_steering(vms.len(), domain, region, &domains).with_policy(config);
                steering.apply_configuration(Arc::clone(&configuration));
                for upstream in &upstreams {
                    let region = &scenario.regions[upstream.region].name;
                    steering.upstreams_mut().upsert(upstream.entry.clone(), region, 0);
                }
                vms.push(SimulatedVm {
                    steering,
                    region: region_index(region),
                    idle_since_ms: vec![VecDeque::new(); upstreams.len()],
                });
            }
        }
        let bins = scenario.duration_ms.div_ceil(BIN_WIDTH_MS) as usize;
        let mut simulation = Self {
            scenario,
            random: fastrand::Rng::with_seed(seed),
            now_ms: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            vms,
            upstreams,
            requests: Vec::new(),
            attempts: Vec::new(),
            object_cdf: zipf_cdf(scenario.callers.objects, scenario.callers.zipf_exponent),
            burst_factor: 1.0,
            next_vm: 0,
            metrics: RunMetrics { bins: vec![(0.0, 0); bins], ..RunMetrics::default() },
        };
        simulation.schedule(0, Event::HeartbeatRound);
        simulation.schedule(1, Event::CallerArrives);
        for (index, fault) in scenario.faults.iter().enumerate() {
            simulation.schedule(fault.from_ms, Event::FaultChange { index, begins: true });
            simulation.schedule(fault.until_ms, Event::FaultChange { index, begins: false });
        }
        simulation
    }

    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at_ms, self.sequence, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::CallerArrives => self.accept_caller(),
            Event::Resubmit { request } => self.submit(request),
            Event::AttemptArrives { attempt } => self.deliver_attempt(attempt),
            Event::WorkCompletes { upstream, attempt, epoch } => {
                self.complete_work(upstream, attempt, epoch);
            }
            Event::ResponseArrives { attempt, result } => self.receive_response(attempt, result),
            Event::HedgeCheck { request, submission } => self.check_hedge(request, submission),
            Event::DeadlineExpires { request, submission } => {
                self.expire_deadline(request, submission);
            }
            Event::HeartbeatRound => self.exchange_heartbeats(),
            Event::FaultChange { index, begins } => self.change_fault(index, begins),
            Event::UpstreamUpdate { upstream } => self.publish_upstream(upstream),
        }
    }

    /// Delivers a heartbeat of each VM to all others without delay.
    fn exchange_heartbeats(&mut self) {
        let now_ms = self.now_ms;
        let heartbeats: Vec<VmHeartbeat> = self
            .vms
            .iter_mut()
            .map(|vm| vm.steering.vms_mut().heartbeat(HybridTimestamp::default()))
            .collect();
        for (index, vm) in self.vms.iter_mut().enumerate() {
            for (sender, heartbeat) in heartbeats.iter().enumerate() {
                if sender != index {
                    vm.steering.vms_mut().record_heartbeat(heartbeat.clone(), now_ms);
                }
            }
        }
        if now_ms < self.scenario.duration_ms {
            self.schedule(now_ms + HEARTBEAT_INTERVAL_MS, Event::HeartbeatRound);
        }
    }

    fn one_way_delay_ms(&self, vm: usize, upstream: usize) -> u64 {
        let same_region = self.vms[vm].region == self.upstreams[upstream].region;
        if same_region { INTRA_REGION_DELAY_MS } else { self.scenario.inter_region_delay_ms }
    }
}

/// Returns the cumulative probabilities of a Zipf distribution, the most frequent object first.
fn zipf_cdf(objects: usize, exponent: f64) -> Vec<f64> {
    let weights: Vec<f64> =
        (1..=objects.max(1)).map(|rank| (rank as f64).powf(-exponent)).collect();
    let sum: f64 = weights.iter().sum();
    let mut cumulative = 0.0;
    let mut cdf: Vec<f64> = weights
        .iter()
        .map(|weight| {
            cumulative += weight / sum;
            cumulative
        })
        .collect();
    if let Some(last) = cdf.last_mut() {
        *last = 1.0;
    }
    cdf
}
