//! Calls that must not be repeated, over real sockets and with faults.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use common::caller::Answered;
use common::{Caller, GREEN_KEY, World, WorldConfig};
use errors::Problem;
use smol::{LocalExecutor, block_on};
use standins::{Odds, PlatformFaults, ServiceFaults};

const PATH: &str = "/v1/services/ledger/grants";

fn grant(caller: &Caller, key: &str) -> Answered {
    block_on(caller.call(PATH, Some(key), "plaza"))
}

fn told(answered: &Answered) -> (u16, &str) {
    (answered.status, answered.outcome.as_str())
}

fn runs(world: &World) -> usize {
    world.ledger.state().record().runs.len()
}

#[test]
fn an_answer_that_is_lost_is_asked_for() {
    let world = World::start(&WorldConfig::default());
    world.ledger.state().set_faults(ServiceFaults {
        lose_answers: Odds::next(1),
        ..ServiceFaults::default()
    });
    let first = grant(&world.caller(0, GREEN_KEY), "grant-1");
    let again = grant(&world.caller(1, GREEN_KEY), "grant-1");
    assert_eq!(told(&first), (201, "ran"));
    assert_eq!((told(&again), &again.body), ((201, "ran"), &first.body));
    assert_eq!(runs(&world), 1);
    world.stop();
}

#[test]
fn a_call_that_vanished_may_have_run_and_is_not_sent_again() {
    let world = World::start(&WorldConfig::default());
    world.ledger.state().set_faults(ServiceFaults {
        ignore: Odds::next(1),
        ..ServiceFaults::default()
    });
    for host in [0, 1, 0] {
        let answered = grant(&world.caller(host, GREEN_KEY), "grant-1");
        assert_eq!(told(&answered), (502, "may-have-run"), "{}", answered.body);
    }
    assert_eq!(runs(&world), 0);
    world.stop();
}

#[test]
fn a_lost_answer_of_the_table_service_is_read_back() {
    let world = World::start(&WorldConfig::default());
    world.platform.state().set_faults(PlatformFaults {
        lose_answers: Odds::next(1),
        ..PlatformFaults::default()
    });
    let caller = world.caller(0, GREEN_KEY);
    let mut answered = grant(&caller, "grant-1");
    while answered.status == 503 {
        assert_eq!(answered.outcome, "not-run");
        answered = grant(&caller, "grant-1");
    }
    assert_eq!(told(&answered), (201, "ran"), "{}", answered.body);
    assert_eq!(runs(&world), 1);
    world.stop();
}

#[test]
fn with_the_table_service_down_calls_are_refused_and_nothing_is_sent() {
    let world = World::start(&WorldConfig::default());
    world.platform.state().set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });
    let caller = world.caller(0, GREEN_KEY);
    for i in 0..20 {
        let refused = grant(&caller, &format!("grant-{i}"));
        assert_eq!(told(&refused), (503, "not-run"), "{}", refused.body);
    }
    assert_eq!(runs(&world), 0);
    world.platform.state().set_faults(PlatformFaults::default());
    while grant(&caller, "grant-0").status != 201 {
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(runs(&world), 1);
    world.stop();
}

#[test]
fn a_key_that_no_path_can_hold_is_refused() {
    let world = World::start(&WorldConfig::default());
    for key in ["a/b", "a b", "a?b", &"a".repeat(201)] {
        let refused = grant(&world.caller(0, GREEN_KEY), key);
        assert_eq!(told(&refused), (400, "not-run"), "{key}");
    }
    world.stop();
}

#[test]
fn a_drained_host_leaves_its_answers_to_the_others() {
    let mut world = World::start(&WorldConfig::default());
    let caller = world.caller(0, GREEN_KEY);
    let first: Vec<_> = (0..20).map(|i| grant(&caller, &i.to_string())).collect();
    world.hosts.remove(0).drain().unwrap();
    let caller = world.caller(0, GREEN_KEY);
    for (i, first) in first.iter().enumerate() {
        let again = grant(&caller, &i.to_string());
        assert_eq!((told(&again), &again.body), ((201, "ran"), &first.body));
    }
    assert_eq!(runs(&world), 20);
    world.stop();
}

/// Identifiers of the requests that were refused as not run.
async fn send_until_answered(callers: &[Caller], key: String) -> Vec<String> {
    let mut refused = Vec::new();
    for caller in callers.iter().cycle().take(8) {
        let answered = caller.call(PATH, Some(&key), "plaza").await;
        if answered.status == 201 {
            return refused;
        }
        let problem: Problem = serde_json::from_str(&answered.body).unwrap();
        assert_eq!(problem.outcome.as_str(), answered.outcome);
        if answered.outcome == "not-run" {
            refused.push(problem.request_id);
        }
        smol::Timer::after(Duration::from_millis(50)).await;
    }
    refused
}

#[test]
fn three_hundred_calls_under_faults_run_once_and_no_reply_is_false() {
    let world = World::start(&WorldConfig::default());
    world.ledger.state().set_faults(ServiceFaults {
        lose_answers: Odds::share(0.03),
        ignore: Odds::share(0.03),
        cross_answers: Odds::share(0.03),
        ..ServiceFaults::default()
    });
    world.platform.state().set_faults(PlatformFaults {
        lose_answers: Odds::share(0.02),
        slow_ms: 2,
        ..PlatformFaults::default()
    });
    let callers = [world.caller(0, GREEN_KEY), world.caller(1, GREEN_KEY)];
    let ex = LocalExecutor::new();
    let sent = (0..300).map(|i| ex.spawn(send_until_answered(&callers, format!("grant-{i}"))));
    let sent: Vec<_> = sent.collect();
    let refused: BTreeSet<String> = block_on(ex.run(async {
        let mut refused = BTreeSet::new();
        for one in sent {
            refused.extend(one.await);
        }
        refused
    }));
    let mut runs_by_key = BTreeMap::new();
    for run in world.ledger.state().record().runs {
        assert!(
            !refused.contains(&run.request_id),
            "a call that was refused as not-run ran"
        );
        *runs_by_key.entry(run.key).or_insert(0) += 1;
    }
    println!("{} calls ran, {} refusals", runs_by_key.len(), refused.len());
    assert!(runs_by_key.values().all(|runs| *runs == 1), "{runs_by_key:?}");
    world.stop();
}
