//! Simulates seeded calls over nine hosts in virtual time, with each fault and each pair of faults. Checks
//! that no call runs twice and that no reply contradicts what the targets ran.

mod counts;
mod host;
mod inject;
mod sim;
mod store;
mod world;

use counts::Counts;
use sim::Sim;
use world::Fault;

/// Required maximum time from a request to a true refusal, beyond the first store timeout, in milliseconds.
const MAX_REFUSAL_MS: u64 = 50;
/// Number of calls in CI for each combination of faults.
const CI_CALLS: usize = 500;
/// Number of calls in the full run for each of the 21 combinations of faults.
const ALL_CALLS: usize = 5_000;

/// Returns each fault alone and each pair of faults.
fn combinations() -> Vec<Vec<Fault>> {
    let mut all: Vec<Vec<Fault>> = Fault::ALL.iter().map(|fault| vec![*fault]).collect();
    for (i, first) in Fault::ALL.iter().enumerate() {
        all.extend(Fault::ALL[i + 1..].iter().map(|second| vec![*first, *second]));
    }
    all
}

fn run_all(seed: u64, calls: usize) -> Counts {
    let mut total = Counts::default();
    for faults in combinations() {
        let counts = Sim::new(seed, &faults).run(calls);
        println!("{faults:?}: {counts}");
        assert_eq!(counts.false_replies, 0, "seed {seed}, {faults:?}");
        assert_eq!(counts.ran_twice, 0, "seed {seed}, {faults:?}");
        total.add(&counts);
    }
    println!("all: {total}");
    total
}

#[test]
fn no_call_runs_twice_and_no_reply_is_false() {
    let total = run_all(1, CI_CALLS);
    assert_eq!(total.calls, 21 * CI_CALLS);
    assert_eq!(total.unanswered, 0);
}

#[test]
#[ignore = "100,000 calls take longer than CI allows"]
fn no_call_of_a_hundred_thousand_runs_twice_and_no_reply_is_false() {
    let total = run_all(2, ALL_CALLS);
    assert_eq!(total.unanswered, 0);
}

#[test]
fn without_faults_every_call_is_answered() {
    let counts = Sim::new(3, &[]).run(5_000);
    println!("no fault: {counts}");
    assert_eq!((counts.ran_once, counts.answered), (5_000, 5_000));
}

#[test]
fn refusals_are_fast_while_the_table_service_is_down() {
    let counts = Sim::new(4, &[Fault::StoreDown]).run(5_000);
    let extra_ms = counts.refusal_ms(0.99).saturating_sub(sim::STORE_TIMEOUT_MS);
    println!(
        "table service down: {counts}; refusals p50 {} ms, p99 {} ms",
        counts.refusal_ms(0.5),
        counts.refusal_ms(0.99)
    );
    assert!(counts.refusals.len() > 100);
    assert!(extra_ms <= MAX_REFUSAL_MS);
}

#[test]
fn the_simulation_detects_a_call_that_is_sent_again_after_dispatch() {
    let detects = |fault: Fault| {
        let mut sim = Sim::new(5, &[fault, Fault::HostKilled]);
        sim.is_retrying_after_dispatch = true;
        sim.run(2_000).ran_twice > 0
    };
    assert!(detects(Fault::ConnectionSilent));
}
