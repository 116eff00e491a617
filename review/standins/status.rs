//! REFUSED: a server's own 503 to a request that it has run is passed on as the promise that it has not run.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Case;
use crate::platform::{Store, start_nodes};
use crate::servers::{Runs, Server, plain_answer, serve};
use crate::wire::Caller;

/// Of each five requests, the failing server fails the first two: a share of 0.4.
const FAILED_OF_FIVE: u64 = 2;
/// How long it fails them.
const FAILING_TIME: Duration = Duration::from_millis(6_500);
/// Clients, each with one request at a time.
const CLIENTS: usize = 36;
const DEADLINE: Duration = Duration::from_millis(1_200);

pub fn run(case: &Case) -> Vec<String> {
    let record = &case.record;
    let store = Store::start(record);
    let runs = Runs::default();
    let failing_since: Arc<Mutex<Option<Instant>>> = Arc::default();
    // One of seven servers is a share of 0.14.
    for i in 1..=7 {
        let server = Server::new(&format!("i-desk-{i}"), "desk", record, &runs);
        let since = failing_since.clone();
        let count = AtomicU64::new(0);
        let address = serve(server.clone(), move |server, req, writer, _| {
            let id = req.header("request-id").unwrap_or("").to_owned();
            server.begin(&id);
            std::thread::sleep(Duration::from_millis(30));
            server.progress(&id, true);
            let is_failing = i == 1
                && since
                    .lock()
                    .unwrap()
                    .is_some_and(|since| since.elapsed() < FAILING_TIME);
            let is_failed = is_failing && count.fetch_add(1, Ordering::SeqCst) % 5 < FAILED_OF_FIVE;
            let text = match is_failed {
                true => plain_answer(
                    "503 Service Unavailable",
                    req,
                    "",
                    "the record was written, its receipt was not",
                ),
                false => plain_answer("200 OK", req, "", "recorded"),
            };
            server
                .record
                .line(&format!("{} answers {id} with {}", server.id, &text[9..12]));
            writer.write_all(text.as_bytes()).is_ok()
        });
        server.register(&store, address, "");
    }
    store.put("op", "config", CONFIG);
    let nodes = start_nodes(&case.dir, 3, &store);
    if case.has_trouble {
        record.line("i-desk-1 begins to fail a share of its requests");
        *failing_since.lock().unwrap() = Some(Instant::now());
    }
    let started = Instant::now();
    let broken: Arc<Mutex<Vec<String>>> = Arc::default();
    let served = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (nodes, record, runs) = (nodes.clone(), record.clone(), runs.clone());
            let (broken, served) = (broken.clone(), served.clone());
            std::thread::spawn(move || {
                let mut order = 0;
                while started.elapsed() < Duration::from_secs(8) {
                    order += 1;
                    // Clients repeat an unsafe request once, and only after a promise that it has not run.
                    for attempt in 0..2 {
                        let node = &nodes[(client + attempt) % nodes.len()];
                        let id = format!("order-{client}-{order:03}-{attempt}");
                        let headers =
                            format!("Request-Id: {id}\r\nDeadline-Milliseconds: 1200\r\nKey: key-one\r\n");
                        record.line(&format!("client sends {id} to {}", node.name));
                        let Some(mut caller) = Caller::connect(node.callers) else {
                            crate::platform::stop("no connection");
                        };
                        let body = format!("grant {client}-{order}");
                        let ended = caller.call("POST", "/record/2f", &headers, &body, DEADLINE);
                        record.line(&format!("client: {id} {}", ended.text()));
                        let is_promise = matches!(ended.status(), 408 | 421 | 429 | 503);
                        served.fetch_add(u64::from(ended.status() == 200), Ordering::SeqCst);
                        let server = runs.lock().unwrap().get(&id).map(|runs| runs[0].server.clone());
                        if let Some(server) = server.filter(|_| is_promise) {
                            let text = format!(
                                "{id}: the client got {}, and {server} has run the request",
                                ended.status()
                            );
                            broken.lock().unwrap().push(text);
                        }
                        if !is_promise {
                            break;
                        }
                        std::thread::sleep(Duration::from_millis(100));
                    }
                    std::thread::sleep(Duration::from_millis(10));
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    let served = served.load(Ordering::SeqCst);
    record.line(&format!("{served} requests were answered with 200"));
    if served < 500 {
        crate::platform::stop(&format!("only {served} requests were served"));
    }
    broken.lock().unwrap().clone()
}

pub const CONFIG: &str = r#"{"version":7,"routes":[{"name":"record","host":"h.example","prefix":"/record/","route_kind":"unsafe",
"timeout_ms":1200,"target_latency_ms":120,"priority":2,"service":"desk","max_attempts":1,"anonymous_access":false}],
"services":[{"name":"desk","health_check_path":"/health","connection_limit":110,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"parish","api_keys":["key-one"],"priority":1}]}"#;
