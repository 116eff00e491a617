use std::sync::Arc;
use std::time::Duration;

use policy::{CacheAware, PlacementRequest, Placer};
use targets::{PIECE_TOKENS, PieceId};
use utils::{TargetId, rendezvous_score};

use crate::host::{Host, model};
use crate::options::{PIECE_BYTES, PREFILL_TOKENS_PER_SECOND, Strategy};
use crate::trace::Request;
use crate::world::World;

/// Expected wait at which affinity falls back to the next owner, in seconds.
const FALLBACK_WAIT_SECONDS: f64 = 1.0;

/// Maximum expected time until the first token of a placement.
const TIME_LEFT: Duration = Duration::from_secs(600);

/// A placement: the target of a prompt and the pieces that it reads from stores first.
#[derive(Debug, Clone, Default)]
pub(crate) struct Choice {
    /// Index of the target.
    pub(crate) target: usize,
    /// Leading pieces expected in the target's cache.
    pub(crate) resident: usize,
    /// Pieces to read from the store of the target's region, then from the store of the other region.
    pub(crate) fetches: [usize; 2],
    /// Expected duration of the transfers, in seconds.
    pub(crate) fetch_seconds: f64,
    /// Prompt tokens that the target is expected to process.
    pub(crate) prefill_tokens: u64,
}

/// Input of a placement decision.
pub(crate) struct DecisionInput<'a> {
    /// Request to place.
    pub(crate) req: &'a Request,
    /// Full pieces of its prompt.
    pub(crate) pieces: &'a [PieceId],
    /// Targets that have failed the request.
    pub(crate) excluded: &'a [usize],
    /// Time of the decision, in seconds.
    pub(crate) now: f64,
}

/// Places a request with a strategy. Returns `None` if the strategy finds no usable target.
pub(crate) fn choose(
    strategy: Strategy,
    input: &DecisionInput<'_>,
    host: &mut Host,
    world: &mut World,
) -> Option<Choice> {
    match strategy {
        Strategy::CacheAware => cache_aware(input, host, world),
        Strategy::Oracle => oracle(input, host.region, world),
        _ => baseline(strategy, input, host, world),
    }
}

fn cache_aware(input: &DecisionInput<'_>, host: &mut Host, world: &World) -> Option<Choice> {
    host.refresh(input.now);
    let placer = CacheAware::new(Arc::new(host.directory.view()));
    let excluded: Vec<TargetId> = input
        .excluded
        .iter()
        .map(|n| host.view.targets[host.keys[*n]].id.clone())
        .collect();
    let [first_token_weight, recomputed_weight, link_weight] = world.sizes.weights;
    let req = PlacementRequest {
        workspace: &world.workspaces[input.req.workspace],
        model: &model(),
        weight_version: world.version,
        pieces: input.pieces,
        prompt_tokens: input.req.tokens,
        region: &world.regions[host.region],
        excluded: &excluded,
        time_left: TIME_LEFT,
        first_token_weight,
        recomputed_weight,
        link_weight,
        seed: input.req.seed,
    };
    let now = Duration::from_secs_f64(input.now);
    let chosen = placer.place(&host.view, &req, &|_| true, now).chosen?;
    let remote = chosen.fetches.iter().filter(|f| f.crosses_regions).count();
    let resident = match chosen.fetches.first() {
        Some(first) => input.pieces.iter().position(|p| *p == first.piece)?,
        None => (chosen.cost.resident_tokens / PIECE_TOKENS) as usize,
    };
    Some(Choice {
        target: host.keys.iter().position(|key| *key == chosen.key)?,
        resident,
        fetches: [chosen.fetches.len() - remote, remote],
        fetch_seconds: chosen.cost.fetch_seconds,
        prefill_tokens: (chosen.cost.prefill_seconds * PREFILL_TOKENS_PER_SECOND) as u64,
    })
}

fn baseline(strategy: Strategy, input: &DecisionInput<'_>, host: &mut Host, world: &World) -> Option<Choice> {
    host.refresh(input.now);
    let usable = |n: &usize| {
        let candidate = &host.view.targets[host.keys[*n]];
        candidate.state == policy::TargetState::Live && !input.excluded.contains(n)
    };
    let mut live: Vec<usize> = (0..host.keys.len()).filter(usable).collect();
    let wait = |n: &usize| {
        let candidate = &host.view.targets[host.keys[*n]];
        let age = input.now - candidate.reported_at.as_secs_f64();
        let queued = (candidate.queued_prompt_tokens as f64 - age * PREFILL_TOKENS_PER_SECOND).max(0.0);
        (queued + candidate.sent_since_tokens as f64) / PREFILL_TOKENS_PER_SECOND
    };
    let root = input.pieces[0];
    let score = |n: &usize| rendezvous_score(root.as_bytes(), &host.view.targets[host.keys[*n]].id);
    let target = match strategy {
        Strategy::Random => live.get(input.req.seed as usize % live.len().max(1)).copied(),
        Strategy::LeastLoaded => {
            let start = input.req.seed as usize % live.len().max(1);
            live.rotate_left(start);
            live.iter().min_by(|a, b| wait(a).total_cmp(&wait(b))).copied()
        }
        Strategy::Affinity => live.iter().max_by_key(|n| score(n)).copied(),
        _ => {
            live.sort_by_key(|n| std::cmp::Reverse(score(n)));
            let available = live.iter().find(|n| wait(n) < FALLBACK_WAIT_SECONDS);
            available
                .or_else(|| live.iter().min_by(|a, b| wait(a).total_cmp(&wait(b))))
                .copied()
        }
    }?;
    let fetched = match strategy {
        Strategy::AffinityStore => consecutive_stored(
            world,
            world.engines[target].region,
            input.pieces,
            0,
            input.pieces.len(),
        ),
        _ => 0,
    };
    let resident = world.engines[target].cache.cached_prefix(input.pieces);
    let fetched = fetched.saturating_sub(resident);
    Some(Choice {
        target,
        resident,
        fetches: [fetched, 0],
        fetch_seconds: fetched as f64 * PIECE_BYTES as f64
            / world.sizes.store_rate[world.engines[target].region],
        prefill_tokens: u64::from(input.req.tokens) - ((resident + fetched) as u64 * u64::from(PIECE_TOKENS)),
    })
}

/// Chooses the cheapest combination of target and number of transferred pieces, from the true state.
fn oracle(input: &DecisionInput<'_>, region: usize, world: &mut World) -> Option<Choice> {
    let now = Duration::from_secs_f64(input.now);
    let budget_left = [world.budgets[0].left(now), world.budgets[1].left(now)];
    let mut best: Option<(f64, Choice)> = None;
    for target in 0..world.engines.len() {
        if input.excluded.contains(&target) || !world.is_reachable(region, target) {
            continue;
        }
        let engine = &world.engines[target];
        let text_bytes = if engine.region == region {
            0
        } else {
            u64::from(input.req.tokens) * 4
        };
        if budget_left[region] < text_bytes {
            continue;
        }
        let resident = engine.cache.cached_prefix(input.pieces);
        let local = consecutive_stored(world, engine.region, input.pieces, resident, input.pieces.len());
        let other = 1 - engine.region;
        let affordable = (budget_left[other].saturating_sub(text_bytes) / PIECE_BYTES) as usize;
        let is_cut = world.links[other].rate <= 0.0;
        let remote = if is_cut {
            0
        } else {
            consecutive_stored(world, other, input.pieces, resident + local, affordable)
        };
        for fetched in 0..=local + remote {
            let fetches = [fetched.min(local), fetched.saturating_sub(local)];
            let (cost, choice) = exact_cost(input, region, world, target, resident, fetches);
            if best.as_ref().is_none_or(|(best_cost, _)| cost < *best_cost) {
                best = Some((cost, choice));
            }
        }
    }
    best.map(|(_, choice)| choice)
}

/// Returns the cost and the placement of a prompt at a target with given transfers, from the true state.
fn exact_cost(
    input: &DecisionInput<'_>,
    region: usize,
    world: &World,
    target: usize,
    resident: usize,
    fetches: [usize; 2],
) -> (f64, Choice) {
    let engine = &world.engines[target];
    let other = 1 - engine.region;
    let text_bytes = if engine.region == region {
        0
    } else {
        u64::from(input.req.tokens) * 4
    };
    let link = &world.links[other];
    let seconds = |count: usize, rate: f64, delay: f64| match count {
        0 => 0.0,
        _ => delay + count as f64 * PIECE_BYTES as f64 / rate,
    };
    let reads = &world.stores[engine.region].reads;
    let local = seconds(fetches[0], reads.rate, reads.delay(input.now));
    let remote = seconds(fetches[1], link.rate, link.delay(input.now));
    let text_link = &world.links[region];
    let text_seconds = if text_bytes == 0 {
        0.0
    } else {
        text_link.delay(input.now) + text_bytes as f64 / text_link.rate
    };
    let fetch_seconds = local.max(remote).max(text_seconds);
    let covered = (resident + fetches[0] + fetches[1]) as u64 * u64::from(PIECE_TOKENS);
    let prefill_tokens = u64::from(input.req.tokens) - covered;
    let computed = input
        .pieces
        .iter()
        .take_while(|p| world.computed.contains(*p))
        .count() as u64;
    let recomputed = (computed * u64::from(PIECE_TOKENS)).saturating_sub(covered);
    let queue = engine.wait(input.now) + engine.pending;
    let first_token = queue.max(fetch_seconds) + prefill_tokens as f64 / PREFILL_TOKENS_PER_SECOND;
    let link_bytes = text_bytes + fetches[1] as u64 * PIECE_BYTES;
    let [first_token_weight, recomputed_weight, link_weight] = world.sizes.weights;
    let cost = first_token * first_token_weight
        + recomputed as f64 / 1e3 * recomputed_weight
        + link_bytes as f64 / 1e6 * link_weight;
    let choice = Choice {
        target,
        resident,
        fetches,
        fetch_seconds,
        prefill_tokens,
    };
    (cost, choice)
}

/// Returns the number of consecutive pieces from index `from` on that a store holds, at most `max`.
fn consecutive_stored(world: &World, region: usize, pieces: &[PieceId], from: usize, max: usize) -> usize {
    let store = &world.stores[region];
    if !store.is_up {
        return 0;
    }
    pieces
        .iter()
        .skip(from)
        .take(max)
        .take_while(|p| store.contents.contains_key(*p))
        .count()
}
