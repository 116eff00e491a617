//! What a host believes, when the store answers late, stale or not at all.

mod support;

use std::time::Duration;

use gateway::ports::Table;
use gateway::{CachedState, TableUpdate, UpdateSource, View};
use support::{decode, ms, removed, row, snapshot};

/// Time for which an entry that is missing after an outage may still come back.
const GRACE: Duration = Duration::from_millis(2_000);

fn state() -> CachedState {
    let mut state = CachedState::new(decode(), GRACE);
    let rows = [row("t1", "target s 1", 5), row("t2", "target s 1", 6)];
    state.replace(Table::Targets, snapshot(6, rows), UpdateSource::Store, ms(0));
    state.replace(
        Table::Declared,
        snapshot(7, [row("config", "declared 3", 7)]),
        UpdateSource::Store,
        ms(0),
    );
    state
}

fn names(view: &View) -> Vec<&str> {
    let mut names: Vec<_> = view.targets_of("s").iter().map(|t| t.instance.as_str()).collect();
    names.sort_unstable();
    names
}

#[test]
fn a_host_is_able_once_it_knows_declarations_and_targets() {
    let mut state = CachedState::new(decode(), GRACE);
    state.replace(Table::Targets, snapshot(1, []), UpdateSource::Store, ms(0));
    assert!(!state.publish().unwrap().can_serve());
    state.replace(
        Table::Declared,
        snapshot(2, [row("config", "declared 1", 2)]),
        UpdateSource::Store,
        ms(0),
    );
    assert!(state.publish().unwrap().can_serve());
}

#[test]
fn a_stale_read_brings_nothing_back() {
    let mut state = state();
    let newer = snapshot(9, [row("config", "declared 4", 9)]);
    state.apply(Table::Declared, newer, UpdateSource::Store, ms(10));
    state.replace(
        Table::Declared,
        snapshot(8, [row("config", "declared 3", 7)]),
        UpdateSource::Store,
        ms(20),
    );
    assert_eq!(state.publish().unwrap().declared.unwrap().version, 4);
}

#[test]
fn an_older_declaration_in_a_newer_row_is_not_obeyed() {
    let mut state = state();
    let newer = snapshot(9, [row("config", "declared 2", 9)]);
    state.apply(Table::Declared, newer, UpdateSource::Store, ms(10));
    assert_eq!(state.publish().unwrap().declared.unwrap().version, 3);
}

#[test]
fn a_leaving_target_gets_nothing_new_at_once() {
    let mut state = state();
    let leaving = snapshot(8, [row("t1", "target s 1 leaving", 8)]);
    state.apply(Table::Targets, leaving, UpdateSource::Store, ms(10));
    assert_eq!(names(&state.publish().unwrap()), ["t2"]);
}

#[test]
fn a_forged_entry_names_no_target_and_harms_no_other() {
    let mut state = state();
    let forged = snapshot(8, [row("t1", "nonsense", 8), row("t9", "target s x", 8)]);
    let unusable = state.apply(Table::Targets, forged, UpdateSource::Store, ms(10));
    assert_eq!(unusable.len(), 2);
    assert_eq!(names(&state.publish().unwrap()), ["t2"]);
}

#[test]
fn an_entry_that_vanishes_while_the_store_is_sound_is_gone() {
    let mut state = state();
    state.apply(
        Table::Targets,
        snapshot(8, [removed("t1", 8)]),
        UpdateSource::Store,
        ms(10),
    );
    assert_eq!(names(&state.publish().unwrap()), ["t2"]);
}

#[test]
fn entries_that_lapsed_in_an_outage_stay_until_the_grace_is_over() {
    let mut state = state();
    assert!(state.store_failed());
    assert!(state.store_answered(ms(1_000)));
    state.replace(Table::Targets, snapshot(20, []), UpdateSource::Store, ms(1_000));
    assert_eq!(names(&state.publish().unwrap()), ["t1", "t2"]);
    let back = snapshot(21, [row("t1", "target s 1", 21)]);
    state.apply(Table::Targets, back, UpdateSource::Store, ms(1_500));
    state.tick(ms(2_999));
    assert_eq!(names(&state.publish().unwrap()), ["t1", "t2"]);
    state.tick(ms(3_000));
    assert_eq!(names(&state.publish().unwrap()), ["t1"]);
}

#[test]
fn what_a_host_with_a_sound_store_calls_gone_is_gone_here_too() {
    let mut state = state();
    state.store_failed();
    state.apply(
        Table::Targets,
        snapshot(8, [removed("t1", 8)]),
        UpdateSource::Peer,
        ms(10),
    );
    assert_eq!(names(&state.publish().unwrap()), ["t2"]);
}

#[test]
fn a_host_tells_another_only_what_that_one_lacks() {
    let state = state();
    let Some(TableUpdate::Newer(update)) = state.changes_since(Table::Targets, 5) else {
        panic!("the other host lacks one row");
    };
    let keys: Vec<_> = update.records.iter().map(|r| r.key.as_str()).collect();
    assert_eq!(keys, ["t2"]);
    assert_eq!(update.version, 6);
}

#[test]
fn a_host_that_the_store_refuses_learns_all_from_another() {
    let peer = state();
    let mut other = CachedState::new(decode(), GRACE);
    other.store_failed();
    for table in [Table::Declared, Table::Targets] {
        other.apply_update(table, peer.changes_since(table, 0).unwrap(), ms(10));
    }
    let view = other.publish().unwrap();
    assert!(view.can_serve());
    assert_eq!(names(&view), ["t1", "t2"]);
}

#[test]
fn weights_named_before_the_start_have_no_known_age() {
    let mut state = CachedState::new(decode(), GRACE);
    let first = snapshot(3, [row("version/m", "weights m 2", 3)]);
    state.replace(Table::Declared, first, UpdateSource::Store, ms(100));
    assert_eq!(state.publish().unwrap().weights["m"].newest_at(), None);
    let next = snapshot(4, [row("version/m", "weights m 3", 4)]);
    state.apply(Table::Declared, next, UpdateSource::Store, ms(200));
    let view = state.publish().unwrap();
    let history = &view.weights["m"];
    assert_eq!((history.newest(), history.newest_at()), (3, Some(ms(200))));
}

#[test]
fn a_hosts_entry_can_be_removed_only_as_it_was_seen() {
    let mut state = state();
    assert_eq!(state.version_of(Table::Targets, "t1"), Some(5));
    state.apply(
        Table::Targets,
        snapshot(8, [removed("t1", 8)]),
        UpdateSource::Store,
        ms(10),
    );
    assert_eq!(state.version_of(Table::Targets, "t1"), None);
}

/// A target of each of `count` replacements comes and goes, one a second.
fn replace_often(state: &mut CachedState, count: u64) {
    for number in 0..count {
        let version = 100 + 2 * number;
        let now = ms(1_000 * number);
        let key = format!("new{number}");
        let come = snapshot(version, [row(&key, "target s 1", version)]);
        state.apply(Table::Targets, come, UpdateSource::Store, now);
        let gone = snapshot(version + 1, [removed(&key, version + 1)]);
        state.apply(Table::Targets, gone, UpdateSource::Store, now);
        state.tick(now);
    }
}

#[test]
fn removed_rows_are_remembered_for_a_minute() {
    let mut state = state();
    replace_often(&mut state, 1_000);
    assert!(
        state.tombstone_count() <= 60,
        "{} removals",
        state.tombstone_count()
    );
}

#[test]
fn a_host_that_is_far_behind_gets_the_whole_table() {
    let mut peer = state();
    let mut other = state();
    replace_often(&mut other, 1);
    let lost = snapshot(150, [row("new7", "target s 1", 120)]);
    other.apply(Table::Targets, lost, UpdateSource::Store, ms(10));
    replace_often(&mut peer, 200);
    let update = peer.changes_since(Table::Targets, 150).unwrap();
    assert!(matches!(update, TableUpdate::All(_)));
    other.apply_update(Table::Targets, update, ms(200_000));
    assert_eq!(names(&other.publish().unwrap()), ["t1", "t2"]);
}

#[test]
fn a_removal_that_is_forgotten_is_not_undone_by_an_older_row() {
    let mut state = state();
    replace_often(&mut state, 200);
    let late = snapshot(101, [row("new0", "target s 1", 100)]);
    state.apply_update(Table::Targets, TableUpdate::Newer(late), ms(201_000));
    assert_eq!(names(&state.publish().unwrap()), ["t1", "t2"]);
}

#[test]
fn a_host_does_not_call_targets_gone_that_may_only_have_lapsed() {
    let mut peer = state();
    peer.store_failed();
    peer.store_answered(ms(1_000));
    peer.replace(Table::Targets, snapshot(20, []), UpdateSource::Store, ms(1_000));
    assert_eq!(peer.changes_since(Table::Targets, 6), None);
    peer.tick(ms(3_000));
    let mut other = state();
    other.store_failed();
    other.apply_update(
        Table::Targets,
        peer.changes_since(Table::Targets, 6).unwrap(),
        ms(3_100),
    );
    assert!(names(&other.publish().unwrap()).is_empty());
}
