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

/// Ports of a host: for callers, for the balancer, for other hosts.
const PORTS: [u16; 3] = [7_001, 7_002, 7_003];
/// Pause between looks at a process or its readiness.
const LOOK: Duration = Duration::from_millis(10);

/// A loopback address of the host alone, so that its ports are free whatever other sockets the machine opens.
fn own_ip(index: usize) -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 100 + index as u8, high, low)
}

/// Name of a host.
pub(crate) fn host_name(index: usize) -> String {
    format!("host-{index}")
}

/// An entry host: the product's own program, in a process of its own.
pub(crate) struct Host {
    /// Its settings.
    pub file: HostFile,
    /// Its line to the store.
    pub store_line: Proxy,
    /// Counts its starts.
    pub starts: AtomicU64,
    settings_path: PathBuf,
    log_path: PathBuf,
    child: Mutex<Option<Child>>,
}

impl Host {
    /// Describes a host; nothing runs yet.
    pub(crate) fn new(dir: &Path, index: usize, store: &WireStore) -> Self {
        let store_line = Proxy::start(store.address);
        let ip = own_ip(index);
        let file = HostFile {
            name: host_name(index),
            callers: (ip, PORTS[0]).into(),
            readiness: (ip, PORTS[1]).into(),
            peers: (ip, PORTS[2]).into(),
            seeds: Vec::new(),
            store: store_line.address,
        };
        Self {
            settings_path: dir.join(format!("{}.yaml", file.name)),
            log_path: dir.join(format!("{}.log", file.name)),
            file,
            store_line,
            starts: AtomicU64::new(0),
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
        self.starts.fetch_add(1, Ordering::SeqCst);
        *self.child.lock().unwrap() = Some(child);
    }

    /// Sends a signal to the process that this host has started.
    pub(crate) fn signal(&self, signal: Signal) {
        if let Some(child) = self.child.lock().unwrap().as_ref() {
            // A process that has ended is not waited for yet, so its number is not another's.
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// Waits for the process to end by itself; false if it is still there long after its grace.
    pub(crate) fn has_ended_in_time(&self) -> bool {
        let give_up = Instant::now() + Duration::from_secs(GRACE_S) * 5;
        while Instant::now() < give_up {
            let mut child = self.child.lock().unwrap();
            let is_over = child
                .as_mut()
                .is_none_or(|child| child.try_wait().unwrap().is_some());
            if is_over {
                *child = None;
                return true;
            }
            drop(child);
            std::thread::sleep(LOOK);
        }
        false
    }

    /// Whether a process that nobody has ended is gone.
    pub(crate) fn has_crashed(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        child
            .as_mut()
            .is_none_or(|child| child.try_wait().unwrap().is_some())
    }

    /// Ends the process at once.
    pub(crate) fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            // Fails only if it has ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub(crate) fn is_ready(&self) -> bool {
        let caller = Caller::try_connect(self.file.readiness);
        caller.is_some_and(|mut caller| caller.request("GET", "/v1/readiness", "", "", "").status == 200)
    }

    pub(crate) fn wait_until_ready(&self, give_up: Instant) -> bool {
        while Instant::now() < give_up {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(LOOK);
        }
        false
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}
