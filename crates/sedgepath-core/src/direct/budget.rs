//! The retry budget of each service, as this VM's part of one that all VMs share.
//!
//! Without a budget an outage multiplies its own load: each request that fails is sent again, to
//! upstreams that are full because of the requests that failed.
//!
//! # What is kept
//!
//! In any window, repeats of all VMs are at most [`RetryBudgetLimits::ratio`] times the requests of that
//! window or of the one before it, and [`RetryBudgetLimits::slack`]. A VM knows neither what others send
//! nor what its own last process has sent, and doesn't need to: each service has a bucket here, and
//!
//! - a request adds [`EARNED_SHARE`] of the ratio to it, a repeat takes one out;
//! - what is saved is at most [`SAVED_SHARE`] of what the requests of the window before have earned,
//!   and this VM's part of [`KEPT_SLACK`] of the slack;
//! - a process starts with nothing saved.
//!
//! Where that bound is less than a whole repeat, as among many VMs with few requests each, some VMs may
//! save a whole one by lot: their sum then keeps to the bound on the mean, not in each case, and the rest
//! of the slack is for the difference too.
//!
//! So in a window each process sends no more than it had saved when the window began and what the
//! requests of the window earn; both add up over processes, whichever ends or starts when. A process
//! that counted its own last window in place of that would spend what it has saved in one moment, and
//! the one that follows it on the same VM, or the same process in the next window of operators, would
//! spend it once more.
//!
//! The rest of the slack is for what a VM can't know: repeats that were on their way when the window
//! began, and requests that operators don't count, like those that only ask which configuration is
//! in force.

use std::collections::VecDeque;

use crate::hash::{Digest, Map};

/// The part of the ratio that a request adds to what is saved.
pub const EARNED_SHARE: f64 = 1.0 - SAVED_SHARE;

/// The part of what a window's requests may pay that may be saved for the next one: what a short
/// outage may take at once, such as an upstream that crashes with its requests.
pub const SAVED_SHARE: f64 = 0.1;

/// The part of the slack that all VMs together may save. It adds up to no more if each VM knows of all
/// others: one that has heard of fewer takes too large a part.
pub const KEPT_SLACK: f64 = 0.5;

/// The time that one bucket counts, in milliseconds: a tenth of the usual window of 10 s.
const BUCKET_MS: u64 = 1_000;

/// How much less than a whole repeat is taken for one: sums of fractions are not exact.
const ROUNDING: f64 = 1e-6;

/// What all VMs together may send beyond the first of each request.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudgetLimits {
    /// The repeats per request.
    pub ratio: f64,
    /// The repeats allowed beside these, summed over all VMs.
    pub slack: f64,
    /// The window in which both are counted, in milliseconds.
    pub window_ms: u64,
}

#[derive(Debug, Default)]
struct Account {
    /// The repeats that may be sent now.
    saved: f64,
    /// The requests of the last window, in order.
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
    limits: RetryBudgetLimits,
    /// This VM's draw, from 0 to 1: whether it may save a whole repeat where its part is less than one.
    draw: f64,
    services: Map<Box<str>, Account>,
}

impl RetryBudget {
    /// Creates the budget of a VM that has just started.
    pub fn new(limits: RetryBudgetLimits, vm: &str) -> Self {
        let hash = Digest::of(&[vm.as_bytes()]).to_u64();
        let draw = (hash >> 11) as f64 / (1_u64 << 53) as f64;
        Self { limits, draw, services: Map::default() }
    }

    /// Counts a request of a caller.
    ///
    /// `vms` is the number of VMs that share the budget, this one among them.
    pub fn deposit(&mut self, service: &str, vms: usize, now_ms: u64) {
        let earned = self.limits.ratio * EARNED_SHARE;
        let account = self.account(service, vms, now_ms);
        account.saved += earned;
        if let Some(bucket) = account.buckets.back_mut() {
            bucket.requests += 1;
        }
    }

    /// Takes a repeat out of the budget, if this VM's part of it allows one.
    ///
    /// `vms` is the number of VMs that share the budget, this one among them.
    pub fn try_withdraw(&mut self, service: &str, vms: usize, now_ms: u64) -> bool {
        let account = self.account(service, vms, now_ms);
        let allowed = account.saved >= 1.0 - ROUNDING;
        if allowed {
            account.saved -= 1.0;
            if let Some(bucket) = account.buckets.back_mut() {
                bucket.repeats += 1;
            }
        }
        allowed
    }

    /// Returns a service's requests and repeats in the last window.
    pub fn counts(&self, service: &str, now_ms: u64) -> (u32, u32) {
        let buckets = self.services.get(service).into_iter().flat_map(|account| &account.buckets);
        buckets
            .filter(|bucket| now_ms < bucket.starts_at_ms + self.limits.window_ms)
            .fold((0, 0), |sum, bucket| (sum.0 + bucket.requests, sum.1 + bucket.repeats))
    }

    /// Returns a service's account with a bucket for now, in which no more is saved than may be.
    ///
    /// What may be saved is worked out before the request or the repeat of this moment is counted: a
    /// request of a window may earn in it, or let something be saved from before it, not both.
    fn account(&mut self, service: &str, vms: usize, now_ms: u64) -> &mut Account {
        let RetryBudgetLimits { ratio, slack, window_ms } = self.limits;
        if !self.services.contains_key(service) {
            self.services.insert(service.into(), Account::default());
        }
        let account = self.services.entry(service.into()).or_default();
        let passed = |bucket: &Bucket| bucket.starts_at_ms + window_ms <= now_ms;
        while account.buckets.front().is_some_and(passed) {
            account.buckets.pop_front();
        }
        let requests: u32 = account.buckets.iter().map(|bucket| bucket.requests).sum();
        let most =
            KEPT_SLACK * slack / vms.max(1) as f64 + SAVED_SHARE * ratio * f64::from(requests);
        // Among many VMs with few requests each, nobody could ever save a whole repeat. As many of them by
        // lot as their parts add up to may save one, the others none.
        let most = if most < 1.0 { f64::from(u8::from(self.draw < most)) } else { most };
        account.saved = account.saved.min(most);
        let starts_at_ms = now_ms - now_ms % BUCKET_MS;
        if account.buckets.back().is_none_or(|bucket| bucket.starts_at_ms < starts_at_ms) {
            account.buckets.push_back(Bucket { starts_at_ms, requests: 0, repeats: 0 });
        }
        account
    }
}
