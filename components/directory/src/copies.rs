use std::collections::BTreeSet;
use std::hint::black_box;
use std::sync::Arc;

use policy::{CacheIndex, CandidateKey, Copies, MAX_PIECES, StoreKey};
use slotmap::SecondaryMap;
use targets::{CacheEvent, CacheEvents, CacheSnapshot, Catalogue, PieceId};
use utils::HostId;

use crate::feed::{Feed, Reread};
use crate::holders::{Holder, Holders};
use crate::piece::SHARD_BYTES;
use crate::segment::{HolderId, Segment};
use crate::shard::Sharding;

/// Number of tables over which the pieces are divided. A change copies only those tables that readers share.
const SEGMENTS: usize = 256;

/// The locations of all pieces, from the events of targets and the catalogues of stores.
///
/// The control thread owns the directory and shares a [`DirectoryView`] of it with the traffic threads. All
/// locations are hints: a target checks that it has a piece before it uses it.
#[derive(Debug, Default)]
pub struct Directory {
    /// State that is shared with readers.
    view: DirectoryView,
    /// Shards that this host owns; `None` if it owns all.
    sharding: Option<Sharding>,
    /// Holders and event position of each target.
    targets: SecondaryMap<CandidateKey, Source>,
    /// Holders and change position of each store.
    stores: SecondaryMap<StoreKey, Source>,
    /// Index of the table that is cleaned of retired holders next.
    sweep_position: usize,
}

/// An immutable snapshot of a [`Directory`].
#[derive(Debug, Clone)]
pub struct DirectoryView {
    /// Tables of pieces, by the first byte of the piece's name.
    segments: Vec<Arc<Segment>>,
    /// Holders by identifier.
    holders: Arc<Holders>,
}

/// The holders of a target or store and the position in its changes.
#[derive(Debug, Clone, Copy)]
struct Source {
    /// Holder for the pieces that it reported.
    reported: HolderId,
    /// Holder for the pieces that it is expected to have.
    expected: HolderId,
    /// Position in its numbered changes.
    feed: Feed,
}

/// Size and memory use of a directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Footprint {
    /// Number of pieces.
    pub pieces: usize,
    /// Heap memory of the pieces, in bytes.
    pub bytes: usize,
}

impl Default for DirectoryView {
    fn default() -> Self {
        Self {
            segments: vec![Arc::default(); SEGMENTS],
            holders: Arc::default(),
        }
    }
}

impl Directory {
    /// Creates a directory of the shards that `host` owns; none until the live hosts are set.
    pub fn sharded(host: HostId) -> Self {
        Self {
            sharding: Some(Sharding::new(host)),
            ..Self::default()
        }
    }

    /// Sets the live hosts and drops the pieces of shards that this host no longer owns. If it gains shards,
    /// all targets and stores become stale: their past events for these shards were not recorded, and their
    /// content has to be read again.
    pub fn set_hosts(&mut self, hosts: &BTreeSet<HostId>) -> Reread {
        let Some(sharding) = &mut self.sharding else {
            return Reread::NotNeeded;
        };
        let gained = sharding.set_hosts(hosts);
        for segment in &mut self.view.segments {
            Arc::make_mut(segment).retain(|fingerprint, _| sharding.owns_prefix(fingerprint as u16));
        }
        if gained.is_empty() {
            return Reread::NotNeeded;
        }
        self.mark_all_stale();
        Reread::Needed
    }

    /// Returns the targets whose content has to be read again.
    pub fn stale_targets(&self) -> impl Iterator<Item = CandidateKey> {
        let stale = self.targets.iter().filter(|(_, s)| s.feed.is_stale());
        stale.map(|(key, _)| key)
    }

    /// Returns the stores whose content has to be read again.
    pub fn stale_stores(&self) -> impl Iterator<Item = StoreKey> {
        let stale = self.stores.iter().filter(|(_, s)| s.feed.is_stale());
        stale.map(|(key, _)| key)
    }

    /// Returns a snapshot of the current state for other threads.
    pub fn view(&self) -> DirectoryView {
        self.view.clone()
    }

    /// Returns the number of pieces and their memory use.
    pub fn footprint(&self) -> Footprint {
        let segments = self.view.segments.iter();
        Footprint {
            pieces: segments.clone().map(|s| s.len()).sum(),
            bytes: segments.map(|s| s.heap_bytes() + size_of::<Segment>()).sum(),
        }
    }

    /// Returns the number of the first cache event of a target that has not been applied.
    pub fn next_event(&self, target: CandidateKey) -> u64 {
        self.targets.get(target).map_or(0, |s| s.feed.next())
    }

    /// Returns the number of the first change of a store that has not been applied.
    pub fn next_change(&self, store: StoreKey) -> u64 {
        self.stores.get(store).map_or(0, |s| s.feed.next())
    }

    /// Applies cache events of a target.
    pub fn apply_events(&mut self, target: CandidateKey, batch: &CacheEvents) -> Reread {
        let mut source = self.target_source(target);
        let advance = source
            .feed
            .advance(batch.incarnation, batch.first, batch.events.len());
        if advance.restarted {
            source = self.replace_holders(Holder::target(target), source);
        }
        for event in &batch.events[advance.fresh] {
            match event {
                CacheEvent::Stored(piece) => self.insert(piece, source.reported),
                CacheEvent::Evicted(piece) => self.remove(piece, &source),
            }
        }
        self.targets.insert(target, source);
        self.update_confirmation(&source);
        self.sweep();
        source.feed.reread()
    }

    /// Replaces the recorded content of a target with a snapshot of its cache.
    pub fn apply_snapshot(&mut self, target: CandidateKey, snapshot: &CacheSnapshot) {
        let mut source = self.target_source(target);
        source = self.replace_holders(Holder::target(target), source);
        source.feed.reset(snapshot.incarnation, snapshot.next);
        for piece in &snapshot.pieces {
            self.insert(piece, source.reported);
        }
        self.targets.insert(target, source);
        self.sweep();
    }

    /// Applies the changes of a store from number `from` on. A catalogue from 0 on holds the whole content
    /// and replaces the recorded one.
    pub fn apply_catalogue(&mut self, store: StoreKey, from: u64, catalogue: &Catalogue) -> Reread {
        let mut source = self.store_source(store);
        if from == 0 {
            source = self.replace_holders(Holder::store(store), source);
            source.feed.reset(catalogue.incarnation, catalogue.next);
        } else {
            let count = usize::try_from(catalogue.next.saturating_sub(from)).unwrap_or(usize::MAX);
            if source.feed.advance(catalogue.incarnation, from, count).restarted {
                source = self.replace_holders(Holder::store(store), source);
            }
        }
        for piece in &catalogue.stored {
            self.insert(piece, source.reported);
        }
        for piece in &catalogue.dropped {
            self.remove(piece, &source);
        }
        self.stores.insert(store, source);
        self.update_confirmation(&source);
        self.sweep();
        source.feed.reread()
    }

    /// Records that a target is expected to have the pieces of a prompt that was sent to it. They stay
    /// unconfirmed until the target reports them.
    pub fn add_expected(&mut self, target: CandidateKey, pieces: &[PieceId]) {
        let source = self.target_source(target);
        for piece in pieces {
            self.insert(piece, source.expected);
        }
        self.targets.insert(target, source);
    }

    /// Removes the expected pieces of a target that it has not reported.
    pub fn forget_expected(&mut self, target: CandidateKey) {
        let Some(mut source) = self.targets.get(target).copied() else {
            return;
        };
        self.holders_mut().retire(source.expected);
        source.expected = self.holders_mut().add(Holder::expected(target));
        self.targets.insert(target, source);
    }

    /// Removes the pieces from index `cached` on from a target, whether reported or expected: the target ran
    /// the prompt and had only those before `cached`.
    pub fn remove_uncached(&mut self, target: CandidateKey, pieces: &[PieceId], cached: usize) {
        let Some(source) = self.targets.get(target).copied() else {
            return;
        };
        for piece in pieces.iter().skip(cached) {
            self.remove(piece, &source);
        }
    }

    /// Marks the recorded content of a target as unconfirmed until its snapshot is read.
    pub fn mark_target_stale(&mut self, target: CandidateKey) {
        if let Some(source) = self.targets.get_mut(target) {
            source.feed.mark_stale();
            let reported = source.reported;
            self.holders_mut().set_unconfirmed(reported, true);
        }
    }

    /// Removes a target and its entries.
    pub fn remove_target(&mut self, target: CandidateKey) {
        if let Some(source) = self.targets.remove(target) {
            self.retire(source);
        }
    }

    /// Removes a store and its entries.
    pub fn remove_store(&mut self, store: StoreKey) {
        if let Some(source) = self.stores.remove(store) {
            self.retire(source);
        }
    }

    fn target_source(&mut self, key: CandidateKey) -> Source {
        match self.targets.get(key) {
            Some(source) => *source,
            None => self.add_source(Holder::target(key)),
        }
    }

    fn store_source(&mut self, key: StoreKey) -> Source {
        match self.stores.get(key) {
            Some(source) => *source,
            None => self.add_source(Holder::store(key)),
        }
    }

    fn add_source(&mut self, holder: Holder) -> Source {
        let holders = self.holders_mut();
        Source {
            reported: holders.add(holder),
            expected: holders.add(holder.as_expected()),
            feed: Feed::default(),
        }
    }

    /// Replaces the holders of a source with new ones without entries; its feed stays the same.
    fn replace_holders(&mut self, holder: Holder, old: Source) -> Source {
        self.retire(old);
        let feed = old.feed;
        Source {
            feed,
            ..self.add_source(holder)
        }
    }

    fn retire(&mut self, source: Source) {
        let holders = self.holders_mut();
        holders.retire(source.reported);
        holders.retire(source.expected);
    }

    fn update_confirmation(&mut self, source: &Source) {
        if self.view.holders.is_unconfirmed(source.reported) != source.feed.is_stale() {
            self.holders_mut()
                .set_unconfirmed(source.reported, source.feed.is_stale());
        }
    }

    fn mark_all_stale(&mut self) {
        let holders = Arc::make_mut(&mut self.view.holders);
        for source in self.targets.values_mut().chain(self.stores.values_mut()) {
            source.feed.mark_stale();
            holders.set_unconfirmed(source.reported, true);
        }
    }

    fn holders_mut(&mut self) -> &mut Holders {
        Arc::make_mut(&mut self.view.holders)
    }

    fn insert(&mut self, piece: &PieceId, holder: HolderId) {
        if holder == 0 || self.sharding.as_ref().is_some_and(|s| !s.owns(piece)) {
            return;
        }
        let (segment, fingerprint) = locate(piece);
        Arc::make_mut(&mut self.view.segments[segment]).insert(fingerprint, holder);
    }

    fn remove(&mut self, piece: &PieceId, source: &Source) {
        let (segment, fingerprint) = locate(piece);
        let segment = Arc::make_mut(&mut self.view.segments[segment]);
        segment.remove(fingerprint, source.reported);
        segment.remove(fingerprint, source.expected);
    }

    /// Cleans one table of retired holders. Their identifiers become free once all tables are clean.
    fn sweep(&mut self) {
        if !self.view.holders.has_retired() {
            return;
        }
        if self.sweep_position == 0 {
            self.holders_mut().start_sweep();
        }
        let holders = Arc::clone(&self.view.holders);
        Arc::make_mut(&mut self.view.segments[self.sweep_position]).retain(|_, h| !holders.is_swept(h));
        self.sweep_position = (self.sweep_position + 1) % SEGMENTS;
        if self.sweep_position == 0 {
            drop(holders);
            self.holders_mut().finish_sweep();
        }
    }
}

impl DirectoryView {
    /// Loads the slots of the pieces into the CPU cache. The reads are independent and overlap.
    fn prefetch(&self, pieces: &[PieceId]) {
        let slots = pieces.iter().take(MAX_PIECES).map(|piece| {
            let (segment, fingerprint) = locate(piece);
            self.segments[segment].first_probe(fingerprint)
        });
        black_box(slots.fold(0, |all, slot| all ^ slot));
    }
}

impl CacheIndex for DirectoryView {
    fn copies(&self, pieces: &[PieceId]) -> Copies {
        let mut copies = Copies::default();
        self.prefetch(pieces);
        for (index, piece) in pieces.iter().take(MAX_PIECES).enumerate() {
            let (segment, fingerprint) = locate(piece);
            let holders = self.segments[segment].holders(fingerprint);
            if !self.holders.add_to_copies(holders, index as u16, &mut copies) {
                break;
            }
        }
        copies
    }
}

/// Returns the table of a piece and its fingerprint in the table. The low 16 bits of the fingerprint give the
/// shard. All pieces of a prompt are in one table, which limits the memory that a lookup touches.
fn locate(piece: &PieceId) -> (usize, u64) {
    let name = piece.as_bytes();
    let mut fingerprint = [0; 8];
    fingerprint[..SHARD_BYTES].copy_from_slice(&name[..SHARD_BYTES]);
    fingerprint[SHARD_BYTES..].copy_from_slice(&name[8..14]);
    (usize::from(name[0]), u64::from_le_bytes(fingerprint).max(1))
}
