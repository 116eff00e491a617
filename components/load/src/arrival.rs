use std::sync::Arc;
use std::time::Duration;

use utils::{ModelId, ServiceId, WorkspaceId};

/// Planned requests with the times at which they are due.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Trace {
    /// Planned requests, sorted by the time at which they are due.
    pub arrivals: Vec<Arrival>,
}

/// Planned request of a trace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// Number of the request in the trace, from 0.
    pub number: u64,
    /// Time at which the request is due, from the start of the trace.
    pub at: Duration,
    /// Workspace that the caller belongs to.
    pub workspace: WorkspaceId,
    /// Content of the request.
    pub work: PlannedWork,
}

/// Content of a planned request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlannedWork {
    /// Draft of a text by a model.
    Draft(PlannedDraft),
    /// Call to a plain service.
    Call(PlannedCall),
}

/// Planned draft.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedDraft {
    /// Model that generates the draft.
    pub model: ModelId,
    /// Text of the prompt.
    pub prompt: Arc<str>,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
}

/// Planned call to a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedCall {
    /// Service to call.
    pub service: ServiceId,
    /// Path below the name of the service.
    pub path: String,
    /// Idempotency key of the call.
    pub key: String,
    /// Request body, as JSON.
    pub body: String,
    /// Whether the service allows the call to run more than once.
    pub repeatable: bool,
}

impl Trace {
    /// Returns the workspaces of the trace, sorted and without duplicates.
    pub fn workspaces(&self) -> Vec<WorkspaceId> {
        let mut workspaces: Vec<_> = self.arrivals.iter().map(|a| a.workspace.clone()).collect();
        workspaces.sort_unstable();
        workspaces.dedup();
        workspaces
    }

    /// Returns the time from the start of the trace to its last request.
    pub fn duration(&self) -> Duration {
        self.arrivals.last().map_or(Duration::ZERO, |a| a.at)
    }
}
