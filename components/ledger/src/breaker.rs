use std::time::Duration;

use utils::Monotonic;

/// Circuit breaker for calls to the table service. It opens at the first failure, allows only probes while
/// open and closes at the first success.
///
/// ```
/// use std::time::Duration;
/// use ledger::Breaker;
///
/// let mut breaker = Breaker::new(Duration::from_millis(200));
/// breaker.record_failure(Duration::from_secs(1), 0.5);
/// assert!(!breaker.is_closed());
/// assert_eq!(breaker.probe_at(), Some(Duration::from_millis(1_200)));
/// breaker.record_success();
/// assert!(breaker.is_closed());
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Breaker {
    /// Time at which the next probe is due; `None` while closed.
    probe_at: Option<Monotonic>,
    /// Mean interval between probes.
    interval: Duration,
}

impl Breaker {
    /// Creates a closed breaker.
    pub fn new(interval: Duration) -> Self {
        Self {
            probe_at: None,
            interval,
        }
    }

    /// Whether calls are allowed.
    pub fn is_closed(&self) -> bool {
        self.probe_at.is_none()
    }

    /// Returns the time at which the next probe is due; `None` while closed.
    pub fn probe_at(&self) -> Option<Monotonic> {
        self.probe_at
    }

    /// Records a failed call or probe, and schedules the next probe after 0.5 to 1.5 intervals. `jitter` is
    /// in the range 0 to 1 and spreads the probes of different hosts.
    pub fn record_failure(&mut self, now: Monotonic, jitter: f64) {
        let wait = self.interval.mul_f64(0.5 + jitter.clamp(0.0, 1.0));
        self.probe_at = Some(now + wait);
    }

    /// Records an answered call or probe.
    pub fn record_success(&mut self) {
        self.probe_at = None;
    }
}
