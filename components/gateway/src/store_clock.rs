use std::time::Duration;

use utils::Monotonic;

/// Length of a period whose latest reported time counts in it and in the next one. Clocks that drift apart by 100 ppm
/// differ by 20 ms after two periods, half of the difference that the schedule of cold targets allows.
const PERIOD: Duration = Duration::from_secs(100);

/// The store's clock, as far as this host knows it.
///
/// Answers arrive with a delay, so the latest of the recently reported times is the most accurate.
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
    /// Largest offset of the present period. `None` until the store or another host has reported its time.
    current: Option<Offset>,
    /// Largest offset of the period before, if times were reported in it.
    previous_ms: Option<i64>,
}

/// The largest offset between the clocks in a period.
#[derive(Debug, Clone, Copy)]
struct Offset {
    /// Time on the store's clock at time 0 of this host's clock. May be negative: the host's clock can be ahead.
    ms: i64,
    /// Begin of the period.
    since: Monotonic,
}

impl StoreClock {
    /// Records a time on the store's clock that the store or another host has reported. Returns whether it is the
    /// first.
    pub fn record(&mut self, store_time: Duration, now: Monotonic) -> bool {
        let ms = millis(store_time).saturating_sub(millis(now));
        let Some(current) = &mut self.current else {
            self.restart(store_time, now);
            return true;
        };
        let age = now.saturating_sub(current.since);
        if age < PERIOD {
            current.ms = current.ms.max(ms);
            return false;
        }
        self.previous_ms = (age < 2 * PERIOD).then_some(current.ms);
        *current = Offset { ms, since: now };
        false
    }

    /// Replaces all that is known by a reported time, as a store that was restored may run on another clock.
    pub fn restart(&mut self, store_time: Duration, now: Monotonic) {
        let ms = millis(store_time).saturating_sub(millis(now));
        self.current = Some(Offset { ms, since: now });
        self.previous_ms = None;
    }

    /// Returns the time on the store's clock; `None` until it is known.
    pub fn time(&self, now: Monotonic) -> Option<Duration> {
        let current = self.current?.ms;
        let offset = self.previous_ms.map_or(current, |previous| previous.max(current));
        let ms = millis(now).saturating_add(offset);
        u64::try_from(ms).ok().map(Duration::from_millis)
    }
}

/// Returns a duration in whole milliseconds.
fn millis(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}
