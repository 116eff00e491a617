use std::time::Duration;

use utils::Monotonic;

use super::connect::{CallNumber, Connection};
use crate::{LoadEstimate, TargetSpeed};

/// Margin before the target's keep-alive timeout in which an idle connection is no longer used.
const CLOSE_MARGIN: Duration = Duration::from_millis(1_200);
/// Time for which an idle connection is kept if the target gives no keep-alive timeout.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(4);

/// An idle connection.
struct Idle {
    /// The connection.
    conn: Connection,
    /// Time until which it may be used.
    usable_until: Monotonic,
}

/// The traffic thread's state for one target.
#[derive(Default)]
pub(crate) struct TargetSlot {
    /// Estimated load and health.
    pub load: LoadEstimate,
    /// Speed relative to the service, and late gaps of streams.
    pub speed: TargetSpeed,
    /// Newest weight version that the target's answers have reported.
    pub observed_weights: Option<u64>,
    /// Open connections, idle and reserved ones included.
    open: usize,
    /// Idle connections, the most recently used one last.
    idle: Vec<Idle>,
}

impl TargetSlot {
    /// Takes an idle connection that is still open for a call, but not the one on which the call itself was
    /// sent last.
    pub(crate) fn take_idle(&mut self, call: CallNumber, now: Monotonic) -> Option<Connection> {
        let is_other = |idle: &Idle| !idle.conn.has_last_sent(call);
        while let Some(i) = self.idle.iter().rposition(is_other) {
            let idle = self.idle.remove(i);
            if now < idle.usable_until && idle.conn.sender.is_ready() {
                return Some(idle.conn);
            }
            self.open = self.open.saturating_sub(1);
        }
        None
    }

    /// Whether an idle connection can be used.
    pub(crate) fn is_connected(&self, now: Monotonic) -> bool {
        let newest = self.idle.last();
        newest.is_some_and(|idle| now < idle.usable_until && !idle.conn.sender.is_closed())
    }

    /// Reserves a new connection if the limit allows one more; returns whether it does.
    pub(crate) fn reserve(&mut self, limit: usize) -> bool {
        let has_room = self.open < limit;
        if has_room {
            self.open += 1;
        }
        has_room
    }

    /// Counts a connection as closed, or as not opened after all.
    pub(crate) fn release(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Keeps a connection for the next request.
    pub(crate) fn put_idle(&mut self, conn: Connection, keep_alive: Option<Duration>, now: Monotonic) {
        let idle_time = keep_alive.map_or(DEFAULT_IDLE_TIME, |keep_alive| {
            keep_alive.saturating_sub(CLOSE_MARGIN)
        });
        if conn.sender.is_closed() || idle_time.is_zero() {
            self.release();
            return;
        }
        self.idle.push(Idle {
            conn,
            usable_until: now + idle_time,
        });
    }

    /// Closes the idle connections that may no longer be used.
    pub(crate) fn close_expired(&mut self, now: Monotonic) {
        let before = self.idle.len();
        self.idle
            .retain(|idle| now < idle.usable_until && !idle.conn.sender.is_closed());
        self.open = self.open.saturating_sub(before - self.idle.len());
    }
}
