//! A part of a prompt crashes each server that begins to write an answer on it. A prompt with it comes every few seconds, at any
//! machine, and its client sends it once more; no two are alike.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::hosts::{ZONES, start_hosts};
use crate::record::Record;
use crate::server::{Server, Work};
use crate::store::Store;
use crate::streams::{CONFIG, Clients};
use crate::{Verdict, wait_until};

const HOSTS: usize = 9;
const SERVERS: usize = 18;
const EVENTS: u64 = 20;
const EVENT_PAUSE: Duration = Duration::from_millis(40);
const STREAM_PAUSE: Duration = Duration::from_millis(250);
/// Time for which a crashed server is down, and three heartbeat intervals after which its entry is removed.
const DOWN: Duration = Duration::from_secs(3);
const SILENCE: Duration = Duration::from_millis(3_600);
/// Prompts with the part, and the pause between two of them.
const PROMPTS: usize = 6;
const PROMPT_PAUSE: f64 = 4.0;
const FIRST_AT: f64 = 14.0;
/// `stable_window_ms`, the crash from which the rule counts, and the requests that it allows after it.
const STABLE: Duration = Duration::from_secs(3);
const COUNTED_CRASH: usize = 5;
const ALLOWED: usize = 3;
/// Parts: the first one of all prompts of the route, and the one that crashes servers.
const FIRST_PART: &str = "5c1e07a2:1861";
const POISON: &str = "bad0c0de";

fn headers(number: usize) -> String {
    prompt(&format!(
        "{FIRST_PART},a{:07x}:1500,c{number:07x}:500",
        number % 40
    ))
}

fn prompt(parts: &str) -> String {
    format!("Model: m0\r\nToken-Counts: 3861,20\r\nPrompt-Prefix: {parts}\r\n")
}

pub fn run(dir: &Path, record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let store = Store::start();
    store.put("op", "config", CONFIG);
    let servers: Vec<_> = (0..SERVERS)
        .map(|i| {
            let (id, zone) = (format!("i-{i}"), ZONES[i % ZONES.len()].0);
            Server::start(
                &id,
                "redactor",
                zone,
                "1",
                64,
                Work {
                    first: EVENT_PAUSE,
                    events: EVENTS,
                    pause: EVENT_PAUSE,
                },
                record,
            )
        })
        .collect();
    servers.iter().for_each(|server| server.register(&store));
    if has_trouble {
        servers
            .iter()
            .for_each(|server| *server.poison.lock().expect("poison") = Some(POISON.to_owned()));
    }
    let Some(hosts) = start_hosts(HOSTS, store.addr, dir) else {
        return Verdict::NotRun("the hosts did not become ready".into());
    };
    let clients = Clients::new(hosts, record, headers);
    wait_until(record, 8.0);
    let running = clients.run(STREAM_PAUSE);
    let restarting: Vec<_> = servers
        .iter()
        .map(|server| restart_after_crashes(server.clone(), store.clone(), clients.clone()))
        .collect();
    let mut prompts = Vec::new();
    for number in 0..PROMPTS {
        wait_until(record, FIRST_AT + number as f64 * PROMPT_PAUSE);
        let clients = clients.clone();
        // Any machine: another one for each prompt.
        let number = number * 5 + 1;
        prompts.push(std::thread::spawn(move || {
            clients.request(
                number,
                "p",
                &prompt(&format!("{FIRST_PART},{POISON}:1500,d{number:07x}:500")),
            )
        }));
    }
    wait_until(record, FIRST_AT + PROMPTS as f64 * PROMPT_PAUSE);
    clients.is_over.store(true, Ordering::SeqCst);
    drop(running.join());
    prompts.into_iter().for_each(|prompt| drop(prompt.join()));
    restarting
        .into_iter()
        .for_each(|restarting| drop(restarting.join()));
    let received = clients.received.lock().expect("received");
    let whole = received.iter().filter(|stream| stream.last == EVENTS).count();
    record.tell(&format!("sound streams: {}; whole: {whole}", received.len()));
    judge(record, &servers)
}

/// Starts a server again after each crash, under another id.
fn restart_after_crashes(
    server: Arc<Server>,
    store: Arc<Store>,
    clients: Arc<Clients>,
) -> std::thread::JoinHandle<()> {
    std::thread::spawn(move || {
        let mut handled = 0;
        while !clients.is_over.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(20));
            let crashes = server.crashes.lock().expect("crashes").len();
            if crashes == handled {
                continue;
            }
            handled = crashes;
            let old = server.id();
            std::thread::sleep(DOWN);
            server.restart("1", &format!("{old}x"));
            server.register(&store);
            std::thread::sleep(SILENCE - DOWN);
            store.remove("servers", &old);
        }
    })
}

/// The rule: more than three requests with a part that crashes servers, new ones or repeats, reach servers, sent later than
/// `stable_window_ms` after the fifth crash.
fn judge(record: &Record, servers: &[Arc<Server>]) -> Verdict {
    let mut crashes: Vec<Duration> = servers
        .iter()
        .flat_map(|server| server.crashes.lock().expect("crashes").clone())
        .collect();
    crashes.sort();
    let mut arrivals: Vec<(Duration, String)> = servers
        .iter()
        .flat_map(|server| server.arrivals())
        .map(|(id, at)| (at, id))
        .collect();
    arrivals.retain(|(_, id)| id.starts_with('p'));
    arrivals.sort();
    record.tell(&format!(
        "crashes by the part: {}; arrivals of prompts with it: {}",
        crashes.len(),
        arrivals.len()
    ));
    let Some(fifth) = crashes.get(COUNTED_CRASH - 1) else {
        return Verdict::Held;
    };
    let counted: Vec<_> = arrivals.iter().filter(|(at, _)| *at > *fifth + STABLE).collect();
    record.tell(&format!(
        "fifth crash at {:.3}; arrivals later than 3 s after it: {}; allowed: {ALLOWED}",
        fifth.as_secs_f64(),
        counted.len()
    ));
    for (at, id) in &counted {
        record.add(&format!("counted: {id} arrived at {:.3}", at.as_secs_f64()));
    }
    match counted.len() > ALLOWED {
        true => Verdict::Broken(format!(
            "BUDGET: {} requests with the part reached servers, {ALLOWED} allowed",
            counted.len()
        )),
        false => Verdict::Held,
    }
}
