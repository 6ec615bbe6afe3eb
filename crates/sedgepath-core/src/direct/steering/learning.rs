//! What is learnt of upstreams and services from how sendings end.

use super::{SAMPLE_WEIGHT, Steering};
use crate::direct::attempts::{AttemptCause, AttemptOutcome, InFlightAttempt, RequestState};
use crate::direct::upstreams::UpstreamKey;

impl Steering {
    /// Takes in how a sending ended.
    pub fn record_outcome(
        &mut self,
        attempts: &mut RequestState,
        key: UpstreamKey,
        outcome: AttemptOutcome,
        now_ms: u64,
    ) {
        let Some(index) = attempts.in_flight.iter().position(|sent| sent.upstream == key) else {
            return;
        };
        let current = attempts.in_flight.swap_remove(index);
        match outcome {
            AttemptOutcome::Answered { .. } | AttemptOutcome::Failed | AttemptOutcome::TimedOut => {
                attempts.delivered += 1;
                attempts.possible_runs += 1;
                attempts.cause = AttemptCause::Failed;
            }
            AttemptOutcome::Refused { .. } | AttemptOutcome::Misdirected => {
                attempts.delivered += 1;
                attempts.cause = AttemptCause::Refused;
            }
            AttemptOutcome::Unreachable | AttemptOutcome::Canceled => {}
        }
        if let Some(service) = self.service(&attempts.service).cloned()
            && !matches!(
                outcome,
                AttemptOutcome::Unreachable | AttemptOutcome::Canceled | AttemptOutcome::TimedOut
            )
        {
            self.upstreams.note_return(key, &service, now_ms);
        }
        self.learn(attempts, current, outcome, now_ms);
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        upstream.ended();
        match outcome {
            AttemptOutcome::Answered { failed: true, .. } | AttemptOutcome::Failed => {
                upstream.failed(now_ms)
            }
            AttemptOutcome::Answered { report, .. } => {
                let expected_ms = self
                    .times
                    .get(&attempts.service)
                    .map(|times| times.work_ms(current.warm) + current.wait_ms);
                let took_ms = current.took_ms(now_ms);
                let slowness = expected_ms.map(|expected_ms| took_ms / expected_ms.max(1.0));
                upstream.answered(report, slowness, now_ms);
            }
            AttemptOutcome::Refused { report } => upstream.refused(report, now_ms),
            AttemptOutcome::Misdirected => self.upstreams.misdirected(key),
            AttemptOutcome::Unreachable => upstream.unreachable(now_ms),
            AttemptOutcome::TimedOut => upstream.timed_out(now_ms),
            AttemptOutcome::Canceled => {}
        }
    }

    fn learn(
        &mut self,
        attempts: &RequestState,
        current: InFlightAttempt,
        outcome: AttemptOutcome,
        now_ms: u64,
    ) {
        let AttemptOutcome::Answered { failed: false, body_bytes, .. } = outcome else {
            return;
        };
        if current.wait_ms <= 0.0 {
            let times = self.times.entry(attempts.service.clone()).or_default();
            times.learn(current.warm, current.took_ms(now_ms));
        }
        let mean =
            self.answer_bytes.entry(attempts.route.name.clone()).or_insert(body_bytes as f64);
        *mean += SAMPLE_WEIGHT * (body_bytes as f64 - *mean);
    }

    /// Takes in the time that a connection to an upstream took.
    pub fn record_connect_time(&mut self, key: UpstreamKey, took_ms: u64) {
        let far = self.upstreams.get(key).is_some_and(|up| up.region != self.location.region);
        if far {
            self.far_ms += SAMPLE_WEIGHT * (took_ms as f64 - self.far_ms);
        }
    }
}
