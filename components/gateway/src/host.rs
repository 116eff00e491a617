use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use utils::{FailureDomainId, HostId, RegionId};

use crate::LinkRate;
use crate::cold::ColdBound;

/// Bounds set by the deployment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Time from SIGTERM until the process is killed.
    pub shutdown_grace: Duration,
    /// Retries of a service as a share of its requests, over all hosts.
    pub retry_ratio: f64,
    /// Retries allowed in one window in addition to that share, over all hosts.
    pub retry_slack: f64,
    /// Window in which retries are counted.
    pub retry_window: Duration,
    /// Shortest time between orders of two lease holders to the same target.
    pub order_lease: Duration,
    /// Time after a declaration of weights from which no request may start on older weights.
    pub weights_deadline: Duration,
    /// Whether targets refuse orders with an outdated fencing token.
    pub is_fenced: bool,
    /// Time after its acknowledgement within which a declaration must be in force.
    pub declared_within: Duration,
    /// Time after its acknowledgement within which a leaving target must get no more requests.
    pub leaving_within: Duration,
    /// How long an entry that is missing after an outage of the store stays listed.
    pub return_grace: Duration,
    /// Bound on the requests that arrive at a cold target, if the deployment has one.
    pub cold: Option<ColdBound>,
}

/// Settings of an entry host on a platform.
#[derive(Debug, Clone, PartialEq)]
pub struct HostSettings {
    /// Name of the host.
    pub name: HostId,
    /// Failure domain of the host.
    pub domain: FailureDomainId,
    /// Region of that failure domain.
    pub region: RegionId,
    /// Region of each failure domain.
    pub regions: BTreeMap<FailureDomainId, RegionId>,
    /// Address that listens for callers.
    pub callers: SocketAddr,
    /// Address that answers the balancer's readiness checks.
    pub readiness: SocketAddr,
    /// Address that listens for other entry hosts.
    pub peers: SocketAddr,
    /// Other entry hosts that are queried in addition to the registered ones.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Number of sockets that the process may open.
    pub sockets: usize,
    /// Memory of the machine, in bytes.
    pub memory: usize,
    /// Rate of the machine's network link; `None` if it is unknown.
    pub link: Option<LinkRate>,
    /// Bounds set by the deployment.
    pub bounds: Bounds,
}

/// Distance between two failure domains.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Distance {
    /// The same failure domain.
    SameDomain,
    /// Another failure domain of the same region.
    SameRegion,
    /// Another region.
    OtherRegion,
}

impl HostSettings {
    /// Returns the distance from this host to a failure domain.
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
