//! The quota of sends to cold targets: the bound over all hosts, and what makes a target cold.

mod support;

use std::collections::BTreeSet;
use std::ops::Range;
use std::time::Duration;

use gateway::ports::Table;
use gateway::{ColdBound, ColdEntry, ColdLimit, ColdPermit, ColdRules, ColdTargets, StoreClock, pause_after};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use support::{row, snapshot};
use utils::HostId;

/// Time simulated per case, in milliseconds.
const SIMULATED_MS: u64 = 90_000;
/// Interval at which each host asks for a send.
const STEP_MS: u64 = 20;
/// Longest time until a host sees a change of the list of hosts.
const MAX_LIST_DELAY_MS: u64 = 4_500;
/// Interval at which a host that is not cut off has its list confirmed.
const CONFIRM_INTERVAL_MS: u64 = 1_000;
/// Time after which the other hosts remove a host that is cut off.
const REMOVAL_MS: u64 = 6_000;
/// Largest difference between two hosts' estimates of the store's time.
const MAX_CLOCK_ERROR_MS: u64 = 80;
/// Longest time until a request arrives.
const MAX_TRANSIT_MS: u64 = 70;
/// The cold target.
const TARGET: &str = "t1";

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn rules() -> ColdRules {
    let limit = ColdLimit {
        duration: Duration::from_secs(8),
        per_second: 16.0,
    };
    let bound = ColdBound {
        overrun: 1.5,
        slack: 5.0,
    };
    ColdRules::new(limit, &bound)
}

/// Returns the store's clock that shows this time when the host's clock starts.
fn clock(offset: Duration) -> StoreClock {
    let mut clock = StoreClock::default();
    clock.record(offset, Duration::ZERO);
    clock
}

fn entry(run: &str, remaining: Option<u64>) -> ColdEntry {
    ColdEntry {
        instance: TARGET.to_owned(),
        run: run.into(),
        service: "s".into(),
        remaining: remaining.map(ms),
    }
}

/// A host of the simulation.
struct Host {
    name: HostId,
    state: ColdTargets,
    joins_at: u64,
    /// Time in which half of the hosts reach targets, but not the store.
    cut_off: Range<u64>,
    /// Time in which the host does not run. A send that it has begun goes on afterwards.
    frozen: Range<u64>,
    list_delay: u64,
    /// A slot that was taken before the host was frozen.
    begun: Option<ColdPermit>,
}

impl Host {
    fn new(number: usize, hosts: usize, faults: bool, zone_fault: &Range<u64>, rng: &mut StdRng) -> Self {
        let name: HostId = format!("host-{number}").into();
        let mut state = ColdTargets::new(name.clone());
        let error = rng.random_range(0..=MAX_CLOCK_ERROR_MS);
        state.set_store_clock(clock(ms(1_000_000 + error)));
        // Cold for the whole time.
        state.record_entry(&entry("t1/1", Some(10 * SIMULATED_MS)), Duration::ZERO);
        let frozen_at = rng.random_range(10_000..SIMULATED_MS);
        let is_frozen = faults && rng.random_bool(0.3);
        let frozen_for = if is_frozen {
            rng.random_range(100..45_000)
        } else {
            0
        };
        // Most hosts start together, some later.
        let is_late = number >= hosts * 4 / 5;
        let latest_join = if is_late { SIMULATED_MS } else { 4_000 };
        Self {
            name,
            state,
            joins_at: if faults {
                rng.random_range(0..latest_join)
            } else {
                0
            },
            cut_off: if number.is_multiple_of(2) {
                zone_fault.clone()
            } else {
                0..0
            },
            frozen: frozen_at..frozen_at + frozen_for,
            list_delay: rng.random_range(0..MAX_LIST_DELAY_MS),
            begun: None,
        }
    }

    /// Whether the store lists the host.
    fn is_listed(&self, at: u64) -> bool {
        let is_removed = |fault: &Range<u64>| (fault.start + REMOVAL_MS..fault.end).contains(&at);
        at >= self.joins_at && !is_removed(&self.cut_off) && !is_removed(&self.frozen)
    }

    /// Sends if the quota allows it and the host is not frozen meanwhile; returns whether it did.
    fn step(&mut self, at: u64) -> bool {
        let now = ms(at);
        let permit = self.begun.take();
        let Some(permit) = permit.or_else(|| self.state.take(TARGET, &rules(), now)) else {
            return false;
        };
        if self.frozen.contains(&(at + STEP_MS)) {
            self.begun = Some(permit);
            return false;
        }
        self.state.is_valid(permit, TARGET, &rules(), now)
    }
}

/// Returns the hosts that a host sees listed.
fn seen_list(all: &[Host], host: &Host, at: u64) -> BTreeSet<HostId> {
    let seen_at = at.saturating_sub(host.list_delay);
    let listed = all.iter().filter(|other| other.is_listed(seen_at));
    listed.map(|other| other.name.clone()).collect()
}

/// Returns the arrivals at one cold target, to which each host sends as often as its quota allows.
fn arrivals(hosts: usize, faults: bool, seed: u64) -> Vec<u64> {
    let mut rng = StdRng::seed_from_u64(seed);
    let start = rng.random_range(15_000..30_000);
    let zone_fault = start..if faults { SIMULATED_MS } else { start };
    let mut all: Vec<Host> = (0..hosts)
        .map(|number| Host::new(number, hosts, faults, &zone_fault, &mut rng))
        .collect();
    let mut arrivals = Vec::new();
    for at in (0..SIMULATED_MS).step_by(STEP_MS as usize) {
        let lists: Vec<_> = match at % 200 {
            0 => all.iter().map(|host| seen_list(&all, host, at)).collect(),
            _ => Vec::new(),
        };
        for (i, host) in all.iter_mut().enumerate() {
            if at < host.joins_at || host.frozen.contains(&at) {
                continue;
            }
            let now = ms(at);
            if let Some(list) = lists.get(i).filter(|_| !host.cut_off.contains(&at)) {
                host.state.hosts.update(list.iter(), now);
                if at.is_multiple_of(CONFIRM_INTERVAL_MS) {
                    host.state.hosts.confirm(now);
                }
            }
            if host.step(at) {
                arrivals.push(at + rng.random_range(0..=MAX_TRANSIT_MS));
            }
        }
    }
    arrivals.sort_unstable();
    arrivals
}

/// Returns the most arrivals in any second.
fn most_in_a_second(arrivals: &[u64]) -> usize {
    let counts = arrivals.iter().enumerate().map(|(i, at)| {
        let in_window = arrivals[i..].iter().take_while(|later| **later < at + 1_000);
        in_window.count()
    });
    counts.max().unwrap_or(0)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Guards against hosts that together send more than a cold target tolerates, whichever of them are late, frozen,
    // cut off or new.
    #[test]
    fn all_hosts_together_stay_within_the_bound(hosts in 1usize..100, seed: u64) {
        let most = most_in_a_second(&arrivals(hosts, true, seed));
        prop_assert!(most <= 29, "{most} in a second from {hosts} hosts");
    }
}

// Guards against a quota that keeps the bound because it is hardly ever given.
#[test]
fn hosts_with_demand_use_nearly_all_that_a_cold_target_tolerates() {
    for hosts in [1, 9, 85] {
        let arrivals = arrivals(hosts, false, 3);
        let per_second = arrivals.len() as f64 * 1e3 / SIMULATED_MS as f64;
        assert!(
            (14.0..=16.0).contains(&per_second),
            "{per_second} from {hosts} hosts"
        );
    }
}

#[test]
fn a_host_without_the_stores_time_or_a_recent_list_has_no_quota() {
    let host: HostId = "h1".into();
    let mut state = ColdTargets::new(host.clone());
    state.record_entry(&entry("t1/1", Some(600_000)), Duration::ZERO);
    state.hosts.update([&host].into_iter(), Duration::ZERO);
    state.hosts.confirm(ms(10_000));
    assert_eq!(state.take(TARGET, &rules(), ms(10_000)), None);
    state.set_store_clock(clock(Duration::ZERO));
    let permit = state.take(TARGET, &rules(), ms(10_000)).unwrap();
    assert!(state.is_valid(permit, TARGET, &rules(), ms(10_010)));
    // Suspended after it took the slot.
    assert!(!state.is_valid(permit, TARGET, &rules(), ms(10_600)));
    assert_eq!(state.take(TARGET, &rules(), ms(45_000)), None);
}

// Guards against an error of the slots' times that grows as the clocks drift apart, and against the time of a store
// that was replaced by a restore.
#[test]
fn the_stores_clock_follows_a_slower_clock_and_a_restored_store() {
    let mut clock = StoreClock::default();
    // Drift of 100 ppm, with answers that take 1 to 20 ms, and an hour without any.
    for at in (0..10_000_000).filter(|at| at % 700 == 0 && !(4_000_000..7_600_000).contains(at)) {
        let store_time = 1_000_000 + at - at / 10_000;
        clock.record(ms(store_time - 1 - at / 700 % 20), ms(at));
        let error = clock
            .time(ms(at))
            .unwrap()
            .as_millis()
            .abs_diff(u128::from(store_time));
        assert!(error <= 40, "{error} ms at {at}");
    }
    clock.restart(ms(5_000), ms(10_000_000));
    assert_eq!(clock.time(ms(10_000_100)), Some(ms(5_100)));
}

// Guards against full load on a target that has just come back, by an entry from before its failure.
#[test]
fn a_target_that_failed_is_cold_until_an_entry_written_after_its_return() {
    let mut state = ColdTargets::new("h1".into());
    let is_cold = |state: &ColdTargets, at| state.cold_left(TARGET, &rules().limit, ms(at)).is_some();
    state.record_entry(&entry("t1/1", Some(0)), ms(1_000));
    assert!(!is_cold(&state, 1_000));
    state.record_failure(TARGET, ms(2_000));
    state.record_entry(&entry("t1/1", Some(0)), ms(3_000));
    assert!(is_cold(&state, 3_000), "the entry may be older than the failure");
    state.record_entry(&entry("t1/1", Some(0)), ms(5_500));
    assert!(!is_cold(&state, 5_500));
    // Cold again at any moment.
    state.record_entry(&entry("t1/1", Some(2_000)), ms(6_000));
    assert!(is_cold(&state, 7_900) && !is_cold(&state, 8_000));
    // Another run, or one whose entry was gone, is cold unless its entry says otherwise.
    state.record_entry(&entry("t1/2", None), ms(10_000));
    assert!(is_cold(&state, 17_900) && !is_cold(&state, 18_000));
    state.record_gone(TARGET);
    state.record_entry(&entry("t1/2", None), ms(20_000));
    assert!(is_cold(&state, 27_900));
    state.record_entry(&entry("t1/3", Some(0)), ms(21_000));
    assert!(!is_cold(&state, 21_000));
}

#[test]
fn a_bound_below_one_request_allows_none_and_large_numbers_do_not_overflow() {
    let rules = |per_second, overrun, slack| {
        let limit = ColdLimit {
            duration: Duration::MAX,
            per_second,
        };
        ColdRules::new(limit, &ColdBound { overrun, slack })
    };
    assert_eq!(rules(0.1, 1.0, 0.0).schedule, None);
    for per_second in [f64::MAX, f64::MIN_POSITIVE, f64::INFINITY] {
        let rules = rules(per_second, f64::MAX, f64::MAX);
        let mut state = ColdTargets::new("h1".into());
        state.set_store_clock(clock(Duration::MAX));
        state.record_failure(TARGET, Duration::from_secs(u64::MAX / 2));
        assert_eq!(state.take(TARGET, &rules, ms(1)), None);
    }
}

// Guards against leaving targets that are noticed late because the store is asked less often for other reasons than
// the renewals of cold targets.
#[test]
fn only_renewals_of_cold_targets_lengthen_the_pause() {
    let mut state = ColdTargets::new("a".into());
    state.record_entry(&entry("t1/1", Some(3_000)), ms(0));
    let warm = ColdEntry {
        instance: "warm".to_owned(),
        ..entry("warm/1", Some(0))
    };
    state.record_entry(&warm, ms(0));
    let limit = Some(rules().limit);
    let pause = |names: &[&str], limit: Option<ColdLimit>, now| {
        let records = names.iter().map(|name| row(name, "{}", 1));
        let changed = snapshot(1, records.collect::<Vec<_>>());
        let are_cold = state.are_cold(names.iter().copied(), |_| limit, now);
        pause_after(Table::Targets, &changed, are_cold)
    };
    assert_eq!(pause(&[TARGET], limit, ms(100)), ms(1_000));
    assert_eq!(pause(&[TARGET, "warm"], limit, ms(100)), ms(600));
    assert_eq!(pause(&[TARGET, "unknown"], limit, ms(100)), ms(600));
    assert_eq!(pause(&[TARGET], limit, ms(3_000)), ms(600));
    assert_eq!(pause(&[TARGET], None, ms(100)), ms(600));
    assert_eq!(pause(&[], limit, ms(100)), ms(0));
}
