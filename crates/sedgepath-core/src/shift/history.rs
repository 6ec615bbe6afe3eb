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

/// A window that requests of the part about to begin end, and the window before it.
#[derive(Debug)]
pub(super) struct Pair {
    before: Vec<f64>,
    sums: Vec<f64>,
    weight: f64,
}

impl Pair {
    /// Returns what moves between the two windows if this many requests come with these shares.
    pub(super) fn moved(&self, shares: &[f64], requests: f64) -> f64 {
        let sums = self.sums.iter().zip(shares).zip(&self.before);
        let later = |sum: &f64, share: &f64| {
            if requests.is_infinite() {
                *share
            } else {
                (sum + share * requests) / (self.weight + requests)
            }
        };
        sums.map(|((sum, share), before)| (later(sum, share) - before).abs()).sum::<f64>() / 2.0
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

    /// Returns every pair of a window and the window before it in which requests of the part about to
    /// begin may be the last ones.
    ///
    /// A window begins in some part of the last window's time. Where the border between the two
    /// windows, or the beginning of the earlier one, lies within a part, the average lies between
    /// those with and without that part, and a distance is at most the larger of the distances at
    /// both ends; so whole parts suffice, each counted once with and once without those at the
    /// borders.
    pub(super) fn pairs(&self) -> Vec<Pair> {
        let end = self.parts.len();
        let mut pairs = Vec::with_capacity(8 * (PARTS + 1));
        for border in end - PARTS..=end {
            for begin in [border - PARTS, border - PARTS + 1] {
                for before_end in [border, (border + 1).min(end)] {
                    for later_begin in [border, (border + 1).min(end)] {
                        let before = self.average(begin, before_end);
                        let (sums, weight) = self.sum(later_begin, end);
                        pairs.push(Pair { before, sums, weight });
                    }
                }
            }
        }
        pairs
    }

    /// Returns the most requests of a part in the time that is kept.
    pub(super) fn most_requests(&self) -> f64 {
        self.parts.iter().map(|part| part.weight).fold(0.0, f64::max)
    }

    /// Returns the requests of the current part.
    pub(super) fn current_requests(&self) -> f64 {
        self.parts[self.parts.len() - 1].weight
    }

    fn average(&self, begin: usize, end: usize) -> Vec<f64> {
        let (sums, weight) = self.sum(begin, end);
        sums.iter().map(|sum| sum / weight).collect()
    }

    fn sum(&self, begin: usize, end: usize) -> (Vec<f64>, f64) {
        let mut sums = vec![0.0; self.parts[0].sums.len()];
        let mut weight = 0.0;
        for part in self.parts.range(begin..end) {
            weight += part.weight;
            for (sum, added) in sums.iter_mut().zip(&part.sums) {
                *sum += added;
            }
        }
        (sums, weight)
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
