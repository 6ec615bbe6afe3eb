//! The choice of the failure domain and the owner for an attempt.

use std::sync::Arc;

use super::pending::PendingRequest;
use super::{RETRY_AFTER_MS, RoutingContext};
use crate::hash::Map;
use crate::key::{DomainKey, ServiceKey, VmKey};
use crate::message::Baseline;
use crate::outbox::Outbox;
use crate::record::TrafficCap;
use crate::request::{Rejection, RejectionReason};
use crate::shift::baseline::BaselineFetch;
use crate::shift::{self, ShiftKey, ShiftLedger};
use crate::steering::{CandidateDomain, SteeringRequest};
use crate::view::UpstreamOwner;

/// The minimum retry time told to a caller whose request the shift cap holds back.
const MIN_RETRY_AFTER_MS: u64 = 50;

/// The rejection of a request for which no upstream of its service can be reached.
const NO_UPSTREAM: Rejection =
    Rejection { reason: RejectionReason::NoUpstream, retry_after_ms: RETRY_AFTER_MS };

/// The shift ledger, with candidate domains and owners that are cached until the next tick.
#[derive(Debug)]
pub struct Placement {
    ledger: ShiftLedger,
    baseline: BaselineFetch,
    candidates: Map<ShiftKey, Arc<[CandidateDomain]>>,
    owners: Map<(DomainKey, ServiceKey), Arc<[UpstreamOwner]>>,
    random: fastrand::Rng,
}

impl Placement {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            ledger: ShiftLedger::new(seed),
            baseline: BaselineFetch::default(),
            candidates: Map::default(),
            owners: Map::default(),
            random: fastrand::Rng::with_seed(seed),
        }
    }

    /// Returns whether the node knows the current shares.
    pub(super) fn is_ready(&self) -> bool {
        self.baseline.is_ready()
    }

    /// Returns the current shares, if the node has had any traffic of the group.
    pub(super) fn traffic_split(&self, key: ShiftKey) -> Option<Vec<(DomainKey, f64)>> {
        self.ledger.shares(key)
    }

    /// Applies a peer's baseline of the current shares, or answers a peer that asks for one.
    pub fn handle_baseline(
        &mut self,
        from: VmKey,
        baseline: Option<&Baseline>,
        context: &RoutingContext<'_>,
        out: &mut Outbox,
    ) {
        match baseline {
            Some(baseline) => {
                self.baseline.handle_answer(baseline, &mut self.ledger, &context.view);
            }
            None => self.baseline.answer(from, &self.ledger, &context.view, out),
        }
    }

    /// Drops the cached candidates and owners, and moves the current shares that are due.
    pub(super) fn tick(&mut self, context: &RoutingContext<'_>, out: &mut Outbox) {
        self.baseline.tick(&context.view, out);
        self.candidates.clear();
        self.owners.clear();
        for key in self.ledger.due_keys(context.view.now_ms) {
            self.begin_bucket(key, context);
        }
    }

    /// Chooses the owner for the next attempt.
    ///
    /// After a failure, other owners in the request's current failure domain come first, since the
    /// request then doesn't move. The other failure domains follow in the order of the policy, as far
    /// as the shift ledger lets the request move.
    pub(super) fn place(
        &mut self,
        pending: &mut PendingRequest,
        context: &RoutingContext<'_>,
    ) -> Result<UpstreamOwner, Rejection> {
        let view = &context.view;
        let service = pending.service();
        let key = ShiftKey::of(service, pending.origin(), view.catalogue);
        let Some((cap, candidates)) = self.begin_bucket(key, context) else {
            return Err(NO_UPSTREAM);
        };
        let Some(home) =
            pending.domain_index().or_else(|| self.ledger.assign_home(key, cap, view.now_ms))
        else {
            return Err(NO_UPSTREAM);
        };
        let choice =
            SteeringRequest { service, origin: pending.origin(), class: pending.class(), home };
        let mut order = context.policy.rank(choice, &candidates, &mut self.random);
        if pending.domain_index().is_some() {
            order.insert(0, home);
        }
        pending.set_domain_index(home);
        let mut refusal = NO_UPSTREAM;
        for index in order {
            let Some(owner) = self.draw_owner_in(candidates[index].domain, pending, context) else {
                continue;
            };
            let Some(standing) = self.ledger.traffic_split(key, view.now_ms) else { continue };
            if standing.try_move_request(home, index) {
                pending.set_domain_index(index);
                return Ok(owner);
            }
            let part_left_ms = standing.bucket_ends_at_ms().saturating_sub(view.now_ms);
            let retry_after_ms = part_left_ms.max(MIN_RETRY_AFTER_MS);
            refusal = Rejection { reason: RejectionReason::ShiftCap, retry_after_ms };
        }
        Err(refusal)
    }

    /// Draws an owner in a failure domain that the request hasn't tried, weighted by slots.
    fn draw_owner_in(
        &mut self,
        domain: DomainKey,
        pending: &PendingRequest,
        context: &RoutingContext<'_>,
    ) -> Option<UpstreamOwner> {
        let service = pending.service();
        let owners = self.owners.entry((domain, service));
        let owners = owners.or_insert_with(|| context.view.upstream_owners(domain, service).into());
        let mut untried: Vec<_> =
            owners.iter().filter(|owner| !pending.has_tried(owner.vm)).copied().collect();
        // An owner whose upstreams are all leaving or failing reports no slots and would refuse
        // every request.
        if untried.iter().any(may_have_slots) {
            untried.retain(may_have_slots);
        }
        draw_by_slots(&untried, &mut self.random)
    }

    /// Moves the current shares if the next part of a window has begun; returns the cap and the
    /// candidate failure domains.
    fn begin_bucket(
        &mut self,
        key: ShiftKey,
        context: &RoutingContext<'_>,
    ) -> Option<(TrafficCap, Arc<[CandidateDomain]>)> {
        let view = &context.view;
        self.ledger.apply_revision(view.revision, view.catalogue, view.now_ms);
        let entry = view.catalogue.services.get(&key.service)?.steering.as_ref()?;
        let standing = self.ledger.traffic_split(key, view.now_ms)?;
        let candidates = self
            .candidates
            .entry(key)
            .or_insert_with(|| view.candidates(key.service, key.group, standing.domains()).into());
        let cap = shift::cap_in_force(entry, candidates, &standing.shares());
        if standing.is_due(view.now_ms) {
            standing.begin_bucket(&context.policy.target_shares(candidates), cap, view.now_ms);
        }
        Some((cap, Arc::clone(candidates)))
    }
}

fn draw_by_slots(owners: &[UpstreamOwner], random: &mut fastrand::Rng) -> Option<UpstreamOwner> {
    let sum: u32 = owners.iter().map(|owner| owner.slots).sum();
    let mut point = random.u32(0..sum.max(1));
    owners
        .iter()
        .find(|owner| {
            let found = point < owner.slots;
            point = point.saturating_sub(owner.slots);
            found
        })
        .copied()
}

fn may_have_slots(owner: &UpstreamOwner) -> bool {
    owner.load.is_none_or(|load| load.slots > 0)
}
