use std::time::Duration;

use utils::Monotonic;

use super::connect::Connection;
use crate::LoadEstimate;

/// A connection is not used again this long before the target closes it.
const CLOSE_MARGIN: Duration = Duration::from_millis(1_200);
/// Time for which a connection is kept if the target does not say.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(4);

/// A connection that waits for its next request.
struct Idle {
    /// The connection.
    conn: Connection,
    /// Until when it may be used.
    usable_until: Monotonic,
}

/// What the traffic thread holds for one target.
#[derive(Default)]
pub(crate) struct TargetSlot {
    /// Load and health.
    pub load: LoadEstimate,
    /// Weight version that the target showed with an answer, by its own number.
    pub observed_weights: Option<u64>,
    /// Open connections, idle ones included.
    open: usize,
    /// Idle connections, the one used last at the end.
    idle: Vec<Idle>,
}

impl TargetSlot {
    /// Takes an idle connection that the target has not closed.
    pub(crate) fn take_idle(&mut self, now: Monotonic) -> Option<Connection> {
        while let Some(idle) = self.idle.pop() {
            if now < idle.usable_until && idle.conn.sender.is_ready() {
                return Some(idle.conn);
            }
            self.open = self.open.saturating_sub(1);
        }
        None
    }

    /// Whether an idle connection may be used.
    pub(crate) fn is_connected(&self, now: Monotonic) -> bool {
        let newest = self.idle.last();
        newest.is_some_and(|idle| now < idle.usable_until && !idle.conn.sender.is_closed())
    }

    /// Reserves a new connection, if the limit allows one more.
    pub(crate) fn reserve(&mut self, limit: usize) -> bool {
        let has_room = self.open < limit;
        if has_room {
            self.open += 1;
        }
        has_room
    }

    /// A connection is closed or could not be opened.
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

    /// Closes the idle connections that may not be used any more.
    pub(crate) fn close_expired(&mut self, now: Monotonic) {
        let before = self.idle.len();
        self.idle
            .retain(|idle| now < idle.usable_until && !idle.conn.sender.is_closed());
        self.open = self.open.saturating_sub(before - self.idle.len());
    }
}
