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
use crate::settings::{Place, loopback, settings};

/// Longest wait until a note is in force.
const NOTE_PATIENCE: Duration = Duration::from_secs(15);
/// Region with two failure domains.
const NEAR: &str = "region-1";
/// Region behind the paid link.
const FAR: &str = "region-2";

/// What a deployment consists of.
pub(crate) struct Layout {
    /// Entry hosts.
    pub(crate) entries: Vec<Place>,
    /// Engines.
    pub(crate) engines: Vec<Place>,
    /// Ledger servers.
    pub(crate) services: Vec<Place>,
    /// Store hosts.
    pub(crate) stores: Vec<Place>,
    /// Settings of every engine but its name and model.
    pub(crate) engine: EngineConfig,
}

impl Layout {
    /// Two regions, with times as on small accelerators.
    pub(crate) fn trial() -> Self {
        Self {
            entries: vec![
                place("entry-1", NEAR, "domain-1"),
                place("entry-2", NEAR, "domain-2"),
                place("entry-3", FAR, "domain-3"),
            ],
            engines: vec![
                place("engine-1", NEAR, "domain-1"),
                place("engine-2", NEAR, "domain-2"),
                place("engine-3", NEAR, "domain-1"),
                place("engine-4", FAR, "domain-3"),
                place("engine-5", FAR, "domain-3"),
            ],
            services: vec![
                place("ledger-1", NEAR, "domain-1"),
                place("ledger-2", NEAR, "domain-2"),
            ],
            stores: vec![
                place("store-1", NEAR, "domain-1"),
                place("store-2", FAR, "domain-3"),
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

    /// One entry host and one engine that takes so long for a token.
    pub(crate) fn single(time_per_output_token: Duration) -> Self {
        Self {
            entries: vec![place("entry-1", NEAR, "domain-1")],
            engines: vec![place("engine-1", NEAR, "domain-1")],
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

const fn place(id: &'static str, region: &'static str, failure_domain: &'static str) -> Place {
    Place {
        id,
        region,
        failure_domain,
    }
}

/// Stand-ins and entry hosts in one process.
pub(crate) struct Deployment {
    /// The platform.
    pub(crate) platform: Running<Platform>,
    /// Engines by name; a killed one is taken out.
    pub(crate) engines: BTreeMap<TargetId, Running<Engine>>,
    /// Ledger servers by name.
    pub(crate) services: BTreeMap<TargetId, Running<Service>>,
    /// Store hosts by name.
    pub(crate) stores: BTreeMap<TargetId, Running<Store>>,
    /// What engines did; outlives them.
    pub(crate) engine_states: BTreeMap<TargetId, Arc<Engine>>,
    /// Entry hosts by name; one that ended is taken out.
    pub(crate) entries: BTreeMap<&'static str, Daemon>,
    /// Regions of hosts and targets.
    pub(crate) regions: BTreeMap<TargetId, RegionId>,
    /// Addresses of the stores by region.
    pub(crate) store_regions: BTreeMap<SocketAddr, RegionId>,
    /// Dropped to end the thread of the stand-ins.
    stop: async_channel::Sender<()>,
    /// Runs the stand-ins.
    thread: JoinHandle<()>,
}

impl Deployment {
    /// Starts everything. Nothing is declared yet.
    pub(crate) fn start(layout: &Layout, preset: &Preset, log: &Logger) -> Result<Self, Report<TrialError>> {
        let ex: Executor = Arc::new(smol::Executor::new());
        let (stop, thread) = run_in_thread(&ex)?;
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
        for place in &layout.engines {
            let cfg = EngineConfig {
                id: place.id.into(),
                models: vec![(preset.model.clone(), 1)],
                ..layout.engine.clone()
            };
            let engine = Engine::start(ex, loopback(), cfg);
            let engine = engine.change_context(TrialError::StandIn)?;
            self.list(place, HostRole::Engine, engine.addr(), &preset.model);
            self.engine_states.insert(place.id.into(), engine.state().clone());
            self.engines.insert(place.id.into(), engine);
        }
        for place in &layout.services {
            let service = Service::start(ex, loopback(), ServiceConfig::default());
            let service = service.change_context(TrialError::StandIn)?;
            self.list(place, HostRole::Service, service.addr(), &preset.service);
            self.services.insert(place.id.into(), service);
        }
        for place in &layout.stores {
            let store = Store::start(ex, loopback(), StoreConfig::default());
            let store = store.change_context(TrialError::StandIn)?;
            self.list(place, HostRole::Store, store.addr(), "");
            self.store_regions.insert(store.addr(), place.region.into());
            self.stores.insert(place.id.into(), store);
        }
        Ok(())
    }

    fn start_entries(&mut self, layout: &Layout, log: &Logger) -> Result<(), Report<TrialError>> {
        for place in &layout.entries {
            let daemon = Daemon::start(settings(place, self.platform.addr()), log.clone());
            let daemon = daemon.change_context(TrialError::Entry)?;
            self.list(place, HostRole::Entry, daemon.addresses().callers, "");
            self.entries.insert(place.id, daemon);
        }
        Ok(())
    }

    /// Brings into force what is declared, by a release note.
    pub(crate) fn declare(&self, wanted: &Declared) -> Result<(), Report<TrialError>> {
        let ex: Executor = Arc::new(smol::Executor::new());
        let client = Client::new(ex.clone(), ClientConfig::default());
        let platform = Arc::new(HttpPlatform::new(client, self.platform.addr()));
        let operator = Operator {
            store: NoteStore::new(platform.clone(), platform),
            clock: Arc::new(SystemClock::new()),
        };
        let accepted = smol::block_on(ex.run(accept(&operator, wanted)));
        match accepted.change_context(TrialError::Note)? {
            Acceptance::InForce(_) => Ok(()),
            Acceptance::Waiting { .. } => Err(Report::new(TrialError::Note)),
        }
    }

    /// Marks a listed engine as leaving.
    pub(crate) fn leave(&self, id: &str, layout: &Layout, preset: &Preset) {
        let place = layout.engines.iter().find(|place| place.id == id);
        if let (Some(place), Some(engine)) = (place, self.engines.get(id)) {
            let mut host = listed(place, HostRole::Engine, engine.addr(), &preset.model);
            host.state = HostState::Leaving;
            self.platform.state().set_host(host);
        }
    }

    /// The entry hosts that run, as callers and as the balancer know them.
    pub(crate) fn entries(&self) -> Vec<(Entry, SocketAddr)> {
        let entry = |(id, daemon): (&&'static str, &Daemon)| {
            let addresses = daemon.addresses();
            (Entry::new(*id, addresses.callers), addresses.operators)
        };
        self.entries.iter().map(entry).collect()
    }

    fn list(&mut self, place: &Place, role: HostRole, address: SocketAddr, serves: &str) {
        self.regions.insert(place.id.into(), place.region.into());
        let host = listed(place, role, address, serves);
        self.platform.state().set_host(host);
    }

    /// Drains the entry hosts that are left and stops the stand-ins.
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

async fn accept(operator: &Operator, wanted: &Declared) -> Result<Acceptance, Report<NoteError>> {
    let head = operator.store.bootstrap(&Terms::default()).await?;
    let base = operator.store.declared(&head.row, None).await?;
    let note = Note::between(format!("note-{}", wanted.version), &base, wanted);
    let (head, base) = operator.stage(&note, NOTE_PATIENCE).await?;
    operator.accept(head, &base, NOTE_PATIENCE, |_| {}).await
}

fn run_in_thread(ex: &Executor) -> Result<(async_channel::Sender<()>, JoinHandle<()>), Report<TrialError>> {
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

fn listed(place: &Place, role: HostRole, address: SocketAddr, serves: &str) -> ListedHost {
    ListedHost {
        id: place.id.into(),
        role,
        region: place.region.into(),
        failure_domain: place.failure_domain.into(),
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
