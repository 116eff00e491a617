use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use rustix::process::Signal;
use serde_json::json;

use crate::callers::{CallerContext, SentRequest, run_caller};
use crate::common::deployment::{
    GUEST, WORKSPACES, declare, declare_weights, guest_key, plain_headers, versioned_path,
};
use crate::common::{Caller, Engine, EngineMode, Link, Observations, Proxy, WireStore};
use crate::plan::{Disruption, Size, Step, plan};
use crate::process::Host;
use crate::violations::{FaultWindow, History, find_violations};

/// Maximum time for the deployment to start or to recover.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(90);
/// Time for in-flight runs and answers to complete before the checks.
const COMPLETION_DELAY: Duration = Duration::from_millis(500);
/// Pause before a killed process is restarted.
const RESTART_DELAY: Duration = Duration::from_millis(250);
/// Time from a declaration of weights until the first engines load them.
const LOAD_START_DELAY: Duration = Duration::from_millis(400);
/// Key of the row that evacuates the failure domain of the engines.
const EVACUATION_KEY: &str = "evacuate/a";
/// Connections with a stalled body, and the announced length of each body in bytes, below the declared limit.
const STALLED_CALLERS: usize = 40;
const STALLED_BODY: usize = 90_000;
/// Interval between checks of the weights of engines and of the recovery.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Result of a run.
pub(crate) struct Outcome {
    /// Descriptions of the violated promises.
    pub violations: Vec<String>,
    /// Number of requests sent, and of those answered with status 200.
    pub requests: (usize, usize),
}

/// An engine and the proxy through which hosts connect to it.
struct EngineEndpoint {
    engine: Engine,
    link: Proxy,
}

impl EngineEndpoint {
    fn key(&self) -> String {
        self.engine.instance()
    }

    fn register(&self, store: &WireStore) {
        let entry = self.engine.entry(&self.link.address.to_string());
        store.put("servers", &self.key(), &entry);
    }
}

/// Hosts, engines and store of a run, with the state of its disruptions.
struct Deployment {
    /// Store that hosts reach through a proxy each.
    store: WireStore,
    endpoints: Vec<EngineEndpoint>,
    hosts: Vec<Host>,
    observations: Arc<Observations>,
    /// Version of the newest declaration.
    declared_version: AtomicU64,
    /// Newest declared weight version.
    weight_version: AtomicU64,
    /// Number of replaced engines, which numbers their instances.
    replacements: AtomicU64,
    fault_windows: Mutex<Vec<FaultWindow>>,
    /// Violations that were found while the run went on.
    violations: Mutex<Vec<String>>,
}

/// Runs the plan of a seed and checks what callers and engines observed against the promises.
pub(crate) fn soak(seed: u64, size: Size) -> Outcome {
    let dir = tempfile::tempdir().unwrap();
    let mut deployment = Deployment::start(dir.path(), size);
    let stop = AtomicBool::new(false);
    let context = &CallerContext {
        hosts: &deployment.hosts,
        declared_version: &deployment.declared_version,
        stop: &stop,
    };
    let requests = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..size.callers)
            .map(|number| scope.spawn(move || run_caller(context, seed, number)))
            .collect();
        deployment.run_steps(&plan(seed, size));
        deployment.wait_for_recovery();
        stop.store(true, Ordering::SeqCst);
        let requests = callers.into_iter().flat_map(|caller| caller.join().unwrap());
        requests.collect::<Vec<SentRequest>>()
    });
    std::thread::sleep(COMPLETION_DELAY);
    let mut violations = find_violations(&History {
        requests: &requests,
        observations: &deployment.observations,
        fault_windows: &deployment.fault_windows.lock().unwrap(),
    });
    violations.append(deployment.violations.get_mut().unwrap());
    if !violations.is_empty() {
        eprintln!("logs of seed {seed}: {}", dir.keep().display());
    }
    let served = requests.iter().filter(|request| request.reply.status == 200);
    Outcome {
        violations,
        requests: (requests.len(), served.count()),
    }
}

impl Deployment {
    fn start(dir: &std::path::Path, size: Size) -> Self {
        let store = WireStore::start();
        declare(&store, 1);
        declare_weights(&store, 1);
        let observations = Arc::new(Observations::default());
        let endpoints: Vec<_> = (0..size.engines)
            .map(|index| {
                let engine = Engine::start(&format!("engine-{index}"), observations.clone());
                let link = Proxy::start(engine.backend.address);
                EngineEndpoint { engine, link }
            })
            .collect();
        for endpoint in &endpoints {
            endpoint.register(&store);
        }
        let mut hosts: Vec<_> = (0..size.hosts)
            .map(|index| Host::new(dir, index, &store))
            .collect();
        let seeds: Vec<_> = hosts.iter().map(|host| host.file.peers).take(3).collect();
        for host in &mut hosts {
            host.file.seeds = seeds.clone();
            host.start();
        }
        let deadline = Instant::now() + RECOVERY_TIMEOUT;
        for host in &hosts {
            assert!(
                host.wait_until_ready(deadline),
                "{} does not start",
                host.file.name
            );
        }
        Self {
            store,
            endpoints,
            hosts,
            observations,
            declared_version: AtomicU64::new(1),
            weight_version: AtomicU64::new(1),
            replacements: AtomicU64::new(0),
            fault_windows: Mutex::default(),
            violations: Mutex::default(),
        }
    }

    /// Runs each step on its own thread, because steps overlap, and keeps the engines' registration
    /// records in the store up to date.
    fn run_steps(&self, steps: &[Step]) {
        let begin = Instant::now();
        let is_done = AtomicBool::new(false);
        let host_locks: Vec<Mutex<()>> = self.hosts.iter().map(|_| Mutex::default()).collect();
        std::thread::scope(|scope| {
            scope.spawn(|| self.update_registrations(&is_done));
            std::thread::scope(|threads| {
                for step in steps {
                    let host_locks = &host_locks;
                    std::thread::sleep((begin + step.at).saturating_duration_since(Instant::now()));
                    threads.spawn(move || self.run_step(step, host_locks));
                }
            });
            is_done.store(true, Ordering::SeqCst);
        });
    }

    /// Rewrites the registration records in the store of engines whose weights have changed, as real engines
    /// do, and all registration records at the end.
    fn update_registrations(&self, is_done: &AtomicBool) {
        let mut registered: Vec<u64> = self
            .endpoints
            .iter()
            .map(|endpoint| endpoint.engine.weights())
            .collect();
        while !is_done.load(Ordering::SeqCst) {
            for (endpoint, registered) in self.endpoints.iter().zip(&mut registered) {
                let weights = endpoint.engine.weights();
                if weights != std::mem::replace(registered, weights) {
                    endpoint.register(&self.store);
                }
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        for endpoint in &self.endpoints {
            endpoint.register(&self.store);
        }
    }

    /// Runs a step and records the time window of a fault.
    fn run_step(&self, step: &Step, host_locks: &[Mutex<()>]) {
        let from = Instant::now();
        self.disrupt(step, host_locks);
        if !step.disruption.is_planned() {
            let until = Instant::now();
            let disruption = step.disruption;
            self.fault_windows.lock().unwrap().push(FaultWindow {
                disruption,
                from,
                until,
            });
        }
    }

    /// Injects the disruption of a step and returns after its end. A disruption of a process is skipped while
    /// another one is in progress at the same host.
    fn disrupt(&self, step: &Step, host_locks: &[Mutex<()>]) {
        let wait = || std::thread::sleep(step.duration);
        match step.disruption {
            Disruption::Declare => {
                // The store has the declaration before callers use its version.
                let version = self.declared_version.load(Ordering::SeqCst) + 1;
                declare(&self.store, version);
                self.declared_version.fetch_max(version, Ordering::SeqCst);
            }
            Disruption::DeclareWeights => {
                declare_weights(
                    &self.store,
                    self.weight_version.fetch_add(1, Ordering::SeqCst) + 1,
                );
            }
            Disruption::Hup(host) => self.hosts[host].signal(Signal::HUP),
            Disruption::Term(host) => {
                let Ok(_lock) = host_locks[host].try_lock() else {
                    return;
                };
                self.hosts[host].signal(Signal::TERM);
                if !self.hosts[host].wait_for_exit() {
                    let violation = format!("{} did not exit after SIGTERM", self.hosts[host].file.name);
                    self.violations.lock().unwrap().push(violation);
                    self.hosts[host].kill();
                }
                self.hosts[host].start();
            }
            Disruption::Kill(host) => {
                let Ok(_lock) = host_locks[host].try_lock() else {
                    return;
                };
                self.hosts[host].kill();
                std::thread::sleep(RESTART_DELAY);
                self.hosts[host].start();
            }
            Disruption::Pause(host) => self.pause(host, step.duration, host_locks),
            Disruption::PauseDuringLoad(host) => {
                declare_weights(
                    &self.store,
                    self.weight_version.fetch_add(1, Ordering::SeqCst) + 1,
                );
                std::thread::sleep(LOAD_START_DELAY);
                self.pause(host, step.duration, host_locks);
            }
            Disruption::StoreLink(host, link) => {
                self.hosts[host].store_link.set(link);
                wait();
                self.hosts[host].store_link.set(Link::Normal);
            }
            Disruption::StoreRejects => {
                self.store.set_rejecting(true);
                wait();
                self.store.set_rejecting(false);
            }
            Disruption::StoreCompacts => self.store.compact(),
            Disruption::EngineLink(engine, link) => {
                self.endpoints[engine].link.set(link);
                wait();
                self.endpoints[engine].link.set(Link::Normal);
            }
            Disruption::EngineMode(engine, mode) => {
                self.endpoints[engine].engine.set_mode(mode);
                wait();
                self.endpoints[engine].engine.set_mode(EngineMode::Normal);
            }
            Disruption::EngineRestarts(engine) => {
                let endpoint = &self.endpoints[engine];
                endpoint.engine.restart(None);
                endpoint.link.reset();
                endpoint.register(&self.store);
            }
            Disruption::EngineReplaced(engine) => {
                let endpoint = &self.endpoints[engine];
                let number = self.replacements.fetch_add(1, Ordering::SeqCst);
                self.store.remove("servers", &endpoint.key());
                endpoint
                    .engine
                    .restart(Some(&format!("engine-{engine}-{number}")));
                endpoint.link.reset();
                endpoint.register(&self.store);
            }
            Disruption::EntryLapses(engine) => {
                let key = self.endpoints[engine].key();
                self.store.remove("servers", &key);
                wait();
                if self.endpoints[engine].key() == key {
                    self.endpoints[engine].register(&self.store);
                }
            }
            Disruption::StalledBodies(host) => {
                let _open = send_stalled_bodies(self.hosts[host].file.callers);
                wait();
            }
            Disruption::Evacuate => {
                self.store.put("op", EVACUATION_KEY, &json!({}));
                wait();
                self.store.remove("op", EVACUATION_KEY);
            }
            Disruption::EngineCold(engine) => {
                let endpoint = &self.endpoints[engine];
                let mut entry = endpoint.engine.entry(&endpoint.link.address.to_string());
                entry["cold_remaining_ms"] = json!(step.duration.as_millis() as u64);
                self.store.put("servers", &endpoint.key(), &entry);
                wait();
                endpoint.register(&self.store);
            }
        }
    }

    fn pause(&self, host: usize, duration: Duration, host_locks: &[Mutex<()>]) {
        let Ok(_lock) = host_locks[host].try_lock() else {
            return;
        };
        self.hosts[host].signal(Signal::STOP);
        std::thread::sleep(duration);
        self.hosts[host].signal(Signal::CONT);
    }

    /// Waits until every host and engine is at the newest declarations; records a violation after the
    /// timeout.
    fn wait_for_recovery(&self) {
        // An invalid entry must not affect other entries.
        self.store.put("servers", "forged", &json!({"service": 7}));
        declare(&self.store, self.declared_version.load(Ordering::SeqCst) + 1);
        self.declared_version.fetch_add(1, Ordering::SeqCst);
        let deadline = Instant::now() + RECOVERY_TIMEOUT;
        let unrecovered = loop {
            let unrecovered = self.find_unrecovered();
            if unrecovered.is_none() || Instant::now() > deadline {
                break unrecovered;
            }
            std::thread::sleep(POLL_INTERVAL);
        };
        self.violations.lock().unwrap().extend(unrecovered);
    }

    /// Returns the first engine or host that is not at the newest declarations, if any.
    fn find_unrecovered(&self) -> Option<String> {
        let newest = self.weight_version.load(Ordering::SeqCst);
        for endpoint in &self.endpoints {
            if endpoint.engine.weights() != newest {
                return Some(format!("{} has not loaded weights {newest}", endpoint.key()));
            }
        }
        let version = self.declared_version.load(Ordering::SeqCst);
        for host in &self.hosts {
            let name = &host.file.name;
            if host.has_crashed() {
                return Some(format!("{name} has exited unexpectedly"));
            }
            if !host.is_ready() {
                return Some(format!("{name} is not ready"));
            }
            let status = |path: &str, key: &str| {
                let caller = Caller::try_connect(host.file.callers);
                let headers = plain_headers(key);
                caller.map_or(0, |mut caller| {
                    caller.request("POST", path, "probe", &headers, "").status
                })
            };
            let key = WORKSPACES[0].1;
            let versioned = status(&format!("{}x", versioned_path(version)), key);
            let guest = status("/safe/x", &guest_key(version - 1));
            if (versioned, guest) != (200, 401) {
                return Some(format!(
                    "{name} answers {versioned} on the newest path and {guest} to the previous key of {GUEST}"
                ));
            }
        }
        None
    }
}

/// Opens connections to a host and sends requests on them whose bodies stop short of their end.
fn send_stalled_bodies(host: SocketAddr) -> Vec<TcpStream> {
    let head = format!(
        "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: stalled\r\nKey: {}\r\nContent-Length: {STALLED_BODY}\r\n\r\n",
        WORKSPACES[0].1
    );
    let part = vec![b'x'; STALLED_BODY - 1];
    let streams = (0..STALLED_CALLERS).filter_map(|_| {
        let mut stream = TcpStream::connect(host).ok()?;
        // The host may refuse the request or close the connection.
        let _ = stream
            .write_all(head.as_bytes())
            .and_then(|()| stream.write_all(&part));
        Some(stream)
    });
    streams.collect()
}
