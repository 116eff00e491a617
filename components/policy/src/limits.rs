use std::time::Duration;

use utils::Monotonic;

/// Minimum demand assumed for each host, as a share of the limit. It lets a host without demand so far admit
/// requests at once.
const MIN_DEMAND_SHARE: f64 = 0.002;

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
    /// Available tokens; negative after a cost above the burst.
    tokens: f64,
    /// Tokens added per second.
    rate: f64,
    /// Maximum number of tokens.
    burst: f64,
    /// When tokens were last added.
    updated_at: Monotonic,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(rate: f64, burst: f64, now: Monotonic) -> Self {
        Self {
            tokens: burst,
            rate,
            burst,
            updated_at: now,
        }
    }

    /// Changes the rate and the burst from now on.
    pub fn set(&mut self, rate: f64, burst: f64, now: Monotonic) {
        self.refill(now);
        (self.rate, self.burst) = (rate, burst);
        self.tokens = self.tokens.min(burst);
    }

    /// Takes `cost` tokens. A cost above the burst is taken from a full bucket, whose balance becomes
    /// negative.
    ///
    /// # Errors
    /// Returns the time until enough tokens are available.
    pub fn take(&mut self, cost: f64, now: Monotonic) -> Result<(), Duration> {
        self.refill(now);
        let needed = cost.min(self.burst);
        if self.tokens + 1e-9 >= needed {
            self.tokens -= cost;
            return Ok(());
        }
        let seconds = (needed - self.tokens) / self.rate.max(1e-6);
        Err(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
    }

    fn refill(&mut self, now: Monotonic) {
        let seconds = now.saturating_sub(self.updated_at).as_secs_f64();
        self.tokens = (self.tokens + seconds * self.rate).min(self.burst);
        self.updated_at = self.updated_at.max(now);
    }
}

/// Smoothed demand of one workspace at one host. All offered requests count, whether admitted or not.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DemandMeter {
    /// Smoothed demand per second.
    rate: f64,
    /// Demand offered since `period_start`.
    offered: f64,
    /// Start of the current period.
    period_start: Monotonic,
}

impl DemandMeter {
    /// Creates a meter without demand.
    pub fn new(now: Monotonic) -> Self {
        Self {
            rate: 0.0,
            offered: 0.0,
            period_start: now,
        }
    }

    /// Adds the cost of an offered request.
    pub fn offer(&mut self, cost: f64) {
        self.offered += cost;
    }

    /// Ends the current period and returns the smoothed demand per second, which heartbeats carry to the
    /// peers. `history_weight` from 0 to 1 is the weight of earlier periods.
    pub fn report(&mut self, history_weight: f64, now: Monotonic) -> f64 {
        let seconds = now.saturating_sub(self.period_start).as_secs_f64();
        if seconds > 0.0 {
            self.rate = history_weight * self.rate + (1.0 - history_weight) * self.offered / seconds;
            (self.offered, self.period_start) = (0.0, now);
        }
        self.rate
    }
}

/// Returns this host's share of a limit that holds over all hosts, in proportion to the last reported
/// demands. The shares of hosts with equal views add up to the limit, without a shared counter.
///
/// ```
/// let part = policy::rate_share(100.0, 30.0, [30.0, 60.0, 0.0]);
/// let other = policy::rate_share(100.0, 60.0, [30.0, 60.0, 0.0]);
/// let idle = policy::rate_share(100.0, 0.0, [30.0, 60.0, 0.0]);
/// assert!((part + other + idle - 100.0).abs() < 1e-9);
/// assert!(idle > 0.0);
/// ```
pub fn rate_share(limit: f64, own: f64, reported: impl IntoIterator<Item = f64>) -> f64 {
    let floor = limit * MIN_DEMAND_SHARE;
    let total: f64 = reported.into_iter().map(|demand| demand.max(floor)).sum();
    if total <= 0.0 {
        return limit;
    }
    limit * own.max(floor) / total
}
