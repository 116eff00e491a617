//! A server leaves while one machine is cut from the store and the others are killed and start again. The machine that was cut
//! off learns from the others what has changed.

use std::collections::HashMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::hosts::{ZONES, start_hosts_at};
use crate::record::Record;
use crate::server::{Server, Work};
use crate::store::Store;
use crate::streams::{CONFIG, Clients, EVENTS, Received};
use crate::{Verdict, wait_until};

const SERVERS: usize = 4;
const EVENT_PAUSE: Duration = Duration::from_millis(20);
const STREAM_PAUSE: Duration = Duration::from_millis(150);
const CUT_AT: f64 = 14.0;
/// Length of the cut.
const CUT: f64 = 5.5;
/// The other machines are killed, two of three, and start again.
const KILL_AT: f64 = CUT_AT + 1.0;
const DOWN: f64 = 1.0;
/// The server's entry is removed.
const REMOVAL_AT: f64 = KILL_AT + 0.4;
/// The server serves for so long after that, and then exits.
const SERVES_ON: f64 = 14.0;
/// `drain_ms` and `stable_window_ms`.
const DRAIN: Duration = Duration::from_millis(2_500);
const STABLE: Duration = Duration::from_secs(3);

pub fn run(dir: &Path, record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let store = Store::start();
    // Streams that may not be repeated.
    store.put(
        "op",
        "config",
        &CONFIG.replace("\"resumable\":true", "\"resumable\":false"),
    );
    let work = Work {
        first: EVENT_PAUSE,
        events: EVENTS,
        pause: EVENT_PAUSE,
    };
    let servers: Vec<_> = (0..SERVERS)
        .map(|i| {
            Server::start(
                &format!("i-{i}"),
                "redactor",
                ZONES[i % ZONES.len()].0,
                "1",
                64,
                work,
                record,
            )
        })
        .collect();
    servers.iter().for_each(|server| server.register(&store));
    let (path, is_cut) = store.path();
    let Some(hosts) = start_hosts_at(&[path, store.addr, store.addr], dir) else {
        return Verdict::NotRun("the hosts did not become ready".into());
    };
    let mut clients = Clients::new(hosts, record, |_| String::new());
    Arc::get_mut(&mut clients).expect("the only owner").may_take_up = false;
    wait_until(record, 8.0);
    let running = clients.run(STREAM_PAUSE);
    let (leaving, cut_off) = (&servers[0], &clients.hosts[0]);
    if has_trouble {
        wait_until(record, CUT_AT);
        is_cut.store(true, Ordering::SeqCst);
        record.tell(&format!("{} is cut from the store", cut_off.name));
        wait_until(record, KILL_AT);
        clients.hosts[1..].iter().for_each(|host| host.end());
        record.tell("the processes on the other machines are killed");
    }
    wait_until(record, REMOVAL_AT);
    store.remove("servers", &leaving.id());
    let removed_at = record.now();
    record.tell(&format!("the entry of {} is removed; it serves on", leaving.id()));
    if has_trouble {
        wait_until(record, KILL_AT + DOWN);
        clients.hosts[1..].iter().for_each(|host| host.start());
        record.tell("they start again");
        wait_until(record, CUT_AT + CUT);
        is_cut.store(false, Ordering::SeqCst);
        record.tell("the cut has healed");
    }
    wait_until(record, REMOVAL_AT + SERVES_ON);
    leaving.crash();
    let left_at = record.now();
    record.tell(&format!("{} has left", leaving.id()));
    wait_until(record, REMOVAL_AT + SERVES_ON + 3.0);
    clients.is_over.store(true, Ordering::SeqCst);
    drop(running.join());
    let in_touch_from = Duration::from_secs_f64(CUT_AT + CUT) + STABLE;
    let received = clients.received.lock().expect("received").clone();
    let times = Times {
        in_touch_from,
        removed_at,
        left_at,
    };
    judge(record, &received, &leaving.arrivals(), &cut_off.name, &times)
}

struct Times {
    in_touch_from: Duration,
    removed_at: Duration,
    left_at: Duration,
}

/// The rule: a request reaches a server later than `drain_ms` after a machine in touch acknowledged that the server is gone, taken
/// from the client and sent on by machines in touch. The acknowledgement is the store's, given while it is stable.
fn judge(
    record: &Record,
    received: &[Received],
    arrivals: &[(String, Duration)],
    cut_off: &str,
    times: &Times,
) -> Verdict {
    let sent: HashMap<&str, &Received> = received.iter().map(|stream| (&*stream.id, stream)).collect();
    let from = times.in_touch_from.max(times.removed_at + DRAIN);
    let counted = arrivals.iter().filter(|(id, at)| {
        let stream = sent.get(&**id);
        *at > from && stream.is_some_and(|stream| stream.host == cut_off && stream.sent_at > from)
    });
    let counted: Vec<_> = counted.collect();
    for (id, at) in counted.iter().take(5) {
        record.tell(&format!("{id} reached the server at {:.3}", at.as_secs_f64()));
    }
    let is_lost = |id: &str| {
        sent.get(id)
            .is_some_and(|stream| stream.last > 0 && stream.last < EVENTS)
    };
    let lost = counted
        .iter()
        .filter(|(id, at)| *at < times.left_at && is_lost(id))
        .count();
    record.tell(&format!(
        "requests that reach the server from {cut_off} later than {:.3}: {}; cut off by its end: {lost}",
        from.as_secs_f64(),
        counted.len()
    ));
    match counted.len() {
        0 => Verdict::Held,
        counted => Verdict::Broken(format!(
            "DRAIN: {counted} requests reached a server that was gone, {lost} were lost with it"
        )),
    }
}
