use std::time::Duration;

use utils::{Clock, Monotonic};

/// Functions that read the allocated memory and the processor time.
pub struct Meter<'a> {
    /// Function that returns the bytes that are currently allocated.
    pub allocated_bytes: &'a dyn Fn() -> u64,
    /// Function that returns the processor time that this thread has used.
    pub cpu_time: &'a (dyn Fn() -> Duration + Sync),
}

impl Meter<'_> {
    /// Builds a value. Returns it with the number of bytes that it keeps allocated.
    pub(crate) fn allocated_by<T>(&self, build: impl FnOnce() -> T) -> (T, f64) {
        let before = (self.allocated_bytes)();
        let value = build();
        let after = (self.allocated_bytes)();
        (value, after.saturating_sub(before) as f64)
    }

    /// Returns the mean processor time of an operation, in seconds.
    pub(crate) fn mean_seconds<T>(&self, iterations: u32, mut operation: impl FnMut() -> T) -> f64 {
        let before = (self.cpu_time)();
        for _ in 0..iterations {
            std::hint::black_box(operation());
        }
        ((self.cpu_time)() - before).as_secs_f64() / f64::from(iterations)
    }
}

/// A clock that counts the processor time of this thread.
pub(crate) struct CpuClock<'a>(pub(crate) &'a (dyn Fn() -> Duration + Sync));

impl Clock for CpuClock<'_> {
    fn now(&self) -> Monotonic {
        (self.0)()
    }

    fn wall(&self) -> std::time::SystemTime {
        std::time::SystemTime::UNIX_EPOCH
    }
}
