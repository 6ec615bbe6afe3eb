//! The choice of the failure domain and of the owner of an upstream there for an attempt.

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

/// The minimum retry delay of a request that the shift cap holds back, in milliseconds.
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

    /// Returns the current shares by failure domain, if the node has had any traffic of the group.
    pub(super) fn traffic_split(&self, key: ShiftKey) -> Option<Vec<(DomainKey, f64)>> {
        self.ledger.shares(key)
    }

    /// Applies the current shares that a peer has sent, or sends them to a peer that asks for them
    /// (`baseline` is `None`).
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

    /// Drops the cached candidates and owners, and updates the current shares that are due.
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
    /// shares then don't change. The other failure domains follow in the order of the policy, as
    /// far as the shift ledger lets the request move.
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
        let Some(home_index) =
            pending.domain_index().or_else(|| self.ledger.assign_home(key, cap, view.now_ms))
        else {
            return Err(NO_UPSTREAM);
        };
        let steering_request = SteeringRequest {
            service,
            origin: pending.origin(),
            class: pending.class(),
            home: home_index,
        };
        let mut order = context.policy.rank(steering_request, &candidates, &mut self.random);
        if pending.domain_index().is_some() {
            order.insert(0, home_index);
        }
        pending.set_domain_index(home_index);
        let mut rejection = NO_UPSTREAM;
        for index in order {
            let Some(owner) = self.draw_owner(candidates[index].domain, pending, context) else {
                continue;
            };
            let Some(split) = self.ledger.traffic_split(key, view.now_ms) else { continue };
            if split.try_move_request(home_index, index) {
                pending.set_domain_index(index);
                return Ok(owner);
            }
            let bucket_left_ms = split.bucket_ends_at_ms().saturating_sub(view.now_ms);
            let retry_after_ms = bucket_left_ms.max(MIN_RETRY_AFTER_MS);
            rejection = Rejection { reason: RejectionReason::ShiftCap, retry_after_ms };
        }
        Err(rejection)
    }

    /// Draws an owner in a failure domain that the request hasn't tried, weighted by slots.
    fn draw_owner(
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
        // An owner whose upstreams are all leaving or failing reports no slots and would reject
        // every request.
        if untried.iter().any(may_have_slots) {
            untried.retain(may_have_slots);
        }
        draw_by_slots(&untried, &mut self.random)
    }

    /// Updates the current shares if the next bucket of the window has begun; returns the cap and
    /// the candidate failure domains.
    fn begin_bucket(
        &mut self,
        key: ShiftKey,
        context: &RoutingContext<'_>,
    ) -> Option<(TrafficCap, Arc<[CandidateDomain]>)> {
        let view = &context.view;
        self.ledger.apply_revision(view.revision, view.catalogue, view.now_ms);
        let entry = view.catalogue.services.get(&key.service)?.steering.as_ref()?;
        let split = self.ledger.traffic_split(key, view.now_ms)?;
        let candidates = self
            .candidates
            .entry(key)
            .or_insert_with(|| view.candidates(key.service, key.group, split.domains()).into());
        let cap = shift::cap_in_force(entry, candidates, &split.shares());
        if split.is_due(view.now_ms) {
            split.begin_bucket(&context.policy.target_shares(candidates), cap, view.now_ms);
        }
        Some((cap, Arc::clone(candidates)))
    }
}

fn draw_by_slots(owners: &[UpstreamOwner], random: &mut fastrand::Rng) -> Option<UpstreamOwner> {
    let total_slots: u32 = owners.iter().map(|owner| owner.slots).sum();
    let mut remaining = random.u32(0..total_slots.max(1));
    owners
        .iter()
        .find(|owner| {
            let is_drawn = remaining < owner.slots;
            remaining = remaining.saturating_sub(owner.slots);
            is_drawn
        })
        .copied()
}

fn may_have_slots(owner: &UpstreamOwner) -> bool {
    owner.load.is_none_or(|load| load.slots > 0)
}
