//! The choice of a failure domain for a request.

use crate::key::{DomainKey, OriginKey, RegionKey, ServiceKey};
use crate::request::Class;

mod baselines;
mod by_headroom;

pub use baselines::{LeastLoadedPolicy, WeightedRandomPolicy};
pub use by_headroom::HeadroomPolicy;

/// A failure domain that a request could go to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CandidateDomain {
    /// The failure domain.
    pub domain: DomainKey,
    /// Its share by the record, from 0 to 1.
    pub share: f64,
    /// The slots that its owners have.
    pub slots: u32,
    /// Those taken, as last reported.
    pub in_flight: u32,
    /// Whether any of its owners has reported on the service.
    pub has_report: bool,
    /// The age of the oldest of those reports in milliseconds.
    pub report_age_ms: u64,
    /// The slots that its upstreams have by their records, but for those with a drain of their own.
    pub declared_slots: u32,
    /// Whether an entry VM of it takes work.
    pub accepts_work: bool,
    /// Whether traffic is to move away from it while it serves on: a drain takes it out of service,
    /// or all entry VMs of it that still take work are about to stop.
    pub leaving: bool,
    /// Its region, if a record names it.
    pub region: Option<RegionKey>,
}

impl CandidateDomain {
    /// Whether a request could be run there at all.
    pub fn is_usable(&self) -> bool {
        self.accepts_work && self.declared_slots > 0
    }

    /// Whether traffic may move there.
    pub fn accepts_more_traffic(&self) -> bool {
        self.is_usable() && !self.has_failed() && !self.leaving
    }

    /// Whether it has failed although no record takes it out of service: none of its entry VMs can
    /// be reached, or its owners can use none of its upstreams.
    pub fn has_failed(&self) -> bool {
        self.declared_slots > 0 && (!self.accepts_work || (self.has_report && self.slots == 0))
    }
}

/// What a choice is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SteeringRequest {
    /// The service.
    pub service: ServiceKey,
    /// The origin group of the caller.
    pub origin: OriginKey,
    /// The class of the request.
    pub class: Class,
    /// The index of the candidate where the request's traffic stands.
    pub home: usize,
}

/// Says where traffic should stand, and ranks the failure domains for a request.
///
/// The shift ledger and the owners still have to admit it, so a policy proposes and never decides
/// over a cap.
pub trait SteeringPolicy: std::fmt::Debug + Send {
    /// Returns the policy's name.
    fn name(&self) -> &'static str;

    /// Returns the shares of the candidates that the traffic should have, adding up to one; the
    /// ledger moves it there as fast as the cap allows.
    fn target_shares(&self, candidates: &[CandidateDomain]) -> Vec<f64> {
        declared_over_usable(candidates)
    }

    /// Returns the indexes of the candidates in the order in which to try them. All but the home
    /// cost a token of the ledger.
    fn rank(
        &self,
        choice: SteeringRequest,
        candidates: &[CandidateDomain],
        random: &mut fastrand::Rng,
    ) -> Vec<usize>;
}

/// Returns the record's shares with those of unusable candidates spread over the usable ones.
pub fn declared_over_usable(candidates: &[CandidateDomain]) -> Vec<f64> {
    let usable = |candidate: &CandidateDomain| {
        if candidate.is_usable() && !candidate.leaving { candidate.share } else { 0.0 }
    };
    let weights: Vec<_> = candidates.iter().map(usable).collect();
    let sum = weights.iter().sum::<f64>();
    if sum > 0.0 {
        return weights.iter().map(|weight| weight / sum).collect();
    }
    candidates.iter().map(|candidate| candidate.share).collect()
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
