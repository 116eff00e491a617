use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use utils::{Monotonic, TargetId};

/// Time for which a target is assumed to keep a prompt in its cache.
const CACHE_LIFETIME: Duration = Duration::from_secs(15);
/// Most sends that are remembered.
const MAX_SESSIONS: usize = 8_192;
/// Probability that the target of this host's last send still caches the session.
const SENT_CHANCE: f64 = 0.9;
/// Probability that the session's owner caches it; every host prefers the same owner.
const OWNER_CHANCE: f64 = 0.7;
/// Probability that the session's owner in this host's region caches it, if the owner is in another region. Hosts of
/// the region prefer it while the link between the regions is busy.
const REGION_OWNER_CHANCE: f64 = 0.5;
/// Probability that the target second in the session's order caches it.
const SECOND_OWNER_CHANCE: f64 = 0.2;

/// Hash that identifies a session under a cache salt.
pub type SessionKey = u64;

/// Place of a target in a session's order of targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerRank {
    /// The owner.
    First,
    /// The first of this host's region; the owner is in another one.
    FirstOfRegion,
    /// The second.
    Second,
    /// Any other target.
    Other,
}

impl OwnerRank {
    /// Returns the rank at a position in the session's order. `first_near` is the position of the first target in the
    /// host's region.
    ///
    /// ```
    /// use gateway::OwnerRank;
    ///
    /// assert_eq!(OwnerRank::new(0, Some(3)), OwnerRank::First);
    /// assert_eq!(OwnerRank::new(3, Some(3)), OwnerRank::FirstOfRegion);
    /// ```
    pub fn new(position: usize, first_near: Option<usize>) -> Self {
        match position {
            0 => Self::First,
            _ if first_near == Some(position) => Self::FirstOfRegion,
            1 => Self::Second,
            _ => Self::Other,
        }
    }
}

/// The targets that sessions were last sent to.
#[derive(Debug, Default)]
pub struct Sessions {
    /// Target and time of the last send by session.
    last_sends: HashMap<SessionKey, (TargetId, Monotonic)>,
    /// Sends, oldest first.
    send_order: VecDeque<(SessionKey, Monotonic)>,
}

impl Sessions {
    /// Records that a session was sent to a target, and forgets old sends.
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

    /// Returns the probability that a target of this rank caches the session's shared part.
    pub fn cache_hit_chance(
        &self,
        session: SessionKey,
        target: &str,
        rank: OwnerRank,
        now: Monotonic,
    ) -> f64 {
        let last_sent = self.last_sends.get(&session);
        let is_last_sent =
            last_sent.is_some_and(|(sent, at)| **sent == *target && now < *at + CACHE_LIFETIME);
        match rank {
            _ if is_last_sent => SENT_CHANCE,
            OwnerRank::First => OWNER_CHANCE,
            OwnerRank::FirstOfRegion => REGION_OWNER_CHANCE,
            OwnerRank::Second => SECOND_OWNER_CHANCE,
            OwnerRank::Other => 0.0,
        }
    }
}
