use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, PoisonError};

use errors::Outcome;
use serde::Serialize;
use utils::{RequestId, WorkspaceId};

/// Requests whose records a host keeps.
const MAX_RECORDS: usize = 20_000;
/// Records that wait for the control thread.
const QUEUE_LENGTH: usize = 4_096;

/// Where the control thread takes records from.
pub(crate) type Records = async_channel::Receiver<(RequestId, RequestRecord)>;

/// What became of a request.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub(crate) struct RequestRecord {
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// State of the request, as in its chart.
    pub state: &'static str,
    /// What is known about whether it ran.
    pub outcome: Outcome,
    /// The last placement as it was logged, JSON.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub placement: Option<String>,
}

/// The latest requests of this host, oldest dropped first. Traffic threads only send records; the control
/// thread stores them, so that no request waits for a lock.
#[derive(Debug)]
pub(crate) struct Outcomes {
    /// Sends records to the control thread; a full channel drops them.
    tx: async_channel::Sender<(RequestId, RequestRecord)>,
    /// Requests by identifier, and their order.
    stored: Mutex<StoredRecords>,
}

#[derive(Debug, Default)]
struct StoredRecords {
    /// Requests by identifier.
    by_id: HashMap<RequestId, RequestRecord>,
    /// Identifiers, oldest first.
    order: VecDeque<RequestId>,
}

impl Outcomes {
    pub(crate) fn new() -> (Self, Records) {
        let (tx, rx) = async_channel::bounded(QUEUE_LENGTH);
        (
            Self {
                tx,
                stored: Mutex::default(),
            },
            rx,
        )
    }

    /// Sends a record to the control thread.
    pub(crate) fn record(&self, id: RequestId, record: RequestRecord) {
        let _ = self.tx.try_send((id, record));
    }

    /// Stores a record; a record without placement keeps the one before.
    pub(crate) fn store(&self, id: RequestId, mut record: RequestRecord) {
        let mut stored = self.lock();
        match stored.by_id.get_mut(&id) {
            Some(old) => {
                record.placement = record.placement.or_else(|| old.placement.take());
                *old = record;
            }
            None => {
                stored.by_id.insert(id, record);
                stored.order.push_back(id);
            }
        }
        while stored.order.len() > MAX_RECORDS {
            let oldest = stored.order.pop_front();
            oldest.and_then(|id| stored.by_id.remove(&id));
        }
    }

    pub(crate) fn get(&self, id: RequestId) -> Option<RequestRecord> {
        self.lock().by_id.get(&id).cloned()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, StoredRecords> {
        self.stored.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
