use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// A BLAKE3 hash of 32 bytes. Displayed, parsed and serialized as hexadecimal text.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Digest([u8; 32]);

/// Error for a text that is not 64 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("a digest is 64 hexadecimal digits")]
pub struct ParseDigestError;

impl Digest {
    /// Returns the raw bytes.
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }

    /// Returns the first 8 bytes as a little-endian number, for hash tables and rendezvous scores.
    ///
    /// ```
    /// assert_ne!(utils::digest(b"sack").first_u64(), utils::digest(b"bale").first_u64());
    /// ```
    pub fn first_u64(&self) -> u64 {
        let mut first = [0; 8];
        first.copy_from_slice(&self.0[..8]);
        u64::from_le_bytes(first)
    }
}

impl From<[u8; 32]> for Digest {
    fn from(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> Self {
        digest.to_string()
    }
}

impl TryFrom<String> for Digest {
    type Error = ParseDigestError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl FromStr for Digest {
    type Err = ParseDigestError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        blake3::Hash::from_hex(s)
            .map(|hash| Self(*hash.as_bytes()))
            .map_err(|_| ParseDigestError)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&blake3::Hash::from_bytes(self.0).to_hex())
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// Hashes bytes with BLAKE3.
///
/// ```
/// let text = utils::digest(b"sack").to_string();
/// assert_eq!(text.len(), 64);
/// assert_eq!(text.parse(), Ok(utils::digest(b"sack")));
/// ```
pub fn digest(bytes: &[u8]) -> Digest {
    Digest(*blake3::hash(bytes).as_bytes())
}

/// Hashes bytes that arrive in pieces. The result is that of [`digest`] for all bytes together.
///
/// ```
/// let mut hasher = utils::Hasher::default();
/// hasher.update(b"sa");
/// hasher.update(b"ck");
/// assert_eq!(hasher.finish(), utils::digest(b"sack"));
/// ```
#[derive(Default)]
pub struct Hasher(blake3::Hasher);

impl Hasher {
    /// Adds bytes.
    pub fn update(&mut self, bytes: &[u8]) {
        self.0.update(bytes);
    }

    /// Returns the hash of all bytes so far.
    pub fn finish(&self) -> Digest {
        Digest(*self.0.finalize().as_bytes())
    }
}
