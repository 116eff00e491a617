//! Servers hand out wrong bytes now and then: the number in `Keep-Alive` of some of their answers is spoilt.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::deployment::{Hosts, Record, Request};
use crate::http::Message;
use crate::plain::{Fault, start};
use crate::store::Store;

/// The machines and the servers of one zone.
const ZONES: [&str; 3] = ["zone-a"; 3];
/// Servers of the service; in each spell another one is faulty, a third. The site plays up to 0.35 (`garble`).
const SERVERS: usize = 3;
/// One in this many answers of the faulty server is spoilt, 0.02. The site plays up to 0.03.
const SPOILT_ONE_IN: u64 = 50;
/// Which of them.
const SPOILT_NTH: u64 = SPOILT_ONE_IN / 2;
/// Length of a spell of the disruption, and time from the begin of one to that of the next. The site plays 5.5 s.
const SPELL: Duration = Duration::from_millis(5_500);
const SPELL_EVERY: Duration = Duration::from_millis(8_000);
const SPELLS: u32 = 4;
/// What the number is spoilt to: all bits set, as by a -1 that is printed without its sign.
const SPOILT: &str = "18446744073709551615";
/// Time in which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
const CLIENTS_PER_HOST: u64 = 8;
const PAUSE: Duration = Duration::from_millis(20);

pub fn run(folder: &Path, record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let store = Store::start();
    store.put(
        "op",
        "config",
        "{\"version\":3,\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000},\"services\":[{\"name\":\"ledger\",\"connection_limit\":110,\
         \"health_check_path\":\"/health\"}],\"routes\":[{\"name\":\"look-up\",\"host\":\"desk.example\",\
         \"prefix\":\"/look-up/\",\"route_kind\":\"safe\",\"timeout_ms\":1200,\"target_latency_ms\":120,\"priority\":2,\
         \"service\":\"ledger\",\"max_attempts\":2,\"anonymous_access\":true}]}",
    );
    // Number of the faulty server.
    let faulty = Arc::new(AtomicUsize::new(usize::MAX));
    let answers = Arc::new(AtomicU64::new(0));
    let spoilt = Arc::new(AtomicU64::new(0));
    for number in 0..SERVERS {
        let (faulty, answers, spoilt) = (faulty.clone(), answers.clone(), spoilt.clone());
        let choose = move |_: &Message| {
            if !has_trouble || faulty.load(Ordering::SeqCst) != number {
                return Fault::None;
            }
            match answers.fetch_add(1, Ordering::SeqCst) % SPOILT_ONE_IN {
                SPOILT_NTH => {
                    spoilt.fetch_add(1, Ordering::SeqCst);
                    Fault::KeepAlive(SPOILT)
                }
                _ => Fault::None,
            }
        };
        start(&store, record, number, ZONES[number], Arc::new(choose));
    }
    let Some(hosts) = Hosts::start(folder, &store, &ZONES) else {
        return Verdict::NotRun("the hosts did not become ready");
    };
    // The machines come in touch.
    std::thread::sleep(Duration::from_secs(4));
    let is_over = Arc::new(AtomicBool::new(false));
    let (answered, lost) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let mut threads = Vec::new();
    for host in &hosts.all {
        for client in 0..CLIENTS_PER_HOST {
            let (host, is_over, record) = (host.clone(), is_over.clone(), record.clone());
            let (answered, lost) = (answered.clone(), lost.clone());
            threads.push(std::thread::spawn(move || {
                for number in 0u64.. {
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    let request = Request {
                        method: "GET",
                        path: "/look-up/7".into(),
                        id: format!("{}-{client}-{number}", host.name),
                        deadline_ms: 1_200,
                        ..Request::default()
                    };
                    match request.send(&host, &record) {
                        Some(answer) if answer.status() == 200 => answered.fetch_add(1, Ordering::SeqCst),
                        Some(_) => 0,
                        None => {
                            // A client that is turned away waits a little.
                            std::thread::sleep(Duration::from_millis(100));
                            lost.fetch_add(1, Ordering::SeqCst)
                        }
                    };
                    std::thread::sleep(PAUSE);
                }
            }));
        }
        let (host, is_over, record) = (host.clone(), is_over.clone(), record.clone());
        threads.push(std::thread::spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                if let Some(ended) = host.revive(RESTART_DELAY) {
                    record.add(format!(
                        "the process of {} has ended by itself: {ended}; started again",
                        host.name
                    ));
                }
                std::thread::sleep(Duration::from_millis(20));
            }
        }));
    }
    let started = Instant::now();
    for spell in 0..SPELLS {
        std::thread::sleep((SPELL_EVERY * spell).saturating_sub(started.elapsed()));
        faulty.store(spell as usize % SERVERS, Ordering::SeqCst);
        std::thread::sleep(SPELL);
        faulty.store(usize::MAX, Ordering::SeqCst);
    }
    std::thread::sleep(Duration::from_secs(1));
    is_over.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    let ends: Vec<u64> = hosts
        .all
        .iter()
        .map(|host| host.own_ends.load(Ordering::SeqCst))
        .collect();
    let many = ends.iter().filter(|ends| **ends >= 3).count();
    let served = answered.load(Ordering::SeqCst);
    record.add(format!(
        "spoilt answers: {}; requests answered with 200: {served}, without an answer: {}; own ends by machine: {ends:?}",
        spoilt.load(Ordering::SeqCst),
        lost.load(Ordering::SeqCst),
    ));
    if served == 0 || has_trouble && spoilt.load(Ordering::SeqCst) == 0 {
        return Verdict::NotRun("no request was answered, or no answer was spoilt");
    }
    // On a tenth of the machines in use, two at least, processes end by themselves three times.
    match many >= 2 {
        true => Verdict::Broken("processes end by themselves three times and more on two machines or more"),
        false => Verdict::Held,
    }
}
