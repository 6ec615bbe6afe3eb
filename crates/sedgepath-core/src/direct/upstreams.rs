//! The registered upstreams, with the load and health that this VM observes.
//!
//! # Cold upstreams
//!
//! An upstream that has just started crashes above a low request rate. Its entry says that it is
//! cold. An upstream that was unreachable may have restarted before this VM reads its new entry.
//! Once such an upstream responds again, it is therefore treated as cold for the service's
//! cold-start duration.

mod entry_order;
mod observed_load;
mod stated;
mod table;
mod work_pace;

use std::cmp::Ordering;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use self::entry_order::{ReplacedProcess, UnclearEntry};
use self::observed_load::ObservedLoad;
use self::stated::StatedConditions;
use crate::hash::{Digest, Map};

pub use entry_order::EntryOrder;
pub use observed_load::OwnReport;
pub use table::{EntryChange, LAPSED_ENTRY_GRACE_MS, UpstreamTable};
pub use work_pace::{RunPace, StatedPace, WorkPace};

/// The weight of a success in the moving failure rate.
const SUCCESS_WEIGHT: f64 = 0.1;

/// The weight of a failure in the moving failure rate, and of a new sample in the moving slowness.
const FAILURE_AND_SLOWNESS_WEIGHT: f64 = 0.2;

/// The half-life of an upstream's slowness and failure rate, in milliseconds, so that an upstream
/// without requests is tried again after some seconds.
const HEALTH_HALF_LIFE_MS: f64 = 3_000.0;

/// The load per slot that is assumed for an upstream that is full.
const FULL_LOAD_PER_SLOT: f64 = 2.0;

/// Expired warm objects of an upstream are removed once it has this many.
const WARM_PRUNE_OBJECTS: usize = 128;

/// The time for which an upstream is assumed to have an object cached after a request for it, in
/// milliseconds.
const WARM_OBJECT_MS: u64 = 12_000;

/// The ejection duration after one failure, in milliseconds; doubled for each further consecutive
/// failure up to [`MAX_EJECTION_MS`].
const BASE_EJECTION_MS: u64 = 500;

/// The longest ejection duration, in milliseconds.
const MAX_EJECTION_MS: u64 = 4_000;

/// The most doublings of [`BASE_EJECTION_MS`], so that the duration doesn't overflow before it is
/// limited to [`MAX_EJECTION_MS`].
const MAX_EJECTION_DOUBLINGS: u32 = 8;

/// The number of consecutive failures after which a reachable upstream is ejected.
const EJECTION_FAILURES: u32 = 4;

/// The window in which requests to a cold upstream are counted, in milliseconds. It exceeds one
/// second, the unit of the rate, to allow for network jitter.
const COLD_WINDOW_MS: u64 = 1_200;

/// The share of a cold upstream's rate that one process uses. A process that starts doesn't know what
/// its predecessor has sent in the same second. Two processes that both use a cold upstream, these or
/// VMs with different views, send at most 1.5 times its rate, which upstreams
/// tolerate.
const COLD_RATE_SHARE: f64 = 0.75;

/// A VM-local key of one incarnation of an upstream, from one start to the next. Keys are numbered
/// in sequence and never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamKey(pub u32);

/// Identifies one run of an upstream's process on all VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct IncarnationKey(pub u64);

impl IncarnationKey {
    /// Derives the key from an upstream's entry.
    pub fn of(entry: &UpstreamEntry) -> Self {
        let started_at_ms = entry.started_at_ms.unwrap_or(0).to_le_bytes();
        Self(Digest::of(&[b"incarnation", entry.name.as_bytes(), &started_at_ms]).to_u64())
    }
}

/// An upstream's registration in the store.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamEntry {
    /// The upstream's name, sent with each request so that another upstream at the same address can
    /// reject it.
    pub name: Box<str>,
    /// The name of the service that the upstream runs.
    pub service: Box<str>,
    /// The address at which the upstream accepts requests.
    pub address: SocketAddr,
    /// The name of the upstream's failure domain.
    pub domain: Box<str>,
    /// The number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Whether the entry says that the upstream is about to stop.
    pub leaving: bool,
    /// The remaining time for which the upstream is cold, in milliseconds.
    pub cold_remaining_ms: u64,
    /// The sequence number of the entry, increased with each write since the upstream started.
    pub sequence: u64,
    /// When the upstream started, in milliseconds since the Unix epoch, if the entry has it.
    pub started_at_ms: Option<u64>,
}

impl UpstreamEntry {
    /// Returns whether this entry, read from a restored store, precedes a known one of the same name or is
    /// the same one. Unlike in a later read, more cold time doesn't tell of a restart: the
    /// copy holds what was written earlier.
    pub fn precedes_in_copy(&self, known: &Self) -> bool {
        match (self.started_at_ms, known.started_at_ms) {
            (Some(own_start_ms), Some(known_start_ms)) if own_start_ms != known_start_ms => {
                own_start_ms < known_start_ms
            }
            _ => self.sequence <= known.sequence,
        }
    }

    /// Returns whether both entries name one place and one service.
    fn has_place_of(&self, other: &Self) -> bool {
        self.address == other.address && self.service == other.service
    }
}

/// The load that an upstream reported with a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// The number of requests that occupy a slot.
    pub running: u32,
    /// The number of requests waiting for a slot.
    pub waiting: u32,
    /// The number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// How long work takes on the upstream's machine at the moment, in percent of what is usual, if the
    /// upstream states it.
    pub pace_percent: Option<u32>,
}

impl LoadReport {
    /// Creates a report without a pace.
    pub fn new(running: u32, waiting: u32, slots: u32) -> Self {
        Self { running, waiting, slots, pace_percent: None }
    }

    /// Sets the pace.
    pub fn with_pace_percent(mut self, pace_percent: Option<u32>) -> Self {
        self.pace_percent = pace_percent;
        self
    }
}

/// An upstream with the load and health that this VM observes.
#[derive(Debug)]
pub struct Upstream {
    /// The upstream's current registration in the store.
    pub entry: UpstreamEntry,
    /// The region of the upstream's failure domain.
    pub region: Box<str>,
    /// A digest of the upstream's name, for rendezvous hashing.
    pub hash: u64,
    /// The run of the upstream's process.
    pub incarnation: IncarnationKey,
    /// The number of this VM's requests in flight.
    pub in_flight: u32,
    /// The end of the cold phase, in milliseconds.
    pub cold_until_ms: u64,
    /// The end of the ejection, in milliseconds.
    pub ejected_until_ms: u64,
    /// When the upstream is removed, in milliseconds, if its entry lapsed during or shortly after a
    /// store outage.
    pub lapses_at_ms: Option<u64>,
    /// The process of the same name before this one.
    replaced: Option<ReplacedProcess>,
    /// The newest entry of another process of the same name that may run in place of this one.
    unclear: Option<UnclearEntry>,
    stated: StatedConditions,
    work_pace: WorkPace,
    observed_load: ObservedLoad,
    slowness: f64,
    failure_rate: f64,
    health_updated_at_ms: u64,
    consecutive_failures: u32,
    /// The consecutive responses whose bodies ended early after their beginning was passed on.
    consecutive_broken_bodies: u32,
    was_unreachable: bool,
    last_activity_ms: u64,
    warm_objects: Map<u64, u64>,
    cold_sent_at_ms: Vec<u64>,
}

impl Upstream {
    fn new(entry: UpstreamEntry, region: Box<str>, now_ms: u64) -> Self {
        let hash = Digest::of(&[entry.name.as_bytes()]).to_u64();
        let cold_until_ms =
            if entry.cold_remaining_ms > 0 { now_ms + entry.cold_remaining_ms } else { 0 };
        Self {
            incarnation: IncarnationKey::of(&entry),
            entry,
            region,
            hash,
            in_flight: 0,
            cold_until_ms,
            ejected_until_ms: 0,
            lapses_at_ms: None,
            replaced: None,
            unclear: None,
            stated: StatedConditions::default(),
            work_pace: WorkPace::default(),
            observed_load: ObservedLoad::new(now_ms),
            slowness: 1.0,
            failure_rate: 0.0,
            health_updated_at_ms: now_ms,
            consecutive_failures: 0,
            consecutive_broken_bodies: 0,
            was_unreachable: false,
            last_activity_ms: now_ms,
            warm_objects: Map::default(),
            cold_sent_at_ms: Vec::new(),
        }
    }

    /// Returns whether the upstream is about to stop, by its entry or by what it has stated itself: the
    /// entry says so later, or never, while the store is unavailable.
    ///
    /// An entry whose order is unclear counts as well: its process may be the one that runs.
    pub fn is_leaving(&self) -> bool {
        let unclear_leaving = self.unclear.as_ref().is_some_and(|unclear| unclear.entry.leaving);
        self.entry.leaving || self.stated.leaving || unclear_leaving
    }

    /// Returns when the pause ends that the upstream has asked this VM for, in milliseconds, or `None` if
    /// it may get requests.
    pub fn pause_ends_at_ms(&self, now_ms: u64) -> Option<u64> {
        Some(self.stated.paused_until_ms).filter(|at_ms| *at_ms > now_ms)
    }

    /// Returns whether the upstream is, or may be, cold.
    pub fn is_cold(&self, now_ms: u64) -> bool {
        now_ms < self.cold_until_ms
    }

    /// Returns the estimated number of requests, running and waiting, from all VMs.
    pub fn load(&self, now_ms: u64) -> f64 {
        f64::from(self.in_flight) + self.observed_load.others(self.entry.slots, now_ms)
    }

    /// Returns the age of the estimated load from other VMs, in milliseconds.
    pub fn load_age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.observed_load.observed_at_ms(now_ms))
    }

    /// Returns the pace that the upstream has stated.
    pub fn work_pace(&self) -> &WorkPace {
        &self.work_pace
    }

    /// Records a pace that the upstream has stated to this VM or another one, unless a newer one is known.
    pub fn record_pace(&mut self, pace_percent: u32, reported_at_ms: u64) {
        self.work_pace.record(pace_percent, reported_at_ms);
    }

    /// Returns the ratio of actual to expected response times, decayed towards 1.
    pub fn slowness(&self, now_ms: u64) -> f64 {
        1.0 + (self.slowness - 1.0) * self.health_decay(now_ms)
    }

    /// Returns the share of failed requests, decayed towards 0.
    pub fn failure_rate(&self, now_ms: u64) -> f64 {
        self.failure_rate * self.health_decay(now_ms)
    }

    /// Returns the time since the last response, the last failure or the first of the requests in
    /// flight, whichever is latest, in milliseconds; 0 if no request is in flight.
    pub fn silence_ms(&self, now_ms: u64) -> u64 {
        if self.in_flight == 0 { 0 } else { now_ms.saturating_sub(self.last_activity_ms) }
    }

    /// Returns whether a request for an object was sent to this upstream so recently that the upstream
    /// is assumed to have the object cached.
    pub fn is_warm_for(&self, object: u64, now_ms: u64) -> bool {
        self.warm_objects.get(&object).is_some_and(|at_ms| now_ms < at_ms + WARM_OBJECT_MS)
    }

    /// Records that a request is about to be sent.
    pub fn record_send(&mut self, object: Option<u64>, now_ms: u64) {
        if self.in_flight == 0 {
            self.last_activity_ms = now_ms;
        }
        self.in_flight += 1;
        self.observed_load.record_in_flight(self.in_flight, now_ms);
        if self.is_cold(now_ms) {
            self.cold_sent_at_ms.retain(|at_ms| now_ms < at_ms + COLD_WINDOW_MS);
            self.cold_sent_at_ms.push(now_ms);
        }
        if let Some(object) = object {
            if self.warm_objects.len() >= WARM_PRUNE_OBJECTS {
                self.warm_objects.retain(|_, at_ms| now_ms < *at_ms + WARM_OBJECT_MS);
            }
            self.warm_objects.insert(object, now_ms);
        }
    }

    /// Records the end of an attempt, whatever its outcome.
    pub fn record_end(&mut self, now_ms: u64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.observed_load.record_in_flight(self.in_flight, now_ms);
    }

    /// Records a response with its load report and its ratio of actual to expected time.
    pub fn record_response(
        &mut self,
        report: Option<LoadReport>,
        slowness: Option<f64>,
        now_ms: u64,
    ) {
        self.record_contact(report, now_ms);
        self.consecutive_failures = 0;
        self.failure_rate = self.failure_rate(now_ms) * (1.0 - SUCCESS_WEIGHT);
        if let Some(sample) = slowness {
            let slowness = self.slowness(now_ms);
            self.slowness = slowness + FAILURE_AND_SLOWNESS_WEIGHT * (sample - slowness);
        }
        self.health_updated_at_ms = now_ms;
    }

    /// Records a rejection.
    ///
    /// A rejection without a report, or with one that shows no free slot, raises the estimated load.
    /// One with a free slot raises the failure rate instead. Neither leads to ejection.
    pub fn record_rejection(&mut self, report: Option<LoadReport>, now_ms: u64) {
        self.record_contact(report, now_ms);
        let full = report.is_none_or(|report| report.running >= report.slots);
        if full {
            let full_load = f64::from(self.entry.slots) * FULL_LOAD_PER_SLOT;
            self.observed_load.record_full(full_load, now_ms);
        } else {
            self.raise_failure_rate(now_ms);
        }
    }

    /// Records a failure of an attempt that reached the upstream, and ejects the upstream after
    /// several consecutive ones.
    pub fn record_failure(&mut self, now_ms: u64) {
        self.last_activity_ms = now_ms;
        self.raise_failure_rate(now_ms);
        self.consecutive_failures += 1;
        if self.consecutive_failures >= EJECTION_FAILURES {
            self.eject(now_ms);
        }
    }

    /// Records the end of a body that was passed on before it had arrived completely, and ejects the upstream
    /// after several consecutive ones that ended early.
    ///
    /// Each of these counted as a response when its beginning arrived, often sooner than a whole one.
    pub fn record_body_end(&mut self, is_whole: bool, now_ms: u64) {
        if is_whole {
            self.consecutive_broken_bodies = 0;
            return;
        }
        self.raise_failure_rate(now_ms);
        self.consecutive_broken_bodies += 1;
        if self.consecutive_broken_bodies >= EJECTION_FAILURES {
            self.consecutive_failures =
                self.consecutive_failures.max(self.consecutive_broken_bodies);
            self.eject(now_ms);
        }
    }

    /// Records that a request's deadline passed without a response.
    ///
    /// Timeouts raise the failure rate, so that later requests prefer another upstream. They don't
    /// lead to ejection. An upstream whose responses are lost on connections that stay open shows it in
    /// no other way, and without requests in flight it doesn't count as silent either.
    pub fn record_timeout(&mut self, now_ms: u64) {
        self.raise_failure_rate(now_ms);
    }

    /// Records that connecting failed, and ejects the upstream.
    pub fn record_unreachable(&mut self, now_ms: u64) {
        self.was_unreachable = true;
        self.consecutive_failures += 1;
        self.raise_failure_rate(now_ms);
        self.eject(now_ms);
    }

    /// Forgets that connections couldn't be opened, since that wasn't the upstream's failure.
    pub(super) fn forget_unreachability(&mut self) {
        self.was_unreachable = false;
        self.ejected_until_ms = 0;
        self.consecutive_failures = 0;
        self.failure_rate = 0.0;
    }

    /// Returns whether one more request stays within this VM's share of a cold upstream's rate.
    pub fn has_cold_capacity(&self, max_requests_per_s: f64, now_ms: u64) -> bool {
        let max_sends = (max_requests_per_s * COLD_RATE_SHARE).floor().max(1.0);
        (self.recent_cold_sends(now_ms) as f64) < max_sends
    }

    /// Returns the number of requests that this VM has lately sent to the upstream while it was cold.
    pub fn recent_cold_sends(&self, now_ms: u64) -> usize {
        let recent = self.cold_sent_at_ms.iter().filter(|at_ms| now_ms < **at_ms + COLD_WINDOW_MS);
        recent.count()
    }

    /// Returns how an entry of the same name relates to the newest known one.
    fn order_of(&self, entry: &UpstreamEntry) -> EntryOrder {
        let mut order = entry.order_after(&self.entry);
        if matches!(order, EntryOrder::Restarted | EntryOrder::Unclear)
            && let Some(replaced) = self.replaced
        {
            order = replaced.order_of(entry).unwrap_or(order);
        }
        if order == EntryOrder::Unclear { self.order_of_unclear(entry) } else { order }
    }

    /// Returns the order of an entry of another process, given the earlier one whose order is unclear.
    ///
    /// A process that writes again runs. The store has removed what the process of a lapsed upstream had written.
    fn order_of_unclear(&self, entry: &UpstreamEntry) -> EntryOrder {
        let order = self.unclear.as_ref().and_then(|unclear| unclear.order_of(entry));
        match order {
            Some(Ordering::Greater) => EntryOrder::Restarted,
            Some(_) => EntryOrder::Outdated,
            None if self.lapses_at_ms.is_some() => EntryOrder::Restarted,
            None => EntryOrder::Unclear,
        }
    }

    /// Takes over a later entry of the same process at the same place; returns whether it starts to leave.
    fn renew(&mut self, entry: UpstreamEntry, now_ms: u64) -> bool {
        let starts_leaving = entry.leaving && !self.entry.leaving;
        if entry.sequence > self.entry.sequence {
            self.unclear = None;
        }
        if entry.sequence > self.entry.sequence || self.lapses_at_ms.is_some() {
            self.update_cold_phase(entry.cold_remaining_ms, now_ms);
        }
        self.lapses_at_ms = None;
        self.entry = entry;
        starts_leaving
    }

    /// Updates the end of the cold phase from the remaining time in an entry.
    fn update_cold_phase(&mut self, cold_remaining_ms: u64, now_ms: u64) {
        if cold_remaining_ms > 0 {
            self.cold_until_ms = now_ms + cold_remaining_ms;
        }
    }

    /// Records that the upstream responded, and ends its ejection.
    fn record_contact(&mut self, report: Option<LoadReport>, now_ms: u64) {
        self.last_activity_ms = now_ms;
        self.ejected_until_ms = 0;
        if let Some(report) = report {
            if let Some(pace_percent) = report.pace_percent {
                self.record_pace(pace_percent, now_ms);
            }
            self.observed_load.record_report(report, self.in_flight, now_ms);
        }
    }

    fn raise_failure_rate(&mut self, now_ms: u64) {
        let failure_rate = self.failure_rate(now_ms);
        self.failure_rate = failure_rate + FAILURE_AND_SLOWNESS_WEIGHT * (1.0 - failure_rate);
        self.health_updated_at_ms = now_ms;
    }

    fn eject(&mut self, now_ms: u64) {
        let doublings = self.consecutive_failures.saturating_sub(1).min(MAX_EJECTION_DOUBLINGS);
        let ejection_ms = (BASE_EJECTION_MS << doublings).min(MAX_EJECTION_MS);
        self.ejected_until_ms = now_ms + ejection_ms;
    }

    fn health_decay(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.health_updated_at_ms) as f64;
        0.5_f64.powf(age_ms / HEALTH_HALF_LIFE_MS)
    }
}
