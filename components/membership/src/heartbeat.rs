use serde::{Deserialize, Serialize};
use utils::Incarnation;

use crate::{HostTag, TargetTag, WorkspaceTag};

/// Largest encoded heartbeat, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 256;

/// Bytes that IP, UDP and QUIC add to a datagram, with its share of acknowledgements.
pub const WIRE_OVERHEAD_BYTES: usize = 100;

/// Why a heartbeat can not be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum HeartbeatError {
    /// It is longer than [`MAX_PAYLOAD_BYTES`].
    #[error("the heartbeat is longer than {MAX_PAYLOAD_BYTES} bytes")]
    TooLong,
    /// Its bytes do not follow the format.
    #[error("the heartbeat can not be read")]
    Malformed,
}

/// What a heartbeat asks or answers.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Body {
    /// Asks for an echo.
    Probe {
        /// Repeated by the echo.
        nonce: u64,
    },
    /// Answers a probe.
    Echo {
        /// Nonce of the probe.
        nonce: u64,
    },
    /// Asks a third host to probe a silent one.
    ProbeFor {
        /// Repeated by the vouch.
        nonce: u64,
        /// The silent host.
        about: HostTag,
    },
    /// Says that the silent host answered a probe.
    Vouch {
        /// Nonce of the request.
        nonce: u64,
        /// The host that was silent.
        about: HostTag,
        /// Its incarnation.
        incarnation: Incarnation,
    },
}

/// What is said about a host. For one incarnation and revision a later variant overrides an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum HostStatus {
    /// It answers.
    Alive,
    /// It did not answer, also not through others.
    Suspect,
    /// It drains and ends soon.
    Leaving,
    /// It was suspected for long and did not object.
    Dead,
}

/// News about a host that passes from host to host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Rumour {
    /// The host.
    pub host: HostTag,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Raised by the host itself when it objects to a suspicion.
    pub revision: u32,
    /// What is said.
    pub status: HostStatus,
}

/// Load of a target in a few bytes. Levels are logarithmic: `level(x) = round(4 * log2(1 + x))`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TargetSummary {
    /// The target.
    pub target: TargetTag,
    /// Time since the watcher read the report, in quarters of a second.
    pub age: u8,
    /// Level of the prompt tokens that wait.
    pub queued: u8,
    /// Drafts that run, at most 255.
    pub running: u8,
    /// Level of the tokens that the watcher's host sent since the report.
    pub sent: u8,
    /// Whether the target is leaving.
    pub leaving: bool,
    /// Whether the target failed to answer its watcher.
    pub silent: bool,
}

/// A request that crashed targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Quarantined {
    /// First half of the request's fingerprint.
    pub fingerprint: [u8; 16],
    /// Time since it was quarantined, in seconds, at most 255.
    pub age: u8,
}

/// What a workspace asked of the sending host lately; levels as in [`TargetSummary`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Demand {
    /// The workspace.
    pub workspace: WorkspaceTag,
    /// Level of the requests a second.
    pub requests: u8,
    /// Level of the prompt tokens a second.
    pub tokens: u8,
}

/// A datagram between two entry hosts. The transport knows the sender by its certificate.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Heartbeat {
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Revision of the sender.
    pub revision: u32,
    /// Whether the sender is leaving.
    pub leaving: bool,
    /// What is asked or answered.
    pub body: Body,
    /// State of the release notes at the sender, encoded by its owner.
    pub notes: Vec<u8>,
    /// News about hosts.
    pub rumours: Vec<Rumour>,
    /// Requests that crash targets.
    pub quarantined: Vec<Quarantined>,
    /// Demand of workspaces.
    pub demand: Vec<Demand>,
    /// Load of targets.
    pub targets: Vec<TargetSummary>,
}

impl Heartbeat {
    /// A heartbeat with nothing but its body.
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

    /// The bytes of the datagram.
    ///
    /// # Errors
    /// [`HeartbeatError::TooLong`] if the parts do not fit.
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

    /// Reads a datagram.
    ///
    /// # Errors
    /// [`HeartbeatError`] if it is too long, cut short or followed by other bytes.
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
    /// The level of an amount.
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

    /// The amount that a level stands for, within a tenth.
    pub fn amount(level: u8) -> u64 {
        ((f64::from(level) / 4.0).exp2() - 1.0).round() as u64
    }
}
