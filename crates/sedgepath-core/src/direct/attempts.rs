//! The attempts to get one request run, and what follows from the end of each.
//!
//! A request that is not idempotent is sent again only with proof that it was not run: nothing was
//! sent, or the upstream refused it. One that is idempotent is sent again after any failure, while
//! its route's number of attempts and the retry budget last.

use std::sync::Arc;

use super::routing::Route;
use super::upstreams::{LoadReport, UpstreamKey};

/// The most upstreams that one request reaches, whether they refuse it or not: where three refuse it
/// the service is full or failing, and further sendings only take the retry budget of others.
const MAX_ARRIVALS: u32 = 3;

/// How one sending of a request ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AttemptOutcome {
    /// The upstream ran it and answered in full.
    Answered {
        /// Whether the answer says that the upstream failed at it.
        failed: bool,
        /// The upstream's load.
        report: Option<LoadReport>,
        /// The size of the answer's body in bytes.
        body_bytes: u64,
    },
    /// The upstream says that it did not run it.
    Refused {
        /// The upstream's load.
        report: Option<LoadReport>,
    },
    /// Another upstream has the address now, and did not run it.
    Misdirected,
    /// No connection could be made, so nothing was sent.
    Unreachable,
    /// It was sent, at least in part, and no whole answer came: it may have run.
    Failed,
    /// The time was up: it may have run.
    TimedOut,
    /// The caller has left.
    Canceled,
}

/// Why a request is sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum AttemptCause {
    /// It has reached no upstream yet.
    #[default]
    First,
    /// The last upstream refused it, or was another one than expected.
    Refused,
    /// The last upstream failed at it, or its answer broke off.
    Failed,
    /// The upstream that has it answers nobody.
    Unresponsive,
}

impl AttemptCause {
    /// Returns the name for logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::Unresponsive => "silent",
        }
    }
}

/// Why a request is answered by the VM itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectionReason {
    /// No configuration is known yet.
    NoConfiguration,
    /// No route takes the path.
    NoRoute,
    /// No upstream of the service can be used.
    NoUpstream,
    /// All upstreams are so busy that the time would be up before the answer.
    UpstreamsBusy,
    /// The time that the caller gave was up on arrival.
    DeadlineExceeded,
    /// The retry budget is spent, or the route's attempts are used up.
    RetriesExhausted,
    /// The VM holds as many requests as it can.
    Overloaded,
}

impl AttemptOutcome {
    /// Returns the name for logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answered { failed: false, .. } => "answered",
            Self::Answered { failed: true, .. } => "error",
            Self::Refused { .. } => "refused",
            Self::Misdirected => "misdirected",
            Self::Unreachable => "unreachable",
            Self::Failed => "failed",
            Self::TimedOut => "timed_out",
            Self::Canceled => "abandoned",
        }
    }
}

impl RejectionReason {
    /// Returns the name for logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::NoRoute => "no_route",
            Self::NoUpstream => "no_upstream",
            Self::UpstreamsBusy => "busy",
            Self::DeadlineExceeded => "late",
            Self::RetriesExhausted => "no_retry",
            Self::Overloaded => "overloaded",
        }
    }
}

/// What to do next with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextStep {
    /// Send it to an upstream.
    Send(Attempt),
    /// Tell the caller that it was not run, and when to come back.
    Reject {
        /// Why.
        reason: RejectionReason,
        /// The time to come back after, in milliseconds.
        retry_after_ms: u64,
    },
    /// Pass on the last answer, or tell the caller that it may have run.
    GiveUp {
        /// Why it isn't sent again.
        reason: RejectionReason,
    },
}

/// One sending of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempt {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Its address.
    pub address: std::net::SocketAddr,
    /// The name of its incarnation, which it checks.
    pub name: Box<str>,
    /// What decided that it goes there.
    pub decision: PlacementDecision,
}

/// What decided where a request goes, for logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementDecision {
    /// Why it is sent.
    pub cause: AttemptCause,
    /// The upstream's place in the object's order.
    pub rank: usize,
    /// Whether it had lately run a request for the object.
    pub warm: bool,
    /// The requests that it had to do, over all VMs, in tenths.
    pub load_tenths: u64,
    /// The age of the last load report, in milliseconds.
    pub load_age_ms: u64,
    /// The time until the answer that was expected, in milliseconds.
    pub expected_ms: u64,
}

impl std::fmt::Display for PlacementDecision {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { cause, rank, warm, load_tenths, load_age_ms, expected_ms } = self;
        let (whole, tenth) = (load_tenths / 10, load_tenths % 10);
        write!(f, "cause={} rank={rank} warm={warm} load={whole}.{tenth} ", cause.name())?;
        write!(f, "load_age_ms={load_age_ms} ")?;
        write!(f, "expected_ms={expected_ms}")
    }
}

/// A request on its way.
#[derive(Debug)]
pub struct RequestState {
    /// Its route.
    pub route: Arc<Route>,
    /// The service that runs it.
    pub service: Box<str>,
    /// The version of the configuration by which it is served.
    pub version: u64,
    /// A digest of the object that it concerns.
    pub object: Option<u64>,
    /// When it arrived, in milliseconds.
    pub arrived_at_ms: u64,
    /// When it is given up, in milliseconds.
    pub deadline_at_ms: u64,
    /// The upstreams to which it was sent.
    pub tried_upstreams: Vec<UpstreamKey>,
    /// The sendings that reached an upstream, whether refused or not.
    pub delivered: u32,
    /// The sendings that may have run.
    pub possible_runs: u32,
    /// Why it would be sent next.
    pub cause: AttemptCause,
    /// The sendings that have not ended.
    pub in_flight: Vec<InFlightAttempt>,
}

/// A sending that has not ended.
#[derive(Debug, Clone, Copy)]
pub struct InFlightAttempt {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// When it was sent, in milliseconds.
    pub sent_at_ms: u64,
    /// Whether the upstream had lately run a request for the object.
    pub warm: bool,
    /// The wait for a slot that was expected, in milliseconds.
    pub wait_ms: f64,
    /// How long it and its answer are on their way, as far as known, in milliseconds.
    pub way_ms: f64,
    /// When its answer is overdue, in milliseconds.
    pub overdue_at_ms: u64,
}

impl InFlightAttempt {
    /// Returns how long the upstream has had it, in milliseconds: its wait there and its work.
    ///
    /// With the way counted as work, upstreams of another region look slower than they are, and work
    /// as long as half a target is judged too long for it.
    pub fn took_ms(&self, now_ms: u64) -> f64 {
        ((now_ms - self.sent_at_ms) as f64 - self.way_ms).max(0.0)
    }
}

impl RequestState {
    /// Whether it may be sent once more, as far as its own attempts go.
    pub fn may_send(&self) -> bool {
        let under_way = self.in_flight.len() as u32;
        if self.delivered + under_way >= MAX_ARRIVALS {
            return false;
        }
        let runs = self.possible_runs + under_way;
        if runs == 0 {
            return true;
        }
        self.route.kind.may_repeat() && runs < self.route.max_attempts.max(1)
    }
}
