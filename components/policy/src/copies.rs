use slotmap::new_key_type;
use utils::Digest;

use crate::CandidateKey;

new_key_type! {
    /// Key of a store host in a [`crate::PlacementView`].
    pub struct StoreKey;
}

/// Maximum number of targets in a [`Copies`].
const MAX_TARGETS: usize = 32;

/// Maximum number of stores in a [`Copies`].
const MAX_STORES: usize = 8;

/// Maximum number of pieces of a prompt that are looked up.
pub const MAX_PIECES: usize = 128;

/// The leading pieces of a prompt that a target has cached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TargetCopy {
    /// The target.
    pub target: CandidateKey,
    /// Number of leading pieces that the target has reported as stored and not as evicted.
    pub confirmed: u16,
    /// Number of leading pieces that are reported or expected at the target; at least `confirmed`.
    pub likely: u16,
}

/// The pieces of a prompt that a store has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StoreCopy {
    /// The store.
    pub store: StoreKey,
    /// Bitmap of pieces: bit `i` is set if the store has piece `i`.
    pub pieces: u128,
}

/// The locations of the pieces of one prompt. Its size is fixed, which keeps lookups free of allocations.
#[derive(Debug, Clone)]
pub struct Copies {
    targets: [TargetCopy; MAX_TARGETS],
    target_count: usize,
    stores: [StoreCopy; MAX_STORES],
    store_count: usize,
}

/// Looks up the locations of pieces.
pub trait CacheIndex: Send + Sync {
    /// Returns the locations of a prompt's pieces, in order, up to the first piece without a copy.
    fn copies(&self, pieces: &[Digest]) -> Copies;
}

impl Default for Copies {
    fn default() -> Self {
        Self {
            targets: [TargetCopy::default(); MAX_TARGETS],
            target_count: 0,
            stores: [StoreCopy::default(); MAX_STORES],
            store_count: 0,
        }
    }
}

impl Copies {
    /// Returns the targets that have leading pieces of the prompt.
    pub fn targets(&self) -> &[TargetCopy] {
        &self.targets[..self.target_count]
    }

    /// Returns the stores that have any piece of the prompt.
    pub fn stores(&self) -> &[StoreCopy] {
        &self.stores[..self.store_count]
    }

    /// Returns the leading pieces that a target has; none if the target is not listed.
    pub fn target(&self, target: CandidateKey) -> TargetCopy {
        let found = self.targets().iter().find(|c| c.target == target);
        found.copied().unwrap_or(TargetCopy {
            target,
            ..TargetCopy::default()
        })
    }

    /// Records that a target has piece `index`. Pieces are added in order; a piece after a gap is ignored.
    pub fn add_target(&mut self, target: CandidateKey, index: u16, is_confirmed: bool) {
        let Some(copy) = self.target_mut(target, index) else {
            return;
        };
        if copy.likely == index {
            copy.likely += 1;
        }
        if is_confirmed && copy.confirmed == index {
            copy.confirmed += 1;
        }
    }

    /// Records that a store has piece `index`.
    pub fn add_store(&mut self, store: StoreKey, index: u16) {
        let count = self.store_count;
        let found = self.stores[..count].iter_mut().position(|c| c.store == store);
        let at = found.unwrap_or(count);
        if at == MAX_STORES {
            return;
        }
        self.store_count = self.store_count.max(at + 1);
        self.stores[at].store = store;
        self.stores[at].pieces |= 1 << index;
    }

    fn target_mut(&mut self, target: CandidateKey, index: u16) -> Option<&mut TargetCopy> {
        let count = self.target_count;
        if let Some(at) = self.targets[..count].iter().position(|c| c.target == target) {
            return Some(&mut self.targets[at]);
        }
        if index > 0 || count == MAX_TARGETS {
            return None;
        }
        self.target_count += 1;
        self.targets[count].target = target;
        Some(&mut self.targets[count])
    }
}

/// An index without any copies.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoCopies;

impl CacheIndex for NoCopies {
    fn copies(&self, _pieces: &[Digest]) -> Copies {
        Copies::default()
    }
}
