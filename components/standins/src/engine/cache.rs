use std::collections::{BTreeMap, HashMap, VecDeque};

use targets::{CacheEvent, CacheEvents, CacheSnapshot, PieceId};
use utils::{Monotonic, WeightVersion, WorkspaceId};

/// Maximum number of cache events that are kept for readers.
const MAX_EVENTS: usize = 8_192;

/// A piece in an engine's memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct CachedPiece {
    /// Workspace of the request that computed it; `None` for an import.
    pub(crate) workspace: Option<WorkspaceId>,
    /// Weight version that computed it.
    pub(crate) weight_version: WeightVersion,
    /// Whether its content is correct.
    pub(crate) intact: bool,
    /// Logical time of the last use; the lowest is evicted first.
    last_use: u64,
    /// Number of running drafts that use it.
    pins: u32,
}

/// A bounded cache of pieces that evicts the least recently used.
#[derive(Debug)]
pub(crate) struct Cache {
    /// Maximum number of pieces.
    capacity: usize,
    /// Pieces in memory.
    pieces: HashMap<PieceId, CachedPiece>,
    /// Pieces by the logical time of their last use.
    by_last_use: BTreeMap<u64, PieceId>,
    /// Logical time of the next use.
    clock: u64,
    /// Events with their time; the last one has the number `next_event - 1`.
    events: VecDeque<(Monotonic, CacheEvent)>,
    /// Number of the next event.
    next_event: u64,
    /// Incarnation of the process.
    incarnation: u64,
}

impl Cache {
    pub(crate) fn new(capacity: u32, incarnation: u64) -> Self {
        Self {
            capacity: capacity as usize,
            pieces: HashMap::new(),
            by_last_use: BTreeMap::new(),
            clock: 0,
            events: VecDeque::new(),
            next_event: 0,
            incarnation,
        }
    }

    /// Returns the cached pieces of the longest prefix of `pieces` that is in memory.
    pub(crate) fn cached_prefix(&self, pieces: &[PieceId]) -> Vec<CachedPiece> {
        pieces
            .iter()
            .map_while(|piece| self.pieces.get(piece).cloned())
            .collect()
    }

    pub(crate) fn get(&self, piece: &PieceId) -> Option<&CachedPiece> {
        self.pieces.get(piece)
    }

    /// Marks a piece as used now and protects it from eviction until it is unpinned.
    pub(crate) fn pin(&mut self, piece: &PieceId) {
        let Some(cached) = self.pieces.get_mut(piece) else {
            return;
        };
        self.by_last_use.remove(&cached.last_use);
        cached.last_use = self.clock;
        cached.pins += 1;
        self.by_last_use.insert(self.clock, *piece);
        self.clock += 1;
    }

    pub(crate) fn unpin(&mut self, piece: &PieceId) {
        if let Some(cached) = self.pieces.get_mut(piece) {
            cached.pins = cached.pins.saturating_sub(1);
        }
    }

    /// Stores a piece. A full cache first evicts its least recently used piece that is not pinned; if all are
    /// pinned, the new piece is not stored.
    pub(crate) fn store(
        &mut self,
        now: Monotonic,
        piece: PieceId,
        workspace: Option<WorkspaceId>,
        weight_version: WeightVersion,
        intact: bool,
    ) {
        if self.pieces.contains_key(&piece) || !self.make_room(now) {
            return;
        }
        let cached = CachedPiece {
            workspace,
            weight_version,
            intact,
            last_use: self.clock,
            pins: 0,
        };
        self.pieces.insert(piece, cached);
        self.by_last_use.insert(self.clock, piece);
        self.clock += 1;
        self.publish(now, CacheEvent::Stored(piece));
    }

    /// Evicts the pieces of a weight version that no draft uses.
    pub(crate) fn drop_version(&mut self, now: Monotonic, version: WeightVersion) {
        let unused: Vec<PieceId> = self
            .pieces
            .iter()
            .filter(|(_, cached)| cached.weight_version == version && cached.pins == 0)
            .map(|(piece, _)| *piece)
            .collect();
        for piece in unused {
            self.evict(now, piece);
        }
    }

    fn make_room(&mut self, now: Monotonic) -> bool {
        if self.pieces.len() < self.capacity {
            return true;
        }
        let is_unpinned = |piece: &&PieceId| self.pieces.get(*piece).is_some_and(|cached| cached.pins == 0);
        let Some(piece) = self.by_last_use.values().find(is_unpinned).copied() else {
            return false;
        };
        self.evict(now, piece);
        true
    }

    fn evict(&mut self, now: Monotonic, piece: PieceId) {
        if let Some(cached) = self.pieces.remove(&piece) {
            self.by_last_use.remove(&cached.last_use);
            self.publish(now, CacheEvent::Evicted(piece));
        }
    }

    fn publish(&mut self, now: Monotonic, event: CacheEvent) {
        self.events.push_back((now, event));
        self.next_event += 1;
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the events from number `from` on that were published no later than `until`.
    pub(crate) fn events(&self, from: u64, until: Monotonic) -> CacheEvents {
        let oldest = self.next_event - self.events.len() as u64;
        let first = from.clamp(oldest, self.next_event);
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
            next: self.next_event,
            pieces: self.pieces.keys().copied().collect(),
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
