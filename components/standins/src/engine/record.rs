use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use targets::{Order, PieceId};
use utils::{Attempt, ModelId, RequestId, WeightVersion, WorkspaceId};

/// What an engine did.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct EngineRecord {
    /// Drafts that started, also resumed ones, in order.
    pub drafts: Vec<DraftRun>,
    /// Cache pieces that drafts used, in order.
    pub uses: Vec<PieceUse>,
    /// Imports that ended, in order.
    pub imports: Vec<ImportRun>,
    /// Orders that came, in order.
    pub orders: Vec<OrderRun>,
    /// Crashes, in microseconds since the Unix epoch.
    pub crashes: Vec<u64>,
}

/// A draft whose prompt an engine began to process.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DraftRun {
    /// Identifier of the request.
    pub request_id: RequestId,
    /// Number of the try.
    pub attempt: Attempt,
    /// Workspace of the prompt.
    pub workspace: WorkspaceId,
    /// Model that ran.
    pub model: ModelId,
    /// Weight version that ran.
    pub weight_version: WeightVersion,
    /// BLAKE3 hash of the prompt.
    pub prompt: utils::Digest,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the prompt that came from cache.
    pub cached_tokens: u32,
    /// Tokens of the answer that came before.
    pub offset: u32,
    /// When the request came, in microseconds since the Unix epoch.
    pub at_micros: u64,
}

/// A cache piece that a draft used instead of computing it.
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
    /// Whether the block was whole and not freed.
    pub intact: bool,
}

/// An import of a piece.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ImportRun {
    /// The piece.
    pub piece: PieceId,
    /// Weight version that was asked for.
    pub weight_version: WeightVersion,
    /// Whether the engine took the piece.
    pub accepted: bool,
    /// Whether the content was what that version computes.
    pub intact: bool,
    /// Store that it was read from.
    pub store: SocketAddr,
    /// Bytes that were read.
    pub bytes: u64,
}

/// An order that came.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OrderRun {
    /// The order.
    pub order: Order,
    /// Whether the engine obeys it.
    pub accepted: bool,
    /// When it came, in microseconds since the Unix epoch.
    pub at_micros: u64,
}
