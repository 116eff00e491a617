//! Guards the load on targets while all of them fail, and the retries after a crash. Runs in virtual time.

use std::time::Duration;

use policy::{Backoff, FailedTry, RetryBudget, RetryDecision, StopReason, next_try};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const HOSTS: usize = 9;
const MAX_ATTEMPTS: u32 = 4;
/// Limit for the number of tries per offered request.
const MAX_AMPLIFICATION: f64 = 1.2;

fn failed(attempt: u32, now: Duration) -> FailedTry {
    FailedTry {
        attempt,
        max_attempts: MAX_ATTEMPTS,
        is_idempotent: true,
        is_not_run: false,
        failed_at: now,
        due: now + Duration::from_secs(10),
        expected: Duration::from_millis(300),
    }
}

/// Returns when a request is retried, if at all.
fn retry_at(failed: &FailedTry, budget: &mut RetryBudget, rng: &mut ChaCha8Rng) -> Option<Duration> {
    let mut now = failed.failed_at;
    loop {
        let jitter = rng.random::<f64>();
        match next_try(failed, budget, &Backoff::default(), jitter, now).decision {
            RetryDecision::Retry { after } => return Some(now + after),
            RetryDecision::Hold { after } => now += after,
            RetryDecision::Stop(_) => return None,
        }
    }
}

/// Returns the number of tries in each second of an outage of all targets that follows a period without
/// failures.
fn tries_in_outage(seed: u64, offered_a_second: usize, seconds: usize) -> Vec<usize> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut budgets = [RetryBudget::default(); HOSTS];
    for budget in &mut budgets {
        for _ in 0..1_000 {
            budget.record_success(false);
        }
    }
    let mut tries = vec![0; seconds + 10];
    for i in 0..offered_a_second * seconds {
        let budget = &mut budgets[rng.random_range(0..HOSTS)];
        let mut now = Duration::from_secs_f64(i as f64 / offered_a_second as f64);
        for attempt in 1.. {
            tries[now.as_secs() as usize] += 1;
            match retry_at(&failed(attempt, now), budget, &mut rng) {
                Some(at) => now = at,
                None => break,
            }
        }
    }
    tries
}

#[test]
fn retries_do_not_amplify_an_outage() {
    for seed in 0..20 {
        let offered = 1_000;
        let tries = tries_in_outage(seed, offered, 30);
        let worst = tries.iter().max().copied().unwrap_or_default() as f64 / offered as f64;
        let total = tries.iter().sum::<usize>() as f64 / (30 * offered) as f64;
        if seed == 0 {
            println!("worst second {worst:.3}, whole outage {total:.3} tries a request");
        }
        assert!(worst < MAX_AMPLIFICATION, "seed {seed}: {worst}");
        assert!(total < MAX_AMPLIFICATION, "seed {seed}: {total}");
    }
}

#[test]
fn stop_decision_carries_its_reason() {
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
    assert!(matches!(
        decide(failed(1, now), &mut budget),
        RetryDecision::Hold { .. }
    ));
    let held = FailedTry {
        failed_at: Duration::ZERO,
        ..failed(1, now)
    };
    let late = next_try(
        &held,
        &mut budget,
        &Backoff::default(),
        0.5,
        Duration::from_secs(2),
    );
    assert_eq!(late.decision, stop(StopReason::Budget));
    let once = FailedTry {
        is_idempotent: false,
        is_not_run: true,
        ..failed(1, now)
    };
    let mut budget = RetryBudget::default();
    assert!(matches!(decide(once, &mut budget), RetryDecision::Retry { .. }));
}

#[test]
fn all_drafts_of_one_crashed_target_are_retried() {
    for affected in [10, 100, 200] {
        let mut rng = ChaCha8Rng::seed_from_u64(affected);
        let mut budget = RetryBudget::default();
        let mut waiting: Vec<Duration> = (0..affected).map(|_| Duration::ZERO).collect();
        let mut running: Vec<Duration> = Vec::new();
        let (mut answered, mut given_up, mut now) = (0, 0, Duration::ZERO);
        while !waiting.is_empty() || !running.is_empty() {
            now += Duration::from_millis(1);
            let ended = running.extract_if(.., |end| *end <= now).count();
            (0..ended).for_each(|_| budget.record_success(true));
            answered += ended;
            for i in (0..waiting.len())
                .rev()
                .filter(|i| waiting[*i] <= now)
                .collect::<Vec<_>>()
            {
                let failed = failed(1, Duration::ZERO);
                match next_try(
                    &failed,
                    &mut budget,
                    &Backoff::default(),
                    rng.random::<f64>(),
                    now,
                )
                .decision
                {
                    RetryDecision::Retry { after } => {
                        waiting.swap_remove(i);
                        running.push(now + after + Duration::from_millis(50));
                    }
                    RetryDecision::Hold { after } => waiting[i] = now + after,
                    RetryDecision::Stop(_) => {
                        waiting.swap_remove(i);
                        given_up += 1;
                    }
                }
            }
        }
        println!("{affected} affected: {answered} answered, {given_up} given up, after {now:?}");
        assert_eq!(given_up, 0);
    }
}
