use std::mem;

use policy::{CandidateKey, Copies, StoreKey};

use crate::segment::HolderId;

/// Who holds a piece.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Owner {
    /// Free identifier, or one that no longer counts.
    Nobody,
    /// A target.
    Target(CandidateKey),
    /// A store.
    Store(StoreKey),
}

/// An owner and how far its entries can be trusted.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Holder {
    /// The owner.
    owner: Owner,
    /// Whether the entries may be wrong.
    is_doubtful: bool,
}

/// Holders by identifier, from 1. An identifier that was retired is used again only after a sweep of all tables.
#[derive(Debug, Clone)]
pub(crate) struct Holders {
    /// The holders; the first is never used.
    holders: Vec<Holder>,
    /// Identifiers that can be given out.
    free: Vec<HolderId>,
    /// Identifiers that wait for the next sweep.
    retired: Vec<HolderId>,
    /// Identifiers that the current sweep removes, in order.
    swept: Vec<HolderId>,
}

impl Holder {
    const NOBODY: Self = Self {
        owner: Owner::Nobody,
        is_doubtful: true,
    };

    pub(crate) fn target(key: CandidateKey) -> Self {
        Self {
            owner: Owner::Target(key),
            is_doubtful: false,
        }
    }

    pub(crate) fn store(key: StoreKey) -> Self {
        Self {
            owner: Owner::Store(key),
            is_doubtful: false,
        }
    }

    pub(crate) fn expected(key: CandidateKey) -> Self {
        Self::target(key).as_expected()
    }

    pub(crate) fn as_expected(self) -> Self {
        Self {
            is_doubtful: true,
            ..self
        }
    }
}

impl Default for Holders {
    fn default() -> Self {
        Self {
            holders: vec![Holder::NOBODY],
            free: Vec::new(),
            retired: Vec::new(),
            swept: Vec::new(),
        }
    }
}

impl Holders {
    /// Gives a holder an identifier. With none left, its entries are lost: the identifier 0 is never found.
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

    /// Ends a holder; its entries no longer count.
    pub(crate) fn retire(&mut self, id: HolderId) {
        if id != 0 {
            self.holders[usize::from(id)] = Holder::NOBODY;
            self.retired.push(id);
        }
    }

    pub(crate) fn is_doubtful(&self, id: HolderId) -> bool {
        self.holders[usize::from(id)].is_doubtful
    }

    pub(crate) fn set_doubtful(&mut self, id: HolderId, is_doubtful: bool) {
        if id != 0 {
            self.holders[usize::from(id)].is_doubtful = is_doubtful;
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

    /// Adds the holders of piece `index` to `copies`; false if nobody holds it.
    pub(crate) fn describe(&self, ids: &[HolderId], index: u16, copies: &mut Copies) -> bool {
        let mut is_held = false;
        for id in ids.iter().filter(|id| **id != 0) {
            let holder = self.holders[usize::from(*id)];
            match holder.owner {
                Owner::Nobody => continue,
                Owner::Target(key) => copies.add_target(key, index, !holder.is_doubtful),
                Owner::Store(_) if holder.is_doubtful => continue,
                Owner::Store(key) => copies.add_store(key, index),
            }
            is_held = true;
        }
        is_held
    }
}
