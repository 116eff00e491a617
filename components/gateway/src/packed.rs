//! Values of rows as hosts send them to each other: plain, or compressed. A large value is compressed against a base, an
//! earlier value of the row that both hosts hold, so that a change costs what has changed.

use bytes::Bytes;
use error_stack::{Report, ensure};
use serde::{Deserialize, Serialize};
use zstd::zstd_safe::{CCtx, CParameter, DCtx, compress_bound};

use crate::Position;

/// Longest value that is compressed, in bytes.
pub const MAX_VALUE_BYTES: usize = 8 << 20;
/// Shortest value that is compressed, in bytes.
const MIN_COMPRESSED_BYTES: usize = 1 << 10;
/// Level of compression.
const LEVEL: i32 = 1;
/// Length of a digest, in bytes.
const DIGEST_BYTES: usize = 16;

/// Digest of a value.
pub(crate) type Digest = [u8; DIGEST_BYTES];

/// An earlier value of a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Base {
    /// Position of the write.
    pub position: Position,
    /// Content of the row.
    pub value: Bytes,
}

/// A row's value in a message.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum PackedValue {
    /// The value itself.
    Plain(Vec<u8>),
    /// The compressed value.
    Compressed(CompressedValue),
}

/// A compressed value.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CompressedValue {
    /// Length of the value, in bytes.
    pub length: u32,
    /// Digest of the value.
    pub digest: Digest,
    /// Position of the base; `None` if the value is complete without one.
    pub base: Option<Position>,
    /// A Zstandard frame.
    pub frame: Vec<u8>,
}

/// Errors of unpacking a value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum UnpackError {
    /// The value is longer than values may be.
    #[error("the value is too long")]
    TooLong,
    /// The base is not the one that the value was compressed against.
    #[error("the base of the value is not known")]
    UnknownBase,
    /// The compressed value can not be read.
    #[error("the compressed value can not be read")]
    Malformed,
    /// The result is not the value that was packed.
    #[error("the value does not have the stated digest")]
    WrongDigest,
}

impl PackedValue {
    /// Packs a value, against a base if the receiver holds one. The value stays plain unless compression makes it shorter.
    ///
    /// ```
    /// use gateway::{Base, PackedValue, Position};
    ///
    /// let base = Base { position: Position::new(0, 1), value: vec![7; 5_000].into() };
    /// let value = vec![7; 6_000];
    /// let packed = PackedValue::pack(&value, Some(&base));
    /// assert_eq!(packed.base(), Some(base.position));
    /// assert_eq!(packed.unpack(Some(&base)).unwrap(), value);
    /// ```
    pub fn pack(value: &[u8], base: Option<&Base>) -> Self {
        let base = base.filter(|base| base.value.len() <= MAX_VALUE_BYTES);
        let length = u32::try_from(value.len()).ok();
        let is_compressible = (MIN_COMPRESSED_BYTES..=MAX_VALUE_BYTES).contains(&value.len());
        let Some(length) = length.filter(|_| is_compressible) else {
            return Self::Plain(value.to_vec());
        };
        match compress(value, base.map(|base| &*base.value)) {
            Ok(frame) if frame.len() < value.len() => Self::Compressed(CompressedValue {
                length,
                digest: digest(value),
                base: base.map(|base| base.position),
                frame,
            }),
            _ => Self::Plain(value.to_vec()),
        }
    }

    /// Returns the position of the base that is needed to unpack the value.
    pub fn base(&self) -> Option<Position> {
        match self {
            Self::Plain(_) => None,
            Self::Compressed(packed) => packed.base,
        }
    }

    /// Returns the length of the value, in bytes.
    pub fn unpacked_len(&self) -> usize {
        match self {
            Self::Plain(value) => value.len(),
            Self::Compressed(packed) => usize::try_from(packed.length).unwrap_or(usize::MAX),
        }
    }

    /// Returns the bytes of the value as it is sent.
    pub(crate) fn packed_len(&self) -> usize {
        match self {
            Self::Plain(value) => value.len(),
            Self::Compressed(packed) => packed.frame.len(),
        }
    }

    /// Unpacks the value.
    ///
    /// # Errors
    /// [`UnpackError`] for a malformed value, or with another base than the one that [`PackedValue::base`] names.
    pub fn unpack(self, base: Option<&Base>) -> Result<Vec<u8>, Report<UnpackError>> {
        let length = self.unpacked_len();
        let packed = match self {
            Self::Plain(value) => return Ok(value),
            Self::Compressed(packed) => packed,
        };
        ensure!(length <= MAX_VALUE_BYTES, UnpackError::TooLong);
        let base = base.filter(|base| packed.base == Some(base.position));
        ensure!(packed.base.is_none() || base.is_some(), UnpackError::UnknownBase);
        let value = decompress(&packed.frame, base.map(|base| &*base.value), length);
        let value = value.map_err(|_| UnpackError::Malformed)?;
        ensure!(value.len() == length, UnpackError::Malformed);
        ensure!(digest(&value) == packed.digest, UnpackError::WrongDigest);
        Ok(value)
    }
}

fn digest(value: &[u8]) -> Digest {
    let hash = blake3::hash(value);
    std::array::from_fn(|index| hash.as_bytes()[index])
}

/// Compresses a value. The window covers the base and the value, so that all of the base can be referred to.
fn compress(value: &[u8], base: Option<&[u8]>) -> Result<Vec<u8>, usize> {
    let mut cx = CCtx::create();
    cx.set_parameter(CParameter::CompressionLevel(LEVEL))?;
    if let Some(base) = base {
        let window = (base.len() + value.len()).next_power_of_two();
        cx.set_parameter(CParameter::WindowLog(window.ilog2()))?;
        cx.set_parameter(CParameter::EnableLongDistanceMatching(true))?;
        cx.ref_prefix(base)?;
    }
    let mut frame = Vec::with_capacity(compress_bound(value.len()));
    cx.compress2(&mut frame, value)?;
    frame.shrink_to_fit();
    Ok(frame)
}

/// Decompresses a value of at most `max_len` bytes.
fn decompress(frame: &[u8], base: Option<&[u8]>, max_len: usize) -> Result<Vec<u8>, usize> {
    let mut cx = DCtx::create();
    if let Some(base) = base {
        cx.ref_prefix(base)?;
    }
    let mut value = Vec::with_capacity(max_len);
    cx.decompress(&mut value, frame)?;
    Ok(value)
}
