use std::sync::Arc;

use utils::{TargetId, rendezvous_score};

use super::pipeline::Call;
use super::state::{Known, Traffic};
use crate::Target;
use crate::freshness::{OldWeights, old_weights};
use crate::host::Distance;
use crate::kept::{CachePlan, PlanRequest};
use crate::load::Work;
use crate::placement::{Candidate, Choice, Decision, decide};
use crate::sessions::SessionKey;
use crate::view::View;
use crate::weights::run_id;

/// What a part that a store of the region holds counts as, against one that the target holds itself.
const KEPT_CHANCE: f64 = 0.85;

/// Memory of a request while this host has none of its own, in tokens.
const TYPICAL_MEMORY: f64 = 4_000.0;

/// Where a request goes.
pub(crate) struct Placed {
    /// The target.
    pub target: Arc<Target>,
    /// Weight version that the target is thought to have.
    pub weights: Option<u64>,
    /// Why it was chosen.
    pub choice: Choice,
    /// What it takes of the target, as far as is known.
    pub work: Work,
    /// Kept cache to use.
    pub cache: CachePlan,
}

/// Why a request has no place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NoPlace {
    /// Every target is full.
    Full,
    /// There is no target that it may go to.
    Nobody,
}

/// Chooses a target for a request among those that it was not sent to.
pub(crate) fn place(cx: &Traffic, call: &Call, tried: &[TargetId]) -> Result<Placed, NoPlace> {
    let view = cx.view.load();
    let known = cx.known();
    let now = cx.now();
    let usable = |target: &&Arc<Target>| !tried.contains(&run_id(target));
    let all: Vec<&Arc<Target>> = view.targets_of(&call.service).iter().filter(usable).collect();
    let is_paused = |target: &Arc<Target>| {
        let slot = known.slots.get(&run_id(target));
        slot.is_some_and(|slot| slot.load.is_paused(now))
    };
    let mut targets: Vec<_> = all.iter().copied().filter(|t| !is_paused(t)).collect();
    if targets.is_empty() {
        targets = all.clone();
    }
    let session = call.session_key();
    let engine = engine_memory(&view, call);
    let others = others_of(&known, &all, view.host_count());
    if let Some(session) = session {
        rank(&mut targets, session);
    }
    let old = old_weights_use(cx, &known, &view, call, now);
    let mut candidates = Vec::with_capacity(targets.len());
    for (position, target) in targets.iter().enumerate() {
        let candidate = candidate(
            cx,
            &known,
            &view,
            call,
            target,
            session.map(|s| (s, position)),
            others,
            now,
        );
        let taken = known
            .slots
            .get(&run_id(target))
            .map_or(0.0, |slot| slot.load.memory(others.memory, others.requests, now));
        let candidate = Candidate {
            memory: (taken, engine),
            ..candidate
        };
        candidates.push(candidate);
    }
    match old {
        OldWeights::Allowed => candidates.iter_mut().for_each(|c| c.has_old_weights = false),
        OldWeights::Avoided => {}
        OldWeights::Forbidden => {
            let fresh: Vec<_> = candidates.iter().map(|c| !c.has_old_weights).collect();
            retain_by(&mut targets, &fresh);
            retain_by(&mut candidates, &fresh);
        }
    }
    let choice = match decide(&call.demand(), &candidates, rand::random()) {
        Decision::Send(choice) => choice,
        Decision::Full => return Err(NoPlace::Full),
        Decision::Nobody => return Err(NoPlace::Nobody),
    };
    let target = targets[choice.index].clone();
    let candidate = candidates[choice.index];
    let demand = call.demand();
    let held = candidate.resident * f64::from(demand.shared_tokens);
    let weights = weights_at(&known, &target, call);
    drop(known);
    let home = targets
        .first()
        .copied()
        .filter(|home| home.instance != target.instance);
    let cache = cache_plan(cx, &view, call, &target, weights, home);
    Ok(Placed {
        weights,
        cache,
        target,
        choice,
        work: Work {
            memory: demand.memory.into(),
            reading: (f64::from(demand.tokens) - held).max(0.0) as u64,
        },
    })
}

/// Memory of an engine of the call's service, in tokens.
fn engine_memory(view: &View, call: &Call) -> u64 {
    let service = view
        .declared
        .as_ref()
        .and_then(|declared| declared.service(&call.service));
    let engine = service.and_then(|service| service.engine.as_ref());
    engine.map_or(u64::MAX, |engine| engine.memory_tokens)
}

/// What other hosts are taken to have at a target of which nothing is known: as much as this host has on average.
#[derive(Debug, Clone, Copy)]
struct Others {
    /// Requests.
    requests: f64,
    /// Memory that each of them takes, in tokens.
    memory: f64,
}

fn others_of(known: &Known, targets: &[&Arc<Target>], hosts: usize) -> Others {
    let loads = targets
        .iter()
        .filter_map(|target| known.slots.get(&run_id(target)));
    let (memory, requests) = loads.fold((0, 0), |(memory, requests), slot| {
        (
            memory + slot.load.own_memory(),
            requests + u64::from(slot.load.own()),
        )
    });
    Others {
        requests: requests as f64 / targets.len().max(1) as f64 * hosts.saturating_sub(1) as f64,
        memory: if requests == 0 {
            TYPICAL_MEMORY
        } else {
            memory as f64 / requests as f64
        },
    }
}

/// What the request fetches from stores or from the session's home, and what it saves.
fn cache_plan(
    cx: &Traffic,
    view: &View,
    call: &Call,
    target: &Target,
    weights: Option<u64>,
    home: Option<&Arc<Target>>,
) -> CachePlan {
    let (Some(prompt), Some(salt)) = (&call.prompt, call.cache_salt(weights)) else {
        return CachePlan::default();
    };
    let region_of = |domain: &str| cx.settings.regions.get(domain);
    let is_near = |home: &&Arc<Target>| region_of(&home.domain) == region_of(&target.domain);
    let home: Option<Arc<str>> = home.filter(is_near).map(|home| home.address.to_string().into());
    let named = view.weights.get(&prompt.model).map_or(0, |named| named.version);
    let req = PlanRequest {
        prompt,
        salt: &salt,
        stores: &cx.stores_near(view, target),
        home: home.as_ref(),
        is_saving: weights.unwrap_or(0) >= named,
    };
    let now = cx.now();
    cx.kept().plan(&req, now)
}

fn candidate(
    cx: &Traffic,
    known: &Known,
    view: &View,
    call: &Call,
    target: &Arc<Target>,
    session: Option<(SessionKey, usize)>,
    others: Others,
    now: utils::Monotonic,
) -> Candidate {
    let id = run_id(target);
    let load = known
        .slots
        .get(&id)
        .map(|slot| slot.load.clone())
        .unwrap_or_default();
    let named = call.model().and_then(|model| view.weights.get(model));
    let weights = weights_at(known, target, call);
    let chance = session.map_or(0.0, |(session, rank)| {
        known.sessions.chance(versioned(session, weights), &id, rank, now)
    });
    let resident = if is_kept(cx, view, known, call, target) {
        chance.max(KEPT_CHANCE)
    } else {
        chance
    };
    Candidate {
        distance: match cx.settings.distance(&target.domain) {
            Distance::Domain => 0,
            Distance::Region => 1,
            Distance::Far => 2,
        },
        requests: load.requests(others.requests, now),
        waiting: load.waiting(now),
        memory: (0.0, u64::MAX),
        slots: target.slots,
        reading: load.reading(),
        resident,
        latency_ms: load.latency_ms(),
        failures: load.failures(),
        has_old_weights: named.is_some_and(|named| weights.is_some_and(|version| version < named.version)),
    }
}

/// Whether a store in the target's region holds the session's part.
fn is_kept(cx: &Traffic, view: &View, known: &Known, call: &Call, target: &Target) -> bool {
    let salt = call.cache_salt(weights_at(known, target, call));
    let (Some(prompt), Some(salt)) = (&call.prompt, salt) else {
        return false;
    };
    cx.kept().is_kept(prompt, &salt, &cx.stores_near(view, target))
}

/// How the engines of the call's model may be used that have not got the newest weights.
fn old_weights_use(
    cx: &Traffic,
    known: &Known,
    view: &View,
    call: &Call,
    now: utils::Monotonic,
) -> OldWeights {
    let Some(named) = call.model().and_then(|model| view.weights.get(model)) else {
        return OldWeights::Allowed;
    };
    let mut engines = view.targets_of(&call.service).iter();
    let is_under_way = engines.any(|target| weights_at(known, target, call) >= Some(named.version));
    old_weights(named, cx.settings.bounds.weights_deadline, is_under_way, now)
}

/// The version that a target has: what its entry says, or newer if its answers showed so.
fn weights_at(known: &Known, target: &Target, call: &Call) -> Option<u64> {
    let listed = target.weights_of(call.model()?);
    let seen = known
        .slots
        .get(&run_id(target))
        .and_then(|slot| slot.seen_weights);
    listed.max(seen)
}

/// A session's cache under one weight version; another version has to read it anew.
pub(crate) fn versioned(session: SessionKey, weights: Option<u64>) -> SessionKey {
    session ^ weights.unwrap_or(0).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// Sorts targets by the order in which they own a session, the same on every host.
fn rank(targets: &mut [&Arc<Target>], session: SessionKey) {
    let key = session.to_le_bytes();
    targets.sort_by_cached_key(|target| std::cmp::Reverse(rendezvous_score(&key, &target.instance)));
}

fn retain_by<T>(list: &mut Vec<T>, keep: &[bool]) {
    let mut keep = keep.iter();
    list.retain(|_| keep.next().copied().unwrap_or(false));
}
