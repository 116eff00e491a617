//! Placement by late reports on fleets in virtual time, against the rule before `docs/design/load-balancing.md`.

#[path = "support/fleet_sim.rs"]
mod fleet_sim;
#[path = "support/old_rule.rs"]
mod old_rule;

use fleet_sim::{Class, Fleet, Outcome, Play, Rule};
use gateway::{Candidate, Choice, Decision, Demand, decide_from, sample};
use rand::rngs::StdRng;

/// Share of the requests whose first token may be later than their latency target, which is the 99th percentile.
const MAX_LATE_SHARE: f64 = 0.01;
/// Share of the shared tokens by which even load may reduce the cache hits.
const MAX_LOST_CACHE: f64 = 0.1;

/// Section D of `docs/design/load-control.md`, with a tenth of the engines slow and a tenth slow at times.
const LARGE: Fleet = Fleet {
    hosts: 82,
    engines: 60,
    slots: 32,
    memory: 151_766,
    classes: [
        class(12_000, 8_600, 400, 181.0, 600, 2, 200),
        class(830, 512, 250, 224.0, 300, 0, 60),
        class(2_370, 1_800, 60, 325.0, 400, 1, 60),
    ],
    is_noisy: true,
    link_bytes_per_ms: 7_500.0,
    reports_until_ms: u64::MAX,
    length_ms: 13_000,
};

const fn class(
    tokens: u32,
    shared: u32,
    out: u32,
    per_second: f64,
    target_ms: u64,
    priority: u8,
    sessions: u64,
) -> Class {
    Class {
        tokens,
        shared,
        out,
        per_second,
        target_ms,
        priority,
        sessions,
    }
}

/// The rule before the change.
struct Old;

impl Rule for Old {
    fn choose(&self, demand: &Demand, list: &[Candidate], hosts: usize, rng: &mut StdRng) -> Option<Choice> {
        old_rule::choose(demand, list, hosts, rng)
    }

    fn is_new(&self) -> bool {
        false
    }
}

/// The rule of the product.
struct New;

impl Rule for New {
    fn choose(&self, demand: &Demand, list: &[Candidate], hosts: usize, rng: &mut StdRng) -> Option<Choice> {
        let compared = sample(list, true, hosts, rng);
        match decide_from(demand, list, &compared, rng) {
            Decision::Send(choice) => Some(choice),
            _ => None,
        }
    }

    fn is_new(&self) -> bool {
        true
    }
}

/// Plays a fleet under the old and the new rule.
fn compare(name: &str, fleet: Fleet) -> (Outcome, Outcome) {
    let old = Play::new(fleet, &Old, 7).run();
    let new = Play::new(fleet, &New, 7).run();
    println!("{name}\n  old {old:?}\n  new {new:?}");
    (old, new)
}

/// A third of the requests followed their session across the link between the regions and queued there.
#[test]
fn first_tokens_are_in_time_and_sessions_stay_near_their_cache() {
    let (old, new) = compare("large", LARGE);
    assert!(old.late_share > MAX_LATE_SHARE);
    assert!(new.late_share <= MAX_LATE_SHARE);
    assert!(new.sent >= old.sent && new.first_token_ms.1 < old.first_token_ms.1);
    assert!(new.peak_to_mean <= old.peak_to_mean && new.gap_share <= MAX_LATE_SHARE);
    assert!(new.cached_share >= old.cached_share - MAX_LOST_CACHE);
}

/// Engines are nearly full, and a request that leaves its session's owner evicts cached parts where it goes. Memory that
/// requests of a session share was counted for each of them, so that engines with room looked full.
#[test]
fn sessions_stay_near_their_cache_when_memory_is_short() {
    let mut fleet = LARGE;
    for (class, out) in fleet.classes.iter_mut().zip([500, 300, 80]) {
        class.out = out;
    }
    let (old, new) = compare("short memory", fleet);
    assert!(old.late_share > MAX_LATE_SHARE);
    assert!(new.late_share <= MAX_LATE_SHARE);
    assert!(new.cached_share >= old.cached_share - MAX_LOST_CACHE);
}

/// The capacity of the link is an assumption; the delay of answers shows that it carries less.
#[test]
fn a_link_of_half_the_capacity_is_not_overrun() {
    let fleet = Fleet {
        link_bytes_per_ms: LARGE.link_bytes_per_ms / 2.0,
        ..LARGE
    };
    let (old, new) = compare("half link", fleet);
    assert!(old.late_share > MAX_LATE_SHARE);
    assert!(new.late_share <= MAX_LATE_SHARE);
    assert!(new.link_share < 1.0 && new.far_share < old.far_share);
    assert!(new.cached_share >= old.cached_share - MAX_LOST_CACHE);
}

/// The estimates move to the loads of the own requests.
#[test]
fn first_tokens_stay_in_time_without_reports() {
    let fleet = Fleet {
        reports_until_ms: 4_000,
        ..LARGE
    };
    let (_, new) = compare("no reports", fleet);
    assert!(new.late_share <= MAX_LATE_SHARE);
}

/// Few hosts and a light load, as on earlier deployments.
#[test]
fn calm_fleets_are_served_as_before() {
    let mut calm = LARGE;
    for (class, out) in calm.classes.iter_mut().zip([128, 64, 16]) {
        class.out = out;
    }
    let mut small = calm;
    // With so few hosts no engine is polled for reports.
    (small.hosts, small.engines, small.reports_until_ms) = (9, 14, 0);
    for class in &mut small.classes {
        class.per_second *= 14.0 / 60.0;
        class.sessions = class.sessions * 14 / 60;
    }
    for (name, fleet) in [("calm", calm), ("small", small)] {
        let (old, new) = compare(name, fleet);
        assert!(new.late_share <= old.late_share.max(MAX_LATE_SHARE), "{name}");
        assert!(new.cached_share >= old.cached_share - MAX_LOST_CACHE, "{name}");
    }
}
