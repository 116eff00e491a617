use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use errors::events;
use slog::{info, warn};
use utils::{HostId, RegionId};

use super::Control;
use crate::kept::{OLD_WEIGHTS_DROP_DELAY, PartKey, weights_of_salt};
use crate::view::Named;
use crate::{StoreSpec, View, does_alone};

/// Pause between looks at which stores are declared.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait of a store for changes.
const CHANGE_WAIT: Duration = Duration::from_millis(1_000);
/// Pause between questions, so that a busy store is asked for many changes at once.
const ASK_PAUSE: Duration = Duration::from_millis(700);
/// Pause after a store did not answer.
const SILENT_PAUSE: Duration = Duration::from_millis(400);
/// Questions of a store's limit that are left to engines and restarting hosts.
const SPARE_QUESTIONS: usize = 2;
/// Most parts that are dropped with one call.
const MOST_DROPPED: usize = 1_000;

/// Follows the stores that are declared.
pub(crate) async fn follow_stores(control: Arc<Control>) {
    let mut watches: BTreeMap<Arc<str>, smol::Task<()>> = BTreeMap::new();
    let mut seen = Arc::default();
    loop {
        let view = control.traffic.view.load_full();
        if Arc::ptr_eq(&std::mem::replace(&mut seen, view.clone()), &view) {
            smol::Timer::after(LOOK_INTERVAL).await;
            continue;
        }
        let own = &control.traffic.settings.name;
        let declared: Vec<_> = declared_stores(&view).collect();
        let is_declared = |address: &str| declared.iter().any(|store| *store.address == *address);
        control.traffic.kept().retain(is_declared);
        let is_mine = |store: &&StoreSpec| watchers(&control, &view, store).contains(own);
        let stores: Vec<_> = declared.iter().filter(is_mine).cloned().collect();
        watches.retain(|address, _| stores.iter().any(|store| store.address == *address));
        for store in stores {
            let address = store.address.clone();
            let watch = || control.ex.spawn(watch(control.clone(), store));
            watches.entry(address).or_insert_with(watch);
        }
        smol::Timer::after(LOOK_INTERVAL).await;
    }
}

/// Stores that are declared.
pub(super) fn declared_stores(view: &View) -> impl Iterator<Item = StoreSpec> {
    let services = view.declared.iter().flat_map(|declared| declared.services());
    services.filter_map(|service| service.store.clone())
}

/// Region of a store.
pub(super) fn region_of<'a>(control: &'a Control, store: &StoreSpec) -> Option<&'a RegionId> {
    control.traffic.settings.regions.get(&store.domain)
}

/// Hosts that follow a store. It answers a limited number of hosts; the same ones follow all stores of its region and pass on
/// what they hear, so that another host asks one of them about all. They stand in the region if it has enough hosts.
pub(super) fn watchers(control: &Control, view: &View, store: &StoreSpec) -> Vec<HostId> {
    let room = (store.questions as usize).saturating_sub(SPARE_QUESTIONS).max(1);
    let regions = &control.traffic.settings.regions;
    let region = region_of(control, store);
    region.map_or_else(Vec::new, |region| view.hosts_for(regions, region, "kept", room))
}

async fn watch(control: Arc<Control>, store: StoreSpec) {
    let mut run = None;
    loop {
        let is_heard = hear(&control, &store).await;
        let heard = is_heard
            .then(|| control.traffic.kept().store(&store.address).epoch())
            .flatten();
        log_run(&control, &store, std::mem::replace(&mut run, heard), heard);
        if !is_heard {
            control.traffic.kept().store(&store.address).clear();
            smol::Timer::after(SILENT_PAUSE).await;
            continue;
        }
        drop_old(&control, &store).await;
        smol::Timer::after(ASK_PAUSE).await;
    }
}

/// Logs that a store's run has come or gone.
fn log_run(control: &Control, store: &StoreSpec, before: Option<u64>, heard: Option<u64>) {
    let log = &control.traffic.log;
    match heard {
        Some(run) if before != heard => {
            info!(log, "a store of kept cache answers"; events::KEPT_HEARD, "store" => &*store.address,
                "domain" => &*store.domain, "capacity_tokens" => store.capacity_tokens, "run" => run);
        }
        None if before.is_some() => {
            warn!(log, "a store of kept cache is silent"; events::KEPT_LOST, "store" => &*store.address);
        }
        _ => {}
    }
}

/// Asks a store what changed, or for all that it holds; false if it did not answer.
async fn hear(control: &Control, store: &StoreSpec) -> bool {
    let asked_at = control.traffic.now();
    let (next, needs_list) = {
        let mut kept = control.traffic.kept();
        let known = kept.store(&store.address);
        (known.next(), known.needs_list())
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
            .apply_list(list, asked_at, now);
        return true;
    }
    let Ok(changes) = control.stores.changes(&store.address, next, CHANGE_WAIT).await else {
        return false;
    };
    let now = control.traffic.now();
    let mut kept = control.traffic.kept();
    if let Some(clock_ms) = changes.clock_ms {
        kept.record_clock(clock_ms, now);
    }
    kept.store(&store.address).apply_changes(changes, asked_at, now);
    true
}

/// Has the store drop what replaced weights have made, once nobody fetches it any more. One of the hosts that follow it does so.
async fn drop_old(control: &Control, store: &StoreSpec) {
    let view = control.traffic.view.load_full();
    let watchers = watchers(control, &view, store);
    if !does_alone(
        &watchers,
        store.address.as_bytes(),
        &control.traffic.settings.name,
    ) {
        return;
    }
    let old = old_parts(control, &view, store);
    let Some((epoch, old)) = old.filter(|(_, old)| !old.is_empty()) else {
        return;
    };
    if control
        .stores
        .drop_parts(&store.address, epoch, &old)
        .await
        .is_ok()
    {
        info!(control.traffic.log, "dropped cache of old weights"; events::KEPT_DROPPED,
            "store" => &*store.address, "parts" => old.len());
        control.traffic.kept().store(&store.address).record_dropped(&old);
    }
}

/// Parts made by weights that were replaced long enough ago for every host.
fn old_parts(control: &Control, view: &View, store: &StoreSpec) -> Option<(u64, Vec<PartKey>)> {
    let now = control.traffic.now();
    let mut kept = control.traffic.kept();
    let known = kept.store(&store.address);
    let since = known.run_since()?;
    let is_settled = |named: &Named, weights: u64| {
        let replaced_at = named.replaced_at(weights);
        // What was replaced before this host started was so at the latest when it first heard of the store.
        replaced_at.is_some_and(|at| now >= at.unwrap_or(since) + OLD_WEIGHTS_DROP_DELAY)
    };
    let is_old = |key: &&PartKey| {
        view.weights.iter().any(|(model, named)| {
            let weights = weights_of_salt(&key.salt, model);
            weights.is_some_and(|weights| is_settled(named, weights))
        })
    };
    let old = known.parts().filter(is_old).take(MOST_DROPPED).cloned().collect();
    Some((known.epoch()?, old))
}
