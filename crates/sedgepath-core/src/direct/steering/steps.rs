//! The next step of a request: an attempt, a hedge, a rejection or the end.

use super::Steering;
use crate::direct::admission::{Decision, MIN_BUSY_RETRY_AFTER_MS};
use crate::direct::attempts::{
    Attempt, AttemptCause, AttemptOutcome, ColdView, InFlightAttempt, NextStep, PlacementDecision,
    RejectionReason, RequestState,
};
use crate::direct::crashes::Verdict;
use crate::direct::placement::Candidate;

/// The delay that a caller is told when an upstream has a free slot but the retry budget is used
/// up, in milliseconds. The caller's next attempt counts as a new request.
const IMMEDIATE_RETRY_AFTER_MS: u64 = 30;

/// The delay that a caller is told once [`super::IMMEDIATE_RETRY_SHARE`] is used up, in milliseconds.
const DEFERRED_RETRY_AFTER_MS: u64 = 400;

/// The delay that a caller is told when its request could be a probe that this VM can't claim, in
/// milliseconds: the store doesn't respond, or another VM has claimed the probe.
const PROBE_RETRY_AFTER_MS: u64 = 1_000;

/// The number of upstreams to which a request fails to connect before another VM is asked, or it is
/// rejected.
const MAX_UNREACHABLE: u32 = 3;

/// The time for which a request is held at least before that, in milliseconds: two connections without an
/// answer.
const MAX_CONNECTING_MS: u64 = 500;

/// The most upstreams at a VM that reaches no upstream and knows no other VM that does.
const MAX_UNREACHABLE_WHEN_CUT_OFF: u32 = 1;

/// The time after which a response is overdue, beyond the wait for a slot, as a multiple of the time
/// of cold work. A smaller multiple would hedge requests at upstreams that run only cold objects: one
/// that has just been filled with these responds to nobody for about once that time.
const OVERDUE_FACTOR: f64 = 2.0;

/// The highest pace, as a factor of the usual one, that delays the time after which a response is overdue. Machines
/// are busy for short times only, and a false figure must not prevent hedging.
const MAX_OVERDUE_PACE: f64 = 2.0;

impl Steering {
    /// Decides the next step of a request without attempts in flight.
    pub fn next_step(&mut self, request: &mut RequestState, random: u64, now_ms: u64) -> NextStep {
        let step = self.decide_step(request, random, now_ms);
        if matches!(step, NextStep::Reject { .. }) {
            self.record_rejected_demand(request, now_ms);
        }
        step
    }

    fn decide_step(&mut self, request: &mut RequestState, random: u64, now_ms: u64) -> NextStep {
        let reject_or_give_up = |reason, retry_after_ms, request: &RequestState| {
            if request.may_have_run() {
                return NextStep::GiveUp { reason };
            }
            NextStep::Reject { reason, retry_after_ms }
        };
        if !self.is_still_authorized(request) {
            return reject_or_give_up(RejectionReason::Unauthenticated, 0, request);
        }
        let verdict = self.verdict(request, now_ms);
        if !(request.is_probe && request.tried_upstreams.is_empty()) {
            let retry_after_ms = match verdict {
                Verdict::Quarantined { retry_after_ms } => Some(retry_after_ms),
                Verdict::ProbeDue => Some(PROBE_RETRY_AFTER_MS),
                _ if request.possible_runs > 0 && !verdict.allows_retry() => Some(0),
                Verdict::Allowed | Verdict::Suspected { .. } => None,
            };
            if let Some(retry_after_ms) = retry_after_ms {
                let reason = RejectionReason::CrashesUpstreams;
                return reject_or_give_up(reason, retry_after_ms, request);
            }
        }
        if now_ms >= request.deadline_at_ms {
            return reject_or_give_up(
                RejectionReason::DeadlineExceeded,
                MIN_BUSY_RETRY_AFTER_MS,
                request,
            );
        }
        if let Some(rejection) = request.neighbour_rejection {
            return reject_or_give_up(rejection.reason, rejection.retry_after_ms, request);
        }
        if !request.allows_attempt() {
            return reject_or_give_up(
                RejectionReason::RetriesExhausted,
                MIN_BUSY_RETRY_AFTER_MS,
                request,
            );
        }
        let is_in_time = !self.is_too_late_for_stop(request);
        let may_be_late = self.stop_allows_repeat(request)
            && self.stop_allows_sending_again(self.expected_work_ms(request), now_ms);
        if !is_in_time && !may_be_late {
            return reject_or_give_up(RejectionReason::Stopping, 0, request);
        }
        match self.step_when_cut_off(request, random, now_ms) {
            Some(NextStep::Forward(forwarding)) => {
                request.record_forwarding(forwarding);
                return NextStep::Forward(forwarding);
            }
            Some(NextStep::Reject { reason, retry_after_ms }) => {
                return reject_or_give_up(reason, retry_after_ms, request);
            }
            Some(NextStep::Send(_) | NextStep::GiveUp { .. }) | None => {}
        }
        if self.has_tried_to_connect_enough(request, now_ms) {
            // Only this VM may fail to reach the upstreams of the service.
            if !request.is_forwarded
                && let Some(forwarding) = self.choose_neighbour(request, random, now_ms)
            {
                request.record_forwarding(forwarding);
                return NextStep::Forward(forwarding);
            }
            return reject_or_give_up(
                RejectionReason::NoUpstream,
                super::NO_UPSTREAM_RETRY_AFTER_MS,
                request,
            );
        }
        let Some(candidate) = self.choose(request, random, now_ms) else {
            let (reason, retry_after_ms) = self.no_upstream(request, random, now_ms);
            return reject_or_give_up(reason, retry_after_ms, request);
        };
        if !is_in_time && !self.stop_allows_sending_again(candidate.expected_ms, now_ms) {
            return reject_or_give_up(RejectionReason::Stopping, 0, request);
        }
        let config = self.config.admission;
        if let Decision::Reject(rejection) =
            self.admission.decide(request, &candidate, config, now_ms)
        {
            return reject_or_give_up(rejection.reason, rejection.retry_after_ms, request);
        }
        if request.delivered > 0 {
            let vm_count = self.vms.max_known_vm_count(now_ms);
            if !self.budget.try_withdraw(&request.service, vm_count, now_ms) {
                let retry_after_ms = if candidate.wait_ms > 0.0 {
                    MIN_BUSY_RETRY_AFTER_MS
                } else if self.immediate_retries.try_withdraw(&request.service, vm_count, now_ms) {
                    // A slot is free, but this VM has no retry left to use it.
                    IMMEDIATE_RETRY_AFTER_MS
                } else {
                    DEFERRED_RETRY_AFTER_MS
                };
                return reject_or_give_up(
                    RejectionReason::RetriesExhausted,
                    retry_after_ms,
                    request,
                );
            }
        }
        self.start_attempt(request, candidate, now_ms)
    }

    /// Returns whether a planned stop may end before a request, which is then not sent.
    fn is_too_late_for_stop(&self, request: &RequestState) -> bool {
        self.planned_stop.is_some_and(|stop| !stop.is_in_time(request.deadline_at_ms))
    }

    /// Returns whether a request may be repeated although a planned stop may end before it: an idempotent one from
    /// before the stop that this VM has sent and that may have run. Others can be served by another VM.
    fn stop_allows_repeat(&self, request: &RequestState) -> bool {
        let was_sent = request.was_started_early
            || !request.tried_upstreams.is_empty()
            || !request.asked_vms.is_empty();
        self.planned_stop.is_some_and(|stop| request.arrived_at_ms < stop.began_at_ms)
            && was_sent
            && request.may_have_run()
            && request.route.kind.may_retry()
    }

    /// Returns whether a request that has arrived is to be rejected, since a planned stop may end before it, and
    /// records the rejection.
    pub fn stop_rejects(&mut self, request: &RequestState, now_ms: u64) -> bool {
        let rejects = self.is_too_late_for_stop(request) && !self.stop_allows_repeat(request);
        if rejects {
            self.record_rejected_demand(request, now_ms);
        }
        rejects
    }

    /// Returns whether a request has failed to connect to so many upstreams, for so long, that it isn't held
    /// any longer. Refused connections cost no time, unlike those that get no answer.
    fn has_tried_to_connect_enough(&self, request: &RequestState, now_ms: u64) -> bool {
        if self.is_cut_off() {
            return request.unreachable >= MAX_UNREACHABLE_WHEN_CUT_OFF;
        }
        let held_ms = now_ms.saturating_sub(request.arrived_at_ms);
        request.unreachable >= MAX_UNREACHABLE && held_ms >= MAX_CONNECTING_MS
    }

    fn start_attempt(
        &mut self,
        request: &mut RequestState,
        candidate: Candidate,
        now_ms: u64,
    ) -> NextStep {
        let key = candidate.upstream;
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return NextStep::GiveUp { reason: RejectionReason::NoUpstream };
        };
        let decision = PlacementDecision {
            cause: request.cause,
            rank: candidate.rank,
            warm: candidate.warm,
            load_tenths: (upstream.load(now_ms) * 10.0).round() as u64,
            load_age_ms: upstream.load_age_ms(now_ms),
            pace_percent: candidate.pace.map(|pace| (pace * 100.0).round() as u32),
            expected_ms: candidate.expected_ms as u64,
            cold: upstream.is_cold(now_ms).then(|| ColdView {
                recent: 1 + upstream.recent_cold_sends(now_ms),
                sending_vms: self.vms.sending_vms(now_ms).len(),
                known_vms: self.vms.sharing_vm_count(now_ms),
            }),
        };
        self.rate_limits.record_send(upstream.incarnation, now_ms);
        self.reach.record_send(now_ms);
        upstream.record_send(request.object, now_ms);
        self.load_sharing.record_use(key, now_ms);
        let times = self.service_times.get(&request.service).copied().unwrap_or_default();
        let pace = candidate.pace.unwrap_or(1.0).clamp(1.0, MAX_OVERDUE_PACE);
        let overdue_ms = candidate.wait_ms + times.work_ms(false) * OVERDUE_FACTOR * pace;
        request.tried_upstreams.push(key);
        request.in_flight.push(InFlightAttempt {
            upstream: key,
            incarnation: upstream.incarnation,
            sent_at_ms: now_ms,
            warm: candidate.warm,
            wait_ms: candidate.wait_ms,
            network_ms: candidate.network_ms,
            stated_pace_percent: upstream.work_pace().newest().map(|stated| stated.percent),
            overdue_at_ms: now_ms + overdue_ms as u64,
        });
        NextStep::Send(Attempt {
            upstream: key,
            incarnation: upstream.incarnation,
            sent_at_ms: now_ms,
            address: upstream.entry.address,
            name: upstream.entry.name.clone(),
            decision,
        })
    }

    /// Returns when to call [`Steering::hedge`] for a request, in milliseconds, or `None` if the
    /// request can't be hedged.
    pub fn hedge_at_ms(&self, request: &RequestState) -> Option<u64> {
        let [first] = &*request.in_flight else {
            return None;
        };
        if self.is_cut_off() && !request.is_forwarded && request.forwardings_in_flight == 0 {
            let may_retry = request.route.kind.may_retry() && request.allows_attempt();
            return may_retry.then_some(0);
        }
        if !self.config.hedging {
            return None;
        }
        (request.route.kind.may_retry() && request.allows_attempt()).then_some(first.overdue_at_ms)
    }

    /// Starts a second attempt if the upstream of the first has responded to nothing since the first
    /// attempt was sent.
    ///
    /// An upstream that is only busy or slow responds to other requests meanwhile; one that lost its
    /// power doesn't.
    pub fn hedge(
        &mut self,
        request: &mut RequestState,
        random: u64,
        now_ms: u64,
    ) -> Option<Attempt> {
        if !self.may_hedge(request, now_ms) {
            return None;
        }
        let first = request.in_flight.first()?;
        let silence_ms =
            self.upstreams.get(first.upstream).map(|upstream| upstream.silence_ms(now_ms));
        if silence_ms.is_some_and(|silence_ms| now_ms - silence_ms > first.sent_at_ms) {
            return None;
        }
        let candidate = self.choose(request, random, now_ms)?;
        if !self.stop_allows_sending_again(candidate.expected_ms, now_ms) {
            return None;
        }
        let vm_count = self.vms.max_known_vm_count(now_ms);
        if !self.budget.try_withdraw(&request.service, vm_count, now_ms) {
            return None;
        }
        request.cause = AttemptCause::Unresponsive;
        match self.start_attempt(request, candidate, now_ms) {
            NextStep::Send(attempt) => Some(attempt),
            NextStep::Forward(_) | NextStep::Reject { .. } | NextStep::GiveUp { .. } => None,
        }
    }

    /// Returns whether a request may be sent a second time while an attempt is in flight.
    pub(super) fn may_hedge(&self, request: &RequestState, now_ms: u64) -> bool {
        self.verdict(request, now_ms).allows_hedging() && self.is_still_authorized(request)
    }

    /// Returns whether a planned stop, if any, leaves the time that a hedge or repeat is expected to take.
    pub(super) fn stop_allows_sending_again(&self, expected_ms: f64, now_ms: u64) -> bool {
        self.planned_stop.is_none_or(|stop| stop.may_send_again(expected_ms as u64, now_ms))
    }

    /// Cancels all attempts in flight after the caller disconnected or got its response.
    pub fn cancel_request(&mut self, request: &mut RequestState, now_ms: u64) {
        while let Some(attempt) = request.in_flight.last() {
            self.record_outcome(request, attempt.upstream, AttemptOutcome::Canceled, now_ms);
        }
    }
}
