use std::time::Duration;

use utils::Monotonic;

/// Demand that every host is taken to have at least, as a share of the limit; a host with no demand yet can start at once.
const FLOOR_SHARE: f64 = 0.002;

/// A token bucket. Rates are per second.
///
/// ```
/// use std::time::Duration;
/// use policy::TokenBucket;
///
/// let mut bucket = TokenBucket::new(10.0, 2.0, Duration::ZERO);
/// assert!(bucket.take(2.0, Duration::ZERO).is_ok());
/// let wait = bucket.take(1.0, Duration::ZERO).unwrap_err();
/// assert_eq!(wait, Duration::from_millis(100));
/// assert!(bucket.take(1.0, wait).is_ok());
/// ```
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenBucket {
    /// Tokens that are left.
    left: f64,
    /// Tokens added a second.
    rate: f64,
    /// Most tokens.
    burst: f64,
    /// When tokens were last added.
    at: Monotonic,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(rate: f64, burst: f64, now: Monotonic) -> Self {
        Self {
            left: burst,
            rate,
            burst,
            at: now,
        }
    }

    /// Changes rate and burst from now on.
    pub fn set(&mut self, rate: f64, burst: f64, now: Monotonic) {
        self.fill(now);
        (self.rate, self.burst) = (rate, burst);
        self.left = self.left.min(burst);
    }

    /// Takes tokens out. A cost above the burst is taken from a full bucket, which is then in debt.
    ///
    /// # Errors
    /// The time until there are enough tokens.
    pub fn take(&mut self, cost: f64, now: Monotonic) -> Result<(), Duration> {
        self.fill(now);
        let needed = cost.min(self.burst);
        if self.left + 1e-9 >= needed {
            self.left -= cost;
            return Ok(());
        }
        let seconds = (needed - self.left) / self.rate.max(1e-6);
        Err(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
    }

    fn fill(&mut self, now: Monotonic) {
        let seconds = now.saturating_sub(self.at).as_secs_f64();
        self.left = (self.left + seconds * self.rate).min(self.burst);
        self.at = self.at.max(now);
    }
}

/// Demand of one workspace at one host, smoothed. Counts what is offered, admitted or not.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DemandMeter {
    /// Demand a second.
    rate: f64,
    /// Offered since `at`.
    offered: f64,
    /// Start of the present period.
    at: Monotonic,
}

impl DemandMeter {
    /// A meter that has seen nothing.
    pub fn new(now: Monotonic) -> Self {
        Self {
            rate: 0.0,
            offered: 0.0,
            at: now,
        }
    }

    /// Counts what a request asks for.
    pub fn offer(&mut self, cost: f64) {
        self.offered += cost;
    }

    /// Ends a period and returns the demand a second, for the heartbeat to the peers. `keep` from 0 to 1 is the weight of
    /// earlier periods.
    pub fn report(&mut self, keep: f64, now: Monotonic) -> f64 {
        let seconds = now.saturating_sub(self.at).as_secs_f64();
        if seconds > 0.0 {
            self.rate = keep * self.rate + (1.0 - keep) * self.offered / seconds;
            (self.offered, self.at) = (0.0, now);
        }
        self.rate
    }
}

/// This host's part of a limit that holds over all hosts: in proportion to the demand that the hosts last reported. Hosts
/// with equal views have parts that add up to the limit, without a counter that they would share.
///
/// ```
/// let part = policy::rate_share(100.0, 30.0, [30.0, 60.0, 0.0]);
/// let other = policy::rate_share(100.0, 60.0, [30.0, 60.0, 0.0]);
/// let idle = policy::rate_share(100.0, 0.0, [30.0, 60.0, 0.0]);
/// assert!((part + other + idle - 100.0).abs() < 1e-9);
/// assert!(idle > 0.0);
/// ```
pub fn rate_share(limit: f64, own: f64, reported: impl IntoIterator<Item = f64>) -> f64 {
    let floor = limit * FLOOR_SHARE;
    let total: f64 = reported.into_iter().map(|demand| demand.max(floor)).sum();
    if total <= 0.0 {
        return limit;
    }
    limit * own.max(floor) / total
}
