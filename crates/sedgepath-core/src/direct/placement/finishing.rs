//! The choice among candidates by the probability of finishing in time.

use super::Candidate;

/// The spread of the time that work takes, as a ratio of its expected time.
const WORK_SPREAD_RATIO: f64 = 0.25;

/// The spread of the wait for a slot, as a ratio of its expected time. The load of other VMs is known
/// only roughly.
const WAIT_SPREAD_RATIO: f64 = 0.5;

/// The lower bound of the spread of the response time, in milliseconds.
const MIN_SPREAD_MS: f64 = 5.0;

/// The difference of probabilities that doesn't count if a request may be sent again.
const REPEATABLE_MARGIN: f64 = 0.1;

/// The difference of probabilities that doesn't count if a request can't be sent twice.
const UNREPEATABLE_MARGIN: f64 = 0.02;

/// The factor by which the logistic function approximates the normal distribution.
const LOGISTIC_SCALE: f64 = 1.702;

/// The times by which a request should and must have its response.
#[derive(Debug, Clone, Copy)]
pub struct FinishLimits {
    /// The end of the route's target, in milliseconds.
    pub target_at_ms: u64,
    /// The end of the request's time limit, in milliseconds.
    pub deadline_at_ms: u64,
    /// Whether the request may be sent again after it may have run.
    pub is_repeatable: bool,
}

/// Returns the spread of a response time in milliseconds. `pace_uncertainty` is relative to the usual
/// pace, `usual_work_ms` is the work at that pace.
pub(super) fn spread_ms(
    wait_ms: f64,
    work_ms: f64,
    usual_work_ms: f64,
    pace_uncertainty: f64,
) -> f64 {
    let wait_spread_ms = wait_ms * WAIT_SPREAD_RATIO;
    let work_spread_ms = work_ms * WORK_SPREAD_RATIO;
    let pace_spread_ms = usual_work_ms * pace_uncertainty;
    wait_spread_ms.hypot(work_spread_ms).hypot(pace_spread_ms).max(MIN_SPREAD_MS)
}

impl FinishLimits {
    /// Removes the candidates that are less likely than others to finish within the target, then those that are
    /// less likely to finish within the time limit.
    pub(super) fn retain_likeliest(&self, candidates: &mut Vec<Candidate>, now_ms: u64) {
        for limit_at_ms in [self.target_at_ms, self.deadline_at_ms] {
            let left_ms = limit_at_ms.saturating_sub(now_ms) as f64;
            let best = candidates
                .iter()
                .map(|candidate| candidate.probability_within(left_ms))
                .fold(0.0, f64::max);
            let least = best - self.margin();
            candidates.retain(|candidate| candidate.probability_within(left_ms) >= least);
        }
    }

    fn margin(&self) -> f64 {
        if self.is_repeatable { REPEATABLE_MARGIN } else { UNREPEATABLE_MARGIN }
    }
}

impl Candidate {
    /// Returns the probability that the response comes within a time. Failures count as the time that they
    /// cost, so that an upstream that fails early isn't preferred.
    fn probability_within(&self, left_ms: f64) -> f64 {
        let deviations = (left_ms - self.finish_ms) / self.spread_ms;
        1.0 / (1.0 + (-LOGISTIC_SCALE * deviations).exp())
    }
}

/// Removes the candidates that would have to cache the object first, unless their cost is lower than that of all
/// others. The cost includes the one for a further cache, so that such a candidate has to finish earlier by
/// a clear margin.
pub(super) fn retain_warm(candidates: &mut Vec<Candidate>) {
    let least_warm_ms = candidates
        .iter()
        .filter(|candidate| !candidate.needs_cache)
        .map(|candidate| candidate.expected_ms)
        .fold(f64::INFINITY, f64::min);
    candidates.retain(|candidate| !candidate.needs_cache || candidate.expected_ms < least_warm_ms);
}
