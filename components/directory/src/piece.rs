use targets::{PIECE_TOKENS, PieceId};
use utils::{Digest, WeightVersion};

/// Bytes of prompt text that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;

/// Bytes of prompt text in a full piece.
pub const PIECE_BYTES: usize = PIECE_TOKENS as usize * BYTES_PER_TOKEN;

/// Number of leading bytes of a name that all pieces of a prompt share; they determine the shard.
pub(crate) const SHARD_BYTES: usize = 2;

const WORKSPACE_CONTEXT: &str = "laburnumtally 2026 workspace piece key";

/// Secret key for the names of one workspace's pieces.
///
/// ```
/// let secret = utils::digest(b"secret of the deployment");
/// let one = directory::WorkspaceKey::new(&secret, "agents");
/// let other = directory::WorkspaceKey::new(&secret, "millers");
/// let scope = directory::PieceScope { model: "quotes", adapter: None, weight_version: 1 };
/// let text = "x".repeat(directory::PIECE_BYTES);
/// let ours = directory::Chain::new(&one, scope, &text);
/// assert_ne!(ours.pieces(), directory::Chain::new(&other, scope, &text).pieces());
/// ```
#[derive(Clone)]
pub struct WorkspaceKey([u8; 32]);

/// The model, adapter and weights for which pieces are valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PieceScope<'a> {
    /// Name of the model.
    pub model: &'a str,
    /// Name of the adapter, if the model runs with one.
    pub adapter: Option<&'a str>,
    /// Version of the model's weights.
    pub weight_version: WeightVersion,
}

/// The names of the full pieces of a prompt, in order. Each name depends on the whole prompt up to the end of
/// its piece.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chain {
    /// Names of the pieces, in order.
    pieces: Vec<PieceId>,
    /// Number of tokens in the prompt, including those after the last full piece.
    tokens: u32,
}

impl WorkspaceKey {
    /// Derives the key of a workspace from the secret of the deployment.
    pub fn new(secret: &Digest, workspace: &str) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(WORKSPACE_CONTEXT);
        hasher.update(secret.as_bytes());
        hasher.update(workspace.as_bytes());
        Self(*hasher.finalize().as_bytes())
    }

    /// Derives the key for one model, adapter and weight version.
    fn scoped(&self, scope: PieceScope<'_>) -> [u8; 32] {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(&scope.weight_version.to_le_bytes());
        hasher.update(&(scope.model.len() as u64).to_le_bytes());
        hasher.update(scope.model.as_bytes());
        hasher.update(&[u8::from(scope.adapter.is_some())]);
        hasher.update(scope.adapter.unwrap_or_default().as_bytes());
        *hasher.finalize().as_bytes()
    }
}

impl Chain {
    /// Computes the names of a prompt's pieces in one pass.
    pub fn new(key: &WorkspaceKey, scope: PieceScope<'_>, prompt: &str) -> Self {
        let key = key.scoped(scope);
        let mut parent = [0; 32];
        let mut pieces = Vec::with_capacity(prompt.len() / PIECE_BYTES);
        for text in prompt.as_bytes().chunks_exact(PIECE_BYTES) {
            let mut hasher = blake3::Hasher::new_keyed(&key);
            hasher.update(&parent);
            hasher.update(text);
            parent = *hasher.finalize().as_bytes();
            pieces.push(piece_name(&parent, pieces.first()));
        }
        Self {
            pieces,
            tokens: count_tokens(prompt),
        }
    }

    /// Returns the names, in order.
    pub fn pieces(&self) -> &[PieceId] {
        &self.pieces
    }

    /// Returns the number of tokens in the whole prompt.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }
}

/// Returns the number of tokens in a prompt as entry hosts count them: one per [`BYTES_PER_TOKEN`] bytes,
/// rounded up.
///
/// ```
/// assert_eq!(directory::count_tokens("sacks"), 2);
/// ```
pub fn count_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

/// Builds the name of a piece from its hash. The leading bytes come from the prompt's first piece; a name
/// alone thus determines the shard.
fn piece_name(hash: &[u8; 32], first: Option<&PieceId>) -> PieceId {
    let mut bytes = *hash;
    if let Some(first) = first {
        bytes[..SHARD_BYTES].copy_from_slice(&first.as_bytes()[..SHARD_BYTES]);
    }
    PieceId::from(bytes)
}
