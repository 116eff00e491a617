//! The project's program, started as the deploy file says: one process a machine of the system.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use crate::http;

/// The command of the deploy file.
const PROGRAM: &str = "target/release/laburnumtally";
const ARGUMENTS: [&str; 2] = ["serve", "--platform"];
const SETTINGS_VARIABLE: &str = "LABURNUMTALLY_BOOT";
/// Zones of a small deployment with their regions.
pub const ZONES: [(&str, &str); 3] = [("east-a", "east"), ("east-b", "east"), ("west-a", "west")];
/// Time in which the hosts must become ready.
const START_TIME: Duration = Duration::from_secs(15);

const SIGKILL: i32 = 9;
pub const SIGSTOP: i32 = 19;

/// Asks for a signal at the death of the parent.
const PR_SET_PDEATHSIG: i32 = 1;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64, ...) -> i32;
}

/// Lets the calling process be killed when its parent ends.
fn die_with_parent() {
    // SAFETY: a system call on numbers alone, which may be made between fork and exec.
    unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL as u64) };
}

trait DieWithParent {
    fn die_with_parent(&mut self) -> &mut Self;
}

impl DieWithParent for Command {
    fn die_with_parent(&mut self) -> &mut Self {
        // SAFETY: the closure makes one system call and allocates nothing.
        unsafe {
            self.pre_exec(|| {
                die_with_parent();
                Ok(())
            })
        }
    }
}

/// A machine of the system.
pub struct Host {
    pub name: String,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    process: Mutex<Option<Child>>,
}

/// Ports for hosts: below those that the kernel gives to outgoing connections.
const FIRST_PORT: u32 = 15_000;
const PORT_COUNT: u32 = 15_000;

/// Returns a loopback address with a port that is free at this moment and that no earlier call has returned.
pub fn free_addr() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let first = std::process::id().wrapping_mul(97);
    loop {
        let offset = first.wrapping_add(NEXT.fetch_add(1, Ordering::SeqCst)) % PORT_COUNT;
        let addr = SocketAddr::from(([127, 0, 0, 1], (FIRST_PORT + offset) as u16));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

/// Starts `count` hosts, spread over the zones, and waits until all are ready.
pub fn start_hosts(count: usize, store: SocketAddr, dir: &Path) -> Option<Vec<Host>> {
    start_hosts_at(&vec![store; count], dir)
}

/// Starts a host for each of these addresses of the store.
pub fn start_hosts_at(stores: &[SocketAddr], dir: &Path) -> Option<Vec<Host>> {
    let count = stores.len();
    let peers: Vec<SocketAddr> = (0..count).map(|_| free_addr()).collect();
    let hosts: Vec<Host> = (0..count).map(|i| Host::new(i, &peers, stores[i], dir)).collect();
    hosts.iter().for_each(Host::start);
    let until = Instant::now() + START_TIME;
    while !hosts.iter().all(Host::is_ready) {
        if Instant::now() > until {
            return None;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    Some(hosts)
}

impl Host {
    fn new(number: usize, peers: &[SocketAddr], store: SocketAddr, dir: &Path) -> Self {
        let (zone, region) = ZONES[number % ZONES.len()];
        let name = format!("frontend-{zone}-{number}");
        let (callers, readiness) = (free_addr(), free_addr());
        let settings = dir.join(format!("{name}.yaml"));
        let zones = ZONES
            .map(|(zone, region)| format!("  {zone}: \"{region}\"\n"))
            .concat();
        let seeds: String = peers
            .iter()
            .take(3)
            .map(|seed| format!("  - \"{seed}\"\n"))
            .collect();
        let peers = peers[number];
        let text = format!(
            "node_name: \"{name}\"\nrole: \"entry\"\nmachine_class: \"frontend\"\nserves:\n  - \"frontend\"\n  - \"control_plane\"\n\
             ip_address: \"127.0.0.1\"\nzone: \"{zone}\"\nregion: \"{region}\"\nzones:\n{zones}\
             listen_addresses:\n  frontend: \"{callers}\"\n  readiness: \"{readiness}\"\n  control_plane: \"{peers}\"\n\
             internal_port_range:\n  - {port}\n  - {port}\nseed_nodes:\n{seeds}first_start: true\ncounted_for_tolerance: false\n\
             limits:\n  cpu_share: 0.25\n  cpu_cores: 1\n  memory_mb: 260\n  file_descriptors: 4100\n  link_mbps: 1000.0\n  disk_mb: 0\n\
             data_directory: null\ndiscovery: \"platform\"\nentry: \"virtual_ip\"\nheartbeat_interval_ms: 1200\n\
             contracts:\n  - \"base\"\n  - \"drain\"\n  - \"config\"\n  - \"cost\"\n  - \"retry\"\n  - \"recover\"\n  - \"stream\"\n  - \"platform\"\n\
             fault_tolerance:\n  machines: 2\n  zones: 0\n  regions: 0\n\
             bounds:\n  seed_lag_s: 3\n  address_reuse_s: 2\n  stable_window_ms: 3000\n  acknowledge_ms: 4000\n  catch_up_s: 4\n\
             \x20 drain_ms: 2500\n  grace_s: 8\n  loss_slack_ms: 200\n  configuration_apply_ms: 2500\n  downgrade_slack_ms: 250\n\
             \x20 max_stretch_ms: 5000\n  revoke_fail_closed: false\n  revoke_ms: 5000\n  retry_budget_ratio: 0.2\n  budget_window_s: 10\n\
             \x20 retry_budget_slack: 58\n  recovery_s: 12\n  transit_ms: 200\n  reuse_window_s: 20\n  fencing_enforced: false\n\
             \x20 lease_ms: 3000\n  thaw_slack_ms: 300\n  version_ms: 10000\n  version_all_ms: 14000\n\
             platform:\n  address: \"{store}\"\n  form: \"table\"\n  writes_per_s: 400\n  reads_per_s: 2000\n  transaction_ms: 5.0\n\
             \x20 partition_writes_s: 200\n  row_bytes: 65536\n  cross_partition: false\n  history_s: 20\n",
            port = peers.port(),
        );
        fs::write(&settings, text).expect("settings file");
        Self {
            name,
            callers,
            readiness,
            settings,
            process: Mutex::default(),
        }
    }

    /// Starts the process; its log goes to a file beside the settings.
    pub fn start(&self) {
        let log = File::create(
            self.settings
                .with_extension(format!("{}.log", log_number(&self.settings))),
        );
        let log = log.expect("log file");
        let process = Command::new(PROGRAM)
            .args(ARGUMENTS)
            .env(SETTINGS_VARIABLE, &self.settings)
            // The process ends with this one, however that ends. It is started by the main thread, which lives as long.
            .die_with_parent()
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log file"))
            .stderr(log)
            .spawn();
        *self.process.lock().expect("process") = Some(process.expect("the program was built"));
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32) {
        if let Some(process) = &*self.process.lock().expect("process") {
            // SAFETY: the process was started here and has not been waited for, so that its id is its own.
            unsafe { kill(process.id() as i32, signal) };
        }
    }

    /// Kills the process and waits for its end.
    pub fn end(&self) {
        self.signal(SIGKILL);
        if let Some(mut process) = self.process.lock().expect("process").take() {
            // It has ended, or ends now.
            let _ = process.wait();
        }
    }

    /// Whether the balancer would send clients here.
    pub fn is_ready(&self) -> bool {
        let text = "GET /v1/readiness HTTP/1.1\r\nHost: readiness\r\n\r\n";
        let answer = http::request(self.readiness, text, Duration::from_secs(1));
        answer.is_ok_and(|(head, _)| head.status() == 200)
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.end();
    }
}

fn log_number(settings: &Path) -> usize {
    (0..)
        .find(|n| !settings.with_extension(format!("{n}.log")).exists())
        .unwrap_or(0)
}
