//! A simulated fleet of VMs that send requests to upstreams directly, on one clock.
//!
//! Each caller sends its request to a random running VM and retries once if it is rejected.
//! Upstreams serve a request in a fixed time or reject it immediately. VMs may be killed, stopped
//! gracefully, suspended, added, or partitioned from each other. The simulation records when callers
//! sent requests and when retries arrived at upstreams, by which operators check the retry budget.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use fastrand::Rng;
use sedgepath_core::direct::Steering;
use sedgepath_core::direct::attempts::{Attempt, AttemptOutcome, NextStep, RequestState};
use sedgepath_core::direct::upstreams::LoadReport;

use crate::direct::{HEARTBEAT_MS, begin_request, heartbeat, serving_vm};

/// The number of retries per request that all VMs together may send.
pub const RETRY_BUDGET_RATIO: f64 = 0.2;

/// The number of additional retries per window that all VMs together may send.
pub const RETRY_BUDGET_SLACK: f64 = 60.0;

/// The window of the retry budget, in milliseconds.
pub const RETRY_BUDGET_WINDOW_MS: u64 = 10_000;

/// How long a VM continues to accept requests after it was told to stop, in milliseconds.
const SHUTDOWN_GRACE_MS: u64 = 3_000;

/// How long a caller waits for a VM to read its request, in milliseconds.
const REQUEST_READ_TIMEOUT_MS: u64 = 1_000;

/// The one-way latency between a VM and an upstream, in milliseconds.
const ONE_WAY_LATENCY_MS: u64 = 20;

/// The service time of a request at an upstream, in milliseconds.
const SERVICE_TIME_MS: u64 = 180;

/// The fraction of attempts that open a new connection first.
const NEW_CONNECTION_SHARE: f64 = 0.2;

/// The number of other VMs whose addresses a VM knows when it starts.
const SEED_VM_COUNT: u8 = 3;

/// A disruption of some VMs.
#[derive(Debug, Clone)]
pub enum Disruption {
    /// The processes are killed and start again later.
    Kill {
        /// The time until the restart, in milliseconds.
        down_ms: u64,
    },
    /// The VMs announce that they are leaving, serve for a grace period, and restart.
    Stop,
    /// The processes are suspended.
    Suspend {
        /// The duration in milliseconds.
        for_ms: u64,
    },
    /// The VMs join the fleet; they do not run before.
    Join,
    /// The VMs exchange no heartbeats with any other; callers and upstreams still reach them.
    CutOff {
        /// The duration in milliseconds.
        for_ms: u64,
    },
}

/// A step function of time: ordered pairs of a start in milliseconds and a value; 0 before the first.
#[derive(Debug, Clone, PartialEq)]
pub struct StepFunction(pub Vec<(u64, f64)>);

impl StepFunction {
    fn value_at(&self, now_ms: u64) -> f64 {
        let started = self.0.iter().take_while(|(from_ms, _)| *from_ms <= now_ms);
        started.last().map_or(0.0, |(_, level)| *level)
    }
}

/// A scenario for a simulated fleet.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// The number of VMs, including those that join later.
    pub vms: u8,
    /// The duration in milliseconds.
    pub duration_ms: u64,
    /// The demand in requests per second.
    pub demand_per_s: StepFunction,
    /// The fraction of the attempts that upstreams reject.
    pub rejected_share: StepFunction,
    /// The disruptions: a time in milliseconds, a kind, and the affected VMs.
    pub disruptions: Vec<(u64, Disruption, Vec<u8>)>,
    /// The seed of all random choices.
    pub seed: u64,
}

/// The events that callers and upstreams observed in a scenario.
#[derive(Debug, Default)]
pub struct ScenarioResult {
    /// When callers sent requests, in milliseconds, in ascending order.
    pub requested_at_ms: Vec<u64>,
    /// When retries arrived at upstreams, in milliseconds, in ascending order.
    pub retried_at_ms: Vec<u64>,
    /// When the served requests had been sent, in milliseconds.
    pub served_at_ms: Vec<u64>,
}

/// The retries in one window, compared with the retry budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetExcess {
    /// The start of the window in milliseconds.
    pub from_ms: u64,
    /// The number of retries in the window.
    pub retries: usize,
    /// The number of retries that the budget allows.
    pub allowed: f64,
}

impl ScenarioResult {
    /// Returns the window that exceeds its retry budget the most, or `None` if no window does.
    ///
    /// The budget of a window follows from the requests in that window, in the window before it, or
    /// in the window that begins half a window earlier, whichever has the most.
    pub fn worst_excess(&self) -> Option<BudgetExcess> {
        let last_ms = self.retried_at_ms.last().copied().unwrap_or(0);
        let windows = (0..=last_ms).map(|from_ms| self.window_excess(from_ms));
        windows
            .filter(|window| window.retries as f64 > window.allowed)
            .max_by(|one, other| one.retries_above_limit().total_cmp(&other.retries_above_limit()))
    }

    /// Counts the requests sent in a period, and how many of them were served.
    pub fn count_served(&self, from_ms: u64, until_ms: u64) -> (usize, usize) {
        let asked = count_between(&self.requested_at_ms, from_ms, until_ms);
        let served = self.served_at_ms.iter().filter(|at| (from_ms..until_ms).contains(at));
        (asked, served.count())
    }

    fn window_excess(&self, from_ms: u64) -> BudgetExcess {
        let requests = [0, RETRY_BUDGET_WINDOW_MS / 2, RETRY_BUDGET_WINDOW_MS].map(|before_ms| {
            let until_ms = (from_ms + RETRY_BUDGET_WINDOW_MS).saturating_sub(before_ms);
            count_between(&self.requested_at_ms, from_ms.saturating_sub(before_ms), until_ms)
        });
        let most = requests.into_iter().max().unwrap_or(0);
        BudgetExcess {
            from_ms,
            retries: count_between(&self.retried_at_ms, from_ms, from_ms + RETRY_BUDGET_WINDOW_MS),
            allowed: RETRY_BUDGET_RATIO * most as f64 + RETRY_BUDGET_SLACK,
        }
    }
}

impl BudgetExcess {
    fn retries_above_limit(self) -> f64 {
        self.retries as f64 - self.allowed
    }
}

/// Counts the times in a period; `at_ms` must be sorted.
fn count_between(at_ms: &[u64], from_ms: u64, until_ms: u64) -> usize {
    let count_before = |limit_ms: u64| at_ms.partition_point(|at| *at < limit_ms);
    count_before(until_ms) - count_before(from_ms)
}

#[derive(Debug)]
struct Vm {
    /// The state of the running process, or `None` while the VM is down.
    steering: Option<Steering>,
    /// The number of processes started so far, which identifies the current one.
    process: u64,
    suspended_until_ms: u64,
    cut_off_until_ms: u64,
}

#[derive(Debug)]
struct CallerRequest {
    vm: u8,
    process: u64,
    asked_at_ms: u64,
    /// Whether the caller retries if the request is rejected.
    retries_on_rejection: bool,
    state: RequestState,
}

/// A scheduled event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Disruption(usize),
    Start(u8),
    Tick,
    Request { vm: u8, asked_at_ms: u64, retries_on_rejection: bool },
    SendAttempt { request: usize, attempt: usize },
    AttemptEnded { request: usize, attempt: usize, rejected: bool },
}

/// The interval of the ticks at which callers send requests, in milliseconds.
const TICK_INTERVAL_MS: u64 = 10;

struct Fleet<'a> {
    scenario: &'a Scenario,
    rng: Rng,
    now_ms: u64,
    vms: Vec<Vm>,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    last_sequence: u64,
    requests: Vec<Option<CallerRequest>>,
    attempts: Vec<(Attempt, bool)>,
    /// The demand in requests that has not been sent yet.
    fractional_demand: f64,
    result: ScenarioResult,
}

impl Scenario {
    /// Runs the scenario to its end.
    pub fn run(&self) -> ScenarioResult {
        let is_joining = |number: &u8| {
            let joins_later = |disruption: &(u64, Disruption, Vec<u8>)| {
                matches!(disruption.1, Disruption::Join) && disruption.2.contains(number)
            };
            self.disruptions.iter().any(joins_later)
        };
        let vm = |_| Vm { steering: None, process: 0, suspended_until_ms: 0, cut_off_until_ms: 0 };
        let mut fleet = Fleet {
            scenario: self,
            rng: Rng::with_seed(self.seed),
            now_ms: 0,
            vms: (0..self.vms).map(vm).collect(),
            queue: BinaryHeap::new(),
            last_sequence: 0,
            requests: Vec::new(),
            attempts: Vec::new(),
            fractional_demand: 0.0,
            result: ScenarioResult::default(),
        };
        for number in (0..self.vms).filter(|number| !is_joining(number)) {
            fleet.start_vm(number);
        }
        for (index, (at_ms, _, _)) in self.disruptions.iter().enumerate() {
            fleet.schedule(*at_ms, Event::Disruption(index));
        }
        fleet.schedule(0, Event::Tick);
        while let Some(Reverse((at_ms, _, event))) = fleet.queue.pop() {
            fleet.now_ms = at_ms;
            fleet.handle_event(event);
        }
        fleet.result.requested_at_ms.sort_unstable();
        fleet.result.retried_at_ms.sort_unstable();
        fleet.result
    }
}

impl Fleet<'_> {
    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.last_sequence += 1;
        self.queue.push(Reverse((at_ms, self.last_sequence, event)));
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Disruption(index) => self.apply_disruption(index),
            Event::Start(number) => self.start_vm(number),
            Event::Tick => self.tick(),
            Event::Request { vm, asked_at_ms, retries_on_rejection } => {
                if !self.defer_if_suspended(vm, event) {
                    self.handle_request(vm, asked_at_ms, retries_on_rejection);
                }
            }
            Event::SendAttempt { request, attempt } => self.send_attempt(request, attempt, event),
            Event::AttemptEnded { request, attempt, rejected } => {
                self.end_attempt(request, attempt, rejected, event);
            }
        }
    }

    fn apply_disruption(&mut self, index: usize) {
        let (_, disruption, vms) = self.scenario.disruptions[index].clone();
        for number in vms {
            let now_ms = self.now_ms;
            let vm = &mut self.vms[usize::from(number)];
            match disruption {
                Disruption::Kill { down_ms } => {
                    vm.steering = None;
                    self.schedule(now_ms + down_ms, Event::Start(number));
                }
                Disruption::Stop => {
                    if let Some(steering) = &mut vm.steering {
                        steering.vms_mut().begin_leaving();
                    }
                    self.schedule(now_ms + SHUTDOWN_GRACE_MS, Event::Start(number));
                }
                Disruption::Suspend { for_ms } => vm.suspended_until_ms = now_ms + for_ms,
                Disruption::Join => self.start_vm(number),
                Disruption::CutOff { for_ms } => vm.cut_off_until_ms = now_ms + for_ms,
            }
        }
    }

    fn start_vm(&mut self, number: u8) {
        let mut vm = serving_vm(&vm_name(number), "north-a", number, 4);
        for seed in (0..self.scenario.vms).filter(|seed| *seed != number).take(SEED_VM_COUNT.into())
        {
            vm.vms_mut().add_address(([10, 0, 0, seed], 7_000).into(), self.now_ms);
        }
        let entry = &mut self.vms[usize::from(number)];
        entry.steering = Some(vm);
        entry.process += 1;
    }

    fn tick(&mut self) {
        let now_ms = self.now_ms;
        if now_ms % HEARTBEAT_MS == HEARTBEAT_MS / 2 {
            self.exchange_heartbeats();
        }
        self.fractional_demand +=
            self.scenario.demand_per_s.value_at(now_ms) * TICK_INTERVAL_MS as f64 / 1_000.0;
        while self.fractional_demand >= 1.0 {
            self.fractional_demand -= 1.0;
            self.send_caller_request(true);
        }
        if now_ms + TICK_INTERVAL_MS < self.scenario.duration_ms {
            self.schedule(now_ms + TICK_INTERVAL_MS, Event::Tick);
        }
    }

    fn exchange_heartbeats(&mut self) {
        let now_ms = self.now_ms;
        let is_connected = |vm: &Vm| {
            vm.steering.is_some()
                && now_ms >= vm.suspended_until_ms
                && now_ms >= vm.cut_off_until_ms
        };
        let connected: Vec<u8> = (0..self.scenario.vms)
            .filter(|number| is_connected(&self.vms[usize::from(*number)]))
            .collect();
        for to in &connected {
            for from in connected.iter().filter(|from| *from != to) {
                let mut message = heartbeat(&vm_name(*from), "north-a", *from);
                let sender = &self.vms[usize::from(*from)];
                message.state.boot_at_ms = sender.process;
                message.state.leaving =
                    sender.steering.as_ref().is_some_and(|vm| vm.vms().is_leaving());
                if let Some(steering) = &mut self.vms[usize::from(*to)].steering {
                    steering.vms_mut().record_heartbeat(message, now_ms);
                }
            }
        }
    }

    /// Sends a caller's request to a random running VM, if there is any.
    fn send_caller_request(&mut self, retries_on_rejection: bool) {
        let now_ms = self.now_ms;
        self.result.requested_at_ms.push(now_ms);
        let running: Vec<u8> = (0..self.scenario.vms)
            .filter(|number| self.vms[usize::from(*number)].steering.is_some())
            .collect();
        if let Some(vm) = self.rng.choice(running) {
            self.handle_event(Event::Request { vm, asked_at_ms: now_ms, retries_on_rejection });
        }
    }

    /// Reschedules an event of a suspended VM for when it resumes; returns whether it did.
    fn defer_if_suspended(&mut self, vm: u8, event: Event) -> bool {
        let until_ms = self.vms[usize::from(vm)].suspended_until_ms;
        let suspended = self.now_ms < until_ms;
        if suspended {
            self.schedule(until_ms, event);
        }
        suspended
    }

    fn handle_request(&mut self, vm: u8, asked_at_ms: u64, retries_on_rejection: bool) {
        if self.now_ms > asked_at_ms + REQUEST_READ_TIMEOUT_MS {
            return;
        }
        let entry = &mut self.vms[usize::from(vm)];
        let Some(steering) = &mut entry.steering else {
            return;
        };
        let object = self.rng.u64(0..50).to_string();
        let state = begin_request(steering, "/reads/1", &object, self.now_ms);
        let process = entry.process;
        self.requests.push(Some(CallerRequest {
            vm,
            process,
            asked_at_ms,
            retries_on_rejection,
            state,
        }));
        self.advance_request(self.requests.len() - 1);
    }

    /// Performs the next step of a request.
    fn advance_request(&mut self, request: usize) {
        let now_ms = self.now_ms;
        let random = self.rng.u64(..);
        let Some(current) = &mut self.requests[request] else {
            return;
        };
        let Some(steering) = &mut self.vms[usize::from(current.vm)].steering else {
            return;
        };
        match steering.next_step(&mut current.state, random, now_ms) {
            NextStep::Send(to) => {
                let is_retry = current.state.delivered > 0;
                self.attempts.push((to, is_retry));
                let attempt = self.attempts.len() - 1;
                let connect_ms =
                    if self.rng.f64() < NEW_CONNECTION_SHARE { 2 * ONE_WAY_LATENCY_MS } else { 0 };
                self.schedule(now_ms + connect_ms, Event::SendAttempt { request, attempt });
            }
            NextStep::Reject { retry_after_ms, .. } => {
                let retries_on_rejection = current.retries_on_rejection;
                self.requests[request] = None;
                if retries_on_rejection && now_ms + retry_after_ms < self.scenario.duration_ms {
                    let asked_at_ms = now_ms + retry_after_ms;
                    // The chosen VM may be down by then, in which case the retry is lost.
                    let vm = self.rng.u8(0..self.scenario.vms);
                    self.result.requested_at_ms.push(asked_at_ms);
                    self.schedule(
                        asked_at_ms,
                        Event::Request { vm, asked_at_ms, retries_on_rejection: false },
                    );
                }
            }
            // Nothing is forwarded, since no VM checks whether it is cut off here.
            NextStep::GiveUp { .. } | NextStep::Forward(_) => self.requests[request] = None,
        }
    }

    /// Returns the VM of a request, or `None` if the process that accepted it has ended.
    fn running_vm(&self, request: usize) -> Option<u8> {
        let current = self.requests[request].as_ref()?;
        let vm = &self.vms[usize::from(current.vm)];
        (vm.process == current.process && vm.steering.is_some()).then_some(current.vm)
    }

    fn send_attempt(&mut self, request: usize, attempt: usize, event: Event) {
        let Some(vm) = self.running_vm(request) else {
            return;
        };
        if self.defer_if_suspended(vm, event) {
            return;
        }
        let arrives_at_ms = self.now_ms + ONE_WAY_LATENCY_MS;
        if self.attempts[attempt].1 {
            self.result.retried_at_ms.push(arrives_at_ms);
        }
        let rejected = self.rng.f64() < self.scenario.rejected_share.value_at(arrives_at_ms);
        let service_ms = if rejected { 0 } else { SERVICE_TIME_MS };
        let ended = Event::AttemptEnded { request, attempt, rejected };
        self.schedule(arrives_at_ms + service_ms + ONE_WAY_LATENCY_MS, ended);
    }

    fn end_attempt(&mut self, request: usize, attempt: usize, rejected: bool, event: Event) {
        let Some(vm) = self.running_vm(request) else {
            return;
        };
        if self.defer_if_suspended(vm, event) {
            return;
        }
        let now_ms = self.now_ms;
        let upstream = self.attempts[attempt].0.upstream;
        let (Some(current), Some(steering)) =
            (&mut self.requests[request], &mut self.vms[usize::from(vm)].steering)
        else {
            return;
        };
        let report = Some(LoadReport::new(1, 0, 3));
        if rejected {
            let outcome = AttemptOutcome::Refused { report };
            steering.record_outcome(&mut current.state, upstream, outcome, now_ms);
            self.advance_request(request);
        } else {
            let outcome = AttemptOutcome::Answered { failed: false, report, body_bytes: 100 };
            steering.record_outcome(&mut current.state, upstream, outcome, now_ms);
            self.result.served_at_ms.push(current.asked_at_ms);
            self.requests[request] = None;
        }
    }
}

fn vm_name(number: u8) -> String {
    format!("a{number}")
}
