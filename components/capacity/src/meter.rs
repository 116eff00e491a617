use std::time::Duration;

use utils::{Clock, Monotonic};

/// Reads memory and processor time.
pub struct Meter<'a> {
    /// Bytes that are allocated now.
    pub allocated: &'a dyn Fn() -> u64,
    /// Processor time that this thread has used.
    pub processor: &'a (dyn Fn() -> Duration + Sync),
}

impl Meter<'_> {
    /// Builds a value and says how many bytes it keeps allocated.
    pub(crate) fn bytes_of<T>(&self, build: impl FnOnce() -> T) -> (T, f64) {
        let before = (self.allocated)();
        let value = build();
        let after = (self.allocated)();
        (value, after.saturating_sub(before) as f64)
    }

    /// Mean processor time of an operation, in seconds.
    pub(crate) fn seconds_of<T>(&self, rounds: u32, mut operation: impl FnMut() -> T) -> f64 {
        let before = (self.processor)();
        for _ in 0..rounds {
            std::hint::black_box(operation());
        }
        ((self.processor)() - before).as_secs_f64() / f64::from(rounds)
    }
}

/// A clock of this thread's processor time.
pub(crate) struct ProcessorClock<'a>(pub(crate) &'a (dyn Fn() -> Duration + Sync));

impl Clock for ProcessorClock<'_> {
    fn now(&self) -> Monotonic {
        (self.0)()
    }

    fn wall(&self) -> std::time::SystemTime {
        std::time::SystemTime::UNIX_EPOCH
    }
}
