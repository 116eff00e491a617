use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use targets::{Order, PieceId};
use utils::{Attempt, ModelId, RequestId, WeightVersion, WorkspaceId};

/// Record of what an engine did.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct EngineRecord {
    /// Drafts whose prompt began to be processed, in order.
    pub drafts: Vec<DraftRun>,
    /// Uses of cache pieces by drafts, in order.
    pub uses: Vec<PieceUse>,
    /// Imports whose content was read, accepted or not, in order.
    pub imports: Vec<ImportRun>,
    /// Received orders, accepted or not, in order.
    pub orders: Vec<ReceivedOrder>,
    /// Times of crashes, in microseconds since the Unix epoch.
    pub crashes: Vec<u64>,
}

/// A draft whose prompt the engine began to process.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DraftRun {
    /// Identifier of the request.
    pub request_id: RequestId,
    /// Number of the attempt.
    pub attempt: Attempt,
    /// Workspace of the prompt.
    pub workspace: WorkspaceId,
    /// Model that ran.
    pub model: ModelId,
    /// Weight version that ran.
    pub weight_version: WeightVersion,
    /// BLAKE3 hash of the prompt.
    pub prompt: utils::Digest,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Number of prompt tokens that were read from cache.
    pub cached_tokens: u32,
    /// Number of answer tokens that the request already had.
    pub offset: u32,
    /// When the request was received, in microseconds since the Unix epoch.
    pub at_micros: u64,
}

/// Use of a cache piece by a draft that would else have computed it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PieceUse {
    /// Identifier of the request that used it.
    pub request_id: RequestId,
    /// The piece.
    pub piece: PieceId,
    /// Workspace of the request that used it.
    pub workspace: WorkspaceId,
    /// Workspace of the request that computed it; `None` for an import.
    pub from_workspace: Option<WorkspaceId>,
    /// Weight version that used it.
    pub weight_version: WeightVersion,
    /// Weight version that computed it.
    pub from_version: WeightVersion,
    /// Whether the content of the piece was correct.
    pub intact: bool,
}

/// An import of a cache piece from a store.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ImportRun {
    /// The piece.
    pub piece: PieceId,
    /// Requested weight version.
    pub weight_version: WeightVersion,
    /// Whether the engine accepted the piece.
    pub accepted: bool,
    /// Whether the content was what the requested version computes.
    pub intact: bool,
    /// Address of the store that it was read from.
    pub store: SocketAddr,
    /// Number of bytes read.
    pub bytes: u64,
}

/// An order that the engine received.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ReceivedOrder {
    /// The order.
    pub order: Order,
    /// Whether the engine accepted it.
    pub accepted: bool,
    /// When it was received, in microseconds since the Unix epoch.
    pub at_micros: u64,
}
