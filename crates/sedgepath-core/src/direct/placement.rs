//! Which upstream of a service runs a request.
//!
//! # Load that this answers
//!
//! An upstream that has lately run a request for an object runs the next one about three times
//! faster, and remembers a limited number of objects. Requests of an object that are scattered over
//! upstreams are slow everywhere; all on one upstream overload it when the object is busy.
//!
//! So the upstreams of a service are ranked for each object by weighted rendezvous hashing, near ones
//! with a larger weight. Every VM of a region computes the same order
//! without a message, and an upstream that joins or leaves moves only its own objects. Of the first
//! [`PlacementWeights::candidate_count`] the one with the least expected time is taken: its wait for a slot, its work (warm or
//! not), the way there, its slowness and its failures. A busy object thus spills to its second
//! upstream only, which then is warm too.

use crate::hash::Set;

use super::upstreams::{Upstream, UpstreamKey};

/// How many upstreams of an object's order are weighed. With three a busy service's objects are at
/// more upstreams than these remember.
pub const RANKED: usize = 2;

/// The weight of an upstream in the VM's own region, one elsewhere having 1.
///
/// The same for all failure domains of the region, whose callers ask for the same objects: with more for
/// the own domain each object has two first upstreams.
pub const OWN_REGION_WEIGHT: f64 = 4.0;

/// The weight of an upstream in the VM's own failure domain for large answers, whose bytes cost more
/// on the way than a wait for a slot.
pub const LARGE_ANSWER_DOMAIN_WEIGHT: f64 = 128.0;

/// What it costs to take another upstream than the first of the order, in milliseconds: the object
/// takes up room in a second memory.
pub const SPILL_COST_MS: f64 = 100.0;

/// By how many times [`SPILL_COST_MS`] it grows if upstreams forget all they knew.
///
/// Where memories are short an object at two upstreams pushes another one out at both; that one runs
/// long, its upstream fills up, and more spills: most requests then run as if nothing were known.
pub const FORGOTTEN_SPILL_FACTOR: f64 = 40.0;

/// The mean size from which answers count as large, in bytes.
const LARGE_ANSWER_BYTES: f64 = 30_000.0;

/// What a failure costs a request, in milliseconds: about the time in which it is tried elsewhere.
const FAILURE_COST_MS: f64 = 1_500.0;

/// The silence from which an upstream with a single request is left out, as a multiple of the time of
/// cold work. One with more requests is left out sooner, since some of them should have ended.
const SILENCE_FACTOR: f64 = 1.6;

/// The least time of cold work that silence is compared with, in milliseconds: round trips, timers
/// and bursts of a busy VM stay below a fraction of it.
const MIN_COLD_MS: f64 = 400.0;

/// The least of these multiples, for an upstream with many requests.
const MIN_SILENCE_FACTOR: f64 = 0.8;

/// The figures by which placing weighs upstreams; those in force are its default.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementWeights {
    /// Whether an object's requests share one order of upstreams; else each request has its own.
    pub object_affinity: bool,
    /// See [`RANKED`].
    pub candidate_count: usize,
    /// See [`OWN_REGION_WEIGHT`].
    pub own_region_weight: f64,
    /// See [`LARGE_ANSWER_DOMAIN_WEIGHT`].
    pub large_response_domain_weight: f64,
    /// See [`SPILL_COST_MS`].
    pub spill_cost_ms: f64,
    /// See [`FORGOTTEN_SPILL_FACTOR`].
    pub eviction_spill_factor: f64,
}

impl Default for PlacementWeights {
    fn default() -> Self {
        Self {
            object_affinity: true,
            candidate_count: RANKED,
            own_region_weight: OWN_REGION_WEIGHT,
            large_response_domain_weight: LARGE_ANSWER_DOMAIN_WEIGHT,
            spill_cost_ms: SPILL_COST_MS,
            eviction_spill_factor: FORGOTTEN_SPILL_FACTOR,
        }
    }
}

/// How far an upstream is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Proximity {
    /// In the own failure domain.
    Domain,
    /// In the own region.
    Region,
    /// Elsewhere.
    Far,
}

/// The times that a service's requests take, as learnt.
#[derive(Debug, Clone, Copy)]
pub struct ServiceTimes {
    /// The work for an object that the upstream has lately handled, in milliseconds.
    pub warm_ms: f64,
    /// The work for another object, in milliseconds.
    pub cold_ms: f64,
    /// The mean of the shorter times, whatever was expected, in milliseconds.
    fast_ms: f64,
    /// The mean of the longer times, in milliseconds.
    slow_ms: f64,
    /// The share of requests with a short time among those whose object the upstream should know.
    remembered: f64,
}

/// The weight of a new sample of a service's times.
const TIME_WEIGHT: f64 = 0.03;

/// The weight of a new sample of the two groups of times, and of what upstreams remember: the last
/// twenty or so count.
const GROUP_WEIGHT: f64 = 0.05;

/// How many times the shorter times the longer ones are at least, if there are two groups at all; a
/// service whose work is the same for all objects has two halves of one.
const MIN_GROUP_RATIO: f64 = 1.5;

/// The share of requests for known objects that may take long without upstreams having forgotten
/// them: hidden queues and slow upstreams look the same.
const FORGOTTEN_TOLERANCE: f64 = 0.1;

impl Default for ServiceTimes {
    fn default() -> Self {
        // Between the two until requests have been seen; soon replaced by samples.
        Self { warm_ms: 250.0, cold_ms: 600.0, fast_ms: 250.0, slow_ms: 600.0, remembered: 1.0 }
    }
}

impl ServiceTimes {
    /// Takes in a request that found a free slot.
    pub fn learn(&mut self, warm: bool, took_ms: f64) {
        let mean_ms = if warm { &mut self.warm_ms } else { &mut self.cold_ms };
        *mean_ms += TIME_WEIGHT * (took_ms - *mean_ms);
        let fast = (took_ms - self.fast_ms).abs() < (took_ms - self.slow_ms).abs();
        let group_ms = if fast { &mut self.fast_ms } else { &mut self.slow_ms };
        *group_ms += GROUP_WEIGHT * (took_ms - *group_ms);
        if warm {
            let remembered = fast || self.slow_ms < MIN_GROUP_RATIO * self.fast_ms;
            self.remembered += GROUP_WEIGHT * (f64::from(remembered) - self.remembered);
        }
    }

    /// Returns the share of known objects that upstreams have forgotten, beyond what is tolerated.
    ///
    /// The times of requests for known and other objects do not tell it: where most is forgotten both
    /// are alike. The short and the long times stay apart, and tell which a request met.
    pub fn forgotten(&self) -> f64 {
        (1.0 - self.remembered - FORGOTTEN_TOLERANCE).max(0.0)
    }

    /// Returns the expected work.
    pub fn work_ms(&self, warm: bool) -> f64 {
        if warm { self.warm_ms } else { self.cold_ms.max(self.warm_ms) }
    }
}

/// What placing needs to know of a request and of the VM that places it.
#[derive(Debug, Clone, Copy)]
pub struct Question<'a> {
    /// The figures to go by.
    pub weights: PlacementWeights,
    /// A digest of the object that the request concerns, or a random number.
    pub object: u64,
    /// Whether upstreams get faster at an object.
    pub sticky: bool,
    /// The mean size of the route's answers in bytes.
    pub answer_bytes: f64,
    /// The VM's failure domain.
    pub domain: &'a str,
    /// The VM's region.
    pub region: &'a str,
    /// The round trip to other regions in milliseconds.
    pub far_ms: f64,
    /// The service's times.
    pub times: ServiceTimes,
    /// The failure domains that are being emptied.
    pub evacuated: &'a Set<Box<str>>,
    /// The regions that may run the request; empty for all.
    pub home_regions: &'a [Box<str>],
    /// The most requests, each on a connection of its own, that this VM may have at one upstream.
    pub max_in_flight: u32,
    /// The upstreams to which the request has been sent.
    pub tried: &'a [UpstreamKey],
    /// The present moment in milliseconds.
    pub now_ms: u64,
}

/// An upstream that may run a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// The expected time until the answer in milliseconds.
    pub expected_ms: f64,
    /// The part of it that the request waits for a slot, in milliseconds.
    pub wait_ms: f64,
    /// The part of it that the request and its answer are on their way, in milliseconds.
    pub way_ms: f64,
    /// Whether it has lately run a request for the object.
    pub warm: bool,
    /// Its place in the object's order.
    pub rank: usize,
}

impl Question<'_> {
    /// Whether an upstream may get the request at all.
    pub fn allows(&self, key: UpstreamKey, upstream: &Upstream) -> bool {
        !upstream.entry.leaving
            && !self.evacuated.contains(&upstream.entry.domain)
            && (self.home_regions.is_empty() || self.home_regions.contains(&upstream.region))
            && upstream.in_flight < self.max_in_flight
            && !self.tried.contains(&key)
    }

    /// Whether an upstream is worth a request: it can be reached, answers, and is not cold.
    fn sound(&self, upstream: &Upstream) -> bool {
        upstream.ejected_until_ms <= self.now_ms
            && !upstream.is_cold(self.now_ms)
            && !self.too_silent(upstream)
    }

    /// Whether an upstream has answered nothing for so long that it seems to be gone.
    ///
    /// An upstream without power neither answers nor resets connections; each request sent there until
    /// that shows is lost, or waits for its deadline.
    fn too_silent(&self, upstream: &Upstream) -> bool {
        let running = upstream.in_flight.clamp(1, upstream.entry.slots.max(1));
        let factor = (SILENCE_FACTOR / f64::from(running)).max(MIN_SILENCE_FACTOR);
        let slowest_ms = self.times.cold_ms.max(MIN_COLD_MS);
        // Requests of other VMs may stand before this VM's own in the upstream's queue.
        let queue = f64::from(upstream.in_flight) / f64::from(upstream.entry.slots.max(1));
        let wait_ms = queue * self.times.cold_ms;
        upstream.silence_ms(self.now_ms) as f64 > factor * slowest_ms + wait_ms
    }

    /// Chooses among the upstreams of a service.
    pub fn choose<'a>(
        &self,
        upstreams: impl Iterator<Item = (UpstreamKey, &'a Upstream)>,
    ) -> Option<Candidate> {
        let mut ranked: Vec<(f64, UpstreamKey, &Upstream)> = upstreams
            .filter(|(key, upstream)| self.allows(*key, upstream) && self.sound(upstream))
            .map(|(key, upstream)| (self.order(upstream), key, upstream))
            .collect();
        ranked.sort_unstable_by(|one, other| one.0.total_cmp(&other.0));
        let candidates = ranked
            .iter()
            .take(self.weights.candidate_count)
            .enumerate()
            .map(|(rank, (_, key, upstream))| self.weigh(rank, *key, upstream));
        candidates.min_by(|one, other| one.expected_ms.total_cmp(&other.expected_ms))
    }

    /// Returns how near an upstream is.
    pub fn proximity(&self, upstream: &Upstream) -> Proximity {
        if *upstream.entry.domain == *self.domain {
            Proximity::Domain
        } else if *upstream.region == *self.region {
            Proximity::Region
        } else {
            Proximity::Far
        }
    }

    /// Returns the upstream's place in the object's order; the least is the first.
    fn order(&self, upstream: &Upstream) -> f64 {
        let hash = crate::rendezvous::score(upstream.hash, self.object);
        // A number above 0 and up to 1.
        let uniform = ((hash >> 11) as f64 + 1.0) / (1_u64 << 53) as f64;
        -uniform.ln() / self.weight(upstream)
    }

    fn weight(&self, upstream: &Upstream) -> f64 {
        let near = match self.proximity(upstream) {
            Proximity::Domain if self.answer_bytes > LARGE_ANSWER_BYTES => {
                self.weights.large_response_domain_weight
            }
            Proximity::Domain | Proximity::Region => self.weights.own_region_weight,
            Proximity::Far => 1.0,
        };
        near * f64::from(upstream.entry.slots.max(1))
    }

    fn weigh(&self, rank: usize, key: UpstreamKey, upstream: &Upstream) -> Candidate {
        let slots = f64::from(upstream.entry.slots.max(1));
        let known_warm = self.sticky && upstream.warm_for(self.object, self.now_ms);
        // The first of the order is where the object shall be warm, whether or not it is yet.
        let warm = known_warm || rank == 0 || !self.sticky;
        let slowness = upstream.slowness(self.now_ms);
        let work_ms = self.times.work_ms(warm) * slowness;
        let ahead = (upstream.load(self.now_ms) + 1.0 - slots).max(0.0);
        let wait_ms = ahead * self.times.work_ms(true) * slowness / slots;
        let way_ms = match self.proximity(upstream) {
            Proximity::Domain => 0.0,
            Proximity::Region => 4.0,
            Proximity::Far => self.far_ms,
        };
        let failure_ms = upstream.failing(self.now_ms) * FAILURE_COST_MS;
        let forgotten = if self.sticky { self.times.forgotten() } else { 0.0 };
        let spill_cost_ms =
            self.weights.spill_cost_ms * (1.0 + self.weights.eviction_spill_factor * forgotten);
        let spill_ms = rank as f64 * spill_cost_ms;
        let expected_ms = wait_ms + work_ms + way_ms + failure_ms + spill_ms;
        Candidate { upstream: key, expected_ms, wait_ms, way_ms, warm: known_warm, rank }
    }
}
