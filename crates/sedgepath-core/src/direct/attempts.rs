//! The state of one request and of its attempts at upstreams.
//!
//! A non-idempotent request is retried only if it provably didn't run: nothing was sent, or the
//! upstream rejected it. An idempotent request is retried after any failure, within its route's
//! attempt limit and the retry budget.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use super::accounts::{ClientAccount, Credential};
use super::admission::Arrival;
use super::fingerprint::RequestFingerprints;
use super::quotas::QuotaToken;
use super::routing::Route;
use super::upstreams::{IncarnationKey, LoadReport, UpstreamKey};

/// The most upstreams that one request may reach: after that many rejections the service is full or
/// failing, and further attempts would only use up the retry budget.
const MAX_UPSTREAMS_REACHED: u32 = 3;

/// How one attempt ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AttemptOutcome {
    /// The upstream sent a complete response.
    Answered {
        /// Whether the response is a server error.
        failed: bool,
        /// The upstream's load, if the response reports it.
        report: Option<LoadReport>,
        /// The size of the response body in bytes.
        body_bytes: u64,
    },
    /// The upstream reported that it didn't run the request.
    Refused {
        /// The upstream's load, if the response reports it.
        report: Option<LoadReport>,
    },
    /// Another upstream has taken over the address and didn't run the request.
    Misdirected,
    /// Connecting failed, so nothing was sent.
    Unreachable,
    /// The request was sent at least in part and no complete response came: it may have run.
    Failed,
    /// As [`Failed`](Self::Failed), and the upstream refuses connections since: its process ended.
    Crashed,
    /// The deadline passed: the request may have run.
    TimedOut,
    /// The caller disconnected or got the response of another attempt.
    Canceled,
}

/// Why an attempt is made.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum AttemptCause {
    /// The request has reached no upstream yet.
    #[default]
    First,
    /// The last upstream rejected the request or wasn't the expected one.
    Rejected,
    /// The last attempt failed, or its response was incomplete.
    Failed,
    /// The upstream of the attempt in flight responds to no request.
    Unresponsive,
}

impl AttemptCause {
    /// Returns the name for logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Rejected => "refused",
            Self::Failed => "failed",
            Self::Unresponsive => "silent",
        }
    }
}

/// Why the VM rejects a request itself, or makes no further attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectionReason {
    /// No configuration has been loaded yet.
    NoConfiguration,
    /// No route matches the host and path.
    NoRoute,
    /// The request presents no key of a client account.
    Unauthenticated,
    /// The client account is over its quota.
    OverQuota,
    /// The VMs that lend the client account's quota don't respond.
    QuotaUnavailable,
    /// No upstream of the service is usable.
    NoUpstream,
    /// The expected wait for a slot exceeds the longest one allowed.
    UpstreamsBusy,
    /// As [`UpstreamsBusy`](Self::UpstreamsBusy), for a request that has been rejected before.
    ReturningBusy,
    /// Queues persist, and the caller has used up its share of the slots.
    OverFairShare,
    /// The caller's time limit had expired on arrival.
    DeadlineExceeded,
    /// The retry budget or the request's attempts are used up.
    RetriesExhausted,
    /// The VM holds its maximum number of requests.
    Overloaded,
    /// Upstreams that ran the request have crashed.
    CrashesUpstreams,
    /// The usable upstreams state rate limits that are used up.
    RateLimited,
    /// The usable upstreams have asked this VM for a pause.
    UpstreamsPaused,
    /// This VM reaches no upstream, and no other VM that does has served the request.
    CutOff,
    /// This VM's process ends before the request is certain, or expected, to have a response.
    Stopping,
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
            Self::Crashed => "crashed",
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
            Self::Unauthenticated => "no_account",
            Self::OverQuota => "over_quota",
            Self::QuotaUnavailable => "no_quota_lender",
            Self::NoUpstream => "no_upstream",
            Self::UpstreamsBusy => "busy",
            Self::ReturningBusy => "busy_returning",
            Self::OverFairShare => "over_fair_share",
            Self::DeadlineExceeded => "late",
            Self::RetriesExhausted => "no_retry",
            Self::Overloaded => "overloaded",
            Self::CrashesUpstreams => "crashes_upstreams",
            Self::RateLimited => "upstream_limits",
            Self::UpstreamsPaused => "upstream_pauses",
            Self::CutOff => "cut_off",
            Self::Stopping => "stopping",
        }
    }

    /// Returns the reason with a name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|reason| reason.name() == name)
    }

    /// Returns whether another VM may serve a request that one rejects for this reason.
    pub fn is_of_one_vm(self) -> bool {
        matches!(
            self,
            Self::NoConfiguration
                | Self::NoRoute
                | Self::Unauthenticated
                | Self::Overloaded
                | Self::CutOff
                | Self::Stopping
        )
    }

    const ALL: [Self; 17] = [
        Self::NoConfiguration,
        Self::NoRoute,
        Self::Unauthenticated,
        Self::OverQuota,
        Self::QuotaUnavailable,
        Self::NoUpstream,
        Self::UpstreamsBusy,
        Self::ReturningBusy,
        Self::OverFairShare,
        Self::DeadlineExceeded,
        Self::RetriesExhausted,
        Self::Overloaded,
        Self::CrashesUpstreams,
        Self::RateLimited,
        Self::UpstreamsPaused,
        Self::CutOff,
        Self::Stopping,
    ];
}

/// A response of a VM itself to a request that did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejection {
    /// Why the request is rejected.
    pub reason: RejectionReason,
    /// The delay before the caller's next attempt, in milliseconds.
    pub retry_after_ms: u64,
}

/// The next step for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextStep {
    /// Send the request to an upstream.
    Send(Attempt),
    /// Let another VM serve the request.
    Forward(Forwarding),
    /// Tell the caller that the request didn't run and when to retry.
    Reject {
        /// Why the request is rejected.
        reason: RejectionReason,
        /// The delay before the caller's next attempt, in milliseconds.
        retry_after_ms: u64,
    },
    /// Relay the last response, or tell the caller that the request may have run.
    GiveUp {
        /// Why no further attempt is made.
        reason: RejectionReason,
    },
}

/// The forwarding of a request to another VM, which sends it to upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Forwarding {
    /// The other VM's address for messages between VMs.
    pub peer_address: SocketAddr,
    /// What the other VM is told of the request.
    pub request: ForwardedRequest,
}

/// How the forwarding of a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ForwardOutcome {
    /// The other VM sent a response.
    Answered,
    /// The request didn't run, with the other VM's rejection if that holds for all VMs.
    NotRun {
        /// The rejection.
        rejection: Option<Rejection>,
    },
    /// The connection was lost: the request may have run.
    Failed,
    /// The deadline passed: the request may have run.
    TimedOut,
}

impl ForwardOutcome {
    /// Returns the name for logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun { .. } => "not_run",
            Self::Failed => "failed",
            Self::TimedOut => "timed_out",
        }
    }
}

/// What the VM that forwards a request tells of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ForwardedRequest {
    /// The number of attempts so far that reached an upstream, including rejected ones.
    pub delivered: u32,
    /// The number of attempts so far that may have run.
    pub possible_runs: u32,
    /// Whether the request may be sent once although it is quarantined.
    pub is_probe: bool,
}

/// An attempt to run a request at an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempt {
    /// The key of the upstream.
    pub upstream: UpstreamKey,
    /// The run of the upstream's process.
    pub incarnation: IncarnationKey,
    /// When the request was sent, in milliseconds.
    pub sent_at_ms: u64,
    /// The address to which the request is sent.
    pub address: std::net::SocketAddr,
    /// The upstream's name, sent with the request so that another upstream at the same address can
    /// reject it.
    pub name: Box<str>,
    /// The inputs of the choice of the upstream, for logs.
    pub decision: PlacementDecision,
}

/// The inputs of the choice of an upstream, for logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementDecision {
    /// Why the attempt is made.
    pub cause: AttemptCause,
    /// The upstream's rank for the object, starting at 0.
    pub rank: usize,
    /// Whether the upstream recently ran a request for the object.
    pub warm: bool,
    /// The upstream's estimated load from all VMs, in tenths of a request.
    pub load_tenths: u64,
    /// The age of the load estimate, in milliseconds.
    pub load_age_ms: u64,
    /// The pace in effect at the upstream, in percent of the usual one, if it has stated one.
    pub pace_percent: Option<u32>,
    /// The cost by which the upstream was chosen: the expected response time and penalties, in
    /// milliseconds.
    pub expected_ms: u64,
    /// The view by which the VM shares the upstream's rate, if the upstream is cold.
    pub cold: Option<ColdView>,
}

/// How a VM shares the rate of a cold upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdView {
    /// The requests that this VM has sent within the rate's window, with this one.
    pub recent: usize,
    /// The VMs that it hears serve, with itself.
    pub sending_vms: usize,
    /// The VMs that it knows of or assumes, with itself.
    pub known_vms: usize,
}

impl std::fmt::Display for ColdView {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { recent, sending_vms, known_vms } = self;
        write!(f, "recent={recent} sending_vms={sending_vms} known_vms={known_vms}")
    }
}

impl std::fmt::Display for PlacementDecision {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { cause, rank, warm, load_tenths, load_age_ms, pace_percent, expected_ms, .. } =
            self;
        let (whole, tenth) = (load_tenths / 10, load_tenths % 10);
        write!(f, "cause={} rank={rank} warm={warm} load={whole}.{tenth} ", cause.name())?;
        write!(f, "load_age_ms={load_age_ms} ")?;
        if let Some(pace_percent) = pace_percent {
            write!(f, "pace={pace_percent} ")?;
        }
        write!(f, "expected_ms={expected_ms}")
    }
}

/// The state of a request between its arrival and the caller's response.
#[derive(Debug)]
pub struct RequestState {
    /// The route that matched the request.
    pub route: Arc<Route>,
    /// The service that runs the request.
    pub service: Box<str>,
    /// The version of the configuration that matched the request.
    pub version: u64,
    /// A digest of the requested object.
    pub object: Option<u64>,
    /// The client account that sends the request, with the credential that it presented.
    pub account: Option<(Credential, Arc<ClientAccount>)>,
    /// The address of the caller, if it is known.
    pub caller: Option<IpAddr>,
    /// The token of the account's quota that was spent on the request.
    pub quota_token: Option<QuotaToken>,
    /// The request's fingerprints; `None` until its body has been read.
    pub fingerprints: Option<RequestFingerprints>,
    /// Whether the request may be sent once although it is quarantined.
    pub is_probe: bool,
    /// When the request arrived, in milliseconds.
    pub arrived_at_ms: u64,
    /// The time after which the caller no longer waits for a response, in milliseconds.
    pub deadline_at_ms: u64,
    /// What the admission of the request depends on.
    pub arrival: Arrival,
    /// The upstreams that the request was sent to.
    pub tried_upstreams: Vec<UpstreamKey>,
    /// The number of finished attempts that reached an upstream, including rejected ones.
    pub delivered: u32,
    /// The number of finished attempts that may have run.
    pub possible_runs: u32,
    /// Whether this VM started the request before its turn, without a response that it can use.
    pub was_started_early: bool,
    /// The cause that the next attempt would have.
    pub cause: AttemptCause,
    /// The attempts that haven't ended.
    pub in_flight: Vec<InFlightAttempt>,
    /// The number of upstreams to which no connection could be opened.
    pub unreachable: u32,
    /// Whether another VM has forwarded the request, so that this one must not.
    pub is_forwarded: bool,
    /// The VMs that the request was forwarded to.
    pub asked_vms: Vec<SocketAddr>,
    /// The number of forwardings that haven't ended.
    pub forwardings_in_flight: u32,
    /// The rejection of a VM that the request was forwarded to, if that holds for all VMs.
    pub neighbour_rejection: Option<Rejection>,
}

/// An attempt that hasn't ended.
#[derive(Debug, Clone, Copy)]
pub struct InFlightAttempt {
    /// The key of the upstream.
    pub upstream: UpstreamKey,
    /// The run of the upstream's process.
    pub incarnation: IncarnationKey,
    /// When the request was sent, in milliseconds.
    pub sent_at_ms: u64,
    /// Whether the upstream recently ran a request for the object.
    pub warm: bool,
    /// The expected wait for a slot, in milliseconds.
    pub wait_ms: f64,
    /// The estimated network round trip, in milliseconds.
    pub network_ms: f64,
    /// The newest pace that the upstream had stated when the request was sent, in percent.
    pub stated_pace_percent: Option<u32>,
    /// When the response is overdue and the request may be hedged, in milliseconds.
    pub overdue_at_ms: u64,
}

impl InFlightAttempt {
    /// Returns the time at the upstream, both waiting and running, in milliseconds.
    ///
    /// The network time is subtracted so that upstreams of another region don't look slow.
    pub fn time_at_upstream_ms(&self, now_ms: u64) -> f64 {
        ((now_ms - self.sent_at_ms) as f64 - self.network_ms).max(0.0)
    }
}

impl RequestState {
    /// Returns the state of a request that arrived at an earlier time in milliseconds, from which its time
    /// limit counts.
    pub fn with_arrival(mut self, arrived_at_ms: u64) -> Self {
        let waited_ms = self.arrived_at_ms.saturating_sub(arrived_at_ms);
        self.arrived_at_ms -= waited_ms;
        self.deadline_at_ms -= waited_ms;
        self
    }

    /// Returns the state of a request that this VM may have started before.
    pub fn with_early_start(mut self, was_started_early: bool) -> Self {
        self.was_started_early = was_started_early;
        self
    }

    /// Returns whether the request may have run.
    pub fn may_have_run(&self) -> bool {
        self.possible_runs > 0 || self.was_started_early
    }

    /// Returns the request's fingerprints for logs.
    pub fn fingerprint_text(&self) -> String {
        self.fingerprints.map_or_else(|| "none".into(), |fingerprints| fingerprints.to_string())
    }

    /// Returns the name of the client account for logs.
    pub fn account_name(&self) -> &str {
        self.account.as_ref().map_or("none", |(_, account)| &account.name)
    }

    /// Returns the priority of the request; 0 is the highest.
    pub fn priority(&self) -> u32 {
        let of_account = self.account.as_ref().and_then(|(_, account)| account.priority);
        of_account.unwrap_or(self.route.priority)
    }

    /// Records that the request is forwarded to another VM.
    pub fn record_forwarding(&mut self, forwarding: Forwarding) {
        self.asked_vms.push(forwarding.peer_address);
        self.forwardings_in_flight += 1;
    }

    /// Records how a forwarding of the request ended.
    pub fn record_forward_outcome(&mut self, outcome: ForwardOutcome) {
        self.forwardings_in_flight = self.forwardings_in_flight.saturating_sub(1);
        match outcome {
            ForwardOutcome::NotRun { rejection } => self.neighbour_rejection = rejection,
            ForwardOutcome::Answered | ForwardOutcome::Failed | ForwardOutcome::TimedOut => {
                // The other VM may have used all attempts.
                self.possible_runs += self.route.max_attempts.max(1);
            }
        }
    }

    /// Returns whether the request's own attempt limits allow another attempt.
    pub fn allows_attempt(&self) -> bool {
        let in_flight = self.in_flight.len() as u32 + self.forwardings_in_flight;
        if self.delivered + in_flight >= MAX_UPSTREAMS_REACHED {
            return false;
        }
        let possible_runs = self.possible_runs + in_flight;
        if possible_runs == 0 {
            return true;
        }
        self.route.kind.may_retry() && possible_runs < self.route.max_attempts.max(1)
    }
}
