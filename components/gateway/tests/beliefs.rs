//! What a host believes, when the store answers late, stale or not at all.

mod support;

use std::time::Duration;

use gateway::ports::Table;
use gateway::{Beliefs, Learned, View};
use support::{decode, ms, removed, row, snapshot};

/// Time for which an entry that is missing after an outage may still come back.
const GRACE: Duration = Duration::from_millis(2_000);

fn beliefs() -> Beliefs {
    let mut beliefs = Beliefs::new(decode(), GRACE);
    let rows = [row("t1", "target s 1", 5), row("t2", "target s 1", 6)];
    beliefs.replace(Table::Targets, snapshot(6, rows), ms(0));
    beliefs.replace(
        Table::Declared,
        snapshot(7, [row("config", "declared 3", 7)]),
        ms(0),
    );
    beliefs
}

fn names(view: &View) -> Vec<&str> {
    let mut names: Vec<_> = view.targets_of("s").iter().map(|t| t.instance.as_str()).collect();
    names.sort_unstable();
    names
}

#[test]
fn a_host_is_able_once_it_knows_declarations_and_targets() {
    let mut beliefs = Beliefs::new(decode(), GRACE);
    beliefs.replace(Table::Targets, snapshot(1, []), ms(0));
    assert!(!beliefs.publish().unwrap().is_able());
    beliefs.replace(
        Table::Declared,
        snapshot(2, [row("config", "declared 1", 2)]),
        ms(0),
    );
    assert!(beliefs.publish().unwrap().is_able());
}

#[test]
fn a_stale_read_brings_nothing_back() {
    let mut beliefs = beliefs();
    let newer = snapshot(9, [row("config", "declared 4", 9)]);
    beliefs.apply(Table::Declared, newer, Learned::Store, ms(10));
    beliefs.replace(
        Table::Declared,
        snapshot(8, [row("config", "declared 3", 7)]),
        ms(20),
    );
    assert_eq!(beliefs.publish().unwrap().declared.unwrap().version, 4);
}

#[test]
fn an_older_declaration_in_a_newer_row_is_not_obeyed() {
    let mut beliefs = beliefs();
    let newer = snapshot(9, [row("config", "declared 2", 9)]);
    beliefs.apply(Table::Declared, newer, Learned::Store, ms(10));
    assert_eq!(beliefs.publish().unwrap().declared.unwrap().version, 3);
}

#[test]
fn a_leaving_target_gets_nothing_new_at_once() {
    let mut beliefs = beliefs();
    let leaving = snapshot(8, [row("t1", "target s 1 leaving", 8)]);
    beliefs.apply(Table::Targets, leaving, Learned::Store, ms(10));
    assert_eq!(names(&beliefs.publish().unwrap()), ["t2"]);
}

#[test]
fn a_forged_entry_names_no_target_and_harms_no_other() {
    let mut beliefs = beliefs();
    let forged = snapshot(8, [row("t1", "nonsense", 8), row("t9", "target s x", 8)]);
    let unusable = beliefs.apply(Table::Targets, forged, Learned::Store, ms(10));
    assert_eq!(unusable.len(), 2);
    assert_eq!(names(&beliefs.publish().unwrap()), ["t2"]);
}

#[test]
fn an_entry_that_vanishes_while_the_store_is_sound_is_gone() {
    let mut beliefs = beliefs();
    beliefs.apply(
        Table::Targets,
        snapshot(8, [removed("t1", 8)]),
        Learned::Store,
        ms(10),
    );
    assert_eq!(names(&beliefs.publish().unwrap()), ["t2"]);
}

#[test]
fn entries_that_lapsed_in_an_outage_stay_until_the_grace_is_over() {
    let mut beliefs = beliefs();
    assert!(beliefs.store_failed());
    assert!(beliefs.store_answered(ms(1_000)));
    beliefs.replace(Table::Targets, snapshot(20, []), ms(1_000));
    assert_eq!(names(&beliefs.publish().unwrap()), ["t1", "t2"]);
    let back = snapshot(21, [row("t1", "target s 1", 21)]);
    beliefs.apply(Table::Targets, back, Learned::Store, ms(1_500));
    beliefs.tick(ms(2_999));
    assert_eq!(names(&beliefs.publish().unwrap()), ["t1", "t2"]);
    beliefs.tick(ms(3_000));
    assert_eq!(names(&beliefs.publish().unwrap()), ["t1"]);
}

#[test]
fn what_a_host_with_a_sound_store_calls_gone_is_gone_here_too() {
    let mut beliefs = beliefs();
    beliefs.store_failed();
    beliefs.apply(
        Table::Targets,
        snapshot(8, [removed("t1", 8)]),
        Learned::Peer,
        ms(10),
    );
    assert_eq!(names(&beliefs.publish().unwrap()), ["t2"]);
}

#[test]
fn a_host_tells_another_only_what_that_one_lacks() {
    let beliefs = beliefs();
    let told = beliefs.newer_than(Table::Targets, 5);
    let keys: Vec<_> = told.records.iter().map(|r| r.key.as_str()).collect();
    assert_eq!(keys, ["t2"]);
    assert_eq!(told.version, 6);
}

#[test]
fn a_host_that_the_store_refuses_learns_all_from_another() {
    let known = beliefs();
    let mut other = Beliefs::new(decode(), GRACE);
    other.store_failed();
    for table in [Table::Declared, Table::Targets] {
        other.apply(table, known.newer_than(table, 0), Learned::Peer, ms(10));
    }
    let view = other.publish().unwrap();
    assert!(view.is_able());
    assert_eq!(names(&view), ["t1", "t2"]);
}

#[test]
fn weights_named_before_the_start_have_no_known_age() {
    let mut beliefs = Beliefs::new(decode(), GRACE);
    let first = snapshot(3, [row("version/m", "weights m 2", 3)]);
    beliefs.replace(Table::Declared, first, ms(100));
    assert_eq!(beliefs.publish().unwrap().weights["m"].newest_at(), None);
    let next = snapshot(4, [row("version/m", "weights m 3", 4)]);
    beliefs.apply(Table::Declared, next, Learned::Store, ms(200));
    let view = beliefs.publish().unwrap();
    let named = &view.weights["m"];
    assert_eq!((named.newest(), named.newest_at()), (3, Some(ms(200))));
}

#[test]
fn a_hosts_entry_can_be_removed_only_as_it_was_seen() {
    let mut beliefs = beliefs();
    assert_eq!(beliefs.version_of(Table::Targets, "t1"), Some(5));
    beliefs.apply(
        Table::Targets,
        snapshot(8, [removed("t1", 8)]),
        Learned::Store,
        ms(10),
    );
    assert_eq!(beliefs.version_of(Table::Targets, "t1"), None);
}
