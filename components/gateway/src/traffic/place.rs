use std::sync::Arc;

use utils::{TargetId, rendezvous_score};

use super::pipeline::Call;
use super::state::{Known, Traffic};
use crate::host::Distance;
use crate::placement::{Candidate, Choice, choose};
use crate::sessions::SessionKey;
use crate::view::View;
use crate::weights::run_id;
use crate::Target;

/// Where a request goes.
pub(crate) struct Placed {
    /// The target.
    pub target: Arc<Target>,
    /// Weight version that the target is thought to have.
    pub weights: Option<u64>,
    /// Why it was chosen.
    pub choice: Choice,
    /// Prompt tokens that it has to read, as far as is known.
    pub tokens: u64,
}

/// Chooses a target for a request among those that it was not sent to; `None` if there is none.
pub(crate) fn place(cx: &Traffic, call: &Call, tried: &[TargetId]) -> Option<Placed> {
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
        targets = all;
    }
    let session = call.session_key();
    if let Some(session) = session {
        rank(&mut targets, session);
    }
    let late = call.is_old_weights_forbidden(&view, cx.settings.bounds.weights_deadline, now);
    let mut candidates = Vec::with_capacity(targets.len());
    for (position, target) in targets.iter().enumerate() {
        let candidate = candidate(cx, &known, &view, call, target, session.map(|s| (s, position)), now);
        candidates.push(candidate);
    }
    if late {
        let fresh: Vec<_> = candidates.iter().map(|c| !c.has_old_weights).collect();
        retain_by(&mut targets, &fresh);
        retain_by(&mut candidates, &fresh);
    }
    let choice = choose(&call.demand(), &candidates, rand::random())?;
    let target = targets[choice.index].clone();
    let candidate = candidates[choice.index];
    let demand = call.demand();
    let held = candidate.resident * f64::from(demand.shared_tokens);
    Some(Placed {
        weights: weights_at(&known, &target, call),
        target,
        choice,
        tokens: (f64::from(demand.tokens) - held).max(0.0) as u64,
    })
}

fn candidate(
    cx: &Traffic,
    known: &Known,
    view: &View,
    call: &Call,
    target: &Arc<Target>,
    session: Option<(SessionKey, usize)>,
    now: utils::Monotonic,
) -> Candidate {
    let id = run_id(target);
    let load = known.slots.get(&id).map(|slot| slot.load.clone()).unwrap_or_default();
    let resident = session.map_or(0.0, |(session, rank)| known.sessions.chance(session, &id, rank, now));
    let named = call.model().and_then(|model| view.weights.get(model));
    let weights = weights_at(known, target, call);
    Candidate {
        distance: match cx.settings.distance(&target.domain) {
            Distance::Domain => 0,
            Distance::Region => 1,
            Distance::Far => 2,
        },
        requests: load.requests(now),
        slots: target.slots,
        reading: load.reading(),
        resident,
        latency_ms: load.latency_ms(),
        failures: load.failures(),
        has_old_weights: named.is_some_and(|named| weights.is_some_and(|version| version < named.version)),
    }
}

/// The version that a target has: what its entry says, or newer if its answers showed so.
fn weights_at(known: &Known, target: &Target, call: &Call) -> Option<u64> {
    let listed = target.weights_of(call.model()?);
    let seen = known.slots.get(&run_id(target)).and_then(|slot| slot.seen_weights);
    listed.max(seen)
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
