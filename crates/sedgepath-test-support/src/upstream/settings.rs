//! What an upstream is set to do, and what it counts.

/// What an upstream declares and how long it takes.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamFigures {
    pub(super) slots: u32,
    pub(super) sheds: bool,
    pub(super) max_connections: u32,
    pub(super) connect_ms: u64,
    pub(super) service_ms: u64,
    pub(super) cold_requests: u32,
    pub(super) cold_service_ms: u64,
}

impl UpstreamFigures {
    /// Creates the figures of an upstream that reports `slots`, takes 350 connections and 1 ms for
    /// each new one, and answers at once.
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            sheds: false,
            max_connections: 350,
            connect_ms: 1,
            service_ms: 0,
            cold_requests: 0,
            cold_service_ms: 0,
        }
    }

    /// Refuses before the start what is above the slots.
    pub fn with_shedding(mut self) -> Self {
        self.sheds = true;
        self
    }

    /// Sets the number of connections above which new ones are closed at once.
    pub fn with_max_connections(mut self, max_connections: u32) -> Self {
        self.max_connections = max_connections;
        self
    }

    /// Sets the time that a new connection takes.
    pub fn with_connect_ms(mut self, connect_ms: u64) -> Self {
        self.connect_ms = connect_ms;
        self
    }

    /// Sets the time that a request takes.
    pub fn with_service_ms(mut self, service_ms: u64) -> Self {
        self.service_ms = service_ms;
        self
    }

    /// Sets the time that each of the first `requests` takes.
    pub fn with_cold_start(mut self, requests: u32, service_ms: u64) -> Self {
        self.cold_requests = requests;
        self.cold_service_ms = service_ms;
        self
    }
}

/// What an upstream does with a request.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum Behaviour {
    /// It runs the request and answers.
    #[default]
    Normal,
    /// It starts the request only after this time.
    DelayStart {
        /// The time before the start.
        delay_ms: u64,
    },
    /// It runs the request and answers after this time.
    DelayAnswer {
        /// The time between the run and the answer.
        delay_ms: u64,
    },
    /// It runs the request, declares the whole answer, sends half of its body and closes.
    Truncate,
    /// It answers that it did not start the request.
    Refuse,
    /// It runs the request and does not answer until told to.
    Hang,
    /// It runs the request and closes the connection without an answer.
    Close,
}

/// How an upstream reports its load, at `/load` and on its answers.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum LoadReports {
    /// Each report is true.
    #[default]
    Fresh,
    /// A report is repeated until it is this old.
    Lagging {
        /// The age at which a report is renewed.
        lag_ms: u64,
    },
    /// Reports claim this number in flight, whatever it is.
    Misleading {
        /// The number claimed.
        in_flight: u32,
    },
    /// There are no reports.
    Missing,
}

/// What an upstream has counted.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamCounts {
    /// Requests received, those that were not started included.
    pub requests: u64,
    /// Requests in flight now.
    pub in_flight: u32,
    /// The most requests in flight at once.
    pub peak_in_flight: u32,
    /// Connections open now.
    pub connections: u32,
    /// The most connections open at once.
    pub peak_connections: u32,
    /// Connections opened.
    pub connections_opened: u64,
    /// The most connections opened within one second.
    pub peak_opened_per_s: u32,
    /// Connections closed at once because there were too many.
    pub connections_refused: u64,
}
