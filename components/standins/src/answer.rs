use bytes::Bytes;
use targets::PieceId;
use utils::WeightVersion;

/// The text that a stand-in engine generates for a prompt.
///
/// It is a pure function of model, weight version and prompt, so any host and the checker can recompute the
/// expected answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// BLAKE3 hash of model, weight version and prompt; the tokens are derived from it.
    seed: [u8; 32],
}

impl Answer {
    /// Returns the expected answer of a model's weight version to a prompt.
    pub fn new(model: &str, version: WeightVersion, prompt: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&(model.len() as u64).to_le_bytes());
        hasher.update(model.as_bytes());
        hasher.update(&version.to_le_bytes());
        hasher.update(prompt.as_bytes());
        Self {
            seed: *hasher.finalize().as_bytes(),
        }
    }

    /// Returns the wrong answer that a corrupt cached piece or a wrong continuation leads to.
    pub(crate) fn corrupted(self) -> Self {
        Self {
            seed: *blake3::hash(&self.seed).as_bytes(),
        }
    }

    /// Returns the token at a position, counted from 0.
    pub fn token(&self, index: u32) -> String {
        let mut first = [0; 8];
        first.copy_from_slice(&self.seed[..8]);
        let mixed = mix(u64::from_le_bytes(first) ^ u64::from(index).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        format!(" {:06x}", mixed >> 40)
    }

    /// Returns the first `tokens` tokens as one text.
    pub fn text(&self, tokens: u32) -> String {
        (0..tokens).map(|index| self.token(index)).collect()
    }
}

/// Returns the token at a position of the expected answer.
///
/// ```
/// let token = standins::expected_token("draft", 1, "a prompt", 0);
/// assert_eq!(token, standins::Answer::new("draft", 1, "a prompt").token(0));
/// assert_ne!(token, standins::expected_token("draft", 2, "a prompt", 0));
/// ```
pub fn expected_token(model: &str, version: WeightVersion, prompt: &str, index: u32) -> String {
    Answer::new(model, version, prompt).token(index)
}

/// Returns the content of a cache piece as computed by a weight version, `bytes` long.
///
/// ```
/// let content = standins::expected_content(utils::digest(b"piece"), 1, 100);
/// assert_eq!(content.len(), 100);
/// ```
pub fn expected_content(piece: PieceId, version: WeightVersion, bytes: usize) -> Bytes {
    let mut hasher = blake3::Hasher::new();
    hasher.update(piece.as_bytes());
    hasher.update(&version.to_le_bytes());
    let mut content = vec![0; bytes];
    hasher.finalize_xof().fill(&mut content);
    Bytes::from(content)
}

/// Mixes the bits of `x` with the finalizer of splitmix64.
fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
