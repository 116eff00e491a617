//! The host's memory and descriptors, as they are divided among its listeners.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use errors::{Event, events};
use http_io::{ConnectionLimits, MemoryAccount, ServerConfig, Shortage};
use policy::MemoryBudget;
use slog::{Logger, warn};
use utils::Monotonic;

use crate::HostSettings;
use crate::declared::CallerLimits;

/// Time between two log lines about one kind of refusal.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Most headers of a request.
const MAX_HEADERS: usize = 100;
/// Descriptors for files, the store and other hosts.
const RESERVED_DESCRIPTORS: usize = 200;
/// Part of the descriptors that the reserve takes at most.
const RESERVED_SHARE: usize = 4;
/// Part of the descriptors that connections to targets may use.
const TARGET_SHARE: usize = 2;
/// Part of the incoming connections for other hosts. They need one idle connection for each kind of query.
const PEER_SHARE: usize = 4;
/// Part of the incoming connections for readiness checks and metrics.
const READINESS_SHARE: usize = 16;
/// Fewest connections of a listener, whatever the settings.
const MIN_CONNECTIONS: usize = 8;
/// Size of the kernel's buffers of a connection, in bytes. A caller between regions gets 8 MB/s with it.
const SOCKET_BUFFER_BYTES: usize = 64 << 10;

/// Number of connections that each listener may have open.
///
/// ```
/// let shares = gateway::ConnectionShares::of(4_100);
/// assert_eq!((shares.callers, shares.peers, shares.readiness), (1_273, 462, 115));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionShares {
    /// Connections of callers.
    pub callers: usize,
    /// Connections of other hosts.
    pub peers: usize,
    /// Connections for readiness checks and metrics.
    pub readiness: usize,
}

impl ConnectionShares {
    /// Divides the descriptors of a process.
    pub fn of(descriptors: usize) -> Self {
        let reserved = RESERVED_DESCRIPTORS.min(descriptors / RESERVED_SHARE);
        let incoming = (descriptors - descriptors / TARGET_SHARE).saturating_sub(reserved);
        let (peers, readiness) = (incoming / PEER_SHARE, incoming / READINESS_SHARE);
        Self {
            callers: (incoming - peers - readiness).max(MIN_CONNECTIONS),
            peers: peers.max(MIN_CONNECTIONS),
            readiness: readiness.max(MIN_CONNECTIONS),
        }
    }
}

/// Memory and connections of a host.
pub(crate) struct Resources {
    /// Memory held for callers and targets.
    pub memory: Arc<MemoryAccount>,
    /// Limits on the connections of callers, as last declared.
    pub limits: Arc<ConnectionLimits>,
    /// Connections that each listener may have open.
    shares: ConnectionShares,
    /// Refusals of the account that have been logged.
    shortages: ShortageLog,
}

/// Logs the refusals of an account.
pub(crate) struct ShortageLog {
    memory: Arc<MemoryAccount>,
    /// What has been logged.
    logged: Mutex<Logged>,
}

/// Refusals that have been logged.
#[derive(Default)]
struct Logged {
    /// Time of the last lines.
    at: Monotonic,
    /// Numbers by kind, in the order of [`Shortage::ALL`].
    counts: [u64; Shortage::ALL.len()],
}

impl Resources {
    pub(crate) fn new(settings: &HostSettings) -> Self {
        let limits = CallerLimits::default();
        let memory = MemoryAccount::new(MemoryBudget::for_machine(settings.memory));
        Self {
            shortages: ShortageLog::new(memory.clone()),
            memory,
            limits: Arc::new(ConnectionLimits::new(
                limits.head_bytes,
                limits.header_time,
                limits.idle_time,
            )),
            shares: ConnectionShares::of(settings.sockets),
        }
    }

    /// Puts declared limits in force.
    pub(crate) fn apply(&self, limits: &CallerLimits) {
        self.limits
            .set(limits.head_bytes, limits.header_time, limits.idle_time);
    }

    /// Logs the refusals since the last lines.
    pub(crate) fn log_shortages(&self, log: &Logger, now: Monotonic) {
        self.shortages.log_new(log, now);
    }

    /// Returns the settings of the callers' listener.
    pub(crate) fn for_callers(&self) -> ServerConfig {
        ServerConfig {
            max_headers: MAX_HEADERS,
            limits: Some(self.limits.clone()),
            max_connections: self.shares.callers,
            ..self.base()
        }
    }

    /// Returns the settings of the callers' listener during a drain, in place of the one whose connections still have
    /// `open` requests.
    pub(crate) fn for_late_callers(&self, open: usize) -> ServerConfig {
        ServerConfig {
            max_connections: self.shares.callers.saturating_sub(open).max(MIN_CONNECTIONS),
            ..self.for_callers()
        }
    }

    /// Returns the settings of the listener for readiness checks and metrics.
    pub(crate) fn for_readiness(&self) -> ServerConfig {
        ServerConfig {
            header_timeout: CallerLimits::default().idle_time,
            max_connections: self.shares.readiness,
            is_reserved: true,
            ..self.base()
        }
    }

    /// Returns the settings of the listener for other hosts.
    pub(crate) fn for_peers(&self) -> ServerConfig {
        ServerConfig {
            max_connections: self.shares.peers,
            is_reserved: true,
            ..self.base()
        }
    }

    fn base(&self) -> ServerConfig {
        ServerConfig {
            memory: self.memory.clone(),
            socket_buffer_bytes: Some(SOCKET_BUFFER_BYTES),
            ..ServerConfig::default()
        }
    }
}

impl ShortageLog {
    pub(crate) fn new(memory: Arc<MemoryAccount>) -> Self {
        Self {
            memory,
            logged: Mutex::default(),
        }
    }

    /// Logs one line for each kind of refusal that has happened since the last lines, at most once in each interval.
    pub(crate) fn log_new(&self, log: &Logger, now: Monotonic) {
        let mut logged = self.logged.lock().unwrap_or_else(PoisonError::into_inner);
        if now.saturating_sub(logged.at) < LOG_INTERVAL {
            return;
        }
        logged.at = now;
        for (kind, logged) in Shortage::ALL.into_iter().zip(logged.counts.iter_mut()) {
            let count = self.memory.count(kind);
            let new = count.saturating_sub(std::mem::replace(logged, count));
            if let Some(event) = event_of(kind).filter(|_| new > 0) {
                warn!(log, "{}", message_of(kind); event,
                    "kind" => kind.as_str(), "count" => new, "used" => self.memory.used(),
                    "budget" => self.memory.capacity(), "connections" => self.memory.connections());
            }
        }
    }
}

/// Returns the message that a kind of refusal is logged with.
fn message_of(kind: Shortage) -> &'static str {
    match kind {
        Shortage::BodyEvicted => "evicted request bodies to free memory",
        Shortage::NoRoom => "refused bodies or answers for lack of memory",
        Shortage::ConnectionClosed => {
            "closed connections without a whole request to free memory or connections"
        }
        Shortage::ConnectionRefused => "refused new connections for lack of memory or connections",
        Shortage::AnswerUnread => "closed connections with unread answers to free memory or connections",
        Shortage::IdleExpired => "closed idle connections at their time limit",
        Shortage::HeadLate => "closed connections whose heads did not arrive in time",
        Shortage::HeadTooLarge => "refused requests with heads over the limit",
        Shortage::AnswerTooLarge => "closed connections whose answers were larger than their bound",
    }
}

/// Returns the event that a kind of refusal is logged with.
fn event_of(kind: Shortage) -> Option<Event> {
    let event = match kind {
        Shortage::BodyEvicted => events::BODY_EVICTED,
        Shortage::NoRoom => events::NO_MEMORY,
        Shortage::ConnectionClosed | Shortage::ConnectionRefused => events::CONNECTIONS_CLOSED,
        Shortage::AnswerUnread => events::ANSWER_UNREAD,
        Shortage::HeadLate => events::HEAD_LATE,
        Shortage::HeadTooLarge => events::HEAD_TOO_LARGE,
        Shortage::AnswerTooLarge => events::ANSWER_TOO_LARGE,
        // Ordinary callers end like this, so it is counted only.
        Shortage::IdleExpired => return None,
    };
    Some(event)
}
