use std::collections::{HashMap, HashSet};
use std::time::Duration;

use utils::{Monotonic, ServiceId, TargetId};

use super::{ColdLimit, ColdRules};
use crate::{SlotHosts, SlotQuota, SlotSchedule, StoreClock, Target};

/// Time after a failure in which an entry may arrive that was written before it: the pause of a relay, the interval
/// between queries to it and the age of a relay's state.
const ENTRY_DELAY: Duration = Duration::from_secs(3);
/// Time for which a target that is not listed is remembered.
const RETENTION: Duration = Duration::from_secs(120);

/// What the entry of a target says of its coldness.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ColdEntry {
    /// Name of the instance.
    pub instance: String,
    /// Run of the target.
    pub run: TargetId,
    /// Service of the target.
    pub service: ServiceId,
    /// Time for which the target remains cold; `None` if the entry does not say.
    pub remaining: Option<Duration>,
}

impl ColdEntry {
    /// Returns what an entry says that gives the time for which its target remains cold.
    pub fn of(target: &Target, remaining: Option<Duration>) -> Self {
        Self {
            instance: target.instance.clone(),
            run: target.run.clone(),
            service: target.service.clone(),
            remaining,
        }
    }
}

/// What a row of the store says of the coldness of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ColdReport {
    /// Its entry.
    Entry(ColdEntry),
    /// The entry of this instance is gone.
    Gone(String),
}

/// Permission to send one request to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdPermit {
    /// The target is not cold.
    Warm,
    /// The target is cold; the request uses this slot.
    Slot(u64),
}

/// Targets that have become cold or warm.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ColdChanges {
    /// Targets that have become cold.
    pub cold: Vec<String>,
    /// Targets that have become warm.
    pub warm: Vec<String>,
    /// Number of cold targets.
    pub total: usize,
}

/// What is known of one target.
#[derive(Debug, Clone)]
struct TargetState {
    /// Run that the rest is about; `None` before the first entry.
    run: Option<TargetId>,
    /// Service of the target.
    service: ServiceId,
    /// Time since which the run is known.
    known_since: Monotonic,
    /// Time until which the run is cold by its entries; `None` if none has said.
    reported_until: Option<Monotonic>,
    /// Time of the last failure that no entry has refuted.
    failed_at: Option<Monotonic>,
    /// Time of the last entry or failure.
    touched_at: Monotonic,
    /// Whether the target was cold when changes were last collected.
    was_cold: bool,
    /// This host's slots.
    quota: SlotQuota,
}

impl TargetState {
    fn new(now: Monotonic) -> Self {
        Self {
            run: None,
            service: ServiceId::from(""),
            known_since: now,
            reported_until: None,
            failed_at: None,
            touched_at: now,
            was_cold: false,
            quota: SlotQuota::default(),
        }
    }

    /// Returns the time until which the target is cold, by its entries or presumed.
    fn cold_until(&self, limit: &ColdLimit) -> Monotonic {
        let presumed_from = |at: Monotonic| at.saturating_add(limit.duration);
        let reported = self.reported_until.unwrap_or(presumed_from(self.known_since));
        reported.max(self.failed_at.map_or(Monotonic::ZERO, presumed_from))
    }

    fn apply_entry(&mut self, entry: &ColdEntry, now: Monotonic) {
        self.touched_at = now;
        self.service = entry.service.clone();
        let until = entry.remaining.map(|remaining| now.saturating_add(remaining));
        if self.run.as_ref() != Some(&entry.run) {
            self.run = Some(entry.run.clone());
            self.known_since = now;
            self.reported_until = until;
            self.failed_at = None;
            return;
        }
        match self.failed_at {
            // The entry may have been written before the failure: it can only make the target colder.
            Some(at) if now < at.saturating_add(ENTRY_DELAY) => {
                self.reported_until = self.reported_until.max(until);
            }
            _ if until.is_some() => {
                self.reported_until = until;
                self.failed_at = None;
            }
            _ => {}
        }
    }
}

/// Which targets are cold, and this host's quota of sends to them. Without I/O; all times are arguments.
///
/// ```
/// use std::time::Duration;
/// use gateway::{ColdBound, ColdEntry, ColdLimit, ColdPermit, ColdRules, ColdTargets};
///
/// let mut targets = ColdTargets::new("h1".into());
/// let limit = ColdLimit { duration: Duration::from_secs(8), per_second: 16.0 };
/// let rules = ColdRules::new(limit, &ColdBound { overrun: 1.5, slack: 5.0 });
/// let entry = |remaining| ColdEntry {
///     instance: "t1".to_owned(),
///     run: "t1/1".into(),
///     service: "s".into(),
///     remaining: Some(remaining),
/// };
/// let now = Duration::from_secs(100);
/// targets.record_entry(&entry(Duration::ZERO), now);
/// assert_eq!(targets.take("t1", &rules, now), Some(ColdPermit::Warm));
/// targets.record_entry(&entry(Duration::from_secs(3)), now);
/// // The store's time is not known, so this host has no quota.
/// assert_eq!(targets.take("t1", &rules, now), None);
/// ```
#[derive(Debug, Clone)]
pub struct ColdTargets {
    /// Hosts that share the slots.
    pub hosts: SlotHosts,
    /// The store's clock.
    store_clock: StoreClock,
    /// What is known of each target, by instance.
    targets: HashMap<String, TargetState>,
}

impl ColdTargets {
    /// Creates the state of a host that knows nothing.
    pub fn new(own: utils::HostId) -> Self {
        Self {
            hosts: SlotHosts::new(own),
            store_clock: StoreClock::default(),
            targets: HashMap::new(),
        }
    }

    /// Sets the store's clock.
    pub fn set_store_clock(&mut self, clock: StoreClock) {
        self.store_clock = clock;
    }

    /// Returns the time on the store's clock; `None` until it is known.
    pub(crate) fn store_time(&self, now: Monotonic) -> Option<Duration> {
        self.store_clock.time(now)
    }

    /// Records an entry of a target.
    pub fn record_entry(&mut self, entry: &ColdEntry, now: Monotonic) {
        self.state(&entry.instance, now).apply_entry(entry, now);
    }

    /// Records that a target's entry is gone. Its next entry is that of a target that is back.
    pub fn record_gone(&mut self, instance: &str) {
        if let Some(state) = self.targets.get_mut(instance) {
            state.run = None;
        }
    }

    /// Records a row of the store.
    pub(crate) fn record(&mut self, report: &ColdReport, now: Monotonic) {
        match report {
            ColdReport::Entry(entry) => self.record_entry(entry, now),
            ColdReport::Gone(instance) => self.record_gone(instance),
        }
    }

    /// Records that a target was unreachable or broke a connection: it may have restarted.
    pub fn record_failure(&mut self, instance: &str, now: Monotonic) {
        let state = self.state(instance, now);
        state.failed_at = Some(now);
        state.touched_at = now;
    }

    /// Returns for how much longer a target is cold; `None` for a warm one.
    pub fn cold_left(&self, instance: &str, limit: &ColdLimit, now: Monotonic) -> Option<Duration> {
        let state = self.targets.get(instance)?;
        let left = state.cold_until(limit).saturating_sub(now);
        (!left.is_zero()).then_some(left)
    }

    /// Whether these targets are all cold; `limit_of` returns the limit of a service.
    pub fn are_cold<'a>(
        &self,
        instances: impl IntoIterator<Item = &'a str>,
        limit_of: impl Fn(&ServiceId) -> Option<ColdLimit>,
        now: Monotonic,
    ) -> bool {
        let is_cold = |instance: &str| {
            let state = self.targets.get(instance)?;
            Some(now < state.cold_until(&limit_of(&state.service)?))
        };
        instances
            .into_iter()
            .all(|instance| is_cold(instance) == Some(true))
    }

    /// Whether a request can be sent to a target now: it is warm, or a slot is free.
    pub fn has_quota(&mut self, instance: &str, rules: &ColdRules, now: Monotonic) -> bool {
        self.permit(instance, rules, now, SlotQuota::free_slot).is_some()
    }

    /// Takes the permission to send one request to a target; `None` if it is cold and no slot is free.
    pub fn take(&mut self, instance: &str, rules: &ColdRules, now: Monotonic) -> Option<ColdPermit> {
        self.permit(instance, rules, now, SlotQuota::take)
    }

    /// Whether a permission still holds. Asked again right before the send: the host may have been suspended, or the
    /// target become cold.
    pub fn is_valid(&self, permit: ColdPermit, instance: &str, rules: &ColdRules, now: Monotonic) -> bool {
        match permit {
            ColdPermit::Warm => self.cold_left(instance, &rules.limit, now).is_none(),
            ColdPermit::Slot(slot) => {
                let schedule = rules.schedule.zip(self.store_clock.time(now));
                let open = schedule.and_then(|(schedule, time)| schedule.open_slots(instance, time));
                open.is_some_and(|open| open.contains(&slot)) && self.hosts.may_use_slots(now)
            }
        }
    }

    /// Returns which targets have become cold or warm since the last call. `limit_of` returns the limit of a service.
    pub fn collect_changes(
        &mut self,
        limit_of: impl Fn(&ServiceId) -> Option<ColdLimit>,
        now: Monotonic,
    ) -> ColdChanges {
        let mut changes = ColdChanges::default();
        for (instance, state) in &mut self.targets {
            let limit = limit_of(&state.service).filter(|_| state.run.is_some());
            let is_cold = limit.is_some_and(|limit| now < state.cold_until(&limit));
            changes.total += usize::from(is_cold);
            if std::mem::replace(&mut state.was_cold, is_cold) != is_cold {
                let changed = if is_cold {
                    &mut changes.cold
                } else {
                    &mut changes.warm
                };
                changed.push(instance.clone());
            }
        }
        changes
    }

    /// Forgets targets that have not been listed for long.
    pub fn remove_stale(&mut self, listed: &HashSet<&str>, now: Monotonic) {
        self.targets
            .retain(|name, state| listed.contains(&**name) || now < state.touched_at + RETENTION);
    }

    fn permit(
        &mut self,
        instance: &str,
        rules: &ColdRules,
        now: Monotonic,
        slot: SlotOperation,
    ) -> Option<ColdPermit> {
        let Some(state) = self.targets.get_mut(instance) else {
            // Nothing is known of the target: it is presumed cold from now on.
            self.state(instance, now);
            return None;
        };
        if state.cold_until(&rules.limit) <= now {
            return Some(ColdPermit::Warm);
        }
        let store_time = self.store_clock.time(now)?;
        let (quota, schedule) = (&mut state.quota, rules.schedule?);
        let slot = slot(quota, instance, &schedule, &self.hosts, store_time, now)?;
        Some(ColdPermit::Slot(slot))
    }

    fn state(&mut self, instance: &str, now: Monotonic) -> &mut TargetState {
        self.targets
            .entry(instance.to_owned())
            .or_insert_with(|| TargetState::new(now))
    }
}

/// Looks up or takes a slot.
type SlotOperation = fn(&mut SlotQuota, &str, &SlotSchedule, &SlotHosts, Duration, Monotonic) -> Option<u64>;
