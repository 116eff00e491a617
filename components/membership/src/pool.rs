use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use metadata::{HostRole, HostState, ListedHost};
use utils::RegionId;

/// Share of a pool above which a simultaneous loss is distrusted.
const DISTRUSTED_SHARE: f64 = 1.0 / 3.0;
/// Minimum number of simultaneous losses that is distrusted, unless the whole pool is lost.
const MIN_LOSSES: usize = 2;

/// A group of interchangeable hosts: one model, service or role in one region.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Pool {
    /// Region of the hosts.
    region: RegionId,
    /// Role of the hosts, as returned by [`role_number`].
    role: u8,
    /// Model or service that the hosts serve; empty for entry hosts and stores.
    serves: Arc<str>,
}

/// Returns the pools of which a host is a member.
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

/// Returns whether a simultaneous loss of `lost` out of `known` members is distrusted: it is more likely a
/// fault of the list or of this host's network than a real loss.
pub(crate) fn is_distrusted(lost: usize, known: usize) -> bool {
    if lost == 0 {
        return false;
    }
    lost == known || (lost >= MIN_LOSSES && lost as f64 > DISTRUSTED_SHARE * known as f64)
}

/// Returns the lost members whose loss is distrusted because too large a share of one of their pools is lost
/// at once.
pub(crate) fn distrusted<'a>(
    members: impl Iterator<Item = &'a ListedHost>,
    lost: &BTreeSet<Arc<str>>,
) -> BTreeSet<Arc<str>> {
    let mut counts: BTreeMap<Pool, (usize, Vec<Arc<str>>)> = BTreeMap::new();
    for member in members.filter(|m| m.state == HostState::Live) {
        for pool in pools(member) {
            let (known, missing) = counts.entry(pool).or_default();
            *known += 1;
            if lost.contains(&member.id) {
                missing.push(member.id.clone());
            }
        }
    }
    counts
        .into_values()
        .filter(|(known, missing)| is_distrusted(missing.len(), *known))
        .flat_map(|(_, missing)| missing)
        .collect()
}
