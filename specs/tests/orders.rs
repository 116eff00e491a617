//! Explores the specification of orders under a lease: all states without built-in faults, and each built-in
//! fault.

use specs::{Explored, Orders, OrdersInvariant, OrdersMutant, explore};

fn assert_holds(spec: &Orders) {
    let explored = explore(spec);
    println!("{spec:?}: {explored}");
    assert_eq!(explored.broken(), None);
}

fn assert_caught(mutant: OrdersMutant, invariants: &[OrdersInvariant]) {
    let losses = u8::from(mutant == OrdersMutant::NoReadBack);
    let explored = explore(&Orders::new(6, losses, 0).with_mutant(mutant));
    let Explored::Broken(found) = &explored else {
        panic!("{mutant:?} was not found");
    };
    let actions: Vec<_> = found.steps.iter().map(|(action, _)| action).collect();
    println!(
        "{mutant:?} breaks {:?} in {} steps: {actions:?}",
        found.invariant,
        actions.len()
    );
    assert!(
        invariants.contains(&found.invariant),
        "{mutant:?} breaks {:?}",
        found.invariant
    );
}

#[test]
fn every_state_without_faults_holds() {
    assert_holds(&Orders::new(5, 0, 0));
}

#[test]
fn every_state_with_a_lost_answer_holds() {
    assert_holds(&Orders::new(4, 1, 0));
}

#[test]
fn every_state_with_a_replaced_host_holds() {
    assert_holds(&Orders::new(4, 0, 1));
}

#[test]
fn order_without_margin_is_found() {
    assert_caught(OrdersMutant::NoMargin, &[OrdersInvariant::NoOrderAfterLapse]);
}

#[test]
fn new_holder_that_does_not_wait_is_found() {
    assert_caught(OrdersMutant::NoWait, &[OrdersInvariant::NoConflict]);
}

#[test]
fn lost_answer_taken_for_success_is_found() {
    assert_caught(OrdersMutant::NoReadBack, &[OrdersInvariant::NoOrderAfterLapse]);
}

#[test]
fn lease_measured_from_the_answer_is_found() {
    assert_caught(
        OrdersMutant::MeasuredFromAnswer,
        &[OrdersInvariant::NoOrderAfterLapse],
    );
}

#[test]
fn loads_that_are_not_taken_over_are_found() {
    assert_caught(
        OrdersMutant::LoadsNotTakenOver,
        &[OrdersInvariant::LoadsWithinLimit],
    );
}
