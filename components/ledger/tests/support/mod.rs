//! A table service with injected faults, and ledgers of hosts that share it.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use error_stack::Report;
use ledger::{
    AttemptId, CallKey, ClaimRow, Holder, LedgerHandle, LedgerSettings, LedgerWriter, NewCall, Protocol,
    RecordedBody, RecordedReply,
};
use metadata::{
    BoxFuture, Committed, MemoryTable, PlatformError, Row, RowKey, ScanRequest, TableService, Transaction,
};
use smol::{LocalExecutor, Task};
use utils::Clock;

/// Fault injected into the table service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum Fault {
    /// All calls are answered.
    #[default]
    None,
    /// The next transaction takes effect, but its answer is lost.
    LoseOne,
    /// No call is answered.
    Silent,
}

/// In-memory table service with an injected fault.
#[derive(Debug, Default)]
pub(crate) struct FaultyTable {
    pub(crate) table: MemoryTable,
    pub(crate) fault: Mutex<Fault>,
    pub(crate) calls: AtomicU64,
}

impl FaultyTable {
    pub(crate) fn set(&self, fault: Fault) {
        *self.fault.lock().expect("lock") = fault;
    }

    async fn pass(&self) -> Result<(), Report<PlatformError>> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let fault = *self.fault.lock().expect("lock");
        match fault {
            Fault::Silent => smol::future::pending().await,
            Fault::None | Fault::LoseOne => Ok(()),
        }
    }
}

impl TableService for FaultyTable {
    fn transact(&self, tx: Transaction) -> BoxFuture<'_, Result<Committed, Report<PlatformError>>> {
        Box::pin(async move {
            self.pass().await?;
            let committed = self.table.apply(&tx);
            let mut fault = self.fault.lock().expect("lock");
            if *fault == Fault::LoseOne {
                *fault = Fault::None;
                return Err(Report::new(PlatformError::AnswerLost));
            }
            Ok(committed)
        })
    }

    fn read(&self, keys: Vec<RowKey>) -> BoxFuture<'_, Result<Vec<Option<Row>>, Report<PlatformError>>> {
        Box::pin(async move {
            self.pass().await?;
            self.table.read(keys).await
        })
    }

    fn scan(&self, req: ScanRequest) -> BoxFuture<'_, Result<Vec<Row>, Report<PlatformError>>> {
        self.table.scan(req)
    }
}

/// Starts the ledger of a host.
pub(crate) fn host(
    ex: &LocalExecutor<'static>,
    table: &Arc<FaultyTable>,
    clock: &Arc<dyn Clock>,
    name: &str,
) -> (LedgerHandle, Task<()>) {
    let settings = LedgerSettings {
        store_timeout: Duration::from_millis(20),
        probe_interval: Duration::from_millis(5),
        max_recovery_delay: Duration::from_millis(5),
        ..LedgerSettings::default()
    };
    let holder = Holder {
        host: name.into(),
        incarnation: 1,
    };
    let (writer, handle) = LedgerWriter::new(
        Arc::clone(table) as Arc<dyn TableService>,
        Arc::clone(clock),
        settings,
        Protocol::load().expect("chart"),
        holder,
        |_: &ClaimRow| true,
        slog::Logger::root(slog::Discard, slog::o!()),
    );
    (handle, ex.spawn(writer.run()))
}

/// Builds an attempt at a call.
pub(crate) fn call(key: &str, attempt: u128, body: &str) -> NewCall {
    NewCall {
        key: CallKey {
            workspace: "mill".into(),
            service: "orders".into(),
            key: key.to_owned(),
        },
        attempt: AttemptId(attempt),
        target: "desk-1".into(),
        body: utils::digest(body.as_bytes()),
    }
}

/// Builds an answer of a service.
pub(crate) fn reply(text: &str) -> RecordedReply {
    RecordedReply {
        status: 201,
        content_type: "text/plain".to_owned(),
        body: RecordedBody::new(text.as_bytes().to_vec()),
    }
}
