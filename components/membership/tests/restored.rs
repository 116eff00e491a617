//! The lease for orders when the table service comes back from an older copy.

use std::time::Duration;

use membership::{
    Identity, LeaseEffect, LeaseInput, LeaseRow, LeaseRules, LoadSlot, OrderLease, WriteOutcome,
};
use metadata::Expect;
use utils::{Epoch, Monotonic, TargetId};

/// Lowest fencing token after the restore.
const NEXT_ERA: Epoch = 1 << 32;

/// The lease's row with its version.
type Row = Option<(LeaseRow, u64)>;

fn secs(secs: u64) -> Monotonic {
    Duration::from_secs(secs)
}

fn lease(name: &str) -> OrderLease {
    let own = Identity {
        id: name.into(),
        region: "north".into(),
        incarnation: 1,
    };
    OrderLease::new(own, LeaseRules::default())
}

/// Steps in which a host has read the row and, if it may, written it.
const STEPS: usize = 4;

/// Lets a host read and write the row.
fn step(lease: &mut OrderLease, row: &mut Row, now: Monotonic) {
    for _ in 0..STEPS {
        let Some(effect) = lease.step(LeaseInput::Tick { wanted: true }, now) else {
            return;
        };
        let input = match effect {
            LeaseEffect::Read => LeaseInput::Read(row.clone()),
            LeaseEffect::Write {
                expect, row: next, ..
            } => {
                let version = row.as_ref().map_or(0, |(_, version)| *version);
                let is_expected = match expect {
                    Expect::Absent => row.is_none(),
                    Expect::Version(expected) => expected == version,
                };
                match is_expected {
                    true => {
                        *row = Some((next, version + 1));
                        LeaseInput::Written(WriteOutcome::Applied(version + 1))
                    }
                    false => LeaseInput::Written(WriteOutcome::Refused),
                }
            }
        };
        lease.step(input, now);
    }
}

/// Lets a host take the lease whose row the restored service does not have; returns the time at which it has it.
fn take_without_row(lease: &mut OrderLease, row: &mut Row, now: Monotonic) -> Monotonic {
    step(lease, row, now);
    let taken = now + LeaseRules::default().length;
    step(lease, row, taken);
    taken
}

fn restore(lease: &mut OrderLease, now: Monotonic) {
    let restored = LeaseInput::Restored {
        first_epoch: NEXT_ERA,
    };
    lease.step(restored, now);
}

fn epoch(lease: &OrderLease, now: Monotonic) -> Option<Epoch> {
    lease.epoch_for(&TargetId::from("engine-1"), false, now)
}

// Guards against two holders with one fencing token, one before the restore and one after it.
#[test]
fn a_holder_after_a_restore_has_a_token_above_all_earlier_ones() {
    let (mut one, mut other, mut row) = (lease("one"), lease("other"), None);
    step(&mut one, &mut row, secs(1));
    let before = epoch(&one, secs(1)).unwrap();
    row = None;
    restore(&mut other, secs(2));
    take_without_row(&mut other, &mut row, secs(2));
    let (held, _) = row.unwrap();
    assert_eq!(&*held.holder, "other");
    assert!(held.epoch >= NEXT_ERA && held.epoch > before);
}

// Guards against a turn between two holders: the copy does not have the row of a holder that has not seen the restore.
#[test]
fn a_lease_whose_row_is_lost_lapses_before_another_host_takes_it() {
    let (mut one, mut other, mut row) = (lease("one"), lease("other"), None);
    step(&mut one, &mut row, secs(1));
    row = None;
    restore(&mut other, secs(1));
    for at in [1, 3, 5, 7, 9, 10] {
        step(&mut other, &mut row, secs(at));
        assert!(!other.is_held(secs(at)), "taken after {at} s");
    }
    step(&mut other, &mut row, secs(11));
    assert!(!one.is_held(secs(11)));
    assert!(other.is_held(secs(11)));
}

// Guards against a holder of before the restore that goes on giving orders.
#[test]
fn a_lease_ends_with_the_restore() {
    let (mut one, mut row) = (lease("one"), None);
    step(&mut one, &mut row, secs(1));
    assert!(epoch(&one, secs(2)).is_some());
    restore(&mut one, secs(2));
    assert_eq!(epoch(&one, secs(2)), None);
}

// Guards against a host that goes on with the lower token that the copy has for it.
#[test]
fn a_host_whose_own_row_is_in_the_copy_takes_a_new_token() {
    let (mut one, mut row) = (lease("one"), None);
    step(&mut one, &mut row, secs(1));
    let copy = row.clone();
    restore(&mut one, secs(2));
    row = copy;
    step(&mut one, &mut row, secs(2));
    assert_eq!(row.unwrap().0.epoch, NEXT_ERA);
}

// Guards against a turn between two holders when the copy does not have the loads of the first.
#[test]
fn the_first_holder_after_a_restore_waits_for_orders_in_flight_at_any_target() {
    let latency = LeaseRules::default().max_order_latency;
    let (mut one, mut row) = (lease("one"), None);
    restore(&mut one, secs(1));
    let taken = take_without_row(&mut one, &mut row, secs(1));
    assert_eq!(epoch(&one, taken + latency - Duration::from_millis(1)), None);
    assert!(
        one.epoch_for(&TargetId::from("engine-1"), true, taken).is_some(),
        "targets that check fencing tokens refuse older orders themselves"
    );
    assert_eq!(epoch(&one, taken + latency), Some(NEXT_ERA));
}

// Guards against a wait at every change of holders: within an era the row has all loads.
#[test]
fn a_later_holder_of_the_same_era_waits_only_for_the_loads_in_the_row() {
    let (mut one, mut other, mut row) = (lease("one"), lease("other"), None);
    for lease in [&mut one, &mut other] {
        restore(lease, secs(1));
    }
    let taken = take_without_row(&mut one, &mut row, secs(1));
    let slot = LoadSlot {
        target: "engine-2".into(),
        model: "m".into(),
        version: 2,
    };
    one.step(LeaseInput::Start(slot), taken);
    step(&mut one, &mut row, taken);
    step(&mut other, &mut row, taken);
    let lapsed = taken + LeaseRules::default().length;
    step(&mut other, &mut row, lapsed);
    assert_eq!(epoch(&other, lapsed), Some(NEXT_ERA + 1));
    assert_eq!(other.epoch_for(&"engine-2".into(), false, lapsed), None);
}

// Guards against a write of before the restore that is confirmed after it.
#[test]
fn an_answer_to_a_write_of_before_the_restore_gives_no_lease() {
    let (mut one, now) = (lease("one"), secs(1));
    one.step(LeaseInput::Tick { wanted: true }, now);
    one.step(LeaseInput::Read(None), now);
    let write = one.step(LeaseInput::Tick { wanted: true }, now);
    assert!(matches!(write, Some(LeaseEffect::Write { .. })));
    restore(&mut one, now);
    one.step(LeaseInput::Written(WriteOutcome::Applied(1)), now);
    assert!(!one.is_held(now));
}
