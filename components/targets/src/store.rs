use bytes::Bytes;
use error_stack::Report;
use serde::{Deserialize, Serialize};

use crate::{BoxFuture, Manifest, PieceId, TargetError};

/// What a store holds, in pages.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Catalogue {
    /// Run of the store's process.
    pub incarnation: u64,
    /// Number of the first change that is not included.
    pub next: u64,
    /// Pieces with a manifest, stored since the number asked for.
    pub stored: Vec<PieceId>,
    /// Pieces dropped since the number asked for.
    pub dropped: Vec<PieceId>,
    /// Bytes that are still free.
    pub free_bytes: u64,
}

/// A store host for kept cache. A piece counts as stored once its manifest is.
pub trait Store: Send + Sync {
    /// Stores the content of a piece; without a manifest it can not be read.
    fn put_content(&self, piece: PieceId, content: Bytes) -> BoxFuture<'_, Result<(), Report<TargetError>>>;

    /// Stores the manifest; the store checks it against the content.
    fn put_manifest(&self, manifest: Manifest) -> BoxFuture<'_, Result<(), Report<TargetError>>>;

    /// Reads a manifest; `None` if there is none.
    fn manifest(&self, piece: PieceId) -> BoxFuture<'_, Result<Option<Manifest>, Report<TargetError>>>;

    /// Reads the content; `None` if the piece is not whole.
    fn content(&self, piece: PieceId) -> BoxFuture<'_, Result<Option<Bytes>, Report<TargetError>>>;

    /// Drops a piece, manifest first.
    fn drop_piece(&self, piece: PieceId) -> BoxFuture<'_, Result<(), Report<TargetError>>>;

    /// Changes since a number; 0 asks for everything.
    fn catalogue(&self, from: u64) -> BoxFuture<'_, Result<Catalogue, Report<TargetError>>>;
}
