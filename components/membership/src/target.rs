use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use metadata::{HostRole, HostState, ListedHost};
use utils::{Monotonic, TargetId};

use crate::pool::{Pool, distrusted, is_distrusted, pools};
use crate::{Damping, LivenessReason, Observation, TargetEntry, TargetLiveness, TargetSummary, TargetTag};

/// Number of consecutive failures after which a target is suspect.
const FAILURES_TO_SUSPECT: u32 = 2;
/// Time for which another host's report that a target is leaving overrides this host's list.
const LEAVING_REPORT_LIFETIME: Duration = Duration::from_secs(30);
/// Minimum change of a level that is gossiped; four levels are a factor of two.
const MIN_LEVEL_CHANGE: u8 = 4;
/// Minimum change of the number of running drafts that is gossiped.
const MIN_RUNNING_CHANGE: u8 = 3;
/// Rate of summaries that are gossiped without a change, over all targets, in summaries per second.
const REFRESHES_PER_SECOND: f64 = 10.0;
/// Minimum time between two gossiped summaries of a target without a change.
const MIN_REFRESH_INTERVAL: Duration = Duration::from_secs(10);

/// What a summary changes; decides whether and how it is gossiped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SummaryChange {
    /// Nothing changed.
    None,
    /// The load changed, or the refresh interval has passed.
    Load,
    /// The target starts to leave, or its silence began or ended.
    State,
}

/// State of a target as this host knows it.
#[derive(Debug, Clone)]
struct Target {
    /// Its entry on the platform's list.
    listed: Arc<ListedHost>,
    /// Whether the current list no longer contains the target.
    unlisted: bool,
    /// Number of consecutive failures of calls from this host.
    failures: u32,
    /// Flap damping.
    damping: Damping,
    /// Time of the last report from another host that the target is leaving.
    leaving_reported_at: Option<Monotonic>,
    /// Latest summary, and the time at which the underlying report was read.
    summary: Option<(TargetSummary, Monotonic)>,
}

/// State of all targets.
#[derive(Debug, Clone, Default)]
pub(crate) struct Targets {
    /// Targets by name.
    by_id: BTreeMap<TargetId, Target>,
    /// Names by tag; `None` if two targets share the tag.
    by_tag: HashMap<TargetTag, Option<TargetId>>,
}

impl Targets {
    /// Applies a new list; returns the number of targets that are kept although the list dropped them, and
    /// the names of those that are newly listed as leaving.
    pub(crate) fn update(&mut self, list: &[ListedHost]) -> (usize, Vec<TargetId>) {
        let listed: BTreeMap<_, _> = list
            .iter()
            .filter(|h| h.role != HostRole::Entry)
            .map(|h| (h.id.clone(), h))
            .collect();
        let kept = self.drop_unlisted(&listed);
        let mut leaving = Vec::new();
        for (id, host) in listed {
            if self.update_listed(&id, host) {
                leaving.push(id);
            }
        }
        self.index();
        (kept, leaving)
    }

    /// Records the result of a call to a target; returns whether its state may have changed.
    pub(crate) fn observe(&mut self, target: &str, observation: Observation, now: Monotonic) -> bool {
        let Some(target) = self.by_id.get_mut(target) else {
            return false;
        };
        match observation {
            Observation::Answered => target.record_answer(),
            Observation::Failed => target.record_failure(now),
        }
    }

    /// Records a summary whose report was read at `read_at`; returns what it changes.
    pub(crate) fn record_summary(
        &mut self,
        summary: TargetSummary,
        read_at: Monotonic,
        now: Monotonic,
    ) -> SummaryChange {
        let refresh = self.refresh_interval();
        let Some(Some(id)) = self.by_tag.get(&summary.target) else {
            return SummaryChange::None;
        };
        let Some(target) = self.by_id.get_mut(id) else {
            return SummaryChange::None;
        };
        target.record_summary(summary, read_at, now, refresh)
    }

    /// Returns a summary that marks a target as leaving.
    pub(crate) fn leaving_summary(&self, id: &str) -> Option<TargetSummary> {
        let target = self.by_id.get(id)?;
        let mut summary = match target.summary {
            Some((summary, _)) => summary,
            None => TargetSummary::empty(TargetTag::of(id)),
        };
        summary.age = 0;
        summary.leaving = true;
        Some(summary)
    }

    /// Returns whether the hold time of some target ended after `previous_input` and not after `now`.
    pub(crate) fn has_hold_ended(&self, previous_input: Monotonic, now: Monotonic) -> bool {
        self.by_id.values().any(|t| t.has_hold_ended(previous_input, now))
    }

    /// Returns the latest summaries with the times at which the underlying reports were read.
    pub(crate) fn summaries(&self) -> impl Iterator<Item = (TargetSummary, Monotonic)> {
        self.by_id.values().filter_map(|target| target.summary)
    }

    /// Returns all targets with their states.
    pub(crate) fn entries(&self, now: Monotonic) -> BTreeMap<TargetId, TargetEntry> {
        let distrusted_targets = self.distrusted_silence(now);
        self.by_id
            .iter()
            .map(|(id, target)| (id.clone(), target.entry(distrusted_targets.contains(id), now)))
            .collect()
    }

    fn drop_unlisted(&mut self, listed: &BTreeMap<Arc<str>, &ListedHost>) -> usize {
        let lost: BTreeSet<_> = self
            .by_id
            .iter()
            .filter(|(id, t)| !listed.contains_key(*id) && t.listed.state == HostState::Live)
            .map(|(id, _)| id.clone())
            .collect();
        let kept = distrusted(self.by_id.values().map(|t| &*t.listed), &lost);
        self.by_id.retain(|id, target| {
            target.unlisted = !listed.contains_key(id);
            !target.unlisted || (kept.contains(id) && target.failures < FAILURES_TO_SUSPECT)
        });
        self.by_id.values().filter(|t| t.unlisted).count()
    }

    /// Applies an entry of the list; returns whether the target is newly listed as leaving. A changed address
    /// or incarnation resets the state of the target.
    fn update_listed(&mut self, id: &TargetId, host: &ListedHost) -> bool {
        let Some(target) = self.by_id.get_mut(id) else {
            self.by_id.insert(id.clone(), Target::new(host));
            return host.state == HostState::Leaving;
        };
        if *target.listed == *host {
            return false;
        }
        let previous = target.listed.state;
        if target.listed.address != host.address || target.listed.incarnation != host.incarnation {
            *target = Target::new(host);
        }
        target.listed = Arc::new(host.clone());
        host.state == HostState::Leaving && previous != HostState::Leaving
    }

    fn index(&mut self) {
        self.by_tag.clear();
        for id in self.by_id.keys() {
            self.by_tag
                .entry(TargetTag::of(id))
                .and_modify(|first| *first = None)
                .or_insert_with(|| Some(id.clone()));
        }
    }

    fn refresh_interval(&self) -> Duration {
        MIN_REFRESH_INTERVAL.max(Duration::from_secs_f64(
            self.by_id.len() as f64 / REFRESHES_PER_SECOND,
        ))
    }

    /// Returns the suspect targets in pools of which too large a share is suspect at once. This is more
    /// likely a fault of this host's network than of the targets, so they count as live.
    fn distrusted_silence(&self, now: Monotonic) -> BTreeSet<TargetId> {
        let mut counts: BTreeMap<Pool, (usize, Vec<TargetId>)> = BTreeMap::new();
        for (id, target) in &self.by_id {
            for pool in pools(&target.listed) {
                let (known, silent) = counts.entry(pool).or_default();
                *known += 1;
                if target.suspect_reason(now).is_some() {
                    silent.push(id.clone());
                }
            }
        }
        counts
            .into_values()
            .filter(|(known, silent)| is_distrusted(silent.len(), *known))
            .flat_map(|(_, silent)| silent)
            .collect()
    }
}

impl Target {
    fn new(host: &ListedHost) -> Self {
        Self {
            listed: Arc::new(host.clone()),
            unlisted: false,
            failures: 0,
            damping: Damping::default(),
            leaving_reported_at: None,
            summary: None,
        }
    }

    fn record_answer(&mut self) -> bool {
        let previous = self.failures;
        self.failures = 0;
        previous >= FAILURES_TO_SUSPECT
    }

    fn record_failure(&mut self, now: Monotonic) -> bool {
        self.failures = self.failures.saturating_add(1);
        if self.failures < FAILURES_TO_SUSPECT || !self.damping.is_usable(now) {
            return false;
        }
        self.damping.fail(now);
        self.damping.recover(now);
        true
    }

    fn record_summary(
        &mut self,
        summary: TargetSummary,
        read_at: Monotonic,
        now: Monotonic,
        refresh: Duration,
    ) -> SummaryChange {
        let was_leaving = self.is_leaving(now);
        if summary.leaving {
            self.leaving_reported_at = self.leaving_reported_at.max(Some(read_at));
        }
        let starts_leaving = !was_leaving && self.is_leaving(now);
        let load = self.record_load(summary, read_at, refresh);
        if starts_leaving {
            SummaryChange::State
        } else {
            load
        }
    }

    fn record_load(
        &mut self,
        summary: TargetSummary,
        read_at: Monotonic,
        refresh: Duration,
    ) -> SummaryChange {
        let Some((known, known_at)) = self.summary else {
            self.summary = Some((summary, read_at));
            return if summary.silent {
                SummaryChange::State
            } else {
                SummaryChange::Load
            };
        };
        let is_due = read_at >= known_at + refresh || summary.differs_significantly(&known);
        let changed = known.silent != summary.silent;
        if read_at <= known_at || !(is_due || changed) {
            return SummaryChange::None;
        }
        self.summary = Some((summary, read_at));
        if changed {
            SummaryChange::State
        } else {
            SummaryChange::Load
        }
    }

    /// Returns whether the list, or a recent report of another host, says that the target is leaving.
    fn is_leaving(&self, now: Monotonic) -> bool {
        self.listed.state == HostState::Leaving
            || self
                .leaving_reported_at
                .is_some_and(|at| now < at + LEAVING_REPORT_LIFETIME)
    }

    fn has_hold_ended(&self, previous_input: Monotonic, now: Monotonic) -> bool {
        self.damping.is_usable(now) && !self.damping.is_usable(previous_input)
    }

    /// Returns why the target is suspect, if it is: it repeatedly failed to answer, it answers again but its
    /// hold time has not passed, or a watcher reports that it failed to answer.
    fn suspect_reason(&self, now: Monotonic) -> Option<LivenessReason> {
        if !self.damping.is_usable(now) {
            let failing = self.failures >= FAILURES_TO_SUSPECT;
            return Some(if failing {
                LivenessReason::Silent
            } else {
                LivenessReason::Flapping
            });
        }
        match self.summary {
            Some((summary, _)) if summary.silent => Some(LivenessReason::SilentToWatchers),
            _ => None,
        }
    }

    /// Returns the entry of the target; see [`Self::state`] for `silence_distrusted`.
    fn entry(&self, silence_distrusted: bool, now: Monotonic) -> TargetEntry {
        let (liveness, reason) = self.state(silence_distrusted, now);
        TargetEntry {
            listed: self.listed.clone(),
            liveness,
            reason,
            summary: self.summary,
        }
    }

    /// Returns the state of the target and its reason. `silence_distrusted` means that too many
    /// targets of its pool are suspect at once: the failures are then attributed to this host's network, and
    /// a suspect target counts as live. A target that left the list together with too many others of its pool also
    /// counts as live, because this is attributed to a fault of the list.
    fn state(&self, silence_distrusted: bool, now: Monotonic) -> (TargetLiveness, LivenessReason) {
        if self.listed.state == HostState::Leaving {
            return (TargetLiveness::Leaving, LivenessReason::Listed);
        }
        if self.is_leaving(now) {
            return (TargetLiveness::Leaving, LivenessReason::LeavingReported);
        }
        match self.suspect_reason(now) {
            Some(_) if silence_distrusted => (TargetLiveness::Live, LivenessReason::SilenceDistrusted),
            Some(reason) => (TargetLiveness::Suspect, reason),
            None if self.unlisted => (TargetLiveness::Live, LivenessReason::ListDistrusted),
            None => (TargetLiveness::Live, LivenessReason::Listed),
        }
    }
}

impl TargetSummary {
    /// Creates a summary of a target without load.
    ///
    /// ```
    /// use membership::{TargetSummary, TargetTag};
    ///
    /// assert!(!TargetSummary::empty(TargetTag::of("engine-1")).silent);
    /// ```
    pub fn empty(target: TargetTag) -> Self {
        Self {
            target,
            age: 0,
            queued: 0,
            running: 0,
            sent: 0,
            leaving: false,
            silent: false,
        }
    }

    fn differs_significantly(&self, other: &Self) -> bool {
        self.queued.abs_diff(other.queued) >= MIN_LEVEL_CHANGE
            || self.sent.abs_diff(other.sent) >= MIN_LEVEL_CHANGE
            || self.running.abs_diff(other.running) >= MIN_RUNNING_CHANGE.max(other.running / 4)
    }
}
