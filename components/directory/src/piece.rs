use targets::{PIECE_TOKENS, PieceId};
use utils::{Digest, WeightVersion};

/// Bytes of prompt text that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;

/// Bytes of prompt text in a full piece.
pub const PIECE_BYTES: usize = PIECE_TOKENS as usize * BYTES_PER_TOKEN;

/// Bytes at the front of a piece's name that all pieces with the same first piece share.
pub(crate) const SHARD_BYTES: usize = 2;

const WORKSPACE_CONTEXT: &str = "laburnumtally 2026 workspace piece key";

/// Secret key under which the pieces of one workspace are named.
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

/// What computes the pieces of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PieceScope<'a> {
    /// Name of the model.
    pub model: &'a str,
    /// Name of the adapter on top of the model.
    pub adapter: Option<&'a str>,
    /// Version of the model's weights.
    pub weight_version: WeightVersion,
}

/// Names of the full pieces of a prompt, first to last. Each name covers all of the prompt up to its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chain {
    /// The names.
    pieces: Vec<PieceId>,
    /// Tokens in the prompt, with those after the last full piece.
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

    /// The key for one model, adapter and weight version.
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
    /// Names the pieces of a prompt in one pass.
    pub fn new(key: &WorkspaceKey, scope: PieceScope<'_>, prompt: &str) -> Self {
        let key = key.scoped(scope);
        let mut parent = [0; 32];
        let mut pieces = Vec::with_capacity(prompt.len() / PIECE_BYTES);
        for text in prompt.as_bytes().chunks_exact(PIECE_BYTES) {
            let mut hasher = blake3::Hasher::new_keyed(&key);
            hasher.update(&parent);
            hasher.update(text);
            parent = *hasher.finalize().as_bytes();
            pieces.push(name(&parent, pieces.first()));
        }
        Self {
            pieces,
            tokens: count_tokens(prompt),
        }
    }

    /// The names, first to last.
    pub fn pieces(&self) -> &[PieceId] {
        &self.pieces
    }

    /// Tokens in the whole prompt.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }
}

/// Tokens in a prompt as the entry hosts count them.
///
/// ```
/// assert_eq!(directory::count_tokens("sacks"), 2);
/// ```
pub fn count_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

/// The name of a piece starts with the first bytes of the prompt's first piece, so that a name alone gives its shard.
fn name(hash: &[u8; 32], first: Option<&PieceId>) -> PieceId {
    let mut bytes = *hash;
    if let Some(first) = first {
        bytes[..SHARD_BYTES].copy_from_slice(&first.as_bytes()[..SHARD_BYTES]);
    }
    PieceId::from(bytes)
}
