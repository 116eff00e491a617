use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use utils::{Digest, Hasher, ParseDigestError, ServiceId, SoftwareVersion};

use crate::{Declared, RetrySafety, Route};

/// Number of parts over which the records are spread.
const PART_COUNT: u8 = 16;
/// Shortest time after which a stream counts as ended. Callers may wait longer than a short timeout of their route.
const MIN_STREAM_LIFETIME: Duration = Duration::from_secs(30);

/// Identifies the stream that a request began.
///
/// A digest of workspace and request id, so no caller can name a stream of another workspace, and ids of any
/// length fit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct OriginKey(Digest);

impl OriginKey {
    /// Returns the key of the stream that a workspace's request began.
    ///
    /// ```
    /// use gateway::OriginKey;
    ///
    /// assert_eq!(OriginKey::of("mill", "r1"), OriginKey::of("mill", "r1"));
    /// assert_ne!(OriginKey::of("mill", "r1"), OriginKey::of("millr", "1"));
    /// ```
    pub fn of(workspace: &str, request: &str) -> Self {
        let mut hasher = Hasher::default();
        // With the length in front, no two pairs have the same bytes.
        hasher.update(&(workspace.len() as u64).to_le_bytes());
        hasher.update(workspace.as_bytes());
        hasher.update(request.as_bytes());
        Self(hasher.finish())
    }

    /// Returns the part that holds the record.
    pub fn part(&self) -> OriginPart {
        OriginPart(self.0.as_bytes()[0] >> 4)
    }
}

impl fmt::Display for OriginKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for OriginKey {
    type Err = ParseDigestError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.parse().map(Self)
    }
}

/// One of the parts over which records are spread: the first hexadecimal digit of their keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct OriginPart(u8);

impl OriginPart {
    /// Returns all parts.
    ///
    /// ```
    /// assert_eq!(gateway::OriginPart::all().count(), 16);
    /// ```
    pub fn all() -> impl Iterator<Item = Self> {
        (0..PART_COUNT).map(Self)
    }

    /// Returns the part after this one; the first follows the last.
    ///
    /// ```
    /// let first = gateway::OriginPart::default();
    /// assert_ne!(first.next(), first);
    /// ```
    pub fn next(self) -> Self {
        Self((self.0 + 1) % PART_COUNT)
    }

    /// Returns the digit.
    ///
    /// ```
    /// let key = gateway::OriginKey::of("mill", "r1");
    /// assert!(key.to_string().starts_with(key.part().digit()));
    /// ```
    pub fn digit(self) -> &'static str {
        const DIGITS: &str = "0123456789abcdef";
        let index = self.index();
        &DIGITS[index..=index]
    }

    pub(super) fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// The service and the software version that began a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Identifies the stream.
    pub key: OriginKey,
    /// Service of the target that began it.
    pub service: ServiceId,
    /// Software version of that target.
    pub software: SoftwareVersion,
}

/// Error for a stream of which it can not be determined whether there is a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("the origin of the stream can not be determined")]
pub struct OriginUnknown;

/// Returns the time after which no caller takes a stream up any more; `None` if no stream can be resumed.
///
/// ```
/// use std::collections::HashMap;
/// use gateway::{CallerLimits, Declared, stream_lifetime};
///
/// let declared = Declared::new(1, CallerLimits::default(), [], [], None);
/// assert_eq!(stream_lifetime(&declared), None);
/// ```
pub fn stream_lifetime(declared: &Declared) -> Option<Duration> {
    let is_resumable = |route: &&Arc<Route>| route.retry_safety == RetrySafety::Stream { resumable: true };
    let timeouts = declared.routes().filter(is_resumable).map(|route| route.timeout);
    Some(timeouts.max()?.saturating_mul(2).max(MIN_STREAM_LIFETIME))
}
