//! Quarantine of requests that crash their targets, with crashes seen by several hosts.

mod support;

use std::time::Duration;

use gateway::ports::Table;
use gateway::{CachedState, Crashes, Fingerprint, UpdateSource};
use support::{decode, ms, removed, row, snapshot};

fn fingerprint(body: &str) -> Fingerprint {
    Fingerprint::of("/a/", "mill", body.as_bytes())
}

fn key(body: &str, host: &str, number: u32) -> String {
    format!("crash/{}/{host}/{number}", fingerprint(body).text())
}

fn state() -> CachedState {
    CachedState::new(decode(), Duration::from_secs(2))
}

#[test]
fn one_crash_at_each_of_two_hosts_quarantines_a_request() {
    let mut state = state();
    let rows = [
        row(&key("bad", "one", 1), "", 1),
        row(&key("good", "one", 1), "", 2),
    ];
    state.apply(Table::Shared, snapshot(2, rows), UpdateSource::Store, ms(0));
    assert!(state.publish().unwrap().quarantined.is_empty());
    let rows = [row(&key("bad", "two", 1), "", 3)];
    state.apply(Table::Shared, snapshot(3, rows), UpdateSource::Store, ms(100));
    let quarantined = state.publish().unwrap().quarantined;
    assert!(quarantined.contains(&fingerprint("bad")) && quarantined.len() == 1);
}

#[test]
fn old_crashes_are_listed_for_removal_and_forgotten_once_removed() {
    let mut state = state();
    let rows = [
        row(&key("bad", "one", 1), "", 1),
        row(&key("bad", "one", 2), "", 2),
    ];
    state.apply(Table::Shared, snapshot(2, rows), UpdateSource::Store, ms(0));
    assert!(state.expired_crashes(Duration::from_secs(119)).is_empty());
    assert_eq!(state.expired_crashes(Duration::from_secs(120)).len(), 2);
    let rows = [removed(&key("bad", "one", 1), 3)];
    state.apply(Table::Shared, snapshot(3, rows), UpdateSource::Store, ms(0));
    assert!(state.publish().unwrap().quarantined.is_empty());
}

#[test]
fn two_crashes_quarantine_a_request_until_a_success() {
    let mut crashes = Crashes::default();
    let bad = fingerprint("bad");
    assert_eq!(crashes.record_crash(bad, ms(0)), 1);
    assert!(!crashes.is_quarantined(&bad));
    assert_eq!(crashes.record_crash(bad, ms(10)), 2);
    assert!(crashes.is_quarantined(&bad));
    crashes.record_success(&bad);
    assert!(!crashes.is_quarantined(&bad));
}
