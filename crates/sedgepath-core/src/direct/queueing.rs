//! How long a request may wait for a slot of its upstream before it is better refused.

use crate::hash::Map;

use super::attempts::RequestState;
use super::placement::Candidate;

/// The part of a request's time that its expected answer may take up; the rest is for the estimate's
/// error.
const USABLE_TIME: f64 = 0.9;

/// How many times its route's target a request may be expected to take and yet be sent, while queues
/// come and go. A burst is served late rather than refused.
pub const CALM_TARGET_FACTOR: f64 = 2.0;

/// The same while the queues stand.
pub const PRESSED_TARGET_FACTOR: f64 = 0.95;

/// The weight of one request in the share of requests that find a queue: the last fifty or so count.
const PRESSURE_WEIGHT: f64 = 0.02;

/// The wait for a slot that any request may have, in milliseconds, also one whose work takes longer
/// than its target by itself.
const MIN_WAIT_MS: f64 = 100.0;

/// How many times its route's target a request may be expected to take and yet be sent; the figures in
/// force are the default.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueueTolerance {
    /// See [`CALM_TARGET_FACTOR`].
    pub idle_target_factor: f64,
    /// See [`PRESSED_TARGET_FACTOR`].
    pub loaded_target_factor: f64,
}

impl Default for QueueTolerance {
    fn default() -> Self {
        Self { idle_target_factor: CALM_TARGET_FACTOR, loaded_target_factor: PRESSED_TARGET_FACTOR }
    }
}

impl QueueTolerance {
    fn factor(self, pressure: f64) -> f64 {
        self.idle_target_factor + pressure * (self.loaded_target_factor - self.idle_target_factor)
    }
}

/// Whether the queues of each service stand, or come and go.
#[derive(Debug, Default)]
pub struct Pressure {
    shares: Map<Box<str>, f64>,
}

impl Pressure {
    /// Counts a request, and returns the share of the service's last ones that found a queue at
    /// their best upstream.
    pub fn note(&mut self, service: &str, waits: bool) -> f64 {
        if !self.shares.contains_key(service) {
            self.shares.insert(service.into(), 0.0);
        }
        let share = self.shares.entry(service.into()).or_default();
        *share += PRESSURE_WEIGHT * (f64::from(waits) - *share);
        *share
    }
}

/// Returns how long a request may wait for a slot.
///
/// With more requests than slots a queue that stands only makes all answers late, the first as well as
/// the last: as many are served with a short one, in time, and the others are told so at once. A queue
/// that comes and goes is a burst, which is better served late. `pressure`, by [`Pressure::note`],
/// tells the two apart.
pub fn most_wait_ms(
    attempts: &RequestState,
    candidate: &Candidate,
    patience: QueueTolerance,
    pressure: f64,
    now_ms: u64,
) -> f64 {
    let factor = patience.factor(pressure);
    let work_ms = candidate.expected_ms - candidate.wait_ms;
    let by_target_ms = attempts.route.target_ms as f64 * factor - work_ms;
    let left_ms = attempts.deadline_at_ms.saturating_sub(now_ms) as f64;
    let by_deadline_ms = (left_ms * USABLE_TIME - work_ms).max(0.0);
    by_target_ms.max(MIN_WAIT_MS).min(by_deadline_ms)
}
