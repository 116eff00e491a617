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

/// Time for which an answer of this host's own goes before what other hosts have recorded.
const OWN_ANSWER_VALIDITY: Duration = Duration::from_secs(2);
/// Time after which every host that lacks the record of a limit, or has a higher number, writes it. The owners write a new
/// record at once.
const RECORD_DELAY: Duration = Duration::from_secs(2);
/// Factor from which on a number is another one than the recorded one, in either direction.
const RECORD_WITHIN: f64 = 1.25;

/// A change of the record of a limit, which tells other hosts of it.
#[derive(Debug, Clone, PartialEq)]
pub enum LimitRecord {
    /// The limit is recorded with this number of requests per second.
    Put(TargetId, f64),
    /// The record is removed.
    Remove(TargetId),
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

/// Times of the answers that named a number to this host.
#[derive(Debug, Clone, Copy)]
struct OwnAnswers {
    first: Monotonic,
    last: Monotonic,
}

/// The limit of one run of a target.
#[derive(Debug, Clone)]
struct TargetLimit {
    /// Requests per second.
    per_second: f64,
    /// Time at which this host last learned of it, from an answer or a record.
    known_at: Monotonic,
    /// Answers to this host that named this number; `None` if the limit is known only from its record.
    answers: Option<OwnAnswers>,
    /// Slots under the limit.
    schedule: Option<SlotSchedule>,
    /// This host's slots.
    quota: SlotQuota,
}

impl TargetLimit {
    /// Creates a limit that other hosts have recorded. Its slots begin from now on: the ones before may belong to an earlier
    /// division.
    fn new(per_second: f64, time: SlotTime) -> Self {
        let schedule = SlotSchedule::for_limit(per_second.max(MIN_PER_SECOND));
        let from = time.store.unwrap_or_default();
        Self {
            per_second,
            known_at: time.now,
            answers: None,
            schedule: schedule.map(|schedule| schedule.starting_at(from)),
            quota: SlotQuota::default(),
        }
    }

    fn has_own_answer(&self, now: Monotonic) -> bool {
        self.answers
            .is_some_and(|answers| now < answers.last + OWN_ANSWER_VALIDITY)
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
    /// Limits that hosts have recorded, in requests per second.
    recorded: HashMap<TargetId, f64>,
    /// Times at which answers to this host have shown that a recorded limit has ended.
    ended: HashMap<TargetId, Monotonic>,
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
    /// An answer without a limit ends it only if its request was sent after this host had last learned of the limit:
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
                let known_at = self.runs.get(run)?.known_at;
                if sent_at <= known_at {
                    return None;
                }
                self.runs.remove(run);
                self.ended.insert(run.clone(), time.now);
                Some(LimitChange::Ended)
            }
        }
    }

    fn record_named(&mut self, run: &TargetId, per_second: f64, time: SlotTime) -> Option<LimitChange> {
        self.ended.remove(run);
        let known = self.runs.get_mut(run);
        if let Some(limit) = known.filter(|limit| limit.is_same(per_second)) {
            let first = limit.answers.map_or(time.now, |answers| answers.first);
            limit.known_at = time.now;
            limit.answers = Some(OwnAnswers {
                first,
                last: time.now,
            });
            return None;
        }
        let limit = TargetLimit {
            answers: Some(OwnAnswers {
                first: time.now,
                last: time.now,
            }),
            ..TargetLimit::new(per_second, time)
        };
        self.runs.insert(run.clone(), limit);
        Some(LimitChange::Named(per_second))
    }

    /// Records that hosts have recorded this limit of a run, in requests per second, or removed the record. A number that
    /// this host has been answered a moment ago goes before a recorded one. A removed record ends the limit: if it has not
    /// ended, the next answer says so.
    pub fn record_shared(&mut self, run: &TargetId, per_second: Option<f64>, time: SlotTime) {
        let is_usable = |limit: &f64| (0.0..MAX_PER_SECOND).contains(limit);
        let per_second = per_second.filter(is_usable);
        let Some(per_second) = per_second else {
            self.recorded.remove(run);
            self.runs.remove(run);
            return;
        };
        self.recorded.insert(run.clone(), per_second);
        let has_own_answer = self
            .runs
            .get(run)
            .is_some_and(|limit| limit.has_own_answer(time.now));
        let has_ended = self
            .ended
            .get(run)
            .is_some_and(|at| time.now < *at + OWN_ANSWER_VALIDITY);
        if has_own_answer || has_ended {
            return;
        }
        match self.runs.get_mut(run) {
            Some(limit) if limit.is_same(per_second) => limit.known_at = time.now,
            _ => {
                self.runs.insert(run.clone(), TargetLimit::new(per_second, time));
            }
        }
    }

    /// Returns the changes of records that follow from the answers to this host. `is_owner` says whether it owns the
    /// record of a run, and `listed` holds all runs.
    pub fn record_changes(
        &self,
        is_owner: impl Fn(&TargetId) -> bool,
        listed: &HashSet<&TargetId>,
        now: Monotonic,
    ) -> Vec<LimitRecord> {
        let is_lasting = |first: Monotonic| now >= first + RECORD_DELAY;
        let puts = self.runs.iter().filter_map(|(run, limit)| {
            let first = limit.answers.filter(|_| limit.has_own_answer(now))?.first;
            let is_due = match self.recorded.get(run) {
                // A lower number is urgent. A higher one may only be passing.
                Some(recorded) => {
                    let (own, recorded) =
                        (limit.per_second.max(MIN_PER_SECOND), recorded.max(MIN_PER_SECOND));
                    own * RECORD_WITHIN < recorded || own > recorded * RECORD_WITHIN && is_lasting(first)
                }
                None => is_lasting(first) || is_owner(run),
            };
            is_due.then(|| LimitRecord::Put(run.clone(), limit.per_second))
        });
        let has_left = |run: &TargetId| !listed.contains(run) && is_owner(run);
        let removals = self.recorded.keys();
        let removals = removals.filter(|run| self.ended.contains_key(*run) || has_left(run));
        puts.chain(removals.map(|run| LimitRecord::Remove(run.clone())))
            .collect()
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

    /// Returns whether no limit is known or recorded.
    pub fn is_unused(&self) -> bool {
        self.runs.is_empty() && self.recorded.is_empty()
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
        let recorded = &self.recorded;
        self.ended.retain(|run, _| recorded.contains_key(run));
    }
}
