//! Requests by domain in the last two windows, in buckets of a tenth of a window.

use std::collections::VecDeque;

/// The number of buckets in a window.
pub(super) const BUCKETS_PER_WINDOW: usize = 10;

/// The weight of a bucket without requests. It preserves the standing shares of idle periods, so
/// that they don't permit a sudden move.
const EMPTY_BUCKET_WEIGHT: f64 = 0.001;

/// A tenth of a window: the number of requests and their shares by domain.
#[derive(Debug, Clone)]
struct Bucket {
    weight: f64,
    sums: Vec<f64>,
}

impl Bucket {
    fn new(shares: &[f64]) -> Self {
        let sums = shares.iter().map(|share| share * EMPTY_BUCKET_WEIGHT).collect();
        Self { weight: EMPTY_BUCKET_WEIGHT, sums }
    }
}

/// A window that ends in the next bucket, and the window before it.
#[derive(Debug)]
pub(super) struct WindowPair {
    before: Vec<f64>,
    sums: Vec<f64>,
    weight: f64,
}

impl WindowPair {
    /// Returns the share that moves between the two windows if the given number of requests arrive
    /// with these shares.
    pub(super) fn moved_share(&self, shares: &[f64], requests: f64) -> f64 {
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

/// The buckets of the last two windows and the current bucket, oldest first.
#[derive(Debug)]
pub(super) struct History {
    buckets: VecDeque<Bucket>,
}

impl History {
    /// The number of buckets kept: two windows, and one bucket each for windows that begin or end
    /// within a bucket.
    const KEPT_BUCKETS: usize = 2 * BUCKETS_PER_WINDOW + 2;

    /// Creates a history with constant shares.
    pub(super) fn new(shares: &[f64]) -> Self {
        Self { buckets: vec![Bucket::new(shares); Self::KEPT_BUCKETS].into() }
    }

    /// Creates a history by linear interpolation from the shares two windows ago through those one
    /// window ago to the current shares.
    pub(super) fn interpolated(now: &[f64], one_ago: &[f64], two_ago: &[f64]) -> Self {
        let mut history = Self::new(two_ago);
        for (from, to) in [(two_ago, one_ago), (one_ago, now)] {
            for number in 1..=BUCKETS_PER_WINDOW {
                let fraction = number as f64 / BUCKETS_PER_WINDOW as f64;
                let shares: Vec<_> =
                    from.iter().zip(to).map(|(from, to)| from + fraction * (to - from)).collect();
                history.begin_bucket(&shares);
            }
        }
        history
    }

    /// Returns the average shares of the bucket that was current the given number of buckets ago.
    pub(super) fn shares_buckets_ago(&self, buckets: usize) -> Vec<f64> {
        let last = self.buckets.len() - 1;
        self.average(last - buckets, last - buckets + 1)
    }

    /// Begins a bucket with its standing shares, and drops the oldest.
    pub(super) fn begin_bucket(&mut self, shares: &[f64]) {
        self.buckets.pop_front();
        self.buckets.push_back(Bucket::new(shares));
    }

    /// Adds a request, distributed by the standing shares, to the current bucket.
    pub(super) fn add_request(&mut self, shares: &[f64]) {
        let bucket = self.current();
        bucket.weight += 1.0;
        for (sum, share) in bucket.sums.iter_mut().zip(shares) {
            *sum += share;
        }
    }

    /// Moves a request of the current bucket from one domain to another.
    pub(super) fn move_request(&mut self, from: usize, to: usize) {
        let bucket = self.current();
        bucket.sums[from] -= 1.0;
        bucket.sums[to] += 1.0;
    }

    /// Adds a domain without any requests.
    pub(super) fn add_domain(&mut self) {
        for bucket in &mut self.buckets {
            bucket.sums.push(0.0);
        }
    }

    /// Returns every pair of a window that ends in the next bucket and the window before it.
    ///
    /// A window may begin within a bucket. Its average then lies between the averages with and
    /// without that bucket, and the distance is at most the larger of the two, so it suffices to
    /// check whole buckets, each pair with and without the boundary buckets.
    pub(super) fn window_pairs(&self) -> Vec<WindowPair> {
        let end = self.buckets.len();
        let mut pairs = Vec::with_capacity(8 * (BUCKETS_PER_WINDOW + 1));
        for boundary in end - BUCKETS_PER_WINDOW..=end {
            for begin in [boundary - BUCKETS_PER_WINDOW, boundary - BUCKETS_PER_WINDOW + 1] {
                for before_end in [boundary, (boundary + 1).min(end)] {
                    for later_begin in [boundary, (boundary + 1).min(end)] {
                        let before = self.average(begin, before_end);
                        let (sums, weight) = self.sum(later_begin, end);
                        pairs.push(WindowPair { before, sums, weight });
                    }
                }
            }
        }
        pairs
    }

    /// Returns the number of requests in the busiest bucket kept.
    pub(super) fn max_bucket_requests(&self) -> f64 {
        self.buckets.iter().map(|bucket| bucket.weight).fold(0.0, f64::max)
    }

    /// Returns the number of requests in the current bucket.
    pub(super) fn current_bucket_requests(&self) -> f64 {
        self.buckets[self.buckets.len() - 1].weight
    }

    fn average(&self, begin: usize, end: usize) -> Vec<f64> {
        let (sums, weight) = self.sum(begin, end);
        sums.iter().map(|sum| sum / weight).collect()
    }

    fn sum(&self, begin: usize, end: usize) -> (Vec<f64>, f64) {
        let mut sums = vec![0.0; self.buckets[0].sums.len()];
        let mut weight = 0.0;
        for bucket in self.buckets.range(begin..end) {
            weight += bucket.weight;
            for (sum, added) in sums.iter_mut().zip(&bucket.sums) {
                *sum += added;
            }
        }
        (sums, weight)
    }

    /// Returns the number of requests in the previous bucket.
    pub(super) fn previous_bucket_requests(&self) -> f64 {
        self.buckets[self.buckets.len() - 2].weight
    }

    fn current(&mut self) -> &mut Bucket {
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
