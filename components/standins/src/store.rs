use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use error_stack::Report;
use http_io::{Body, Executor, HandlerFuture, HttpError};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use targets::{Catalogue, Manifest, PieceId};

use crate::odds::Odds;
use crate::reply::{body_bytes, body_json, bytes, handler_future, json, never, segments, status};
use crate::running::{FaultSender, ProcessFault, Running, StandIn, fault_channel, start};

/// Settings of a [`Store`].
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StoreConfig {
    /// Identifier in the host list.
    pub id: Arc<str>,
    /// Maximum size of all content, in bytes.
    pub capacity_bytes: u64,
    /// Speed of each read or write of content, in bytes per second; 0 for no limit.
    pub bytes_per_second: u64,
    /// Seed of the random generator that decides about faults.
    pub seed: u64,
}

impl Default for StoreConfig {
    fn default() -> Self {
        Self {
            id: "store".into(),
            capacity_bytes: 1 << 30,
            bytes_per_second: 0,
            seed: 1,
        }
    }
}

/// Fault switches of a [`Store`].
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StoreFaults {
    /// Every write of content is refused with status 507.
    pub full: bool,
    /// Calls for pieces, manifests and the catalogue are never answered and have no effect.
    pub dead: bool,
    /// Additional duration of each call, in milliseconds.
    pub slow_ms: u64,
    /// Only the first half of the content is stored, and its manifest is accepted nevertheless.
    pub halve_writes: Odds,
    /// The last byte of the content that is read is changed.
    pub corrupt_reads: Odds,
}

/// Record of what a [`Store`] did.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct StoreRecord {
    /// Number of bytes of content received in writes that were stored.
    pub bytes_in: u64,
    /// Number of bytes of content read.
    pub bytes_out: u64,
    /// Number of writes refused because the store was full.
    pub refused: u64,
    /// Number of pieces that became readable.
    pub stored: u64,
}

/// Stand-in for a store host that keeps cache pieces.
pub struct Store {
    /// Settings.
    cfg: StoreConfig,
    /// Mutable state.
    state: Mutex<State>,
    /// Injects faults into the connections.
    fault_tx: FaultSender,
}

struct State {
    /// Content by piece, including pieces without a manifest.
    contents: HashMap<PieceId, Bytes>,
    /// Pieces whose content a fault truncated; their manifests are not verified.
    halved: HashSet<PieceId>,
    /// Manifests by piece.
    manifests: HashMap<PieceId, Manifest>,
    /// Changes by number; true for a stored piece, false for a dropped one.
    changes: BTreeMap<u64, (PieceId, bool)>,
    /// Number of the next change.
    next_change: u64,
    /// Size of all content, in bytes.
    used_bytes: u64,
    /// Incarnation of the process.
    incarnation: u64,
    /// Record of what the store did.
    record: StoreRecord,
    /// Fault switches.
    faults: StoreFaults,
    /// Decides which calls a fault affects.
    rng: ChaCha8Rng,
}

impl Store {
    /// Starts a store host that listens on `addr`; port 0 chooses a free port.
    ///
    /// # Errors
    /// [`HttpError::Listen`] if the address can not be bound.
    pub fn start(
        ex: &Executor,
        addr: SocketAddr,
        cfg: StoreConfig,
    ) -> Result<Running<Self>, Report<HttpError>> {
        let channel = fault_channel();
        let store = Arc::new(Self {
            state: Mutex::new(State::new(cfg.seed)),
            cfg,
            fault_tx: channel.0.clone(),
        });
        start(ex, addr, store, channel)
    }

    /// Returns a copy of the record of what the store did so far.
    pub fn record(&self) -> StoreRecord {
        self.lock().record.clone()
    }

    /// Sets the fault switches.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.lock().faults = faults;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn route(self: Arc<Self>, req: Request<Incoming>) -> Result<Response<Body>, StatusCode> {
        let path = req.uri().path().to_owned();
        let parts = segments(&path);
        match (req.method().clone(), parts.as_slice()) {
            (method, ["v1", "pieces", id]) => {
                let piece = parse_piece(id)?;
                self.admit().await?;
                self.handle_piece(method, piece, req).await
            }
            (Method::PUT, ["v1", "manifests", id]) => {
                let piece = parse_piece(id)?;
                let manifest: Manifest = body_json(req).await?;
                self.admit().await?;
                self.lock().put_manifest(piece, manifest).map(status)
            }
            (Method::GET, ["v1", "manifests", id]) => {
                let piece: PieceId = parse_piece(id)?;
                self.admit().await?;
                let state = self.lock();
                let manifest = state.manifests.get(&piece);
                manifest.map(json).ok_or(StatusCode::NOT_FOUND)
            }
            (Method::GET, ["v1", "catalogue", from]) => {
                let from = from.parse().map_err(|_| StatusCode::BAD_REQUEST)?;
                self.admit().await?;
                Ok(json(&self.lock().catalogue(from, self.cfg.capacity_bytes)))
            }
            (Method::GET, ["v1", "record"]) => Ok(json(&self.lock().record)),
            (Method::GET, ["v1", "faults"]) => Ok(json(&self.lock().faults)),
            (Method::PUT, ["v1", "faults"]) => {
                let faults = body_json(req).await?;
                self.lock().faults = faults;
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

    /// Delays a call by the injected delay. Never completes while the store is dead.
    async fn admit(&self) -> Result<(), StatusCode> {
        let faults = self.lock().faults.clone();
        if faults.dead {
            return never().await;
        }
        if faults.slow_ms > 0 {
            smol::Timer::after(Duration::from_millis(faults.slow_ms)).await;
        }
        Ok(())
    }

    async fn handle_piece(
        &self,
        method: Method,
        piece: PieceId,
        req: Request<Incoming>,
    ) -> Result<Response<Body>, StatusCode> {
        match method {
            Method::PUT => {
                let content = body_bytes(req).await?;
                self.wait_for_transfer(content.len()).await;
                let mut state = self.lock();
                state
                    .put_content(piece, content, self.cfg.capacity_bytes)
                    .map(status)
            }
            Method::GET => {
                let content = self.lock().read_content(piece);
                let content = content.ok_or(StatusCode::NOT_FOUND)?;
                self.wait_for_transfer(content.len()).await;
                Ok(bytes(content))
            }
            Method::DELETE => {
                self.lock().drop_piece(piece);
                Ok(status(StatusCode::NO_CONTENT))
            }
            _ => Err(StatusCode::METHOD_NOT_ALLOWED),
        }
    }

    /// Waits for as long as the transfer of `bytes` takes at the configured speed.
    async fn wait_for_transfer(&self, bytes: usize) {
        if self.cfg.bytes_per_second > 0 {
            let seconds = bytes as f64 / self.cfg.bytes_per_second as f64;
            smol::Timer::after(Duration::from_secs_f64(seconds)).await;
        }
    }
}

impl State {
    fn new(seed: u64) -> Self {
        Self {
            contents: HashMap::new(),
            halved: HashSet::new(),
            manifests: HashMap::new(),
            changes: BTreeMap::new(),
            next_change: 0,
            used_bytes: 0,
            incarnation: crate::unix_micros(),
            record: StoreRecord::default(),
            faults: StoreFaults::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn put_content(
        &mut self,
        piece: PieceId,
        mut content: Bytes,
        capacity: u64,
    ) -> Result<StatusCode, StatusCode> {
        if self.manifests.contains_key(&piece) {
            return Ok(StatusCode::NO_CONTENT);
        }
        let replaced = self.contents.get(&piece).map_or(0, |old| old.len() as u64);
        let used_bytes = self.used_bytes - replaced + content.len() as u64;
        if self.faults.full || used_bytes > capacity {
            self.record.refused += 1;
            return Err(StatusCode::INSUFFICIENT_STORAGE);
        }
        self.record.bytes_in += content.len() as u64;
        if self.faults.halve_writes.applies(&mut self.rng) {
            content.truncate(content.len() / 2);
            self.halved.insert(piece);
        }
        self.used_bytes = self.used_bytes - replaced + content.len() as u64;
        self.contents.insert(piece, content);
        Ok(StatusCode::NO_CONTENT)
    }

    fn put_manifest(&mut self, piece: PieceId, manifest: Manifest) -> Result<StatusCode, StatusCode> {
        if manifest.piece != piece {
            return Err(StatusCode::BAD_REQUEST);
        }
        let Some(content) = self.contents.get(&piece) else {
            return Err(StatusCode::NOT_FOUND);
        };
        let valid = content.len() as u64 == manifest.bytes && utils::digest(content) == manifest.content;
        if !valid && !self.halved.contains(&piece) {
            return Err(StatusCode::CONFLICT);
        }
        if self.manifests.insert(piece, manifest).is_none() {
            self.record.stored += 1;
            self.record_change(piece, true);
        }
        Ok(StatusCode::NO_CONTENT)
    }

    /// Returns the content of a piece that has a manifest.
    fn read_content(&mut self, piece: PieceId) -> Option<Bytes> {
        self.manifests.get(&piece)?;
        let content = self.contents.get(&piece)?.clone();
        self.record.bytes_out += content.len() as u64;
        if !self.faults.corrupt_reads.applies(&mut self.rng) {
            return Some(content);
        }
        let mut changed = content.to_vec();
        if let Some(last) = changed.last_mut() {
            *last ^= 1;
        }
        Some(changed.into())
    }

    fn drop_piece(&mut self, piece: PieceId) {
        if self.manifests.remove(&piece).is_some() {
            self.record_change(piece, false);
        }
        if let Some(content) = self.contents.remove(&piece) {
            self.used_bytes -= content.len() as u64;
        }
    }

    fn record_change(&mut self, piece: PieceId, stored: bool) {
        self.changes.insert(self.next_change, (piece, stored));
        self.next_change += 1;
    }

    fn catalogue(&self, from: u64, capacity: u64) -> Catalogue {
        let mut latest: HashMap<PieceId, bool> = HashMap::new();
        let mut order = Vec::new();
        for (piece, stored) in self.changes.range(from..).map(|(_, change)| change) {
            if latest.insert(*piece, *stored).is_none() {
                order.push(*piece);
            }
        }
        let (stored, dropped) = order.into_iter().partition(|piece| latest[piece]);
        Catalogue {
            incarnation: self.incarnation,
            next: self.next_change,
            stored,
            dropped,
            free_bytes: if self.faults.full {
                0
            } else {
                capacity.saturating_sub(self.used_bytes)
            },
        }
    }
}

fn parse_piece(id: &str) -> Result<PieceId, StatusCode> {
    id.parse().map_err(|_| StatusCode::BAD_REQUEST)
}

impl StandIn for Store {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> HandlerFuture {
        handler_future(self.route(req))
    }

    fn crash(&self) {
        let mut state = self.lock();
        let (faults, record, rng) = (state.faults.clone(), state.record.clone(), state.rng.clone());
        *state = State::new(0);
        (state.faults, state.record, state.rng) = (faults, record, rng);
    }
}
