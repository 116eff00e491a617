use std::net::SocketAddr;

use utils::{FailureDomainId, ModelId, ServiceId, TargetId};

/// A target as its platform entry describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Names this run of its process; see [`Target::run_of`].
    pub run: TargetId,
    /// Name of the instance.
    pub instance: String,
    /// Start of its process, in milliseconds of the Unix time; differs after a restart under the same name.
    pub born_ms: u64,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub domain: FailureDomainId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to leave and may get nothing new.
    pub is_leaving: bool,
    /// Weight versions of the models that it serves.
    pub models: Vec<(ModelId, u64)>,
}

impl Target {
    /// Names the run of a process that started at a moment: a restart under the same name is another run.
    ///
    /// ```
    /// assert_ne!(gateway::Target::run_of("t1", 1), gateway::Target::run_of("t1", 2));
    /// ```
    pub fn run_of(instance: &str, born_ms: u64) -> TargetId {
        format!("{instance}/{born_ms}").into()
    }

    /// The version of a model that it serves.
    pub fn weights_of(&self, model: &str) -> Option<u64> {
        let mut found = self.models.iter().filter(|(name, _)| &**name == model);
        found.next().map(|(_, version)| *version)
    }
}
