//! The choice of a failure domain for a request.

use crate::key::{DomainKey, OriginKey, ServiceKey};

/// A failure domain that a request could go to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The failure domain.
    pub domain: DomainKey,
    /// Its share by the record, from 0 to 1.
    pub share: f64,
    /// The slots that its owners have.
    pub slots: u32,
    /// Those taken, as last reported.
    pub in_flight: u32,
    /// The age of that report in milliseconds.
    pub report_age_ms: u64,
    /// The slots that its upstreams have by their records, drained ones left out.
    pub declared_slots: u32,
    /// Whether an entry VM of it takes work.
    pub serves: bool,
    /// Whether it is in the region of this node.
    pub same_region: bool,
    /// Whether it is the failure domain of this node.
    pub same_domain: bool,
}

/// What a choice is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// The service.
    pub service: ServiceKey,
    /// The origin group of the caller.
    pub origin: OriginKey,
}

/// Ranks the failure domains for a request.
///
/// The shift ledger and the owners still have to admit it, so a policy proposes and never decides
/// over a cap.
pub trait SteeringPolicy: std::fmt::Debug + Send {
    /// Returns the policy's name.
    fn name(&self) -> &'static str;

    /// Returns the indexes of the candidates in the order in which to try them.
    fn rank(
        &self,
        choice: Choice,
        candidates: &[Candidate],
        random: &mut fastrand::Rng,
    ) -> Vec<usize>;
}

/// Draws at random by the record's shares; a baseline.
#[derive(Debug)]
pub struct RandomByShare;

impl SteeringPolicy for RandomByShare {
    fn name(&self) -> &'static str {
        "random_by_share"
    }

    fn rank(
        &self,
        _choice: Choice,
        candidates: &[Candidate],
        random: &mut fastrand::Rng,
    ) -> Vec<usize> {
        draw_order(candidates.iter().map(|candidate| candidate.share).collect(), random)
    }
}

/// Orders indexes by repeated draws without replacement, each with a chance by its weight; those of
/// weight zero are left out.
pub fn draw_order(mut weights: Vec<f64>, random: &mut fastrand::Rng) -> Vec<usize> {
    let mut order = Vec::with_capacity(weights.len());
    loop {
        let sum = weights.iter().sum::<f64>();
        if sum <= 0.0 {
            return order;
        }
        let mut point = random.f64() * sum;
        let drawn = weights.iter().position(|weight| {
            point -= weight;
            *weight > 0.0 && point < 0.0
        });
        let Some(index) = drawn.or_else(|| weights.iter().rposition(|weight| *weight > 0.0)) else {
            return order;
        };
        weights[index] = 0.0;
        order.push(index);
    }
}
