//! Stand-ins for the platform: its store, the start of the system's processes, and the readiness checks.

use std::collections::{BTreeMap, VecDeque};
use std::fs::File;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::wire::{Caller, Json, Message, base64, read_request, unbase64};

/// Writes lines with the time since the start of the run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    pub start: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).unwrap_or_else(|e| stop(&format!("no record at {path}: {e}")));
        Self {
            file: Arc::new(Mutex::new(file)),
            start: Instant::now(),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {text}");
    }
}

/// Ends the run as one that could not be carried out.
pub fn stop(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    end_processes();
    std::process::exit(2);
}

/// Ids of the processes that this run has started and not yet ended.
static STARTED: Mutex<Vec<Arc<Mutex<Child>>>> = Mutex::new(Vec::new());

/// Set before the processes are ended; none is started after that.
static HAS_ENDED: AtomicBool = AtomicBool::new(false);

/// Kills every process that this run started.
pub fn end_processes() {
    let started = STARTED.lock().unwrap_or_else(|e| e.into_inner());
    HAS_ENDED.store(true, Ordering::SeqCst);
    for child in started.iter() {
        let mut child = child.lock().unwrap_or_else(|e| e.into_inner());
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Value in Base64, `None` for a removed row, and version, by table and key.
type Content = BTreeMap<(String, String), (Option<String>, u64)>;

/// Copies that the store keeps of its content, one for each change.
const MAX_COPIES: usize = 400;

#[derive(Default)]
struct Rows {
    rows: Content,
    version: u64,
    /// How often the store has been restored.
    era: u64,
    /// Whether the store answers nobody.
    is_away: bool,
    /// Content and version after each of the latest changes, with its time.
    copies: VecDeque<(Instant, Content, u64)>,
    connections: Vec<TcpStream>,
}

impl Rows {
    fn changed(&mut self) {
        self.copies
            .push_back((Instant::now(), self.rows.clone(), self.version));
        if self.copies.len() > MAX_COPIES {
            self.copies.pop_front();
        }
    }
}

/// The platform's store.
pub struct Store {
    pub address: SocketAddr,
    rows: Arc<(Mutex<Rows>, Condvar)>,
}

impl Store {
    pub fn start(record: &Record) -> Self {
        let rows: Arc<(Mutex<Rows>, Condvar)> = Arc::default();
        let start = record.start;
        let shared = rows.clone();
        let address = listen(move |stream| {
            let mut reader = BufReader::new(stream.try_clone().unwrap());
            let mut writer = stream;
            shared.0.lock().unwrap().connections.extend(writer.try_clone());
            while let Some(req) = read_request(&mut reader) {
                let Some((status, era, body)) = answer(&shared, start, &req) else {
                    let _ = writer.shutdown(Shutdown::Both);
                    return;
                };
                let text = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                if writer.write_all(text.as_bytes()).is_err() {
                    return;
                }
            }
        });
        Self { address, rows }
    }

    /// Writes a row, as the operator or a server does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.rows.0.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let row = (Some(base64(value.as_bytes())), version);
        rows.rows.insert((table.to_owned(), key.to_owned()), row);
        rows.changed();
        self.rows.1.notify_all();
    }

    /// Removes a row, as the platform does with the entry of a server that is gone.
    pub fn remove(&self, table: &str, key: &str) {
        let mut rows = self.rows.0.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        rows.rows
            .insert((table.to_owned(), key.to_owned()), (None, version));
        rows.changed();
        self.rows.1.notify_all();
    }

    /// Returns the content and the version of a row of the present era, and the era.
    pub fn row(&self, table: &str, key: &str) -> Option<(String, u64, u64)> {
        let rows = self.rows.0.lock().unwrap();
        let (value, version) = rows.rows.get(&(table.to_owned(), key.to_owned()))?;
        let text = String::from_utf8(unbase64(value.as_ref()?)).ok()?;
        Some((text, *version, rows.era))
    }

    /// Waits for a change of any row.
    pub fn wait_for_change(&self, wait: Duration) {
        let rows = self.rows.0.lock().unwrap();
        drop(self.rows.1.wait_timeout(rows, wait).unwrap());
    }

    /// The store goes away, and comes back after `away` from a copy that is `age` old. What the operator wrote since is
    /// written again; the servers write again by themselves.
    pub fn restore(&self, age: Duration, away: Duration) {
        let written = {
            let mut rows = self.rows.0.lock().unwrap();
            let at = Instant::now() - age;
            let copy = rows.copies.iter().rfind(|(time, _, _)| *time <= at).cloned();
            let Some((_, content, version)) = copy else {
                drop(rows);
                stop("the store has no copy that old");
            };
            let written = std::mem::replace(&mut rows.rows, content);
            rows.version = version;
            rows.era += 1;
            rows.is_away = true;
            rows.copies.clear();
            for stream in rows.connections.drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
            self.rows.1.notify_all();
            written
        };
        std::thread::sleep(away);
        let mut rows = self.rows.0.lock().unwrap();
        rows.is_away = false;
        for (place, (value, version)) in written {
            let kept = rows.rows.get(&place).map(|(_, version)| *version);
            if place.0 == "op" && kept != Some(version) {
                rows.version += 1;
                let version = rows.version;
                rows.rows.insert(place, (value, version));
            }
        }
        rows.changed();
        self.rows.1.notify_all();
    }
}

/// Answers a call with its status, the era and a body; `None` while the store is away.
fn answer(shared: &(Mutex<Rows>, Condvar), start: Instant, req: &Message) -> Option<(u16, u64, String)> {
    let era = shared.0.lock().unwrap().era;
    let (status, body) = answer_in_era(shared, start, req);
    let rows = shared.0.lock().unwrap();
    (!rows.is_away && rows.era == era).then_some((status, era, body))
}

fn answer_in_era(shared: &(Mutex<Rows>, Condvar), start: Instant, req: &Message) -> (u16, String) {
    let now_ms = start.elapsed().as_millis() + 50_000;
    let path = req.target().split('?').next().unwrap_or("");
    let mut rows = shared.0.lock().unwrap();
    if rows.is_away {
        return (503, String::new());
    }
    let era = rows.era;
    match path {
        "/v1/rows-get" => {
            let table = req.query("table").unwrap_or_default();
            let from = req.query("from").unwrap_or_default();
            let found = rows
                .rows
                .iter()
                .filter(|((t, key), _)| *t == table && *key >= from);
            let live = found.filter(|(_, (value, _))| value.is_some());
            let list: Vec<String> = live.map(|((t, key), row)| row_text(t, key, row)).collect();
            let all = list.join(",");
            let version = rows.version;
            (
                200,
                format!(
                    "{{\"rows\":[{all}],\"has_more\":false,\"object_version\":{version},\"now_ms\":{now_ms}}}"
                ),
            )
        }
        "/v1/rows-feed" => {
            let table = req.query("table").unwrap_or_default();
            let after: u64 = req.query("after").and_then(|n| n.parse().ok()).unwrap_or(0);
            let wait: u64 = req.query("wait_ms").and_then(|n| n.parse().ok()).unwrap_or(0);
            let until = Instant::now() + Duration::from_millis(wait.min(30_000));
            if after > rows.version {
                return (410, "{}".to_owned());
            }
            loop {
                if rows.is_away || rows.era != era {
                    return (503, String::new());
                }
                let changed = rows
                    .rows
                    .iter()
                    .filter(|((t, _), (_, version))| *t == table && *version > after);
                let mut changed: Vec<_> = changed.collect();
                changed.sort_by_key(|(_, (_, version))| *version);
                let left = until.saturating_duration_since(Instant::now());
                if !changed.is_empty() || left.is_zero() {
                    let list: Vec<String> = changed
                        .iter()
                        .map(|((t, key), row)| row_text(t, key, row))
                        .collect();
                    let all = list.join(",");
                    let (version, now_ms) = (rows.version, start.elapsed().as_millis() + 50_000);
                    return (
                        200,
                        format!("{{\"rows\":[{all}],\"object_version\":{version},\"now_ms\":{now_ms}}}"),
                    );
                }
                rows = shared.1.wait_timeout(rows, left).unwrap().0;
            }
        }
        "/v1/rows-tx" => {
            let Some(call) = std::str::from_utf8(&req.body).ok().and_then(Json::parse) else {
                return (400, "{}".to_owned());
            };
            let place = |row: &Json| {
                (
                    row.get("table").text().to_owned(),
                    row.get("key").text().to_owned(),
                )
            };
            for row in call.get("expected_revision").list() {
                let held = rows.rows.get(&place(row)).filter(|(value, _)| value.is_some());
                if held.map_or(0, |(_, version)| *version) != row.get("object_version").number() {
                    return (412, "{\"rows\":[]}".to_owned());
                }
            }
            rows.version += 1;
            let version = rows.version;
            for row in call.get("puts").list() {
                rows.rows
                    .insert(place(row), (Some(row.get("value").text().to_owned()), version));
            }
            for row in call.get("removals").list() {
                rows.rows.insert(place(row), (None, version));
            }
            rows.changed();
            shared.1.notify_all();
            (
                200,
                format!("{{\"object_version\":{version},\"now_ms\":{now_ms}}}"),
            )
        }
        _ => (404, "{}".to_owned()),
    }
}

fn row_text(table: &str, key: &str, (value, version): &(Option<String>, u64)) -> String {
    let content = match value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"deleted\":true".to_owned(),
    };
    format!(
        "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",{content},\"object_version\":{version}}}"
    )
}

/// Listens on a free loopback port and handles each connection on a thread.
pub fn listen(handle: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| stop(&e.to_string()));
    let address = listener.local_addr().unwrap();
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let handle = handle.clone();
            std::thread::spawn(move || handle(stream));
        }
    });
    address
}

/// A process of the system, started with the command of the deploy file.
pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    child: Mutex<Option<Arc<Mutex<Child>>>>,
}

impl Node {
    /// Writes the settings of a node. `seeds` are the peer addresses of all nodes.
    pub fn new(
        dir: &std::path::Path,
        name: &str,
        peers: SocketAddr,
        seeds: &[SocketAddr],
        store: SocketAddr,
    ) -> Self {
        let (callers, readiness) = (free_address(), free_address());
        let port = 7_010;
        let seeds: String = seeds.iter().map(|seed| format!("  - \"{seed}\"\n")).collect();
        let text = format!(
            "node_name: \"{name}\"\nrole: \"entry\"\nmachine_class: \"frontend\"\nserves:\n  - \"frontend\"\n  - \"control_plane\"\n\
             ip_address: \"127.0.0.1\"\nzone: \"north-a\"\nregion: \"north\"\nzones:\n  north-a: \"north\"\n\
             listen_addresses:\n  frontend: \"{callers}\"\n  readiness: \"{readiness}\"\n  control_plane: \"{peers}\"\n\
             internal_port_range:\n  - {port}\n  - {port}\nseed_nodes:\n{seeds}first_start: true\n\
             limits:\n  cpu_share: 0.25\n  cpu_cores: 1\n  memory_mb: 110\n  file_descriptors: 4100\n  link_mbps: 1000.0\n  disk_mb: 0\n\
             data_directory: null\ndiscovery: \"platform\"\nentry: \"virtual_ip\"\nheartbeat_interval_ms: 1200\n\
             bounds:\n  stable_window_ms: 3000\n  drain_ms: 2500\n  grace_s: 8\n  loss_slack_ms: 200\n  configuration_apply_ms: 2500\n\
             \x20 retry_budget_ratio: 0.2\n  budget_window_s: 10\n  retry_budget_slack: 58\n  fencing_enforced: false\n  lease_ms: 3000\n\
             \x20 version_ms: 10000\n  version_all_ms: 14000\nplatform:\n  address: \"{store}\"\n  form: \"table\"\n"
        );
        let settings = dir.join(format!("{name}.yaml"));
        if let Err(e) = std::fs::write(&settings, text) {
            stop(&e.to_string());
        }
        Self {
            name: name.to_owned(),
            callers,
            readiness,
            settings,
            child: Mutex::new(None),
        }
    }

    pub fn start(&self) {
        let mut started = STARTED.lock().unwrap_or_else(|e| e.into_inner());
        if HAS_ENDED.load(Ordering::SeqCst) {
            return;
        }
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.settings.with_extension("log"))
            .ok();
        let log = log.map_or_else(Stdio::null, Stdio::from);
        let child = Command::new("target/release/laburnumtally")
            .args(["serve", "--platform"])
            .env("LABURNUMTALLY_BOOT", &self.settings)
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|e| e.to_string());
        let Ok(child) = child else {
            drop(started);
            stop("the program does not start");
        };
        let child = Arc::new(Mutex::new(child));
        started.push(child.clone());
        *self.child.lock().unwrap() = Some(child);
    }

    /// Sends a signal, named as for `kill`.
    pub fn signal(&self, signal: &str) {
        let child = self.child.lock().unwrap();
        let Some(child) = child.as_ref() else { return };
        let pid = child.lock().unwrap().id();
        let _ = Command::new("kill")
            .args([&format!("-{signal}"), &pid.to_string()])
            .status();
    }

    /// Returns how the process has ended, if it has.
    pub fn exit(&self) -> Option<String> {
        let child = self.child.lock().unwrap();
        let status = child.as_ref()?.lock().unwrap().try_wait().ok()?;
        status.map(|status| status.to_string())
    }

    /// Asks the readiness address as the platform does; `false` also without an answer within a second.
    pub fn is_ready(&self) -> bool {
        let Some(mut caller) = Caller::connect(self.readiness) else {
            return false;
        };
        caller
            .call("GET", "/v1/readiness", "", "", Duration::from_secs(1))
            .status()
            == 200
    }

    pub fn wait_until_ready(&self) {
        let until = Instant::now() + Duration::from_secs(15);
        while !self.is_ready() {
            if Instant::now() > until {
                stop(&format!("{} is not ready after 15 s", self.name));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

/// Starts a process again a moment after it has ended, as the platform does.
pub fn restart_when_ended(node: Arc<Node>, record: Record) {
    std::thread::spawn(move || {
        loop {
            if let Some(exit) = node.exit() {
                record.line(&format!("the process of {} has ended: {exit}", node.name));
                std::thread::sleep(Duration::from_millis(500));
                node.start();
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    });
}

/// Number of addresses given out so far.
static ADDRESSES: AtomicU8 = AtomicU8::new(0);

/// Returns a loopback address that no other socket has, also none that connects to somewhere.
pub fn free_address() -> SocketAddr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let number = ADDRESSES.fetch_add(1, Ordering::SeqCst);
    SocketAddr::from(([127, 100 + number, high, low], 7_000))
}

/// Starts `count` nodes of one zone and waits until they are ready and know each other.
pub fn start_nodes(dir: &std::path::Path, count: usize, store: &Store) -> Vec<Arc<Node>> {
    let peers: Vec<SocketAddr> = (0..count).map(|_| free_address()).collect();
    let seeds = &peers[..count.min(3)];
    let nodes: Vec<Arc<Node>> = (0..count)
        .map(|i| {
            Arc::new(Node::new(
                dir,
                &format!("frontend-north-a-{}", i + 1),
                peers[i],
                seeds,
                store.address,
            ))
        })
        .collect();
    nodes.iter().for_each(|node| node.start());
    nodes.iter().for_each(|node| node.wait_until_ready());
    std::thread::sleep(Duration::from_secs(4));
    nodes
}
