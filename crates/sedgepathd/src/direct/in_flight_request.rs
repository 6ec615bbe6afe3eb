//! A caller's request in flight, with its attempts.

use std::rc::Rc;

use sedgepath_core::direct::attempts::{AttemptOutcome, NextStep, RequestState};
use sedgepath_core::direct::upstreams::UpstreamKey;

use super::clock;
use super::request_run::Destination;
use super::responses;
use super::shared::SharedState;

/// The minimum time between checks whether a request needs a hedge, in milliseconds.
const HEDGE_CHECK_INTERVAL_MS: u64 = 100;

/// A request in flight, whose remaining attempts are canceled when it is dropped.
///
/// The task of a request is dropped when its caller disconnects; without the cancellation its
/// upstreams would be counted as busy forever.
#[derive(Debug)]
pub struct InFlightRequest {
    /// The state that all tasks share.
    pub shared: Rc<SharedState>,
    /// The caller's attempt id.
    pub attempt_id: Box<str>,
    /// The request's route, deadline and attempts.
    pub state: RequestState,
    /// When the request was sent last, to an upstream or another VM, in milliseconds.
    pub last_sent_at_ms: Option<u64>,
    /// Whether the request has a response.
    pub is_answered: bool,
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        if !self.is_answered {
            responses::record_abandoned(&self.shared, &self.attempt_id, &self.state);
        }
        let mut steering = self.shared.steering.borrow_mut();
        steering.cancel_request(&mut self.state, clock::now_ms());
    }
}

impl InFlightRequest {
    /// Records the outcome of the attempt at an upstream.
    pub fn record_outcome(&mut self, upstream: UpstreamKey, outcome: AttemptOutcome) {
        let mut steering = self.shared.steering.borrow_mut();
        steering.record_outcome(&mut self.state, upstream, outcome, clock::now_ms());
        if steering.reports_mut().due_at_ms().is_some() {
            self.shared.reports_queued.notify_one();
        }
    }

    /// Returns the number of sendings to upstreams and other VMs whose end isn't recorded.
    pub fn recorded_sendings(&self) -> u32 {
        self.state.in_flight.len() as u32 + self.state.forwardings_in_flight
    }

    /// Returns the request's token of its account's quota, since it was not run.
    pub fn return_quota_token(&mut self) {
        let mut steering = self.shared.steering.borrow_mut();
        steering.return_quota_token(&mut self.state, clock::now_ms());
    }

    /// Decides whether to send, reject or give up the request.
    pub fn next_step(&mut self) -> NextStep {
        let mut steering = self.shared.steering.borrow_mut();
        steering.next_step(&mut self.state, fastrand::u64(..), clock::now_ms())
    }

    /// Waits until the request needs a hedge and returns its destination. Stays pending if none can be
    /// sent.
    pub async fn wait_for_hedge(&mut self) -> Destination {
        let shared = Rc::clone(&self.shared);
        loop {
            let cut_off = shared.cut_off.notified();
            let at_ms = self.shared.steering.borrow().hedge_at_ms(&self.state);
            let Some(at_ms) = at_ms else {
                cut_off.await;
                continue;
            };
            let at_ms = at_ms.max(clock::now_ms() + HEDGE_CHECK_INTERVAL_MS);
            // Either way the request is decided again.
            let _elapsed = tokio::time::timeout_at(clock::instant_at(at_ms), cut_off).await;
            let mut steering = self.shared.steering.borrow_mut();
            let (random, now_ms) = (fastrand::u64(..), clock::now_ms());
            if let Some(forwarding) = steering.hedge_by_neighbour(&mut self.state, random, now_ms) {
                return Destination::Vm(forwarding);
            }
            let is_due = now_ms >= at_ms && !steering.is_cut_off();
            if is_due && let Some(attempt) = steering.hedge(&mut self.state, random, now_ms) {
                return Destination::Upstream(attempt);
            }
        }
    }
}
