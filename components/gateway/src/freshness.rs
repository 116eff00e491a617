use std::time::Duration;

use utils::Monotonic;

use crate::view::Named;

/// Time after naming in which weights that were replaced are as good as the new ones.
const FREE_TIME: Duration = Duration::from_millis(1_000);
/// Part of the deadline after which nothing is sent to old weights any more; a request may wait at the engine before it begins.
const SENDING_PART: f64 = 0.65;

/// How weights that were replaced may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OldWeights {
    /// As well as the new ones.
    Allowed,
    /// If nothing better is to be had.
    Avoided,
    /// Not at all.
    Forbidden,
}

/// How engines with replaced weights may be used, `deadline` after naming being the last moment at which a request may begin
/// on them. `is_under_way` says whether any engine has the new ones.
///
/// ```
/// use std::time::Duration;
/// use gateway::{Named, OldWeights, old_weights};
///
/// let named = Named { version: 2, learned_at: Some(Duration::from_secs(100)) };
/// let deadline = Duration::from_secs(10);
/// assert_eq!(old_weights(&named, deadline, true, Duration::from_millis(100_500)), OldWeights::Allowed);
/// assert_eq!(old_weights(&named, deadline, true, Duration::from_secs(104)), OldWeights::Avoided);
/// assert_eq!(old_weights(&named, deadline, true, Duration::from_secs(107)), OldWeights::Forbidden);
/// ```
pub fn old_weights(named: &Named, deadline: Duration, is_under_way: bool, now: Monotonic) -> OldWeights {
    let Some(learned_at) = named.learned_at else {
        // Named before this host started. Engines that have them show that it is some time ago.
        return if is_under_way {
            OldWeights::Forbidden
        } else {
            OldWeights::Avoided
        };
    };
    let age = now.saturating_sub(learned_at);
    if age >= deadline.mul_f64(SENDING_PART) {
        return OldWeights::Forbidden;
    }
    if age >= FREE_TIME {
        OldWeights::Avoided
    } else {
        OldWeights::Allowed
    }
}
