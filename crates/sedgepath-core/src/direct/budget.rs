//! The retry budget of each service: this VM's share of a budget for all VMs.
//!
//! The budget keeps retries from multiplying the load of an outage. In any window, the retries of
//! all VMs are at most [`RetryBudgetLimits::ratio`] times the requests of that window or of the
//! window before it, plus [`RetryBudgetLimits::slack`]. Each service has a token bucket:
//!
//! - A request deposits [`DEPOSIT_SHARE`] of the ratio; a retry withdraws one token.
//! - The balance is at most [`CARRYOVER_SHARE`] of the ratio times the requests of the last window,
//!   plus this VM's share of [`BALANCE_SLACK_SHARE`] of the slack.
//! - A process starts with an empty bucket.
//! - Where that bound is below one token, a VM's fixed random draw rounds it to 0 or 1, so that the
//!   sum over VMs meets the bound on average.
//!
//! A process withdraws at most its balance at the start of a window plus the window's deposits, so
//! the sum over processes stays within the limit even when processes are restarted. A process that
//! counted the requests of its own last window instead would spend a whole window's budget in one
//! moment, and its successor on the same VM would spend it once more. The rest of the slack covers
//! retries in flight when the window began, requests that operators don't count, and the rounding.

use std::collections::VecDeque;

use crate::hash::{Digest, Map};

/// The share of the ratio that a request deposits.
pub const DEPOSIT_SHARE: f64 = 1.0 - CARRYOVER_SHARE;

/// The share of a window's budget that may be carried over, for a burst of failures such as the
/// crash of an upstream.
pub const CARRYOVER_SHARE: f64 = 0.1;

/// The share of the slack that the balances of all VMs may hold. A VM that knows too few of the
/// others holds more than its share.
pub const BALANCE_SLACK_SHARE: f64 = 0.5;

/// The time span of one request counter, in milliseconds: a tenth of the usual window of 10 s.
const COUNTER_SPAN_MS: u64 = 1_000;

/// The tolerance for floating-point error when comparing a balance with one token.
const TOKEN_TOLERANCE: f64 = 1e-6;

/// The limits on the retries of all VMs together.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudgetLimits {
    /// The retries allowed per request.
    pub ratio: f64,
    /// The additional retries allowed in a window, summed over all VMs.
    pub slack: f64,
    /// The window in which requests and retries are counted, in milliseconds.
    pub window_ms: u64,
}

#[derive(Debug, Default)]
struct Account {
    /// The number of retries that may be made now.
    balance: f64,
    /// The counters of the last window, oldest first.
    counters: VecDeque<RequestCounter>,
}

#[derive(Debug, Clone, Copy)]
struct RequestCounter {
    starts_at_ms: u64,
    requests: u32,
    retries: u32,
}

/// The retry budgets of all services on one VM.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryBudgetLimits,
    /// A number in 0..1 derived from the VM's name, which rounds a bound below one token to 0 or 1.
    rounding_draw: f64,
    services: Map<Box<str>, Account>,
}

impl RetryBudget {
    /// Creates the budget of a process that has just started, with empty buckets.
    pub fn new(limits: RetryBudgetLimits, vm: &str) -> Self {
        let hash = Digest::of(&[vm.as_bytes()]).to_u64();
        let draw = (hash >> 11) as f64 / (1_u64 << 53) as f64;
        Self { limits, rounding_draw: draw, services: Map::default() }
    }

    /// Counts a caller's request and deposits its share.
    ///
    /// `vm_count` is the number of VMs that share the budget, including this one.
    pub fn deposit(&mut self, service: &str, vm_count: usize, now_ms: u64) {
        let deposit = self.limits.ratio * DEPOSIT_SHARE;
        let account = self.account(service, vm_count, now_ms);
        account.balance += deposit;
        if let Some(counter) = account.counters.back_mut() {
            counter.requests += 1;
        }
    }

    /// Withdraws one retry and returns whether the balance allowed it.
    ///
    /// `vm_count` is the number of VMs that share the budget, including this one.
    pub fn try_withdraw(&mut self, service: &str, vm_count: usize, now_ms: u64) -> bool {
        let account = self.account(service, vm_count, now_ms);
        let allowed = account.balance >= 1.0 - TOKEN_TOLERANCE;
        if allowed {
            account.balance -= 1.0;
            if let Some(counter) = account.counters.back_mut() {
                counter.retries += 1;
            }
        }
        allowed
    }

    /// Returns the numbers of a service's requests and retries in the last window.
    pub fn counts(&self, service: &str, now_ms: u64) -> (u32, u32) {
        let counters = self.services.get(service).into_iter().flat_map(|account| &account.counters);
        counters
            .filter(|counter| now_ms < counter.starts_at_ms + self.limits.window_ms)
            .fold((0, 0), |sum, counter| (sum.0 + counter.requests, sum.1 + counter.retries))
    }

    /// Returns a service's account with its balance capped and a counter for the current time.
    ///
    /// The cap is computed before the current request is counted: within one window a request either
    /// deposits or raises the cap, not both.
    fn account(&mut self, service: &str, vm_count: usize, now_ms: u64) -> &mut Account {
        let RetryBudgetLimits { ratio, slack, window_ms } = self.limits;
        if !self.services.contains_key(service) {
            self.services.insert(service.into(), Account::default());
        }
        let account = self.services.entry(service.into()).or_default();
        let is_expired = |counter: &RequestCounter| counter.starts_at_ms + window_ms <= now_ms;
        while account.counters.front().is_some_and(is_expired) {
            account.counters.pop_front();
        }
        let requests: u32 = account.counters.iter().map(|counter| counter.requests).sum();
        let cap = BALANCE_SLACK_SHARE * slack / vm_count.max(1) as f64
            + CARRYOVER_SHARE * ratio * f64::from(requests);
        // Without rounding, VMs with few requests each could never hold a whole token.
        let cap = if cap < 1.0 { f64::from(u8::from(self.rounding_draw < cap)) } else { cap };
        account.balance = account.balance.min(cap);
        let starts_at_ms = now_ms - now_ms % COUNTER_SPAN_MS;
        if account.counters.back().is_none_or(|counter| counter.starts_at_ms < starts_at_ms) {
            account.counters.push_back(RequestCounter { starts_at_ms, requests: 0, retries: 0 });
        }
        account
    }
}
