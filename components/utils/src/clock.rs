use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime};

use rustix::time::{ClockId, clock_gettime};

/// Time since an arbitrary start that is fixed for the life of a process.
pub type Monotonic = Duration;

/// Source of time. State machines take `now` as an argument; only daemons hold a clock.
pub trait Clock: Send + Sync {
    /// Monotonic time; it keeps counting while the process is paused.
    fn now(&self) -> Monotonic;

    /// Time of day, for what is compared between hosts.
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
    /// Start of the monotonic time.
    start: Duration,
}

impl SystemClock {
    /// Starts counting from now.
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

/// Time since the machine was started, suspension included.
fn boot_time() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    Duration::new(now.tv_sec.unsigned_abs(), now.tv_nsec.unsigned_abs() as u32)
}

/// A clock that tests and benches move by hand.
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
    /// Nanoseconds since the start.
    nanos: AtomicU64,
}

impl ManualClock {
    /// Moves the time forward.
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
