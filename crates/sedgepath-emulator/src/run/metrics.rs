//! The outcomes of a run.

/// The width of a bin in [`RunMetrics::bins`], in milliseconds.
pub const BIN_WIDTH_MS: u64 = 1_000;

/// The outcomes of all requests of a run.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RunMetrics {
    /// The requests; a resubmitted request counts once.
    pub requests: usize,
    /// The requests answered within the target.
    pub on_time: usize,
    /// The requests answered after the target.
    pub late: usize,
    /// The requests whose last submission was rejected.
    pub rejected: usize,
    /// The requests that failed or timed out.
    pub failed: usize,
    /// The rejections of all submissions.
    pub rejections: usize,
    /// The sum of the utilities of all responses, each from 0 to 1.
    pub total_utility: f64,
    /// The response times from a request's first submission on, in milliseconds.
    pub latencies_ms: Vec<u64>,
    /// The attempts sent to upstreams.
    pub attempts: usize,
    /// The attempts sent to an upstream of another region.
    pub cross_region_attempts: usize,
    /// The connections opened to upstreams.
    pub opened_connections: usize,
    /// The requests that upstreams started.
    pub runs: usize,
    /// The started requests whose object was warm.
    pub warm_runs: usize,
    /// How often a cold upstream crashed under too many requests.
    pub crashes: usize,
    /// The total utility and the number of the requests that arrived in each bin.
    pub bins: Vec<(f64, usize)>,
}

impl RunMetrics {
    /// Returns the total utility divided by the number of requests.
    pub fn mean_utility(&self) -> f64 {
        self.total_utility / self.requests.max(1) as f64
    }

    /// Returns a quantile of the response times, from 0 to 1, in milliseconds; 0 without responses.
    pub fn latency_quantile_ms(&self, quantile: f64) -> u64 {
        let mut sorted = self.latencies_ms.clone();
        sorted.sort_unstable();
        let index = (quantile * sorted.len() as f64) as usize;
        sorted.get(index.min(sorted.len().saturating_sub(1))).copied().unwrap_or(0)
    }
}
