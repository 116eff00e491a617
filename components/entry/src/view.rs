use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use notes::{Declared, Workspace};
use platform::HostState;
use policy::PlacementView;
use serde::Serialize;
use subtle::ConstantTimeEq;
use utils::{Digest, FailureDomainId, RegionId, ServiceId, TargetId, WorkspaceId};

/// Where the control thread publishes and the traffic threads read.
pub(crate) type ViewCell = ArcSwap<View>;

/// Whether the host takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Serving {
    /// Takes new work.
    Yes,
    /// Has not read a head of the release notes yet.
    #[default]
    NoNote,
}

/// A plain service's target.
#[derive(Debug, Clone)]
pub(crate) struct ServiceTarget {
    /// Name of the target.
    pub id: TargetId,
    /// Services that it offers.
    pub services: Vec<ServiceId>,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Region that it stands in.
    pub region: RegionId,
    /// Failure domain inside the region.
    pub failure_domain: FailureDomainId,
    /// Whether the platform's list says that it leaves.
    pub state: HostState,
}

/// What traffic threads decide on; replaced as a whole.
#[derive(Debug, Default)]
pub(crate) struct View {
    /// What the release notes declare.
    pub declared: Arc<Declared>,
    /// Workspaces by the digest of their API keys.
    pub keys: Arc<HashMap<Digest, WorkspaceId>>,
    /// Model engines.
    pub placement: PlacementView,
    /// Plain services.
    pub services: Vec<ServiceTarget>,
    /// Whether the host takes new work.
    pub serving: Serving,
}

impl View {
    /// The workspace of an API key.
    pub(crate) fn workspace_of(&self, api_key: &str) -> Option<(&WorkspaceId, &Workspace)> {
        let digest = utils::digest(api_key.as_bytes());
        let (stored, id) = self.keys.get_key_value(&digest)?;
        if !bool::from(stored.as_bytes().ct_eq(digest.as_bytes())) {
            return None;
        }
        self.declared.workspaces.get_key_value(id)
    }
}

/// Index of the API keys of all workspaces.
pub(crate) fn index_keys(declared: &Declared) -> HashMap<Digest, WorkspaceId> {
    let pairs = |(id, workspace): (&WorkspaceId, &Workspace)| {
        let id = id.clone();
        let digests = workspace.key_digests.clone();
        digests.into_iter().map(move |digest| (digest, id.clone()))
    };
    declared.workspaces.iter().flat_map(pairs).collect()
}
