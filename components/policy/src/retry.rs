use std::time::Duration;

use serde::Serialize;
use utils::{Attempt, Monotonic};

use crate::Backoff;

/// Retries that are left without any success before.
const RESERVE: f64 = 10.0;
/// Shortest time after which an empty budget is looked at again.
const SHORTEST_HOLD: Duration = Duration::from_millis(10);
/// Longest time for which a failed request waits for the budget.
const LONGEST_HOLD: Duration = Duration::from_secs(2);
/// Most retries that successes can save up.
const LARGEST_BUDGET: f64 = 10.0;

/// Retries that a host may make: a share of its recent successes, so that retries can't amplify an outage. A retry that goes
/// well gives back what it took, so that requests aboard one crashed target are all tried again, a few at a time.
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
    /// Retries that are left.
    left: f64,
    /// Retries that one success adds.
    share: f64,
}

impl RetryBudget {
    /// A budget to which each success adds `share` of a retry.
    pub fn new(share: f64) -> Self {
        Self { left: RESERVE, share }
    }

    /// A budget with `left` retries.
    pub fn with_left(left: f64, share: f64) -> Self {
        Self { left, share }
    }

    /// Counts a success; `is_retry` says whether a retry was taken for it.
    pub fn record_success(&mut self, is_retry: bool) {
        let returned = if is_retry { 1.0 } else { 0.0 };
        self.left = (self.left + self.share + returned).min(LARGEST_BUDGET);
    }

    /// Takes a retry out of the budget; false if there is none.
    pub fn take(&mut self) -> bool {
        // Sums of shares end a little below a whole retry.
        let has_one = self.left > 1.0 - 1e-9;
        if has_one {
            self.left -= 1.0;
        }
        has_one
    }

    /// Retries that are left.
    pub fn left(&self) -> f64 {
        self.left
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(0.1)
    }
}

/// A request of which a try failed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FailedTry {
    /// Number of the try that failed, from 1.
    pub attempt: Attempt,
    /// Most tries.
    pub max_attempts: Attempt,
    /// Whether the request may be sent again although it may have run.
    pub is_idempotent: bool,
    /// Whether it is certain that no try ran.
    pub is_not_run: bool,
    /// When the try failed.
    pub failed_at: Monotonic,
    /// When the caller needs the first token.
    pub due: Monotonic,
    /// Shortest time that a target needs until the first token.
    pub expected: Duration,
}

/// What to do after a failed try, and why.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize)]
pub struct NextTry {
    /// What to do.
    pub decision: RetryDecision,
    /// Time left until the first token is due.
    pub time_left: Duration,
    /// Retries left in the budget after the decision.
    pub budget_left: f64,
}

/// What to do after a failed try.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryDecision {
    /// Send it again after a wait.
    Retry {
        /// The wait.
        after: Duration,
    },
    /// The budget is empty: decide again after a wait.
    Hold {
        /// The wait.
        after: Duration,
    },
    /// Tell the caller what is known.
    Stop(StopReason),
}

/// Why a request is not tried again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StopReason {
    /// It may have run and may run only once.
    MayHaveRun,
    /// It was tried often enough.
    Attempts,
    /// No target could meet the deadline.
    Deadline,
    /// Too many retries for the recent successes.
    Budget,
}

/// Decides whether a request is tried again. `jitter` from 0 to 1 is drawn by the caller.
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
