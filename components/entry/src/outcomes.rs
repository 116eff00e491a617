use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, PoisonError};

use errors::Outcome;
use serde::Serialize;
use utils::{RequestId, WorkspaceId};

/// Maximum number of request records that a host keeps.
const MAX_RECORDS: usize = 20_000;
/// Maximum number of records queued for the control thread.
const QUEUE_LENGTH: usize = 4_096;

/// Channel from which the control thread receives records.
pub(crate) type Records = async_channel::Receiver<(RequestId, RequestRecord)>;

/// The last known state and outcome of a request.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub(crate) struct RequestRecord {
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// State of the request, named as in the state chart of requests.
    pub state: &'static str,
    /// Whether the request ran, as far as known.
    pub outcome: Outcome,
    /// The last placement as logged, in JSON.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub placement: Option<String>,
}

/// Records of the latest requests at this host; the oldest are dropped first. Traffic threads send records to
/// the control thread, which stores them, so recording never waits for a lock.
#[derive(Debug)]
pub(crate) struct Outcomes {
    /// Sender to the control thread. Records are dropped while the channel is full.
    tx: async_channel::Sender<(RequestId, RequestRecord)>,
    /// Stored records.
    stored: Mutex<StoredRecords>,
}

#[derive(Debug, Default)]
struct StoredRecords {
    /// Records by request.
    by_id: HashMap<RequestId, RequestRecord>,
    /// Requests with a record, oldest first.
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

    /// Stores a record. If it has no placement, the placement of the previous record of the request is kept.
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
