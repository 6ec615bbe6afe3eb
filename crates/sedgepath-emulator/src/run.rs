//! One run of a scenario: the clock, the callers, the ways, and the core that decides.
//!
//! Events stand in a heap by their time, and those of one moment in the order in which they came
//! about, so that a run depends on its seed alone.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::sync::Arc;

use sedgepath_core::clock::HybridTimestamp;
use sedgepath_core::direct::Steering;
use sedgepath_core::direct::attempts::{Attempt, AttemptOutcome, NextStep, RequestState};
use sedgepath_core::direct::steering::{IncomingRequest, SteeringConfig};
use sedgepath_core::direct::upstreams::{UpstreamEntry, UpstreamKey};
use sedgepath_core::direct::vms::VmHeartbeat;

use crate::scenario::{Scenario, TroubleKind};
use crate::setup::{HEARTBEAT_MS, HOST, configuration, entry, steering};
use crate::upstream::{Taken, Upstream, Work};

/// The way within a failure domain or a region, one way, in milliseconds.
const NEAR_MS: u64 = 1;

/// How long news of an upstream takes to all VMs, in milliseconds: measured on the platform.
const NEWS_MS: u64 = 300;

/// How long a caller that doesn't wait as told takes to come back, in milliseconds.
const IMPATIENT_MS: u64 = 20;

/// The size of all answers, in bytes: below those that count as large.
const ANSWER_BYTES: u64 = 4_000;

/// The time for which figures over time are gathered, in milliseconds.
pub const BIN_MS: u64 = 1_000;

/// What became of the requests of a run.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Figures {
    /// The requests, each counted once however often its caller came back.
    pub asked: usize,
    /// Those answered by the target.
    pub in_time: usize,
    /// Those answered after it.
    pub late: usize,
    /// Those refused for good.
    pub refused: usize,
    /// Those that failed, or whose time was up.
    pub failed: usize,
    /// The refusals, each counted.
    pub refusals: usize,
    /// The sum of what the answers are worth, each from 0 to 1.
    pub worth: f64,
    /// The times of answers in milliseconds, from the first request on.
    pub latencies_ms: Vec<u64>,
    /// The sendings to upstreams.
    pub sendings: usize,
    /// Those to another region.
    pub far: usize,
    /// The connections opened.
    pub connections: usize,
    /// The requests that upstreams began.
    pub runs: usize,
    /// Those that found their object remembered.
    pub warm_runs: usize,
    /// How often a cold upstream broke down.
    pub crashes: usize,
    /// What the requests asked in each second were worth, and how many they were.
    pub bins: Vec<(f64, usize)>,
}

impl Figures {
    /// Returns what a request was worth on average.
    pub fn mean_worth(&self) -> f64 {
        self.worth / self.asked.max(1) as f64
    }

    /// Returns the time within which a part of the answers came, in milliseconds.
    pub fn latency_ms(&self, part: f64) -> u64 {
        let mut sorted = self.latencies_ms.clone();
        sorted.sort_unstable();
        let index = (part * sorted.len() as f64) as usize;
        sorted.get(index.min(sorted.len().saturating_sub(1))).copied().unwrap_or(0)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Ask { request: usize },
    Reach { sending: usize },
    WorkEnds { upstream: usize, sending: usize, epoch: u32 },
    Back { sending: usize, answer: Answer },
    LookAtHedge { request: usize, visit: u32 },
    Deadline { request: usize, visit: u32 },
    Heartbeats,
    Trouble { index: usize, begins: bool },
    News { upstream: usize },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Answer {
    Whole,
    Error,
    Refused,
    Unreachable,
}

/// A request of a caller, over all its visits.
#[derive(Debug)]
struct Request {
    vm: usize,
    object: usize,
    asked_at_ms: u64,
    visits: u32,
    /// The visit that is under way.
    attempts: Option<RequestState>,
    /// Its sendings of this visit.
    sendings: Vec<usize>,
    ended: bool,
}

/// One sending of a request to an upstream.
#[derive(Debug, Clone, Copy)]
struct Sent {
    request: usize,
    vm: usize,
    upstream: usize,
    key: UpstreamKey,
    /// Whether the VM still waits for it.
    open: bool,
}

struct Node {
    steering: Steering,
    region: usize,
    /// When connections to each upstream became idle, in milliseconds.
    idle: Vec<VecDeque<u64>>,
}

struct Placed {
    model: Upstream,
    entry: UpstreamEntry,
    region: usize,
    /// Grows whenever what ran is lost.
    epoch: u32,
}

/// A run under way.
struct Run<'a> {
    scenario: &'a Scenario,
    random: fastrand::Rng,
    now_ms: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    nodes: Vec<Node>,
    upstreams: Vec<Placed>,
    requests: Vec<Request>,
    sendings: Vec<Sent>,
    /// The cumulated chances of the objects.
    chances: Vec<f64>,
    burst: f64,
    next_vm: usize,
    figures: Figures,
}

/// Plays a scenario under a policy.
pub fn play(scenario: &Scenario, policy: SteeringConfig, seed: u64) -> Figures {
    let mut run = Run::new(scenario, policy, seed);
    while let Some(Reverse((at_ms, _, event))) = run.events.pop() {
        run.now_ms = at_ms;
        run.handle(event);
    }
    for upstream in &run.upstreams {
        run.figures.runs += upstream.model.runs;
        run.figures.warm_runs += upstream.model.warm_runs;
        run.figures.crashes += upstream.model.crashes;
    }
    run.figures
}

impl<'a> Run<'a> {
    fn new(scenario: &'a Scenario, policy: SteeringConfig, seed: u64) -> Self {
        let domains: Vec<_> = scenario.domains().collect();
        let region_of = |name: &str| {
            scenario.regions.iter().position(|region| *region.name == *name).unwrap_or(0)
        };
        let mut upstreams = Vec::new();
        for (domain, region) in &domains {
            for _ in 0..scenario.upstreams.per_domain {
                upstreams.push(Placed {
                    model: Upstream::new(scenario.upstreams),
                    entry: entry(upstreams.len(), domain, scenario),
                    region: region_of(region),
                    epoch: 0,
                });
            }
        }
        let configuration = configuration(scenario);
        let mut nodes = Vec::new();
        for (domain, region) in &domains {
            for _ in 0..scenario.vms_per_domain {
                let mut steering =
                    steering(nodes.len(), domain, region, &domains).with_policy(policy);
                steering.apply_configuration(Arc::clone(&configuration));
                for upstream in &upstreams {
                    let region = &scenario.regions[upstream.region].name;
                    steering.upstreams_mut().upsert(upstream.entry.clone(), region, 0);
                }
                nodes.push(Node {
                    steering,
                    region: region_of(region),
                    idle: vec![VecDeque::new(); upstreams.len()],
                });
            }
        }
        let bins = scenario.duration_ms.div_ceil(BIN_MS) as usize;
        let mut run = Self {
            scenario,
            random: fastrand::Rng::with_seed(seed),
            now_ms: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            nodes,
            upstreams,
            requests: Vec::new(),
            sendings: Vec::new(),
            chances: chances(scenario.callers.objects, scenario.callers.skew),
            burst: 1.0,
            next_vm: 0,
            figures: Figures { bins: vec![(0.0, 0); bins], ..Figures::default() },
        };
        run.at(0, Event::Heartbeats);
        run.at(1, Event::Arrive);
        for (index, trouble) in scenario.troubles.iter().enumerate() {
            run.at(trouble.from_ms, Event::Trouble { index, begins: true });
            run.at(trouble.until_ms, Event::Trouble { index, begins: false });
        }
        run
    }

    fn at(&mut self, at_ms: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at_ms, self.sequence, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Ask { request } => self.ask(request),
            Event::Reach { sending } => self.reach(sending),
            Event::WorkEnds { upstream, sending, epoch } => {
                self.work_ends(upstream, sending, epoch);
            }
            Event::Back { sending, answer } => self.back(sending, answer),
            Event::LookAtHedge { request, visit } => self.look_at_hedge(request, visit),
            Event::Deadline { request, visit } => self.deadline(request, visit),
            Event::Heartbeats => self.heartbeats(),
            Event::Trouble { index, begins } => self.trouble(index, begins),
            Event::News { upstream } => self.news(upstream),
        }
    }

    /// Lets one caller ask, and says when the next one does.
    fn arrive(&mut self) {
        if self.now_ms >= self.scenario.duration_ms {
            return;
        }
        let callers = self.scenario.callers;
        let point = self.random.f64();
        let object = self.chances.partition_point(|chance| *chance < point);
        self.requests.push(Request {
            vm: self.next_vm,
            object,
            asked_at_ms: self.now_ms,
            visits: 0,
            attempts: None,
            sendings: Vec::new(),
            ended: false,
        });
        self.next_vm = (self.next_vm + 1) % self.nodes.len();
        self.figures.asked += 1;
        self.figures.bins[(self.now_ms / BIN_MS) as usize].1 += 1;
        let request = self.requests.len() - 1;
        self.ask(request);
        let turn = std::f64::consts::TAU * self.now_ms as f64 / callers.wave_ms as f64;
        let per_s = callers.per_s * (1.0 + callers.wave * turn.sin()) * self.burst;
        let gap_ms = -(1.0 - self.random.f64()).ln() * 1_000.0 / per_s.max(0.001);
        self.at(self.now_ms + gap_ms.round() as u64, Event::Arrive);
    }

    /// Brings a request to its VM, the first time or again.
    fn ask(&mut self, index: usize) {
        let request = &mut self.requests[index];
        request.visits += 1;
        let visit = request.visits;
        let object = request.object.to_string();
        let asked =
            IncomingRequest { host: HOST, path: "/", time_left_ms: None, object: Some(&object) };
        match self.nodes[request.vm].steering.begin_request(asked, self.now_ms) {
            Ok(attempts) => {
                let deadline_at_ms = attempts.deadline_at_ms;
                request.attempts = Some(attempts);
                self.at(deadline_at_ms, Event::Deadline { request: index, visit });
                self.step(index);
            }
            Err(refusal) => self.refused(index, refusal.retry_after_ms),
        }
    }

    /// Does what the core decides for a request none of whose sendings is under way.
    fn step(&mut self, index: usize) {
        let random = self.random.u64(..);
        let request = &mut self.requests[index];
        let Some(attempts) = request.attempts.as_mut() else { return };
        match self.nodes[request.vm].steering.next_step(attempts, random, self.now_ms) {
            NextStep::Send(sending) => self.send(index, &sending),
            NextStep::Reject { retry_after_ms, .. } => self.refused(index, retry_after_ms),
            NextStep::GiveUp { .. } => {
                self.figures.failed += 1;
                self.end(index);
            }
        }
    }

    fn send(&mut self, index: usize, sending: &Attempt) {
        let request = &self.requests[index];
        let vm = request.vm;
        let found = self.upstreams.iter().position(|up| up.entry.address == sending.address);
        let Some(upstream) = found else { return };
        let node = &mut self.nodes[vm];
        self.figures.sendings += 1;
        self.figures.far += usize::from(node.region != self.upstreams[upstream].region);
        let idle_ms = self.scenario.upstreams.idle_ms;
        let idle = &mut node.idle[upstream];
        while idle.front().is_some_and(|since_ms| since_ms + idle_ms <= self.now_ms) {
            idle.pop_front();
        }
        let way_ms = self.way_ms(vm, upstream);
        let mut reaches_at_ms = self.now_ms + way_ms;
        if self.nodes[vm].idle[upstream].pop_back().is_none() {
            self.figures.connections += 1;
            reaches_at_ms += 2 * way_ms;
        }
        let key = sending.upstream;
        self.sendings.push(Sent { request: index, vm, upstream, key, open: true });
        let sending = self.sendings.len() - 1;
        self.requests[index].sendings.push(sending);
        self.at(reaches_at_ms, Event::Reach { sending });
        self.plan_hedge(index);
    }

    fn plan_hedge(&mut self, index: usize) {
        let request = &self.requests[index];
        let Some(attempts) = request.attempts.as_ref() else { return };
        if let Some(at_ms) = self.nodes[request.vm].steering.hedge_at_ms(attempts) {
            let visit = request.visits;
            self.at(at_ms.max(self.now_ms + 100), Event::LookAtHedge { request: index, visit });
        }
    }

    fn reach(&mut self, sending: usize) {
        let sent = self.sendings[sending];
        let work = Work { sending, object: self.requests[sent.request].object };
        let upstream = &mut self.upstreams[sent.upstream];
        let epoch = upstream.epoch;
        match upstream.model.take(work, self.now_ms, &mut self.random) {
            Taken::Runs { until_ms } => {
                let ends = Event::WorkEnds { upstream: sent.upstream, sending, epoch };
                self.at(until_ms, ends);
            }
            Taken::Waits | Taken::Lost => {}
            Taken::Refused => self.answer(sending, Answer::Refused),
            Taken::Fails => self.answer(sending, Answer::Error),
            Taken::Unreachable => self.answer(sending, Answer::Unreachable),
        }
    }

    fn work_ends(&mut self, index: usize, sending: usize, epoch: u32) {
        if self.upstreams[index].epoch != epoch {
            return;
        }
        self.answer(sending, Answer::Whole);
        let sendings = &self.sendings;
        let is_wanted = |work: Work| sendings[work.sending].open;
        let upstream = &mut self.upstreams[index];
        let next = upstream.model.end(self.now_ms, &mut self.random, is_wanted);
        if let Some((work, until_ms)) = next {
            let sending = work.sending;
            self.at(until_ms, Event::WorkEnds { upstream: index, sending, epoch });
        }
    }

    fn answer(&mut self, sending: usize, answer: Answer) {
        let sent = self.sendings[sending];
        let silent = self.upstreams[sent.upstream].model.is_silent();
        if silent && answer != Answer::Unreachable {
            return;
        }
        let way_ms = self.way_ms(sent.vm, sent.upstream);
        self.at(self.now_ms + way_ms, Event::Back { sending, answer });
    }

    fn back(&mut self, sending: usize, answer: Answer) {
        let sent = self.sendings[sending];
        if !sent.open {
            return;
        }
        self.sendings[sending].open = false;
        let report = Some(self.upstreams[sent.upstream].model.report());
        let outcome = match answer {
            Answer::Whole => {
                AttemptOutcome::Answered { failed: false, report, body_bytes: ANSWER_BYTES }
            }
            Answer::Error => AttemptOutcome::Answered { failed: true, report, body_bytes: 0 },
            Answer::Refused => AttemptOutcome::Refused { report },
            Answer::Unreachable => AttemptOutcome::Unreachable,
        };
        if answer != Answer::Unreachable {
            self.nodes[sent.vm].idle[sent.upstream].push_back(self.now_ms);
        }
        let request = &mut self.requests[sent.request];
        let Some(attempts) = request.attempts.as_mut() else { return };
        self.nodes[sent.vm].steering.record_outcome(attempts, sent.key, outcome, self.now_ms);
        let others = !attempts.in_flight.is_empty();
        if answer == Answer::Whole {
            self.answered(sent.request);
        } else if !others {
            self.step(sent.request);
        }
    }

    fn answered(&mut self, index: usize) {
        let callers = self.scenario.callers;
        let request = &self.requests[index];
        let took_ms = self.now_ms - request.asked_at_ms;
        self.figures.latencies_ms.push(took_ms);
        if took_ms <= callers.target_ms {
            self.figures.in_time += 1;
        } else {
            self.figures.late += 1;
        }
        // In full by the target, then less and less until the time is up.
        let over_ms = took_ms.saturating_sub(callers.target_ms) as f64;
        let span_ms = (callers.timeout_ms - callers.target_ms).max(1) as f64;
        let worth = (1.0 - over_ms / span_ms).max(0.0);
        self.figures.worth += worth;
        self.figures.bins[(request.asked_at_ms / BIN_MS) as usize].0 += worth;
        self.end(index);
    }

    /// Takes back what is under way, and lets nothing more happen to a request.
    fn end(&mut self, index: usize) {
        self.leave(index);
        self.requests[index].ended = true;
    }

    fn leave(&mut self, index: usize) {
        let request = &mut self.requests[index];
        if let Some(mut attempts) = request.attempts.take() {
            self.nodes[request.vm].steering.cancel_request(&mut attempts, self.now_ms);
        }
        for sending in request.sendings.drain(..) {
            self.sendings[sending].open = false;
        }
    }

    fn refused(&mut self, index: usize, retry_after_ms: u64) {
        let callers = self.scenario.callers;
        self.figures.refusals += 1;
        self.leave(index);
        let wait_ms = if callers.waits { retry_after_ms } else { IMPATIENT_MS };
        let request = &self.requests[index];
        let back_at_ms = self.now_ms + wait_ms.max(1);
        let too_late = back_at_ms >= request.asked_at_ms + callers.timeout_ms;
        if request.visits > callers.returns || too_late {
            self.figures.refused += 1;
            self.requests[index].ended = true;
        } else {
            self.at(back_at_ms, Event::Ask { request: index });
        }
    }

    fn look_at_hedge(&mut self, index: usize, visit: u32) {
        let random = self.random.u64(..);
        let request = &mut self.requests[index];
        if request.ended || request.visits != visit {
            return;
        }
        let Some(attempts) = request.attempts.as_mut() else { return };
        let steering = &mut self.nodes[request.vm].steering;
        match steering.hedge(attempts, random, self.now_ms) {
            Some(sending) => self.send(index, &sending),
            None => self.plan_hedge(index),
        }
    }

    fn deadline(&mut self, index: usize, visit: u32) {
        let request = &mut self.requests[index];
        if request.ended || request.visits != visit {
            return;
        }
        let Some(attempts) = request.attempts.as_mut() else { return };
        while let Some(under_way) = attempts.in_flight.last() {
            let key = under_way.upstream;
            let steering = &mut self.nodes[request.vm].steering;
            steering.record_outcome(attempts, key, AttemptOutcome::TimedOut, self.now_ms);
        }
        self.figures.failed += 1;
        self.end(index);
    }

    fn heartbeats(&mut self) {
        let now_ms = self.now_ms;
        let told: Vec<VmHeartbeat> = self
            .nodes
            .iter_mut()
            .map(|node| node.steering.vms_mut().heartbeat(HybridTimestamp::default()))
            .collect();
        for (index, node) in self.nodes.iter_mut().enumerate() {
            for (other, heartbeat) in told.iter().enumerate() {
                if other != index {
                    node.steering.vms_mut().record_heartbeat(heartbeat.clone(), now_ms);
                }
            }
        }
        if now_ms < self.scenario.duration_ms {
            self.at(now_ms + HEARTBEAT_MS, Event::Heartbeats);
        }
    }

    fn trouble(&mut self, index: usize, begins: bool) {
        let trouble = self.scenario.troubles[index];
        if let TroubleKind::Burst(factor) = trouble.kind {
            self.burst = if begins { factor } else { 1.0 };
            return;
        }
        // Spread over the failure domains, which hold their upstreams one after the other.
        let step = (self.upstreams.len() / trouble.upstreams.max(1)).max(1);
        for number in 0..trouble.upstreams.min(self.upstreams.len()) {
            let place = (number * step) % self.upstreams.len();
            let upstream = &mut self.upstreams[place];
            let was_gone = upstream.model.is_gone();
            upstream.model.set_trouble(begins.then_some(trouble.kind), self.now_ms);
            if upstream.model.is_gone() || was_gone {
                upstream.epoch += 1;
                self.at(self.now_ms + NEWS_MS, Event::News { upstream: place });
            }
        }
    }

    /// Tells all VMs that an upstream is gone, or has started again and is cold.
    fn news(&mut self, index: usize) {
        let upstream = &mut self.upstreams[index];
        let gone = upstream.model.is_gone();
        upstream.entry.sequence += 1;
        upstream.entry.cold_remaining_ms =
            self.scenario.upstreams.cold_start_ms.saturating_sub(NEWS_MS);
        upstream.entry.started_at_ms = Some(self.now_ms);
        let region = &self.scenario.regions[upstream.region].name;
        for node in &mut self.nodes {
            let upstreams = node.steering.upstreams_mut();
            if gone {
                upstreams.remove(&upstream.entry.name, self.now_ms);
            } else {
                upstreams.upsert(upstream.entry.clone(), region, self.now_ms);
            }
            node.idle[index].clear();
        }
    }

    fn way_ms(&self, vm: usize, upstream: usize) -> u64 {
        let near = self.nodes[vm].region == self.upstreams[upstream].region;
        if near { NEAR_MS } else { self.scenario.far_ms }
    }
}

fn chances(objects: usize, skew: f64) -> Vec<f64> {
    let weights: Vec<f64> = (1..=objects.max(1)).map(|rank| (rank as f64).powf(-skew)).collect();
    let sum: f64 = weights.iter().sum();
    let mut below = 0.0;
    let mut chances: Vec<f64> = weights
        .iter()
        .map(|weight| {
            below += weight / sum;
            below
        })
        .collect();
    if let Some(last) = chances.last_mut() {
        *last = 1.0;
    }
    chances
}
