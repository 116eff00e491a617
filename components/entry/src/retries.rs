use std::sync::atomic::{AtomicU64, Ordering};

use policy::{Backoff, FailedTry, NextTry, RetryBudget, next_try};
use utils::Monotonic;

/// Number of retries that a success adds to the budget.
const BUDGET_SHARE: f64 = 0.1;

/// The host's retry budget, shared by the traffic threads without a lock.
#[derive(Debug)]
pub(crate) struct Retries {
    /// Bits of the number of available retries, an `f64`.
    left: AtomicU64,
}

impl Default for Retries {
    fn default() -> Self {
        let left = RetryBudget::new(BUDGET_SHARE).left();
        Self {
            left: AtomicU64::new(left.to_bits()),
        }
    }
}

impl Retries {
    /// Decides whether and when a failed draft is retried, and takes the retry from the budget.
    pub(crate) fn decide(&self, failed: &FailedTry, now: Monotonic) -> NextTry {
        let jitter = rand::random::<f64>();
        self.update(|budget| next_try(failed, budget, &Backoff::default(), jitter, now))
    }

    /// Records a success. `is_retry` is whether it took a retry, which is then refunded.
    pub(crate) fn record_success(&self, is_retry: bool) {
        self.update(|budget| budget.record_success(is_retry));
    }

    fn update<T>(&self, change: impl Fn(&mut RetryBudget) -> T) -> T {
        let mut current = self.left.load(Ordering::Relaxed);
        loop {
            let mut budget = RetryBudget::with_left(f64::from_bits(current), BUDGET_SHARE);
            let result = change(&mut budget);
            let new = budget.left().to_bits();
            match self
                .left
                .compare_exchange_weak(current, new, Ordering::Relaxed, Ordering::Relaxed)
            {
                Ok(_) => return result,
                Err(newer) => current = newer,
            }
        }
    }
}
