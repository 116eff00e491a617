//! Listed targets that are gone because another one has started at their address.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use utils::{ServiceId, TargetId};

use crate::Target;

/// A target whose address another one has taken over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct TakeOver {
    /// Run that is gone.
    pub run: TargetId,
    /// Run that has the address now.
    pub successor: TargetId,
    /// Service of the successor.
    pub service: ServiceId,
}

/// Runs of targets whose address is listed for one that started later. Their entries outlive them by some heartbeats, and
/// what is sent to the address reaches the other one, perhaps in another region.
#[derive(Debug, Default)]
pub(crate) struct SupersededTargets {
    /// The runs, with their successors.
    runs: BTreeMap<TargetId, TakeOver>,
    /// Those that have not been reported yet.
    unreported: Vec<TakeOver>,
}

impl SupersededTargets {
    /// Finds them among the listed targets.
    pub(crate) fn update<'a>(&mut self, listed: impl Iterator<Item = &'a Target> + Clone) {
        let mut latest: HashMap<SocketAddr, &Target> = HashMap::new();
        for target in listed.clone() {
            let found = latest.entry(target.address).or_insert(target);
            if target.born_ms > found.born_ms {
                *found = target;
            }
        }
        let superseded = listed.filter_map(|target| {
            let successor = latest.get(&target.address)?;
            (successor.born_ms > target.born_ms).then(|| TakeOver {
                run: target.run.clone(),
                successor: successor.run.clone(),
                service: successor.service.clone(),
            })
        });
        let runs: BTreeMap<_, _> = superseded
            .map(|take_over| (take_over.run.clone(), take_over))
            .collect();
        let new = runs.values().filter(|found| !self.runs.contains_key(&found.run));
        self.unreported.extend(new.cloned());
        self.runs = runs;
    }

    pub(crate) fn contains(&self, run: &TargetId) -> bool {
        self.runs.contains_key(run)
    }

    /// Returns those that were found since the last call.
    pub(crate) fn take_new(&mut self) -> Vec<TakeOver> {
        std::mem::take(&mut self.unreported)
    }
}
