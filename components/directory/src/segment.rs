use std::mem;

use slab::Slab;

/// Identifier of a holder in a slot; 0 means no holder.
pub(crate) type HolderId = u16;

/// Number of holders that a slot stores inline.
const INLINE_HOLDERS: usize = 4;

/// First value of a slot whose holders are in a separate list.
const LIST_MARKER: HolderId = HolderId::MAX;

/// Load above which slots are added, in percent.
const MAX_LOAD_PERCENT: usize = 88;

/// Number of slots after growth, in percent of the number before.
const GROWTH_PERCENT: usize = 118;

/// Minimum number of slots of a segment that is not empty.
const MIN_SLOTS: usize = 8;

/// Number of probes before a search compares distances. A comparison costs more than a probe.
const UNCHECKED_PROBES: usize = 6;

/// A piece and its holders.
#[derive(Debug, Clone, Copy, Default)]
struct Slot {
    /// Part of the piece's name; 0 if the slot is free.
    fingerprint: u64,
    /// Identifiers of the holders, or [`LIST_MARKER`] followed by the key of a list.
    holders: [HolderId; INLINE_HOLDERS],
}

/// A hash table with Robin Hood probing. It grows in small steps, which keeps its memory close to the size of
/// its content.
#[derive(Debug, Clone, Default)]
pub(crate) struct Segment {
    /// Slots of the table.
    slots: Vec<Slot>,
    /// Number of slots in use.
    len: usize,
    /// Holders of pieces with more holders than fit in a slot.
    lists: Slab<Vec<HolderId>>,
}

impl Segment {
    /// Returns the number of pieces in the table.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Returns the heap memory in use, in bytes.
    pub(crate) fn heap_bytes(&self) -> usize {
        let lists: usize = self
            .lists
            .iter()
            .map(|(_, l)| l.capacity() * size_of::<HolderId>())
            .sum();
        self.slots.capacity() * size_of::<Slot>() + self.lists.capacity() * size_of::<Vec<HolderId>>() + lists
    }

    /// Returns the holders of a piece; entries of 0 are free.
    pub(crate) fn holders(&self, fingerprint: u64) -> &[HolderId] {
        match self.find(fingerprint) {
            Some(at) => self.holders_at(at),
            None => &[],
        }
    }

    /// Returns the fingerprint in the slot where a search for a piece starts.
    pub(crate) fn first_probe(&self, fingerprint: u64) -> u64 {
        self.slots
            .get(self.home_slot(fingerprint))
            .map_or(0, |slot| slot.fingerprint)
    }

    /// Adds a holder to a piece.
    pub(crate) fn insert(&mut self, fingerprint: u64, holder: HolderId) {
        let Some(at) = self.find(fingerprint) else {
            self.reserve();
            let mut holders = [0; INLINE_HOLDERS];
            holders[0] = holder;
            self.place(Slot { fingerprint, holders });
            self.len += 1;
            return;
        };
        if self.holders_at(at).contains(&holder) {
            return;
        }
        let slot = &mut self.slots[at];
        if let Some(list) = list_key(&slot.holders) {
            self.lists[list].push(holder);
        } else if let Some(free) = slot.holders.iter_mut().find(|h| **h == 0) {
            *free = holder;
        } else {
            let mut list = slot.holders.to_vec();
            list.push(holder);
            let key = self.lists.insert(list) as u32;
            slot.holders = [LIST_MARKER, key as u16, (key >> 16) as u16, 0];
        }
    }

    /// Removes a holder from a piece. A piece without holders is removed.
    pub(crate) fn remove(&mut self, fingerprint: u64, holder: HolderId) {
        if let Some(at) = self.find(fingerprint) {
            self.retain_at(at, |h| h != holder);
        }
    }

    /// Keeps only the holders for which `keep` returns true.
    pub(crate) fn retain(&mut self, keep: impl Fn(u64, HolderId) -> bool) {
        let mut at = 0;
        while at < self.slots.len() {
            let fingerprint = self.slots[at].fingerprint;
            let removed = fingerprint != 0 && self.retain_at(at, |h| keep(fingerprint, h));
            if !removed {
                at += 1;
            }
        }
    }

    /// Keeps only some holders of a slot. Returns whether the slot was freed.
    fn retain_at(&mut self, at: usize, keep: impl Fn(HolderId) -> bool) -> bool {
        let holders = &mut self.slots[at].holders;
        if let Some(list) = list_key(holders) {
            self.lists[list].retain(|h| keep(*h));
            if self.lists[list].len() <= INLINE_HOLDERS {
                let left = self.lists.remove(list);
                *holders = [0; INLINE_HOLDERS];
                holders[..left.len()].copy_from_slice(&left);
            }
        } else {
            holders
                .iter_mut()
                .filter(|h| **h != 0 && !keep(**h))
                .for_each(|h| *h = 0);
        }
        let is_empty = self.slots[at].holders == [0; INLINE_HOLDERS];
        if is_empty {
            self.free(at);
        }
        is_empty
    }

    fn holders_at(&self, at: usize) -> &[HolderId] {
        let holders = &self.slots[at].holders;
        match list_key(holders) {
            Some(list) => &self.lists[list],
            None => holders,
        }
    }

    /// Returns the first slot of the probe sequence of a fingerprint.
    fn home_slot(&self, fingerprint: u64) -> usize {
        ((u128::from(fingerprint) * self.slots.len() as u128) >> 64) as usize
    }

    /// Returns the distance between a slot and the home slot of its content.
    fn distance(&self, at: usize) -> usize {
        let home = self.home_slot(self.slots[at].fingerprint);
        if at >= home {
            at - home
        } else {
            at + self.slots.len() - home
        }
    }

    fn next(&self, at: usize) -> usize {
        if at + 1 == self.slots.len() { 0 } else { at + 1 }
    }

    fn find(&self, fingerprint: u64) -> Option<usize> {
        if self.len == 0 {
            return None;
        }
        let mut at = self.home_slot(fingerprint);
        let mut distance = 0;
        loop {
            let found = self.slots[at].fingerprint;
            if found == fingerprint {
                return Some(at);
            }
            if found == 0 || (distance >= UNCHECKED_PROBES && self.distance(at) < distance) {
                return None;
            }
            at = self.next(at);
            distance += 1;
        }
    }

    /// Inserts a new piece; there must be a free slot.
    fn place(&mut self, mut slot: Slot) {
        let mut at = self.home_slot(slot.fingerprint);
        let mut distance = 0;
        while self.slots[at].fingerprint != 0 {
            let resident_distance = self.distance(at);
            if resident_distance < distance {
                mem::swap(&mut self.slots[at], &mut slot);
                distance = resident_distance;
            }
            at = self.next(at);
            distance += 1;
        }
        self.slots[at] = slot;
    }

    /// Frees a slot and shifts the following ones back.
    fn free(&mut self, at: usize) {
        self.len -= 1;
        let mut hole = at;
        let mut next = self.next(at);
        while self.slots[next].fingerprint != 0 && self.distance(next) > 0 {
            self.slots[hole] = self.slots[next];
            hole = next;
            next = self.next(next);
        }
        self.slots[hole] = Slot::default();
    }

    /// Grows the table if one more piece would exceed [`MAX_LOAD_PERCENT`].
    fn reserve(&mut self) {
        if (self.len + 1) * 100 <= self.slots.len() * MAX_LOAD_PERCENT {
            return;
        }
        let slots = (self.slots.len() * GROWTH_PERCENT / 100)
            .max(self.slots.len() + 1)
            .max(MIN_SLOTS);
        let old = mem::replace(&mut self.slots, vec![Slot::default(); slots]);
        for slot in old.into_iter().filter(|s| s.fingerprint != 0) {
            self.place(slot);
        }
    }
}

fn list_key(holders: &[HolderId; INLINE_HOLDERS]) -> Option<usize> {
    (holders[0] == LIST_MARKER).then(|| usize::from(holders[1]) | usize::from(holders[2]) << 16)
}
