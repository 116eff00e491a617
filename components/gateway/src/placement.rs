use std::time::Duration;

use serde::Serialize;

use self::choice::choose;
pub use self::choice::spread_for;
pub use self::time::fetch_limit;

use crate::first_token::{Pace, TimeParts};

mod choice;
mod cost;
mod time;

/// Share of an engine's memory that requests of each priority may fill. Less urgent requests leave room for
/// urgent ones.
const MEMORY_FILL_BY_PRIORITY: [f64; 3] = [1.1, 0.95, 0.85];
/// Most requests that may wait at an engine that a request of each priority is sent to.
const MAX_WAITING_BY_PRIORITY: [f64; 3] = [8.0, 2.0, 0.7];
/// Total of waiting requests from which a request may be refused for lack of room.
const MIN_WAITING_TO_REFUSE: f64 = 1.0;

/// The resources and the latency that a request needs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// Prompt tokens; 0 for a request without a prompt.
    pub prompt_tokens: u32,
    /// Prompt tokens that a target may have in its cache.
    pub shared_tokens: u32,
    /// Tokens of engine memory that the request holds until it ends.
    pub memory: u32,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
    /// Time within which the answer has its full value.
    pub latency_target: Duration,
    /// Time until the caller's deadline.
    pub time_left: Duration,
    /// Learned factors on the assumed prefill and queueing times.
    pub pace: Pace,
    /// Longest gap between events at which a stream has its full value.
    pub gap_target: Option<Duration>,
    /// Effects of the other hosts on the choice.
    pub fleet: FleetEffects,
}

/// Effects of the other hosts on a choice.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct FleetEffects {
    /// Cost of sending the request and its answer to another region, from the use of the link.
    pub link_cost: f64,
    /// Difference of costs by which a candidate is chosen less often by a factor of e; 0 to choose the lowest cost.
    pub spread: f64,
}

/// A target that may receive a request, with its estimated state.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// 0 in the host's failure domain, 1 elsewhere in its region, 2 in another region.
    pub distance: usize,
    /// Estimated number of requests at the target.
    pub requests: f64,
    /// Estimated number of requests in its queue.
    pub waiting: f64,
    /// Estimated number of requests of other hosts in its queue or in their prefill.
    pub queued: f64,
    /// Estimated memory in use, and the total memory, in tokens.
    pub memory: (f64, u64),
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Prompt tokens that it has to prefill first.
    pub prefill_backlog: u64,
    /// Probability that its cache holds the shared part of the prompt.
    pub cache_hit_chance: f64,
    /// Average time to an answer, in milliseconds.
    pub latency_ms: f64,
    /// Share of sends to it that failed.
    pub failures: f64,
    /// Whether newer weights than the target's have been declared.
    pub has_old_weights: bool,
    /// Whether an idle connection to the target is open.
    pub is_connected: bool,
    /// Speed and streams of the target.
    pub condition: TargetCondition,
}

/// Speed and streams of a target, as learned from its answers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TargetCondition {
    /// Factor on the expected times, relative to the service.
    pub time_factor: f64,
    /// Share of its recent streams with a gap longer than the route's target.
    pub late_gaps: f64,
}

impl Default for TargetCondition {
    fn default() -> Self {
        Self {
            time_factor: 1.0,
            late_gaps: 0.0,
        }
    }
}

/// The chosen candidate with its estimates.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize)]
pub struct Choice {
    /// Index in the list of candidates.
    pub index: usize,
    /// Cost in units of an average request's value.
    pub cost: f64,
    /// Expected time to the first byte, in milliseconds.
    pub expected_ms: f64,
    /// Parts of the expected time.
    pub parts: TimeParts,
}

/// The result of a placement.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Decision {
    /// The request goes to this candidate.
    Send(Choice),
    /// No engine has room for a request of this priority; it would wait and delay others.
    AllFull,
    /// No engine is expected to begin before the request's deadline.
    TooLate,
    /// There is no candidate.
    NoCandidate,
}

/// Chooses a candidate for a request, or refuses the request.
///
/// Refusals limit the damage of an overload. With fewer engines or more requests than usual, memory fills up,
/// requests queue, cached prompts are evicted and recomputed, and every answer is late. Requests without room
/// are refused at once, the least urgent first, and only while requests are known to wait.
///
/// A request that is expected to begin after its deadline would only delay others until it is dropped, so it
/// is refused at once as well.
pub fn decide(demand: &Demand, candidates: &[Candidate], tie_break: f64) -> Decision {
    let has_prompt = demand.prompt_tokens > 0;
    let waiting: f64 = candidates.iter().map(|c| c.waiting).sum();
    let is_waiting = has_prompt && waiting >= MIN_WAITING_TO_REFUSE;
    let fits: Vec<bool> = candidates.iter().map(|c| has_room(demand, c)).collect();
    let is_full = has_prompt && !fits.contains(&true);
    if is_full && is_waiting {
        return Decision::AllFull;
    }
    let allowed = if has_prompt && !is_full {
        fits
    } else {
        vec![true; candidates.len()]
    };
    let Some(choice) = choose(demand, candidates, &allowed, tie_break) else {
        return Decision::NoCandidate;
    };
    if is_waiting && choice.expected_ms > demand.time_left.as_secs_f64() * 1e3 {
        return Decision::TooLate;
    }
    Decision::Send(choice)
}

fn has_room(demand: &Demand, c: &Candidate) -> bool {
    let priority = usize::from(demand.priority).min(MEMORY_FILL_BY_PRIORITY.len() - 1);
    let (taken, all) = c.memory;
    let fits = taken + f64::from(demand.memory) <= all as f64 * MEMORY_FILL_BY_PRIORITY[priority];
    fits && c.waiting <= MAX_WAITING_BY_PRIORITY[priority]
}
