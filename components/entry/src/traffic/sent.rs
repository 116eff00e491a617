use std::sync::Arc;

use policy::CandidateKey;

use crate::observe::Observation;
use crate::shared::Shared;

/// Counts a draft as open at a target until it is dropped.
pub(crate) struct SentDraft {
    /// Where the control thread is told.
    shared: Arc<Shared>,
    /// The target.
    key: CandidateKey,
}

impl SentDraft {
    /// Tells the control thread that a prompt of this many tokens goes to a target.
    pub(crate) fn new(shared: &Arc<Shared>, key: CandidateKey, tokens: u32) -> Self {
        shared.observer.tell(Observation::Sent { key, tokens });
        Self {
            shared: shared.clone(),
            key,
        }
    }
}

impl Drop for SentDraft {
    fn drop(&mut self) {
        self.shared.observer.tell(Observation::Ended { key: self.key });
    }
}
