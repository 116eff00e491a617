//! The configuration changes: a tenant becomes isolated whose requests have left parts of prompts at the servers.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use crate::Verdict;
use crate::deployment::{Host, Hosts, Record, Request};
use crate::engine::Engine;
use crate::http::Message;
use crate::store::Store;

const ZONES: [&str; 3] = ["zone-a"; 3];
const SERVERS: usize = 3;
/// Prompts of each tenant in each of the two spells.
const PROMPTS: u64 = 40;
/// Different shared parts.
const SHARED_PARTS: u64 = 5;
/// `configuration_apply_ms` with room to spare.
const APPLY: Duration = Duration::from_secs(5);

fn config(version: u64, is_isolated: bool) -> String {
    format!(
        "{{\"version\":{version},\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"services\":[{{\"name\":\"drafts\",\
         \"connection_limit\":370,\"health_check_path\":\"/health\",\"engine\":{{\"slots\":64,\
         \"kv_cache_tokens\":165785,\"models\":[{{\"name\":\"m-long\"}}]}}}}],\"routes\":[{{\"name\":\"summary\",\
         \"host\":\"desk.example\",\"prefix\":\"/summary/\",\"route_kind\":\"streaming\",\"timeout_ms\":3000,\
         \"target_latency_ms\":800,\"priority\":1,\"service\":\"drafts\",\"max_attempts\":2,\
         \"anonymous_access\":false,\"session_affinity\":true,\"resumable\":true,\"target_gap_ms\":300}}],\
         \"tenants\":[{{\"name\":\"mill\",\"api_keys\":[\"key-of-mill\"],\"isolated\":{is_isolated}}},\
         {{\"name\":\"farm\",\"api_keys\":[\"key-of-farm\"],\"isolated\":false}}]}}"
    )
}

fn send(record: &Record, host: &Host, tenant: &str, number: u64) -> bool {
    let request = Request {
        method: "POST",
        path: "/summary/1".into(),
        id: format!("{tenant}-{number}"),
        key: format!("key-of-{tenant}"),
        headers: format!(
            "Model: m-long\r\nToken-Counts: 900,10\r\nPrompt-Prefix: 5c1e07a{}:800,{tenant}{number}:100\r\n",
            number % SHARED_PARTS
        ),
        deadline_ms: 3_000,
        body: "prompt".into(),
    };
    let status = request.send(host, record).as_ref().map_or(0, Message::status);
    std::thread::sleep(Duration::from_millis(20));
    status == 200
}

pub fn run(folder: &Path, record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let store = Store::start();
    store.put("op", "config", &config(3, false));
    store.put("op", "version/m-long", "{\"model\":\"m-long\",\"version\":1}");
    let servers: Vec<_> = (0..SERVERS)
        .map(|n| Engine::start(&store, record, n, ZONES[0], &["m-long"]))
        .collect();
    let Some(hosts) = Hosts::start(folder, &store, &ZONES) else {
        return Verdict::NotRun("the hosts did not become ready");
    };
    // The machines come in touch.
    std::thread::sleep(Duration::from_secs(4));
    let host = |number: u64| &hosts.all[number as usize % hosts.all.len()];
    let mut served = 0;
    for number in 0..PROMPTS {
        served += u64::from(send(record, host(number), "mill", number));
    }
    if has_trouble {
        record.add("a configuration is acknowledged in which mill is isolated");
        store.put("op", "config", &config(8, true));
    }
    std::thread::sleep(APPLY);
    for number in PROMPTS..2 * PROMPTS {
        served += u64::from(send(record, host(number), "farm", number));
        served += u64::from(send(record, host(number + 1), "mill", number));
    }
    if served < 3 * PROMPTS / 2 {
        return Verdict::NotRun("most requests were not served");
    }
    let mut broken = 0;
    for server in &servers {
        for run in server.runs() {
            let number: u64 = run
                .id
                .rsplit('-')
                .next()
                .and_then(|n| n.parse().ok())
                .unwrap_or(0);
            let is_after = number >= PROMPTS;
            let foreign = run.reused.iter().filter(|(_, maker)| *maker != run.tenant);
            for (part, maker) in foreign.filter(|_| is_after && has_trouble) {
                broken += 1;
                record.add(format!(
                    "server {} ran {} of {} on the part {part} that a request of {maker} made",
                    server.instance, run.id, run.tenant
                ));
            }
        }
    }
    record.add(format!(
        "{served} requests served, {broken} on parts of another tenant while mill was isolated"
    ));
    match broken {
        0 => Verdict::Held,
        _ => Verdict::Broken("requests use KV cache that requests of an isolated tenant made"),
    }
}
