use std::net::SocketAddr;
use std::time::Duration;

use utils::{FailureDomainId, ModelId, ServiceId, SoftwareVersion, TargetId};

/// A target, as described by its platform entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Identifies this run of the process; see [`Target::run_of`].
    pub run: TargetId,
    /// Name of the instance.
    pub instance: String,
    /// Start time of the process, in milliseconds since the Unix epoch; differs after a restart under the
    /// same name.
    pub born_ms: u64,
    /// Service of the target.
    pub service: ServiceId,
    /// Version of its software.
    pub software: SoftwareVersion,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Failure domain of the target.
    pub domain: FailureDomainId,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is leaving and must receive no new requests.
    pub is_leaving: bool,
    /// Models that it serves, with the weight version of each.
    pub models: Vec<(ModelId, u64)>,
    /// For how much longer the target is cold, if its entry says so. `None` in a view: it changes with every renewal of
    /// an entry.
    pub cold_remaining: Option<Duration>,
}

impl Target {
    /// Returns the identifier of a process run. A restart under the same name is another run.
    ///
    /// ```
    /// assert_ne!(gateway::Target::run_of("t1", 1), gateway::Target::run_of("t1", 2));
    /// ```
    pub fn run_of(instance: &str, born_ms: u64) -> TargetId {
        format!("{instance}/{born_ms}").into()
    }

    /// Whether another entry has the same address and failure domain.
    pub(crate) fn is_at_place_of(&self, other: &Self) -> bool {
        self.address == other.address && self.domain == other.domain
    }

    /// Returns the weight version of a model, if the target serves it.
    pub fn weights_of(&self, model: &str) -> Option<u64> {
        let mut found = self.models.iter().filter(|(name, _)| &**name == model);
        found.next().map(|(_, version)| *version)
    }
}
