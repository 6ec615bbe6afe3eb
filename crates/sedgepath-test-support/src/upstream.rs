//! An upstream stand-in that counts requests and injects faults on demand.
//!
//! It doesn't deduplicate requests: it runs every request that it starts, and tests check the counts
//! for duplicates.
//!
//! Paths:
//!
//! - `/echo` returns the request body.
//! - `/headers` returns the request headers as JSON.
//! - `/large/BYTES` returns a generated body (see [`crate::content`]) with an entity tag and range support.
//! - `/load` returns the load report.
//! - `/cancel` (POST) cancels the request named by its [`CALL_ID`] or else [`REQUEST_ID`] header,
//!   unless the request has started.
//! - Every other path returns a line with the request's method and target.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use crate::server::TcpServer;

mod connection;
mod settings;
mod state;

pub use settings::{Behaviour, LoadReports, UpstreamConfig, UpstreamCounts};
pub use state::Run;
use state::Shared;

/// The header with the request id, which is repeated in the response.
pub const REQUEST_ID: &str = "sedgepath-request-id";
/// The header with the id of one attempt of a request, by which it can be cancelled.
pub const CALL_ID: &str = "sedgepath-call-id";
/// The header with a request's idempotency key, chosen by the caller.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The header with a request's ticket, issued by the system.
pub const TICKET: &str = "sedgepath-ticket";
/// The header with a request's deadline, in milliseconds since the Unix epoch.
pub const DEADLINE_MS: &str = "sedgepath-deadline-ms";
/// The header of a rejection that states that the request was not started.
pub const NOT_STARTED: &str = "sedgepath-not-started";
/// The header of each response of an upstream that is leaving.
pub const UPSTREAM_STATE: &str = "sedgepath-upstream-state";
/// The header with the [`crate::content::Digest`] of a body that is not generated.
pub const DIGEST: &str = "sedgepath-body-digest";
/// The header with the digest of the body that the upstream received.
pub const RECEIVED_DIGEST: &str = "sedgepath-received-digest";
/// The header with the number of requests in flight.
pub const IN_FLIGHT: &str = "sedgepath-in-flight";
/// The header with the number of slots.
pub const SLOTS: &str = "sedgepath-slots";

/// An upstream on loopback, which stops on drop.
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
    pub fn new(config: UpstreamConfig) -> io::Result<Self> {
        Self::new_at(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), config)
    }

    /// Starts an upstream at `addr`, for example to restart one at its previous address.
    ///
    /// # Errors
    ///
    /// Fails if it cannot listen.
    pub fn new_at(addr: SocketAddr, config: UpstreamConfig) -> io::Result<Self> {
        let shared = Arc::new(Shared::new(config));
        let server = TcpServer::new(addr, Arc::clone(&shared))?;
        Ok(Self { shared, server })
    }

    /// Returns the listen address.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Sets the behaviour for all requests from now on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.shared.lock().behaviour = behaviour;
    }

    /// Sets the behaviour for the next `count` requests only.
    pub fn set_next_behaviours(&self, count: usize, behaviour: Behaviour) {
        let mut state = self.shared.lock();
        state.next_behaviours.extend(std::iter::repeat_n(behaviour, count));
    }

    /// Responds to the requests that [`Behaviour::Hang`] holds.
    pub fn release_hung(&self) {
        self.shared.release_hung();
    }

    /// Sets the service time of each request, in milliseconds.
    pub fn set_service_ms(&self, service_ms: u64) {
        self.shared.lock().config.service_ms = service_ms;
    }

    /// Restarts the cold start, so that the next requests are slow again.
    pub fn make_cold(&self) {
        let mut state = self.shared.lock();
        state.cold_requests_left = state.config.cold_requests;
    }

    /// Sets whether responses and load reports state that the upstream is leaving.
    pub fn set_leaving(&self, leaving: bool) {
        self.shared.lock().leaving = leaving;
    }

    /// Sets the accuracy of the load reports.
    pub fn set_load_reports(&self, reports: LoadReports) {
        self.shared.lock().load_reports = reports;
    }

    /// Sets the revision of the generated bodies, which changes their content and entity tags.
    pub fn set_large_revision(&self, revision: u64) {
        self.shared.lock().large_revision = revision;
    }

    /// Returns the counts so far.
    pub fn counts(&self) -> UpstreamCounts {
        self.shared.lock().counts
    }

    /// Returns all runs in the order of their start.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.lock().runs.clone()
    }

    /// Counts the runs by idempotency key or ticket.
    pub fn runs_by_key(&self) -> BTreeMap<Box<str>, u32> {
        count_by(&self.runs(), |run| run.key.clone())
    }

    /// Counts the runs by request id.
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
