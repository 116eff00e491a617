use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use membership::LoadSlot;
use utils::{Monotonic, TargetId, WeightVersion};

use crate::ports::{EngineReport, OrderAnswer};
use crate::view::View;
use crate::{NamedWeights, Target};

/// Age at which a report is asked for again while a load is under way.
const REPORT_AGE: Duration = Duration::from_millis(300);
/// Time after which an order without a visible effect is given again.
const REPEAT_AFTER: Duration = Duration::from_millis(1_500);
/// One engine in this many of a model may load at once; the others serve meanwhile.
const LOADING_PART: usize = 3;

/// What to do next.
#[derive(Debug, Clone, PartialEq)]
pub enum LoadOrder {
    /// Reserve a place among the loads.
    Start(LoadSlot),
    /// Give the place back.
    End(TargetId),
    /// Ask the engine for its state.
    Query(Arc<Target>),
    /// Order the load.
    Load {
        /// The engine.
        target: Arc<Target>,
        /// What to load.
        weights: NamedWeights,
        /// Orders that the engine must have accepted before.
        revision: u64,
    },
}

/// What the machine is told.
#[derive(Debug, Clone)]
pub enum RolloutInput {
    /// An engine's report.
    Reported(EngineReport),
    /// An engine's answer to an order; `None` if there was none.
    Ordered(Option<OrderAnswer>),
    /// No report came.
    Silent,
}

/// What is known of an engine during a load.
#[derive(Debug, Clone, Default)]
struct Progress {
    /// Last report.
    report: Option<EngineReport>,
    /// When it was asked for last.
    asked_at: Option<Monotonic>,
    /// When the last order was sent.
    ordered_at: Option<Monotonic>,
}

/// Brings engines to the weights that were named, a few at a time. A state machine without I/O: it compares what engines
/// report with what was named, and repeats. An order that was lost or comes late does no harm, as each names the number
/// of orders that the engine must have accepted before.
#[derive(Debug, Default)]
pub struct Rollout {
    /// Engines with a load under way.
    progress: BTreeMap<TargetId, Progress>,
    /// Versions that engines have reported; their entries follow later.
    loaded: BTreeMap<TargetId, u64>,
}

/// Time after naming at which weights that no host orders are every host's business.
const OVERDUE_AFTER: Duration = Duration::from_secs(4);

/// Whether weights were named a while ago and engines still lack them, so that any host may have to give orders.
///
/// ```
/// use gateway::{View, is_overdue};
///
/// assert!(!is_overdue(&View::default(), std::time::Duration::ZERO));
/// ```
pub fn is_overdue(view: &View, now: Monotonic) -> bool {
    behind(view).iter().any(|(_, weights)| {
        let named = view
            .weights
            .get(&weights.model)
            .and_then(|named| named.newest_at());
        named.is_some_and(|at| now >= at + OVERDUE_AFTER)
    })
}

impl Rollout {
    /// Takes what an engine said.
    pub fn take(&mut self, target: &Target, input: RolloutInput) {
        let progress = self.progress.entry(target.run.clone()).or_default();
        match input {
            RolloutInput::Reported(report) => progress.report = Some(report),
            RolloutInput::Ordered(answer) => {
                progress.report = None;
                if matches!(answer, Some(OrderAnswer::Conflict | OrderAnswer::Rejected(_))) {
                    progress.ordered_at = None;
                }
            }
            RolloutInput::Silent => {}
        }
    }

    /// What to do next, given the loads that are reserved in the lease's row.
    pub fn next(&mut self, view: &View, loads: &[LoadSlot], now: Monotonic) -> Vec<LoadOrder> {
        let mut orders = Vec::new();
        let mut behind = behind(view);
        self.loaded
            .retain(|id, _| behind.iter().any(|(target, _)| target.run == *id));
        behind.retain(|(target, weights)| {
            let loaded = self.loaded.get(&target.run);
            loaded.is_none_or(|version| *version < weights.version)
        });
        let limit = (engines(view) / LOADING_PART).max(1);
        self.progress
            .retain(|id, _| loads.iter().any(|slot| slot.target == *id));
        for slot in loads {
            let found = behind.iter().find(|(target, _)| target.run == slot.target);
            match found {
                Some((target, weights)) => orders.extend(self.step(target, weights, now)),
                None => orders.push(LoadOrder::End(slot.target.clone())),
            }
        }
        let room = limit.saturating_sub(loads.len());
        let waiting = behind
            .iter()
            .filter(|(target, _)| !loads.iter().any(|slot| slot.target == target.run));
        orders.extend(waiting.take(room).map(|(target, weights)| {
            LoadOrder::Start(LoadSlot {
                target: target.run.clone(),
                model: weights.model.clone(),
                version: weights.version as WeightVersion,
            })
        }));
        orders
    }

    fn step(&mut self, target: &Arc<Target>, weights: &NamedWeights, now: Monotonic) -> Option<LoadOrder> {
        let progress = self.progress.entry(target.run.clone()).or_default();
        if let Some(report) = &progress.report {
            let loaded = report
                .models
                .iter()
                .any(|(model, version)| *model == weights.model && *version >= weights.version);
            if loaded {
                self.loaded.insert(target.run.clone(), weights.version);
                return Some(LoadOrder::End(target.run.clone()));
            }
            let is_due = progress.ordered_at.is_none_or(|at| now >= at + REPEAT_AFTER);
            if !report.is_busy && is_due {
                progress.ordered_at = Some(now);
                return Some(LoadOrder::Load {
                    target: target.clone(),
                    weights: weights.clone(),
                    revision: report.revision,
                });
            }
        }
        let is_old = progress.asked_at.is_none_or(|at| now >= at + REPORT_AGE);
        is_old.then(|| {
            progress.asked_at = Some(now);
            LoadOrder::Query(target.clone())
        })
    }
}

/// Engines whose entry shows older weights than were named.
fn behind(view: &View) -> Vec<(Arc<Target>, NamedWeights)> {
    let mut found = Vec::new();
    for target in view.targets.values().flatten() {
        let late = target.models.iter().find_map(|(model, version)| {
            let named = view.weights.get(model)?;
            (*version < named.newest()).then(|| NamedWeights {
                model: model.clone(),
                version: named.newest(),
            })
        });
        found.extend(late.map(|weights| (target.clone(), weights)));
    }
    found.sort_by(|a, b| a.0.instance.cmp(&b.0.instance));
    found
}

fn engines(view: &View) -> usize {
    let all = view.targets.values().flatten();
    all.filter(|target| !target.models.is_empty()).count()
}
