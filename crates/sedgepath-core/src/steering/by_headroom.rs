//! The policy that ships: the record's shares, and headroom for what can't follow them.

use super::{Candidate, Choice, SteeringPolicy, draw_order};

/// Keeps a request at its home and draws alternatives by headroom.
#[derive(Debug)]
pub struct ByHeadroom;

impl SteeringPolicy for ByHeadroom {
    fn name(&self) -> &'static str {
        "by_headroom"
    }

    fn rank(
        &self,
        choice: Choice,
        candidates: &[Candidate],
        random: &mut fastrand::Rng,
    ) -> Vec<usize> {
        let mut weights: Vec<_> = candidates.iter().map(|candidate| candidate.share).collect();
        weights[choice.home] = 0.0;
        let others = draw_order(weights, random);
        std::iter::once(choice.home).chain(others).collect()
    }
}
