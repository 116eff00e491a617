//! LOST: processes that are stopped in turn accept streams that they can not finish, and cut them.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Case;
use crate::platform::{Node, Store, restart_when_ended, start_nodes};
use crate::servers::{Run, Runs, Server, model_state, serve, stream};
use crate::wire::{Caller, Ended};

/// Bounds of the deployment.
const GRACE: Duration = Duration::from_secs(8);
const DEADLINE: Duration = Duration::from_millis(15_000);
/// Pause between the stops of two processes.
const STOP_GAP: Duration = Duration::from_millis(1_300);
/// Time to the first token at a busy model server, and for each further token: a step with 45 running requests and one
/// piece of a prompt, 3.74 + 45 x 0.0807 + 2,048 / 81.9 ms. With 5 tokens in an event the pauses are 160 ms; 300 are on
/// time.
const FIRST_TOKEN: Duration = Duration::from_millis(300);
const TOKEN: Duration = Duration::from_millis(32);
/// Pause between two requests: the streams of the small site, 200 a second at 9 machines, for 3 machines.
const REQUEST_GAP: Duration = Duration::from_millis(15);
const MODEL: &str = "{\"name\":\"m0\",\"version\":1,\"adapters\":[]}";

/// A request as its client saw it.
struct Sent {
    id: String,
    node: usize,
    at: Instant,
    ended_at: Instant,
    ended: Ended,
}

/// The machines that the platform forwards new connections to.
struct Rotation {
    misses: Vec<u32>,
}

impl Rotation {
    /// Returns the node for a client: of those in rotation, or of all if fewer than half are.
    fn choose(&self, client: usize) -> usize {
        let ready: Vec<usize> = (0..self.misses.len()).filter(|i| self.misses[*i] < 2).collect();
        let hash = client.wrapping_mul(2_654_435_761) >> 7;
        match ready.len() * 2 < self.misses.len() {
            true => hash % self.misses.len(),
            false => ready[hash % ready.len()],
        }
    }
}

pub fn run(case: &Case) -> Vec<String> {
    let record = &case.record;
    let store = Store::start(record);
    let runs = Runs::default();
    for i in 1..=6 {
        let server = Server::new(&format!("i-engine-{i}"), "engines", record, &runs);
        let address = serve(server.clone(), |server, req, writer, _| {
            if let Some(text) = model_state(server, req, MODEL) {
                return std::io::Write::write_all(writer, text.as_bytes()).is_ok();
            }
            let counts = req
                .header("token-counts")
                .and_then(|counts| counts.split_once(','));
            let tokens = counts.and_then(|(_, most)| most.parse().ok()).unwrap_or(1);
            stream(server, req, writer, FIRST_TOKEN, TOKEN, tokens)
        });
        server.register(&store, address, MODEL);
    }
    store.put("op", "config", CONFIG);
    store.put("op", "version/m0", "{\"model\":\"m0\",\"version\":1}");
    let nodes = start_nodes(&case.dir, 3, &store);
    let rotation = Arc::new(Mutex::new(Rotation {
        misses: vec![0; nodes.len()],
    }));
    for (i, node) in nodes.iter().enumerate() {
        let (node, rotation, record) = (node.clone(), rotation.clone(), record.clone());
        std::thread::spawn(move || {
            loop {
                let is_ready = node.is_ready();
                let mut rotation = rotation.lock().unwrap();
                let before = rotation.misses[i];
                rotation.misses[i] = if is_ready { 0 } else { before + 1 };
                if before < 2 && rotation.misses[i] == 2 {
                    record.line(&format!("platform: {} is out of rotation", node.name));
                }
                drop(rotation);
                std::thread::sleep(Duration::from_secs(1));
            }
        });
    }
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let started = Instant::now();
    let stops: Vec<Instant> = (0..nodes.len())
        .map(|i| started + Duration::from_secs(2) + STOP_GAP * i as u32)
        .collect();
    let mut callers = Vec::new();
    let mut stopped = vec![false; nodes.len()];
    let mut number = 0;
    while started.elapsed() < Duration::from_millis(9_000) {
        for (i, node) in nodes.iter().enumerate() {
            if case.has_trouble && !stopped[i] && Instant::now() >= stops[i] {
                stopped[i] = true;
                record.line(&format!("SIGTERM to {}", node.name));
                node.signal("TERM");
                restart_when_ended(node.clone(), record.clone());
            }
        }
        number += 1;
        let i = rotation.lock().unwrap().choose(number);
        let (node, sent, record) = (nodes[i].clone(), sent.clone(), record.clone());
        let again = nodes[(i + 1) % nodes.len()].clone();
        let other = (i + 1) % nodes.len();
        callers.push(std::thread::spawn(move || {
            // Clients repeat a request once, only after a promise that it has not run, and reach another node.
            if let Some(wait) = call(number, 0, i, &node, &sent, &record) {
                std::thread::sleep(wait);
                call(number, 1, other, &again, &sent, &record);
            }
        }));
        std::thread::sleep(REQUEST_GAP);
    }
    for caller in callers {
        let _ = caller.join();
    }
    let sent = sent.lock().unwrap();
    let runs = runs.lock().unwrap();
    let none = Vec::new();
    let broken = sent.iter().filter_map(|sent| {
        let stop = stops[sent.node];
        let own = runs.get(&sent.id).unwrap_or(&none);
        case.has_trouble.then(|| loss(sent, own, stop, &nodes)).flatten()
    });
    let whole = sent.iter().filter(|sent| sent.ended.status() == 200).count();
    record.line(&format!(
        "{} requests, {whole} answered whole with 200",
        sent.len()
    ));
    match case.has_trouble {
        true => broken.collect(),
        false => {
            let cut = sent.iter().filter(|sent| matches!(sent.ended, Ended::Cut(_)));
            cut.map(|sent| format!("{} ended: {}", sent.id, sent.ended.text()))
                .collect()
        }
    }
}

/// A client: one request on a new connection. Returns the time to wait after a promise that it has not run.
fn call(
    number: usize,
    attempt: usize,
    index: usize,
    node: &Node,
    sent: &Mutex<Vec<Sent>>,
    record: &crate::platform::Record,
) -> Option<Duration> {
    let tokens = 30 + number * 37 % 151;
    let id = format!("r{number:04}-{attempt}");
    let headers = format!(
        "Request-Id: {id}\r\nModel: m0\r\nToken-Counts: 827,{tokens}\r\nPrompt-Prefix: a{:x}:119,b{:x}:531,c{number:x}:177\r\n\
         Deadline-Milliseconds: {}\r\nKey: key-one\r\n",
        number % 20,
        number % 700,
        DEADLINE.as_millis()
    );
    let at = Instant::now();
    record.line(&format!(
        "client sends {id} to {}, {tokens} tokens out",
        node.name
    ));
    let ended = match Caller::connect(node.callers) {
        Some(mut caller) => caller.call("POST", "/query/2f", &headers, "a question", DEADLINE),
        None => Ended::NoConnection,
    };
    record.line(&format!("client: {id} {}", ended.text()));
    let ended_at = Instant::now();
    let wait = match &ended {
        Ended::Whole(answer) if answer.status() == 503 => {
            answer.header("retry-after").and_then(|s| s.parse().ok())
        }
        _ => None,
    };
    sent.lock().unwrap().push(Sent {
        id,
        node: index,
        at,
        ended_at,
        ended,
    });
    wait.map(Duration::from_secs_f64)
}

/// Returns how a request was lost around the stop of its machine, as the rule counts it.
fn loss(sent: &Sent, runs: &[Run], stop: Instant, nodes: &[Arc<Node>]) -> Option<String> {
    let is_cut = matches!(sent.ended, Ended::Cut(_));
    let is_passed_on = !runs.is_empty();
    let is_around = sent.ended_at >= stop && sent.ended_at <= stop + GRACE + Duration::from_secs(1);
    let is_in_time = sent.ended_at < sent.at + DEADLINE;
    let is_early = sent.at <= stop + Duration::from_secs(3);
    let last_sixth = stop + GRACE * 5 / 6;
    let is_at_work = runs.iter().any(|run| run.at_work_until >= last_sixth);
    let has_ended = runs.iter().any(|run| run.is_done);
    let counts = is_cut && is_passed_on && is_around && is_in_time && !has_ended && !(is_early && is_at_work);
    counts.then(|| {
        let after = |at: Instant| at.saturating_duration_since(stop).as_secs_f64();
        format!(
            "{} was sent to {} {:.2} s after its SIGTERM and passed on to {} {:.2} s after it; {} {:.2} s after it",
            sent.id, nodes[sent.node].name, after(sent.at), runs[0].server, after(runs[0].started), sent.ended.text(),
            after(sent.ended_at)
        )
    })
}

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"query","host":"h.example","prefix":"/query/","route_kind":"streaming",
"timeout_ms":15000,"target_latency_ms":800,"priority":1,"service":"engines","max_attempts":1,"anonymous_access":false,
"session_affinity":true,"resumable":false,"target_gap_ms":300}],
"services":[{"name":"engines","health_check_path":"/health","connection_limit":370,"protocol":"h1","tls":false,
"engine":{"slots":64,"kv_cache_tokens":166165,"kv_token_bytes":18432,"link_mbps":130000.0,"stride":5,"max_concurrency":12,
"models":[{"name":"m0"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"parish","api_keys":["key-one"],"priority":1}]}"#;
