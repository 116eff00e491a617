//! Entries in the list of targets whose service the operator does not name.

mod support;

use std::time::Duration;

use gateway::ports::Table;
use gateway::{CachedState, Rollout, RolloutAction, UpdateSource, View};
use support::{decode, ms, removed, row, snapshot};

/// How long an entry that is missing after an outage stays listed.
const GRACE: Duration = Duration::from_millis(2_000);
/// Time for which a service counts that is no longer declared.
const RETENTION: Duration = Duration::from_secs(60);

/// Returns the state of a host that lists a target of `s` and, at its address, an entry of `agents` that is younger.
fn state() -> CachedState {
    let mut state = CachedState::new(decode(), GRACE);
    let entries = [row("t1", "target s 1", 5), row("x1", "target agents 1 born=2", 6)];
    state.replace(Table::Targets, snapshot(6, entries), UpdateSource::Store, ms(0));
    declare(&mut state, "declared 3", 7, ms(0));
    state
}

fn declare(state: &mut CachedState, declaration: &str, version: u64, now: Duration) {
    let changed = snapshot(version, [row("config", declaration, version)]);
    match state.complete_position(Table::Declared) {
        Some(_) => state.apply(Table::Declared, changed, UpdateSource::Store, now),
        None => state.replace(Table::Declared, changed, UpdateSource::Store, now),
    };
}

fn names<'a>(view: &'a View, service: &str) -> Vec<&'a str> {
    let targets = view.targets_of(service);
    targets.iter().map(|target| target.instance.as_str()).collect()
}

// Guards against targets that get no request because another writer lists their addresses under a service that no one has
// declared.
#[test]
fn an_entry_of_an_undeclared_service_does_not_take_over_the_address_of_a_target() {
    let view = state().publish().unwrap();
    assert_eq!(names(&view, "s"), ["t1"]);
}

// Guards against a host that goes on sending to an address that another target has, because it read the entry before its
// service was declared; and against requests in flight that end because their service is dropped.
#[test]
fn an_entry_counts_from_the_declaration_of_its_service_until_the_service_is_long_gone() {
    let mut state = state();
    declare(&mut state, "declared 4 services s agents", 8, ms(1_000));
    assert_eq!(names(&state.publish().unwrap(), "s"), [""; 0]);
    declare(&mut state, "declared 5 services s", 9, ms(2_000));
    assert_eq!(names(&state.publish().unwrap(), "s"), [""; 0]);
    let end = ms(2_000) + RETENTION;
    state.tick(end - ms(1));
    assert!(state.publish().is_none());
    state.tick(end);
    assert_eq!(names(&state.publish().unwrap(), "s"), ["t1"]);
}

// Guards against an entry that displaces a target again because the copy of a restored store has an older declaration.
#[test]
fn a_service_stays_dropped_when_an_older_declaration_comes_back() {
    let mut state = state();
    declare(&mut state, "declared 2 services s agents", 8, ms(1_000));
    assert_eq!(names(&state.publish().unwrap(), "s"), ["t1"]);
    let gone = snapshot(9, [removed("config", 9)]);
    state.apply(Table::Declared, gone, UpdateSource::Store, ms(2_000));
    assert_eq!(names(&state.publish().unwrap(), "s"), ["t1"]);
}

// Guards against new weights that no engine gets because entries of another writer, which never answer, hold the load slots.
#[test]
fn an_entry_of_an_undeclared_service_gets_no_load_slot() {
    let mut state = CachedState::new(decode(), GRACE);
    let engines = (0..9).map(|n| row(&format!("t{n}"), "target s 1", 5));
    let others = (0..4).map(|n| row(&format!("agent{n}"), "target agents 0", 5));
    let entries: Vec<_> = engines.chain(others).collect();
    state.replace(Table::Targets, snapshot(6, entries), UpdateSource::Store, ms(0));
    declare(&mut state, "declared 3", 7, ms(0));
    let weights = snapshot(8, [row("version/m", "weights m 2", 8)]);
    state.apply(Table::Declared, weights, UpdateSource::Store, ms(0));
    let view = state.publish().unwrap();
    let actions = Rollout::default().next(&view, &[], ms(0));
    let started: Vec<_> = actions
        .iter()
        .map(|action| match action {
            RolloutAction::Start(slot) => &*slot.target,
            _ => panic!("{action:?}"),
        })
        .collect();
    // A third of the nine engines.
    assert_eq!(started, ["t0/1", "t1/1", "t2/1"]);
}

// Guards against a host that gives orders to what its list holds before it knows which services there are.
#[test]
fn no_entry_names_a_target_before_a_declaration_is_read() {
    let mut state = CachedState::new(decode(), GRACE);
    let entries = [row("t1", "target s 1", 5)];
    state.replace(Table::Targets, snapshot(6, entries), UpdateSource::Store, ms(0));
    assert!(state.publish().unwrap().targets.is_empty());
    declare(&mut state, "declared 3", 7, ms(0));
    assert_eq!(names(&state.publish().unwrap(), "s"), ["t1"]);
}
