//! Hosts that share the limit that a target names, in virtual time.

mod support;

use std::collections::HashSet;
use std::time::Duration;

use gateway::{LimitPermit, LimitRecord, NamedLimit, SlotHosts, SlotTime, StoreClock, TargetLimits};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use support::ms;
use utils::{HostId, TargetId};

const TARGET: &str = "t1";
const STEP_MS: u64 = 20;
/// Time from which the target names its limit, and from which the deployment's rule counts.
const NAMED_MS: u64 = 20_000;
const COUNTED_MS: u64 = NAMED_MS + 3_000;
const END_MS: u64 = 80_000;
/// Window of the rule.
const WINDOW_MS: u64 = 4_000;
/// Longest time until an answer's head arrives, and until a request does.
const MAX_ANSWER_MS: u64 = 800;
const MAX_TRANSIT_MS: u64 = 70;
const MAX_CLOCK_ERROR_MS: u64 = 80;
/// Longest time until a host sees a change of the list of hosts.
const MAX_LIST_DELAY_MS: u64 = 4_500;
/// Longest time until a host sees a change of the record of a limit, and interval between its checks of the record.
const MAX_RECORD_DELAY_MS: u64 = 1_500;
const RECORD_CHECK_MS: u64 = 300;
/// Hosts that write a new record at once.
const RECORD_OWNERS: usize = 3;

/// What a target names over time, in requests per second.
type Limit = fn(u64) -> Option<f64>;

/// What happens to the hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    None,
    /// A fifth of the hosts joins at this time.
    Join(u64),
    /// Hosts are stopped in turn and start again.
    Roll,
    /// A third of the hosts stands still for 4 s, in turn.
    Freeze,
}

/// A host that sends whenever it may.
struct Host {
    name: HostId,
    limits: TargetLimits,
    slots: SlotHosts,
    clock: StoreClock,
    list_delay: u64,
    record_delay: u64,
    /// Number of changes of the record that the host has seen.
    seen_changes: usize,
    /// Times at which answers arrive, with the times of their requests and what they name.
    answers: Vec<(u64, u64, Option<f64>)>,
    /// Time of the first answer to the host that named the limit.
    informed_at: Option<u64>,
}

impl Host {
    fn new(number: usize, rng: &mut StdRng) -> Self {
        let name: HostId = format!("host-{number:03}").into();
        let mut clock = StoreClock::default();
        clock.record(
            ms(1_000_000 + rng.random_range(0..=MAX_CLOCK_ERROR_MS)),
            Duration::ZERO,
        );
        Self {
            slots: SlotHosts::new(name.clone()),
            name,
            limits: TargetLimits::default(),
            clock,
            list_delay: rng.random_range(0..MAX_LIST_DELAY_MS),
            record_delay: rng.random_range(20..MAX_RECORD_DELAY_MS),
            seen_changes: 0,
            answers: Vec::new(),
            informed_at: None,
        }
    }

    /// Starts the host's process again.
    fn restart(&mut self) {
        self.slots = SlotHosts::new(self.name.clone());
        self.limits = TargetLimits::default();
        self.answers.clear();
        self.informed_at = None;
        self.seen_changes = 0;
    }

    fn time(&self, at: u64) -> SlotTime {
        SlotTime {
            store: self.clock.time(ms(at)),
            now: ms(at),
        }
    }

    fn receive_answers(&mut self, at: u64) {
        let time = self.time(at);
        let arrived: Vec<_> = self.answers.extract_if(.., |(due, ..)| *due <= at).collect();
        for (_, sent_at, named) in arrived {
            let named = named.map(NamedLimit::PerSecond);
            self.limits.record_answer(&run(), named, ms(sent_at), time);
            if named.is_some() {
                self.informed_at = self.informed_at.or(Some(at));
            }
        }
    }

    /// Reads the record, and changes it unless another host has done so meanwhile.
    fn share(&mut self, number: usize, record: &mut Vec<(u64, Option<f64>)>, at: u64) {
        let time = self.time(at);
        while let Some((_, limit)) = record
            .get(self.seen_changes)
            .filter(|(written_at, _)| written_at + self.record_delay <= at)
        {
            self.limits.record_shared(&run(), *limit, time);
            self.seen_changes += 1;
        }
        let is_due = (at + 17 * number as u64) % RECORD_CHECK_MS < STEP_MS;
        if !is_due || self.seen_changes < record.len() {
            return;
        }
        let run = run();
        let changes = self
            .limits
            .record_changes(|_| number < RECORD_OWNERS, &HashSet::from([&run]), ms(at));
        for change in changes {
            record.push(match change {
                LimitRecord::Put(_, limit) => (at, Some(limit)),
                LimitRecord::Remove(_) => (at, None),
            });
        }
    }

    fn may_send(&mut self, at: u64) -> bool {
        let time = self.time(at);
        let permit = self.limits.take(&run(), TARGET, &self.slots, time);
        permit.is_some_and(|permit| self.limits.is_valid(permit, &run(), TARGET, &self.slots, time))
    }
}

fn run() -> TargetId {
    "t1/1".into()
}

/// An arrival at the target, and whether its host received the limit in an answer at least half a second before.
struct Arrival {
    at: u64,
    is_counted: bool,
}

/// Returns the arrivals from `count` hosts, and the time at which the last host knew that the limit had ended.
fn play(count: usize, limit: Limit, trouble: Trouble, demand_ms: u64) -> (Vec<Arrival>, Option<u64>) {
    let mut rng = StdRng::seed_from_u64(count as u64);
    let mut hosts: Vec<Host> = (0..count).map(|number| Host::new(number, &mut rng)).collect();
    let is_up = |number: usize, at: u64| match trouble {
        Trouble::Join(from) => !number.is_multiple_of(5) || at >= from,
        Trouble::Roll => {
            let stop = 30_000 + 400 * number as u64;
            !(stop..stop + 1_000).contains(&at)
        }
        Trouble::None | Trouble::Freeze => true,
    };
    let is_frozen = |number: usize, at: u64| {
        let from = 30_000 + 5_000 * (number % 9) as u64;
        trouble == Trouble::Freeze && number.is_multiple_of(3) && (from..from + 4_000).contains(&at)
    };
    let (mut arrivals, mut ended_at, mut record) = (Vec::new(), None, Vec::new());
    for at in (0..END_MS).step_by(STEP_MS as usize) {
        for number in 0..count {
            if !is_up(number, at) {
                hosts[number].restart();
                continue;
            }
            if is_frozen(number, at) {
                continue;
            }
            if at.is_multiple_of(1_000) {
                let seen_at = at.saturating_sub(hosts[number].list_delay);
                let listed = (0..count).filter(|other| is_up(*other, seen_at));
                let names: Vec<_> = listed.map(|other| hosts[other].name.clone()).collect();
                let host = &mut hosts[number];
                host.slots.update(names.iter(), ms(at));
                host.slots.confirm(ms(at));
            }
            let host = &mut hosts[number];
            host.receive_answers(at);
            host.share(number, &mut record, at);
            // Each host has a request now and then, at a time of its own.
            let has_request = (at + 37 * number as u64) % demand_ms < STEP_MS;
            // Before the target is in need it gets one request of each host, so that connections are open.
            let is_wanted = !(STEP_MS..NAMED_MS).contains(&at);
            if has_request && is_wanted && host.may_send(at) {
                let arrival = at + rng.random_range(0..=MAX_TRANSIT_MS);
                let due = arrival + rng.random_range(STEP_MS..=MAX_ANSWER_MS);
                host.answers.push((due, at, limit(arrival)));
                let is_counted = host.informed_at.is_some_and(|since| since + 500 <= arrival);
                arrivals.push(Arrival {
                    at: arrival,
                    is_counted,
                });
            }
        }
        let knows_end = hosts.iter().all(|host| !host.limits.is_limited(&run()));
        if at > NAMED_MS + 10_000 && knows_end && ended_at.is_none() {
            ended_at = Some(at);
        }
    }
    println!("{count} hosts: {} changes of the record", record.len());
    arrivals.sort_by_key(|arrival| arrival.at);
    (arrivals, ended_at)
}

/// Returns the most counted arrivals in a window of the rule.
fn most(arrivals: &[Arrival]) -> usize {
    let counted: Vec<u64> = arrivals
        .iter()
        .filter(|arrival| arrival.is_counted && arrival.at >= COUNTED_MS)
        .map(|arrival| arrival.at)
        .collect();
    let in_window = |i: usize| {
        let end = counted[i] + WINDOW_MS;
        counted[i..].iter().take_while(|at| **at <= end).count()
    };
    (0..counted.len()).map(in_window).max().unwrap_or(0)
}

fn allowed(per_second: f64) -> usize {
    (1.5 * per_second * WINDOW_MS as f64 / 1e3 + 5.0) as usize
}

// Guards against hosts that together send a target more than it takes, whichever of them are new, rolled or stand still.
#[test]
fn all_hosts_together_keep_the_limit_of_a_target() {
    let limits: [(f64, Limit); 5] = [
        (0.1, |at| (at >= NAMED_MS).then_some(0.1)),
        (0.5, |at| (at >= NAMED_MS).then_some(0.5)),
        (1.8, |at| (at >= NAMED_MS).then_some(1.8)),
        (8.0, |at| (at >= NAMED_MS).then_some(8.0)),
        (40.0, |at| (at >= NAMED_MS).then_some(40.0)),
    ];
    for count in [1, 3, 9, 85] {
        for (per_second, limit) in limits {
            for trouble in [
                Trouble::None,
                Trouble::Join(40_000),
                Trouble::Roll,
                Trouble::Freeze,
            ] {
                let (arrivals, _) = play(count, limit, trouble, 100);
                let most = most(&arrivals);
                println!(
                    "{count} hosts, {per_second} a second, {trouble:?}: {most} of {}",
                    allowed(per_second)
                );
                assert!(
                    most <= allowed(per_second),
                    "{count} hosts, {per_second}, {trouble:?}: {most}"
                );
            }
        }
    }
}

// Guards against numbers that change with each answer, each of which gives every host another chance.
#[test]
fn a_number_that_changes_with_each_answer_is_kept() {
    let wavering: Limit = |at| (at >= NAMED_MS).then_some([2.0, 2.6, 1.6, 2.3][(at / 300 % 4) as usize]);
    for count in [3, 9, 85] {
        let (arrivals, _) = play(count, wavering, Trouble::None, 100);
        assert!(
            most(&arrivals) <= allowed(1.6),
            "{count} hosts: {}",
            most(&arrivals)
        );
    }
}

// Guards against hosts that keep using a higher number from an earlier answer.
#[test]
fn a_limit_that_falls_is_kept_by_all_hosts() {
    let falling: Limit = |at| (at >= NAMED_MS).then_some(if at < 40_000 { 8.0 } else { 2.0 });
    for count in [3, 9, 85] {
        let (mut arrivals, _) = play(count, falling, Trouble::None, 100);
        arrivals.retain(|arrival| arrival.at >= 43_000);
        println!("{count} hosts, 8 to 2: {}", most(&arrivals));
        assert!(
            most(&arrivals) <= allowed(2.0),
            "{count} hosts, 8 to 2: {}",
            most(&arrivals)
        );
    }
}

// Guards against a limit that is kept because it is hardly ever used.
#[test]
fn hosts_with_demand_use_most_of_a_limit() {
    let limit: Limit = |at| (at >= NAMED_MS).then_some(1.8);
    // The second figure: with a request every 2 s at each host.
    for (count, demand_ms, share) in [(1, 100, 0.85), (9, 100, 0.85), (85, 100, 0.85), (9, 2_000, 0.4)] {
        let (arrivals, _) = play(count, limit, Trouble::None, demand_ms);
        let used = arrivals.iter().filter(|arrival| arrival.at >= COUNTED_MS).count() as f64;
        let offered = 1.8 * (END_MS - COUNTED_MS) as f64 / 1e3;
        println!("{count} hosts, a request every {demand_ms} ms: {used} of {offered}");
        assert!(used >= share * offered, "{count} hosts: {used} of {offered}");
    }
}

// Guards against a target that is in need no more and gets hardly anything for long.
#[test]
fn all_hosts_know_within_seconds_that_a_limit_has_ended() {
    let limit: Limit = |at| (NAMED_MS..40_000).contains(&at).then_some(2.0);
    for (count, within_ms) in [(1, 3_000), (3, 8_000)] {
        let (_, ended_at) = play(count, limit, Trouble::None, 100);
        println!("{count} hosts: {ended_at:?}");
        let ended_at = ended_at.unwrap();
        assert!(ended_at <= 40_000 + within_ms, "{count} hosts: {ended_at}");
    }
}

// The same with hosts whose own next slot is far.
#[test]
fn many_hosts_know_within_seconds_that_a_limit_has_ended() {
    let limit: Limit = |at| (NAMED_MS..40_000).contains(&at).then_some(2.0);
    for count in [9, 85] {
        let (_, ended_at) = play(count, limit, Trouble::None, 100);
        println!("{count} hosts: {ended_at:?}");
        assert!(
            ended_at.is_some_and(|at| at <= 46_000),
            "{count} hosts: {ended_at:?}"
        );
    }
}

// Guards against a limit that an answer of before ends, or that the next run of the target inherits.
#[test]
fn only_an_answer_to_a_later_request_ends_a_limit() {
    let mut limits = TargetLimits::default();
    let slots = SlotHosts::new("h1".into());
    let time = |at| SlotTime {
        store: None,
        now: ms(at),
    };
    limits.record_answer(&run(), Some(NamedLimit::PerSecond(2.0)), ms(100), time(200));
    limits.record_answer(&run(), None, ms(150), time(300));
    assert!(limits.is_limited(&run()));
    limits.record_answer(&run(), Some(NamedLimit::Unusable), ms(250), time(350));
    assert_eq!(limits.take(&run(), TARGET, &slots, time(400)), None);
    let next_run: TargetId = "t1/2".into();
    let permit = limits.take(&next_run, TARGET, &slots, time(400));
    assert_eq!(permit, Some(LimitPermit::Unlimited));
    limits.record_answer(&run(), None, ms(250), time(450));
    assert!(!limits.is_limited(&run()));
    // The same with a limit that is known from its record alone.
    limits.record_shared(&run(), Some(2.0), time(3_000));
    limits.record_answer(&run(), None, ms(2_900), time(3_100));
    assert!(limits.is_limited(&run()));
    limits.record_answer(&run(), None, ms(3_050), time(3_200));
    assert!(!limits.is_limited(&run()));
}
