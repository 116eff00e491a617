use std::time::Duration;

use serde::Serialize;

use crate::admission::{MIN_WAITING_TO_REFUSE, has_room};
use crate::first_token::{Pace, TimeParts};

/// Prompt tokens that an engine is assumed to prefill in a millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 80.0;
/// Time from the end of the prefill at an idle engine to the first token, in milliseconds.
const FIRST_TOKEN_MS: f64 = 45.0;
/// Time by which each running request delays the tokens and the prefill of others, in milliseconds.
const DELAY_PER_REQUEST_MS: f64 = 2.0;
/// Assumed delay for each request that is queued at the engine or in its prefill already, in milliseconds.
const QUEUED_MS: f64 = 50.0;
/// Time that a fetch may take, relative to computing the part.
const FETCH_PATIENCE: f64 = 1.5;
/// Cost of recomputing a thousand tokens, in units of an average request's value.
const RECOMPUTE_COST_PER_1000: f64 = 0.25;
/// Share of the latency target up to which an answer has no risk of being late.
const SAFE_LATENCY_SHARE: f64 = 0.4;
/// Cost of an answer that is certain to be late.
const LATE_COST: f64 = 0.8;
/// Cost of an expected time as long as the latency target; proportional, also for answers in time.
const WAIT_COST: f64 = 0.3;
/// Cost of an answer by replaced weights: the share of its value that is lost, plus a small margin.
const OLD_WEIGHTS_COST: f64 = 0.25;
/// Cost of a failed request.
const FAILURE_COST: f64 = 1.0;
/// Costs of sending a request and its answer within the failure domain, to another failure domain of the
/// region, and to another region.
const TRANSFER_COST: [f64; 3] = [0.0, 0.02, 0.08];
/// Cost of opening a connection.
const CONNECT_COST: f64 = 0.05;
/// Round trip times within the failure domain, to another one of the region, and to another region, in
/// milliseconds.
const ROUND_TRIP_MS: [f64; 3] = [0.2, 3.0, 17.0];

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
    let time_left_ms = demand.time_left.as_secs_f64() * 1e3;
    if !is_waiting || choice.expected_ms <= time_left_ms {
        return Decision::Send(choice);
    }
    // The candidate of the lowest cost is not always the one that begins first.
    let begins_in_time = |c: &Candidate| demand.pace.expected_ms(&time_parts(demand, c)) <= time_left_ms;
    let allowed = candidates.iter().zip(allowed);
    let allowed: Vec<_> = allowed
        .map(|(c, is_allowed)| is_allowed && begins_in_time(c))
        .collect();
    choose(demand, candidates, &allowed, tie_break).map_or(Decision::TooLate, Decision::Send)
}

/// Returns how long the engine should wait for the shared part of the prompt to be fetched: until it could begin
/// the request, and somewhat longer than it would take to compute the part itself. On a slow link waiting
/// longer delays the request and all that the engine prefills after it.
pub fn fetch_limit(demand: &Demand, choice: &Choice) -> Duration {
    let parts = TimeParts {
        prefill_ms: f64::from(demand.shared_tokens) / PREFILL_TOKENS_PER_MS,
        ..TimeParts::default()
    };
    let compute_ms = demand.pace.expected_ms(&parts);
    Duration::from_secs_f64((choice.expected_ms + FETCH_PATIENCE * compute_ms) / 1e3)
}

/// Chooses the candidate with the lowest cost: the risk of a late answer, recomputed prompt tokens, transfers
/// between failure domains, failures and replaced weights, in units of an average request's value.
/// `tie_break`, from 0 to 1, separates equal candidates, as hosts with the same view would all choose the
/// same target otherwise.
fn choose(demand: &Demand, candidates: &[Candidate], allowed: &[bool], tie_break: f64) -> Option<Choice> {
    let spread = candidates.len().max(1);
    let allowed = candidates.iter().enumerate().filter(|(index, _)| allowed[*index]);
    let costs = allowed.map(|(index, candidate)| {
        let parts = time_parts(demand, candidate);
        let expected_ms = demand.pace.expected_ms(&parts);
        let shift = (index + (tie_break * spread as f64) as usize) % spread;
        let cost = cost(demand, candidate, expected_ms) + 1e-4 * shift as f64;
        Choice {
            index,
            cost,
            expected_ms,
            parts,
        }
    });
    costs.min_by(|a, b| a.cost.total_cmp(&b.cost))
}

fn time_parts(demand: &Demand, c: &Candidate) -> TimeParts {
    let round_trip_ms = ROUND_TRIP_MS[c.distance.min(2)];
    let slots = f64::from(c.slots.max(1));
    if demand.prompt_tokens == 0 {
        let waiting = (c.requests + 1.0 - slots).max(0.0) / slots;
        let busy = c.requests / slots;
        return TimeParts {
            fixed_ms: round_trip_ms + c.latency_ms * (1.0 + 0.3 * busy + waiting),
            ..TimeParts::default()
        };
    }
    let to_prefill = f64::from(demand.prompt_tokens) - c.cache_hit_chance * f64::from(demand.shared_tokens);
    let overflow_ms = (c.requests + 1.0 - slots).max(0.0) * FIRST_TOKEN_MS;
    TimeParts {
        fixed_ms: round_trip_ms + FIRST_TOKEN_MS + c.requests * DELAY_PER_REQUEST_MS + overflow_ms,
        prefill_ms: (c.prefill_backlog as f64 + to_prefill.max(0.0)) / PREFILL_TOKENS_PER_MS,
        queue_ms: c.queued * QUEUED_MS,
    }
}

fn cost(demand: &Demand, c: &Candidate, expected_ms: f64) -> f64 {
    let target_ms = (demand.latency_target.as_secs_f64() * 1e3).max(1.0);
    let share = expected_ms / target_ms;
    let risk = ((share - SAFE_LATENCY_SHARE) / (1.0 - SAFE_LATENCY_SHARE)).clamp(0.0, 1.0);
    // Cache made by replaced weights is soon useless: it only postpones the prefill with the new weights.
    let reusable = if c.has_old_weights {
        0.0
    } else {
        c.cache_hit_chance
    };
    let recompute = (1.0 - reusable) * f64::from(demand.shared_tokens) / 1e3 * RECOMPUTE_COST_PER_1000;
    let old = if c.has_old_weights { OLD_WEIGHTS_COST } else { 0.0 };
    let connect = if c.is_connected { 0.0 } else { CONNECT_COST };
    LATE_COST * risk
        + WAIT_COST * share
        + recompute
        + TRANSFER_COST[c.distance.min(2)]
        + FAILURE_COST * c.failures
        + old
        + connect
}
