//! The retry budget: how many attempts beyond the first a service's requests of a class may make.
//!
//! Without a budget an outage multiplies its own load: each request that fails is sent again, to
//! upstreams that are full because of the requests that failed. A budget that is a share of the
//! fresh requests bounds the load at that share above the callers' own, whatever fails. Each class
//! has its own, so that trial requests that are refused for want of slots don't spend what paying
//! ones need when an owner dies.

use crate::hash::Map;
use crate::key::ServiceKey;
use crate::request::Class;

/// What a fresh request adds to the budget, in retries.
const PER_FRESH_REQUEST: f64 = 0.1;

/// The most retries that can be saved up, and what a class of a service starts with.
const MOST_SAVED: f64 = 5.0;

/// The budgets of all services and classes.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    saved: Map<(ServiceKey, Class), f64>,
}

impl RetryBudgets {
    /// Counts a fresh request.
    pub fn earn(&mut self, service: ServiceKey, class: Class) {
        let saved = self.saved.entry((service, class)).or_insert(MOST_SAVED);
        *saved = (*saved + PER_FRESH_REQUEST).min(MOST_SAVED);
    }

    /// Whether one more retry is within the budget.
    pub fn allow(&self, service: ServiceKey, class: Class) -> bool {
        self.saved.get(&(service, class)).is_none_or(|saved| *saved >= 1.0)
    }

    /// Takes one retry out of the budget.
    pub fn spend(&mut self, service: ServiceKey, class: Class) {
        *self.saved.entry((service, class)).or_insert(MOST_SAVED) -= 1.0;
    }
}
