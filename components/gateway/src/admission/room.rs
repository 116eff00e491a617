//! Whether an engine has room for a request.

use super::{RANKS, rank_of};
use crate::placement::{Candidate, Demand};

/// Share of an engine's memory that requests of each priority may fill. Less urgent requests leave room for
/// urgent ones.
const MEMORY_FILL_BY_PRIORITY: [f64; RANKS] = [1.1, 0.95, 0.85];
/// Most requests that may wait at an engine that a request of each priority is sent to.
const MAX_WAITING_BY_PRIORITY: [f64; RANKS] = [8.0, 2.0, 0.7];
/// Total of waiting requests from which a request may be refused for lack of room.
pub(crate) const MIN_WAITING_TO_REFUSE: f64 = 1.0;

/// Whether an engine has memory for a request and few enough requests wait there already.
pub fn has_room(demand: &Demand, c: &Candidate) -> bool {
    let rank = rank_of(demand.priority);
    let (taken, all) = c.memory;
    let fits = taken + f64::from(demand.memory) <= all as f64 * MEMORY_FILL_BY_PRIORITY[rank];
    fits && c.waiting <= MAX_WAITING_BY_PRIORITY[rank]
}
