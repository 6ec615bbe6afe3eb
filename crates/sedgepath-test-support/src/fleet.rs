//! Some VMs that send to upstreams themselves, on one clock, without a network.
//!
//! Callers ask a VM picked at random of those that run, and come back once if they are refused.
//! Upstreams answer or refuse at once; a sending and its answer are on their way for some
//! milliseconds. VMs may be killed, stopped as planned, suspended, added, or cut off from each other.
//! The fleet writes down when callers asked and when repeats arrived at upstreams, which is all that
//! operators see of the retry budget.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use fastrand::Rng;
use sedgepath_core::direct::Steering;
use sedgepath_core::direct::attempts::{Attempt, AttemptOutcome, NextStep, RequestState};
use sedgepath_core::direct::upstreams::LoadReport;

use crate::direct::{HEARTBEAT_MS, begin, heartbeat, serving_vm};

/// The repeats for each request that all VMs may send.
pub const REPEAT_RATIO: f64 = 0.2;

/// The repeats that all VMs may send beside these in a window.
pub const REPEAT_SLACK: f64 = 60.0;

/// The window of the retry budget, in milliseconds.
pub const WINDOW_MS: u64 = 10_000;

/// How long a VM goes on taking requests after it was told to stop, in milliseconds.
const STOP_SERVING_MS: u64 = 3_000;

/// How long a caller waits for its request to be read, in milliseconds.
const PATIENCE_MS: u64 = 1_000;

/// How long a sending is on its way to an upstream, in milliseconds.
const WAY_MS: u64 = 20;

/// How long an upstream works at a request, in milliseconds.
const WORK_MS: u64 = 180;

/// The part of the sendings for which a new connection is made first.
const NEW_CONNECTIONS: f64 = 0.2;

/// The other VMs whose addresses a VM knows when it starts.
const SEEDS: u8 = 3;

/// What happens to VMs.
#[derive(Debug, Clone)]
pub enum Trouble {
    /// Their processes end at once and start again later.
    Kill {
        /// For how long they are down, in milliseconds.
        down_ms: u64,
    },
    /// They are told to stop, say so to the others, serve on for a while, and start again.
    Stop,
    /// They stand still.
    Suspend {
        /// For how long, in milliseconds.
        for_ms: u64,
    },
    /// They run from now on and did not before.
    Join,
    /// They hear no other VM and no other hears them; callers and upstreams reach them.
    CutOff {
        /// For how long, in milliseconds.
        for_ms: u64,
    },
}

/// A figure that changes in steps: from when in milliseconds it has which value, in order; 0 before.
#[derive(Debug, Clone, PartialEq)]
pub struct Levels(pub Vec<(u64, f64)>);

impl Levels {
    fn at(&self, now_ms: u64) -> f64 {
        let begun = self.0.iter().take_while(|(from_ms, _)| *from_ms <= now_ms);
        begun.last().map_or(0.0, |(_, level)| *level)
    }
}

/// A day that a fleet lives through.
#[derive(Debug, Clone)]
pub struct Day {
    /// How many VMs there are, those that join later among them.
    pub vms: u8,
    /// How long the day lasts, in milliseconds.
    pub length_ms: u64,
    /// The demand in requests a second.
    pub demand_per_s: Levels,
    /// The part of the requests that upstreams refuse.
    pub refused_share: Levels,
    /// What happens, when in milliseconds, and to which VMs.
    pub troubles: Vec<(u64, Trouble, Vec<u8>)>,
    /// The seed of all that is left to chance.
    pub seed: u64,
}

/// What callers and upstreams saw of a day.
#[derive(Debug, Default)]
pub struct Seen {
    /// When callers asked, in order, in milliseconds.
    pub asked_at_ms: Vec<u64>,
    /// When repeats arrived at upstreams, in order, in milliseconds.
    pub repeated_at_ms: Vec<u64>,
    /// When the requests were asked that were answered, in milliseconds.
    pub served_at_ms: Vec<u64>,
}

/// A window in which more repeats arrived than allowed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Excess {
    /// When the window begins, in milliseconds.
    pub from_ms: u64,
    /// The repeats in it.
    pub repeats: usize,
    /// Those that are allowed.
    pub allowed: f64,
}

impl Seen {
    /// Returns the window with most repeats beyond what is allowed, if there is any.
    ///
    /// Operators compare the repeats of any ten seconds with the requests of those, of the ten seconds
    /// before or of the ten seconds that begin half a window before, whichever are most.
    pub fn worst_excess(&self) -> Option<Excess> {
        let last_ms = self.repeated_at_ms.last().copied().unwrap_or(0);
        let excess = (0..=last_ms).map(|from_ms| self.window(from_ms));
        excess
            .filter(|window| window.repeats as f64 > window.allowed)
            .max_by(|one, other| one.beyond().total_cmp(&other.beyond()))
    }

    /// Counts the requests that were asked in a span and those of them that were answered.
    pub fn served(&self, from_ms: u64, until_ms: u64) -> (usize, usize) {
        let asked = between(&self.asked_at_ms, from_ms, until_ms);
        let served = self.served_at_ms.iter().filter(|at| (from_ms..until_ms).contains(at));
        (asked, served.count())
    }

    fn window(&self, from_ms: u64) -> Excess {
        let requests = [0, WINDOW_MS / 2, WINDOW_MS].map(|before_ms| {
            let until_ms = (from_ms + WINDOW_MS).saturating_sub(before_ms);
            between(&self.asked_at_ms, from_ms.saturating_sub(before_ms), until_ms)
        });
        let most = requests.into_iter().max().unwrap_or(0);
        Excess {
            from_ms,
            repeats: between(&self.repeated_at_ms, from_ms, from_ms + WINDOW_MS),
            allowed: REPEAT_RATIO * most as f64 + REPEAT_SLACK,
        }
    }
}

impl Excess {
    fn beyond(self) -> f64 {
        self.repeats as f64 - self.allowed
    }
}

/// Counts the moments in a span; they are in order.
fn between(at_ms: &[u64], from_ms: u64, until_ms: u64) -> usize {
    let before = |limit_ms: u64| at_ms.partition_point(|at| *at < limit_ms);
    before(until_ms) - before(from_ms)
}

#[derive(Debug)]
struct Vm {
    /// Its process, unless none runs.
    steering: Option<Steering>,
    /// The number of its process.
    process: u64,
    suspended_until_ms: u64,
    cut_off_until_ms: u64,
}

#[derive(Debug)]
struct Flight {
    vm: u8,
    process: u64,
    asked_at_ms: u64,
    /// Whether the caller comes back if it is refused.
    comes_back: bool,
    attempts: RequestState,
}

/// What happens at a moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Trouble(usize),
    Start(u8),
    Tick,
    Ask { vm: u8, asked_at_ms: u64, comes_back: bool },
    Write { flight: usize, sending: usize },
    Ended { flight: usize, sending: usize, refused: bool },
}

/// The time between two ticks, at which callers ask, in milliseconds.
const TICK_MS: u64 = 10;

struct Fleet<'a> {
    day: &'a Day,
    rng: Rng,
    now_ms: u64,
    vms: Vec<Vm>,
    due: BinaryHeap<Reverse<(u64, u64, Event)>>,
    scheduled: u64,
    flights: Vec<Option<Flight>>,
    sendings: Vec<(Attempt, bool)>,
    /// The part of a request that is due.
    demand: f64,
    seen: Seen,
}

impl Day {
    /// Plays the day.
    pub fn play(&self) -> Seen {
        let joining = |number: &u8| {
            let joins = |trouble: &(u64, Trouble, Vec<u8>)| {
                matches!(trouble.1, Trouble::Join) && trouble.2.contains(number)
            };
            self.troubles.iter().any(joins)
        };
        let vm = |_| Vm { steering: None, process: 0, suspended_until_ms: 0, cut_off_until_ms: 0 };
        let mut fleet = Fleet {
            day: self,
            rng: Rng::with_seed(self.seed),
            now_ms: 0,
            vms: (0..self.vms).map(vm).collect(),
            due: BinaryHeap::new(),
            scheduled: 0,
            flights: Vec::new(),
            sendings: Vec::new(),
            demand: 0.0,
            seen: Seen::default(),
        };
        for number in (0..self.vms).filter(|number| !joining(number)) {
            fleet.start(number);
        }
        for (index, (at_ms, _, _)) in self.troubles.iter().enumerate() {
            fleet.at(*at_ms, Event::Trouble(index));
        }
        fleet.at(0, Event::Tick);
        while let Some(Reverse((at_ms, _, event))) = fleet.due.pop() {
            fleet.now_ms = at_ms;
            fleet.happen(event);
        }
        fleet.seen.asked_at_ms.sort_unstable();
        fleet.seen.repeated_at_ms.sort_unstable();
        fleet.seen
    }
}

impl Fleet<'_> {
    fn at(&mut self, at_ms: u64, event: Event) {
        self.scheduled += 1;
        self.due.push(Reverse((at_ms, self.scheduled, event)));
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Trouble(index) => self.trouble(index),
            Event::Start(number) => self.start(number),
            Event::Tick => self.tick(),
            Event::Ask { vm, asked_at_ms, comes_back } => {
                if !self.put_off(vm, event) {
                    self.ask(vm, asked_at_ms, comes_back);
                }
            }
            Event::Write { flight, sending } => self.write(flight, sending, event),
            Event::Ended { flight, sending, refused } => {
                self.ended(flight, sending, refused, event);
            }
        }
    }

    fn trouble(&mut self, index: usize) {
        let (_, trouble, vms) = self.day.troubles[index].clone();
        for number in vms {
            let now_ms = self.now_ms;
            let vm = &mut self.vms[usize::from(number)];
            match trouble {
                Trouble::Kill { down_ms } => {
                    vm.steering = None;
                    self.at(now_ms + down_ms, Event::Start(number));
                }
                Trouble::Stop => {
                    if let Some(steering) = &mut vm.steering {
                        steering.vms_mut().begin_leaving();
                    }
                    self.at(now_ms + STOP_SERVING_MS, Event::Start(number));
                }
                Trouble::Suspend { for_ms } => vm.suspended_until_ms = now_ms + for_ms,
                Trouble::Join => self.start(number),
                Trouble::CutOff { for_ms } => vm.cut_off_until_ms = now_ms + for_ms,
            }
        }
    }

    fn start(&mut self, number: u8) {
        let mut vm = serving_vm(&name(number), "north-a", number, 4);
        for seed in (0..self.day.vms).filter(|seed| *seed != number).take(SEEDS.into()) {
            vm.vms_mut().add_address(([10, 0, 0, seed], 7_000).into(), self.now_ms);
        }
        let entry = &mut self.vms[usize::from(number)];
        entry.steering = Some(vm);
        entry.process += 1;
    }

    fn tick(&mut self) {
        let now_ms = self.now_ms;
        if now_ms % HEARTBEAT_MS == HEARTBEAT_MS / 2 {
            self.tell_each_other();
        }
        self.demand += self.day.demand_per_s.at(now_ms) * TICK_MS as f64 / 1_000.0;
        while self.demand >= 1.0 {
            self.demand -= 1.0;
            self.caller_asks(true);
        }
        if now_ms + TICK_MS < self.day.length_ms {
            self.at(now_ms + TICK_MS, Event::Tick);
        }
    }

    fn tell_each_other(&mut self) {
        let now_ms = self.now_ms;
        let speaks = |vm: &Vm| {
            vm.steering.is_some()
                && now_ms >= vm.suspended_until_ms
                && now_ms >= vm.cut_off_until_ms
        };
        let speaking: Vec<u8> =
            (0..self.day.vms).filter(|number| speaks(&self.vms[usize::from(*number)])).collect();
        for to in &speaking {
            for from in speaking.iter().filter(|from| *from != to) {
                let mut heard = heartbeat(&name(*from), "north-a", *from);
                let sender = &self.vms[usize::from(*from)];
                heard.state.boot_at_ms = sender.process;
                heard.state.leaving =
                    sender.steering.as_ref().is_some_and(|vm| vm.vms().is_leaving());
                if let Some(steering) = &mut self.vms[usize::from(*to)].steering {
                    steering.vms_mut().record_heartbeat(heard, now_ms);
                }
            }
        }
    }

    /// Lets a caller ask a VM that runs, if there is any.
    fn caller_asks(&mut self, comes_back: bool) {
        let now_ms = self.now_ms;
        self.seen.asked_at_ms.push(now_ms);
        let running: Vec<u8> = (0..self.day.vms)
            .filter(|number| self.vms[usize::from(*number)].steering.is_some())
            .collect();
        if let Some(vm) = self.rng.choice(running) {
            self.happen(Event::Ask { vm, asked_at_ms: now_ms, comes_back });
        }
    }

    /// Puts off what a suspended VM does until it wakes.
    fn put_off(&mut self, vm: u8, event: Event) -> bool {
        let until_ms = self.vms[usize::from(vm)].suspended_until_ms;
        let suspended = self.now_ms < until_ms;
        if suspended {
            self.at(until_ms, event);
        }
        suspended
    }

    fn ask(&mut self, vm: u8, asked_at_ms: u64, comes_back: bool) {
        if self.now_ms > asked_at_ms + PATIENCE_MS {
            return;
        }
        let entry = &mut self.vms[usize::from(vm)];
        let Some(steering) = &mut entry.steering else {
            return;
        };
        let object = self.rng.u64(0..50).to_string();
        let attempts = begin(steering, "/reads/1", &object, self.now_ms);
        let process = entry.process;
        self.flights.push(Some(Flight { vm, process, asked_at_ms, comes_back, attempts }));
        self.go_on(self.flights.len() - 1);
    }

    /// Takes the next step of a request.
    fn go_on(&mut self, flight: usize) {
        let now_ms = self.now_ms;
        let random = self.rng.u64(..);
        let Some(current) = &mut self.flights[flight] else {
            return;
        };
        let Some(steering) = &mut self.vms[usize::from(current.vm)].steering else {
            return;
        };
        match steering.next_step(&mut current.attempts, random, now_ms) {
            NextStep::Send(to) => {
                let repeat = current.attempts.delivered > 0;
                self.sendings.push((to, repeat));
                let sending = self.sendings.len() - 1;
                let connect_ms = if self.rng.f64() < NEW_CONNECTIONS { 2 * WAY_MS } else { 0 };
                self.at(now_ms + connect_ms, Event::Write { flight, sending });
            }
            NextStep::Reject { retry_after_ms, .. } => {
                let comes_back = current.comes_back;
                self.flights[flight] = None;
                if comes_back && now_ms + retry_after_ms < self.day.length_ms {
                    let asked_at_ms = now_ms + retry_after_ms;
                    // The caller asks whichever VM runs by then.
                    let vm = self.rng.u8(0..self.day.vms);
                    self.seen.asked_at_ms.push(asked_at_ms);
                    self.at(asked_at_ms, Event::Ask { vm, asked_at_ms, comes_back: false });
                }
            }
            NextStep::GiveUp { .. } => self.flights[flight] = None,
        }
    }

    /// Returns the VM of a request unless its process has ended.
    fn vm_of(&self, flight: usize) -> Option<u8> {
        let current = self.flights[flight].as_ref()?;
        let vm = &self.vms[usize::from(current.vm)];
        (vm.process == current.process && vm.steering.is_some()).then_some(current.vm)
    }

    fn write(&mut self, flight: usize, sending: usize, event: Event) {
        let Some(vm) = self.vm_of(flight) else {
            return;
        };
        if self.put_off(vm, event) {
            return;
        }
        let arrives_at_ms = self.now_ms + WAY_MS;
        if self.sendings[sending].1 {
            self.seen.repeated_at_ms.push(arrives_at_ms);
        }
        let refused = self.rng.f64() < self.day.refused_share.at(arrives_at_ms);
        let work_ms = if refused { 0 } else { WORK_MS };
        let ended = Event::Ended { flight, sending, refused };
        self.at(arrives_at_ms + work_ms + WAY_MS, ended);
    }

    fn ended(&mut self, flight: usize, sending: usize, refused: bool, event: Event) {
        let Some(vm) = self.vm_of(flight) else {
            return;
        };
        if self.put_off(vm, event) {
            return;
        }
        let now_ms = self.now_ms;
        let upstream = self.sendings[sending].0.upstream;
        let (Some(current), Some(steering)) =
            (&mut self.flights[flight], &mut self.vms[usize::from(vm)].steering)
        else {
            return;
        };
        let report = Some(LoadReport { running: 1, waiting: 0, slots: 3 });
        if refused {
            let outcome = AttemptOutcome::Refused { report };
            steering.record_outcome(&mut current.attempts, upstream, outcome, now_ms);
            self.go_on(flight);
        } else {
            let outcome = AttemptOutcome::Answered { failed: false, report, body_bytes: 100 };
            steering.record_outcome(&mut current.attempts, upstream, outcome, now_ms);
            self.seen.served_at_ms.push(current.asked_at_ms);
            self.flights[flight] = None;
        }
    }
}

fn name(number: u8) -> String {
    format!("a{number}")
}
