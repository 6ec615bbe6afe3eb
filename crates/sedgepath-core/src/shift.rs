//! The shift ledger: one account through which every move of traffic goes.
//!
//! A record's cap says that in any window of W at most a share C of a service's traffic from an
//! origin group moves. Traffic that moves is the share that a failure domain takes beyond what stood
//! there in the window before; it equals half the sum of the absolute differences of the shares. A
//! refused request has not moved: it counts where its traffic stands.
//!
//! For each service and origin group a node keeps *standing shares* and gives each request a home by
//! them. Planned changes, drains, spill and failover move the standing shares, a little at a time;
//! single requests that leave their home (retries, spill of the moment) are paid for from
//! tokens. The cap is split between the two, see [`STANDING_PART`] and [`TOKEN_PART`].
//!
//! # Why the cap holds
//!
//! Standing shares change at the borders of a tenth of a window, and only so far that no window which
//! the new part may end moves more than its part of C against the window before, for any number of
//! requests up to twice the busiest part's. Should more come, the rest of the part is held to shares
//! that keep the cap for any number ([`standing`] gives the details). So the cap holds at a node
//! whenever in a window the requests come.
//!
//! Over all nodes, the change of the total is the mean of the nodes' changes, weighted by their
//! traffic, as long as the weights stay. When callers change their entry VMs the difference between
//! the nodes' standing shares adds to it. Nodes that see the same facts move alike, and a restarted
//! node takes its shares from a peer before it serves.
//!
//! # Where it does not hold
//!
//! - Between nodes that a cut keeps from seeing the same facts, the difference of their shares is not
//!   bounded, and callers that change over move it.
//! - Traffic that some nodes refuse, because they can't reach its domain, comes back all at once when
//!   they can. That is no move, and the cap does not hold it back: its callers have been refused long
//!   enough. If other nodes are moving traffic to that domain, the upstreams there see both; where
//!   half of all datagrams are lost they saw 11 % more in a window under a cap of 10 %.
//!
//! # Rounding
//!
//! A home is a whole request: by largest remainder a node's count for a domain stays within one
//! request of its shares, so a window holds at most one request per node beyond the cap; nodes begin
//! at random remainders, so that these don't add up. Tokens are whole requests too: a node that earns
//! less than one in a window may still move one.
//!
//! # Ways weighed
//!
//! - Counting requests and comparing windows at each dispatch: with few requests a window the noise
//!   of the draw eats the cap, and a burst followed by silence breaks it after the fact.
//! - A budget of movement per window, without regard to requests: half as fast for the same safety,
//!   since requests may gather at the far ends of two windows.
//! - Shares within the cap of every window before, for any number of requests: two thirds as fast.
//! - Telling a few peers of each step and going no further ahead of them than a fifth of the cap: it
//!   slowed a failover that all nodes make together, and returning traffic still added to a shift.

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

/// The part of the cap that standing shares may use.
pub const STANDING_PART: f64 = 0.8;

/// The part of the cap that single requests may use which leave their home. What is left over covers
/// the delay between a decision and its run, and small differences between nodes.
pub const TOKEN_PART: f64 = 0.1;

/// From this share on a cap is none.
const NO_CAP: f64 = 1.0;

/// What a standing is kept for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShiftKey {
    /// The service.
    pub service: ServiceKey,
    /// The origin group by which the record steers the callers: their own, or the one that stands
    /// for all others.
    pub group: OriginKey,
}

/// The standings of all services and origin groups.
#[derive(Debug)]
pub struct ShiftLedger {
    random: fastrand::Rng,
    revision: u64,
    declared: Map<ShiftKey, Vec<(DomainKey, f64)>>,
    standings: Map<ShiftKey, TrafficSplit>,
}

impl ShiftLedger {
    /// Creates a ledger that knows of no traffic.
    pub fn new(seed: u64) -> Self {
        Self {
            random: fastrand::Rng::with_seed(seed),
            revision: 0,
            declared: Map::default(),
            standings: Map::default(),
        }
    }

    /// Takes in a new revision.
    ///
    /// Shares that the revision changes must start from the former ones, also for groups that have
    /// had no request yet: this node's first request would otherwise jump to the new shares while its
    /// peers' traffic still moves there.
    pub fn apply_revision(&mut self, revision: u64, catalogue: &Catalogue, now_ms: u64) {
        if self.revision == revision {
            return;
        }
        self.revision = revision;
        let former = std::mem::replace(&mut self.declared, declared(catalogue));
        for (key, shares) in &self.declared {
            let known = former.get(key).or_else(|| former.get(&key.any()));
            if let Some(standing) = self.standings.get_mut(key) {
                standing.add_domains(shares.iter().map(|share| share.0));
            } else if let Some(known) = known
                && known != shares
            {
                let mut standing = TrafficSplit::new(known, now_ms, &mut self.random);
                standing.add_domains(shares.iter().map(|share| share.0));
                self.standings.insert(*key, standing);
            }
        }
        self.standings.retain(|key, _| self.declared.contains_key(key));
    }

    /// Returns where traffic stands, if any has come yet.
    pub fn shares(&self, key: ShiftKey) -> Option<Vec<(DomainKey, f64)>> {
        self.standings.get(&key).map(TrafficSplit::shares)
    }

    /// Returns the standing of a service and origin group; it starts from the record's shares.
    pub fn traffic_split(&mut self, key: ShiftKey, now_ms: u64) -> Option<&mut TrafficSplit> {
        let declared = self.declared.get(&key)?;
        let standing = self.standings.entry(key);
        Some(standing.or_insert_with(|| TrafficSplit::new(declared, now_ms, &mut self.random)))
    }

    /// Gives a request its home; see [`TrafficSplit::assign_home`].
    pub fn assign_home(&mut self, key: ShiftKey, cap: TrafficCap, now_ms: u64) -> Option<usize> {
        self.traffic_split(key, now_ms)?.home(cap)
    }

    /// Returns the keys of the standings whose next part of a window has begun, in order.
    pub fn due_keys(&self, now_ms: u64) -> Vec<ShiftKey> {
        let due = self.standings.iter().filter(|(_, standing)| standing.is_due(now_ms));
        let mut due: Vec<_> = due.map(|(key, _)| *key).collect();
        due.sort_unstable();
        due
    }

    /// Returns the shares that differ from the record's, for a peer.
    pub fn moved(&self) -> Vec<GroupShares> {
        let mut moved: Vec<_> = self
            .standings
            .iter()
            .filter(|(key, standing)| standing.has_moved_from(&self.declared[key]))
            .map(|(key, standing)| standing.for_peer(key.service, key.group))
            .collect();
        moved.sort_unstable_by_key(|moved| (moved.service, moved.group));
        moved
    }

    /// Takes a peer's shares as the baseline of a node that has none of its own.
    pub fn take_baseline(&mut self, moved: &[GroupShares], now_ms: u64) {
        for peer in moved {
            let key = ShiftKey { service: peer.service, group: peer.group };
            if let Some(declared) = self.declared.get(&key) {
                let mut standing = TrafficSplit::of_peer(peer, now_ms, &mut self.random);
                standing.add_domains(declared.iter().map(|share| share.0));
                self.standings.insert(key, standing);
            }
        }
    }
}

impl ShiftKey {
    /// Returns the key of the group that steers callers of an origin group.
    pub fn of(service: ServiceKey, origin: OriginKey, catalogue: &Catalogue) -> Self {
        let own = Self { service, group: origin };
        let steering = steering(catalogue, service);
        if steering.is_some_and(|steering| steering.shares.contains_key(&origin)) {
            return own;
        }
        own.any()
    }

    fn any(self) -> Self {
        Self { group: OriginKey::of(crate::catalogue::ANY_ORIGIN), ..self }
    }
}

/// Returns the cap in force: the one for failover while a domain that holds traffic can't serve.
pub fn cap_in_force(
    entry: &SteeringEntry,
    candidates: &[CandidateDomain],
    shares: &[(DomainKey, f64)],
) -> TrafficCap {
    let holds = |domain| shares.iter().any(|share| share.0 == domain && share.1 > 0.0);
    let failover =
        candidates.iter().any(|candidate| candidate.has_failed() && holds(candidate.domain));
    if failover { entry.failover_cap } else { entry.cap }
}

fn steering(catalogue: &Catalogue, service: ServiceKey) -> Option<&SteeringEntry> {
    catalogue.services.get(&service)?.steering.as_ref()
}

fn declared(catalogue: &Catalogue) -> Map<ShiftKey, Vec<(DomainKey, f64)>> {
    let mut declared = Map::default();
    for (service, entry) in &catalogue.services {
        for (group, shares) in entry.steering.iter().flat_map(|steering| &steering.shares) {
            declared.insert(ShiftKey { service: *service, group: *group }, shares.clone());
        }
    }
    declared
}
