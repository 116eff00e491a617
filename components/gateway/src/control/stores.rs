use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use errors::events;
use slog::{info, warn};
use utils::{HostId, RegionId};

use super::Control;
use crate::kept::{AbandonedScopes, OLD_WEIGHTS_DROP_DELAY, PartKey, weights_of_salt};
use crate::weights_history::{Replacement, WeightsHistory};
use crate::{StoreSpec, View, is_sole_owner};

/// Interval between checks of the declared stores.
const VIEW_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait of a store for changes.
const MAX_CHANGE_WAIT: Duration = Duration::from_millis(1_000);
/// Pause between polls, which batches the changes of a busy store into few answers.
const POLL_PAUSE: Duration = Duration::from_millis(700);
/// Pause after a failed poll of a store.
const FAILURE_PAUSE: Duration = Duration::from_millis(400);
/// Polls within a store's limit that are reserved for engines and restarting hosts.
const RESERVED_POLLS: usize = 2;
/// Most parts that are dropped with one call.
const MAX_DROPPED_PARTS: usize = 1_000;

/// Follows the declared stores that this host watches.
pub(crate) async fn follow_stores(control: Arc<Control>) {
    let mut watches: BTreeMap<Arc<str>, smol::Task<()>> = BTreeMap::new();
    let mut seen = Arc::default();
    loop {
        let view = control.traffic.view.load_full();
        if Arc::ptr_eq(&std::mem::replace(&mut seen, view.clone()), &view) {
            smol::Timer::after(VIEW_CHECK_INTERVAL).await;
            continue;
        }
        let own = &control.traffic.settings.name;
        let declared: Vec<_> = declared_stores(&view).collect();
        let is_declared = |address: &str| declared.iter().any(|store| *store.address == *address);
        control.traffic.kept().retain(is_declared);
        let is_watched = |store: &&StoreSpec| watchers(&control, &view, store).contains(own);
        let stores: Vec<_> = declared.iter().filter(is_watched).cloned().collect();
        watches.retain(|address, _| stores.iter().any(|store| store.address == *address));
        for store in stores {
            let address = store.address.clone();
            let watch = || control.ex.spawn(watch(control.clone(), store));
            watches.entry(address).or_insert_with(watch);
        }
        smol::Timer::after(VIEW_CHECK_INTERVAL).await;
    }
}

/// Returns the declared stores.
pub(super) fn declared_stores(view: &View) -> impl Iterator<Item = StoreSpec> {
    let services = view.declared.iter().flat_map(|declared| declared.services());
    services.filter_map(|service| service.store.clone())
}

/// Returns the region of a store.
pub(super) fn region_of<'a>(control: &'a Control, store: &StoreSpec) -> Option<&'a RegionId> {
    control.traffic.settings.regions.get(&store.domain)
}

/// Returns the hosts that follow a store. A store answers a limited number of polls, so the same hosts follow
/// all stores of a region and forward their changes; any other host queries one of them for the whole region.
/// They are hosts of the region if it has enough.
pub(super) fn watchers(control: &Control, view: &View, store: &StoreSpec) -> Vec<HostId> {
    let limit = (store.concurrent_polls as usize)
        .saturating_sub(RESERVED_POLLS)
        .max(1);
    let regions = &control.traffic.settings.regions;
    let region = region_of(control, store);
    region.map_or_else(Vec::new, |region| view.hosts_for(regions, region, "kept", limit))
}

async fn watch(control: Arc<Control>, store: StoreSpec) {
    let mut run = None;
    let mut abandoned = AbandonedScopes::default();
    loop {
        let is_answered = poll(&control, &store).await;
        let current = is_answered
            .then(|| control.traffic.kept().store(&store.address).epoch())
            .flatten();
        log_run_change(&control, &store, std::mem::replace(&mut run, current), current);
        if !is_answered {
            control.traffic.kept().store(&store.address).clear();
            smol::Timer::after(FAILURE_PAUSE).await;
            continue;
        }
        drop_outdated(&control, &store, &mut abandoned).await;
        smol::Timer::after(POLL_PAUSE).await;
    }
}

/// Logs the start of a store's run and the loss of a store.
fn log_run_change(control: &Control, store: &StoreSpec, before: Option<u64>, current: Option<u64>) {
    let log = &control.traffic.log;
    match current {
        Some(run) if before != current => {
            info!(log, "store of kept cache answers"; events::KEPT_STORE_AVAILABLE,
                "store" => &*store.address, "domain" => &*store.domain,
                "capacity_tokens" => store.capacity_tokens, "run" => run);
        }
        None if before.is_some() => {
            warn!(log, "store of kept cache does not answer"; events::KEPT_STORE_UNAVAILABLE,
                "store" => &*store.address);
        }
        _ => {}
    }
}

/// Polls a store for changes, or for the list of its content. Returns false if it did not answer.
async fn poll(control: &Control, store: &StoreSpec) -> bool {
    let sent_at = control.traffic.now();
    let (next, needs_list) = {
        let mut kept = control.traffic.kept();
        let cached = kept.store(&store.address);
        (cached.next(), cached.needs_list())
    };
    if needs_list {
        let Ok(list) = control.stores.list(&store.address).await else {
            return false;
        };
        let now = control.traffic.now();
        control
            .traffic
            .kept()
            .store(&store.address)
            .apply_list(list, sent_at, now);
        return true;
    }
    let Ok(changes) = control
        .stores
        .changes(&store.address, next, MAX_CHANGE_WAIT)
        .await
    else {
        return false;
    };
    let now = control.traffic.now();
    let mut kept = control.traffic.kept();
    if let Some(clock_ms) = changes.clock_ms {
        kept.record_clock(clock_ms, now);
    }
    kept.store(&store.address).apply_changes(changes, sent_at, now);
    true
}

/// Drops parts made by replaced weights, or in scopes that no request uses, from a store once no host fetches them any
/// more. Only one of the hosts that follow the store does so.
async fn drop_outdated(control: &Control, store: &StoreSpec, abandoned: &mut AbandonedScopes) {
    let view = control.traffic.view.load_full();
    let watchers = watchers(control, &view, store);
    if !is_sole_owner(
        &watchers,
        store.address.as_bytes(),
        &control.traffic.settings.name,
    ) {
        return;
    }
    let outdated = outdated_parts(control, &view, store, abandoned);
    let Some((epoch, outdated)) = outdated.filter(|(_, outdated)| !outdated.is_empty()) else {
        return;
    };
    if control
        .stores
        .drop_parts(&store.address, epoch, &outdated)
        .await
        .is_ok()
    {
        info!(control.traffic.log, "dropped kept cache that no request uses"; events::KEPT_CACHE_DROPPED,
            "store" => &*store.address, "parts" => outdated.len());
        control
            .traffic
            .kept()
            .store(&store.address)
            .record_dropped(&outdated);
    }
}

/// Returns the parts made by weights that were replaced, or in scopes that were abandoned, long enough ago for every host,
/// with the run of the store.
fn outdated_parts(
    control: &Control,
    view: &View,
    store: &StoreSpec,
    abandoned: &mut AbandonedScopes,
) -> Option<(u64, Vec<PartKey>)> {
    let now = control.traffic.now();
    let mut kept = control.traffic.kept();
    let declared_at = kept.declared_confirmed_at();
    let cached = kept.store(&store.address);
    let since = cached.run_since()?;
    let salts = cached.parts().map(|part| &*part.salt);
    abandoned.update(salts, view.declared.as_ref()?.isolated(), declared_at, now);
    let is_settled = |history: &WeightsHistory, weights: u64| match history.replacement(weights, now) {
        Replacement::Current => false,
        Replacement::Since(age) => age >= OLD_WEIGHTS_DROP_DELAY,
        // Weights replaced before this host started were replaced at the latest when it first polled the
        // store successfully.
        Replacement::SinceUnknown => now >= since + OLD_WEIGHTS_DROP_DELAY,
    };
    let has_old_weights = |key: &PartKey| {
        view.weights.iter().any(|(model, history)| {
            let weights = weights_of_salt(&key.salt, model);
            weights.is_some_and(|weights| is_settled(history, weights))
        })
    };
    let is_outdated = |key: &&PartKey| has_old_weights(key) || abandoned.may_drop(&key.salt, now);
    let outdated = cached
        .parts()
        .filter(is_outdated)
        .take(MAX_DROPPED_PARTS)
        .cloned()
        .collect();
    Some((cached.epoch()?, outdated))
}
