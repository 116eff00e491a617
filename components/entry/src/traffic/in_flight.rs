use std::sync::Arc;

use policy::CandidateKey;

use crate::observe::Observation;
use crate::shared::Shared;

/// Counts a draft as open at a target until it is dropped.
pub(crate) struct InFlightGuard {
    /// Where the control thread is told.
    shared: Arc<Shared>,
    /// The target.
    key: CandidateKey,
}

impl InFlightGuard {
    /// Tells the control thread that a prompt of this many tokens goes to a target.
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
