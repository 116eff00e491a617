//! An in-memory platform with fault injection.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use error_stack::Report;
use metadata::{
    BoxFuture, Committed, MemoryTable, ObjectStore, PlatformError, Row, RowKey, ScanRequest, TableService,
    Transaction,
};
use notes::{HostRow, NoteFile, NoteStore, RegionRoster, Terms};

/// Injected fault of a transaction.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Fault {
    /// The transaction succeeds.
    None,
    /// The transaction takes effect and its answer is lost.
    LostAfter,
    /// The transaction takes no effect and its answer is lost.
    LostBefore,
}

/// In-memory table and object store with faults for the next transactions.
#[derive(Default)]
pub(crate) struct Platform {
    /// Table with the rows.
    pub(crate) table: MemoryTable,
    /// Objects by key.
    pub(crate) objects: Mutex<BTreeMap<String, bytes::Bytes>>,
    /// Faults of the next transactions, in order.
    pub(crate) faults: Mutex<VecDeque<Fault>>,
    /// Number of reads and scans so far.
    pub(crate) reads: AtomicUsize,
    /// Number of transactions so far.
    pub(crate) writes: AtomicUsize,
}

impl TableService for Platform {
    fn transact(&self, tx: Transaction) -> BoxFuture<'_, Result<Committed, Report<PlatformError>>> {
        Box::pin(async move {
            self.writes.fetch_add(1, Ordering::Relaxed);
            let fault = self.faults.lock().unwrap().pop_front().unwrap_or(Fault::None);
            if fault == Fault::LostBefore {
                return Err(Report::new(PlatformError::AnswerLost));
            }
            let committed = self.table.apply(&tx);
            match fault {
                Fault::LostAfter => Err(Report::new(PlatformError::AnswerLost)),
                _ => Ok(committed),
            }
        })
    }

    fn read(&self, keys: Vec<RowKey>) -> BoxFuture<'_, Result<Vec<Option<Row>>, Report<PlatformError>>> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        self.table.read(keys)
    }

    fn scan(&self, req: ScanRequest) -> BoxFuture<'_, Result<Vec<Row>, Report<PlatformError>>> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        self.table.scan(req)
    }
}

impl ObjectStore for Platform {
    fn put(&self, key: String, content: bytes::Bytes) -> BoxFuture<'_, Result<(), Report<PlatformError>>> {
        self.objects.lock().unwrap().insert(key, content);
        Box::pin(async { Ok(()) })
    }

    fn get(&self, key: String) -> BoxFuture<'_, Result<Option<bytes::Bytes>, Report<PlatformError>>> {
        let object = self.objects.lock().unwrap().get(&key).cloned();
        Box::pin(async move { Ok(object) })
    }
}

/// Returns a store over an in-memory platform.
pub(crate) fn store() -> (Arc<Platform>, NoteStore) {
    let platform = Arc::new(Platform::default());
    (platform.clone(), NoteStore::new(platform.clone(), platform))
}

/// Returns terms with one region whose hosts all run as incarnation 1.
pub(crate) fn terms(hosts: &[&str], serving: usize) -> Terms {
    let members = hosts.iter().map(|host| ((*host).into(), 1)).collect();
    Terms {
        freshness_ms: 100,
        lapse_ms: 1_000,
        regions: [("gwynedd".into(), RegionRoster { serving, members })].into(),
    }
}

/// Returns a host's row without acknowledgements.
pub(crate) fn host(name: &str, incarnation: u64) -> HostRow {
    HostRow {
        host: name.into(),
        incarnation,
        region: "gwynedd".into(),
        address: ([127, 0, 0, 1], 7_000).into(),
        acknowledged: 0,
        is_stopped: false,
        are_earlier_ended: true,
    }
}

/// Parses a note.
pub(crate) fn note(text: &str) -> notes::Note {
    NoteFile::parse(text, "note.yaml").unwrap().note
}
