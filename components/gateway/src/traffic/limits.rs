//! The limits that targets have named, on the traffic thread.

use std::collections::HashSet;

use utils::{Monotonic, ServiceId, TargetId};

use super::place::Placed;
use super::state::{RoutingState, Traffic};
use crate::{LimitPermit, LimitRecord, NamedLimit, SlotTime, Target, View};

/// Hosts that record a limit as soon as they know of it.
const RECORD_OWNERS: usize = 3;

/// Returns the targets of a service with a limit to which this host may not send at this moment, sorted.
pub(super) fn limit_used(
    view: &View,
    routing: &mut RoutingState,
    service: &ServiceId,
    now: Monotonic,
) -> Vec<TargetId> {
    if routing.limits.is_empty() {
        return Vec::new();
    }
    let time = slot_time(routing, now);
    let RoutingState { limits, cold, .. } = routing;
    let targets = view.targets_of(service).iter();
    let used = targets.filter(|target| !limits.has_quota(&target.run, &target.instance, &cold.hosts, time));
    let mut used: Vec<_> = used.map(|target| target.run.clone()).collect();
    used.sort_unstable();
    used
}

/// Takes the permission to send one request to a target; `None` if its limit leaves this host none at this moment.
pub(super) fn take_limit_permit(
    routing: &mut RoutingState,
    target: &Target,
    now: Monotonic,
) -> Option<LimitPermit> {
    let time = slot_time(routing, now);
    let RoutingState { limits, cold, .. } = routing;
    limits.take(&target.run, &target.instance, &cold.hosts, time)
}

fn slot_time(routing: &RoutingState, now: Monotonic) -> SlotTime {
    SlotTime {
        store: routing.cold.store_time(now),
        now,
    }
}

impl Traffic {
    /// Whether a request may be sent by the permission of its placement, or by another one that is free now. Called right
    /// before the send: the host may have been suspended, or the target have named a limit meanwhile.
    pub(super) fn may_use_limit_permit(&self, placed: &Placed) -> bool {
        let (now, target) = (self.now(), &placed.target);
        let mut routing = self.routing();
        if !routing.limits.is_limited(&target.run) {
            return true;
        }
        let time = slot_time(&routing, now);
        let RoutingState { limits, cold, .. } = &mut *routing;
        let (run, instance) = (&target.run, &target.instance);
        let is_allowed = limits.is_valid(placed.limit_permit, run, instance, &cold.hosts, time)
            || limits.take(run, instance, &cold.hosts, time).is_some();
        drop(routing);
        self.telemetry.limited_send(is_allowed);
        is_allowed
    }

    /// Records the limit that an answer names, or that it names none, and logs a change.
    pub(super) fn record_limit(
        &self,
        id: &str,
        target: &Target,
        named: Option<NamedLimit>,
        sent_at: Monotonic,
    ) {
        let now = self.now();
        let mut routing = self.routing();
        if named.is_none() && !routing.limits.is_limited(&target.run) {
            return;
        }
        let time = slot_time(&routing, now);
        let change = routing.limits.record_answer(&target.run, named, sent_at, time);
        drop(routing);
        self.telemetry.limit(id, &target.instance, named, change);
    }

    /// Records limits that hosts have recorded in the shared table; `None` for a removed record.
    pub(crate) fn record_shared_limits(&self, changed: &[(TargetId, Option<f64>)]) {
        let now = self.now();
        for (run, per_second) in changed {
            let mut routing = self.routing();
            let time = slot_time(&routing, now);
            routing.limits.record_shared(run, *per_second, time);
        }
    }

    /// Returns the changes of the records of limits that follow from the answers to this host.
    pub(crate) fn limit_record_changes(&self) -> Vec<LimitRecord> {
        if self.routing().limits.is_unused() {
            return Vec::new();
        }
        let (now, view) = (self.now(), self.view.load());
        let listed = view.targets.values().flatten();
        let listed: HashSet<&TargetId> = listed.map(|target| &target.run).collect();
        let is_owner = |run: &TargetId| {
            let duty = format!("limit/{run}");
            view.owns(duty.as_bytes(), &self.settings.name, RECORD_OWNERS)
        };
        self.routing().limits.record_changes(is_owner, &listed, now)
    }

    /// Returns whether a target has named a limit that has not ended.
    pub(crate) fn is_limited(&self, run: &TargetId) -> bool {
        self.routing().limits.is_limited(run)
    }
}
