use std::net::SocketAddr;

use utils::{FailureDomainId, ModelId, ServiceId};

/// A target as its platform entry describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
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
    /// The version of a model that it serves.
    pub fn weights_of(&self, model: &str) -> Option<u64> {
        let mut found = self.models.iter().filter(|(name, _)| &**name == model);
        found.next().map(|(_, version)| *version)
    }
}
