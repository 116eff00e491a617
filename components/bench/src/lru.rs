use std::collections::{BTreeMap, HashMap};

use targets::PieceId;

/// A cache of pieces that evicts the least recently used ones above its capacity.
#[derive(Debug, Default)]
pub(crate) struct Lru {
    /// Capacity, in pieces.
    capacity: usize,
    /// Stamp of the last use of each piece.
    stamps: HashMap<PieceId, u64>,
    /// Pieces by the stamp of their last use, least recent first.
    order: BTreeMap<u64, PieceId>,
    /// Stamp of the last use of any piece; each use increments it.
    next_stamp: u64,
}

impl Lru {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    pub(crate) fn contains(&self, piece: &PieceId) -> bool {
        self.stamps.contains_key(piece)
    }

    /// Returns the number of leading pieces that are cached.
    pub(crate) fn cached_prefix(&self, pieces: &[PieceId]) -> usize {
        pieces.iter().take_while(|p| self.contains(p)).count()
    }

    pub(crate) fn pieces(&self) -> impl Iterator<Item = &PieceId> {
        self.order.values()
    }

    /// Records a use of a piece and inserts it if necessary. Returns whether it is new.
    pub(crate) fn touch(&mut self, piece: PieceId) -> bool {
        self.next_stamp += 1;
        let previous = self.stamps.insert(piece, self.next_stamp);
        previous.map(|stamp| self.order.remove(&stamp));
        self.order.insert(self.next_stamp, piece);
        previous.is_none()
    }

    /// Evicts and returns the least recently used pieces above the capacity.
    pub(crate) fn evict(&mut self) -> Vec<PieceId> {
        let mut evicted = Vec::new();
        while self.stamps.len() > self.capacity {
            let Some((_, piece)) = self.order.pop_first() else {
                return evicted;
            };
            self.stamps.remove(&piece);
            evicted.push(piece);
        }
        evicted
    }
}
