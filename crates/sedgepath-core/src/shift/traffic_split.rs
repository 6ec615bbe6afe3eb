//! The traffic split of one service and origin group over failure domains.

use super::history::{BUCKETS_PER_WINDOW, History, WindowPair};
use super::{STANDING_CAP_FRACTION, TOKEN_CAP_FRACTION, UNLIMITED_CAP_SHARE};
use crate::key::{DomainKey, OriginKey, ServiceKey};
use crate::message::{DomainShare, GroupShares};
use crate::record::TrafficCap;

/// The minimum distance from the record's shares at which a split is sent to peers.
const MIN_REPORTED_DISTANCE: f64 = 0.001;

/// The multiple of the busiest bucket's requests that a bucket may have before its shares are
/// checked again.
const BURST_FACTOR: f64 = 2.0;

/// The number of bisection steps in the search for the largest step within the cap.
const BISECTION_STEPS: u32 = 16;

/// The standing shares of an origin group's traffic, with their recent history.
#[derive(Debug)]
pub struct TrafficSplit {
    domains: Vec<DomainKey>,
    shares: Vec<f64>,
    /// By domain, the sum of the shares of past requests less the requests assigned, from a random
    /// start.
    remainders: Vec<f64>,
    history: History,
    tokens: f64,
    bucket_ends_at_ms: u64,
    is_capped: bool,
    /// The maximum share that may move between two windows.
    max_moved_share: f64,
    /// The number of requests in the current bucket up to which its shares keep the cap.
    covered_requests: f64,
}

impl TrafficSplit {
    /// Creates a split with constant shares in the past.
    pub fn new(shares: &[(DomainKey, f64)], now_ms: u64, random: &mut fastrand::Rng) -> Self {
        let values: Vec<_> = shares.iter().map(|share| share.1).collect();
        Self {
            domains: shares.iter().map(|share| share.0).collect(),
            remainders: values.iter().map(|_| random.f64()).collect(),
            history: History::new(&values),
            shares: values,
            tokens: 1.0,
            bucket_ends_at_ms: now_ms,
            is_capped: true,
            max_moved_share: 0.0,
            covered_requests: f64::INFINITY,
        }
    }

    /// Creates a split that continues that of a peer.
    ///
    /// The peer's history of the last two windows is included. With the current shares alone, a
    /// shift in progress would look complete, and the node could move more than the cap.
    pub fn from_peer(peer: &GroupShares, now_ms: u64, random: &mut fastrand::Rng) -> Self {
        let one_ago: Vec<_> = peer.shares.iter().map(|share| share.one_window_ago).collect();
        let two_ago: Vec<_> = peer.shares.iter().map(|share| share.two_windows_ago).collect();
        let shares: Vec<_> = peer.shares.iter().map(|share| (share.domain, share.now)).collect();
        let mut split = Self::new(&shares, now_ms, random);
        split.history = History::interpolated(&split.shares, &one_ago, &two_ago);
        split
    }

    /// Returns the current shares and those of one and two windows ago, to send to a peer.
    pub fn to_peer(&self, service: ServiceKey, group: OriginKey) -> GroupShares {
        let one_ago = self.history.shares_at_age(BUCKETS_PER_WINDOW);
        let two_ago = self.history.shares_at_age(2 * BUCKETS_PER_WINDOW);
        let shares = (0..self.domains.len()).map(|index| DomainShare {
            domain: self.domains[index],
            now: self.shares[index],
            one_window_ago: one_ago[index],
            two_windows_ago: two_ago[index],
        });
        GroupShares { service, group, shares: shares.collect() }
    }

    /// Returns whether the shares differ from the given ones, now or one or two windows ago.
    pub fn differs_from(&self, declared: &[(DomainKey, f64)]) -> bool {
        let past_shares = [0, BUCKETS_PER_WINDOW, 2 * BUCKETS_PER_WINDOW]
            .map(|age_buckets| self.history.shares_at_age(age_buckets));
        let declared = self.in_domain_order(declared);
        past_shares.iter().any(|shares| distance(shares, &declared) > MIN_REPORTED_DISTANCE)
            || distance(&self.shares, &declared) > MIN_REPORTED_DISTANCE
    }

    /// Adds failure domains with a share of zero, unless they are present.
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

    /// Returns the failure domains in the order that targets must follow.
    pub fn domains(&self) -> &[DomainKey] {
        &self.domains
    }

    /// Returns the standing share of each failure domain.
    pub fn shares(&self) -> Vec<(DomainKey, f64)> {
        self.domains.iter().copied().zip(self.shares.iter().copied()).collect()
    }

    /// Returns shares in the order of this split's failure domains.
    fn in_domain_order(&self, shares: &[(DomainKey, f64)]) -> Vec<f64> {
        let share_of = |domain: &DomainKey| {
            shares.iter().find(|share| share.0 == *domain).map_or(0.0, |share| share.1)
        };
        self.domains.iter().map(share_of).collect()
    }

    /// Returns whether the current bucket has ended.
    pub fn is_due(&self, now_ms: u64) -> bool {
        self.bucket_ends_at_ms <= now_ms
    }

    /// Returns when the current bucket ends, in milliseconds.
    pub fn bucket_ends_at_ms(&self) -> u64 {
        self.bucket_ends_at_ms
    }

    /// Begins the next bucket, with shares as close to the target as the cap allows.
    ///
    /// The step is the largest toward the target after which no pair of windows (see
    /// `History::window_pairs`) moves more than [`STANDING_CAP_FRACTION`] of the cap, given at
    /// most `BURST_FACTOR` times the requests of the busiest bucket.
    pub fn begin_bucket(&mut self, target: &[f64], cap: TrafficCap, now_ms: u64) {
        let bucket_ms = (cap.window_ms / BUCKETS_PER_WINDOW as u64).max(1);
        let elapsed_buckets = now_ms.saturating_sub(self.bucket_ends_at_ms) / bucket_ms;
        for _ in 0..elapsed_buckets.min(3 * BUCKETS_PER_WINDOW as u64) {
            self.history.begin_bucket(&self.shares);
        }
        self.bucket_ends_at_ms = now_ms - (now_ms - self.bucket_ends_at_ms) % bucket_ms + bucket_ms;
        let cap_share = cap.percent / 100.0;
        self.is_capped = cap_share < UNLIMITED_CAP_SHARE;
        self.max_moved_share = cap_share * STANDING_CAP_FRACTION;
        self.covered_requests =
            (BURST_FACTOR * self.history.max_bucket_requests()).max(BURST_FACTOR);
        if self.is_capped {
            self.step_toward(target);
        } else {
            self.shares = target.to_vec();
        }
        self.history.begin_bucket(&self.shares);
    }

    fn step_toward(&mut self, target: &[f64]) {
        let pairs = self.history.window_pairs();
        if self.is_within_cap(&pairs, &self.shares) {
            self.shares = self.farthest_within_cap(&pairs, &self.shares, target);
        } else {
            self.step_back(&pairs);
        }
    }

    /// Moves the shares back toward those of one window ago, as far as the cap requires.
    ///
    /// Otherwise a burst of requests at the end of a shift would have more weight than the steps
    /// assumed. If even the old shares exceed the cap, because a wider failover cap was in force, the
    /// shares stay.
    fn step_back(&mut self, pairs: &[WindowPair]) {
        let old_shares = self.history.shares_at_age(BUCKETS_PER_WINDOW);
        if self.is_within_cap(pairs, &old_shares) {
            self.shares = self.farthest_within_cap(pairs, &old_shares, &self.shares);
        }
    }

    fn is_within_cap(&self, pairs: &[WindowPair], shares: &[f64]) -> bool {
        pairs
            .iter()
            .all(|pair| pair.moved_share(shares, self.covered_requests) <= self.max_moved_share)
    }

    /// Returns the farthest shares on the line between two points that keep the cap; the start must
    /// keep it.
    fn farthest_within_cap(&self, pairs: &[WindowPair], from: &[f64], to: &[f64]) -> Vec<f64> {
        let interpolate = |fraction: f64| -> Vec<f64> {
            from.iter().zip(to).map(|(from, to)| from + fraction * (to - from)).collect()
        };
        if self.is_within_cap(pairs, to) {
            return to.to_vec();
        }
        let (mut allowed, mut exceeding) = (0.0, 1.0);
        for _ in 0..BISECTION_STEPS {
            let middle = f64::midpoint(allowed, exceeding);
            if self.is_within_cap(pairs, &interpolate(middle)) {
                allowed = middle;
            } else {
                exceeding = middle;
            }
        }
        interpolate(allowed)
    }

    /// Switches for the rest of the bucket to shares that keep the cap for any number of requests,
    /// if such shares are reachable.
    fn handle_burst(&mut self) {
        self.covered_requests = f64::INFINITY;
        let pairs = self.history.window_pairs();
        if !self.is_within_cap(&pairs, &self.shares) {
            self.step_back(&pairs);
        }
    }

    /// Assigns a request to its home: the domain whose number of requests lags its share the most.
    pub fn assign_home(&mut self, cap: TrafficCap) -> Option<usize> {
        if self.is_capped && self.history.current_bucket_requests() >= self.covered_requests {
            self.handle_burst();
        }
        self.history.add_request(&self.shares);
        let earned_tokens = cap.percent / 100.0 * TOKEN_CAP_FRACTION;
        let max_tokens = 1.0_f64.max(2.0 * earned_tokens * self.history.previous_bucket_requests());
        self.tokens = (self.tokens + earned_tokens).min(max_tokens);
        for (remainder, share) in self.remainders.iter_mut().zip(&self.shares) {
            *remainder += share;
        }
        let home = (0..self.shares.len())
            .filter(|index| self.shares[*index] > 0.0)
            .max_by(|a, b| self.remainders[*a].total_cmp(&self.remainders[*b]))?;
        self.remainders[home] -= 1.0;
        Some(home)
    }

    /// Moves a request from one domain to another if a token is available or no cap applies.
    pub fn try_move_request(&mut self, from: usize, to: usize) -> bool {
        if from == to || !self.is_capped {
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

/// Returns half the sum of the absolute differences: the share that moves from one split to the
/// other.
fn distance(a: &[f64], b: &[f64]) -> f64 {
    a.iter().zip(b).map(|(a, b)| (a - b).abs()).sum::<f64>() / 2.0
}
