use std::collections::BTreeMap;
use std::sync::Arc;

use metadata::ListedHost;
use utils::{HostId, Incarnation, Monotonic, RegionId, TargetId};

use crate::TargetSummary;

/// Whether a target takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum TargetLiveness {
    /// Takes new work.
    Live,
    /// Finishes what it has.
    Leaving,
    /// Did not answer lately.
    Suspect,
}

/// The evidence behind a target's or host's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Why {
    /// The platform's list says so.
    Listed,
    /// The list dropped too much of its pool at once to be believed.
    ListDistrusted,
    /// It is not on the list but answers.
    Answers,
    /// It failed to answer this host.
    Silent,
    /// It failed to answer its watchers.
    SilentToWatchers,
    /// Too much of its pool is silent at once to be believed.
    SilenceDistrusted,
    /// It failed often lately and is on probation.
    Flapping,
    /// Another host read on the list that it is leaving.
    ToldLeaving,
}

/// A live entry host.
#[derive(Debug, Clone, PartialEq)]
pub struct HostEntry {
    /// What the platform says about it.
    pub listed: Arc<ListedHost>,
    /// Last known incarnation; 0 before it was heard.
    pub incarnation: Incarnation,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The evidence.
    pub why: Why,
}

/// A target with its state.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetEntry {
    /// What the platform says about it.
    pub listed: Arc<ListedHost>,
    /// Whether it takes new work.
    pub liveness: TargetLiveness,
    /// The evidence.
    pub why: Why,
    /// Latest summary of its load and when the report behind it was read.
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
    /// When the answered probe was sent.
    pub at: Monotonic,
}

/// The hosts and targets that one host knows, as of one moment.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct MembershipView {
    /// When the view was built.
    pub taken_at: Monotonic,
    /// False from a pause of the process until another host was heard again.
    pub current: bool,
    /// True while too many neighbours are silent at once: this host is probably the one cut off.
    pub isolated: bool,
    /// Live and leaving entry hosts by region, this host included.
    pub hosts: BTreeMap<RegionId, Vec<HostEntry>>,
    /// Targets by name.
    pub targets: BTreeMap<TargetId, TargetEntry>,
    /// Neighbours that answered, with the time of the probe.
    pub reachable: Vec<ReachableHost>,
}

impl MembershipView {
    /// Hosts of a region that answered a probe sent at `since` or later. Check it right before acting:
    /// a host that was paused finds that its answers are too old.
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

    /// Names of the live hosts of a region that are not leaving.
    pub fn host_names(&self, region: &str) -> Vec<HostId> {
        let entries = self.hosts.get(region).map(Vec::as_slice).unwrap_or_default();
        let staying = entries.iter().filter(|entry| !entry.leaving);
        staying.map(|entry| entry.listed.id.clone()).collect()
    }
}
