//! Retry budget that limits retries to a fraction of successful requests.
//!
//! When many engines fail, retries would add load just when the least capacity
//! is left. Each successful request adds a fraction of a retry to the budget,
//! and a retry is made only if the budget holds at least one.

use std::cell::Cell;
use std::rc::Rc;

/// Maximum number of retries that the budget holds.
const MAX_SAVED_RETRIES: f64 = 10.0;

/// Budget of retries; clones share one balance.
///
/// Invariant: `0 <= balance <= MAX_SAVED_RETRIES`.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    balance: Rc<Cell<f64>>,
    retries_per_success: f64,
}

impl RetryBudget {
    pub(crate) fn new(retries_per_success: f64) -> Self {
        Self {
            balance: Rc::new(Cell::new(MAX_SAVED_RETRIES)),
            retries_per_success: retries_per_success.clamp(0.0, 1.0),
        }
    }

    /// Takes one retry; returns whether there was one.
    #[must_use]
    pub fn try_take(&self) -> bool {
        let balance = self.balance.get();
        if balance < 1.0 {
            return false;
        }
        self.balance.set(balance - 1.0);
        true
    }

    /// Number of retries that can be taken now.
    #[must_use]
    pub fn available(&self) -> u32 {
        self.balance.get() as u32
    }

    pub(crate) fn record_success(&self) {
        let balance = self.balance.get() + self.retries_per_success;
        self.balance.set(balance.min(MAX_SAVED_RETRIES));
    }
}
