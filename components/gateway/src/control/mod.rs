//! The control thread: follows the store and other hosts, publishes what the host believes, and orders weights.

mod follow;
mod kept_updates;
mod loads;
mod orders;
mod peers;
mod register;
mod stores;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use errors::events;
use http_io::{Executor, Shutdown};
use slog::{info, warn};
use utils::{Incarnation, Monotonic, TargetId};

use crate::CachedState;
use crate::daemon::PlatformPorts;
use crate::load::ReportedLoad;
use crate::ports::{EngineControl, KeptStores, RecordStore, Table, UnusableRecord};
use crate::quarantine::Crash;
use crate::traffic::Traffic;

/// Pause between looks at what only time changes.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// The control thread's state.
pub(crate) struct Control {
    /// Shared with the traffic thread.
    pub traffic: Arc<Traffic>,
    /// The platform's store.
    pub store: Arc<dyn RecordStore>,
    /// Engines.
    pub engines: Arc<dyn EngineControl>,
    /// Stores of kept cache.
    pub stores: Arc<dyn KeptStores>,
    /// Run of this process.
    pub incarnation: Incarnation,
    /// Runs the control thread's tasks.
    pub ex: Executor,
    /// What the host believes.
    cached_state: Mutex<CachedState>,
    /// What the engines that this host asks have reported, and when.
    reports: Mutex<HashMap<TargetId, (ReportedLoad, Monotonic)>>,
}

impl Control {
    pub(crate) fn new(
        traffic: Arc<Traffic>,
        ports: PlatformPorts,
        incarnation: Incarnation,
        ex: Executor,
    ) -> Self {
        let cached_state = CachedState::new(ports.decode, traffic.settings.bounds.return_grace);
        Self {
            traffic,
            store: ports.store,
            engines: ports.engines,
            stores: ports.stores,
            incarnation,
            ex,
            cached_state: Mutex::new(cached_state),
            reports: Mutex::default(),
        }
    }

    /// Runs until `stop` resolves.
    pub(crate) async fn run(self: Arc<Self>, crashed: async_channel::Receiver<Crash>, stop: Shutdown) {
        let tasks = [
            self.ex.spawn(follow::follow(self.clone(), Table::Declared)),
            self.ex.spawn(follow::follow(self.clone(), Table::Targets)),
            self.ex.spawn(follow::follow(self.clone(), Table::Shared)),
            self.ex.spawn(follow::tick(self.clone())),
            self.ex.spawn(peers::poll_peers(self.clone())),
            self.ex.spawn(register::register(self.clone())),
            self.ex.spawn(register::report_crashes(self.clone(), crashed)),
            self.ex.spawn(register::remove_expired_crashes(self.clone())),
            self.ex.spawn(register::remove_unreachable_hosts(self.clone())),
            self.ex.spawn(orders::run_orders(self.clone())),
            self.ex.spawn(stores::follow_stores(self.clone())),
            self.ex.spawn(kept_updates::poll_watchers(self.clone())),
            self.ex.spawn(loads::poll_engines(self.clone())),
            self.ex.spawn(loads::poll_reporters(self.clone())),
        ];
        let server = peers::serve(self.clone(), stop.clone());
        server.await;
        for task in tasks {
            task.cancel().await;
        }
        register::deregister(&self).await;
    }

    /// What the host believes.
    pub(crate) fn cached_state(&self) -> MutexGuard<'_, CachedState> {
        self.cached_state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What the engines that this host asks have reported.
    pub(crate) fn reports(&self) -> MutexGuard<'_, HashMap<TargetId, (ReportedLoad, Monotonic)>> {
        self.reports.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes what the host believes and publishes it.
    pub(crate) fn update(
        &self,
        change: impl FnOnce(&mut CachedState) -> Vec<error_stack::Report<UnusableRecord>>,
    ) {
        let mut state = self.cached_state();
        for unusable in change(&mut state) {
            warn!(self.traffic.log, "unusable row"; events::RECORD_UNUSABLE, "error" => format!("{unusable:?}"));
        }
        let Some(view) = state.publish() else { return };
        info!(self.traffic.log, "beliefs changed"; events::BELIEFS_CHANGED,
            "declared" => view.declared.as_ref().map_or(0, |d| d.version),
            "targets" => view.targets.values().map(Vec::len).sum::<usize>(),
            "hosts" => view.hosts.len());
        self.traffic.view.store(Arc::new(view));
    }

    /// A call to the store was answered, or failed.
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
