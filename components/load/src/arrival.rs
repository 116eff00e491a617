use std::sync::Arc;
use std::time::Duration;

use utils::{ModelId, ServiceId, WorkspaceId};

/// Requests with the times at which they are due.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Trace {
    /// By time.
    pub arrivals: Vec<Arrival>,
}

/// A request that is due.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// Its number, from 0.
    pub number: u64,
    /// When it is due, since the start of the trace.
    pub at: Duration,
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// What it asks for.
    pub work: PlannedWork,
}

/// What a request asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlannedWork {
    /// A draft by a model.
    Draft(PlannedDraft),
    /// A call to a plain service.
    Call(PlannedCall),
}

/// A prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedDraft {
    /// The model.
    pub model: ModelId,
    /// The prompt.
    pub prompt: Arc<str>,
    /// Tokens to ask for.
    pub max_tokens: u32,
}

/// A call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedCall {
    /// The service.
    pub service: ServiceId,
    /// Path after the service's name.
    pub path: String,
    /// Idempotency key.
    pub key: String,
    /// Body, JSON.
    pub body: String,
    /// Whether the call may run more than once.
    pub repeatable: bool,
}

impl Trace {
    /// Every workspace in the trace, once.
    pub fn workspaces(&self) -> Vec<WorkspaceId> {
        let mut all: Vec<_> = self.arrivals.iter().map(|a| a.workspace.clone()).collect();
        all.sort_unstable();
        all.dedup();
        all
    }

    /// Time from the start to the last arrival.
    pub fn duration(&self) -> Duration {
        self.arrivals.last().map_or(Duration::ZERO, |a| a.at)
    }
}
