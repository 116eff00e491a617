use std::time::Duration;

use utils::Monotonic;

/// Time in which the penalty decays by half.
const HALF_LIFE: Duration = Duration::from_secs(30);
/// Hold time at a penalty of 0; doubled for each unit of the penalty.
const BASE_HOLD: Duration = Duration::from_millis(500);
/// Maximum hold time after a recovery.
const MAX_HOLD: Duration = Duration::from_secs(30);

/// Flap damping for an object that fails and recovers: each recent failure doubles the time for which the
/// object stays unusable after its recovery.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Damping {
    /// Number of failures, decayed with [`HALF_LIFE`], as of `penalty_at`.
    penalty: f64,
    /// Time at which the penalty was computed.
    penalty_at: Monotonic,
    /// Time from which the object is usable.
    usable_from: Monotonic,
}

impl Damping {
    /// Records a failure.
    pub fn fail(&mut self, now: Monotonic) {
        self.penalty = self.penalty(now) + 1.0;
        self.penalty_at = now;
    }

    /// Records a recovery. The object becomes usable after a hold time that grows with the recent failures.
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
        self.usable_from = now + hold.min(MAX_HOLD);
    }

    /// Returns whether the hold time of the last recovery has passed.
    pub fn is_usable(&self, now: Monotonic) -> bool {
        now >= self.usable_from
    }

    fn penalty(&self, now: Monotonic) -> f64 {
        let half_lives = now.saturating_sub(self.penalty_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.penalty * (-half_lives).exp2()
    }
}
