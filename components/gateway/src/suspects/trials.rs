use std::collections::HashMap;
use std::time::Duration;

use utils::Monotonic;

use super::PartFingerprint;
use crate::quarantine::PART_RETENTION;

/// Most requests that a host sends to clear a part.
const MAX_TRIALS: u32 = 2;
/// Time between two of them. The first one's crash is known to the host by then.
const TRIAL_INTERVAL: Duration = Duration::from_secs(3);

/// Requests that this host has sent to find out whether a quarantined part is sound.
///
/// ```
/// use std::time::Duration;
/// use gateway::{PartFingerprint, PartTrials};
///
/// let part = PartFingerprint::of("m", "aa");
/// let mut trials = PartTrials::default();
/// assert!(trials.try_take(part, Duration::from_secs(1)));
/// assert!(!trials.try_take(part, Duration::from_secs(3)));
/// assert!(trials.try_take(part, Duration::from_secs(4)));
/// assert!(!trials.try_take(part, Duration::from_secs(7)));
/// ```
#[derive(Debug, Default)]
pub struct PartTrials {
    /// Number of trials and time of the last one, by part.
    sent: HashMap<PartFingerprint, (u32, Monotonic)>,
}

impl PartTrials {
    /// Takes a trial of a part and returns true if one is left.
    pub fn try_take(&mut self, part: PartFingerprint, now: Monotonic) -> bool {
        self.sent.retain(|_, (_, at)| now < *at + PART_RETENTION);
        let (count, at) = self.sent.get(&part).copied().unwrap_or_default();
        let is_left = count == 0 || count < MAX_TRIALS && now >= at + TRIAL_INTERVAL;
        if is_left {
            self.sent.insert(part, (count + 1, now));
        }
        is_left
    }
}
