//! Limits that targets name in their answers.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use utils::{Monotonic, TargetId};

use crate::{SlotHosts, SlotQuota, SlotSchedule};

/// Lowest limit that is used, in requests per second. With none at all no host would learn that the limit has ended.
const MIN_PER_SECOND: f64 = 0.25;
/// Limit from which on a target counts as one without, in requests per second.
const MAX_PER_SECOND: f64 = 1_000.0;
/// Factor within which a higher limit is taken for the same one, so that a number that varies with each answer does not
/// change the slots each time.
const SAME_WITHIN: f64 = 1.1;

/// A limit that an answer names.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum NamedLimit {
    /// Requests per second from all hosts together.
    PerSecond(f64),
    /// A value that can not be used.
    Unusable,
}

/// Permission to send one request to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitPermit {
    /// The target has named no limit.
    Unlimited,
    /// The request uses this slot.
    Slot(u64),
}

/// What an answer has changed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitChange {
    /// The target has named a limit, or another one, in requests per second.
    Named(f64),
    /// The limit has ended.
    Ended,
}

/// The limit of one run of a target.
#[derive(Debug, Clone)]
struct TargetLimit {
    /// Requests per second.
    per_second: f64,
    /// Time of the last answer that named it.
    named_at: Monotonic,
    /// Slots under the limit.
    schedule: Option<SlotSchedule>,
    /// This host's slots.
    quota: SlotQuota,
}

impl TargetLimit {
    /// Creates a limit whose slots begin from now on: the ones before may belong to an earlier division.
    fn new(per_second: f64, store_time: Option<Duration>, now: Monotonic) -> Self {
        let schedule = SlotSchedule::for_limit(per_second.max(MIN_PER_SECOND));
        let from = store_time.unwrap_or_default();
        Self {
            per_second,
            named_at: now,
            schedule: schedule.map(|schedule| schedule.starting_at(from)),
            quota: SlotQuota::default(),
        }
    }

    fn is_same(&self, per_second: f64) -> bool {
        (self.per_second..=self.per_second * SAME_WITHIN).contains(&per_second)
    }
}

/// The limits that targets have named, by run, and this host's share of them. Without I/O; all times are arguments.
///
/// ```
/// use std::time::Duration;
/// use gateway::{LimitPermit, NamedLimit, SlotTime, TargetLimits, SlotHosts};
///
/// let mut limits = TargetLimits::default();
/// let hosts = SlotHosts::new("h1".into());
/// let time = SlotTime { store: None, now: Duration::from_secs(100) };
/// let run = "t1/1".into();
/// assert_eq!(limits.take(&run, "t1", &hosts, time), Some(LimitPermit::Unlimited));
/// limits.record_answer(&run, Some(NamedLimit::PerSecond(2.0)), time.now, time);
/// // A host that is not listed has no slots.
/// assert_eq!(limits.take(&run, "t1", &hosts, time), None);
/// ```
#[derive(Debug, Clone, Default)]
pub struct TargetLimits {
    /// Limits by run.
    runs: HashMap<TargetId, TargetLimit>,
}

/// A moment on the two clocks that slots need.
#[derive(Debug, Clone, Copy)]
pub struct SlotTime {
    /// Time on the store's clock; `None` until it is known.
    pub store: Option<Duration>,
    /// Time on the host's clock.
    pub now: Monotonic,
}

impl TargetLimits {
    /// Records what an answer to a request that was sent at `sent_at` names; returns what has changed.
    ///
    /// An answer without a limit ends it only if its request was sent after the last answer with one had arrived:
    /// answers may overtake each other.
    pub fn record_answer(
        &mut self,
        run: &TargetId,
        named: Option<NamedLimit>,
        sent_at: Monotonic,
        time: SlotTime,
    ) -> Option<LimitChange> {
        match named {
            Some(NamedLimit::Unusable) => None,
            Some(NamedLimit::PerSecond(per_second)) if per_second < MAX_PER_SECOND => {
                self.record_named(run, per_second, time)
            }
            Some(NamedLimit::PerSecond(_)) | None => {
                let has_ended = self.runs.get(run).is_some_and(|limit| sent_at > limit.named_at);
                has_ended.then(|| self.runs.remove(run))?;
                Some(LimitChange::Ended)
            }
        }
    }

    fn record_named(&mut self, run: &TargetId, per_second: f64, time: SlotTime) -> Option<LimitChange> {
        if let Some(limit) = self.runs.get_mut(run).filter(|limit| limit.is_same(per_second)) {
            limit.named_at = time.now;
            return None;
        }
        let limit = TargetLimit::new(per_second, time.store, time.now);
        self.runs.insert(run.clone(), limit);
        Some(LimitChange::Named(per_second))
    }

    /// Returns whether a run of a target has named a limit that has not ended.
    pub fn is_limited(&self, run: &TargetId) -> bool {
        self.runs.contains_key(run)
    }

    /// Returns the number of targets with a limit.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Returns whether no target has a limit.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Whether a request can be sent to a target now: it has no limit, or a slot is free.
    pub fn has_quota(&mut self, run: &TargetId, instance: &str, hosts: &SlotHosts, time: SlotTime) -> bool {
        let Some(limit) = self.runs.get_mut(run) else {
            return true;
        };
        let slot = limit
            .schedule
            .zip(time.store)
            .and_then(|(schedule, store)| limit.quota.free_slot(instance, &schedule, hosts, store, time.now));
        slot.is_some()
    }

    /// Takes the permission to send one request to a target; `None` if no slot is free.
    pub fn take(
        &mut self,
        run: &TargetId,
        instance: &str,
        hosts: &SlotHosts,
        time: SlotTime,
    ) -> Option<LimitPermit> {
        let Some(limit) = self.runs.get_mut(run) else {
            return Some(LimitPermit::Unlimited);
        };
        let (schedule, store) = (limit.schedule?, time.store?);
        let slot = limit.quota.take(instance, &schedule, hosts, store, time.now)?;
        Some(LimitPermit::Slot(slot))
    }

    /// Whether a permission still holds. Asked again right before the send: the host may have been suspended, or the
    /// target have named a limit.
    pub fn is_valid(
        &self,
        permit: LimitPermit,
        run: &TargetId,
        instance: &str,
        hosts: &SlotHosts,
        time: SlotTime,
    ) -> bool {
        let Some(limit) = self.runs.get(run) else {
            return true;
        };
        let LimitPermit::Slot(slot) = permit else {
            return false;
        };
        let schedule = limit.schedule.zip(time.store);
        let open = schedule.and_then(|(schedule, store)| schedule.open_slots(instance, store));
        open.is_some_and(|open| open.contains(&slot)) && hosts.may_use_slots(time.now)
    }

    /// Forgets runs that are no longer listed.
    pub fn remove_stale(&mut self, listed: &HashSet<&TargetId>) {
        self.runs.retain(|run, _| listed.contains(run));
    }
}
