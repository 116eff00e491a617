use utils::{HostId, RegionId, rendezvous_order};

use super::Control;
use crate::View;
use crate::view::HostEntry;

/// Hosts that do something for a region, the same at every host that knows the same hosts. They stand in the region if it
/// has enough.
pub(super) fn hosts_for(
    control: &Control,
    view: &View,
    region: &RegionId,
    duty: &str,
    count: usize,
) -> Vec<HostId> {
    let regions = &control.traffic.settings.regions;
    let is_near = |host: &&HostEntry| regions.get(&host.domain) == Some(region);
    let near: Vec<_> = view.hosts.values().filter(is_near).collect();
    let candidates = match near.len() < count {
        true => view.hosts.values().collect(),
        false => near,
    };
    let names = candidates.iter().map(|host| &*host.name);
    let order = rendezvous_order(format!("{duty}/{region}").as_bytes(), names);
    order.into_iter().take(count).map(HostId::from).collect()
}
