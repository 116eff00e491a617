use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use utils::{Incarnation, RegionId};

use super::Control;
use super::host_client::HostClient;
use super::stores::{declared_stores, region_of, watchers};
use crate::View;
use crate::jitter::jittered;
use crate::kept::{KeptEvent, PartKey, PollSource, StoreUpdate};

/// Path on which hosts that follow stores of kept cache forward changes to other hosts.
pub(super) const PATH: &str = "/kept";
/// Interval between polls.
const POLL_INTERVAL: Duration = Duration::from_millis(700);

/// Requests the changes of the stores of a region.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub(super) struct KeptQuery {
    /// Region of the stores.
    region: RegionId,
    /// Position at the end of the last answer; `None` in the first query to a host.
    from: Option<Cursor>,
}

/// Position at the end of an answer.
#[derive(Debug, Clone, Default)]
#[derive(Serialize, Deserialize)]
struct Cursor {
    /// Incarnation of the host that answered.
    incarnation: Incarnation,
    /// Number of the next change by store.
    numbers: BTreeMap<Arc<str>, u64>,
}

/// Changes of the stores of a region.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub(super) struct KeptAnswer {
    /// Position at which the next query continues.
    next: Cursor,
    /// The stores' clock, in milliseconds.
    clock_ms: Option<u64>,
    /// Salts, to which the changes refer by index.
    salts: Vec<Box<str>>,
    /// Updates by store.
    stores: Vec<(Arc<str>, PackedUpdate)>,
}

/// [`StoreUpdate`] with salts replaced by indexes.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
struct PackedUpdate {
    epoch: Option<u64>,
    age: Duration,
    is_all: bool,
    /// Index of the salt, part, and number of stored tokens.
    events: Vec<(u16, Box<str>, Option<u32>)>,
}

/// Collects salts, each of which is sent once and referenced by index.
#[derive(Default)]
struct Salts {
    names: Vec<Box<str>>,
    indexes: HashMap<Box<str>, u16>,
}

impl Salts {
    fn pack(&mut self, update: StoreUpdate) -> PackedUpdate {
        let events = update.events.into_iter().map(|event| {
            let KeptEvent { key, stored } = event;
            (self.index(key.salt), key.id, stored)
        });
        PackedUpdate {
            epoch: update.epoch,
            age: update.age,
            is_all: update.is_all,
            events: events.collect(),
        }
    }

    fn index(&mut self, salt: Box<str>) -> u16 {
        let next = self.names.len() as u16;
        let index = *self.indexes.entry(salt.clone()).or_insert(next);
        if index == next {
            self.names.push(salt);
        }
        index
    }
}

fn unpack(packed: PackedUpdate, salts: &[Box<str>]) -> StoreUpdate {
    let event = |(salt, id, stored): (u16, Box<str>, Option<u32>)| {
        let salt = salts.get(usize::from(salt))?.clone();
        Some(KeptEvent {
            key: PartKey { salt, id },
            stored,
        })
    };
    StoreUpdate {
        epoch: packed.epoch,
        age: packed.age,
        is_all: packed.is_all,
        events: packed.events.into_iter().filter_map(event).collect(),
    }
}

/// Answers a query from a host that does not follow the stores of a region itself.
pub(super) fn answer(control: &Control, query: &KeptQuery) -> KeptAnswer {
    let view = control.traffic.view.load_full();
    let now = control.traffic.now();
    let from = query.from.as_ref();
    let from = from.filter(|cursor| cursor.incarnation == control.incarnation);
    let mut salts = Salts::default();
    let mut next = Cursor {
        incarnation: control.incarnation,
        ..Cursor::default()
    };
    let mut stores = Vec::new();
    let mut kept = control.traffic.kept();
    for store in declared_stores(&view) {
        if region_of(control, &store) != Some(&query.region) {
            continue;
        }
        let number = from.and_then(|cursor| cursor.numbers.get(&store.address));
        let (update, end) = kept.store(&store.address).update_since(number.copied(), now);
        next.numbers.insert(store.address.clone(), end);
        stores.push((store.address, salts.pack(update)));
    }
    KeptAnswer {
        next,
        clock_ms: kept.clock_ms(now),
        salts: salts.names,
        stores,
    }
}

/// Polls other hosts for changes of the stores that this host does not follow itself.
pub(crate) async fn poll_watchers(control: Arc<Control>) {
    let client = HostClient::new(&control);
    let mut sources: BTreeMap<RegionId, PollSource<Cursor>> = BTreeMap::new();
    loop {
        smol::Timer::after(jittered(POLL_INTERVAL, 0.1)).await;
        let view = control.traffic.view.load_full();
        for region in unwatched(&control, &view) {
            let source = sources.entry(region.clone()).or_default();
            poll(&control, &client, &view, &region, source).await;
        }
    }
}

/// Returns the regions with stores that this host does not follow.
fn unwatched(control: &Control, view: &View) -> Vec<RegionId> {
    let own = &control.traffic.settings.name;
    let stores = declared_stores(view);
    let is_unwatched = |store: &crate::StoreSpec| !watchers(control, view, store).contains(own);
    let regions = stores
        .filter(is_unwatched)
        .filter_map(|store| region_of(control, &store).cloned());
    let mut regions: Vec<_> = regions.collect();
    regions.sort();
    regions.dedup();
    regions
}

/// Polls for the changes of a region's stores.
async fn poll(
    control: &Control,
    client: &HostClient,
    view: &View,
    region: &RegionId,
    source: &mut PollSource<Cursor>,
) {
    let Some((peer, from)) = source.next(|| choose_watcher(control, view, region)) else {
        return;
    };
    let query = KeptQuery {
        region: region.clone(),
        from,
    };
    let sent_at = control.traffic.now();
    let Some(answer) = client.query::<KeptAnswer>(peer, PATH, &query).await else {
        source.failed();
        return;
    };
    source.answered(peer, answer.next);
    let now = control.traffic.now();
    let mut kept = control.traffic.kept();
    if let Some(clock_ms) = answer.clock_ms {
        kept.record_clock(clock_ms, now);
    }
    for (address, update) in answer.stores {
        kept.store(&address)
            .apply_update(unpack(update, &answer.salts), sent_at, now);
    }
}

/// Chooses a random host that follows the stores of a region.
fn choose_watcher(control: &Control, view: &View, region: &RegionId) -> Option<SocketAddr> {
    let mut stores = declared_stores(view);
    let store = stores.find(|store| region_of(control, store) == Some(region))?;
    let own = &control.traffic.settings.name;
    let watchers = watchers(control, view, &store);
    let others: Vec<_> = watchers.iter().filter(|name| *name != own).collect();
    let name = others.choose(&mut rand::rng())?;
    view.hosts.get(*name).map(|host| host.peers)
}
