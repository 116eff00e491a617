//! Explores the specification of release notes: all states without built-in faults, and each built-in fault.

use specs::{NotesInvariant, NotesMutant, NotesSpec, explore, fewest_steps};

fn assert_holds(spec: &NotesSpec) {
    let found = explore(spec);
    println!("{found}");
    assert!(found.states().is_some());
}

fn assert_caught(spec: NotesSpec, mutant: NotesMutant) {
    let found = explore(&spec.with(mutant));
    println!("{mutant:?}: {found}");
    assert_eq!(found.broken(), Some(NotesInvariant::InForce));
}

#[test]
fn three_hosts_hold() {
    assert_holds(&NotesSpec::three_hosts());
}

#[test]
fn hosts_that_serve_alone_hold() {
    assert_holds(&NotesSpec::serving_alone());
}

#[test]
fn abandoned_changes_hold() {
    assert_holds(&NotesSpec::abandoned());
}

#[test]
fn a_restart_holds() {
    assert_holds(&NotesSpec::restarted());
}

#[test]
fn a_replaced_host_holds() {
    assert_holds(&NotesSpec::replaced());
}

#[test]
fn a_removed_partition_holds() {
    assert_holds(&NotesSpec::removed_partition());
}

#[test]
fn the_change_can_be_accepted() {
    let spec = NotesSpec::three_hosts();
    assert!(fewest_steps(&spec, |state| state.accepted() == 2).is_some());
}

#[test]
fn mutant_no_overlap_is_caught() {
    assert_caught(NotesSpec::three_hosts(), NotesMutant::NoOverlap);
}

#[test]
fn mutant_count_received_is_caught() {
    assert_caught(NotesSpec::three_hosts(), NotesMutant::CountReceived);
}

#[test]
fn mutant_no_wait_is_caught() {
    assert_caught(NotesSpec::three_hosts(), NotesMutant::NoWait);
}

#[test]
fn mutant_enforce_staged_only_is_caught() {
    assert_caught(NotesSpec::three_hosts(), NotesMutant::EnforceStagedOnly);
}

#[test]
fn mutant_enforce_head_only_is_caught() {
    assert_caught(NotesSpec::three_hosts(), NotesMutant::EnforceHeadOnly);
}

#[test]
fn mutant_no_lapse_is_caught() {
    assert_caught(NotesSpec::serving_alone(), NotesMutant::NoLapse);
}

#[test]
fn mutant_any_incarnation_is_caught() {
    assert_caught(NotesSpec::replaced(), NotesMutant::AnyIncarnation);
}

#[test]
fn mutant_unversioned_roster_is_caught() {
    assert_caught(NotesSpec::removed_partition(), NotesMutant::UnversionedRoster);
}

#[test]
fn mutant_head_roster_only_is_caught() {
    assert_caught(NotesSpec::removed_partition(), NotesMutant::HeadRosterOnly);
}
