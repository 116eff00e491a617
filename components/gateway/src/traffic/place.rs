use std::collections::HashMap;
use std::sync::Arc;

use utils::{Monotonic, TargetId, rendezvous_score};

use super::request::Call;
use super::state::{RoutingState, Traffic};
use crate::freshness::{OldWeights, old_weights};
use crate::host::Distance;
use crate::kept::{CachePlan, PlanRequest, RegionStore, region_stores};
use crate::load::Work;
use crate::placement::{Candidate, Choice, Decision, decide};
use crate::sessions::SessionKey;
use crate::view::View;
use crate::{PromptShape, Target};

/// Memory of a request while this host has none of its own, in tokens.
const DEFAULT_REQUEST_MEMORY: f64 = 4_000.0;
/// What a part that a store of the region holds counts as, against one that the target holds itself.
const STORED_CHANCE: f64 = 0.85;

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
pub(crate) enum PlacementError {
    /// Every target is full.
    AllFull,
    /// There is no target that it may go to.
    NoTarget,
}

/// Chooses a target for a request among those that it was not sent to.
pub(crate) fn place(cx: &Traffic, call: &Call, tried: &[TargetId]) -> Result<Placed, PlacementError> {
    let view = cx.view.load();
    let routing = cx.routing();
    let context = PlacementContext::new(cx, &view, &routing, call);
    let mut targets = context.targets(tried);
    let session = call.session_key();
    if let Some(session) = session {
        sort_by_owner(&mut targets, session);
    }
    let mut stored = HashMap::new();
    let candidates = targets.iter().enumerate().map(|(position, target)| {
        // Targets with the same weights in the same failure domain have the same stores and the same salt.
        let weights = context.weights_at(target);
        let is_stored = stored.entry((weights, &*target.domain));
        let is_stored = *is_stored.or_insert_with(|| context.is_stored(target, weights));
        context.candidate(
            target,
            weights,
            is_stored,
            context.cache_hit_chance(target, weights, session, position),
        )
    });
    let candidates: Vec<_> = candidates.collect();
    let demand = call.demand();
    let choice = match decide(&demand, &candidates, rand::random()) {
        Decision::Send(choice) => choice,
        Decision::AllFull => return Err(PlacementError::AllFull),
        Decision::NoCandidate => return Err(PlacementError::NoTarget),
    };
    let target = targets[choice.index].clone();
    let owner = targets.first().copied().filter(|owner| **owner != target);
    let held = candidates[choice.index].cache_hit_chance * f64::from(demand.shared_tokens);
    let weights = context.weights_at(&target);
    Ok(Placed {
        cache: context.cache_plan(&target, weights, owner),
        weights,
        target,
        choice,
        work: Work {
            memory: demand.memory.into(),
            prefill_tokens: (f64::from(demand.prompt_tokens) - held).max(0.0) as u64,
        },
    })
}

/// What is known for one placement.
struct PlacementContext<'a> {
    /// The traffic thread's state.
    cx: &'a Traffic,
    /// What the host believes.
    view: &'a View,
    /// What the traffic thread knows.
    routing: &'a RoutingState,
    /// The request.
    call: &'a Call,
    /// What other hosts are taken to have at a target.
    others: OtherHostsLoad,
    /// Memory of an engine of the service, in tokens.
    engine_memory: u64,
    /// Stores of kept cache in the region of each failure domain that has targets.
    stores: HashMap<&'a str, Vec<RegionStore>>,
    /// Whether any engine has the newest weights.
    is_rollout_started: bool,
    /// Time.
    now: Monotonic,
}

/// What other hosts are taken to have at a target of which nothing is known: as much as this host has on average.
#[derive(Debug, Clone, Copy)]
struct OtherHostsLoad {
    /// Requests.
    requests: f64,
    /// Memory that each of them takes, in tokens.
    memory: f64,
}

impl<'a> PlacementContext<'a> {
    fn new(cx: &'a Traffic, view: &'a View, routing: &'a RoutingState, call: &'a Call) -> Self {
        let targets = view.targets_of(&call.service);
        let mut context = Self {
            cx,
            view,
            routing,
            call,
            others: other_hosts_load(routing, targets, view.host_count()),
            engine_memory: engine_memory(view, call),
            stores: HashMap::new(),
            is_rollout_started: false,
            now: cx.now(),
        };
        for target in targets {
            let found = context.stores.entry(&target.domain);
            found.or_insert_with(|| stores_in_region(cx, view, &target.domain));
        }
        let newest = call.model().and_then(|model| view.weights.get(model));
        context.is_rollout_started = newest.is_some_and(|named| {
            let newest = Some(named.newest());
            targets.iter().any(|target| context.weights_at(target) >= newest)
        });
        context
    }

    /// Targets that may take the request; those that were not reached lately only if there is no other.
    fn targets(&self, tried: &[TargetId]) -> Vec<&'a Arc<Target>> {
        let is_allowed = |target: &&Arc<Target>| {
            let weights = self.weights_at(target);
            !tried.contains(&target.run) && self.old_weights(weights) != OldWeights::Forbidden
        };
        let listed = self.view.targets_of(&self.call.service).iter();
        let all: Vec<_> = listed.filter(is_allowed).collect();
        let is_paused = |target: &Target| {
            let slot = self.routing.slots.get(&target.run);
            slot.is_some_and(|slot| slot.load.is_paused(self.now))
        };
        let reachable: Vec<_> = all.iter().copied().filter(|target| !is_paused(target)).collect();
        if reachable.is_empty() { all } else { reachable }
    }

    /// Chance that a target holds the session's part itself.
    fn cache_hit_chance(
        &self,
        target: &Target,
        weights: Option<u64>,
        session: Option<SessionKey>,
        position: usize,
    ) -> f64 {
        let session = session.map(|session| session_for_weights(session, weights));
        let sessions = &self.routing.sessions;
        session.map_or(0.0, |session| {
            sessions.cache_hit_chance(session, &target.run, position, self.now)
        })
    }

    fn candidate(&self, target: &Target, weights: Option<u64>, is_stored: bool, chance: f64) -> Candidate {
        let slot = self.routing.slots.get(&target.run);
        let fresh = crate::LoadEstimate::default();
        let load = slot.map_or(&fresh, |slot| &slot.load);
        Candidate {
            distance: match self.cx.settings.distance(&target.domain) {
                Distance::Domain => 0,
                Distance::Region => 1,
                Distance::Far => 2,
            },
            requests: load.requests(self.others.requests, self.now),
            waiting: load.waiting(self.now),
            memory: (
                load.memory(self.others.memory, self.others.requests, self.now),
                self.engine_memory,
            ),
            slots: target.slots,
            prefill_backlog: load.prefill_backlog(),
            cache_hit_chance: if is_stored {
                chance.max(STORED_CHANCE)
            } else {
                chance
            },
            latency_ms: load.latency_ms(),
            failures: load.failures(),
            has_old_weights: self.old_weights(weights) == OldWeights::Avoided,
            is_connected: slot.is_some_and(|slot| slot.is_connected(self.now)),
        }
    }

    /// The version that a target has: what its entry says, or newer if its answers showed so.
    fn weights_at(&self, target: &Target) -> Option<u64> {
        let listed = target.weights_of(self.call.model()?);
        let slot = self.routing.slots.get(&target.run);
        listed.max(slot.and_then(|slot| slot.observed_weights))
    }

    /// How a target with some weights may be used if newer ones were named.
    fn old_weights(&self, weights: Option<u64>) -> OldWeights {
        let named = self.call.model().and_then(|model| self.view.weights.get(model));
        let (Some(named), Some(version)) = (named, weights) else {
            return OldWeights::Allowed;
        };
        let deadline = self.cx.settings.bounds.weights_deadline;
        old_weights(named, version, deadline, self.is_rollout_started, self.now)
    }

    fn stores(&self, target: &Target) -> &[RegionStore] {
        self.stores.get(&*target.domain).map_or(&[], Vec::as_slice)
    }

    /// Whether a store in the target's region holds the session's part.
    fn is_stored(&self, target: &Target, weights: Option<u64>) -> bool {
        let (Some(prompt), Some(salt)) = (&self.call.prompt, self.call.cache_salt(weights)) else {
            return false;
        };
        let has_newest_weights = self.has_newest_weights(prompt, weights);
        has_newest_weights
            && self
                .cx
                .kept()
                .is_stored(prompt, &salt, self.stores(target), self.now)
    }

    /// Whether no newer weights are named than a target has.
    fn has_newest_weights(&self, prompt: &PromptShape, weights: Option<u64>) -> bool {
        let named = self.view.weights.get(&prompt.model);
        named.is_none_or(|named| weights.unwrap_or(0) >= named.newest())
    }

    /// What the request fetches from stores or from the session's home, and what it saves.
    fn cache_plan(&self, target: &Target, weights: Option<u64>, owner: Option<&Arc<Target>>) -> CachePlan {
        let (Some(prompt), Some(salt)) = (&self.call.prompt, self.call.cache_salt(weights)) else {
            return CachePlan::default();
        };
        let region_of = |domain: &str| self.cx.settings.regions.get(domain);
        let is_in_region = |owner: &&Arc<Target>| region_of(&owner.domain) == region_of(&target.domain);
        let owner: Option<Arc<str>> = owner
            .filter(is_in_region)
            .map(|owner| owner.address.to_string().into());
        let req = PlanRequest {
            prompt,
            salt: &salt,
            stores: self.stores(target),
            owner: owner.as_ref(),
            has_newest_weights: self.has_newest_weights(prompt, weights),
        };
        self.cx.kept().plan(&req, self.now)
    }
}

/// Stores of kept cache in the region of a failure domain.
fn stores_in_region(cx: &Traffic, view: &View, domain: &str) -> Vec<RegionStore> {
    let Some(declared) = &view.declared else {
        return Vec::new();
    };
    let stores = declared.services().filter_map(|service| service.store.as_ref());
    region_stores(stores, domain, |domain| cx.settings.regions.get(domain).cloned())
}

/// Memory of an engine of the call's service, in tokens.
fn engine_memory(view: &View, call: &Call) -> u64 {
    let declared = view.declared.as_ref();
    let service = declared.and_then(|declared| declared.service(&call.service));
    let engine = service.and_then(|service| service.engine.as_ref());
    engine.map_or(u64::MAX, |engine| engine.memory_tokens)
}

fn other_hosts_load(routing: &RoutingState, targets: &[Arc<Target>], hosts: usize) -> OtherHostsLoad {
    let slots = targets.iter().filter_map(|target| routing.slots.get(&target.run));
    let (memory, requests) = slots.fold((0, 0), |(memory, requests), slot| {
        (
            memory + slot.load.own_memory(),
            requests + u64::from(slot.load.own_requests()),
        )
    });
    let each = memory as f64 / requests.max(1) as f64;
    OtherHostsLoad {
        requests: requests as f64 / targets.len().max(1) as f64 * hosts.saturating_sub(1) as f64,
        memory: if requests == 0 {
            DEFAULT_REQUEST_MEMORY
        } else {
            each
        },
    }
}

/// A session's cache under one weight version; another version has to read it anew.
pub(crate) fn session_for_weights(session: SessionKey, weights: Option<u64>) -> SessionKey {
    session ^ weights.unwrap_or(0).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// Sorts targets by the order in which they own a session, the same on every host.
fn sort_by_owner(targets: &mut [&Arc<Target>], session: SessionKey) {
    let key = session.to_le_bytes();
    targets.sort_by_cached_key(|target| std::cmp::Reverse(rendezvous_score(&key, &target.instance)));
}
