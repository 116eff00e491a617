use std::time::Duration;

use utils::Monotonic;

use crate::weights_history::{Replacement, WeightsHistory};

/// Time after a declaration during which replaced weights are used like the new ones.
const FULL_USE_PERIOD: Duration = Duration::from_millis(1_000);
/// Share of the deadline after which no request is sent to replaced weights. Within the rest most requests leave
/// the engine's queue.
const SEND_CUTOFF_RATIO: f64 = 0.65;
/// Time before the deadline at which a request that still waits at replaced weights is withdrawn. Covers the way
/// to a target in another region, the delays of a busy host, and a declaration that a host received late.
const WITHDRAWAL_MARGIN: Duration = Duration::from_secs(1);

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
/// the deadline, because a request may wait in the engine's queue before it starts; [`weights_wait_left`] bounds that
/// wait. Weights that were replaced at an unknown time may be past the deadline.
///
/// ```
/// use std::time::Duration;
/// use gateway::{DeclaredAge, OldWeightsPolicy, WeightsHistory, old_weights_policy};
///
/// let declared = DeclaredAge::new(Duration::ZERO, Duration::from_secs(100));
/// let history = WeightsHistory::new(2, Some(declared));
/// let deadline = Duration::from_secs(10);
/// let at = |ms| old_weights_policy(&history, 1, deadline, Duration::from_millis(ms));
/// assert_eq!(at(100_500), OldWeightsPolicy::Allowed);
/// assert_eq!(at(104_000), OldWeightsPolicy::Avoided);
/// assert_eq!(at(107_000), OldWeightsPolicy::Forbidden);
/// ```
pub fn old_weights_policy(
    history: &WeightsHistory,
    version: u64,
    deadline: Duration,
    now: Monotonic,
) -> OldWeightsPolicy {
    match history.replacement(version, now) {
        Replacement::Current => OldWeightsPolicy::Allowed,
        Replacement::SinceUnknown => OldWeightsPolicy::Forbidden,
        Replacement::Since(age) if age >= deadline.mul_f64(SEND_CUTOFF_RATIO) => OldWeightsPolicy::Forbidden,
        Replacement::Since(age) if age >= FULL_USE_PERIOD => OldWeightsPolicy::Avoided,
        Replacement::Since(_) => OldWeightsPolicy::Allowed,
    }
}

/// Returns how much longer a request may wait for the first byte of its answer from replaced weights; `None` if
/// the weights are current.
///
/// ```
/// use std::time::Duration;
/// use gateway::{Replacement, weights_wait_left};
///
/// let deadline = Duration::from_secs(10);
/// let replaced = Replacement::Since(Duration::from_secs(7));
/// assert_eq!(weights_wait_left(replaced, deadline), Some(Duration::from_secs(2)));
/// assert_eq!(weights_wait_left(Replacement::Current, deadline), None);
/// ```
pub fn weights_wait_left(replacement: Replacement, deadline: Duration) -> Option<Duration> {
    match replacement {
        Replacement::Current => None,
        Replacement::Since(age) => Some(deadline.saturating_sub(WITHDRAWAL_MARGIN).saturating_sub(age)),
        Replacement::SinceUnknown => Some(Duration::ZERO),
    }
}
