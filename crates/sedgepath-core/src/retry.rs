//! The retry budgets, which limit the retries of each service and class to a share of its requests.
//!
//! Without a budget an outage multiplies its own load, because failed requests are sent again to
//! upstreams that are full of failed requests. Each class has its own budget, so that refused trial
//! requests don't use up the retries that paying requests need when an owner fails.

use crate::hash::Map;
use crate::key::ServiceKey;
use crate::request::Class;

/// The retries that each first attempt adds to the budget.
const PER_FRESH_REQUEST: f64 = 0.1;

/// The maximum balance of a budget, which is also its initial balance.
const MOST_SAVED: f64 = 5.0;

/// The retry budgets of all services and classes.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    saved: Map<(ServiceKey, Class), f64>,
}

impl RetryBudgets {
    /// Adds the credit of a new request to the budget.
    pub fn earn(&mut self, service: ServiceKey, class: Class) {
        let saved = self.saved.entry((service, class)).or_insert(MOST_SAVED);
        *saved = (*saved + PER_FRESH_REQUEST).min(MOST_SAVED);
    }

    /// Returns whether the budget allows another retry.
    pub fn allow(&self, service: ServiceKey, class: Class) -> bool {
        self.saved.get(&(service, class)).is_none_or(|saved| *saved >= 1.0)
    }

    /// Subtracts one retry from the budget.
    pub fn spend(&mut self, service: ServiceKey, class: Class) {
        *self.saved.entry((service, class)).or_insert(MOST_SAVED) -= 1.0;
    }
}
