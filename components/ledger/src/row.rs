use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use metadata::{Expect, Row, RowKey, RowVersion, Transaction};
use serde::{Deserialize, Serialize};
use utils::{Digest, HostId, Incarnation, RequestId, ServiceId, TargetId, WorkspaceId};

use crate::LedgerError;

/// What a call is known by.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct CallKey {
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// The plain service.
    pub service: ServiceId,
    /// Idempotency key that the caller chose.
    pub key: String,
}

impl CallKey {
    /// Key of the call's row. Different calls have different rows, whatever letters the names contain.
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

/// Identifies one try of a caller, unique over all hosts; written as hexadecimal text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct AttemptId(pub RequestId);

/// The text is not an [`AttemptId`].
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

/// One run of an entry host.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Holder {
    /// Name of the host.
    pub host: HostId,
    /// The run.
    pub incarnation: Incarnation,
}

/// A service's answer, kept for the caller's next try.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct RecordedReply {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: String,
    /// Body.
    pub body: RecordedBody,
}

/// Body of a recorded answer.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordedBody {
    /// UTF-8 text.
    Text(String),
    /// Other bytes.
    Bytes(Vec<u8>),
}

impl RecordedBody {
    /// Keeps a body.
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

    /// The bytes of the body.
    pub fn as_bytes(&self) -> &[u8] {
        match self {
            Self::Text(text) => text.as_bytes(),
            Self::Bytes(bytes) => bytes,
        }
    }
}

/// How far a call got.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The holder may send the call or has sent it.
    Claimed,
    /// The holder gave up before anything was sent, and will not send.
    Abandoned,
    /// The call ran; this is its answer.
    Settled(RecordedReply),
    /// The call was sent; its result is not known.
    Unknown,
}

/// Row of a call.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ClaimRow {
    /// The try that wrote the row.
    pub attempt: AttemptId,
    /// Host of that try.
    pub holder: Holder,
    /// Target that the call goes to, which can be asked for the outcome.
    pub target: TargetId,
    /// Digest of the call's body.
    pub body: Digest,
    /// Time from before the insert within which the holder may send the call, in milliseconds.
    pub valid_ms: u64,
    /// Time of day at which the claim was made, in milliseconds since 1970.
    pub claimed_at_ms: u64,
    /// How far the call got.
    pub state: ClaimState,
}

/// A row as it was read.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct StoredClaim {
    /// Content.
    pub row: ClaimRow,
    /// Version of the row.
    pub version: RowVersion,
    /// Whether the host that holds the claim is still the same run and alive, as far as this host can tell.
    pub is_holder_alive: bool,
}

impl ClaimRow {
    /// Time within which the holder may send the call.
    pub fn valid_for(&self) -> Duration {
        Duration::from_millis(self.valid_ms)
    }

    /// The same claim further on.
    pub fn with_state(&self, state: ClaimState) -> Self {
        Self {
            state,
            ..self.clone()
        }
    }
}

impl StoredClaim {
    /// Reads a row of the table.
    ///
    /// # Errors
    /// [`LedgerError::Malformed`]
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
    /// What the row must be before.
    pub expect: Expect,
    /// What is written.
    pub row: ClaimRow,
}

impl RowWrite {
    /// Adds the write to a transaction.
    pub fn add_to(&self, tx: Transaction) -> Transaction {
        tx.put(self.key.clone(), self.expect, serde_json::json!(self.row))
    }
}
