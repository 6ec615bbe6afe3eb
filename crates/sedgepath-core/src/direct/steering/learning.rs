//! Updates of the estimates for upstreams and services from the outcomes of attempts.

use super::{SAMPLE_WEIGHT, Steering};
use crate::direct::attempts::{AttemptCause, AttemptOutcome, InFlightAttempt, RequestState};
use crate::direct::upstreams::{LoadReport, RunPace, UpstreamKey};

impl Steering {
    /// Records the outcome of a request's attempt at an upstream, if that is in flight.
    pub fn record_outcome(
        &mut self,
        request: &mut RequestState,
        key: UpstreamKey,
        outcome: AttemptOutcome,
        now_ms: u64,
    ) {
        let Some(index) = request.in_flight.iter().position(|attempt| attempt.upstream == key)
        else {
            return;
        };
        let attempt = request.in_flight.swap_remove(index);
        self.record_crash_evidence(request, attempt, outcome, now_ms);
        match outcome {
            AttemptOutcome::Answered { .. }
            | AttemptOutcome::Failed
            | AttemptOutcome::Crashed
            | AttemptOutcome::TimedOut => {
                request.delivered += 1;
                request.possible_runs += 1;
                request.cause = AttemptCause::Failed;
            }
            AttemptOutcome::Refused { .. } | AttemptOutcome::Misdirected => {
                request.delivered += 1;
                request.cause = AttemptCause::Rejected;
            }
            AttemptOutcome::Unreachable => request.unreachable += 1,
            AttemptOutcome::Canceled => {}
        }
        let responded = matches!(
            outcome,
            AttemptOutcome::Answered { .. }
                | AttemptOutcome::Refused { .. }
                | AttemptOutcome::Misdirected
        );
        self.reach.record_end(responded, now_ms);
        if matches!(outcome, AttemptOutcome::Answered { .. }) {
            self.admission.record_served(&request.service, now_ms);
        }
        if let Some(service) = self.service(&request.service).cloned()
            && !matches!(
                outcome,
                AttemptOutcome::Unreachable
                    | AttemptOutcome::Canceled
                    | AttemptOutcome::Crashed
                    | AttemptOutcome::TimedOut
            )
        {
            self.upstreams.record_reachable_again(key, &service, now_ms);
        }
        self.record_time_and_size(request, attempt, outcome, now_ms);
        let uses_pace = self.config.weights.work_pace;
        self.load_sharing.record_use(key, now_ms);
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        upstream.record_end(now_ms);
        match outcome {
            AttemptOutcome::Answered { failed: true, .. } | AttemptOutcome::Failed => {
                upstream.record_failure(now_ms);
            }
            AttemptOutcome::Answered { report, .. } => {
                let pace = run_pace(attempt, report, uses_pace);
                let took_ms = attempt.time_at_upstream_ms(now_ms);
                let slowness = self.service_times.get(&request.service).map(|times| {
                    slowness_sample(took_ms, attempt.wait_ms, times.work_ms(attempt.warm), pace)
                });
                upstream.record_response(report, slowness, now_ms);
            }
            AttemptOutcome::Refused { report } => upstream.record_rejection(report, now_ms),
            AttemptOutcome::Misdirected => self.upstreams.remove_misdirected(key, now_ms),
            AttemptOutcome::Unreachable | AttemptOutcome::Crashed => {
                upstream.record_unreachable(now_ms);
            }
            AttemptOutcome::TimedOut => upstream.record_timeout(now_ms),
            AttemptOutcome::Canceled => {}
        }
    }

    /// Records the response size of a successful attempt, and its time if it found a free slot.
    fn record_time_and_size(
        &mut self,
        request: &RequestState,
        attempt: InFlightAttempt,
        outcome: AttemptOutcome,
        now_ms: u64,
    ) {
        let AttemptOutcome::Answered { failed: false, report, body_bytes } = outcome else {
            return;
        };
        let pace = run_pace(attempt, report, self.config.weights.work_pace);
        if attempt.wait_ms <= 0.0 {
            let took_ms = attempt.time_at_upstream_ms(now_ms);
            if let Some(pace_factor) = pace.steady_factor() {
                let times = self.service_times.entry(request.service.clone()).or_default();
                times.record_time(attempt.warm, took_ms / pace_factor);
            }
            self.record_work(request, took_ms);
        }
        let mean_bytes =
            self.response_bytes.entry(request.route.name.clone()).or_insert(body_bytes as f64);
        *mean_bytes += SAMPLE_WEIGHT * (body_bytes as f64 - *mean_bytes);
    }

    /// Records the time in which a connection to an upstream was opened, as a sample of the round trip
    /// if the upstream is in another region.
    pub fn record_connect_time(&mut self, key: UpstreamKey, took_ms: u64) {
        let in_other_region =
            self.upstreams.get(key).is_some_and(|upstream| upstream.region != self.location.region);
        if in_other_region {
            self.other_region_rtt_ms += SAMPLE_WEIGHT * (took_ms as f64 - self.other_region_rtt_ms);
        }
    }
}

/// Returns the pace in effect during an attempt's run; the usual one if stated paces aren't used.
fn run_pace(attempt: InFlightAttempt, report: Option<LoadReport>, uses_pace: bool) -> RunPace {
    if !uses_pace {
        return RunPace::new(None, None);
    }
    RunPace::new(attempt.stated_pace_percent, report.and_then(|report| report.pace_percent))
}

/// Returns the ratio of the time at an upstream to the time that is expected at the pace during the run.
fn slowness_sample(took_ms: f64, wait_ms: f64, work_ms: f64, pace: RunPace) -> f64 {
    let pace_factor = pace.closest_factor((took_ms - wait_ms) / work_ms.max(1.0));
    took_ms / (work_ms * pace_factor + wait_ms).max(1.0)
}
