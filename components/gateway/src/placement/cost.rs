//! The cost of a candidate, in units of an average request's value.

use super::{Candidate, Demand};

/// Cost of recomputing a thousand tokens, in units of an average request's value.
const RECOMPUTE_COST_PER_1000: f64 = 0.25;
/// Share of the latency target up to which an answer has no risk of being late.
const SAFE_LATENCY_SHARE: f64 = 0.4;
/// Cost of an answer that is certain to be late.
const LATE_COST: f64 = 0.8;
/// Cost of an expected time as long as the latency target; proportional, also for answers in time.
const WAIT_COST: f64 = 0.3;
/// Cost of a stream that is certain to have a gap longer than its route's target.
const LATE_GAP_COST: f64 = 0.4;
/// Share of an engine's memory from which a request may cause the preemption of running ones. A lower share made
/// requests leave their session's owner and prefill more (`docs/design/load-balancing.md`).
const SAFE_MEMORY_FILL: f64 = 0.85;
/// Cost of a request that fills the memory.
const PREEMPTION_COST: f64 = 0.2;
/// Cost of an answer by replaced weights: the share of its value that is lost, plus a small margin.
const OLD_WEIGHTS_COST: f64 = 0.25;
/// Cost of a failed request.
const FAILURE_COST: f64 = 1.0;
/// Costs of sending a request and its answer within the failure domain, to another failure domain of the
/// region, and to another region.
const TRANSFER_COST: [f64; 3] = [0.0, 0.02, 0.08];
/// Cost of opening a connection.
const CONNECT_COST: f64 = 0.05;

/// Returns the cost of a candidate: the risk of a late answer, recomputed prompt tokens, transfers between failure
/// domains, failures and replaced weights.
pub(super) fn cost(demand: &Demand, c: &Candidate, expected_ms: f64) -> f64 {
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
        + transfer_cost(demand, c)
        + FAILURE_COST * c.failures
        + old
        + connect
        + gap_cost(demand, c)
}

/// Returns the cost of late gaps: the risk that the stream of the request itself has one, and the streams that the
/// engine preempts for it when its memory is nearly full.
fn gap_cost(demand: &Demand, c: &Candidate) -> f64 {
    if demand.prompt_tokens == 0 {
        return 0.0;
    }
    let own = demand
        .gap_target
        .map_or(0.0, |_| LATE_GAP_COST * c.condition.late_gaps);
    let (taken, all) = c.memory;
    let fill = (taken + f64::from(demand.memory)) / (all as f64).max(1.0);
    own + PREEMPTION_COST * ((fill - SAFE_MEMORY_FILL) / (1.0 - SAFE_MEMORY_FILL)).clamp(0.0, 1.0)
}

fn transfer_cost(demand: &Demand, c: &Candidate) -> f64 {
    let distance = c.distance.min(2);
    let link_cost = if distance == 2 {
        demand.fleet.link_cost
    } else {
        0.0
    };
    TRANSFER_COST[distance] + link_cost
}
