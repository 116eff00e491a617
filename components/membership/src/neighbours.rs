use std::collections::BTreeSet;

use utils::{HostId, RegionId, rendezvous_score};

/// Number of hash rings over the hosts of the own region.
const REGION_RINGS: u8 = 3;
/// Number of hash rings over all hosts.
const GLOBAL_RINGS: u8 = 1;

/// Returns the hosts that `own` probes: its successor and predecessor on a few hash rings, and all hosts of
/// its region if these are few.
///
/// The number of neighbours of a host is bounded independently of the number of hosts, the relation is
/// symmetric, and a host that joins or leaves changes the neighbours of two other hosts per ring.
///
/// ```
/// use std::sync::Arc;
///
/// let hosts: Vec<_> = (0..40).map(|i| (Arc::from(format!("e{i}")), Arc::from("north"))).collect();
/// let found = membership::neighbours(&hosts[0].0, &hosts[0].1, &hosts);
/// assert!(found.len() >= 4 && found.len() <= 8);
/// ```
pub fn neighbours(own: &HostId, region: &RegionId, hosts: &[(HostId, RegionId)]) -> Vec<HostId> {
    let mut found = BTreeSet::new();
    for ring in 0..REGION_RINGS {
        found.extend(adjacent(own, ring, hosts.iter().filter(|(_, r)| r == region)));
    }
    for ring in REGION_RINGS..REGION_RINGS + GLOBAL_RINGS {
        found.extend(adjacent(own, ring, hosts.iter()));
    }
    let mut local = hosts.iter().filter(|(id, r)| r == region && id != own);
    let max_local = usize::from(2 * REGION_RINGS);
    if local.clone().count() <= max_local {
        found.extend(local.by_ref().map(|(id, _)| id.clone()));
    }
    found.into_iter().collect()
}

fn adjacent<'a>(
    own: &HostId,
    ring: u8,
    hosts: impl Iterator<Item = &'a (HostId, RegionId)>,
) -> BTreeSet<HostId> {
    let own_position = position(ring, own);
    let mut others: Vec<_> = hosts
        .filter(|(id, _)| id != own)
        .map(|(id, _)| (position(ring, id).wrapping_sub(own_position), id))
        .collect();
    others.sort_unstable();
    [others.first(), others.last()]
        .into_iter()
        .flatten()
        .map(|(_, id)| (*id).clone())
        .collect()
}

fn position(ring: u8, id: &str) -> u64 {
    rendezvous_score(&[ring], id)
}
