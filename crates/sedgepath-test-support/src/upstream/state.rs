//! State shared by the connections of an upstream: its configuration, faults and counts.

use std::collections::{BTreeSet, VecDeque};
use std::io;
use std::net::TcpStream;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde::Serialize;

use super::connection;
use super::settings::{Behaviour, LoadReports, UpstreamConfig, UpstreamCounts};
use crate::clock::{now_ms, sleep_ms};
use crate::server::Service;
use crate::sync::lock;

/// The interval at which a wait without a deadline re-checks its condition.
const MAX_WAIT_STEP: Duration = Duration::from_mins(1);

/// One execution of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// When the request started, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The request id, if any.
    pub request_id: Option<Box<str>>,
    /// The idempotency key, or else the ticket, if any.
    pub key: Option<Box<str>>,
    /// The method and the request target, for example `GET /calendar?week=3`.
    pub request: Box<str>,
}

/// A load report, as `/load` returns it.
#[derive(Debug, Clone, Copy, Serialize)]
pub(super) struct LoadReport {
    pub(super) in_flight: u32,
    pub(super) slots: u32,
    pub(super) state: &'static str,
    pub(super) as_of_ms: u64,
}

#[derive(Debug)]
pub(super) struct State {
    pub(super) config: UpstreamConfig,
    pub(super) behaviour: Behaviour,
    pub(super) next_behaviours: VecDeque<Behaviour>,
    pub(super) leaving: bool,
    pub(super) load_reports: LoadReports,
    pub(super) large_revision: u64,
    pub(super) cold_requests_left: u32,
    pub(super) counts: UpstreamCounts,
    pub(super) runs: Vec<Run>,
    pub(super) stopping: bool,
    last_report: Option<LoadReport>,
    started_calls: BTreeSet<Box<str>>,
    cancelled_calls: BTreeSet<Box<str>>,
    release_count: u64,
    recently_opened: VecDeque<Instant>,
}

/// The state, with a condition variable for stops, cancellations and releases.
#[derive(Debug)]
pub(super) struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

impl Shared {
    pub(super) fn new(config: UpstreamConfig) -> Self {
        let state = State {
            config,
            behaviour: Behaviour::Normal,
            next_behaviours: VecDeque::new(),
            leaving: false,
            load_reports: LoadReports::Fresh,
            large_revision: 1,
            cold_requests_left: config.cold_requests,
            counts: UpstreamCounts::default(),
            runs: Vec::new(),
            stopping: false,
            last_report: None,
            started_calls: BTreeSet::new(),
            cancelled_calls: BTreeSet::new(),
            release_count: 0,
            recently_opened: VecDeque::new(),
        };
        Self { state: Mutex::new(state), changed: Condvar::new() }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    pub(super) fn release_hung(&self) {
        self.lock().release_count += 1;
        self.changed.notify_all();
    }

    /// Cancels a request unless it has started; one that hasn't arrived yet is rejected on arrival.
    pub(super) fn cancel(&self, call_id: &str) -> bool {
        let mut state = self.lock();
        let cancelled = !state.started_calls.contains(call_id);
        if cancelled {
            state.cancelled_calls.insert(call_id.into());
        }
        drop(state);
        self.changed.notify_all();
        cancelled
    }

    /// Waits for `delay_ms`, or less if the request is cancelled or the upstream stops.
    pub(super) fn wait_to_start(&self, delay_ms: u64, call_id: Option<&str>) {
        self.wait_while(Some(delay_ms), |state| {
            !call_id.is_some_and(|id| state.cancelled_calls.contains(id))
        });
    }

    /// Waits for `delay_ms`, or less if the upstream stops.
    pub(super) fn wait_ms(&self, delay_ms: u64) {
        self.wait_while(Some(delay_ms), |_| true);
    }

    /// Waits until [`Self::release_hung`], or until the upstream stops.
    pub(super) fn wait_until_released(&self) {
        let epoch = self.lock().release_count;
        self.wait_while(None, |state| state.release_count == epoch);
    }

    fn wait_while(&self, limit_ms: Option<u64>, keep_waiting: impl Fn(&State) -> bool) {
        let deadline = limit_ms.map(|limit_ms| Instant::now() + Duration::from_millis(limit_ms));
        let mut state = self.lock();
        while !state.stopping && keep_waiting(&state) {
            let remaining = deadline.map_or(MAX_WAIT_STEP, |deadline| {
                deadline.saturating_duration_since(Instant::now())
            });
            if remaining.is_zero() {
                break;
            }
            let woken = self.changed.wait_timeout(state, remaining);
            state = woken.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Counts a request in flight until the returned value is dropped.
    pub(super) fn begin_in_flight(&self) -> InFlight<'_> {
        let counts = &mut self.lock().counts;
        counts.requests += 1;
        counts.in_flight += 1;
        counts.peak_in_flight = counts.peak_in_flight.max(counts.in_flight);
        InFlight { shared: self }
    }
}

impl Service for Shared {
    fn admit(&self) -> bool {
        sleep_ms(self.lock().config.connect_ms);
        let mut state = self.lock();
        let max_connections = state.config.max_connections;
        if state.counts.connections >= max_connections {
            state.counts.connections_rejected += 1;
            return false;
        }
        let counts = &mut state.counts;
        counts.connections += 1;
        counts.peak_connections = counts.peak_connections.max(counts.connections);
        counts.connections_opened += 1;
        state.record_opened(Instant::now());
        true
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        connection::serve(self, stream)
    }

    fn connection_closed(&self) {
        self.lock().counts.connections -= 1;
    }

    fn stop(&self) {
        self.lock().stopping = true;
        self.changed.notify_all();
    }
}

impl State {
    pub(super) fn next_behaviour(&mut self) -> Behaviour {
        self.next_behaviours.pop_front().unwrap_or(self.behaviour)
    }

    /// Records the start of a request and returns its service time in milliseconds, or `None` if it
    /// must not start.
    pub(super) fn start(
        &mut self,
        run: Run,
        call_id: Option<&str>,
        deadline_ms: Option<u64>,
    ) -> Option<u64> {
        let cancelled = call_id.is_some_and(|id| self.cancelled_calls.contains(id));
        let expired = deadline_ms.is_some_and(|deadline_ms| deadline_ms <= run.at_ms);
        let shed = self.config.rejects_above_slots && self.counts.in_flight > self.config.slots;
        if cancelled || expired || shed {
            return None;
        }
        self.started_calls.extend(call_id.map(Box::from));
        self.runs.push(run);
        let cold = self.cold_requests_left > 0;
        self.cold_requests_left = self.cold_requests_left.saturating_sub(1);
        Some(if cold { self.config.cold_service_ms } else { self.config.service_ms })
    }

    pub(super) fn report(&mut self) -> Option<LoadReport> {
        let now_ms = now_ms();
        let mut report = LoadReport {
            in_flight: self.counts.in_flight,
            slots: self.config.slots,
            state: if self.leaving { "leaving" } else { "live" },
            as_of_ms: now_ms,
        };
        match self.load_reports {
            LoadReports::Fresh => {}
            LoadReports::Stale { lag_ms } => {
                let last = self.last_report;
                report = last
                    .filter(|last| last.as_of_ms.saturating_add(lag_ms) > now_ms)
                    .unwrap_or(report);
            }
            LoadReports::FixedInFlight { in_flight } => report.in_flight = in_flight,
            LoadReports::Disabled => return None,
        }
        self.last_report = Some(report);
        Some(report)
    }

    fn record_opened(&mut self, now: Instant) {
        self.recently_opened.push_back(now);
        while self
            .recently_opened
            .front()
            .is_some_and(|first| now - *first >= Duration::from_secs(1))
        {
            self.recently_opened.pop_front();
        }
        let peak = &mut self.counts.peak_opened_per_s;
        *peak = (*peak).max(self.recently_opened.len() as u32);
    }
}

/// A request in flight.
#[derive(Debug)]
pub(super) struct InFlight<'a> {
    shared: &'a Shared,
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.shared.lock().counts.in_flight -= 1;
    }
}
