//! What the owner keeps for each service: its queue, its reserve and how long a request takes.

use super::queue::{Queue, Waiting};
use super::reserve::Reserve;

/// What a request takes until one has ended, in milliseconds.
const FIRST_GUESS_MS: f64 = 50.0;

/// The weights of a new time in the mean and the mean deviation, as Jacobson's estimator of round
/// trips has them ("Congestion Avoidance and Control", 1988).
const MEAN_WEIGHT: f64 = 0.125;
const DEVIATION_WEIGHT: f64 = 0.25;

/// The least and the most time after which a refused caller is asked back, in milliseconds.
const SOONEST_RETRY_MS: f64 = 50.0;
const LATEST_RETRY_MS: f64 = 10_000.0;

/// The time that requests of a service take at its upstreams.
#[derive(Debug, Default)]
pub struct ServiceTime {
    known: Option<(f64, f64)>,
}

impl ServiceTime {
    /// Takes in the time of a request that was answered.
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

    /// Returns the mean and the mean deviation together, in milliseconds.
    pub fn long_ms(&self) -> f64 {
        self.mean_ms() + self.known.map_or(0.0, |(_, deviation)| deviation)
    }
}

/// A group of classes that is served from its own part of the slots.
#[derive(Debug, Default)]
struct Turn {
    /// When a request of the group was last sent, in milliseconds.
    sent_at_ms: u64,
}

/// The state of one service at its owner.
#[derive(Debug, Default)]
pub struct Service {
    /// The requests that wait.
    pub queue: Queue,
    /// The slots kept for paying requests.
    pub reserve: Reserve,
    /// The time that a request takes.
    pub time: ServiceTime,
    paying_turn: Turn,
    other_turn: Turn,
}

impl Service {
    /// Takes in that a request was sent.
    pub fn sent(&mut self, pays: bool, now_ms: u64) {
        self.turn_mut(pays).sent_at_ms = now_ms;
    }

    /// Removes the requests that can no longer be served in time, each with the time to come back.
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

    /// Returns when a request that is refused now should come back, in milliseconds.
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

    /// Returns for how long the first in line has seen no other go before it, in milliseconds.
    fn stalled_ms(&self, pays: bool, now_ms: u64) -> f64 {
        let first = self.queue.waiting().iter().find(|waiting| waiting.pays() == pays);
        let turn = if pays { &self.paying_turn } else { &self.other_turn };
        let since_ms = first.map_or(now_ms, |first| first.since_ms.max(turn.sent_at_ms));
        now_ms.saturating_sub(since_ms) as f64
    }
}

/// The slots that the two groups can count on.
#[derive(Debug, Clone, Copy)]
pub struct Outlook {
    /// The slots for paying requests.
    pub paying: u32,
    /// The slots for the others.
    pub others: u32,
}

/// Walks the queue and says when each request would start.
///
/// A slot of a group falls free every mean time divided by its slots. Where none has for longer, the
/// next is not expected sooner than that wait: without this, requests would wait to their deadlines
/// at upstreams that have stopped answering, since the mean knows only of what has ended.
#[derive(Debug)]
struct Pace {
    now_ms: u64,
    mean_ms: f64,
    long_ms: f64,
    paying: Lane,
    others: Lane,
}

/// One group's way through its slots.
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

    /// Puts a request ahead of those that follow. A paying one delays the others too.
    fn pass(&mut self, pays: bool) {
        if pays {
            self.paying.start_in_ms += self.paying.step_ms;
        }
        self.others.start_in_ms += if pays { self.paying.step_ms } else { self.others.step_ms };
    }

    /// Whether a request can't be served in time. One that has just come needs a margin over the mean:
    /// one let in at the edge would be refused later, when the estimate has moved a little.
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
