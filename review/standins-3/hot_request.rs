//! A server crashes while clients ask for the same thing at once.

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::deployment::{Hosts, Record, Request, server_entry};
use crate::http::{Action, Handler, Message, serve_one};
use crate::store::Store;

const ZONES: [&str; 3] = ["zone-a"; 3];
/// Servers of the service; one of them crashes, 0.143. The bench plays 0.15 (`srv_crash`).
const SERVERS: usize = 7;
/// Time of a run.
const RUN: Duration = Duration::from_millis(15);
/// Time from the begin of traffic to the crash, time for which the server is down, and length of the traffic.
const CRASH_AFTER: Duration = Duration::from_millis(1_500);
const DOWN: Duration = Duration::from_secs(4);
const LENGTH: Duration = Duration::from_secs(95);
/// Clients of each kind at each host.
const CLIENTS_PER_HOST: usize = 24;
const PAUSE: Duration = Duration::from_millis(30);
/// The kinds: reading what all clients read, and recording, each time something else.
const KINDS: [&str; 2] = ["look-up", "record"];

/// A server that can crash: it refuses connections then, and those that were open end.
struct Server {
    address: SocketAddr,
    is_down: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
}

impl Server {
    fn start(handler: Handler) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
        let server = Arc::new(Self {
            address: listener.local_addr().expect("no address"),
            is_down: AtomicBool::new(false),
            open: Mutex::default(),
        });
        let accepting = server.clone();
        std::thread::spawn(move || accepting.accept(listener, &handler));
        server
    }

    fn accept(&self, mut listener: TcpListener, handler: &Handler) {
        loop {
            let _ = listener.set_nonblocking(true);
            while !self.is_down.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                self.open.lock().unwrap().extend(stream.try_clone());
                let handler = handler.clone();
                std::thread::spawn(move || serve_one(stream, &handler));
            }
            drop(listener);
            for stream in self.open.lock().unwrap().drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
            while self.is_down.load(Ordering::SeqCst) {
                std::thread::sleep(Duration::from_millis(5));
            }
            listener = loop {
                match TcpListener::bind(self.address) {
                    Ok(listener) => break listener,
                    Err(_) => std::thread::sleep(Duration::from_millis(20)),
                }
            };
        }
    }
}

fn answer(instance: &str, record: &Record, request: &Message) -> Action {
    let header = |name: &str, value: &str| (name.to_owned(), value.to_owned());
    let id = request.header("request-id").unwrap_or("").to_owned();
    let mut headers = vec![
        header("Request-Id", &id),
        header("Instance-Id", instance),
        header("Server-Load", "1,0,6"),
        header("Keep-Alive", "timeout=5"),
    ];
    if request
        .header("expected-instance")
        .is_some_and(|expected| expected != instance)
    {
        headers.push(header("Not-Executed", "1"));
        return Action::Answer(421, headers, Vec::new());
    }
    std::thread::sleep(RUN);
    record.add(format!("{id} has run at {instance}"));
    headers.push(header("Response-Signature", &format!("sig.{instance}.{id}")));
    Action::Answer(200, headers, format!("result of {id}").into_bytes())
}

pub fn run(folder: &Path, record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let store = Store::start();
    let routes = [("look-up", "safe", 2), ("record", "unsafe", 1)].map(|(name, kind, attempts)| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"desk.example\",\"prefix\":\"/{name}/\",\"route_kind\":\"{kind}\",\
             \"timeout_ms\":1200,\"target_latency_ms\":120,\"priority\":2,\"service\":\"ledger\",\
             \"max_attempts\":{attempts},\"anonymous_access\":true}}"
        )
    });
    let config = format!(
        "{{\"version\":3,\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\"services\":[{{\"name\":\"ledger\",\"connection_limit\":110,\
         \"health_check_path\":\"/health\"}}],\"routes\":[{}]}}",
        routes.join(",")
    );
    store.put("op", "config", &config);
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let instance = Arc::new(Mutex::new(format!("i-ledger-{number}")));
        let handler: Handler = {
            let (instance, record) = (instance.clone(), record.clone());
            Arc::new(move |request| {
                let instance = instance.lock().unwrap().clone();
                answer(&instance, &record, request)
            })
        };
        let server = Server::start(handler);
        let name = instance.lock().unwrap().clone();
        store.put(
            "servers",
            &name,
            &server_entry("ledger", server.address, ZONES[0], 6, ""),
        );
        servers.push((server, instance));
    }
    let Some(hosts) = Hosts::start(folder, &store, &ZONES) else {
        return Verdict::NotRun("the hosts did not become ready");
    };
    // The machines come in touch.
    std::thread::sleep(Duration::from_secs(4));
    let (started, is_over) = (Instant::now(), Arc::new(AtomicBool::new(false)));
    let mut threads = Vec::new();
    for host in &hosts.all {
        for client in 0..KINDS.len() * CLIENTS_PER_HOST {
            let (host, is_over, record) = (host.clone(), is_over.clone(), record.clone());
            threads.push(std::thread::spawn(move || {
                let kind = client % KINDS.len();
                let (mut sent, mut served) = (0u64, 0u64);
                for number in 0u64.. {
                    if is_over.load(Ordering::SeqCst) {
                        break;
                    }
                    let id = format!("{}-{client}-{number}", host.name);
                    let request = Request {
                        method: if kind == 0 { "GET" } else { "POST" },
                        path: format!("/{}/7", KINDS[kind]),
                        body: if kind == 0 {
                            String::new()
                        } else {
                            format!("fee {id}")
                        },
                        id,
                        deadline_ms: 1_200,
                        ..Request::default()
                    };
                    sent += 1;
                    let status = request.send(&host, &record).as_ref().map_or(0, Message::status);
                    served += u64::from(status == 200);
                    // A client that is turned away comes back after a third of its time.
                    std::thread::sleep(if status == 200 {
                        PAUSE
                    } else {
                        Duration::from_millis(400)
                    });
                }
                (kind, sent, served)
            }));
        }
    }
    std::thread::sleep(CRASH_AFTER);
    if has_trouble {
        let (server, instance) = &servers[0];
        let before = instance.lock().unwrap().clone();
        record.add(format!("{before} crashes"));
        server.is_down.store(true, Ordering::SeqCst);
        // After three heartbeats the entry goes; the server comes back as another instance.
        std::thread::sleep(DOWN);
        store.remove("servers", &before);
        let after = format!("{before}-again");
        *instance.lock().unwrap() = after.clone();
        server.is_down.store(false, Ordering::SeqCst);
        std::thread::sleep(Duration::from_millis(100));
        store.put(
            "servers",
            &after,
            &server_entry("ledger", server.address, ZONES[0], 6, ""),
        );
        record.add(format!("the server is back as {after}"));
    }
    std::thread::sleep(LENGTH.saturating_sub(started.elapsed()));
    is_over.store(true, Ordering::SeqCst);
    let (mut sent, mut served) = ([0; 2], [0; 2]);
    for thread in threads {
        let (kind, more_sent, more_served) = thread.join().unwrap_or_default();
        sent[kind] += more_sent;
        served[kind] += more_served;
    }
    record.add(format!(
        "{}: {} of {} served; {}: {} of {} served",
        KINDS[0], served[0], sent[0], KINDS[1], served[1], sent[1]
    ));
    if served[1] == 0 {
        return Verdict::NotRun("no request was served");
    }
    let share = |served: u64, sent: u64| served as f64 / sent.max(1) as f64;
    let all = share(served.iter().sum(), sent.iter().sum());
    // A kind of request is served less than a quarter as often as all requests.
    match (0..2).any(|kind| share(served[kind], sent[kind]) < all / 4.0) {
        true => Verdict::Broken("a kind of request is not served any more after one crash of one server"),
        false => Verdict::Held,
    }
}
