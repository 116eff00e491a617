use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use utils::{FailureDomainId, ModelId, ServiceId, WorkspaceId};

use crate::AllowedRegions;
use crate::cold::ColdLimit;
use crate::kept::IsolatedWorkspaces;

/// Whether requests of a route can be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetrySafety {
    /// A request may run more than once.
    Idempotent,
    /// A request may run at most once.
    AtMostOnce,
    /// The answer is a stream of events; it can continue at another target if `resumable`.
    Stream {
        /// Whether another target can continue after a given event.
        resumable: bool,
    },
}

impl RetrySafety {
    /// Returns whether a request that may have run can be sent again.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that receives a share of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceShare {
    /// Name of the service.
    pub service: ServiceId,
    /// Weight relative to the other services of the route.
    pub weight: u32,
}

/// A route: which requests it matches and how they are served.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name used in logs.
    pub name: Arc<str>,
    /// Value of the `Host` header, without a port.
    pub host: String,
    /// Path prefix.
    pub prefix: String,
    /// Whether requests can be retried.
    pub retry_safety: RetrySafety,
    /// Longest time until the complete answer.
    pub timeout: Duration,
    /// Latency up to which an answer has its full value.
    pub latency_target: Duration,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Services that serve the route.
    pub services: Vec<ServiceShare>,
    /// Most targets to which one request may be sent.
    pub max_targets: u32,
    /// Whether requests need no API key.
    pub is_anonymous: bool,
    /// Regions in which its requests may run.
    pub allowed_regions: AllowedRegions,
}

impl Route {
    /// Returns whether requests of the route may go to a service.
    pub(crate) fn sends_to(&self, service: &str) -> bool {
        let shares = self.services.iter();
        shares
            .filter(|share| share.weight > 0)
            .any(|share| *share.service == *service)
    }
}

/// Capacity of a model engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    /// Number of requests that run concurrently.
    pub slots: u32,
    /// Capacity of its cache memory, in tokens.
    pub memory_tokens: u64,
    /// Models that it serves.
    pub models: Vec<ModelId>,
}

/// A store of kept cache.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreSpec {
    /// Address in the text form that engines expect.
    pub address: Arc<str>,
    /// Failure domain of the store.
    pub domain: FailureDomainId,
    /// Capacity in tokens.
    pub capacity_tokens: u64,
    /// Number of concurrent polls for changes that it answers.
    pub concurrent_polls: u32,
}

/// A declared service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name.
    pub name: ServiceId,
    /// Connections that each of its targets accepts from all callers together.
    pub connection_limit: u32,
    /// Capacity of its engines, if it serves models.
    pub engine: Option<EngineSpec>,
    /// The store of kept cache, if the service is one.
    pub store: Option<StoreSpec>,
    /// How its targets behave while they are cold; `None` if they have no cold state.
    pub cold: Option<ColdLimit>,
}

/// A declared workspace.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// Name.
    pub name: WorkspaceId,
    /// Priority of its requests; overrides the priority of the route.
    pub priority: Option<u8>,
    /// Whether it shares no cache with other workspaces.
    pub is_isolated: bool,
    /// Regions in which its requests may run, besides those that the route allows.
    pub allowed_regions: AllowedRegions,
}

/// Limits on requests from callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Largest head, in bytes.
    pub head_bytes: usize,
    /// Longest time in which a head has to arrive.
    pub header_time: Duration,
    /// Longest time that a connection stays open without a request.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    /// Limits in force until a configuration is known.
    fn default() -> Self {
        Self {
            body_bytes: 4 << 20,
            head_bytes: 32 << 10,
            header_time: Duration::from_secs(16),
            idle_time: Duration::from_secs(16),
        }
    }
}

/// The weight version that the operator has declared for a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DesiredWeights {
    /// Name of the model.
    pub model: ModelId,
    /// Version that its engines should load.
    pub version: u64,
}

/// The configuration declared by the operator, as of one version.
#[derive(Debug, Clone, PartialEq)]
pub struct Declared {
    /// Version; increases with every change.
    pub version: u64,
    /// Limits on requests from callers.
    pub limits: CallerLimits,
    /// Routes by host, longest prefix first.
    routes: HashMap<String, Vec<Arc<Route>>>,
    /// Services by name.
    services: HashMap<ServiceId, Arc<Service>>,
    /// Workspaces by API key; `None` if requests need no key.
    keys: Option<HashMap<String, Arc<Workspace>>>,
    /// Regions that each workspace allows.
    workspace_regions: HashMap<WorkspaceId, AllowedRegions>,
    /// Workspaces that share no cache with others.
    isolated: IsolatedWorkspaces,
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
        let mut workspace_regions = HashMap::new();
        let keyed = || {
            keys.iter()
                .flat_map(HashMap::values)
                .map(|workspace| &**workspace)
        };
        add_regions(&mut workspace_regions, keyed());
        let isolated = isolated_names(keyed()).collect();
        Self {
            version,
            limits,
            routes: by_host,
            services: services.collect(),
            workspace_regions,
            isolated,
            keys,
        }
    }

    /// Sets all workspaces, those without a key included. A request may be in flight of a workspace that holds no key any
    /// more.
    ///
    /// ```
    /// use gateway::{AllowedRegions, CallerLimits, Declared, Workspace};
    ///
    /// let south = AllowedRegions::Only(["south".into()].into());
    /// let mill = Workspace {
    ///     name: "mill".into(),
    ///     priority: None,
    ///     is_isolated: false,
    ///     allowed_regions: south.clone(),
    /// };
    /// let declared = Declared::new(1, CallerLimits::default(), [], [], None).with_workspaces([&mill]);
    /// assert_eq!(declared.workspace_regions("mill"), Some(&south));
    /// ```
    #[must_use]
    pub fn with_workspaces<'a>(
        mut self,
        workspaces: impl IntoIterator<Item = &'a Workspace> + Clone,
    ) -> Self {
        add_regions(&mut self.workspace_regions, workspaces.clone());
        self.isolated = isolated_names(workspaces).collect();
        self
    }

    /// Returns the route of a request: among the host's routes, the one with the longest matching path
    /// prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let list = self.routes.get(host)?;
        list.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }

    /// Returns a service by name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Returns whether requests need an API key.
    pub fn needs_keys(&self) -> bool {
        self.keys.is_some()
    }

    /// Returns the workspace of an API key.
    pub fn workspace(&self, key: &str) -> Option<&Arc<Workspace>> {
        self.keys.as_ref()?.get(key)
    }

    /// Returns the workspaces that share no cache with others.
    pub fn isolated(&self) -> &IsolatedWorkspaces {
        &self.isolated
    }

    /// Returns the regions that a workspace allows, which keeps its name when its keys change; `None` if it is not
    /// declared.
    pub fn workspace_regions(&self, name: &str) -> Option<&AllowedRegions> {
        self.workspace_regions.get(name)
    }
}

/// Adds the regions that workspaces allow. Of several with one name all rules apply.
fn add_regions<'a>(
    regions: &mut HashMap<WorkspaceId, AllowedRegions>,
    workspaces: impl IntoIterator<Item = &'a Workspace>,
) {
    for workspace in workspaces {
        let allowed = regions.entry(workspace.name.clone()).or_default();
        *allowed = allowed.intersect(&workspace.allowed_regions);
    }
}

/// Returns the names of isolated workspaces. One of several with the same name is enough to isolate all of them.
fn isolated_names<'a>(
    workspaces: impl IntoIterator<Item = &'a Workspace>,
) -> impl Iterator<Item = WorkspaceId> {
    let isolated = workspaces.into_iter().filter(|workspace| workspace.is_isolated);
    isolated.map(|workspace| workspace.name.clone())
}
