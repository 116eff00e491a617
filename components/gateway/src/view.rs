use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use utils::{
    FailureDomainId, HostId, ModelId, Monotonic, RegionId, ServiceId, SoftwareVersion, rendezvous_order,
};

use crate::quarantine::Fingerprint;
use crate::software::{RecordNeed, ServiceSoftware};
use crate::suspects::{PartFingerprint, SuspectParts};
use crate::weights_history::{Replacement, WeightsHistory};
use crate::{Declared, LinkRate, Target, link_rate};

/// An entry host, as registered in the shared table.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HostEntry {
    /// Name of the host.
    pub name: HostId,
    /// Failure domain of the host.
    pub domain: FailureDomainId,
    /// Address on which the host listens for other entry hosts.
    pub peers: SocketAddr,
    /// Rate of the host's network link; `None` if it is unknown.
    #[serde(default, deserialize_with = "link_rate::deserialize_known")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub link: Option<LinkRate>,
}

/// Number of relays of a region.
const RELAYS_PER_REGION: usize = 3;
/// Number of hosts of a region from which on most of them follow relays.
const MIN_HOSTS_FOR_RELAYS: usize = 16;

/// Region of each failure domain.
pub type Regions = BTreeMap<FailureDomainId, RegionId>;

/// Returns whether a host is the only owner of a task among the given hosts.
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

/// Returns the key by which the hosts of a region are ordered for a duty.
fn duty_key(duty: &str, region: &RegionId) -> Vec<u8> {
    format!("{duty}/{region}").into_bytes()
}

/// Immutable snapshot of the host's cached state, read by the traffic thread.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Declared configuration; `None` until one is read.
    pub declared: Option<Arc<Declared>>,
    /// Targets of the services that the operator names, by service, without those that are leaving.
    pub targets: HashMap<ServiceId, Vec<Arc<Target>>>,
    /// Declared weight versions by model.
    pub weights: HashMap<ModelId, WeightsHistory>,
    /// Software versions of the services with resumable streams.
    pub software: HashMap<ServiceId, ServiceSoftware>,
    /// Registered entry hosts.
    pub hosts: BTreeMap<HostId, HostEntry>,
    /// Evacuated failure domains, whose targets receive no requests.
    pub evacuated: HashSet<FailureDomainId>,
    /// Fingerprints of quarantined requests.
    pub quarantined: HashSet<Fingerprint>,
    /// Prompt parts that are quarantined or suspected.
    pub parts: SuspectParts,
    /// Whether the targets have been read in full.
    pub has_read_targets: bool,
    /// Whether the hosts have been read in full.
    pub has_read_hosts: bool,
}

impl View {
    /// Returns whether the host can serve requests.
    pub fn can_serve(&self) -> bool {
        self.declared.is_some() && self.has_read_targets
    }

    /// Returns whether the parts of a prompt are quarantined, one of them or several together.
    ///
    /// ```
    /// let part = gateway::PartFingerprint::of("m", "5c1e07a2");
    /// assert!(!gateway::View::default().has_quarantined(&[part]));
    /// ```
    pub fn has_quarantined(&self, parts: &[PartFingerprint]) -> bool {
        self.parts.is_quarantined(parts)
    }

    /// Returns the targets of a service.
    pub fn targets_of(&self, service: &str) -> &[Arc<Target>] {
        self.targets.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns whether a stream that begins at a target of a service with a software version needs a record.
    ///
    /// ```
    /// use gateway::{RecordNeed, View};
    ///
    /// assert_eq!(View::default().record_need("chat", "2.1"), RecordNeed::Wanted);
    /// ```
    pub fn record_need(&self, service: &str, software: &str) -> RecordNeed {
        let known = self.software.get(service);
        known.map_or(RecordNeed::Wanted, |known| known.record_need(software))
    }

    /// Returns the software version at which a stream of a service without a record began, if it is known.
    ///
    /// ```
    /// use std::collections::HashMap;
    /// use gateway::{ServiceSoftware, View};
    ///
    /// let software = ServiceSoftware { baseline: Some("2.1".into()), ..ServiceSoftware::default() };
    /// let view = View { software: HashMap::from([("chat".into(), software)]), ..View::default() };
    /// assert_eq!(view.unrecorded_origin("chat").map(|version| &**version), Some("2.1"));
    /// assert_eq!(view.unrecorded_origin("search"), None);
    /// ```
    pub fn unrecorded_origin(&self, service: &str) -> Option<&SoftwareVersion> {
        self.software.get(service)?.baseline.as_ref()
    }

    /// Returns whether only the baseline's version of a service has been listed here for the lifetime of a stream, so that
    /// no other can have begun one that still lives.
    ///
    /// ```
    /// use std::collections::HashMap;
    /// use std::time::Duration;
    /// use gateway::{ServiceSoftware, View};
    ///
    /// let software = ServiceSoftware {
    ///     baseline: Some("2.1".into()),
    ///     is_baseline_listed: true,
    ///     has_others: false,
    ///     alone_since: Some(Duration::from_secs(5)),
    ///     lifetime: Duration::from_secs(30),
    /// };
    /// let view = View { software: HashMap::from([("chat".into(), software)]), ..View::default() };
    /// assert!(!view.has_only_baseline("chat", Duration::from_secs(34)));
    /// assert!(view.has_only_baseline("chat", Duration::from_secs(35)));
    /// assert!(!view.has_only_baseline("search", Duration::from_secs(35)));
    /// ```
    pub fn has_only_baseline(&self, service: &str, now: Monotonic) -> bool {
        let known = self.software.get(service);
        known.is_some_and(|known| known.has_only_baseline(now))
    }

    /// Returns the longest time for which a stream of a service is taken up after its begin.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let lifetime = gateway::View::default().stream_lifetime("chat");
    /// assert_eq!(lifetime, Duration::from_secs(30));
    /// ```
    pub fn stream_lifetime(&self, service: &str) -> Duration {
        let known = self.software.get(service);
        known.map_or_else(|| ServiceSoftware::default().lifetime, |known| known.lifetime)
    }

    /// Returns whether and since when a model's weight version is replaced. Without a model or a version
    /// there is nothing to replace.
    ///
    /// ```
    /// use gateway::{Replacement, View};
    ///
    /// let replacement = View::default().replacement(None, Some(1), std::time::Duration::ZERO);
    /// assert_eq!(replacement, Replacement::Current);
    /// ```
    pub fn replacement(&self, model: Option<&ModelId>, version: Option<u64>, now: Monotonic) -> Replacement {
        let history = model.and_then(|model| self.weights.get(model));
        match (history, version) {
            (Some(history), Some(version)) => history.replacement(version, now),
            _ => Replacement::Current,
        }
    }

    /// Returns the newest entry of a target that is still listed with the same run.
    pub fn listed(&self, target: &Target) -> Option<&Arc<Target>> {
        let listed = self.targets_of(&target.service);
        listed.iter().find(|t| t.run == target.run)
    }

    /// Returns whether a host is among the first `count` owners of a duty. Hosts with the same list of hosts
    /// compute the same owners.
    ///
    /// ```
    /// assert!(!gateway::View::default().owns(b"orders", "host-1", 3));
    /// ```
    pub fn owns(&self, duty: &[u8], host: &str, count: usize) -> bool {
        is_owner_among(self.hosts.keys(), duty, host, count)
    }

    /// Returns the owners of a duty for a region, taken from the region's hosts if it has at least `count`,
    /// else from all hosts. Hosts with the same list of hosts compute the same owners.
    pub fn hosts_for(&self, regions: &Regions, region: &RegionId, duty: &str, count: usize) -> Vec<HostId> {
        let near: Vec<_> = self.hosts_in(regions, region).collect();
        let candidates = match near.len() < count {
            true => self.hosts.values().collect(),
            false => near,
        };
        let names = candidates.iter().map(|host| &*host.name);
        let order = rendezvous_order(&duty_key(duty, region), names);
        order.into_iter().take(count).map(HostId::from).collect()
    }

    /// Returns the hosts of a region that follow the platform's store for the others: those with the fastest links,
    /// and unknown links last; none if the region has few hosts. Hosts with the same list of hosts compute the same
    /// relays.
    ///
    /// ```
    /// assert!(gateway::View::default().relays(&Default::default(), &"north".into()).is_empty());
    /// ```
    pub fn relays(&self, regions: &Regions, region: &RegionId) -> Vec<HostId> {
        if self.hosts_in(regions, region).count() < MIN_HOSTS_FOR_RELAYS {
            return Vec::new();
        }
        let mut classes: BTreeMap<_, Vec<&str>> = BTreeMap::new();
        for host in self.hosts_in(regions, region) {
            let class = Reverse(host.link.map(LinkRate::class));
            classes.entry(class).or_default().push(&host.name);
        }
        let key = duty_key("relay", region);
        let order = classes
            .into_values()
            .flat_map(|names| rendezvous_order(&key, names));
        order.take(RELAYS_PER_REGION).map(HostId::from).collect()
    }

    fn hosts_in(&self, regions: &Regions, region: &RegionId) -> impl Iterator<Item = &HostEntry> {
        let is_near = |host: &&HostEntry| regions.get(&host.domain) == Some(region);
        self.hosts.values().filter(is_near)
    }

    /// Returns the number of entry hosts that share global limits; at least 1.
    pub fn host_count(&self) -> usize {
        self.hosts.len().max(1)
    }
}
