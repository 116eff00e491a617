use std::time::Duration;

use utils::Monotonic;

use crate::view::WeightsHistory;

/// Time after a declaration during which replaced weights are used like the new ones.
const FULL_USE_PERIOD: Duration = Duration::from_millis(1_000);
/// Share of the deadline after which no request is sent to replaced weights. The rest covers the time that a
/// request may wait in the engine's queue before it starts.
const SEND_CUTOFF_RATIO: f64 = 0.65;

/// How replaced weights may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OldWeightsPolicy {
    /// Like the new weights.
    Allowed,
    /// Only if no better target is available.
    Avoided,
    /// Not at all.
    Forbidden,
}

/// Returns how an engine with weights `version` may be used. Requests must not start on replaced weights
/// later than `deadline` after the declaration of newer ones. Sends stop earlier, at `SEND_CUTOFF_RATIO` of
/// the deadline, because a request may wait in the engine's queue before it starts. `is_rollout_started` says
/// whether any engine has loaded newer weights.
///
/// ```
/// use std::time::Duration;
/// use gateway::{WeightsHistory, OldWeightsPolicy, old_weights_policy};
///
/// let history = WeightsHistory::new(2, Some(Duration::from_secs(100)));
/// let deadline = Duration::from_secs(10);
/// let at = |ms| old_weights_policy(&history, 1, deadline, true, Duration::from_millis(ms));
/// assert_eq!(at(100_500), OldWeightsPolicy::Allowed);
/// assert_eq!(at(104_000), OldWeightsPolicy::Avoided);
/// assert_eq!(at(107_000), OldWeightsPolicy::Forbidden);
/// ```
pub fn old_weights_policy(
    history: &WeightsHistory,
    version: u64,
    deadline: Duration,
    is_rollout_started: bool,
    now: Monotonic,
) -> OldWeightsPolicy {
    // The outer `None`: no newer version is declared.
    let Some(replaced_at) = history.replaced_at(version) else {
        return OldWeightsPolicy::Allowed;
    };
    let Some(replaced_at) = replaced_at else {
        // The inner `None`: the newer version was declared at an unknown time before this host started. If an
        // engine has already loaded it, the declaration dates back some time.
        return if is_rollout_started {
            OldWeightsPolicy::Forbidden
        } else {
            OldWeightsPolicy::Avoided
        };
    };
    let age = now.saturating_sub(replaced_at);
    if age >= deadline.mul_f64(SEND_CUTOFF_RATIO) {
        return OldWeightsPolicy::Forbidden;
    }
    if age >= FULL_USE_PERIOD {
        OldWeightsPolicy::Avoided
    } else {
        OldWeightsPolicy::Allowed
    }
}
