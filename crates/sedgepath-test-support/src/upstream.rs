//! An upstream that counts what it is asked to do and fails on demand.
//!
//! It runs every request that it starts, also a repeated one: what must happen once is the system's
//! concern, and the counts show whether it did.
//!
//! Paths: `/echo` answers with the request's body, `/headers` with the headers it received, as JSON,
//! `/large/BYTES` with a generated body (see [`crate::content`]) under an entity tag and with ranges,
//! `/load` with the load report, `/cancel` (POST) cancels the request named by its
//! [`REQUEST_ID`] header unless it has started, and every other path with a line naming the request.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use crate::server::TcpServer;

mod connection;
mod settings;
mod state;

pub use settings::{Behaviour, LoadReports, UpstreamCounts, UpstreamFigures};
pub use state::Run;
use state::Shared;

/// The header that names a request; it is repeated on the answer.
pub const REQUEST_ID: &str = "sedgepath-request-id";
/// The header that names one sending of a request, by which it can be cancelled.
pub const CALL_ID: &str = "sedgepath-call-id";
/// The header with the caller's key of a once-only request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The header with the system's key of a once-only request.
pub const TICKET: &str = "sedgepath-ticket";
/// The header with the time, in milliseconds since the Unix epoch, after which a request is refused.
pub const DEADLINE_MS: &str = "sedgepath-deadline-ms";
/// The header on a refusal that says that the request was not started.
pub const NOT_STARTED: &str = "sedgepath-not-started";
/// The header on each answer of an upstream that is leaving.
pub const UPSTREAM_STATE: &str = "sedgepath-upstream-state";
/// The header with the [`crate::content::Digest`] of a body that is not generated.
pub const DIGEST: &str = "sedgepath-body-digest";
/// The header with the digest of the body that the upstream received.
pub const RECEIVED_DIGEST: &str = "sedgepath-received-digest";
/// The header with the number of requests in flight.
pub const IN_FLIGHT: &str = "sedgepath-in-flight";
/// The header with the number of slots.
pub const SLOTS: &str = "sedgepath-slots";

/// An upstream on loopback; it stops when it is dropped.
#[derive(Debug)]
pub struct UpstreamStandIn {
    shared: Arc<Shared>,
    server: TcpServer<Shared>,
}

impl UpstreamStandIn {
    /// Starts an upstream on a free port of 127.0.0.1.
    ///
    /// # Errors
    ///
    /// Fails if it cannot listen.
    pub fn new(figures: UpstreamFigures) -> io::Result<Self> {
        Self::new_at(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), figures)
    }

    /// Starts an upstream at `addr`, for example that of one that was stopped.
    ///
    /// # Errors
    ///
    /// Fails if it cannot listen.
    pub fn new_at(addr: SocketAddr, figures: UpstreamFigures) -> io::Result<Self> {
        let shared = Arc::new(Shared::new(figures));
        let server = TcpServer::new(addr, Arc::clone(&shared))?;
        Ok(Self { shared, server })
    }

    /// Returns the address at which it listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Sets what it does with each request from now on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.shared.lock().behaviour = behaviour;
    }

    /// Sets what it does with the next `count` requests only.
    pub fn behave_next(&self, count: usize, behaviour: Behaviour) {
        let mut state = self.shared.lock();
        state.next.extend(std::iter::repeat_n(behaviour, count));
    }

    /// Answers the requests that [`Behaviour::Hang`] holds.
    pub fn release_hung(&self) {
        self.shared.release_hung();
    }

    /// Sets the time that each request takes.
    pub fn set_service_ms(&self, service_ms: u64) {
        self.shared.lock().figures.service_ms = service_ms;
    }

    /// Makes it as cold as when it started.
    pub fn make_cold(&self) {
        let mut state = self.shared.lock();
        state.cold_left = state.figures.cold_requests;
    }

    /// Sets whether its answers and reports say that it is leaving.
    pub fn set_leaving(&self, leaving: bool) {
        self.shared.lock().leaving = leaving;
    }

    /// Sets how its load reports fail.
    pub fn set_load_reports(&self, reports: LoadReports) {
        self.shared.lock().reports = reports;
    }

    /// Replaces the large bodies by others with other entity tags.
    pub fn set_large_revision(&self, revision: u64) {
        self.shared.lock().large_revision = revision;
    }

    /// Returns the counts so far.
    pub fn counts(&self) -> UpstreamCounts {
        self.shared.lock().counts
    }

    /// Returns each run in the order of the starts.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.lock().runs.clone()
    }

    /// Returns how often each once-only key was run.
    pub fn runs_by_key(&self) -> BTreeMap<Box<str>, u32> {
        count_by(&self.runs(), |run| run.key.clone())
    }

    /// Returns how often each request id was run.
    pub fn runs_by_request_id(&self) -> BTreeMap<Box<str>, u32> {
        count_by(&self.runs(), |run| run.request_id.clone())
    }
}

fn count_by(runs: &[Run], name: impl Fn(&Run) -> Option<Box<str>>) -> BTreeMap<Box<str>, u32> {
    let mut counts = BTreeMap::new();
    for name in runs.iter().filter_map(name) {
        *counts.entry(name).or_default() += 1;
    }
    counts
}
