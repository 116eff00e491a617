use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use policy::CandidateKey;
use targets::{PieceId, TargetError};
use utils::{WeightVersion, WorkspaceId};

/// Observations that wait for the control thread.
const QUEUE_LENGTH: usize = 4_096;

/// What a traffic thread tells the control thread.
#[derive(Debug, Clone)]
pub(crate) enum Observation {
    /// A draft was sent to a target.
    Sent {
        /// The target.
        key: CandidateKey,
        /// Prompt tokens sent.
        tokens: u32,
    },
    /// A target has processed a prompt: its pieces are in the target's cache now.
    Prefilled {
        /// The target.
        key: CandidateKey,
        /// Workspace that the prompt belongs to.
        workspace: WorkspaceId,
        /// Weight version that ran.
        weight_version: WeightVersion,
        /// Names of the prompt's full pieces.
        pieces: Arc<[PieceId]>,
    },
    /// A target was told to read a piece from a store.
    FetchStarted {
        /// Address of the store.
        store: SocketAddr,
    },
    /// The transfer of a piece from a store has ended.
    FetchEnded {
        /// Address of the store.
        store: SocketAddr,
        /// Whether the target has the piece now.
        is_complete: bool,
    },
    /// A draft is no longer open at a target.
    Ended {
        /// The target.
        key: CandidateKey,
    },
    /// A try at a target failed.
    Failed {
        /// The target.
        key: CandidateKey,
        /// Why.
        failure: TargetError,
    },
}

/// The traffic threads' end of the channel to the control thread. A full channel drops and counts.
#[derive(Debug)]
pub(crate) struct Observer {
    /// Sends to the control thread.
    tx: async_channel::Sender<Observation>,
    /// Observations that were dropped.
    dropped: AtomicU64,
}

impl Observer {
    pub(crate) fn new() -> (Self, async_channel::Receiver<Observation>) {
        let (tx, rx) = async_channel::bounded(QUEUE_LENGTH);
        (
            Self {
                tx,
                dropped: AtomicU64::new(0),
            },
            rx,
        )
    }

    pub(crate) fn send(&self, observation: Observation) {
        if self.tx.try_send(observation).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    pub(crate) fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}
