use std::time::Duration;

use utils::{ModelId, WorkspaceId};

use crate::kept::CachePlan;

/// One part of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// Name of the part; equal names mean equal content.
    pub id: Box<str>,
    /// Its length.
    pub tokens: u32,
}

/// What a caller says of its prompt.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PromptShape {
    /// The model.
    pub model: ModelId,
    /// Tokens to read.
    pub tokens_in: u32,
    /// Most tokens to generate.
    pub tokens_out: u32,
    /// Parts of the prompt, first to last.
    pub parts: Vec<PromptPart>,
}

impl PromptShape {
    /// The part by which returning prompts are kept together: the longest start that others may share.
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

    /// Tokens up to and including the session's part.
    pub fn shared_tokens(&self) -> u32 {
        let shared = self.parts.len().saturating_sub(1).max(1);
        self.parts.iter().take(shared).map(|part| part.tokens).sum()
    }
}

/// What a request says in its head, beside method and path.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CallFacts {
    /// Identifier of this try of the caller.
    pub id: Option<String>,
    /// API key.
    pub key: Option<String>,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// Its prompt, if it is for a model.
    pub prompt: Option<PromptShape>,
    /// Last event that the caller has, if it continues a stream.
    pub last_event: Option<String>,
}

/// What the head of a request to a target says, beside what the caller sent.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SendFacts {
    /// How long the target may work.
    pub time_left: Duration,
    /// The only instance that may take the request.
    pub instance: String,
    /// The caller's workspace.
    pub workspace: Option<WorkspaceId>,
    /// Name under which cache is kept and found.
    pub cache_salt: Option<String>,
    /// The only weight version that may serve it.
    pub weights: Option<u64>,
    /// Rank at the target; 0 goes first.
    pub priority: Option<u8>,
    /// Last event that the caller has; replaces what the caller sent.
    pub resume_after: Option<String>,
    /// Kept cache to use.
    pub cache: CachePlan,
}

/// Load that a target reports with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ResponseLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// What the head of a target's answer says, beside status and content.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct AnswerFacts {
    /// Request that it answers.
    pub id: Option<String>,
    /// Whether the target states that it has not run the request.
    pub is_not_run: bool,
    /// Whether another instance or another weight version holds the address.
    pub is_misdirected: bool,
    /// Load of the target.
    pub load: Option<ResponseLoad>,
    /// Weight version that served it.
    pub weights: Option<u64>,
    /// Time for which the target keeps the connection open without use.
    pub keep_alive: Option<Duration>,
    /// Whether the target closes the connection after the answer.
    pub is_closing: bool,
}
