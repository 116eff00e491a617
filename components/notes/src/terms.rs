use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use utils::{HostId, Incarnation, RegionId};

/// Timing and roster that hosts and operators must agree on for a note to come into force.
///
/// Terms are versioned with the head row. They have nothing to do with the terms of a leader election.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Terms {
    /// Freshness period in milliseconds: maximum age of a peer's answer or of the last read of the head row.
    pub freshness_ms: u64,
    /// Lapse period in milliseconds: age of the last read after which a host in a minority stops taking new
    /// work.
    pub lapse_ms: u64,
    /// Roster of each region's entry hosts.
    pub regions: BTreeMap<RegionId, RegionRoster>,
}

/// The entry hosts of a region that acknowledge notes.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
#[derive(Serialize, Deserialize)]
pub struct RegionRoster {
    /// Number of members, itself included, whose answers a host needs to take new work without the table
    /// service.
    pub serving: usize,
    /// Run of each member by the host's name.
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
    /// Returns the freshness period.
    pub fn freshness(&self) -> Duration {
        Duration::from_millis(self.freshness_ms)
    }

    /// Returns the lapse period.
    pub fn lapse(&self) -> Duration {
        Duration::from_millis(self.lapse_ms)
    }
}

impl RegionRoster {
    /// Returns the smallest number of acknowledgements that intersects every set of `serving` members.
    ///
    /// ```
    /// let members = (0..6).map(|i| (format!("entry-{i}").into(), 1)).collect();
    /// let roster = notes::RegionRoster { serving: 2, members };
    /// assert_eq!((roster.quorum(), roster.majority(), roster.lapse_quorum()), (5, 4, 3));
    /// ```
    pub fn quorum(&self) -> usize {
        (self.members.len() + 1).saturating_sub(self.serving.max(1))
    }

    /// Returns the number of members whose answers a host needs within the lapse period.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Returns the smallest number of acknowledgements that intersects every majority.
    pub fn lapse_quorum(&self) -> usize {
        (self.members.len() + 1).saturating_sub(self.majority())
    }
}
