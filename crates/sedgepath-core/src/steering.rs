//! Steering policies, which choose failure domains for requests.

use crate::key::{DomainKey, OriginKey, RegionKey, ServiceKey};
use crate::request::Class;

mod headroom;
mod reference;

pub use headroom::HeadroomPolicy;
pub use reference::{LeastLoadedPolicy, WeightedRandomPolicy};

/// The state of a failure domain that a request could be sent to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CandidateDomain {
    /// The key of the failure domain.
    pub domain: DomainKey,
    /// The domain's share in the record, from 0 to 1.
    pub share: f64,
    /// The number of slots that the domain's owners report.
    pub slots: u32,
    /// The number of slots in use according to the same reports.
    pub in_flight: u32,
    /// Whether any serving VM of the domain has reported on the service.
    pub has_report: bool,
    /// The age of the oldest report used, in milliseconds.
    pub report_age_ms: u64,
    /// The number of slots that the records declare for the domain's upstreams, excluding upstreams
    /// with a drain of their own.
    pub declared_slots: u32,
    /// Whether any entry VM of the domain serves.
    pub accepts_work: bool,
    /// Whether traffic must move away while the domain keeps serving: the domain is drained, or all of
    /// its serving entry VMs are about to stop.
    pub leaving: bool,
    /// The domain's region, if a record defines it.
    pub region: Option<RegionKey>,
}

impl CandidateDomain {
    /// Returns whether the domain serves and has slots for the service.
    pub fn is_usable(&self) -> bool {
        self.accepts_work && self.declared_slots > 0
    }

    /// Returns whether traffic may move to the domain.
    pub fn accepts_more_traffic(&self) -> bool {
        self.is_usable() && !self.has_failed() && !self.leaving
    }

    /// Returns whether the domain has failed: no entry VM of it serves, or its owners report that
    /// they can use none of its upstreams.
    pub fn has_failed(&self) -> bool {
        self.declared_slots > 0 && (!self.accepts_work || (self.has_report && self.slots == 0))
    }
}

/// The properties of a request that a policy considers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SteeringRequest {
    /// The requested service.
    pub service: ServiceKey,
    /// The origin group of the caller.
    pub origin: OriginKey,
    /// The class of the request.
    pub class: Class,
    /// The index of the candidate that the shift ledger assigned to the request.
    pub home: usize,
}

/// Computes target shares of traffic, and ranks the failure domains for a request.
///
/// The shift ledger enforces caps and the owners admit requests, so a policy cannot exceed a cap.
pub trait SteeringPolicy: std::fmt::Debug + Send {
    /// Returns the name that identifies the policy in diagnostic output.
    fn name(&self) -> &'static str;

    /// Returns the target shares of the candidates, which add up to one; the ledger moves traffic
    /// toward them as fast as the cap allows.
    fn target_shares(&self, candidates: &[CandidateDomain]) -> Vec<f64> {
        usable_shares(candidates)
    }

    /// Returns the indexes of the candidates in the order to try them. Every candidate except the
    /// home costs a ledger token.
    fn rank(
        &self,
        request: SteeringRequest,
        candidates: &[CandidateDomain],
        random: &mut fastrand::Rng,
    ) -> Vec<usize>;
}

/// Returns the record's shares, with the shares of unusable or leaving candidates distributed over
/// the others in proportion.
pub fn usable_shares(candidates: &[CandidateDomain]) -> Vec<f64> {
    let weight = |candidate: &CandidateDomain| {
        if candidate.is_usable() && !candidate.leaving { candidate.share } else { 0.0 }
    };
    let weights: Vec<_> = candidates.iter().map(weight).collect();
    let sum = weights.iter().sum::<f64>();
    if sum > 0.0 {
        return weights.iter().map(|weight| weight / sum).collect();
    }
    candidates.iter().map(|candidate| candidate.share).collect()
}

/// Returns indexes in the order of weighted random draws without replacement; indexes with weight
/// zero are omitted.
pub fn weighted_random_order(mut weights: Vec<f64>, random: &mut fastrand::Rng) -> Vec<usize> {
    let mut order = Vec::with_capacity(weights.len());
    loop {
        let sum = weights.iter().sum::<f64>();
        if sum <= 0.0 {
            return order;
        }
        let mut point = random.f64() * sum;
        let drawn_index = weights.iter().position(|weight| {
            point -= weight;
            *weight > 0.0 && point < 0.0
        });
        let Some(index) = drawn_index.or_else(|| weights.iter().rposition(|weight| *weight > 0.0))
        else {
            return order;
        };
        weights[index] = 0.0;
        order.push(index);
    }
}
