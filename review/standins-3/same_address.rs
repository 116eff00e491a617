//! Entries of another writer stand in the list of servers: their service isn't named in the configuration, and their
//! addresses are those of sound servers, as of an agent that reports on the server beside it.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::Verdict;
use crate::deployment::{Hosts, Record, Request, born, server_entry};
use crate::http::Message;
use crate::plain::{Fault, start};
use crate::store::Store;

const ZONES: [&str; 3] = ["zone-a"; 3];
const SERVERS: usize = 3;
/// Time after the start of the servers at which the other writer started, in milliseconds.
const LATER_MS: u128 = 1_000;
const LENGTH: Duration = Duration::from_secs(20);
const CLIENTS_PER_HOST: usize = 4;
const PAUSE: Duration = Duration::from_millis(50);

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
    for number in 0..SERVERS {
        let sound = Arc::new(|_: &Message| Fault::None);
        let server = start(&store, record, number, ZONES[0], sound);
        if has_trouble {
            let entry = server_entry("service-of-no-one", server.address, ZONES[0], 6, "");
            let entry = entry.replace(&born().to_string(), &(born() + LATER_MS).to_string());
            record.add(format!("another writer enters agent-{number}: {entry}"));
            store.put("servers", &format!("agent-{number}"), &entry);
        }
    }
    let Some(hosts) = Hosts::start(folder, &store, &ZONES) else {
        return Verdict::NotRun("the hosts did not become ready");
    };
    // The machines come in touch.
    std::thread::sleep(Duration::from_secs(4));
    let is_over = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for host in &hosts.all {
        for client in 0..CLIENTS_PER_HOST {
            let (host, is_over, record) = (host.clone(), is_over.clone(), record.clone());
            threads.push(std::thread::spawn(move || {
                let (mut sent, mut served) = (0u64, 0u64);
                for number in 0u64.. {
                    if is_over.load(Ordering::SeqCst) {
                        break;
                    }
                    let is_read = client % 2 == 0;
                    let id = format!("{}-{client}-{number}", host.name);
                    let request = Request {
                        method: if is_read { "GET" } else { "POST" },
                        path: format!("/{}/{number}", if is_read { "look-up" } else { "record" }),
                        body: if is_read {
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
                    std::thread::sleep(PAUSE);
                }
                (sent, served)
            }));
        }
    }
    std::thread::sleep(LENGTH);
    is_over.store(true, Ordering::SeqCst);
    let counts = threads
        .into_iter()
        .map(|thread| thread.join().unwrap_or_default());
    let (sent, served) = counts.fold((0, 0), |sum, more| (sum.0 + more.0, sum.1 + more.1));
    let ready = hosts.all.iter().filter(|host| host.is_ready()).count();
    record.add(format!(
        "{served} of {sent} requests served; {ready} of {} hosts say that they are ready",
        ZONES.len()
    ));
    match (sent, served) {
        (0, _) => Verdict::NotRun("no request was sent"),
        (_, 0) => Verdict::Broken("no request is served"),
        _ => Verdict::Held,
    }
}
