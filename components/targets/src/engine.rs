use std::time::Duration;

use error_stack::Report;
use serde::{Deserialize, Serialize};
use utils::{Attempt, ModelId, RequestId, WeightVersion, WorkspaceId};

use crate::{BoxFuture, Order, OrderReply, PieceId, TargetError, TransferRequest};

/// A request to an engine to start a draft, or to resume one.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DraftRequest {
    /// Identifier of the request; every event of the answer repeats it.
    pub request_id: RequestId,
    /// Number of the attempt; every event of the answer repeats it.
    pub attempt: Attempt,
    /// Workspace that the prompt belongs to.
    pub workspace: WorkspaceId,
    /// Model to run.
    pub model: ModelId,
    /// Weight version that must compute the answer.
    pub weight_version: WeightVersion,
    /// Text of the prompt.
    pub prompt: String,
    /// Tokens in the prompt, counted by the entry host.
    pub prompt_tokens: u32,
    /// Identifiers of the prompt's full pieces, first to last.
    pub pieces: Vec<PieceId>,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Priority; the engine runs lower values first.
    pub priority: u8,
    /// Tokens of the answer that the caller already has; generation continues after them.
    #[serde(default)]
    pub offset: u32,
    /// Text of these tokens, for an engine that did not compute them. Empty when the engine that computed
    /// them resumes the draft.
    #[serde(default)]
    pub continued: String,
    /// Whether the engine may only resume a draft that it still holds, and must not start one.
    #[serde(default)]
    pub resume_only: bool,
}

/// Content of the first event of a draft.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DraftStart {
    /// Weight version that computes the answer.
    pub weight_version: WeightVersion,
    /// Tokens of the prompt that were read from cache.
    pub cached_tokens: u32,
}

/// A generated token.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DraftChunk {
    /// Position in the answer, starting at 0.
    pub index: u32,
    /// Text of the token.
    pub text: String,
}

/// Content of the last event of a complete draft.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DraftEnd {
    /// Tokens in the whole answer, including those before the offset.
    pub tokens: u32,
}

/// An event of a draft's stream. Repeats the request id and the attempt of the [`DraftRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DraftEvent {
    /// Identifier of the request.
    pub request_id: RequestId,
    /// Number of the attempt.
    pub attempt: Attempt,
    /// Start of the draft; set in the first event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub start: Option<DraftStart>,
    /// A token; set in every event that carries one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub chunk: Option<DraftChunk>,
    /// End of the draft; set in the last event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub end: Option<DraftEnd>,
}

/// An engine's report of its load. The values lag by `age`.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
pub struct LoadReport {
    /// Prompt tokens that wait for prefill.
    pub queued_prompt_tokens: u64,
    /// Drafts that generate tokens.
    pub running: u32,
    /// Requests that wait in the engine's queue.
    pub waiting: u32,
    /// Prompt tokens that the engine processes in a second.
    pub prefill_tokens_per_second: f64,
    /// Maximum number of drafts that generate at the same time.
    pub slots: u32,
    /// Cache pieces that fit in the engine's memory.
    pub cache_capacity_pieces: u32,
    /// Models and weight versions that are loaded.
    pub versions: Vec<(ModelId, WeightVersion)>,
    /// Time since the values were measured.
    pub age: Duration,
    /// Incarnation of the engine's process.
    pub incarnation: u64,
    /// Role of the engine: `prefill`, `decode` or `both`.
    #[serde(default)]
    pub role: String,
}

/// A change in an engine's cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEvent {
    /// A piece became usable.
    Stored(PieceId),
    /// A piece was evicted.
    Evicted(PieceId),
}

/// Cache events after a sequence number. If `first` is above the requested number, events are missing.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CacheEvents {
    /// Incarnation of the engine's process; a new process starts with an empty cache.
    pub incarnation: u64,
    /// Sequence number of the first event in `events`.
    pub first: u64,
    /// The events in order; event `i` has the sequence number `first + i`.
    pub events: Vec<CacheEvent>,
}

/// The whole content of an engine's cache at a point in time.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CacheSnapshot {
    /// Incarnation of the engine's process.
    pub incarnation: u64,
    /// Sequence number of the first event that the snapshot does not include.
    pub next: u64,
    /// The cached pieces.
    pub pieces: Vec<PieceId>,
}

/// The event stream of a running draft. Dropping it closes the connection; the draft keeps running.
pub trait DraftStream: Send {
    /// Returns the next event, or `None` after the end event.
    fn next(&mut self) -> BoxFuture<'_, Result<Option<DraftEvent>, Report<TargetError>>>;
}

/// Interface of a model engine.
pub trait Engine: Send + Sync {
    /// Starts a draft, or resumes it at the request's offset.
    fn draft(&self, req: DraftRequest) -> BoxFuture<'_, Result<Box<dyn DraftStream>, Report<TargetError>>>;

    /// Does the same as [`Engine::draft`], always on a new connection.
    fn draft_on_new_connection(
        &self,
        req: DraftRequest,
    ) -> BoxFuture<'_, Result<Box<dyn DraftStream>, Report<TargetError>>>;

    /// Stops a draft.
    fn cancel(&self, request_id: RequestId) -> BoxFuture<'_, Result<(), Report<TargetError>>>;

    /// Returns the latest load report.
    fn load(&self) -> BoxFuture<'_, Result<LoadReport, Report<TargetError>>>;

    /// Returns the cache events from a sequence number on.
    fn cache_events(&self, from: u64) -> BoxFuture<'_, Result<CacheEvents, Report<TargetError>>>;

    /// Returns the whole content of the cache.
    fn cache_snapshot(&self) -> BoxFuture<'_, Result<CacheSnapshot, Report<TargetError>>>;

    /// Makes the engine read a piece from a store. The engine checks the piece against its manifest.
    fn import(&self, req: TransferRequest) -> BoxFuture<'_, Result<(), Report<TargetError>>>;

    /// Makes the engine write a piece to a store: first the content, then the manifest.
    fn export(&self, req: TransferRequest) -> BoxFuture<'_, Result<(), Report<TargetError>>>;

    /// Sends an order and returns the engine's reply.
    fn order(&self, order: Order) -> BoxFuture<'_, Result<OrderReply, Report<TargetError>>>;
}
