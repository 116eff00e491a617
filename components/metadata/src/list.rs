use std::net::SocketAddr;
use std::sync::Arc;

use error_stack::Report;
use serde::{Deserialize, Serialize};
use utils::{FailureDomainId, Incarnation, RegionId};

use crate::{BoxFuture, PlatformError};

/// What a listed host runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostRole {
    /// An entry host of this system.
    Entry,
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
    /// A store host for kept cache.
    Store,
}

/// What the platform says about a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// In use.
    Live,
    /// About to go; must get no new work.
    Leaving,
}

/// One entry of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ListedHost {
    /// Name of the host or target.
    pub id: Arc<str>,
    /// What it runs.
    pub role: HostRole,
    /// Region that it stands in.
    pub region: RegionId,
    /// Failure domain inside the region.
    pub failure_domain: FailureDomainId,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Where an entry host takes datagrams and streams from its peers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer_address: Option<SocketAddr>,
    /// Run of the process, when the platform knows it.
    #[serde(default)]
    pub incarnation: Incarnation,
    /// Live or leaving.
    pub state: HostState,
    /// Models or services that a target offers.
    #[serde(default)]
    pub serves: Vec<Arc<str>>,
    /// Whether a target refuses orders with an old fencing number.
    #[serde(default)]
    pub checks_epochs: bool,
}

/// The platform's lagging list of hosts.
pub trait HostList: Send + Sync {
    /// All entries, as the platform knows them now.
    fn list(&self) -> BoxFuture<'_, Result<Vec<ListedHost>, Report<PlatformError>>>;
}
