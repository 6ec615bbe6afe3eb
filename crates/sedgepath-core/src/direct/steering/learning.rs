//! Updates of the estimates for upstreams and services from the outcomes of attempts.

use super::{SAMPLE_WEIGHT, Steering};
use crate::direct::attempts::{AttemptCause, AttemptOutcome, InFlightAttempt, RequestState};
use crate::direct::upstreams::UpstreamKey;

impl Steering {
    /// Records the outcome of an attempt.
    pub fn record_outcome(
        &mut self,
        request: &mut RequestState,
        key: UpstreamKey,
        outcome: AttemptOutcome,
        now_ms: u64,
    ) {
        let Some(index) = request.in_flight.iter().position(|sent| sent.upstream == key) else {
            return;
        };
        let current = request.in_flight.swap_remove(index);
        match outcome {
            AttemptOutcome::Answered { .. } | AttemptOutcome::Failed | AttemptOutcome::TimedOut => {
                request.delivered += 1;
                request.possible_runs += 1;
                request.cause = AttemptCause::Failed;
            }
            AttemptOutcome::Refused { .. } | AttemptOutcome::Misdirected => {
                request.delivered += 1;
                request.cause = AttemptCause::Refused;
            }
            AttemptOutcome::Unreachable | AttemptOutcome::Canceled => {}
        }
        if let Some(service) = self.service(&request.service).cloned()
            && !matches!(
                outcome,
                AttemptOutcome::Unreachable | AttemptOutcome::Canceled | AttemptOutcome::TimedOut
            )
        {
            self.upstreams.record_reachable_again(key, &service, now_ms);
        }
        self.record_response(request, current, outcome, now_ms);
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        upstream.record_end();
        match outcome {
            AttemptOutcome::Answered { failed: true, .. } | AttemptOutcome::Failed => {
                upstream.record_failure(now_ms);
            }
            AttemptOutcome::Answered { report, .. } => {
                let expected_ms = self
                    .times
                    .get(&request.service)
                    .map(|times| times.work_ms(current.warm) + current.wait_ms);
                let took_ms = current.time_at_upstream_ms(now_ms);
                let slowness = expected_ms.map(|expected_ms| took_ms / expected_ms.max(1.0));
                upstream.record_answer(report, slowness, now_ms);
            }
            AttemptOutcome::Refused { report } => upstream.record_refusal(report, now_ms),
            AttemptOutcome::Misdirected => self.upstreams.remove_misdirected(key),
            AttemptOutcome::Unreachable => upstream.record_unreachable(now_ms),
            AttemptOutcome::TimedOut => upstream.record_timeout(now_ms),
            AttemptOutcome::Canceled => {}
        }
    }

    fn record_response(
        &mut self,
        request: &RequestState,
        current: InFlightAttempt,
        outcome: AttemptOutcome,
        now_ms: u64,
    ) {
        let AttemptOutcome::Answered { failed: false, body_bytes, .. } = outcome else {
            return;
        };
        if current.wait_ms <= 0.0 {
            let times = self.times.entry(request.service.clone()).or_default();
            times.record_time(current.warm, current.time_at_upstream_ms(now_ms));
        }
        let mean =
            self.response_bytes.entry(request.route.name.clone()).or_insert(body_bytes as f64);
        *mean += SAMPLE_WEIGHT * (body_bytes as f64 - *mean);
    }

    /// Records the time that a connection to an upstream took to open.
    pub fn record_connect_time(&mut self, key: UpstreamKey, took_ms: u64) {
        let far = self.upstreams.get(key).is_some_and(|up| up.region != self.location.region);
        if far {
            self.other_region_rtt_ms += SAMPLE_WEIGHT * (took_ms as f64 - self.other_region_rtt_ms);
        }
    }
}
