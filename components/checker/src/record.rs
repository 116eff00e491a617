use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use errors::Outcome;
use serde::{Deserialize, Serialize};
use standins::{EngineRecord, ServiceRecord};
use utils::{Digest, HostId, ModelId, NoteVersion, ServiceId, TargetId, WeightVersion, WorkspaceId};

/// Record of a run, from which the promises are checked. Times are in microseconds since the Unix epoch.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
pub struct RunRecord {
    /// Requests of the callers and what they received.
    pub requests: Vec<CallerRequest>,
    /// Records of the engines.
    pub engines: BTreeMap<TargetId, EngineRecord>,
    /// Records of the services.
    pub services: BTreeMap<TargetId, ServiceRecord>,
    /// Targets that left.
    pub leaves: Vec<Leave>,
    /// Graceful shutdowns of entry hosts.
    pub drains: Vec<Drain>,
    /// Accepted release notes, oldest first.
    pub notes: Vec<NoteAccepted>,
}

/// A request of a caller with all of its exchanges.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct CallerRequest {
    /// Number that the caller assigned to the request.
    pub number: u64,
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// The requested work.
    pub work: Work,
    /// HTTP exchanges, in order; more than one if the caller resumed or retried the request.
    pub exchanges: Vec<Exchange>,
    /// What the caller received over all exchanges.
    pub received: Received,
}

/// Work that a request asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Work {
    /// A draft by a model.
    Draft(DraftBody),
    /// A call to a plain service.
    Call(CallBody),
}

/// Request for a draft.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DraftBody {
    /// The model.
    pub model: ModelId,
    /// The prompt.
    pub prompt: Arc<str>,
    /// Number of requested tokens.
    pub max_tokens: u32,
}

/// Request for a call to a plain service.
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

/// An HTTP exchange with an entry host.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Exchange {
    /// The entry host.
    pub host: HostId,
    /// Time at which the caller began to send.
    pub sent_at: u64,
    /// Time at which the head of the answer arrived; `None` if it did not arrive.
    pub head_at: Option<u64>,
    /// Time at which the exchange ended.
    pub ended_at: u64,
    /// HTTP status; 0 if there was no answer.
    pub status: u16,
    /// Last outcome that the host stated, in a header or in the body.
    pub outcome: Option<Outcome>,
    /// Identifier that the host assigned to the request, in hexadecimal.
    pub request_id: String,
    /// Version of the operator's release notes (the declared configuration) under which the host answered, as
    /// the host stated it.
    pub note: Option<NoteVersion>,
    /// Whether the host ended the answer as intended, with a complete answer or a problem document.
    pub ended_well: bool,
    /// Whether this exchange resumes an earlier one.
    pub is_resume: bool,
}

/// What a caller received.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Received {
    /// Generated tokens of an answer, in order.
    pub tokens: Vec<String>,
    /// Body of a call's answer.
    pub body: String,
    /// Whether the answer was marked complete.
    pub whole: bool,
}

/// An announced removal of a target: the platform's list marked it as leaving.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Leave {
    /// The target.
    pub target: TargetId,
    /// Time at which the platform's list first showed the target as leaving.
    pub at: u64,
}

/// A graceful shutdown of an entry host.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Drain {
    /// The entry host.
    pub host: HostId,
    /// Time at which the shutdown was requested.
    pub began: u64,
    /// Time at which the process ended.
    pub ended: u64,
}

/// An accepted release note.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct NoteAccepted {
    /// Version of the note.
    pub version: NoteVersion,
    /// Time at which the acceptance was confirmed to the operator.
    pub at: u64,
    /// Weight version of each model under this note.
    pub weight_versions: BTreeMap<ModelId, WeightVersion>,
}

/// Time that changes may take to reach every host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grace {
    /// Time after a target's leaving in which it may still receive new work.
    pub leave: Duration,
    /// Time after a note's acceptance in which hosts may still serve under older notes.
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
