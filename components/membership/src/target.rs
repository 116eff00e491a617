use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use metadata::{HostRole, HostState, ListedHost};
use utils::{Monotonic, TargetId};

use crate::pool::{Pool, distrusted, is_distrusted, pools};
use crate::{Damping, Observation, TargetEntry, TargetLiveness, TargetSummary, TargetTag, Why};

/// Failures in a row that make a target suspect.
const FAILURES_TO_SUSPECT: u32 = 2;
/// How long another host's word that a target is leaving holds against this host's own list.
const TOLD_LEAVING_FOR: Duration = Duration::from_secs(30);
/// Step of a level that is worth a message; four levels are a factor of two.
const LEVEL_STEP: u8 = 4;
/// Step of the running drafts that is worth a message.
const RUNNING_STEP: u8 = 3;
/// Summaries a second that are sent again although nothing changed, over all targets.
const REFRESHED_PER_SECOND: f64 = 10.0;
/// Shortest time between two summaries of a target in which nothing changed.
const SHORTEST_REFRESH: Duration = Duration::from_secs(10);

/// What a summary is worth to other hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum News {
    /// Nothing new.
    None,
    /// The load changed.
    Load,
    /// The target leaves, or its silence began or ended.
    State,
}

/// What is known about a target.
#[derive(Debug, Clone)]
struct Target {
    /// Entry on the list.
    listed: Arc<ListedHost>,
    /// Whether the list no longer names it.
    unlisted: bool,
    /// Failures in a row seen by this host.
    failures: u32,
    /// Hysteresis for targets that fail and recover.
    damping: Damping,
    /// When another host said that it is leaving.
    told_leaving: Option<Monotonic>,
    /// Latest summary, and when the report behind it was read.
    summary: Option<(TargetSummary, Monotonic)>,
}

/// Liveness of all targets.
#[derive(Debug, Clone, Default)]
pub(crate) struct Targets {
    /// Targets by name.
    by_id: BTreeMap<TargetId, Target>,
    /// Names by tag; `None` if two targets share the tag.
    by_tag: HashMap<TargetTag, Option<TargetId>>,
}

impl Targets {
    /// Takes a new list; returns the names that are kept although the list dropped them, and those that are
    /// newly listed as leaving.
    pub(crate) fn update(&mut self, list: &[ListedHost]) -> (usize, Vec<TargetId>) {
        let listed: BTreeMap<_, _> = list
            .iter()
            .filter(|h| h.role != HostRole::Entry)
            .map(|h| (h.id.clone(), h))
            .collect();
        let kept = self.drop_unlisted(&listed);
        let mut leaving = Vec::new();
        for (id, host) in listed {
            if self.take_listed(&id, host) {
                leaving.push(id);
            }
        }
        self.index();
        (kept, leaving)
    }

    /// Records what traffic saw; says whether the target's state may have changed.
    pub(crate) fn observe(&mut self, target: &str, observation: Observation, now: Monotonic) -> bool {
        let Some(target) = self.by_id.get_mut(target) else {
            return false;
        };
        match observation {
            Observation::Answered => target.answered(),
            Observation::Failed => target.failed(now),
        }
    }

    /// Takes a summary whose report was read at `read_at`.
    pub(crate) fn summarize(&mut self, summary: TargetSummary, read_at: Monotonic, now: Monotonic) -> News {
        let refresh = self.refresh_interval();
        let Some(Some(id)) = self.by_tag.get(&summary.target) else {
            return News::None;
        };
        let Some(target) = self.by_id.get_mut(id) else {
            return News::None;
        };
        target.summarize(summary, read_at, now, refresh)
    }

    /// A summary that says that a target is leaving.
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

    /// Whether a wait of some target ended after `before` and not after `now`.
    pub(crate) fn has_wait_ended(&self, before: Monotonic, now: Monotonic) -> bool {
        self.by_id.values().any(|t| t.has_wait_ended(before, now))
    }

    /// Summaries with the time at which their reports were read.
    pub(crate) fn summaries(&self) -> impl Iterator<Item = (TargetSummary, Monotonic)> {
        self.by_id.values().filter_map(|target| target.summary)
    }

    /// All targets with their state.
    pub(crate) fn entries(&self, now: Monotonic) -> BTreeMap<TargetId, TargetEntry> {
        let trusted = self.distrusted_silence(now);
        self.by_id
            .iter()
            .map(|(id, target)| (id.clone(), target.entry(trusted.contains(id), now)))
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

    /// Stores an entry of the list; says whether the target is newly leaving.
    fn take_listed(&mut self, id: &TargetId, host: &ListedHost) -> bool {
        let Some(target) = self.by_id.get_mut(id) else {
            self.by_id.insert(id.clone(), Target::new(host));
            return host.state == HostState::Leaving;
        };
        if *target.listed == *host {
            return false;
        }
        let was = target.listed.state;
        if target.listed.address != host.address || target.listed.incarnation != host.incarnation {
            *target = Target::new(host);
        }
        target.listed = Arc::new(host.clone());
        host.state == HostState::Leaving && was != HostState::Leaving
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
        SHORTEST_REFRESH.max(Duration::from_secs_f64(
            self.by_id.len() as f64 / REFRESHED_PER_SECOND,
        ))
    }

    /// Silent targets whose silence is not believed, because too much of a pool is silent with them.
    fn distrusted_silence(&self, now: Monotonic) -> BTreeSet<TargetId> {
        let mut counts: BTreeMap<Pool, (usize, Vec<TargetId>)> = BTreeMap::new();
        for (id, target) in &self.by_id {
            for pool in pools(&target.listed) {
                let (known, silent) = counts.entry(pool).or_default();
                *known += 1;
                if target.silence(now).is_some() {
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
            told_leaving: None,
            summary: None,
        }
    }

    fn answered(&mut self) -> bool {
        let was = self.failures;
        self.failures = 0;
        was >= FAILURES_TO_SUSPECT
    }

    fn failed(&mut self, now: Monotonic) -> bool {
        self.failures = self.failures.saturating_add(1);
        if self.failures < FAILURES_TO_SUSPECT || !self.damping.is_usable(now) {
            return false;
        }
        self.damping.fail(now);
        self.damping.recover(now);
        true
    }

    fn summarize(
        &mut self,
        summary: TargetSummary,
        read_at: Monotonic,
        now: Monotonic,
        refresh: Duration,
    ) -> News {
        let was_leaving = self.is_leaving(now);
        if summary.leaving {
            self.told_leaving = self.told_leaving.max(Some(read_at));
        }
        let starts_to_leave = !was_leaving && self.is_leaving(now);
        let load = self.take_load(summary, read_at, refresh);
        if starts_to_leave { News::State } else { load }
    }

    fn take_load(&mut self, summary: TargetSummary, read_at: Monotonic, refresh: Duration) -> News {
        let Some((known, known_at)) = self.summary else {
            self.summary = Some((summary, read_at));
            return if summary.silent { News::State } else { News::Load };
        };
        let is_due = read_at >= known_at + refresh || summary.differs(&known);
        let changed = known.silent != summary.silent;
        if read_at <= known_at || !(is_due || changed) {
            return News::None;
        }
        self.summary = Some((summary, read_at));
        if changed { News::State } else { News::Load }
    }

    /// Whether the list or another host's list says that the target is leaving.
    fn is_leaving(&self, now: Monotonic) -> bool {
        self.listed.state == HostState::Leaving
            || self.told_leaving.is_some_and(|at| now < at + TOLD_LEAVING_FOR)
    }

    fn has_wait_ended(&self, before: Monotonic, now: Monotonic) -> bool {
        self.damping.is_usable(now) && !self.damping.is_usable(before)
    }

    fn silence(&self, now: Monotonic) -> Option<Why> {
        if !self.damping.is_usable(now) {
            let failing = self.failures >= FAILURES_TO_SUSPECT;
            return Some(if failing { Why::Silent } else { Why::Flapping });
        }
        match self.summary {
            Some((summary, _)) if summary.silent => Some(Why::SilentToWatchers),
            _ => None,
        }
    }

    fn entry(&self, silence_distrusted: bool, now: Monotonic) -> TargetEntry {
        let (liveness, why) = self.state(silence_distrusted, now);
        TargetEntry {
            listed: self.listed.clone(),
            liveness,
            why,
            summary: self.summary,
        }
    }

    fn state(&self, silence_distrusted: bool, now: Monotonic) -> (TargetLiveness, Why) {
        if self.listed.state == HostState::Leaving {
            return (TargetLiveness::Leaving, Why::Listed);
        }
        if self.is_leaving(now) {
            return (TargetLiveness::Leaving, Why::ToldLeaving);
        }
        match self.silence(now) {
            Some(_) if silence_distrusted => (TargetLiveness::Live, Why::SilenceDistrusted),
            Some(why) => (TargetLiveness::Suspect, why),
            None if self.unlisted => (TargetLiveness::Live, Why::ListDistrusted),
            None => (TargetLiveness::Live, Why::Listed),
        }
    }
}

impl TargetSummary {
    /// A summary without load.
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

    fn differs(&self, other: &Self) -> bool {
        self.queued.abs_diff(other.queued) >= LEVEL_STEP
            || self.sent.abs_diff(other.sent) >= LEVEL_STEP
            || self.running.abs_diff(other.running) >= RUNNING_STEP.max(other.running / 4)
    }
}
