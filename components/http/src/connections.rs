use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_lite::future::yield_now;
use policy::choose_to_close;

use crate::ServerConfig;
use crate::account::{MemoryAccount, MemoryHolder, Shortage, WeakHolder};
use crate::connection_limits::ConnectionLimits;

/// Part of the connections that is closed in one go when no more may be open.
const CLOSED_SHARE: usize = 64;
/// Part of the shortest limit on a connection's times after which late connections are looked for.
const SWEEP_SHARE: u32 = 8;
/// Bounds of the time between two sweeps.
const SWEEP_INTERVAL: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));

/// An open connection with its task.
struct Connection {
    task: smol::Task<()>,
    holder: WeakHolder,
}

/// The open connections of a server, within their limits.
pub(crate) struct Connections {
    open: Vec<Connection>,
    memory: Arc<MemoryAccount>,
    limits: Option<Arc<ConnectionLimits>>,
    max: usize,
    /// Whether connections are accepted without room in the memory budget.
    is_reserved: bool,
    /// Time of the last sweep.
    swept_at: Instant,
    /// Number of connections at which ended ones are removed next.
    clean_at: usize,
}

impl Connections {
    pub(crate) fn new(cfg: &ServerConfig) -> Self {
        Self {
            open: Vec::new(),
            memory: cfg.memory.clone(),
            limits: cfg.limits.clone(),
            max: cfg.max_connections.max(1),
            is_reserved: cfg.is_reserved,
            swept_at: Instant::now(),
            clean_at: 0,
        }
    }

    /// Charges a new connection. If no more may be open, closes others first; returns `None` if none can be closed or
    /// the memory budget has no room.
    pub(crate) async fn make_room(&mut self) -> Option<MemoryHolder> {
        if self.open.len() >= self.clean_at.min(self.max) {
            self.remove_ended();
            self.clean_at = self.open.len() * 2;
        }
        if self.open.len() >= self.max {
            self.evict();
            // The tasks of the evicted connections close their sockets.
            yield_now().await;
            self.remove_ended();
        }
        let holder = match self.open.len() < self.max {
            true if self.is_reserved => self.memory.open_reserved().ok(),
            true => self.memory.open().ok(),
            false => None,
        };
        if holder.is_none() {
            self.memory.record(Shortage::ConnectionRefused);
        }
        holder
    }

    pub(crate) fn add(&mut self, task: smol::Task<()>, holder: WeakHolder) {
        self.open.push(Connection { task, holder });
    }

    /// Waits until late connections have to be looked for.
    pub(crate) async fn next_sweep(&self) {
        match &self.limits {
            Some(limits) if !self.open.is_empty() => {
                let shortest = limits.header_time().min(limits.idle_time());
                let interval = (shortest / SWEEP_SHARE).clamp(SWEEP_INTERVAL.0, SWEEP_INTERVAL.1);
                // Waiting goes on from the last sweep, since each accepted connection starts it anew.
                smol::Timer::at(self.swept_at + interval).await;
            }
            _ => std::future::pending().await,
        }
    }

    /// Closes the connections that are idle, or send their head, for longer than allowed.
    pub(crate) fn sweep(&mut self) {
        self.swept_at = Instant::now();
        self.remove_ended();
        if let Some(limits) = &self.limits {
            self.holders()
                .iter()
                .for_each(|holder| holder.close_if_late(limits));
        }
    }

    /// Waits until all connections have ended.
    pub(crate) async fn join(&mut self) {
        for connection in &mut self.open {
            (&mut connection.task).await;
        }
    }

    /// Ends all connections.
    pub(crate) async fn cancel(self) {
        for connection in self.open {
            connection.task.cancel().await;
        }
    }

    fn evict(&self) {
        let open = self.holders();
        let described = open
            .iter()
            .enumerate()
            .map(|(index, holder)| holder.describe(index));
        let count = (self.max / CLOSED_SHARE).max(1);
        for index in choose_to_close(described, count, self.memory.now()) {
            open[index].evict();
        }
    }

    fn holders(&self) -> Vec<MemoryHolder> {
        let open = self.open.iter();
        open.filter_map(|connection| connection.holder.upgrade())
            .collect()
    }

    fn remove_ended(&mut self) {
        self.open.retain(|connection| !connection.task.is_finished());
    }
}
