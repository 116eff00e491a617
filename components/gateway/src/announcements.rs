//! What targets have said of themselves in their answers.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use utils::{Monotonic, TargetId};

/// Time for which a run that is no longer listed is remembered. A store that is restored from an older copy may list
/// it again.
const RETENTION: Duration = Duration::from_secs(600);

/// Longest pause that a target can ask for. A longer one is cut to this, so that no target is lost for good.
const MAX_REQUESTED_PAUSE: Duration = Duration::from_secs(120);

/// What one run of a target has said.
#[derive(Debug, Clone, Copy, Default)]
struct Announced {
    /// Whether it is leaving.
    is_leaving: bool,
    /// Time until which it wants no requests from this host.
    paused_until: Monotonic,
    /// Time of the last answer that said something.
    at: Monotonic,
}

/// What targets have said of themselves in their answers, by run: a restarted target has said nothing. It binds this
/// host whatever the store or other hosts say later.
///
/// ```
/// use std::time::Duration;
/// use gateway::Announcements;
///
/// let mut announcements = Announcements::default();
/// announcements.record_leaving(&"t1/1".into(), Duration::ZERO);
/// assert!(!announcements.may_send(&"t1/1".into(), Duration::ZERO));
/// assert!(announcements.may_send(&"t1/2".into(), Duration::ZERO));
/// ```
#[derive(Debug, Default)]
pub struct Announcements {
    /// Announcements by run.
    runs: HashMap<TargetId, Announced>,
}

impl Announcements {
    /// Records that a run is leaving; returns whether that is new.
    pub fn record_leaving(&mut self, run: &TargetId, now: Monotonic) -> bool {
        let announced = self.runs.entry(run.clone()).or_default();
        announced.at = now;
        !std::mem::replace(&mut announced.is_leaving, true)
    }

    /// Records that a run wants no requests for a while. An earlier pause that ends later stays.
    pub fn record_pause(&mut self, run: &TargetId, pause: Duration, now: Monotonic) {
        let announced = self.runs.entry(run.clone()).or_default();
        announced.at = now;
        let until = now + pause.min(MAX_REQUESTED_PAUSE);
        announced.paused_until = announced.paused_until.max(until);
    }

    /// Whether a request may be sent to a run.
    pub fn may_send(&self, run: &TargetId, now: Monotonic) -> bool {
        let announced = self.runs.get(run);
        announced.is_none_or(|announced| !announced.is_leaving && now >= announced.paused_until)
    }

    /// Returns the time until a run may be sent requests again; `None` if it is not paused, or is leaving.
    pub fn pause_left(&self, run: &TargetId, now: Monotonic) -> Option<Duration> {
        let announced = self.runs.get(run).filter(|announced| !announced.is_leaving)?;
        let left = announced.paused_until.saturating_sub(now);
        (!left.is_zero()).then_some(left)
    }

    /// Forgets runs that have not been listed for long.
    pub fn remove_stale(&mut self, listed: &HashSet<&TargetId>, now: Monotonic) {
        self.runs
            .retain(|run, announced| listed.contains(run) || now < announced.at + RETENTION);
    }
}
