//! Placement under load: an idle fleet, a burst, lost engines, a hot session, a failing target, replaced
//! weights.

mod support;

use std::time::Duration;

use gateway::{
    Candidate, Decision, Demand, LoadEstimate, Pace, ReportedLoad, ResponseLoad, RetryBudget, SendOutcome,
    Work, decide, fetch_limit,
};
use support::ms;

/// Memory of an engine, in tokens.
const MEMORY: u64 = 160_000;

fn engine() -> Candidate {
    Candidate {
        distance: 0,
        requests: 0.0,
        waiting: 0.0,
        queued: 0.0,
        memory: (0.0, MEMORY),
        slots: 64,
        prefill_backlog: 0,
        cache_hit_chance: 0.0,
        latency_ms: 100.0,
        failures: 0.0,
        has_old_weights: false,
        is_connected: true,
    }
}

fn prompt(priority: u8) -> Demand {
    Demand {
        prompt_tokens: 12_000,
        shared_tokens: 9_000,
        memory: 12_000,
        priority,
        latency_target: Duration::from_millis(800),
        time_left: Duration::from_secs(12),
        pace: Pace::default(),
    }
}

fn sent(demand: &Demand, candidates: &[Candidate]) -> usize {
    match decide(demand, candidates, 0.0) {
        Decision::Send(choice) => choice.index,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_returning_prompt_goes_where_its_cache_is() {
    let owner = Candidate {
        cache_hit_chance: 0.9,
        requests: 10.0,
        prefill_backlog: 8_000,
        ..engine()
    };
    assert_eq!(sent(&prompt(2), &[engine(), owner]), 1);
}

#[test]
fn a_hot_session_moves_to_a_stored_copy_when_its_owner_is_overloaded() {
    let owner = Candidate {
        cache_hit_chance: 0.9,
        requests: 40.0,
        prefill_backlog: 60_000,
        ..engine()
    };
    let held_by_a_store = Candidate {
        cache_hit_chance: 0.85,
        ..engine()
    };
    assert_eq!(sent(&prompt(2), &[owner, held_by_a_store]), 1);
}

#[test]
fn the_least_urgent_are_refused_first_when_engines_are_full() {
    let full = Candidate {
        memory: (145_000.0, MEMORY),
        waiting: 1.0,
        ..engine()
    };
    let fleet = vec![full; 14];
    assert_eq!(decide(&prompt(2), &fleet, 0.5), Decision::AllFull);
    assert!(matches!(decide(&prompt(0), &fleet, 0.5), Decision::Send(_)));
}

#[test]
fn no_request_is_refused_while_none_waits() {
    let filled = Candidate {
        memory: (159_000.0, MEMORY),
        ..engine()
    };
    assert!(matches!(
        decide(&prompt(2), &vec![filled; 4], 0.5),
        Decision::Send(_)
    ));
}

#[test]
fn a_request_goes_to_the_only_engine_with_room() {
    let full = Candidate {
        memory: (150_000.0, MEMORY),
        waiting: 5.0,
        cache_hit_chance: 0.9,
        ..engine()
    };
    assert_eq!(sent(&prompt(2), &[full, full, engine()]), 2);
}

#[test]
fn an_engine_with_the_newest_weights_is_preferred() {
    let old = Candidate {
        has_old_weights: true,
        cache_hit_chance: 0.9,
        ..engine()
    };
    assert_eq!(sent(&prompt(1), &[old, engine()]), 1);
}

#[test]
fn a_target_with_failures_is_avoided() {
    let failing = Candidate {
        failures: 0.4,
        ..engine()
    };
    let plain = Demand {
        prompt_tokens: 0,
        shared_tokens: 0,
        memory: 0,
        priority: 0,
        latency_target: Duration::from_millis(120),
        ..prompt(0)
    };
    assert_eq!(
        sent(
            &plain,
            &[
                failing,
                Candidate {
                    distance: 1,
                    ..engine()
                }
            ]
        ),
        1
    );
}

#[test]
fn plain_requests_are_never_refused_for_lack_of_memory() {
    let busy = Candidate {
        memory: (1e9, MEMORY),
        waiting: 9.0,
        ..engine()
    };
    let plain = Demand {
        prompt_tokens: 0,
        ..prompt(2)
    };
    assert!(matches!(decide(&plain, &[busy], 0.5), Decision::Send(_)));
}

#[test]
fn overdue_requests_count_as_waiting() {
    let mut load = LoadEstimate::default();
    let work = Work {
        memory: 12_000,
        prefill_tokens: 12_000,
    };
    load.record_start(work, ms(0));
    load.record_start(work, ms(100));
    assert_eq!(load.waiting(ms(200)), 0.0);
    assert_eq!(load.waiting(ms(400)), 2.0);
    load.record_first_byte(work.prefill_tokens, ms(0));
    assert_eq!(load.waiting(ms(400)), 1.0);
}

#[test]
fn an_old_report_decays_to_the_expected_load() {
    let mut load = LoadEstimate::default();
    let note = ResponseLoad {
        running: 40,
        waiting: 10,
        slots: 64,
    };
    load.record_answer_load(note, ms(0));
    assert_eq!(load.requests(8.0, ms(0)), 50.0);
    let decayed = load.requests(8.0, ms(20_000));
    assert!((7.9..8.1).contains(&decayed), "{decayed}");
}

#[test]
fn pauses_of_an_unreachable_target_grow() {
    let mut load = LoadEstimate::default();
    load.record_outcome(SendOutcome::Unreachable, ms(0));
    assert!(load.is_paused(ms(299)) && !load.is_paused(ms(300)));
    load.record_outcome(SendOutcome::Unreachable, ms(1_000));
    assert!(load.is_paused(ms(1_599)) && !load.is_paused(ms(1_600)));
    load.record_outcome(SendOutcome::Answered(ms(5)), ms(2_000));
    load.record_outcome(SendOutcome::Unreachable, ms(3_000));
    assert!(!load.is_paused(ms(3_300)));
}

#[test]
fn nine_hosts_together_stay_within_the_retry_budget() {
    let (ratio, slack, window) = (0.2, 58.0, Duration::from_secs(10));
    let mut hosts: Vec<_> = (0..9).map(|_| RetryBudget::new(ratio, slack, window)).collect();
    let mut taken = Vec::new();
    let mut requests = Vec::new();
    for step in 0..3_000u64 {
        let now = ms(10 * step);
        // Host 0 receives more than half of all requests; every request asks for a retry.
        let host = if step % 2 == 0 { 0 } else { (step / 2 % 9) as usize };
        hosts[host].record_request(now);
        requests.push(now);
        if hosts[host].try_take(1.0 / 9.0, now) {
            taken.push(now);
        }
    }
    for end in (10_000..30_000).step_by(100).map(ms) {
        let within = |times: &[Duration]| {
            let counted = times.iter().filter(|at| **at <= end && **at + window > end);
            counted.count() as f64
        };
        assert!(within(&taken) <= ratio * within(&requests) + slack);
    }
}

#[test]
fn an_idle_connection_decides_between_equal_engines() {
    let new = Candidate {
        is_connected: false,
        ..engine()
    };
    assert_eq!(sent(&prompt(1), &[new, engine(), new]), 1);
    // Recomputing the prompt costs more than opening a connection.
    let holder = Candidate {
        is_connected: false,
        cache_hit_chance: 0.9,
        ..engine()
    };
    assert_eq!(sent(&prompt(1), &[engine(), holder, engine()]), 1);
}

#[test]
fn a_report_counts_requests_of_other_hosts() {
    let mut load = LoadEstimate::default();
    let own = Work {
        memory: 10_000,
        prefill_tokens: 0,
    };
    load.record_start(own, ms(900));
    let report = ReportedLoad {
        running: 7,
        waiting: 2,
        prefilling: 1,
        memory: 80_000,
    };
    load.record_report(report, ms(1_000));
    assert!((load.memory(4_000.0, 0.0, ms(1_000)) - 80_000.0).abs() < 1.0);
    assert!((load.requests(0.0, ms(1_000)) - 9.0).abs() < 0.1);
    // Own sends count at once. After one half-life, the memory of others is half of the reported one and half
    // of what 6.5 requests take, the estimate from the report of 8 and the expected 5.
    load.record_start(own, ms(2_000));
    let later = load.memory(4_000.0, 5.0, ms(2_000));
    assert!((later - (20_000.0 + 35_000.0 + 13_000.0)).abs() < 1.0, "{later}");
}

#[test]
fn an_older_report_does_not_replace_the_load_of_an_answer() {
    let mut load = LoadEstimate::default();
    let note = ResponseLoad {
        running: 3,
        waiting: 0,
        slots: 12,
    };
    load.record_answer_load(note, ms(2_000));
    let report = ReportedLoad {
        running: 12,
        waiting: 9,
        prefilling: 0,
        memory: 0,
    };
    load.record_report(report, ms(1_500));
    assert!((load.requests(0.0, ms(2_000)) - 3.0).abs() < 0.1);
}

/// A quarter of the engines is gone, and the others hold more than they prefill before a short deadline.
#[test]
fn a_request_that_would_begin_after_its_deadline_is_refused_at_once() {
    let busy = Candidate {
        waiting: 4.0,
        queued: 40.0,
        ..engine()
    };
    let urgent = Demand {
        time_left: Duration::from_secs(2),
        ..prompt(0)
    };
    assert_eq!(decide(&urgent, &[busy; 90], 0.5), Decision::TooLate);
    assert!(matches!(decide(&prompt(0), &[busy; 90], 0.5), Decision::Send(_)));
    let less_busy = Candidate { queued: 10.0, ..busy };
    assert_eq!(sent(&urgent, &[busy, busy, less_busy]), 2);
}

/// The engine with the cache cost least but could not begin in time, and the request was refused although an idle
/// engine would have begun it.
#[test]
fn a_request_with_little_time_goes_to_an_engine_that_begins_in_time() {
    let owner = Candidate {
        waiting: 1.0,
        queued: 3.0,
        cache_hit_chance: 1.0,
        ..engine()
    };
    let late = Demand {
        time_left: ms(200),
        latency_target: ms(2_000),
        ..prompt(0)
    };
    assert_eq!(
        sent(
            &Demand {
                time_left: ms(2_000),
                ..late
            },
            &[owner, engine()]
        ),
        0
    );
    assert_eq!(sent(&late, &[owner, engine()]), 1);
}

#[test]
fn requests_of_other_hosts_in_their_prefill_count_as_queued() {
    let mut load = LoadEstimate::default();
    let report = ReportedLoad {
        running: 6,
        waiting: 2,
        prefilling: 5,
        memory: 0,
    };
    load.record_report(report, ms(1_000));
    assert!((load.queued(ms(1_000)) - 7.0).abs() < 0.1);
    assert!(load.queued(ms(20_000)) < 0.1);
}

/// The links of a store turn slow: a fetch that takes longer than computing the part is given up.
#[test]
fn an_engine_does_not_wait_longer_for_a_fetch_than_the_prefill_is_worth() {
    let limit = |queued| {
        let target = Candidate {
            cache_hit_chance: 0.85,
            queued,
            ..engine()
        };
        match decide(&prompt(0), &[target], 0.0) {
            Decision::Send(choice) => fetch_limit(&prompt(0), &choice),
            other => panic!("{other:?}"),
        }
    };
    // The shared part of 9,000 tokens takes about 110 ms to compute.
    assert!(limit(0.0) > ms(150) && limit(0.0) < ms(350), "{:?}", limit(0.0));
    // A request that waits in the engine's queue first has more time for the fetch.
    assert!(limit(6.0) >= limit(0.0) + ms(250));
}
