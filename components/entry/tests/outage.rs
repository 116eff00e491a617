//! Entry hosts with heartbeats keep serving during an outage of the table service.

mod common;

use std::path::Path;
use std::time::Duration;

use common::{Caller, Cluster, ClusterConfig, MILL_KEY, MODEL, body, declared, start_with_keys, wait_until};
use entry::Daemon;
use smol::block_on;
use standins::{Answer, PlatformFaults};

/// Duration of the outage; several times the freshness period of the notes.
const OUTAGE: Duration = Duration::from_secs(8);
/// Number of hosts of the region.
const HOSTS: usize = 3;

fn start(cluster: &Cluster, dir: &Path, i: usize) -> Daemon {
    start_with_keys(cluster, dir, i, slog::Logger::root(slog::Discard, slog::o!()))
}

fn send_prompt(caller: &Caller, prompt: &str) -> common::caller::StreamResult {
    block_on(caller.stream(&body(prompt, 5), None))
}

/// Returns the number of hosts in the roster in force.
fn roster(cluster: &Cluster) -> usize {
    let store = cluster.notes();
    let terms = block_on(async { store.terms(store.head().await.unwrap().row.terms).await });
    terms.map_or(0, |terms| {
        terms.regions.values().map(|region| region.members.len()).sum()
    })
}

#[test]
fn new_drafts_are_served_through_an_outage_of_the_table_service() {
    let dir = tempfile::tempdir().unwrap();
    let names: Vec<_> = (0..HOSTS).map(|i| format!("entry-{i}").into()).collect();
    peers::write_keys(dir.path(), &names).unwrap();
    let mut cluster = Cluster::start(&ClusterConfig {
        hosts: 0,
        ..ClusterConfig::default()
    });
    cluster.hosts = (0..HOSTS).map(|i| start(&cluster, dir.path(), i)).collect();
    let callers: Vec<_> = (0..HOSTS).map(|i| cluster.caller(i, MILL_KEY)).collect();
    wait_until("a full roster", || roster(&cluster) == HOSTS);
    // A host that has not yet read the head with the roster can serve only on the basis of its own reads. The
    // wait lets every host read it.
    std::thread::sleep(Duration::from_millis(500));
    wait_until("all ready", || {
        callers.iter().all(|c| send_prompt(c, "warm up").status == 200)
    });

    cluster.platform.state().set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });
    let began = std::time::Instant::now();
    let mut served = 0;
    while began.elapsed() < OUTAGE {
        for (i, caller) in callers.iter().enumerate() {
            let prompt = format!("draft {served}");
            let streamed = send_prompt(caller, &prompt);
            assert_eq!(
                streamed.status,
                200,
                "host {i} after {:?}: {:?}",
                began.elapsed(),
                streamed.problem
            );
            assert_eq!(streamed.text, Answer::new(MODEL, 1, &prompt).text(5));
            served += 1;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    let call = block_on(callers[0].call("/v1/services/ledger/grants", Some("grant-1"), "plaza"));
    assert_eq!((call.status, call.outcome.as_str()), (503, "not-run"));

    cluster.platform.state().set_faults(PlatformFaults::default());
    let mut next = declared(2);
    next.workspaces.remove("mill");
    cluster.declare(&next);
    wait_until("the next note in force", || {
        callers.iter().all(|c| send_prompt(c, "late").status == 401)
    });
    cluster.stop();
}
