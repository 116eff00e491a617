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
use crate::reply::{body_bytes, body_json, bytes, handler_future, json, never, segments, status};
use crate::running::{FaultSender, ProcessFault, Running, StandIn, fault_channel, start};

/// Maximum number of entries in the history of per-second counters and in the history of host lists.
const MAX_HISTORY_ENTRIES: usize = 600;

/// Settings of a [`Platform`].
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformConfig {
    /// Delay until a change of the host list is visible.
    #[serde(with = "crate::time_text")]
    pub list_lag: Duration,
    /// Delay of each call.
    #[serde(with = "crate::time_text")]
    pub latency: Duration,
    /// Maximum number of transactions and object writes per second; more are refused. 0 for no limit.
    pub writes_per_second: u32,
    /// Maximum number of reads and scans per second; more are refused. 0 for no limit.
    pub reads_per_second: u32,
    /// Time to serve the weights of a model.
    #[serde(with = "crate::time_text")]
    pub weights_time: Duration,
    /// Number of concurrent transfers of weights at full speed; more of them slow each other down.
    pub weights_at_once: u32,
    /// Seed of the random generator that decides about faults.
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
    /// Calls are never answered and have no effect.
    pub down: bool,
    /// Additional delay of each call, in milliseconds.
    pub slow_ms: u64,
    /// The transaction takes effect but is never answered.
    pub lose_answers: Odds,
    /// Additional delay of the host list, in milliseconds.
    pub list_lag_ms: u64,
    /// Reads and writes are refused as if they exceeded the rate limit.
    pub refuse: Odds,
}

/// Number of calls in one second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct PlatformCounters {
    /// The second, counted from the start of the platform.
    pub second: u64,
    /// Number of transactions, including writes of objects.
    pub transactions: u32,
    /// Number of rows and objects that they wrote.
    pub writes: u32,
    /// Number of reads and scans, including reads of objects.
    pub reads: u32,
    /// Number of calls refused because of a fault or the rate limit.
    pub refused: u32,
}

/// Stand-in for the platform: table service, object store, host list and weight store.
pub struct Platform {
    /// Settings.
    cfg: PlatformConfig,
    /// The table.
    table: MemoryTable,
    /// All other mutable state.
    state: Mutex<State>,
    /// Number of transfers of weights in flight.
    weights_in_flight: AtomicU32,
    /// Origin of the seconds in the counters.
    started: Instant,
    /// Injects faults into the connections.
    fault_tx: FaultSender,
}

struct State {
    /// Objects by key.
    objects: HashMap<String, Bytes>,
    /// The current host list, by identifier.
    hosts: BTreeMap<Arc<str>, ListedHost>,
    /// Versions of the host list with the time of their change, oldest first; the last is the current one.
    history: VecDeque<(Instant, Vec<ListedHost>)>,
    /// Fault switches.
    faults: PlatformFaults,
    /// Decides which calls a fault affects.
    rng: ChaCha8Rng,
    /// Counters per second, oldest first.
    counters: VecDeque<PlatformCounters>,
}

/// How a call counts towards the rate limits.
#[derive(Clone, Copy)]
enum Cost {
    Read,
    Write(u32),
    Unlimited,
}

impl Platform {
    /// Starts a platform that listens on `addr`; port 0 chooses a free port.
    ///
    /// # Errors
    /// [`HttpError::Listen`] if the address can not be bound.
    pub fn start(
        ex: &Executor,
        addr: SocketAddr,
        cfg: PlatformConfig,
    ) -> Result<Running<Self>, Report<HttpError>> {
        let channel = fault_channel();
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
            weights_in_flight: AtomicU32::new(0),
            started: Instant::now(),
            fault_tx: channel.0.clone(),
        });
        start(ex, addr, platform, channel)
    }

    /// Returns the table for direct access, which bypasses faults and rate limits.
    pub fn table(&self) -> &MemoryTable {
        &self.table
    }

    /// Adds a host to the list or replaces its entry.
    pub fn set_host(&self, host: ListedHost) {
        let mut state = self.lock();
        state.hosts.insert(host.id.clone(), host);
        state.record_list();
    }

    /// Removes a host from the list.
    pub fn remove_host(&self, id: &str) {
        let mut state = self.lock();
        state.hosts.remove(id);
        state.record_list();
    }

    /// Sets the fault switches.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.lock().faults = faults;
    }

    /// Returns the counters of each second that had calls, oldest first.
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
                self.admit(Cost::Read).await?;
                let rows: Vec<_> = read.keys.iter().map(|key| self.table.get(key)).collect();
                Ok(json(&rows))
            }
            (Method::POST, ["v1", "table", "scan"]) => {
                let scan: ScanRequest = body_json(req).await?;
                self.admit(Cost::Read).await?;
                Ok(json(&self.table.range(&scan)))
            }
            (Method::GET, ["v1", "list"]) => {
                self.admit(Cost::Unlimited).await?;
                Ok(json(&self.list().await))
            }
            (Method::GET, ["v1", "weights", _, _]) => {
                self.admit(Cost::Unlimited).await?;
                self.serve_weights().await;
                Ok(status(StatusCode::OK))
            }
            (_, ["v1", "objects", key @ ..]) => {
                let key = key.join("/");
                self.object(req, key).await
            }
            (_, rest) => {
                let rest: Vec<String> = rest.iter().map(|s| (*s).to_owned()).collect();
                self.handle_admin(req, rest).await
            }
        }
    }

    async fn transact(&self, tx: Transaction) -> Result<Response<Body>, StatusCode> {
        self.admit(Cost::Write(tx.writes.len() as u32)).await?;
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
                self.admit(Cost::Write(1)).await?;
                self.lock().objects.insert(key, content);
                Ok(status(StatusCode::NO_CONTENT))
            }
            Method::GET => {
                self.admit(Cost::Read).await?;
                let found = self.lock().objects.get(&key).cloned();
                Ok(found.map_or_else(|| status(StatusCode::NOT_FOUND), bytes))
            }
            _ => Err(StatusCode::METHOD_NOT_ALLOWED),
        }
    }

    /// Handles the calls of operators and tests, which faults and rate limits do not affect.
    async fn handle_admin(
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
                state.record_list();
                Ok(status(StatusCode::NO_CONTENT))
            }
            (Method::DELETE, ["v1", "list", id]) => {
                let mut state = self.lock();
                state.hosts.remove(*id);
                state.record_list();
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
                let _ = self.fault_tx.try_send(ProcessFault::Silence);
                Ok(status(StatusCode::NO_CONTENT))
            }
            _ => Err(StatusCode::NOT_FOUND),
        }
    }

    /// Delays a call by its latency and refuses it if a fault or the rate limit requires that. Never
    /// completes while the platform is down.
    async fn admit(&self, cost: Cost) -> Result<(), StatusCode> {
        let (down, slow, refused) = {
            let second = self.started.elapsed().as_secs();
            let mut state = self.lock();
            let refused = state.count_call(&self.cfg, second, cost);
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

    async fn serve_weights(&self) {
        let active = self.weights_in_flight.fetch_add(1, Ordering::SeqCst) + 1;
        let slowdown = active.div_ceil(self.cfg.weights_at_once.max(1));
        smol::Timer::after(self.cfg.weights_time * slowdown).await;
        self.weights_in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

impl State {
    fn record_list(&mut self) {
        let list = self.hosts.values().cloned().collect();
        self.history.push_back((Instant::now(), list));
        if self.history.len() > MAX_HISTORY_ENTRIES {
            self.history.pop_front();
        }
    }

    fn list_as_of(&self, lag: Duration) -> Vec<ListedHost> {
        let is_visible = |(at, _): &&(Instant, Vec<ListedHost>)| at.elapsed() >= lag;
        let found = self.history.iter().rev().find(is_visible);
        found.map(|(_, list)| list.clone()).unwrap_or_default()
    }

    fn loses_answer(&mut self) -> bool {
        let Self { faults, rng, .. } = self;
        faults.lose_answers.applies(rng)
    }

    /// Counts a call; returns whether it is refused.
    fn count_call(&mut self, cfg: &PlatformConfig, second: u64, cost: Cost) -> bool {
        if matches!(cost, Cost::Unlimited) {
            return false;
        }
        if self.counters.back().is_none_or(|c| c.second != second) {
            let counters = PlatformCounters {
                second,
                ..PlatformCounters::default()
            };
            self.counters.push_back(counters);
        }
        if self.counters.len() > MAX_HISTORY_ENTRIES {
            self.counters.pop_front();
        }
        let refused = self.faults.refuse.applies(&mut self.rng);
        let Some(counters) = self.counters.back_mut() else {
            return refused;
        };
        let at_limit = match cost {
            Cost::Write(_) => is_at_limit(counters.transactions, cfg.writes_per_second),
            Cost::Read | Cost::Unlimited => is_at_limit(counters.reads, cfg.reads_per_second),
        };
        if refused || at_limit {
            counters.refused += 1;
            return true;
        }
        match cost {
            Cost::Write(rows) => {
                counters.transactions += 1;
                counters.writes += rows;
            }
            Cost::Read | Cost::Unlimited => counters.reads += 1,
        }
        false
    }
}

fn is_at_limit(used: u32, limit: u32) -> bool {
    limit > 0 && used >= limit
}

impl StandIn for Platform {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> HandlerFuture {
        handler_future(self.route(req))
    }

    fn crash(&self) {}
}
