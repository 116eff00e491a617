//! Which targets a request may be sent to: allowed regions, evacuated failure domains, and what targets have said.

mod support;

use std::collections::HashSet;
use std::time::Duration;

use gateway::ports::{Snapshot, Table};
use gateway::{
    AllowedRegions, Announcements, CachedState, Exclusion, OldWeightsPolicy, PlacementRules, Position,
    Regions, TableUpdate, UpdateSource,
};
use support::{at, decode, in_era, ms, removed, row, snapshot, target};

const NOW: Duration = Duration::from_secs(100);

fn only(regions: &[&str]) -> AllowedRegions {
    AllowedRegions::Only(regions.iter().map(|region| (*region).into()).collect())
}

/// Returns the reason for a target in failure domain `a`, which is in the north.
fn exclusion(
    [route, workspace]: [&AllowedRegions; 2],
    evacuated: &[&str],
    announcements: &Announcements,
) -> Option<Exclusion> {
    let regions: Regions = [("a".into(), "north".into()), ("b".into(), "south".into())].into();
    let evacuated: HashSet<_> = evacuated.iter().map(|domain| (*domain).into()).collect();
    let rules = PlacementRules {
        regions: &regions,
        allowed: [route, workspace, &AllowedRegions::Any, &AllowedRegions::Any],
        evacuated: &evacuated,
        software: None,
        announcements,
        tried: &[],
        cold_quota_used: &[],
        limit_used: &[],
        now: NOW,
    };
    rules.exclusion(&target("t1", 1), OldWeightsPolicy::Allowed)
}

// Guards against a rule of the route or of the workspace that the other one lifts, and against a target of an unknown
// region that counts as allowed.
#[test]
fn a_target_must_be_in_a_region_that_route_and_workspace_allow() {
    let (any, north, south) = (AllowedRegions::Any, only(&["north"]), only(&["south", "east"]));
    let reason = |route, workspace| exclusion([route, workspace], &[], &Announcements::default());
    assert_eq!(reason(&any, &any), None);
    assert_eq!(reason(&north, &any), None);
    for (route, workspace) in [(&south, &any), (&any, &south), (&north, &south), (&south, &north)] {
        assert_eq!(reason(route, workspace), Some(Exclusion::OutsideAllowedRegions));
    }
    assert_eq!(reason(&any, &only(&[])), Some(Exclusion::OutsideAllowedRegions));
    let mut unknown = target("t1", 1);
    unknown.domain = "elsewhere".into();
    let rules = |allowed| {
        PlacementRules {
            regions: const { &Regions::new() },
            allowed: [allowed, &any, &any, &any],
            evacuated: &HashSet::new(),
            software: None,
            announcements: &Announcements::default(),
            tried: &[],
            cold_quota_used: &[],
            limit_used: &[],
            now: NOW,
        }
        .exclusion(&unknown, OldWeightsPolicy::Allowed)
    };
    assert_eq!(rules(&any), None);
    assert_eq!(rules(&north), Some(Exclusion::OutsideAllowedRegions));
}

// Guards against a refusal that names a reason which ends by itself while the operator's rule stays.
#[test]
fn the_operators_rules_come_before_what_targets_say() {
    let (any, south) = (AllowedRegions::Any, only(&["south"]));
    let mut said = Announcements::default();
    said.record_pause(&target("t1", 1).run, Duration::from_secs(9), NOW);
    assert_eq!(exclusion([&any, &any], &["b"], &said), Some(Exclusion::Paused));
    assert_eq!(exclusion([&any, &any], &["a"], &said), Some(Exclusion::Evacuated));
    let both = exclusion([&any, &south], &["a"], &said);
    assert_eq!(both, Some(Exclusion::OutsideAllowedRegions));
}

/// Returns the state of a host that has read an evacuation of `a` and a declaration in era 0.
fn evacuated() -> CachedState {
    let mut state = CachedState::new(decode(), Duration::from_secs(2));
    state.replace(Table::Targets, snapshot(6, []), UpdateSource::Store, ms(0));
    let rows = [row("config", "declared 3", 7), row("evacuate/a", "{}", 8)];
    state.replace(Table::Declared, snapshot(8, rows), UpdateSource::Store, ms(0));
    state
}

/// Returns the evacuated failure domains, sorted.
fn domains(state: &mut CachedState) -> Vec<String> {
    // A change of another table makes the state publish a view.
    state.replace(Table::Shared, snapshot(1, []), UpdateSource::Store, ms(0));
    let view = state.publish().unwrap();
    let mut domains: Vec<_> = view.evacuated.iter().map(|domain| domain.to_string()).collect();
    domains.sort_unstable();
    domains
}

fn change(state: &mut CachedState, rows: Snapshot) {
    state.apply(Table::Declared, rows, UpdateSource::Store, ms(10));
}

/// Reads the declared table of the store after a restore.
fn restore(state: &mut CachedState, era: u64, rows: Snapshot, now_ms: u64) {
    state.replace(
        Table::Declared,
        in_era(era, rows),
        UpdateSource::Store,
        ms(now_ms),
    );
}

// Guards against an evacuation that outlives its row, or that ends with another row or with odd content.
#[test]
fn an_evacuation_ends_with_its_row() {
    let mut state = evacuated();
    change(
        &mut state,
        snapshot(9, [row("evacuate/b", "", 9), row("evacuate/a", "odd", 9)]),
    );
    assert_eq!(domains(&mut state), ["a", "b"]);
    change(
        &mut state,
        snapshot(11, [removed("evacuate/a", 10), removed("config", 11)]),
    );
    assert_eq!(domains(&mut state), ["b"]);
    // A late answer with the row from before its removal.
    change(&mut state, snapshot(9, [row("evacuate/a", "{}", 9)]));
    let stale = snapshot(9, [row("evacuate/a", "{}", 9)]);
    state.replace(Table::Declared, stale, UpdateSource::Store, ms(20));
    assert_eq!(domains(&mut state), ["b"]);
    // A full read that no longer has the row.
    state.replace(Table::Declared, snapshot(12, []), UpdateSource::Store, ms(30));
    assert!(domains(&mut state).is_empty());
}

// Guards against an evacuation, or the end of one, that a host learns only from the store itself.
#[test]
fn evacuations_pass_from_host_to_host() {
    let mut first = evacuated();
    let mut second = CachedState::new(decode(), Duration::from_secs(2));
    let forward = |from: &CachedState, to: &mut CachedState| {
        let known = to.complete_position(Table::Declared).unwrap_or_default();
        let update = from.changes_since(Table::Declared, known).unwrap();
        to.apply_update(Table::Declared, update, ms(20));
    };
    forward(&first, &mut second);
    assert_eq!(domains(&mut second), ["a"]);
    change(&mut first, snapshot(9, [removed("evacuate/a", 9)]));
    forward(&first, &mut second);
    assert!(domains(&mut second).is_empty());
    // A host that has missed the removal and gets the whole table.
    let mut third = evacuated();
    let whole = TableUpdate::All(snapshot(12, [row("config", "declared 3", 7)]));
    third.apply_update(Table::Declared, whole, ms(30));
    assert!(domains(&mut third).is_empty());
    assert_eq!(third.complete_position(Table::Declared), Some(at(12)));
}

// Guards against an evacuation that a restore of the store undoes, or that nothing can end after one.
#[test]
fn a_restore_does_not_undo_an_evacuation() {
    let copy = || snapshot(7, [row("config", "declared 3", 7)]);
    let mut state = evacuated();
    restore(&mut state, 1, copy(), 1_000);
    assert_eq!(domains(&mut state), ["a"]);
    // The operator writes the row again and removes it.
    let rewritten = in_era(1, snapshot(8, [row("evacuate/a", "{}", 8)]));
    change(&mut state, rewritten);
    state.tick(ms(10_000_000));
    assert_eq!(domains(&mut state), ["a"]);
    change(&mut state, in_era(1, snapshot(9, [removed("evacuate/a", 9)])));
    assert!(domains(&mut state).is_empty());
    // A restore that has the row again, as the copy was made before its removal.
    restore(
        &mut state,
        2,
        snapshot(8, [row("config", "declared 3", 7), row("evacuate/a", "{}", 8)]),
        2_000,
    );
    assert_eq!(domains(&mut state), ["a"]);
    // A removal of a row that the restored store does not have.
    restore(&mut state, 3, copy(), 3_000);
    change(&mut state, in_era(3, snapshot(8, [removed("evacuate/a", 8)])));
    assert!(domains(&mut state).is_empty());
    assert_eq!(
        state.complete_position(Table::Declared),
        Some(Position::new(3, 8))
    );
}

// Guards against an evacuation that stays for good because the operator can not see it in the restored store.
#[test]
fn an_evacuation_whose_row_is_lost_ends_after_a_time() {
    let mut state = evacuated();
    restore(
        &mut state,
        1,
        snapshot(7, [row("config", "declared 3", 7)]),
        1_000,
    );
    state.tick(ms(1_000 + 599_000));
    assert_eq!(domains(&mut state), ["a"]);
    state.tick(ms(1_000 + 600_000));
    assert!(state.publish().unwrap().evacuated.is_empty());
}
