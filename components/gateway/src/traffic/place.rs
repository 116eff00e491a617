use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use utils::{Monotonic, TargetId, rendezvous_score};

use super::request::Call;
use super::state::{RoutingState, Traffic};
use crate::freshness::{OldWeightsPolicy, old_weights_policy};
use crate::host::Distance;
use crate::kept::{CachePlan, PlanRequest, RegionStore, region_stores};
use crate::load::{OtherHostsLoad, Work, average_others};
use crate::placement::{Candidate, Choice, Decision, Demand, FleetEffects, fetch_limit, spread_for};
use crate::sampling::{decide_from, sample};
use crate::sessions::{OwnerRank, SessionKey};
use crate::view::View;
use crate::{PromptShape, Target};

/// Value of a part that a store of the region holds, relative to one in the target's own cache; used as a
/// cache hit probability.
const STORED_CHANCE: f64 = 0.85;
/// Value of a part that the session's owner may hold and that the target can fetch from it.
const FETCHED_CHANCE: f64 = 0.55;

/// The target chosen for a request, with the plan for its cache.
pub(crate) struct Placed {
    /// The target.
    pub target: Arc<Target>,
    /// Weight version that the target is expected to have.
    pub weights: Option<u64>,
    /// Index and estimates of the chosen candidate.
    pub choice: Choice,
    /// Estimated resources that the request uses at the target.
    pub work: Work,
    /// Parts that the request fetches from stores and saves to them.
    pub cache: CachePlan,
}

/// Why no target was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PlacementError {
    /// No target has room.
    AllFull,
    /// No target is expected to begin before the request's deadline.
    TooLate,
    /// No target is allowed for the request.
    NoTarget,
    /// All targets are paused; the first pause ends after this time.
    AllPaused(Duration),
}

/// Chooses a target for a request, without the targets in `tried`.
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
    let owner = session.and_then(|_| targets.first().copied());
    let first_near = targets.iter().position(|target| context.is_near(target));
    let candidates = targets.iter().enumerate().map(|(position, target)| {
        // Targets with the same weights in the same failure domain have the same stores and the same salt.
        let weights = context.weights_at(target);
        let is_stored = stored.entry((weights, &*target.domain));
        let is_stored = *is_stored.or_insert_with(|| context.is_stored(target, weights));
        let mut chance =
            context.cache_hit_chance(target, weights, session, OwnerRank::new(position, first_near));
        if owner.is_some_and(|owner| context.is_fetchable(target, weights, owner)) {
            chance = chance.max(FETCHED_CHANCE);
        }
        context.candidate(target, weights, is_stored, chance)
    });
    let candidates: Vec<_> = candidates.collect();
    let pace = routing.paces.get(&call.service).copied().unwrap_or_default();
    let demand = Demand {
        fleet: context.fleet_effects(),
        ..call.demand(pace, context.now)
    };
    let mut rng = rand::rng();
    let has_prompt = demand.prompt_tokens > 0;
    let sample = sample(&candidates, has_prompt, view.host_count(), &mut rng);
    let choice = match decide_from(&demand, &candidates, &sample, &mut rng) {
        Decision::Send(choice) => choice,
        Decision::AllFull => return Err(PlacementError::AllFull),
        Decision::TooLate => return Err(PlacementError::TooLate),
        Decision::NoCandidate => return Err(context.no_target()),
    };
    let target = targets[choice.index].clone();
    let owner = targets.first().copied().filter(|owner| **owner != target);
    let held = candidates[choice.index].cache_hit_chance * f64::from(demand.shared_tokens);
    let weights = context.weights_at(&target);
    Ok(Placed {
        cache: context.cache_plan(&target, weights, owner, fetch_limit(&demand, &choice)),
        weights,
        target,
        choice,
        work: Work {
            memory: demand.memory.into(),
            prefill_tokens: (f64::from(demand.prompt_tokens) - held).max(0.0) as u64,
        },
    })
}

/// The state that one placement is based on.
struct PlacementContext<'a> {
    /// The traffic thread's state.
    cx: &'a Traffic,
    /// The host's view.
    view: &'a View,
    /// Connections, loads and sessions of the traffic thread.
    routing: &'a RoutingState,
    /// The request.
    call: &'a Call,
    /// Load assumed for other hosts at a target without a report.
    others: OtherHostsLoad,
    /// Memory of an engine of the service, in tokens.
    engine_memory: u64,
    /// Stores of kept cache in the region of each failure domain that has targets.
    stores: HashMap<&'a str, Vec<RegionStore>>,
    /// Time of the placement.
    now: Monotonic,
}

impl<'a> PlacementContext<'a> {
    fn new(cx: &'a Traffic, view: &'a View, routing: &'a RoutingState, call: &'a Call) -> Self {
        let targets = view.targets_of(&call.service);
        let mut context = Self {
            cx,
            view,
            routing,
            call,
            others: other_hosts_load(routing, targets, view.host_count(), cx.now()),
            engine_memory: engine_memory(view, call),
            stores: HashMap::new(),
            now: cx.now(),
        };
        for target in targets {
            let found = context.stores.entry(&target.domain);
            found.or_insert_with(|| stores_in_region(cx, view, &target.domain));
        }
        context
    }

    /// Returns the targets that may receive the request. Paused targets are included only if there is no
    /// other; those that want no requests never are.
    fn targets(&self, tried: &[TargetId]) -> Vec<&'a Arc<Target>> {
        let is_allowed = |target: &&Arc<Target>| {
            let weights = self.weights_at(target);
            let may_send = self.routing.announcements.may_send(&target.run, self.now);
            may_send
                && !tried.contains(&target.run)
                && self.old_weights(weights) != OldWeightsPolicy::Forbidden
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

    /// Returns why no target is allowed.
    fn no_target(&self) -> PlacementError {
        let listed = self.view.targets_of(&self.call.service);
        let announcements = &self.routing.announcements;
        if listed
            .iter()
            .any(|target| announcements.may_send(&target.run, self.now))
        {
            return PlacementError::NoTarget;
        }
        let pauses = listed
            .iter()
            .filter_map(|target| announcements.pause_left(&target.run, self.now));
        pauses
            .min()
            .map_or(PlacementError::NoTarget, PlacementError::AllPaused)
    }

    /// Returns the probability that the target's own cache holds the session's part.
    fn cache_hit_chance(
        &self,
        target: &Target,
        weights: Option<u64>,
        session: Option<SessionKey>,
        rank: OwnerRank,
    ) -> f64 {
        let session = session.map(|session| session_for_weights(session, weights));
        let sessions = &self.routing.sessions;
        session.map_or(0.0, |session| {
            sessions.cache_hit_chance(session, &target.run, rank, self.now)
        })
    }

    fn is_near(&self, target: &Target) -> bool {
        self.cx.settings.distance(&target.domain) != Distance::OtherRegion
    }

    /// Whether the target can fetch the session's part from the session's owner: an engine of the same region
    /// with the same weights.
    fn is_fetchable(&self, target: &Target, weights: Option<u64>, owner: &Target) -> bool {
        let region_of = |domain: &str| self.cx.settings.regions.get(domain);
        region_of(&owner.domain) == region_of(&target.domain) && self.weights_at(owner) == weights
    }

    fn candidate(&self, target: &Target, weights: Option<u64>, is_stored: bool, chance: f64) -> Candidate {
        let slot = self.routing.slots.get(&target.run);
        let fresh = crate::LoadEstimate::default();
        let load = slot.map_or(&fresh, |slot| &slot.load);
        Candidate {
            distance: match self.cx.settings.distance(&target.domain) {
                Distance::SameDomain => 0,
                Distance::SameRegion => 1,
                Distance::OtherRegion => 2,
            },
            requests: load.requests(self.others.requests, self.now),
            waiting: load.waiting(self.now),
            queued: load.queued(self.others.queued, self.now),
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
            has_old_weights: self.old_weights(weights) == OldWeightsPolicy::Avoided,
            is_connected: slot.is_some_and(|slot| slot.is_connected(self.now)),
            condition: slot.map_or_else(Default::default, |slot| slot.speed.condition(self.now)),
        }
    }

    fn fleet_effects(&self) -> FleetEffects {
        let (hosts, bytes) = (self.view.host_count(), self.call.transfer_bytes());
        FleetEffects {
            link_cost: self.routing.link.cost(bytes, hosts, self.now),
            spread: spread_for(hosts),
        }
    }

    /// Returns the weight version of a target: the one in its record, or a newer one seen in its answers.
    fn weights_at(&self, target: &Target) -> Option<u64> {
        let listed = target.weights_of(self.call.model()?);
        let slot = self.routing.slots.get(&target.run);
        listed.max(slot.and_then(|slot| slot.observed_weights))
    }

    /// Returns how a target with these weights may be used when newer ones have been declared.
    fn old_weights(&self, weights: Option<u64>) -> OldWeightsPolicy {
        let named = self.call.model().and_then(|model| self.view.weights.get(model));
        let (Some(named), Some(version)) = (named, weights) else {
            return OldWeightsPolicy::Allowed;
        };
        let deadline = self.cx.settings.bounds.weights_deadline;
        old_weights_policy(named, version, deadline, self.now)
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

    /// Whether no newer weights than the target's have been declared.
    fn has_newest_weights(&self, prompt: &PromptShape, weights: Option<u64>) -> bool {
        let named = self.view.weights.get(&prompt.model);
        named.is_none_or(|named| weights.unwrap_or(0) >= named.newest())
    }

    /// Plans what the request fetches from stores or from the session's owner, and what it saves.
    fn cache_plan(
        &self,
        target: &Target,
        weights: Option<u64>,
        owner: Option<&Arc<Target>>,
        fetch_limit: Duration,
    ) -> CachePlan {
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
            fetch_limit,
        };
        self.cx.kept().plan(&req, self.now)
    }
}

/// Returns the stores of kept cache in the region of a failure domain.
fn stores_in_region(cx: &Traffic, view: &View, domain: &str) -> Vec<RegionStore> {
    let Some(declared) = &view.declared else {
        return Vec::new();
    };
    let stores = declared.services().filter_map(|service| service.store.as_ref());
    region_stores(stores, domain, |domain| cx.settings.regions.get(domain).cloned())
}

/// Returns the memory of an engine of the call's service, in tokens; unlimited if none is declared.
fn engine_memory(view: &View, call: &Call) -> u64 {
    let declared = view.declared.as_ref();
    let service = declared.and_then(|declared| declared.service(&call.service));
    let engine = service.and_then(|service| service.engine.as_ref());
    engine.map_or(u64::MAX, |engine| engine.memory_tokens)
}

fn other_hosts_load(
    routing: &RoutingState,
    targets: &[Arc<Target>],
    hosts: usize,
    now: Monotonic,
) -> OtherHostsLoad {
    let slots = targets.iter().filter_map(|target| routing.slots.get(&target.run));
    average_others(slots.map(|slot| &slot.load), targets.len(), hosts, now)
}

/// Derives the key of a session's cache under one weight version. Another version has to compute the cache
/// again.
pub(crate) fn session_for_weights(session: SessionKey, weights: Option<u64>) -> SessionKey {
    session ^ weights.unwrap_or(0).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// Sorts targets by rendezvous hash, the owner of the session first. The order is the same on every host.
fn sort_by_owner(targets: &mut [&Arc<Target>], session: SessionKey) {
    let key = session.to_le_bytes();
    targets.sort_by_cached_key(|target| std::cmp::Reverse(rendezvous_score(&key, &target.instance)));
}
