//! A server that names a limit is cut from the store for five seconds; its entry goes and comes back. The server itself never
//! stops serving and never stops naming its limit.

use std::collections::HashMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::hosts::{ZONES, start_hosts};
use crate::record::Record;
use crate::server::{Server, Work};
use crate::store::Store;
use crate::streams::{CONFIG, Clients, EVENTS};
use crate::{Verdict, wait_until};

const HOSTS: usize = 9;
/// Pause between two streams that begin at one host.
const STREAM_PAUSE: Duration = Duration::from_millis(180);
/// Requests a second that the server in need takes.
const LIMIT: f64 = 1.0;
/// Time to the first event of a stream, and between two events.
const FIRST_EVENT: Duration = Duration::from_millis(400);
const EVENT_PAUSE: Duration = Duration::from_millis(20);
/// `stable_window_ms`, the window of the rule, and the time after which an answer binds its machine.
const STABLE: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(4);
const BINDS_AFTER: Duration = Duration::from_millis(500);
/// Three heartbeat intervals of 1.2 s, after which the entry of a silent server is removed.
const SILENCE: Duration = Duration::from_millis(3_600);
const CUT: Duration = Duration::from_secs(5);

pub fn run(dir: &Path, record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let store = Store::start();
    store.put("op", "config", CONFIG);
    let servers: Vec<_> = (0..3)
        .map(|i| {
            let (id, zone) = (format!("i-{i}"), ZONES[i].0);
            Server::start(
                &id,
                "redactor",
                zone,
                "1",
                64,
                Work {
                    first: FIRST_EVENT,
                    events: EVENTS,
                    pause: EVENT_PAUSE,
                },
                record,
            )
        })
        .collect();
    servers.iter().for_each(|server| server.register(&store));
    let Some(hosts) = start_hosts(HOSTS, store.addr, dir) else {
        return Verdict::NotRun("the hosts did not become ready".into());
    };
    let clients = Clients::new(hosts, record, |_| String::new());
    wait_until(record, 8.0);
    let running = clients.run(STREAM_PAUSE);
    wait_until(record, 14.0);
    let needy = &servers[0];
    record.tell(&format!("server {} names Server-Limit: {LIMIT}", needy.id()));
    needy.set_limit(Some(LIMIT));
    let named_at = record.now();
    wait_until(record, 24.0);
    if has_trouble {
        record.tell("the server in need is cut from the store");
        wait_until(record, 24.0 + SILENCE.as_secs_f64());
        record.tell("the store removes its entry");
        store.remove("servers", &needy.id());
        wait_until(record, 24.0 + CUT.as_secs_f64());
        record.tell("the cut has ended: the server writes its entry again");
        needy.register(&store);
    }
    wait_until(record, 38.0);
    clients.is_over.store(true, Ordering::SeqCst);
    drop(running.join());
    let passed_on = clients.limits.lock().expect("limits").clone();
    let sent = clients.sent.lock().expect("sent").clone();
    judge(record, &needy.arrivals(), &sent, &passed_on, named_at)
}

/// The rule: from `stable_window_ms` after the server first named its limit, it gets in some 4 s more than one and a half times
/// what the limit allows, + 5 requests, summed over the machines that had passed on such an answer half a second before or earlier.
fn judge(
    record: &Record,
    arrivals: &[(String, Duration)],
    sent: &[(String, String)],
    passed_on: &[(String, Duration)],
    named_at: Duration,
) -> Verdict {
    let mut bound_from: HashMap<&str, Duration> = HashMap::new();
    for (host, at) in passed_on {
        let from = bound_from.entry(host).or_insert(*at + BINDS_AFTER);
        *from = (*from).min(*at + BINDS_AFTER);
    }
    let hosts: HashMap<&str, &str> = sent.iter().map(|(id, host)| (&**id, &**host)).collect();
    let counted = arrivals.iter().filter(|(id, at)| {
        let is_bound = hosts
            .get(&**id)
            .and_then(|host| bound_from.get(host))
            .is_some_and(|from| at >= from);
        *at >= named_at + STABLE && is_bound
    });
    let times: Vec<Duration> = counted.map(|(_, at)| *at).collect();
    let in_window = |from: &Duration| {
        times
            .iter()
            .filter(|at| *at >= from && **at < *from + WINDOW)
            .count()
    };
    let most = times
        .iter()
        .map(|from| (in_window(from), *from))
        .max()
        .unwrap_or_default();
    let allowed = 1.5 * LIMIT * WINDOW.as_secs_f64() + 5.0;
    record.tell(&format!(
        "machines bound by an answer that they passed on: {} of {HOSTS}",
        bound_from.len()
    ));
    record.tell(&format!(
        "requests counted: {}; most in 4 s: {} from {:.3}; allowed: {allowed}",
        times.len(),
        most.0,
        most.1.as_secs_f64()
    ));
    if bound_from.len() < HOSTS / 2 || times.is_empty() {
        return Verdict::NotRun("the limit was not passed on, or nothing was sent".into());
    }
    match most.0 as f64 > allowed {
        true => Verdict::Broken(format!("LIMIT: {} requests in 4 s, {allowed} allowed", most.0)),
        false => Verdict::Held,
    }
}
