//! Client of the entry hosts that retries requests and resumes streams when a connection breaks.

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

/// Entry host that callers send requests to.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Name of the host.
    pub id: HostId,
    /// Address of the listener for callers.
    pub address: SocketAddr,
    /// Whether the balancer sends new requests to the host.
    pub ready: Arc<AtomicBool>,
}

impl Entry {
    /// Creates an entry host that is marked as ready.
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
    /// Entry hosts, used in round-robin order.
    pub entries: Vec<Entry>,
    /// API keys by workspace.
    pub keys: HashMap<WorkspaceId, String>,
    /// Maximum number of exchanges for one request.
    pub max_exchanges: u32,
    /// Delay before a retry.
    pub retry_delay: Duration,
    /// Timeout for the head of an answer and for each further event of a stream.
    pub progress_timeout: Duration,
}

impl CallerConfig {
    /// Returns the default settings for callers of the given hosts.
    pub fn new(entries: Vec<Entry>, keys: HashMap<WorkspaceId, String>) -> Self {
        Self {
            entries,
            keys,
            max_exchanges: 8,
            retry_delay: Duration::from_millis(100),
            progress_timeout: Duration::from_secs(10),
        }
    }
}

/// Client that sends requests to entry hosts in round-robin order, and retries and resumes them.
#[derive(Clone)]
pub struct Caller {
    /// Settings.
    cfg: Arc<CallerConfig>,
    /// HTTP client with its connections.
    client: Client,
    /// Number of exchanges so far; selects the next entry host.
    next_index: Arc<AtomicUsize>,
}

/// Request that has ended.
#[derive(Debug, Clone)]
pub struct Finished {
    /// Request and answer as the caller saw them, for the checker.
    pub request: CallerRequest,
    /// Latencies of the request.
    pub timing: Timing,
}

/// Latencies of a request, measured from when it was due.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Timing {
    /// Time until the first token of a draft or the whole answer to a call.
    pub first: Option<Duration>,
    /// Times between successive tokens.
    pub between: Vec<Duration>,
    /// Time until the request ended, with all retries.
    pub whole: Duration,
}

impl Caller {
    /// Creates a caller whose connections run on `ex`.
    pub fn new(ex: &Executor, cfg: CallerConfig) -> Self {
        let client_cfg = ClientConfig {
            response_timeout: cfg.progress_timeout,
            idle_per_address: 4_096,
            ..ClientConfig::default()
        };
        Self {
            client: Client::new(ex.clone(), client_cfg),
            cfg: Arc::new(cfg),
            next_index: Arc::default(),
        }
    }

    /// Sends a request that was due at `due`, with retries, until it is answered or no retry is left.
    pub async fn run(&self, arrival: &Arrival, due: std::time::Instant) -> Finished {
        match &arrival.work {
            PlannedWork::Draft(planned) => self.draft(arrival, planned, due).await,
            PlannedWork::Call(planned) => self.call(arrival, planned, due).await,
        }
    }

    /// Returns the next entry host that is ready in round-robin order; if none is ready, the next one.
    fn next_entry(&self) -> &Entry {
        let entries = &self.cfg.entries;
        let start = self.next_index.fetch_add(1, Ordering::Relaxed);
        let entry_at = |i: usize| &entries[(start + i) % entries.len()];
        let ready = (0..entries.len())
            .map(entry_at)
            .find(|e| e.ready.load(Ordering::Relaxed));
        ready.unwrap_or_else(|| entry_at(0))
    }

    fn api_key(&self, workspace: &WorkspaceId) -> &str {
        self.cfg.keys.get(workspace).map_or("", String::as_str)
    }

    async fn wait_before_retry(&self) {
        smol::Timer::after(self.cfg.retry_delay).await;
    }
}
