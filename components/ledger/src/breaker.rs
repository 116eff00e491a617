use std::time::Duration;

use utils::Monotonic;

/// Circuit breaker for the table service: opens with the first failure, lets only probes through, closes with the first
/// success.
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
    /// When the next probe is due; `None` while closed.
    probe_at: Option<Monotonic>,
    /// Mean time between two probes.
    interval: Duration,
}

impl Breaker {
    /// A closed breaker.
    pub fn new(interval: Duration) -> Self {
        Self {
            probe_at: None,
            interval,
        }
    }

    /// Whether calls may pass.
    pub fn is_closed(&self) -> bool {
        self.probe_at.is_none()
    }

    /// When the next probe is due; `None` while closed.
    pub fn probe_at(&self) -> Option<Monotonic> {
        self.probe_at
    }

    /// A call or a probe failed. `jitter` from 0 to 1 spreads the probes of different hosts.
    pub fn record_failure(&mut self, now: Monotonic, jitter: f64) {
        let wait = self.interval.mul_f64(0.5 + jitter.clamp(0.0, 1.0));
        self.probe_at = Some(now + wait);
    }

    /// A call or a probe was answered.
    pub fn record_success(&mut self) {
        self.probe_at = None;
    }
}
