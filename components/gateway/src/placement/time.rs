//! The expected time to the first token.

use std::time::Duration;

use super::{Candidate, Choice, Demand};
use crate::first_token::TimeParts;

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
/// Round trip times within the failure domain, to another one of the region, and to another region, in
/// milliseconds.
const ROUND_TRIP_MS: [f64; 3] = [0.2, 3.0, 17.0];

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

/// Returns the parts of the expected time to the first token.
pub(super) fn time_parts(demand: &Demand, c: &Candidate) -> TimeParts {
    let round_trip_ms = ROUND_TRIP_MS[c.distance.min(2)];
    let slots = f64::from(c.slots.max(1));
    let factor = c.condition.time_factor;
    if demand.prompt_tokens == 0 {
        let waiting = (c.requests + 1.0 - slots).max(0.0) / slots;
        let busy = c.requests / slots;
        return TimeParts {
            fixed_ms: round_trip_ms + factor * c.latency_ms * (1.0 + 0.3 * busy + waiting),
            ..TimeParts::default()
        };
    }
    let to_prefill = f64::from(demand.prompt_tokens) - c.cache_hit_chance * f64::from(demand.shared_tokens);
    let overflow_ms = (c.requests + 1.0 - slots).max(0.0) * FIRST_TOKEN_MS;
    TimeParts {
        fixed_ms: round_trip_ms + factor * (FIRST_TOKEN_MS + c.requests * DELAY_PER_REQUEST_MS + overflow_ms),
        prefill_ms: factor * (c.prefill_backlog as f64 + to_prefill.max(0.0)) / PREFILL_TOKENS_PER_MS,
        queue_ms: factor * c.queued * QUEUED_MS,
    }
}
