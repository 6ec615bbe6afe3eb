//! The retry budgets, which limit the retries of each service and class to a share of its requests.
//!
//! Without a budget an outage multiplies its own load, because failed requests are sent again to
//! upstreams that are full of failed requests. Each class has its own budget, so that refused trial
//! requests don't use up the retries that paying requests need when an owner fails.

use crate::hash::Map;
use crate::key::ServiceKey;
use crate::request::Class;

/// The retries that each first attempt adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.1;

/// The maximum balance of a budget, which is also its initial balance.
const MAX_SAVED_RETRIES: f64 = 5.0;

/// The retry budgets of all services and classes.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    balances: Map<(ServiceKey, Class), f64>,
}

impl RetryBudgets {
    /// Adds the credit of a new request to the budget.
    pub fn credit_request(&mut self, service: ServiceKey, class: Class) {
        let saved = self.balances.entry((service, class)).or_insert(MAX_SAVED_RETRIES);
        *saved = (*saved + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
    }

    /// Returns whether the budget allows another retry.
    pub fn allows_retry(&self, service: ServiceKey, class: Class) -> bool {
        self.balances.get(&(service, class)).is_none_or(|saved| *saved >= 1.0)
    }

    /// Subtracts one retry from the budget.
    pub fn spend_retry(&mut self, service: ServiceKey, class: Class) {
        *self.balances.entry((service, class)).or_insert(MAX_SAVED_RETRIES) -= 1.0;
    }
}
