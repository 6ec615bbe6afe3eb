//! The retry budgets, which limit the retries of each service and class to a fraction of its
//! requests.
//!
//! Without a budget, retries multiply the load during an outage. Each class has its own budget, so
//! that the retries of rejected trial requests don't use up those that paying requests need when an
//! owner fails.

use crate::hash::Map;
use crate::key::ServiceKey;
use crate::request::Class;

/// The number of retries that each request adds to its budget.
const RETRIES_PER_REQUEST: f64 = 0.1;

/// The maximum balance of a budget in retries, which is also its initial balance.
const MAX_BALANCE_RETRIES: f64 = 5.0;

/// The retry budgets of all services and classes.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    balances: Map<(ServiceKey, Class), f64>,
}

impl RetryBudgets {
    /// Adds the credit of a new request to its budget.
    pub fn credit_request(&mut self, service: ServiceKey, class: Class) {
        let balance = self.balances.entry((service, class)).or_insert(MAX_BALANCE_RETRIES);
        *balance = (*balance + RETRIES_PER_REQUEST).min(MAX_BALANCE_RETRIES);
    }

    /// Returns whether the budget allows another retry.
    pub fn allows_retry(&self, service: ServiceKey, class: Class) -> bool {
        self.balances.get(&(service, class)).is_none_or(|balance| *balance >= 1.0)
    }

    /// Subtracts one retry from the budget.
    pub fn spend_retry(&mut self, service: ServiceKey, class: Class) {
        *self.balances.entry((service, class)).or_insert(MAX_BALANCE_RETRIES) -= 1.0;
    }
}
