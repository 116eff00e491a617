use std::collections::HashMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use membership::Backoff;
use quinn::Connection;
use rand::RngExt;
use utils::HostId;

/// Minimum time between a successful connection to a host and the next attempt to open one.
const MIN_REDIAL: Duration = Duration::from_secs(1);

/// State of the connection to another host.
#[derive(Default)]
pub(crate) struct Link {
    /// The latest connection, opened by either end.
    connection: Option<Connection>,
    /// Whether an attempt to open a connection is in progress.
    dialing: bool,
    /// Backoff after failed attempts.
    backoff: Backoff,
    /// Earliest time of the next attempt; `None` permits one immediately.
    retry_at: Option<Instant>,
    /// Latest datagram to send once a connection is open.
    pending: Option<Bytes>,
}

/// Connection state of all other hosts.
#[derive(Default)]
pub(crate) struct Links {
    /// Links by name of the host.
    by_host: HashMap<HostId, Link>,
    /// Whether the transport is shutting down; no connection is opened then.
    pub(crate) closed: bool,
}

impl Links {
    /// Returns the connection to a host if it is open.
    pub(crate) fn open_connection(&self, host: &str) -> Option<Connection> {
        let link = self.by_host.get(host)?;
        let connection = link.connection.as_ref()?;
        connection.close_reason().is_none().then(|| connection.clone())
    }

    /// Stores a datagram to send once a connection to the host is open, in place of an earlier one.
    pub(crate) fn set_pending(&mut self, host: &HostId, datagram: Bytes) {
        self.by_host.entry(host.clone()).or_default().pending = Some(datagram);
    }

    /// Returns whether a new connection to the host may be opened now, and if so marks an attempt as in
    /// progress.
    pub(crate) fn start_dial(&mut self, host: &HostId, now: Instant) -> bool {
        let link = self.by_host.entry(host.clone()).or_default();
        if self.closed || link.dialing || link.retry_at.is_some_and(|at| now < at) {
            return false;
        }
        link.dialing = true;
        true
    }

    /// Records a failed attempt and schedules the next one after the backoff.
    pub(crate) fn dial_failed(&mut self, host: &str, now: Instant) {
        let Some(link) = self.by_host.get_mut(host) else {
            return;
        };
        link.dialing = false;
        link.backoff.fail();
        let wait = link.backoff.wait(Duration::ZERO, rand::rng().random());
        link.retry_at = Some(now + wait);
    }

    /// Records a connection that this host opened as the current one. Returns the connection that it replaces
    /// and the pending datagram.
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
        (old, link.pending.take())
    }

    /// Records a connection that the other end opened as the current one, since it is the latest to work.
    /// Returns the pending datagram.
    pub(crate) fn accepted(&mut self, host: &HostId, connection: Connection) -> Option<Bytes> {
        let link = self.by_host.entry(host.clone()).or_default();
        link.connection = Some(connection);
        link.pending.take()
    }
}
