//! Settings and counts of an upstream stand-in.

/// The configuration of an upstream: its declared slots, limits and latencies.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamConfig {
    pub(super) slots: u32,
    pub(super) rejects_above_slots: bool,
    pub(super) max_connections: u32,
    pub(super) connect_ms: u64,
    pub(super) service_ms: u64,
    pub(super) cold_requests: u32,
    pub(super) cold_service_ms: u64,
}

impl UpstreamConfig {
    /// Creates the configuration of an upstream that reports `slots`, accepts up to 350 connections
    /// at 1 ms each, and responds immediately.
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            rejects_above_slots: false,
            max_connections: 350,
            connect_ms: 1,
            service_ms: 0,
            cold_requests: 0,
            cold_service_ms: 0,
        }
    }

    /// Rejects requests above the slots before they start.
    pub fn with_shedding(mut self) -> Self {
        self.rejects_above_slots = true;
        self
    }

    /// Sets the maximum number of connections; further ones are closed immediately.
    pub fn with_max_connections(mut self, max_connections: u32) -> Self {
        self.max_connections = max_connections;
        self
    }

    /// Sets the time to accept a new connection, in milliseconds.
    pub fn with_connect_ms(mut self, connect_ms: u64) -> Self {
        self.connect_ms = connect_ms;
        self
    }

    /// Sets the service time of a request, in milliseconds.
    pub fn with_service_ms(mut self, service_ms: u64) -> Self {
        self.service_ms = service_ms;
        self
    }

    /// Sets the service time of each of the first `requests`, in milliseconds.
    pub fn with_cold_start(mut self, requests: u32, service_ms: u64) -> Self {
        self.cold_requests = requests;
        self.cold_service_ms = service_ms;
        self
    }
}

/// How an upstream handles a request.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum Behaviour {
    /// Runs the request and responds.
    #[default]
    Normal,
    /// Delays the start of the request.
    DelayStart {
        /// The delay in milliseconds.
        delay_ms: u64,
    },
    /// Runs the request and delays the response.
    DelayResponse {
        /// The delay between the run and the response, in milliseconds.
        delay_ms: u64,
    },
    /// Runs the request, declares the full body, sends half of it, and closes the connection.
    Truncate,
    /// Rejects the request as not started.
    Reject,
    /// Runs the request and holds the response until it is released.
    Hang,
    /// Runs the request and closes the connection without a response.
    Close,
}

/// How an upstream reports its load, at `/load` and in its response headers.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum LoadReports {
    /// Reports the current load.
    #[default]
    Fresh,
    /// Repeats each report until it reaches a maximum age.
    Stale {
        /// The age at which a report is renewed, in milliseconds.
        lag_ms: u64,
    },
    /// Reports a fixed number of requests in flight.
    FixedInFlight {
        /// The number reported.
        in_flight: u32,
    },
    /// Sends no reports.
    Disabled,
}

/// Counts of an upstream's requests and connections.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamCounts {
    /// Requests received, except control requests and those that had expired on arrival.
    pub requests: u64,
    /// Requests currently in flight.
    pub in_flight: u32,
    /// The maximum number of concurrent requests so far.
    pub peak_in_flight: u32,
    /// Connections currently open.
    pub connections: u32,
    /// The maximum number of concurrent connections so far.
    pub peak_connections: u32,
    /// Connections accepted so far.
    pub connections_opened: u64,
    /// The maximum number of connections accepted within one second.
    pub peak_opened_per_s: u32,
    /// Connections closed immediately because the limit was reached.
    pub connections_rejected: u64,
}
