use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use targets::{LoadReport, Order, OrderKind};
use utils::{Epoch, ModelId, Monotonic, RegionId, TargetId, WeightVersion};

use crate::{LoadSlot, MembershipView, TargetLiveness};

/// Maximum share of a model's targets in a region that load at once, rounded down but at least one target.
const MAX_LOADING_SHARE: f64 = 1.0 / 3.0;
/// Time after which an order whose effect is not reported is sent again.
const REPEAT_AFTER: Duration = Duration::from_secs(5);

/// Desired weight version of each model.
pub type DesiredVersions = BTreeMap<ModelId, WeightVersion>;

/// Last report of a target.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Installed {
    /// Models that the target serves, with their weight versions.
    pub versions: Vec<(ModelId, WeightVersion)>,
    /// Incarnation of its process.
    pub incarnation: u64,
}

impl From<&LoadReport> for Installed {
    fn from(report: &LoadReport) -> Self {
        Self {
            versions: report.versions.clone(),
            incarnation: report.incarnation,
        }
    }
}

/// Brings targets to the desired weight versions, a few at a time: compares the reported versions with the
/// desired ones and repeats orders whose effect is not reported.
///
/// ```
/// let rollout = membership::Rollout::default();
/// assert!(rollout.next_loads(&Default::default(), &Default::default(), &[], 2).is_empty());
/// ```
#[derive(Debug, Clone, Default)]
pub struct Rollout {
    /// Last report of each target.
    installed: BTreeMap<TargetId, Installed>,
    /// Time of the last order to each target.
    ordered_at: BTreeMap<TargetId, Monotonic>,
}

impl Rollout {
    /// Records a target's report. A new incarnation of the target clears the time of its last order.
    pub fn report(&mut self, target: &TargetId, report: impl Into<Installed>) {
        let report = report.into();
        let known = self.installed.get(target).map(|i| i.incarnation);
        if known.is_some_and(|incarnation| incarnation != report.incarnation) {
            self.ordered_at.remove(target);
        }
        self.installed.insert(target.clone(), report);
    }

    /// Returns the targets whose loads have ended: the target reports the version or is no longer known.
    pub fn ended(&self, view: &MembershipView, loads: &[LoadSlot]) -> Vec<TargetId> {
        let has_ended = |slot: &&LoadSlot| {
            !view.targets.contains_key(&slot.target) || self.has_version(&slot.target, slot)
        };
        let ended = loads.iter().filter(has_ended);
        ended.map(|slot| slot.target.clone()).collect()
    }

    /// Returns the loads to start next, at most `free`. Enough targets of each model and region continue to
    /// serve.
    pub fn next_loads(
        &self,
        view: &MembershipView,
        desired: &DesiredVersions,
        loads: &[LoadSlot],
        free: usize,
    ) -> Vec<LoadSlot> {
        let mut busy: BTreeSet<_> = loads.iter().map(|slot| slot.target.clone()).collect();
        let mut next = Vec::new();
        for (model, version) in desired {
            for targets in serving(view, model).into_values() {
                let loading = targets.iter().filter(|t| busy.contains(*t)).count();
                let mut loads_left = max_loading(targets.len()).saturating_sub(loading);
                for target in targets {
                    let slot = LoadSlot {
                        target: target.clone(),
                        model: model.clone(),
                        version: *version,
                    };
                    if loads_left == 0 || next.len() == free || busy.contains(&target) {
                        continue;
                    }
                    if !self.installed.contains_key(&target) || self.has_version(&target, &slot) {
                        continue;
                    }
                    loads_left -= 1;
                    busy.insert(target);
                    next.push(slot);
                }
            }
        }
        next
    }

    /// Returns the loads in the lease's row that were not ordered recently.
    pub fn due<'a>(
        &'a self,
        loads: &'a [LoadSlot],
        now: Monotonic,
    ) -> impl Iterator<Item = &'a LoadSlot> + 'a {
        loads.iter().filter(move |slot| {
            let last = self.ordered_at.get(&slot.target);
            last.is_none_or(|at| now >= *at + REPEAT_AFTER)
        })
    }

    /// Returns the order for a load and records the time of sending.
    pub fn order(&mut self, slot: &LoadSlot, epoch: Epoch, now: Monotonic) -> Order {
        self.ordered_at.insert(slot.target.clone(), now);
        let kind = OrderKind::LoadVersion {
            model: slot.model.clone(),
            version: slot.version,
        };
        Order { epoch, kind }
    }

    /// Counts the live targets that do not report the desired version of a model that they serve.
    pub fn outdated_count(&self, view: &MembershipView, desired: &DesiredVersions) -> usize {
        let is_outdated = |target: &TargetId, model: &ModelId, version: WeightVersion| {
            let slot = LoadSlot {
                target: target.clone(),
                model: model.clone(),
                version,
            };
            !self.has_version(target, &slot)
        };
        desired
            .iter()
            .flat_map(|(model, version)| {
                let targets = serving(view, model).into_values().flatten();
                targets.map(move |target| (target, model, *version))
            })
            .filter(|(target, model, version)| is_outdated(target, model, *version))
            .count()
    }

    fn has_version(&self, target: &TargetId, slot: &LoadSlot) -> bool {
        let installed = self.installed.get(target);
        installed.is_some_and(|i| i.versions.contains(&(slot.model.clone(), slot.version)))
    }
}

fn max_loading(targets: usize) -> usize {
    ((targets as f64 * MAX_LOADING_SHARE) as usize).max(1)
}

/// Returns the live targets of a model by region.
fn serving(view: &MembershipView, model: &ModelId) -> BTreeMap<RegionId, Vec<TargetId>> {
    let mut found: BTreeMap<RegionId, Vec<TargetId>> = BTreeMap::new();
    for (id, target) in &view.targets {
        let serves = target.listed.role == metadata::HostRole::Engine && target.listed.serves.contains(model);
        if serves && target.liveness == TargetLiveness::Live {
            found
                .entry(target.listed.region.clone())
                .or_default()
                .push(id.clone());
        }
    }
    found
}
