use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use error_stack::Report;
use errors::events;
use metadata::{BoxFuture, PlatformError, TableService};
use rand::RngExt;
use slog::{Logger, info, warn};
use smol::Timer;
use smol::future::{or, zip};
use utils::{Clock, Monotonic};

use crate::{
    Batch, Batcher, Breaker, ClaimRow, Holder, Job, JobStep, LedgerHandle, LedgerSettings, Protocol,
    RowWrite, WriteResult,
};

/// Maximum number of writes of one attempt in the channel.
const WRITES_PER_ATTEMPT: usize = 2;
/// Key of the row that probes read; the row need not exist.
const PROBE_ROW: &str = "claim";

/// Returns whether the holder of a claim is alive in the same incarnation.
pub(crate) type IsAlive = Arc<dyn Fn(&ClaimRow) -> bool + Send + Sync>;

/// Answer of the table service.
type PlatformResult<T> = Result<T, Report<PlatformError>>;

/// Write submitted to the writer.
pub(crate) enum WriteRequest {
    /// Insert of an attempt, and the channel for its result.
    Insert(Box<RowWrite>, Sender<WriteResult>),
    /// Background write, and the channel that signals its completion.
    Job(Box<Job>, Sender<()>),
}

/// Receiver of a write's result.
enum Tag {
    /// The attempt that waits for an insert.
    Insert(Sender<WriteResult>),
    /// The job, and the channel that signals its completion.
    Job(Box<Job>, Sender<()>),
}

/// Counters of the ledger.
#[derive(Debug, Default)]
pub struct LedgerStats {
    /// Number of transactions sent.
    pub transactions: AtomicU64,
    /// Number of rows in those transactions.
    pub rows: AtomicU64,
    /// Number of rows read back after a lost answer.
    pub reads: AtomicU64,
    /// Number of attempts in flight and of unwritten settlements.
    pub backlog: AtomicUsize,
}

/// State shared by the writer and the handles.
pub(crate) struct Shared {
    /// The table service.
    pub(crate) table: Arc<dyn TableService>,
    /// Source of time.
    pub(crate) clock: Arc<dyn Clock>,
    /// Settings of the ledger.
    pub(crate) settings: LedgerSettings,
    /// State machine of attempts.
    pub(crate) protocol: Protocol,
    /// This host and its incarnation.
    pub(crate) holder: Holder,
    /// Returns whether a claim's holder is alive.
    pub(crate) is_alive: IsAlive,
    /// Whether the table service is considered unavailable.
    pub(crate) is_unavailable: AtomicBool,
    /// Channel that wakes the probe loop.
    pub(crate) wake_probes: Sender<()>,
    /// Counters of the ledger.
    pub(crate) stats: LedgerStats,
    /// Logger of the writer and the probe loop.
    log: Logger,
}

impl Shared {
    /// Records a failed call to the table service: marks the service unavailable and wakes the probe loop.
    pub(crate) fn record_failure(&self) {
        self.is_unavailable.store(true, Ordering::Release);
        // If the channel is full, the probe loop is already awake or has a wake-up pending.
        let _ = self.wake_probes.try_send(());
    }

    /// Waits for an answer of the table service, at most for
    /// [`store_timeout`](LedgerSettings::store_timeout).
    pub(crate) async fn with_table_timeout<T>(
        &self,
        call: BoxFuture<'_, PlatformResult<T>>,
    ) -> PlatformResult<T> {
        self.with_timeout(call, self.settings.store_timeout).await
    }

    /// Waits for an answer of the table service, at most for `timeout`.
    pub(crate) async fn with_timeout<T>(
        &self,
        call: BoxFuture<'_, PlatformResult<T>>,
        timeout: Duration,
    ) -> PlatformResult<T> {
        let expired = async {
            Timer::after(timeout).await;
            Err(Report::new(PlatformError::AnswerLost))
        };
        let answer = or(call, expired).await;
        if answer.is_err() {
            self.record_failure();
        }
        answer
    }

    /// Whether the table service is considered unavailable.
    pub(crate) fn is_unavailable(&self) -> bool {
        self.is_unavailable.load(Ordering::Acquire)
    }
}

/// Writes claims and settlements to the table service. Each host runs one writer.
pub struct LedgerWriter {
    /// State shared with the handles.
    shared: Arc<Shared>,
    /// Writes from the handles.
    rx: Receiver<WriteRequest>,
    /// Receives a message after a failure, which wakes the probe loop.
    failures: Receiver<()>,
    /// Claims that wait to be written.
    inserts: Batcher<Tag>,
    /// Settlements and other background writes that wait to be written.
    jobs: Batcher<Tag>,
    /// Time at which waiting settlements are written even if there is no claim to share the transaction.
    jobs_due: Monotonic,
    /// Time before which no settlement is written.
    jobs_not_before: Monotonic,
    /// Whether the table service was unavailable at the last check.
    is_recovering: bool,
}

impl LedgerWriter {
    /// Creates a writer, and a handle for the traffic threads. `is_alive` returns whether the holder of a
    /// claim is alive in the same incarnation.
    pub fn new(
        table: Arc<dyn TableService>,
        clock: Arc<dyn Clock>,
        settings: LedgerSettings,
        protocol: Protocol,
        holder: Holder,
        is_alive: impl Fn(&ClaimRow) -> bool + Send + Sync + 'static,
        log: Logger,
    ) -> (Self, LedgerHandle) {
        let (tx, rx) = async_channel::bounded(WRITES_PER_ATTEMPT * settings.max_backlog.max(1));
        let (failure_tx, failures) = async_channel::bounded(1);
        let shared = Arc::new(Shared {
            table,
            clock,
            settings,
            protocol,
            holder,
            is_alive: Arc::new(is_alive),
            is_unavailable: AtomicBool::new(false),
            wake_probes: failure_tx,
            stats: LedgerStats::default(),
            log,
        });
        let handle = LedgerHandle::new(Arc::clone(&shared), tx);
        let writer = Self {
            rx,
            failures,
            inserts: Batcher::default(),
            jobs: Batcher::default(),
            jobs_due: Monotonic::ZERO,
            jobs_not_before: Monotonic::ZERO,
            is_recovering: false,
            shared,
        };
        (writer, handle)
    }

    /// Runs until the handles are closed or dropped and every settlement is written.
    pub async fn run(mut self) {
        let (stop_tx, stop) = async_channel::bounded::<()>(1);
        let probes = probe_loop(Arc::clone(&self.shared), self.failures.clone(), stop);
        let writes = async move {
            self.write_loop().await;
            drop(stop_tx);
        };
        zip(writes, probes).await;
    }

    async fn write_loop(&mut self) {
        while self.receive_writes().await {
            if self.shared.is_unavailable() {
                self.reject_inserts();
                continue;
            }
            if self.is_recovering {
                self.is_recovering = false;
                let jitter = rand::rng().random::<f64>();
                self.jobs_not_before = self.now() + self.shared.settings.max_recovery_delay.mul_f64(jitter);
            }
            let batch = self.next_batch();
            self.write(batch).await;
        }
    }

    /// Receives writes from the handles. Returns false once the channel is closed and nothing is left to
    /// write.
    async fn receive_writes(&mut self) -> bool {
        if self.inserts.is_empty() && self.jobs.is_empty() {
            match self.rx.recv().await {
                Ok(request) => self.push(request),
                Err(_) => return false,
            }
        }
        if self.inserts.is_empty() {
            self.wait_for_jobs().await;
        }
        if !self.inserts.is_empty() {
            Timer::after(self.shared.settings.commit_window).await;
        }
        while let Ok(request) = self.rx.try_recv() {
            self.push(request);
        }
        true
    }

    /// Waits until the settlements are due or a claim arrives.
    async fn wait_for_jobs(&mut self) {
        while self.inserts.is_empty() {
            let due = self.jobs_due.max(self.jobs_not_before);
            let remaining = due.saturating_sub(self.now());
            if remaining.is_zero() {
                return;
            }
            let timer = async {
                Timer::after(remaining).await;
                None
            };
            let rx = self.rx.clone();
            let next = async {
                match rx.recv().await {
                    Ok(request) => Some(request),
                    Err(_) => smol::future::pending().await,
                }
            };
            match or(timer, next).await {
                Some(request) => self.push(request),
                None => return,
            }
        }
    }

    fn push(&mut self, request: WriteRequest) {
        match request {
            WriteRequest::Insert(write, tx) => self.inserts.push(*write, Tag::Insert(tx)),
            WriteRequest::Job(job, tx) => self.push_job(job, tx),
        }
    }

    fn push_job(&mut self, job: Box<Job>, tx: Sender<()>) {
        if self.jobs.is_empty() {
            self.jobs_due = self.now() + self.shared.settings.commit_window;
        }
        self.jobs.push(job.write().clone(), Tag::Job(job, tx));
    }

    /// Refuses all waiting claims and postpones settlements, as the table service is unavailable.
    fn reject_inserts(&mut self) {
        while !self.inserts.is_empty() {
            let mut batch = Batch::default();
            self.inserts.fill(&mut batch, self.shared.settings.max_batch_rows);
            for (tag, result) in batch.cancel() {
                self.deliver(tag, result);
            }
        }
        self.is_recovering = true;
        self.jobs_not_before = self.now() + self.shared.settings.probe_interval;
    }

    /// Fills the next batch. Due settlements take up to half of it first: claims on the same rows would
    /// otherwise keep them out of the batch.
    fn next_batch(&mut self) -> Batch<Tag> {
        let now = self.now();
        let rows = self.shared.settings.max_batch_rows;
        let mut batch = Batch::default();
        if now >= self.jobs_due && now >= self.jobs_not_before {
            self.jobs.fill(&mut batch, rows.div_ceil(2));
            self.jobs_due = now + self.shared.settings.commit_window;
        }
        self.inserts.fill(&mut batch, rows);
        if now >= self.jobs_not_before {
            self.jobs.fill(&mut batch, rows);
        }
        batch
    }

    /// Sends a batch, and after a refusal the remaining writes of it.
    async fn write(&mut self, batch: Batch<Tag>) {
        let mut next = (!batch.is_empty()).then_some(batch);
        while let Some(batch) = next {
            let stats = &self.shared.stats;
            stats.transactions.fetch_add(1, Ordering::Relaxed);
            stats.rows.fetch_add(batch.len() as u64, Ordering::Relaxed);
            let answer = self
                .shared
                .with_table_timeout(self.shared.table.transact(batch.transaction()))
                .await;
            let (results, rest) = batch.handle_answer(answer, &*self.shared.is_alive);
            for (tag, result) in results {
                self.deliver(tag, result);
            }
            next = rest;
        }
    }

    fn deliver(&mut self, tag: Tag, result: WriteResult) {
        match tag {
            Tag::Insert(tx) => {
                // If the attempt was dropped, its `Drop` abandons the claim.
                let _ = tx.try_send(result);
            }
            Tag::Job(mut job, tx) => match job.step(&result) {
                JobStep::Retry => self.push_job(job, tx),
                JobStep::Done => {
                    self.shared.stats.backlog.fetch_sub(1, Ordering::Relaxed);
                    // The receiver may have timed out or been dropped.
                    let _ = tx.try_send(());
                }
            },
        }
    }

    fn now(&self) -> Monotonic {
        self.shared.clock.now()
    }
}

/// Waits for failures and probes the table service after each until it answers.
async fn probe_loop(shared: Arc<Shared>, failures: Receiver<()>, stop: Receiver<()>) {
    loop {
        let failed = async { failures.recv().await.is_ok() };
        if !or(failed, wait_for_stop(&stop)).await {
            return;
        }
        warn!(shared.log, "table service unavailable, claims are refused"; events::LEDGER_CLOSED);
        probe_until_available(&shared, &stop).await;
        info!(shared.log, "table service available again, claims are accepted"; events::LEDGER_BACK,
            "backlog" => shared.stats.backlog.load(Ordering::Relaxed));
    }
}

async fn probe_until_available(shared: &Shared, stop: &Receiver<()>) {
    let mut breaker = Breaker::new(shared.settings.probe_interval);
    loop {
        if shared
            .with_table_timeout(shared.table.read(vec![PROBE_ROW.to_owned()]))
            .await
            .is_ok()
        {
            shared.is_unavailable.store(false, Ordering::Release);
            return;
        }
        let now = shared.clock.now();
        breaker.record_failure(now, rand::rng().random::<f64>());
        let remaining = breaker.probe_at().unwrap_or(now).saturating_sub(now);
        let pause = async {
            Timer::after(remaining).await;
            true
        };
        if !or(pause, wait_for_stop(stop)).await {
            return;
        }
    }
}

/// Waits until the writer stops; returns false then.
async fn wait_for_stop(stop: &Receiver<()>) -> bool {
    let _ = stop.recv().await;
    false
}
