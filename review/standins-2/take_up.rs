//! The store is away for a moment and comes back from a copy some seconds old. Some seconds later one process of the system is
//! killed, and the clients of its streams take them up at other machines. All servers have one software version.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::hosts::{ZONES, start_hosts};
use crate::record::Record;
use crate::server::{Server, Work};
use crate::store::Store;
use crate::streams::{CONFIG, Clients, EVENTS, Received};
use crate::{Verdict, wait_until};

const HOSTS: usize = 9;
const SERVERS: usize = 5;
/// Pause between two events of a stream, and between two streams that begin at one host.
const EVENT_PAUSE: Duration = Duration::from_millis(200);
const STREAM_PAUSE: Duration = Duration::from_millis(500);
/// Age of the copy, counted from the departure of the store.
const COPY_AGE: f64 = 4.0;
/// Time for which the store is away.
const AWAY: f64 = 0.5;
const DRILL_AT: f64 = 24.0;
/// Time of the kill: later than `stable_window_ms` after the store is back.
const KILL_AT: f64 = DRILL_AT + AWAY + 3.5;
/// Streams that must have been taken up for the rule to count.
const LEAST_TAKE_UPS: usize = 12;

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
    let Some(hosts) = start_hosts(HOSTS, store.addr, dir) else {
        return Verdict::NotRun("the hosts did not become ready".into());
    };
    let clients = Clients::new(hosts, record, |_| String::new());
    wait_until(record, 10.0);
    let running = clients.run(STREAM_PAUSE);
    if has_trouble {
        wait_until(record, DRILL_AT - COPY_AGE);
        let copy = store.copy();
        record.tell("the copy of the store is made");
        wait_until(record, DRILL_AT);
        store.leave(true);
        record.tell("the store is away; calls in flight are never answered");
        wait_until(record, DRILL_AT + AWAY);
        store.come_back(Some(copy));
        record.tell("the store is back from the copy");
    }
    wait_until(record, KILL_AT);
    let killed = &clients.hosts[0];
    killed.end();
    record.tell(&format!("the process on {} is killed", killed.name));
    wait_until(record, KILL_AT + 1.0);
    killed.start();
    wait_until(record, KILL_AT + 4.0);
    clients.is_over.store(true, Ordering::SeqCst);
    drop(running.join());
    let received = clients.received.lock().expect("received").clone();
    judge(record, &received, &killed.name)
}

/// The rule: of 12 or more streams that clients take up again at machines in touch, while two servers of their software version
/// serve, the share that goes on is under half of the share of new streams that begin.
fn judge(record: &Record, received: &[Received], killed: &str) -> Verdict {
    let kill_at = Duration::from_secs_f64(KILL_AT);
    let take_ups: Vec<_> = received
        .iter()
        .filter_map(|stream| stream.taken_up.as_ref())
        .collect();
    // All machines but the killed one are in touch from here on.
    let counted = take_ups
        .iter()
        .filter(|take_up| take_up.at >= kill_at && take_up.host != killed);
    let counted: Vec<_> = counted.collect();
    let going_on = counted.iter().filter(|take_up| take_up.goes_on).count();
    let first = counted.iter().map(|take_up| take_up.at).min().unwrap_or_default();
    let last = counted.iter().map(|take_up| take_up.at).max().unwrap_or_default();
    let begun = received
        .iter()
        .filter(|stream| stream.sent_at >= kill_at && stream.host != killed);
    let begun: Vec<_> = begun.collect();
    let with_events = begun.iter().filter(|stream| stream.last > 0).count();
    let share = |part: usize, all: usize| part as f64 / all.max(1) as f64;
    let (go_on, begin) = (share(going_on, counted.len()), share(with_events, begun.len()));
    record.tell(&format!(
        "taken up at machines in touch: {} from {:.3} to {:.3}; go on: {going_on} ({go_on:.2}); new streams: {}; begin: {with_events} ({begin:.2})",
        counted.len(), first.as_secs_f64(), last.as_secs_f64(), begun.len()
    ));
    if counted.len() < LEAST_TAKE_UPS || begun.is_empty() {
        return Verdict::NotRun("too few streams were taken up".into());
    }
    match go_on < begin / 2.0 {
        true => Verdict::Broken(format!(
            "LOST: {go_on:.2} of the streams taken up go on, {begin:.2} of new streams begin"
        )),
        false => Verdict::Held,
    }
}
