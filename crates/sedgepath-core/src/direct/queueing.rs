//! The longest time that a request may wait for a slot of its upstream.

use crate::hash::Map;

use super::attempts::RequestState;
use super::placement::Candidate;

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

/// The shares of priorities among each service's recent requests.
#[derive(Debug, Default)]
pub struct PriorityShares {
    services: Map<Box<str>, [f64; MAX_PRIORITIES]>,
}

impl PriorityShares {
    /// Records a request and returns by how much queues count for it: 1 if all requests of its service
    /// have its priority, down to 0 if nearly all others are less urgent, and up to 2 if nearly all are
    /// more urgent.
    pub fn record(&mut self, service: &str, priority: u32) -> f64 {
        if !self.services.contains_key(service) {
            self.services.insert(service.into(), [0.0; MAX_PRIORITIES]);
        }
        let shares = self.services.entry(service.into()).or_default();
        let index = (priority as usize).min(MAX_PRIORITIES - 1);
        for (other, share) in shares.iter_mut().enumerate() {
            *share += PRIORITY_SAMPLE_WEIGHT * (f64::from(other == index) - *share);
        }
        let total: f64 = shares.iter().sum();
        let more_urgent: f64 = shares[..index].iter().sum();
        (2.0 * more_urgent + shares[index]) / total
    }
}

/// The share of each service's recent requests that found a queue.
#[derive(Debug, Default)]
pub struct QueuePressure {
    shares: Map<Box<str>, f64>,
}

impl QueuePressure {
    /// Records whether a request finds a queue at the upstream chosen for it, and returns the share of
    /// the service's recent requests that did.
    pub fn record(&mut self, service: &str, found_queue: bool) -> f64 {
        if !self.shares.contains_key(service) {
            self.shares.insert(service.into(), 0.0);
        }
        let share = self.shares.entry(service.into()).or_default();
        *share += PRESSURE_SAMPLE_WEIGHT * (f64::from(found_queue) - *share);
        *share
    }
}

/// Returns the longest time that a request may wait for a slot, in milliseconds.
///
/// Under overload a long queue delays all responses without raising throughput, so the bound
/// shrinks; a short-lived queue is a burst, which is served late. `pressure`, from
/// [`QueuePressure::record`] and [`PriorityShares::record`], tells the two apart, and leaves the queue
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
    let remaining_ms = request.deadline_at_ms.saturating_sub(now_ms) as f64;
    let by_deadline_ms = (remaining_ms * USABLE_TIME_SHARE - work_ms).max(0.0);
    by_target_ms.max(MIN_TARGET_WAIT_MS).min(by_deadline_ms)
}
