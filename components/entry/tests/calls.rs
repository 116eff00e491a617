//! Calls that must run at most once, over real sockets and with faults.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use common::caller::CallResult;
use common::{Caller, Cluster, ClusterConfig, GREEN_KEY};
use errors::Problem;
use smol::{LocalExecutor, block_on};
use standins::{Odds, PlatformFaults, ServiceFaults};

const PATH: &str = "/v1/services/ledger/grants";

fn grant(caller: &Caller, key: &str) -> CallResult {
    block_on(caller.call(PATH, Some(key), "plaza"))
}

fn status_and_outcome(answered: &CallResult) -> (u16, &str) {
    (answered.status, answered.outcome.as_str())
}

fn run_count(cluster: &Cluster) -> usize {
    cluster.ledger.state().record().runs.len()
}

#[test]
fn a_lost_answer_is_fetched_from_the_service() {
    let cluster = Cluster::start(&ClusterConfig::default());
    cluster.ledger.state().set_faults(ServiceFaults {
        lose_answers: Odds::next(1),
        ..ServiceFaults::default()
    });
    let first = grant(&cluster.caller(0, GREEN_KEY), "grant-1");
    let again = grant(&cluster.caller(1, GREEN_KEY), "grant-1");
    assert_eq!(status_and_outcome(&first), (201, "ran"));
    assert_eq!(
        (status_and_outcome(&again), &again.body),
        ((201, "ran"), &first.body)
    );
    assert_eq!(run_count(&cluster), 1);
    cluster.stop();
}

#[test]
fn an_unanswered_call_may_have_run_and_is_not_retried() {
    let cluster = Cluster::start(&ClusterConfig::default());
    cluster.ledger.state().set_faults(ServiceFaults {
        ignore: Odds::next(1),
        ..ServiceFaults::default()
    });
    for host in [0, 1, 0] {
        let answered = grant(&cluster.caller(host, GREEN_KEY), "grant-1");
        assert_eq!(
            status_and_outcome(&answered),
            (502, "may-have-run"),
            "{}",
            answered.body
        );
    }
    assert_eq!(run_count(&cluster), 0);
    cluster.stop();
}

#[test]
fn a_lost_answer_of_the_table_service_is_read_back() {
    let cluster = Cluster::start(&ClusterConfig::default());
    cluster.platform.state().set_faults(PlatformFaults {
        lose_answers: Odds::next(1),
        ..PlatformFaults::default()
    });
    let caller = cluster.caller(0, GREEN_KEY);
    let mut answered = grant(&caller, "grant-1");
    while answered.status == 503 {
        assert_eq!(answered.outcome, "not-run");
        answered = grant(&caller, "grant-1");
    }
    assert_eq!(status_and_outcome(&answered), (201, "ran"), "{}", answered.body);
    assert_eq!(run_count(&cluster), 1);
    cluster.stop();
}

#[test]
fn with_the_table_service_down_calls_are_refused_and_nothing_is_sent() {
    let cluster = Cluster::start(&ClusterConfig::default());
    cluster.platform.state().set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });
    let caller = cluster.caller(0, GREEN_KEY);
    for i in 0..20 {
        let refused = grant(&caller, &format!("grant-{i}"));
        assert_eq!(status_and_outcome(&refused), (503, "not-run"), "{}", refused.body);
    }
    assert_eq!(run_count(&cluster), 0);
    cluster.platform.state().set_faults(PlatformFaults::default());
    while grant(&caller, "grant-0").status != 201 {
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(run_count(&cluster), 1);
    cluster.stop();
}

#[test]
fn an_invalid_idempotency_key_is_refused() {
    let cluster = Cluster::start(&ClusterConfig::default());
    for key in ["a/b", "a b", "a?b", &"a".repeat(201)] {
        let refused = grant(&cluster.caller(0, GREEN_KEY), key);
        assert_eq!(status_and_outcome(&refused), (400, "not-run"), "{key}");
    }
    cluster.stop();
}

#[test]
fn answers_of_a_drained_host_are_available_at_other_hosts() {
    let mut cluster = Cluster::start(&ClusterConfig::default());
    let caller = cluster.caller(0, GREEN_KEY);
    let first: Vec<_> = (0..20).map(|i| grant(&caller, &i.to_string())).collect();
    cluster.hosts.remove(0).drain().unwrap();
    let caller = cluster.caller(0, GREEN_KEY);
    for (i, first) in first.iter().enumerate() {
        let again = grant(&caller, &i.to_string());
        assert_eq!(
            (status_and_outcome(&again), &again.body),
            ((201, "ran"), &first.body)
        );
    }
    assert_eq!(run_count(&cluster), 20);
    cluster.stop();
}

/// Sends a call until it succeeds, at most eight times. Returns the identifiers of requests refused as
/// not-run.
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
fn three_hundred_calls_under_faults_run_once_with_correct_outcomes() {
    let cluster = Cluster::start(&ClusterConfig::default());
    cluster.ledger.state().set_faults(ServiceFaults {
        lose_answers: Odds::share(0.03),
        ignore: Odds::share(0.03),
        cross_answers: Odds::share(0.03),
        ..ServiceFaults::default()
    });
    cluster.platform.state().set_faults(PlatformFaults {
        lose_answers: Odds::share(0.02),
        slow_ms: 2,
        ..PlatformFaults::default()
    });
    let callers = [cluster.caller(0, GREEN_KEY), cluster.caller(1, GREEN_KEY)];
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
    for run in cluster.ledger.state().record().runs {
        assert!(
            !refused.contains(&run.request_id),
            "a call that was refused as not-run ran"
        );
        *runs_by_key.entry(run.key).or_insert(0) += 1;
    }
    println!("{} calls ran, {} refusals", runs_by_key.len(), refused.len());
    assert!(runs_by_key.values().all(|runs| *runs == 1), "{runs_by_key:?}");
    cluster.stop();
}
