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
        self.expire(now);
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
        self.generation += u64::from(self.members.len() != count);
    }

    /// Whether this host may use its slots: it has been listed for a while, and its list is recent.
    pub fn may_use_slots(&self, now: Monotonic) -> bool {
        let is_member = self.listed_since.is_some_and(|since| now >= since + JOIN_DELAY);
        is_member && self.confirmed_at.is_some_and(|at| now < at + LIST_VALIDITY)
    }

    /// Returns the number of changes of the members.
    pub(super) fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns which slots of a block of a target belong to this host. Each slot belongs to the host with the highest
    /// score for it, so hosts whose lists differ in one host disagree only about the slots of that host.
    pub(super) fn own_slots(&self, instance: &str, block: u64) -> [bool; SLOTS_PER_BLOCK as usize] {
        let mut best = [None; SLOTS_PER_BLOCK as usize];
        for name in self.members.keys() {
            let scores = block_scores(instance, block, name);
            for (best, score) in best.iter_mut().zip(scores) {
                *best = (*best).max(Some((score, &**name)));
            }
        }
        best.map(|best| best.is_some_and(|(_, name)| *name == *self.own))
    }
}

/// Number of slots whose scores one digest gives.
pub(super) const SLOTS_PER_BLOCK: u64 = 8;

/// Returns the scores of a host for the slots of a block.
fn block_scores(instance: &str, block: u64, host: &str) -> [u32; SLOTS_PER_BLOCK as usize] {
    let mut text = Vec::with_capacity(instance.len() + host.len() + 2 * size_of::<u64>());
    text.extend_from_slice(&block.to_le_bytes());
    text.extend_from_slice(&(instance.len() as u64).to_le_bytes());
    text.extend_from_slice(instance.as_bytes());
    text.extend_from_slice(host.as_bytes());
    let digest = digest(&text);
    let mut scores = [0; SLOTS_PER_BLOCK as usize];
    for (score, bytes) in scores
        .iter_mut()
        .zip(digest.as_bytes().chunks_exact(size_of::<u32>()))
    {
        *score = bytes.iter().fold(0, |score, byte| score << 8 | u32::from(*byte));
    }
    scores
}
