//! Rate limits that upstreams state, which hold for all VMs together.
//!
//! An upstream under pressure states with its responses how many requests per second it takes, for as
//! long as it says so. The limit is divided among a few VMs that all VMs choose alike, by rendezvous
//! hashing over those that serve in the upstream's region: the parts of hundreds of VMs would be less
//! than a request in minutes. The other VMs send nothing until the limit ends.
//!
//! A VM that receives a response with a limit tells the other VMs, and again while it receives more,
//! so that a VM without requests of its own learns of the limit and of its end. A limit of which
//! nothing is heard for half a minute is forgotten; the next response states it again.

use super::reports::{Report, ReportQueue};
use super::upstreams::IncarnationKey;
use crate::hash::Map;
use crate::key::VmKey;
use crate::rendezvous;

/// The share of a limit that the VMs together use while they hear each other.
const USABLE_SHARE: f64 = 0.95;

/// The share of a limit that VMs use while some are silent: these may share it with others on the
/// other side of a partition, and both sides together exceed it by less than half.
const PARTITIONED_USABLE_SHARE: f64 = 0.7;

/// The smallest part of a limit that a VM gets, in requests per second, unless the limit is smaller.
const MIN_PART_PER_S: f64 = 1.0;

/// The rate at which a limit close to zero is used, in requests per second, to learn of its end.
const MIN_RATE_PER_S: f64 = 0.2;

/// The largest limit that is taken from an upstream, in requests per second.
const MAX_LIMIT_PER_S: f64 = 1e6;

/// The time whose requests a VM may save up, in seconds, one request at least.
const BURST_S: f64 = 0.25;

/// The time for which a saved-up request is left to those whose object is warm at the upstream, in
/// seconds.
const WARM_ONLY_S: f64 = 0.5;

/// The time between two reports of an unchanged limit, in milliseconds.
const RENEWAL_INTERVAL_MS: u64 = 8_000;

/// The time without news after which a limit is forgotten, in milliseconds.
const MEMORY_MS: u64 = 30_000;

/// The spread of that time over VMs, in milliseconds, so that they don't all send again at once.
const MEMORY_SPREAD_MS: u64 = 30_000;

/// The most limits that are remembered; those of unknown upstreams are dropped at the next update.
const MAX_LIMITS: usize = 4_096;

/// The difference of a limit that is told at once, as a share of it.
const CHANGE_SHARE: f64 = 0.1;

/// The delay that a caller is told when this VM has no part of any limit, in milliseconds.
const NO_PART_RETRY_AFTER_MS: u64 = 1_000;

#[derive(Debug)]
struct RateLimit {
    per_s: f64,
    /// When the limit was first heard of, in milliseconds.
    since_ms: u64,
    /// When it was last observed, by any VM, in milliseconds.
    observed_at_ms: u64,
    reported_at_ms: u64,
    /// This VM's part, in requests per second; 0 if others share the limit.
    own_per_s: f64,
    tokens: f64,
    refilled_at_ms: u64,
}

impl RateLimit {
    fn tokens_at(&self, now_ms: u64) -> f64 {
        self.uncapped_tokens_at(now_ms).min((BURST_S * self.own_per_s).max(1.0))
    }

    fn uncapped_tokens_at(&self, now_ms: u64) -> f64 {
        let elapsed_s = now_ms.saturating_sub(self.refilled_at_ms) as f64 / 1_000.0;
        self.tokens + elapsed_s * self.own_per_s
    }

    fn set_part(&mut self, own_per_s: f64, now_ms: u64) {
        if (self.own_per_s - own_per_s).abs() > f64::EPSILON {
            self.tokens = self.tokens_at(now_ms);
            self.refilled_at_ms = now_ms;
            self.own_per_s = own_per_s;
        }
    }

    fn differs_from(&self, per_s: f64) -> bool {
        (self.per_s - per_s).abs() > CHANGE_SHARE * self.per_s.min(per_s)
    }
}

/// The rate limits of upstreams, as known to one VM.
#[derive(Debug)]
pub struct RateLimits {
    own: VmKey,
    limits: Map<IncarnationKey, RateLimit>,
    /// When limits that have ended were last observed to have, in milliseconds.
    ended_at_ms: Map<IncarnationKey, u64>,
    parts_computed: u64,
}

impl RateLimits {
    /// Creates the table of a VM that knows no limits.
    pub fn new(own: VmKey) -> Self {
        Self { own, limits: Map::default(), ended_at_ms: Map::default(), parts_computed: 0 }
    }

    /// Returns how often this VM's part of some limit has been computed, which takes time for each VM.
    pub fn parts_computed(&self) -> u64 {
        self.parts_computed
    }

    /// Returns the limit of an upstream, in requests per second, if it has one.
    pub fn limit_per_s(&self, upstream: IncarnationKey) -> Option<f64> {
        self.limits.get(&upstream).map(|limit| limit.per_s)
    }

    /// Returns the number of upstreams with a limit.
    pub fn len(&self) -> usize {
        self.limits.len()
    }

    /// Returns whether no upstream has a limit.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Returns whether this VM may send a request to an upstream now.
    pub fn allows(&self, upstream: IncarnationKey, now_ms: u64) -> bool {
        self.limits.get(&upstream).is_none_or(|limit| limit.tokens_at(now_ms) >= 1.0)
    }

    /// Returns whether this VM may send a request to an upstream that doesn't have its object warm:
    /// only what requests for warm objects leave, since others take longer.
    pub fn allows_any_object(&self, upstream: IncarnationKey, now_ms: u64) -> bool {
        self.limits.get(&upstream).is_none_or(|limit| {
            limit.uncapped_tokens_at(now_ms) >= 1.0 + WARM_ONLY_S * limit.own_per_s
        })
    }

    /// Records that a request is about to be sent to an upstream.
    pub fn record_send(&mut self, upstream: IncarnationKey, now_ms: u64) {
        if let Some(limit) = self.limits.get_mut(&upstream) {
            limit.tokens = (limit.tokens_at(now_ms) - 1.0).max(0.0);
            limit.refilled_at_ms = now_ms;
        }
    }

    /// Returns the time until this VM may send to one of some upstreams, in milliseconds; `None` if
    /// none of them has a limit.
    pub fn retry_after_ms(
        &self,
        upstreams: impl Iterator<Item = IncarnationKey>,
        now_ms: u64,
    ) -> Option<u64> {
        let limits = upstreams.filter_map(|upstream| self.limits.get(&upstream));
        let delays = limits.map(|limit| {
            if limit.own_per_s <= 0.0 {
                return NO_PART_RETRY_AFTER_MS;
            }
            let missing = (1.0 - limit.tokens_at(now_ms)).max(0.0);
            (missing / limit.own_per_s * 1_000.0).ceil() as u64
        });
        delays.min()
    }

    /// Records what a response of an upstream states, for a request sent at a given time, and tells the
    /// other VMs. `None` as the limit ends one that was known when the request was sent.
    ///
    /// Returns whether the limit is new, has changed or has ended.
    pub fn record_response(
        &mut self,
        upstream: IncarnationKey,
        stated_per_s: Option<f64>,
        sent_at_ms: u64,
        reports: &mut ReportQueue,
        now_ms: u64,
    ) -> bool {
        let known = self.limits.get(&upstream);
        let Some(per_s) = stated_per_s else {
            // A response from before the limit says nothing of it.
            let ends = known.is_some_and(|limit| sent_at_ms >= limit.since_ms);
            if ends {
                self.end(upstream, now_ms, now_ms);
                reports.announce(Report::RateLimit { upstream, per_s: None, age_ms: 0 }, now_ms);
            }
            return ends;
        };
        let is_news = known.is_none_or(|limit| limit.differs_from(per_s.min(MAX_LIMIT_PER_S)));
        let is_due = known.is_none_or(|limit| now_ms >= limit.reported_at_ms + RENEWAL_INTERVAL_MS);
        let report = Report::RateLimit { upstream, per_s: Some(per_s), age_ms: 0 };
        if is_news {
            reports.announce(report, now_ms);
        } else if is_due {
            reports.renew(report, now_ms);
        }
        self.set(upstream, per_s, now_ms, now_ms);
        if let Some(limit) = self.limits.get_mut(&upstream)
            && (is_news || is_due)
        {
            limit.reported_at_ms = now_ms;
        }
        is_news
    }

    /// Records a report of another VM, and returns whether it was news.
    pub fn receive(
        &mut self,
        upstream: IncarnationKey,
        per_s: Option<f64>,
        age_ms: u64,
        now_ms: u64,
    ) -> bool {
        let observed_at_ms = now_ms.saturating_sub(age_ms);
        let known = self.limits.get(&upstream);
        if known.is_some_and(|limit| limit.observed_at_ms > observed_at_ms) {
            return false;
        }
        match per_s {
            None => self.end(upstream, observed_at_ms, now_ms),
            // A report from before the end of the limit, which was overtaken.
            Some(_) if self.ended_at_ms.get(&upstream).is_some_and(|at| *at > observed_at_ms) => {
                false
            }
            Some(per_s) if per_s.is_finite() && per_s >= 0.0 => {
                // A renewal is relayed too, so that it reaches all VMs, but once by each.
                let is_news = known.is_none_or(|limit| {
                    observed_at_ms >= limit.observed_at_ms + RENEWAL_INTERVAL_MS / 2
                        || limit.differs_from(per_s)
                });
                self.set(upstream, per_s, observed_at_ms, now_ms);
                is_news
            }
            Some(_) => false,
        }
    }

    /// Ends a limit, and returns whether it was in force.
    fn end(&mut self, upstream: IncarnationKey, observed_at_ms: u64, now_ms: u64) -> bool {
        self.ended_at_ms.retain(|_, at_ms| now_ms < *at_ms + MEMORY_MS);
        if self.ended_at_ms.len() < MAX_LIMITS {
            self.ended_at_ms.insert(upstream, observed_at_ms);
        }
        self.limits.remove(&upstream).is_some()
    }

    fn set(&mut self, upstream: IncarnationKey, per_s: f64, observed_at_ms: u64, now_ms: u64) {
        let per_s = per_s.clamp(0.0, MAX_LIMIT_PER_S);
        if self.limits.len() >= MAX_LIMITS && !self.limits.contains_key(&upstream) {
            return;
        }
        let limit = self.limits.entry(upstream).or_insert(RateLimit {
            per_s,
            since_ms: now_ms,
            observed_at_ms,
            reported_at_ms: 0,
            own_per_s: 0.0,
            tokens: 0.0,
            refilled_at_ms: now_ms,
        });
        limit.per_s = per_s;
        limit.observed_at_ms = observed_at_ms;
    }

    /// Updates this VM's part of an upstream's limit, which `vms` share, after news of the limit.
    pub fn update_part(
        &mut self,
        upstream: IncarnationKey,
        vms: &[VmKey],
        hears_all: bool,
        now_ms: u64,
    ) {
        let own = self.own;
        if let Some(limit) = self.limits.get_mut(&upstream) {
            let usable_per_s = usable_per_s(limit.per_s, hears_all);
            limit.set_part(part_per_s(usable_per_s, upstream, own, vms), now_ms);
            self.parts_computed += 1;
        }
    }

    /// Updates this VM's part of an upstream's limit while it doesn't know which VMs share it, but how many there
    /// are at the most.
    pub fn update_equal_part(&mut self, upstream: IncarnationKey, max_vms: usize, now_ms: u64) {
        if let Some(limit) = self.limits.get_mut(&upstream) {
            let usable_per_s = limit.per_s * PARTITIONED_USABLE_SHARE;
            limit.set_part(usable_per_s / max_vms.max(1) as f64, now_ms);
            self.parts_computed += 1;
        }
    }

    /// As [`update_equal_part`](Self::update_equal_part), for all limits.
    pub fn update_equal_parts(&mut self, max_vms: usize, now_ms: u64) {
        let upstreams: Vec<_> = self.limits.keys().copied().collect();
        for upstream in upstreams {
            self.update_equal_part(upstream, max_vms, now_ms);
        }
    }

    /// Updates this VM's parts of all limits, for which `vms` returns the VMs that share the limit.
    pub fn update_parts<'a>(
        &mut self,
        vms: impl Fn(IncarnationKey) -> &'a [VmKey],
        hears_all: bool,
        now_ms: u64,
    ) {
        let upstreams: Vec<_> = self.limits.keys().copied().collect();
        for upstream in upstreams {
            self.update_part(upstream, vms(upstream), hears_all, now_ms);
        }
    }

    /// Forgets the limit of an upstream that is unknown.
    pub fn forget(&mut self, upstream: IncarnationKey) {
        self.limits.remove(&upstream);
    }

    /// Forgets limits of which nothing is heard, and those of unknown upstreams.
    pub fn forget_outdated(&mut self, is_known: impl Fn(IncarnationKey) -> bool, now_ms: u64) {
        let own = self.own;
        self.limits.retain(|upstream, limit| {
            let spread_ms = rendezvous::score(own.0, upstream.0) % MEMORY_SPREAD_MS;
            now_ms < limit.observed_at_ms + MEMORY_MS + spread_ms && is_known(*upstream)
        });
    }
}

fn usable_per_s(limit_per_s: f64, hears_all: bool) -> f64 {
    let share = if hears_all { USABLE_SHARE } else { PARTITIONED_USABLE_SHARE };
    (limit_per_s * share).max(MIN_RATE_PER_S)
}

/// Returns a VM's part of a rate that some VMs share, in requests per second; 0 if it has none.
fn part_per_s(usable_per_s: f64, upstream: IncarnationKey, own: VmKey, vms: &[VmKey]) -> f64 {
    let parts = ((usable_per_s / MIN_PART_PER_S) as usize).clamp(1, vms.len().max(1));
    let score = |vm: &VmKey| (rendezvous::score(upstream.0, vm.0), vm.0);
    let own_score = score(&own);
    let before_own = vms.iter().filter(|vm| score(vm) > own_score).count();
    if vms.contains(&own) && before_own < parts { usable_per_s / parts as f64 } else { 0.0 }
}
