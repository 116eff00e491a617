use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use entry::Daemon;
use error_stack::{Report, ResultExt};
use http_io::{Client, ClientConfig, Executor};
use loadgen::{Entry, Preset};
use metadata::{HostRole, HostState, HttpPlatform, ListedHost};
use notes::{Acceptance, Declared, Note, NoteError, NoteStore, Operator, Terms};
use slog::Logger;
use standins::{
    Engine, EngineConfig, Platform, PlatformConfig, Running, Service, ServiceConfig, Store, StoreConfig,
};
use utils::{RegionId, SystemClock, TargetId};

use crate::TrialError;
use crate::settings::{HostSpec, loopback, settings};

/// Timeout for putting a release note into force.
const NOTE_TIMEOUT: Duration = Duration::from_secs(15);
/// Main region, with two failure domains.
const MAIN_REGION: &str = "region-1";
/// Second region, reached over a link whose traffic is paid for.
const REMOTE_REGION: &str = "region-2";

/// Hosts of a deployment.
pub(crate) struct Layout {
    /// Entry hosts.
    pub(crate) entries: Vec<HostSpec>,
    /// Engines.
    pub(crate) engines: Vec<HostSpec>,
    /// Servers of the plain service.
    pub(crate) services: Vec<HostSpec>,
    /// Store hosts.
    pub(crate) stores: Vec<HostSpec>,
    /// Settings of all engines, except name and models.
    pub(crate) engine: EngineConfig,
}

impl Layout {
    /// Returns a deployment in two regions whose engines have the token times of small accelerators.
    pub(crate) fn trial() -> Self {
        Self {
            entries: vec![
                host_spec("entry-1", MAIN_REGION, "domain-1"),
                host_spec("entry-2", MAIN_REGION, "domain-2"),
                host_spec("entry-3", REMOTE_REGION, "domain-3"),
            ],
            engines: vec![
                host_spec("engine-1", MAIN_REGION, "domain-1"),
                host_spec("engine-2", MAIN_REGION, "domain-2"),
                host_spec("engine-3", MAIN_REGION, "domain-1"),
                host_spec("engine-4", REMOTE_REGION, "domain-3"),
                host_spec("engine-5", REMOTE_REGION, "domain-3"),
            ],
            services: vec![
                host_spec("ledger-1", MAIN_REGION, "domain-1"),
                host_spec("ledger-2", MAIN_REGION, "domain-2"),
            ],
            stores: vec![
                host_spec("store-1", MAIN_REGION, "domain-1"),
                host_spec("store-2", REMOTE_REGION, "domain-3"),
            ],
            engine: EngineConfig {
                time_per_prompt_token: Duration::from_micros(10),
                time_per_output_token: Duration::from_millis(2),
                cache_pieces: 96,
                load_lag: Duration::from_millis(100),
                event_lag: Duration::from_millis(50),
                ..EngineConfig::default()
            },
        }
    }

    /// Returns a deployment of one entry host and one engine that takes `time_per_output_token` per token.
    pub(crate) fn single(time_per_output_token: Duration) -> Self {
        Self {
            entries: vec![host_spec("entry-1", MAIN_REGION, "domain-1")],
            engines: vec![host_spec("engine-1", MAIN_REGION, "domain-1")],
            services: vec![],
            stores: vec![],
            engine: EngineConfig {
                slots: 100_000,
                time_per_output_token,
                ..EngineConfig::default()
            },
        }
    }
}

const fn host_spec(id: &'static str, region: &'static str, failure_domain: &'static str) -> HostSpec {
    HostSpec {
        id,
        region,
        failure_domain,
    }
}

/// Running stand-ins and entry hosts of a trial, in one process.
pub(crate) struct Deployment {
    /// Stand-in for the platform.
    pub(crate) platform: Running<Platform>,
    /// Running engines, by name; a killed engine is removed.
    pub(crate) engines: BTreeMap<TargetId, Running<Engine>>,
    /// Servers of the plain service, by name.
    pub(crate) services: BTreeMap<TargetId, Running<Service>>,
    /// Store hosts, by name.
    pub(crate) stores: BTreeMap<TargetId, Running<Store>>,
    /// State of all engines with their records, by name; it stays after an engine is killed.
    pub(crate) engine_states: BTreeMap<TargetId, Arc<Engine>>,
    /// Running entry hosts, by name; a host that has ended is removed.
    pub(crate) entries: BTreeMap<&'static str, Daemon>,
    /// Regions of hosts and targets, by name.
    pub(crate) regions: BTreeMap<TargetId, RegionId>,
    /// Regions of the stores, by address.
    pub(crate) store_regions: BTreeMap<SocketAddr, RegionId>,
    /// Channel that ends the thread of the stand-ins when it is dropped.
    stop: async_channel::Sender<()>,
    /// Thread that runs the stand-ins.
    thread: JoinHandle<()>,
}

impl Deployment {
    /// Starts the stand-ins and entry hosts and adds them to the host list. Nothing is declared yet.
    pub(crate) fn start(layout: &Layout, preset: &Preset, log: &Logger) -> Result<Self, Report<TrialError>> {
        let ex: Executor = Arc::new(smol::Executor::new());
        let (stop, thread) = spawn_executor_thread(&ex)?;
        let cfg = PlatformConfig {
            list_lag: Duration::from_millis(200),
            ..PlatformConfig::default()
        };
        let platform = Platform::start(&ex, loopback(), cfg).change_context(TrialError::StandIn)?;
        let mut deployment = Self {
            platform,
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            stores: BTreeMap::new(),
            engine_states: BTreeMap::new(),
            entries: BTreeMap::new(),
            regions: BTreeMap::new(),
            store_regions: BTreeMap::new(),
            stop,
            thread,
        };
        deployment.start_targets(&ex, layout, preset)?;
        deployment.start_entries(layout, log)?;
        Ok(deployment)
    }

    fn start_targets(
        &mut self,
        ex: &Executor,
        layout: &Layout,
        preset: &Preset,
    ) -> Result<(), Report<TrialError>> {
        for spec in &layout.engines {
            let cfg = EngineConfig {
                id: spec.id.into(),
                models: vec![(preset.model.clone(), 1)],
                ..layout.engine.clone()
            };
            let engine = Engine::start(ex, loopback(), cfg);
            let engine = engine.change_context(TrialError::StandIn)?;
            self.add_to_list(spec, HostRole::Engine, engine.addr(), &preset.model);
            self.engine_states.insert(spec.id.into(), engine.state().clone());
            self.engines.insert(spec.id.into(), engine);
        }
        for spec in &layout.services {
            let service = Service::start(ex, loopback(), ServiceConfig::default());
            let service = service.change_context(TrialError::StandIn)?;
            self.add_to_list(spec, HostRole::Service, service.addr(), &preset.service);
            self.services.insert(spec.id.into(), service);
        }
        for spec in &layout.stores {
            let store = Store::start(ex, loopback(), StoreConfig::default());
            let store = store.change_context(TrialError::StandIn)?;
            self.add_to_list(spec, HostRole::Store, store.addr(), "");
            self.store_regions.insert(store.addr(), spec.region.into());
            self.stores.insert(spec.id.into(), store);
        }
        Ok(())
    }

    fn start_entries(&mut self, layout: &Layout, log: &Logger) -> Result<(), Report<TrialError>> {
        for spec in &layout.entries {
            let daemon = Daemon::start(settings(spec, self.platform.addr()), log.clone());
            let daemon = daemon.change_context(TrialError::Entry)?;
            self.add_to_list(spec, HostRole::Entry, daemon.addresses().callers, "");
            self.entries.insert(spec.id, daemon);
        }
        Ok(())
    }

    /// Puts `wanted` into force with a release note.
    pub(crate) fn declare(&self, wanted: &Declared) -> Result<(), Report<TrialError>> {
        let ex: Executor = Arc::new(smol::Executor::new());
        let client = Client::new(ex.clone(), ClientConfig::default());
        let platform = Arc::new(HttpPlatform::new(client, self.platform.addr()));
        let operator = Operator {
            store: NoteStore::new(platform.clone(), platform),
            clock: Arc::new(SystemClock::new()),
        };
        let accepted = smol::block_on(ex.run(put_into_force(&operator, wanted)));
        match accepted.change_context(TrialError::Note)? {
            Acceptance::InForce(_) => Ok(()),
            Acceptance::Waiting { .. } => Err(Report::new(TrialError::Note)),
        }
    }

    /// Marks an engine as leaving in the host list.
    pub(crate) fn mark_leaving(&self, id: &str, layout: &Layout, preset: &Preset) {
        let spec = layout.engines.iter().find(|spec| spec.id == id);
        if let (Some(spec), Some(engine)) = (spec, self.engines.get(id)) {
            let mut host = listed_host(spec, HostRole::Engine, engine.addr(), &preset.model);
            host.state = HostState::Leaving;
            self.platform.state().set_host(host);
        }
    }

    /// Returns the running entry hosts with the addresses of their listeners for operators.
    pub(crate) fn entries(&self) -> Vec<(Entry, SocketAddr)> {
        let entry = |(id, daemon): (&&'static str, &Daemon)| {
            let addresses = daemon.addresses();
            (Entry::new(*id, addresses.callers), addresses.operators)
        };
        self.entries.iter().map(entry).collect()
    }

    /// Adds a host to the host list of the platform and remembers its region.
    fn add_to_list(&mut self, spec: &HostSpec, role: HostRole, address: SocketAddr, serves: &str) {
        self.regions.insert(spec.id.into(), spec.region.into());
        let host = listed_host(spec, role, address, serves);
        self.platform.state().set_host(host);
    }

    /// Drains the remaining entry hosts and stops the stand-ins.
    pub(crate) fn stop(self) -> Result<(), Report<TrialError>> {
        for daemon in self.entries.into_values() {
            daemon.drain().change_context(TrialError::Entry)?;
        }
        smol::block_on(async {
            for engine in self.engines.into_values() {
                engine.stop().await;
            }
            for service in self.services.into_values() {
                service.stop().await;
            }
            for store in self.stores.into_values() {
                store.stop().await;
            }
            self.platform.stop().await;
        });
        drop(self.stop);
        self.thread.join().map_err(|_| Report::new(TrialError::Thread))
    }
}

/// Stages and accepts a release note for the difference between what is in force and `wanted`.
async fn put_into_force(operator: &Operator, wanted: &Declared) -> Result<Acceptance, Report<NoteError>> {
    let head = operator.store.bootstrap(&Terms::default()).await?;
    let base = operator.store.declared(&head.row, None).await?;
    let note = Note::between(format!("note-{}", wanted.version), &base, wanted);
    let (head, base) = operator.stage(&note, NOTE_TIMEOUT).await?;
    operator.accept(head, &base, NOTE_TIMEOUT, |_| {}).await
}

/// Starts a thread that runs the tasks of `ex` until the returned channel is dropped.
fn spawn_executor_thread(
    ex: &Executor,
) -> Result<(async_channel::Sender<()>, JoinHandle<()>), Report<TrialError>> {
    let (stop, stopped) = http_io::shutdown_channel();
    let ex = ex.clone();
    let thread = std::thread::Builder::new()
        .name("stand-ins".to_owned())
        .spawn(move || {
            let _ = smol::block_on(ex.run(stopped.recv()));
        })
        .change_context(TrialError::Thread)?;
    Ok((stop, thread))
}

/// Returns the entry of a live host in the host list.
fn listed_host(spec: &HostSpec, role: HostRole, address: SocketAddr, serves: &str) -> ListedHost {
    ListedHost {
        id: spec.id.into(),
        role,
        region: spec.region.into(),
        failure_domain: spec.failure_domain.into(),
        address,
        peer_address: None,
        incarnation: 0,
        state: HostState::Live,
        serves: [serves]
            .into_iter()
            .filter(|s| !s.is_empty())
            .map(Arc::from)
            .collect(),
        checks_epochs: true,
    }
}
