//! A server fails part of the requests that it has run with a 503 that does not say that they have not run.

use std::collections::HashSet;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use crate::Verdict;
use crate::deployment::{Hosts, Record, Request};
use crate::http::Message;
use crate::plain::{Fault, start};
use crate::store::Store;

const ZONES: [&str; 3] = ["zone-a"; 3];
/// Servers of the service; one of them fails requests, 0.143. The bench plays 0.15 (`srv_grey`).
const SERVERS: usize = 7;
/// The faulty server fails two requests of five, 0.4. The site plays up to 0.45.
const FAILED: (u64, u64) = (2, 5);
/// Length of the disruption. The site plays 6.5 s.
const LENGTH: Duration = Duration::from_secs(6);
const CLIENTS_PER_HOST: u64 = 12;
const PAUSE: Duration = Duration::from_millis(20);

pub fn run(folder: &Path, record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let store = Store::start();
    store.put(
        "op",
        "config",
        "{\"version\":3,\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000},\"services\":[{\"name\":\"ledger\",\"connection_limit\":110,\
         \"health_check_path\":\"/health\"}],\"routes\":[{\"name\":\"record\",\"host\":\"desk.example\",\
         \"prefix\":\"/record/\",\"route_kind\":\"unsafe\",\"timeout_ms\":1200,\"target_latency_ms\":120,\
         \"priority\":2,\"service\":\"ledger\",\"max_attempts\":1,\"anonymous_access\":true}]}",
    );
    let is_grey = Arc::new(AtomicBool::new(false));
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let (is_grey, count) = (is_grey.clone(), AtomicU64::new(0));
        let choose = move |_: &Message| {
            if number > 0 || !has_trouble || !is_grey.load(Ordering::SeqCst) {
                return Fault::None;
            }
            match count.fetch_add(1, Ordering::SeqCst) % FAILED.1 < FAILED.0 {
                true => Fault::Fail(503),
                false => Fault::None,
            }
        };
        servers.push(start(&store, record, number, ZONES[0], Arc::new(choose)));
    }
    let Some(hosts) = Hosts::start(folder, &store, &ZONES) else {
        return Verdict::NotRun("the hosts did not become ready");
    };
    // The machines come in touch.
    std::thread::sleep(Duration::from_secs(4));
    is_grey.store(true, Ordering::SeqCst);
    let is_over = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for host in &hosts.all {
        for client in 0..CLIENTS_PER_HOST {
            let (host, is_over, record) = (host.clone(), is_over.clone(), record.clone());
            threads.push(std::thread::spawn(move || {
                let (mut promised, mut answered) = (Vec::new(), 0);
                for number in 0u64.. {
                    if is_over.load(Ordering::SeqCst) {
                        break;
                    }
                    let request = Request {
                        method: "POST",
                        path: "/record/7".into(),
                        id: format!("{}-{client}-{number}", host.name),
                        deadline_ms: 1_200,
                        body: format!("fee {number}"),
                        ..Request::default()
                    };
                    let answer = request.send(&host, &record);
                    let status = answer.as_ref().map_or(0, Message::status);
                    answered += u64::from(status == 200);
                    if [408, 421, 429, 503].contains(&status) {
                        promised.push(request.id);
                    }
                    std::thread::sleep(PAUSE);
                }
                (promised, answered)
            }));
        }
    }
    std::thread::sleep(LENGTH);
    is_grey.store(false, Ordering::SeqCst);
    std::thread::sleep(Duration::from_secs(2));
    is_over.store(true, Ordering::SeqCst);
    let (mut promised, mut answered) = (Vec::new(), 0);
    for thread in threads {
        let (more, count) = thread.join().unwrap_or_default();
        promised.extend(more);
        answered += count;
    }
    let ran: HashSet<String> = servers
        .iter()
        .flat_map(|server| server.ran.lock().unwrap().clone())
        .collect();
    let broken = promised.iter().filter(|id| ran.contains(*id)).count();
    record.add(format!(
        "requests answered with 200: {answered}; answered with a promise that they have not run: {}, of which have run: \
         {broken}",
        promised.len()
    ));
    match (answered, broken) {
        (0, _) => Verdict::NotRun("no request was answered"),
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken("unsafe requests that have run are answered 503"),
    }
}
