//! The control thread: follows the store and other hosts, publishes views of the cached state and orders
//! weights.

mod baselines;
mod changes;
mod crashes;
mod declared_times;
mod follow;
mod host_client;
mod kept_updates;
mod limits;
mod list_checks;
mod loads;
mod lost_rows;
mod orders;
mod origin_copies;
mod origins;
mod packed_cache;
mod peers;
mod register;
mod relays;
mod stores;

use std::collections::HashMap;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use errors::events;
use event_listener::Event;
use http_io::{Executor, MemoryAccount, Shutdown};
use packed_cache::PackedCache;
use slog::{info, warn};
use utils::{Incarnation, Monotonic, TargetId};

use crate::confirmations::Confirmations;
use crate::daemon::PlatformPorts;
use crate::load::ReportedLoad;
use crate::ports::{EngineControl, KeptStores, OriginStore, RecordStore, Table, UnusableRecord};
use crate::resources::ShortageLog;
use crate::traffic::{CrashReceivers, Traffic};
use crate::view::View;
use crate::{CachedState, FollowPace};

/// Interval of time-driven updates.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// State of the control thread.
pub(crate) struct Control {
    /// State shared with the traffic thread.
    pub traffic: Arc<Traffic>,
    /// The platform's store.
    pub store: Arc<dyn RecordStore>,
    /// Records of stream origins in the store.
    pub origins: Arc<dyn OriginStore>,
    /// Client of the engines.
    pub engines: Arc<dyn EngineControl>,
    /// Client of the stores of kept cache.
    pub stores: Arc<dyn KeptStores>,
    /// Account of the answers to the calls of this thread.
    pub memory: Arc<MemoryAccount>,
    /// Refusals of that account that have been logged.
    shortages: ShortageLog,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Executor of the control thread's tasks.
    pub ex: Executor,
    /// The host's cached state.
    cached_state: Mutex<CachedState>,
    /// Notified when the newest era of the store that the host knows has risen.
    era_risen: Event,
    /// Notified when the state has changed.
    state_changed: Event,
    /// Last report of each engine that this host polls, with its time.
    reports: Mutex<HashMap<TargetId, (ReportedLoad, Monotonic)>>,
    /// Confirmations of each table by the store itself.
    confirmed: Confirmations,
    /// Latest time for which a relay has shown the state of the store.
    relayed_confirmed_at: Mutex<Option<Monotonic>>,
    /// Time at which a host was last asked that was receiving a large change of the declarations.
    relay_receiving_at: Mutex<Option<Monotonic>>,
    /// Time at which another host was last asked for changes that it gave.
    peer_asked_at: Mutex<Option<Monotonic>>,
    /// Packed values for answers to other hosts.
    packed: Mutex<PackedCache>,
    /// Whether the last answer of another host could not be unpacked.
    has_unpack_failed: AtomicBool,
}

impl Control {
    pub(crate) fn new(
        traffic: Arc<Traffic>,
        ports: PlatformPorts,
        incarnation: Incarnation,
        ex: Executor,
    ) -> Self {
        traffic.telemetry.register_calls(&ports.memory);
        let cached_state = CachedState::new(ports.decode, traffic.settings.bounds.return_grace);
        Self {
            traffic,
            store: ports.store,
            origins: ports.origins,
            engines: ports.engines,
            stores: ports.stores,
            shortages: ShortageLog::new(ports.memory.clone()),
            memory: ports.memory,
            incarnation,
            ex,
            cached_state: Mutex::new(cached_state),
            era_risen: Event::new(),
            state_changed: Event::new(),
            reports: Mutex::default(),
            confirmed: Confirmations::default(),
            relayed_confirmed_at: Mutex::default(),
            relay_receiving_at: Mutex::default(),
            peer_asked_at: Mutex::default(),
            packed: Mutex::default(),
            has_unpack_failed: AtomicBool::new(false),
        }
    }

    /// Runs the control thread's tasks until `stop` resolves, then deregisters the host.
    pub(crate) async fn run(self: Arc<Self>, crashes: CrashReceivers, stop: Shutdown) {
        let tasks = [
            self.ex.spawn(follow::follow(self.clone(), Table::Declared)),
            self.ex.spawn(follow::follow(self.clone(), Table::Targets)),
            self.ex.spawn(follow::follow(self.clone(), Table::Shared)),
            self.ex.spawn(follow::tick(self.clone())),
            self.ex.spawn(declared_times::record_times(self.clone())),
            self.ex.spawn(baselines::write_baselines(self.clone())),
            self.ex.spawn(peers::poll_peers(self.clone())),
            self.ex.spawn(relays::follow_relays(self.clone())),
            self.ex.spawn(register::register(self.clone())),
            self.ex
                .spawn(crashes::report_crashes(self.clone(), crashes.crashed)),
            self.ex
                .spawn(crashes::record_sound_parts(self.clone(), crashes.succeeded)),
            self.ex.spawn(crashes::remove_expired_crashes(self.clone())),
            self.ex.spawn(lost_rows::rewrite_lost_rows(self.clone())),
            self.ex.spawn(register::remove_unreachable_hosts(self.clone())),
            self.ex.spawn(orders::run_orders(self.clone())),
            self.ex.spawn(stores::follow_stores(self.clone())),
            self.ex.spawn(kept_updates::poll_watchers(self.clone())),
            self.ex.spawn(limits::record_limits(self.clone())),
            self.ex.spawn(origin_copies::copy_origins(self.clone())),
            self.ex.spawn(list_checks::answer_list_checks(self.clone())),
            self.ex.spawn(loads::poll_engines(self.clone())),
            self.ex.spawn(loads::poll_reporters(self.clone())),
        ];
        let origins = origins::spawn(&self, self.origins.clone());
        let server = peers::serve(self.clone(), stop.clone());
        server.await;
        for task in tasks.into_iter().chain(origins) {
            task.cancel().await;
        }
        self.traffic.origins.close();
        register::deregister(&self).await;
    }

    /// Logs what has been refused since the last lines, to callers and of the answers to this thread's calls.
    pub(crate) fn log_shortages(&self, now: Monotonic) {
        let log = &self.traffic.log;
        self.traffic.resources.log_shortages(log, now);
        self.shortages.log_new(log, now);
    }

    /// Locks the host's cached state.
    pub(crate) fn cached_state(&self) -> MutexGuard<'_, CachedState> {
        self.cached_state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the reports of the engines that this host polls.
    pub(crate) fn reports(&self) -> MutexGuard<'_, HashMap<TargetId, (ReportedLoad, Monotonic)>> {
        self.reports.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the store itself has answered with the current state of a table, which has been applied.
    pub(crate) fn record_confirmed(&self, table: Table, now: Monotonic) {
        self.confirmed.record(table, now);
        self.traffic.confirmed.record(table, now);
        match table {
            Table::Declared => self.traffic.kept().record_declared(now),
            Table::Shared => self.traffic.confirm_slot_hosts(now),
            Table::Targets | Table::Orders => {}
        }
    }

    /// Returns the time since the store itself confirmed both the declarations and the targets.
    pub(crate) fn confirmed_age(&self, now: Monotonic) -> Option<Duration> {
        let declared = self.confirmed.age(Table::Declared, now)?;
        Some(declared.max(self.confirmed.age(Table::Targets, now)?))
    }

    /// Returns the time since the store itself confirmed the shared table.
    pub(crate) fn shared_age(&self, now: Monotonic) -> Option<Duration> {
        self.confirmed.age(Table::Shared, now)
    }

    /// Returns the pace of the calls that follow a table.
    pub(crate) fn pace(&self, table: Table) -> FollowPace {
        let bounds = &self.traffic.settings.bounds;
        FollowPace::new(match table {
            Table::Targets => bounds.leaving_within,
            Table::Declared | Table::Shared | Table::Orders => bounds.declared_within,
        })
    }

    /// Records a relay's answer to a query sent at `sent_at`, with the state of the store at `confirmed_at`.
    pub(crate) fn record_relayed(&self, confirmed_at: Monotonic, sent_at: Monotonic) {
        self.traffic.kept().record_declared(confirmed_at);
        for table in [Table::Declared, Table::Targets] {
            self.traffic.confirmed.record(table, confirmed_at);
        }
        // A relay gives the age of its state only while the store answers it.
        self.cached_state().store_answered(sent_at);
        let latest = self.relayed_confirmed_at.lock();
        let mut latest = latest.unwrap_or_else(PoisonError::into_inner);
        *latest = (*latest).max(Some(confirmed_at));
    }

    /// Returns the latest time for which a relay has shown the state of the store.
    pub(crate) fn relayed_confirmed_at(&self) -> Option<Monotonic> {
        let latest = self.relayed_confirmed_at.lock();
        *latest.unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a host, asked at `sent_at`, that is receiving a large change of the declarations from the store.
    pub(crate) fn record_relay_receiving(&self, sent_at: Monotonic) {
        let latest = self.relay_receiving_at.lock();
        *latest.unwrap_or_else(PoisonError::into_inner) = Some(sent_at);
    }

    /// Returns the time at which a host was last asked that was receiving a large change of the declarations.
    pub(crate) fn relay_receiving_at(&self) -> Option<Monotonic> {
        *self
            .relay_receiving_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an answer of another host with its changes, which was asked at `sent_at`.
    pub(crate) fn record_peer_answer(&self, sent_at: Monotonic) {
        let latest = self.peer_asked_at.lock();
        *latest.unwrap_or_else(PoisonError::into_inner) = Some(sent_at);
    }

    /// Returns the time since another host was asked for changes that it gave; `None` if none was.
    pub(crate) fn peer_answer_age(&self, now: Monotonic) -> Option<Duration> {
        let latest = self.peer_asked_at.lock();
        let latest = *latest.unwrap_or_else(PoisonError::into_inner);
        latest.map(|asked_at| now.saturating_sub(asked_at))
    }

    /// Applies a change to the cached state, logs unusable rows and publishes the new view. Returns whether the view
    /// has changed.
    pub(crate) fn update(
        &self,
        change: impl FnOnce(&mut CachedState) -> Vec<error_stack::Report<UnusableRecord>>,
    ) -> bool {
        let mut state = self.cached_state();
        let era = state.era();
        for unusable in change(&mut state) {
            warn!(self.traffic.log, "row can not be used"; events::RECORD_UNUSABLE,
                "error" => format!("{unusable:?}"));
        }
        if state.era() > era {
            self.era_risen.notify(usize::MAX);
        }
        // The first read of the store is no restore.
        if state.era() > era && self.traffic.view.load().can_serve() {
            warn!(self.traffic.log, "the store was restored from an older copy"; events::STORE_RESTORED,
                "era" => state.era(), "previous" => era,
                "unconfirmed" => state.unconfirmed_count(), "lost_evacuations" => state.lost_evacuation_count());
        }
        let reports = state.take_cold_reports();
        self.traffic.record_cold_reports(&reports, state.store_clock());
        let limits = state.take_limit_reports();
        self.traffic.record_shared_limits(&limits);
        let Some(view) = state.publish() else { return false };
        self.state_changed.notify(usize::MAX);
        for found in state.take_superseded() {
            warn!(self.traffic.log, "address of a target taken over"; events::ADDRESS_TAKEN_OVER,
                "target" => &*found.run, "successor" => &*found.successor, "service" => &*found.service);
        }
        info!(self.traffic.log, "cached state changed"; events::STATE_CHANGED,
            "declared" => view.declared.as_ref().map_or(0, |d| d.version),
            "declared_age_ms" => self.traffic.declared_age_ms(),
            "targets" => view.targets.values().map(Vec::len).sum::<usize>(),
            "unnamed" => state.unnamed_count(), "hosts" => view.hosts.len());
        self.log_quarantine(&self.traffic.view.load(), &view);
        self.traffic.set_slot_hosts(&view);
        self.log_evacuations(&self.traffic.view.load(), &view);
        self.log_shared_scope(&self.traffic.view.load(), &view);
        self.log_unknown_baselines(&self.traffic.view.load(), &view);
        if let Some(declared) = &view.declared {
            self.traffic.resources.apply(&declared.limits);
        }
        self.traffic.view.store(Arc::new(view));
        true
    }

    /// Waits until the host knows a later era of the store.
    pub(crate) async fn wait_for_era_after(&self, era: u64) {
        loop {
            let risen = self.era_risen.listen();
            if self.cached_state().era() > era {
                return;
            }
            risen.await;
        }
    }

    /// Waits until the host has a table whose changes can be followed.
    pub(crate) async fn wait_for_table(&self, table: Table) {
        loop {
            let changed = self.state_changed.listen();
            if follow::followed_position(&self.cached_state(), table).is_some() {
                return;
            }
            changed.await;
        }
    }

    /// Logs the evacuations that begin or end.
    fn log_evacuations(&self, before: &View, after: &View) {
        let log = &self.traffic.log;
        for domain in after.evacuated.difference(&before.evacuated) {
            warn!(log, "evacuation began"; events::EVACUATION_BEGAN, "domain" => &**domain);
        }
        for domain in before.evacuated.difference(&after.evacuated) {
            info!(log, "evacuation ended"; events::EVACUATION_ENDED, "domain" => &**domain);
        }
    }

    /// Logs a change of the scope of the cache that workspaces share.
    fn log_shared_scope(&self, before: &View, after: &View) {
        let scope = |view: &View| {
            let declared = view.declared.as_ref()?;
            Some(declared.isolated().scope_of(None).text())
        };
        let (before, scope) = (scope(before), scope(after));
        if before.is_some() && before != scope {
            info!(self.traffic.log, "scope of shared cache changed"; events::CACHE_SCOPE_CHANGED,
                "before" => before, "scope" => scope);
        }
    }

    /// Logs the services whose baseline is no longer known.
    fn log_unknown_baselines(&self, before: &View, after: &View) {
        let known = before.software.iter().filter_map(|(service, known)| {
            let baseline = known.baseline.as_ref()?;
            Some((service, baseline))
        });
        for (service, baseline) in known.filter(|(service, _)| after.unrecorded_origin(service).is_none()) {
            let has_others = after.software.get(service).is_some_and(|known| known.has_others);
            warn!(self.traffic.log, "baseline of a service unknown"; events::BASELINE_UNKNOWN,
                "service" => &**service, "software" => &**baseline, "has_others" => has_others);
        }
    }

    /// Logs the prompt parts that enter or leave the quarantine.
    fn log_quarantine(&self, before: &View, after: &View) {
        let log = &self.traffic.log;
        let (before, after) = (before.parts.quarantines(), after.parts.quarantines());
        for (parts, evidence) in after.iter().filter(|(parts, _)| !before.contains_key(*parts)) {
            warn!(log, "prompt parts quarantined"; events::PART_QUARANTINED, "parts" => parts,
                "crashes" => evidence.crashes, "requests" => evidence.requests);
        }
        for parts in before.keys().filter(|parts| !after.contains_key(*parts)) {
            info!(log, "prompt parts released"; events::PART_RELEASED, "parts" => parts);
        }
    }

    /// Records whether a call to the store succeeded, and logs the start and the end of an outage.
    pub(crate) fn record_store_call(&self, is_answered: bool) {
        let log = &self.traffic.log;
        let now = self.traffic.now();
        self.traffic.telemetry.store_call(is_answered);
        if is_answered && self.cached_state().store_answered(now) {
            info!(log, "the store answers again"; events::STORE_BACK);
        }
        if !is_answered && self.cached_state().store_failed() {
            warn!(log, "the store does not answer"; events::STORE_LOST);
        }
    }
}
