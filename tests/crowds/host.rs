use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tempfile::TempDir;

use crate::common::deployment::HostFile;
use crate::common::{Action, Backend, Caller, ReceivedRequest, WireStore, answer_ok};

/// Ports of the host: for callers, for readiness checks of the balancer, and for peers.
const PORTS: [u16; 3] = [7_001, 7_002, 7_003];
/// Interval between checks of the process.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Checks in a row without a rise of the memory after which the host has read what the crowd has sent.
const STEADY_CHECKS: u32 = 20;
/// Time after which the host counts as hung. Far above the time of any step, also on a busy machine.
const HANG_TIME: Duration = Duration::from_secs(60);

/// Only one crowd and host runs at a time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Limits in the settings and in the configuration of a host.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Limits {
    pub memory_mb: usize,
    pub file_descriptors: usize,
    pub max_body: usize,
}

/// A process of the system with a store and a target.
pub(crate) struct Host {
    limits: Limits,
    file: HostFile,
    child: Child,
    _store: WireStore,
    _target: Backend,
    _dir: TempDir,
    _turn: MutexGuard<'static, ()>,
}

impl Host {
    pub(crate) fn start(limits: Limits) -> Self {
        Self::start_with_target(limits, |_| answer_ok("fine"))
    }

    /// Starts a host before a target that answers as `answer` says.
    pub(crate) fn start_with_target(
        limits: Limits,
        answer: impl Fn(&ReceivedRequest) -> String + Send + Sync + 'static,
    ) -> Self {
        Self::start_with_stores(limits, &[], answer)
    }

    /// Starts a host before a target and stores of kept cache at these addresses.
    pub(crate) fn start_with_stores(
        limits: Limits,
        stores: &[SocketAddr],
        answer: impl Fn(&ReceivedRequest) -> String + Send + Sync + 'static,
    ) -> Self {
        let turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
        let target = Backend::start(move |req| vec![Action::Write(answer(req))]);
        let store = WireStore::start();
        let mut config = config(limits.max_body);
        let services = config["services"].as_array_mut().unwrap();
        services.extend(stores.iter().enumerate().map(kept_store));
        store.put("op", "config", &config);
        store.put("servers", "i-0", &target.entry("s"));
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let ip = Ipv4Addr::new(127, 90, high, low);
        let file = HostFile {
            name: "host-0".to_owned(),
            callers: (ip, PORTS[0]).into(),
            readiness: (ip, PORTS[1]).into(),
            peers: (ip, PORTS[2]).into(),
            seeds: Vec::new(),
            store: store.address,
        };
        let dir = tempfile::tempdir().unwrap();
        let path = dir.path().join("host.yaml");
        std::fs::write(&path, settings(&file, limits)).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_laburnumtally"))
            .args(["serve", "--platform"])
            .env("LABURNUMTALLY_BOOT", &path)
            .stdout(Stdio::null())
            .stderr(File::create(dir.path().join("host.log")).unwrap())
            .spawn()
            .unwrap();
        let host = Self {
            limits,
            file,
            child,
            _store: store,
            _target: target,
            _dir: dir,
            _turn: turn,
        };
        host.wait_until("is not ready", || {
            let caller = Caller::try_connect(host.file.readiness);
            caller.is_some_and(|mut caller| caller.request("GET", "/v1/readiness", "", "", "").status == 200)
        });
        host
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.file.callers
    }

    /// Returns the address for other hosts.
    pub(crate) fn peer_address(&self) -> SocketAddr {
        self.file.peers
    }

    /// Sends a request with a body of `length` bytes on a new connection, and returns the status of its answer; 0 if
    /// the connection closed.
    pub(crate) fn request(&self, length: usize) -> u16 {
        let body = "x".repeat(length);
        let caller = Caller::try_connect(self.address());
        caller.map_or(0, |mut caller| {
            let headers = "Deadline-Milliseconds: 60000";
            caller
                .request("POST", "/safe/x", "ordinary", headers, &body)
                .status
        })
    }

    /// Checks that the process lives, that its memory and descriptors are within its limits, and that it answers an
    /// ordinary request while `open` connections are still there.
    pub(crate) fn check(mut self, name: &str, open: Vec<TcpStream>) {
        self.wait_until_steady();
        let descriptors = self.descriptors();
        let mut status = 0;
        self.wait_until("does not answer an ordinary request", || {
            status = self.request(1_000);
            status == 200 || self.memory_kb("VmHWM:").is_none()
        });
        let exit = self.child.try_wait().unwrap();
        let peak_mb = self.memory_kb("VmHWM:").unwrap_or(0) / 1_024;
        println!(
            "{name}: peak {peak_mb} MB of {}, {descriptors} descriptors of {}, ordinary request {status}, exit {exit:?}",
            self.limits.memory_mb, self.limits.file_descriptors
        );
        assert!(exit.is_none(), "the process ended");
        assert!(peak_mb <= self.limits.memory_mb, "{peak_mb} MB");
        assert!(
            descriptors <= self.limits.file_descriptors,
            "{descriptors} descriptors"
        );
        assert_eq!(status, 200);
        drop(open);
    }

    /// Waits until the memory no longer rises: the host has read what the crowd has sent.
    fn wait_until_steady(&self) {
        let (mut highest, mut steady) = (0, 0);
        self.wait_until("memory rises without end", || {
            let memory = self.memory_kb("VmRSS:").unwrap_or(0);
            steady = if memory > highest { 0 } else { steady + 1 };
            highest = highest.max(memory);
            steady >= STEADY_CHECKS
        });
    }

    fn wait_until(&self, problem: &str, mut is_done: impl FnMut() -> bool) {
        let deadline = Instant::now() + HANG_TIME;
        while !is_done() {
            assert!(Instant::now() < deadline, "{problem}");
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Returns a field of the process's status in kB; `None` once the process has ended.
    fn memory_kb(&self, field: &str) -> Option<usize> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with(field))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    fn descriptors(&self) -> usize {
        let entries = std::fs::read_dir(format!("/proc/{}/fd", self.child.id()));
        entries.map_or(0, |entries| entries.count())
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        // Fails only if the process has exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn settings(file: &HostFile, limits: Limits) -> String {
    let mut settings: Value = serde_json::from_str(&file.text()).unwrap();
    settings["limits"]["memory_mb"] = json!(limits.memory_mb);
    settings["limits"]["file_descriptors"] = json!(limits.file_descriptors);
    settings.to_string()
}

/// Returns a declaration of two routes without keys. Their timeout is longer than any test, so that no body is refused
/// for its time.
fn config(max_body: usize) -> Value {
    json!({"version": 1,
        "routes": [{"name": "safe", "host": "h.example", "prefix": "/safe/", "route_kind": "safe",
            "timeout_ms": 120_000, "target_latency_ms": 1_000, "service": "s", "max_attempts": 1},
            {"name": "stream", "host": "h.example", "prefix": "/stream/", "route_kind": "streaming",
            "timeout_ms": 120_000, "target_latency_ms": 1_000, "service": "s", "max_attempts": 1}],
        "services": [{"name": "s", "connection_limit": 100}],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": max_body, "header_timeout_ms": 60_000,
            "idle_timeout_ms": 60_000}})
}

/// Returns the service of a store of kept cache.
fn kept_store((i, address): (usize, &SocketAddr)) -> Value {
    json!({"name": format!("kv-{i}"), "kv_store_address": address.to_string(), "zone": "a",
        "kv_cache_tokens": 100_000, "max_concurrency": 8})
}
