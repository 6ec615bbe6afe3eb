//! Objects with so many requests that one upstream doesn't carry them.
//!
//! All requests for an object go to the first-ranked upstreams, where it is cached. An object whose own
//! demand exceeds what one of them carries is hot: its requests use the free slots of as many upstreams
//! as its demand needs, in the order of its ranking. All other objects keep the usual candidates.

use crate::hash::Map;

use super::decaying_rate::DecayingRate;
use super::demand::ServiceKey;
use super::placement::CANDIDATE_COUNT;

/// The most objects whose rates are tracked. The least requested one gives way to a new one.
const MAX_OBJECTS: usize = 64;

/// The time constant of an object's rate, in milliseconds.
const RATE_MEMORY_MS: f64 = 1_000.0;

/// The share of an upstream's slots that one object's requests may keep busy.
const TARGET_UTILIZATION: f64 = 0.75;

/// The candidates of every object, which a hot one uses at once.
const USUAL_CANDIDATES: u32 = CANDIDATE_COUNT as u32;

/// The length of the windows in which requests are counted, in milliseconds.
const WINDOW_MS: u64 = 500;

/// The number of windows in each of which an object needs more upstreams before it gets more than the
/// usual ones. A burst that is shorter than a window falls into two, so it doesn't fill more caches.
const RAISE_WINDOWS: usize = 3;

/// For how long an object needs fewer upstreams before it loses some, in milliseconds: within this
/// time it would still be cached there.
const LOWER_AFTER_MS: u64 = 5_000;

/// The factor by which the rate may rise without the need for an upstream that is given up.
const LOWER_MARGIN_FACTOR: f64 = 1.5;

/// The most candidates of an object.
const MAX_CANDIDATES: u32 = 64;

/// An object of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ObjectKey {
    /// The service.
    pub service: ServiceKey,
    /// A digest of the object's name.
    pub object: u64,
}

/// What one upstream of a service carries, and how much of an object's demand this VM sees.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UpstreamCapacity {
    /// The requests of one object that an upstream can run in a second.
    pub requests_per_s: f64,
    /// The region's demand for the service as a multiple of this VM's own.
    pub region_factor: f64,
}

/// A change of the number of an object's candidates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CandidateChange {
    /// A digest of the object's name.
    pub object: u64,
    /// The number of upstreams that the object's demand needs; 1 if it is no longer hot.
    pub needed: u32,
}

/// The demand for one object.
#[derive(Debug)]
struct TrackedObject {
    rate: DecayingRate,
    /// The rate taken over from the object that gave way, an upper bound of what wasn't counted.
    error: DecayingRate,
    /// The number of upstreams that the object's demand needs in all; 1 if it isn't hot.
    needed: u32,
    /// The requests in the last complete windows.
    windows: [u32; RAISE_WINDOWS],
    /// The requests in the current window.
    window_count: u32,
    window_ends_at_ms: u64,
    /// When the object last needed all that it has, in milliseconds.
    needed_at_ms: u64,
}

impl TrackedObject {
    fn new(error: DecayingRate, now_ms: u64) -> Self {
        Self {
            rate: error,
            error,
            needed: 1,
            windows: [0; RAISE_WINDOWS],
            window_count: 0,
            window_ends_at_ms: now_ms + WINDOW_MS,
            needed_at_ms: now_ms,
        }
    }

    fn record(&mut self, now_ms: u64) {
        self.rate.record(RATE_MEMORY_MS, now_ms);
        self.roll_windows(now_ms);
        self.window_count += 1;
    }

    fn roll_windows(&mut self, now_ms: u64) {
        for _ in 0..=RAISE_WINDOWS {
            if now_ms < self.window_ends_at_ms {
                return;
            }
            self.windows.rotate_left(1);
            self.windows[RAISE_WINDOWS - 1] = std::mem::take(&mut self.window_count);
            self.window_ends_at_ms += WINDOW_MS;
        }
        self.window_ends_at_ms = self.window_ends_at_ms.max(now_ms + WINDOW_MS);
    }

    /// Returns the lowest rate of the last complete windows, per second.
    fn lasting_per_s(&self) -> f64 {
        let least = self.windows.iter().copied().min().unwrap_or(0);
        f64::from(least) * 1_000.0 / WINDOW_MS as f64
    }

    /// Returns the rate that was certainly requested, per second.
    fn certain_per_s(&self, now_ms: u64) -> f64 {
        self.rate.per_s_at(RATE_MEMORY_MS, now_ms) - self.error.per_s_at(RATE_MEMORY_MS, now_ms)
    }

    /// Updates the number of needed upstreams; returns whether it changed.
    fn update(&mut self, capacity: UpstreamCapacity, now_ms: u64) -> bool {
        let own_per_s = self.certain_per_s(now_ms);
        let upstreams_for = |per_s: f64| {
            let upstreams = per_s / (capacity.requests_per_s * TARGET_UTILIZATION);
            (upstreams.ceil() as u32).clamp(1, MAX_CANDIDATES)
        };
        let lasting = upstreams_for(self.lasting_per_s() * capacity.region_factor);
        // A few requests in a row are no sign of what the callers of other VMs request.
        let raised = upstreams_for(own_per_s).min(USUAL_CANDIDATES).max(lasting);
        if raised > self.needed {
            self.needed = raised;
            self.needed_at_ms = now_ms;
            return true;
        }
        let with_margin = upstreams_for(own_per_s * capacity.region_factor * LOWER_MARGIN_FACTOR);
        if with_margin >= self.needed {
            self.needed_at_ms = now_ms;
        } else if now_ms >= self.needed_at_ms + LOWER_AFTER_MS {
            self.needed_at_ms = now_ms;
            self.needed = with_margin;
            return true;
        }
        false
    }
}

/// The most changes that are kept until they are logged.
const MAX_CHANGES: usize = 16;

/// The objects with the highest request rates, by the space-saving algorithm (Metwally et al., 2005)
/// with decaying counts.
#[derive(Debug, Default)]
pub struct HotObjects {
    objects: Map<ObjectKey, TrackedObject>,
    changes: Vec<CandidateChange>,
}

impl HotObjects {
    /// Counts a request for an object.
    pub fn record_request(&mut self, key: ObjectKey, now_ms: u64) {
        match self.objects.get_mut(&key) {
            Some(tracked) => tracked.record(now_ms),
            None => self.track(key, now_ms),
        }
    }

    /// Updates the number of upstreams that an object needs, if it is tracked.
    pub fn update(&mut self, key: ObjectKey, capacity: UpstreamCapacity, now_ms: u64) {
        let Some(tracked) = self.objects.get_mut(&key) else {
            return;
        };
        tracked.roll_windows(now_ms);
        if tracked.update(capacity, now_ms) && self.changes.len() < MAX_CHANGES {
            self.changes.push(CandidateChange { object: key.object, needed: tracked.needed });
        }
    }

    /// Returns the number of upstreams that an object needs, if one doesn't carry its demand.
    pub fn needed(&self, key: ObjectKey) -> Option<usize> {
        let tracked = self.objects.get(&key)?;
        (tracked.needed > 1).then_some(tracked.needed as usize)
    }

    /// Returns the number of hot objects that were requested lately.
    pub fn hot_count(&self, now_ms: u64) -> usize {
        let is_hot = |tracked: &&TrackedObject| {
            tracked.needed > 1 && now_ms < tracked.needed_at_ms + LOWER_AFTER_MS
        };
        self.objects.values().filter(is_hot).count()
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<CandidateChange> {
        std::mem::take(&mut self.changes)
    }

    /// Starts to track an object, if need be in place of the least requested one.
    fn track(&mut self, key: ObjectKey, now_ms: u64) {
        let mut error = DecayingRate::default();
        if self.objects.len() >= MAX_OBJECTS {
            let rate_of = |tracked: &TrackedObject| tracked.rate.per_s_at(RATE_MEMORY_MS, now_ms);
            let least = self
                .objects
                .iter()
                .min_by(|(_, one), (_, other)| rate_of(one).total_cmp(&rate_of(other)))
                .map(|(key, tracked)| (*key, tracked.rate));
            if let Some((least, rate)) = least {
                self.objects.remove(&least);
                error = rate;
            }
        }
        let mut tracked = TrackedObject::new(error, now_ms);
        tracked.record(now_ms);
        self.objects.insert(key, tracked);
    }
}
