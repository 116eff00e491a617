use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use utils::{ModelId, Monotonic};

use super::connect::{CallNumber, Connection};
use crate::LoadEstimate;

/// Margin before the target's keep-alive timeout in which an idle connection is no longer used.
const CLOSE_MARGIN: Duration = Duration::from_millis(1_200);
/// Time for which an idle connection is kept if the target gives no keep-alive timeout.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(4);

/// Time for which targets keep idle connections, unless they announce a shorter one.
const MIN_IDLE_TIME: Duration = Duration::from_secs(2);

/// An idle connection.
struct Idle {
    /// The connection.
    conn: Connection,
    /// Time until which a target that has not restarted keeps it open.
    kept_until: Monotonic,
}

impl Idle {
    /// Whether the time in which it may be used is not over.
    fn is_usable(&self, now: Monotonic) -> bool {
        self.conn.usable_until.is_none_or(|until| now < until)
    }

    /// Whether the target has closed it so soon that it has probably restarted.
    fn is_lost(&self, now: Monotonic) -> bool {
        self.conn.is_closed() && now < self.kept_until
    }
}

/// The traffic thread's state for one target.
#[derive(Default)]
pub(crate) struct TargetSlot {
    /// Estimated load and health.
    pub load: LoadEstimate,
    /// Newest weight version of each model that the target's answers have reported.
    observed_weights: BTreeMap<ModelId, u64>,
    /// Open connections, idle and reserved ones included.
    open: usize,
    /// Idle connections, the most recently used one last.
    idle: Vec<Idle>,
    /// Whether the target has closed an idle connection so soon that it has probably restarted.
    has_lost_idle: bool,
}

impl TargetSlot {
    /// Takes an idle connection to the target's address that is still open for a call, but not the one on which the call
    /// itself was sent last. Closes those to an earlier address.
    pub(crate) fn take_idle(
        &mut self,
        call: CallNumber,
        address: SocketAddr,
        now: Monotonic,
    ) -> Option<Connection> {
        let before = self.idle.len();
        self.idle.retain(|idle| idle.conn.address == address);
        self.open = self.open.saturating_sub(before - self.idle.len());
        let is_other = |idle: &Idle| !idle.conn.has_last_sent(call);
        while let Some(i) = self.idle.iter().rposition(is_other) {
            let idle = self.idle.remove(i);
            if idle.is_usable(now) && idle.conn.is_ready() {
                return Some(idle.conn);
            }
            self.has_lost_idle |= idle.is_lost(now);
            self.open = self.open.saturating_sub(1);
        }
        None
    }

    /// Records the weight version of a model that an answer has reported.
    pub(crate) fn observe_weights(&mut self, model: &ModelId, version: u64) {
        match self.observed_weights.get_mut(model) {
            Some(observed) => *observed = version.max(*observed),
            None => {
                self.observed_weights.insert(model.clone(), version);
            }
        }
    }

    /// Returns the newest weight version of a model that the target's answers have reported.
    pub(crate) fn observed_weights(&self, model: &ModelId) -> Option<u64> {
        self.observed_weights.get(model).copied()
    }

    /// Returns whether the target has lost an idle connection since the last call.
    pub(crate) fn take_lost_idle(&mut self) -> bool {
        std::mem::take(&mut self.has_lost_idle)
    }

    /// Whether an idle connection can be used.
    pub(crate) fn is_connected(&self, now: Monotonic) -> bool {
        let newest = self.idle.last();
        newest.is_some_and(|idle| idle.is_usable(now) && !idle.conn.is_closed())
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
    pub(crate) fn put_idle(&mut self, mut conn: Connection, keep_alive: Option<Duration>, now: Monotonic) {
        let idle_time = keep_alive.map_or(DEFAULT_IDLE_TIME, |keep_alive| {
            keep_alive.saturating_sub(CLOSE_MARGIN)
        });
        if conn.is_closed() || idle_time.is_zero() {
            self.release();
            return;
        }
        conn.usable_until = Some(now + idle_time);
        let kept_for = keep_alive.map_or(MIN_IDLE_TIME, |keep_alive| keep_alive.min(MIN_IDLE_TIME));
        self.idle.push(Idle {
            conn,
            kept_until: now + kept_for,
        });
    }

    /// Keeps a connection on which nothing was sent. It was used so long ago that its end proves nothing.
    pub(crate) fn put_back(&mut self, mut conn: Connection, now: Monotonic) {
        if conn.is_closed() {
            self.release();
            return;
        }
        let usable_until = conn.usable_until.unwrap_or(now + DEFAULT_IDLE_TIME);
        conn.usable_until = Some(usable_until);
        self.idle.push(Idle {
            conn,
            kept_until: now,
        });
    }

    /// Closes the idle connection that has not been used for longest.
    pub(crate) fn close_oldest_idle(&mut self) {
        if !self.idle.is_empty() {
            self.idle.remove(0);
            self.release();
        }
    }

    /// Closes the idle connections that may no longer be used.
    pub(crate) fn close_expired(&mut self, now: Monotonic) {
        let before = self.idle.len();
        self.has_lost_idle |= self.idle.iter().any(|idle| idle.is_lost(now));
        self.idle
            .retain(|idle| idle.is_usable(now) && !idle.conn.is_closed());
        self.open = self.open.saturating_sub(before - self.idle.len());
    }
}
