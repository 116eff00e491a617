//! Listed targets that are gone because another one has started at their address.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use utils::TargetId;

use crate::Target;

/// Runs of targets whose address is listed for one that started later. Their entries outlive them by some heartbeats, and
/// what is sent to the address reaches the other one, perhaps in another region.
#[derive(Debug, Default)]
pub(crate) struct SupersededTargets {
    runs: BTreeSet<TargetId>,
    /// Runs that have not been reported yet.
    unreported: Vec<TargetId>,
}

impl SupersededTargets {
    /// Finds them among the listed targets.
    pub(crate) fn update<'a>(&mut self, listed: impl Iterator<Item = &'a Target> + Clone) {
        let mut latest: HashMap<SocketAddr, u64> = HashMap::new();
        for target in listed.clone() {
            let born = latest.entry(target.address).or_default();
            *born = target.born_ms.max(*born);
        }
        let superseded = listed.filter(|target| latest.get(&target.address) > Some(&target.born_ms));
        let runs: BTreeSet<_> = superseded.map(|target| target.run.clone()).collect();
        self.unreported.extend(runs.difference(&self.runs).cloned());
        self.runs = runs;
    }

    pub(crate) fn contains(&self, run: &TargetId) -> bool {
        self.runs.contains(run)
    }

    /// Returns the runs that were found since the last call.
    pub(crate) fn take_new(&mut self) -> Vec<TargetId> {
        std::mem::take(&mut self.unreported)
    }
}
