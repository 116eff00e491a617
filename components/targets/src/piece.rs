use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use utils::{Digest, WeightVersion};

/// Tokens in a full piece of a prompt.
pub const PIECE_TOKENS: u32 = 2_048;

/// Name of a piece of kept cache. It covers the workspace, the model, the weight version and the whole prefix.
pub type PieceId = Digest;

/// Describes a piece on a store; it is written after the content and checked before use.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Manifest {
    /// Name of the piece.
    pub piece: PieceId,
    /// Length of the content, in bytes.
    pub bytes: u64,
    /// BLAKE3 hash of the content.
    pub content: Digest,
    /// Weight version that computed the content.
    pub weight_version: WeightVersion,
    /// Tokens that the piece covers.
    pub tokens: u32,
}

/// Asks an engine to import a piece from a store, or to export one to it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TransferRequest {
    /// Name of the piece.
    pub piece: PieceId,
    /// Weight version that the piece must have.
    pub weight_version: WeightVersion,
    /// Address of the store host.
    pub store: SocketAddr,
}
