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
use crate::reply::{body_bytes, body_json, bytes, handled, json, never, segments, status};
use crate::running::{Control, Running, StandIn, Strike, control_channel, start};

/// Settings of a [`Store`].
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StoreConfig {
    /// Name in the host list.
    pub id: Arc<str>,
    /// Bytes of content that fit.
    pub capacity_bytes: u64,
    /// Bytes a second that it reads or writes; 0 for no limit.
    pub bytes_per_second: u64,
    /// Seed of the faults.
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
    /// Refuses every write with status 507.
    pub full: bool,
    /// Answers nothing.
    pub dead: bool,
    /// Added to each call, in milliseconds.
    pub slow_ms: u64,
    /// Stores half of the content and accepts the manifest nevertheless.
    pub halve_writes: Odds,
    /// Changes a byte of the content that is read.
    pub corrupt_reads: Odds,
}

/// What a [`Store`] did.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct StoreRecord {
    /// Bytes of content written.
    pub bytes_in: u64,
    /// Bytes of content read.
    pub bytes_out: u64,
    /// Writes refused because the store was full.
    pub refused: u64,
    /// Pieces that became whole.
    pub stored: u64,
}

/// Stand-in for a store host that keeps cache pieces.
pub struct Store {
    /// Settings.
    cfg: StoreConfig,
    /// What changes.
    state: Mutex<State>,
    /// Reaches the connections.
    control: Control,
}

struct State {
    /// Content by piece, also of pieces without a manifest.
    contents: HashMap<PieceId, Bytes>,
    /// Pieces that a fault cut short; their manifests are not checked.
    halved: HashSet<PieceId>,
    /// Manifests by piece.
    manifests: HashMap<PieceId, Manifest>,
    /// Changes by number; true for stored, false for dropped.
    changes: BTreeMap<u64, (PieceId, bool)>,
    /// Number of the next change.
    next: u64,
    /// Bytes in use.
    used: u64,
    /// Run of the process.
    incarnation: u64,
    /// What it did.
    record: StoreRecord,
    /// Fault switches.
    faults: StoreFaults,
    /// Decides about faults.
    rng: ChaCha8Rng,
}

impl Store {
    /// Starts a store host that listens on `addr`; port 0 takes a free one.
    ///
    /// # Errors
    /// [`HttpError::Listen`] if the address can not be had.
    pub fn start(
        ex: &Executor,
        addr: SocketAddr,
        cfg: StoreConfig,
    ) -> Result<Running<Self>, Report<HttpError>> {
        let channel = control_channel();
        let store = Arc::new(Self {
            state: Mutex::new(State::new(cfg.seed)),
            cfg,
            control: channel.0.clone(),
        });
        start(ex, addr, store, channel)
    }

    /// What the store did so far.
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
                let piece = parse(id)?;
                self.pass().await?;
                self.piece(method, piece, req).await
            }
            (Method::PUT, ["v1", "manifests", id]) => {
                let piece = parse(id)?;
                let manifest: Manifest = body_json(req).await?;
                self.pass().await?;
                self.lock().put_manifest(piece, manifest).map(status)
            }
            (Method::GET, ["v1", "manifests", id]) => {
                let piece: PieceId = parse(id)?;
                self.pass().await?;
                let state = self.lock();
                let manifest = state.manifests.get(&piece);
                manifest.map(json).ok_or(StatusCode::NOT_FOUND)
            }
            (Method::GET, ["v1", "catalogue", from]) => {
                let from = from.parse().map_err(|_| StatusCode::BAD_REQUEST)?;
                self.pass().await?;
                Ok(json(&self.lock().catalogue(from, self.cfg.capacity_bytes)))
            }
            (Method::GET, ["v1", "record"]) => Ok(json(&self.lock().record)),
            (Method::GET, ["v1", "faults"]) => Ok(json(&self.lock().faults)),
            (Method::PUT, ["v1", "faults"]) => {
                let faults = body_json(req).await?;
                self.lock().faults = faults;
                Ok(status(StatusCode::NO_CONTENT))
            }
            (Method::POST, ["v1", "crash"]) => Ok(self.strike(Strike::Crash)),
            (Method::POST, ["v1", "silence"]) => Ok(self.strike(Strike::Silence)),
            _ => Err(StatusCode::NOT_FOUND),
        }
    }

    fn strike(&self, strike: Strike) -> Response<Body> {
        let _ = self.control.try_send(strike);
        status(StatusCode::NO_CONTENT)
    }

    async fn pass(&self) -> Result<(), StatusCode> {
        let faults = self.lock().faults.clone();
        if faults.dead {
            return never().await;
        }
        if faults.slow_ms > 0 {
            smol::Timer::after(Duration::from_millis(faults.slow_ms)).await;
        }
        Ok(())
    }

    async fn piece(
        &self,
        method: Method,
        piece: PieceId,
        req: Request<Incoming>,
    ) -> Result<Response<Body>, StatusCode> {
        match method {
            Method::PUT => {
                let content = body_bytes(req).await?;
                self.transfer(content.len()).await;
                let mut state = self.lock();
                state
                    .put_content(piece, content, self.cfg.capacity_bytes)
                    .map(status)
            }
            Method::GET => {
                let content = self.lock().read(piece);
                let content = content.ok_or(StatusCode::NOT_FOUND)?;
                self.transfer(content.len()).await;
                Ok(bytes(content))
            }
            Method::DELETE => {
                self.lock().drop_piece(piece);
                Ok(status(StatusCode::NO_CONTENT))
            }
            _ => Err(StatusCode::METHOD_NOT_ALLOWED),
        }
    }

    /// Takes as long as so many bytes need.
    async fn transfer(&self, bytes: usize) {
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
            next: 0,
            used: 0,
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
        let used = self.used - replaced + content.len() as u64;
        if self.faults.full || used > capacity {
            self.record.refused += 1;
            return Err(StatusCode::INSUFFICIENT_STORAGE);
        }
        self.record.bytes_in += content.len() as u64;
        if self.faults.halve_writes.hits(&mut self.rng) {
            content.truncate(content.len() / 2);
            self.halved.insert(piece);
        }
        self.used = self.used - replaced + content.len() as u64;
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
        let whole = content.len() as u64 == manifest.bytes && utils::digest(content) == manifest.content;
        if !whole && !self.halved.contains(&piece) {
            return Err(StatusCode::CONFLICT);
        }
        if self.manifests.insert(piece, manifest).is_none() {
            self.record.stored += 1;
            self.change(piece, true);
        }
        Ok(StatusCode::NO_CONTENT)
    }

    /// Content of a piece with a manifest.
    fn read(&mut self, piece: PieceId) -> Option<Bytes> {
        self.manifests.get(&piece)?;
        let content = self.contents.get(&piece)?.clone();
        self.record.bytes_out += content.len() as u64;
        if !self.faults.corrupt_reads.hits(&mut self.rng) {
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
            self.change(piece, false);
        }
        if let Some(content) = self.contents.remove(&piece) {
            self.used -= content.len() as u64;
        }
    }

    fn change(&mut self, piece: PieceId, stored: bool) {
        self.changes.insert(self.next, (piece, stored));
        self.next += 1;
    }

    fn catalogue(&self, from: u64, capacity: u64) -> Catalogue {
        let mut last: HashMap<PieceId, bool> = HashMap::new();
        let mut order = Vec::new();
        for (piece, stored) in self.changes.range(from..).map(|(_, change)| change) {
            if last.insert(*piece, *stored).is_none() {
                order.push(*piece);
            }
        }
        let (stored, dropped) = order.into_iter().partition(|piece| last[piece]);
        Catalogue {
            incarnation: self.incarnation,
            next: self.next,
            stored,
            dropped,
            free_bytes: if self.faults.full {
                0
            } else {
                capacity.saturating_sub(self.used)
            },
        }
    }
}

fn parse(id: &str) -> Result<PieceId, StatusCode> {
    id.parse().map_err(|_| StatusCode::BAD_REQUEST)
}

impl StandIn for Store {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> HandlerFuture {
        handled(self.route(req))
    }

    fn crash(&self) {
        let mut state = self.lock();
        let (faults, record, rng) = (state.faults.clone(), state.record.clone(), state.rng.clone());
        *state = State::new(0);
        (state.faults, state.record, state.rng) = (faults, record, rng);
    }
}
