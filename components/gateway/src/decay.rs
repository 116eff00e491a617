use std::time::Duration;

use utils::Monotonic;

/// Returns the weight of an observation made at `at`: 0.5 to the power of its age in half-lives.
pub(crate) fn weight_at(at: Monotonic, half_life: Duration, now: Monotonic) -> f64 {
    let age = now.saturating_sub(at).as_secs_f64();
    0.5f64.powf(age / half_life.as_secs_f64())
}
