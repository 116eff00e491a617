use std::collections::{HashMap, HashSet};
use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use arc_swap::ArcSwap;
use http_io::Executor;
use slog::Logger;
use utils::{Clock, Monotonic, ServiceId, TargetId};

use super::pool::TargetSlot;
use crate::kept::KeptCache;
use crate::load::ReportedLoad;
use crate::ports::Heads;
use crate::quarantine::{Crash, Crashes};
use crate::telemetry::Telemetry;
use crate::{HostSettings, RetryShare, Sessions, Target, View};

/// What the traffic thread knows beside the view.
#[derive(Default)]
pub(crate) struct Known {
    /// Connections, load and health by run of a target.
    pub slots: HashMap<TargetId, TargetSlot>,
    /// Budgets of repeats by service.
    pub budgets: HashMap<ServiceId, RetryShare>,
    /// Where sessions were sent.
    pub sessions: Sessions,
    /// Requests that were aboard crashes.
    pub crashes: Crashes,
}

/// When a host that is about to end does what.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Leaving {
    /// From now on it takes only what it can finish.
    pub picky_from: Monotonic,
    /// When it ends.
    pub ends_at: Monotonic,
}

/// Everything that a request's way needs.
pub(crate) struct Traffic {
    /// Settings of the host.
    pub settings: HostSettings,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// What the host believes.
    pub view: ArcSwap<View>,
    /// Reads and writes heads.
    pub heads: Arc<dyn Heads>,
    /// Runs connections.
    pub ex: Executor,
    /// Log.
    pub log: Logger,
    /// Log lines and metrics of requests.
    pub telemetry: Telemetry,
    /// Set once the host is about to end.
    leaving: OnceLock<Leaving>,
    /// Requests under way.
    pub open: AtomicUsize,
    /// Crashes of targets, for the control thread to tell other hosts of.
    pub crashed: async_channel::Sender<Crash>,
    /// What the traffic thread knows.
    known: Mutex<Known>,
    /// What is known of the stores of kept cache.
    kept: Mutex<KeptCache>,
}

impl Traffic {
    pub(crate) fn new(
        settings: HostSettings,
        clock: Arc<dyn Clock>,
        heads: Arc<dyn Heads>,
        ex: Executor,
        log: Logger,
        crashed: async_channel::Sender<Crash>,
    ) -> Self {
        Self {
            settings,
            clock,
            view: ArcSwap::default(),
            heads,
            ex,
            telemetry: Telemetry::new(log.clone()),
            log,
            leaving: OnceLock::new(),
            open: AtomicUsize::new(0),
            crashed,
            known: Mutex::default(),
            kept: Mutex::default(),
        }
    }

    pub(crate) fn now(&self) -> Monotonic {
        self.clock.now()
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.leaving.get().is_some()
    }

    /// The host is about to end. Only the first call counts.
    pub(crate) fn leave(&self, leaving: Leaving) {
        let _ = self.leaving.set(leaving);
    }

    /// Whether a request that may last until a moment can still be taken.
    pub(crate) fn can_finish(&self, until: Monotonic) -> bool {
        let leaving = self.leaving.get();
        leaving.is_none_or(|leaving| self.now() < leaving.picky_from || until < leaving.ends_at)
    }

    /// Whether the balancer should send callers here.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_draining() && self.view.load().is_able()
    }

    pub(crate) fn known(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn kept(&self) -> MutexGuard<'_, KeptCache> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs `f` on what is known of a target.
    pub(crate) fn with_slot<T>(&self, target: &Target, f: impl FnOnce(&mut TargetSlot) -> T) -> T {
        f(self.known().slots.entry(target.run.clone()).or_default())
    }

    /// Takes what an engine has reported at a moment.
    pub(crate) fn note_report(&self, run: &TargetId, load: ReportedLoad, at: Monotonic) {
        let mut known = self.known();
        let slot = known.slots.entry(run.clone()).or_default();
        slot.load.note_report(load, at);
    }

    /// Counts a request of a service.
    pub(crate) fn note_request(&self, service: &ServiceId) {
        let now = self.now();
        self.with_budget(service, |share| share.note_request(now));
    }

    /// Takes one repeat out of a service's budget.
    pub(crate) fn take_repeat(&self, service: &ServiceId) -> bool {
        let now = self.now();
        let hosts = self.view.load().host_count();
        let is_allowed = self.with_budget(service, |share| share.take(hosts, now));
        self.telemetry.repeat(is_allowed);
        is_allowed
    }

    /// Closes old connections and forgets targets that are gone.
    pub(crate) fn clean(&self) {
        let now = self.now();
        let view = self.view.load();
        let listed = view.targets.values().flatten();
        let listed: HashSet<&TargetId> = listed.map(|target| &target.run).collect();
        let mut known = self.known();
        known
            .slots
            .retain(|id, slot| listed.contains(id) || slot.load.own() > 0);
        for slot in known.slots.values_mut() {
            slot.close_old(now);
        }
    }

    fn with_budget<T>(&self, service: &ServiceId, f: impl FnOnce(&mut RetryShare) -> T) -> T {
        let bounds = self.settings.bounds;
        let mut known = self.known();
        let share = known
            .budgets
            .entry(service.clone())
            .or_insert_with(|| RetryShare::new(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window));
        f(share)
    }
}
