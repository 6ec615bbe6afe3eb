//! An upstream: slots, a queue, the objects it remembers, and trouble.

use std::collections::VecDeque;

use sedgepath_core::direct::upstreams::LoadReport;

use crate::scenario::{TroubleKind, UpstreamModel};

/// How much the work for a request differs from the mean, either way, as a part of it.
const JITTER: f64 = 0.2;

/// A request as an upstream sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Work {
    /// Names the sending.
    pub sending: usize,
    /// What it is for.
    pub object: usize,
}

/// What an upstream does with a request that reaches it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Taken {
    /// It runs until this moment, in milliseconds.
    Runs {
        /// The moment.
        until_ms: u64,
    },
    /// It waits for a slot.
    Waits,
    /// It is refused.
    Refused,
    /// It fails at once.
    Fails,
    /// Nothing is ever heard of it.
    Lost,
    /// No connection can be made.
    Unreachable,
}

/// An upstream.
#[derive(Debug)]
pub struct Upstream {
    model: UpstreamModel,
    running: usize,
    waiting: VecDeque<Work>,
    /// The objects that it remembers, the last used last.
    warm: VecDeque<usize>,
    trouble: Option<TroubleKind>,
    cold_until_ms: u64,
    cold_arrivals: VecDeque<u64>,
    /// Requests that found their object remembered.
    pub warm_runs: usize,
    /// All requests that it began.
    pub runs: usize,
    /// How often it broke down under requests while it was cold.
    pub crashes: usize,
}

impl Upstream {
    /// Creates an upstream that remembers nothing.
    pub fn new(model: UpstreamModel) -> Self {
        Self {
            model,
            running: 0,
            waiting: VecDeque::new(),
            warm: VecDeque::new(),
            trouble: None,
            cold_until_ms: 0,
            cold_arrivals: VecDeque::new(),
            warm_runs: 0,
            runs: 0,
            crashes: 0,
        }
    }

    /// Begins or ends trouble. One that was gone starts cold, with nothing remembered.
    pub fn set_trouble(&mut self, trouble: Option<TroubleKind>, now_ms: u64) {
        if self.trouble == Some(TroubleKind::Gone) && trouble.is_none() {
            self.warm.clear();
            self.cold_until_ms = now_ms + self.model.cold_start_ms;
        }
        if trouble == Some(TroubleKind::Gone) {
            self.running = 0;
            self.waiting.clear();
        }
        self.trouble = trouble;
    }

    /// Whether it can't be connected to.
    pub fn is_gone(&self) -> bool {
        self.trouble == Some(TroubleKind::Gone)
    }

    /// Whether it answers nothing.
    pub fn is_silent(&self) -> bool {
        self.trouble == Some(TroubleKind::Silent)
    }

    /// Takes in a request.
    pub fn take(&mut self, work: Work, now_ms: u64, random: &mut fastrand::Rng) -> Taken {
        self.note_cold_arrival(now_ms);
        match self.trouble {
            Some(TroubleKind::Gone) => return Taken::Unreachable,
            Some(TroubleKind::Silent) => return Taken::Lost,
            Some(TroubleKind::Failing(part)) if random.f64() < part => return Taken::Fails,
            _ => {}
        }
        if self.running < self.model.slots {
            return Taken::Runs { until_ms: self.run(work, now_ms, random) };
        }
        if self.waiting.len() >= self.model.queue {
            return Taken::Refused;
        }
        self.waiting.push_back(work);
        Taken::Waits
    }

    /// Ends a request that ran; returns the one that takes its slot, with its end in milliseconds.
    ///
    /// `is_wanted` says whether anybody still waits for a request.
    pub fn end(
        &mut self,
        now_ms: u64,
        random: &mut fastrand::Rng,
        is_wanted: impl Fn(Work) -> bool,
    ) -> Option<(Work, u64)> {
        self.running = self.running.saturating_sub(1);
        while self.running < self.model.slots {
            let next = self.waiting.pop_front()?;
            if is_wanted(next) {
                return Some((next, self.run(next, now_ms, random)));
            }
        }
        None
    }

    /// Returns what it says of its load.
    pub fn report(&self) -> LoadReport {
        LoadReport {
            running: self.running as u32,
            waiting: self.waiting.len() as u32,
            slots: self.model.slots as u32,
        }
    }

    fn run(&mut self, work: Work, now_ms: u64, random: &mut fastrand::Rng) -> u64 {
        self.running += 1;
        self.runs += 1;
        let known = self.warm.iter().position(|object| *object == work.object);
        let mut work_ms = self.model.cold_ms;
        if let Some(place) = known {
            self.warm.remove(place);
            self.warm_runs += 1;
            work_ms = self.model.warm_ms;
        } else if self.warm.len() >= self.model.warm_objects {
            self.warm.pop_front();
        }
        self.warm.push_back(work.object);
        let slow = match self.trouble {
            Some(TroubleKind::Slow(factor)) => factor,
            _ => 1.0,
        };
        let jitter = 1.0 + JITTER * (2.0 * random.f64() - 1.0);
        now_ms + ((work_ms as f64 * slow * jitter) as u64).max(1)
    }

    /// Counts a request that comes while it is cold; above the rate that it bears it starts anew.
    fn note_cold_arrival(&mut self, now_ms: u64) {
        if now_ms >= self.cold_until_ms {
            return;
        }
        self.cold_arrivals.push_back(now_ms);
        while self.cold_arrivals.front().is_some_and(|at_ms| at_ms + 1_000 <= now_ms) {
            self.cold_arrivals.pop_front();
        }
        // Two VMs that disagree on who sends there are borne.
        if self.cold_arrivals.len() as f64 > 2.0 * self.model.cold_per_s {
            self.crashes += 1;
            self.cold_arrivals.clear();
            self.warm.clear();
            self.cold_until_ms = now_ms + self.model.cold_start_ms;
        }
    }
}
