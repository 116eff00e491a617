use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use utils::{Monotonic, rendezvous_score};

use super::capacity::{overload_wait, refusal};
use super::exclusion::{Exclusion, PlacementRules};
use super::limits::{limit_used, take_limit_permit};
use super::other_hosts::OtherHostsLoad;
use super::pipeline::Attempts;
use super::request::Call;
use super::state::{RoutingState, Traffic};
use crate::admission::ShortCapacity;
use crate::cold::ColdPermit;
use crate::freshness::{OldWeightsPolicy, old_weights_policy};
use crate::host::Distance;
use crate::kept::{CachePlan, PlanRequest, RegionStore, region_stores};
use crate::load::Work;
use crate::placement::{Candidate, Choice, Decision, fetch_limit};
use crate::sampling::{decide_from, sample};
use crate::sessions::SessionKey;
use crate::view::View;
use crate::{LimitPermit, PromptShape, Target};

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
    /// Key of the prompt part that later requests share.
    pub session: Option<SessionKey>,
    /// Index and estimates of the chosen candidate.
    pub choice: Choice,
    /// Version of the declarations that decided.
    pub declared: u64,
    /// Estimated resources that the request uses at the target.
    pub work: Work,
    /// Parts that the request fetches from stores and saves to them.
    pub cache: CachePlan,
    /// Permission to send to the target, as far as it is cold.
    pub permit: ColdPermit,
    /// Permission to send to the target, as far as it has named a limit.
    pub limit_permit: LimitPermit,
}

/// Why no target was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PlacementError {
    /// Capacity is short; a retry may succeed after this time.
    NoCapacity(ShortCapacity, Duration),
    /// No target is a candidate. Gives the reason of those that come closest to being one; `None` if none is listed.
    NoTarget(Option<Exclusion>),
    /// All targets are paused; the first pause ends after this time.
    AllPaused(Duration),
}

/// Chooses a target for a request after these attempts. Only the first placement can be refused by the pressure.
pub(crate) fn place(cx: &Traffic, call: &Call, attempts: &Attempts) -> Result<Placed, PlacementError> {
    let view = cx.view.load();
    let mut routing = cx.routing();
    let now = cx.now();
    let cold_quota_used = cx.cold_quota_used(&view, &mut routing, &call.service, now);
    let limit_used = limit_used(&view, &mut routing, &call.service, now);
    let rules = PlacementRules {
        cold_quota_used: &cold_quota_used,
        limit_used: &limit_used,
        now,
        ..cx.placement_rules(&view, &routing.announcements, call, &attempts.tried_targets)
    };
    let context = PlacementContext::new(cx, &view, &routing, call, rules);
    let mut targets = context.targets();
    let session = call.session_key(view.declared.as_deref());
    if let Some(session) = session {
        sort_by_owner(&mut targets, session);
    }
    let mut stored = HashMap::new();
    let owner = session.and_then(|_| targets.first().copied());
    let candidates = targets.iter().enumerate().map(|(position, target)| {
        // Targets with the same weights in the same failure domain have the same stores and the same salt.
        let weights = context.weights_at(target);
        let is_stored = stored.entry((weights, &*target.domain));
        let is_stored = *is_stored.or_insert_with(|| context.is_stored(target, weights));
        let mut chance = context.cache_hit_chance(target, weights, session, position);
        if owner.is_some_and(|owner| context.is_fetchable(target, weights, owner)) {
            chance = chance.max(FETCHED_CHANCE);
        }
        context.candidate(target, weights, is_stored, chance)
    });
    let candidates: Vec<_> = candidates.collect();
    let pace = routing.paces.get(&call.service).copied().unwrap_or_default();
    let demand = call.demand(pace, context.now);
    let sample = sample(
        &candidates,
        demand.prompt_tokens > 0,
        view.host_count(),
        &mut rand::rng(),
    );
    let no_capacity = |reason| PlacementError::NoCapacity(reason, overload_wait(cx, call, &demand));
    // A stream that goes on has been admitted before.
    if attempts.is_first()
        && call.software.is_none()
        && let Some(reason) = refusal(cx, call, &demand, &candidates)
    {
        return Err(no_capacity(reason));
    }
    let choice = match decide_from(&demand, &candidates, &sample) {
        Decision::Send(choice) => choice,
        Decision::AllFull => return Err(no_capacity(ShortCapacity::AllFull)),
        Decision::TooLate => return Err(no_capacity(ShortCapacity::TooLate)),
        Decision::NoCandidate => return Err(context.no_target()),
    };
    let target = targets[choice.index].clone();
    let owner = targets.first().copied().filter(|owner| **owner != target);
    let held = candidates[choice.index].cache_hit_chance * f64::from(demand.shared_tokens);
    let weights = context.weights_at(&target);
    let cache = context.cache_plan(&target, weights, owner, fetch_limit(&demand, &choice));
    let permit = cx.take_cold_permit(&view, &mut routing, &target, now);
    let limit_permit = take_limit_permit(&mut routing, &target, now);
    Ok(Placed {
        cache,
        permit: permit.ok_or(PlacementError::NoTarget(Some(Exclusion::ColdQuotaUsed)))?,
        limit_permit: limit_permit.ok_or(PlacementError::NoTarget(Some(Exclusion::LimitUsed)))?,
        weights,
        session,
        target,
        choice,
        declared: view.declared.as_ref().map_or(0, |declared| declared.version),
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
    /// Decides which targets are candidates.
    rules: PlacementRules<'a>,
    /// Load assumed for other hosts at a target without a report.
    others: OtherHostsLoad,
    /// Memory of an engine of the service, in tokens.
    engine_memory: u64,
    /// Stores of kept cache that targets of each failure domain may use.
    stores: HashMap<&'a str, Vec<RegionStore>>,
    /// Time of the placement.
    now: Monotonic,
}

impl<'a> PlacementContext<'a> {
    fn new(
        cx: &'a Traffic,
        view: &'a View,
        routing: &'a RoutingState,
        call: &'a Call,
        rules: PlacementRules<'a>,
    ) -> Self {
        let targets = view.targets_of(&call.service);
        let mut context = Self {
            cx,
            view,
            routing,
            call,
            rules,
            others: OtherHostsLoad::estimate(routing, targets, view.host_count()),
            engine_memory: engine_memory(view, call),
            stores: HashMap::new(),
            now: rules.now,
        };
        for target in targets {
            let found = context.stores.entry(&target.domain);
            found.or_insert_with(|| usable_stores(view, &context.rules, &target.domain));
        }
        context
    }

    /// Returns why a target is no candidate.
    fn exclusion(&self, target: &Target) -> Option<Exclusion> {
        let old_weights = self.old_weights(self.weights_at(target));
        self.rules.exclusion(target, old_weights)
    }

    /// Returns the candidates. Those that this host pauses after failures are included only if there is no other.
    fn targets(&self) -> Vec<&'a Arc<Target>> {
        let listed = self.view.targets_of(&self.call.service).iter();
        let all: Vec<_> = listed.filter(|target| self.exclusion(target).is_none()).collect();
        let is_paused = |target: &Target| {
            let slot = self.routing.slots.get(&target.run);
            slot.is_some_and(|slot| slot.load.is_paused(self.now))
        };
        let reachable: Vec<_> = all.iter().copied().filter(|target| !is_paused(target)).collect();
        if reachable.is_empty() { all } else { reachable }
    }

    /// Returns why no target is a candidate.
    fn no_target(&self) -> PlacementError {
        let listed = self.view.targets_of(&self.call.service);
        let reason = listed.iter().filter_map(|target| self.exclusion(target)).max();
        // A target outside the allowed regions or in an evacuated domain does not help after its pause.
        let is_paused = |target: &&Arc<Target>| self.exclusion(target) == Some(Exclusion::Paused);
        let paused = listed.iter().filter(is_paused);
        let paused = paused.filter_map(|target| self.rules.pause_left(target));
        match (reason, paused.min()) {
            (Some(Exclusion::Paused), Some(pause)) => PlacementError::AllPaused(pause),
            _ => PlacementError::NoTarget(reason),
        }
    }

    /// Returns the probability that the target's own cache holds the session's part.
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
            queued: load.queued(self.now),
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
        }
    }

    /// Returns the weight version of a target: the one in its record, or a newer one seen in its answers.
    fn weights_at(&self, target: &Target) -> Option<u64> {
        let model = self.call.model()?;
        let slot = self.routing.slots.get(&target.run);
        let observed = slot.and_then(|slot| slot.observed_weights(model));
        target.weights_of(model).max(observed)
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

    fn cache_salt(&self, weights: Option<u64>) -> Option<String> {
        self.call.cache_salt(self.view.declared.as_deref(), weights)
    }

    /// Whether a store in the target's region holds the session's part.
    fn is_stored(&self, target: &Target, weights: Option<u64>) -> bool {
        let (Some(prompt), Some(salt)) = (&self.call.prompt, self.cache_salt(weights)) else {
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
        let (Some(prompt), Some(salt)) = (&self.call.prompt, self.cache_salt(weights)) else {
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

/// Returns the stores of kept cache that a request may use from a failure domain. They are in its region.
fn usable_stores(view: &View, rules: &PlacementRules<'_>, domain: &str) -> Vec<RegionStore> {
    let Some(declared) = &view.declared else {
        return Vec::new();
    };
    let stores = declared.services().filter_map(|service| service.store.as_ref());
    let usable = stores.filter(|store| rules.domain_exclusion(&store.domain).is_none());
    region_stores(usable, domain, |domain| rules.regions.get(domain).cloned())
}

/// Returns the memory of an engine of the call's service, in tokens; unlimited if none is declared.
fn engine_memory(view: &View, call: &Call) -> u64 {
    let declared = view.declared.as_ref();
    let service = declared.and_then(|declared| declared.service(&call.service));
    let engine = service.and_then(|service| service.engine.as_ref());
    engine.map_or(u64::MAX, |engine| engine.memory_tokens)
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
