//! The admission state of one service: its queue, its reserve and the estimate of its service time.

use super::queue::{Queue, QueuedRequest};
use super::reserve::PayingReserve;

/// The estimated service time until the first request has completed, in milliseconds.
const INITIAL_SERVICE_TIME_MS: f64 = 50.0;

/// The weights of a new sample in the mean and in the mean deviation, as in Jacobson's estimator of
/// round-trip times ("Congestion Avoidance and Control", 1988).
const MEAN_WEIGHT: f64 = 0.125;
const DEVIATION_WEIGHT: f64 = 0.25;

/// The bounds of the retry delay of a rejected request, in milliseconds.
const MIN_RETRY_AFTER_MS: f64 = 50.0;
const MAX_RETRY_AFTER_MS: f64 = 10_000.0;

/// An estimate of the time that requests of a service take at its upstreams (the service time).
#[derive(Debug, Default)]
pub struct ServiceTime {
    estimate: Option<(f64, f64)>,
}

impl ServiceTime {
    /// Adds the service time of a completed request, in milliseconds.
    pub fn add_sample(&mut self, sample_ms: u64) {
        let sample_ms = sample_ms as f64;
        self.estimate = Some(match self.estimate {
            None => (sample_ms, sample_ms / 2.0),
            Some((mean, deviation)) => {
                let difference_ms = sample_ms - mean;
                let deviation = deviation + DEVIATION_WEIGHT * (difference_ms.abs() - deviation);
                (mean + MEAN_WEIGHT * difference_ms, deviation)
            }
        });
    }

    /// Returns the mean, in milliseconds.
    pub fn mean_ms(&self) -> f64 {
        self.estimate.map_or(INITIAL_SERVICE_TIME_MS, |(mean, _)| mean.max(1.0))
    }

    /// Returns the mean plus the mean deviation, in milliseconds.
    pub fn mean_plus_deviation_ms(&self) -> f64 {
        self.mean_ms() + self.estimate.map_or(0.0, |(_, deviation)| deviation)
    }
}

/// The state of the paying class, or of all other classes together.
#[derive(Debug, Default)]
struct ClassState {
    /// When a request was last sent, in milliseconds.
    sent_at_ms: u64,
}

/// The admission state of one service.
#[derive(Debug, Default)]
pub struct ServiceState {
    /// The queued requests.
    pub queue: Queue,
    /// The slots reserved for paying requests.
    pub reserve: PayingReserve,
    /// The estimate of the service time.
    pub service_time: ServiceTime,
    paying: ClassState,
    others: ClassState,
}

impl ServiceState {
    /// Records that a queued request was sent.
    pub fn record_sent(&mut self, pays: bool, now_ms: u64) {
        self.class_state_mut(pays).sent_at_ms = now_ms;
    }

    /// Removes the queued requests that can no longer be served in time; returns each with its
    /// retry delay in milliseconds.
    pub fn remove_late(
        &mut self,
        class_slots: ClassSlots,
        now_ms: u64,
    ) -> Vec<(QueuedRequest, u64)> {
        let mut estimator = StartEstimator::new(self, class_slots, now_ms);
        let mut delays_ms = Vec::new();
        let rejected = self.queue.remove_where(|request| {
            let late = estimator.is_late(request);
            if late {
                delays_ms.push(estimator.retry_after_ms(request.is_paying()));
            } else {
                estimator.account_for(request.is_paying());
            }
            late
        });
        rejected.into_iter().zip(delays_ms).collect()
    }

    /// Returns the delay after which a request that is rejected now should be retried, in
    /// milliseconds.
    pub fn retry_after_ms(&self, pays: bool, class_slots: ClassSlots, now_ms: u64) -> u64 {
        let mut estimator = StartEstimator::new(self, class_slots, now_ms);
        for request in self.queue.requests().iter().filter(|request| request.is_paying() || !pays) {
            estimator.account_for(request.is_paying());
        }
        estimator.retry_after_ms(pays)
    }

    fn class_state_mut(&mut self, pays: bool) -> &mut ClassState {
        if pays { &mut self.paying } else { &mut self.others }
    }

    /// Returns how long the first queued request has waited since a request was last sent, among
    /// the paying requests if `pays` and otherwise among all others, in milliseconds.
    fn stalled_ms(&self, pays: bool, now_ms: u64) -> f64 {
        let first = self.queue.requests().iter().find(|request| request.is_paying() == pays);
        let state = if pays { &self.paying } else { &self.others };
        let since_ms = first.map_or(now_ms, |first| first.queued_at_ms.max(state.sent_at_ms));
        now_ms.saturating_sub(since_ms) as f64
    }
}

/// The slots available to paying requests and to all others.
#[derive(Debug, Clone, Copy)]
pub struct ClassSlots {
    /// The slots for paying requests.
    pub paying: u32,
    /// The slots for all other requests.
    pub others: u32,
}

/// Estimates when each queued request would start, in serving order.
///
/// Paying requests and all others are two groups with their own slots. A slot of a group is
/// expected to become free once every mean service time divided by the group's slots. If none has
/// become free for longer, the next one is expected after as long a wait again. The mean only
/// covers completed requests, so without this rule requests would wait until their deadlines for
/// upstreams that have stopped responding.
#[derive(Debug)]
struct StartEstimator {
    now_ms: u64,
    mean_ms: f64,
    new_request_time_ms: f64,
    paying: ClassSchedule,
    others: ClassSchedule,
}

/// The expected starts of the paying requests, or of all others.
#[derive(Debug, Clone, Copy)]
struct ClassSchedule {
    /// The time between two starts, in milliseconds.
    interval_ms: f64,
    /// The time until the next start, in milliseconds.
    start_in_ms: f64,
}

impl ClassSchedule {
    fn new(slots: u32, mean_ms: f64, stalled_ms: f64) -> Self {
        let interval_ms = if slots == 0 { MAX_RETRY_AFTER_MS } else { mean_ms / f64::from(slots) };
        Self { interval_ms, start_in_ms: interval_ms.max(stalled_ms) }
    }
}

impl StartEstimator {
    fn new(service: &ServiceState, class_slots: ClassSlots, now_ms: u64) -> Self {
        let mean_ms = service.service_time.mean_ms();
        let schedule =
            |slots, pays| ClassSchedule::new(slots, mean_ms, service.stalled_ms(pays, now_ms));
        Self {
            now_ms,
            mean_ms,
            new_request_time_ms: service.service_time.mean_plus_deviation_ms(),
            paying: schedule(class_slots.paying, true),
            others: schedule(class_slots.others, false),
        }
    }

    fn start_in_ms(&self, pays: bool) -> f64 {
        if pays { self.paying.start_in_ms } else { self.others.start_in_ms }
    }

    /// Accounts for a queued request: later ones of its group start later, and a paying request
    /// delays the other group too.
    fn account_for(&mut self, pays: bool) {
        if pays {
            self.paying.start_in_ms += self.paying.interval_ms;
        }
        self.others.start_in_ms +=
            if pays { self.paying.interval_ms } else { self.others.interval_ms };
    }

    /// Returns whether a request can't be served before its deadline.
    ///
    /// A new request needs a margin over the mean. Otherwise a small change of the estimate could
    /// get it rejected later, after it has waited.
    fn is_late(&self, request: &QueuedRequest) -> bool {
        let start_in_ms = self.start_in_ms(request.is_paying());
        let needed_ms = if request.queued_at_ms == self.now_ms {
            start_in_ms + self.new_request_time_ms
        } else {
            start_in_ms + self.mean_ms
        };
        self.now_ms as f64 + needed_ms > request.deadline_at_ms as f64
    }

    fn retry_after_ms(&self, pays: bool) -> u64 {
        self.start_in_ms(pays).clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS).round() as u64
    }
}
