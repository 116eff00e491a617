use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use metadata::HostState;
use notes::{Declared, EnforcedNotes, Workspace};
use policy::PlacementView;
use serde::Serialize;
use subtle::ConstantTimeEq;
use utils::{FailureDomainId, RegionId, ServiceId, TargetId, WorkspaceId};

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
    /// Can not confirm that it obeys the release note in force.
    Unconfirmed,
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
    /// The same with the API keys, and how far the host knows the notes.
    pub enforced: EnforcedNotes,
    /// Model engines.
    pub placement: PlacementView,
    /// Plain services.
    pub services: Vec<ServiceTarget>,
    /// Entry hosts on the platform's list.
    pub entry_hosts: u32,
}

impl View {
    /// The workspace of an API key.
    pub(crate) fn workspace_of(&self, api_key: &str) -> Option<(&WorkspaceId, &Workspace)> {
        let digest = utils::digest(api_key.as_bytes());
        let (stored, id, workspace) = self.enforced.workspace_by_key(&digest)?;
        bool::from(stored.as_bytes().ct_eq(digest.as_bytes())).then_some((id, workspace))
    }
}
