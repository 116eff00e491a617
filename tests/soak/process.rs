use std::fs::File;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

use crate::common::deployment::{GRACE_S, HostFile};
use crate::common::{Caller, Proxy, WireStore};

/// Ports of a host: for callers, for readiness checks of the balancer, and for peers.
const PORTS: [u16; 3] = [7_001, 7_002, 7_003];
/// Interval between checks of a process or its readiness.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Returns a loopback address for one host. Its ports are free whatever other sockets the machine opens.
fn host_ip(index: usize) -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 100 + index as u8, high, low)
}

/// Returns the name of a host.
pub(crate) fn host_name(index: usize) -> String {
    format!("host-{index}")
}

/// An entry host that runs as a separate process of the product's binary.
pub(crate) struct Host {
    /// Contents of its settings file.
    pub file: HostFile,
    /// Link to the store.
    pub store_link: Proxy,
    /// Number of times that its process was started.
    pub start_count: AtomicU64,
    settings_path: PathBuf,
    log_path: PathBuf,
    child: Mutex<Option<Child>>,
}

impl Host {
    /// Creates the proxy and settings of a host without starting its process.
    pub(crate) fn new(dir: &Path, index: usize, store: &WireStore) -> Self {
        let store_link = Proxy::start(store.address);
        let ip = host_ip(index);
        let file = HostFile {
            name: host_name(index),
            callers: (ip, PORTS[0]).into(),
            readiness: (ip, PORTS[1]).into(),
            peers: (ip, PORTS[2]).into(),
            seeds: Vec::new(),
            store: store_link.address,
        };
        Self {
            settings_path: dir.join(format!("{}.yaml", file.name)),
            log_path: dir.join(format!("{}.log", file.name)),
            file,
            store_link,
            start_count: AtomicU64::new(0),
            child: Mutex::new(None),
        }
    }

    pub(crate) fn start(&self) {
        std::fs::write(&self.settings_path, self.file.text()).unwrap();
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log_path)
            .unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_laburnumtally"))
            .args(["serve", "--platform"])
            .env("LABURNUMTALLY_BOOT", &self.settings_path)
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap();
        self.start_count.fetch_add(1, Ordering::SeqCst);
        *self.child.lock().unwrap() = Some(child);
    }

    /// Sends a signal to the process of this host, if it has one.
    pub(crate) fn signal(&self, signal: Signal) {
        if let Some(child) = self.child.lock().unwrap().as_ref() {
            // A process in `child` has not been reaped, so its PID can not belong to another process.
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// Waits for the process to exit; returns false if it still runs after five times its grace period.
    pub(crate) fn wait_for_exit(&self) -> bool {
        let deadline = Instant::now() + Duration::from_secs(GRACE_S) * 5;
        while Instant::now() < deadline {
            let mut child = self.child.lock().unwrap();
            let has_exited = child
                .as_mut()
                .is_none_or(|child| child.try_wait().unwrap().is_some());
            if has_exited {
                *child = None;
                return true;
            }
            drop(child);
            std::thread::sleep(POLL_INTERVAL);
        }
        false
    }

    /// Returns whether the process has exited without being stopped by the test.
    pub(crate) fn has_crashed(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        child
            .as_mut()
            .is_none_or(|child| child.try_wait().unwrap().is_some())
    }

    /// Kills the process and reaps it.
    pub(crate) fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            // Fails only if the process has exited already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub(crate) fn is_ready(&self) -> bool {
        let caller = Caller::try_connect(self.file.readiness);
        caller.is_some_and(|mut caller| caller.request("GET", "/v1/readiness", "", "", "").status == 200)
    }

    pub(crate) fn wait_until_ready(&self, deadline: Instant) -> bool {
        while Instant::now() < deadline {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        false
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}
