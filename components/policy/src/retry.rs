use std::time::Duration;

use serde::Serialize;
use utils::{Attempt, Monotonic};

use crate::Backoff;

/// Number of retries in a new budget.
const INITIAL_RETRIES: f64 = 10.0;
/// Minimum wait before an empty budget is checked again.
const SHORTEST_HOLD: Duration = Duration::from_millis(10);
/// Maximum time for which a failed request waits for the budget.
const LONGEST_HOLD: Duration = Duration::from_secs(2);
/// Maximum number of retries that successes can accumulate.
const MAX_SAVED_RETRIES: f64 = 10.0;

/// The retries that a host may make. They are limited to a ratio of its recent successes, which keeps retries
/// from amplifying an outage. A successful retry refunds the one it took; all requests that ran on a crashed
/// target can thus be retried, a few at a time.
///
/// ```
/// use policy::RetryBudget;
///
/// let mut budget = RetryBudget::new(0.1);
/// while budget.take() {}
/// for _ in 0..10 {
///     budget.record_success(false);
/// }
/// assert!(budget.take());
/// assert!(!budget.take());
/// ```
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    /// Available retries.
    left: f64,
    /// Retries added per success.
    ratio: f64,
}

impl RetryBudget {
    /// Creates a budget to which each success adds `ratio` retries.
    pub fn new(ratio: f64) -> Self {
        Self {
            left: INITIAL_RETRIES,
            ratio,
        }
    }

    /// Creates a budget with `left` available retries.
    pub fn with_left(left: f64, ratio: f64) -> Self {
        Self { left, ratio }
    }

    /// Records a success. `is_retry` is whether a retry was taken for it, which is then refunded.
    pub fn record_success(&mut self, is_retry: bool) {
        let refund = if is_retry { 1.0 } else { 0.0 };
        self.left = (self.left + self.ratio + refund).min(MAX_SAVED_RETRIES);
    }

    /// Takes a retry from the budget. Returns whether one was available.
    pub fn take(&mut self) -> bool {
        // The tolerance compensates for rounding: a sum of ratios can end slightly below a whole retry.
        let is_available = self.left > 1.0 - 1e-9;
        if is_available {
            self.left -= 1.0;
        }
        is_available
    }

    /// Returns the available retries.
    pub fn left(&self) -> f64 {
        self.left
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(0.1)
    }
}

/// A request whose last try failed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FailedTry {
    /// Number of the try that failed, from 1.
    pub attempt: Attempt,
    /// Maximum number of tries.
    pub max_attempts: Attempt,
    /// Whether the request may be sent again even if it may have run.
    pub is_idempotent: bool,
    /// Whether it is certain that no try has run.
    pub is_not_run: bool,
    /// When the try failed.
    pub failed_at: Monotonic,
    /// Deadline of the first token.
    pub due: Monotonic,
    /// Minimum time that a target needs until the first token.
    pub expected: Duration,
}

/// The decision after a failed try, with the values behind it.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize)]
pub struct NextTry {
    /// What to do next.
    pub decision: RetryDecision,
    /// Time until the deadline of the first token.
    pub time_left: Duration,
    /// Retries available after the decision.
    pub budget_left: f64,
}

/// What to do after a failed try.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryDecision {
    /// Retry after a wait.
    Retry {
        /// Duration of the wait.
        after: Duration,
    },
    /// The budget is empty; decide again after a wait.
    Hold {
        /// Duration of the wait.
        after: Duration,
    },
    /// Give up and report the outcome to the caller.
    Stop(StopReason),
}

/// Why a request is not retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StopReason {
    /// It may have run and is not idempotent.
    MayHaveRun,
    /// The maximum number of tries is reached.
    Attempts,
    /// No target could meet the deadline.
    Deadline,
    /// The retry budget is exhausted.
    Budget,
}

/// Decides whether to retry a request. The caller draws `jitter` from 0 to 1.
///
/// ```
/// use std::time::Duration;
/// use policy::{Backoff, FailedTry, RetryBudget, RetryDecision, StopReason, next_try};
///
/// let failed = FailedTry {
///     attempt: 1,
///     max_attempts: 4,
///     is_idempotent: false,
///     is_not_run: false,
///     failed_at: Duration::from_secs(1),
///     due: Duration::from_secs(10),
///     expected: Duration::from_millis(200),
/// };
/// let next = next_try(&failed, &mut RetryBudget::default(), &Backoff::default(), 0.5, Duration::from_secs(1));
/// assert_eq!(next.decision, RetryDecision::Stop(StopReason::MayHaveRun));
/// ```
pub fn next_try(
    failed: &FailedTry,
    budget: &mut RetryBudget,
    backoff: &Backoff,
    jitter: f64,
    now: Monotonic,
) -> NextTry {
    let time_left = failed.due.saturating_sub(now);
    let after = backoff.wait(failed.attempt, jitter);
    let decision = if !failed.is_idempotent && !failed.is_not_run {
        RetryDecision::Stop(StopReason::MayHaveRun)
    } else if failed.attempt >= failed.max_attempts {
        RetryDecision::Stop(StopReason::Attempts)
    } else if after + failed.expected > time_left {
        RetryDecision::Stop(StopReason::Deadline)
    } else if budget.take() {
        RetryDecision::Retry { after }
    } else if now.saturating_sub(failed.failed_at) < LONGEST_HOLD {
        let after = after.max(SHORTEST_HOLD);
        RetryDecision::Hold { after }
    } else {
        RetryDecision::Stop(StopReason::Budget)
    };
    NextTry {
        decision,
        time_left,
        budget_left: budget.left(),
    }
}
