//! Entries of another writer stand in the list of servers: their service isn't named in the configuration.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::deployment::{Hosts, Record, Request, free_address, server_entry};
use crate::engine::{Engine, SLOTS};
use crate::http::Message;
use crate::store::Store;

const ZONES: [&str; 3] = ["zone-a"; 3];
const SERVERS: usize = 9;
/// Entries of the other writer. Nothing listens at their addresses.
const OTHER_ENTRIES: usize = 4;
const MODEL: &str = "m-long";
/// Time from the begin of traffic to the naming of the new weights. The end of the traffic is later than 1.5 x `version_ms`
/// after it.
const NAMED_AFTER: Duration = Duration::from_secs(6);
const LENGTH: Duration = Duration::from_secs(30);
const CLIENTS_PER_HOST: u64 = 2;
const PAUSE: Duration = Duration::from_millis(100);

pub fn run(folder: &Path, record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let store = Store::start();
    store.put(
        "op",
        "config",
        "{\"version\":3,\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000},\"services\":[{\"name\":\"drafts\",\"connection_limit\":370,\
         \"health_check_path\":\"/health\",\"engine\":{\"slots\":64,\"kv_cache_tokens\":165785,\
         \"models\":[{\"name\":\"m-long\"}]}}],\"routes\":[{\"name\":\"summary\",\"host\":\"desk.example\",\
         \"prefix\":\"/summary/\",\"route_kind\":\"streaming\",\"timeout_ms\":3000,\"target_latency_ms\":800,\
         \"priority\":1,\"service\":\"drafts\",\"max_attempts\":2,\"anonymous_access\":true,\"session_affinity\":true,\
         \"resumable\":true,\"target_gap_ms\":300}]}",
    );
    store.put("op", "version/m-long", "{\"model\":\"m-long\",\"version\":1}");
    let servers: Vec<_> = (0..SERVERS)
        .map(|n| Engine::start(&store, record, n, ZONES[0], &[MODEL]))
        .collect();
    for number in 0..OTHER_ENTRIES {
        if has_trouble {
            let models = "[{\"name\":\"m-long\",\"version\":1,\"adapters\":[]}]";
            let entry = server_entry("service-of-no-one", free_address(), ZONES[0], SLOTS, models);
            record.add(format!("another writer enters agent-{number}: {entry}"));
            store.put("servers", &format!("agent-{number}"), &entry);
        }
    }
    let Some(hosts) = Hosts::start(folder, &store, &ZONES) else {
        return Verdict::NotRun("the hosts did not become ready");
    };
    // The machines come in touch.
    std::thread::sleep(Duration::from_secs(4));
    let (started, is_over) = (Instant::now(), Arc::new(AtomicBool::new(false)));
    let mut threads = Vec::new();
    for host in &hosts.all {
        for client in 0..CLIENTS_PER_HOST {
            let (host, is_over, record) = (host.clone(), is_over.clone(), record.clone());
            threads.push(std::thread::spawn(move || {
                let (mut sent, mut served) = ([0; 2], [0; 2]);
                for number in 0u64.. {
                    if is_over.load(Ordering::SeqCst) {
                        break;
                    }
                    let request = Request {
                        method: "POST",
                        path: "/summary/1".into(),
                        id: format!("{}-{client}-{number}", host.name),
                        headers: format!(
                            "Model: {MODEL}\r\nToken-Counts: 300,10\r\nPrompt-Prefix: aa{:02x}:200,{number:08x}:100\r\n",
                            number % 30
                        ),
                        deadline_ms: 3_000,
                        body: "prompt".into(),
                        ..Request::default()
                    };
                    let half = usize::from(started.elapsed() >= LENGTH / 2);
                    sent[half] += 1;
                    let status = request.send(&host, &record).as_ref().map_or(0, Message::status);
                    served[half] += u64::from(status == 200);
                    std::thread::sleep(PAUSE);
                }
                (sent, served)
            }));
        }
    }
    std::thread::sleep(NAMED_AFTER);
    record.add("version 2 is named");
    store.put("op", "version/m-long", "{\"model\":\"m-long\",\"version\":2}");
    std::thread::sleep(LENGTH.saturating_sub(started.elapsed()));
    is_over.store(true, Ordering::SeqCst);
    let (mut sent, mut served) = ([0; 2], [0; 2]);
    for thread in threads {
        let counts: ([u64; 2], [u64; 2]) = thread.join().unwrap_or_default();
        for half in 0..2 {
            sent[half] += counts.0[half];
            served[half] += counts.1[half];
        }
    }
    let versions: Vec<u64> = servers.iter().map(|server| server.version_of(MODEL)).collect();
    let old = versions.iter().filter(|version| **version < 2).count();
    record.add(format!(
        "served {} of {} in the first half, {} of {} in the second; versions at the servers: {versions:?}",
        served[0], sent[0], served[1], sent[1]
    ));
    if served[0] == 0 {
        return Verdict::NotRun("no request was served");
    }
    // More than one server and over a tenth of them still have an older version.
    match old > 1 && old * 10 > SERVERS {
        true => Verdict::Broken("servers still have the older version when the traffic ends"),
        false => Verdict::Held,
    }
}
