//! Fake upstreams of a test bed and their counts.

use std::collections::BTreeMap;
use std::net::IpAddr;

use sedgepath_core::event::UpstreamReport;
use sedgepath_core::key::{ExchangeKey, UpstreamKey};
use sedgepath_core::request::{
    CallOutcome, Deduplication, Rejection, RejectionReason, RequestHead,
};

use super::{CallIndex, NodeIndex};

/// The rejection that a fake upstream sends before it starts a request.
pub const REJECTION: Rejection =
    Rejection { reason: RejectionReason::UpstreamRefused, retry_after_ms: 100 };

/// One execution of a request at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Run {
    /// The call that the request belongs to.
    pub call: Option<CallIndex>,
    /// How the request is deduplicated.
    pub deduplication: Option<Deduplication>,
    /// When the run started, in milliseconds of the simulated clock.
    pub started_at_ms: u64,
}

/// A request in progress at an upstream, and the owner that sent it.
#[derive(Debug, Clone, Copy)]
pub(super) struct UpstreamRun {
    pub(super) owner: NodeIndex,
    pub(super) boot: u64,
    pub(super) exchange: ExchangeKey,
    pub(super) upstream: UpstreamKey,
    pub(super) call: Option<CallIndex>,
    pub(super) started_at_ms: u64,
}

/// The behaviour and the counts of a fake upstream; fields may be changed at any time.
#[derive(Debug)]
#[expect(clippy::struct_excessive_bools, reason = "each is a fault of its own")]
pub struct FakeUpstream {
    /// The declared number of concurrent requests; it is not enforced.
    pub slots: u32,
    /// The service time of a request in milliseconds, varied at random by up to a fifth.
    pub service_ms: u64,
    /// Whether connections to the upstream fail.
    pub unreachable: bool,
    /// Whether the upstream rejects requests before it starts them.
    pub rejects_requests: bool,
    /// Whether the upstream reports that it is leaving.
    pub leaving: bool,
    /// Whether responses are lost although the requests run.
    pub loses_responses: bool,
    /// Whether the upstream reports its load.
    pub reports_load: bool,
    /// Whether requests beyond the slots slow down all requests, as CPU contention does.
    pub slows_when_full: bool,
    /// The warm-up that begins with the first request; until it ends, fewer slots run at full speed.
    pub warm_up: Option<WarmUp>,
    /// The number of requests from a /16 block of caller addresses that miss the cache.
    pub cold_requests_per_block: u32,
    /// The additional service time of such a cache miss, in milliseconds.
    pub cold_extra_ms: u64,
    /// The number of requests run, by /16 block of caller addresses.
    pub requests_by_block: BTreeMap<[u8; 2], u32>,
    /// The number of requests in flight.
    pub in_flight: u32,
    /// The maximum number of requests in flight so far.
    pub peak_in_flight: u32,
    /// All runs so far, in order of their start.
    pub runs: Vec<Run>,
}

impl FakeUpstream {
    /// Creates an upstream that reports its load and has no faults.
    pub fn new(slots: u32, service_ms: u64) -> Self {
        Self {
            slots,
            service_ms,
            unreachable: false,
            rejects_requests: false,
            leaving: false,
            loses_responses: false,
            reports_load: true,
            slows_when_full: false,
            warm_up: None,
            cold_requests_per_block: 0,
            cold_extra_ms: 0,
            requests_by_block: BTreeMap::new(),
            in_flight: 0,
            peak_in_flight: 0,
            runs: Vec::new(),
        }
    }
}

/// A linear warm-up of an upstream.
#[derive(Debug, Clone, Copy)]
pub struct WarmUp {
    /// The number of requests that run at full speed at the start.
    pub initial_slots: u32,
    /// The time until all slots run at full speed, in milliseconds.
    pub duration_ms: u64,
}

impl FakeUpstream {
    /// Returns the number of requests that run at full speed at this time.
    fn full_speed_slots(&self, now_ms: u64) -> u32 {
        let Some(warm_up) = self.warm_up else { return self.slots };
        let first_ms = self.runs.first().map_or(now_ms, |run| run.started_at_ms);
        let elapsed_ms = (now_ms - first_ms).min(warm_up.duration_ms);
        let added_slots =
            u64::from(self.slots - warm_up.initial_slots) * elapsed_ms / warm_up.duration_ms;
        warm_up.initial_slots + added_slots as u32
    }

    /// Returns the additional time of a caller's request because of cold caches, in milliseconds.
    fn cold_cache_delay_ms(&mut self, source: IpAddr) -> u64 {
        let IpAddr::V4(source) = source else { return 0 };
        let [first, second, ..] = source.octets();
        let requests = self.requests_by_block.entry([first, second]).or_default();
        *requests += 1;
        if *requests <= self.cold_requests_per_block { self.cold_extra_ms } else { 0 }
    }
}

/// All upstreams of a test bed.
#[derive(Debug, Default)]
pub struct FakeUpstreams {
    upstreams: BTreeMap<UpstreamKey, FakeUpstream>,
    responders: BTreeMap<CallIndex, UpstreamKey>,
}

impl FakeUpstreams {
    /// Adds an upstream, or replaces the one of this name.
    pub fn add(&mut self, name: &str, upstream: FakeUpstream) {
        self.upstreams.insert(UpstreamKey::of(name), upstream);
    }

    /// Returns the upstream of this name.
    ///
    /// # Panics
    ///
    /// Panics if there is no such upstream.
    pub fn get(&mut self, name: &str) -> &mut FakeUpstream {
        self.upstreams.get_mut(&UpstreamKey::of(name)).expect("no upstream has this name")
    }

    /// Returns an iterator over the upstreams and their keys.
    pub fn iter(&self) -> impl Iterator<Item = (UpstreamKey, &FakeUpstream)> {
        self.upstreams.iter().map(|(key, upstream)| (*key, upstream))
    }

    /// Counts the runs of all upstreams by idempotency key or ticket.
    pub fn runs_by_key(&self) -> BTreeMap<String, u32> {
        let mut runs = BTreeMap::new();
        for run in self.upstreams.values().flat_map(|upstream| &upstream.runs) {
            if let Some(deduplication @ (Deduplication::Key(_) | Deduplication::Ticket(_))) =
                run.deduplication
            {
                *runs.entry(format!("{deduplication:?}")).or_insert(0) += 1;
            }
        }
        runs
    }

    /// Returns how often a caller's request was run.
    pub fn run_count(&self, call: CallIndex) -> usize {
        let runs = self.upstreams.values().flat_map(|upstream| &upstream.runs);
        runs.filter(|run| run.call == Some(call)).count()
    }

    /// Returns the upstream that responded to a caller's request.
    pub(super) fn responder(&self, call: CallIndex) -> Option<UpstreamKey> {
        self.responders.get(&call).copied()
    }

    /// Starts a request and returns its service time in milliseconds.
    pub(super) fn start(
        &mut self,
        run: UpstreamRun,
        head: Option<&RequestHead>,
        random: &mut fastrand::Rng,
    ) -> Result<u64, CallOutcome> {
        let upstream =
            self.upstreams.get_mut(&run.upstream).filter(|upstream| !upstream.unreachable);
        let upstream = upstream.ok_or(CallOutcome::NotSent)?;
        if upstream.rejects_requests {
            return Err(CallOutcome::Refused);
        }
        upstream.in_flight += 1;
        upstream.peak_in_flight = upstream.peak_in_flight.max(upstream.in_flight);
        upstream.runs.push(Run {
            call: run.call,
            deduplication: head.map(|head| head.deduplication),
            started_at_ms: run.started_at_ms,
        });
        let variation_ms = upstream.service_ms / 5;
        let base_ms = upstream.service_ms - variation_ms + random.u64(0..=2 * variation_ms);
        let fast_slots = upstream.full_speed_slots(run.started_at_ms);
        let concurrency = if upstream.slows_when_full { upstream.in_flight } else { 1 };
        let cold_ms = head.map_or(0, |head| upstream.cold_cache_delay_ms(head.source));
        Ok(cold_ms + base_ms * u64::from(concurrency.max(fast_slots)) / u64::from(fast_slots))
    }

    /// Ends a request and returns the outcome of the call.
    pub(super) fn finish(&mut self, run: &UpstreamRun) -> CallOutcome {
        let Some(upstream) = self.upstreams.get_mut(&run.upstream) else {
            return CallOutcome::Lost;
        };
        upstream.in_flight -= 1;
        if upstream.unreachable || upstream.loses_responses {
            return CallOutcome::Lost;
        }
        if let Some(call) = run.call {
            self.responders.insert(call, run.upstream);
        }
        CallOutcome::Completed
    }

    /// Returns an upstream's load report, or `None` if it sends none.
    pub(super) fn report(&self, upstream: UpstreamKey, made_at_ms: u64) -> Option<UpstreamReport> {
        let upstream = self.upstreams.get(&upstream).filter(|upstream| upstream.reports_load)?;
        Some(UpstreamReport {
            in_flight: Some(upstream.in_flight),
            slots: Some(upstream.slots),
            leaving: upstream.leaving,
            made_at_ms,
        })
    }
}
