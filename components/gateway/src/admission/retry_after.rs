//! When refused callers return.

use std::time::Duration;

/// Share of the time that is left which callers wait at most before they retry, with a margin for the way of the
/// refusal: they wait for up to a third.
const MAX_SHARE_OF_TIME_LEFT: f64 = 0.3;
/// Mean wait, relative to the time for which capacity has been short.
const MEAN_SHARE_OF_SHORTAGE: f64 = 0.25;
/// Least mean wait. The hosts see the effect of refusals about that much later in the engines' reports.
const MIN_MEAN_WAIT: Duration = Duration::from_millis(600);
/// Share of the mean wait by which waits are spread to both sides.
const SPREAD: f64 = 0.5;

/// Returns how long a caller with this time left should wait after a shortage of this length.
///
/// A short shortage is likely to end soon, and a caller that returns early may still be answered in time. The
/// longer it has lasted, the longer it is expected to last.
pub(super) fn wait(shortage: Duration, time_left: Duration, draw: f64) -> Duration {
    let longest = time_left.mul_f64(MAX_SHARE_OF_TIME_LEFT);
    let mean = shortage.mul_f64(MEAN_SHARE_OF_SHORTAGE).max(MIN_MEAN_WAIT);
    let high = mean.mul_f64(1.0 + SPREAD).min(longest);
    let low = mean.min(high).mul_f64(1.0 - SPREAD);
    low + (high - low).mul_f64(draw)
}
