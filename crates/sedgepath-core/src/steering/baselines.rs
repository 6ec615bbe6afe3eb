//! Policies to measure the shipping one against.

use super::{CandidateDomain, SteeringPolicy, SteeringRequest, draw_order};

/// Draws at random by the record's shares.
#[derive(Debug)]
pub struct WeightedRandomPolicy;

impl SteeringPolicy for WeightedRandomPolicy {
    fn name(&self) -> &'static str {
        "random_by_share"
    }

    fn rank(
        &self,
        _choice: SteeringRequest,
        candidates: &[CandidateDomain],
        random: &mut fastrand::Rng,
    ) -> Vec<usize> {
        draw_order(candidates.iter().map(|candidate| candidate.share).collect(), random)
    }
}

/// Takes the domain with the least load by its last report, whatever the report's age.
#[derive(Debug)]
pub struct LeastLoadedPolicy;

impl SteeringPolicy for LeastLoadedPolicy {
    fn name(&self) -> &'static str {
        "least_loaded_by_last_report"
    }

    fn rank(
        &self,
        _choice: SteeringRequest,
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
