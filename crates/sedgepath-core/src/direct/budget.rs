//! The retry budget of each service, as this VM's part of one that all VMs share.
//!
//! Without a budget an outage multiplies its own load: each request that fails is sent again, to
//! upstreams that are full because of the requests that failed.

use std::collections::VecDeque;

use crate::hash::Map;

/// The part of the budget that is used; the rest is a margin for VMs not yet known, and for requests
/// that operators don't count, like those that only ask which configuration is in force.
const USED_SHARE: f64 = 0.9;

/// The part of the slack that a VM uses in its first window. At its start it knows at least three
/// seeds, so ten VMs that know no more together use ten sixteenths of the slack.
pub const FRESH_SLACK: f64 = 0.25;

/// The time that one bucket counts, in milliseconds: a tenth of the usual window of 10 s.
const BUCKET_MS: u64 = 1_000;

/// What all VMs together may send beyond the first of each request.
#[derive(Debug, Clone, Copy)]
pub struct BudgetLimits {
    /// The repeats per request.
    pub ratio: f64,
    /// The repeats allowed beside these, summed over all VMs.
    pub slack: f64,
    /// The window in which both are counted, in milliseconds.
    pub window_ms: u64,
}

#[derive(Debug, Default)]
struct Counts {
    buckets: VecDeque<Bucket>,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    starts_at_ms: u64,
    requests: u32,
    repeats: u32,
}

/// The budgets of all services.
#[derive(Debug)]
pub struct RetryBudget {
    limits: BudgetLimits,
    /// From when this VM uses all of its part of the slack, in milliseconds.
    whole_slack_from_ms: u64,
    services: Map<Box<str>, Counts>,
}

impl RetryBudget {
    /// Creates the budget of a VM that has just started.
    ///
    /// Its last process may have spent the VM's part of the slack a moment ago, and it may not know
    /// yet among how many the slack is split. So it uses [`FRESH_SLACK`] of it until a window has
    /// passed; else all VMs that restart together would spend more than the whole slack.
    pub fn new(limits: BudgetLimits, now_ms: u64) -> Self {
        let whole_slack_from_ms = now_ms + limits.window_ms;
        Self { limits, whole_slack_from_ms, services: Map::default() }
    }

    /// Counts a request of a caller.
    pub fn earn(&mut self, service: &str, now_ms: u64) {
        self.bucket(service, now_ms).requests += 1;
    }

    /// Takes a repeat out of the budget, if this VM's part of it allows one.
    ///
    /// `vms` is the number of VMs that share the budget, this one among them.
    pub fn spend(&mut self, service: &str, vms: usize, now_ms: u64) -> bool {
        let limits = self.limits;
        self.bucket(service, now_ms);
        let Some(counts) = self.services.get_mut(service) else {
            return false;
        };
        // Repeats are counted for one bucket more than the window, so that windows which don't line up
        // with the buckets are covered; requests for no more than the window, or a VM would spend the
        // share of requests that came before it: 398 repeats of 394 allowed for 1,669 requests.
        let in_window = |bucket: &&Bucket| now_ms < bucket.starts_at_ms + limits.window_ms;
        let requests: u32 =
            counts.buckets.iter().filter(in_window).map(|bucket| bucket.requests).sum();
        let repeats: u32 = counts.buckets.iter().map(|bucket| bucket.repeats).sum();
        let fresh = now_ms < self.whole_slack_from_ms;
        let slack = if fresh { limits.slack * FRESH_SLACK } else { limits.slack };
        let part = slack / vms.max(1) as f64 + limits.ratio * f64::from(requests);
        let allowed = f64::from(repeats) + 1.0 <= part * USED_SHARE;
        if allowed && let Some(bucket) = counts.buckets.back_mut() {
            bucket.repeats += 1;
        }
        allowed
    }

    /// Returns a service's requests and repeats in the window.
    pub fn counts(&self, service: &str, now_ms: u64) -> (u32, u32) {
        let window_ms = self.limits.window_ms;
        let counts = self.services.get(service).into_iter().flat_map(|counts| &counts.buckets);
        counts
            .filter(|bucket| now_ms < bucket.starts_at_ms + window_ms + BUCKET_MS)
            .fold((0, 0), |sum, bucket| (sum.0 + bucket.requests, sum.1 + bucket.repeats))
    }

    fn bucket(&mut self, service: &str, now_ms: u64) -> &mut Bucket {
        let window_ms = self.limits.window_ms;
        if !self.services.contains_key(service) {
            self.services.insert(service.into(), Counts::default());
        }
        let counts = self.services.entry(service.into()).or_default();
        while counts
            .buckets
            .front()
            .is_some_and(|bucket| bucket.starts_at_ms + window_ms + BUCKET_MS <= now_ms)
        {
            counts.buckets.pop_front();
        }
        let starts_at_ms = now_ms - now_ms % BUCKET_MS;
        if counts.buckets.back().is_none_or(|bucket| bucket.starts_at_ms < starts_at_ms) {
            counts.buckets.push_back(Bucket { starts_at_ms, requests: 0, repeats: 0 });
        }
        let last = counts.buckets.len() - 1;
        &mut counts.buckets[last]
    }
}
