use std::time::Duration;

use utils::{ModelId, WorkspaceId};

use crate::NamedLimit;
use crate::kept::CachePlan;

/// One part of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier of the part; equal identifiers mean equal content.
    pub id: Box<str>,
    /// Length in tokens.
    pub tokens: u32,
}

/// Shape of a prompt, as stated by the caller.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PromptShape {
    /// Name of the model.
    pub model: ModelId,
    /// Number of prompt tokens.
    pub tokens_in: u32,
    /// Most tokens to generate.
    pub tokens_out: u32,
    /// Parts of the prompt in order.
    pub parts: Vec<PromptPart>,
}

impl PromptShape {
    /// Returns the part that identifies the session: the last part of the longest prefix that other prompts
    /// may share.
    ///
    /// ```
    /// use gateway::{PromptPart, PromptShape};
    ///
    /// let part = |id: &str, tokens| PromptPart { id: id.into(), tokens };
    /// let parts = vec![part("a", 512), part("b", 8000), part("c", 900)];
    /// let shape = PromptShape { parts, ..PromptShape::default() };
    /// assert_eq!(shape.session().map(|p| &*p.id), Some("b"));
    /// ```
    pub fn session(&self) -> Option<&PromptPart> {
        let shared = self.parts.len().saturating_sub(2);
        self.parts.get(shared)
    }

    /// Returns the number of tokens up to and including the session's part.
    pub fn shared_tokens(&self) -> u32 {
        let shared = self.parts.len().saturating_sub(1).max(1);
        self.parts.iter().take(shared).map(|part| part.tokens).sum()
    }
}

/// Metadata of a caller's request, read from its headers.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CallFacts {
    /// Identifier of the caller's attempt.
    pub id: Option<String>,
    /// API key.
    pub key: Option<String>,
    /// Time for which the caller waits.
    pub deadline: Option<Duration>,
    /// Shape of the prompt, if the request is for a model.
    pub prompt: Option<PromptShape>,
    /// Last event that the caller received, if it resumes a stream.
    pub last_event: Option<String>,
    /// Identifier of the caller's attempt that brought the first event of that stream.
    pub resumes: Option<String>,
}

/// Metadata that the gateway sets in the headers of a request to a target.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SendFacts {
    /// Time left for the target to answer.
    pub time_left: Duration,
    /// The only instance that may accept the request.
    pub instance: String,
    /// The caller's workspace.
    pub workspace: Option<WorkspaceId>,
    /// Salt of the cache keys.
    pub cache_salt: Option<String>,
    /// The only weight version that may serve the request.
    pub weights: Option<u64>,
    /// Priority at the target; 0 is the highest.
    pub priority: Option<u8>,
    /// Last event that the caller received; replaces the caller's own header.
    pub resume_after: Option<String>,
    /// Kept cache to fetch and save.
    pub cache: CachePlan,
}

/// Load that a target reports in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ResponseLoad {
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Number of requests that can run concurrently.
    pub slots: u32,
}

/// A pause in requests that a target asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestedPause {
    /// A pause of this length.
    For(Duration),
    /// A length that can not be used.
    Unusable,
}

/// Metadata of a target's answer, read from its status and headers.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct AnswerFacts {
    /// Identifier of the answered request.
    pub id: Option<String>,
    /// Whether the target states that it has not run the request.
    pub is_not_run: bool,
    /// Whether callers take the status as a promise that the request has not run and never will.
    pub promises_not_run: bool,
    /// Whether another instance or weight version now has the address.
    pub is_misdirected: bool,
    /// Load of the target.
    pub load: Option<ResponseLoad>,
    /// Weight version that served the request.
    pub weights: Option<u64>,
    /// Time for which the target keeps an idle connection open.
    pub keep_alive: Option<Duration>,
    /// Whether the target closes the connection after the answer.
    pub is_closing: bool,
    /// Whether the target is leaving and wants no new requests.
    pub is_leaving: bool,
    /// Pause in requests that the target asks for with a refusal.
    pub pause: Option<RequestedPause>,
    /// Limit that the target names.
    pub limit: Option<NamedLimit>,
}

impl AnswerFacts {
    /// Returns whether the status promises that the request has not run although the target does not state that.
    ///
    /// ```
    /// use gateway::AnswerFacts;
    ///
    /// let full = AnswerFacts { promises_not_run: true, is_not_run: true, ..AnswerFacts::default() };
    /// assert!(!full.is_unproven_refusal());
    /// let failed = AnswerFacts { is_not_run: false, ..full };
    /// assert!(failed.is_unproven_refusal());
    /// ```
    pub fn is_unproven_refusal(&self) -> bool {
        self.promises_not_run && !self.is_not_run
    }
}
