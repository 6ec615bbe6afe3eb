//! Requests that return after a rejection, recognised by the time left on their arrival.
//!
//! A caller waits for a fixed time in all, and a request that it sends again has less of that time left.
//! The callers' clocks don't matter, since only the time left is compared.

use std::collections::VecDeque;

use super::History;
use super::reservations::MAX_RESERVED_SHARE;

/// The number of recent arrivals of a route that tell what is usual.
const SAMPLES: usize = 64;

/// The number of arrivals below which nothing counts as usual.
const MIN_SAMPLES: usize = 16;

/// The quantile of the time left that counts as usual for first requests. Callers with longer limits
/// than most don't raise it while they send less than a tenth of the requests.
const USUAL_QUANTILE: f64 = 0.9;

/// The share of the usual time left by which first requests differ, since some wait for a connection.
const USUAL_SPREAD_SHARE: f64 = 0.05;

/// The share of the usual time left that the network may take up on the way back.
const NETWORK_TIME_SHARE: f64 = 0.02;

/// The most by which first requests differ, in milliseconds; below the shortest delay that a rejected
/// caller is told.
const MAX_USUAL_SPREAD_MS: u64 = 100;

/// The time between two samples that are as usual, and between two larger ones, in milliseconds. Of many
/// requests, as many larger ones as usual ones count, so that first requests become usual again after
/// an overload in which others returned often.
const SAMPLE_INTERVAL_MS: u64 = 20;

/// The time between two samples that are smaller than usual, in milliseconds. Callers that return at once
/// and often would otherwise soon count as usual.
const SMALLER_SAMPLE_INTERVAL_MS: u64 = 100;

/// The time left that first requests of a route usually have on arrival.
#[derive(Debug, Default)]
pub struct UsualTimeLeft {
    /// Recent times left, in milliseconds, oldest first.
    samples: VecDeque<u64>,
    usual_ms: Option<u64>,
    /// When the next sample is taken that is smaller than, as or larger than usual, in milliseconds.
    next_sample_at_ms: [u64; 3],
}

impl UsualTimeLeft {
    /// Returns what the time left of a request tells on its arrival.
    pub fn history(&self, time_left_ms: u64) -> History {
        let Some(usual_ms) = self.usual_ms else {
            return History::New;
        };
        let min_early_share = 1.0 - MAX_RESERVED_SHARE - NETWORK_TIME_SHARE;
        if time_left_ms + spread_ms(usual_ms) >= usual_ms {
            History::New
        } else if time_left_ms as f64 > min_early_share * usual_ms as f64 {
            History::ReturnsEarly
        } else {
            History::ReturnsLate
        }
    }

    /// Records the time left of a request on its arrival.
    pub fn record(&mut self, time_left_ms: u64, now_ms: u64) {
        let usual_ms = self.usual_ms.unwrap_or(time_left_ms);
        let spread_ms = spread_ms(usual_ms);
        let (kind, interval_ms) = if time_left_ms + spread_ms < usual_ms {
            (0, SMALLER_SAMPLE_INTERVAL_MS)
        } else if time_left_ms <= usual_ms + spread_ms {
            (1, SAMPLE_INTERVAL_MS)
        } else {
            (2, SAMPLE_INTERVAL_MS)
        };
        if self.usual_ms.is_some() {
            if now_ms < self.next_sample_at_ms[kind] {
                return;
            }
            self.next_sample_at_ms[kind] = now_ms + interval_ms;
        }
        if self.samples.len() == SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(time_left_ms);
        if self.samples.len() >= MIN_SAMPLES {
            let mut sorted_ms: Vec<u64> = self.samples.iter().copied().collect();
            let index = (USUAL_QUANTILE * (sorted_ms.len() - 1) as f64) as usize;
            self.usual_ms = Some(*sorted_ms.select_nth_unstable(index).1);
        }
    }
}

fn spread_ms(usual_ms: u64) -> u64 {
    ((usual_ms as f64 * USUAL_SPREAD_SHARE) as u64).min(MAX_USUAL_SPREAD_MS)
}
