//! Targets that disappear from the platform's list or are listed as leaving.

mod common;

use std::time::Duration;

use common::{Cluster, ClusterConfig, MILL_KEY, body};
use metadata::{HostRole, HostState};
use smol::block_on;

/// Time after which a leaving target receives no new work.
const LEAVING_BOUND: Duration = Duration::from_secs(3);

#[test]
fn an_empty_list_does_not_remove_targets() {
    let cluster = Cluster::start(&ClusterConfig::default());
    for id in ["engine-0", "engine-1", "ledger-0"] {
        cluster.platform.state().remove_host(id);
    }
    std::thread::sleep(Duration::from_millis(500));
    let caller = cluster.caller(0, MILL_KEY);
    for i in 0..4 {
        let streamed = block_on(caller.stream(&body(&format!("prompt {i}"), 3), None));
        assert_eq!(streamed.status, 200);
        assert!(streamed.done);
    }
    let answered = block_on(caller.call("/v1/services/ledger/grants", Some("key-1"), "{}"));
    assert_eq!(answered.status, 201);
    cluster.stop();
}

#[test]
fn a_leaving_target_gets_no_new_work_after_the_bound() {
    let cluster = Cluster::start(&ClusterConfig::default());
    let mut leaving = common::listed(
        "engine-0",
        HostRole::Engine,
        cluster.engines[0].addr(),
        common::MODEL,
    );
    leaving.state = HostState::Leaving;
    cluster.platform.state().set_host(leaving);
    std::thread::sleep(LEAVING_BOUND);
    let before = cluster.engines[0].state().record().drafts.len();
    let caller = cluster.caller(1, MILL_KEY);
    for i in 0..20 {
        let streamed = block_on(caller.stream(&body(&format!("prompt {i}"), 2), None));
        assert!(streamed.done);
    }
    assert_eq!(cluster.engines[0].state().record().drafts.len(), before);
    cluster.stop();
}
