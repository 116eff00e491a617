use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use futures_lite::FutureExt;
use http_io::{Executor, Shutdown};
use slog::Logger;
use utils::{Clock, Monotonic, ServiceId, TargetId};

use super::connect::CallNumber;
use super::crashes::CrashSenders;
use super::exclusion::PlacementRules;
use super::list_checks::ListChecks;
use super::origin_record::unrecordable_rule;
use super::origins::Origins;
use super::pool::TargetSlot;
use super::request::Call;
use crate::cold::ColdTargets;
use crate::confirmations::Confirmations;
use crate::kept::KeptCache;
use crate::load::ReportedLoad;
use crate::ports::{Heads, Table};
use crate::quarantine::Crashes;
use crate::resources::Resources;
use crate::suspects::{PartFingerprint, PartSuccesses, PartTrials};
use crate::telemetry::Telemetry;
use crate::{
    Admission, Announcements, DrainSchedule, HostSettings, OldWeightsPolicy, Pace, RetryBudget, RunTimes,
    Sessions, Target, TargetLimits, View,
};

/// Mutable routing state of the traffic thread.
pub(crate) struct RoutingState {
    /// Connections, load and health by run of a target.
    pub slots: HashMap<TargetId, TargetSlot>,
    /// Retry budgets by service.
    pub budgets: HashMap<ServiceId, RetryBudget>,
    /// Targets that sessions were last sent to.
    pub sessions: Sessions,
    /// Requests that were in flight at crashes of targets.
    pub crashes: Crashes,
    /// Prompt parts with which targets have answered requests.
    pub part_successes: PartSuccesses,
    /// Requests sent to clear quarantined parts.
    pub part_trials: PartTrials,
    /// What targets have said of themselves.
    pub announcements: Announcements,
    /// Which targets are cold, and this host's quota of sends to them.
    pub cold: ColdTargets,
    /// Limits that targets have named, and this host's share of them.
    pub limits: TargetLimits,
    /// Learned times to the first token by service.
    pub paces: HashMap<ServiceId, Pace>,
    /// Recent times of complete answers by service.
    pub run_times: HashMap<ServiceId, RunTimes>,
}

impl RoutingState {
    fn new(settings: &HostSettings) -> Self {
        Self {
            slots: HashMap::new(),
            budgets: HashMap::new(),
            sessions: Sessions::default(),
            crashes: Crashes::default(),
            part_successes: PartSuccesses::default(),
            part_trials: PartTrials::default(),
            announcements: Announcements::default(),
            cold: ColdTargets::new(settings.name.clone()),
            limits: TargetLimits::default(),
            paces: HashMap::new(),
            run_times: HashMap::new(),
        }
    }
}

/// State that the stages of a request share.
pub(crate) struct Traffic {
    /// Settings of the host.
    pub settings: HostSettings,
    /// Memory and connections of the host.
    pub resources: Resources,
    /// Source of the time.
    pub clock: Arc<dyn Clock>,
    /// The host's view of declarations and targets.
    pub view: ArcSwap<View>,
    /// Reads and writes the heads of requests and answers.
    pub heads: Arc<dyn Heads>,
    /// Runs connections.
    pub ex: Executor,
    /// The log.
    pub log: Logger,
    /// Log lines and metrics of requests.
    pub telemetry: Telemetry,
    /// Set when a graceful shutdown starts.
    drain: OnceLock<DrainSchedule>,
    /// Resolves when requests whose answers have not begun must be answered at once.
    last_answers: Shutdown,
    /// Requests in flight.
    pub in_flight: AtomicUsize,
    /// Number of the last request.
    last_call: AtomicU64,
    /// Sends crashes of targets to the control thread, which reports them to other hosts.
    pub crashes: CrashSenders,
    /// Records of the software versions that began streams.
    pub origins: Origins,
    /// Connections, budgets, sessions and crashes.
    routing: Mutex<RoutingState>,
    /// Directories of the stores of kept cache.
    kept: Mutex<KeptCache>,
    /// Admission of prompts by service.
    admissions: Mutex<HashMap<ServiceId, Admission>>,
    /// Confirmations of tables by the store, a relay or another host.
    pub confirmed: Confirmations,
    /// Checks of the list of targets.
    pub list_checks: ListChecks,
}

impl Traffic {
    pub(crate) fn new(
        settings: HostSettings,
        clock: Arc<dyn Clock>,
        heads: Arc<dyn Heads>,
        ex: Executor,
        log: Logger,
        crashes: CrashSenders,
        last_answers: Shutdown,
    ) -> Self {
        let resources = Resources::new(&settings);
        let telemetry = Telemetry::new(log.clone(), &resources.memory);
        Self {
            origins: Origins::new(clock.clone(), telemetry.origins.clone()),
            telemetry,
            resources,
            routing: Mutex::new(RoutingState::new(&settings)),
            settings,
            clock,
            view: ArcSwap::default(),
            heads,
            ex,
            log,
            drain: OnceLock::new(),
            last_answers,
            in_flight: AtomicUsize::new(0),
            last_call: AtomicU64::new(0),
            crashes,
            kept: Mutex::default(),
            admissions: Mutex::default(),
            confirmed: Confirmations::default(),
            list_checks: ListChecks::new(),
        }
    }

    pub(crate) fn now(&self) -> Monotonic {
        self.clock.now()
    }

    /// Returns the number of a new request.
    pub(crate) fn next_call(&self) -> CallNumber {
        self.last_call.fetch_add(1, Ordering::Relaxed)
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.drain.get().is_some()
    }

    /// Starts a graceful shutdown. Only the first call has an effect.
    pub(crate) fn begin_drain(&self, drain: DrainSchedule) {
        let _ = self.drain.set(drain);
    }

    /// Returns the time by which the answer must begin if the request is sent now; `None` if this host may end before
    /// the request would be answered, so that it must not be sent. `tokens` is the most output tokens, if known.
    pub(crate) fn begin_by(
        &self,
        service: &ServiceId,
        tokens: Option<u32>,
        deadline: Monotonic,
    ) -> Option<Monotonic> {
        let Some(drain) = self.drain.get() else {
            return Some(deadline);
        };
        let now = self.now();
        let bound = tokens.and_then(|tokens| {
            let routing = self.routing();
            routing.run_times.get(service)?.bound(tokens, now)
        });
        drain.begin_by(deadline, bound, now)
    }

    /// Records the times of a complete answer of up to `tokens` output tokens.
    pub(crate) fn record_run(&self, service: &ServiceId, tokens: u32, first_byte: Duration, rest: Duration) {
        let now = self.now();
        let mut routing = self.routing();
        let times = routing.run_times.entry(service.clone()).or_default();
        times.record(first_byte, rest, tokens, now);
    }

    /// Runs `work` until the host gives its last answers; `None` if it has not ended by then.
    pub(crate) async fn before_last_answers<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        let ending = async {
            // The sender is dropped when the drain ends.
            let _ = self.last_answers.recv().await;
            None
        };
        async { Some(work.await) }.or(ending).await
    }

    /// Whether the load balancer should send requests to this host.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_draining() && self.view.load().can_serve()
    }

    pub(crate) fn routing(&self) -> MutexGuard<'_, RoutingState> {
        self.routing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn kept(&self) -> MutexGuard<'_, KeptCache> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn admissions(&self) -> MutexGuard<'_, HashMap<ServiceId, Admission>> {
        self.admissions.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the declarations are known to be those that must be in force by now.
    pub(crate) fn has_current_declarations(&self) -> bool {
        let age = self.confirmed.age(Table::Declared, self.now());
        age.is_some_and(|age| age <= self.settings.bounds.declared_within)
    }

    /// Returns the time since the declarations were last known to be current, in milliseconds, for log lines.
    pub(crate) fn declared_age_ms(&self) -> Option<u64> {
        let age = self.confirmed.age(Table::Declared, self.now())?;
        Some(u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
    }

    /// Calls `f` with the state of a target.
    pub(crate) fn with_slot<T>(&self, target: &Target, f: impl FnOnce(&mut TargetSlot) -> T) -> T {
        f(self.routing().slots.entry(target.run.clone()).or_default())
    }

    /// Closes one idle connection to each target, to release its memory.
    pub(crate) fn close_oldest_idle(&self) {
        let mut routing = self.routing();
        routing.slots.values_mut().for_each(TargetSlot::close_oldest_idle);
    }

    /// Records the load that an engine reported at time `at`.
    pub(crate) fn record_report(&self, run: &TargetId, load: ReportedLoad, at: Monotonic) {
        let mut routing = self.routing();
        let slot = routing.slots.entry(run.clone()).or_default();
        slot.load.record_report(load, at);
    }

    /// Returns the rules for the targets of a request, by the newest declarations.
    pub(crate) fn placement_rules<'a>(
        &'a self,
        view: &'a View,
        announcements: &'a Announcements,
        call: &'a Call,
        tried: &'a [TargetId],
    ) -> PlacementRules<'a> {
        PlacementRules {
            regions: &self.settings.regions,
            allowed: call.allowed_regions(view.declared.as_deref()),
            evacuated: &view.evacuated,
            software: call
                .software
                .as_deref()
                .or_else(|| unrecordable_rule(self, view, call)),
            announcements,
            tried,
            cold_quota_used: &[],
            limit_used: &[],
            now: self.now(),
        }
    }

    /// Whether a request may be sent to a target: it is listed at the place where it was chosen, and not excluded. Asked
    /// again right before each send, as either can change while a connection is opened. The caller checks the target's
    /// weights.
    pub(crate) fn may_send(&self, call: &Call, target: &Target) -> bool {
        let view = self.view.load();
        let routing = self.routing();
        let rules = self.placement_rules(&view, &routing.announcements, call, &[]);
        let exclusion = |listed: &Arc<Target>| rules.exclusion(listed, OldWeightsPolicy::Allowed);
        view.listed(target)
            .is_some_and(|listed| listed.is_at_place_of(target) && exclusion(listed).is_none())
    }

    /// Takes a trial of a quarantined part that a request with these parts could clear, if this host makes the trials of
    /// the part and one is left.
    pub(crate) fn take_part_trial(&self, parts: &[PartFingerprint]) -> bool {
        let view = self.view.load();
        let Some(part) = view.parts.trial_part(parts) else {
            return false;
        };
        let duty = format!("trial/{}", part.text());
        view.owns(duty.as_bytes(), &self.settings.name, 1)
            && self.routing().part_trials.try_take(part, self.now())
    }

    /// Counts a request in the service's retry budget.
    pub(crate) fn record_request(&self, service: &ServiceId) {
        let now = self.now();
        self.with_budget(service, |budget| budget.record_request(now));
    }

    /// Takes a retry from a service's budget; returns whether one was left.
    pub(crate) fn take_retry(&self, service: &ServiceId) -> bool {
        let now = self.now();
        let window = self.settings.bounds.retry_window;
        let share = self.routing().cold.hosts.slack_share(window, now);
        let is_allowed = self.with_budget(service, |budget| budget.try_take(share, now));
        self.telemetry.retry(is_allowed);
        is_allowed
    }

    /// Closes expired connections and removes the state of targets that are gone.
    pub(crate) fn remove_stale(&self) {
        let now = self.now();
        let view = self.view.load();
        self.admissions()
            .retain(|service, _| view.targets.contains_key(service));
        let listed = view.targets.values().flatten();
        let listed: HashSet<&TargetId> = listed.map(|target| &target.run).collect();
        let mut routing = self.routing();
        routing
            .slots
            .retain(|id, slot| listed.contains(id) || slot.load.own_requests() > 0);
        routing.announcements.remove_stale(&listed, now);
        routing.limits.remove_stale(&listed);
        self.telemetry.record_limited_targets(routing.limits.len());
        routing.cold.hosts.expire(now);
        for slot in routing.slots.values_mut() {
            slot.close_expired(now);
        }
        drop(routing);
        self.update_cold(&view, now);
    }

    fn with_budget<T>(&self, service: &ServiceId, f: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let bounds = self.settings.bounds;
        let mut routing = self.routing();
        let budget = routing
            .budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window));
        f(budget)
    }
}
