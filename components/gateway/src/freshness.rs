use std::time::Duration;

use utils::Monotonic;

use crate::view::WeightsHistory;

/// Time after naming in which weights that were replaced are as good as the new ones.
const FULL_USE_PERIOD: Duration = Duration::from_millis(1_000);
/// Part of the deadline after which nothing is sent to old weights any more; a request may wait at the engine before it begins.
const SEND_CUTOFF_RATIO: f64 = 0.65;

/// How weights that were replaced may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OldWeightsPolicy {
    /// As well as the new ones.
    Allowed,
    /// If nothing better is to be had.
    Avoided,
    /// Not at all.
    Forbidden,
}

/// How an engine with weights of `version` may be used, `deadline` after naming being the last moment at which a request may
/// begin on replaced ones. `is_rollout_started` says whether any engine has newer ones.
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
    let Some(replaced_at) = history.replaced_at(version) else {
        return OldWeightsPolicy::Allowed;
    };
    let Some(replaced_at) = replaced_at else {
        // Named before this host started. Engines that have them show that it is some time ago.
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
