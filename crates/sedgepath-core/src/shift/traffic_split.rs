//! The standing shares of one service and origin group.

use super::history::{History, PARTS, Pair};
use super::{NO_CAP, STANDING_PART, TOKEN_PART};
use crate::key::{DomainKey, OriginKey, ServiceKey};
use crate::message::{DomainShare, GroupShares};
use crate::record::TrafficCap;

/// How far shares must be from the record's to be handed on to peers.
const HANDED_ON_FROM: f64 = 0.001;

/// How many times the requests of the busiest part a part may have before its shares are looked at
/// again.
const BURST: f64 = 2.0;

/// The halvings by which the longest step under the cap is found.
const HALVINGS: u32 = 16;

/// Where the traffic of an origin group stands, and what of it has moved.
#[derive(Debug)]
pub struct TrafficSplit {
    domains: Vec<DomainKey>,
    shares: Vec<f64>,
    remainders: Vec<f64>,
    history: History,
    tokens: f64,
    bucket_ends_at_ms: u64,
    capped: bool,
    /// The most that may move between two windows.
    limit: f64,
    /// The requests of the part for which its shares are allowed.
    expected: f64,
}

impl TrafficSplit {
    /// Creates a standing that has always had these shares.
    pub fn new(shares: &[(DomainKey, f64)], now_ms: u64, random: &mut fastrand::Rng) -> Self {
        let values: Vec<_> = shares.iter().map(|share| share.1).collect();
        Self {
            domains: shares.iter().map(|share| share.0).collect(),
            remainders: values.iter().map(|_| random.f64()).collect(),
            history: History::new(&values),
            shares: values,
            tokens: 1.0,
            bucket_ends_at_ms: now_ms,
            capped: true,
            limit: 0.0,
            expected: f64::INFINITY,
        }
    }

    /// Creates a standing that goes on where a peer's stands.
    ///
    /// The peer's way of the last two windows is taken over as well: with the shares of the moment
    /// alone the node would take a shift on its way for one that is over, and begin another.
    pub fn of_peer(peer: &GroupShares, now_ms: u64, random: &mut fastrand::Rng) -> Self {
        let one_ago: Vec<_> = peer.shares.iter().map(|share| share.one_window_ago).collect();
        let two_ago: Vec<_> = peer.shares.iter().map(|share| share.two_windows_ago).collect();
        let shares: Vec<_> = peer.shares.iter().map(|share| (share.domain, share.now)).collect();
        let mut standing = Self::new(&shares, now_ms, random);
        standing.history = History::between(&standing.shares, &one_ago, &two_ago);
        standing
    }

    /// Returns the standing for a peer.
    pub fn for_peer(&self, service: ServiceKey, group: OriginKey) -> GroupShares {
        let one_ago = self.history.part_ago(PARTS);
        let two_ago = self.history.part_ago(2 * PARTS);
        let shares = (0..self.domains.len()).map(|index| DomainShare {
            domain: self.domains[index],
            now: self.shares[index],
            one_window_ago: one_ago[index],
            two_windows_ago: two_ago[index],
        });
        GroupShares { service, group, shares: shares.collect() }
    }

    /// Whether the shares differ from the record's, or did within the last two windows.
    pub fn has_moved_from(&self, declared: &[(DomainKey, f64)]) -> bool {
        let ago = [0, PARTS, 2 * PARTS].map(|parts| self.history.part_ago(parts));
        let declared = self.in_order(declared);
        ago.iter().any(|shares| distance(shares, &declared) > HANDED_ON_FROM)
            || distance(&self.shares, &declared) > HANDED_ON_FROM
    }

    /// Adds failure domains that traffic may move to.
    pub fn add_domains(&mut self, domains: impl IntoIterator<Item = DomainKey>) {
        for domain in domains {
            if !self.domains.contains(&domain) {
                self.domains.push(domain);
                self.shares.push(0.0);
                self.remainders.push(0.0);
                self.history.add_domain();
            }
        }
    }

    /// Returns the failure domains, in the order in which targets give their shares.
    pub fn domains(&self) -> &[DomainKey] {
        &self.domains
    }

    /// Returns the standing shares.
    pub fn shares(&self) -> Vec<(DomainKey, f64)> {
        self.domains.iter().copied().zip(self.shares.iter().copied()).collect()
    }

    /// Returns shares in the order of this standing's failure domains.
    fn in_order(&self, shares: &[(DomainKey, f64)]) -> Vec<f64> {
        let share_of = |domain: &DomainKey| {
            shares.iter().find(|share| share.0 == *domain).map_or(0.0, |share| share.1)
        };
        self.domains.iter().map(share_of).collect()
    }

    /// Whether the next part of a window has begun.
    pub fn is_due(&self, now_ms: u64) -> bool {
        self.bucket_ends_at_ms <= now_ms
    }

    /// Returns when the next part of a window begins, in milliseconds.
    pub fn bucket_ends_at_ms(&self) -> u64 {
        self.bucket_ends_at_ms
    }

    /// Begins the next part of a window, with shares as near to the target as the cap allows.
    ///
    /// The step is the longest on the straight way to the target after which no pair of windows (see
    /// the history's `pairs`) moves more than [`STANDING_PART`] of the cap, if up to twice as many
    /// requests come as in the busiest part before.
    pub fn begin_bucket(&mut self, target: &[f64], cap: TrafficCap, now_ms: u64) {
        let part_ms = (cap.window_ms / PARTS as u64).max(1);
        let begun = now_ms.saturating_sub(self.bucket_ends_at_ms) / part_ms;
        for _ in 0..begun.min(3 * PARTS as u64) {
            self.history.begin_part(&self.shares);
        }
        self.bucket_ends_at_ms = now_ms - (now_ms - self.bucket_ends_at_ms) % part_ms + part_ms;
        let cap_share = cap.percent / 100.0;
        self.capped = cap_share < NO_CAP;
        self.limit = cap_share * STANDING_PART;
        self.expected = (BURST * self.history.most_requests()).max(BURST);
        if self.capped {
            self.step_to(target);
        } else {
            self.shares = target.to_vec();
        }
        self.history.begin_part(&self.shares);
    }

    fn step_to(&mut self, target: &[f64]) {
        let pairs = self.history.pairs();
        if self.is_allowed(&pairs, &self.shares) {
            self.shares = self.farthest(&pairs, &self.shares, target);
        } else {
            self.step_back(&pairs);
        }
    }

    /// Steps back towards where the shares stood a window ago, as far as is needed.
    ///
    /// Without it a burst of requests at the end of a shift would carry more weight than the steps
    /// allowed for. Where even that does not help, because a wider cap for failover was in force,
    /// the shares stay.
    fn step_back(&mut self, pairs: &[Pair]) {
        let safe = self.history.part_ago(PARTS);
        if self.is_allowed(pairs, &safe) {
            self.shares = self.farthest(pairs, &safe, &self.shares);
        }
    }

    fn is_allowed(&self, pairs: &[Pair], shares: &[f64]) -> bool {
        pairs.iter().all(|pair| pair.moved(shares, self.expected) <= self.limit)
    }

    /// Returns the shares farthest on the straight way that the cap allows; the start is allowed.
    fn farthest(&self, pairs: &[Pair], from: &[f64], to: &[f64]) -> Vec<f64> {
        let at = |part: f64| -> Vec<f64> {
            from.iter().zip(to).map(|(from, to)| from + part * (to - from)).collect()
        };
        if self.is_allowed(pairs, to) {
            return to.to_vec();
        }
        let (mut allowed, mut refused) = (0.0, 1.0);
        for _ in 0..HALVINGS {
            let middle = f64::midpoint(allowed, refused);
            if self.is_allowed(pairs, &at(middle)) {
                allowed = middle;
            } else {
                refused = middle;
            }
        }
        at(allowed)
    }

    /// Holds for the rest of the part to shares that no number of requests can take over the cap.
    fn take_burst(&mut self) {
        self.expected = f64::INFINITY;
        let pairs = self.history.pairs();
        if !self.is_allowed(&pairs, &self.shares) {
            self.step_back(&pairs);
        }
    }

    /// Gives a request its home: the domain whose count lags its share the most.
    pub fn home(&mut self, cap: TrafficCap) -> Option<usize> {
        if self.capped && self.history.current_requests() >= self.expected {
            self.take_burst();
        }
        self.history.add_request(&self.shares);
        let earned = cap.percent / 100.0 * TOKEN_PART;
        let most = 1.0_f64.max(2.0 * earned * self.history.last_requests());
        self.tokens = (self.tokens + earned).min(most);
        for (remainder, share) in self.remainders.iter_mut().zip(&self.shares) {
            *remainder += share;
        }
        let home = (0..self.shares.len())
            .filter(|index| self.shares[*index] > 0.0)
            .max_by(|a, b| self.remainders[*a].total_cmp(&self.remainders[*b]))?;
        self.remainders[home] -= 1.0;
        Some(home)
    }

    /// Moves a request from one domain to another if a token pays for it.
    pub fn try_move_request(&mut self, from: usize, to: usize) -> bool {
        if from == to || !self.capped {
            return true;
        }
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        self.history.move_request(from, to);
        true
    }
}

/// Half the sum of the absolute differences.
fn distance(a: &[f64], b: &[f64]) -> f64 {
    a.iter().zip(b).map(|(a, b)| (a - b).abs()).sum::<f64>() / 2.0
}
