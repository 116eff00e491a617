use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use utils::{FailureDomainId, ModelId, ServiceId, WorkspaceId};

/// What may be repeated on a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetrySafety {
    /// A request may run more than once.
    Idempotent,
    /// A request may run at most once.
    AtMostOnce,
    /// The answer is a stream of events; it may go on at another target if `resumable`.
    Stream {
        /// Whether another target can continue after a given event.
        resumable: bool,
    },
}

impl RetrySafety {
    /// Whether a request that may have run may be sent again.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that takes a share of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceShare {
    /// The service.
    pub service: ServiceId,
    /// Weight against the other services of the route.
    pub weight: u32,
}

/// A route: which requests it takes and how they are served.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name for logs.
    pub name: Arc<str>,
    /// Value of the `Host` header, without a port.
    pub host: String,
    /// Start of the path.
    pub prefix: String,
    /// What may be repeated.
    pub retry_safety: RetrySafety,
    /// Longest time until the final answer.
    pub timeout: Duration,
    /// Time within which an answer is worth most.
    pub latency_target: Duration,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Services that serve the route.
    pub services: Vec<ServiceShare>,
    /// Most targets to which one request may be sent.
    pub max_targets: u32,
    /// Whether requests need no API key.
    pub is_anonymous: bool,
}

/// A model engine's size.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub memory_tokens: u64,
    /// Models that it serves.
    pub models: Vec<ModelId>,
}

/// A store of kept cache.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreSpec {
    /// Address as text, as engines expect it.
    pub address: Arc<str>,
    /// Where it stands.
    pub domain: FailureDomainId,
    /// Tokens that it holds.
    pub capacity_tokens: u64,
    /// Questions for changes that it answers at once.
    pub concurrent_polls: u32,
}

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name.
    pub name: ServiceId,
    /// Connections that one of its targets accepts from all callers together.
    pub connection_limit: u32,
    /// Size of its engines, if it serves models.
    pub engine: Option<EngineSpec>,
    /// Kept cache, if it is a store.
    pub store: Option<StoreSpec>,
}

/// A workspace.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// Name.
    pub name: WorkspaceId,
    /// Rank of its requests; goes before the route's.
    pub priority: Option<u8>,
    /// Whether it shares no cache with other workspaces.
    pub is_isolated: bool,
}

/// Limits on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest body, in bytes.
    pub body_bytes: usize,
}

/// Weights that the operator has named for a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DesiredWeights {
    /// The model.
    pub model: ModelId,
    /// Version that its engines should have.
    pub version: u64,
}

/// Everything that the operator has declared, as of one version.
#[derive(Debug, Clone, PartialEq)]
pub struct Declared {
    /// Version; grows with every change.
    pub version: u64,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Routes by host, longest prefix first.
    routes: HashMap<String, Vec<Arc<Route>>>,
    /// Services by name.
    services: HashMap<ServiceId, Arc<Service>>,
    /// Workspaces by API key; `None` if no keys are needed.
    keys: Option<HashMap<String, Arc<Workspace>>>,
}

impl Declared {
    /// Builds the lookup tables.
    pub fn new(
        version: u64,
        limits: CallerLimits,
        routes: impl IntoIterator<Item = Route>,
        services: impl IntoIterator<Item = Service>,
        keys: Option<HashMap<String, Arc<Workspace>>>,
    ) -> Self {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            by_host
                .entry(route.host.clone())
                .or_default()
                .push(Arc::new(route));
        }
        for list in by_host.values_mut() {
            list.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = services.into_iter().map(|s| (s.name.clone(), Arc::new(s)));
        Self {
            version,
            limits,
            routes: by_host,
            services: services.collect(),
            keys,
        }
    }

    /// The route of a request: among the host's routes the one with the longest prefix of the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let list = self.routes.get(host)?;
        list.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// A service by name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Whether requests need an API key.
    pub fn needs_keys(&self) -> bool {
        self.keys.is_some()
    }

    /// The workspace that holds an API key.
    pub fn workspace(&self, key: &str) -> Option<&Arc<Workspace>> {
        self.keys.as_ref()?.get(key)
    }
}
