use std::time::Duration;

use utils::Monotonic;

/// Time for which a removed host still counts. It keeps the sum of the shares within the budget while the
/// hosts' views of the host list differ.
const REMOVED_HOST_HOLD: Duration = Duration::from_secs(60);

/// Minimum duration of a rate sample while transfers are in flight.
const MIN_SAMPLE: Duration = Duration::from_millis(250);

/// Weight of the newest sample in the moving average of the rate.
const NEWEST_WEIGHT: f64 = 0.4;

/// Share of the usual rate below which a normal link becomes slow.
const SLOW_BELOW: f64 = 0.5;

/// Share of the usual rate above which a slow link becomes normal again.
const NORMAL_ABOVE: f64 = 0.8;

/// Consecutive samples that change a link's health.
const SAMPLES_TO_CHANGE: u32 = 3;

/// Consecutive failures that mark a link as cut.
const FAILURES_TO_CUT: u32 = 2;

/// Minimum time without a finished transfer, while transfers are in flight, that marks a link as cut.
const MIN_STALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Time without a finished transfer that marks a link as cut, as a multiple of the expected time for the
/// whole backlog.
const STALL_FACTOR: u32 = 2;

/// Interval between probes of a cut link.
const PROBE_INTERVAL: Duration = Duration::from_secs(5);

/// This host's share of the volume that all hosts of a region may send over a paid link.
///
/// Shares are equal, and a host starts with zero bytes. The sum thus stays within the budget without a
/// central counter, also when hosts are replaced.
///
/// ```
/// use std::time::Duration;
/// let mut budget = policy::VolumeBudget::new(9e6, 90_000_000, 9, Duration::ZERO);
/// assert!(!budget.take(1_000_000, Duration::ZERO));
/// assert!(budget.take(1_000_000, Duration::from_secs(1)));
/// ```
#[derive(Debug, Clone)]
pub struct VolumeBudget {
    /// Bytes per second for all hosts together.
    rate: f64,
    /// Maximum burst for all hosts together, in bytes.
    burst: f64,
    /// Number of hosts that share the budget.
    hosts: usize,
    /// Since when the listed hosts have been fewer than `hosts`.
    fewer_since: Option<Monotonic>,
    /// Bytes that this host may send now.
    available: f64,
    /// When `available` was last updated.
    updated_at: Monotonic,
}

impl VolumeBudget {
    /// Creates an equal share for one of `hosts` hosts of a budget of `rate` bytes per second with a burst of
    /// `burst` bytes.
    pub fn new(rate: f64, burst: u64, hosts: usize, now: Monotonic) -> Self {
        Self {
            rate,
            burst: burst as f64,
            hosts: hosts.max(1),
            fewer_since: None,
            available: 0.0,
            updated_at: now,
        }
    }

    /// Sets the number of listed hosts of the region. A lower number takes effect only after it has lasted
    /// for 60 seconds.
    pub fn set_hosts(&mut self, hosts: usize, now: Monotonic) {
        self.refill(now);
        let is_fewer = hosts < self.hosts;
        if !is_fewer || now.saturating_sub(*self.fewer_since.get_or_insert(now)) >= REMOVED_HOST_HOLD {
            self.hosts = hosts.max(1);
            self.fewer_since = None;
        }
        self.available = self.available.min(self.burst / self.hosts as f64);
    }

    /// Returns the bytes that this host may send now.
    pub fn left(&mut self, now: Monotonic) -> u64 {
        self.refill(now);
        self.available as u64
    }

    /// Takes bytes from the budget before they are sent. Returns whether the budget was sufficient.
    pub fn take(&mut self, bytes: u64, now: Monotonic) -> bool {
        self.refill(now);
        let fits = bytes as f64 <= self.available;
        if fits {
            self.available -= bytes as f64;
        }
        fits
    }

    fn refill(&mut self, now: Monotonic) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        let share = 1.0 / self.hosts as f64;
        self.available = (self.available + elapsed * self.rate * share).min(self.burst * share);
        self.updated_at = self.updated_at.max(now);
    }
}

/// Health of a link between regions or of the connection to a store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkHealth {
    /// Transfers run near the usual rate.
    Normal,
    /// Transfers run well below the usual rate.
    Slow,
    /// Transfers fail or make no progress.
    Cut,
}

/// Measures the rate and health of a link, or of the connection to a store, from its transfers. Hysteresis
/// prevents a change of health with each sample.
#[derive(Debug, Clone)]
pub struct LinkMeter {
    /// Usual rate, in bytes per second.
    usual: f64,
    /// Measured rate, in bytes per second.
    rate: f64,
    health: LinkHealth,
    /// Consecutive samples that indicate a different health.
    opposing_samples: u32,
    /// Consecutive failures.
    failures: u32,
    /// Bytes of transfers in flight.
    backlog: u64,
    /// Number of transfers in flight.
    open: u32,
    /// Bytes finished since the start of the current sample.
    sampled_bytes: u64,
    /// Start of the current sample.
    sample_start: Monotonic,
    /// When a transfer last finished, or when the first of the transfers in flight started if that was later.
    progress_at: Monotonic,
    /// When a cut link may be probed next.
    probe_at: Monotonic,
}

impl LinkMeter {
    /// Creates a meter for a link whose usual rate is `usual` bytes per second.
    pub fn new(usual: f64) -> Self {
        Self {
            usual,
            rate: usual,
            health: LinkHealth::Normal,
            opposing_samples: 0,
            failures: 0,
            backlog: 0,
            open: 0,
            sampled_bytes: 0,
            sample_start: Duration::ZERO,
            progress_at: Duration::ZERO,
            probe_at: Duration::ZERO,
        }
    }

    /// Returns the health according to the transfers so far.
    pub fn health(&self) -> LinkHealth {
        self.health
    }

    /// Returns the measured rate, in bytes per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns the bytes of transfers in flight.
    pub fn backlog_bytes(&self) -> u64 {
        self.backlog
    }

    /// Whether a transfer may start now. A cut link accepts a single transfer as a probe, at most every five
    /// seconds.
    pub fn is_usable(&self, now: Monotonic) -> bool {
        self.health != LinkHealth::Cut || (self.open == 0 && now >= self.probe_at)
    }

    /// Records the start of a transfer.
    pub fn started(&mut self, bytes: u64, now: Monotonic) {
        if self.open == 0 {
            self.sample_start = now;
            self.progress_at = now;
            self.sampled_bytes = 0;
        }
        if self.health == LinkHealth::Cut {
            self.probe_at = now + PROBE_INTERVAL;
        }
        self.open += 1;
        self.backlog += bytes;
    }

    /// Records that a transfer succeeded.
    pub fn finished(&mut self, bytes: u64, now: Monotonic) {
        self.ended(bytes);
        self.failures = 0;
        self.progress_at = now;
        self.sampled_bytes += bytes;
        let elapsed = now.saturating_sub(self.sample_start);
        if elapsed < MIN_SAMPLE && self.open > 0 {
            return;
        }
        self.sample(self.sampled_bytes as f64 / elapsed.as_secs_f64().max(1e-6));
        self.sampled_bytes = 0;
        self.sample_start = now;
    }

    /// Records that a transfer failed.
    pub fn failed(&mut self, bytes: u64, now: Monotonic) {
        self.ended(bytes);
        self.failures += 1;
        if self.failures >= FAILURES_TO_CUT {
            self.cut(now);
        }
    }

    /// Marks the link as cut if its transfers have stalled. The caller runs it at least once per second.
    pub fn check(&mut self, now: Monotonic) {
        let expected = Duration::from_secs_f64(self.backlog as f64 / self.rate.max(1.0));
        let limit = MIN_STALL_TIMEOUT.max(expected * STALL_FACTOR);
        if self.open > 0 && now.saturating_sub(self.progress_at) >= limit && self.health != LinkHealth::Cut {
            self.cut(now);
        }
    }

    fn ended(&mut self, bytes: u64) {
        self.open = self.open.saturating_sub(1);
        self.backlog = self.backlog.saturating_sub(bytes);
    }

    fn cut(&mut self, now: Monotonic) {
        self.health = LinkHealth::Cut;
        self.opposing_samples = 0;
        self.probe_at = now + PROBE_INTERVAL;
    }

    fn sample(&mut self, rate: f64) {
        let rate = rate.min(self.usual);
        self.rate += (rate - self.rate) * NEWEST_WEIGHT;
        let share = rate / self.usual;
        let (next, is_opposing) = match self.health {
            LinkHealth::Normal => (LinkHealth::Slow, share < SLOW_BELOW),
            LinkHealth::Slow => (LinkHealth::Normal, share > NORMAL_ABOVE),
            LinkHealth::Cut => (LinkHealth::Slow, true),
        };
        self.opposing_samples = if is_opposing { self.opposing_samples + 1 } else { 0 };
        if self.opposing_samples >= SAMPLES_TO_CHANGE || self.health == LinkHealth::Cut {
            self.health = next;
            self.opposing_samples = 0;
        }
    }
}
