use std::collections::HashMap;
use std::time::Duration;

use data_encoding::{HEXLOWER, HEXLOWER_PERMISSIVE};
use serde::{Deserialize, Serialize};
use utils::{Hasher, Monotonic, TargetId};

use crate::suspects::{AnswerStage, SuspectPart};

/// Identifies a request by path, workspace and body, independent of who sends it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Fingerprint([u8; 16]);

/// Crashes with the same request in flight after which the request is quarantined.
pub(crate) const CRASHES_TO_QUARANTINE: u32 = 2;
/// Time for which a crash is remembered.
pub(crate) const CRASH_RETENTION: Duration = Duration::from_secs(120);
/// Time for which crashes are remembered that support the quarantine of a prompt part.
pub(crate) const PART_RETENTION: Duration = Duration::from_secs(600);
/// Most requests that are remembered; the oldest are evicted first.
const MAX_REMEMBERED: usize = 4_096;

impl Fingerprint {
    /// Computes the fingerprint of a request.
    ///
    /// ```
    /// use gateway::Fingerprint;
    ///
    /// let one = Fingerprint::of("/a/", "mill", b"body");
    /// assert_eq!(one, Fingerprint::of("/a/", "mill", b"body"));
    /// assert_ne!(one, Fingerprint::of("/b/", "mill", b"body"));
    /// assert_eq!(Fingerprint::parse(&one.text()), Some(one));
    /// ```
    pub fn of(path: &str, workspace: &str, body: &[u8]) -> Self {
        Self::of_parts(path, workspace, [body])
    }

    /// Returns the fingerprint of a request whose body is in parts; the same as that of the joined body.
    pub fn of_parts<'a>(
        path: &str,
        workspace: &str,
        body: impl IntoIterator<Item = &'a [u8]> + Clone,
    ) -> Self {
        let mut digest = FieldDigest::default();
        digest.add_field([path.as_bytes()]);
        digest.add_field([workspace.as_bytes()]);
        digest.add_field(body);
        Self(digest.finish())
    }

    /// Returns the fingerprint as hexadecimal digits.
    pub fn text(&self) -> String {
        HEXLOWER.encode(&self.0)
    }

    /// Parses the output of [`Fingerprint::text`].
    pub fn parse(text: &str) -> Option<Self> {
        let bytes = HEXLOWER_PERMISSIVE.decode(text.as_bytes()).ok()?;
        Some(Self(bytes.try_into().ok()?))
    }
}

impl From<Fingerprint> for String {
    fn from(request: Fingerprint) -> Self {
        request.text()
    }
}

impl TryFrom<String> for Fingerprint {
    type Error = &'static str;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        Self::parse(&text).ok_or("not a fingerprint")
    }
}

/// Returns a digest of fields that depends on where each of them ends.
pub(crate) fn digest_fields<const N: usize>(fields: [&[u8]; N]) -> [u8; 16] {
    let mut digest = FieldDigest::default();
    for field in fields {
        digest.add_field([field]);
    }
    digest.finish()
}

/// Digest of fields that are added one by one, without a copy of them.
#[derive(Default)]
struct FieldDigest(Hasher);

impl FieldDigest {
    fn add_field<'a>(&mut self, parts: impl IntoIterator<Item = &'a [u8]> + Clone) {
        let length: usize = parts.clone().into_iter().map(<[u8]>::len).sum();
        self.0.update(&(length as u64).to_le_bytes());
        for part in parts {
            self.0.update(part);
        }
    }

    fn finish(&self) -> [u8; 16] {
        let mut first = [0; 16];
        first.copy_from_slice(&self.0.finish().as_bytes()[..16]);
        first
    }
}

/// A crash of a target with a request in flight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Crash {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The target's address.
    pub address: std::net::SocketAddr,
    /// Crashes with this request in flight that this host has seen, this one included.
    pub count: u32,
    /// Run of the target.
    pub run: TargetId,
    /// How far the answer had come.
    pub stage: AnswerStage,
    /// Time at which the connection broke.
    pub at: Monotonic,
    /// Parts of the prompt that may have caused the crash.
    pub parts: Vec<SuspectPart>,
}

/// Counts crashes of targets by the requests that were in flight.
///
/// A crashing server takes many unrelated requests with it, but an unrelated request is rarely in flight at
/// two crashes. A successful run clears a request.
#[derive(Debug, Default)]
pub struct Crashes {
    /// Number of crashes and time of the last one, by request.
    crashes: HashMap<Fingerprint, (u32, Monotonic)>,
}

impl Crashes {
    /// Records a crash with the request in flight; returns the number of such crashes.
    pub fn record_crash(&mut self, fingerprint: Fingerprint, now: Monotonic) -> u32 {
        self.evict(now);
        let entry = self.crashes.entry(fingerprint).or_insert((0, now));
        *entry = (entry.0 + 1, now);
        entry.0
    }

    /// Records that the request was answered successfully, which clears its crashes.
    pub fn record_success(&mut self, fingerprint: &Fingerprint) {
        self.crashes.remove(fingerprint);
    }

    /// Whether the request must not run any more.
    pub fn is_quarantined(&self, fingerprint: &Fingerprint) -> bool {
        self.crashes
            .get(fingerprint)
            .is_some_and(|(crashes, _)| *crashes >= CRASHES_TO_QUARANTINE)
    }

    fn evict(&mut self, now: Monotonic) {
        self.crashes.retain(|_, (_, at)| now < *at + CRASH_RETENTION);
        while self.crashes.len() >= MAX_REMEMBERED {
            let oldest = self.crashes.iter().min_by_key(|(_, (_, at))| *at);
            let Some(oldest) = oldest.map(|(f, _)| *f) else {
                return;
            };
            self.crashes.remove(&oldest);
        }
    }
}
