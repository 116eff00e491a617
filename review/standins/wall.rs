//! WALL: after a change of the configuration, an isolated tenant whose name is `all` shares KV cache with the others.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::Case;
use crate::platform::{Store, start_nodes};
use crate::servers::{Runs, Server, model_state, serve, stream};
use crate::wire::Caller;

const MODEL: &str = "{\"name\":\"m0\",\"version\":1,\"adapters\":[]}";
/// Time after the acknowledgement of a version by which it is in force.
const APPLY: Duration = Duration::from_millis(2_500);

/// What a model server keeps: the tenants whose requests made a part, by salt and by the parts up to it.
#[derive(Default)]
struct Kept {
    makers: BTreeMap<(String, String), BTreeSet<String>>,
    /// Uses of a part that another tenant made: maker, user, salt, part, request.
    shared: Vec<(String, String, String, String, String)>,
}

pub fn run(case: &Case) -> Vec<String> {
    let record = &case.record;
    let store = Store::start(record);
    let runs = Runs::default();
    let kept: Arc<Mutex<Kept>> = Arc::default();
    let server = Server::new("i-engine-1", "engines", record, &runs);
    let shared = kept.clone();
    let address = serve(server.clone(), move |server, req, writer, _| {
        if let Some(text) = model_state(server, req, MODEL) {
            return std::io::Write::write_all(writer, text.as_bytes()).is_ok();
        }
        use_cache(&shared, server, req);
        stream(
            server,
            req,
            writer,
            Duration::from_millis(40),
            Duration::from_millis(5),
            20,
        )
    });
    server.register(&store, address, MODEL);
    store.put("op", "config", &config(7, false));
    store.put("op", "version/m0", "{\"model\":\"m0\",\"version\":1}");
    let nodes = start_nodes(&case.dir, 1, &store);
    let mut number = 0;
    let mut ask = |tenant: &str, session: &str| {
        number += 1;
        let id = format!("r{number:03}");
        let headers = format!(
            "Request-Id: {id}\r\nModel: m0\r\nToken-Counts: 1460,20\r\nPrompt-Prefix: 5c1e07a2:800,{session}:410,e{number:x}:250\r\n\
             Deadline-Milliseconds: 12000\r\nKey: key-{tenant}\r\n"
        );
        record.line(&format!("client of {tenant} sends {id}, session {session}"));
        let mut caller = Caller::connect(nodes[0].callers)?;
        let ended = caller.call(
            "POST",
            "/query/2f",
            &headers,
            "a question",
            Duration::from_secs(12),
        );
        record.line(&format!("client of {tenant}: {id} {}", ended.text()));
        (ended.status() == 200).then_some(())
    };
    let mut served = 0;
    for _ in 0..3 {
        served += ask("harbour", "aa01").iter().count() + ask("all", "aa01").iter().count();
    }
    kept.lock().unwrap().shared.clear();
    if case.has_trouble {
        record.line("operator: version 8 makes the tenant `all` isolated");
        store.put("op", "config", &config(8, true));
    }
    std::thread::sleep(APPLY + Duration::from_secs(1));
    // A session that no request had before, so that its cache is made from here on.
    for _ in 0..3 {
        served += ask("harbour", "bb02").iter().count() + ask("all", "bb02").iter().count();
    }
    if served < 12 {
        crate::platform::stop(&format!("only {served} of 12 requests were served"));
    }
    let kept = kept.lock().unwrap();
    let is_walled = |maker: &String, user: &String| case.has_trouble && (maker == "all" || user == "all");
    let broken = kept
        .shared
        .iter()
        .filter(|(maker, user, _, part, _)| is_walled(maker, user) && part.ends_with("bb02"));
    broken
        .map(|(maker, user, salt, part, id)| {
            format!("{id} of tenant {user} used part {part} under salt {salt}, which a request of tenant {maker} made; {user} or {maker} is isolated")
        })
        .collect()
}

/// Finds the shared parts of a prompt in the cache, and keeps those that are missing.
fn use_cache(kept: &Mutex<Kept>, server: &Server, req: &crate::wire::Message) {
    let header = |name: &str| req.header(name).unwrap_or("").to_owned();
    let (tenant, salt, id) = (header("tenant"), header("cache-salt"), header("request-id"));
    let parts = header("prompt-prefix");
    let parts: Vec<&str> = parts
        .split(',')
        .filter_map(|part| part.split(':').next())
        .collect();
    server.record.line(&format!(
        "{} reads {id}: Tenant {tenant}, Cache-Salt {salt}",
        server.id
    ));
    let mut kept = kept.lock().unwrap();
    for last in 1..parts.len() {
        let chain = parts[..last].join("/");
        let place = (salt.clone(), chain.clone());
        let makers = kept.makers.get(&place).cloned();
        match makers {
            Some(makers) => {
                for maker in makers.into_iter().filter(|maker| *maker != tenant) {
                    kept.shared
                        .push((maker, tenant.clone(), salt.clone(), chain.clone(), id.clone()));
                }
            }
            None => {
                kept.makers.insert(place, BTreeSet::from([tenant.clone()]));
            }
        }
    }
}

fn config(version: u64, is_isolated: bool) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"query","host":"h.example","prefix":"/query/","route_kind":"streaming",
"timeout_ms":12000,"target_latency_ms":800,"priority":1,"service":"engines","max_attempts":1,"anonymous_access":false,
"session_affinity":true,"resumable":false,"target_gap_ms":300}}],
"services":[{{"name":"engines","health_check_path":"/health","connection_limit":370,"protocol":"h1","tls":false,
"engine":{{"slots":64,"kv_cache_tokens":166165,"kv_token_bytes":18432,"link_mbps":130000.0,"stride":5,"max_concurrency":12,
"models":[{{"name":"m0"}}]}}}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
"tenants":[{{"name":"harbour","api_keys":["key-harbour"]}},{{"name":"all","api_keys":["key-all"],"isolated":{is_isolated}}}]}}"#
    )
}
