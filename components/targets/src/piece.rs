use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use utils::{Digest, WeightVersion};

/// Number of tokens in a full piece of a prompt.
pub const PIECE_TOKENS: u32 = 2_048;

/// Identifier of a piece of KV cache. It covers the workspace, the model, the weight version and the whole
/// prefix.
pub type PieceId = Digest;

/// Describes a piece in a store. It is written after the content and checked before the piece is used.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Manifest {
    /// Identifier of the piece.
    pub piece: PieceId,
    /// Length of the content, in bytes.
    pub bytes: u64,
    /// BLAKE3 hash of the content.
    pub content: Digest,
    /// Weight version with which the content was computed.
    pub weight_version: WeightVersion,
    /// Tokens that the piece covers.
    pub tokens: u32,
}

/// A request to an engine to import a piece from a store, or to export one to it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TransferRequest {
    /// Identifier of the piece.
    pub piece: PieceId,
    /// Weight version that the piece must have.
    pub weight_version: WeightVersion,
    /// Address of the store host.
    pub store: SocketAddr,
}
