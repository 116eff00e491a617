use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use metadata::{HostRole, HostState, ListedHost};
use utils::RegionId;

/// Share of a pool whose loss at once is not believed without other evidence.
const DISTRUSTED_SHARE: f64 = 1.0 / 3.0;
/// Fewest losses at once that can be distrusted in a pool of more than one.
const FEWEST_LOSSES: usize = 2;

/// Hosts that can stand in for each other: one model, service or role in one region.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Pool {
    /// Region.
    region: RegionId,
    /// What the hosts run.
    role: u8,
    /// Model or service; empty for entry hosts and stores.
    serves: Arc<str>,
}

/// The pools that a host belongs to.
pub(crate) fn pools(host: &ListedHost) -> Vec<Pool> {
    let pool = |serves: &Arc<str>| Pool {
        region: host.region.clone(),
        role: role_number(host.role),
        serves: serves.clone(),
    };
    match host.serves.as_slice() {
        [] => vec![pool(&Arc::from(""))],
        serves => serves.iter().map(pool).collect(),
    }
}

fn role_number(role: HostRole) -> u8 {
    match role {
        HostRole::Entry => 0,
        HostRole::Engine => 1,
        HostRole::Service => 2,
        HostRole::Store => 3,
    }
}

/// Whether the loss of `lost` out of `known` members at once is not believed.
pub(crate) fn is_distrusted(lost: usize, known: usize) -> bool {
    if lost == 0 {
        return false;
    }
    lost == known || (lost >= FEWEST_LOSSES && lost as f64 > DISTRUSTED_SHARE * known as f64)
}

/// The members whose loss is not believed, because too much of one of their pools is lost with them.
pub(crate) fn distrusted<'a>(
    members: impl Iterator<Item = &'a ListedHost>,
    lost: &BTreeSet<Arc<str>>,
) -> BTreeSet<Arc<str>> {
    let mut counts: BTreeMap<Pool, (usize, Vec<Arc<str>>)> = BTreeMap::new();
    for member in members.filter(|m| m.state == HostState::Live) {
        for pool in pools(member) {
            let (known, gone) = counts.entry(pool).or_default();
            *known += 1;
            if lost.contains(&member.id) {
                gone.push(member.id.clone());
            }
        }
    }
    counts
        .into_values()
        .filter(|(known, gone)| is_distrusted(gone.len(), *known))
        .flat_map(|(_, gone)| gone)
        .collect()
}
