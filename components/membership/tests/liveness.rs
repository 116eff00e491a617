//! Hosts and targets that crash, pause, leave, flap or are removed from the list, in virtual time.

mod support;

use std::time::Duration;

use membership::{
    Input, LivenessReason, MembershipEvent, Observation, TargetLiveness, TargetSummary, TargetTag,
};
use metadata::{HostRole, HostState};
use support::{Cluster, listed};

fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn host_count(cluster: &Cluster, at: &str, region: &str) -> usize {
    cluster.view(at).host_names(region).len()
}

#[test]
fn incarnation_on_the_list_does_not_block_heartbeats() {
    let mut cluster = Cluster::new(3, 0, 0);
    for host in &mut cluster.list {
        host.incarnation = u64::MAX;
    }
    let list = cluster.list.clone();
    let mut fresh = Cluster::new(3, 0, 0);
    fresh.list = list;
    for (seed, id) in ["entry-0", "entry-1", "entry-2"].iter().enumerate() {
        fresh.start(id, "north", 1, seed as u64);
    }
    fresh.run(seconds(10));
    assert_eq!(fresh.events, []);
    assert_eq!(fresh.view("entry-0").reachable.len(), 2);
}

#[test]
fn idle_cluster_raises_no_suspicion() {
    let mut cluster = Cluster::new(6, 3, 4);
    cluster.run(seconds(60));
    assert_eq!(cluster.events, []);
    let recent = cluster.now - seconds(5);
    for (id, host) in &cluster.hosts {
        let reachable = cluster.view(id).reachable;
        assert_eq!(reachable.len(), host.neighbours().len(), "at {id}");
        assert!(reachable.iter().all(|h| h.at >= recent), "at {id}");
    }
}

#[test]
fn crashed_host_is_removed_from_every_view() {
    let mut cluster = Cluster::new(6, 3, 0);
    cluster.run(seconds(5));
    cluster.hosts.remove("entry-1");
    cluster.run(seconds(12));
    for id in cluster.hosts.keys() {
        assert_eq!(host_count(&cluster, id, "north"), 5, "at {id}");
        assert_eq!(host_count(&cluster, id, "south"), 3, "at {id}");
    }
}

#[test]
fn restarted_host_returns_with_a_new_incarnation() {
    let mut cluster = Cluster::new(6, 0, 0);
    cluster.run(seconds(5));
    cluster.hosts.remove("entry-1");
    cluster.run(seconds(12));
    cluster.start("entry-1", "north", 2, 77);
    cluster.run(seconds(12));
    for id in cluster.hosts.keys() {
        assert_eq!(host_count(&cluster, id, "north"), 6, "at {id}");
    }
    let view = cluster.view("entry-0");
    let entry = view.hosts["north"].iter().find(|h| &*h.listed.id == "entry-1");
    assert_eq!(entry.expect("listed").incarnation, 2);
}

#[test]
fn answers_buffered_during_a_pause_do_not_count_as_recent() {
    let mut cluster = Cluster::new(6, 0, 0);
    cluster.run(seconds(5));
    cluster.paused.push("entry-0".into());
    cluster.run(seconds(4));
    let resumed = cluster.now;
    cluster.paused.clear();
    let before = cluster.view("entry-0");
    assert_eq!(before.reachable_since("north", resumed - seconds(3)), 0);
    cluster.run(support::STEP);
    let view = cluster.view("entry-0");
    assert!(!view.current);
    assert_eq!(view.reachable_since("north", resumed - seconds(3)), 0);
    cluster.run(seconds(2));
    assert!(cluster.view("entry-0").current);
    let paused = |(id, event): &(_, MembershipEvent)| {
        matches!(event, MembershipEvent::Paused(_)) && id == &utils::HostId::from("entry-0")
    };
    assert_eq!(cluster.events.iter().filter(|e| paused(e)).count(), 1);
}

#[test]
fn paused_host_returns_after_it_was_considered_dead() {
    let mut cluster = Cluster::new(6, 0, 0);
    cluster.run(seconds(5));
    cluster.paused.push("entry-0".into());
    cluster.run(seconds(12));
    assert_eq!(host_count(&cluster, "entry-1", "north"), 5);
    cluster.paused.clear();
    cluster.run(seconds(15));
    for id in cluster.hosts.keys() {
        assert_eq!(host_count(&cluster, id, "north"), 6, "at {id}");
    }
}

#[test]
fn isolated_host_keeps_its_last_view() {
    let mut cluster = Cluster::new(6, 0, 3);
    cluster.run(seconds(5));
    let others = ["entry-1", "entry-2", "entry-3", "entry-4", "entry-5"];
    cluster.block_links(&["entry-0"], &others);
    cluster.run(seconds(20));
    let view = cluster.view("entry-0");
    assert!(view.isolated);
    assert_eq!(view.host_names("north").len(), 6);
    assert_eq!(view.reachable_since("north", cluster.now - seconds(3)), 0);
    assert_eq!(host_count(&cluster, "entry-1", "north"), 5);
    cluster.blocked_links.clear();
    cluster.run(seconds(15));
    assert!(!cluster.view("entry-0").isolated);
    assert_eq!(host_count(&cluster, "entry-1", "north"), 6);
}

#[test]
fn one_failed_link_does_not_mark_a_host_dead() {
    let mut cluster = Cluster::new(6, 0, 0);
    cluster.run(seconds(5));
    cluster.block_links(&["entry-0"], &["entry-1"]);
    cluster.run(seconds(30));
    for id in cluster.hosts.keys() {
        assert_eq!(host_count(&cluster, id, "north"), 6, "at {id}");
    }
    let dead = |e: &&(_, MembershipEvent)| matches!(e.1, MembershipEvent::HostDead(_));
    assert_eq!(cluster.events.iter().filter(dead).count(), 0);
}

#[test]
fn partition_between_regions_removes_no_host() {
    let mut cluster = Cluster::new(6, 3, 0);
    cluster.run(seconds(5));
    let north = ["entry-0", "entry-1", "entry-2", "entry-3", "entry-4", "entry-5"];
    cluster.block_links(&north, &["entry-6", "entry-7", "entry-8"]);
    cluster.run(seconds(60));
    for id in cluster.hosts.keys() {
        assert_eq!(host_count(&cluster, id, "north"), 6, "at {id}");
        assert_eq!(host_count(&cluster, id, "south"), 3, "at {id}");
    }
}

#[test]
fn draining_host_is_leaving_in_every_view() {
    let mut cluster = Cluster::new(6, 3, 0);
    cluster.run(seconds(5));
    cluster.deliver("entry-2", Input::Leave);
    cluster.run(seconds(3));
    for id in cluster.hosts.keys() {
        assert_eq!(host_count(&cluster, id, "north"), 5, "at {id}");
    }
}

#[test]
fn target_listed_as_leaving_at_one_host_is_leaving_everywhere_within_three_seconds() {
    let mut cluster = Cluster::new(6, 3, 4);
    cluster.run(seconds(5));
    let mut list = cluster.list.clone();
    let target = list.iter_mut().find(|h| &*h.id == "engine-2").expect("listed");
    target.state = HostState::Leaving;
    cluster.deliver("entry-8", Input::List(list));
    let target = TargetTag::of("engine-2");
    cluster.deliver("entry-0", Input::Watched(TargetSummary::empty(target)));
    cluster.run(seconds(3));
    for id in cluster.hosts.keys() {
        assert_eq!(
            cluster.liveness(id, "engine-2"),
            Some(TargetLiveness::Leaving),
            "at {id}"
        );
        assert_eq!(
            cluster.liveness(id, "engine-1"),
            Some(TargetLiveness::Live),
            "at {id}"
        );
    }
}

#[test]
fn report_of_a_leaving_target_expires_when_no_list_confirms_it() {
    let mut cluster = Cluster::new(6, 0, 4);
    let mut list = cluster.list.clone();
    let target = list.iter_mut().find(|h| &*h.id == "engine-2").expect("listed");
    target.state = HostState::Leaving;
    cluster.deliver("entry-5", Input::List(list));
    cluster.run(seconds(5));
    cluster.deliver_list();
    for _ in 0..60 {
        let target = TargetTag::of("engine-2");
        cluster.deliver("entry-1", Input::Watched(TargetSummary::empty(target)));
        cluster.run(seconds(1));
    }
    for id in cluster.hosts.keys() {
        assert_eq!(
            cluster.liveness(id, "engine-2"),
            Some(TargetLiveness::Live),
            "at {id}"
        );
    }
}

#[test]
fn emptied_list_removes_no_host_or_target() {
    let mut cluster = Cluster::new(6, 3, 4);
    cluster.run(seconds(5));
    cluster.list.clear();
    cluster.deliver_list();
    cluster.run(seconds(10));
    for id in cluster.hosts.keys() {
        let view = cluster.view(id);
        assert_eq!(view.targets.len(), 4);
        assert!(
            view.targets
                .values()
                .all(|t| t.reason == LivenessReason::ListDistrusted)
        );
        assert_eq!(
            host_count(&cluster, id, "north") + host_count(&cluster, id, "south"),
            9
        );
    }
    cluster.deliver_list();
    let distrusted = |e: &&(_, MembershipEvent)| e.1 == MembershipEvent::ListDistrusted(12);
    assert_eq!(
        cluster.events.iter().filter(distrusted).count(),
        9,
        "logged once a host"
    );
}

#[test]
fn target_that_is_unlisted_and_fails_is_dropped() {
    let mut cluster = Cluster::new(1, 0, 3);
    cluster.list.retain(|h| h.role == HostRole::Entry);
    let failed = || Input::Observed {
        target: "engine-0".into(),
        observation: Observation::Failed,
    };
    cluster.deliver("entry-0", failed());
    cluster.deliver("entry-0", failed());
    cluster.deliver_list();
    let view = cluster.view("entry-0");
    assert_eq!(
        view.targets.keys().map(|k| &**k).collect::<Vec<_>>(),
        ["engine-1", "engine-2"]
    );
}

#[test]
fn single_unlisted_target_of_a_large_pool_is_dropped_at_once() {
    let mut cluster = Cluster::new(1, 0, 5);
    cluster.list.retain(|h| &*h.id != "engine-4");
    cluster.deliver_list();
    assert_eq!(cluster.liveness("entry-0", "engine-4"), None);
    assert_eq!(cluster.view("entry-0").targets.len(), 4);
}

#[test]
fn flapping_target_is_held_longer_each_time() {
    let mut cluster = Cluster::new(1, 0, 5);
    let mut waits = Vec::new();
    for _ in 0..4 {
        for _ in 0..2 {
            let target = "engine-0".into();
            let observation = Observation::Failed;
            cluster.deliver("entry-0", Input::Observed { target, observation });
        }
        let from = cluster.now;
        while cluster.liveness("entry-0", "engine-0") == Some(TargetLiveness::Suspect) {
            cluster.run(support::STEP);
        }
        waits.push(cluster.now - from);
        let target = "engine-0".into();
        let observation = Observation::Answered;
        cluster.deliver("entry-0", Input::Observed { target, observation });
    }
    assert!(waits.windows(2).all(|w| w[1] > w[0]), "{waits:?}");
}

#[test]
fn silence_of_a_whole_pool_is_distrusted() {
    let mut cluster = Cluster::new(1, 0, 3);
    for target in ["engine-0", "engine-1", "engine-2"] {
        for _ in 0..2 {
            let target = target.into();
            let observation = Observation::Failed;
            cluster.deliver("entry-0", Input::Observed { target, observation });
        }
    }
    let view = cluster.view("entry-0");
    assert!(
        view.targets
            .values()
            .all(|t| t.reason == LivenessReason::SilenceDistrusted)
    );
    assert!(view.targets.values().all(|t| t.liveness == TargetLiveness::Live));
}

#[test]
fn new_address_resets_the_state_of_a_target() {
    let mut cluster = Cluster::new(1, 0, 5);
    for _ in 0..2 {
        let target = "engine-0".into();
        let observation = Observation::Failed;
        cluster.deliver("entry-0", Input::Observed { target, observation });
    }
    let mut moved = listed("engine-0", HostRole::Engine, "north");
    moved.address = ([127, 0, 0, 1], 9).into();
    cluster.list.retain(|h| &*h.id != "engine-0");
    cluster.list.push(moved);
    cluster.deliver_list();
    assert_eq!(
        cluster.liveness("entry-0", "engine-0"),
        Some(TargetLiveness::Live)
    );
}
