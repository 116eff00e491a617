//! The choice among candidates by their costs.

use super::cost::cost;
use super::time::time_parts;
use super::{Candidate, Choice, Demand};

/// Number of entry hosts from which on a choice is spread over candidates of similar cost.
const MIN_HOSTS_TO_SPREAD: usize = 16;
/// Difference of costs by which a candidate is chosen less often by a factor of e on a large deployment. About the cost
/// of 80 recomputed tokens: sessions stay with their owners, and candidates that differ by less than the error of the
/// estimates share the requests.
const SPREAD: f64 = 0.02;
/// Costs higher than the lowest by this multiple of the spread are never chosen.
const MAX_SPREADS: f64 = 8.0;

/// Returns the spread of the choices on a deployment with this number of hosts. Few hosts have different reports and
/// choose the lowest cost; many have the same reports and would all choose the same target.
///
/// ```
/// assert_eq!(gateway::spread_for(9), 0.0);
/// assert!(gateway::spread_for(82) > 0.0);
/// ```
pub fn spread_for(hosts: usize) -> f64 {
    if hosts < MIN_HOSTS_TO_SPREAD { 0.0 } else { SPREAD }
}

/// Chooses a candidate by its cost. `draw`, from 0 to 1, decides between candidates of similar cost, as hosts with the
/// same view would all choose the same target otherwise.
pub(super) fn choose(
    demand: &Demand,
    candidates: &[Candidate],
    allowed: &[bool],
    draw: f64,
) -> Option<Choice> {
    let allowed = candidates.iter().enumerate().filter(|(index, _)| allowed[*index]);
    let choices: Vec<_> = allowed.map(|(index, c)| evaluate(demand, index, c)).collect();
    match demand.fleet.spread > 0.0 {
        true => draw_by_cost(&choices, demand.fleet.spread, draw),
        false => lowest_cost(&choices, candidates.len(), draw),
    }
}

fn evaluate(demand: &Demand, index: usize, candidate: &Candidate) -> Choice {
    let parts = time_parts(demand, candidate);
    let expected_ms = demand.pace.expected_ms(&parts);
    Choice {
        index,
        cost: cost(demand, candidate, expected_ms),
        expected_ms,
        parts,
    }
}

/// Returns the choice with the lowest cost; `draw` decides between equal ones.
fn lowest_cost(choices: &[Choice], candidates: usize, draw: f64) -> Option<Choice> {
    let shifted = choices.iter().map(|choice| {
        let shift = (choice.index + (draw * candidates as f64) as usize) % candidates;
        Choice {
            cost: choice.cost + 1e-4 * shift as f64,
            ..*choice
        }
    });
    shifted.min_by(|a, b| a.cost.total_cmp(&b.cost))
}

/// Draws a choice with a weight that falls exponentially with its cost.
fn draw_by_cost(choices: &[Choice], spread: f64, draw: f64) -> Option<Choice> {
    let lowest = choices.iter().map(|choice| choice.cost).min_by(f64::total_cmp)?;
    let weight = |choice: &Choice| {
        let spreads = (choice.cost - lowest) / spread;
        if spreads > MAX_SPREADS {
            0.0
        } else {
            (-spreads).exp()
        }
    };
    let mut left = draw * choices.iter().map(weight).sum::<f64>();
    let drawn = choices.iter().find(|choice| {
        left -= weight(choice);
        left < 0.0
    });
    let cheapest = || choices.iter().min_by(|a, b| a.cost.total_cmp(&b.cost));
    drawn.or_else(cheapest).copied()
}
