use std::time::Duration;

use utils::Monotonic;

/// A host that is gone stays counted for this long, so that hosts whose lists differ do not share out too much.
const HOST_HOLD: Duration = Duration::from_secs(60);

/// Busy time that a measurement of a rate covers.
const SAMPLE: Duration = Duration::from_millis(250);

/// Weight of the newest sample in the measured rate.
const NEWEST_SHARE: f64 = 0.4;

/// A link is slow below this share of its usual rate.
const SLOW_BELOW: f64 = 0.5;

/// A slow link is normal again above this share of its usual rate.
const NORMAL_ABOVE: f64 = 0.8;

/// Samples in a row that change a link's health.
const SAMPLES_TO_CHANGE: u32 = 3;

/// Failures in a row that cut a link.
const FAILURES_TO_CUT: u32 = 2;

/// Shortest time without the end of a started transfer that cuts a link.
const STALL: Duration = Duration::from_secs(3);

/// Time without the end of a transfer that cuts a link, as a multiple of the time that all started ones should take.
const STALL_FACTOR: u32 = 2;

/// Time between two trials of a link that was cut.
const PROBE_INTERVAL: Duration = Duration::from_secs(5);

/// This host's share of a volume that all hosts of a region may send over a paid link.
///
/// Shares are equal, and a host starts with nothing, so that the sum stays within the budget without a central counter,
/// also when hosts are replaced.
///
/// ```
/// use std::time::Duration;
/// let mut budget = policy::VolumeBudget::new(9e6, 90_000_000, 9, Duration::ZERO);
/// assert!(!budget.take(1_000_000, Duration::ZERO));
/// assert!(budget.take(1_000_000, Duration::from_secs(1)));
/// ```
#[derive(Debug, Clone)]
pub struct VolumeBudget {
    /// Bytes a second for all hosts together.
    rate: f64,
    /// Most bytes at once for all hosts together.
    burst: f64,
    /// Hosts that share it.
    hosts: usize,
    /// Since when fewer hosts have been listed.
    fewer_since: Option<Monotonic>,
    /// Bytes that this host may send.
    left: f64,
    /// When `left` was brought up to date.
    at: Monotonic,
}

impl VolumeBudget {
    /// A share of `rate` bytes a second and `burst` bytes at once among `hosts`.
    pub fn new(rate: f64, burst: u64, hosts: usize, now: Monotonic) -> Self {
        Self {
            rate,
            burst: burst as f64,
            hosts: hosts.max(1),
            fewer_since: None,
            left: 0.0,
            at: now,
        }
    }

    /// Takes the number of listed hosts of the region.
    pub fn set_hosts(&mut self, hosts: usize, now: Monotonic) {
        self.refill(now);
        let is_fewer = hosts < self.hosts;
        if !is_fewer || now.saturating_sub(*self.fewer_since.get_or_insert(now)) >= HOST_HOLD {
            self.hosts = hosts.max(1);
            self.fewer_since = None;
        }
        self.left = self.left.min(self.burst / self.hosts as f64);
    }

    /// Bytes that may be sent now.
    pub fn left(&mut self, now: Monotonic) -> u64 {
        self.refill(now);
        self.left as u64
    }

    /// Counts bytes before they are sent; false if they do not fit.
    pub fn take(&mut self, bytes: u64, now: Monotonic) -> bool {
        self.refill(now);
        let fits = bytes as f64 <= self.left;
        if fits {
            self.left -= bytes as f64;
        }
        fits
    }

    fn refill(&mut self, now: Monotonic) {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        let share = 1.0 / self.hosts as f64;
        self.left = (self.left + elapsed * self.rate * share).min(self.burst * share);
        self.at = self.at.max(now);
    }
}

/// How well transfers over a link, or from a store, go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkHealth {
    /// Near the usual rate.
    Normal,
    /// Well below the usual rate.
    Slow,
    /// Nothing comes through.
    Cut,
}

/// Measures a link, or the way to a store, by the transfers over it. Hysteresis keeps its health from changing with
/// every sample.
#[derive(Debug, Clone)]
pub struct LinkMeter {
    /// Usual rate, in bytes a second.
    usual: f64,
    /// Measured rate, in bytes a second.
    rate: f64,
    health: LinkHealth,
    /// Samples in a row that speak for another health.
    against: u32,
    /// Failures in a row.
    failures: u32,
    /// Bytes started and not ended.
    backlog: u64,
    /// Transfers started and not ended.
    open: u32,
    /// Bytes that ended since the last sample.
    sampled: u64,
    /// Start of the current sample or of the wait for progress.
    since: Monotonic,
    /// Last time of progress, or of the first transfer after none.
    progress: Monotonic,
    /// When a cut link may be tried again.
    probe_at: Monotonic,
}

impl LinkMeter {
    /// A link whose usual rate is `usual` bytes a second.
    pub fn new(usual: f64) -> Self {
        Self {
            usual,
            rate: usual,
            health: LinkHealth::Normal,
            against: 0,
            failures: 0,
            backlog: 0,
            open: 0,
            sampled: 0,
            since: Duration::ZERO,
            progress: Duration::ZERO,
            probe_at: Duration::ZERO,
        }
    }

    /// Health by the transfers so far.
    pub fn health(&self) -> LinkHealth {
        self.health
    }

    /// Measured rate, in bytes a second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Bytes of transfers that were started and have not ended.
    pub fn backlog_bytes(&self) -> u64 {
        self.backlog
    }

    /// Whether a transfer may start now. A cut link takes one at a time, now and then.
    pub fn is_usable(&self, now: Monotonic) -> bool {
        self.health != LinkHealth::Cut || (self.open == 0 && now >= self.probe_at)
    }

    /// Counts a transfer before it starts.
    pub fn started(&mut self, bytes: u64, now: Monotonic) {
        if self.open == 0 {
            self.since = now;
            self.progress = now;
            self.sampled = 0;
        }
        if self.health == LinkHealth::Cut {
            self.probe_at = now + PROBE_INTERVAL;
        }
        self.open += 1;
        self.backlog += bytes;
    }

    /// Takes that a transfer ended well.
    pub fn finished(&mut self, bytes: u64, now: Monotonic) {
        self.ended(bytes);
        self.failures = 0;
        self.progress = now;
        self.sampled += bytes;
        let elapsed = now.saturating_sub(self.since);
        if elapsed < SAMPLE && self.open > 0 {
            return;
        }
        self.sample(self.sampled as f64 / elapsed.as_secs_f64().max(1e-6));
        self.sampled = 0;
        self.since = now;
    }

    /// Takes that a transfer failed.
    pub fn failed(&mut self, bytes: u64, now: Monotonic) {
        self.ended(bytes);
        self.failures += 1;
        if self.failures >= FAILURES_TO_CUT {
            self.cut(now);
        }
    }

    /// Looks for transfers without progress; call it at least once a second.
    pub fn check(&mut self, now: Monotonic) {
        let usual = Duration::from_secs_f64(self.backlog as f64 / self.rate.max(1.0));
        let limit = STALL.max(usual * STALL_FACTOR);
        if self.open > 0 && now.saturating_sub(self.progress) >= limit && self.health != LinkHealth::Cut {
            self.cut(now);
        }
    }

    fn ended(&mut self, bytes: u64) {
        self.open = self.open.saturating_sub(1);
        self.backlog = self.backlog.saturating_sub(bytes);
    }

    fn cut(&mut self, now: Monotonic) {
        self.health = LinkHealth::Cut;
        self.against = 0;
        self.probe_at = now + PROBE_INTERVAL;
    }

    fn sample(&mut self, rate: f64) {
        let rate = rate.min(self.usual);
        self.rate += (rate - self.rate) * NEWEST_SHARE;
        let share = rate / self.usual;
        let (next, speaks_against) = match self.health {
            LinkHealth::Normal => (LinkHealth::Slow, share < SLOW_BELOW),
            LinkHealth::Slow => (LinkHealth::Normal, share > NORMAL_ABOVE),
            LinkHealth::Cut => (LinkHealth::Slow, true),
        };
        self.against = if speaks_against { self.against + 1 } else { 0 };
        if self.against >= SAMPLES_TO_CHANGE || self.health == LinkHealth::Cut {
            self.health = next;
            self.against = 0;
        }
    }
}
