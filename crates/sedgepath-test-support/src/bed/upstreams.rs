//! Fake upstreams of a bed, and what they count.

use std::collections::BTreeMap;
use std::net::IpAddr;

use sedgepath_core::event::UpstreamReport;
use sedgepath_core::key::{ExchangeKey, UpstreamKey};
use sedgepath_core::request::{
    CallOutcome, Deduplication, Rejection, RejectionReason, RequestHead,
};

use super::{CallIndex, NodeIndex};

/// What an upstream's refusal before the start of a request says.
pub const REFUSAL: Rejection =
    Rejection { reason: RejectionReason::UpstreamRefused, retry_after_ms: 100 };

/// One run of a request at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Run {
    /// The caller's request.
    pub call: Option<CallIndex>,
    /// How the request is kept from running twice.
    pub once: Option<Deduplication>,
    /// When it started, in milliseconds of the bed's clock.
    pub started_at_ms: u64,
}

/// A request that runs at an upstream.
#[derive(Debug, Clone, Copy)]
pub(super) struct Started {
    pub(super) owner: NodeIndex,
    pub(super) boot: u64,
    pub(super) exchange: ExchangeKey,
    pub(super) upstream: UpstreamKey,
    pub(super) call: Option<CallIndex>,
    pub(super) at_ms: u64,
}

/// How an upstream behaves; all fields may be changed at any time.
#[derive(Debug)]
#[expect(clippy::struct_excessive_bools, reason = "each is a fault of its own")]
pub struct FakeUpstream {
    /// The requests that it is meant to run at once; it runs more, but counts them.
    pub slots: u32,
    /// The time that a request takes, in milliseconds, give or take a fifth.
    pub service_ms: u64,
    /// Whether no connection can be made to it.
    pub dead: bool,
    /// Whether it refuses requests before it starts them.
    pub refuses: bool,
    /// Whether it says that it is about to leave.
    pub leaving: bool,
    /// Whether its answers are lost on their way, although it runs the requests.
    pub loses_answers: bool,
    /// Whether it reports its load with its answers.
    pub reports: bool,
    /// Whether requests above its slots slow all down, as shared processors do.
    pub slows_when_full: bool,
    /// How it warms up from its first request on; above its warm slots it slows down as well.
    pub warm_up: Option<WarmUp>,
    /// The requests of a block of callers' addresses (/16) that find its caches cold.
    pub cold_runs: u32,
    /// The time that each of these takes longer, in milliseconds.
    pub cold_extra_ms: u64,
    /// The requests that it ran, by block of callers.
    pub known: BTreeMap<[u8; 2], u32>,
    /// The requests that it runs now.
    pub in_flight: u32,
    /// The most requests that it ran at once.
    pub peak_in_flight: u32,
    /// All runs so far.
    pub runs: Vec<Run>,
}

impl FakeUpstream {
    /// Creates an upstream with its figures.
    pub fn new(slots: u32, service_ms: u64) -> Self {
        Self {
            slots,
            service_ms,
            dead: false,
            refuses: false,
            leaving: false,
            loses_answers: false,
            reports: true,
            slows_when_full: false,
            warm_up: None,
            cold_runs: 0,
            cold_extra_ms: 0,
            known: BTreeMap::new(),
            in_flight: 0,
            peak_in_flight: 0,
            runs: Vec::new(),
        }
    }
}

/// How an upstream warms up.
#[derive(Debug, Clone, Copy)]
pub struct WarmUp {
    /// The requests that it runs at full speed when cold.
    pub slots: u32,
    /// The time in which these rise to all, in milliseconds.
    pub over_ms: u64,
}

impl FakeUpstream {
    /// Returns the requests that it runs at full speed now.
    fn fast_slots(&self, now_ms: u64) -> u32 {
        let Some(warm_up) = self.warm_up else { return self.slots };
        let first_ms = self.runs.first().map_or(now_ms, |run| run.started_at_ms);
        let elapsed_ms = (now_ms - first_ms).min(warm_up.over_ms);
        let risen = u64::from(self.slots - warm_up.slots) * elapsed_ms / warm_up.over_ms;
        warm_up.slots + risen as u32
    }

    /// Returns the time that a request of a caller takes longer because its caches are cold.
    fn cold_ms(&mut self, source: IpAddr) -> u64 {
        let IpAddr::V4(source) = source else { return 0 };
        let [first, second, ..] = source.octets();
        let known = self.known.entry([first, second]).or_default();
        *known += 1;
        if *known <= self.cold_runs { self.cold_extra_ms } else { 0 }
    }
}

/// All upstreams of a bed.
#[derive(Debug, Default)]
pub struct FakeUpstreams {
    upstreams: BTreeMap<UpstreamKey, FakeUpstream>,
    answers: BTreeMap<CallIndex, UpstreamKey>,
}

impl FakeUpstreams {
    /// Adds an upstream.
    pub fn add(&mut self, name: &str, upstream: FakeUpstream) {
        self.upstreams.insert(UpstreamKey::of(name), upstream);
    }

    /// Returns an upstream.
    ///
    /// # Panics
    ///
    /// Panics if there is none of this name.
    pub fn get(&mut self, name: &str) -> &mut FakeUpstream {
        self.upstreams.get_mut(&UpstreamKey::of(name)).expect("the bed has no such upstream")
    }

    /// Returns all upstreams.
    pub fn iter(&self) -> impl Iterator<Item = (UpstreamKey, &FakeUpstream)> {
        self.upstreams.iter().map(|(key, upstream)| (*key, upstream))
    }

    /// Returns the runs by key or ticket, over all upstreams.
    pub fn runs_by_key(&self) -> BTreeMap<String, u32> {
        let mut runs = BTreeMap::new();
        for run in self.upstreams.values().flat_map(|upstream| &upstream.runs) {
            if let Some(once @ (Deduplication::Key(_) | Deduplication::Ticket(_))) = run.once {
                *runs.entry(format!("{once:?}")).or_insert(0) += 1;
            }
        }
        runs
    }

    /// Returns the number of runs of a caller's request.
    pub fn runs_of(&self, call: CallIndex) -> usize {
        let runs = self.upstreams.values().flat_map(|upstream| &upstream.runs);
        runs.filter(|run| run.call == Some(call)).count()
    }

    /// Returns the upstream that answered a caller's request.
    pub(super) fn answered(&self, call: CallIndex) -> Option<UpstreamKey> {
        self.answers.get(&call).copied()
    }

    /// Starts a request and returns the time that it takes, in milliseconds.
    pub(super) fn start(
        &mut self,
        started: Started,
        head: Option<&RequestHead>,
        random: &mut fastrand::Rng,
    ) -> Result<u64, CallOutcome> {
        let upstream = self.upstreams.get_mut(&started.upstream).filter(|upstream| !upstream.dead);
        let upstream = upstream.ok_or(CallOutcome::NotSent)?;
        if upstream.refuses {
            return Err(CallOutcome::Refused);
        }
        upstream.in_flight += 1;
        upstream.peak_in_flight = upstream.peak_in_flight.max(upstream.in_flight);
        upstream.runs.push(Run {
            call: started.call,
            once: head.map(|head| head.deduplication),
            started_at_ms: started.at_ms,
        });
        let spread_ms = upstream.service_ms / 5;
        let takes_ms = upstream.service_ms - spread_ms + random.u64(0..=2 * spread_ms);
        let fast = upstream.fast_slots(started.at_ms);
        let shares = if upstream.slows_when_full { upstream.in_flight } else { 1 };
        let cold_ms = head.map_or(0, |head| upstream.cold_ms(head.source));
        Ok(cold_ms + takes_ms * u64::from(shares.max(fast)) / u64::from(fast))
    }

    /// Ends a request and returns how the call ended.
    pub(super) fn finish(&mut self, started: &Started) -> CallOutcome {
        let Some(upstream) = self.upstreams.get_mut(&started.upstream) else {
            return CallOutcome::Lost;
        };
        upstream.in_flight -= 1;
        if upstream.dead || upstream.loses_answers {
            return CallOutcome::Lost;
        }
        if let Some(call) = started.call {
            self.answers.insert(call, started.upstream);
        }
        CallOutcome::Completed
    }

    /// Returns an upstream's word on its load, if it gives one.
    pub(super) fn report(&self, upstream: UpstreamKey, made_at_ms: u64) -> Option<UpstreamReport> {
        let upstream = self.upstreams.get(&upstream).filter(|upstream| upstream.reports)?;
        Some(UpstreamReport {
            in_flight: Some(upstream.in_flight),
            slots: Some(upstream.slots),
            leaving: upstream.leaving,
            made_at_ms,
        })
    }
}
