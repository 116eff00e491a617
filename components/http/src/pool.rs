use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::OutgoingConnection;

/// An idle connection.
struct Idle {
    /// The connection.
    conn: OutgoingConnection,
    /// Time at which the last exchange ended.
    since: Instant,
}

/// Pool of idle connections.
pub(crate) struct Pool {
    /// Idle connections by address; the most recently used is last.
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
    /// Maximum number of idle connections per address.
    per_address: usize,
    /// Idle time after which a connection is not reused.
    max_idle: Duration,
}

impl Pool {
    pub(crate) fn new(per_address: usize, max_idle: Duration) -> Self {
        Self {
            idle: Mutex::default(),
            per_address,
            max_idle,
        }
    }

    /// Removes and returns the most recently used connection that is still open and has not exceeded the
    /// maximum idle time.
    pub(crate) fn take(&self, addr: SocketAddr) -> Option<OutgoingConnection> {
        let mut idle = self.lock();
        let list = idle.get_mut(&addr)?;
        while let Some(idle) = list.pop() {
            if idle.since.elapsed() < self.max_idle && idle.conn.is_ready() {
                return Some(idle.conn);
            }
        }
        None
    }

    /// Stores a connection for the next request to the address, and drops the least recently used one if the
    /// pool is full.
    pub(crate) fn put(&self, addr: SocketAddr, conn: OutgoingConnection) {
        if conn.is_closed() || self.per_address == 0 {
            return;
        }
        let mut idle = self.lock();
        // Connections to addresses that are not used any more would stay charged.
        idle.retain(|_, list| {
            list.retain(|idle| idle.since.elapsed() < self.max_idle && !idle.conn.is_closed());
            !list.is_empty()
        });
        let list = idle.entry(addr).or_default();
        if list.len() >= self.per_address {
            list.remove(0);
        }
        list.push(Idle {
            conn,
            since: Instant::now(),
        });
    }

    /// Closes all idle connections to an address.
    pub(crate) fn close_idle(&self, addr: SocketAddr) {
        self.lock().remove(&addr);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Vec<Idle>>> {
        self.idle
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
