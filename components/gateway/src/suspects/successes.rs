use std::collections::{HashMap, VecDeque};

use utils::Monotonic;

use super::PartFingerprint;

/// Most successes that are remembered.
const MAX_SUCCESSES: usize = 8_192;

/// Prompt parts with which targets have answered requests of this host, and when they last did.
///
/// ```
/// use std::time::Duration;
/// use gateway::{PartFingerprint, PartSuccesses};
///
/// let part = PartFingerprint::of("m", "aa");
/// let mut successes = PartSuccesses::default();
/// successes.record(&[part], Duration::from_secs(2));
/// assert!(successes.contains(&part));
/// assert!(!successes.contains_since(&part, Duration::from_secs(3)));
/// ```
#[derive(Debug, Default)]
pub struct PartSuccesses {
    /// Time of the last success by part.
    last: HashMap<PartFingerprint, Monotonic>,
    /// Successes, oldest first.
    order: VecDeque<(PartFingerprint, Monotonic)>,
}

impl PartSuccesses {
    /// Records that a target began to answer a request with these parts.
    pub fn record(&mut self, parts: &[PartFingerprint], now: Monotonic) {
        for part in parts {
            self.last.insert(*part, now);
            self.order.push_back((*part, now));
        }
        while self.order.len() > MAX_SUCCESSES {
            let Some((oldest, at)) = self.order.pop_front() else {
                return;
            };
            if self.last.get(&oldest) == Some(&at) {
                self.last.remove(&oldest);
            }
        }
    }

    /// Whether a success with the part is remembered.
    pub fn contains(&self, part: &PartFingerprint) -> bool {
        self.last.contains_key(part)
    }

    /// Whether a request with the part has succeeded at time `since` or later.
    pub fn contains_since(&self, part: &PartFingerprint, since: Monotonic) -> bool {
        self.last.get(part).is_some_and(|at| *at >= since)
    }
}
