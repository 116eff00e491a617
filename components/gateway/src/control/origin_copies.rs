//! Copies of the origins of streams at another host. If the store is restored while the host that began a stream is gone, the
//! other one writes what the store has lost.

use std::sync::Arc;
use std::time::Duration;

use errors::events;
use serde::{Deserialize, Serialize};
use slog::info;
use utils::rendezvous_order;

use super::Control;
use super::host_client::HostClient;
use crate::host::Distance;
use crate::software::StreamOrigin;
use crate::view::HostEntry;

/// Path on which hosts take copies.
pub(super) const PATH: &str = "/origins/1";
/// Time for which origins are collected, so that one call copies them.
const COLLECT_TIME: Duration = Duration::from_millis(200);
/// Pause while no other host is known.
const NO_KEEPER_PAUSE: Duration = Duration::from_millis(500);

/// Origins of streams that began at the sending host.
#[derive(Debug, Clone, Default)]
#[derive(Serialize, Deserialize)]
pub(super) struct OriginCopies {
    origins: Vec<StreamOrigin>,
}

/// Confirms that the origins are held.
#[derive(Debug, Clone, Copy)]
#[derive(Serialize, Deserialize)]
pub(super) struct OriginCopiesTaken {
    count: u64,
}

/// Copies the origins of this host's streams to one other host, and to the next one if that fails.
pub(crate) async fn copy_origins(control: Arc<Control>) {
    let client = HostClient::new(&control);
    let mut failures = 0;
    loop {
        let origins = &control.traffic.origins;
        if !origins.records().has_uncopied() {
            origins.copies_due().await;
        }
        smol::Timer::after(COLLECT_TIME).await;
        let Some(keeper) = choose_keeper(&control, failures) else {
            smol::Timer::after(NO_KEEPER_PAUSE).await;
            continue;
        };
        let copies = OriginCopies {
            origins: origins.records().take_uncopied(),
        };
        if send(&client, &keeper, &copies).await {
            continue;
        }
        failures += 1;
        info!(control.traffic.log, "stream origins not copied yet"; events::ORIGINS_NOT_COPIED,
            "keeper" => &*keeper.name, "origins" => copies.origins.len());
        origins.records().put_back_uncopied(&copies.origins);
    }
}

async fn send(client: &HostClient, keeper: &HostEntry, copies: &OriginCopies) -> bool {
    let taken: Option<OriginCopiesTaken> = client.query(keeper.peers, PATH, copies).await;
    taken.is_some()
}

/// Chooses the host that keeps the copies: in another failure domain of the region if there is one, and another one after each
/// failure.
fn choose_keeper(control: &Control, failures: usize) -> Option<HostEntry> {
    let settings = &control.traffic.settings;
    let view = control.traffic.view.load();
    let others = || view.hosts.values().filter(|host| host.name != settings.name);
    let is_at = |distance| move |host: &&HostEntry| settings.distance(&host.domain) == distance;
    let mut candidates: Vec<_> = others().filter(is_at(Distance::SameRegion)).collect();
    if candidates.is_empty() {
        candidates = others().collect();
    }
    let names = candidates.iter().map(|host| &*host.name);
    let order = rendezvous_order(settings.name.as_bytes(), names);
    let name = order.get(failures.checked_rem(order.len())?)?;
    view.hosts.get(*name).cloned()
}

/// Takes copies from another host.
pub(super) fn answer(control: &Control, copies: OriginCopies) -> OriginCopiesTaken {
    let count = copies.origins.len() as u64;
    control.traffic.origins.hold_copies(copies.origins);
    OriginCopiesTaken { count }
}
