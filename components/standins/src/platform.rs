use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use error_stack::Report;
use http_io::{Body, Executor, HandlerFuture, HttpError};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use metadata::{Committed, ListedHost, MemoryTable, ReadRequest, ScanRequest, Transaction};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::odds::Odds;
use crate::reply::{body_bytes, body_json, bytes, handled, json, never, segments, status};
use crate::running::{Control, Running, StandIn, Strike, control_channel, start};

/// Seconds of counters that are kept.
const KEPT_SECONDS: usize = 600;

/// Settings of a [`Platform`].
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformConfig {
    /// Time until a change of the list shows.
    #[serde(with = "crate::time_text")]
    pub list_lag: Duration,
    /// Time that each call takes.
    #[serde(with = "crate::time_text")]
    pub latency: Duration,
    /// Writes a second before calls are refused; 0 for no limit.
    pub writes_per_second: u32,
    /// Reads a second before calls are refused; 0 for no limit.
    pub reads_per_second: u32,
    /// Time to hand out a model's weights.
    #[serde(with = "crate::time_text")]
    pub weights_time: Duration,
    /// Weights handed out at once before each takes longer.
    pub weights_at_once: u32,
    /// Seed of the faults.
    pub seed: u64,
}

impl Default for PlatformConfig {
    fn default() -> Self {
        Self {
            list_lag: Duration::ZERO,
            latency: Duration::ZERO,
            writes_per_second: 0,
            reads_per_second: 0,
            weights_time: Duration::ZERO,
            weights_at_once: 3,
            seed: 1,
        }
    }
}

/// Fault switches of a [`Platform`].
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformFaults {
    /// Calls are never answered and take no effect.
    pub down: bool,
    /// Added to each call, in milliseconds.
    pub slow_ms: u64,
    /// The transaction takes effect and its answer is lost.
    pub lose_answers: Odds,
    /// Added to the lag of the list, in milliseconds.
    pub list_lag_ms: u64,
    /// Calls are refused because of their rate.
    pub refuse: Odds,
}

/// Calls in one second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct PlatformCounters {
    /// Seconds since the start.
    pub second: u64,
    /// Transactions.
    pub transactions: u32,
    /// Rows written by them.
    pub writes: u32,
    /// Reads and scans.
    pub reads: u32,
    /// Calls refused because of their rate.
    pub refused: u32,
}

/// Stand-in for the platform: table service, object store, host list and weight store.
pub struct Platform {
    /// Settings.
    cfg: PlatformConfig,
    /// The table.
    table: MemoryTable,
    /// Everything else that changes.
    state: Mutex<State>,
    /// Weights that are handed out now.
    weights_active: AtomicU32,
    /// Start of the time.
    started: Instant,
    /// Reaches the connections.
    control: Control,
}

struct State {
    /// Objects by key.
    objects: HashMap<String, Bytes>,
    /// The list as it is.
    hosts: BTreeMap<Arc<str>, ListedHost>,
    /// Earlier lists with the time of their change, oldest first.
    history: VecDeque<(Instant, Vec<ListedHost>)>,
    /// Fault switches.
    faults: PlatformFaults,
    /// Decides about faults.
    rng: ChaCha8Rng,
    /// Calls a second, oldest first.
    counters: VecDeque<PlatformCounters>,
}

/// What a call counts as.
#[derive(Clone, Copy)]
enum Cost {
    Read,
    Write(u32),
    Free,
}

impl Platform {
    /// Starts a platform that listens on `addr`; port 0 takes a free one.
    ///
    /// # Errors
    /// [`HttpError::Listen`] if the address can not be had.
    pub fn start(
        ex: &Executor,
        addr: SocketAddr,
        cfg: PlatformConfig,
    ) -> Result<Running<Self>, Report<HttpError>> {
        let channel = control_channel();
        let state = State {
            objects: HashMap::new(),
            hosts: BTreeMap::new(),
            history: VecDeque::from([(Instant::now(), Vec::new())]),
            faults: PlatformFaults::default(),
            rng: ChaCha8Rng::seed_from_u64(cfg.seed),
            counters: VecDeque::new(),
        };
        let platform = Arc::new(Self {
            cfg,
            table: MemoryTable::default(),
            state: Mutex::new(state),
            weights_active: AtomicU32::new(0),
            started: Instant::now(),
            control: channel.0.clone(),
        });
        start(ex, addr, platform, channel)
    }

    /// The table itself, past all faults.
    pub fn table(&self) -> &MemoryTable {
        &self.table
    }

    /// Lists a host, or changes its entry.
    pub fn set_host(&self, host: ListedHost) {
        let mut state = self.lock();
        state.hosts.insert(host.id.clone(), host);
        state.remember();
    }

    /// Takes a host off the list.
    pub fn remove_host(&self, id: &str) {
        let mut state = self.lock();
        state.hosts.remove(id);
        state.remember();
    }

    /// Sets the fault switches.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.lock().faults = faults;
    }

    /// Calls in each second in which there were any, oldest first.
    pub fn counters(&self) -> Vec<PlatformCounters> {
        self.lock().counters.iter().copied().collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn route(self: Arc<Self>, req: Request<Incoming>) -> Result<Response<Body>, StatusCode> {
        let path = req.uri().path().to_owned();
        let parts = segments(&path);
        match (req.method().clone(), parts.as_slice()) {
            (Method::POST, ["v1", "table", "transact"]) => self.transact(body_json(req).await?).await,
            (Method::POST, ["v1", "table", "read"]) => {
                let read: ReadRequest = body_json(req).await?;
                self.pass(Cost::Read).await?;
                let rows: Vec<_> = read.keys.iter().map(|key| self.table.get(key)).collect();
                Ok(json(&rows))
            }
            (Method::POST, ["v1", "table", "scan"]) => {
                let scan: ScanRequest = body_json(req).await?;
                self.pass(Cost::Read).await?;
                Ok(json(&self.table.range(&scan)))
            }
            (Method::GET, ["v1", "list"]) => {
                self.pass(Cost::Free).await?;
                Ok(json(&self.list().await))
            }
            (Method::GET, ["v1", "weights", _, _]) => {
                self.pass(Cost::Free).await?;
                self.hand_out_weights().await;
                Ok(status(StatusCode::OK))
            }
            (_, ["v1", "objects", key @ ..]) => {
                let key = key.join("/");
                self.object(req, key).await
            }
            (_, rest) => {
                let rest: Vec<String> = rest.iter().map(|s| (*s).to_owned()).collect();
                self.operate(req, rest).await
            }
        }
    }

    async fn transact(&self, tx: Transaction) -> Result<Response<Body>, StatusCode> {
        self.pass(Cost::Write(tx.writes.len() as u32)).await?;
        let committed: Committed = self.table.apply(&tx);
        if self.lock().loses_answer() {
            return never().await;
        }
        Ok(json(&committed))
    }

    async fn object(&self, req: Request<Incoming>, key: String) -> Result<Response<Body>, StatusCode> {
        let method = req.method().clone();
        let content = body_bytes(req).await?;
        match method {
            Method::PUT => {
                self.pass(Cost::Write(1)).await?;
                self.lock().objects.insert(key, content);
                Ok(status(StatusCode::NO_CONTENT))
            }
            Method::GET => {
                self.pass(Cost::Read).await?;
                let found = self.lock().objects.get(&key).cloned();
                Ok(found.map_or_else(|| status(StatusCode::NOT_FOUND), bytes))
            }
            _ => Err(StatusCode::METHOD_NOT_ALLOWED),
        }
    }

    /// What operators and tests use; faults do not hit it.
    async fn operate(
        &self,
        req: Request<Incoming>,
        parts: Vec<String>,
    ) -> Result<Response<Body>, StatusCode> {
        let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
        match (req.method().clone(), parts.as_slice()) {
            (Method::PUT, ["v1", "list", _]) => {
                let host: ListedHost = body_json(req).await?;
                let mut state = self.lock();
                state.hosts.insert(host.id.clone(), host);
                state.remember();
                Ok(status(StatusCode::NO_CONTENT))
            }
            (Method::DELETE, ["v1", "list", id]) => {
                let mut state = self.lock();
                state.hosts.remove(*id);
                state.remember();
                Ok(status(StatusCode::NO_CONTENT))
            }
            (Method::GET, ["v1", "counters"]) => Ok(json(&self.lock().counters)),
            (Method::GET, ["v1", "faults"]) => Ok(json(&self.lock().faults)),
            (Method::PUT, ["v1", "faults"]) => {
                let faults = body_json(req).await?;
                self.lock().faults = faults;
                Ok(status(StatusCode::NO_CONTENT))
            }
            (Method::POST, ["v1", "silence"]) => {
                let _ = self.control.try_send(Strike::Silence);
                Ok(status(StatusCode::NO_CONTENT))
            }
            _ => Err(StatusCode::NOT_FOUND),
        }
    }

    /// Lets a call through, after its latency, unless a fault or the rate limit stops it.
    async fn pass(&self, cost: Cost) -> Result<(), StatusCode> {
        let (down, slow, refused) = {
            let second = self.started.elapsed().as_secs();
            let mut state = self.lock();
            let refused = state.count(&self.cfg, second, cost);
            let slow = Duration::from_millis(state.faults.slow_ms);
            (state.faults.down, slow, refused)
        };
        if down {
            return never().await;
        }
        let delay = self.cfg.latency + slow;
        if !delay.is_zero() {
            smol::Timer::after(delay).await;
        }
        if refused {
            return Err(StatusCode::TOO_MANY_REQUESTS);
        }
        Ok(())
    }

    async fn list(&self) -> Vec<ListedHost> {
        let state = self.lock();
        let lag = self.cfg.list_lag + Duration::from_millis(state.faults.list_lag_ms);
        state.list_as_of(lag)
    }

    async fn hand_out_weights(&self) {
        let active = self.weights_active.fetch_add(1, Ordering::SeqCst) + 1;
        let crowding = active.div_ceil(self.cfg.weights_at_once.max(1));
        smol::Timer::after(self.cfg.weights_time * crowding).await;
        self.weights_active.fetch_sub(1, Ordering::SeqCst);
    }
}

impl State {
    fn remember(&mut self) {
        let list = self.hosts.values().cloned().collect();
        self.history.push_back((Instant::now(), list));
        if self.history.len() > KEPT_SECONDS {
            self.history.pop_front();
        }
    }

    fn list_as_of(&self, lag: Duration) -> Vec<ListedHost> {
        let old_enough = |(at, _): &&(Instant, Vec<ListedHost>)| at.elapsed() >= lag;
        let found = self.history.iter().rev().find(old_enough);
        found.map(|(_, list)| list.clone()).unwrap_or_default()
    }

    fn loses_answer(&mut self) -> bool {
        let Self { faults, rng, .. } = self;
        faults.lose_answers.hits(rng)
    }

    /// Counts a call; true if it is refused.
    fn count(&mut self, cfg: &PlatformConfig, second: u64, cost: Cost) -> bool {
        if matches!(cost, Cost::Free) {
            return false;
        }
        if self.counters.back().is_none_or(|c| c.second != second) {
            let counters = PlatformCounters {
                second,
                ..PlatformCounters::default()
            };
            self.counters.push_back(counters);
        }
        if self.counters.len() > KEPT_SECONDS {
            self.counters.pop_front();
        }
        let refused = self.faults.refuse.hits(&mut self.rng);
        let Some(counters) = self.counters.back_mut() else {
            return refused;
        };
        let over = match cost {
            Cost::Write(_) => over(counters.transactions, cfg.writes_per_second),
            Cost::Read | Cost::Free => over(counters.reads, cfg.reads_per_second),
        };
        if refused || over {
            counters.refused += 1;
            return true;
        }
        match cost {
            Cost::Write(rows) => {
                counters.transactions += 1;
                counters.writes += rows;
            }
            Cost::Read | Cost::Free => counters.reads += 1,
        }
        false
    }
}

fn over(used: u32, limit: u32) -> bool {
    limit > 0 && used >= limit
}

impl StandIn for Platform {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> HandlerFuture {
        handled(self.route(req))
    }

    fn crash(&self) {}
}
