use std::time::Duration;

/// Maximum rate of reads of one kind that all hosts together send to the platform, in reads per second.
const READS_PER_SECOND: f64 = 150.0;
/// Backoff after the first failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// Maximum backoff, before jitter.
const MAX_BACKOFF: Duration = Duration::from_secs(8);
/// Maximum share by which jitter lengthens or shortens a wait.
const JITTER: f64 = 0.25;

/// Returns the time between two reads of one kind by one of `hosts` hosts; at least `base`.
///
/// ```
/// use std::time::Duration;
///
/// let base = Duration::from_secs(1);
/// assert_eq!(membership::poll_interval(9, base), base);
/// assert!(membership::poll_interval(340, base) > Duration::from_secs(2));
/// ```
pub fn poll_interval(hosts: usize, base: Duration) -> Duration {
    base.max(Duration::from_secs_f64(hosts as f64 / READS_PER_SECOND))
}

/// Exponential backoff with jitter for a call that is repeated at an interval. Before jitter, a wait is never
/// shorter than the interval.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Backoff {
    /// Number of failures since the last success.
    failures: u32,
}

impl Backoff {
    /// Records a failure.
    pub fn fail(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// Records a success and resets the backoff.
    pub fn succeed(&mut self) {
        self.failures = 0;
    }

    /// Number of failures since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns the time to wait before the next call; `random` is a number between 0 and 1.
    ///
    /// ```
    /// use std::time::Duration;
    /// use membership::Backoff;
    ///
    /// let mut backoff = Backoff::default();
    /// backoff.fail();
    /// backoff.fail();
    /// let wait = backoff.wait(Duration::ZERO, 0.5);
    /// assert_eq!(wait, Duration::from_millis(500));
    /// ```
    pub fn wait(&self, interval: Duration, random: f64) -> Duration {
        let backoff = match self.failures {
            0 => Duration::ZERO,
            n => INITIAL_BACKOFF
                .saturating_mul(1 << (n - 1).min(8))
                .min(MAX_BACKOFF),
        };
        let jitter = 1.0 - JITTER + 2.0 * JITTER * random;
        interval.max(backoff).mul_f64(jitter)
    }
}
