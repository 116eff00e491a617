use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use utils::{HostId, Incarnation, Monotonic, RegionId};

use crate::{HeadSeq, HostRow, RegionRoster, Terms};

/// Tracks the acknowledgements of a staged change and when the change may be accepted.
///
/// The roster is that of the head that the change replaces. A change may be accepted once a quorum of each
/// region's members holds it and one freshness period has passed since the last of them was seen to hold it.
/// By then, answers that these members gave to other hosts' probes before they held the change have expired.
/// A smaller quorum suffices after the longer lapse period.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct AckTracker {
    /// The staged change.
    seq: HeadSeq,
    /// Terms of the head that is replaced.
    terms: Arc<Terms>,
    /// A time by which the change was staged.
    staged_at: Monotonic,
    /// Members that hold the change or have ended, with the time at which this was first seen.
    confirmed: BTreeMap<HostId, Monotonic>,
}

/// Progress of a staged change towards acceptance.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct AcceptStatus {
    /// Progress by region of the roster.
    pub regions: BTreeMap<RegionId, RegionStatus>,
    /// When the change may be accepted; `None` while acknowledgements are missing.
    #[serde(skip)]
    pub ready_at: Option<Monotonic>,
}

/// Progress of a staged change in one region.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct RegionStatus {
    /// Number of members that hold the change or have ended.
    pub counted: usize,
    /// Number of members that must hold the change or have ended.
    pub needed: usize,
    /// Number of members that suffices once the lapse period has passed.
    pub needed_after_lapse: usize,
    /// Members that have not confirmed.
    pub missing: Vec<HostId>,
    /// When enough members have confirmed and the wait after that is over; `None` while members are missing.
    #[serde(skip)]
    pub ready_at: Option<Monotonic>,
}

impl AckTracker {
    /// Creates a tracker for a change that is staged by `now`.
    pub fn new(seq: HeadSeq, terms: Arc<Terms>, now: Monotonic) -> Self {
        Self {
            seq,
            terms,
            staged_at: now,
            confirmed: BTreeMap::new(),
        }
    }

    /// Records the confirmations in hosts' rows that were read at `now`.
    pub fn on_hosts(&mut self, now: Monotonic, hosts: &[HostRow]) {
        for host in hosts {
            let Some(member) = self.member(host) else {
                continue;
            };
            if host.confirms(member, self.seq) {
                self.confirmed.entry(host.host.clone()).or_insert(now);
            }
        }
    }

    /// Returns the progress of the change.
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

    /// Returns whether the change may be accepted at `now`.
    pub fn is_ready(&self, now: Monotonic) -> bool {
        self.status().ready_at.is_some_and(|at| now >= at)
    }

    /// Returns the run of the host that is a member of its region's roster.
    fn member(&self, host: &HostRow) -> Option<Incarnation> {
        let roster = self.terms.regions.get(&host.region)?;
        roster.members.get(&host.host).copied()
    }

    fn region_status(&self, roster: &RegionRoster) -> RegionStatus {
        let is_confirmed = |host: &&HostId| self.confirmed.contains_key(*host);
        let mut confirmed_at: Vec<_> = roster
            .members
            .keys()
            .filter_map(|host| self.confirmed.get(host).copied())
            .collect();
        confirmed_at.sort_unstable();
        let by_quorum = self.ready_at(&confirmed_at, roster.quorum(), self.terms.freshness());
        let by_lapse_quorum = self.ready_at(&confirmed_at, roster.lapse_quorum(), self.terms.lapse());
        RegionStatus {
            counted: confirmed_at.len(),
            needed: roster.quorum(),
            needed_after_lapse: roster.lapse_quorum(),
            missing: roster
                .members
                .keys()
                .filter(|h| !is_confirmed(h))
                .cloned()
                .collect(),
            ready_at: by_quorum.into_iter().chain(by_lapse_quorum).min(),
        }
    }

    /// Returns the time at which `wait` has passed since the `needed`th confirmation.
    fn ready_at(&self, confirmed_at: &[Monotonic], needed: usize, wait: Duration) -> Option<Monotonic> {
        let last_confirmed = match needed {
            0 => self.staged_at,
            needed => *confirmed_at.get(needed - 1)?,
        };
        Some(last_confirmed.max(self.staged_at) + wait)
    }

    /// Moves every stored time back by `step`. Model checkers use it to keep the number of states finite.
    pub fn shift_times_back(&mut self, step: Duration) {
        let shift = |time: &mut Monotonic| *time = time.saturating_sub(step);
        shift(&mut self.staged_at);
        self.confirmed.values_mut().for_each(shift);
    }
}
