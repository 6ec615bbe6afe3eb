//! The default policy: the record's shares, adjusted by headroom.
//!
//! A nearly full domain keeps less than its share, and a domain that cannot serve keeps nothing.
//! The excess goes to domains with spare slots, mainly in the same region. The adjustment is
//! proportional to the load, so that it converges, and the shift ledger limits its rate.
//!
//! Reports lag. The weight of a report decreases with its age, and a domain with a stale or missing
//! report is treated as having an assumed load, so that callers don't all move to a domain that was
//! idle some time ago.

use super::{CandidateDomain, SteeringPolicy, SteeringRequest, weighted_random_order};
use crate::request::Class;

/// The load above which a domain keeps less than its share.
const BUSY_LOAD: f64 = 0.85;

/// The fraction of its share that a full domain keeps.
const MIN_KEPT_FRACTION: f64 = 0.4;

/// The age up to which a report has full weight, in milliseconds; covers the interval between
/// summaries from another failure domain and their transit.
const FRESH_REPORT_AGE_MS: f64 = 1_000.0;

/// The age from which a report has no weight, in milliseconds.
const STALE_REPORT_AGE_MS: f64 = 3_000.0;

/// The weight of a domain in the same region relative to a distant one with as many spare slots.
const SAME_REGION_WEIGHT: f64 = 8.0;

/// A policy that steers by the record's shares and by headroom.
#[derive(Debug, Default)]
pub struct HeadroomPolicy {
    ignores_report_age: bool,
}

impl HeadroomPolicy {
    /// Creates the default policy.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a policy that treats every report as fresh, for comparison with the default.
    pub fn without_age_discount() -> Self {
        Self { ignores_report_age: true }
    }

    /// Returns the candidates with the report ages that the policy uses.
    fn with_effective_ages(&self, candidates: &[CandidateDomain]) -> Vec<CandidateDomain> {
        let with_effective_age = |candidate: &CandidateDomain| {
            let report_age_ms = if self.ignores_report_age { 0 } else { candidate.report_age_ms };
            CandidateDomain { report_age_ms, ..*candidate }
        };
        candidates.iter().map(with_effective_age).collect()
    }
}

impl SteeringPolicy for HeadroomPolicy {
    fn name(&self) -> &'static str {
        "by_headroom"
    }

    fn target_shares(&self, candidates: &[CandidateDomain]) -> Vec<f64> {
        let candidates = &self.with_effective_ages(candidates);
        let mut target: Vec<f64> =
            candidates.iter().map(|candidate| candidate.share * kept_fraction(candidate)).collect();
        for (from, candidate) in candidates.iter().enumerate() {
            let excess_share = candidate.share - candidate.share * kept_fraction(candidate);
            if excess_share <= 0.0 {
                continue;
            }
            let weights = receiver_weights(from, candidates);
            let sum = weights.iter().sum::<f64>();
            if sum <= 0.0 {
                target[from] += excess_share;
                continue;
            }
            for (share, weight) in target.iter_mut().zip(&weights) {
                *share += excess_share * weight / sum;
            }
        }
        target
    }

    fn rank(
        &self,
        request: SteeringRequest,
        candidates: &[CandidateDomain],
        random: &mut fastrand::Rng,
    ) -> Vec<usize> {
        let candidates = &self.with_effective_ages(candidates);
        let home = &candidates[request.home];
        // Trial and guest requests must not displace paying requests of other regions.
        let may_leave_region = request.class == Class::Paying || !home.is_usable();
        let weights = (0..candidates.len()).map(|index| {
            let reachable = may_leave_region || is_same_region(home, &candidates[index]);
            if index == request.home || !reachable {
                0.0
            } else {
                receiver_weight(home, &candidates[index])
            }
        });
        let mut order = weighted_random_order(weights.collect(), random);
        let is_home_last = request.class == Class::Paying && is_full(home);
        let home_position = if is_home_last { order.len() } else { 0 };
        order.insert(home_position, request.home);
        order
    }
}

/// Returns the weight of a domain's report, from 0 to 1.
fn report_weight(candidate: &CandidateDomain) -> f64 {
    if !candidate.has_report {
        return 0.0;
    }
    let age_ms = candidate.report_age_ms as f64;
    ((STALE_REPORT_AGE_MS - age_ms) / (STALE_REPORT_AGE_MS - FRESH_REPORT_AGE_MS)).clamp(0.0, 1.0)
}

fn load(candidate: &CandidateDomain) -> f64 {
    f64::from(candidate.in_flight) / f64::from(candidate.slots.max(1))
}

fn is_full(candidate: &CandidateDomain) -> bool {
    report_weight(candidate) >= 1.0 && load(candidate) >= 1.0
}

/// Returns the fraction of its share that a domain keeps, from 0 to 1.
fn kept_fraction(candidate: &CandidateDomain) -> f64 {
    if !candidate.accepts_more_traffic() {
        return 0.0;
    }
    let overload = ((load(candidate) - BUSY_LOAD) / (1.0 - BUSY_LOAD)).clamp(0.0, 1.0);
    1.0 - overload * (1.0 - MIN_KEPT_FRACTION) * report_weight(candidate)
}

/// Returns the weights with which domains receive the traffic that leaves one of them; all are zero
/// if the traffic should stay.
fn receiver_weights(from: usize, candidates: &[CandidateDomain]) -> Vec<f64> {
    let weights_of_others = |weight: fn(&CandidateDomain, &CandidateDomain) -> f64| -> Vec<f64> {
        let weight_of = |(index, candidate)| {
            if index == from { 0.0 } else { weight(&candidates[from], candidate) }
        };
        candidates.iter().enumerate().map(weight_of).collect()
    };
    let by_spare_slots = weights_of_others(receiver_weight);
    let must_leave = kept_fraction(&candidates[from]) <= 0.0;
    if must_leave && by_spare_slots.iter().sum::<f64>() <= 0.0 {
        return weights_of_others(|home, candidate| {
            if candidate.accepts_more_traffic() {
                f64::from(candidate.declared_slots) * proximity_weight(home, candidate)
            } else {
                0.0
            }
        });
    }
    by_spare_slots
}

fn receiver_weight(home: &CandidateDomain, candidate: &CandidateDomain) -> f64 {
    spare_slots(candidate) * proximity_weight(home, candidate)
}

/// Returns the number of slots that a domain can spare for other domains' traffic.
fn spare_slots(candidate: &CandidateDomain) -> f64 {
    if !candidate.accepts_more_traffic() {
        return 0.0;
    }
    let weight = report_weight(candidate);
    let reported_slots =
        (BUSY_LOAD * f64::from(candidate.slots) - f64::from(candidate.in_flight)).max(0.0);
    let assumed_slots = (1.0 - BUSY_LOAD) * f64::from(candidate.declared_slots);
    weight * reported_slots + (1.0 - weight) * assumed_slots
}

fn proximity_weight(home: &CandidateDomain, candidate: &CandidateDomain) -> f64 {
    if is_same_region(home, candidate) { SAME_REGION_WEIGHT } else { 1.0 }
}

fn is_same_region(home: &CandidateDomain, candidate: &CandidateDomain) -> bool {
    home.region == candidate.region
}
