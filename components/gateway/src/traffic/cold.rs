//! The quota of sends to cold targets on the traffic thread.

use std::collections::HashSet;

use errors::events;
use slog::info;
use utils::{HostId, Monotonic, ServiceId, TargetId};

use super::place::Placed;
use super::state::{RoutingState, Traffic};
use crate::cold::{ColdLimit, ColdPermit, ColdReport, ColdRules};
use crate::{StoreClock, Target, View};

/// Most names in a log line.
const MAX_LOGGED_NAMES: usize = 8;

impl Traffic {
    /// Returns the rules for the cold targets of a service; `None` if it has none, or the deployment has no bound.
    fn cold_rules(&self, view: &View, service: &ServiceId) -> Option<ColdRules> {
        let bound = self.settings.bounds.cold.as_ref()?;
        Some(ColdRules::new(cold_limit(view, service)?, bound))
    }

    /// Returns the cold targets of a service to which this host may not send at this moment, sorted.
    pub(super) fn cold_quota_used(
        &self,
        view: &View,
        routing: &mut RoutingState,
        service: &ServiceId,
        now: Monotonic,
    ) -> Vec<TargetId> {
        let Some(rules) = self.cold_rules(view, service) else {
            return Vec::new();
        };
        let targets = view.targets_of(service).iter();
        let used = targets.filter(|target| !routing.cold.has_quota(&target.instance, &rules, now));
        let mut used: Vec<_> = used.map(|target| target.run.clone()).collect();
        used.sort_unstable();
        used
    }

    /// Takes the permission to send one request to a target; `None` if this host may not send to it at this moment.
    pub(super) fn take_cold_permit(
        &self,
        view: &View,
        routing: &mut RoutingState,
        target: &Target,
        now: Monotonic,
    ) -> Option<ColdPermit> {
        let Some(rules) = self.cold_rules(view, &target.service) else {
            return Some(ColdPermit::Warm);
        };
        routing.cold.take(&target.instance, &rules, now)
    }

    /// Whether a request may be sent by the permission of its placement, or by another one that is free now. Called right
    /// before the send: the host may have been suspended, or the target become cold.
    pub(super) fn may_use_permit(&self, placed: &Placed) -> bool {
        let (view, now) = (self.view.load(), self.now());
        let target = &placed.target;
        let Some(rules) = self.cold_rules(&view, &target.service) else {
            return true;
        };
        let cold = &mut self.routing().cold;
        let is_valid = cold.is_valid(placed.permit, &target.instance, &rules, now);
        let permit = match is_valid {
            true => Some(placed.permit),
            false => cold.take(&target.instance, &rules, now),
        };
        if !matches!(permit, Some(ColdPermit::Warm)) {
            self.telemetry.cold_send(permit.is_some());
        }
        permit.is_some()
    }

    /// Records that a target was unreachable or broke a connection. It may have restarted, and is then cold.
    pub(crate) fn record_cold_failure(&self, target: &Target, now: Monotonic) {
        if self.settings.bounds.cold.is_some() {
            self.routing().cold.record_failure(&target.instance, now);
        }
    }

    /// Records what rows of the store say of the coldness of targets, and the difference between the clocks.
    pub(crate) fn record_cold_reports(&self, reports: &[ColdReport], store_clock: StoreClock) {
        let now = self.now();
        let cold = &mut self.routing().cold;
        // The slots under limits that targets name hang on it as well.
        cold.set_store_clock(store_clock);
        if self.settings.bounds.cold.is_none() {
            return;
        }
        for report in reports {
            cold.record(report, now);
        }
    }

    /// Whether the deployment bounds sends to cold targets and these targets are all cold.
    pub(crate) fn are_cold(&self, instances: &[String]) -> bool {
        if self.settings.bounds.cold.is_none() {
            return false;
        }
        let view = self.view.load();
        let instances = instances.iter().map(String::as_str);
        let cold = &self.routing().cold;
        cold.are_cold(instances, |service| cold_limit(&view, service), self.now())
    }

    /// Sets the hosts that share the quota; none before the list has been read in full.
    pub(crate) fn set_slot_hosts(&self, view: &View) {
        let listed = view.hosts.keys().filter(|_| view.has_read_hosts);
        let listed: Vec<&HostId> = listed.collect();
        self.routing().cold.hosts.update(listed.into_iter(), self.now());
    }

    /// Records that the list of hosts was current at a time.
    pub(crate) fn confirm_slot_hosts(&self, at: Monotonic) {
        self.routing().cold.hosts.confirm(at);
    }

    /// Records lost connections, forgets targets that are gone, and logs which have become cold or warm.
    pub(super) fn update_cold(&self, view: &View, now: Monotonic) {
        if self.settings.bounds.cold.is_none() {
            return;
        }
        let listed = || view.targets.values().flatten();
        let mut routing = self.routing();
        let RoutingState { slots, cold, .. } = &mut *routing;
        for target in listed() {
            if slots
                .get_mut(&target.run)
                .is_some_and(|slot| slot.take_lost_idle())
            {
                cold.record_failure(&target.instance, now);
            }
        }
        let names: HashSet<&str> = listed().map(|target| &*target.instance).collect();
        cold.remove_stale(&names, now);
        let changes = cold.collect_changes(|service| cold_limit(view, service), now);
        drop(routing);
        self.telemetry.record_cold_targets(changes.total);
        let joined = |names: &[String]| names[..names.len().min(MAX_LOGGED_NAMES)].join(",");
        if !changes.cold.is_empty() {
            info!(self.log, "targets have become cold"; events::TARGETS_COLD, "count" => changes.cold.len(),
                "targets" => joined(&changes.cold), "cold" => changes.total);
        }
        if !changes.warm.is_empty() {
            info!(self.log, "targets have become warm"; events::TARGETS_WARM, "count" => changes.warm.len(),
                "targets" => joined(&changes.warm), "cold" => changes.total);
        }
    }
}

fn cold_limit(view: &View, service: &ServiceId) -> Option<ColdLimit> {
    view.declared.as_ref()?.service(service)?.cold
}
