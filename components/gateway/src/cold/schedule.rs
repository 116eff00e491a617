use std::ops::RangeInclusive;
use std::time::Duration;

use utils::{Monotonic, digest};

use super::{ColdBound, ColdLimit};

/// Time from the start of a slot in which its owner may send. Lets a host with little demand use most of its slots.
const SLOT_VALIDITY: Duration = Duration::from_millis(500);
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

/// The time slots of the cold targets of a service, on the store's clock. In each slot one request may be sent.
///
/// The requests of `n + 1` successive slots never arrive within one second if `n` periods are longer than that second,
/// the validity of a slot and the margin together.
///
/// ```
/// use std::time::Duration;
/// use gateway::{ColdBound, ColdLimit, SlotSchedule};
///
/// let limit = ColdLimit { duration: Duration::from_secs(8), per_second: 16.0 };
/// let bound = ColdBound { overrun: 1.5, slack: 5.0 };
/// let schedule = SlotSchedule::new(&limit, &bound).unwrap();
/// let open = schedule.open_slots("t1", Duration::from_secs(100)).unwrap();
/// assert_eq!(open.count(), 8);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotSchedule {
    /// Time between the starts of two slots, in microseconds.
    period_us: u64,
}

impl SlotSchedule {
    /// Creates the schedule of a service; `None` if its bound allows no request.
    pub fn new(limit: &ColdLimit, bound: &ColdBound) -> Option<Self> {
        let most = bound.most(limit);
        if most == 0 || limit.per_second <= 0.0 {
            return None;
        }
        let span = WINDOW + SLOT_VALIDITY + CLOCK_AND_TRANSIT_MARGIN;
        // A cold target does not sustain more than it tolerates, whatever the bound on one second.
        let tolerated = Duration::try_from_secs_f64(1.0 / limit.per_second).unwrap_or(MAX_PERIOD);
        let period = tolerated.max(span / most).clamp(MIN_PERIOD, MAX_PERIOD);
        Some(Self {
            period_us: micros(period) + 1,
        })
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
        let validity = micros(SLOT_VALIDITY).min(MAX_OPEN_SLOTS * self.period_us);
        let closed = since_phase.checked_sub(validity);
        let oldest = closed.map_or(0, |closed| closed / self.period_us + 1);
        (oldest <= newest).then_some(oldest..=newest)
    }
}

fn micros(time: Monotonic) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX / 2)
}
