//! Instances of a plain service, of which each host knows only what their answers to it state.

use std::time::Duration;

use gateway::{
    Candidate, Decision, Demand, FleetEffects, LoadEstimate, Pace, ResponseLoad, SendOutcome,
    TargetCondition, Work, average_others, decide_from, sample, spread_for,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const HOSTS: usize = 82;
/// Instances, one in each failure domain, and the requests that each runs at once.
const INSTANCES: usize = 6;
const SLOTS: u32 = 8;
/// Time of a request, and requests per millisecond; 80% of the instances' capacity. Waves of demand differ: hosts of one
/// failure domain get twice the requests of the others.
const SERVICE_MS: f64 = 40.0;
const ARRIVALS_PER_MS: f64 = 0.96;
const LENGTH_MS: u64 = 20_000;
/// Latency target of the requests, which is the bound of the 99th percentile.
const LATENCY_TARGET_MS: u64 = 150;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns the 99th percentile of the time of a request, and the peak over the mean of the instances' load.
fn play(spread: f64, seed: u64) -> (f64, f64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut loads = vec![vec![LoadEstimate::default(); INSTANCES]; HOSTS];
    // End times of the requests at each instance's slots.
    let mut slots = [[0.0f64; SLOTS as usize]; INSTANCES];
    let mut ends: Vec<(f64, usize, usize, u64)> = Vec::new();
    let (mut times, mut peaks) = (Vec::new(), Vec::new());
    for now in 0..LENGTH_MS {
        let at = now as f64;
        for (_, host, instance, sent_at) in ends.extract_if(.., |(end, ..)| *end <= at).collect::<Vec<_>>() {
            let busy = slots[instance].iter().filter(|end| **end > at).count() as u32;
            let waiting = slots[instance]
                .iter()
                .map(|end| ((end - at).max(0.0) / SERVICE_MS - 1.0).max(0.0));
            let note = ResponseLoad {
                running: busy,
                waiting: waiting.sum::<f64>() as u32,
                slots: SLOTS,
            };
            let load = &mut loads[host][instance];
            load.record_first_byte(0, ms(sent_at), ms(now));
            load.record_answer_load(note, ms(now));
            load.record_outcome(SendOutcome::Answered(ms(now - sent_at)), ms(now));
            load.record_end(Work::default(), ms(sent_at), ms(now));
        }
        if rng.random::<f64>() < ARRIVALS_PER_MS {
            let host = match rng.random_bool(0.2) {
                true => rng.random_range(0..HOSTS / INSTANCES) * INSTANCES,
                false => rng.random_range(0..HOSTS),
            };
            let instance = choose(&loads[host], host, spread, now, &mut rng);
            let slot = slots[instance].iter_mut().min_by(|a, b| a.total_cmp(b)).unwrap();
            *slot = slot.max(at) + SERVICE_MS * (0.5 + rng.random::<f64>());
            ends.push((*slot, host, instance, now));
            loads[host][instance].record_start(Work::default(), ms(now));
            times.push(*slot - at);
        }
        let counts: Vec<_> = (0..INSTANCES)
            .map(|i| ends.iter().filter(|end| end.2 == i).count() as f64)
            .collect();
        let mean = counts.iter().sum::<f64>() / INSTANCES as f64;
        peaks.push(counts.into_iter().fold(0.0, f64::max) / mean.max(1.0));
    }
    times.sort_by(f64::total_cmp);
    let p99 = times[times.len() * 99 / 100];
    (p99, peaks.iter().sum::<f64>() / peaks.len() as f64)
}

fn choose(loads: &[LoadEstimate], host: usize, spread: f64, now: u64, rng: &mut StdRng) -> usize {
    let others = average_others(loads, INSTANCES, HOSTS, ms(now));
    let candidates = loads.iter().enumerate().map(|(instance, load)| Candidate {
        distance: match (host % INSTANCES, instance) {
            (a, b) if a == b => 0,
            (a, b) if a % 2 == b % 2 => 1,
            _ => 2,
        },
        requests: load.requests(others.requests, ms(now)),
        waiting: load.waiting(ms(now)),
        queued: load.queued(others.queued, ms(now)),
        memory: (0.0, u64::MAX),
        slots: SLOTS,
        prefill_backlog: 0,
        cache_hit_chance: 0.0,
        latency_ms: load.latency_ms(),
        failures: 0.0,
        has_old_weights: false,
        is_connected: true,
        condition: TargetCondition::default(),
    });
    let candidates: Vec<_> = candidates.collect();
    let demand = Demand {
        prompt_tokens: 0,
        shared_tokens: 0,
        memory: 0,
        priority: 0,
        latency_target: ms(LATENCY_TARGET_MS),
        time_left: ms(2_000),
        pace: Pace::default(),
        gap_target: None,
        fleet: FleetEffects {
            link_cost: 0.0,
            spread,
        },
    };
    let compared = sample(&candidates, false, HOSTS, rng);
    match decide_from(&demand, &candidates, &compared, rng) {
        Decision::Send(choice) => choice.index,
        other => panic!("{other:?}"),
    }
}

/// The reports of engines do not exist for plain services, so that the choice may not depend on them.
#[test]
fn instances_of_a_plain_service_share_a_wave_of_requests() {
    for seed in 1..5 {
        let (old, new) = (play(0.0, seed), play(spread_for(HOSTS), seed));
        println!("old {old:?}, new {new:?}");
        assert!(new.0 <= LATENCY_TARGET_MS as f64, "{new:?}");
        assert!(new.1 <= old.1 * 1.02, "{old:?} {new:?}");
    }
}
