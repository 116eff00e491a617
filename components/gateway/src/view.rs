use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use utils::{FailureDomainId, HostId, ModelId, Monotonic, RegionId, ServiceId, rendezvous_order};

use crate::quarantine::Fingerprint;
use crate::{Declared, Target};

/// An entry host, as it registers itself in the shared table.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HostEntry {
    /// Name.
    pub name: HostId,
    /// Where it stands.
    pub domain: FailureDomainId,
    /// Where it listens for other entry hosts.
    pub peers: SocketAddr,
}

/// Weights that were named for a model. Each version is due from its own naming, also when a newer one follows.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct WeightsHistory {
    /// Versions, oldest first, with the moment at which this host learned of each; `None` if it was named before the host
    /// started, nobody knows when.
    versions: Vec<(u64, Option<Monotonic>)>,
}

impl WeightsHistory {
    /// Most versions remembered; engines are rarely that far behind.
    const MAX_VERSIONS: usize = 16;

    /// A version that was named.
    pub fn new(version: u64, received_at: Option<Monotonic>) -> Self {
        Self {
            versions: vec![(version, received_at)],
        }
    }

    /// The newest version.
    pub fn newest(&self) -> u64 {
        self.versions.last().map_or(0, |(version, _)| *version)
    }

    /// Takes a newer version; an older one is ignored. True if it is newer.
    pub fn add(&mut self, version: u64, received_at: Option<Monotonic>) -> bool {
        let is_newer = version > self.newest();
        if is_newer {
            self.versions.push((version, received_at));
        }
        if self.versions.len() > Self::MAX_VERSIONS {
            self.versions.remove(0);
        }
        is_newer
    }

    /// When the first version was named that replaced the given one; outer `None` if none did.
    pub fn replaced_at(&self, version: u64) -> Option<Option<Monotonic>> {
        let newer = self.versions.iter().find(|(named, _)| *named > version);
        newer.map(|(_, received_at)| *received_at)
    }

    /// When the newest version was named, if this host has seen it.
    pub fn newest_at(&self) -> Option<Monotonic> {
        self.versions.last().and_then(|(_, received_at)| *received_at)
    }
}

/// Regions of the failure domains.
pub type Regions = BTreeMap<FailureDomainId, RegionId>;

/// Which of some hosts does a task alone.
///
/// ```
/// let hosts = ["host-1".into(), "host-2".into()];
/// assert!(hosts.iter().any(|host| gateway::is_sole_owner(&hosts, b"task", host)));
/// ```
pub fn is_sole_owner(hosts: &[HostId], task: &[u8], host: &str) -> bool {
    is_owner_among(hosts, task, host, 1)
}

fn is_owner_among<'a>(
    hosts: impl IntoIterator<Item = &'a HostId>,
    task: &[u8],
    host: &str,
    count: usize,
) -> bool {
    let order = rendezvous_order(task, hosts.into_iter().map(|name| &**name));
    order.iter().take(count).any(|name| *name == host)
}

/// What the host believes, as the traffic thread sees it. Immutable once published.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// What is declared; `None` before the first is known.
    pub declared: Option<Arc<Declared>>,
    /// Targets by service, leaving ones left out.
    pub targets: HashMap<ServiceId, Vec<Arc<Target>>>,
    /// Weights by model.
    pub weights: HashMap<ModelId, WeightsHistory>,
    /// Known entry hosts.
    pub hosts: BTreeMap<HostId, HostEntry>,
    /// Requests that crash targets.
    pub quarantined: HashSet<Fingerprint>,
    /// Whether targets were ever read.
    pub has_read_targets: bool,
}

impl View {
    /// Whether the host can serve requests.
    pub fn can_serve(&self) -> bool {
        self.declared.is_some() && self.has_read_targets
    }

    /// The targets of a service.
    pub fn targets_of(&self, service: &str) -> &[Arc<Target>] {
        self.targets.get(service).map_or(&[], Vec::as_slice)
    }

    /// Whether a target is still listed in the same incarnation.
    pub fn contains(&self, target: &Target) -> bool {
        let listed = self.targets_of(&target.service);
        listed.iter().any(|t| t.run == target.run)
    }

    /// Whether a host is among the first `count` that own a duty. Every host that knows the same hosts says the same.
    ///
    /// ```
    /// assert!(!gateway::View::default().owns(b"orders", "host-1", 3));
    /// ```
    pub fn owns(&self, duty: &[u8], host: &str, count: usize) -> bool {
        is_owner_among(self.hosts.keys(), duty, host, count)
    }

    /// Hosts that do something for a region, the same at every host that knows the same hosts. They stand in the region if it has
    /// enough.
    pub fn hosts_for(&self, regions: &Regions, region: &RegionId, duty: &str, count: usize) -> Vec<HostId> {
        let is_near = |host: &&HostEntry| regions.get(&host.domain) == Some(region);
        let near: Vec<_> = self.hosts.values().filter(is_near).collect();
        let candidates = match near.len() < count {
            true => self.hosts.values().collect(),
            false => near,
        };
        let names = candidates.iter().map(|host| &*host.name);
        let order = rendezvous_order(format!("{duty}/{region}").as_bytes(), names);
        order.into_iter().take(count).map(HostId::from).collect()
    }

    /// Entry hosts that share what is limited for all together; at least this one.
    pub fn host_count(&self) -> usize {
        self.hosts.len().max(1)
    }
}
