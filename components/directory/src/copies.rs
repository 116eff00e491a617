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

/// Tables that the pieces are divided into; a change copies only the tables that readers share.
const SEGMENTS: usize = 256;

/// Where each piece is, from the events of targets and the catalogues of stores.
///
/// The control thread owns a directory and gives traffic threads a [`DirectoryView`] of it. All of it is a hint: a
/// target checks a piece before it uses it.
#[derive(Debug, Default)]
pub struct Directory {
    /// What readers see.
    view: DirectoryView,
    /// Shards that this host keeps; `None` for all.
    sharding: Option<Sharding>,
    /// Position in each target's events.
    targets: SecondaryMap<CandidateKey, Source>,
    /// Position in each store's changes.
    stores: SecondaryMap<StoreKey, Source>,
    /// The table that is cleaned of retired holders next.
    sweep_at: usize,
}

/// An immutable state of a [`Directory`].
#[derive(Debug, Clone)]
pub struct DirectoryView {
    /// Pieces, by a byte of their names.
    segments: Vec<Arc<Segment>>,
    /// Holders by identifier.
    holders: Arc<Holders>,
}

/// A target or store that reports its pieces.
#[derive(Debug, Clone, Copy)]
struct Source {
    /// Holder of what it reported.
    reported: HolderId,
    /// Holder of what is expected of it.
    expected: HolderId,
    /// Position in its changes.
    feed: Feed,
}

/// Memory of a directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Footprint {
    /// Pieces known.
    pub pieces: usize,
    /// Bytes of heap for them.
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
    /// A directory of the shards that `me` keeps; none until the live hosts are known.
    pub fn sharded(me: HostId) -> Self {
        Self {
            sharding: Some(Sharding::new(me)),
            ..Self::default()
        }
    }

    /// Takes the live hosts and drops the pieces of shards that this host no longer keeps. If it keeps new ones, all
    /// targets and stores become doubtful: their past events were not kept, so their content has to be read again.
    pub fn set_hosts(&mut self, hosts: &BTreeSet<HostId>) -> Reread {
        let Some(sharding) = &mut self.sharding else {
            return Reread::NotNeeded;
        };
        let gained = sharding.set_hosts(hosts);
        for segment in &mut self.view.segments {
            Arc::make_mut(segment).retain(|fingerprint, _| sharding.keeps_shard(fingerprint as u16));
        }
        if gained.is_empty() {
            return Reread::NotNeeded;
        }
        self.doubt_all();
        Reread::Needed
    }

    /// Targets whose content has to be read again.
    pub fn doubtful_targets(&self) -> impl Iterator<Item = CandidateKey> {
        let doubtful = self.targets.iter().filter(|(_, s)| s.feed.is_doubtful());
        doubtful.map(|(key, _)| key)
    }

    /// Stores whose content has to be read again.
    pub fn doubtful_stores(&self) -> impl Iterator<Item = StoreKey> {
        let doubtful = self.stores.iter().filter(|(_, s)| s.feed.is_doubtful());
        doubtful.map(|(key, _)| key)
    }

    /// The state as of now, for other threads.
    pub fn view(&self) -> DirectoryView {
        self.view.clone()
    }

    /// Pieces and memory.
    pub fn footprint(&self) -> Footprint {
        let segments = self.view.segments.iter();
        Footprint {
            pieces: segments.clone().map(|s| s.len()).sum(),
            bytes: segments.map(|s| s.heap_bytes() + size_of::<Segment>()).sum(),
        }
    }

    /// Number of the first cache event of a target that was not applied.
    pub fn next_event(&self, target: CandidateKey) -> u64 {
        self.targets.get(target).map_or(0, |s| s.feed.next())
    }

    /// Number of the first change of a store that was not applied.
    pub fn next_change(&self, store: StoreKey) -> u64 {
        self.stores.get(store).map_or(0, |s| s.feed.next())
    }

    /// Takes cache events of a target.
    pub fn apply_events(&mut self, target: CandidateKey, batch: &CacheEvents) -> Reread {
        let mut source = self.target(target);
        let advance = source
            .feed
            .advance(batch.incarnation, batch.first, batch.events.len());
        if advance.restarted {
            source = self.replace(Holder::target(target), source);
        }
        for event in &batch.events[advance.fresh] {
            match event {
                CacheEvent::Stored(piece) => self.insert(piece, source.reported),
                CacheEvent::Evicted(piece) => self.remove(piece, &source),
            }
        }
        self.targets.insert(target, source);
        self.note_doubt(&source);
        self.sweep();
        source.feed.reread()
    }

    /// Takes the whole content of a target's cache in place of all that was known of it.
    pub fn apply_snapshot(&mut self, target: CandidateKey, snapshot: &CacheSnapshot) {
        let mut source = self.target(target);
        source = self.replace(Holder::target(target), source);
        source.feed.restart(snapshot.incarnation, snapshot.next);
        for piece in &snapshot.pieces {
            self.insert(piece, source.reported);
        }
        self.targets.insert(target, source);
        self.sweep();
    }

    /// Takes the changes of a store since number `from`. A catalogue from 0 on is the whole content.
    pub fn apply_catalogue(&mut self, store: StoreKey, from: u64, catalogue: &Catalogue) -> Reread {
        let mut source = self.store(store);
        if from == 0 {
            source = self.replace(Holder::store(store), source);
            source.feed.restart(catalogue.incarnation, catalogue.next);
        } else {
            let count = usize::try_from(catalogue.next.saturating_sub(from)).unwrap_or(usize::MAX);
            if source.feed.advance(catalogue.incarnation, from, count).restarted {
                source = self.replace(Holder::store(store), source);
            }
        }
        for piece in &catalogue.stored {
            self.insert(piece, source.reported);
        }
        for piece in &catalogue.dropped {
            self.remove(piece, &source);
        }
        self.stores.insert(store, source);
        self.note_doubt(&source);
        self.sweep();
        source.feed.reread()
    }

    /// Takes it that a target will soon hold the pieces of a prompt that was sent to it. They stay doubtful.
    pub fn add_expected(&mut self, target: CandidateKey, pieces: &[PieceId]) {
        let source = self.target(target);
        for piece in pieces {
            self.insert(piece, source.expected);
        }
        self.targets.insert(target, source);
    }

    /// Forgets what was expected of a target and has not been reported.
    pub fn forget_expected(&mut self, target: CandidateKey) {
        let Some(mut source) = self.targets.get(target).copied() else {
            return;
        };
        self.holders_mut().retire(source.expected);
        source.expected = self.holders_mut().add(Holder::expected(target));
        self.targets.insert(target, source);
    }

    /// Takes what a target used of a prompt: it lacks the pieces from `cached` on, whatever was reported.
    pub fn remove_uncached(&mut self, target: CandidateKey, pieces: &[PieceId], cached: usize) {
        let Some(source) = self.targets.get(target).copied() else {
            return;
        };
        for piece in pieces.iter().skip(cached) {
            self.remove(piece, &source);
        }
    }

    /// Marks all that is known of a target as doubtful, until its snapshot is read.
    pub fn doubt_target(&mut self, target: CandidateKey) {
        if let Some(source) = self.targets.get_mut(target) {
            source.feed.doubt();
            let reported = source.reported;
            self.holders_mut().set_doubtful(reported, true);
        }
    }

    /// Forgets a target that has gone.
    pub fn remove_target(&mut self, target: CandidateKey) {
        if let Some(source) = self.targets.remove(target) {
            self.retire(source);
        }
    }

    /// Forgets a store that has gone.
    pub fn remove_store(&mut self, store: StoreKey) {
        if let Some(source) = self.stores.remove(store) {
            self.retire(source);
        }
    }

    fn target(&mut self, key: CandidateKey) -> Source {
        match self.targets.get(key) {
            Some(source) => *source,
            None => self.add_source(Holder::target(key)),
        }
    }

    fn store(&mut self, key: StoreKey) -> Source {
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

    /// Gives a source new holders, which hold nothing yet; its feed is kept.
    fn replace(&mut self, holder: Holder, old: Source) -> Source {
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

    fn note_doubt(&mut self, source: &Source) {
        if self.view.holders.is_doubtful(source.reported) != source.feed.is_doubtful() {
            self.holders_mut()
                .set_doubtful(source.reported, source.feed.is_doubtful());
        }
    }

    fn doubt_all(&mut self) {
        let holders = Arc::make_mut(&mut self.view.holders);
        for source in self.targets.values_mut().chain(self.stores.values_mut()) {
            source.feed.doubt();
            holders.set_doubtful(source.reported, true);
        }
    }

    fn holders_mut(&mut self) -> &mut Holders {
        Arc::make_mut(&mut self.view.holders)
    }

    fn insert(&mut self, piece: &PieceId, holder: HolderId) {
        if holder == 0 || self.sharding.as_ref().is_some_and(|s| !s.keeps(piece)) {
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

    /// Cleans one table of retired holders; their identifiers are free once all tables are clean.
    fn sweep(&mut self) {
        if !self.view.holders.has_retired() {
            return;
        }
        if self.sweep_at == 0 {
            self.holders_mut().start_sweep();
        }
        let holders = Arc::clone(&self.view.holders);
        Arc::make_mut(&mut self.view.segments[self.sweep_at]).retain(|_, h| !holders.is_swept(h));
        self.sweep_at = (self.sweep_at + 1) % SEGMENTS;
        if self.sweep_at == 0 {
            drop(holders);
            self.holders_mut().finish_sweep();
        }
    }
}

impl DirectoryView {
    /// Brings the slots of the pieces into the CPU's cache; these reads do not wait for each other.
    fn load(&self, pieces: &[PieceId]) {
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
        self.load(pieces);
        for (index, piece) in pieces.iter().take(MAX_PIECES).enumerate() {
            let (segment, fingerprint) = locate(piece);
            let holders = self.segments[segment].holders(fingerprint);
            if !self.holders.describe(holders, index as u16, &mut copies) {
                break;
            }
        }
        copies
    }
}

/// The table of a piece and its fingerprint in it; the low 16 bits of a fingerprint give the shard. All pieces of a
/// prompt are in one table, so that a lookup touches little memory.
fn locate(piece: &PieceId) -> (usize, u64) {
    let name = piece.as_bytes();
    let mut fingerprint = [0; 8];
    fingerprint[..SHARD_BYTES].copy_from_slice(&name[..SHARD_BYTES]);
    fingerprint[SHARD_BYTES..].copy_from_slice(&name[8..14]);
    (usize::from(name[0]), u64::from_le_bytes(fingerprint).max(1))
}
