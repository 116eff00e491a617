use std::mem;

use policy::{CandidateKey, Copies, StoreKey};

use crate::segment::HolderId;

/// What a holder identifier refers to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HolderKind {
    /// Nothing: the identifier is free or retired.
    Unassigned,
    /// A target.
    Target(CandidateKey),
    /// A store.
    Store(StoreKey),
}

/// A target or store, and whether its entries are confirmed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Holder {
    /// The target or store.
    kind: HolderKind,
    /// Whether the entries may be wrong.
    is_unconfirmed: bool,
}

/// Holders by identifier, starting at 1. A retired identifier is reused only after a sweep of all tables.
#[derive(Debug, Clone)]
pub(crate) struct Holders {
    /// The holders by identifier; index 0 is never used.
    holders: Vec<Holder>,
    /// Identifiers available for reuse.
    free: Vec<HolderId>,
    /// Identifiers that await the next sweep.
    retired: Vec<HolderId>,
    /// Identifiers that the current sweep removes, sorted.
    swept: Vec<HolderId>,
}

impl Holder {
    const UNASSIGNED: Self = Self {
        kind: HolderKind::Unassigned,
        is_unconfirmed: true,
    };

    pub(crate) fn target(key: CandidateKey) -> Self {
        Self {
            kind: HolderKind::Target(key),
            is_unconfirmed: false,
        }
    }

    pub(crate) fn store(key: StoreKey) -> Self {
        Self {
            kind: HolderKind::Store(key),
            is_unconfirmed: false,
        }
    }

    pub(crate) fn expected(key: CandidateKey) -> Self {
        Self::target(key).as_expected()
    }

    pub(crate) fn as_expected(self) -> Self {
        Self {
            is_unconfirmed: true,
            ..self
        }
    }
}

impl Default for Holders {
    fn default() -> Self {
        Self {
            holders: vec![Holder::UNASSIGNED],
            free: Vec::new(),
            retired: Vec::new(),
            swept: Vec::new(),
        }
    }
}

impl Holders {
    /// Assigns an identifier to a holder. Returns 0 if all are in use; entries under 0 are never stored.
    pub(crate) fn add(&mut self, holder: Holder) -> HolderId {
        if let Some(id) = self.free.pop() {
            self.holders[usize::from(id)] = holder;
            return id;
        }
        let id = self.holders.len();
        if id >= usize::from(HolderId::MAX) {
            return 0;
        }
        self.holders.push(holder);
        id as HolderId
    }

    /// Retires a holder; its entries no longer count.
    pub(crate) fn retire(&mut self, id: HolderId) {
        if id != 0 {
            self.holders[usize::from(id)] = Holder::UNASSIGNED;
            self.retired.push(id);
        }
    }

    pub(crate) fn is_unconfirmed(&self, id: HolderId) -> bool {
        self.holders[usize::from(id)].is_unconfirmed
    }

    pub(crate) fn set_unconfirmed(&mut self, id: HolderId, is_unconfirmed: bool) {
        if id != 0 {
            self.holders[usize::from(id)].is_unconfirmed = is_unconfirmed;
        }
    }

    pub(crate) fn has_retired(&self) -> bool {
        !self.retired.is_empty() || !self.swept.is_empty()
    }

    pub(crate) fn start_sweep(&mut self) {
        self.swept = mem::take(&mut self.retired);
        self.swept.sort_unstable();
    }

    pub(crate) fn is_swept(&self, id: HolderId) -> bool {
        self.swept.binary_search(&id).is_ok()
    }

    pub(crate) fn finish_sweep(&mut self) {
        self.free.append(&mut self.swept);
    }

    /// Adds the holders of piece `index` to `copies`. Returns whether any target or store counts as a holder.
    pub(crate) fn add_to_copies(&self, ids: &[HolderId], index: u16, copies: &mut Copies) -> bool {
        let mut is_held = false;
        for id in ids.iter().filter(|id| **id != 0) {
            let holder = self.holders[usize::from(*id)];
            match holder.kind {
                HolderKind::Unassigned => continue,
                HolderKind::Target(key) => copies.add_target(key, index, !holder.is_unconfirmed),
                HolderKind::Store(_) if holder.is_unconfirmed => continue,
                HolderKind::Store(key) => copies.add_store(key, index),
            }
            is_held = true;
        }
        is_held
    }
}
