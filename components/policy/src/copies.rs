use slotmap::new_key_type;
use utils::Digest;

use crate::CandidateKey;

new_key_type! {
    /// Key of a store host in a [`crate::PlacementView`].
    pub struct StoreKey;
}

/// Most targets that a [`Copies`] names.
const MAX_TARGETS: usize = 32;

/// Most stores that a [`Copies`] names.
const MAX_STORES: usize = 8;

/// Most pieces of a prompt that are looked up.
pub const MAX_PIECES: usize = 128;

/// The front of a prompt that a target keeps in its cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TargetCopy {
    /// The target.
    pub target: CandidateKey,
    /// Leading pieces that the target has reported and not dropped.
    pub certain: u16,
    /// Leading pieces that it has or may have; at least `certain`.
    pub likely: u16,
}

/// The pieces of a prompt that a store holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StoreCopy {
    /// The store.
    pub store: StoreKey,
    /// Bit `i` is set if the store holds piece `i`.
    pub pieces: u128,
}

/// Where the pieces of one prompt are; of fixed size, so that a lookup allocates nothing.
#[derive(Debug, Clone)]
pub struct Copies {
    targets: [TargetCopy; MAX_TARGETS],
    target_count: usize,
    stores: [StoreCopy; MAX_STORES],
    store_count: usize,
}

/// Knows where pieces are kept.
pub trait CacheIndex: Send + Sync {
    /// Looks up the pieces of a prompt, first to last, up to the first that is nowhere.
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
    /// Targets with the front of the prompt.
    pub fn targets(&self) -> &[TargetCopy] {
        &self.targets[..self.target_count]
    }

    /// Stores with any piece of the prompt.
    pub fn stores(&self) -> &[StoreCopy] {
        &self.stores[..self.store_count]
    }

    /// What a target keeps.
    pub fn target(&self, target: CandidateKey) -> TargetCopy {
        let found = self.targets().iter().find(|c| c.target == target);
        found.copied().unwrap_or(TargetCopy {
            target,
            ..TargetCopy::default()
        })
    }

    /// Adds that a target holds piece `index`. Pieces are added in order; one after a hole is ignored.
    pub fn add_target(&mut self, target: CandidateKey, index: u16, is_certain: bool) {
        let Some(copy) = self.target_mut(target, index) else {
            return;
        };
        if copy.likely == index {
            copy.likely += 1;
        }
        if is_certain && copy.certain == index {
            copy.certain += 1;
        }
    }

    /// Adds that a store holds piece `index`.
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

/// An index that knows of no copies.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoCopies;

impl CacheIndex for NoCopies {
    fn copies(&self, _pieces: &[Digest]) -> Copies {
        Copies::default()
    }
}
