//! The longest time that a request may wait for a slot of its upstream.

use crate::direct::attempts::RequestState;
use crate::direct::placement::Candidate;

/// The share of the time until a request's deadline that its expected response time may take up; the
/// rest covers the error of the estimate.
const USABLE_TIME_SHARE: f64 = 0.9;

/// The longest expected response time of a request that is sent while queues are short-lived, as a
/// multiple of its route's target. A burst is served late rather than rejected.
pub const IDLE_TARGET_FACTOR: f64 = 2.0;

/// The longest expected response time of a request that is sent while queues persist, as a multiple
/// of its route's target.
pub const LOADED_TARGET_FACTOR: f64 = 0.95;

/// The weight of a new sample in the moving share of requests that find a queue: about the last fifty
/// count.
const PRESSURE_SAMPLE_WEIGHT: f64 = 0.02;

/// The share of recent requests that find a queue from which on queues count as persistent.
const PERSISTENT_SHARE: f64 = 0.7;

/// The share below which they no longer do.
const TRANSIENT_SHARE: f64 = 0.5;

/// The time after which the last queue that a request found is over, in milliseconds.
const NO_QUEUE_MS: u64 = 1_000;

/// The weight of a new sample that found no queue once an overload seems over: about the last ten
/// count, so that its end is noticed in time where there are few requests.
const PRESSURE_RELEASE_WEIGHT: f64 = 0.1;

/// The least wait for a slot that a route's target allows, in milliseconds, even if the work alone
/// exceeds the target.
const MIN_TARGET_WAIT_MS: f64 = 100.0;

/// The longest expected response times of requests that are sent, as multiples of their route's
/// target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueueTolerance {
    /// See [`IDLE_TARGET_FACTOR`].
    pub idle_target_factor: f64,
    /// See [`LOADED_TARGET_FACTOR`].
    pub loaded_target_factor: f64,
}

impl Default for QueueTolerance {
    fn default() -> Self {
        Self { idle_target_factor: IDLE_TARGET_FACTOR, loaded_target_factor: LOADED_TARGET_FACTOR }
    }
}

impl QueueTolerance {
    /// Returns the multiple of the target for a pressure, which may exceed 1 for requests that are less
    /// urgent than most.
    fn factor(self, pressure: f64) -> f64 {
        let loaded = self.loaded_target_factor - self.idle_target_factor;
        (self.idle_target_factor + pressure * loaded).max(0.0)
    }
}

/// The most priorities of a service that are told apart; further ones count as the last.
const MAX_PRIORITIES: usize = 16;

/// The weight of a new sample in the shares of priorities: about the last two hundred requests count.
const PRIORITY_SAMPLE_WEIGHT: f64 = 0.005;

/// By how much queues count for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Urgency {
    /// 1 if all requests of the service have the request's priority, down to 0 if nearly all others are
    /// less urgent, and up to 2 if nearly all are more urgent.
    pub weight: f64,
    /// The share of the service's recent requests that are more urgent.
    pub more_urgent_share: f64,
}

/// The shares of priorities among a service's recent requests.
#[derive(Debug, Default)]
pub struct PriorityShares {
    shares: [f64; MAX_PRIORITIES],
}

impl PriorityShares {
    /// Records a request.
    pub fn record(&mut self, priority: u32) {
        let index = priority_index(priority);
        for (other, share) in self.shares.iter_mut().enumerate() {
            *share += PRIORITY_SAMPLE_WEIGHT * (f64::from(other == index) - *share);
        }
    }

    /// Returns by how much queues count for a request of a recorded priority.
    pub fn urgency(&self, priority: u32) -> Urgency {
        let index = priority_index(priority);
        let total: f64 = self.shares.iter().sum();
        let more_urgent: f64 = self.shares[..index].iter().sum();
        Urgency {
            weight: (2.0 * more_urgent + self.shares[index]) / total,
            more_urgent_share: more_urgent / total,
        }
    }
}

fn priority_index(priority: u32) -> usize {
    (priority as usize).min(MAX_PRIORITIES - 1)
}

/// The share of a service's recent requests that found a queue.
#[derive(Debug, Default)]
pub struct QueuePressure {
    share: f64,
    persists: bool,
    queue_found_at_ms: u64,
}

impl QueuePressure {
    /// Records whether a request finds a queue at the upstream chosen for it.
    ///
    /// The share is 0 again once no request has found a queue for some time, however few requests there
    /// are.
    /// A persistent queue ends sooner if returning requests were rejected before, but none lately.
    pub fn record(&mut self, found_queue: bool, returning_no_longer_rejected: bool, now_ms: u64) {
        let weight = if self.persists && returning_no_longer_rejected && !found_queue {
            PRESSURE_RELEASE_WEIGHT
        } else {
            PRESSURE_SAMPLE_WEIGHT
        };
        self.share += weight * (f64::from(found_queue) - self.share);
        if found_queue {
            self.queue_found_at_ms = now_ms;
        } else if now_ms >= self.queue_found_at_ms + NO_QUEUE_MS {
            self.share = 0.0;
        }
        let min_share = if self.persists { TRANSIENT_SHARE } else { PERSISTENT_SHARE };
        self.persists = self.share >= min_share;
    }

    /// Returns the share of recent requests that found a queue.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Returns how far queues persist: 0 up to `TRANSIENT_SHARE`, and 1 if all recent requests found
    /// one.
    pub fn persistence(&self) -> f64 {
        ((self.share - TRANSIENT_SHARE) / (1.0 - TRANSIENT_SHARE)).max(0.0)
    }

    /// Returns whether most recent requests found a queue.
    pub fn queues_persist(&self) -> bool {
        self.persists
    }
}

/// Returns the longest time that a request may wait for a slot, in milliseconds.
///
/// Under overload a long queue delays all responses without raising throughput, so the bound
/// shrinks; a short-lived queue is a burst, which is served late. `pressure`, from
/// [`QueuePressure::share`] and [`PriorityShares::urgency`], tells the two apart, and leaves the queue
/// to urgent requests.
pub fn max_wait_ms(
    request: &RequestState,
    candidate: &Candidate,
    tolerance: QueueTolerance,
    pressure: f64,
    now_ms: u64,
) -> f64 {
    let factor = tolerance.factor(pressure);
    let work_ms = candidate.expected_ms - candidate.wait_ms;
    let by_target_ms = request.route.target_ms as f64 * factor - work_ms;
    let by_deadline_ms = max_wait_by_deadline_ms(request, candidate, now_ms);
    by_target_ms.max(MIN_TARGET_WAIT_MS).min(by_deadline_ms)
}

/// Returns the longest time that a request may wait for a slot if it is to end by its deadline, in
/// milliseconds.
pub fn max_wait_by_deadline_ms(request: &RequestState, candidate: &Candidate, now_ms: u64) -> f64 {
    let work_ms = candidate.expected_ms - candidate.wait_ms;
    let remaining_ms = request.deadline_at_ms.saturating_sub(now_ms) as f64;
    (remaining_ms * USABLE_TIME_SHARE - work_ms).max(0.0)
}
