use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use utils::{HostId, Incarnation, Monotonic, RegionId};

use crate::{HeadSeq, HostRow, RegionRoster, Terms};

/// An operator's wait for enough acknowledgements of a staged change.
///
/// The roster is the one that goes with the head that the change replaces. A change may be accepted
/// once in each region enough members hold it, and one freshness period has passed since the last of
/// them was seen to hold it: what other hosts heard from them before is too old by then.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct AckTracker {
    /// The staged change.
    seq: HeadSeq,
    /// Terms of the head that is replaced.
    terms: Arc<Terms>,
    /// When the change was certainly staged.
    staged_at: Monotonic,
    /// Members that hold the change or have ended, with when this was first seen.
    counted: BTreeMap<HostId, Monotonic>,
}

/// How far a staged change is.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct AcceptStatus {
    /// Each region of the roster.
    pub regions: BTreeMap<RegionId, RegionStatus>,
    /// When the change may be accepted, if no more acknowledgements are needed.
    #[serde(skip)]
    pub ready_at: Option<Monotonic>,
}

/// How far a staged change is in a region.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct RegionStatus {
    /// Members that hold the change or have ended.
    pub counted: usize,
    /// Members that must.
    pub needed: usize,
    /// Members that suffice once the lapse period has passed.
    pub needed_after_lapse: usize,
    /// Members that have not confirmed.
    pub missing: Vec<HostId>,
    /// When enough members had confirmed, and the wait was over.
    #[serde(skip)]
    pub ready_at: Option<Monotonic>,
}

impl AckTracker {
    /// Waits for a change that was certainly staged at `now`.
    pub fn new(seq: HeadSeq, terms: Arc<Terms>, now: Monotonic) -> Self {
        Self {
            seq,
            terms,
            staged_at: now,
            counted: BTreeMap::new(),
        }
    }

    /// Takes the hosts' rows as read at `now`.
    pub fn on_hosts(&mut self, now: Monotonic, hosts: &[HostRow]) {
        for host in hosts {
            let Some(member) = self.member(host) else {
                continue;
            };
            if host.vouches_for(member, self.seq) {
                self.counted.entry(host.host.clone()).or_insert(now);
            }
        }
    }

    /// How far the change is.
    pub fn status(&self) -> AcceptStatus {
        let regions: BTreeMap<_, _> = self
            .terms
            .regions
            .iter()
            .map(|(region, roster)| (region.clone(), self.region_status(roster)))
            .collect();
        let earliest = self.staged_at + self.terms.freshness();
        let ready: Option<Vec<_>> = regions.values().map(|region| region.ready_at).collect();
        let ready_at = ready.map(|all| all.into_iter().fold(earliest, Monotonic::max));
        AcceptStatus { regions, ready_at }
    }

    /// Whether the change may be accepted.
    pub fn is_ready(&self, now: Monotonic) -> bool {
        self.status().ready_at.is_some_and(|at| now >= at)
    }

    fn member(&self, host: &HostRow) -> Option<Incarnation> {
        let roster = self.terms.regions.get(&host.region)?;
        roster.members.get(&host.host).copied()
    }

    fn region_status(&self, roster: &RegionRoster) -> RegionStatus {
        let is_counted = |host: &&HostId| self.counted.contains_key(*host);
        let mut seen: Vec<_> = roster
            .members
            .keys()
            .filter_map(|host| self.counted.get(host).copied())
            .collect();
        seen.sort_unstable();
        let quick = self.reached(&seen, roster.quorum(), self.terms.freshness());
        let slow = self.reached(&seen, roster.lapse_quorum(), self.terms.lapse());
        RegionStatus {
            counted: seen.len(),
            needed: roster.quorum(),
            needed_after_lapse: roster.lapse_quorum(),
            missing: roster
                .members
                .keys()
                .filter(|h| !is_counted(h))
                .cloned()
                .collect(),
            ready_at: quick.into_iter().chain(slow).min(),
        }
    }

    fn reached(&self, seen: &[Monotonic], needed: usize, wait: Duration) -> Option<Monotonic> {
        let last = match needed {
            0 => self.staged_at,
            needed => *seen.get(needed - 1)?,
        };
        Some(last.max(self.staged_at) + wait)
    }

    /// Moves every kept time back by a step; explorers use it to keep the number of states finite.
    pub fn rebase(&mut self, step: Duration) {
        let moved = |time: &mut Monotonic| *time = time.saturating_sub(step);
        moved(&mut self.staged_at);
        self.counted.values_mut().for_each(moved);
    }
}
