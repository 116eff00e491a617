use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use hyper::client::conn::http1::SendRequest;

use crate::Body;

/// An open connection; dropping it closes the socket.
pub(crate) struct Connection {
    /// Handle that sends requests on the connection.
    pub sender: SendRequest<Body>,
    /// Reads and writes the socket; ends with the connection.
    pub _driver: smol::Task<()>,
}

/// A connection that waits for its next request.
struct Idle {
    /// The connection.
    conn: Connection,
    /// When the last exchange ended.
    since: Instant,
}

/// Idle connections by address, newest last.
pub(crate) struct Pool {
    /// The connections.
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
    /// Most idle connections kept for one address.
    per_address: usize,
    /// Age at which an idle connection is not used again.
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

    /// Takes the connection that was used last and is still open.
    pub(crate) fn take(&self, addr: SocketAddr) -> Option<Connection> {
        let mut idle = self.lock();
        let list = idle.get_mut(&addr)?;
        while let Some(idle) = list.pop() {
            if idle.since.elapsed() < self.max_idle && idle.conn.sender.is_ready() {
                return Some(idle.conn);
            }
        }
        None
    }

    /// Keeps a connection for the next request to the address.
    pub(crate) fn put(&self, addr: SocketAddr, conn: Connection) {
        if conn.sender.is_closed() || self.per_address == 0 {
            return;
        }
        let mut idle = self.lock();
        let list = idle.entry(addr).or_default();
        if list.len() >= self.per_address {
            list.remove(0);
        }
        list.push(Idle {
            conn,
            since: Instant::now(),
        });
    }

    /// Drops every idle connection to an address.
    pub(crate) fn close_idle(&self, addr: SocketAddr) {
        self.lock().remove(&addr);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Vec<Idle>>> {
        self.idle
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
