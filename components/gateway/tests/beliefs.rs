//! Cached state of a host when the store answers late, with stale data or not at all.

mod support;

use std::time::Duration;

use gateway::ports::Table;
use gateway::{
    CachedState, OldWeightsPolicy, Replacement, TableUpdate, UpdateSource, View, old_weights_policy,
};
use support::{at, decode, ms, removed, row, snapshot, snapshot_at};

/// How long an entry that is missing after an outage stays listed.
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
fn a_host_can_serve_once_it_has_read_declarations_and_targets() {
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
fn a_stale_read_does_not_undo_an_update() {
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
fn an_older_declaration_in_a_newer_row_is_ignored() {
    let mut state = state();
    let newer = snapshot(9, [row("config", "declared 2", 9)]);
    state.apply(Table::Declared, newer, UpdateSource::Store, ms(10));
    assert_eq!(state.publish().unwrap().declared.unwrap().version, 3);
}

#[test]
fn a_leaving_target_is_not_in_the_next_view() {
    let mut state = state();
    let leaving = snapshot(8, [row("t1", "target s 1 leaving", 8)]);
    state.apply(Table::Targets, leaving, UpdateSource::Store, ms(10));
    assert_eq!(names(&state.publish().unwrap()), ["t2"]);
}

#[test]
fn an_unreadable_entry_lists_no_target_and_does_not_affect_others() {
    let mut state = state();
    let forged = snapshot(8, [row("t1", "nonsense", 8), row("t9", "target s x", 8)]);
    let unusable = state.apply(Table::Targets, forged, UpdateSource::Store, ms(10));
    assert_eq!(unusable.len(), 2);
    assert_eq!(names(&state.publish().unwrap()), ["t2"]);
}

#[test]
fn an_entry_removed_while_the_store_is_up_is_not_listed() {
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
fn entries_that_lapse_in_an_outage_stay_for_the_return_grace() {
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
fn a_removal_from_a_peer_is_final_during_an_outage() {
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
fn an_update_has_only_rows_newer_than_the_requested_version() {
    let mut state = state();
    let added = snapshot(7, [row("t3", "target s 1", 7)]);
    state.apply(Table::Targets, added, UpdateSource::Store, ms(10));
    let Some(TableUpdate::Newer(update)) = state.changes_since(Table::Targets, at(6)) else {
        panic!("the other host lacks one row");
    };
    let keys: Vec<_> = update.records.iter().map(|r| r.key.as_str()).collect();
    assert_eq!(keys, ["t3"]);
    assert_eq!(update.position, at(7));
    // What was removed before the table was read is not known.
    let Some(TableUpdate::All(update)) = state.changes_since(Table::Targets, at(5)) else {
        panic!("the other host may have rows that were removed");
    };
    assert_eq!((update.records.len(), update.position), (3, at(7)));
}

#[test]
fn a_host_without_the_store_receives_the_full_state_from_a_peer() {
    let peer = state();
    let mut other = CachedState::new(decode(), GRACE);
    other.store_failed();
    for table in [Table::Declared, Table::Targets] {
        other.apply_update(table, peer.changes_since(table, at(0)).unwrap(), ms(10));
    }
    let view = other.publish().unwrap();
    assert!(view.can_serve());
    assert_eq!(names(&view), ["t1", "t2"]);
}

#[test]
fn weights_declared_before_the_start_have_no_known_age() {
    let mut state = CachedState::new(decode(), GRACE);
    let first = snapshot(3, [row("version/m", "weights m 2", 3)]);
    state.replace(Table::Declared, first, UpdateSource::Store, ms(100));
    let view = state.publish().unwrap();
    assert_eq!(view.weights["m"].newest_age(ms(100)), None);
    let next = snapshot(4, [row("version/m", "weights m 3", 4)]);
    state.apply(Table::Declared, next, UpdateSource::Store, ms(200));
    let view = state.publish().unwrap();
    let history = &view.weights["m"];
    assert_eq!((history.newest(), history.newest_age(ms(200))), (3, Some(ms(0))));
}

/// A host that starts long after the declaration of version 2, and shortly after that of version 3, reads the
/// recorded times in either order with the declaration.
#[test]
fn a_restarted_host_reads_the_ages_of_all_declared_weights() {
    let declared = snapshot_at(ms(60_000), 9, [row("version/m", "weights m 3", 8)]);
    let times = row(
        "weights/m",
        r#"{"versions":{"2":{"secs":48,"nanos":0},"3":{"secs":58,"nanos":0}}}"#,
        9,
    );
    for is_declared_first in [true, false] {
        let mut state = CachedState::new(decode(), GRACE);
        let times = snapshot_at(ms(60_000), 9, [times.clone()]);
        let mut updates = [(Table::Declared, declared.clone()), (Table::Shared, times)];
        if !is_declared_first {
            updates.reverse();
        }
        for (table, update) in updates {
            state.replace(table, update, UpdateSource::Store, ms(500));
        }
        let view = state.publish().unwrap();
        let history = &view.weights["m"];
        let deadline = ms(10_000);
        let policy = |version| old_weights_policy(history, version, deadline, ms(500));
        assert_eq!(history.replacement(1, ms(500)), Replacement::Since(ms(12_000)));
        assert_eq!(policy(1), OldWeightsPolicy::Forbidden);
        assert_eq!(policy(2), OldWeightsPolicy::Avoided);
        assert_eq!(policy(3), OldWeightsPolicy::Allowed);
    }
}

/// A host that the store refuses learns the times, and the time on the store's clock, from another host.
#[test]
fn recorded_times_are_used_once_the_time_on_the_clock_of_the_store_is_known() {
    let mut state = CachedState::new(decode(), GRACE);
    let declared = snapshot(8, [row("version/m", "weights m 2", 8)]);
    let times = snapshot(
        9,
        [row("weights/m", r#"{"versions":{"2":{"secs":58,"nanos":0}}}"#, 9)],
    );
    state.replace(Table::Declared, declared, UpdateSource::Peer, ms(500));
    state.replace(Table::Shared, times, UpdateSource::Peer, ms(500));
    let view = state.publish().unwrap();
    assert_eq!(
        view.weights["m"].replacement(1, ms(500)),
        Replacement::SinceUnknown
    );
    state.record_store_time(ms(60_000), ms(700));
    let view = state.publish().unwrap();
    assert_eq!(
        view.weights["m"].replacement(1, ms(700)),
        Replacement::Since(ms(2_000))
    );
}

#[test]
fn a_recorded_time_does_not_make_a_declaration_younger() {
    let mut state = state();
    let next = snapshot_at(ms(10_000), 9, [row("version/m", "weights m 2", 9)]);
    state.apply(Table::Declared, next, UpdateSource::Store, ms(200));
    let late = snapshot_at(
        ms(11_000),
        10,
        [row(
            "weights/m",
            r#"{"versions":{"2":{"secs":11,"nanos":0}}}"#,
            10,
        )],
    );
    state.replace(Table::Shared, late, UpdateSource::Store, ms(1_200));
    let view = state.publish().unwrap();
    assert_eq!(view.weights["m"].newest_age(ms(1_200)), Some(ms(1_000)));
}

/// A host removes the entry of a failed host on the condition that its version is unchanged.
#[test]
fn position_of_gives_the_position_of_existing_rows_only() {
    let mut state = state();
    assert_eq!(state.position_of(Table::Targets, "t1"), Some(at(5)));
    state.apply(
        Table::Targets,
        snapshot(8, [removed("t1", 8)]),
        UpdateSource::Store,
        ms(10),
    );
    assert_eq!(state.position_of(Table::Targets, "t1"), None);
}

/// Adds and removes `count` targets, one per second.
fn replace_often(state: &mut CachedState, count: u64) {
    for number in 0..count {
        let version = 100 + 2 * number;
        let now = ms(1_000 * number);
        let key = format!("new{number}");
        let added = snapshot(version, [row(&key, "target s 1", version)]);
        state.apply(Table::Targets, added, UpdateSource::Store, now);
        let removal = snapshot(version + 1, [removed(&key, version + 1)]);
        state.apply(Table::Targets, removal, UpdateSource::Store, now);
        state.tick(now);
    }
}

#[test]
fn tombstones_are_kept_for_a_minute() {
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
    let update = peer.changes_since(Table::Targets, at(150)).unwrap();
    assert!(matches!(update, TableUpdate::All(_)));
    other.apply_update(Table::Targets, update, ms(200_000));
    assert_eq!(names(&other.publish().unwrap()), ["t1", "t2"]);
}

#[test]
fn an_older_row_does_not_undo_a_removal_with_a_purged_tombstone() {
    let mut state = state();
    replace_often(&mut state, 200);
    let late = snapshot(101, [row("new0", "target s 1", 100)]);
    state.apply_update(Table::Targets, TableUpdate::Newer(late), ms(201_000));
    assert_eq!(names(&state.publish().unwrap()), ["t1", "t2"]);
}

#[test]
fn unconfirmed_targets_are_not_reported_as_removed() {
    let mut peer = state();
    peer.store_failed();
    peer.store_answered(ms(1_000));
    peer.replace(Table::Targets, snapshot(20, []), UpdateSource::Store, ms(1_000));
    assert_eq!(peer.changes_since(Table::Targets, at(6)), None);
    peer.tick(ms(3_000));
    let mut other = state();
    other.store_failed();
    other.apply_update(
        Table::Targets,
        peer.changes_since(Table::Targets, at(6)).unwrap(),
        ms(3_100),
    );
    assert!(names(&other.publish().unwrap()).is_empty());
}
