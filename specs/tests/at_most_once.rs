//! Explores the specification of calls that run at most once: all states without built-in faults, and each
//! built-in fault.

use specs::{AtMostOnce, CallInvariant, CallMutant, explore};

fn spec(attempts: u8, losses: u8, replacements: u8) -> AtMostOnce {
    AtMostOnce::new(attempts, losses, replacements).expect("chart")
}

fn assert_holds(spec: &AtMostOnce) {
    let explored = explore(spec);
    println!("{explored}");
    assert!(explored.states().is_some(), "{explored}");
}

/// Checks that a mutant violates an invariant, and prints the shortest run to the violation.
fn assert_caught(mutant: CallMutant, invariant: CallInvariant) {
    let explored = explore(&spec(3, 2, 0).with_mutant(mutant).checking_only(invariant));
    println!("{mutant:?}: {explored}");
    assert_eq!(explored.broken(), Some(invariant));
}

#[test]
fn holds_with_lost_answers() {
    assert_holds(&spec(2, 2, 0));
}

#[test]
fn holds_with_a_replaced_host() {
    assert_holds(&spec(2, 1, 1));
}

#[test]
fn holds_with_three_attempts() {
    assert_holds(&spec(3, 1, 0));
}

#[test]
fn holds_with_another_body() {
    assert_holds(&spec(3, 0, 1).with_other_body());
}

#[test]
fn finds_a_skipped_read_back() {
    assert_caught(CallMutant::SkipReadBack, CallInvariant::RunsAtMostOnce);
}

#[test]
fn finds_a_late_dispatch() {
    assert_caught(CallMutant::DispatchAfterLapse, CallInvariant::SentInTime);
}

#[test]
fn finds_an_abandoned_claim_of_another_host() {
    assert_caught(CallMutant::AbandonOthers, CallInvariant::RunsAtMostOnce);
}

#[test]
fn finds_a_retry_after_dispatch() {
    assert_caught(CallMutant::RetryAfterDispatch, CallInvariant::RunsAtMostOnce);
}

#[test]
fn finds_a_removed_row() {
    assert_caught(CallMutant::DeleteAbandoned, CallInvariant::NoLeakedClaim);
}

#[test]
fn finds_a_guessed_not_run() {
    assert_caught(CallMutant::GuessNotRun, CallInvariant::NotRunIsTrue);
}
