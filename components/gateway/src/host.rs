use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use utils::{FailureDomainId, HostId, RegionId};

/// Bounds that the deployment sets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Longest time to end after SIGTERM before the process is killed.
    pub shutdown_grace: Duration,
    /// Repeated requests of a service as a share of its requests, over all hosts.
    pub retry_ratio: f64,
    /// Repeated requests allowed beside that share in one window, over all hosts.
    pub retry_slack: f64,
    /// The window in which repeats are counted.
    pub retry_window: Duration,
    /// Shortest time between orders of two holders to one target.
    pub order_lease: Duration,
    /// Time after which no request may begin on older weights.
    pub weights_deadline: Duration,
    /// Whether targets refuse orders with an old fencing number.
    pub is_fenced: bool,
    /// Time for which an entry that is missing after an outage of the store may still come back.
    pub return_grace: Duration,
}

/// Settings of an entry host on a platform.
#[derive(Debug, Clone, PartialEq)]
pub struct HostSettings {
    /// Name of the host.
    pub name: HostId,
    /// Where it stands.
    pub domain: FailureDomainId,
    /// Region of that failure domain.
    pub region: RegionId,
    /// Region of each failure domain.
    pub regions: BTreeMap<FailureDomainId, RegionId>,
    /// Listens for callers.
    pub callers: SocketAddr,
    /// Answers the balancer's questions.
    pub readiness: SocketAddr,
    /// Listens for other entry hosts.
    pub peers: SocketAddr,
    /// Other entry hosts to ask first.
    pub seeds: Vec<SocketAddr>,
    /// The platform's store.
    pub store: SocketAddr,
    /// Sockets that the process may open.
    pub sockets: usize,
    /// Bounds of the deployment.
    pub bounds: Bounds,
}

/// How far apart two failure domains are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Distance {
    /// The same failure domain.
    SameDomain,
    /// Another failure domain of the region.
    SameRegion,
    /// Another region.
    OtherRegion,
}

impl HostSettings {
    /// How far a failure domain is from this host.
    pub(crate) fn distance(&self, domain: &str) -> Distance {
        if *domain == *self.domain {
            return Distance::SameDomain;
        }
        match self.regions.get(domain) {
            Some(region) if *region == self.region => Distance::SameRegion,
            _ => Distance::OtherRegion,
        }
    }
}
