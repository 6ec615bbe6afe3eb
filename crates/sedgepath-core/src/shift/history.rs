//! Requests by domain in the last two windows, in buckets of a tenth of a window.

use std::collections::VecDeque;

/// The number of buckets in a window.
pub(super) const BUCKETS_PER_WINDOW: usize = 10;

/// The requests that each bucket starts with, distributed by the standing shares. They make an idle
/// period count in the averages, so that it does not permit a sudden move.
const INITIAL_BUCKET_REQUESTS: f64 = 0.001;

/// The requests in a tenth of a window, including [`INITIAL_BUCKET_REQUESTS`].
#[derive(Debug, Clone)]
struct Bucket {
    requests: f64,
    requests_by_domain: Vec<f64>,
}

impl Bucket {
    fn new(shares: &[f64]) -> Self {
        let requests_by_domain =
            shares.iter().map(|share| share * INITIAL_BUCKET_REQUESTS).collect();
        Self { requests: INITIAL_BUCKET_REQUESTS, requests_by_domain }
    }
}

/// The past part of a window that includes future requests, and the window before it.
#[derive(Debug)]
pub(super) struct WindowPair {
    /// The average shares of the window before.
    shares_before: Vec<f64>,
    requests_by_domain: Vec<f64>,
    requests: f64,
}

impl WindowPair {
    /// Returns the share that moves between the two windows if `future_requests` arrive with these
    /// shares. With an infinite number the later window has exactly these shares.
    pub(super) fn moved_share(&self, shares: &[f64], future_requests: f64) -> f64 {
        let domains = self.requests_by_domain.iter().zip(shares).zip(&self.shares_before);
        let share_after = |past: &f64, share: &f64| {
            if future_requests.is_infinite() {
                *share
            } else {
                (past + share * future_requests) / (self.requests + future_requests)
            }
        };
        domains
            .map(|((past, share), before)| (share_after(past, share) - before).abs())
            .sum::<f64>()
            / 2.0
    }
}

/// The buckets of the last two windows and the current bucket, oldest first.
#[derive(Debug)]
pub(super) struct History {
    buckets: VecDeque<Bucket>,
}

impl History {
    /// The number of buckets kept: the current bucket, the two windows before it, and one older
    /// bucket.
    const KEPT_BUCKETS: usize = 2 * BUCKETS_PER_WINDOW + 2;

    /// Creates a history with constant shares.
    pub(super) fn new(shares: &[f64]) -> Self {
        Self { buckets: vec![Bucket::new(shares); Self::KEPT_BUCKETS].into() }
    }

    /// Creates a history whose shares are interpolated linearly between the current shares and those
    /// of one and two windows ago.
    pub(super) fn interpolated(now: &[f64], one_ago: &[f64], two_ago: &[f64]) -> Self {
        let mut history = Self::new(two_ago);
        for (from, to) in [(two_ago, one_ago), (one_ago, now)] {
            for bucket in 1..=BUCKETS_PER_WINDOW {
                let fraction = bucket as f64 / BUCKETS_PER_WINDOW as f64;
                let shares: Vec<_> =
                    from.iter().zip(to).map(|(from, to)| from + fraction * (to - from)).collect();
                history.begin_bucket(&shares);
            }
        }
        history
    }

    /// Returns the shares of a bucket; an age of 0 buckets is the current one.
    pub(super) fn shares_at_age(&self, age_buckets: usize) -> Vec<f64> {
        let last = self.buckets.len() - 1;
        self.average(last - age_buckets, last - age_buckets + 1)
    }

    /// Begins a bucket with these standing shares, and drops the oldest bucket.
    pub(super) fn begin_bucket(&mut self, shares: &[f64]) {
        self.buckets.pop_front();
        self.buckets.push_back(Bucket::new(shares));
    }

    /// Adds a request, distributed by the standing shares, to the current bucket.
    pub(super) fn add_request(&mut self, shares: &[f64]) {
        let bucket = self.current();
        bucket.requests += 1.0;
        for (requests, share) in bucket.requests_by_domain.iter_mut().zip(shares) {
            *requests += share;
        }
    }

    /// Moves a request of the current bucket from one domain to another.
    pub(super) fn move_request(&mut self, from: usize, to: usize) {
        let bucket = self.current();
        bucket.requests_by_domain[from] -= 1.0;
        bucket.requests_by_domain[to] += 1.0;
    }

    /// Adds a domain without any requests.
    pub(super) fn add_domain(&mut self) {
        for bucket in &mut self.buckets {
            bucket.requests_by_domain.push(0.0);
        }
    }

    /// Returns every pair of a window that includes future requests and the window before it.
    ///
    /// A window may begin or end within a bucket. Its average then lies between the averages with and
    /// without that bucket, so the share that it moves is at most the larger of the two shares that
    /// these averages move. Each pair is therefore returned with and without each boundary bucket.
    pub(super) fn window_pairs(&self) -> Vec<WindowPair> {
        let end = self.buckets.len();
        let mut pairs = Vec::with_capacity(8 * (BUCKETS_PER_WINDOW + 1));
        for boundary in end - BUCKETS_PER_WINDOW..=end {
            for begin in [boundary - BUCKETS_PER_WINDOW, boundary - BUCKETS_PER_WINDOW + 1] {
                for before_end in [boundary, (boundary + 1).min(end)] {
                    for later_begin in [boundary, (boundary + 1).min(end)] {
                        let shares_before = self.average(begin, before_end);
                        let (requests_by_domain, requests) = self.sum(later_begin, end);
                        pairs.push(WindowPair { shares_before, requests_by_domain, requests });
                    }
                }
            }
        }
        pairs
    }

    /// Returns the number of requests in the busiest bucket, including [`INITIAL_BUCKET_REQUESTS`].
    pub(super) fn max_bucket_requests(&self) -> f64 {
        self.buckets.iter().map(|bucket| bucket.requests).fold(0.0, f64::max)
    }

    /// Returns the number of requests in the current bucket, including [`INITIAL_BUCKET_REQUESTS`].
    pub(super) fn current_bucket_requests(&self) -> f64 {
        self.buckets[self.buckets.len() - 1].requests
    }

    /// Returns the shares of the requests in a range of buckets.
    fn average(&self, begin: usize, end: usize) -> Vec<f64> {
        let (requests_by_domain, requests) = self.sum(begin, end);
        requests_by_domain.iter().map(|domain_requests| domain_requests / requests).collect()
    }

    /// Returns the requests in a range of buckets, by domain and in total.
    fn sum(&self, begin: usize, end: usize) -> (Vec<f64>, f64) {
        let mut requests_by_domain = vec![0.0; self.buckets[0].requests_by_domain.len()];
        let mut requests = 0.0;
        for bucket in self.buckets.range(begin..end) {
            requests += bucket.requests;
            for (sum, added) in requests_by_domain.iter_mut().zip(&bucket.requests_by_domain) {
                *sum += added;
            }
        }
        (requests_by_domain, requests)
    }

    /// Returns the number of requests in the previous bucket, including [`INITIAL_BUCKET_REQUESTS`].
    pub(super) fn previous_bucket_requests(&self) -> f64 {
        self.buckets[self.buckets.len() - 2].requests
    }

    fn current(&mut self) -> &mut Bucket {
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
