use std::time::Duration;

/// Exponential backoff with a cap and full jitter.
///
/// ```
/// use std::time::Duration;
/// use policy::Backoff;
///
/// let backoff = Backoff::default();
/// assert_eq!(backoff.wait(1, 0.0), Duration::ZERO);
/// assert!(backoff.wait(9, 1.0) <= backoff.longest);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backoff {
    /// Maximum wait before the first retry.
    pub base: Duration,
    /// Maximum wait before any retry.
    pub longest: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            base: Duration::from_millis(20),
            longest: Duration::from_secs(1),
        }
    }
}

impl Backoff {
    /// Returns the wait before retry number `retry`, counted from 1. The caller draws `jitter` from 0 to 1.
    pub fn wait(&self, retry: u32, jitter: f64) -> Duration {
        let doubled = self.base.saturating_mul(1 << retry.saturating_sub(1).min(16));
        doubled.min(self.longest).mul_f64(jitter.clamp(0.0, 1.0))
    }
}
