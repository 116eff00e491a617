//! The parts that all cases share: the record, the hosts as processes of their own, and clients.

use std::collections::BTreeSet;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Message, call};
use crate::store::Store;

/// Program of the deploy file.
const PROGRAM: &str = "target/release/laburnumtally";

/// A process with this option ends with the thread that started it, also if a script is killed.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

unsafe extern "C" {
    fn prctl(option: i32, arg2: u64, arg3: u64, arg4: u64, arg5: u64) -> i32;
}

/// What was sent, answered and run, in the order of events.
pub struct Record {
    file: Mutex<BufWriter<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Self> {
        Arc::new(Self {
            file: Mutex::new(BufWriter::new(
                File::create(path).expect("the record can not be written"),
            )),
            started: Instant::now(),
        })
    }

    pub fn add(&self, line: impl AsRef<str>) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} s  {}", line.as_ref());
    }

    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }
}

/// Returns a loopback address that nothing listens at. No other process uses its IP address, and no connection begins there,
/// so the port stays free.
pub fn free_address() -> SocketAddr {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(10_000);
    let [_, top, high, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 192 + (top & 0x3f), high, low);
    (ip, NEXT_PORT.fetch_add(1, Ordering::SeqCst)).into()
}

/// An entry host as on the platform: it is started again after it has ended by itself.
pub struct Host {
    pub name: String,
    pub frontend: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    /// Ends that no one asked for.
    pub own_ends: AtomicU64,
}

impl Host {
    fn spawn(&self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("the log can not be written");
        let kept = ["PATH", "HOME", "LANG"].into_iter();
        let kept = kept.filter_map(|name| Some((name, std::env::var(name).ok()?)));
        let mut command = Command::new(PROGRAM);
        // SAFETY: `prctl` is safe to call between fork and exec, and touches no memory.
        unsafe {
            command.pre_exec(|| match prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0) {
                0 => Ok(()),
                _ => Err(std::io::Error::last_os_error()),
            });
        }
        let child = command
            .args(["serve", "--platform"])
            .env_clear()
            .envs(kept)
            .env("LABURNUMTALLY_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        *self.child.lock().unwrap() = Some(child.expect("the program can not be started"));
    }

    /// Starts the process again if it has ended by itself; returns how it ended.
    pub fn revive(&self, delay: Duration) -> Option<String> {
        let ended = {
            let mut child = self.child.lock().unwrap();
            child.as_mut()?.try_wait().ok()??
        };
        self.own_ends.fetch_add(1, Ordering::SeqCst);
        std::thread::sleep(delay);
        self.spawn();
        Some(ended.to_string())
    }

    pub fn is_ready(&self) -> bool {
        let head = "GET /v1/readiness HTTP/1.1\r\nHost: host\r\nConnection: close\r\n";
        let answer = call(self.readiness, head, b"", Duration::from_secs(1));
        answer.is_some_and(|answer| answer.status() == 200)
    }
}

/// The hosts of a case. Dropping them ends their processes.
pub struct Hosts {
    pub all: Vec<Arc<Host>>,
}

impl Hosts {
    /// Starts one host for each name in `zones`, which is that of its zone, and waits until all are ready.
    pub fn start(folder: &Path, store: &Store, zones: &[&str]) -> Option<Self> {
        let addresses: Vec<[SocketAddr; 3]> =
            zones.iter().map(|_| [(); 3].map(|()| free_address())).collect();
        let seeds: String = addresses
            .iter()
            .map(|[_, _, control]| format!("  - \"{control}\"\n"))
            .collect();
        let names: BTreeSet<&str> = zones.iter().copied().collect();
        let regions: String = names
            .iter()
            .map(|zone| format!("  {zone}: \"region-1\"\n"))
            .collect();
        let mut all = Vec::new();
        for (number, (zone, [frontend, readiness, control])) in zones.iter().zip(&addresses).enumerate() {
            let name = format!("frontend-{zone}-{}", number + 1);
            let settings = folder.join(format!("{name}.yaml"));
            let text = format!(
                "node_name: \"{name}\"\nrole: \"entry\"\nmachine_class: \"frontend\"\nserves:\n  - \"frontend\"\n  \
                 - \"control_plane\"\nip_address: \"127.0.0.1\"\nzone: \"{zone}\"\nregion: \"region-1\"\nzones:\n{regions}\
                 listen_addresses:\n  frontend: \"{frontend}\"\n  readiness: \"{readiness}\"\n  control_plane: \
                 \"{control}\"\ninternal_port_range:\n  - 7260\n  - 7275\nseed_nodes:\n{seeds}first_start: true\n\
                 counted_for_tolerance: false\nlimits:\n  cpu_share: 0.25\n  cpu_cores: 1\n  memory_mb: 260\n  \
                 file_descriptors: 4100\n  link_mbps: 1000.0\n  disk_mb: 0\ndata_directory: null\ndiscovery: \
                 \"platform\"\nentry: \"virtual_ip\"\nheartbeat_interval_ms: 1200\nbounds:\n  seed_lag_s: 3\n  \
                 address_reuse_s: 2\n  stable_window_ms: 3000\n  acknowledge_ms: 4000\n  catch_up_s: 4\n  drain_ms: \
                 2500\n  grace_s: 8\n  loss_slack_ms: 200\n  configuration_apply_ms: 2500\n  downgrade_slack_ms: \
                 250\n  max_stretch_ms: 5000\n  revoke_fail_closed: false\n  revoke_ms: 5000\n  \
                 retry_budget_ratio: 0.2\n  budget_window_s: 10\n  retry_budget_slack: 58\n  recovery_s: 12\n  \
                 transit_ms: 200\n  reuse_window_s: 20\n  fencing_enforced: false\n  lease_ms: 3000\n  \
                 thaw_slack_ms: 300\n  version_ms: 10000\n  version_all_ms: 14000\nplatform:\n  address: \"{}\"\n  \
                 form: \"table\"\n",
                store.address
            );
            std::fs::write(&settings, text).ok()?;
            let host = Host {
                log: folder.join(format!("{name}.log")),
                name,
                frontend: *frontend,
                readiness: *readiness,
                settings,
                child: Mutex::new(None),
                own_ends: AtomicU64::new(0),
            };
            host.spawn();
            all.push(Arc::new(host));
        }
        let hosts = Self { all };
        let end = Instant::now() + Duration::from_secs(15);
        while !hosts.all.iter().all(|host| host.is_ready()) {
            if Instant::now() >= end {
                return None;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Some(hosts)
    }
}

impl Drop for Hosts {
    fn drop(&mut self) {
        for host in &self.all {
            if let Some(child) = host.child.lock().unwrap().as_mut() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

/// A request of a client.
#[derive(Debug, Clone, Default)]
pub struct Request {
    pub method: &'static str,
    pub path: String,
    pub id: String,
    pub key: String,
    /// Further headers, each with its end of line.
    pub headers: String,
    pub deadline_ms: u64,
    pub body: String,
}

impl Request {
    /// Sends the request on a new connection; `None` if the connection ended without a whole answer.
    pub fn send(&self, host: &Host, record: &Record) -> Option<Message> {
        record.add(format!(
            "{} {} {} is sent to {}",
            self.id, self.method, self.path, host.name
        ));
        let answer = self.exchange(host);
        match &answer {
            Some(answer) => {
                let signature = answer.header("response-signature").unwrap_or("none");
                record.add(format!(
                    "{} is answered {}, signature {signature}",
                    self.id,
                    answer.status()
                ));
            }
            None => record.add(format!("{} gets no whole answer", self.id)),
        }
        answer
    }

    fn exchange(&self, host: &Host) -> Option<Message> {
        let key = match self.key.is_empty() {
            true => String::new(),
            false => format!("Key: {}\r\n", self.key),
        };
        let head = format!(
            "{} {} HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {}\r\nDeadline-Milliseconds: {}\r\nConnection: \
             close\r\n{key}{}",
            self.method, self.path, self.id, self.deadline_ms, self.headers
        );
        let limit = Duration::from_millis(self.deadline_ms + 500);
        call(host.frontend, &head, self.body.as_bytes(), limit)
    }
}

/// The entry of a server in the list.
pub fn server_entry(service: &str, address: SocketAddr, zone: &str, slots: u32, models: &str) -> String {
    let born = born();
    let models = match models.is_empty() {
        true => String::new(),
        false => format!(",\"stage\":\"both\",\"models\":{models}"),
    };
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"1.0\",\"slots\":{slots},\
         \"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence_number\":0,\"born\":{born}{models}}}"
    )
}

/// Returns the Unix millisecond at which the servers of this process have started.
pub fn born() -> u128 {
    static BORN: OnceLock<u128> = OnceLock::new();
    *BORN.get_or_init(|| {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        now.map_or(0, |now| now.as_millis())
    })
}
