use std::collections::HashMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use membership::Backoff;
use quinn::Connection;
use rand::RngExt;
use utils::HostId;

/// Shortest time between two connections opened to the same host.
const MIN_REDIAL: Duration = Duration::from_secs(1);

/// Connections to one other host.
#[derive(Default)]
pub(crate) struct Link {
    /// The latest connection, whichever end opened it.
    connection: Option<Connection>,
    /// Whether a new connection is being opened.
    dialing: bool,
    /// Waits between failed tries.
    backoff: Backoff,
    /// No try before this time.
    retry_at: Option<Instant>,
    /// Sent when the connection stands.
    waiting: Option<Bytes>,
}

/// Connections by host.
#[derive(Default)]
pub(crate) struct Links {
    /// Links by name.
    by_host: HashMap<HostId, Link>,
    /// Whether the transport shuts down.
    pub(crate) closed: bool,
}

impl Links {
    /// The connection to a host, if there is an open one.
    pub(crate) fn open(&self, host: &str) -> Option<Connection> {
        let link = self.by_host.get(host)?;
        let connection = link.connection.as_ref()?;
        connection.close_reason().is_none().then(|| connection.clone())
    }

    /// Keeps the latest datagram for a host until a connection to it stands.
    pub(crate) fn keep(&mut self, host: &HostId, datagram: Bytes) {
        self.by_host.entry(host.clone()).or_default().waiting = Some(datagram);
    }

    /// Whether a new connection to the host may be opened now; if so, it counts as being opened.
    pub(crate) fn start_dial(&mut self, host: &HostId, now: Instant) -> bool {
        let link = self.by_host.entry(host.clone()).or_default();
        if self.closed || link.dialing || link.retry_at.is_some_and(|at| now < at) {
            return false;
        }
        link.dialing = true;
        true
    }

    /// Records a failed try.
    pub(crate) fn dial_failed(&mut self, host: &str, now: Instant) {
        let Some(link) = self.by_host.get_mut(host) else {
            return;
        };
        link.dialing = false;
        link.backoff.fail();
        let wait = link.backoff.wait(Duration::ZERO, rand::rng().random());
        link.retry_at = Some(now + wait);
    }

    /// Makes a connection that this host opened the one in use; returns the one that it replaces and the
    /// datagram that waits.
    pub(crate) fn dialed(
        &mut self,
        host: &HostId,
        connection: Connection,
        now: Instant,
    ) -> (Option<Connection>, Option<Bytes>) {
        let link = self.by_host.entry(host.clone()).or_default();
        link.dialing = false;
        link.backoff.succeed();
        link.retry_at = Some(now + MIN_REDIAL);
        let old = link.connection.replace(connection);
        (old, link.waiting.take())
    }

    /// Uses a connection that the other end opened, as the latest to work.
    pub(crate) fn accepted(&mut self, host: &HostId, connection: Connection) -> Option<Bytes> {
        let link = self.by_host.entry(host.clone()).or_default();
        link.connection = Some(connection);
        link.waiting.take()
    }
}
