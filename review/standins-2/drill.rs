//! A power failure takes one machine of the system and, for a moment, the store, which comes back from a copy some seconds old.
//! Servers of two software versions serve side by side all the time.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::hosts::{SIGSTOP, ZONES, start_hosts};
use crate::record::Record;
use crate::server::{Server, Work};
use crate::store::Store;
use crate::streams::{CONFIG, Clients, EVENTS, judge};
use crate::{Verdict, wait_until};

const HOSTS: usize = 9;
/// Pause between two events of a stream.
const EVENT_PAUSE: Duration = Duration::from_millis(60);
/// Pause between two streams that begin at one host.
const STREAM_PAUSE: Duration = Duration::from_millis(200);
/// Age of the copy, counted from the failure.
const COPY_AGE: f64 = 4.0;
/// Time for which the store is away.
const AWAY: f64 = 0.2;
/// Time for which the machine is dark.
const DARK: f64 = 5.0;
/// Time from which servers of the second version serve beside those of the first.
const RELEASE_AT: f64 = 8.0;
const FAILURE_AT: f64 = 20.0;

pub fn run(dir: &Path, record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let store = Store::start();
    store.put("op", "config", CONFIG);
    let servers: Vec<_> = (0..5)
        .map(|i| {
            // The release has begun in the first zone.
            let (software, zone) = if i < 3 {
                ("1", ZONES[1 + i % 2].0)
            } else {
                ("2", ZONES[0].0)
            };
            let id = format!("i-{i}");
            Server::start(
                &id,
                "redactor",
                zone,
                software,
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
    servers[..3].iter().for_each(|server| server.register(&store));
    let Some(hosts) = start_hosts(HOSTS, store.addr, dir) else {
        return Verdict::NotRun("the hosts did not become ready".into());
    };
    let clients = Clients::new(hosts, record, |_| String::new());
    wait_until(record, RELEASE_AT);
    record.tell("two servers of the next version have started");
    servers[3..].iter().for_each(|server| server.register(&store));
    wait_until(record, 10.0);
    let running = clients.run(STREAM_PAUSE);
    if has_trouble {
        wait_until(record, FAILURE_AT - COPY_AGE);
        let copy = store.copy();
        record.tell("the copy of the store is made");
        wait_until(record, FAILURE_AT);
        let dark = &clients.hosts[0];
        dark.signal(SIGSTOP);
        store.leave(false);
        record.tell(&format!(
            "{} loses power, the store is away; records of origins: {}",
            dark.name,
            store.count("origins")
        ));
        wait_until(record, FAILURE_AT + AWAY);
        store.come_back(Some(copy));
        record.tell(&format!(
            "the store is back from the copy; records of origins: {}",
            store.count("origins")
        ));
        wait_until(record, FAILURE_AT + DARK);
        dark.end();
        dark.start();
        record.tell(&format!("{} has power again", dark.name));
    }
    wait_until(record, FAILURE_AT + 10.0);
    let baseline = store.value("entry", "software/redactor").unwrap_or_default();
    record.add(&format!("the row of the service's software: {baseline}"));
    clients.is_over.store(true, Ordering::SeqCst);
    drop(running.join());
    let received = clients.received.lock().expect("received").clone();
    judge(record, &received)
}
