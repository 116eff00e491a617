use std::collections::HashMap;
use std::time::Duration;

use data_encoding::{HEXLOWER, HEXLOWER_PERMISSIVE};
use utils::{Monotonic, digest};

/// Names a request by path, workspace and body, whoever sends it again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Fingerprint([u8; 16]);

/// Crashes with the same request aboard after which it runs no more.
pub(crate) const CRASHES_TO_QUARANTINE: u32 = 2;
/// Time after which a crash is forgotten.
pub(crate) const CRASH_RETENTION: Duration = Duration::from_secs(120);
/// Most requests remembered; the oldest are forgotten first.
const MAX_REMEMBERED: usize = 4_096;

impl Fingerprint {
    /// The fingerprint of a request.
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
        let mut text = Vec::with_capacity(path.len() + workspace.len() + body.len() + 16);
        for part in [path.as_bytes(), workspace.as_bytes(), body] {
            text.extend_from_slice(&(part.len() as u64).to_le_bytes());
            text.extend_from_slice(part);
        }
        let mut first = [0; 16];
        first.copy_from_slice(&digest(&text).as_bytes()[..16]);
        Self(first)
    }

    /// As hexadecimal digits.
    pub fn text(&self) -> String {
        HEXLOWER.encode(&self.0)
    }

    /// Reads what [`Fingerprint::text`] wrote.
    pub fn parse(text: &str) -> Option<Self> {
        let bytes = HEXLOWER_PERMISSIVE.decode(text.as_bytes()).ok()?;
        Some(Self(bytes.try_into().ok()?))
    }
}

/// A target went down with a request aboard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Crash {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The target.
    pub address: std::net::SocketAddr,
    /// How many crashes this host has seen with the request aboard, this one included.
    pub count: u32,
}

/// Counts crashes of targets by the requests that were aboard.
///
/// A server that goes down takes many innocent requests with it, but the same one is rarely aboard twice. A success clears
/// a request.
#[derive(Debug, Default)]
pub struct Crashes {
    /// Crashes and the time of the last one.
    crashes: HashMap<Fingerprint, (u32, Monotonic)>,
}

impl Crashes {
    /// A target went down with the request aboard; says how often that happened.
    pub fn record_crash(&mut self, fingerprint: Fingerprint, now: Monotonic) -> u32 {
        self.evict(now);
        let entry = self.crashes.entry(fingerprint).or_insert((0, now));
        *entry = (entry.0 + 1, now);
        entry.0
    }

    /// The request ended well.
    pub fn record_success(&mut self, fingerprint: &Fingerprint) {
        self.crashes.remove(fingerprint);
    }

    /// Whether the request is to run no more.
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
