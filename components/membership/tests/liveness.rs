//! Hosts and targets that die, pause, leave, flap or vanish from the list, in virtual time.

mod support;

use std::time::Duration;

use membership::{Input, MembershipEvent, Observation, TargetLiveness, TargetSummary, TargetTag, Why};
use metadata::{HostRole, HostState};
use support::{Cluster, listed};

fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn names(cluster: &Cluster, at: &str, region: &str) -> usize {
    cluster.view(at).host_names(region).len()
}

#[test]
fn number_of_a_run_on_the_list_does_not_silence_a_host() {
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
fn quiet_hosts_suspect_nobody() {
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
fn killed_host_leaves_every_view() {
    let mut cluster = Cluster::new(6, 3, 0);
    cluster.run(seconds(5));
    cluster.hosts.remove("entry-1");
    cluster.run(seconds(12));
    for id in cluster.hosts.keys() {
        assert_eq!(names(&cluster, id, "north"), 5, "at {id}");
        assert_eq!(names(&cluster, id, "south"), 3, "at {id}");
    }
}

#[test]
fn restarted_host_is_a_new_incarnation_and_comes_back() {
    let mut cluster = Cluster::new(6, 0, 0);
    cluster.run(seconds(5));
    cluster.hosts.remove("entry-1");
    cluster.run(seconds(12));
    cluster.start("entry-1", "north", 2, 77);
    cluster.run(seconds(12));
    for id in cluster.hosts.keys() {
        assert_eq!(names(&cluster, id, "north"), 6, "at {id}");
    }
    let view = cluster.view("entry-0");
    let entry = view.hosts["north"].iter().find(|h| &*h.listed.id == "entry-1");
    assert_eq!(entry.expect("listed").incarnation, 2);
}

#[test]
fn answers_buffered_through_a_pause_are_not_fresh() {
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
fn paused_host_objects_and_comes_back() {
    let mut cluster = Cluster::new(6, 0, 0);
    cluster.run(seconds(5));
    cluster.paused.push("entry-0".into());
    cluster.run(seconds(12));
    assert_eq!(names(&cluster, "entry-1", "north"), 5);
    cluster.paused.clear();
    cluster.run(seconds(15));
    for id in cluster.hosts.keys() {
        assert_eq!(names(&cluster, id, "north"), 6, "at {id}");
    }
}

#[test]
fn host_cut_off_from_all_keeps_its_last_good_view() {
    let mut cluster = Cluster::new(6, 0, 3);
    cluster.run(seconds(5));
    let others = ["entry-1", "entry-2", "entry-3", "entry-4", "entry-5"];
    cluster.cut_between(&["entry-0"], &others);
    cluster.run(seconds(20));
    let view = cluster.view("entry-0");
    assert!(view.isolated);
    assert_eq!(view.host_names("north").len(), 6);
    assert_eq!(view.reachable_since("north", cluster.now - seconds(3)), 0);
    assert_eq!(names(&cluster, "entry-1", "north"), 5);
    cluster.cut.clear();
    cluster.run(seconds(15));
    assert!(!cluster.view("entry-0").isolated);
    assert_eq!(names(&cluster, "entry-1", "north"), 6);
}

#[test]
fn one_bad_path_does_not_kill_a_host() {
    let mut cluster = Cluster::new(6, 0, 0);
    cluster.run(seconds(5));
    cluster.cut_between(&["entry-0"], &["entry-1"]);
    cluster.run(seconds(30));
    for id in cluster.hosts.keys() {
        assert_eq!(names(&cluster, id, "north"), 6, "at {id}");
    }
    let dead = |e: &&(_, MembershipEvent)| matches!(e.1, MembershipEvent::HostDead(_));
    assert_eq!(cluster.events.iter().filter(dead).count(), 0);
}

#[test]
fn region_cut_keeps_both_sides() {
    let mut cluster = Cluster::new(6, 3, 0);
    cluster.run(seconds(5));
    let north = ["entry-0", "entry-1", "entry-2", "entry-3", "entry-4", "entry-5"];
    cluster.cut_between(&north, &["entry-6", "entry-7", "entry-8"]);
    cluster.run(seconds(60));
    for id in cluster.hosts.keys() {
        assert_eq!(names(&cluster, id, "north"), 6, "at {id}");
        assert_eq!(names(&cluster, id, "south"), 3, "at {id}");
    }
}

#[test]
fn host_that_drains_is_announced_to_all() {
    let mut cluster = Cluster::new(6, 3, 0);
    cluster.run(seconds(5));
    cluster.give("entry-2", Input::Leave);
    cluster.run(seconds(3));
    for id in cluster.hosts.keys() {
        assert_eq!(names(&cluster, id, "north"), 5, "at {id}");
    }
}

#[test]
fn leaving_target_read_by_one_host_stops_everywhere_within_three_seconds() {
    let mut cluster = Cluster::new(6, 3, 4);
    cluster.run(seconds(5));
    let mut list = cluster.list.clone();
    let target = list.iter_mut().find(|h| &*h.id == "engine-2").expect("listed");
    target.state = HostState::Leaving;
    cluster.give("entry-8", Input::List(list));
    let target = TargetTag::of("engine-2");
    cluster.give("entry-0", Input::Watched(TargetSummary::empty(target)));
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
fn word_of_a_leaving_target_ends_when_no_list_confirms_it() {
    let mut cluster = Cluster::new(6, 0, 4);
    let mut list = cluster.list.clone();
    let target = list.iter_mut().find(|h| &*h.id == "engine-2").expect("listed");
    target.state = HostState::Leaving;
    cluster.give("entry-5", Input::List(list));
    cluster.run(seconds(5));
    cluster.give_list();
    for _ in 0..60 {
        let target = TargetTag::of("engine-2");
        cluster.give("entry-1", Input::Watched(TargetSummary::empty(target)));
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
fn emptied_list_empties_nothing() {
    let mut cluster = Cluster::new(6, 3, 4);
    cluster.run(seconds(5));
    cluster.list.clear();
    cluster.give_list();
    cluster.run(seconds(10));
    for id in cluster.hosts.keys() {
        let view = cluster.view(id);
        assert_eq!(view.targets.len(), 4);
        assert!(view.targets.values().all(|t| t.why == Why::ListDistrusted));
        assert_eq!(names(&cluster, id, "north") + names(&cluster, id, "south"), 9);
    }
    cluster.give_list();
    let distrusted = |e: &&(_, MembershipEvent)| e.1 == MembershipEvent::ListDistrusted(12);
    assert_eq!(
        cluster.events.iter().filter(distrusted).count(),
        9,
        "logged once a host"
    );
}

#[test]
fn target_that_vanishes_and_fails_is_dropped() {
    let mut cluster = Cluster::new(1, 0, 3);
    cluster.list.retain(|h| h.role == HostRole::Entry);
    let failed = || Input::Observed {
        target: "engine-0".into(),
        observation: Observation::Failed,
    };
    cluster.give("entry-0", failed());
    cluster.give("entry-0", failed());
    cluster.give_list();
    let view = cluster.view("entry-0");
    assert_eq!(
        view.targets.keys().map(|k| &**k).collect::<Vec<_>>(),
        ["engine-1", "engine-2"]
    );
}

#[test]
fn single_target_that_vanishes_from_a_large_pool_is_dropped_at_once() {
    let mut cluster = Cluster::new(1, 0, 5);
    cluster.list.retain(|h| &*h.id != "engine-4");
    cluster.give_list();
    assert_eq!(cluster.liveness("entry-0", "engine-4"), None);
    assert_eq!(cluster.view("entry-0").targets.len(), 4);
}

#[test]
fn flapping_target_waits_longer_each_time() {
    let mut cluster = Cluster::new(1, 0, 5);
    let mut waits = Vec::new();
    for _ in 0..4 {
        for _ in 0..2 {
            let target = "engine-0".into();
            let observation = Observation::Failed;
            cluster.give("entry-0", Input::Observed { target, observation });
        }
        let from = cluster.now;
        while cluster.liveness("entry-0", "engine-0") == Some(TargetLiveness::Suspect) {
            cluster.run(support::STEP);
        }
        waits.push(cluster.now - from);
        let target = "engine-0".into();
        let observation = Observation::Answered;
        cluster.give("entry-0", Input::Observed { target, observation });
    }
    assert!(waits.windows(2).all(|w| w[1] > w[0]), "{waits:?}");
}

#[test]
fn silence_of_a_whole_pool_is_not_believed() {
    let mut cluster = Cluster::new(1, 0, 3);
    for target in ["engine-0", "engine-1", "engine-2"] {
        for _ in 0..2 {
            let target = target.into();
            let observation = Observation::Failed;
            cluster.give("entry-0", Input::Observed { target, observation });
        }
    }
    let view = cluster.view("entry-0");
    assert!(view.targets.values().all(|t| t.why == Why::SilenceDistrusted));
    assert!(view.targets.values().all(|t| t.liveness == TargetLiveness::Live));
}

#[test]
fn target_moved_to_another_address_starts_afresh() {
    let mut cluster = Cluster::new(1, 0, 5);
    for _ in 0..2 {
        let target = "engine-0".into();
        let observation = Observation::Failed;
        cluster.give("entry-0", Input::Observed { target, observation });
    }
    let mut moved = listed("engine-0", HostRole::Engine, "north");
    moved.address = ([127, 0, 0, 1], 9).into();
    cluster.list.retain(|h| &*h.id != "engine-0");
    cluster.list.push(moved);
    cluster.give_list();
    assert_eq!(
        cluster.liveness("entry-0", "engine-0"),
        Some(TargetLiveness::Live)
    );
}
