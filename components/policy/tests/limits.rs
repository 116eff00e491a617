//! Guards a workspace's rate limit over nine hosts that exchange only their demand. Runs in virtual time.

use std::time::Duration;

use policy::{DemandMeter, TokenBucket, rate_share};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use utils::Monotonic;

const HOSTS: usize = 9;
/// Requests per second over all hosts.
const LIMIT: f64 = 100.0;
/// Interval between heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(500);
/// Number of missed heartbeats after which a host no longer counts.
const MISSED_HEARTBEATS: usize = 4;
const STEP: Duration = Duration::from_millis(5);
/// Capacity of a bucket, in seconds at its rate.
const BURST_SECONDS: f64 = 1.0;
/// Limit for the relative error of the admitted rate.
const MAX_ERROR: f64 = 0.1;

struct Host {
    meter: DemandMeter,
    bucket: TokenBucket,
    /// Demand that this host reported last.
    reported: f64,
    /// Last demand received from each host, and its age in heartbeats.
    received: [(f64, usize); HOSTS],
    is_alive: bool,
}

impl Host {
    fn new() -> Self {
        Self {
            meter: DemandMeter::new(Monotonic::ZERO),
            bucket: TokenBucket::new(LIMIT / HOSTS as f64, LIMIT / HOSTS as f64, Monotonic::ZERO),
            reported: 0.0,
            received: [(0.0, 0); HOSTS],
            is_alive: true,
        }
    }

    fn adjust(&mut self, own: usize, now: Monotonic) {
        let live = |(i, (demand, age)): (usize, &(f64, usize))| {
            (i != own && *age < MISSED_HEARTBEATS).then_some(*demand)
        };
        let others: Vec<f64> = self.received.iter().enumerate().filter_map(live).collect();
        let share = rate_share(LIMIT, self.reported, others.into_iter().chain([self.reported]));
        self.bucket.set(share, (share * BURST_SECONDS).max(1.0), now);
    }
}

/// Returns the requests admitted per second in each period of ten seconds. One host fails half way, and its
/// callers move to the other hosts.
fn admitted(seed: u64, offered: f64, seconds: u64) -> Vec<f64> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let weights: Vec<f64> = (0..HOSTS).map(|_| rng.random_range(0.1..2.0)).collect();
    let mut hosts: Vec<Host> = (0..HOSTS).map(|_| Host::new()).collect();
    let mut counts = vec![0.0; (seconds / 10) as usize];
    let mut now = Monotonic::ZERO;
    while now.as_secs() < seconds {
        if now.as_secs() >= seconds / 2 {
            hosts[0].is_alive = false;
        }
        let live: f64 = (0..HOSTS)
            .filter(|i| hosts[*i].is_alive)
            .map(|i| weights[i])
            .sum();
        for i in 0..HOSTS {
            let share = weights[i] / live * offered * STEP.as_secs_f64();
            if hosts[i].is_alive && rng.random::<f64>() < share {
                hosts[i].meter.offer(1.0);
                let is_admitted = hosts[i].bucket.take(1.0, now).is_ok();
                counts[(now.as_secs() / 10) as usize] += f64::from(u8::from(is_admitted)) / 10.0;
            }
        }
        now += STEP;
        if now.as_millis().is_multiple_of(HEARTBEAT.as_millis()) {
            heartbeat(&mut hosts, &mut rng, now);
        }
    }
    counts
}

/// Sends the report of each host to all hosts and loses a tenth of the deliveries.
fn heartbeat(hosts: &mut [Host], rng: &mut ChaCha8Rng, now: Monotonic) {
    for sender in 0..HOSTS {
        if !hosts[sender].is_alive {
            hosts.iter_mut().for_each(|h| h.received[sender].1 += 1);
            continue;
        }
        let demand = hosts[sender].meter.report(0.8, now);
        hosts[sender].reported = demand;
        for host in hosts.iter_mut() {
            match rng.random::<f64>() < 0.9 {
                true => host.received[sender] = (demand, 0),
                false => host.received[sender].1 += 1,
            }
        }
    }
    for (i, host) in hosts.iter_mut().enumerate() {
        host.adjust(i, now);
    }
}

#[test]
fn a_limit_holds_over_nine_hosts_and_after_one_fails() {
    let mut worst = 0.0f64;
    for seed in 0..20 {
        let counts = admitted(seed, 3.0 * LIMIT, 80);
        // The first period and the one after the failure are excluded: the hosts' demands are still
        // converging.
        for i in [1, 2, 3, 5, 6, 7] {
            let error = (counts[i] / LIMIT - 1.0).abs();
            worst = worst.max(error);
            assert!(error <= MAX_ERROR, "seed {seed}: {counts:?}");
        }
    }
    println!("largest error {:.3}", worst);
}

#[test]
fn demand_below_the_limit_is_not_refused() {
    for seed in 0..5 {
        let offered = 0.5 * LIMIT;
        let counts = admitted(seed, offered, 40);
        let mean = counts.iter().sum::<f64>() / counts.len() as f64;
        assert!(
            (mean / offered - 1.0).abs() <= MAX_ERROR,
            "seed {seed}: {counts:?}"
        );
    }
}
