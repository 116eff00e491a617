//! New weights of both models that the same servers have are named, one shortly after the other.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::deployment::{Hosts, Record, Request};
use crate::engine::Engine;
use crate::http::Message;
use crate::store::Store;

const ZONES: [&str; 3] = ["zone-a"; 3];
const SERVERS: usize = 3;
/// Path and model of each kind of request.
const KINDS: [(&str, &str); 2] = [("/summary/", "m-long"), ("/flag/", "m-short")];
/// Times from the begin of traffic to the naming of the new weights of each model. The end of the traffic is later than
/// 1.5 x `version_ms` after both.
const NAMED_AFTER: [Duration; 2] = [Duration::from_secs(5), Duration::from_secs(6)];
const LENGTH: Duration = Duration::from_secs(36);
/// Different sessions of each kind.
const SESSIONS: u64 = 30;
const CLIENTS_PER_HOST: u64 = 2;
const PAUSE: Duration = Duration::from_millis(50);

/// Requests of a kind.
#[derive(Debug, Default, Clone, Copy)]
struct Count {
    sent: u64,
    served: u64,
    /// The same of those that were sent in the last quarter.
    late_sent: u64,
    late_served: u64,
}

pub fn run(folder: &Path, record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let store = Store::start();
    let models = KINDS.map(|(_, model)| model);
    let routes = KINDS.map(|(prefix, model)| {
        format!(
            "{{\"name\":\"r-{model}\",\"host\":\"desk.example\",\"prefix\":\"{prefix}\",\"route_kind\":\"streaming\",\
             \"timeout_ms\":3000,\"target_latency_ms\":800,\"priority\":1,\"service\":\"drafts\",\"max_attempts\":2,\
             \"anonymous_access\":true,\"session_affinity\":true,\"resumable\":true,\"target_gap_ms\":300}}"
        )
    });
    let config = format!(
        "{{\"version\":3,\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\"services\":[{{\"name\":\"drafts\",\"connection_limit\":370,\
         \"health_check_path\":\"/health\",\"engine\":{{\"slots\":64,\"kv_cache_tokens\":165785,\
         \"models\":[{{\"name\":\"{}\"}},{{\"name\":\"{}\"}}]}}}}],\"routes\":[{}]}}",
        models[0],
        models[1],
        routes.join(",")
    );
    store.put("op", "config", &config);
    for model in models {
        store.put(
            "op",
            &format!("version/{model}"),
            &format!("{{\"model\":\"{model}\",\"version\":1}}"),
        );
    }
    let servers: Vec<_> = (0..SERVERS)
        .map(|n| Engine::start(&store, record, n, ZONES[0], &models))
        .collect();
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
                let mut counts = [Count::default(); KINDS.len()];
                for number in 0u64.. {
                    if is_over.load(Ordering::SeqCst) {
                        break;
                    }
                    let kind = number as usize % KINDS.len();
                    let (path, model) = KINDS[kind];
                    let id = format!("{}-{client}-{number}", host.name);
                    let request = Request {
                        method: "POST",
                        path: format!("{path}1"),
                        headers: format!(
                            "Model: {model}\r\nToken-Counts: 300,10\r\nPrompt-Prefix: aa{kind}{:02x}:200,{number:08x}:100\r\n",
                            number / 2 % SESSIONS
                        ),
                        id,
                        deadline_ms: 3_000,
                        body: "prompt".into(),
                        ..Request::default()
                    };
                    let is_late = started.elapsed() >= LENGTH * 3 / 4;
                    let status = request.send(&host, &record).as_ref().map_or(0, Message::status);
                    let (count, is_served) = (&mut counts[kind], u64::from(status == 200));
                    count.sent += 1;
                    count.served += is_served;
                    count.late_sent += u64::from(is_late);
                    count.late_served += u64::from(is_late) * is_served;
                    std::thread::sleep(PAUSE);
                }
                counts
            }));
        }
    }
    for (model, after) in models.into_iter().zip(NAMED_AFTER) {
        std::thread::sleep(after.saturating_sub(started.elapsed()));
        if has_trouble {
            record.add(format!("version 2 of {model} is named"));
            store.put(
                "op",
                &format!("version/{model}"),
                &format!("{{\"model\":\"{model}\",\"version\":2}}"),
            );
        }
    }
    std::thread::sleep(LENGTH.saturating_sub(started.elapsed()));
    is_over.store(true, Ordering::SeqCst);
    let mut counts = [Count::default(); KINDS.len()];
    for thread in threads {
        for (count, more) in counts.iter_mut().zip(thread.join().unwrap_or_default()) {
            count.sent += more.sent;
            count.served += more.served;
            count.late_sent += more.late_sent;
            count.late_served += more.late_served;
        }
    }
    let wanted = if has_trouble { 2 } else { 1 };
    let mut most_old = 0;
    for ((_, model), count) in KINDS.iter().zip(&counts) {
        let versions: Vec<u64> = servers.iter().map(|server| server.version_of(model)).collect();
        most_old = most_old.max(versions.iter().filter(|version| **version < wanted).count());
        record.add(format!(
            "{model}: {} of {} served, {} of {} in the last quarter; versions at the servers: {versions:?}",
            count.served, count.sent, count.late_served, count.late_sent
        ));
    }
    if counts.iter().all(|count| count.served == 0) {
        return Verdict::NotRun("no request was served");
    }
    // More than one server and over a tenth of them still have an older version.
    match most_old > 1 && most_old * 10 > SERVERS {
        true => Verdict::Broken("servers still have the older version of a model when the traffic ends"),
        false => Verdict::Held,
    }
}
