use std::mem;

use slab::Slab;

/// Identifier of a holder in a slot; 0 means none.
pub(crate) type HolderId = u16;

/// Holders that a slot names without a list on the side.
const INLINE: usize = 4;

/// First value of a slot whose holders are in a list.
const LISTED: HolderId = HolderId::MAX;

/// Slots are added when more than this share is in use, in percent.
const MAX_LOAD_PERCENT: usize = 88;

/// Slots after growth, in percent of those before.
const GROWTH_PERCENT: usize = 118;

/// Slots of a segment that holds anything.
const MIN_SLOTS: usize = 8;

/// Probes before a search compares distances, which costs more than a probe.
const CHEAP_PROBES: usize = 6;

/// A piece and its holders.
#[derive(Debug, Clone, Copy, Default)]
struct Slot {
    /// Part of the piece's name; 0 if the slot is free.
    fingerprint: u64,
    /// Holders, or the mark [`LISTED`] and the key of a list.
    holders: [HolderId; INLINE],
}

/// A hash table by Robin Hood probing, which grows in small steps to keep its memory near its content.
#[derive(Debug, Clone, Default)]
pub(crate) struct Segment {
    /// The slots.
    slots: Vec<Slot>,
    /// Slots in use.
    len: usize,
    /// Holders of pieces with more of them than fit in a slot.
    lists: Slab<Vec<HolderId>>,
}

impl Segment {
    /// Pieces in the table.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Bytes of heap in use.
    pub(crate) fn heap_bytes(&self) -> usize {
        let lists: usize = self
            .lists
            .iter()
            .map(|(_, l)| l.capacity() * size_of::<HolderId>())
            .sum();
        self.slots.capacity() * size_of::<Slot>() + self.lists.capacity() * size_of::<Vec<HolderId>>() + lists
    }

    /// The holders of a piece; entries of 0 are free.
    pub(crate) fn holders(&self, fingerprint: u64) -> &[HolderId] {
        match self.find(fingerprint) {
            Some(at) => self.holders_at(at),
            None => &[],
        }
    }

    /// Content of the slot where a search for a piece starts.
    pub(crate) fn first_probe(&self, fingerprint: u64) -> u64 {
        self.slots
            .get(self.home(fingerprint))
            .map_or(0, |slot| slot.fingerprint)
    }

    /// Adds a holder to a piece.
    pub(crate) fn insert(&mut self, fingerprint: u64, holder: HolderId) {
        let Some(at) = self.find(fingerprint) else {
            self.reserve();
            let mut holders = [0; INLINE];
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
            slot.holders = [LISTED, key as u16, (key >> 16) as u16, 0];
        }
    }

    /// Removes a holder from a piece, and the piece with its last holder.
    pub(crate) fn remove(&mut self, fingerprint: u64, holder: HolderId) {
        if let Some(at) = self.find(fingerprint) {
            self.retain_at(at, |h| h != holder);
        }
    }

    /// Keeps the holders for which `keep` is true.
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

    /// Keeps some holders of a slot; true if the slot was freed.
    fn retain_at(&mut self, at: usize, keep: impl Fn(HolderId) -> bool) -> bool {
        let holders = &mut self.slots[at].holders;
        if let Some(list) = list_key(holders) {
            self.lists[list].retain(|h| keep(*h));
            if self.lists[list].len() <= INLINE {
                let left = self.lists.remove(list);
                *holders = [0; INLINE];
                holders[..left.len()].copy_from_slice(&left);
            }
        } else {
            holders
                .iter_mut()
                .filter(|h| **h != 0 && !keep(**h))
                .for_each(|h| *h = 0);
        }
        let is_empty = self.slots[at].holders == [0; INLINE];
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

    /// First slot for a fingerprint.
    fn home(&self, fingerprint: u64) -> usize {
        ((u128::from(fingerprint) * self.slots.len() as u128) >> 64) as usize
    }

    /// How far the content of a slot is from its first slot.
    fn distance(&self, at: usize) -> usize {
        let home = self.home(self.slots[at].fingerprint);
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
        let mut at = self.home(fingerprint);
        let mut distance = 0;
        loop {
            let found = self.slots[at].fingerprint;
            if found == fingerprint {
                return Some(at);
            }
            if found == 0 || (distance >= CHEAP_PROBES && self.distance(at) < distance) {
                return None;
            }
            at = self.next(at);
            distance += 1;
        }
    }

    /// Puts a new piece into the table; there must be a free slot.
    fn place(&mut self, mut slot: Slot) {
        let mut at = self.home(slot.fingerprint);
        let mut distance = 0;
        while self.slots[at].fingerprint != 0 {
            let resident = self.distance(at);
            if resident < distance {
                mem::swap(&mut self.slots[at], &mut slot);
                distance = resident;
            }
            at = self.next(at);
            distance += 1;
        }
        self.slots[at] = slot;
    }

    /// Frees a slot and moves those after it back.
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

    /// Makes room for one more piece.
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

fn list_key(holders: &[HolderId; INLINE]) -> Option<usize> {
    (holders[0] == LISTED).then(|| usize::from(holders[1]) | usize::from(holders[2]) << 16)
}
