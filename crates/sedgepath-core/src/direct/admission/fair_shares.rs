//! Callers that send more than their share of a service's recent requests.
//!
//! The state is bounded: beyond `MAX_CALLERS`, the caller with the fewest recent requests is replaced.
//! Its count is carried over as a possible excess of the new one, which thus can't be found to send more
//! than its share wrongly.

use crate::hash::Map;

use super::CallerKey;

/// The most callers of a service that are counted one by one.
const MAX_CALLERS: usize = 128;

/// The half-life of the counts of requests, in milliseconds.
const HALF_LIFE_MS: f64 = 2_000.0;

/// The interval at which the counts decay and the shares are computed, in milliseconds.
const UPDATE_INTERVAL_MS: u64 = 100;

/// The multiple of an equal share of the requests from which on a caller sends more than its share.
const EXCESS_FACTOR: f64 = 1.5;

/// The recent requests beyond that which any caller may send.
const TOLERATED_REQUESTS: f64 = 3.0;

/// The recent requests below which a caller is forgotten.
const FORGOTTEN_BELOW: f64 = 0.05;

#[derive(Debug, Clone, Copy, Default)]
struct CallerCounts {
    requests: f64,
    /// The part of the requests that other callers may have sent.
    possible_excess: f64,
    admitted: f64,
}

impl CallerCounts {
    fn own_requests(self) -> f64 {
        self.requests - self.possible_excess
    }
}

/// The recent requests of a service by caller.
#[derive(Debug, Default)]
pub struct FairShares {
    callers: Map<CallerKey, CallerCounts>,
    requests: f64,
    admitted: f64,
    /// The recent requests from which on a caller sends more than its share.
    max_requests: f64,
    /// The recently admitted requests of a caller that sends at least as many: those that all callers
    /// get if the slots are divided equally and unused parts go to the others.
    share: f64,
    updated_at_ms: u64,
}

impl FairShares {
    /// Records a request.
    pub fn record_request(&mut self, caller: CallerKey, now_ms: u64) {
        self.update(now_ms);
        self.requests += 1.0;
        if !self.callers.contains_key(&caller) && self.callers.len() >= MAX_CALLERS {
            self.replace_least(caller);
        }
        self.callers.entry(caller).or_default().requests += 1.0;
    }

    /// Records that a request may run or wait for a slot.
    pub fn record_admission(&mut self, caller: CallerKey, now_ms: u64) {
        self.update(now_ms);
        self.admitted += 1.0;
        if let Some(counts) = self.callers.get_mut(&caller) {
            counts.admitted += 1.0;
        }
    }

    /// Returns whether a caller sends more than its share of the requests.
    pub fn sends_excess(&self, caller: CallerKey) -> bool {
        let counts = self.callers.get(&caller);
        let max_requests = self.max_requests.max(TOLERATED_REQUESTS);
        counts.is_some_and(|counts| counts.own_requests() > max_requests)
    }

    /// Returns whether a caller sends more than its share, and has been admitted as often as its share
    /// allows.
    pub fn is_used_up(&self, caller: CallerKey) -> bool {
        let admitted = self.callers.get(&caller).map_or(0.0, |counts| counts.admitted);
        self.sends_excess(caller) && admitted >= self.share
    }

    /// Returns the time until a caller that has used up its share is admitted again, in milliseconds.
    pub fn next_admission_in_ms(&self, caller: CallerKey) -> u64 {
        let admitted = self.callers.get(&caller).map_or(0.0, |counts| counts.admitted);
        let excess_factor = (admitted / self.share.max(1.0)).max(1.0);
        (excess_factor.log2() * HALF_LIFE_MS) as u64
    }

    fn replace_least(&mut self, caller: CallerKey) {
        let requests = |counts: &CallerCounts| counts.requests;
        let least = self
            .callers
            .iter()
            .min_by(|(_, one), (_, other)| requests(one).total_cmp(&requests(other)));
        if let Some((least, counts)) = least.map(|(least, counts)| (*least, *counts)) {
            self.callers.remove(&least);
            let requests = counts.requests;
            let counts = CallerCounts { requests, possible_excess: requests, admitted: 0.0 };
            self.callers.insert(caller, counts);
        }
    }

    fn update(&mut self, now_ms: u64) {
        let age_ms = now_ms.saturating_sub(self.updated_at_ms);
        if age_ms < UPDATE_INTERVAL_MS {
            return;
        }
        self.updated_at_ms = now_ms;
        let kept = 0.5_f64.powf(age_ms as f64 / HALF_LIFE_MS);
        self.requests *= kept;
        self.admitted *= kept;
        self.callers.retain(|_, counts| {
            counts.requests *= kept;
            counts.possible_excess *= kept;
            counts.admitted *= kept;
            counts.requests >= FORGOTTEN_BELOW
        });
        let mean = self.requests / self.callers.len().max(1) as f64;
        self.max_requests = mean * EXCESS_FACTOR + TOLERATED_REQUESTS;
        self.share = self.equal_share();
    }

    /// Returns the share with which all callers together get what has been admitted.
    fn equal_share(&self) -> f64 {
        let mut requests: Vec<f64> =
            self.callers.values().map(|counts| counts.own_requests()).collect();
        requests.sort_unstable_by(f64::total_cmp);
        let counted: f64 = requests.iter().sum();
        let mut left = (self.admitted - (self.requests - counted).max(0.0)).max(0.0);
        let mut callers = requests.len() as f64;
        for requests in requests {
            if requests * callers > left {
                return left / callers;
            }
            left -= requests;
            callers -= 1.0;
        }
        f64::INFINITY
    }
}
