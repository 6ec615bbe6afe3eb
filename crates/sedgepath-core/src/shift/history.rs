//! What ran where in the last two windows, by tenths of a window.

use std::collections::VecDeque;

/// The parts that a window is divided into.
pub(super) const PARTS: usize = 10;

/// The weight of a part without requests. It keeps the shares that stood in a quiet time, so that a
/// silence does not make room for a jump.
const QUIET_WEIGHT: f64 = 0.001;

/// One part of a window.
#[derive(Debug, Clone)]
struct Part {
    weight: f64,
    sums: Vec<f64>,
}

impl Part {
    fn new(shares: &[f64]) -> Self {
        let sums = shares.iter().map(|share| share * QUIET_WEIGHT).collect();
        Self { weight: QUIET_WEIGHT, sums }
    }
}

/// The last two windows and the part that has begun; the oldest part comes first.
#[derive(Debug)]
pub(super) struct History {
    parts: VecDeque<Part>,
}

impl History {
    /// The parts that are kept: two windows, and one part each for windows that begin or end within
    /// a part.
    const KEPT: usize = 2 * PARTS + 2;

    /// Creates a history in which the shares have always stood.
    pub(super) fn new(shares: &[f64]) -> Self {
        Self { parts: vec![Part::new(shares); Self::KEPT].into() }
    }

    /// Creates the history of shares that moved evenly from `two_ago` over `one_ago`, the shares two
    /// windows and one window ago, to `now`.
    pub(super) fn between(now: &[f64], one_ago: &[f64], two_ago: &[f64]) -> Self {
        let mut history = Self::new(two_ago);
        for (from, to) in [(two_ago, one_ago), (one_ago, now)] {
            for number in 1..=PARTS {
                let way = number as f64 / PARTS as f64;
                let shares: Vec<_> =
                    from.iter().zip(to).map(|(from, to)| from + way * (to - from)).collect();
                history.begin_part(&shares);
            }
        }
        history
    }

    /// Returns the average shares of the part that was current some parts ago.
    pub(super) fn part_ago(&self, parts: usize) -> Vec<f64> {
        let last = self.parts.len() - 1;
        self.average(last - parts, last - parts + 1)
    }

    /// Begins a part with the shares that stand in it.
    pub(super) fn begin_part(&mut self, shares: &[f64]) {
        self.parts.pop_front();
        self.parts.push_back(Part::new(shares));
    }

    /// Adds a request that the standing shares gave a home.
    pub(super) fn add_request(&mut self, shares: &[f64]) {
        let part = self.current();
        part.weight += 1.0;
        for (sum, share) in part.sums.iter_mut().zip(shares) {
            *sum += share;
        }
    }

    /// Moves a request from one domain to another.
    pub(super) fn move_request(&mut self, from: usize, to: usize) {
        let part = self.current();
        part.sums[from] -= 1.0;
        part.sums[to] += 1.0;
    }

    /// Adds a domain that nothing has gone to.
    pub(super) fn add_domain(&mut self) {
        for part in &mut self.parts {
            part.sums.push(0.0);
        }
    }

    /// Returns the average shares of every window that a request of the part about to begin could be
    /// compared with.
    ///
    /// A request at time t lies in windows that begin after t - W; the windows before them begin
    /// between t - 2W and t - W. Where such a window begins or ends within a part, its average lies
    /// between those with and without that part, and a distance from it is at most the larger of the
    /// distances from those two; so whole parts suffice, in windows of one part more and one less.
    pub(super) fn windows_before(&self) -> Vec<Vec<f64>> {
        let past = self.parts.len();
        let mut averages = Vec::with_capacity(3 * (PARTS + 1));
        for length in [PARTS - 1, PARTS, PARTS + 1] {
            for end in past - PARTS..=past {
                averages.push(self.average(end - length, end));
            }
        }
        averages
    }

    fn average(&self, begin: usize, end: usize) -> Vec<f64> {
        let mut sums = vec![0.0; self.parts[begin].sums.len()];
        let mut weight = 0.0;
        for part in self.parts.range(begin..end) {
            weight += part.weight;
            for (sum, added) in sums.iter_mut().zip(&part.sums) {
                *sum += added;
            }
        }
        sums.iter().map(|sum| sum / weight).collect()
    }

    /// Returns the requests of the part before the current one.
    pub(super) fn last_requests(&self) -> f64 {
        self.parts[self.parts.len() - 2].weight
    }

    fn current(&mut self) -> &mut Part {
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }
}
