use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use metadata::{Expect, Row, RowKey, RowVersion, Transaction};
use serde::{Deserialize, Serialize};
use utils::{Digest, HostId, Incarnation, RequestId, ServiceId, TargetId, WorkspaceId};

use crate::LedgerError;

/// Identity of a call.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct CallKey {
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Service that the call goes to.
    pub service: ServiceId,
    /// Idempotency key that the caller chose.
    pub key: String,
}

impl CallKey {
    /// Returns the key of the call's row. The hash covers each part with its length, so different calls have
    /// different rows whatever characters the names contain.
    ///
    /// ```
    /// let key = ledger::CallKey { workspace: "mill".into(), service: "orders".into(), key: "7".into() };
    /// assert!(key.row_key().starts_with("claim/mill/orders/"));
    /// ```
    pub fn row_key(&self) -> RowKey {
        let mut hasher = blake3::Hasher::new();
        for part in [&*self.workspace, &*self.service, self.key.as_str()] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        format!(
            "claim/{}/{}/{}",
            self.workspace,
            self.service,
            hasher.finalize().to_hex()
        )
    }
}

/// Identifier of one attempt of a caller, unique across all hosts; serialized as hexadecimal text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct AttemptId(pub RequestId);

/// Error of parsing a text as an [`AttemptId`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("an attempt id is a hexadecimal number of up to 32 digits")]
pub struct ParseAttemptIdError;

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for AttemptId {
    type Err = ParseAttemptIdError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let id = RequestId::from_str_radix(s, 16);
        id.map(Self).map_err(|_| ParseAttemptIdError)
    }
}

impl From<AttemptId> for String {
    fn from(id: AttemptId) -> Self {
        id.to_string()
    }
}

impl TryFrom<String> for AttemptId {
    type Error = ParseAttemptIdError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

/// Entry host and process incarnation that hold a claim.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Holder {
    /// Name of the host.
    pub host: HostId,
    /// Incarnation of the host's process.
    pub incarnation: Incarnation,
}

/// Answer of a service, recorded for replay to later attempts of the caller.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct RecordedReply {
    /// HTTP status.
    pub status: u16,
    /// Value of the answer's `content-type` header.
    pub content_type: String,
    /// Body of the answer.
    pub body: RecordedBody,
}

/// Body of a recorded answer.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordedBody {
    /// Valid UTF-8 text.
    Text(String),
    /// Bytes that are not valid UTF-8.
    Bytes(Vec<u8>),
}

impl RecordedBody {
    /// Stores a body as text if it is valid UTF-8, else as bytes.
    ///
    /// ```
    /// let body = ledger::RecordedBody::new(b"granted".to_vec());
    /// assert_eq!(body.as_bytes(), b"granted");
    /// ```
    pub fn new(bytes: Vec<u8>) -> Self {
        match String::from_utf8(bytes) {
            Ok(text) => Self::Text(text),
            Err(e) => Self::Bytes(e.into_bytes()),
        }
    }

    /// Returns the bytes of the body.
    pub fn as_bytes(&self) -> &[u8] {
        match self {
            Self::Text(text) => text.as_bytes(),
            Self::Bytes(bytes) => bytes,
        }
    }
}

/// State of a call.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The holder may send the call or has sent it.
    Claimed,
    /// The holder abandoned the claim before it sent anything, and will not send the call.
    Abandoned,
    /// The call ran; holds its answer.
    Settled(RecordedReply),
    /// The call was sent; its result is unknown.
    Unknown,
}

/// Content of a call's row in the table.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ClaimRow {
    /// Attempt that claimed the call.
    pub attempt: AttemptId,
    /// Host that handles the attempt.
    pub holder: Holder,
    /// Target that the call goes to. Other hosts query it for the outcome.
    pub target: TargetId,
    /// Digest of the call's body.
    pub body: Digest,
    /// Validity of the claim in milliseconds, counted from a time before the insert. The holder must not send
    /// the call after it.
    pub valid_ms: u64,
    /// Wall clock time of the claim, in milliseconds since the Unix epoch.
    pub claimed_at_ms: u64,
    /// State of the call.
    pub state: ClaimState,
}

/// A claim as read from the table.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct StoredClaim {
    /// Content of the row.
    pub row: ClaimRow,
    /// Version of the row.
    pub version: RowVersion,
    /// Whether this host sees the claim's holder as alive and in the same incarnation.
    pub is_holder_alive: bool,
}

impl ClaimRow {
    /// Returns the validity of the claim.
    pub fn valid_for(&self) -> Duration {
        Duration::from_millis(self.valid_ms)
    }

    /// Returns a copy of the claim with another state.
    pub fn with_state(&self, state: ClaimState) -> Self {
        Self {
            state,
            ..self.clone()
        }
    }
}

impl StoredClaim {
    /// Parses a row of the table.
    ///
    /// # Errors
    /// Returns [`LedgerError::Malformed`] if the row is not a claim.
    pub fn parse(row: &Row, is_alive: impl Fn(&ClaimRow) -> bool) -> Result<Self, Report<LedgerError>> {
        let malformed = || LedgerError::Malformed { key: row.key.clone() };
        let claim = ClaimRow::deserialize(&row.value).change_context_lazy(malformed)?;
        Ok(Self {
            is_holder_alive: is_alive(&claim),
            version: row.version,
            row: claim,
        })
    }
}

/// A conditional write of one row.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RowWrite {
    /// Key of the row.
    pub key: RowKey,
    /// Condition on the present row.
    pub expect: Expect,
    /// New content of the row.
    pub row: ClaimRow,
}

impl RowWrite {
    /// Adds the write to a transaction.
    pub fn add_to(&self, tx: Transaction) -> Transaction {
        tx.put(self.key.clone(), self.expect, serde_json::json!(self.row))
    }
}
