use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, PoisonError};

use errors::Outcome;
use serde::Serialize;
use utils::{RequestId, WorkspaceId};

/// Requests that are remembered on a host.
const REMEMBERED: usize = 20_000;

/// What became of a request.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub(crate) struct Remembered {
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// State of the request, as in its chart.
    pub state: &'static str,
    /// What is known about whether it ran.
    pub outcome: Outcome,
    /// The last placement, as it was logged.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub placement: Option<serde_json::Value>,
}

/// The latest requests of this host, oldest dropped first.
#[derive(Debug, Default)]
pub(crate) struct Outcomes {
    /// Requests by identifier, and their order.
    state: Mutex<(HashMap<RequestId, Remembered>, VecDeque<RequestId>)>,
}

impl Outcomes {
    pub(crate) fn record(&self, id: RequestId, remembered: Remembered) {
        let mut guard = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let (map, order) = &mut *guard;
        if map.insert(id, remembered).is_none() {
            order.push_back(id);
        }
        while order.len() > REMEMBERED {
            let oldest = order.pop_front();
            oldest.and_then(|id| map.remove(&id));
        }
    }

    pub(crate) fn get(&self, id: RequestId) -> Option<Remembered> {
        let guard = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        guard.0.get(&id).cloned()
    }
}
