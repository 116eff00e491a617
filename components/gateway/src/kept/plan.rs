use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use utils::{Monotonic, RegionId, rendezvous_score};

use super::directory::{PartKey, StoreDirectory};
use crate::PromptShape;

/// Time after which a save that was not reported whole is tried again.
const SAVE_RETRY_DELAY: Duration = Duration::from_secs(4);
/// Shortest part that is worth a transfer.
const MIN_PART_TOKENS: u32 = 64;
/// Longest time for a fetch to end; the prompt is read instead after it.
pub(crate) const FETCH_TIMEOUT: Duration = Duration::from_millis(700);
/// Age up to which what is declared is relied upon for fetches. Covers the longest wait of the platform's store for a change.
const MAX_DECLARED_AGE: Duration = Duration::from_millis(4_000);
/// Time after weights were named after which nobody fetches any more what older ones have made: hosts that know of the new ones
/// don't, nor do those that have not heard from the platform's store for so long.
pub(crate) const OLD_WEIGHTS_DROP_DELAY: Duration = Duration::from_millis(700)
    .saturating_add(MAX_DECLARED_AGE)
    .saturating_add(FETCH_TIMEOUT);
/// Saves remembered before old ones are forgotten.
const MAX_REMEMBERED_SAVES: usize = 20_000;

/// A store as it is declared.
#[derive(Debug, Clone, PartialEq)]
pub struct RegionStore {
    /// Its address.
    pub address: Arc<str>,
    /// Whether it stands in the engine's failure domain.
    pub is_same_domain: bool,
    /// Tokens that it holds.
    pub capacity_tokens: u64,
}

/// What a request fetches and saves; one entry for each part of its prompt.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CachePlan {
    /// Where each part is fetched from.
    pub fetch: Vec<Option<Arc<str>>>,
    /// Where each part is saved.
    pub save: Vec<Option<Arc<str>>>,
    /// Until when a fetch may take, on the servers' clock in milliseconds.
    pub fetch_until_ms: Option<u64>,
}

/// A request for which a plan is made.
#[derive(Debug, Clone, Copy)]
pub struct PlanRequest<'a> {
    /// Its prompt.
    pub prompt: &'a PromptShape,
    /// Its salt.
    pub salt: &'a str,
    /// Stores in the engine's region.
    pub stores: &'a [RegionStore],
    /// An engine in the region that is likely to hold the prompt, if it is not the one chosen.
    pub owner: Option<&'a Arc<str>>,
    /// Whether the engine has the newest weights; what replaced weights made is neither saved nor fetched from a store, so that
    /// it can be dropped soon.
    pub has_newest_weights: bool,
}

/// What this host knows of all stores.
#[derive(Debug, Default)]
pub struct KeptCache {
    /// Directories by address.
    stores: HashMap<Arc<str>, StoreDirectory>,
    /// When saves were asked for.
    recent_saves: HashMap<PartKey, Monotonic>,
    /// The servers' clock less the own one, in milliseconds.
    clock_offset_ms: Option<i64>,
    /// When the platform's store last answered what is declared.
    declared_confirmed_at: Option<Monotonic>,
}

impl KeptCache {
    /// The directory of a store.
    pub fn store(&mut self, address: &Arc<str>) -> &mut StoreDirectory {
        self.stores.entry(address.clone()).or_default()
    }

    /// The platform's store has answered what is declared.
    pub fn record_declared(&mut self, now: Monotonic) {
        self.declared_confirmed_at = Some(now);
    }

    /// The servers' clock at a moment, if it was heard of.
    pub fn clock_ms(&self, now: Monotonic) -> Option<u64> {
        let offset = self.clock_offset_ms?;
        Some((now.as_millis() as i64 + offset).max(0) as u64)
    }

    /// Takes the servers' clock.
    pub fn record_clock(&mut self, clock_ms: u64, now: Monotonic) {
        self.clock_offset_ms = Some(clock_ms as i64 - now.as_millis() as i64);
    }

    /// Forgets the stores that are not declared any more.
    pub fn retain(&mut self, declared: impl Fn(&str) -> bool) {
        self.stores.retain(|address, _| declared(address));
    }

    /// Whether a store of the list holds the session's part, made by weights that are the newest.
    pub fn is_stored(
        &self,
        prompt: &PromptShape,
        salt: &str,
        stores: &[RegionStore],
        now: Monotonic,
    ) -> bool {
        let Some(part) = prompt.session() else {
            return false;
        };
        let key = key_of(salt, &part.id);
        self.store_with(&key, stores, now).is_some()
    }

    /// What a request fetches and saves. Parts come from a store that holds them whole, else from the engine that is
    /// likely to have them; what no store of the region holds is saved.
    pub fn plan(&mut self, req: &PlanRequest<'_>, now: Monotonic) -> CachePlan {
        let mut plan = CachePlan::default();
        // The last part is the request's own and does not return.
        let shared = req.prompt.parts.len().saturating_sub(1);
        for (i, part) in req.prompt.parts.iter().enumerate() {
            let is_worth_transfer = i < shared && part.tokens >= MIN_PART_TOKENS;
            let key = key_of(req.salt, &part.id);
            let found = self
                .store_with(&key, req.stores, now)
                .filter(|_| req.has_newest_weights);
            let found = found.cloned();
            let is_stored = found.is_some();
            let fetch = found.or_else(|| req.owner.cloned()).filter(|_| is_worth_transfer);
            let save = (is_worth_transfer && !is_stored && req.has_newest_weights)
                .then(|| self.choose_store(&key, req.stores, now));
            plan.fetch.push(fetch);
            plan.save.push(save.flatten());
        }
        if plan.fetch.iter().any(Option::is_some) {
            plan.fetch_until_ms = self.clock_ms(now + FETCH_TIMEOUT);
        }
        plan
    }

    /// A store from which a part may be fetched: without the servers' clock a fetch could not be bounded, and a host that has not
    /// heard lately what is declared may not know that weights were replaced.
    fn store_with<'a>(
        &self,
        key: &PartKey,
        stores: &'a [RegionStore],
        now: Monotonic,
    ) -> Option<&'a Arc<str>> {
        let is_declared_fresh = self
            .declared_confirmed_at
            .is_some_and(|at| now < at + MAX_DECLARED_AGE);
        if !is_declared_fresh || self.clock_offset_ms.is_none() {
            return None;
        }
        let holds = |store: &&RegionStore| {
            self.stores
                .get(&store.address)
                .is_some_and(|directory| directory.holds(key, now))
        };
        let found = stores
            .iter()
            .filter(holds)
            .max_by_key(|store| store.is_same_domain);
        found.map(|store| &store.address)
    }

    /// The store for a part: near the engine, by capacity, the same on every host.
    fn choose_store(&mut self, key: &PartKey, stores: &[RegionStore], now: Monotonic) -> Option<Arc<str>> {
        if self
            .recent_saves
            .get(key)
            .is_some_and(|at| now < *at + SAVE_RETRY_DELAY)
        {
            return None;
        }
        let has_room = |store: &&RegionStore| {
            let directory = self.stores.get(&store.address);
            directory.is_some_and(|directory| {
                directory.accepts_saves(now) && directory.tokens() < store.capacity_tokens
            })
        };
        let near = stores
            .iter()
            .filter(|store| store.is_same_domain)
            .filter(has_room);
        let any = stores.iter().filter(has_room);
        let store_weight = |store: &&RegionStore| weight(key, store);
        let by_weight = |a: &&RegionStore, b: &&RegionStore| store_weight(a).total_cmp(&store_weight(b));
        let found = near.max_by(by_weight).or_else(|| any.max_by(by_weight))?;
        let address = found.address.clone();
        if self.recent_saves.len() >= MAX_REMEMBERED_SAVES {
            self.recent_saves.retain(|_, at| now < *at + SAVE_RETRY_DELAY);
        }
        self.recent_saves.insert(key.clone(), now);
        Some(address)
    }
}

/// Rendezvous hashing by capacity.
fn weight(key: &PartKey, store: &RegionStore) -> f64 {
    let score = rendezvous_score(key.id.as_bytes(), &store.address);
    let unit = (score as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    store.capacity_tokens as f64 / -unit.ln()
}

fn key_of(salt: &str, id: &str) -> PartKey {
    PartKey {
        salt: salt.into(),
        id: id.into(),
    }
}

/// Stores in the region of an engine.
pub(crate) fn region_stores<'a>(
    stores: impl Iterator<Item = &'a crate::StoreSpec>,
    domain: &str,
    region_of: impl Fn(&str) -> Option<RegionId>,
) -> Vec<RegionStore> {
    let region = region_of(domain);
    stores
        .filter(|store| region_of(&store.domain) == region)
        .map(|store| RegionStore {
            address: store.address.clone(),
            is_same_domain: *store.domain == *domain,
            capacity_tokens: store.capacity_tokens,
        })
        .collect()
}
