//! The shift ledger, which limits how fast traffic moves between failure domains.
//!
//! A record's cap limits the share C of a service's traffic from an origin group that may move in
//! any window of length W. Moved traffic is the share that failure domains receive beyond their
//! share in the window before, which is half the sum of the absolute share differences. A rejected
//! request counts for its home domain.
//!
//! - For each service and origin group a node keeps *standing shares* and assigns each request a
//!   home domain by them.
//! - Planned changes, drains, spill and failover move the standing shares gradually, within
//!   [`STANDING_CAP_FRACTION`] of the cap.
//! - Requests that leave their home, such as retries, are paid for with tokens, within
//!   [`TOKEN_CAP_FRACTION`] of the cap.
//! - Standing shares change only when a bucket, a tenth of a window, begins, and only so far that
//!   no window ending in the new bucket exceeds the cap with up to twice the busiest bucket's
//!   requests.
//! - If more requests arrive, the rest of the bucket uses shares that keep the cap for any number.
//! - A node's count for a domain stays within one request of its shares, so a window exceeds the
//!   cap by at most one request per node; random initial remainders keep nodes from rounding alike.
//! - Tokens are whole requests: a node that earns less than one in a window may still move one.
//! - Over all nodes, the moved share is the mean of the nodes' moved shares weighted by traffic, so
//!   callers that change entry VMs add the difference between the nodes' standing shares.
//! - A restarted node takes its shares from a peer before it serves.
//!
//! # Limitations
//!
//! - Between nodes that a partition keeps from seeing the same state, the difference of standing
//!   shares is unbounded, and callers that change entry VMs move it.
//! - Traffic that some nodes reject because they cannot reach its domain returns at once when they
//!   can reach it. That is not a move, so the cap does not limit it, even while other nodes move
//!   traffic to that domain.

use crate::catalogue::{Catalogue, SteeringEntry};
use crate::hash::Map;
use crate::key::{DomainKey, OriginKey, ServiceKey};
use crate::message::GroupShares;
use crate::record::TrafficCap;
use crate::steering::CandidateDomain;

pub mod baseline;
mod history;
pub mod traffic_split;

use traffic_split::TrafficSplit;

/// The fraction of the cap available to changes of standing shares.
pub const STANDING_CAP_FRACTION: f64 = 0.8;

/// The fraction of the cap available to single requests that leave their home. The remainder covers
/// the delay between a decision and its execution, and small differences between nodes.
pub const TOKEN_CAP_FRACTION: f64 = 0.1;

/// The cap, as a share of the traffic, from which moves are unlimited.
const UNLIMITED_CAP_SHARE: f64 = 1.0;

/// A service and an origin group that share one traffic split.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShiftKey {
    /// The requested service.
    pub service: ServiceKey,
    /// The origin group whose shares the record applies to the callers: their own, or the group for
    /// all other origins.
    pub group: OriginKey,
}

/// The traffic splits of all services and origin groups.
#[derive(Debug)]
pub struct ShiftLedger {
    random: fastrand::Rng,
    revision: u64,
    /// The shares by the records in force.
    declared: Map<ShiftKey, Vec<(DomainKey, f64)>>,
    splits: Map<ShiftKey, TrafficSplit>,
}

impl ShiftLedger {
    /// Creates a ledger without any traffic; `seed` determines the initial rounding remainders.
    pub fn new(seed: u64) -> Self {
        Self {
            random: fastrand::Rng::with_seed(seed),
            revision: 0,
            declared: Map::default(),
            splits: Map::default(),
        }
    }

    /// Applies a new configuration revision.
    ///
    /// Changed shares start from the previous ones, even for groups without any request yet.
    /// Otherwise this node's first request would use the new shares while its peers' traffic is
    /// still moving.
    pub fn apply_revision(&mut self, revision: u64, catalogue: &Catalogue, now_ms: u64) {
        if self.revision == revision {
            return;
        }
        self.revision = revision;
        let previous = std::mem::replace(&mut self.declared, declared_shares(catalogue));
        for (key, shares) in &self.declared {
            let previous_shares = previous.get(key).or_else(|| previous.get(&key.any_origin()));
            if let Some(split) = self.splits.get_mut(key) {
                split.add_domains(shares.iter().map(|share| share.0));
            } else if let Some(previous_shares) = previous_shares
                && previous_shares != shares
            {
                let mut split = TrafficSplit::new(previous_shares, now_ms, &mut self.random);
                split.add_domains(shares.iter().map(|share| share.0));
                self.splits.insert(*key, split);
            }
        }
        self.splits.retain(|key, _| self.declared.contains_key(key));
    }

    /// Returns the standing shares of a service and origin group, if a split exists for them.
    pub fn shares(&self, key: ShiftKey) -> Option<Vec<(DomainKey, f64)>> {
        self.splits.get(&key).map(TrafficSplit::shares)
    }

    /// Returns the traffic split of a service and origin group, created from the record's shares if
    /// needed.
    pub fn traffic_split(&mut self, key: ShiftKey, now_ms: u64) -> Option<&mut TrafficSplit> {
        let declared = self.declared.get(&key)?;
        let split = self.splits.entry(key);
        Some(split.or_insert_with(|| TrafficSplit::new(declared, now_ms, &mut self.random)))
    }

    /// Assigns a request to its home domain; see [`TrafficSplit::assign_home`].
    pub fn assign_home(&mut self, key: ShiftKey, cap: TrafficCap, now_ms: u64) -> Option<usize> {
        self.traffic_split(key, now_ms)?.assign_home(cap)
    }

    /// Returns the keys of the splits whose next bucket has begun, sorted.
    pub fn due_keys(&self, now_ms: u64) -> Vec<ShiftKey> {
        let due_splits = self.splits.iter().filter(|(_, split)| split.is_due(now_ms));
        let mut keys: Vec<_> = due_splits.map(|(key, _)| *key).collect();
        keys.sort_unstable();
        keys
    }

    /// Returns the standing shares that differ from the record's, to send to a peer.
    pub fn moved_shares(&self) -> Vec<GroupShares> {
        let mut groups: Vec<_> = self
            .splits
            .iter()
            .filter(|(key, split)| split.differs_from(&self.declared[key]))
            .map(|(key, split)| split.to_peer(key.service, key.group))
            .collect();
        groups.sort_unstable_by_key(|shares| (shares.service, shares.group));
        groups
    }

    /// Replaces splits with those of a peer, for a node that has no baseline of its own.
    pub fn apply_baseline(&mut self, moved: &[GroupShares], now_ms: u64) {
        for peer in moved {
            let key = ShiftKey { service: peer.service, group: peer.group };
            if let Some(declared) = self.declared.get(&key) {
                let mut split = TrafficSplit::from_peer(peer, now_ms, &mut self.random);
                split.add_domains(declared.iter().map(|share| share.0));
                self.splits.insert(key, split);
            }
        }
    }
}

impl ShiftKey {
    /// Returns the key that applies to callers of an origin group.
    pub fn of(service: ServiceKey, origin: OriginKey, catalogue: &Catalogue) -> Self {
        let own = Self { service, group: origin };
        let steering = steering(catalogue, service);
        if steering.is_some_and(|steering| steering.shares.contains_key(&origin)) {
            return own;
        }
        own.any_origin()
    }

    fn any_origin(self) -> Self {
        Self { group: OriginKey::of(crate::catalogue::ANY_ORIGIN), ..self }
    }
}

/// Returns the cap in force: the failover cap while a domain with a standing share has failed.
pub fn cap_in_force(
    entry: &SteeringEntry,
    candidates: &[CandidateDomain],
    shares: &[(DomainKey, f64)],
) -> TrafficCap {
    let has_share = |domain| shares.iter().any(|share| share.0 == domain && share.1 > 0.0);
    let is_failover =
        candidates.iter().any(|candidate| candidate.has_failed() && has_share(candidate.domain));
    if is_failover { entry.failover_cap } else { entry.cap }
}

fn steering(catalogue: &Catalogue, service: ServiceKey) -> Option<&SteeringEntry> {
    catalogue.services.get(&service)?.steering.as_ref()
}

fn declared_shares(catalogue: &Catalogue) -> Map<ShiftKey, Vec<(DomainKey, f64)>> {
    let mut declared = Map::default();
    for (service, entry) in &catalogue.services {
        for (group, shares) in entry.steering.iter().flat_map(|steering| &steering.shares) {
            declared.insert(ShiftKey { service: *service, group: *group }, shares.clone());
        }
    }
    declared
}
