use std::net::SocketAddr;
use std::sync::Arc;

use error_stack::Report;
use serde::{Deserialize, Serialize};
use utils::{FailureDomainId, Incarnation, RegionId};

use crate::{BoxFuture, PlatformError};

/// Program that a listed host runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostRole {
    /// An entry host of this system.
    Entry,
    /// A model engine.
    Engine,
    /// A service without a model.
    Service,
    /// A store of kept cache.
    Store,
}

/// State of a listed host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// Accepts new work.
    Live,
    /// Draining; must get no new work.
    Leaving,
}

/// An entry of the platform's host list.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ListedHost {
    /// Name of the host or target.
    pub id: Arc<str>,
    /// Program that it runs.
    pub role: HostRole,
    /// Region of the host.
    pub region: RegionId,
    /// Failure domain inside the region.
    pub failure_domain: FailureDomainId,
    /// Address that it accepts requests on.
    pub address: SocketAddr,
    /// Address that an entry host receives datagrams and streams from its peers on.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer_address: Option<SocketAddr>,
    /// Incarnation of the process; the default if the platform does not list it.
    #[serde(default)]
    pub incarnation: Incarnation,
    /// State of the host.
    pub state: HostState,
    /// Names of the models or services that a target serves.
    #[serde(default)]
    pub serves: Vec<Arc<str>>,
    /// Whether a target refuses orders with an outdated fencing token.
    #[serde(default)]
    pub checks_epochs: bool,
}

/// The platform's list of hosts. The list lags behind the actual state of the hosts.
pub trait HostList: Send + Sync {
    /// Returns all entries that the platform currently lists.
    fn list(&self) -> BoxFuture<'_, Result<Vec<ListedHost>, Report<PlatformError>>>;
}
