use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use utils::{FailureDomainId, HostId, ModelId, Monotonic, ServiceId};

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

/// Weights that were named for a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Named {
    /// Version.
    pub version: u64,
    /// When this host learned of it; `None` if it was named before the host started, nobody knows when.
    pub learned_at: Option<Monotonic>,
}

/// What the host believes, as the traffic thread sees it. Immutable once published.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// What is declared; `None` before the first is known.
    pub declared: Option<Arc<Declared>>,
    /// Targets by service, leaving ones left out.
    pub targets: HashMap<ServiceId, Vec<Arc<Target>>>,
    /// Weights by model.
    pub weights: HashMap<ModelId, Named>,
    /// Known entry hosts.
    pub hosts: BTreeMap<HostId, HostEntry>,
    /// Requests that crash targets.
    pub quarantined: HashSet<Fingerprint>,
    /// Whether targets were ever read.
    pub knows_targets: bool,
}

impl View {
    /// Whether the host can serve requests.
    pub fn is_able(&self) -> bool {
        self.declared.is_some() && self.knows_targets
    }

    /// The targets of a service.
    pub fn targets_of(&self, service: &str) -> &[Arc<Target>] {
        self.targets.get(service).map_or(&[], Vec::as_slice)
    }

    /// Whether a target is still listed in the same incarnation.
    pub fn holds(&self, target: &Target) -> bool {
        let listed = self.targets_of(&target.service);
        listed
            .iter()
            .any(|t| t.instance == target.instance && t.born_ms == target.born_ms)
    }

    /// Entry hosts that share what is limited for all together; at least this one.
    pub fn host_count(&self) -> usize {
        self.hosts.len().max(1)
    }
}
