use serde::{Deserialize, Serialize};
use utils::Incarnation;

use crate::{HostTag, TargetTag, WorkspaceTag};

/// Maximum size of an encoded heartbeat, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 256;

/// Overhead of IP, UDP and QUIC per datagram, in bytes, including its share of acknowledgements.
pub const WIRE_OVERHEAD_BYTES: usize = 100;

/// Errors of encoding and decoding a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum HeartbeatError {
    /// The encoded heartbeat is longer than [`MAX_PAYLOAD_BYTES`].
    #[error("the heartbeat is longer than {MAX_PAYLOAD_BYTES} bytes")]
    TooLong,
    /// The bytes do not follow the format.
    #[error("the heartbeat can not be read")]
    Malformed,
}

/// The request or response that a heartbeat carries.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Body {
    /// Requests an echo.
    Probe {
        /// Random number that the echo repeats.
        nonce: u64,
    },
    /// Answers a probe.
    Echo {
        /// Nonce of the probe.
        nonce: u64,
    },
    /// Requests an indirect probe: the receiver probes a silent host for the sender.
    ProbeFor {
        /// Random number that the vouch repeats.
        nonce: u64,
        /// The silent host.
        about: HostTag,
    },
    /// Answers a [`Body::ProbeFor`]: the silent host answered the probe.
    Vouch {
        /// Nonce of the request.
        nonce: u64,
        /// The host that answered.
        about: HostTag,
        /// Its incarnation.
        incarnation: Incarnation,
    },
}

/// Status of a host. For the same incarnation and revision, a later variant overrides an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum HostStatus {
    /// The host answers.
    Alive,
    /// The host answered neither direct nor indirect probes.
    Suspect,
    /// The host drains and stops soon.
    Leaving,
    /// The host did not refute the suspicion in time.
    Dead,
}

/// A status update about a host, spread by gossip.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Rumour {
    /// The host.
    pub host: HostTag,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Revision of the status; only the host itself increases it, to refute a suspicion.
    pub revision: u32,
    /// The reported status.
    pub status: HostStatus,
}

/// Load of a target in compact form. Levels are logarithmic: `level(x) = round(4 * log2(1 + x))`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TargetSummary {
    /// The target.
    pub target: TargetTag,
    /// Time since the watcher read the report, in units of 250 ms; at most 255 units.
    pub age: u8,
    /// Level of the number of queued prompt tokens.
    pub queued: u8,
    /// Number of running drafts, at most 255.
    pub running: u8,
    /// Level of the number of tokens that the watcher has sent to the target since the report.
    pub sent: u8,
    /// Whether the target is leaving.
    pub leaving: bool,
    /// Whether the target failed to answer its watcher.
    pub silent: bool,
}

/// A request that is quarantined because it crashed targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Quarantined {
    /// First half of the request's fingerprint.
    pub fingerprint: [u8; 16],
    /// Time since the quarantine began, in seconds, at most 255.
    pub age: u8,
}

/// Recent demand of a workspace at the sending host; levels as in [`TargetSummary`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Demand {
    /// The workspace.
    pub workspace: WorkspaceTag,
    /// Level of the rate of requests, in sixteenths of a request per second.
    pub requests: u8,
    /// Level of the rate of prompt tokens, in tokens per second.
    pub tokens: u8,
}

/// A datagram between two entry hosts. The sender is not part of it, as the transport identifies it by its
/// certificate.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Heartbeat {
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Revision of the sender.
    pub revision: u32,
    /// Whether the sender is leaving.
    pub leaving: bool,
    /// Request or response.
    pub body: Body,
    /// Encoded state of the release notes at the sender; opaque to this crate.
    pub notes: Vec<u8>,
    /// Status updates about hosts.
    pub rumours: Vec<Rumour>,
    /// Quarantined requests.
    pub quarantined: Vec<Quarantined>,
    /// Demand of workspaces at the sender.
    pub demand: Vec<Demand>,
    /// Load summaries of targets.
    pub targets: Vec<TargetSummary>,
}

impl Heartbeat {
    /// Creates a heartbeat that carries only a body.
    pub fn new(incarnation: Incarnation, body: Body) -> Self {
        Self {
            incarnation,
            revision: 0,
            leaving: false,
            body,
            notes: Vec::new(),
            rumours: Vec::new(),
            quarantined: Vec::new(),
            demand: Vec::new(),
            targets: Vec::new(),
        }
    }

    /// Encodes the heartbeat as a datagram.
    ///
    /// # Errors
    /// [`HeartbeatError::TooLong`] if the encoded heartbeat exceeds [`MAX_PAYLOAD_BYTES`].
    ///
    /// ```
    /// use membership::{Body, Heartbeat};
    ///
    /// let heartbeat = Heartbeat::new(7, Body::Probe { nonce: 1 });
    /// let bytes = heartbeat.encode()?;
    /// assert_eq!(Heartbeat::decode(&bytes)?, heartbeat);
    /// # Ok::<(), membership::HeartbeatError>(())
    /// ```
    pub fn encode(&self) -> Result<Vec<u8>, HeartbeatError> {
        let bytes = postcard::to_stdvec(self).map_err(|_| HeartbeatError::Malformed)?;
        if bytes.len() > MAX_PAYLOAD_BYTES {
            return Err(HeartbeatError::TooLong);
        }
        Ok(bytes)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    /// [`HeartbeatError`] if the datagram is too long, truncated, malformed or followed by other bytes.
    pub fn decode(bytes: &[u8]) -> Result<Self, HeartbeatError> {
        if bytes.len() > MAX_PAYLOAD_BYTES {
            return Err(HeartbeatError::TooLong);
        }
        match postcard::take_from_bytes(bytes) {
            Ok((heartbeat, [])) => Ok(heartbeat),
            _ => Err(HeartbeatError::Malformed),
        }
    }
}

impl TargetSummary {
    /// Returns the level of an amount.
    ///
    /// ```
    /// use membership::TargetSummary;
    ///
    /// let level = TargetSummary::level(10_000);
    /// let amount = TargetSummary::amount(level);
    /// assert!((9_000..=11_000).contains(&amount));
    /// ```
    pub fn level(amount: u64) -> u8 {
        (4.0 * (1.0 + amount as f64).log2()).round() as u8
    }

    /// Returns the amount that corresponds to a level, accurate to a tenth.
    pub fn amount(level: u8) -> u64 {
        ((f64::from(level) / 4.0).exp2() - 1.0).round() as u64
    }
}
