use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use membership::{LeaseRules, LoadSlot};
use utils::{ModelId, Monotonic, TargetId, WeightVersion};

use crate::ports::{EngineReport, OrderAnswer};
use crate::view::View;
use crate::weights_history::Replacement;
use crate::{DesiredWeights, Target};

/// Age at which a report is queried again while a load is in progress.
const MAX_REPORT_AGE: Duration = Duration::from_millis(300);
/// Time after which an order without a visible effect is sent again.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_millis(1_500);
/// Time without an answer after which an engine no longer counts as loading.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after which an engine whose load slot was given up for its silence is tried again, if no other one waits.
const SILENT_RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// One in this many engines, but at least one, loads weights of a model at a time; the others keep serving it.
const LOADING_DIVISOR: usize = 3;
/// Most engines with a reserved load slot, relative to those that may load at a time. Engines that have not
/// answered an order may carry it out all at once.
const MAX_RESERVED_RATIO: usize = 2;

/// A model that an engine has.
type EngineModel = (TargetId, ModelId);

/// An action for the holder of the lease.
#[derive(Debug, Clone, PartialEq)]
pub enum RolloutAction {
    /// Reserve a load slot.
    Start(LoadSlot),
    /// Release the load slot.
    End(TargetId),
    /// Release the load slot of an engine that has not answered for a long time.
    GiveUp(TargetId),
    /// Query the engine's state.
    Query(Arc<Target>),
    /// Order the engine to load weights.
    Load {
        /// The engine.
        target: Arc<Target>,
        /// Model and version to load.
        weights: DesiredWeights,
        /// Number of orders that the engine must have accepted before this one.
        revision: u64,
    },
}

/// Input of the state machine.
#[derive(Debug, Clone)]
pub enum RolloutInput {
    /// An engine's report.
    Reported(EngineReport),
    /// An engine's answer to an order; `None` if it did not answer.
    Ordered(Option<OrderAnswer>),
    /// The query of an engine's report failed.
    NoReport,
}

/// State of an engine while it loads weights.
#[derive(Debug, Clone, Default)]
struct Progress {
    /// Last report, until the call of an order ends.
    report: Option<EngineReport>,
    /// Time of the last query.
    queried_at: Option<Monotonic>,
    /// Time of the last order.
    ordered_at: Option<Monotonic>,
    /// Whether the last order has got no answer. The engine may carry it out many seconds later.
    is_unanswered: bool,
    /// Time of the first query since the last answer; `None` if none is open.
    silent_since: Option<Monotonic>,
}

impl Progress {
    /// Whether the engine may be loading. An engine that is not busy after an order without an answer serves as
    /// before, and one that does not answer serves nothing.
    fn may_be_loading(&self, now: Monotonic) -> bool {
        let is_idle = self.report.as_ref().is_some_and(|report| !report.is_busy);
        !(self.is_unanswered && is_idle || self.is_silent_for(SILENCE_TIMEOUT, now))
    }

    /// Whether the engine has answered neither a query nor an order for this time.
    fn is_silent_for(&self, time: Duration, now: Monotonic) -> bool {
        let since = self.silent_since.max(self.ordered_at);
        self.silent_since.is_some() && since.is_some_and(|since| now >= since.saturating_add(time))
    }
}

/// Rolls out the declared weights to the engines, a limited number at a time, not counting engines that go on
/// serving after an order without an answer, nor those that do not answer. A state machine without I/O: it compares the
/// engines' reports with the declared weights and repeats orders. A lost or late order is harmless, because each order
/// carries the number of orders that the engine must have accepted before it.
#[derive(Debug)]
pub struct Rollout {
    /// Longest time from an order to its effect.
    max_order_latency: Duration,
    /// Engines with a load in progress.
    progress: BTreeMap<TargetId, Progress>,
    /// Engines whose load slots were given up for their silence, with the time of that.
    silent: BTreeMap<TargetId, Monotonic>,
    /// Versions that engines have reported as loaded before their entries show them.
    loaded: BTreeMap<EngineModel, u64>,
}

/// Weights that an engine lacks.
#[derive(Debug, Clone)]
struct Outdated {
    /// The engine.
    target: Arc<Target>,
    /// Model and version to load.
    weights: DesiredWeights,
    /// Time for which the engine's version has been replaced.
    replaced_for: Duration,
}

impl Outdated {
    fn engine_model(&self) -> EngineModel {
        (self.target.run.clone(), self.weights.model.clone())
    }

    fn is_of(&self, slot: &LoadSlot) -> bool {
        self.target.run == slot.target && self.weights.model == slot.model
    }
}

/// Loads in progress against the number that may be.
#[derive(Debug, Clone, Copy, Default)]
struct LoadCount {
    /// Engines that have the model, for one model; engines and their models, for all.
    engines: usize,
    /// Engines that may be loading.
    loading: usize,
    /// Engines with a load slot.
    reserved: usize,
}

impl LoadCount {
    fn add(&mut self, is_loading: bool) {
        self.loading += usize::from(is_loading);
        self.reserved += 1;
    }

    fn has_room(&self) -> bool {
        let limit = (self.engines / LOADING_DIVISOR).max(1);
        self.loading < limit && self.reserved < MAX_RESERVED_RATIO * limit
    }
}

/// Loads in progress of each model and of all models.
#[derive(Debug, Default)]
struct LoadCounts {
    by_model: BTreeMap<ModelId, LoadCount>,
    total: LoadCount,
}

impl LoadCounts {
    fn new(view: &View) -> Self {
        let mut counts = Self::default();
        let models = view.targets.values().flatten().flat_map(|target| &target.models);
        for (model, _) in models {
            counts.by_model.entry(model.clone()).or_default().engines += 1;
            counts.total.engines += 1;
        }
        counts
    }

    fn add(&mut self, model: &ModelId, is_loading: bool) {
        self.by_model.entry(model.clone()).or_default().add(is_loading);
        self.total.add(is_loading);
    }

    fn has_room(&self, model: &ModelId) -> bool {
        let of_model = self.by_model.get(model);
        of_model.is_none_or(LoadCount::has_room) && self.total.has_room()
    }
}

/// Time after a declaration at which weights that no host has ordered count as overdue, so that every host
/// contends for the lease.
const OVERDUE_AFTER: Duration = Duration::from_secs(4);

/// Returns whether engines still lack weights that were declared a while ago, in which case any host may need
/// to give orders.
///
/// ```
/// use gateway::{View, is_overdue};
///
/// assert!(!is_overdue(&View::default(), std::time::Duration::ZERO));
/// ```
pub fn is_overdue(view: &View, now: Monotonic) -> bool {
    outdated_engines(view, now).iter().any(|outdated| {
        let history = view.weights.get(&outdated.weights.model);
        let age = history.and_then(|history| history.newest_age(now));
        age.is_some_and(|age| age >= OVERDUE_AFTER)
    })
}

impl Default for Rollout {
    fn default() -> Self {
        Self::new(LeaseRules::default().max_order_latency)
    }
}

impl Rollout {
    /// Creates a rollout without loads in progress. An order has its effect within `max_order_latency`, or none.
    pub fn new(max_order_latency: Duration) -> Self {
        Self {
            max_order_latency,
            progress: BTreeMap::new(),
            silent: BTreeMap::new(),
            loaded: BTreeMap::new(),
        }
    }

    /// Forgets the loads that this host followed while it held the lease before: another holder may have given orders since.
    pub fn restart(&mut self) {
        self.progress.clear();
        self.silent.clear();
    }

    /// Records the result of a call to an engine.
    pub fn handle(&mut self, target: &Target, input: RolloutInput) {
        let progress = self.progress.entry(target.run.clone()).or_default();
        match input {
            RolloutInput::Reported(report) => {
                progress.report = Some(report);
                progress.silent_since = None;
                self.silent.remove(&target.run);
            }
            RolloutInput::Ordered(answer) => {
                progress.report = None;
                progress.is_unanswered = answer.is_none();
                if answer.is_some() {
                    progress.silent_since = None;
                }
                if matches!(answer, Some(OrderAnswer::Conflict | OrderAnswer::Rejected(_))) {
                    progress.ordered_at = None;
                }
            }
            RolloutInput::NoReport => {}
        }
    }

    /// Returns the next actions, given the loads reserved in the lease's row.
    pub fn next(&mut self, view: &View, loads: &[LoadSlot], now: Monotonic) -> Vec<RolloutAction> {
        let outdated = self.not_loaded(outdated_engines(view, now));
        self.progress
            .retain(|id, _| loads.iter().any(|slot| slot.target == *id));
        self.silent
            .retain(|id, _| outdated.iter().any(|outdated| outdated.target.run == *id));
        let steps =
            loads.iter().filter_map(
                |slot| match outdated.iter().find(|outdated| outdated.is_of(slot)) {
                    Some(outdated) => self.step(outdated, now),
                    None => Some(RolloutAction::End(slot.target.clone())),
                },
            );
        let mut actions: Vec<_> = steps.collect();
        actions.extend(self.starts(view, outdated, loads, now));
        actions
    }

    /// Returns the outdated engines without those that have reported the weights.
    fn not_loaded(&mut self, mut outdated: Vec<Outdated>) -> Vec<Outdated> {
        let listed: BTreeSet<_> = outdated.iter().map(Outdated::engine_model).collect();
        self.loaded.retain(|loaded, _| listed.contains(loaded));
        outdated.retain(|outdated| {
            let loaded = self.loaded.get(&outdated.engine_model());
            loaded.is_none_or(|version| *version < outdated.weights.version)
        });
        outdated
    }

    /// Returns the loads to reserve a slot for. An engine carries out one order at a time.
    fn starts(
        &self,
        view: &View,
        outdated: Vec<Outdated>,
        loads: &[LoadSlot],
        now: Monotonic,
    ) -> Vec<RolloutAction> {
        if outdated.is_empty() {
            return Vec::new();
        }
        let mut counts = LoadCounts::new(view);
        for slot in loads {
            counts.add(&slot.model, self.may_be_loading(&slot.target, now));
        }
        let mut reserved: BTreeSet<_> = loads.iter().map(|slot| slot.target.clone()).collect();
        // Engines that did not answer come last.
        let is_silent = |outdated: &Outdated| self.silent.contains_key(&outdated.target.run);
        let (silent, answering): (Vec<_>, Vec<_>) = outdated.into_iter().partition(is_silent);
        let silent = silent
            .into_iter()
            .filter(|outdated| self.may_be_tried_again(&outdated.target.run, now));
        let mut starts = Vec::new();
        for Outdated { target, weights, .. } in answering.into_iter().chain(silent) {
            if !counts.has_room(&weights.model) || !reserved.insert(target.run.clone()) {
                continue;
            }
            counts.add(&weights.model, true);
            starts.push(RolloutAction::Start(LoadSlot {
                target: target.run.clone(),
                model: weights.model,
                version: weights.version as WeightVersion,
            }));
        }
        starts
    }

    /// Whether an engine with a load slot may be loading. An engine without progress was ordered by the lease
    /// holder before this one.
    fn may_be_loading(&self, target: &TargetId, now: Monotonic) -> bool {
        let progress = self.progress.get(target);
        progress.is_none_or(|progress| progress.may_be_loading(now))
    }

    fn may_be_tried_again(&self, target: &TargetId, now: Monotonic) -> bool {
        let given_up_at = self.silent.get(target);
        given_up_at.is_none_or(|at| now >= at.saturating_add(SILENT_RETRY_INTERVAL))
    }

    fn step(&mut self, outdated: &Outdated, now: Monotonic) -> Option<RolloutAction> {
        let Outdated { target, weights, .. } = outdated;
        let progress = self.progress.entry(target.run.clone()).or_default();
        // No order of this host or of an earlier holder can have an effect any more.
        if progress.is_silent_for(self.max_order_latency.max(SILENCE_TIMEOUT), now) {
            let run = target.run.clone();
            return Some(match self.silent.insert(run.clone(), now) {
                None => RolloutAction::GiveUp(run),
                // The lease's row still has the slot, or the engine was silent the last time as well.
                Some(_) => RolloutAction::End(run),
            });
        }
        if let Some(report) = &progress.report {
            let loaded = report
                .models
                .iter()
                .any(|(model, version)| *model == weights.model && *version >= weights.version);
            if loaded {
                self.loaded.insert(outdated.engine_model(), weights.version);
                return Some(RolloutAction::End(target.run.clone()));
            }
            let is_order_due = progress
                .ordered_at
                .is_none_or(|at| now >= at + ORDER_RETRY_INTERVAL);
            if !report.is_busy && is_order_due {
                progress.ordered_at = Some(now);
                progress.is_unanswered = false;
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
            progress.silent_since.get_or_insert(now);
            RolloutAction::Query(target.clone())
        })
    }
}

/// Returns the engines whose entry shows older weights of a model than declared, once for each such model. Weights that
/// have been replaced for the longest time come first.
fn outdated_engines(view: &View, now: Monotonic) -> Vec<Outdated> {
    let engines = view.targets.values().flatten();
    let models = engines.flat_map(|target| target.models.iter().map(move |loaded| (target, loaded)));
    let outdated = models.filter_map(|(target, (model, version))| {
        let history = view.weights.get(model)?;
        let replaced_for = match history.replacement(*version, now) {
            Replacement::Current => return None,
            Replacement::Since(age) => age,
            Replacement::SinceUnknown => Duration::MAX,
        };
        let weights = DesiredWeights {
            model: model.clone(),
            version: history.newest(),
        };
        Some(Outdated {
            target: target.clone(),
            weights,
            replaced_for,
        })
    });
    let mut outdated: Vec<_> = outdated.collect();
    outdated.sort_by(|a, b| {
        let by_age = b.replaced_for.cmp(&a.replaced_for);
        by_age.then_with(|| a.target.instance.cmp(&b.target.instance))
    });
    outdated
}
