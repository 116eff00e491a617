//! A fleet of hosts that share late reports of the engines, in virtual time.

mod support;

use std::time::Duration;

use gateway::{
    Candidate, Decision, Demand, FleetEffects, Pace, TargetCondition, decide_from, sample, spread_for,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use support::ms;

/// Entry hosts.
const HOSTS: usize = 195;
/// Engines that are left after a quarter of 117 is gone.
const ENGINES: usize = 88;
/// Time between prompts of the whole fleet.
const ARRIVAL: Duration = Duration::from_micros(1_000);
/// Time between the reports of the engines; each is used until the next arrives.
const REPORT_INTERVAL: Duration = Duration::from_millis(650);
/// Prefill time of a prompt, in milliseconds. The engines are busy for 57% of the time.
const PREFILL_MS: f64 = 50.0;
/// Share of the requests that may wait until their deadline.
const MAX_LATE_SHARE: f64 = 0.005;

fn demand() -> Demand {
    Demand {
        prompt_tokens: 4_000,
        shared_tokens: 0,
        memory: 4_000,
        priority: 2,
        latency_target: ms(1_200),
        time_left: ms(2_500),
        pace: Pace::default(),
        gap_target: None,
        fleet: FleetEffects::default(),
    }
}

fn candidate(index: usize, queued: f64) -> Candidate {
    Candidate {
        distance: if index.is_multiple_of(2) { 1 } else { 2 },
        requests: queued,
        waiting: 0.0,
        queued,
        memory: (0.0, 99_000),
        slots: 12,
        prefill_backlog: 0,
        cache_hit_chance: 0.0,
        latency_ms: 100.0,
        failures: 0.0,
        has_old_weights: false,
        is_connected: true,
        condition: TargetCondition::default(),
    }
}

/// Plays prompts for 20 s and returns the share that begins after its deadline.
fn late_share(rng: &mut StdRng, compared_by: usize) -> f64 {
    let mut free_at = [Duration::ZERO; ENGINES];
    let mut reported = [0.0; ENGINES];
    let mut next_report = Duration::ZERO;
    let (mut count, mut late) = (0, 0);
    let mut now = Duration::ZERO;
    while now < ms(20_000) {
        if now >= next_report {
            next_report = now + REPORT_INTERVAL;
            for (queued, free_at) in reported.iter_mut().zip(free_at) {
                *queued = (free_at.saturating_sub(now).as_secs_f64() * 1e3 / PREFILL_MS).ceil();
            }
        }
        // Each session has another order of engines.
        let shift = rng.random_range(0..ENGINES);
        let engine = |position: usize| (position + shift) % ENGINES;
        let candidates: Vec<_> = (0..ENGINES)
            .map(|position| candidate(engine(position), reported[engine(position)]))
            .collect();
        let compared = sample(&candidates, true, compared_by, rng);
        let fleet = FleetEffects {
            spread: spread_for(compared_by),
            ..FleetEffects::default()
        };
        let demand = Demand { fleet, ..demand() };
        let Decision::Send(choice) = decide_from(&demand, &candidates, &compared, rng) else {
            panic!("no engine is full in the reports");
        };
        let free_at = &mut free_at[engine(choice.index)];
        let begins = now.max(*free_at);
        *free_at = begins + Duration::from_secs_f64(PREFILL_MS / 1e3);
        count += 1;
        late += usize::from(begins > now + demand.time_left);
        now += ARRIVAL;
    }
    f64::from(late as u32) / f64::from(count)
}

/// With the same late reports, all hosts send to the engines that were idle when they were made.
#[test]
fn hosts_with_the_same_reports_do_not_overrun_the_idle_engines() {
    let mut rng = StdRng::seed_from_u64(7);
    let of_sample = late_share(&mut rng, HOSTS);
    assert!(of_sample <= MAX_LATE_SHARE, "{of_sample}");
    // Few hosts compare all engines; as many as these would fail the bound.
    let of_all = late_share(&mut rng, 1);
    assert!(of_all > MAX_LATE_SHARE, "{of_all}");
}

#[test]
fn the_owners_of_a_session_are_always_compared() {
    let mut rng = StdRng::seed_from_u64(7);
    let candidates: Vec<_> = (0..ENGINES).map(|index| candidate(index, 0.0)).collect();
    for _ in 0..100 {
        let compared = sample(&candidates, true, HOSTS, &mut rng);
        assert!(
            compared.starts_with(&[0, 1]) && compared.len() == 8,
            "{compared:?}"
        );
    }
    assert_eq!(sample(&candidates, false, HOSTS, &mut rng).len(), ENGINES);
    assert_eq!(sample(&candidates, true, 9, &mut rng).len(), ENGINES);
}
