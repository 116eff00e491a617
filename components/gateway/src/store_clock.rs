use std::time::Duration;

use utils::Monotonic;

/// The store's clock, as far as this host knows it.
///
/// Answers arrive with a delay, so the latest of all reported times is the most accurate.
///
/// ```
/// use std::time::Duration;
/// use gateway::StoreClock;
///
/// let ms = Duration::from_millis;
/// let mut clock = StoreClock::default();
/// assert_eq!(clock.time(ms(10)), None);
/// clock.record(ms(500), ms(10));
/// assert_eq!(clock.time(ms(30)), Some(ms(520)));
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreClock {
    /// Time on the store's clock at time 0 of this host's clock. May be negative: the host's clock can be ahead. `None`
    /// until the store or another host has reported its time.
    offset_ms: Option<i64>,
}

impl StoreClock {
    /// Records a time on the store's clock that the store or another host has reported. Returns whether it is the
    /// first.
    pub fn record(&mut self, store_time: Duration, now: Monotonic) -> bool {
        let offset = millis(store_time).saturating_sub(millis(now));
        let is_first = self.offset_ms.is_none();
        self.offset_ms = self.offset_ms.max(Some(offset));
        is_first
    }

    /// Returns the time on the store's clock; `None` until it is known.
    pub fn time(&self, now: Monotonic) -> Option<Duration> {
        let ms = millis(now).saturating_add(self.offset_ms?);
        u64::try_from(ms).ok().map(Duration::from_millis)
    }
}

/// Returns a duration in whole milliseconds.
fn millis(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}
