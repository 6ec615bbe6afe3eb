//! Callers and the VMs that take their requests.

use std::net::Ipv4Addr;

use sedgepath_core::direct::accounts::PresentedCredential;
use sedgepath_core::direct::attempts::{Attempt, AttemptOutcome, NextStep};
use sedgepath_core::direct::steering::IncomingRequest;

use super::metrics::BIN_WIDTH_MS;
use super::{AttemptResult, Event, Request, SentAttempt, Simulation};
use crate::setup::HOST;

/// The delay before a caller that ignores the given retry delay resubmits a rejected request.
const IMPATIENT_RETRY_DELAY_MS: u64 = 20;

/// The body size of every response, which doesn't count as large for placement.
const RESPONSE_BODY_BYTES: u64 = 4_000;

impl Simulation<'_> {
    /// Submits a new request and schedules the next arrival.
    pub(super) fn accept_caller(&mut self) {
        if self.now_ms >= self.scenario.duration_ms {
            return;
        }
        let callers = self.scenario.callers;
        let point = self.random.f64();
        let object = self.object_cdf.partition_point(|probability| *probability < point);
        self.requests.push(Request {
            vm: self.next_vm,
            object,
            arrived_at_ms: self.now_ms,
            submissions: 0,
            state: None,
            attempts: Vec::new(),
            ended: false,
        });
        self.next_vm = (self.next_vm + 1) % self.vms.len();
        self.metrics.requests += 1;
        self.metrics.bins[(self.now_ms / BIN_WIDTH_MS) as usize].1 += 1;
        let request = self.requests.len() - 1;
        self.submit(request);
        let phase = std::f64::consts::TAU * self.now_ms as f64 / callers.rate_period_ms as f64;
        let requests_per_s = callers.requests_per_s
            * (1.0 + callers.rate_amplitude * phase.sin())
            * self.burst_factor;
        let gap_ms = -(1.0 - self.random.f64()).ln() * 1_000.0 / requests_per_s.max(0.001);
        self.schedule(self.now_ms + gap_ms.round() as u64, Event::CallerArrives);
    }

    /// Submits a request to its VM, for the first time or after a rejection.
    pub(super) fn submit(&mut self, index: usize) {
        let request = &mut self.requests[index];
        request.submissions += 1;
        let submission = request.submissions;
        let object = request.object.to_string();
        let incoming = IncomingRequest {
            host: HOST,
            path: "/",
            time_left_ms: None,
            object: Some(&object),
            caller: Some(Ipv4Addr::from_bits(index as u32).into()),
            credential: PresentedCredential::None,
            forwarded: None,
        };
        match self.vms[request.vm].steering.begin_request(incoming, self.now_ms) {
            Ok(state) => {
                let deadline_at_ms = state.deadline_at_ms;
                request.state = Some(state);
                self.schedule(
                    deadline_at_ms,
                    Event::DeadlineExpires { request: index, submission },
                );
                self.take_next_step(index);
            }
            Err(rejection) => self.reject(index, rejection.retry_after_ms),
        }
    }

    /// Carries out the core's decision for a request without an attempt in flight.
    pub(super) fn take_next_step(&mut self, index: usize) {
        let random = self.random.u64(..);
        let request = &mut self.requests[index];
        let Some(state) = request.state.as_mut() else { return };
        match self.vms[request.vm].steering.next_step(state, random, self.now_ms) {
            NextStep::Send(attempt) => self.send(index, &attempt),
            NextStep::Reject { retry_after_ms, .. } => self.reject(index, retry_after_ms),
            // No VM checks whether it is cut off here.
            NextStep::Forward(_) => self.reject(index, 0),
            NextStep::GiveUp { .. } => {
                self.metrics.failed += 1;
                self.finish_request(index);
            }
        }
    }

    pub(super) fn send(&mut self, index: usize, attempt: &Attempt) {
        let request = &self.requests[index];
        let vm_index = request.vm;
        let found = self.upstreams.iter().position(|up| up.entry.address == attempt.address);
        let Some(upstream) = found else { return };
        let vm = &mut self.vms[vm_index];
        self.metrics.attempts += 1;
        self.metrics.cross_region_attempts +=
            usize::from(vm.region != self.upstreams[upstream].region);
        let idle_timeout_ms = self.scenario.upstreams.idle_timeout_ms;
        let idle_since_ms = &mut vm.idle_since_ms[upstream];
        while idle_since_ms.front().is_some_and(|at_ms| at_ms + idle_timeout_ms <= self.now_ms) {
            idle_since_ms.pop_front();
        }
        let delay_ms = self.one_way_delay_ms(vm_index, upstream);
        let mut arrives_at_ms = self.now_ms + delay_ms;
        if self.vms[vm_index].idle_since_ms[upstream].pop_back().is_none() {
            self.metrics.opened_connections += 1;
            arrives_at_ms += 2 * delay_ms;
        }
        let key = attempt.upstream;
        self.attempts.push(SentAttempt {
            request: index,
            vm: vm_index,
            upstream,
            key,
            awaited: true,
        });
        let attempt = self.attempts.len() - 1;
        self.requests[index].attempts.push(attempt);
        self.schedule(arrives_at_ms, Event::AttemptArrives { attempt });
        self.schedule_hedge_check(index);
    }

    pub(super) fn schedule_hedge_check(&mut self, index: usize) {
        let request = &self.requests[index];
        let Some(state) = request.state.as_ref() else { return };
        if let Some(at_ms) = self.vms[request.vm].steering.hedge_at_ms(state) {
            let submission = request.submissions;
            self.schedule(
                at_ms.max(self.now_ms + 100),
                Event::HedgeCheck { request: index, submission },
            );
        }
    }

    pub(super) fn receive_response(&mut self, attempt: usize, result: AttemptResult) {
        let sent = self.attempts[attempt];
        if !sent.awaited {
            return;
        }
        self.attempts[attempt].awaited = false;
        let report = Some(self.upstreams[sent.upstream].model.load_report());
        let outcome = match result {
            AttemptResult::Completed => {
                AttemptOutcome::Answered { failed: false, report, body_bytes: RESPONSE_BODY_BYTES }
            }
            AttemptResult::Failed => {
                AttemptOutcome::Answered { failed: true, report, body_bytes: 0 }
            }
            AttemptResult::Rejected => AttemptOutcome::Refused { report },
            AttemptResult::Unreachable => AttemptOutcome::Unreachable,
        };
        if result != AttemptResult::Unreachable {
            self.vms[sent.vm].idle_since_ms[sent.upstream].push_back(self.now_ms);
        }
        let request = &mut self.requests[sent.request];
        let Some(state) = request.state.as_mut() else { return };
        self.vms[sent.vm].steering.record_outcome(state, sent.key, outcome, self.now_ms);
        let others_in_flight = !state.in_flight.is_empty();
        if result == AttemptResult::Completed {
            self.record_response(sent.request);
        } else if !others_in_flight {
            self.take_next_step(sent.request);
        }
    }

    pub(super) fn record_response(&mut self, index: usize) {
        let callers = self.scenario.callers;
        let request = &self.requests[index];
        let latency_ms = self.now_ms - request.arrived_at_ms;
        self.metrics.latencies_ms.push(latency_ms);
        if latency_ms <= callers.target_ms {
            self.metrics.on_time += 1;
        } else {
            self.metrics.late += 1;
        }
        // The utility is 1 up to the target and falls linearly to 0 at the time-out.
        let over_ms = latency_ms.saturating_sub(callers.target_ms) as f64;
        let span_ms = (callers.timeout_ms - callers.target_ms).max(1) as f64;
        let utility = (1.0 - over_ms / span_ms).max(0.0);
        self.metrics.total_utility += utility;
        self.metrics.bins[(request.arrived_at_ms / BIN_WIDTH_MS) as usize].0 += utility;
        self.finish_request(index);
    }

    /// Cancels the attempts in flight and marks the request as ended.
    pub(super) fn finish_request(&mut self, index: usize) {
        self.cancel_attempts(index);
        self.requests[index].ended = true;
    }

    pub(super) fn cancel_attempts(&mut self, index: usize) {
        let request = &mut self.requests[index];
        if let Some(mut state) = request.state.take() {
            self.vms[request.vm].steering.cancel_request(&mut state, self.now_ms);
        }
        for attempt in request.attempts.drain(..) {
            self.attempts[attempt].awaited = false;
        }
    }

    /// Ends the current submission and schedules a resubmission if the caller makes one.
    pub(super) fn reject(&mut self, index: usize, retry_after_ms: u64) {
        let callers = self.scenario.callers;
        self.metrics.rejections += 1;
        self.cancel_attempts(index);
        let wait_ms =
            if callers.honors_retry_after { retry_after_ms } else { IMPATIENT_RETRY_DELAY_MS };
        let request = &self.requests[index];
        let resubmit_at_ms = self.now_ms + wait_ms.max(1);
        let too_late = resubmit_at_ms >= request.arrived_at_ms + callers.timeout_ms;
        if request.submissions > callers.max_resubmissions || too_late {
            self.metrics.rejected += 1;
            self.requests[index].ended = true;
        } else {
            self.schedule(resubmit_at_ms, Event::Resubmit { request: index });
        }
    }

    pub(super) fn check_hedge(&mut self, index: usize, submission: u32) {
        let random = self.random.u64(..);
        let request = &mut self.requests[index];
        if request.ended || request.submissions != submission {
            return;
        }
        let Some(state) = request.state.as_mut() else { return };
        let steering = &mut self.vms[request.vm].steering;
        match steering.hedge(state, random, self.now_ms) {
            Some(attempt) => self.send(index, &attempt),
            None => self.schedule_hedge_check(index),
        }
    }

    pub(super) fn expire_deadline(&mut self, index: usize, submission: u32) {
        let request = &mut self.requests[index];
        if request.ended || request.submissions != submission {
            return;
        }
        let Some(state) = request.state.as_mut() else { return };
        while let Some(attempt) = state.in_flight.last() {
            let key = attempt.upstream;
            let steering = &mut self.vms[request.vm].steering;
            steering.record_outcome(state, key, AttemptOutcome::TimedOut, self.now_ms);
        }
        self.metrics.failed += 1;
        self.finish_request(index);
    }
}
