use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime};

use rustix::time::{ClockId, clock_gettime};

/// Time since an arbitrary start, which stays the same for the lifetime of the process.
pub type Monotonic = Duration;

/// A source of time. State machines receive `now` as an argument; only daemons hold a clock.
pub trait Clock: Send + Sync {
    /// Returns the monotonic time, which also advances while the process is paused.
    fn now(&self) -> Monotonic;

    /// Returns the wall-clock time, for values that are compared between hosts.
    fn wall(&self) -> SystemTime;
}

/// The clock of the operating system.
///
/// ```
/// use utils::{Clock, SystemClock};
///
/// let clock = SystemClock::new();
/// assert!(clock.now() <= clock.now());
/// ```
#[derive(Debug, Clone)]
pub struct SystemClock {
    /// Time since boot at which the monotonic time is 0.
    start: Duration,
}

impl SystemClock {
    /// Creates a clock whose monotonic time starts at 0 now.
    pub fn new() -> Self {
        Self { start: boot_time() }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Monotonic {
        boot_time().saturating_sub(self.start)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// Returns the time since the machine booted, including the time it was suspended.
fn boot_time() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    Duration::new(now.tv_sec.unsigned_abs(), now.tv_nsec.unsigned_abs() as u32)
}

/// A clock for tests and benches that advances only on request.
///
/// ```
/// use std::time::Duration;
/// use utils::{Clock, ManualClock};
///
/// let clock = ManualClock::default();
/// clock.advance(Duration::from_millis(5));
/// assert_eq!(clock.now(), Duration::from_millis(5));
/// ```
#[derive(Debug, Default)]
pub struct ManualClock {
    /// Monotonic time, in nanoseconds.
    nanos: AtomicU64,
}

impl ManualClock {
    /// Advances the time by `step`.
    pub fn advance(&self, step: Duration) {
        self.nanos.fetch_add(step.as_nanos() as u64, Ordering::SeqCst);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Monotonic {
        Duration::from_nanos(self.nanos.load(Ordering::SeqCst))
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.now()
    }
}
