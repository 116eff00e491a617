//! Kept cache over real sockets: exports to a store, reads from it, and store failures.

mod common;

use std::time::{Duration, Instant};

use common::{Caller, Cluster, ClusterConfig, MILL_KEY, MODEL, body};
use directory::PIECE_BYTES;
use smol::block_on;
use standins::{Answer, Running, Store, StoreFaults};

/// Maximum wait for background work.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Number of pieces of each prompt; equals the cache capacity of the engine.
const PIECES: usize = 3;

fn start_cluster() -> Cluster {
    Cluster::start(&ClusterConfig {
        engines: 1,
        hosts: 1,
        cache_pieces: PIECES as u32,
        ..ClusterConfig::default()
    })
}

fn prompt(number: usize) -> String {
    format!("{number:08}").repeat(PIECES * PIECE_BYTES / 8) + "quote"
}

fn send_prompt(caller: &Caller, number: usize) {
    let prompt = prompt(number);
    let streamed = block_on(caller.stream(&body(&prompt, 4), None));
    assert_eq!((streamed.status, streamed.outcome.as_str()), (200, "ran"));
    assert_eq!(streamed.text, Answer::new(MODEL, 1, &prompt).text(4));
}

fn wait_until(what: &str, is_done: impl Fn() -> bool) {
    let began = Instant::now();
    while !is_done() {
        assert!(began.elapsed() < WAIT_TIMEOUT, "{what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Sends a prompt until its pieces are in the store, then another prompt that evicts them from the engine.
fn store_first_prompt(caller: &Caller, store: &Running<Store>) {
    wait_until("the pieces are copied to the store", || {
        send_prompt(caller, 1);
        store.state().record().stored >= PIECES as u64
    });
    send_prompt(caller, 2);
}

#[test]
fn a_repeated_prompt_is_read_from_the_store() {
    let cluster = start_cluster();
    let store = cluster.add_store();
    let caller = cluster.caller(0, MILL_KEY);
    store_first_prompt(&caller, &store);
    wait_until("pieces are read back", || {
        send_prompt(&caller, 1);
        send_prompt(&caller, 2);
        store.state().record().bytes_out > 0
    });
    block_on(store.kill());
    cluster.stop();
}

#[test]
fn store_failures_do_not_fail_drafts() {
    let cluster = start_cluster();
    let store = cluster.add_store();
    let caller = cluster.caller(0, MILL_KEY);
    store_first_prompt(&caller, &store);
    for faults in [
        StoreFaults {
            full: true,
            ..StoreFaults::default()
        },
        StoreFaults {
            dead: true,
            ..StoreFaults::default()
        },
    ] {
        store.state().set_faults(faults);
        (1..6).for_each(|number| send_prompt(&caller, number));
    }
    block_on(store.kill());
    cluster.stop();
}
