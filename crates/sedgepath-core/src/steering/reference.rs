//! Reference policies for comparison with the default policy.

use super::{CandidateDomain, SteeringPolicy, SteeringRequest, weighted_random_order};

/// Orders domains by random draws weighted with the record's shares.
#[derive(Debug)]
pub struct WeightedRandomPolicy;

impl SteeringPolicy for WeightedRandomPolicy {
    fn name(&self) -> &'static str {
        "random_by_share"
    }

    fn rank(
        &self,
        _request: SteeringRequest,
        candidates: &[CandidateDomain],
        random: &mut fastrand::Rng,
    ) -> Vec<usize> {
        weighted_random_order(candidates.iter().map(|candidate| candidate.share).collect(), random)
    }
}

/// Orders domains by their last reported load, lowest first, regardless of the report's age.
#[derive(Debug)]
pub struct LeastLoadedPolicy;

impl SteeringPolicy for LeastLoadedPolicy {
    fn name(&self) -> &'static str {
        "least_loaded_by_last_report"
    }

    fn rank(
        &self,
        _request: SteeringRequest,
        candidates: &[CandidateDomain],
        _random: &mut fastrand::Rng,
    ) -> Vec<usize> {
        let load = |index: &usize| {
            let candidate = &candidates[*index];
            f64::from(candidate.in_flight) / f64::from(candidate.slots.max(1))
        };
        let mut order: Vec<_> =
            (0..candidates.len()).filter(|index| candidates[*index].share > 0.0).collect();
        order.sort_by(|a, b| load(a).total_cmp(&load(b)));
        order
    }
}
