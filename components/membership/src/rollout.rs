use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use targets::{LoadReport, Order, OrderKind};
use utils::{Epoch, ModelId, Monotonic, RegionId, TargetId, WeightVersion};

use crate::{LoadSlot, MembershipView, TargetLiveness};

/// Share of a model's targets in a region that may load at once; at least one may.
const LOADING_SHARE: f64 = 1.0 / 3.0;
/// Time after which an order without a visible effect is sent again.
const REPEAT_AFTER: Duration = Duration::from_secs(5);

/// Versions that models should have.
pub type Wanted = BTreeMap<ModelId, WeightVersion>;

/// What a target reported last.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Installed {
    /// Models and versions that it serves.
    pub versions: Vec<(ModelId, WeightVersion)>,
    /// Run of its process.
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

/// Brings targets to the wanted versions, a few at a time. It compares what targets report with what is
/// wanted, and repeats.
///
/// ```
/// let rollout = membership::Rollout::default();
/// assert!(rollout.next_loads(&Default::default(), &Default::default(), &[], 2).is_empty());
/// ```
#[derive(Debug, Clone, Default)]
pub struct Rollout {
    /// Last reports by target.
    installed: BTreeMap<TargetId, Installed>,
    /// When each target got its last order.
    ordered_at: BTreeMap<TargetId, Monotonic>,
}

impl Rollout {
    /// Takes a target's report.
    pub fn report(&mut self, target: &TargetId, report: impl Into<Installed>) {
        let report = report.into();
        let known = self.installed.get(target).map(|i| i.incarnation);
        if known.is_some_and(|incarnation| incarnation != report.incarnation) {
            self.ordered_at.remove(target);
        }
        self.installed.insert(target.clone(), report);
    }

    /// Loads that have ended: the target reports the version, or is gone.
    pub fn ended(&self, view: &MembershipView, loads: &[LoadSlot]) -> Vec<TargetId> {
        let has_ended =
            |slot: &&LoadSlot| !view.targets.contains_key(&slot.target) || self.has(&slot.target, slot);
        let ended = loads.iter().filter(has_ended);
        ended.map(|slot| slot.target.clone()).collect()
    }

    /// Loads to start next, at most `free`, with enough targets of each model and region left to serve.
    pub fn next_loads(
        &self,
        view: &MembershipView,
        wanted: &Wanted,
        loads: &[LoadSlot],
        free: usize,
    ) -> Vec<LoadSlot> {
        let mut busy: BTreeSet<_> = loads.iter().map(|slot| slot.target.clone()).collect();
        let mut next = Vec::new();
        for (model, version) in wanted {
            for targets in serving(view, model).into_values() {
                let loading = targets.iter().filter(|t| busy.contains(*t)).count();
                let mut room = most_loading(targets.len()).saturating_sub(loading);
                for target in targets {
                    let slot = LoadSlot {
                        target: target.clone(),
                        model: model.clone(),
                        version: *version,
                    };
                    if room == 0 || next.len() == free || busy.contains(&target) {
                        continue;
                    }
                    if !self.installed.contains_key(&target) || self.has(&target, &slot) {
                        continue;
                    }
                    room -= 1;
                    busy.insert(target);
                    next.push(slot);
                }
            }
        }
        next
    }

    /// Orders for the loads that are written in the lease's row and were not ordered lately.
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

    /// Records that an order is being sent, and returns it.
    pub fn order(&mut self, slot: &LoadSlot, epoch: Epoch, now: Monotonic) -> Order {
        self.ordered_at.insert(slot.target.clone(), now);
        let kind = OrderKind::LoadVersion {
            model: slot.model.clone(),
            version: slot.version,
        };
        Order { epoch, kind }
    }

    /// Targets that do not report the wanted version of a model that they serve.
    pub fn behind(&self, view: &MembershipView, wanted: &Wanted) -> usize {
        let is_behind = |target: &TargetId, model: &ModelId, version: WeightVersion| {
            let slot = LoadSlot {
                target: target.clone(),
                model: model.clone(),
                version,
            };
            !self.has(target, &slot)
        };
        wanted
            .iter()
            .flat_map(|(model, version)| {
                let targets = serving(view, model).into_values().flatten();
                targets.map(move |target| (target, model, *version))
            })
            .filter(|(target, model, version)| is_behind(target, model, *version))
            .count()
    }

    fn has(&self, target: &TargetId, slot: &LoadSlot) -> bool {
        let installed = self.installed.get(target);
        installed.is_some_and(|i| i.versions.contains(&(slot.model.clone(), slot.version)))
    }
}

fn most_loading(targets: usize) -> usize {
    ((targets as f64 * LOADING_SHARE) as usize).max(1)
}

/// Live targets of a model by region.
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
