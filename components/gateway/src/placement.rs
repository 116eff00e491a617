use std::time::Duration;

use serde::Serialize;

/// Prompt tokens that an engine reads in a millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 80.0;
/// Time from an idle engine's first look at a read prompt to its first token, in milliseconds.
const FIRST_TOKEN_MS: f64 = 45.0;
/// Time by which each running request delays the others' tokens and reads, in milliseconds.
const DELAY_PER_REQUEST_MS: f64 = 2.0;
/// Time until a waiting request's prompt is read, in milliseconds.
const WAITING_MS: f64 = 50.0;
/// Cost of reading a thousand tokens again, against an average request's worth.
const RECOMPUTE_COST_PER_1000: f64 = 0.25;
/// Share of the latency target at which an answer is not yet at risk to be late.
const SAFE_LATENCY_SHARE: f64 = 0.4;
/// Cost of an answer that is sure to be late.
const LATE_COST: f64 = 0.8;
/// Cost of each latency target of waiting, however early the answer is.
const WAIT_COST: f64 = 0.3;
/// Cost of an answer made by weights that have been replaced: the part of its worth that is lost, and a little more.
const OLD_WEIGHTS_COST: f64 = 0.25;
/// Cost of a failure.
const FAILURE_COST: f64 = 1.0;
/// Costs of carrying a request and its answer to another failure domain and to another region.
const TRANSFER_COST: [f64; 3] = [0.0, 0.02, 0.08];
/// Cost of opening a connection.
const CONNECT_COST: f64 = 0.05;
/// Round trips to the same failure domain, another one of the region, and another region, in milliseconds.
const ROUND_TRIP_MS: [f64; 3] = [0.2, 3.0, 17.0];

/// Share of an engine's memory that requests of each rank may fill: the less urgent leave room for the urgent.
const MEMORY_FILL_BY_PRIORITY: [f64; 3] = [1.1, 0.95, 0.85];
/// Requests that may wait at an engine before one of each rank goes there.
const MAX_WAITING_BY_PRIORITY: [f64; 3] = [8.0, 2.0, 0.7];
/// Requests that have to wait somewhere before any is refused for want of room.
const MIN_WAITING_TO_REFUSE: f64 = 1.0;

/// What a request needs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// Tokens of its prompt, 0 for a plain request.
    pub prompt_tokens: u32,
    /// Tokens of its prompt that a target may hold already.
    pub shared_tokens: u32,
    /// Tokens of an engine's memory that it takes until its end.
    pub memory: u32,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Time within which its answer is worth most.
    pub latency_target: Duration,
}

/// A target that may take a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// 0 in the host's failure domain, 1 in its region, 2 elsewhere.
    pub distance: usize,
    /// Requests that it is thought to have.
    pub requests: f64,
    /// Requests that wait there for their turn.
    pub waiting: f64,
    /// Memory that is thought to be taken, and all of it, in tokens.
    pub memory: (f64, u64),
    /// Requests that it runs at once.
    pub slots: u32,
    /// Prompt tokens that it reads first.
    pub prefill_backlog: u64,
    /// Chance that it holds the shared part of the prompt.
    pub cache_hit_chance: f64,
    /// Average time to an answer, in milliseconds.
    pub latency_ms: f64,
    /// Share of its answers that are failures.
    pub failures: f64,
    /// Whether newer weights have been named than it has.
    pub has_old_weights: bool,
    /// Whether a connection to it waits for a request.
    pub is_connected: bool,
}

/// The candidate that was chosen, and why.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize)]
pub struct Choice {
    /// Index of the candidate.
    pub index: usize,
    /// Its cost against an average request's worth.
    pub cost: f64,
    /// Expected time to the first byte, in milliseconds.
    pub expected_ms: f64,
}

/// What placement decides.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Decision {
    /// Send it there.
    Send(Choice),
    /// No engine has room for a request of this rank; it would wait and make others late.
    AllFull,
    /// There is no candidate.
    NoCandidate,
}

/// Chooses a candidate for a request, or refuses it.
///
/// Answers overload: with fewer engines or more requests than usual their memory fills, prompts wait, kept prompts yield
/// and are read again, and everything is late. Requests that find no room are refused at once, the least urgent first; they
/// are refused only while requests are known to wait.
pub fn decide(demand: &Demand, candidates: &[Candidate], tie_break: f64) -> Decision {
    let fits = |c: &Candidate| has_room(demand, c);
    if demand.prompt_tokens == 0 || candidates.iter().any(fits) {
        let allowed: Vec<bool> = candidates
            .iter()
            .map(|c| demand.prompt_tokens == 0 || fits(c))
            .collect();
        return choose(demand, candidates, &allowed, tie_break).map_or(Decision::NoCandidate, Decision::Send);
    }
    let waiting: f64 = candidates.iter().map(|c| c.waiting).sum();
    if waiting >= MIN_WAITING_TO_REFUSE {
        return Decision::AllFull;
    }
    let all = vec![true; candidates.len()];
    choose(demand, candidates, &all, tie_break).map_or(Decision::NoCandidate, Decision::Send)
}

fn has_room(demand: &Demand, c: &Candidate) -> bool {
    let priority = usize::from(demand.priority).min(MEMORY_FILL_BY_PRIORITY.len() - 1);
    let (taken, all) = c.memory;
    let fits = taken + f64::from(demand.memory) <= all as f64 * MEMORY_FILL_BY_PRIORITY[priority];
    fits && c.waiting <= MAX_WAITING_BY_PRIORITY[priority]
}

/// Chooses the candidate that costs least: the risk of a late answer, prompt tokens read again, what is carried between
/// failure domains, failures and replaced weights, all against an average request's worth. `draw` from 0 to 1 breaks ties,
/// so that hosts with equal views don't all choose the same target.
fn choose(demand: &Demand, candidates: &[Candidate], allowed: &[bool], tie_break: f64) -> Option<Choice> {
    let spread = candidates.len().max(1);
    let allowed = candidates.iter().enumerate().filter(|(index, _)| allowed[*index]);
    let costs = allowed.map(|(index, candidate)| {
        let expected_ms = expected_ms(demand, candidate);
        let shift = (index + (tie_break * spread as f64) as usize) % spread;
        let cost = cost(demand, candidate, expected_ms) + 1e-4 * shift as f64;
        Choice {
            index,
            cost,
            expected_ms,
        }
    });
    costs.min_by(|a, b| a.cost.total_cmp(&b.cost))
}

fn expected_ms(demand: &Demand, c: &Candidate) -> f64 {
    let round_trip_ms = ROUND_TRIP_MS[c.distance.min(2)];
    let slots = f64::from(c.slots.max(1));
    if demand.prompt_tokens == 0 {
        let waiting = (c.requests + 1.0 - slots).max(0.0) / slots;
        let busy = c.requests / slots;
        return round_trip_ms + c.latency_ms * (1.0 + 0.3 * busy + waiting);
    }
    let to_prefill = f64::from(demand.prompt_tokens) - c.cache_hit_chance * f64::from(demand.shared_tokens);
    let prefill_ms = (c.prefill_backlog as f64 + to_prefill.max(0.0)) / PREFILL_TOKENS_PER_MS;
    let overflow_ms = (c.requests + 1.0 - slots).max(0.0) * FIRST_TOKEN_MS;
    round_trip_ms
        + FIRST_TOKEN_MS
        + prefill_ms
        + c.waiting * WAITING_MS
        + c.requests * DELAY_PER_REQUEST_MS
        + overflow_ms
}

fn cost(demand: &Demand, c: &Candidate, expected_ms: f64) -> f64 {
    let target_ms = (demand.latency_target.as_secs_f64() * 1e3).max(1.0);
    let share = expected_ms / target_ms;
    let risk = ((share - SAFE_LATENCY_SHARE) / (1.0 - SAFE_LATENCY_SHARE)).clamp(0.0, 1.0);
    // What replaced weights hold is lost soon; reading the prompt with the new ones is only put off.
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
