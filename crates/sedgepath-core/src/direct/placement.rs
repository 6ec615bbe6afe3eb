//! The choice of the upstream that runs a request.
//!
//! An upstream that recently ran a request for an object runs the next one faster, but caches a
//! limited number of objects. The upstreams of a service are therefore ranked for each object by
//! weighted rendezvous hashing, nearby ones with a larger weight. All VMs of a region compute the
//! same ranking without messages, and an upstream that joins or leaves moves only its own objects.
//!
//! Of the first [`PlacementWeights::candidate_count`] upstreams, the one with the least expected
//! cost is chosen: the wait for a slot, the work (warm or cold), the network time, the upstream's
//! slowness and its failures. A hot object thus spills to a few upstreams only, where it is warm.
//!
//! Where upstreams state how long work takes on their machine, their pace, the candidates most likely to
//! finish in time come before those with the least cost.

mod finishing;

use crate::hash::Set;

use super::rate_limits::RateLimits;
use super::upstreams::{Upstream, UpstreamKey};

pub use finishing::FinishLimits;

/// The number of top-ranked upstreams considered for a request. A larger number spreads a busy
/// service's objects over more upstreams than can cache them.
pub const CANDIDATE_COUNT: usize = 2;

/// The number of top-ranked upstreams considered for a request that no upstream runs faster than others
/// for its cache, if any of them states its pace.
pub const PACED_CANDIDATE_COUNT: usize = 4;

/// The rendezvous weight of an upstream in the VM's own region, relative to other regions.
///
/// All failure domains of the region share it, so that their VMs rank the upstreams of an object
/// alike. With a larger weight for the own domain, each object would have two first upstreams in a
/// region whose callers request the same objects.
pub const OWN_REGION_WEIGHT: f64 = 4.0;

/// The rendezvous weight of an upstream in the VM's own failure domain for large responses, whose
/// transfer costs more than a wait for a slot.
pub const LARGE_RESPONSE_DOMAIN_WEIGHT: f64 = 128.0;

/// The cost of each rank after the first, in milliseconds, since the object takes up space in another
/// cache.
pub const SPILL_COST_MS: f64 = 100.0;

/// The growth of the spill cost with the share of evicted objects, as a multiple of
/// [`SPILL_COST_MS`].
///
/// Where caches are small, an object at two upstreams evicts another one at each. The evicted
/// object's requests run longer, which fills their upstream and causes more spills.
pub const EVICTION_SPILL_FACTOR: f64 = 40.0;

/// The mean size above which responses count as large, in bytes.
const LARGE_RESPONSE_BYTES: f64 = 30_000.0;

/// The cost of a failed request, in milliseconds: the approximate time of a retry at another
/// upstream.
const FAILURE_COST_MS: f64 = 1_500.0;

/// The round trip that is assumed to other failure domains of the VM's own region, in milliseconds.
const SAME_REGION_RTT_MS: f64 = 4.0;

/// The silence after which an upstream with a single request in flight counts as unresponsive, as a
/// multiple of the time of cold work. With more requests the limit is lower, since some of them
/// should have ended.
const SINGLE_REQUEST_SILENCE_FACTOR: f64 = 1.6;

/// The lower bound of the time of cold work that silence is compared with, in milliseconds, so that
/// round trips, timers and bursts on a busy VM take only a fraction of it.
const MIN_COLD_WORK_MS: f64 = 400.0;

/// The lower bound of the silence limit for an upstream with many requests in flight, as a multiple
/// of the time of cold work.
const MIN_SILENCE_FACTOR: f64 = 0.8;

/// The parameters of the choice of an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementWeights {
    /// Whether all requests for an object share one ranking; otherwise each request has its own.
    pub object_affinity: bool,
    /// See [`CANDIDATE_COUNT`].
    pub candidate_count: usize,
    /// See [`PACED_CANDIDATE_COUNT`].
    pub paced_candidate_count: usize,
    /// Whether the paces that upstreams state are used.
    pub work_pace: bool,
    /// Whether the candidates most likely to finish in time come first where paces are known.
    pub finish_probability: bool,
    /// See [`OWN_REGION_WEIGHT`].
    pub own_region_weight: f64,
    /// See [`LARGE_RESPONSE_DOMAIN_WEIGHT`].
    pub large_response_domain_weight: f64,
    /// See [`SPILL_COST_MS`].
    pub spill_cost_ms: f64,
    /// See [`EVICTION_SPILL_FACTOR`].
    pub eviction_spill_factor: f64,
}

impl Default for PlacementWeights {
    fn default() -> Self {
        Self {
            object_affinity: true,
            candidate_count: CANDIDATE_COUNT,
            paced_candidate_count: PACED_CANDIDATE_COUNT,
            work_pace: true,
            finish_probability: true,
            own_region_weight: OWN_REGION_WEIGHT,
            large_response_domain_weight: LARGE_RESPONSE_DOMAIN_WEIGHT,
            spill_cost_ms: SPILL_COST_MS,
            eviction_spill_factor: EVICTION_SPILL_FACTOR,
        }
    }
}

/// The network distance to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Proximity {
    /// In the VM's own failure domain.
    SameDomain,
    /// In another failure domain of the VM's own region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

/// Moving averages of the time that a service's requests take.
#[derive(Debug, Clone, Copy)]
pub struct ServiceTimes {
    /// The mean work for an object that the upstream recently handled, in milliseconds.
    pub warm_ms: f64,
    /// The mean work for any other object, in milliseconds.
    pub cold_ms: f64,
    /// The mean of the cluster of shorter times, warm or not, in milliseconds.
    fast_ms: f64,
    /// The mean of the cluster of longer times, in milliseconds.
    slow_ms: f64,
    /// The share of short times among requests whose object the upstream should have cached.
    cache_hit_share: f64,
}

/// The weight of a new sample in the mean times of warm and cold work.
const WORK_SAMPLE_WEIGHT: f64 = 0.03;

/// The weight of a new sample in the two clusters of times and in the cache hit share: about the last
/// twenty count.
const CLUSTER_SAMPLE_WEIGHT: f64 = 0.05;

/// The least ratio of the longer to the shorter times for two distinct clusters; below it, times
/// don't depend on the cache.
const MIN_CLUSTER_RATIO: f64 = 1.5;

/// The share of requests for cached objects that may take long without a cache miss, since unreported
/// queues and slow upstreams look the same.
const TOLERATED_EVICTED_SHARE: f64 = 0.1;

impl Default for ServiceTimes {
    fn default() -> Self {
        // Estimates until there are samples.
        Self {
            warm_ms: 250.0,
            cold_ms: 600.0,
            fast_ms: 250.0,
            slow_ms: 600.0,
            cache_hit_share: 1.0,
        }
    }
}

impl ServiceTimes {
    /// Records the time of a request that found a free slot.
    pub fn record_time(&mut self, warm: bool, took_ms: f64) {
        let mean_ms = if warm { &mut self.warm_ms } else { &mut self.cold_ms };
        *mean_ms += WORK_SAMPLE_WEIGHT * (took_ms - *mean_ms);
        let is_fast = (took_ms - self.fast_ms).abs() < (took_ms - self.slow_ms).abs();
        let cluster_ms = if is_fast { &mut self.fast_ms } else { &mut self.slow_ms };
        *cluster_ms += CLUSTER_SAMPLE_WEIGHT * (took_ms - *cluster_ms);
        if warm {
            let cache_hit = is_fast || self.slow_ms < MIN_CLUSTER_RATIO * self.fast_ms;
            self.cache_hit_share +=
                CLUSTER_SAMPLE_WEIGHT * (f64::from(cache_hit) - self.cache_hit_share);
        }
    }

    /// Returns the share of cached objects that upstreams have evicted, beyond the tolerated share.
    ///
    /// The share is derived from the clusters of short and long times rather than from the means of
    /// warm and cold work, which are alike where most objects are evicted.
    pub fn evicted_share(&self) -> f64 {
        (1.0 - self.cache_hit_share - TOLERATED_EVICTED_SHARE).max(0.0)
    }

    /// Returns the expected work in milliseconds, without the wait for a slot.
    pub fn work_ms(&self, warm: bool) -> f64 {
        if warm { self.warm_ms } else { self.cold_ms.max(self.warm_ms) }
    }
}

/// The properties of a request and of its VM that determine the choice of an upstream.
#[derive(Debug, Clone, Copy)]
pub struct PlacementQuery<'a> {
    /// The parameters of the choice.
    pub weights: PlacementWeights,
    /// A digest of the requested object, or a random number.
    pub object: u64,
    /// Whether an upstream runs later requests for an object faster.
    pub sticky: bool,
    /// The mean size of the route's responses in bytes.
    pub response_bytes: f64,
    /// The VM's failure domain.
    pub domain: &'a str,
    /// The VM's region.
    pub region: &'a str,
    /// The mean round trip to other regions in milliseconds.
    pub other_region_rtt_ms: f64,
    /// The time that the service's requests take.
    pub times: ServiceTimes,
    /// The evacuated failure domains, whose upstreams get no requests.
    pub evacuated: &'a Set<Box<str>>,
    /// The regions that may run the route's requests; empty if any may.
    pub home_regions: &'a [Box<str>],
    /// The regions that may run the client account's requests; empty if any may.
    pub account_home_regions: &'a [Box<str>],
    /// The rate limits that upstreams state.
    pub rate_limits: &'a RateLimits,
    /// The most requests, each on its own connection, that this VM may have in flight at an upstream.
    pub max_in_flight: u32,
    /// The times by which the request should and must have its response.
    pub limits: FinishLimits,
    /// The upstreams that the request has been sent to, which don't get it again.
    pub tried_upstreams: &'a [UpstreamKey],
    /// The current time in milliseconds.
    pub now_ms: u64,
}

/// An upstream considered for a request, with its estimated times.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The key of the upstream.
    pub upstream: UpstreamKey,
    /// The expected cost in milliseconds: the response time plus penalties for failures and rank.
    pub expected_ms: f64,
    /// The expected wait for a slot, in milliseconds.
    pub wait_ms: f64,
    /// The expected response time with the penalty for failures, in milliseconds.
    pub finish_ms: f64,
    /// The expected network round trip, in milliseconds.
    pub network_ms: f64,
    /// The spread of the response time, in milliseconds.
    pub spread_ms: f64,
    /// The pace in effect as a factor of the usual one, if the upstream has stated one.
    pub pace: Option<f64>,
    /// Whether the upstream recently ran a request for the object.
    pub warm: bool,
    /// Whether the object would take up space in a further cache.
    pub needs_cache: bool,
    /// The upstream's rank for the object, starting at 0.
    pub rank: usize,
}

/// Returns whether responses of a mean size in bytes count as large.
pub fn is_large(mean_bytes: f64) -> bool {
    mean_bytes > LARGE_RESPONSE_BYTES
}

fn is_home(home_regions: &[Box<str>], region: &str) -> bool {
    home_regions.is_empty() || home_regions.iter().any(|home| **home == *region)
}

impl PlacementQuery<'_> {
    /// Returns whether an upstream may get the request whatever the object's ranking, regardless of the
    /// upstream's health.
    pub fn is_eligible(&self, key: UpstreamKey, upstream: &Upstream) -> bool {
        self.is_permitted(key, upstream)
            && self.rate_limits.allows_any_object(upstream.incarnation, self.now_ms)
    }

    /// As [`is_eligible`](Self::is_eligible), regardless of the upstream's rate limit.
    pub fn is_permitted(&self, key: UpstreamKey, upstream: &Upstream) -> bool {
        upstream.pause_ends_at_ms(self.now_ms).is_none()
            && self.is_permitted_after_pause(key, upstream)
    }

    /// As [`is_permitted`](Self::is_permitted), regardless of a pause that the upstream has asked for.
    pub fn is_permitted_after_pause(&self, key: UpstreamKey, upstream: &Upstream) -> bool {
        !upstream.is_leaving()
            && !self.evacuated.contains(&upstream.entry.domain)
            && is_home(self.home_regions, &upstream.region)
            && is_home(self.account_home_regions, &upstream.region)
            && upstream.in_flight < self.max_in_flight
            && !self.tried_upstreams.contains(&key)
    }

    /// Returns whether an upstream is neither ejected nor cold nor unresponsive.
    fn is_healthy(&self, upstream: &Upstream) -> bool {
        upstream.ejected_until_ms <= self.now_ms
            && !upstream.is_cold(self.now_ms)
            && !self.is_unresponsive(upstream)
    }

    /// Returns whether an upstream has been silent for so long that it is presumably down.
    ///
    /// An upstream that lost its power neither responds nor resets connections, so requests to it
    /// would wait for their deadline.
    fn is_unresponsive(&self, upstream: &Upstream) -> bool {
        let running = upstream.in_flight.clamp(1, upstream.entry.slots.max(1));
        let factor = (SINGLE_REQUEST_SILENCE_FACTOR / f64::from(running)).max(MIN_SILENCE_FACTOR);
        let cold_work_ms = self.times.cold_ms.max(MIN_COLD_WORK_MS);
        // Requests of other VMs may be ahead in the upstream's queue.
        let in_flight_per_slot =
            f64::from(upstream.in_flight) / f64::from(upstream.entry.slots.max(1));
        let wait_ms = in_flight_per_slot * self.times.cold_ms;
        upstream.silence_ms(self.now_ms) as f64 > factor * cold_work_ms + wait_ms
    }

    /// Returns the candidate with the least expected cost among the top-ranked healthy upstreams.
    ///
    /// An upstream at its rate limit is passed over. The rate of a limited one is left to requests that
    /// rank it at the top, unless they don't use it up.
    pub fn choose<'a>(
        &self,
        upstreams: impl Iterator<Item = (UpstreamKey, &'a Upstream)>,
    ) -> Option<Candidate> {
        let mut ranked: Vec<(f64, UpstreamKey, &Upstream)> = upstreams
            .filter(|(key, upstream)| {
                self.is_permitted(*key, upstream) && self.is_healthy(upstream)
            })
            .map(|(key, upstream)| (self.rendezvous_score(upstream), key, upstream))
            .collect();
        ranked.sort_unstable_by(|one, other| one.0.total_cmp(&other.0));
        let has_rate = |(rank, (_, _, upstream)): &(usize, &(f64, UpstreamKey, &Upstream))| {
            if *rank < self.weights.candidate_count {
                self.rate_limits.allows(upstream.incarnation, self.now_ms)
            } else {
                self.rate_limits.allows_any_object(upstream.incarnation, self.now_ms)
            }
        };
        let with_rate = ranked.iter().enumerate().filter(has_rate).map(|(_, ranked)| ranked);
        let mut estimated = with_rate
            .enumerate()
            .map(|(rank, (_, key, upstream))| self.estimate(rank, *key, upstream));
        let mut candidates: Vec<Candidate> =
            estimated.by_ref().take(self.weights.candidate_count).collect();
        if candidates.iter().any(|candidate| candidate.pace.is_some()) {
            candidates.extend(estimated.take(self.further_candidate_count()));
            self.retain_by_pace(&mut candidates);
        }
        candidates.into_iter().min_by(|one, other| one.expected_ms.total_cmp(&other.expected_ms))
    }

    /// Returns how many upstreams beyond [`PlacementWeights::candidate_count`] are considered where paces are
    /// known.
    fn further_candidate_count(&self) -> usize {
        if self.sticky {
            return 0;
        }
        self.weights.paced_candidate_count.saturating_sub(self.weights.candidate_count)
    }

    /// Removes the candidates that are less likely than others to finish in time.
    fn retain_by_pace(&self, candidates: &mut Vec<Candidate>) {
        if self.weights.finish_probability {
            finishing::retain_warm(candidates);
            self.limits.retain_likeliest(candidates, self.now_ms);
        }
    }

    /// Returns the upstreams that are candidates for the request, healthy and first in the object's
    /// ranking.
    pub fn first_ranked<'a>(
        &self,
        upstreams: impl Iterator<Item = (UpstreamKey, &'a Upstream)>,
    ) -> Vec<(UpstreamKey, &'a Upstream)> {
        let mut ranked: Vec<_> = upstreams
            .filter(|(key, upstream)| {
                self.is_permitted(*key, upstream) && self.is_healthy(upstream)
            })
            .map(|(key, upstream)| (self.rendezvous_score(upstream), key, upstream))
            .collect();
        ranked.sort_unstable_by(|one, other| one.0.total_cmp(&other.0));
        ranked.truncate(self.weights.candidate_count);
        ranked.into_iter().map(|(_, key, upstream)| (key, upstream)).collect()
    }

    /// Returns the network distance between this VM and an upstream.
    pub fn proximity(&self, upstream: &Upstream) -> Proximity {
        if *upstream.entry.domain == *self.domain {
            Proximity::SameDomain
        } else if *upstream.region == *self.region {
            Proximity::SameRegion
        } else {
            Proximity::OtherRegion
        }
    }

    /// Returns an upstream's weighted rendezvous score for the object; the lowest ranks first.
    fn rendezvous_score(&self, upstream: &Upstream) -> f64 {
        let hash = crate::rendezvous::score(upstream.hash, self.object);
        // In (0, 1], so that the logarithm is finite.
        let uniform = ((hash >> 11) as f64 + 1.0) / (1_u64 << 53) as f64;
        -uniform.ln() / self.rendezvous_weight(upstream)
    }

    fn rendezvous_weight(&self, upstream: &Upstream) -> f64 {
        let proximity_weight = match self.proximity(upstream) {
            Proximity::SameDomain if is_large(self.response_bytes) => {
                self.weights.large_response_domain_weight
            }
            Proximity::SameDomain | Proximity::SameRegion => self.weights.own_region_weight,
            Proximity::OtherRegion => 1.0,
        };
        proximity_weight * f64::from(upstream.entry.slots.max(1))
    }

    fn estimate(&self, rank: usize, key: UpstreamKey, upstream: &Upstream) -> Candidate {
        let slots = f64::from(upstream.entry.slots.max(1));
        let known_warm = self.sticky && upstream.is_warm_for(self.object, self.now_ms);
        // The first-ranked upstream is where the object should become warm, so its cost is
        // estimated as warm.
        let warm = known_warm || rank == 0 || !self.sticky;
        let slowness = upstream.slowness(self.now_ms);
        let pace = self.pace(upstream);
        let pace_factor = pace.unwrap_or(1.0);
        let usual_work_ms = self.times.work_ms(warm) * slowness;
        let work_ms = usual_work_ms * pace_factor;
        let requests_to_end = (upstream.load(self.now_ms) + 1.0 - slots).max(0.0);
        let wait_ms = requests_to_end * self.times.work_ms(true) * slowness / slots * pace_factor;
        let network_ms = match self.proximity(upstream) {
            Proximity::SameDomain => 0.0,
            Proximity::SameRegion => SAME_REGION_RTT_MS,
            Proximity::OtherRegion => self.other_region_rtt_ms,
        };
        let failure_ms = upstream.failure_rate(self.now_ms) * FAILURE_COST_MS;
        let spill_ms = self.spill_steps(rank) * self.spill_cost_ms();
        let finish_ms = wait_ms + work_ms + network_ms + failure_ms;
        let pace_uncertainty = upstream.work_pace().uncertainty(self.now_ms);
        Candidate {
            upstream: key,
            expected_ms: finish_ms + spill_ms,
            wait_ms,
            finish_ms,
            network_ms,
            spread_ms: finishing::spread_ms(wait_ms, work_ms, usual_work_ms, pace_uncertainty),
            pace,
            warm: known_warm,
            needs_cache: !warm,
            rank,
        }
    }

    /// Returns the pace in effect at an upstream as a factor of the usual one, if it has stated one.
    pub(super) fn pace(&self, upstream: &Upstream) -> Option<f64> {
        upstream.work_pace().factor(self.now_ms).filter(|_| self.weights.work_pace)
    }

    fn spill_cost_ms(&self) -> f64 {
        let evicted_share = if self.sticky { self.times.evicted_share() } else { 0.0 };
        self.weights.spill_cost_ms * (1.0 + self.weights.eviction_spill_factor * evicted_share)
    }

    /// Returns how often the spill cost counts for a rank. Where no cache is at stake, the ranks beyond
    /// [`PlacementWeights::candidate_count`] cost no more than the last one within it.
    fn spill_steps(&self, rank: usize) -> f64 {
        let last = self.weights.candidate_count.saturating_sub(1);
        rank.min(last) as f64
    }
}
