//! A small deployment on loopback: stand-ins, entry hosts and callers.

#![allow(dead_code, unreachable_pub)]

pub mod caller;

pub use caller::Caller;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use config::{
    HostSettings, LimitSettings, ListenSettings, LogSettings, PeerSettings, PlatformSettings, SecretSettings,
    Settings, ThreadSettings, TimeoutSettings,
};
use entry::Daemon;
use http_io::{Client, ClientConfig, Executor};
use metadata::{HostRole, HostState, HttpPlatform, ListedHost};
use notes::{Acceptance, Declared, Deployment, Limits, NoteStore, Operator, PlainService, Terms, Workspace};
use standins::{
    Engine, EngineConfig, Platform, PlatformConfig, Running, Service, ServiceConfig, Store, StoreConfig,
};
use utils::SystemClock;

/// API key of the workspace `mill`.
pub const MILL_KEY: &str = "mill-key";
/// API key of the workspace `green`.
pub const GREEN_KEY: &str = "green-key";
/// The model that every engine serves.
pub const MODEL: &str = "draft";
/// The service whose calls must not be repeated.
pub const LEDGER: &str = "ledger";

/// Maximum wait of a caller; longer than any timeout of a host.
const CALLER_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum wait for a note to come into force.
const NOTE_TIMEOUT: Duration = Duration::from_secs(15);

/// Configuration of a [`Cluster`].
pub struct ClusterConfig {
    /// Number of engines.
    pub engines: usize,
    /// Number of engines that the platform lists from the start; all if `None`.
    pub listed_engines: Option<usize>,
    /// Number of entry hosts.
    pub hosts: usize,
    /// Time that an engine takes per output token.
    pub time_per_output_token: Duration,
    /// Maximum time without progress of a stream.
    pub progress: Duration,
    /// Number of cache pieces that an engine can hold.
    pub cache_pieces: u32,
}

impl Default for ClusterConfig {
    fn default() -> Self {
        Self {
            engines: 2,
            listed_engines: None,
            hosts: 2,
            time_per_output_token: Duration::from_millis(1),
            progress: Duration::from_millis(400),
            cache_pieces: EngineConfig::default().cache_pieces,
        }
    }
}

/// A running deployment with stand-ins for the platform, engines and services.
pub struct Cluster {
    /// Runs the stand-ins and the callers.
    ex: Executor,
    /// Stand-in of the platform.
    pub platform: Running<Platform>,
    /// Stand-ins of engines.
    pub engines: Vec<Running<Engine>>,
    /// Stand-in of the ledger service.
    pub ledger: Running<Service>,
    /// Running entry hosts.
    pub hosts: Vec<Daemon>,
    /// Dropped to end the thread of the stand-ins.
    stop: async_channel::Sender<()>,
    /// Thread that runs the executor.
    thread: std::thread::JoinHandle<()>,
}

impl Cluster {
    /// Starts everything, declares one model and one service, and waits until every host is ready.
    pub fn start(cfg: &ClusterConfig) -> Self {
        let ex: Executor = Arc::new(smol::Executor::new());
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let thread = std::thread::spawn({
            let ex = ex.clone();
            move || {
                let _ = smol::block_on(ex.run(stopped.recv()));
            }
        });
        let platform = Platform::start(&ex, loopback(), PlatformConfig::default()).unwrap();
        let engines: Vec<_> = (0..cfg.engines).map(|i| start_engine(&ex, i, cfg)).collect();
        let ledger = Service::start(&ex, loopback(), ServiceConfig::default()).unwrap();
        for (i, engine) in engines
            .iter()
            .enumerate()
            .take(cfg.listed_engines.unwrap_or(cfg.engines))
        {
            platform.state().set_host(listed(
                &format!("engine-{i}"),
                HostRole::Engine,
                engine.addr(),
                MODEL,
            ));
        }
        platform
            .state()
            .set_host(listed("ledger-0", HostRole::Service, ledger.addr(), LEDGER));
        let hosts = (0..cfg.hosts)
            .map(|i| start_host(i, platform.addr(), cfg))
            .collect();
        let cluster = Self {
            ex,
            platform,
            engines,
            ledger,
            hosts,
            stop,
            thread,
        };
        cluster.declare(&declared(1));
        cluster.wait_until_ready();
        cluster
    }

    /// Returns the storage of the release notes.
    pub fn notes(&self) -> NoteStore {
        let client = Client::new(self.ex.clone(), ClientConfig::default());
        let platform = Arc::new(HttpPlatform::new(client, self.platform.addr()));
        NoteStore::new(platform.clone(), platform)
    }

    /// Declares `declared` in a release note and waits until the note is in force.
    pub fn declare(&self, declared: &Declared) {
        let operator = Operator {
            store: self.notes(),
            clock: Arc::new(SystemClock::new()),
        };
        let id = format!("note-{}", declared.version);
        let terms = Terms::default();
        let accepted = smol::block_on(operator.declare(id, &terms, declared, NOTE_TIMEOUT)).unwrap();
        assert!(matches!(accepted, Acceptance::InForce(_)));
    }

    /// Starts a store and adds it to the platform's list.
    pub fn add_store(&self) -> Running<Store> {
        let store = Store::start(&self.ex, loopback(), StoreConfig::default()).unwrap();
        let listed = listed("store-0", HostRole::Store, store.addr(), MODEL);
        self.platform.state().set_host(listed);
        store
    }

    /// Returns a caller of the given host.
    pub fn caller(&self, host: usize, api_key: &str) -> Caller {
        let cfg = ClientConfig {
            connect_timeout: CALLER_TIMEOUT,
            response_timeout: CALLER_TIMEOUT,
            ..ClientConfig::default()
        };
        let client = Client::new(self.ex.clone(), cfg);
        Caller::new(client, self.hosts[host].addresses().callers, api_key)
    }

    /// Waits until every host serves drafts.
    fn wait_until_ready(&self) {
        for host in 0..self.hosts.len() {
            let caller = self.caller(host, MILL_KEY);
            while smol::block_on(caller.stream(&body("warm up", 1), None)).status != 200 {
                std::thread::sleep(Duration::from_millis(20));
            }
        }
    }

    /// Drains the hosts and stops the stand-ins.
    pub fn stop(self) {
        for host in self.hosts {
            host.drain().unwrap();
        }
        smol::block_on(async {
            for engine in self.engines {
                engine.stop().await;
            }
            self.ledger.stop().await;
            self.platform.stop().await;
        });
        drop(self.stop);
        self.thread.join().unwrap();
    }
}

/// Returns the body of a streamed completion.
pub fn body(prompt: &str, max_tokens: u32) -> serde_json::Value {
    serde_json::json!({ "model": MODEL, "prompt": prompt, "max_tokens": max_tokens, "stream": true })
}

/// Returns a declaration of one model and one service for two workspaces.
pub fn declared(version: u64) -> Declared {
    let limits = Limits {
        requests_per_second: 100_000.0,
        prompt_tokens_per_second: 1e9,
        open_streams: 10_000,
    };
    let workspace = |key: &str| Workspace {
        key_digests: vec![utils::digest(key.as_bytes())],
        limits,
        ..Workspace::default()
    };
    let deployment = Deployment {
        weight_version: 1,
        max_tokens: 100_000,
        first_token_deadline_ms: 10_000,
        ..Deployment::default()
    };
    let service = PlainService {
        repeatable: false,
        timeout_ms: 2_000,
        workspaces: Vec::new(),
    };
    let mut declared = Declared {
        version,
        ..Declared::default()
    };
    declared.workspaces.insert("mill".into(), workspace(MILL_KEY));
    declared.workspaces.insert("green".into(), workspace(GREEN_KEY));
    declared.deployments.insert(MODEL.into(), deployment);
    declared.services.insert(LEDGER.into(), service);
    declared
}

/// Returns a loopback address with a port that the system chooses.
pub fn loopback() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

fn start_engine(ex: &Executor, i: usize, cfg: &ClusterConfig) -> Running<Engine> {
    let engine = EngineConfig {
        id: format!("engine-{i}").into(),
        models: vec![(MODEL.into(), 1)],
        slots: 512,
        time_per_output_token: cfg.time_per_output_token,
        cache_pieces: cfg.cache_pieces,
        ..EngineConfig::default()
    };
    Engine::start(ex, loopback(), engine).unwrap()
}

fn start_host(i: usize, platform: SocketAddr, cfg: &ClusterConfig) -> Daemon {
    Daemon::start(
        settings(i, platform, cfg.progress),
        slog::Logger::root(slog::Discard, slog::o!()),
    )
    .unwrap()
}

/// Starts a host that has its peer keys in `dir`, and adds it to the platform's list.
pub fn start_with_keys(cluster: &Cluster, dir: &std::path::Path, i: usize, log: slog::Logger) -> Daemon {
    let mut settings = settings(i, cluster.platform.addr(), Duration::from_millis(400));
    let id = settings.host.id.clone();
    settings.peers = PeerSettings {
        authority: Some(dir.join("authority.pem")),
        certificate: Some(dir.join(format!("{id}.pem"))),
        key: Some(dir.join(format!("{id}.key"))),
    };
    let daemon = Daemon::start(settings, log).unwrap();
    let entry = ListedHost {
        peer_address: daemon.addresses().peers,
        serves: Vec::new(),
        ..listed(&id, HostRole::Entry, daemon.addresses().callers, "")
    };
    cluster.platform.state().set_host(entry);
    daemon
}

/// Waits until the condition holds; panics after a minute.
pub fn wait_until(what: &str, holds: impl Fn() -> bool) {
    for _ in 0..1_200 {
        if holds() {
            return;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("timed out waiting for: {what}");
}

/// Returns the settings of a host.
pub fn settings(i: usize, platform: SocketAddr, progress: Duration) -> Settings {
    let platform = PlatformSettings {
        list_interval_ms: 100,
        head_interval_ms: 100,
        ..PlatformSettings::new(platform)
    };
    Settings {
        host: HostSettings {
            id: format!("entry-{i}").into(),
            region: "region-a".into(),
            failure_domain: "domain-a".into(),
        },
        listen: ListenSettings {
            callers: loopback(),
            operators: loopback(),
            peers: loopback(),
        },
        platform,
        peers: PeerSettings::default(),
        tls: None,
        secrets: SecretSettings {
            resume: utils::digest(b"resume"),
            pieces: utils::digest(b"pieces"),
        },
        threads: ThreadSettings::default(),
        limits: LimitSettings {
            body_bytes: 64 << 10,
            prompt_tokens: 8_192,
            ..LimitSettings::default()
        },
        timeouts: TimeoutSettings {
            progress_ms: progress.as_millis() as u64,
            drain_notice_ms: 10,
            ..TimeoutSettings::default()
        },
        log: LogSettings::default(),
    }
}

/// Returns an entry of the platform's list.
pub fn listed(id: &str, role: HostRole, address: SocketAddr, serves: &str) -> ListedHost {
    ListedHost {
        id: id.into(),
        role,
        region: "region-a".into(),
        failure_domain: "domain-a".into(),
        address,
        peer_address: None,
        incarnation: 0,
        state: HostState::Live,
        serves: vec![serves.into()],
        checks_epochs: false,
    }
}
