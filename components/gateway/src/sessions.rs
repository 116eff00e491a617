use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use utils::{Monotonic, TargetId};

/// Time for which a target is thought to keep what it has read.
const CACHE_LIFETIME: Duration = Duration::from_secs(15);
/// Most sessions remembered.
const MAX_SESSIONS: usize = 8_192;
/// Chance that a target still holds what this host sent there lately.
const SENT_CHANCE: f64 = 0.9;
/// Chance that the session's home holds it, which every host prefers.
const OWNER_CHANCE: f64 = 0.7;
/// Chance that the session's second choice holds it.
const SECOND_OWNER_CHANCE: f64 = 0.2;

/// Names a session under a cache salt.
pub type SessionKey = u64;

/// Where prompts that return were sent last.
#[derive(Debug, Default)]
pub struct Sessions {
    /// Targets by session, with the time of the last send.
    last_sends: HashMap<SessionKey, (TargetId, Monotonic)>,
    /// Sends, oldest first.
    send_order: VecDeque<(SessionKey, Monotonic)>,
}

impl Sessions {
    /// A session was sent to a target.
    pub fn record_sent(&mut self, session: SessionKey, target: TargetId, now: Monotonic) {
        self.last_sends.insert(session, (target, now));
        self.send_order.push_back((session, now));
        while let Some((oldest, at)) = self.send_order.front().copied() {
            if now < at + CACHE_LIFETIME && self.send_order.len() <= MAX_SESSIONS {
                break;
            }
            self.send_order.pop_front();
            if self.last_sends.get(&oldest).is_some_and(|(_, last)| *last == at) {
                self.last_sends.remove(&oldest);
            }
        }
    }

    /// Chance that a target holds the session's shared part; `rank` is its place in the session's order of targets.
    pub fn cache_hit_chance(
        &self,
        session: SessionKey,
        target: &str,
        position: usize,
        now: Monotonic,
    ) -> f64 {
        let last_sent = self.last_sends.get(&session);
        let is_last_sent =
            last_sent.is_some_and(|(sent, at)| **sent == *target && now < *at + CACHE_LIFETIME);
        match position {
            _ if is_last_sent => SENT_CHANCE,
            0 => OWNER_CHANCE,
            1 => SECOND_OWNER_CHANCE,
            _ => 0.0,
        }
    }
}
