use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use errors::Outcome;
use serde::{Deserialize, Serialize};
use standins::{EngineRecord, ServiceRecord};
use utils::{Digest, HostId, ModelId, NoteVersion, ServiceId, TargetId, WeightVersion, WorkspaceId};

/// Everything that is known about a run. Times are in microseconds since the Unix epoch.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
pub struct RunRecord {
    /// What callers asked for and saw.
    pub requests: Vec<CallerRequest>,
    /// What engines did.
    pub engines: BTreeMap<TargetId, EngineRecord>,
    /// What services did.
    pub services: BTreeMap<TargetId, ServiceRecord>,
    /// Targets that left.
    pub leaves: Vec<Leave>,
    /// Entry hosts that shut down gracefully.
    pub drains: Vec<Drain>,
    /// Release notes that were accepted, oldest first.
    pub notes: Vec<NoteAccepted>,
}

/// One request of a caller, over all of its exchanges.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct CallerRequest {
    /// Number that the caller gave it.
    pub number: u64,
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// What was asked for.
    pub work: Work,
    /// Exchanges over HTTP, in order; more than one when the caller came back.
    pub exchanges: Vec<Exchange>,
    /// What the caller got in the end.
    pub received: Received,
}

/// What a request asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Work {
    /// A draft by a model.
    Draft(DraftBody),
    /// A call to a plain service.
    Call(CallBody),
}

/// A prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DraftBody {
    /// The model.
    pub model: ModelId,
    /// The prompt.
    pub prompt: Arc<str>,
    /// Tokens asked for.
    pub max_tokens: u32,
}

/// A call.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CallBody {
    /// The service.
    pub service: ServiceId,
    /// Path after the service's name.
    pub path: String,
    /// Idempotency key.
    pub key: String,
    /// BLAKE3 hash of the body.
    pub body: Digest,
    /// Whether the call may run more than once.
    pub repeatable: bool,
}

/// One exchange over HTTP with an entry host.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Exchange {
    /// The entry host.
    pub host: HostId,
    /// When the caller began to send.
    pub sent_at: u64,
    /// When the head of the answer came; `None` if it did not.
    pub head_at: Option<u64>,
    /// When the exchange ended.
    pub ended_at: u64,
    /// HTTP status; 0 without an answer.
    pub status: u16,
    /// Outcome that the host stated last, in the header or in the body.
    pub outcome: Option<Outcome>,
    /// Identifier that the host gave the request, as hexadecimal text.
    pub request_id: String,
    /// Version of the release notes that the host stated.
    pub note: Option<NoteVersion>,
    /// Whether the answer came to an end that the host meant: a whole answer or a problem document.
    pub ended_well: bool,
    /// Whether this exchange goes on with an earlier one.
    pub is_resume: bool,
}

/// What a caller got.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Received {
    /// Tokens of a draft, in order.
    pub tokens: Vec<String>,
    /// Body of a call's answer.
    pub body: String,
    /// Whether the caller was told that the answer is whole.
    pub whole: bool,
}

/// A target that left.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Leave {
    /// The target.
    pub target: TargetId,
    /// When the platform's list first said so.
    pub at: u64,
}

/// A graceful shutdown.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Drain {
    /// The entry host.
    pub host: HostId,
    /// When it was asked to shut down.
    pub began: u64,
    /// When its process ended.
    pub ended: u64,
}

/// An accepted release note.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct NoteAccepted {
    /// Its version.
    pub version: NoteVersion,
    /// When acceptance was confirmed to the operator.
    pub at: u64,
    /// Weight version of each model from then on.
    pub weight_versions: BTreeMap<ModelId, WeightVersion>,
}

/// How long changes may take to reach everyone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grace {
    /// From a target's leaving to the end of new work for it.
    pub leave: Duration,
    /// From a note's acceptance to its force at every host.
    pub note: Duration,
}

impl Default for Grace {
    fn default() -> Self {
        Self {
            leave: Duration::from_secs(5),
            note: Duration::from_secs(5),
        }
    }
}
