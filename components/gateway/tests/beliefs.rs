//! What a host believes, when the store answers late, stale or not at all.

mod support;

use std::time::Duration;

use gateway::ports::Table;
use gateway::{Beliefs, Learned, Told, View};
use support::{decode, ms, removed, row, snapshot};

/// Time for which an entry that is missing after an outage may still come back.
const GRACE: Duration = Duration::from_millis(2_000);

fn beliefs() -> Beliefs {
    let mut beliefs = Beliefs::new(decode(), GRACE);
    let rows = [row("t1", "target s 1", 5), row("t2", "target s 1", 6)];
    beliefs.replace(Table::Targets, snapshot(6, rows), Learned::Store, ms(0));
    beliefs.replace(
        Table::Declared,
        snapshot(7, [row("config", "declared 3", 7)]),
        Learned::Store,
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
    beliefs.replace(Table::Targets, snapshot(1, []), Learned::Store, ms(0));
    assert!(!beliefs.publish().unwrap().is_able());
    beliefs.replace(
        Table::Declared,
        snapshot(2, [row("config", "declared 1", 2)]),
        Learned::Store,
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
        Learned::Store,
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
    beliefs.replace(Table::Targets, snapshot(20, []), Learned::Store, ms(1_000));
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
    let Some(Told::Newer(told)) = beliefs.newer_than(Table::Targets, 5) else {
        panic!("the other host lacks one row");
    };
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
        other.hear(table, known.newer_than(table, 0).unwrap(), ms(10));
    }
    let view = other.publish().unwrap();
    assert!(view.is_able());
    assert_eq!(names(&view), ["t1", "t2"]);
}

#[test]
fn weights_named_before_the_start_have_no_known_age() {
    let mut beliefs = Beliefs::new(decode(), GRACE);
    let first = snapshot(3, [row("version/m", "weights m 2", 3)]);
    beliefs.replace(Table::Declared, first, Learned::Store, ms(100));
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

/// A target of each of `count` replacements comes and goes, one a second.
fn replace_often(beliefs: &mut Beliefs, count: u64) {
    for number in 0..count {
        let version = 100 + 2 * number;
        let now = ms(1_000 * number);
        let key = format!("new{number}");
        let come = snapshot(version, [row(&key, "target s 1", version)]);
        beliefs.apply(Table::Targets, come, Learned::Store, now);
        let gone = snapshot(version + 1, [removed(&key, version + 1)]);
        beliefs.apply(Table::Targets, gone, Learned::Store, now);
        beliefs.tick(now);
    }
}

#[test]
fn removed_rows_are_remembered_for_a_minute() {
    let mut beliefs = beliefs();
    replace_often(&mut beliefs, 1_000);
    assert!(beliefs.removals() <= 60, "{} removals", beliefs.removals());
}

#[test]
fn a_host_that_is_far_behind_gets_the_whole_table() {
    let mut known = beliefs();
    let mut other = beliefs();
    replace_often(&mut other, 1);
    let lost = snapshot(150, [row("new7", "target s 1", 120)]);
    other.apply(Table::Targets, lost, Learned::Store, ms(10));
    replace_often(&mut known, 200);
    let told = known.newer_than(Table::Targets, 150).unwrap();
    assert!(matches!(told, Told::All(_)));
    other.hear(Table::Targets, told, ms(200_000));
    assert_eq!(names(&other.publish().unwrap()), ["t1", "t2"]);
}

#[test]
fn a_removal_that_is_forgotten_is_not_undone_by_an_older_row() {
    let mut beliefs = beliefs();
    replace_often(&mut beliefs, 200);
    let late = snapshot(101, [row("new0", "target s 1", 100)]);
    beliefs.hear(Table::Targets, Told::Newer(late), ms(201_000));
    assert_eq!(names(&beliefs.publish().unwrap()), ["t1", "t2"]);
}

#[test]
fn a_host_does_not_call_targets_gone_that_may_only_have_lapsed() {
    let mut known = beliefs();
    known.store_failed();
    known.store_answered(ms(1_000));
    known.replace(Table::Targets, snapshot(20, []), Learned::Store, ms(1_000));
    assert_eq!(known.newer_than(Table::Targets, 6), None);
    known.tick(ms(3_000));
    let mut other = beliefs();
    other.store_failed();
    other.hear(
        Table::Targets,
        known.newer_than(Table::Targets, 6).unwrap(),
        ms(3_100),
    );
    assert!(names(&other.publish().unwrap()).is_empty());
}
