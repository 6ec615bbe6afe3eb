//! The upstreams as they registered themselves, and what this VM has seen of each.
//!
//! # Cold upstreams
//!
//! An upstream that has just started bears few requests and crashes above that rate. It is known from
//! its entry; and an upstream to which connections failed may have restarted without this VM having
//! read so, thus it counts as cold for the service's cold start once it answers again.

mod table;

use std::net::SocketAddr;

use crate::hash::{Digest, Map};

pub use table::{EntryChange, LAPSED_GRACE_MS, UpstreamTable};

/// The weight of a new sample in the moving averages; about the last ten requests count.
const SAMPLE_WEIGHT: f64 = 0.1;

/// The half-life of what is known of an upstream's slowness and failures, in milliseconds: after
/// some seconds without a request it gets another try.
const MEMORY_HALF_LIFE_MS: f64 = 3_000.0;

/// The half-life of what other VMs had in flight by the last load report, in milliseconds: about the
/// time that a request takes.
const REPORT_HALF_LIFE_MS: f64 = 400.0;

/// The most objects per upstream that are remembered as warm.
const MAX_WARM: usize = 128;

/// The time for which an object counts as warm at an upstream, in milliseconds.
const WARM_MS: u64 = 12_000;

/// The first time for which an upstream that can't be reached is left out, in milliseconds; doubled
/// with each failure up to [`MAX_EJECTION_MS`].
const EJECTION_MS: u64 = 500;

/// The longest time for which an upstream is left out, in milliseconds.
const MAX_EJECTION_MS: u64 = 4_000;

/// The failures in a row that leave out an upstream that can be reached.
const FAILURES_TO_EJECT: u32 = 4;

/// The window in which requests to a cold upstream are counted, in milliseconds: the bound is for any
/// second, and requests of one moment may arrive apart by the transit of the slower one.
const COLD_WINDOW_MS: u64 = 1_200;

/// The part of a cold upstream's rate that one VM sends. A VM that starts knows nothing of what its last
/// process has sent in the same second, and VMs that disagree on who serves each take the rate for their own;
/// two of them stay within one and a half times the rate, above which an upstream crashes.
const COLD_RATE_SHARE: f64 = 0.75;

/// An upstream's key: its number in the order in which this VM has heard of upstreams; never used again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamKey(pub u32);

/// What an upstream says of itself in the store.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamEntry {
    /// The name of this incarnation, which it checks on each request.
    pub name: Box<str>,
    /// Its service.
    pub service: Box<str>,
    /// Its address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Box<str>,
    /// The requests that it runs at a time.
    pub slots: u32,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// How much longer it stays cold, in milliseconds.
    pub cold_remaining_ms: u64,
    /// Grows with each entry of one start.
    pub sequence: u64,
    /// When it started, in milliseconds since the Unix epoch, if it says so.
    pub started_at_ms: Option<u64>,
}

impl UpstreamEntry {
    /// Whether this entry was written before another one of the same name.
    ///
    /// A write that was delayed on its way may reach the store after a later one; taken in, it would
    /// bring back a leaving upstream.
    fn older_than(&self, other: &Self) -> bool {
        match (self.started_at_ms, other.started_at_ms) {
            (Some(own), Some(others)) if own != others => own < others,
            _ => {
                self.sequence < other.sequence && self.cold_remaining_ms <= other.cold_remaining_ms
            }
        }
    }

    /// Whether both tell of the same start of the upstream.
    fn same_start(&self, other: &Self) -> bool {
        self.address == other.address
            && self.service == other.service
            && self.started_at_ms == other.started_at_ms
            && self.sequence >= other.sequence
    }
}

/// A load report: what an upstream had to do when it answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// The requests that it ran.
    pub running: u32,
    /// The requests that waited for a slot.
    pub waiting: u32,
    /// Its slots.
    pub slots: u32,
}

/// An upstream with what this VM has seen of it.
#[derive(Debug)]
pub struct Upstream {
    /// What it says of itself.
    pub entry: UpstreamEntry,
    /// Its region.
    pub region: Box<str>,
    /// A digest of its name, for rendezvous hashing.
    pub hash: u64,
    /// The requests of this VM that it has not answered.
    pub in_flight: u32,
    /// When it stops being cold, in milliseconds.
    pub cold_until_ms: u64,
    /// Until when it is left out, in milliseconds.
    pub ejected_until_ms: u64,
    /// When it is taken as gone, in milliseconds, if its entry lapsed around an outage.
    pub lapses_at_ms: Option<u64>,
    others: f64,
    others_at_ms: u64,
    slowness: f64,
    failing: f64,
    seen_at_ms: u64,
    failures: u32,
    unreached: bool,
    quiet_since_ms: u64,
    warm: Map<u64, u64>,
    cold_sends: Vec<u64>,
}

impl Upstream {
    fn new(entry: UpstreamEntry, region: Box<str>, now_ms: u64) -> Self {
        let hash = Digest::of(&[entry.name.as_bytes()]).to_u64();
        let cold_until_ms =
            if entry.cold_remaining_ms > 0 { now_ms + entry.cold_remaining_ms } else { 0 };
        Self {
            entry,
            region,
            hash,
            in_flight: 0,
            cold_until_ms,
            ejected_until_ms: 0,
            lapses_at_ms: None,
            others: 0.0,
            others_at_ms: now_ms,
            slowness: 1.0,
            failing: 0.0,
            seen_at_ms: now_ms,
            failures: 0,
            unreached: false,
            quiet_since_ms: now_ms,
            warm: Map::default(),
            cold_sends: Vec::new(),
        }
    }

    /// Whether it is cold, or may be.
    pub fn is_cold(&self, now_ms: u64) -> bool {
        now_ms < self.cold_until_ms
    }

    /// Returns the requests that it has to do, over all VMs, as far as known.
    pub fn load(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.others_at_ms) as f64;
        f64::from(self.in_flight) + self.others * 0.5_f64.powf(age_ms / REPORT_HALF_LIFE_MS)
    }

    /// Returns the age of the last load report, in milliseconds.
    pub fn load_age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.others_at_ms)
    }

    /// Returns how many times longer than others of its service it takes.
    pub fn slowness(&self, now_ms: u64) -> f64 {
        1.0 + (self.slowness - 1.0) * self.memory(now_ms)
    }

    /// Returns the share of its requests that fail.
    pub fn failing(&self, now_ms: u64) -> f64 {
        self.failing * self.memory(now_ms)
    }

    /// Returns for how long it has answered nothing although this VM waits for it, in milliseconds.
    pub fn silence_ms(&self, now_ms: u64) -> u64 {
        if self.in_flight == 0 { 0 } else { now_ms.saturating_sub(self.quiet_since_ms) }
    }

    /// Whether it has lately run a request for an object.
    pub fn warm_for(&self, object: u64, now_ms: u64) -> bool {
        self.warm.get(&object).is_some_and(|at_ms| now_ms < at_ms + WARM_MS)
    }

    /// Counts a request that is about to be sent.
    pub fn sent(&mut self, object: Option<u64>, now_ms: u64) {
        if self.in_flight == 0 {
            self.quiet_since_ms = now_ms;
        }
        self.in_flight += 1;
        if self.is_cold(now_ms) {
            self.cold_sends.retain(|at_ms| now_ms < at_ms + COLD_WINDOW_MS);
            self.cold_sends.push(now_ms);
        }
        if let Some(object) = object {
            if self.warm.len() >= MAX_WARM {
                self.warm.retain(|_, at_ms| now_ms < *at_ms + WARM_MS);
            }
            self.warm.insert(object, now_ms);
        }
    }

    /// Counts the end of a request, however it ended.
    pub fn ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Takes in an answer with its load report and its time relative to what was expected.
    pub fn answered(&mut self, report: Option<LoadReport>, slowness: Option<f64>, now_ms: u64) {
        self.reached(report, now_ms);
        self.failures = 0;
        self.failing = self.failing(now_ms) * (1.0 - SAMPLE_WEIGHT);
        if let Some(sample) = slowness {
            let slowness = self.slowness(now_ms);
            self.slowness = slowness + SAMPLE_WEIGHT * 2.0 * (sample - slowness);
        }
        self.seen_at_ms = now_ms;
    }

    /// Takes in a refusal.
    ///
    /// One by an upstream that is not full is a failure: it turns requests away while it has room.
    pub fn refused(&mut self, report: Option<LoadReport>, now_ms: u64) {
        self.reached(report, now_ms);
        let full = report.is_none_or(|report| report.running >= report.slots);
        if full {
            self.others = self.others.max(f64::from(self.entry.slots) * 2.0);
            self.others_at_ms = now_ms;
        } else {
            self.count_failure(now_ms);
        }
    }

    /// Takes in a failure of a request that it had received.
    pub fn failed(&mut self, now_ms: u64) {
        self.quiet_since_ms = now_ms;
        self.count_failure(now_ms);
        self.failures += 1;
        if self.failures >= FAILURES_TO_EJECT {
            self.eject(now_ms);
        }
    }

    /// Takes in that a request's time was up before it answered.
    ///
    /// An upstream whose answers are lost, on connections that stay open, or come too late tells nothing
    /// else, and with no request under way it does not look silent either, so it would go on getting, and
    /// losing, the requests of its objects. As a failure each one makes the object's second upstream the
    /// better choice, until it fades.
    pub fn timed_out(&mut self, now_ms: u64) {
        self.count_failure(now_ms);
    }

    /// Takes in that it can't be reached.
    pub fn unreachable(&mut self, now_ms: u64) {
        self.unreached = true;
        self.failures += 1;
        self.count_failure(now_ms);
        self.eject(now_ms);
    }

    /// Whether one more request now stays under a rate, while it is cold.
    pub fn cold_room(&self, per_s: f64, now_ms: u64) -> bool {
        let recent = self.cold_sends.iter().filter(|at_ms| now_ms < **at_ms + COLD_WINDOW_MS);
        (recent.count() as f64) < (per_s * COLD_RATE_SHARE).floor().max(1.0)
    }

    /// Takes in for how long it says that it stays cold.
    fn take_cold(&mut self, cold_for_ms: u64, now_ms: u64) {
        if cold_for_ms > 0 {
            self.cold_until_ms = now_ms + cold_for_ms;
        }
    }

    /// Takes in that it has answered, whatever it said.
    fn reached(&mut self, report: Option<LoadReport>, now_ms: u64) {
        self.quiet_since_ms = now_ms;
        self.ejected_until_ms = 0;
        if let Some(report) = report {
            let own = f64::from(self.in_flight);
            let total = f64::from(report.running + report.waiting);
            self.others = (total - own).max(0.0);
            self.others_at_ms = now_ms;
        }
    }

    fn count_failure(&mut self, now_ms: u64) {
        let failing = self.failing(now_ms);
        self.failing = failing + SAMPLE_WEIGHT * 2.0 * (1.0 - failing);
        self.seen_at_ms = now_ms;
    }

    fn eject(&mut self, now_ms: u64) {
        let doublings = self.failures.saturating_sub(1).min(8);
        let ejection_ms = (EJECTION_MS << doublings).min(MAX_EJECTION_MS);
        self.ejected_until_ms = now_ms + ejection_ms;
    }

    fn memory(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.seen_at_ms) as f64;
        0.5_f64.powf(age_ms / MEMORY_HALF_LIFE_MS)
    }
}
