//! Servers of a service are upgraded in place, one after the other: each starts again under its id with the next software
//! version. Meanwhile the store does not answer.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::hosts::{ZONES, start_hosts};
use crate::record::Record;
use crate::server::{Server, Work};
use crate::store::Store;
use crate::streams::{CONFIG, Clients, EVENTS, judge};
use crate::{Verdict, wait_until};

const HOSTS: usize = 9;
/// Pause between two events of a stream.
const EVENT_PAUSE: Duration = Duration::from_millis(60);
/// Pause between two streams that begin at one host.
const STREAM_PAUSE: Duration = Duration::from_millis(400);
/// Time for which the store does not answer.
const AWAY: f64 = 4.5;
const OUTAGE_AT: f64 = 16.0;
/// Time for which a server is down between its two runs.
const DOWN: f64 = 1.0;
/// Pause between the restarts of two servers.
const GAP: f64 = 2.0;

pub fn run(dir: &Path, record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let store = Store::start();
    store.put("op", "config", CONFIG);
    let servers: Vec<_> = (0..4)
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
    let Some(hosts) = start_hosts(HOSTS, store.addr, dir) else {
        return Verdict::NotRun("the hosts did not become ready".into());
    };
    let clients = Clients::new(hosts, record, |_| String::new());
    wait_until(record, 10.0);
    let running = clients.run(STREAM_PAUSE);
    wait_until(record, OUTAGE_AT);
    if has_trouble {
        store.leave(false);
        record.tell("the store does not answer");
    }
    for (server, at) in servers.iter().zip([OUTAGE_AT + 0.3, OUTAGE_AT + 0.3 + GAP]) {
        wait_until(record, at);
        server.crash();
        record.tell(&format!("{} ends", server.id()));
        wait_until(record, at + DOWN);
        server.restart("2", &server.id());
        // The entry gets to the store as soon as the store answers.
        if !has_trouble {
            server.register(&store);
        }
        record.tell(&format!(
            "{} starts again under its id with version 2",
            server.id()
        ));
    }
    wait_until(record, OUTAGE_AT + AWAY);
    if has_trouble {
        store.come_back(None);
        servers.iter().take(2).for_each(|server| server.register(&store));
        record.tell("the store answers again; the servers have written their entries");
    }
    wait_until(record, OUTAGE_AT + 14.0);
    clients.is_over.store(true, Ordering::SeqCst);
    drop(running.join());
    let received = clients.received.lock().expect("received").clone();
    judge(record, &received)
}
