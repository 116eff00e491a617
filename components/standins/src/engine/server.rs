use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use error_stack::Report;
use futures_lite::FutureExt;
use futures_lite::future::zip;
use http_io::{Body, Client, ClientConfig, Executor, HandlerFuture, HttpError};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use targets::{DraftRequest, LoadReport};
use utils::{Epoch, ModelId, Monotonic, RequestId, WeightVersion};

use super::batch::{Batch, DraftNotFound, Schedule};
use super::cache::Cache;
use super::config::{EngineConfig, EngineFaults};
use super::draft::{DraftEvents, DraftFaults};
use super::orders::LoadJob;
use super::record::EngineRecord;
use crate::reply::{body_json, handler_future, json, never, segments, status};
use crate::running::{FaultSender, ProcessFault, Running, StandIn, fault_channel, start, unix_micros};

/// Stand-in for a model engine.
pub struct Engine {
    /// Settings.
    cfg: EngineConfig,
    /// Mutable state.
    state: Mutex<State>,
    /// Origin of the monotonic clock.
    started: Instant,
    /// Wakes the loop of the batch after a change.
    wake_tx: async_channel::Sender<()>,
    /// Received by the loop of the batch.
    wake_rx: async_channel::Receiver<()>,
    /// Queue of weight loads.
    pub(super) load_tx: async_channel::Sender<LoadJob>,
    /// Received by the loop that loads weights.
    pub(super) load_rx: async_channel::Receiver<LoadJob>,
    /// Injects faults into the connections.
    fault_tx: FaultSender,
    /// HTTP client for stores and the platform.
    pub(super) client: Client,
}

/// Mutable state of an engine.
pub(super) struct State {
    /// Waiting, running and finished drafts.
    pub(super) batch: Batch,
    /// Cache pieces in memory.
    pub(super) cache: Cache,
    /// Record of what the engine did.
    pub(super) record: EngineRecord,
    /// Fault switches.
    pub(super) faults: EngineFaults,
    /// Decides which calls a fault affects.
    pub(super) rng: ChaCha8Rng,
    /// Loaded weight version of each model.
    pub(super) versions: BTreeMap<ModelId, WeightVersion>,
    /// Role set by the last accepted order that sets one; `both` at the start.
    pub(super) role: String,
    /// Highest fencing token seen.
    pub(super) epoch: Epoch,
    /// Cached load report and when it was made.
    cached_report: Option<(Monotonic, LoadReport)>,
}

impl Engine {
    /// Starts an engine that listens on `addr`; port 0 chooses a free port.
    ///
    /// # Errors
    /// [`HttpError::Listen`] if the address can not be bound.
    pub fn start(
        ex: &Executor,
        addr: SocketAddr,
        cfg: EngineConfig,
    ) -> Result<Running<Self>, Report<HttpError>> {
        let channel = fault_channel();
        let (wake_tx, wake_rx) = async_channel::bounded(1);
        let (load_tx, load_rx) = async_channel::unbounded();
        let engine = Arc::new(Self {
            state: Mutex::new(State::new(&cfg)),
            cfg,
            started: Instant::now(),
            wake_tx,
            wake_rx,
            load_tx,
            load_rx,
            fault_tx: channel.0.clone(),
            client: Client::new(ex.clone(), ClientConfig::default()),
        });
        start(ex, addr, engine, channel)
    }

    /// Returns the settings.
    pub fn config(&self) -> &EngineConfig {
        &self.cfg
    }

    /// Returns a copy of the record of what the engine did so far.
    pub fn record(&self) -> EngineRecord {
        self.lock().record.clone()
    }

    /// Sets the fault switches.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.lock().faults = faults;
    }

    pub(super) fn now(&self) -> Monotonic {
        self.started.elapsed()
    }

    pub(super) async fn sleep_until(&self, at: Monotonic) {
        let left = at.saturating_sub(self.now());
        if !left.is_zero() {
            smol::Timer::after(left).await;
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn route(self: Arc<Self>, req: Request<Incoming>) -> Result<Response<Body>, StatusCode> {
        let path = req.uri().path().to_owned();
        let parts = segments(&path);
        match (req.method().clone(), parts.as_slice()) {
            (Method::POST, ["v1", "drafts"]) => self.draft(body_json(req).await?).await,
            (Method::DELETE, ["v1", "drafts", id]) => self.cancel(id),
            (Method::GET, ["v1", "load"]) => Ok(json(&self.load_report())),
            (Method::GET, ["v1", "cache", "events", from]) => self.cache_events(from),
            (Method::GET, ["v1", "cache"]) => Ok(json(&self.lock().cache.snapshot())),
            (Method::POST, ["v1", "cache", "import"]) => self.import(body_json(req).await?).await,
            (Method::POST, ["v1", "cache", "export"]) => self.export(body_json(req).await?).await,
            (Method::POST, ["v1", "orders"]) => Ok(json(&self.handle_order(body_json(req).await?))),
            (Method::GET, ["v1", "record"]) => Ok(json(&self.lock().record)),
            (Method::GET, ["v1", "faults"]) => Ok(json(&self.lock().faults)),
            (Method::PUT, ["v1", "faults"]) => {
                let faults = body_json(req).await?;
                self.set_faults(faults);
                Ok(status(StatusCode::NO_CONTENT))
            }
            (Method::POST, ["v1", "crash"]) => Ok(self.inject(ProcessFault::Crash)),
            (Method::POST, ["v1", "silence"]) => Ok(self.inject(ProcessFault::Silence)),
            _ => Err(StatusCode::NOT_FOUND),
        }
    }

    fn inject(&self, fault: ProcessFault) -> Response<Body> {
        let _ = self.fault_tx.try_send(fault);
        status(StatusCode::NO_CONTENT)
    }

    async fn draft(self: Arc<Self>, req: DraftRequest) -> Result<Response<Body>, StatusCode> {
        if self.lock().faults.crashes_on(&req.prompt) {
            self.inject(ProcessFault::Crash);
            return never().await;
        }
        let (tx, rx) = async_channel::bounded(1);
        let faults = self.submit(&req, tx)?;
        let _ = self.wake_tx.try_send(());
        let events = DraftEvents::new(self, req, rx, faults);
        Response::builder()
            .header("content-type", "text/event-stream")
            .body(events.into_body())
            .map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
    }

    /// Adds a draft to the batch if its weight version is loaded or it resumes an existing draft. Returns the
    /// faults that are injected into its stream.
    fn submit(
        &self,
        req: &DraftRequest,
        schedule_tx: async_channel::Sender<Schedule>,
    ) -> Result<DraftFaults, StatusCode> {
        let now = self.now();
        let mut state = self.lock();
        let loaded = state.versions.get(&req.model) == Some(&req.weight_version);
        if !loaded && !state.batch.can_resume(req) {
            return Err(StatusCode::GONE);
        }
        let submitted = state.batch.submit(req.clone(), schedule_tx);
        submitted.map_err(|DraftNotFound| StatusCode::NOT_FOUND)?;
        state.advance(now, &self.cfg);
        Ok(state.draw_faults())
    }

    fn cancel(&self, id: &str) -> Result<Response<Body>, StatusCode> {
        let id = RequestId::from_str_radix(id, 16).map_err(|_| StatusCode::BAD_REQUEST)?;
        let mut state = self.lock();
        let State { batch, cache, .. } = &mut *state;
        batch.cancel(id, cache);
        drop(state);
        let _ = self.wake_tx.try_send(());
        Ok(json(&()))
    }

    fn load_report(&self) -> LoadReport {
        let now = self.now();
        let mut state = self.lock();
        state.advance(now, &self.cfg);
        let is_fresh = |(at, _): &(Monotonic, LoadReport)| now - *at < self.cfg.load_lag;
        let (at, mut report) = match state.cached_report.take_if(|report| is_fresh(report)) {
            Some(fresh) => fresh,
            None => (now, state.report(&self.cfg)),
        };
        state.cached_report = Some((at, report.clone()));
        report.age = now - at;
        report
    }

    fn cache_events(&self, from: &str) -> Result<Response<Body>, StatusCode> {
        let from = from.parse().map_err(|_| StatusCode::BAD_REQUEST)?;
        let now = self.now();
        let mut state = self.lock();
        state.advance(now, &self.cfg);
        let lag = self.cfg.event_lag + Duration::from_millis(state.faults.event_lag_ms);
        // Until the first lag has passed no event is visible.
        let Some(until) = now.checked_sub(lag) else {
            return Ok(json(&state.cache.events(from, Monotonic::ZERO)));
        };
        let mut events = state.cache.events(from, until);
        let State { faults, rng, .. } = &mut *state;
        if !events.events.is_empty() && faults.event_gaps.applies(rng) {
            let lost = events.events.len().div_ceil(2);
            events.events.drain(..lost);
            events.first += lost as u64;
        }
        Ok(json(&events))
    }

    /// Advances the batch at the time of its next change and after each wake-up.
    async fn run_batch(&self) {
        loop {
            let next = {
                let now = self.now();
                self.lock().advance(now, &self.cfg)
            };
            let woken = async {
                let _ = self.wake_rx.recv().await;
            };
            match next {
                Some(at) => woken.or(self.sleep_until(at)).await,
                None => woken.await,
            }
        }
    }
}

impl State {
    fn new(cfg: &EngineConfig) -> Self {
        Self {
            batch: Batch::new(),
            cache: Cache::new(cfg.cache_pieces, unix_micros()),
            record: EngineRecord::default(),
            faults: EngineFaults::default(),
            rng: ChaCha8Rng::seed_from_u64(cfg.seed),
            versions: cfg.models.iter().cloned().collect(),
            role: "both".to_owned(),
            epoch: 0,
            cached_report: None,
        }
    }

    pub(super) fn advance(&mut self, now: Monotonic, cfg: &EngineConfig) -> Option<Monotonic> {
        self.batch.advance(now, cfg, &mut self.cache, &mut self.record)
    }

    fn draw_faults(&mut self) -> DraftFaults {
        let Self { faults, rng, .. } = self;
        let delay = if faults.late.applies(rng) {
            Duration::from_millis(faults.late_ms)
        } else {
            Duration::ZERO
        };
        DraftFaults {
            delay,
            wrong_request_id: faults.cross_answers.applies(rng),
            cut_short: faults.cut_short.applies(rng),
            wrong_count: faults.wrong_count.applies(rng),
            duplicate: faults.duplicate_events.applies(rng),
        }
    }

    fn report(&self, cfg: &EngineConfig) -> LoadReport {
        let occupancy = self.batch.occupancy();
        let seconds = cfg.time_per_prompt_token.as_secs_f64();
        LoadReport {
            queued_prompt_tokens: occupancy.queued_prompt_tokens,
            running: occupancy.running,
            waiting: occupancy.waiting,
            prefill_tokens_per_second: if seconds > 0.0 { 1.0 / seconds } else { 1e9 },
            slots: cfg.slots,
            cache_capacity_pieces: cfg.cache_pieces,
            versions: self.versions.iter().map(|(m, v)| (m.clone(), *v)).collect(),
            age: Duration::ZERO,
            incarnation: self.cache.incarnation(),
            role: self.role.clone(),
        }
    }
}

impl EngineFaults {
    fn crashes_on(&self, prompt: &str) -> bool {
        let marker = self.crash_marker.as_deref();
        marker.is_some_and(|marker| prompt.contains(marker))
    }
}

impl StandIn for Engine {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> HandlerFuture {
        handler_future(self.route(req))
    }

    fn crash(&self) {
        let mut state = self.lock();
        state.batch = Batch::new();
        state.cache = Cache::new(self.cfg.cache_pieces, unix_micros());
        state.cached_report = None;
        state.record.crashes.push(unix_micros());
    }

    async fn background(self: Arc<Self>) {
        zip(self.run_batch(), self.load_weights()).await;
    }
}
