use bytes::Bytes;
use error_stack::Report;
use serde::{Deserialize, Serialize};

use crate::{BoxFuture, Manifest, PieceId, TargetError};

/// Changes of a store's content since a given change number.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Catalogue {
    /// Incarnation of the store's process.
    pub incarnation: u64,
    /// Number of the first change that is not included; the next query starts here.
    pub next: u64,
    /// Pieces with a manifest that were stored since the requested number.
    pub stored: Vec<PieceId>,
    /// Pieces that were dropped since the requested number.
    pub dropped: Vec<PieceId>,
    /// Free space, in bytes.
    pub free_bytes: u64,
}

/// Interface of a store host, which holds pieces of KV cache outside the engines. A piece counts as stored
/// once its manifest is stored.
pub trait Store: Send + Sync {
    /// Stores the content of a piece. It can not be read before the manifest is stored.
    fn put_content(&self, piece: PieceId, content: Bytes) -> BoxFuture<'_, Result<(), Report<TargetError>>>;

    /// Stores the manifest of a piece. The store checks it against the content.
    fn put_manifest(&self, manifest: Manifest) -> BoxFuture<'_, Result<(), Report<TargetError>>>;

    /// Reads the manifest of a piece; returns `None` if there is none.
    fn manifest(&self, piece: PieceId) -> BoxFuture<'_, Result<Option<Manifest>, Report<TargetError>>>;

    /// Reads the content of a piece; returns `None` if the piece has no content or no manifest.
    fn content(&self, piece: PieceId) -> BoxFuture<'_, Result<Option<Bytes>, Report<TargetError>>>;

    /// Deletes a piece: first the manifest, then the content.
    fn drop_piece(&self, piece: PieceId) -> BoxFuture<'_, Result<(), Report<TargetError>>>;

    /// Returns the changes since a change number; 0 requests the whole content.
    fn catalogue(&self, from: u64) -> BoxFuture<'_, Result<Catalogue, Report<TargetError>>>;
}
