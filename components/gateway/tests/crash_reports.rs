//! Calls to the store for reports of crashes, in virtual time.

mod support;

use std::collections::HashSet;
use std::time::Duration;

use gateway::ports::Table;
use gateway::{
    AnswerStage, CachedState, Crash, CrashEvidence, CrashReports, CrashRowValue, Fingerprint, FurtherCrash,
    PartFingerprint, SuspectPart, UpdateSource,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use support::{decode, ms, row, snapshot};

/// Entry hosts.
const HOSTS: usize = 85;
/// Crashes of targets in a minute, and the requests of all hosts in flight at each.
const CRASHES: u64 = 211;
const IN_FLIGHT: u64 = 25;
const SIMULATED_MS: u64 = 60_000;
const STEP_MS: u64 = 100;
/// Longest time until strong evidence is written in such a minute.
const MAX_STRONG_DELAY_MS: u64 = 15_000;

/// A request in flight at the crash of a target; `has_begun` if the target had just begun to answer it.
fn crash(number: u64, run: u64, at: u64, has_begun: bool) -> Crash {
    let part = PartFingerprint::of("m", &format!("p{}", number % 50));
    Crash {
        fingerprint: Fingerprint::of("/a/", "mill", &number.to_le_bytes()),
        address: ([127, 0, 0, 1], 1).into(),
        count: 1,
        run: format!("t/{run}").into(),
        stage: if has_begun {
            AnswerStage::Head
        } else {
            AnswerStage::Events
        },
        at: ms(at),
        parts: match has_begun {
            true => vec![SuspectPart {
                part,
                has_succeeded: false,
            }],
            false => Vec::new(),
        },
    }
}

// Guards against calls to the store that rise with each crash: one row for each request in flight, and its removal.
#[test]
fn a_minute_of_crashes_costs_a_bounded_number_of_rows_and_drops_no_evidence() {
    let mut rng = StdRng::seed_from_u64(5);
    let mut hosts: Vec<_> = (0..HOSTS).map(|_| CrashReports::default()).collect();
    let (mut rows, mut reported) = (0, HashSet::new());
    let mut crashes = 0;
    let mut longest_wait = 0;
    for at in (0..SIMULATED_MS + 30_000).step_by(STEP_MS as usize) {
        while crashes < CRASHES && at >= crashes * SIMULATED_MS / CRASHES {
            for number in 0..IN_FLIGHT {
                let crash = crash(crashes * IN_FLIGHT + number, crashes, at, number == 0);
                assert_eq!(hosts[rng.random_range(0..HOSTS)].add(crash), None);
            }
            crashes += 1;
        }
        for host in &mut hosts {
            let row = host.take_row(HOSTS, ms(at));
            rows += u64::from(!row.is_empty());
            for crash in row {
                assert!(reported.insert(crash.fingerprint), "reported twice");
                if crash.stage == AnswerStage::Head {
                    longest_wait = longest_wait.max(at - crash.at.as_millis() as u64);
                }
            }
        }
    }
    assert_eq!(reported.len() as u64, CRASHES * IN_FLIGHT);
    // One row for each request were 5,275.
    assert!(rows <= 1_100, "{rows} rows");
    assert!(longest_wait <= MAX_STRONG_DELAY_MS, "{longest_wait} ms");
}

#[test]
fn the_first_crashes_after_a_quiet_time_are_reported_at_once_with_the_strongest_first() {
    let mut reports = CrashReports::default();
    for number in 0..40 {
        reports.add(crash(number, 1, 1_000, number == 17));
    }
    let row = reports.take_row(HOSTS, ms(1_000));
    assert_eq!((row.len(), row[0].stage), (32, AnswerStage::Head));
    assert_eq!(reports.take_row(HOSTS, ms(1_000)).len(), 8);
    // Bystanders wait for a further row; requests that may have waited in the target's queue don't, and leave one for the
    // request that a target had just begun.
    let no_head = |number| Crash {
        stage: AnswerStage::NoHead,
        ..crash(number, 2, 1_100, false)
    };
    reports.add(crash(100, 2, 1_100, false));
    assert!(reports.take_row(HOSTS, ms(1_100)).is_empty());
    reports.add(no_head(101));
    assert_eq!(reports.take_row(HOSTS, ms(1_100)).len(), 2);
    reports.add(no_head(102));
    assert!(reports.take_row(HOSTS, ms(1_100)).is_empty());
    reports.add(crash(103, 2, 1_100, true));
    assert_eq!(reports.take_row(HOSTS, ms(1_100)).len(), 2);
}

// Guards against the loss of all requests of a row during an outage of the store, and against reports without end.
#[test]
fn requests_of_a_row_that_could_not_be_written_wait_within_bounds() {
    let mut reports = CrashReports::default();
    let mut now = ms(1_000);
    reports.add(crash(0, 1, 1_000, true));
    let row = reports.take_row(HOSTS, now);
    assert_eq!(reports.put_back(row, now), []);
    let row = reports.take_row(HOSTS, now);
    assert_eq!((row.len(), reports.is_empty()), (1, true));
    for number in 1..257 {
        assert_eq!(reports.add(crash(number, 2, 2_000, false)), None);
    }
    let dropped = reports.put_back(row.clone(), now);
    assert_eq!((dropped.len(), dropped[0].stage), (1, AnswerStage::Events));
    now += Duration::from_secs(120);
    assert_eq!(reports.put_back(row.clone(), now), row);
}

#[test]
fn each_request_of_a_row_counts_for_its_quarantine() {
    let evidence = |run: &str| CrashEvidence {
        run: run.into(),
        stage: AnswerStage::Events,
        at: Some(Duration::ZERO),
        parts: Vec::new(),
    };
    let mut state = CachedState::new(decode(), Duration::from_secs(2));
    for (version, first) in [(1, "one"), (2, "two")] {
        let value = CrashRowValue {
            first: evidence(first),
            count: Some(1),
            others: vec![FurtherCrash {
                request: request("bad"),
                count: 1,
                evidence: evidence(first),
            }],
        };
        let key = format!("crash/{}/{first}/1", request(first).text());
        let text = serde_json::to_string(&value).unwrap();
        // Hosts of earlier versions read the first request.
        assert_eq!(
            serde_json::from_str::<CrashEvidence>(&text).unwrap(),
            evidence(first)
        );
        let rows = snapshot(version, [row(&key, &text, version)]);
        state.apply(Table::Shared, rows, UpdateSource::Store, ms(0));
    }
    assert_eq!(state.publish().unwrap().quarantined, [request("bad")].into());
}

fn request(body: &str) -> Fingerprint {
    Fingerprint::of("/a/", "mill", body.as_bytes())
}

/// Applies rows of hosts on requests with their counts; the first request of each is that of its key.
fn apply(state: &mut CachedState, version: u64, key: &str, requests: &[(&str, u32)]) {
    let evidence = CrashEvidence {
        run: format!("t/{version}").into(),
        stage: AnswerStage::Events,
        at: Some(Duration::ZERO),
        parts: Vec::new(),
    };
    let others = requests[1..].iter().map(|(body, count)| FurtherCrash {
        request: request(body),
        count: *count,
        evidence: evidence.clone(),
    });
    let value = CrashRowValue {
        others: others.collect(),
        count: Some(requests[0].1),
        first: evidence.clone(),
    };
    let text = serde_json::to_string(&value).unwrap();
    let rows = snapshot(version, [row(key, &text, version)]);
    assert!(
        state
            .apply(Table::Shared, rows, UpdateSource::Store, ms(0))
            .is_empty()
    );
}

// Guards against the loss of the evidence in a row when its first request is in flight at another crash after a
// success or a restart.
#[test]
fn a_crash_after_a_success_or_a_restart_replaces_no_row() {
    let mut state = CachedState::new(decode(), Duration::from_secs(2));
    let first = request("first");
    let mut reports = CrashReports::default();
    let mut restarted = CrashReports::default();
    let keys = [
        reports.next_key(&first, "a", 7),
        reports.next_key(&first, "a", 7),
        restarted.next_key(&first, "a", 8),
    ];
    for (version, (key, other)) in (1..).zip(keys.iter().zip(["x", "y", "z"])) {
        apply(&mut state, version, key, &[("first", 1), (other, 1)]);
    }
    let key = CrashReports::default().next_key(&request("x"), "b", 1);
    apply(&mut state, 9, &key, &[("x", 1), ("y", 1), ("z", 1)]);
    let quarantined = state.publish().unwrap().quarantined;
    assert_eq!(quarantined, ["x", "y", "z"].map(request).into());
}

// Guards against the quarantine of popular requests that succeed between two crashes, in rows of any version.
#[test]
fn a_crash_after_a_success_at_the_same_host_counts_once() {
    let mut state = CachedState::new(decode(), Duration::from_secs(2));
    let mut reports = CrashReports::default();
    for version in 1..4 {
        let key = reports.next_key(&request("r"), "a", 7);
        apply(&mut state, version, &key, &[("r", 1), ("popular", 1)]);
    }
    let old_key = format!("crash/{}/a/1", request("r").text());
    let rows = snapshot(4, [row(&old_key, "", 4)]);
    state.apply(Table::Shared, rows, UpdateSource::Store, ms(0));
    assert!(state.publish().unwrap().quarantined.is_empty());
    let key = reports.next_key(&request("r"), "a", 7);
    apply(&mut state, 5, &key, &[("r", 2), ("popular", 2)]);
    let quarantined = state.publish().unwrap().quarantined;
    assert_eq!(quarantined, ["r", "popular"].map(request).into());
}

// Guards against the quarantine of a bystander by the longer retention of a row for another request in it.
#[test]
fn a_bystander_is_forgotten_before_the_request_that_supports_a_quarantine() {
    let mut state = CachedState::new(decode(), Duration::from_secs(2));
    for number in 0..2 {
        let bad = crash(number * 50, number, 2_000 * number, true);
        let evidence = |parts: &[SuspectPart], stage| CrashEvidence {
            run: bad.run.clone(),
            stage,
            at: Some(bad.at),
            parts: parts.to_vec(),
        };
        let value = CrashRowValue {
            first: evidence(&bad.parts, bad.stage),
            count: Some(1),
            others: vec![FurtherCrash {
                request: request("bystander"),
                count: 1,
                evidence: evidence(&[], AnswerStage::Events),
            }],
        };
        let key = CrashReports::default().next_key(&bad.fingerprint, "a", 7);
        let rows = [row(&key, &serde_json::to_string(&value).unwrap(), number + 1)];
        let rows = snapshot(number + 1, rows);
        state.apply(Table::Shared, rows, UpdateSource::Store, ms(0));
    }
    let quarantined = |state: &mut CachedState| state.publish().map(|view| view.parts.quarantined.len());
    assert_eq!(quarantined(&mut state), Some(1));
    state.tick(ms(119_000));
    assert_eq!(quarantined(&mut state), None);
    state.tick(ms(120_000));
    assert_eq!(quarantined(&mut state), Some(1));
    assert!(state.expired_crashes(ms(599_000)).is_empty());
    let key = CrashReports::default().next_key(&request("bystander"), "b", 7);
    apply(&mut state, 3, &key, &[("bystander", 1)]);
    assert!(state.publish().unwrap().quarantined.is_empty());
}
