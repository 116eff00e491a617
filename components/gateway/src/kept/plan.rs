use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use utils::{Monotonic, RegionId, rendezvous_score};

use super::directory::{PartKey, StoreDirectory};
use crate::PromptShape;

/// Time after which a part is saved again if no store has reported it as whole.
const SAVE_RETRY_DELAY: Duration = Duration::from_secs(4);
/// Shortest part that is worth a transfer, in tokens.
const MIN_PART_TOKENS: u32 = 64;
/// Longest time limit of a fetch; after it the engine computes the part.
pub(crate) const FETCH_TIMEOUT: Duration = Duration::from_millis(700);
/// Age up to which the declarations are used for fetches. Covers the longest wait of the platform's store for
/// a change.
pub(super) const MAX_DECLARED_AGE: Duration = Duration::from_millis(4_000);
/// Time after the declaration of new weights from which no host fetches the cache of replaced ones: hosts
/// that have received the declaration do not, nor do hosts whose declarations are too old.
pub(crate) const OLD_WEIGHTS_DROP_DELAY: Duration = Duration::from_millis(700)
    .saturating_add(MAX_DECLARED_AGE)
    .saturating_add(FETCH_TIMEOUT);
/// Saves remembered before expired ones are removed.
const MAX_REMEMBERED_SAVES: usize = 20_000;

/// A store of kept cache, as seen from an engine in its region.
#[derive(Debug, Clone, PartialEq)]
pub struct RegionStore {
    /// The store's address.
    pub address: Arc<str>,
    /// Whether the store is in the engine's failure domain.
    pub is_same_domain: bool,
    /// Tokens that the store can hold.
    pub capacity_tokens: u64,
}

/// Where a request fetches and saves cache, with one entry for each part of its prompt.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CachePlan {
    /// Address of the store or engine that each part is fetched from.
    pub fetch: Vec<Option<Arc<str>>>,
    /// Address of the store that each part is saved to.
    pub save: Vec<Option<Arc<str>>>,
    /// Deadline of the fetches, on the servers' clock in milliseconds.
    pub fetch_until_ms: Option<u64>,
}

/// A request to plan for, with the chosen engine's surroundings.
#[derive(Debug, Clone, Copy)]
pub struct PlanRequest<'a> {
    /// The prompt.
    pub prompt: &'a PromptShape,
    /// Salt of the request's cache.
    pub salt: &'a str,
    /// Stores in the engine's region.
    pub stores: &'a [RegionStore],
    /// Address of an engine in the region that is likely to hold the prompt, if it is not the chosen one.
    pub owner: Option<&'a Arc<str>>,
    /// Whether the engine has the newest weights. Cache made by replaced weights is neither saved nor fetched
    /// from a store, which allows the stores to drop it soon.
    pub has_newest_weights: bool,
    /// Time after which the engine is better off computing the parts than waiting for them.
    pub fetch_limit: Duration,
}

/// This host's cached state of all stores of kept cache.
#[derive(Debug, Default)]
pub struct KeptCache {
    /// Directories of the stores by address.
    stores: HashMap<Arc<str>, StoreDirectory>,
    /// Time of the last save of each part.
    recent_saves: HashMap<PartKey, Monotonic>,
    /// Offset of the servers' clock from this host's, in milliseconds.
    clock_offset_ms: Option<i64>,
    /// Time of the platform's last answer with the declarations.
    declared_confirmed_at: Option<Monotonic>,
}

impl KeptCache {
    /// Returns the directory of a store.
    pub fn store(&mut self, address: &Arc<str>) -> &mut StoreDirectory {
        self.stores.entry(address.clone()).or_default()
    }

    /// Records that this host's declarations were those of the platform's store at time `at`.
    pub fn record_declared(&mut self, at: Monotonic) {
        self.declared_confirmed_at = self.declared_confirmed_at.max(Some(at));
    }

    /// Returns the last time at which this host's declarations were those of the platform's store.
    pub(crate) fn declared_confirmed_at(&self) -> Option<Monotonic> {
        self.declared_confirmed_at
    }

    /// Returns the servers' clock at `now`; `None` before it was first received.
    pub fn clock_ms(&self, now: Monotonic) -> Option<u64> {
        let offset = self.clock_offset_ms?;
        Some((now.as_millis() as i64 + offset).max(0) as u64)
    }

    /// Records the servers' clock.
    pub fn record_clock(&mut self, clock_ms: u64, now: Monotonic) {
        self.clock_offset_ms = Some(clock_ms as i64 - now.as_millis() as i64);
    }

    /// Removes the directories of stores that are no longer declared.
    pub fn retain(&mut self, declared: impl Fn(&str) -> bool) {
        self.stores.retain(|address, _| declared(address));
    }

    /// Whether one of the stores holds the session's part under the salt.
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

    /// Plans what a request fetches and saves. Parts come from a store that holds them whole, else from the
    /// engine that is likely to have them. Parts that no store of the region holds are saved.
    pub fn plan(&mut self, req: &PlanRequest<'_>, now: Monotonic) -> CachePlan {
        let mut plan = CachePlan::default();
        // The last part is unique to the request and is not used again.
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
            plan.fetch_until_ms = self.clock_ms(now + req.fetch_limit.min(FETCH_TIMEOUT));
        }
        plan
    }

    /// Returns a store to fetch a part from. Without the servers' clock a fetch has no deadline, and with old
    /// declarations the host may not have received a replacement of the weights; both rule out a fetch.
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

    /// Chooses the store that a part is saved to, by rendezvous hash weighted with the capacity. Stores in
    /// the engine's failure domain come first. Hosts with the same state choose the same store.
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

/// Returns the store's score for a part in rendezvous hashing weighted by capacity.
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

/// Returns the stores in the region of a failure domain.
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
