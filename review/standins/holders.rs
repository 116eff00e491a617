//! ONE: after the store was restored from a copy, a process that stood still writes the lease over that of another one.

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Case;
use crate::platform::{Node, Record, Store, start_nodes};
use crate::servers::{Runs, Server, plain_answer, serve};
use crate::wire::{Json, Message};

/// Age of the copy that the store comes back from.
const COPY_AGE: Duration = Duration::from_millis(6_300);
/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(300);
/// Longest time for which a machine is suspended.
const MAX_SUSPENSION: Duration = Duration::from_secs(8);
/// Pause between two writes of a server's entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time that new weights take a server.
const LOAD_TIME: Duration = Duration::from_millis(760);
/// Time after a thaw in which orders don't count.
const THAW_SLACK: Duration = Duration::from_millis(300);
/// Rounds; in each the store is restored once.
const ROUNDS: usize = 3;

/// An order that a model server received.
#[derive(Debug, Clone)]
struct Order {
    server: String,
    holder: String,
    token: u64,
    at: Instant,
}

/// State of a model server.
struct Engine {
    version: u64,
    orders: u64,
    busy_until: Instant,
}

pub fn run(case: &Case) -> Vec<String> {
    let record = &case.record;
    let store = Arc::new(Store::start(record));
    let runs = Runs::default();
    let orders: Arc<Mutex<Vec<Order>>> = Arc::default();
    store.put("op", "config", CONFIG);
    store.put("op", "version/m0", "{\"model\":\"m0\",\"version\":1}");
    for i in 1..=2 {
        start_engine(&format!("i-engine-{i}"), record, &store, &runs, &orders);
    }
    let nodes = start_nodes(&case.dir, 3, &store);
    std::thread::sleep(Duration::from_secs(6));
    let mut weights = 1;
    let mut thaws: Vec<(String, Instant)> = Vec::new();
    for round in 1..=ROUNDS {
        play(case, &store, &nodes, &mut weights, &mut thaws, round);
        let broken = find_shared_tokens(&orders.lock().unwrap(), &thaws);
        if !broken.is_empty() || !case.has_trouble {
            return broken;
        }
    }
    if orders.lock().unwrap().is_empty() {
        crate::platform::stop("no order was given");
    }
    Vec::new()
}

/// Finds servers that got orders with one fencing token from two holders.
fn find_shared_tokens(orders: &[Order], thaws: &[(String, Instant)]) -> Vec<String> {
    let mut holders: BTreeMap<(&str, u64), Vec<&Order>> = BTreeMap::new();
    for order in orders {
        let is_excused = thaws
            .iter()
            .any(|(name, at)| *name == order.holder && order.at >= *at && order.at < *at + THAW_SLACK);
        if !is_excused {
            let place = (&*order.server, order.token);
            holders.entry(place).or_default().push(order);
        }
    }
    let mut broken = Vec::new();
    for ((server, token), all) in &holders {
        if let Some(other) = all.iter().find(|order| order.holder != all[0].holder) {
            broken.push(format!(
                "{server} got orders with the fencing token {token} from {} and {:.1} s later from {}",
                all[0].holder,
                other.at.saturating_duration_since(all[0].at).as_secs_f64(),
                other.holder
            ));
        }
    }
    broken
}

/// Plays one round: the holder of the lease is suspended, the store is restored, another machine takes the lease.
fn play(
    case: &Case,
    store: &Store,
    nodes: &[Arc<Node>],
    weights: &mut u64,
    thaws: &mut Vec<(String, Instant)>,
    round: usize,
) {
    let record = &case.record;
    // The machine that holds the lease, right after it has renewed it.
    let (_, before, _) = lease(store);
    while lease(store).1 == before {
        store.wait_for_change(Duration::from_millis(50));
    }
    std::thread::sleep(Duration::from_millis(60));
    let (holder, known, _) = lease(store);
    let node = nodes
        .iter()
        .find(|node| node.name == holder)
        .unwrap_or_else(|| crate::platform::stop("no holder"));
    record.line(&format!(
        "round {round}: {holder} holds the lease; its row has version {known}"
    ));
    let suspended = Instant::now();
    if case.has_trouble {
        record.line(&format!("{holder} is suspended, and the store goes away"));
        node.signal("STOP");
        store.restore(COPY_AGE, AWAY);
        record.line("the store is back from a copy");
    }
    // Another machine takes the lease.
    let until = Instant::now() + Duration::from_secs(8);
    while case.has_trouble && lease(store).0 == holder && Instant::now() < until {
        store.wait_for_change(Duration::from_millis(50));
    }
    let (other, version, _) = lease(store);
    record.line(&format!("{other} holds the lease; its row has version {version}"));
    name_weights(store, weights, record);
    // The machine wakes while the row has again the version that it knows, or when that is past.
    while case.has_trouble {
        let (other, version, _) = lease(store);
        let was_hit = other != holder && version == known;
        if was_hit || version > known || suspended.elapsed() > MAX_SUSPENSION {
            let after = suspended.elapsed().as_secs_f64();
            node.signal("CONT");
            thaws.push((holder.clone(), Instant::now()));
            record.line(&format!(
                "{holder} wakes after {after:.1} s; the row is {other}'s and has version {version}"
            ));
            break;
        }
        store.wait_for_change(Duration::from_millis(20));
    }
    std::thread::sleep(Duration::from_secs(6));
    let (now, version, _) = lease(store);
    record.line(&format!("{now} holds the lease; its row has version {version}"));
    name_weights(store, weights, record);
    std::thread::sleep(Duration::from_secs(6));
}

fn name_weights(store: &Store, weights: &mut u64, record: &Record) {
    *weights += 1;
    record.line(&format!("operator: names version {weights} of the weights"));
    store.put(
        "op",
        "version/m0",
        &format!("{{\"model\":\"m0\",\"version\":{weights}}}"),
    );
}

/// Returns the holder, the version of the row and the fencing token.
fn lease(store: &Store) -> (String, u64, u64) {
    let Some((text, version, _)) = store.row("orders", "lease") else {
        return Default::default();
    };
    let row = Json::parse(&text).unwrap_or(Json::Other);
    (
        row.get("holder").text().to_owned(),
        version,
        row.get("epoch").number(),
    )
}

fn start_engine(id: &str, record: &Record, store: &Arc<Store>, runs: &Runs, orders: &Arc<Mutex<Vec<Order>>>) {
    let server = Server::new(id, "engines", record, runs);
    let state = Arc::new(Mutex::new(Engine {
        version: 1,
        orders: 0,
        busy_until: Instant::now(),
    }));
    let (shared, orders) = (state.clone(), orders.clone());
    let address = serve(server, move |server, req, writer, _| {
        let mut state = shared.lock().unwrap();
        let text = match req.target().split('?').next() {
            Some("/v1/report") => json_answer(200, &report(&state)),
            Some("/v1/order") => order(server, req, &mut state, &orders),
            _ => plain_answer("503 Service Unavailable", req, "Not-Executed: 1\r\n", ""),
        };
        writer.write_all(text.as_bytes()).is_ok()
    });
    let (store, id) = (store.clone(), id.to_owned());
    std::thread::spawn(move || {
        loop {
            let entry = {
                let state = state.lock().unwrap();
                format!(
                    "{{\"service\":\"engines\",\"address\":\"{address}\",\"zone\":\"north-a\",\"version\":\"v1\",\"slots\":64,\
                     \"state\":\"ready\",\"cold_remaining_ms\":0,\"stage\":\"both\",\"models\":[{}],\"born\":1796468000000,\
                     \"sequence_number\":{}}}",
                    model(&state),
                    state.orders
                )
            };
            store.put("servers", &id, &entry);
            std::thread::sleep(HEARTBEAT);
        }
    });
}

fn model(state: &Engine) -> String {
    format!(
        "{{\"name\":\"m0\",\"version\":{},\"adapters\":[]}}",
        state.version
    )
}

fn report(state: &Engine) -> String {
    format!(
        "{{\"stage\":\"both\",\"models\":[{}],\"busy\":{},\"sequence_number\":{},\"born\":1796468000000,\"waiting_requests\":0,\
         \"running_requests\":0,\"kv_cache_used\":0,\"kv_cache_total\":166165,\"handles\":0}}",
        model(state),
        Instant::now() < state.busy_until,
        state.orders
    )
}

/// Receives an order as PROTOCOL has it, without a check of the fencing token.
fn order(server: &Server, req: &Message, state: &mut Engine, orders: &Mutex<Vec<Order>>) -> String {
    let text = String::from_utf8_lossy(&req.body).into_owned();
    let call = Json::parse(&text).unwrap_or(Json::Other);
    let (holder, token) = (
        call.get("holder").text().to_owned(),
        call.get("fencing_token").number(),
    );
    let version = call.get("version").number();
    let is_busy = Instant::now() < state.busy_until;
    let is_expected = call.get("expected_revision").number() == state.orders;
    let status = match version == state.version {
        true => 200,
        false if is_busy || !is_expected => 409,
        false => 202,
    };
    server.record.line(&format!(
        "{} gets an order from {holder}: fencing token {token}, version {version}; answers {status}",
        server.id
    ));
    orders.lock().unwrap().push(Order {
        server: server.id.clone(),
        holder,
        token,
        at: Instant::now(),
    });
    if status == 202 {
        state.orders += 1;
        state.version = version;
        state.busy_until = Instant::now() + LOAD_TIME;
    }
    json_answer(status, "{}")
}

fn json_answer(status: u16, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"query","host":"h.example","prefix":"/query/","route_kind":"streaming",
"timeout_ms":15000,"target_latency_ms":800,"priority":1,"service":"engines","max_attempts":1,"anonymous_access":false,
"session_affinity":true,"resumable":false,"target_gap_ms":300}],
"services":[{"name":"engines","health_check_path":"/health","connection_limit":370,"protocol":"h1","tls":false,
"engine":{"slots":64,"kv_cache_tokens":166165,"kv_token_bytes":18432,"link_mbps":130000.0,"stride":5,"max_concurrency":12,
"models":[{"name":"m0"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"parish","api_keys":["key-one"],"priority":1}]}"#;
