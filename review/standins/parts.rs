//! LOST: beside a part of prompts that crashes servers, the sound part that it came with is refused for good.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Case;
use crate::platform::{Node, Record, Store, start_nodes, stop};
use crate::servers::{Runs, Server, model_state, stream};
use crate::wire::{Caller, Message, read_request};

const MODEL: &str = "{\"name\":\"m0\",\"version\":1,\"adapters\":[]}";
const SERVERS: usize = 6;
/// Time until a crashed server is back.
const BACK_AFTER: Duration = Duration::from_secs(4);
/// Twice `stable_window_ms`.
const SETTLED_AFTER: Duration = Duration::from_secs(6);
/// Requests that the rule wants of each kind.
const ENOUGH: usize = 20;
const DEADLINE: Duration = Duration::from_secs(12);
/// The first part of the prompts before and after the clients change their template, and the part that crashes servers.
const FIRST_PARTS: [&str; 2] = ["5c1e07a2", "91aa20f7"];
const CRASHING_PART: &str = "e0a94f13";

/// A sound request: when it was sent, and whether a server began it at the first attempt.
type Sound = (Instant, bool);

pub fn run(case: &Case) -> Vec<String> {
    let record = &case.record;
    let store = Arc::new(Store::start(record));
    let runs = Runs::default();
    let crashes: Arc<Mutex<Vec<Instant>>> = Arc::default();
    store.put("op", "config", CONFIG);
    store.put("op", "version/m0", "{\"model\":\"m0\",\"version\":1}");
    for i in 1..=SERVERS {
        let address = crate::platform::free_address();
        start_server(
            i,
            1,
            address,
            record.clone(),
            store.clone(),
            runs.clone(),
            crashes.clone(),
        );
    }
    let nodes = start_nodes(&case.dir, 3, &store);
    let sound: Arc<Mutex<Vec<Sound>>> = Arc::default();
    let mut number = 0;
    // Requests of the tenant with the old template.
    for _ in 0..24 {
        number += 1;
        send(
            number,
            FIRST_PARTS[0],
            &format!("a{:x}", number % 7),
            &nodes,
            &runs,
            &sound,
            record,
        );
        std::thread::sleep(Duration::from_millis(250));
    }
    std::thread::sleep(Duration::from_secs(1));
    let changed_at = Instant::now();
    record.line("the clients change to the new template");
    // The first requests with the new template hold the part that crashes servers; such requests come all the time. The
    // sound ones come three at a time.
    let mut last_crashing = Instant::now();
    for tick in 0..176 {
        if case.has_trouble && tick % 3 == 0 {
            number += 1;
            last_crashing = Instant::now();
            send_one(number, FIRST_PARTS[1], CRASHING_PART, &nodes, record);
        }
        if tick % 12 == 11 {
            for _ in 0..3 {
                number += 1;
                send(
                    number,
                    FIRST_PARTS[1],
                    &format!("a{:x}", number % 7),
                    &nodes,
                    &runs,
                    &sound,
                    record,
                );
            }
        }
        std::thread::sleep(Duration::from_millis(250));
    }
    std::thread::sleep(Duration::from_secs(2));
    let crashes = crashes.lock().unwrap();
    // The fifth crash, or the last if there were fewer.
    let last_crash = crashes.iter().take(5).last().copied();
    let settled = last_crash.unwrap_or(changed_at) + SETTLED_AFTER;
    let sound = sound.lock().unwrap();
    let count = |requests: &[&Sound]| {
        (
            requests.iter().filter(|(_, begun)| *begun).count(),
            requests.len(),
        )
    };
    let before: Vec<&Sound> = sound.iter().filter(|(at, _)| *at < changed_at).collect();
    let after: Vec<&Sound> = sound
        .iter()
        .filter(|(at, _)| *at >= settled && *at <= last_crashing)
        .collect();
    let after = match case.has_trouble {
        true => after,
        false => sound.iter().filter(|(at, _)| *at >= settled).collect(),
    };
    let ((begun_before, all_before), (begun_after, all_after)) = (count(&before), count(&after));
    record.line(&format!(
        "{} crashes; of {all_before} sound requests before {begun_before} began at the first attempt, of {all_after} from 6 s \
         after the last crash on {begun_after}",
        crashes.len()
    ));
    if all_before < ENOUGH || all_after < ENOUGH {
        stop(&format!("too few sound requests: {all_before} and {all_after}"));
    }
    let is_broken = 2 * begun_after * all_before < begun_before * all_after;
    let text = format!(
        "of {all_after} sound requests with the same key, sent from 6 s after the last of {} crashes on, {begun_after} began at \
         the first attempt; before it were {begun_before} of {all_before}",
        crashes.len()
    );
    if is_broken { vec![text] } else { Vec::new() }
}

/// Sends a sound request and notes whether a server began it. Clients repeat it once after a promise.
fn send(
    number: usize,
    first: &str,
    session: &str,
    nodes: &[Arc<Node>],
    runs: &Runs,
    sound: &Mutex<Vec<Sound>>,
    record: &Record,
) {
    let at = Instant::now();
    let status = send_one(number, first, session, nodes, record);
    let has_begun = runs.lock().unwrap().contains_key(&format!("r{number:03}-0"));
    sound.lock().unwrap().push((at, has_begun));
    if status == 503 {
        send_attempt(number, 1, first, session, nodes, record);
    }
}

fn send_one(number: usize, first: &str, session: &str, nodes: &[Arc<Node>], record: &Record) -> u16 {
    send_attempt(number, 0, first, session, nodes, record)
}

fn send_attempt(
    number: usize,
    attempt: usize,
    first: &str,
    session: &str,
    nodes: &[Arc<Node>],
    record: &Record,
) -> u16 {
    let node = &nodes[(number + attempt) % nodes.len()];
    let id = format!("r{number:03}-{attempt}");
    let headers = format!(
        "Request-Id: {id}\r\nModel: m0\r\nToken-Counts: 1460,20\r\nPrompt-Prefix: {first}:800,{session}:410,f{number:x}{attempt}:250\r\n\
         Deadline-Milliseconds: 12000\r\nKey: key-parish\r\n"
    );
    let Some(mut caller) = Caller::connect(node.callers) else {
        stop("no connection");
    };
    let ended = caller.call(
        "POST",
        "/query/2f",
        &headers,
        &format!("question {number}"),
        DEADLINE,
    );
    record.line(&format!(
        "client: {id} with parts {first}, {session} to {}: {}",
        node.name,
        ended.text()
    ));
    ended.status()
}

/// Starts a server that ends when it begins to write an answer on the crashing part, and is back after a while.
fn start_server(
    i: usize,
    start: usize,
    address: SocketAddr,
    record: Record,
    store: Arc<Store>,
    runs: Runs,
    crashes: Arc<Mutex<Vec<Instant>>>,
) {
    let listener = TcpListener::bind(address).unwrap_or_else(|e| stop(&e.to_string()));
    let server = Server::new(&format!("i-engine-{i}-{start}"), "engines", &record, &runs);
    server.register(&store, address, MODEL);
    let has_crashed = Arc::new(AtomicBool::new(false));
    let connections: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if has_crashed.load(Ordering::SeqCst) {
                break;
            }
            let _ = stream.set_nodelay(true);
            connections.lock().unwrap().extend(stream.try_clone());
            let (server, has_crashed) = (server.clone(), has_crashed.clone());
            std::thread::spawn(move || answer_connection(&server, stream, &has_crashed, address));
        }
        // The process is gone: nobody listens, then all connections end.
        drop(listener);
        crashes.lock().unwrap().push(Instant::now());
        for stream in connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        std::thread::sleep(BACK_AFTER);
        store.remove("servers", &server.id);
        start_server(i, start + 1, address, record, store, runs, crashes);
    });
}

fn answer_connection(server: &Server, stream_of: TcpStream, has_crashed: &AtomicBool, address: SocketAddr) {
    let mut reader = BufReader::new(stream_of.try_clone().unwrap());
    let mut writer = stream_of;
    while let Some(req) = read_request(&mut reader) {
        if has_crashed.load(Ordering::SeqCst) {
            return;
        }
        let goes_on = if let Some(text) = model_state(server, &req, MODEL) {
            writer.write_all(text.as_bytes()).is_ok()
        } else if req.header("expected-instance").is_some_and(|id| id != server.id) {
            let id = req.header("request-id").unwrap_or("");
            let text =
                format!("HTTP/1.1 421 X\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            writer.write_all(text.as_bytes()).is_ok()
        } else if is_crashing(&req) {
            let id = req.header("request-id").unwrap_or("").to_owned();
            server.begin(&id);
            std::thread::sleep(Duration::from_millis(40));
            let head = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: sig.{id}\r\nWeight-Versions: 1\r\n\
                 Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            let _ = writer.write_all(head.as_bytes());
            std::thread::sleep(Duration::from_millis(5));
            server.record.line(&format!(
                "{} crashes as it begins to write its answer to {id}",
                server.id
            ));
            has_crashed.store(true, Ordering::SeqCst);
            // Wakes the thread that listens.
            let _ = TcpStream::connect(address);
            return;
        } else {
            stream(
                server,
                &req,
                &mut writer,
                Duration::from_millis(40),
                Duration::from_millis(5),
                20,
            )
        };
        if !goes_on {
            return;
        }
    }
}

fn is_crashing(req: &Message) -> bool {
    req.header("prompt-prefix")
        .is_some_and(|parts| parts.contains(CRASHING_PART))
}

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"query","host":"h.example","prefix":"/query/","route_kind":"streaming",
"timeout_ms":12000,"target_latency_ms":800,"priority":1,"service":"engines","max_attempts":1,"anonymous_access":false,
"session_affinity":true,"resumable":false,"target_gap_ms":300}],
"services":[{"name":"engines","health_check_path":"/health","connection_limit":370,"protocol":"h1","tls":false,
"engine":{"slots":64,"kv_cache_tokens":166165,"kv_token_bytes":18432,"link_mbps":130000.0,"stride":5,"max_concurrency":12,
"models":[{"name":"m0"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"parish","api_keys":["key-parish"],"priority":1}]}"#;
