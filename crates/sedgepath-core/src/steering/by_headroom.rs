//! The policy that ships: the record's shares, corrected by headroom.
//!
//! Traffic stands by the record's shares. A domain that is nearly full keeps less than its share, one
//! that can't serve keeps nothing; what leaves it goes where there is room, in the same region
//! first. The correction is in proportion to the load, so that it settles, and the shift ledger
//! limits how fast it acts.
//!
//! Reports lag. The older a domain's report, the less the policy acts on it, until the domain counts
//! as loaded like any other: acting on an old report sends everybody to the domain that was idle a
//! while ago. A report that is missing counts the same.

use super::{CandidateDomain, SteeringPolicy, SteeringRequest, draw_order};
use crate::request::Class;

/// The load from which a domain keeps less than its share.
const BUSY: f64 = 0.85;

/// The part of its share that a full domain keeps.
const LEAST_KEPT: f64 = 0.4;

/// The age up to which a report counts in full, in milliseconds: a round of summaries between
/// failure domains and the way there.
const FRESH_MS: f64 = 1_000.0;

/// The age from which a report counts no more, in milliseconds.
const STALE_MS: f64 = 3_000.0;

/// How much more likely a domain of the same region is to take over traffic than a distant one with
/// as much room.
const NEAR_WEIGHT: f64 = 8.0;

/// Steers by the record's shares and by headroom.
#[derive(Debug, Default)]
pub struct HeadroomPolicy {
    ignores_age: bool,
}

impl HeadroomPolicy {
    /// Creates the policy that ships.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates one that takes every report for fresh, to measure what the discount by age earns.
    pub fn without_age_discount() -> Self {
        Self { ignores_age: true }
    }

    /// Returns the candidates with the ages that the policy goes by.
    fn seen(&self, candidates: &[CandidateDomain]) -> Vec<CandidateDomain> {
        let seen = |candidate: &CandidateDomain| {
            let report_age_ms = if self.ignores_age { 0 } else { candidate.report_age_ms };
            CandidateDomain { report_age_ms, ..*candidate }
        };
        candidates.iter().map(seen).collect()
    }
}

impl SteeringPolicy for HeadroomPolicy {
    fn name(&self) -> &'static str {
        "by_headroom"
    }

    fn target_shares(&self, candidates: &[CandidateDomain]) -> Vec<f64> {
        let candidates = &self.seen(candidates);
        let mut target: Vec<f64> =
            candidates.iter().map(|candidate| candidate.share * kept(candidate)).collect();
        for (from, candidate) in candidates.iter().enumerate() {
            let leaving = candidate.share - candidate.share * kept(candidate);
            if leaving <= 0.0 {
                continue;
            }
            let weights = takers(from, candidates);
            let sum = weights.iter().sum::<f64>();
            if sum <= 0.0 {
                target[from] += leaving;
                continue;
            }
            for (share, weight) in target.iter_mut().zip(&weights) {
                *share += leaving * weight / sum;
            }
        }
        target
    }

    fn rank(
        &self,
        choice: SteeringRequest,
        candidates: &[CandidateDomain],
        random: &mut fastrand::Rng,
    ) -> Vec<usize> {
        let candidates = &self.seen(candidates);
        let home = &candidates[choice.home];
        // Trial and guest requests don't push paying ones of other regions aside.
        let may_go_far = choice.class == Class::Paying || !home.is_usable();
        let weights = (0..candidates.len()).map(|index| {
            let reachable = may_go_far || is_near(home, &candidates[index]);
            if index == choice.home || !reachable { 0.0 } else { taker(home, &candidates[index]) }
        });
        let mut order = draw_order(weights.collect(), random);
        let leaves = choice.class == Class::Paying && is_full(home);
        let place = if leaves { order.len() } else { 0 };
        order.insert(place, choice.home);
        order
    }
}

/// How much a domain's report counts, from 0 to 1.
fn weight_of_report(candidate: &CandidateDomain) -> f64 {
    if !candidate.has_report {
        return 0.0;
    }
    let age_ms = candidate.report_age_ms as f64;
    ((STALE_MS - age_ms) / (STALE_MS - FRESH_MS)).clamp(0.0, 1.0)
}

fn load(candidate: &CandidateDomain) -> f64 {
    f64::from(candidate.in_flight) / f64::from(candidate.slots.max(1))
}

fn is_full(candidate: &CandidateDomain) -> bool {
    weight_of_report(candidate) >= 1.0 && load(candidate) >= 1.0
}

/// Returns the part of its share that a domain keeps.
fn kept(candidate: &CandidateDomain) -> f64 {
    if !candidate.accepts_more_traffic() {
        return 0.0;
    }
    let over = ((load(candidate) - BUSY) / (1.0 - BUSY)).clamp(0.0, 1.0);
    1.0 - over * (1.0 - LEAST_KEPT) * weight_of_report(candidate)
}

/// Returns the weights by which the domains take over what leaves one of them; all zero if it had
/// better stay.
fn takers(from: usize, candidates: &[CandidateDomain]) -> Vec<f64> {
    let others = |weight: fn(&CandidateDomain, &CandidateDomain) -> f64| -> Vec<f64> {
        let weight_of = |(index, candidate)| {
            if index == from { 0.0 } else { weight(&candidates[from], candidate) }
        };
        candidates.iter().enumerate().map(weight_of).collect()
    };
    let by_room = others(taker);
    let must_leave = kept(&candidates[from]) <= 0.0;
    if must_leave && by_room.iter().sum::<f64>() <= 0.0 {
        return others(|home, candidate| {
            if candidate.accepts_more_traffic() {
                f64::from(candidate.declared_slots) * nearness(home, candidate)
            } else {
                0.0
            }
        });
    }
    by_room
}

fn taker(home: &CandidateDomain, candidate: &CandidateDomain) -> f64 {
    room(candidate) * nearness(home, candidate)
}

/// Returns the slots that a domain can give to traffic of others.
fn room(candidate: &CandidateDomain) -> f64 {
    if !candidate.accepts_more_traffic() {
        return 0.0;
    }
    let known = weight_of_report(candidate);
    let reported = (BUSY * f64::from(candidate.slots) - f64::from(candidate.in_flight)).max(0.0);
    let assumed = (1.0 - BUSY) * f64::from(candidate.declared_slots);
    known * reported + (1.0 - known) * assumed
}

fn nearness(home: &CandidateDomain, candidate: &CandidateDomain) -> f64 {
    if is_near(home, candidate) { NEAR_WEIGHT } else { 1.0 }
}

fn is_near(home: &CandidateDomain, candidate: &CandidateDomain) -> bool {
    home.region == candidate.region
}
