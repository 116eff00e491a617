use std::collections::BTreeMap;
use std::time::Duration;

use utils::{HostId, Monotonic, digest};

/// Time after which a host stops using its slots if nothing confirms its list of hosts. Longer than the longest wait for
/// changes of the list.
const LIST_VALIDITY: Duration = Duration::from_secs(30);
/// Time for which a host that has been removed from the list keeps its slots. It may be cut off and use them until its
/// list has expired; the rest is the time in which a removal reaches a host.
const REMOVED_HOLD: Duration = Duration::from_secs(36);
/// Time that a host is listed before it uses its slots. The other hosts use them until they see its entry.
const JOIN_DELAY: Duration = Duration::from_secs(5);

/// The hosts that share the slots of cold targets, as this host sees them.
///
/// Hosts that have just been removed keep their slots for a while, and a new host does not use its slots at once, so
/// that hosts which see the list late do not use each other's slots.
///
/// ```
/// use std::time::Duration;
/// use gateway::SlotHosts;
///
/// let mut hosts = SlotHosts::new("h1".into());
/// hosts.update(["h1".into()].iter(), Duration::ZERO);
/// hosts.confirm(Duration::ZERO);
/// assert!(!hosts.may_use_slots(Duration::from_secs(4)));
/// assert!(hosts.may_use_slots(Duration::from_secs(5)));
/// ```
#[derive(Debug, Clone)]
pub struct SlotHosts {
    /// This host.
    own: HostId,
    /// Hosts with the time of their removal from the list.
    members: BTreeMap<HostId, Option<Monotonic>>,
    /// Digests of the names of the members, in the same order.
    digests: Vec<u64>,
    /// Time since which this host is listed.
    listed_since: Option<Monotonic>,
    /// Time of the last confirmation of the list.
    confirmed_at: Option<Monotonic>,
    /// Number of changes of the members.
    generation: u64,
}

impl SlotHosts {
    /// Creates an empty list.
    pub fn new(own: HostId) -> Self {
        Self {
            own,
            members: BTreeMap::new(),
            digests: Vec::new(),
            listed_since: None,
            confirmed_at: None,
            generation: 0,
        }
    }

    /// Replaces the list.
    pub fn update<'a>(&mut self, listed: impl Iterator<Item = &'a HostId>, now: Monotonic) {
        let mut gone = std::mem::take(&mut self.members);
        let count = gone.len();
        for name in listed {
            let is_new = gone.remove(name).is_none();
            self.generation += u64::from(is_new);
            self.members.insert(name.clone(), None);
        }
        for (name, removed_at) in gone {
            self.members.insert(name, Some(removed_at.unwrap_or(now)));
        }
        self.generation += u64::from(self.members.len() != count);
        let is_listed = self.members.get(&self.own) == Some(&None);
        self.listed_since = is_listed.then(|| self.listed_since.unwrap_or(now));
        self.update_digests();
        self.expire(now);
    }

    fn update_digests(&mut self) {
        let names = self.members.keys();
        self.digests = names.map(|name| digest(name.as_bytes()).first_u64()).collect();
    }

    /// Records that the list was current.
    pub fn confirm(&mut self, now: Monotonic) {
        self.confirmed_at = self.confirmed_at.max(Some(now));
    }

    /// Gives the slots of hosts that were removed long ago to others.
    pub fn expire(&mut self, now: Monotonic) {
        let count = self.members.len();
        self.members
            .retain(|_, removed_at| removed_at.is_none_or(|at| now < at + REMOVED_HOLD));
        if self.members.len() != count {
            self.generation += 1;
            self.update_digests();
        }
    }

    /// Whether this host may use its slots: it has been listed for a while, and its list is recent.
    pub fn may_use_slots(&self, now: Monotonic) -> bool {
        let is_member = self.listed_since.is_some_and(|since| now >= since + JOIN_DELAY);
        is_member && self.has_recent_list(now)
    }

    /// Returns this host's share of a budget that all hosts spend together in each `window`: one part of those that are
    /// listed or were a short time ago. It is zero until the host has been listed for a window, as a process before it may
    /// have spent the share already, and without a recent list.
    ///
    /// ```
    /// use std::time::Duration;
    /// use gateway::SlotHosts;
    ///
    /// let (window, at) = (Duration::from_secs(10), Duration::from_secs);
    /// let mut hosts = SlotHosts::new("h1".into());
    /// hosts.update(["h1".into(), "h2".into()].iter(), at(0));
    /// hosts.confirm(at(10));
    /// assert_eq!(hosts.slack_share(window, at(9)), 0.0);
    /// // A host that has left may have spent its share.
    /// hosts.update(["h1".into()].iter(), at(10));
    /// assert_eq!(hosts.slack_share(window, at(10)), 0.5);
    /// ```
    pub fn slack_share(&self, window: Duration, now: Monotonic) -> f64 {
        let has_own_window = self.listed_since.is_some_and(|since| now >= since + window);
        match has_own_window && self.has_recent_list(now) {
            true => 1.0 / self.members.len() as f64,
            false => 0.0,
        }
    }

    fn has_recent_list(&self, now: Monotonic) -> bool {
        self.confirmed_at.is_some_and(|at| now < at + LIST_VALIDITY)
    }

    /// Returns the number of changes of the members.
    pub(super) fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns which slots of a block of a target belong to this host. Each slot belongs to the host with the highest
    /// score for it, so hosts whose lists differ in one host disagree only about the slots of that host.
    pub(super) fn own_slots(&self, target: u64, block: u64) -> [bool; SLOTS_PER_BLOCK as usize] {
        let mut best = [None; SLOTS_PER_BLOCK as usize];
        for (name, host) in self.members.keys().zip(&self.digests) {
            for (best, slot) in best.iter_mut().zip(block * SLOTS_PER_BLOCK..) {
                *best = (*best).max(Some((score(target, *host, slot), &**name)));
            }
        }
        best.map(|best| best.is_some_and(|(_, name)| *name == *self.own))
    }
}

/// Number of slots whose owners are computed together.
pub(super) const SLOTS_PER_BLOCK: u64 = 8;

/// Returns the score of a host for a slot of a target, from the digests of their names. All hosts must compute the same.
fn score(target: u64, host: u64, slot: u64) -> u64 {
    mix(mix(mix(target) ^ host) ^ slot)
}

/// Mixes the bits of a number so that each of them changes about half of the result (the finalizer of SplitMix64).
fn mix(number: u64) -> u64 {
    let x = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
