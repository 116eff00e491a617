use std::collections::BTreeMap;
use std::net::SocketAddr;

use directory::Directory;
use metadata::ListedHost;
use policy::{
    CacheIndex, Candidate, CandidateKey, LinkMeter, PlacementView, Retention, StoreKey, StoreView,
    TransferStart, Transfers, WriteBack,
};
use targets::{PIECE_TOKENS, PieceId};
use utils::{Monotonic, TargetId, WeightVersion, WorkspaceId};

use super::watch::{CacheUpdate, Export};
use crate::cache::CacheCell;

/// Transfer rate assumed for a store until it is measured, in bytes per second.
const DEFAULT_BYTES_PER_SECOND: f64 = 125e6;

/// Capacity of the queue of exports.
const EXPORT_QUEUE_CAPACITY: usize = 256;

/// Tracks the kept cache: the locations of pieces, the state of stores, and which pieces are worth storing.
/// Owned by the control thread.
pub(crate) struct KeptCache {
    /// Locations of pieces.
    directory: Directory,
    /// Keys and transfer meters of the stores by name.
    stores: BTreeMap<TargetId, (StoreKey, LinkMeter)>,
    /// Gaps between the uses of pieces.
    retention: Retention,
    /// Pieces that are being copied to stores.
    exporting: Transfers<TargetId>,
    /// Sends exports to the exporter.
    tx: async_channel::Sender<Export>,
}

/// A prompt whose pieces are now in a target's cache.
pub(crate) struct Prefilled<'a> {
    pub(crate) key: CandidateKey,
    pub(crate) workspace: &'a WorkspaceId,
    pub(crate) weight_version: WeightVersion,
    pub(crate) pieces: &'a [PieceId],
}

impl KeptCache {
    pub(crate) fn new() -> (Self, async_channel::Receiver<Export>) {
        let (tx, rx) = async_channel::bounded(EXPORT_QUEUE_CAPACITY);
        let kept = Self {
            directory: Directory::default(),
            stores: BTreeMap::new(),
            retention: Retention::default(),
            exporting: Transfers::default(),
            tx,
        };
        (kept, rx)
    }

    /// Replaces the stores with those of the platform's list.
    pub(crate) fn apply_stores<'a>(
        &mut self,
        listed: impl Iterator<Item = &'a ListedHost> + Clone,
        view: &mut PlacementView,
    ) {
        let directory = &mut self.directory;
        self.stores.retain(|id, (key, _)| {
            let is_listed = listed.clone().any(|h| h.id == *id);
            if !is_listed {
                view.stores.remove(*key);
                directory.remove_store(*key);
            }
            is_listed
        });
        for host in listed {
            let entry = self.stores.entry(host.id.clone());
            let (key, _) = entry.or_insert_with(|| {
                (
                    view.stores.insert(new_store(host)),
                    LinkMeter::new(DEFAULT_BYTES_PER_SECOND),
                )
            });
            if let Some(store) = view.stores.get_mut(*key) {
                store.address = host.address;
            }
        }
    }

    pub(crate) fn remove_target(&mut self, key: CandidateKey) {
        self.directory.remove_target(key);
    }

    /// Applies an update from a target.
    pub(crate) fn apply_target_update(&mut self, key: CandidateKey, update: &CacheUpdate) {
        match update {
            // After a gap the target's content in the directory is unconfirmed until the poller reads a
            // snapshot.
            CacheUpdate::Events(batch) => {
                let _ = self.directory.apply_events(key, batch);
            }
            CacheUpdate::Snapshot(snapshot) => self.directory.apply_snapshot(key, snapshot),
            CacheUpdate::Catalogue(..) | CacheUpdate::PieceBytes(_) | CacheUpdate::Exported(_) => {}
        }
    }

    /// Applies an update from a store.
    pub(crate) fn apply_store_update(
        &mut self,
        id: &TargetId,
        update: CacheUpdate,
        view: &mut PlacementView,
    ) {
        let Some((key, _)) = self.stores.get(id) else {
            return;
        };
        match update {
            CacheUpdate::Catalogue(from, catalogue) => {
                let _ = self.directory.apply_catalogue(*key, from, &catalogue);
            }
            CacheUpdate::PieceBytes(bytes) => view.piece_bytes = view.piece_bytes.max(bytes),
            CacheUpdate::Exported(pieces) => {
                for piece in pieces {
                    self.exporting.end(piece, id.clone());
                }
            }
            CacheUpdate::Events(_) | CacheUpdate::Snapshot(_) => {}
        }
    }

    /// Records the start of a transfer from a store.
    pub(crate) fn record_fetch_start(&mut self, store: SocketAddr, view: &PlacementView, now: Monotonic) {
        if let Some(meter) = self.meter(store, view) {
            meter.started(view.piece_bytes, now);
        }
    }

    /// Records the end of a transfer from a store.
    pub(crate) fn record_fetch_end(
        &mut self,
        store: SocketAddr,
        is_complete: bool,
        view: &PlacementView,
        now: Monotonic,
    ) {
        let Some(meter) = self.meter(store, view) else {
            return;
        };
        match is_complete {
            true => meter.finished(view.piece_bytes, now),
            false => meter.failed(view.piece_bytes, now),
        }
    }

    /// Records that a target has a prompt in its cache, and exports the pieces worth storing to a store of
    /// the target's region.
    pub(crate) fn record_prefill(&mut self, prompt: &Prefilled<'_>, view: &PlacementView, now: Monotonic) {
        self.directory.add_expected(prompt.key, prompt.pieces);
        for (depth, piece) in prompt.pieces.iter().enumerate() {
            self.retention
                .record_use(prompt.workspace, *piece, depth as u16, now);
        }
        let Some(candidate) = view.targets.get(prompt.key) else {
            return;
        };
        let region_store = self.stores.iter().find_map(|(id, (key, meter))| {
            let store = view.stores.get(*key)?;
            let is_in_region = store.region == candidate.region && meter.is_usable(now);
            is_in_region.then(|| (id.clone(), *key, store.address, meter.rate()))
        });
        let Some((id, key, address, rate)) = region_store else {
            return;
        };
        let copies = self.directory.view().copies(prompt.pieces);
        let stored = copies
            .stores()
            .iter()
            .find(|c| c.store == key)
            .map_or(0, |c| c.pieces);
        let costs = write_back(candidate, view.piece_bytes, rate);
        let mut pieces = Vec::new();
        for (depth, piece) in prompt.pieces.iter().enumerate().take(u128::BITS as usize) {
            let should_export = stored >> depth & 1 == 0
                && self
                    .retention
                    .is_worth_writing(prompt.workspace, depth as u16, &costs);
            if should_export && self.exporting.begin(*piece, id.clone()) == TransferStart::Start {
                pieces.push(*piece);
            }
        }
        self.send(Export {
            engine: candidate.address,
            store_id: id,
            store: address,
            weight_version: prompt.weight_version,
            pieces,
        });
    }

    /// Publishes the locations of pieces to `cell` and the state of the stores to `view`.
    pub(crate) fn publish(&mut self, cell: &CacheCell, view: &mut PlacementView, now: Monotonic) {
        for (key, meter) in self.stores.values_mut() {
            meter.check(now);
            if let Some(store) = view.stores.get_mut(*key) {
                store.is_usable = meter.is_usable(now);
                store.bytes_per_second = meter.rate();
                store.backlog_bytes = meter.backlog_bytes();
            }
        }
        view.build_index(now);
        cell.publish(self.directory.view());
    }

    /// Queues pieces for export. With a full queue they are dropped and not stored.
    fn send(&mut self, export: Export) {
        if export.pieces.is_empty() {
            return;
        }
        if let Err(e) = self.tx.try_send(export) {
            let export = e.into_inner();
            for piece in export.pieces {
                self.exporting.end(piece, export.store_id.clone());
            }
        }
    }

    fn meter(&mut self, address: SocketAddr, view: &PlacementView) -> Option<&mut LinkMeter> {
        let mut stores = self.stores.values_mut();
        let found = stores.find(|(key, _)| view.stores.get(*key).is_some_and(|s| s.address == address));
        found.map(|(_, meter)| meter)
    }
}

fn new_store(host: &ListedHost) -> StoreView {
    StoreView {
        id: host.id.clone(),
        address: host.address,
        region: host.region.clone(),
        is_usable: true,
        bytes_per_second: DEFAULT_BYTES_PER_SECOND,
        backlog_bytes: 0,
    }
}

fn write_back(candidate: &Candidate, piece_bytes: u64, rate: f64) -> WriteBack {
    let transfer = piece_bytes as f64 / rate.max(1.0);
    WriteBack {
        recompute_seconds: f64::from(PIECE_TOKENS) / candidate.prefill_tokens_per_second.max(1.0),
        fetch_seconds: transfer,
        recompute_cost: 0.0,
        write_cost: 0.0,
    }
}
