use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use metadata::HostState;
use notes::{Declared, EnforcedNotes, Workspace};
use policy::PlacementView;
use serde::Serialize;
use subtle::ConstantTimeEq;
use utils::{FailureDomainId, RegionId, ServiceId, TargetId, WorkspaceId};

/// Holds the current view, which the control thread publishes and the traffic threads read.
pub(crate) type ViewCell = ArcSwap<View>;

/// Whether the host accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Serving {
    /// It accepts new requests.
    Yes,
    /// It has not read a head of the release notes yet.
    #[default]
    NoNote,
    /// It can not confirm that it enforces the release note in force.
    Unconfirmed,
}

/// A target that offers plain services.
#[derive(Debug, Clone)]
pub(crate) struct ServiceTarget {
    /// Identifier of the target.
    pub id: TargetId,
    /// Services that the target offers.
    pub services: Vec<ServiceId>,
    /// Address for requests.
    pub address: SocketAddr,
    /// Region of the target.
    pub region: RegionId,
    /// Failure domain of the target inside the region.
    pub failure_domain: FailureDomainId,
    /// State of the target on the platform's list.
    pub state: HostState,
}

/// State that the traffic threads base their decisions on. Each change replaces the whole view.
#[derive(Debug, Default)]
pub(crate) struct View {
    /// Declarations of the release notes.
    pub declared: Arc<Declared>,
    /// Declarations that new requests must satisfy, with the API keys and the state of the notes at this
    /// host.
    pub enforced: EnforcedNotes,
    /// Model engines and their state, for placement.
    pub placement: PlacementView,
    /// Targets of plain services.
    pub services: Vec<ServiceTarget>,
    /// Number of entry hosts on the platform's list.
    pub entry_hosts: u32,
}

impl View {
    /// Returns the workspace of an API key.
    pub(crate) fn workspace_of(&self, api_key: &str) -> Option<(&WorkspaceId, &Workspace)> {
        let digest = utils::digest(api_key.as_bytes());
        let (stored, id, workspace) = self.enforced.workspace_by_key(&digest)?;
        bool::from(stored.as_bytes().ct_eq(digest.as_bytes())).then_some((id, workspace))
    }
}
