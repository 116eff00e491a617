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

/// Most writes of one try that are in the channel at once.
const OPS_PER_TRY: usize = 2;
/// Row that probes read; it need not exist.
const PROBE_ROW: &str = "claim";

/// Tells whether the run of the host that holds a claim is alive.
pub(crate) type IsAlive = Arc<dyn Fn(&ClaimRow) -> bool + Send + Sync>;

/// An answer of the table service.
type PlatformResult<T> = Result<T, Report<PlatformError>>;

/// A write for the writer.
pub(crate) enum Op {
    /// A try's insert; the result goes back.
    Insert(Box<RowWrite>, Sender<WriteResult>),
    /// A background write; the sender is told when it is made.
    Job(Box<Job>, Sender<()>),
}

/// Whose a write is.
enum Tag {
    /// A try's.
    Insert(Sender<WriteResult>),
    /// A background write's.
    Job(Box<Job>, Sender<()>),
}

/// Counters of the ledger.
#[derive(Debug, Default)]
pub struct LedgerStats {
    /// Transactions sent.
    pub transactions: AtomicU64,
    /// Rows in them.
    pub rows: AtomicU64,
    /// Rows read back.
    pub reads: AtomicU64,
    /// Calls whose settlement is not written yet, and claims under way.
    pub backlog: AtomicUsize,
}

/// What the writer and the handles share.
pub(crate) struct Shared {
    /// The table service.
    pub(crate) table: Arc<dyn TableService>,
    /// Time.
    pub(crate) clock: Arc<dyn Clock>,
    /// Settings.
    pub(crate) settings: LedgerSettings,
    /// The rules.
    pub(crate) protocol: Protocol,
    /// This run of this host.
    pub(crate) holder: Holder,
    /// Whether the run of another host is alive.
    pub(crate) is_alive: IsAlive,
    /// Whether the table service is out of reach.
    pub(crate) is_open: AtomicBool,
    /// Wakes the probes.
    pub(crate) trouble: Sender<()>,
    /// Counters.
    pub(crate) stats: LedgerStats,
    /// Log.
    log: Logger,
}

impl Shared {
    /// Notes that a call to the table service failed.
    pub(crate) fn note_failure(&self) {
        self.is_open.store(true, Ordering::Release);
        // A full channel means that the probes are awake already.
        let _ = self.trouble.try_send(());
    }

    /// Waits for an answer of the table service, at most for its timeout.
    pub(crate) async fn wait<T>(&self, call: BoxFuture<'_, PlatformResult<T>>) -> PlatformResult<T> {
        self.wait_for(call, self.settings.store_timeout).await
    }

    /// Waits for an answer of the table service, at most for `longest`.
    pub(crate) async fn wait_for<T>(
        &self,
        call: BoxFuture<'_, PlatformResult<T>>,
        longest: Duration,
    ) -> PlatformResult<T> {
        let late = async {
            Timer::after(longest).await;
            Err(Report::new(PlatformError::AnswerLost))
        };
        let answer = or(call, late).await;
        if answer.is_err() {
            self.note_failure();
        }
        answer
    }

    /// Whether the table service is out of reach.
    pub(crate) fn is_open(&self) -> bool {
        self.is_open.load(Ordering::Acquire)
    }
}

/// Writes claims and settlements to the table service; one for each host.
pub struct LedgerWriter {
    /// Shared with the handles.
    shared: Arc<Shared>,
    /// Writes from the handles.
    rx: Receiver<Op>,
    /// Failures that wake the probes.
    trouble: Receiver<()>,
    /// Claims that wait.
    inserts: Batcher<Tag>,
    /// Settlements that wait.
    jobs: Batcher<Tag>,
    /// When the oldest settlement is written even if no claim shares its transaction.
    jobs_due: Monotonic,
    /// Before this time no settlement is written.
    jobs_from: Monotonic,
    /// Whether the table service was out of reach at the last look.
    is_recovering: bool,
}

impl LedgerWriter {
    /// A writer and a handle for the traffic threads. `is_alive` tells whether a run of a host is still going on.
    pub fn new(
        table: Arc<dyn TableService>,
        clock: Arc<dyn Clock>,
        settings: LedgerSettings,
        protocol: Protocol,
        holder: Holder,
        is_alive: impl Fn(&ClaimRow) -> bool + Send + Sync + 'static,
        log: Logger,
    ) -> (Self, LedgerHandle) {
        let (tx, rx) = async_channel::bounded(OPS_PER_TRY * settings.backlog.max(1));
        let (trouble_tx, trouble) = async_channel::bounded(1);
        let shared = Arc::new(Shared {
            table,
            clock,
            settings,
            protocol,
            holder,
            is_alive: Arc::new(is_alive),
            is_open: AtomicBool::new(false),
            trouble: trouble_tx,
            stats: LedgerStats::default(),
            log,
        });
        let handle = LedgerHandle::new(Arc::clone(&shared), tx);
        let writer = Self {
            rx,
            trouble,
            inserts: Batcher::default(),
            jobs: Batcher::default(),
            jobs_due: Monotonic::ZERO,
            jobs_from: Monotonic::ZERO,
            is_recovering: false,
            shared,
        };
        (writer, handle)
    }

    /// Writes until the handles are closed or gone and every settlement is written.
    pub async fn run(mut self) {
        let (stop_tx, stop) = async_channel::bounded::<()>(1);
        let probes = probe_loop(Arc::clone(&self.shared), self.trouble.clone(), stop);
        let writes = async move {
            self.write_loop().await;
            drop(stop_tx);
        };
        zip(writes, probes).await;
    }

    async fn write_loop(&mut self) {
        while self.gather().await {
            if self.shared.is_open() {
                self.hold_back();
                continue;
            }
            if self.is_recovering {
                self.is_recovering = false;
                let part = rand::rng().random::<f64>();
                self.jobs_from = self.now() + self.shared.settings.recovery_spread.mul_f64(part);
            }
            let batch = self.next_batch();
            self.write(batch).await;
        }
    }

    /// Waits for writes; false once all handles are gone and nothing is left to write.
    async fn gather(&mut self) -> bool {
        if self.inserts.is_empty() && self.jobs.is_empty() {
            match self.rx.recv().await {
                Ok(op) => self.push(op),
                Err(_) => return false,
            }
        }
        if self.inserts.is_empty() {
            self.wait_for_jobs().await;
        }
        if !self.inserts.is_empty() {
            Timer::after(self.shared.settings.commit_window).await;
        }
        while let Ok(op) = self.rx.try_recv() {
            self.push(op);
        }
        true
    }

    /// Waits until the settlements are due or a claim comes.
    async fn wait_for_jobs(&mut self) {
        while self.inserts.is_empty() {
            let due = self.jobs_due.max(self.jobs_from);
            let left = due.saturating_sub(self.now());
            if left.is_zero() {
                return;
            }
            let timer = async {
                Timer::after(left).await;
                None
            };
            let rx = self.rx.clone();
            let next = async {
                match rx.recv().await {
                    Ok(op) => Some(op),
                    Err(_) => smol::future::pending().await,
                }
            };
            match or(timer, next).await {
                Some(op) => self.push(op),
                None => return,
            }
        }
    }

    fn push(&mut self, op: Op) {
        match op {
            Op::Insert(write, tx) => self.inserts.push(*write, Tag::Insert(tx)),
            Op::Job(job, tx) => self.push_job(job, tx),
        }
    }

    fn push_job(&mut self, job: Box<Job>, tx: Sender<()>) {
        if self.jobs.is_empty() {
            self.jobs_due = self.now() + self.shared.settings.commit_window;
        }
        self.jobs.push(job.write().clone(), Tag::Job(job, tx));
    }

    /// While the table service is out of reach, claims are refused and settlements wait.
    fn hold_back(&mut self) {
        while !self.inserts.is_empty() {
            let mut batch = Batch::default();
            self.inserts.fill(&mut batch, self.shared.settings.batch_rows);
            for (tag, result) in batch.not_sent() {
                self.deliver(tag, result);
            }
        }
        self.is_recovering = true;
        self.jobs_from = self.now() + self.shared.settings.probe_interval;
    }

    /// Settlements that are due take up to half of a batch first: claims of the same row must not keep them waiting.
    fn next_batch(&mut self) -> Batch<Tag> {
        let now = self.now();
        let rows = self.shared.settings.batch_rows;
        let mut batch = Batch::default();
        if now >= self.jobs_due && now >= self.jobs_from {
            self.jobs.fill(&mut batch, rows.div_ceil(2));
            self.jobs_due = now + self.shared.settings.commit_window;
        }
        self.inserts.fill(&mut batch, rows);
        if now >= self.jobs_from {
            self.jobs.fill(&mut batch, rows);
        }
        batch
    }

    /// Sends a batch, and what is left of it after a refusal.
    async fn write(&mut self, batch: Batch<Tag>) {
        let mut next = (!batch.is_empty()).then_some(batch);
        while let Some(batch) = next {
            let stats = &self.shared.stats;
            stats.transactions.fetch_add(1, Ordering::Relaxed);
            stats.rows.fetch_add(batch.len() as u64, Ordering::Relaxed);
            let answer = self
                .shared
                .wait(self.shared.table.transact(batch.transaction()))
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
                // The try may be gone; its own clean-up gives the claim up.
                let _ = tx.try_send(result);
            }
            Tag::Job(mut job, tx) => match job.step(&result) {
                JobStep::Retry => self.push_job(job, tx),
                JobStep::Done => {
                    self.shared.stats.backlog.fetch_sub(1, Ordering::Relaxed);
                    // The caller may have stopped waiting.
                    let _ = tx.try_send(());
                }
            },
        }
    }

    fn now(&self) -> Monotonic {
        self.shared.clock.now()
    }
}

/// Probes the table service after a failure until it answers.
async fn probe_loop(shared: Arc<Shared>, trouble: Receiver<()>, stop: Receiver<()>) {
    loop {
        let failed = async { trouble.recv().await.is_ok() };
        if !or(failed, is_stopped(&stop)).await {
            return;
        }
        warn!(shared.log, "claims are refused until the table service answers"; events::LEDGER_CLOSED);
        probe_until_back(&shared, &stop).await;
        info!(shared.log, "claims are made again"; events::LEDGER_BACK,
            "backlog" => shared.stats.backlog.load(Ordering::Relaxed));
    }
}

async fn probe_until_back(shared: &Shared, stop: &Receiver<()>) {
    let mut breaker = Breaker::new(shared.settings.probe_interval);
    loop {
        if shared
            .wait(shared.table.read(vec![PROBE_ROW.to_owned()]))
            .await
            .is_ok()
        {
            shared.is_open.store(false, Ordering::Release);
            return;
        }
        let now = shared.clock.now();
        breaker.record_failure(now, rand::rng().random::<f64>());
        let left = breaker.probe_at().unwrap_or(now).saturating_sub(now);
        let slept = async {
            Timer::after(left).await;
            true
        };
        if !or(slept, is_stopped(stop)).await {
            return;
        }
    }
}

/// Waits for the writer's end; then false.
async fn is_stopped(stop: &Receiver<()>) -> bool {
    let _ = stop.recv().await;
    false
}
