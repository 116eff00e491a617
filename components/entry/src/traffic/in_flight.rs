use std::sync::Arc;

use policy::CandidateKey;

use crate::observe::Observation;
use crate::shared::Shared;

/// Counts a draft as in flight at a target until it is dropped.
pub(crate) struct InFlightGuard {
    /// State with the channel to the control thread.
    shared: Arc<Shared>,
    /// The target.
    key: CandidateKey,
}

impl InFlightGuard {
    /// Reports to the control thread that a prompt of `tokens` tokens is sent to a target.
    pub(crate) fn new(shared: &Arc<Shared>, key: CandidateKey, tokens: u32) -> Self {
        shared.observer.send(Observation::Sent { key, tokens });
        Self {
            shared: shared.clone(),
            key,
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.shared.observer.send(Observation::Ended { key: self.key });
    }
}
