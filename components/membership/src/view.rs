use std::collections::BTreeMap;
use std::sync::Arc;

use metadata::ListedHost;
use utils::{HostId, Incarnation, Monotonic, RegionId, TargetId};

use crate::TargetSummary;

/// Whether a target accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum TargetLiveness {
    /// Accepts new work.
    Live,
    /// Accepts no new work and finishes the work in progress.
    Leaving,
    /// Failed to answer this host or its watchers recently.
    Suspect,
}

/// The reason for the state of a target or host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum LivenessReason {
    /// The platform's list gives this state.
    Listed,
    /// The list no longer contains it, but dropped too large a share of its pool at once. This is more likely
    /// a fault of the list than a real loss, so it is kept.
    ListDistrusted,
    /// It is not on the list but answers this host.
    Answers,
    /// It repeatedly failed to answer this host.
    Silent,
    /// A watcher reports that it failed to answer.
    SilentToWatchers,
    /// It does not answer, but neither does a large share of its pool (of its region, for a host). This is
    /// more likely a fault of this host's network than a real loss, so it counts as live.
    SilenceDistrusted,
    /// It answers again after recent failures, but its hold time has not passed.
    Flapping,
    /// Another host reported that the list shows it as leaving.
    LeavingReported,
}

/// A live entry host.
#[derive(Debug, Clone, PartialEq)]
pub struct HostEntry {
    /// Its entry on the platform's list.
    pub listed: Arc<ListedHost>,
    /// Last known incarnation; 0 before its first message.
    pub incarnation: Incarnation,
    /// Whether the host is leaving.
    pub leaving: bool,
    /// The reason for this state.
    pub reason: LivenessReason,
}

/// A target with its state.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetEntry {
    /// Its entry on the platform's list.
    pub listed: Arc<ListedHost>,
    /// Whether it accepts new work.
    pub liveness: TargetLiveness,
    /// The reason for this state.
    pub reason: LivenessReason,
    /// Latest summary of its load, and the time at which the underlying report was read.
    pub summary: Option<(TargetSummary, Monotonic)>,
}

/// A host that answered a probe of this host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReachableHost {
    /// The host.
    pub host: HostId,
    /// Its region.
    pub region: RegionId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Time at which the latest answered probe was sent.
    pub at: Monotonic,
}

/// A snapshot of the hosts and targets that one host knows.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct MembershipView {
    /// Time at which the view was built.
    pub taken_at: Monotonic,
    /// Whether the view is up to date: false from a pause of the process until another host answers a probe
    /// sent after it.
    pub current: bool,
    /// Whether at least two and more than half of the neighbours in the region are silent at once. This host
    /// is then probably the one that is partitioned from the others.
    pub isolated: bool,
    /// Live and leaving entry hosts by region, this host included.
    pub hosts: BTreeMap<RegionId, Vec<HostEntry>>,
    /// Targets by name.
    pub targets: BTreeMap<TargetId, TargetEntry>,
    /// Hosts that have answered a probe of this host.
    pub reachable: Vec<ReachableHost>,
}

impl MembershipView {
    /// Counts the hosts of a region that answered a probe sent at `since` or later. Must be checked right
    /// before an action that depends on it: after a pause of this process the answers are too old to count.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let view = membership::MembershipView::default();
    /// assert_eq!(view.reachable_since("north", Duration::ZERO), 0);
    /// ```
    pub fn reachable_since(&self, region: &str, since: Monotonic) -> usize {
        self.reachable
            .iter()
            .filter(|host| &*host.region == region && host.at >= since)
            .count()
    }

    /// Returns the names of the live hosts of a region that are not leaving.
    pub fn host_names(&self, region: &str) -> Vec<HostId> {
        let entries = self.hosts.get(region).map(Vec::as_slice).unwrap_or_default();
        let staying = entries.iter().filter(|entry| !entry.leaving);
        staying.map(|entry| entry.listed.id.clone()).collect()
    }
}
