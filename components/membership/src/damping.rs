use std::time::Duration;

use utils::Monotonic;

/// Time in which half of the penalty for changes fades.
const HALF_LIFE: Duration = Duration::from_secs(30);
/// Wait after the first failure before an answer makes the object usable again.
const BASE_HOLD: Duration = Duration::from_millis(500);
/// Longest wait.
const MAX_HOLD: Duration = Duration::from_secs(30);

/// Hysteresis for an object that fails and recovers: each failure doubles the wait after its recovery.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Damping {
    /// Failures, faded by [`HALF_LIFE`].
    penalty: f64,
    /// When the penalty was computed.
    at: Monotonic,
    /// The object is not usable before this time.
    until: Monotonic,
}

impl Damping {
    /// Records a failure.
    pub fn fail(&mut self, now: Monotonic) {
        self.penalty = self.penalty(now) + 1.0;
        self.at = now;
    }

    /// Records a recovery; the object becomes usable after a wait that grows with the failures.
    ///
    /// ```
    /// use std::time::Duration;
    /// use membership::Damping;
    ///
    /// let mut damping = Damping::default();
    /// damping.fail(Duration::ZERO);
    /// damping.recover(Duration::ZERO);
    /// assert!(!damping.is_usable(Duration::ZERO));
    /// assert!(damping.is_usable(Duration::from_secs(2)));
    /// ```
    pub fn recover(&mut self, now: Monotonic) {
        let hold = BASE_HOLD.mul_f64(self.penalty(now).exp2());
        self.until = now + hold.min(MAX_HOLD);
    }

    /// Whether the wait is over.
    pub fn is_usable(&self, now: Monotonic) -> bool {
        now >= self.until
    }

    fn penalty(&self, now: Monotonic) -> f64 {
        let halves = now.saturating_sub(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.penalty * (-halves).exp2()
    }
}
