use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use utils::{HostId, Incarnation, RegionId};

/// What hosts and operators must agree on for a note to come into force; versioned with the head.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Terms {
    /// Longest age of what a host heard from another, and of its last read of the head, in milliseconds.
    pub freshness_ms: u64,
    /// Age after which a host in a minority stops taking new work, in milliseconds.
    pub lapse_ms: u64,
    /// Entry hosts of each region.
    pub regions: BTreeMap<RegionId, RegionRoster>,
}

/// The entry hosts of a region that acknowledge notes.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
#[derive(Serialize, Deserialize)]
pub struct RegionRoster {
    /// Members that a host must hear, itself included, to take new work without the table service.
    pub serving: usize,
    /// Runs of hosts by name.
    pub members: BTreeMap<HostId, Incarnation>,
}

impl Default for Terms {
    fn default() -> Self {
        Self {
            freshness_ms: 1_800,
            lapse_ms: 30_000,
            regions: BTreeMap::new(),
        }
    }
}

impl Terms {
    /// Longest age of what a host heard.
    pub fn freshness(&self) -> Duration {
        Duration::from_millis(self.freshness_ms)
    }

    /// Age after which a host in a minority stops taking new work.
    pub fn lapse(&self) -> Duration {
        Duration::from_millis(self.lapse_ms)
    }
}

impl RegionRoster {
    /// Acknowledgements that overlap with every set of hosts that is large enough to serve.
    ///
    /// ```
    /// let members = (0..6).map(|i| (format!("entry-{i}").into(), 1)).collect();
    /// let roster = notes::RegionRoster { serving: 2, members };
    /// assert_eq!((roster.quorum(), roster.majority(), roster.lapse_quorum()), (5, 4, 3));
    /// ```
    pub fn quorum(&self) -> usize {
        (self.members.len() + 1).saturating_sub(self.serving.max(1))
    }

    /// Members that a host must have heard within the lapse period.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Acknowledgements that overlap with every majority.
    pub fn lapse_quorum(&self) -> usize {
        (self.members.len() + 1).saturating_sub(self.majority())
    }
}
