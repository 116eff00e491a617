use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use errors::events;
use http_io::{Client, Executor};
use slog::warn;
use targets::{
    CacheEvents, CacheSnapshot, Catalogue, Engine, HttpEngine, HttpStore, PieceId, Store, TransferRequest,
};
use utils::{Incarnation, TargetId, WeightVersion};

use super::poll::{Inputs, jittered};
use super::state::Input;
use crate::shared::Shared;

/// Interval between reads of the cache events of a target, or of the changes of a store.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// An update about the cache pieces of a target or store.
#[derive(Debug)]
pub(crate) enum CacheUpdate {
    /// Changes of a target's cache.
    Events(CacheEvents),
    /// Snapshot of a target's cache.
    Snapshot(CacheSnapshot),
    /// Changes of a store from the given change number on.
    Catalogue(u64, Catalogue),
    /// Size of a full piece in a store, in bytes.
    PieceBytes(u64),
    /// Pieces whose export to a store has ended, successfully or not.
    Exported(Vec<PieceId>),
}

/// Pieces to copy from a target to a store.
#[derive(Debug)]
pub(crate) struct Export {
    /// Address of the target.
    pub(crate) engine: SocketAddr,
    /// Name of the store.
    pub(crate) store_id: TargetId,
    /// Address of the store.
    pub(crate) store: SocketAddr,
    /// Weight version of the pieces.
    pub(crate) weight_version: WeightVersion,
    /// The pieces in the order of the prompt.
    pub(crate) pieces: Vec<PieceId>,
}

/// Polls every engine and store of the published view.
pub(crate) async fn poll_caches(shared: Arc<Shared>, client: Client, ex: Executor, tx: Inputs) {
    let mut tasks: HashMap<(TargetId, SocketAddr), smol::Task<()>> = HashMap::new();
    loop {
        let view = shared.view.load_full();
        let engines = view.placement.targets.values().map(|t| (t.id.clone(), t.address));
        let stores = view.placement.stores.values().map(|s| (s.id.clone(), s.address));
        let (engines, stores): (Vec<_>, Vec<_>) = (engines.collect(), stores.collect());
        tasks.retain(|key, task| !task.is_finished() && (engines.contains(key) || stores.contains(key)));
        for (id, address) in engines {
            tasks.entry((id.clone(), address)).or_insert_with(|| {
                ex.spawn(poll_engine(
                    id,
                    HttpEngine::new(client.clone(), address),
                    tx.clone(),
                ))
            });
        }
        for (id, address) in stores {
            tasks.entry((id.clone(), address)).or_insert_with(|| {
                ex.spawn(poll_store(
                    id,
                    HttpStore::new(client.clone(), address),
                    tx.clone(),
                ))
            });
        }
        smol::Timer::after(POLL_INTERVAL).await;
    }
}

/// Polls the cache events of an engine. Reads a snapshot after a gap or a restart.
async fn poll_engine(id: TargetId, engine: HttpEngine, tx: Inputs) {
    let mut position: Option<(Incarnation, u64)> = None;
    loop {
        let next = position.map_or(0, |(_, next)| next);
        if let Ok(batch) = engine.cache_events(next).await {
            let is_continuous =
                position.is_some_and(|(run, next)| run == batch.incarnation && batch.first <= next);
            let end = batch.first + batch.events.len() as u64;
            position = is_continuous.then_some((batch.incarnation, end.max(next)));
            if tx
                .send(Input::Cache(id.clone(), CacheUpdate::Events(batch)))
                .await
                .is_err()
            {
                return;
            }
        }
        if position.is_none()
            && let Ok(snapshot) = engine.cache_snapshot().await
        {
            position = Some((snapshot.incarnation, snapshot.next));
            if tx
                .send(Input::Cache(id.clone(), CacheUpdate::Snapshot(snapshot)))
                .await
                .is_err()
            {
                return;
            }
        }
        smol::Timer::after(jittered(POLL_INTERVAL)).await;
    }
}

/// Polls the changes of a store. Reads them from the start after a restart.
async fn poll_store(id: TargetId, store: HttpStore, tx: Inputs) {
    let mut position: Option<(Incarnation, u64)> = None;
    let mut is_piece_size_known = false;
    loop {
        let from = position.map_or(0, |(_, next)| next);
        // The answer lists the changes since change number `from`; 0 requests the whole content.
        if let Ok(catalogue) = store.catalogue(from).await {
            let is_continuous = position.is_none_or(|(run, _)| run == catalogue.incarnation);
            position = is_continuous.then_some((catalogue.incarnation, catalogue.next));
            let sample = catalogue.stored.first().copied().filter(|_| !is_piece_size_known);
            if tx
                .send(Input::Cache(id.clone(), CacheUpdate::Catalogue(from, catalogue)))
                .await
                .is_err()
            {
                return;
            }
            if let Some(piece) = sample
                && let Ok(Some(manifest)) = store.manifest(piece).await
            {
                is_piece_size_known = true;
                let _ = tx
                    .send(Input::Cache(id.clone(), CacheUpdate::PieceBytes(manifest.bytes)))
                    .await;
            }
        }
        smol::Timer::after(jittered(POLL_INTERVAL)).await;
    }
}

/// Copies pieces from targets to stores, one export after another. Pieces that fail to copy are not stored.
pub(crate) async fn export(
    shared: Arc<Shared>,
    client: Client,
    exports: async_channel::Receiver<Export>,
    tx: Inputs,
) {
    while let Ok(export) = exports.recv().await {
        let engine = HttpEngine::new(client.clone(), export.engine);
        for piece in &export.pieces {
            let req = TransferRequest {
                piece: *piece,
                weight_version: export.weight_version,
                store: export.store,
            };
            if let Err(e) = engine.export(req).await {
                warn!(shared.log, "export of pieces failed"; events::EXPORT_FAILED,
                    "store" => &*export.store_id, "failure" => %e.current_context());
                break;
            }
        }
        let update = CacheUpdate::Exported(export.pieces);
        if tx.send(Input::Cache(export.store_id, update)).await.is_err() {
            return;
        }
    }
}
