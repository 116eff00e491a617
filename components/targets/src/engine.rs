use std::time::Duration;

use error_stack::Report;
use serde::{Deserialize, Serialize};
use utils::{Attempt, ModelId, RequestId, WeightVersion, WorkspaceId};

use crate::{BoxFuture, Order, OrderReply, PieceId, TargetError, TransferRequest};

/// A prompt sent to an engine, or a draft to resume.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DraftRequest {
    /// Identifier that every part of the answer repeats.
    pub request_id: RequestId,
    /// Number of the try; every part of the answer repeats it.
    pub attempt: Attempt,
    /// Workspace that the prompt belongs to.
    pub workspace: WorkspaceId,
    /// Model to run.
    pub model: ModelId,
    /// Weight version that must run.
    pub weight_version: WeightVersion,
    /// The prompt.
    pub prompt: String,
    /// Tokens in the prompt, as the entry host counts them.
    pub prompt_tokens: u32,
    /// Names of the prompt's full pieces, first to last.
    pub pieces: Vec<PieceId>,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// Lower runs first.
    pub priority: u8,
    /// Tokens of the answer that the caller already has.
    #[serde(default)]
    pub offset: u32,
    /// Text of those tokens, for an engine that did not compute them; empty when resuming at the engine that did.
    #[serde(default)]
    pub continued: String,
    /// Only resume a draft that the engine still holds; never start one.
    #[serde(default)]
    pub resume_only: bool,
}

/// First event of a draft.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DraftStart {
    /// Weight version that runs.
    pub weight_version: WeightVersion,
    /// Tokens of the prompt that came from cache.
    pub cached_tokens: u32,
}

/// One generated token.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DraftChunk {
    /// Position in the answer, from 0.
    pub index: u32,
    /// Text of the token.
    pub text: String,
}

/// Last event of a whole draft.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DraftEnd {
    /// Tokens in the whole answer, with those before the offset.
    pub tokens: u32,
}

/// An event of a draft's stream, with the identity that it must repeat.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DraftEvent {
    /// Identifier of the request.
    pub request_id: RequestId,
    /// Number of the try.
    pub attempt: Attempt,
    /// Set in the first event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub start: Option<DraftStart>,
    /// Set in every event with a token.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub chunk: Option<DraftChunk>,
    /// Set in the last event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub end: Option<DraftEnd>,
}

/// An engine's report of its load; it lags.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
pub struct LoadReport {
    /// Prompt tokens that wait for processing.
    pub queued_prompt_tokens: u64,
    /// Drafts that generate.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Prompt tokens processed a second.
    pub prefill_tokens_per_second: f64,
    /// Most drafts that generate at once.
    pub slots: u32,
    /// Cache pieces that fit in memory.
    pub cache_capacity_pieces: u32,
    /// Models and weight versions loaded.
    pub versions: Vec<(ModelId, WeightVersion)>,
    /// Time since the figures were taken.
    pub age: Duration,
    /// Run of the engine's process.
    pub incarnation: u64,
    /// Name of the role, `prefill`, `decode` or `both`.
    #[serde(default)]
    pub role: String,
}

/// A change of an engine's cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEvent {
    /// A piece became usable.
    Stored(PieceId),
    /// A piece was dropped.
    Evicted(PieceId),
}

/// Cache events after a sequence number; a gap shows in `first`.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CacheEvents {
    /// Run of the engine's process; a new one starts with an empty cache.
    pub incarnation: u64,
    /// Sequence number of the first event here.
    pub first: u64,
    /// The events, in order; event `i` has the number `first + i`.
    pub events: Vec<CacheEvent>,
}

/// Everything in an engine's cache at one moment.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CacheSnapshot {
    /// Run of the engine's process.
    pub incarnation: u64,
    /// Number of the first event that is not included.
    pub next: u64,
    /// The pieces.
    pub pieces: Vec<PieceId>,
}

/// The stream of a running draft. Dropping it cancels the draft's connection, not the draft.
pub trait DraftStream: Send {
    /// The next event; `None` only after the end event.
    fn next(&mut self) -> BoxFuture<'_, Result<Option<DraftEvent>, Report<TargetError>>>;
}

/// A model engine.
pub trait Engine: Send + Sync {
    /// Starts a draft, or resumes it at its offset.
    fn draft(&self, req: DraftRequest) -> BoxFuture<'_, Result<Box<dyn DraftStream>, Report<TargetError>>>;

    /// As [`Engine::draft`], always on a new connection.
    fn draft_on_new_connection(
        &self,
        req: DraftRequest,
    ) -> BoxFuture<'_, Result<Box<dyn DraftStream>, Report<TargetError>>>;

    /// Stops a draft.
    fn cancel(&self, request_id: RequestId) -> BoxFuture<'_, Result<(), Report<TargetError>>>;

    /// The latest load report.
    fn load(&self) -> BoxFuture<'_, Result<LoadReport, Report<TargetError>>>;

    /// Cache events from a sequence number on.
    fn cache_events(&self, from: u64) -> BoxFuture<'_, Result<CacheEvents, Report<TargetError>>>;

    /// The whole content of the cache.
    fn cache_snapshot(&self) -> BoxFuture<'_, Result<CacheSnapshot, Report<TargetError>>>;

    /// Makes the engine read a piece from a store. The engine checks the manifest.
    fn import(&self, req: TransferRequest) -> BoxFuture<'_, Result<(), Report<TargetError>>>;

    /// Makes the engine write a piece to a store, content first, manifest last.
    fn export(&self, req: TransferRequest) -> BoxFuture<'_, Result<(), Report<TargetError>>>;

    /// Gives an order.
    fn order(&self, order: Order) -> BoxFuture<'_, Result<OrderReply, Report<TargetError>>>;
}
