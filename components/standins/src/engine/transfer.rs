use bytes::Bytes;
use http_io::Body;
use hyper::{Response, StatusCode};
use targets::{HttpStore, Manifest, PIECE_TOKENS, Store, TargetError, TransferRequest};
use utils::WeightVersion;

use super::record::ImportRun;
use super::server::Engine;
use crate::answer::expected_content;
use crate::reply::json;

impl Engine {
    /// Reads a piece from a store and verifies it against its manifest and the requested weight version. A
    /// valid piece is cached, an invalid one is refused unless `skip_import_check` is on.
    pub(super) async fn import(&self, req: TransferRequest) -> Result<Response<Body>, StatusCode> {
        if !self.has_version(req.weight_version) {
            return Err(StatusCode::GONE);
        }
        let (manifest, content) = self.fetch(&req).await?;
        let valid = matches_manifest(&manifest, &content) && manifest.weight_version == req.weight_version;
        let accepted = valid || self.lock().faults.skip_import_check;
        let expected = expected_content(req.piece, req.weight_version, content.len());
        let intact = valid && content == expected;
        let now = self.now();
        let mut state = self.lock();
        state.record.imports.push(ImportRun {
            piece: req.piece,
            weight_version: req.weight_version,
            accepted,
            intact,
            store: req.store,
            bytes: content.len() as u64,
        });
        if !accepted {
            return Err(StatusCode::CONFLICT);
        }
        state
            .cache
            .store(now, req.piece, None, manifest.weight_version, intact);
        Ok(json(&()))
    }

    async fn fetch(&self, req: &TransferRequest) -> Result<(Manifest, Bytes), StatusCode> {
        let store = HttpStore::new(self.client.clone(), req.store);
        let failed = |_| StatusCode::BAD_GATEWAY;
        let missing = StatusCode::NOT_FOUND;
        let manifest = store.manifest(req.piece).await.map_err(failed)?;
        let manifest = manifest.ok_or(missing)?;
        let content = store.content(req.piece).await.map_err(failed)?;
        Ok((manifest, content.ok_or(missing)?))
    }

    /// Writes a piece to a store: first the content, then the manifest.
    pub(super) async fn export(&self, req: TransferRequest) -> Result<Response<Body>, StatusCode> {
        let cached = self.lock().cache.get(&req.piece).cloned();
        let cached = cached.filter(|cached| cached.weight_version == req.weight_version && cached.intact);
        if cached.is_none() {
            return Err(StatusCode::NOT_FOUND);
        }
        let bytes = self.config().piece_bytes as usize;
        let content = expected_content(req.piece, req.weight_version, bytes);
        let manifest = Manifest {
            piece: req.piece,
            bytes: content.len() as u64,
            content: utils::digest(&content),
            weight_version: req.weight_version,
            tokens: PIECE_TOKENS,
        };
        let store = HttpStore::new(self.client.clone(), req.store);
        let failed = |report: error_stack::Report<TargetError>| store_failure(*report.current_context());
        store.put_content(req.piece, content).await.map_err(failed)?;
        store.put_manifest(manifest).await.map_err(failed)?;
        Ok(json(&()))
    }

    fn has_version(&self, version: WeightVersion) -> bool {
        self.lock().versions.values().any(|loaded| *loaded == version)
    }
}

fn matches_manifest(manifest: &Manifest, content: &Bytes) -> bool {
    manifest.bytes == content.len() as u64 && manifest.content == utils::digest(content)
}

fn store_failure(e: TargetError) -> StatusCode {
    match e {
        TargetError::Refused(507) => StatusCode::INSUFFICIENT_STORAGE,
        _ => StatusCode::BAD_GATEWAY,
    }
}
