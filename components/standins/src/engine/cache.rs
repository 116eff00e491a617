use std::collections::{BTreeMap, HashMap, VecDeque};

use targets::{CacheEvent, CacheEvents, CacheSnapshot, PieceId};
use utils::{Monotonic, WeightVersion, WorkspaceId};

/// Cache events that are kept for readers.
const KEPT_EVENTS: usize = 8_192;

/// A piece in an engine's memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Block {
    /// Workspace of the request that computed it; `None` for an import.
    pub(crate) workspace: Option<WorkspaceId>,
    /// Weight version that computed it.
    pub(crate) weight_version: WeightVersion,
    /// Whether its content is right.
    pub(crate) intact: bool,
    /// Age rank: the lowest is evicted first.
    used: u64,
    /// Running drafts that use it.
    pins: u32,
}

/// A bounded cache of pieces with eviction of the least recently used.
#[derive(Debug)]
pub(crate) struct Cache {
    /// Pieces that fit.
    capacity: usize,
    /// Pieces in memory.
    blocks: HashMap<PieceId, Block>,
    /// Pieces by age rank.
    by_age: BTreeMap<u64, PieceId>,
    /// Next age rank.
    clock: u64,
    /// Events with their time; the last has the number `next - 1`.
    events: VecDeque<(Monotonic, CacheEvent)>,
    /// Number of the next event.
    next: u64,
    /// Run of the process.
    incarnation: u64,
}

impl Cache {
    pub(crate) fn new(capacity: u32, incarnation: u64) -> Self {
        Self {
            capacity: capacity as usize,
            blocks: HashMap::new(),
            by_age: BTreeMap::new(),
            clock: 0,
            events: VecDeque::new(),
            next: 0,
            incarnation,
        }
    }

    /// The longest prefix of `pieces` that is in memory.
    pub(crate) fn prefix(&self, pieces: &[PieceId]) -> Vec<Block> {
        pieces
            .iter()
            .map_while(|piece| self.blocks.get(piece).cloned())
            .collect()
    }

    pub(crate) fn get(&self, piece: &PieceId) -> Option<&Block> {
        self.blocks.get(piece)
    }

    /// Marks a piece as used now and keeps it until it is unpinned.
    pub(crate) fn pin(&mut self, piece: &PieceId) {
        let Some(block) = self.blocks.get_mut(piece) else {
            return;
        };
        self.by_age.remove(&block.used);
        block.used = self.clock;
        block.pins += 1;
        self.by_age.insert(self.clock, *piece);
        self.clock += 1;
    }

    pub(crate) fn unpin(&mut self, piece: &PieceId) {
        if let Some(block) = self.blocks.get_mut(piece) {
            block.pins = block.pins.saturating_sub(1);
        }
    }

    /// Takes a piece into memory; evicts others if there is no room.
    pub(crate) fn store(
        &mut self,
        now: Monotonic,
        piece: PieceId,
        workspace: Option<WorkspaceId>,
        weight_version: WeightVersion,
        intact: bool,
    ) {
        if self.blocks.contains_key(&piece) || !self.make_room(now) {
            return;
        }
        let block = Block {
            workspace,
            weight_version,
            intact,
            used: self.clock,
            pins: 0,
        };
        self.blocks.insert(piece, block);
        self.by_age.insert(self.clock, piece);
        self.clock += 1;
        self.publish(now, CacheEvent::Stored(piece));
    }

    /// Drops the pieces of one weight version that no draft uses.
    pub(crate) fn drop_version(&mut self, now: Monotonic, version: WeightVersion) {
        let old: Vec<PieceId> = self
            .blocks
            .iter()
            .filter(|(_, block)| block.weight_version == version && block.pins == 0)
            .map(|(piece, _)| *piece)
            .collect();
        for piece in old {
            self.evict(now, piece);
        }
    }

    fn make_room(&mut self, now: Monotonic) -> bool {
        if self.blocks.len() < self.capacity {
            return true;
        }
        let free = |piece: &&PieceId| self.blocks.get(*piece).is_some_and(|block| block.pins == 0);
        let Some(piece) = self.by_age.values().find(free).copied() else {
            return false;
        };
        self.evict(now, piece);
        true
    }

    fn evict(&mut self, now: Monotonic, piece: PieceId) {
        if let Some(block) = self.blocks.remove(&piece) {
            self.by_age.remove(&block.used);
            self.publish(now, CacheEvent::Evicted(piece));
        }
    }

    fn publish(&mut self, now: Monotonic, event: CacheEvent) {
        self.events.push_back((now, event));
        self.next += 1;
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }

    /// Events from a number on that were published before `until`.
    pub(crate) fn events(&self, from: u64, until: Monotonic) -> CacheEvents {
        let oldest = self.next - self.events.len() as u64;
        let first = from.clamp(oldest, self.next);
        let events = self
            .events
            .iter()
            .skip((first - oldest) as usize)
            .take_while(|(at, _)| *at <= until)
            .map(|(_, event)| *event)
            .collect();
        CacheEvents {
            incarnation: self.incarnation,
            first,
            events,
        }
    }

    pub(crate) fn snapshot(&self) -> CacheSnapshot {
        CacheSnapshot {
            incarnation: self.incarnation,
            next: self.next,
            pieces: self.blocks.keys().copied().collect(),
        }
    }

    pub(crate) fn incarnation(&self) -> u64 {
        self.incarnation
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use targets::CacheEvent;
    use utils::digest;

    use super::Cache;

    #[test]
    fn evicts_the_least_recently_used_piece_that_is_not_pinned() {
        let now = Duration::ZERO;
        let [a, b, c] = [digest(b"a"), digest(b"b"), digest(b"c")];
        let mut cache = Cache::new(2, 7);
        cache.store(now, a, None, 1, true);
        cache.store(now, b, None, 1, true);
        cache.pin(&a);
        cache.store(now, c, None, 1, true);
        assert!(cache.get(&a).is_some() && cache.get(&b).is_none() && cache.get(&c).is_some());
        let events = cache.events(1, now);
        assert_eq!(events.first, 1);
        let expected = [
            CacheEvent::Stored(b),
            CacheEvent::Evicted(b),
            CacheEvent::Stored(c),
        ];
        assert_eq!(events.events, expected);
    }
}
