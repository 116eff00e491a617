use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use membership::LoadSlot;
use utils::{Monotonic, TargetId, WeightVersion};

use crate::ports::{EngineReport, OrderAnswer};
use crate::view::View;
use crate::{DesiredWeights, Target};

/// Age at which a report is asked for again while a load is under way.
const MAX_REPORT_AGE: Duration = Duration::from_millis(300);
/// Time after which an order without a visible effect is given again.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_millis(1_500);
/// One engine in this many of a model may load at once; the others serve meanwhile.
const LOADING_DIVISOR: usize = 3;

/// What to do next.
#[derive(Debug, Clone, PartialEq)]
pub enum RolloutAction {
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
        weights: DesiredWeights,
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
    NoReport,
}

/// What is known of an engine during a load.
#[derive(Debug, Clone, Default)]
struct Progress {
    /// Last report.
    report: Option<EngineReport>,
    /// When it was asked for last.
    queried_at: Option<Monotonic>,
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
    outdated_engines(view).iter().any(|(_, weights)| {
        let named_at = view
            .weights
            .get(&weights.model)
            .and_then(|history| history.newest_at());
        named_at.is_some_and(|at| now >= at + OVERDUE_AFTER)
    })
}

impl Rollout {
    /// Takes what an engine said.
    pub fn handle(&mut self, target: &Target, input: RolloutInput) {
        let progress = self.progress.entry(target.run.clone()).or_default();
        match input {
            RolloutInput::Reported(report) => progress.report = Some(report),
            RolloutInput::Ordered(answer) => {
                progress.report = None;
                if matches!(answer, Some(OrderAnswer::Conflict | OrderAnswer::Rejected(_))) {
                    progress.ordered_at = None;
                }
            }
            RolloutInput::NoReport => {}
        }
    }

    /// What to do next, given the loads that are reserved in the lease's row.
    pub fn next(&mut self, view: &View, loads: &[LoadSlot], now: Monotonic) -> Vec<RolloutAction> {
        let mut actions = Vec::new();
        let mut outdated = outdated_engines(view);
        self.loaded
            .retain(|id, _| outdated.iter().any(|(target, _)| target.run == *id));
        outdated.retain(|(target, weights)| {
            let loaded = self.loaded.get(&target.run);
            loaded.is_none_or(|version| *version < weights.version)
        });
        let limit = (engine_count(view) / LOADING_DIVISOR).max(1);
        self.progress
            .retain(|id, _| loads.iter().any(|slot| slot.target == *id));
        for slot in loads {
            let found = outdated.iter().find(|(target, _)| target.run == slot.target);
            match found {
                Some((target, weights)) => actions.extend(self.step(target, weights, now)),
                None => actions.push(RolloutAction::End(slot.target.clone())),
            }
        }
        let free_slots = limit.saturating_sub(loads.len());
        let waiting = outdated
            .iter()
            .filter(|(target, _)| !loads.iter().any(|slot| slot.target == target.run));
        actions.extend(waiting.take(free_slots).map(|(target, weights)| {
            RolloutAction::Start(LoadSlot {
                target: target.run.clone(),
                model: weights.model.clone(),
                version: weights.version as WeightVersion,
            })
        }));
        actions
    }

    fn step(
        &mut self,
        target: &Arc<Target>,
        weights: &DesiredWeights,
        now: Monotonic,
    ) -> Option<RolloutAction> {
        let progress = self.progress.entry(target.run.clone()).or_default();
        if let Some(report) = &progress.report {
            let loaded = report
                .models
                .iter()
                .any(|(model, version)| *model == weights.model && *version >= weights.version);
            if loaded {
                self.loaded.insert(target.run.clone(), weights.version);
                return Some(RolloutAction::End(target.run.clone()));
            }
            let is_order_due = progress
                .ordered_at
                .is_none_or(|at| now >= at + ORDER_RETRY_INTERVAL);
            if !report.is_busy && is_order_due {
                progress.ordered_at = Some(now);
                return Some(RolloutAction::Load {
                    target: target.clone(),
                    weights: weights.clone(),
                    revision: report.revision,
                });
            }
        }
        let is_query_due = progress.queried_at.is_none_or(|at| now >= at + MAX_REPORT_AGE);
        is_query_due.then(|| {
            progress.queried_at = Some(now);
            RolloutAction::Query(target.clone())
        })
    }
}

/// Engines whose entry shows older weights than were named.
fn outdated_engines(view: &View) -> Vec<(Arc<Target>, DesiredWeights)> {
    let mut found = Vec::new();
    for target in view.targets.values().flatten() {
        let outdated = target.models.iter().find_map(|(model, version)| {
            let history = view.weights.get(model)?;
            (*version < history.newest()).then(|| DesiredWeights {
                model: model.clone(),
                version: history.newest(),
            })
        });
        found.extend(outdated.map(|weights| (target.clone(), weights)));
    }
    found.sort_by(|a, b| a.0.instance.cmp(&b.0.instance));
    found
}

fn engine_count(view: &View) -> usize {
    let all = view.targets.values().flatten();
    all.filter(|target| !target.models.is_empty()).count()
}
