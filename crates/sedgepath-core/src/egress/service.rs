//! The admission state of one service: its queue, its reserve and the estimate of its service time.

use super::queue::{Queue, Waiting};
use super::reserve::Reserve;

/// The estimated service time until the first request has ended.
const FIRST_GUESS_MS: f64 = 50.0;

/// The weights of a new sample in the mean and in the mean deviation, as in Jacobson's estimator of
/// round-trip times ("Congestion Avoidance and Control", 1988).
const MEAN_WEIGHT: f64 = 0.125;
const DEVIATION_WEIGHT: f64 = 0.25;

/// The bounds of the retry time that a refused caller is told.
const SOONEST_RETRY_MS: f64 = 50.0;
const LATEST_RETRY_MS: f64 = 10_000.0;

/// An estimate of the time that requests of a service take at its upstreams.
#[derive(Debug, Default)]
pub struct ServiceTime {
    known: Option<(f64, f64)>,
}

impl ServiceTime {
    /// Adds the service time of a completed request, in milliseconds.
    pub fn note(&mut self, took_ms: u64) {
        let took_ms = took_ms as f64;
        self.known = Some(match self.known {
            None => (took_ms, took_ms / 2.0),
            Some((mean, deviation)) => {
                let off = took_ms - mean;
                let deviation = deviation + DEVIATION_WEIGHT * (off.abs() - deviation);
                (mean + MEAN_WEIGHT * off, deviation)
            }
        });
    }

    /// Returns the mean, in milliseconds.
    pub fn mean_ms(&self) -> f64 {
        self.known.map_or(FIRST_GUESS_MS, |(mean, _)| mean.max(1.0))
    }

    /// Returns the mean plus the mean deviation, in milliseconds.
    pub fn long_ms(&self) -> f64 {
        self.mean_ms() + self.known.map_or(0.0, |(_, deviation)| deviation)
    }
}

/// The state of the paying class, or of all other classes together.
#[derive(Debug, Default)]
struct Turn {
    /// When a request of the group was last sent, in milliseconds.
    sent_at_ms: u64,
}

/// The admission state of one service.
#[derive(Debug, Default)]
pub struct Service {
    /// The queued requests.
    pub queue: Queue,
    /// The slots reserved for paying requests.
    pub reserve: Reserve,
    /// The estimate of the time that a request takes.
    pub time: ServiceTime,
    paying_turn: Turn,
    other_turn: Turn,
}

impl Service {
    /// Records that a queued request was sent.
    pub fn sent(&mut self, pays: bool, now_ms: u64) {
        self.turn_mut(pays).sent_at_ms = now_ms;
    }

    /// Removes the requests that can no longer be served in time; returns each with its retry time in
    /// milliseconds.
    pub fn refuse_late(&mut self, outlook: Outlook, now_ms: u64) -> Vec<(Waiting, u64)> {
        let mut pace = Pace::new(self, outlook, now_ms);
        let mut retries = Vec::new();
        let refused = self.queue.drain_refused(|waiting| {
            let late = pace.is_late(waiting);
            if late {
                retries.push(pace.retry_after_ms(waiting.pays()));
            } else {
                pace.pass(waiting.pays());
            }
            late
        });
        refused.into_iter().zip(retries).collect()
    }

    /// Returns the time after which a request that is refused now should be retried, in milliseconds.
    pub fn retry_after_ms(&self, pays: bool, outlook: Outlook, now_ms: u64) -> u64 {
        let mut pace = Pace::new(self, outlook, now_ms);
        for waiting in self.queue.waiting().iter().filter(|waiting| waiting.pays() || !pays) {
            pace.pass(waiting.pays());
        }
        pace.retry_after_ms(pays)
    }

    fn turn_mut(&mut self, pays: bool) -> &mut Turn {
        if pays { &mut self.paying_turn } else { &mut self.other_turn }
    }

    /// Returns how long the first queued request of a group has waited since that group last sent
    /// one, in milliseconds.
    fn stalled_ms(&self, pays: bool, now_ms: u64) -> f64 {
        let first = self.queue.waiting().iter().find(|waiting| waiting.pays() == pays);
        let turn = if pays { &self.paying_turn } else { &self.other_turn };
        let since_ms = first.map_or(now_ms, |first| first.since_ms.max(turn.sent_at_ms));
        now_ms.saturating_sub(since_ms) as f64
    }
}

/// The slots available to paying requests and to all others.
#[derive(Debug, Clone, Copy)]
pub struct Outlook {
    /// The slots for paying requests.
    pub paying: u32,
    /// The slots for all other requests.
    pub others: u32,
}

/// Estimates when each queued request would start, in serving order.
///
/// A slot of a group is expected to become free once every mean service time divided by the group's
/// slots. If none has for longer, the next one is expected no sooner than that wait. The mean only
/// covers completed requests, so without this rule requests would wait until their deadlines for
/// upstreams that have stopped responding.
#[derive(Debug)]
struct Pace {
    now_ms: u64,
    mean_ms: f64,
    long_ms: f64,
    paying: Lane,
    others: Lane,
}

/// The expected starts of one group's requests.
#[derive(Debug, Clone, Copy)]
struct Lane {
    /// The time between two starts, in milliseconds.
    step_ms: f64,
    /// The time until the next start, in milliseconds.
    start_in_ms: f64,
}

impl Lane {
    fn new(slots: u32, mean_ms: f64, stalled_ms: f64) -> Self {
        let step_ms = if slots == 0 { LATEST_RETRY_MS } else { mean_ms / f64::from(slots) };
        Self { step_ms, start_in_ms: step_ms.max(stalled_ms) }
    }
}

impl Pace {
    fn new(service: &Service, outlook: Outlook, now_ms: u64) -> Self {
        let mean_ms = service.time.mean_ms();
        let lane = |slots, pays| Lane::new(slots, mean_ms, service.stalled_ms(pays, now_ms));
        Self {
            now_ms,
            mean_ms,
            long_ms: service.time.long_ms(),
            paying: lane(outlook.paying, true),
            others: lane(outlook.others, false),
        }
    }

    fn start_in_ms(&self, pays: bool) -> f64 {
        if pays { self.paying.start_in_ms } else { self.others.start_in_ms }
    }

    /// Accounts for a queued request: later ones of its group start later, and a paying request
    /// delays the other classes too.
    fn pass(&mut self, pays: bool) {
        if pays {
            self.paying.start_in_ms += self.paying.step_ms;
        }
        self.others.start_in_ms += if pays { self.paying.step_ms } else { self.others.step_ms };
    }

    /// Returns whether a request can't be served before its deadline.
    ///
    /// A new request needs a margin over the mean; otherwise a small change of the estimate would
    /// refuse it later, after it has waited.
    fn is_late(&self, waiting: &Waiting) -> bool {
        let start_in_ms = self.start_in_ms(waiting.pays());
        let needed_ms = if waiting.since_ms == self.now_ms {
            start_in_ms + self.long_ms
        } else {
            start_in_ms + self.mean_ms
        };
        self.now_ms as f64 + needed_ms > waiting.deadline_at_ms as f64
    }

    fn retry_after_ms(&self, pays: bool) -> u64 {
        self.start_in_ms(pays).clamp(SOONEST_RETRY_MS, LATEST_RETRY_MS).round() as u64
    }
}
