use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use utils::{Monotonic, TargetId};

/// Time for which a target is thought to keep what it has read.
const KEPT_FOR: Duration = Duration::from_secs(15);
/// Most sessions remembered.
const MOST_SESSIONS: usize = 8_192;
/// Chance that a target still holds what this host sent there lately.
const OWN_CHANCE: f64 = 0.9;
/// Chance that the session's home holds it, which every host prefers.
const HOME_CHANCE: f64 = 0.7;
/// Chance that the session's second choice holds it.
const SECOND_CHANCE: f64 = 0.2;

/// Names a session under a cache salt.
pub type SessionKey = u64;

/// Where prompts that return were sent last.
#[derive(Debug, Default)]
pub struct Sessions {
    /// Targets by session, with the time of the last send.
    sent: HashMap<SessionKey, (TargetId, Monotonic)>,
    /// Sends, oldest first.
    order: VecDeque<(SessionKey, Monotonic)>,
}

impl Sessions {
    /// A session was sent to a target.
    pub fn note_sent(&mut self, session: SessionKey, target: TargetId, now: Monotonic) {
        self.sent.insert(session, (target, now));
        self.order.push_back((session, now));
        while let Some((oldest, at)) = self.order.front().copied() {
            if now < at + KEPT_FOR && self.order.len() <= MOST_SESSIONS {
                break;
            }
            self.order.pop_front();
            if self.sent.get(&oldest).is_some_and(|(_, last)| *last == at) {
                self.sent.remove(&oldest);
            }
        }
    }

    /// Chance that a target holds the session's shared part; `rank` is its place in the session's order of targets.
    pub fn chance(&self, session: SessionKey, target: &str, rank: usize, now: Monotonic) -> f64 {
        let own = self.sent.get(&session);
        let is_own = own.is_some_and(|(sent, at)| **sent == *target && now < *at + KEPT_FOR);
        match rank {
            _ if is_own => OWN_CHANCE,
            0 => HOME_CHANCE,
            1 => SECOND_CHANCE,
            _ => 0.0,
        }
    }
}
