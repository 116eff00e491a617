//! Who gets capacity at the engines of a service when it is short.
//!
//! [`Admission`] refuses a growing share of the least urgent requests before the engines' memory is full, and
//! [`has_room`] says which engines may take a request. Both decide from this host's estimates alone.

mod pressure;
mod retry_after;
mod room;
mod shares;
mod short;

use std::time::Duration;

use utils::Monotonic;

use pressure::Pressure;
use shares::Shares;

pub use pressure::{PressureChange, ServiceLoad};
pub(crate) use room::MIN_WAITING_TO_REFUSE;
pub use room::has_room;
pub use short::ShortCapacity;

/// Number of priorities that are told apart; less urgent ones count as the last.
const RANKS: usize = 3;

/// Admission of prompts to the engines of one service, at one host.
///
/// ```
/// use std::time::Duration;
/// use gateway::{Admission, ServiceLoad};
///
/// let mut admission = Admission::default();
/// let idle = ServiceLoad { engines: 4, fill: 0.3, waiting: 0.0 };
/// admission.observe(&idle, Duration::ZERO);
/// assert!(admission.admits(2, "workspace", 0.0, Duration::ZERO));
/// ```
#[derive(Debug, Clone, Default)]
pub struct Admission {
    /// How short capacity is.
    pressure: Pressure,
    /// Demand of the workspaces.
    shares: Shares,
}

impl Admission {
    /// Follows the estimated load of the engines that the next request could be sent to; returns whether capacity has become short, or is no longer.
    pub fn observe(&mut self, load: &ServiceLoad, now: Monotonic) -> Option<PressureChange> {
        self.pressure.observe(load, now)
    }

    /// Counts a request in the demand of its workspace, and returns whether it may be sent to the engines of the last
    /// observation. `draw` is a random
    /// number from 0 to 1. The size of the request does not matter, so that large requests of a class are refused
    /// as often as small ones.
    pub fn admits(&mut self, priority: u8, workspace: &str, draw: f64, now: Monotonic) -> bool {
        let rank = rank_of(priority);
        self.shares.record(rank, workspace, now);
        let refused = self.pressure.refused_share(self.refused_as(rank, now));
        refused <= 0.0 || draw >= self.shares.refused_share(rank, workspace, refused, now)
    }

    /// Returns why a request of a priority is refused if [`Self::admits`] does not admit it.
    pub fn refusal(&self, priority: u8, now: Monotonic) -> ShortCapacity {
        match self.refused_as(rank_of(priority), now) {
            0 => ShortCapacity::Crowded,
            _ => ShortCapacity::Shed,
        }
    }

    /// Returns the rank by which requests are refused. Without recent demand of a more urgent one nobody gains from an
    /// early refusal, and the rank counts as the most urgent.
    fn refused_as(&self, rank: usize, now: Monotonic) -> usize {
        match self.shares.has_more_urgent(rank, now) {
            true => rank,
            false => 0,
        }
    }

    /// Returns the time after which a caller refused now should retry, at most as long as callers wait.
    /// `draw` is a random number from 0 to 1.
    pub fn retry_after(&self, time_left: Duration, draw: f64, now: Monotonic) -> Duration {
        retry_after::wait(self.pressure.lasted(now), time_left, draw)
    }

    /// Returns how short capacity is, from 0 if it is not.
    pub fn level(&self) -> f64 {
        self.pressure.level()
    }
}

/// Returns the index of a priority in the tables by priority.
fn rank_of(priority: u8) -> usize {
    usize::from(priority).min(RANKS - 1)
}
