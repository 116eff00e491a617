//! Failures of hosts with real sockets in one process: killed, paused and isolated hosts, and connections
//! that drop all traffic.

mod support;

use membership::{Input, MembershipEvent, Observation, TargetLiveness};
use metadata::HostRole;
use peers::generate_keys;
use support::node::{Node, Ready, SharedList};
use support::relay::{self, SharedRules};
use support::{executor, ip, listed, until};

/// Starts `count` hosts, each behind a relay.
async fn start(ex: &peers::Executor, net: u8, count: usize, rules: &SharedRules) -> (Vec<Node>, SharedList) {
    let names: Vec<_> = (0..count).map(|i| format!("entry-{i}").into()).collect();
    let (authority, keys) = generate_keys(&names).expect("keys");
    let list = SharedList::default();
    let mut ready = Vec::new();
    for (i, keys) in keys.iter().enumerate() {
        let node = Ready::bind(ex, &authority, keys, "north", (ip(net, i), 0).into());
        let mut entry = listed(&keys.host, HostRole::Entry, "north");
        entry.peer_address = Some(relay::start(ex, node.addr(), rules.clone()).await);
        list.lock().expect("lock").push(entry);
        ready.push(node);
    }
    for i in 0..4 {
        let target = listed(&format!("engine-{i}"), HostRole::Engine, "north");
        list.lock().expect("lock").push(target);
    }
    let run = |(i, node): (usize, Ready)| node.run(ex, &list, i as u64);
    let nodes = ready.into_iter().enumerate().map(run).collect();
    (nodes, list)
}

async fn stop(nodes: Vec<Node>) {
    for node in nodes {
        node.kill().await;
    }
}

fn all_reach(nodes: &[Node], least: usize) -> bool {
    nodes
        .iter()
        .all(|n| n.view.lock().expect("lock").reachable.len() >= least)
}

fn all_see(nodes: &[Node], hosts: usize) -> bool {
    nodes.iter().all(|n| n.hosts("north") == hosts)
}

#[test]
fn killed_host_leaves_the_views_of_23_other_hosts() {
    let ex = executor();
    smol::block_on(ex.run(async {
        let rules = SharedRules::default();
        let (mut nodes, _list) = start(&ex, 2, 24, &rules).await;
        until("all hosts reachable", || all_reach(&nodes, 2)).await;
        nodes.pop().expect("node").kill().await;
        until("removed from all views", || all_see(&nodes, 23)).await;
        stop(nodes).await;
    }));
}

#[test]
fn paused_host_detects_its_pause_and_rejoins() {
    let ex = executor();
    smol::block_on(ex.run(async {
        let rules = SharedRules::default();
        let (mut nodes, _list) = start(&ex, 6, 6, &rules).await;
        until("all hosts reachable", || all_reach(&nodes, 5)).await;
        let paused = nodes.pop().expect("node");
        *paused.paused.lock().expect("lock") = true;
        until("removed from all views", || all_see(&nodes, 5)).await;
        *paused.paused.lock().expect("lock") = false;
        until("pause noticed", || {
            let events = paused.events.lock().expect("lock");
            events.iter().any(|e| matches!(e, MembershipEvent::Paused(_)))
        })
        .await;
        until("current again", || paused.view.lock().expect("lock").current).await;
        until("in all views again", || all_see(&nodes, 6)).await;
        paused.kill().await;
        stop(nodes).await;
    }));
}

#[test]
fn isolated_host_keeps_its_view_and_rejoins() {
    let ex = executor();
    smol::block_on(ex.run(async {
        let rules = SharedRules::default();
        let (nodes, _list) = start(&ex, 3, 6, &rules).await;
        until("all hosts reachable", || all_reach(&nodes, 5)).await;
        for i in 1..6 {
            let mut rules = rules.lock().expect("lock");
            rules.blocked.insert((ip(3, 0), ip(3, i)));
            rules.blocked.insert((ip(3, i), ip(3, 0)));
        }
        until("dropped by the others", || all_see(&nodes[1..], 5)).await;
        until("isolated", || nodes[0].view.lock().expect("lock").isolated).await;
        assert_eq!(nodes[0].hosts("north"), 6);
        let now = utils::Clock::now(&*nodes[0].clock);
        let since = now - std::time::Duration::from_secs(3);
        assert_eq!(
            nodes[0]
                .view
                .lock()
                .expect("lock")
                .reachable_since("north", since),
            0
        );

        rules.lock().expect("lock").blocked.clear();
        until("in all views again", || all_see(&nodes, 6)).await;
        until("rejoined", || !nodes[0].view.lock().expect("lock").isolated).await;
        stop(nodes).await;
    }));
}

#[test]
fn connections_that_drop_all_traffic_are_replaced() {
    let ex = executor();
    smol::block_on(ex.run(async {
        let rules = SharedRules::default();
        let (nodes, _list) = start(&ex, 4, 6, &rules).await;
        until("all hosts reachable", || all_reach(&nodes, 5)).await;
        {
            let mut rules = rules.lock().expect("lock");
            rules.dropped_up_to = rules.flows;
        }
        let lost: Vec<_> = nodes.iter().map(|n| utils::Clock::now(&*n.clock)).collect();
        until("all hosts reachable on new connections", || {
            nodes.iter().zip(&lost).all(|(node, lost)| {
                let view = node.view.lock().expect("lock");
                view.reachable_since("north", *lost) == 5
            })
        })
        .await;
        until("all seen", || all_see(&nodes, 6)).await;
        stop(nodes).await;
    }));
}

#[test]
fn emptied_list_flapping_target_and_queries() {
    let ex = executor();
    smol::block_on(ex.run(async {
        let rules = SharedRules::default();
        let (nodes, list) = start(&ex, 5, 3, &rules).await;
        until("all hosts reachable", || all_reach(&nodes, 2)).await;
        let answer = nodes[0].transport.query(&"entry-1".into(), b"for detail").await;
        assert_eq!(answer.expect("answer"), b"entry-0 asks for detail");

        let observed = |observation| Input::Observed {
            target: "engine-0".into(),
            observation,
        };
        let liveness = || nodes[0].view.lock().expect("lock").targets["engine-0"].liveness;
        for _ in 0..2 {
            let failed = observed(Observation::Failed);
            nodes[0].inputs.send(failed).await.expect("sent");
        }
        until("suspect", || liveness() == TargetLiveness::Suspect).await;
        let answered = observed(Observation::Answered);
        nodes[0].inputs.send(answered).await.expect("sent");
        until("live after a wait", || liveness() == TargetLiveness::Live).await;

        let full = std::mem::take(&mut *list.lock().expect("lock"));
        until("empty list distrusted", || {
            nodes.iter().all(|n| {
                let events = n.events.lock().expect("lock");
                events
                    .iter()
                    .any(|e| matches!(e, MembershipEvent::ListDistrusted(_)))
            })
        })
        .await;
        assert!(all_see(&nodes, 3));
        assert!(
            nodes
                .iter()
                .all(|n| n.view.lock().expect("lock").targets.len() == 4)
        );
        *list.lock().expect("lock") = full;
        stop(nodes).await;
    }));
}
