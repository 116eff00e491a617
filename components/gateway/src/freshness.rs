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

/// How an engine with weights of `version` may be used, `deadline` after naming being the last moment at which a request may
/// begin on replaced ones. `is_under_way` says whether any engine has newer ones.
///
/// ```
/// use std::time::Duration;
/// use gateway::{Named, OldWeights, old_weights};
///
/// let named = Named::new(2, Some(Duration::from_secs(100)));
/// let deadline = Duration::from_secs(10);
/// let at = |ms| old_weights(&named, 1, deadline, true, Duration::from_millis(ms));
/// assert_eq!(at(100_500), OldWeights::Allowed);
/// assert_eq!(at(104_000), OldWeights::Avoided);
/// assert_eq!(at(107_000), OldWeights::Forbidden);
/// ```
pub fn old_weights(
    named: &Named,
    version: u64,
    deadline: Duration,
    is_under_way: bool,
    now: Monotonic,
) -> OldWeights {
    let Some(replaced_at) = named.replaced_at(version) else {
        return OldWeights::Allowed;
    };
    let Some(replaced_at) = replaced_at else {
        // Named before this host started. Engines that have them show that it is some time ago.
        return if is_under_way {
            OldWeights::Forbidden
        } else {
            OldWeights::Avoided
        };
    };
    let age = now.saturating_sub(replaced_at);
    if age >= deadline.mul_f64(SENDING_PART) {
        return OldWeights::Forbidden;
    }
    if age >= FREE_TIME {
        OldWeights::Avoided
    } else {
        OldWeights::Allowed
    }
}
