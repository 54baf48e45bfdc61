//! A budget that keeps retries a small share of the successes.
//!
//! When engines fail in numbers, retries would add load just when there is
//! least room. Each request that got its first token pays a fraction of a retry into a store; a
//! retry is made only when the store holds a whole one.

use std::cell::Cell;
use std::rc::Rc;

/// Most retries that may be saved up.
const MAX_SAVED_RETRIES: f64 = 10.0;

/// Store of retries; clones share it.
///
/// Invariant: `0 <= saved <= MAX_SAVED_RETRIES`.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    saved: Rc<Cell<f64>>,
    share: f64,
}

impl RetryBudget {
    pub(crate) fn new(share: f64) -> Self {
        Self {
            saved: Rc::new(Cell::new(MAX_SAVED_RETRIES)),
            share: share.clamp(0.0, 1.0),
        }
    }

    /// Takes one retry, if there is one.
    #[must_use]
    pub fn try_take(&self) -> bool {
        let saved = self.saved.get();
        if saved < 1.0 {
            return false;
        }
        self.saved.set(saved - 1.0);
        true
    }

    /// Whole retries that could be taken now.
    #[must_use]
    pub fn available(&self) -> u32 {
        self.saved.get() as u32
    }

    pub(crate) fn record_success(&self) {
        let saved = self.saved.get() + self.share;
        self.saved.set(saved.min(MAX_SAVED_RETRIES));
    }
}
