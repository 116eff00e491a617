//! Which engines a request compares on a large deployment.

use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};

use crate::placement::{Candidate, Choice, Decision, Demand, decide};

/// Number of entry hosts from which on a request compares a sample of the engines.
const MIN_HOSTS_TO_SAMPLE: usize = 16;
/// Engines of a session that are always compared: its owner and the second in its order, and the first in its order
/// that is in the host's region.
const OWNERS: usize = 2;
/// Probability of a cache hit from which on an engine is always compared.
const CACHED_CHANCE: f64 = 0.88;
/// Random engines of the host's region that are compared.
const NEAR_SAMPLE: usize = 5;
/// Random engines of other regions that are compared.
const FAR_SAMPLE: usize = 1;
/// Distance of targets in other regions.
const OTHER_REGION: usize = 2;

/// Returns the indexes of the candidates that a request compares; `candidates` start with the engines that own
/// its session. On a large deployment all hosts have the same reports of the engines and would all choose the
/// one that was idle when they were made, so each request compares only the engines that may cache its prompt
/// and a few random ones.
///
/// ```
/// assert!(gateway::sample(&[], true, 300, &mut rand::rng()).is_empty());
/// ```
pub fn sample(candidates: &[Candidate], has_prompt: bool, hosts: usize, rng: &mut impl Rng) -> Vec<usize> {
    let all = 0..candidates.len();
    if !has_prompt || hosts < MIN_HOSTS_TO_SAMPLE {
        return all.collect();
    }
    let is_near = |index: &usize| candidates[*index].distance < OTHER_REGION;
    let region_owner = all.clone().find(is_near);
    let is_owner = |index: &usize| {
        *index < OWNERS
            || Some(*index) == region_owner
            || candidates[*index].cache_hit_chance >= CACHED_CHANCE
    };
    let (mut sample, others): (Vec<_>, Vec<_>) = all.partition(is_owner);
    let (near, far): (Vec<_>, Vec<_>) = others.into_iter().partition(is_near);
    sample.extend(near.sample(rng, NEAR_SAMPLE));
    sample.extend(far.sample(rng, FAR_SAMPLE));
    sample
}

/// Chooses among the sampled candidates, or among all if none of the sample can take the request.
///
/// ```
/// # use gateway::{Decision, Demand, Pace, decide_from};
/// # let demand = Demand { prompt_tokens: 1, shared_tokens: 0, memory: 1, priority: 0,
/// #     latency_target: std::time::Duration::from_secs(1), time_left: std::time::Duration::from_secs(1), pace: Pace::default(),
/// #     gap_target: None, fleet: gateway::FleetEffects::default() };
/// assert_eq!(decide_from(&demand, &[], &[], &mut rand::rng()), Decision::NoCandidate);
/// ```
pub fn decide_from(
    demand: &Demand,
    candidates: &[Candidate],
    sample: &[usize],
    rng: &mut impl Rng,
) -> Decision {
    let sampled: Vec<_> = sample.iter().map(|index| candidates[*index]).collect();
    match decide(demand, &sampled, rng.random()) {
        Decision::Send(choice) => Decision::Send(Choice {
            index: sample[choice.index],
            ..choice
        }),
        _ => decide(demand, candidates, rng.random()),
    }
}
