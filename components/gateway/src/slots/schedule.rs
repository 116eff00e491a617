use std::ops::RangeInclusive;
use std::time::Duration;

use utils::{Monotonic, digest};

use crate::{ColdBound, ColdLimit};

/// Time from the start of a cold target's slot in which its owner may send. Lets a host with little demand use most of
/// its slots.
const COLD_VALIDITY: Duration = Duration::from_millis(500);
/// Shortest and longest time of the same kind under a limit, which holds over 4 s instead of one. With few slots for each
/// host, more of them are used if they stay open for longer.
const LIMIT_VALIDITY: RangeInclusive<Duration> = Duration::from_secs(1)..=Duration::from_secs(4);
/// Part of the bound reserved for differences of the hosts' clocks (40 ms in either direction) and of the times that
/// requests take to arrive (70 ms).
const CLOCK_AND_TRANSIT_MARGIN: Duration = Duration::from_millis(150);
/// Window in which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Most slots of a target that are open at once. Bounds the work to find this host's among them.
const MAX_OPEN_SLOTS: u64 = 16;
/// Shortest time between two slots, for the same reason.
const MIN_PERIOD: Duration = Duration::from_millis(1);
/// Longest time between two slots. Keeps times within the range of their type.
const MAX_PERIOD: Duration = Duration::from_secs(3_600);

/// The time slots of a target, on the store's clock. In each slot one request may be sent.
///
/// The requests of `n + 1` successive slots never arrive within a window if `n` periods are longer than that window, the
/// validity of a slot and the margin together.
///
/// ```
/// use std::time::Duration;
/// use gateway::{ColdBound, ColdLimit, SlotSchedule};
///
/// let limit = ColdLimit { duration: Duration::from_secs(8), per_second: 16.0 };
/// let bound = ColdBound { overrun: 1.5, slack: 5.0 };
/// let schedule = SlotSchedule::for_cold_targets(&limit, &bound).unwrap();
/// let open = schedule.open_slots("t1", Duration::from_secs(100)).unwrap();
/// assert_eq!(open.count(), 8);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotSchedule {
    /// Time between the starts of two slots, in microseconds.
    period_us: u64,
    /// Time from the start of a slot in which its owner may send, in microseconds.
    validity_us: u64,
    /// Time on the store's clock before which no slot begins, in microseconds.
    from_us: u64,
}

impl SlotSchedule {
    /// Creates the schedule of the cold targets of a service; `None` if its bound allows no request.
    pub fn for_cold_targets(limit: &ColdLimit, bound: &ColdBound) -> Option<Self> {
        let most = bound.most(limit);
        if most == 0 || limit.per_second <= 0.0 {
            return None;
        }
        let span = WINDOW + COLD_VALIDITY + CLOCK_AND_TRANSIT_MARGIN;
        // A cold target does not sustain more than it tolerates, whatever the bound on one second.
        let period = period_of(limit.per_second).max(span / most);
        Some(Self::new(period, COLD_VALIDITY))
    }

    /// Creates the schedule of a target that takes this number of requests per second from all hosts together; `None`
    /// if it takes none.
    pub fn for_limit(per_second: f64) -> Option<Self> {
        if per_second.is_nan() || per_second <= 0.0 {
            return None;
        }
        let period = period_of(per_second);
        let validity = LIMIT_VALIDITY.start().saturating_add(period);
        Some(Self::new(period, validity.min(*LIMIT_VALIDITY.end())))
    }

    fn new(period: Duration, validity: Duration) -> Self {
        Self {
            period_us: micros(period.clamp(MIN_PERIOD, MAX_PERIOD)) + 1,
            validity_us: micros(validity),
            from_us: 0,
        }
    }

    /// Leaves out the slots that begin before a time on the store's clock.
    pub fn starting_at(self, store_time: Duration) -> Self {
        Self {
            from_us: micros(store_time),
            ..self
        }
    }

    /// Returns the numbers of the slots of a target in which a request may be sent at a time on the store's clock.
    pub fn open_slots(&self, instance: &str, store_time: Duration) -> Option<RangeInclusive<u64>> {
        self.open_slots_of(digest(instance.as_bytes()).first_u64(), store_time)
    }

    /// Returns the same for the target whose name has this digest.
    pub(super) fn open_slots_of(
        &self,
        name_digest: u64,
        store_time: Duration,
    ) -> Option<RangeInclusive<u64>> {
        // Slots of different targets start at different times, so that a host's slots do not come together.
        let phase = name_digest % self.period_us;
        let since_phase = micros(store_time).checked_sub(phase)?;
        let newest = since_phase / self.period_us;
        let validity = self.validity_us.min(MAX_OPEN_SLOTS * self.period_us);
        let closed = since_phase.checked_sub(validity);
        let oldest = closed.map_or(0, |closed| closed / self.period_us + 1);
        let first = self.from_us.saturating_sub(phase).div_ceil(self.period_us);
        let oldest = oldest.max(first);
        (oldest <= newest).then_some(oldest..=newest)
    }
}

/// Returns the time between requests at a rate.
fn period_of(per_second: f64) -> Duration {
    Duration::try_from_secs_f64(1.0 / per_second).unwrap_or(MAX_PERIOD)
}

fn micros(time: Monotonic) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX / 2)
}
