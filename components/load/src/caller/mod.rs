//! A caller as the system's users have them: it comes back when a connection breaks.

mod call;
mod direct;
mod draft;
mod exchange;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use checker::CallerRequest;
use http_io::{Client, ClientConfig, Executor};
use utils::{HostId, WorkspaceId};

pub(crate) use direct::DirectCaller;

use crate::{Arrival, PlannedWork};

/// An entry host that callers know.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Its name.
    pub id: HostId,
    /// Where it takes callers' requests.
    pub address: SocketAddr,
    /// Whether the balancer sends new requests to it.
    pub ready: Arc<AtomicBool>,
}

impl Entry {
    /// A host that is ready.
    pub fn new(id: impl Into<HostId>, address: SocketAddr) -> Self {
        Self {
            id: id.into(),
            address,
            ready: Arc::new(AtomicBool::new(true)),
        }
    }
}

/// Settings of a [`Caller`].
#[derive(Debug, Clone)]
pub struct CallerConfig {
    /// Entry hosts; requests go round.
    pub entries: Vec<Entry>,
    /// API keys by workspace.
    pub keys: HashMap<WorkspaceId, String>,
    /// Exchanges that a caller tries for one request.
    pub max_exchanges: u32,
    /// Wait before a caller comes back.
    pub pause: Duration,
    /// Longest wait for the head of an answer, and between two events.
    pub patience: Duration,
}

impl CallerConfig {
    /// Settings for callers of these hosts.
    pub fn new(entries: Vec<Entry>, keys: HashMap<WorkspaceId, String>) -> Self {
        Self {
            entries,
            keys,
            max_exchanges: 8,
            pause: Duration::from_millis(100),
            patience: Duration::from_secs(10),
        }
    }
}

/// Sends requests to entry hosts, in turn.
#[derive(Clone)]
pub struct Caller {
    /// Settings.
    cfg: Arc<CallerConfig>,
    /// Sends the requests.
    client: Client,
    /// Counts requests, for the turn of the hosts.
    turn: Arc<AtomicUsize>,
}

/// A request that ended.
#[derive(Debug, Clone)]
pub struct Finished {
    /// What the caller asked for and saw.
    pub request: CallerRequest,
    /// How long it took.
    pub timing: Timing,
}

/// How long a request took, counted from when it was due.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Timing {
    /// Until the first token, or the head of a call's answer.
    pub first: Option<Duration>,
    /// Between tokens.
    pub between: Vec<Duration>,
    /// Until the end.
    pub whole: Duration,
}

impl Caller {
    /// A caller whose connections run on `ex`.
    pub fn new(ex: &Executor, cfg: CallerConfig) -> Self {
        let client = ClientConfig {
            response_timeout: cfg.patience,
            idle_per_address: 4_096,
            ..ClientConfig::default()
        };
        Self {
            client: Client::new(ex.clone(), client),
            cfg: Arc::new(cfg),
            turn: Arc::default(),
        }
    }

    /// Makes a request that was due at `due` and follows it to its end.
    pub async fn run(&self, arrival: &Arrival, due: std::time::Instant) -> Finished {
        match &arrival.work {
            PlannedWork::Draft(planned) => self.draft(arrival, planned, due).await,
            PlannedWork::Call(planned) => self.call(arrival, planned, due).await,
        }
    }

    /// The next host in turn that is ready, or any if none is.
    fn next_entry(&self) -> &Entry {
        let entries = &self.cfg.entries;
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        let in_turn = |i: usize| &entries[(turn + i) % entries.len()];
        let ready = (0..entries.len())
            .map(in_turn)
            .find(|e| e.ready.load(Ordering::Relaxed));
        ready.unwrap_or_else(|| in_turn(0))
    }

    fn key(&self, workspace: &WorkspaceId) -> &str {
        self.cfg.keys.get(workspace).map_or("", String::as_str)
    }

    async fn pause(&self) {
        smol::Timer::after(self.cfg.pause).await;
    }
}
