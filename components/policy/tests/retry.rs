//! Load on targets while every target fails, in virtual time.

use std::time::Duration;

use policy::{Backoff, FailedTry, RetryBudget, RetryDecision, StopReason, next_try};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const HOSTS: usize = 9;
const MAX_ATTEMPTS: u32 = 4;
/// Stated target: tries for each offered request.
const MOST_AMPLIFICATION: f64 = 1.2;

fn failed(attempt: u32, now: Duration) -> FailedTry {
    FailedTry {
        attempt,
        max_attempts: MAX_ATTEMPTS,
        is_idempotent: true,
        is_not_run: false,
        due: now + Duration::from_secs(10),
        expected: Duration::from_millis(300),
    }
}

/// Tries in each second while every target fails, after a time in which all requests went well.
fn tries_in_storm(seed: u64, offered_a_second: usize, seconds: usize) -> Vec<usize> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut budgets = [RetryBudget::default(); HOSTS];
    for budget in &mut budgets {
        for _ in 0..1_000 {
            budget.note_success();
        }
    }
    let mut tries = vec![0; seconds + 10];
    for i in 0..offered_a_second * seconds {
        let budget = &mut budgets[rng.random_range(0..HOSTS)];
        let mut now = Duration::from_secs_f64(i as f64 / offered_a_second as f64);
        for attempt in 1.. {
            tries[now.as_secs() as usize] += 1;
            let jitter = rng.random::<f64>();
            let next = next_try(&failed(attempt, now), budget, &Backoff::default(), jitter, now);
            let RetryDecision::Retry { after } = next.decision else {
                break;
            };
            now += after;
        }
    }
    tries
}

#[test]
fn retries_do_not_amplify_an_outage() {
    for seed in 0..20 {
        let offered = 1_000;
        let tries = tries_in_storm(seed, offered, 30);
        let worst = tries.iter().max().copied().unwrap_or_default() as f64 / offered as f64;
        let total = tries.iter().sum::<usize>() as f64 / (30 * offered) as f64;
        if seed == 0 {
            println!("worst second {worst:.3}, whole outage {total:.3} tries a request");
        }
        assert!(worst < MOST_AMPLIFICATION, "seed {seed}: {worst}");
        assert!(total < MOST_AMPLIFICATION, "seed {seed}: {total}");
    }
}

#[test]
fn a_decision_says_why_it_stops() {
    let now = Duration::from_secs(1);
    let decide = |failed: FailedTry, budget: &mut RetryBudget| {
        next_try(&failed, budget, &Backoff::default(), 0.5, now).decision
    };
    let stop = RetryDecision::Stop;
    let mut budget = RetryBudget::default();
    let last = failed(MAX_ATTEMPTS, now);
    assert_eq!(decide(last, &mut budget), stop(StopReason::Attempts));
    let late = FailedTry {
        due: now + Duration::from_millis(200),
        ..failed(1, now)
    };
    assert_eq!(decide(late, &mut budget), stop(StopReason::Deadline));
    while budget.take() {}
    assert_eq!(decide(failed(1, now), &mut budget), stop(StopReason::Budget));
    let once = FailedTry {
        is_idempotent: false,
        is_not_run: true,
        ..failed(1, now)
    };
    let mut budget = RetryBudget::default();
    assert!(matches!(decide(once, &mut budget), RetryDecision::Retry { .. }));
}
