use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use policy::CandidateKey;
use targets::{PieceId, TargetError};
use utils::{WeightVersion, WorkspaceId};

/// Maximum number of observations queued for the control thread.
const QUEUE_LENGTH: usize = 4_096;

/// An event that a traffic thread reports to the control thread.
#[derive(Debug, Clone)]
pub(crate) enum Observation {
    /// A draft was sent to a target.
    Sent {
        /// The target.
        key: CandidateKey,
        /// Number of prompt tokens sent.
        tokens: u32,
    },
    /// A target has processed a prompt, so the pieces of the prompt are in its cache.
    Prefilled {
        /// The target.
        key: CandidateKey,
        /// Workspace of the prompt.
        workspace: WorkspaceId,
        /// Weight version that processed the prompt.
        weight_version: WeightVersion,
        /// Identifiers of the prompt's full pieces.
        pieces: Arc<[PieceId]>,
    },
    /// A target was asked to import a piece from a store.
    FetchStarted {
        /// Address of the store.
        store: SocketAddr,
    },
    /// The import of a piece from a store has ended.
    FetchEnded {
        /// Address of the store.
        store: SocketAddr,
        /// Whether the target has imported the piece.
        is_complete: bool,
    },
    /// A draft is no longer in flight at a target.
    Ended {
        /// The target.
        key: CandidateKey,
    },
    /// An attempt at a target failed.
    Failed {
        /// The target.
        key: CandidateKey,
        /// Reason of the failure.
        failure: TargetError,
    },
}

/// The sending side of the channel from the traffic threads to the control thread. If the channel is full,
/// observations are dropped and counted.
#[derive(Debug)]
pub(crate) struct Observer {
    /// Sender to the control thread.
    tx: async_channel::Sender<Observation>,
    /// Number of dropped observations.
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
