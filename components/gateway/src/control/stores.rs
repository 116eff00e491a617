use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use slog::info;

use super::Control;
use crate::kept::{PartKey, weights_of_salt};
use crate::{StoreSpec, View};

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
/// Time after which nothing that old weights have made can be under way any more.
const OLD_WEIGHTS_REST: Duration = Duration::from_secs(4);
/// Most parts that are dropped with one call.
const MOST_DROPPED: usize = 200;

/// Follows the stores that are declared.
pub(crate) async fn follow_stores(control: Arc<Control>) {
    let mut watches: BTreeMap<Arc<str>, smol::Task<()>> = BTreeMap::new();
    loop {
        let view = control.traffic.view.load_full();
        let stores = watched(&control, &view);
        watches.retain(|address, _| stores.iter().any(|store| store.address == *address));
        control
            .traffic
            .kept()
            .retain(|address| stores.iter().any(|store| *store.address == *address));
        for store in stores {
            let address = store.address.clone();
            let watch = || control.ex.spawn(watch(control.clone(), store));
            watches.entry(address).or_insert_with(watch);
        }
        smol::Timer::after(LOOK_INTERVAL).await;
    }
}

/// Stores that this host follows. A store answers a limited number of hosts; rendezvous hashing says which.
fn watched(control: &Control, view: &View) -> Vec<StoreSpec> {
    let own = &*control.traffic.settings.name;
    let Some(declared) = &view.declared else {
        return Vec::new();
    };
    let stores = declared.services().filter_map(|service| service.store.clone());
    let is_mine = |store: &StoreSpec| {
        let room = (store.questions as usize).saturating_sub(SPARE_QUESTIONS).max(1);
        view.owns(store.address.as_bytes(), own, room)
    };
    stores.filter(is_mine).collect()
}

async fn watch(control: Arc<Control>, store: StoreSpec) {
    loop {
        let is_heard = hear(&control, &store).await;
        if !is_heard {
            control.traffic.kept().store(&store.address).forget();
            smol::Timer::after(SILENT_PAUSE).await;
            continue;
        }
        drop_old(&control, &store).await;
        smol::Timer::after(ASK_PAUSE).await;
    }
}

/// Asks a store what changed, or for all that it holds; false if it did not answer.
async fn hear(control: &Control, store: &StoreSpec) -> bool {
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
        control.traffic.kept().store(&store.address).take_list(list, now);
        return true;
    }
    let Ok(changes) = control.stores.changes(&store.address, next, CHANGE_WAIT).await else {
        return false;
    };
    let now = control.traffic.now();
    let mut kept = control.traffic.kept();
    if let Some(clock_ms) = changes.clock_ms {
        kept.note_clock(clock_ms, now);
    }
    kept.store(&store.address).take_changes(changes, now);
    true
}

/// Has the store drop what replaced weights have made, once no engine has them any more. One host does so for a store.
async fn drop_old(control: &Control, store: &StoreSpec) {
    let view = control.traffic.view.load_full();
    if !view.owns(store.address.as_bytes(), &control.traffic.settings.name, 1) {
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
        info!(control.traffic.log, "dropped cache of old weights"; errors::events::KEPT_DROPPED,
            "store" => &*store.address, "parts" => old.len());
        control.traffic.kept().store(&store.address).note_dropped(&old);
    }
}

fn old_parts(control: &Control, view: &View, store: &StoreSpec) -> Option<(u64, Vec<PartKey>)> {
    let now = control.traffic.now();
    let settled = view.weights.iter().filter(|(model, named)| {
        let engines = view.targets.values().flatten();
        let mut versions = engines.filter_map(|target| target.weights_of(model));
        let is_rested = named.newest_at().is_none_or(|at| now >= at + OLD_WEIGHTS_REST);
        is_rested && versions.all(|version| version >= named.newest())
    });
    let settled: Vec<_> = settled
        .map(|(model, named)| (model.clone(), named.newest()))
        .collect();
    let mut kept = control.traffic.kept();
    let known = kept.store(&store.address);
    let is_old = |key: &&PartKey| {
        settled.iter().any(|(model, version)| {
            let weights = weights_of_salt(&key.salt, model);
            weights.is_some_and(|weights| weights < *version)
        })
    };
    let old = known.parts().filter(is_old).take(MOST_DROPPED).cloned().collect();
    Some((known.epoch()?, old))
}
