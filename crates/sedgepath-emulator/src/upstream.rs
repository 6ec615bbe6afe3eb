//! The model of an upstream: slots, a queue, a cache of warm objects, and faults.

use std::collections::VecDeque;

use sedgepath_core::direct::upstreams::LoadReport;

use crate::scenario::{FaultKind, UpstreamModel};

/// The largest deviation of a request's service time from the mean, as a ratio of it.
const SERVICE_TIME_JITTER_RATIO: f64 = 0.2;

/// The part of an attempt that an upstream works on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Work {
    /// The index of the attempt.
    pub attempt: usize,
    /// The index of the object that the request concerns.
    pub object: usize,
}

/// How an upstream reacts to an attempt that reaches it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The attempt takes a slot at once.
    Started {
        /// The simulated time at which the work completes, in milliseconds.
        until_ms: u64,
    },
    /// The attempt waits for a slot.
    Queued,
    /// The queue is full.
    Rejected,
    /// The upstream responds with an error at once.
    Failed,
    /// The upstream accepts the attempt and never responds.
    Unanswered,
    /// No connection can be made.
    Unreachable,
}

/// An upstream and its state at the current simulated time.
#[derive(Debug)]
pub struct Upstream {
    model: UpstreamModel,
    running: usize,
    waiting: VecDeque<Work>,
    /// The warm objects, the most recently used last.
    warm: VecDeque<usize>,
    fault: Option<FaultKind>,
    cold_until_ms: u64,
    cold_arrivals_at_ms: VecDeque<u64>,
    /// The started requests whose object was warm.
    pub warm_runs: usize,
    /// All started requests.
    pub runs: usize,
    /// How often too many requests crashed the upstream while it was cold.
    pub crashes: usize,
}

impl Upstream {
    /// Creates an upstream without warm objects, past its cold start.
    pub fn new(model: UpstreamModel) -> Self {
        Self {
            model,
            running: 0,
            waiting: VecDeque::new(),
            warm: VecDeque::new(),
            fault: None,
            cold_until_ms: 0,
            cold_arrivals_at_ms: VecDeque::new(),
            warm_runs: 0,
            runs: 0,
            crashes: 0,
        }
    }

    /// Begins or ends a fault. An upstream that was down starts cold and without warm objects.
    pub fn set_fault(&mut self, fault: Option<FaultKind>, now_ms: u64) {
        if self.fault == Some(FaultKind::Down) && fault.is_none() {
            self.warm.clear();
            self.cold_until_ms = now_ms + self.model.cold_start_ms;
        }
        if fault == Some(FaultKind::Down) {
            self.running = 0;
            self.waiting.clear();
        }
        self.fault = fault;
    }

    /// Whether connections to the upstream fail.
    pub fn is_down(&self) -> bool {
        self.fault == Some(FaultKind::Down)
    }

    /// Whether the upstream accepts requests without ever responding.
    pub fn is_unresponsive(&self) -> bool {
        self.fault == Some(FaultKind::Unresponsive)
    }

    /// Starts, queues or rejects an attempt, or lets it fail as the current fault demands.
    pub fn admit(&mut self, work: Work, now_ms: u64, random: &mut fastrand::Rng) -> Admission {
        self.record_cold_arrival(now_ms);
        match self.fault {
            Some(FaultKind::Down) => return Admission::Unreachable,
            Some(FaultKind::Unresponsive) => return Admission::Unanswered,
            Some(FaultKind::Failing(ratio)) if random.f64() < ratio => return Admission::Failed,
            _ => {}
        }
        if self.running < self.model.slots {
            return Admission::Started { until_ms: self.start(work, now_ms, random) };
        }
        if self.waiting.len() >= self.model.queue_capacity {
            return Admission::Rejected;
        }
        self.waiting.push_back(work);
        Admission::Queued
    }

    /// Frees the slot of completed work and starts the next queued work that is still wanted.
    ///
    /// Returns the started work with its completion time in milliseconds. `is_wanted` says whether
    /// a VM still waits for the response.
    pub fn complete(
        &mut self,
        now_ms: u64,
        random: &mut fastrand::Rng,
        is_wanted: impl Fn(Work) -> bool,
    ) -> Option<(Work, u64)> {
        self.running = self.running.saturating_sub(1);
        while self.running < self.model.slots {
            let next = self.waiting.pop_front()?;
            if is_wanted(next) {
                return Some((next, self.start(next, now_ms, random)));
            }
        }
        None
    }

    /// Returns the load report that the upstream attaches to a response.
    pub fn load_report(&self) -> LoadReport {
        let waiting = self.waiting.len() as u32;
        LoadReport::new(self.running as u32, waiting, self.model.slots as u32)
    }

    /// Takes a slot and returns the completion time in milliseconds.
    fn start(&mut self, work: Work, now_ms: u64, random: &mut fastrand::Rng) -> u64 {
        self.running += 1;
        self.runs += 1;
        let warm_index = self.warm.iter().position(|object| *object == work.object);
        let mut work_ms = self.model.cold_ms;
        if let Some(index) = warm_index {
            self.warm.remove(index);
            self.warm_runs += 1;
            work_ms = self.model.warm_ms;
        } else if self.warm.len() >= self.model.warm_objects {
            self.warm.pop_front();
        }
        self.warm.push_back(work.object);
        let slowdown = match self.fault {
            Some(FaultKind::Slow(factor)) => factor,
            _ => 1.0,
        };
        let jitter = 1.0 + SERVICE_TIME_JITTER_RATIO * (2.0 * random.f64() - 1.0);
        now_ms + ((work_ms as f64 * slowdown * jitter) as u64).max(1)
    }

    /// Counts an arrival during a cold start; too many within a second restart the cold start.
    fn record_cold_arrival(&mut self, now_ms: u64) {
        if now_ms >= self.cold_until_ms {
            return;
        }
        self.cold_arrivals_at_ms.push_back(now_ms);
        while self.cold_arrivals_at_ms.front().is_some_and(|at_ms| at_ms + 1_000 <= now_ms) {
            self.cold_arrivals_at_ms.pop_front();
        }
        // The factor tolerates two VMs that each believe they own the upstream's cold-start rate.
        if self.cold_arrivals_at_ms.len() as f64 > 2.0 * self.model.cold_requests_per_s {
            self.crashes += 1;
            self.cold_arrivals_at_ms.clear();
            self.warm.clear();
            self.cold_until_ms = now_ms + self.model.cold_start_ms;
        }
    }
}
