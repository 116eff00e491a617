//! Runs entry hosts as separate processes against an in-process store and engines, injects a seeded plan of
//! planned work and faults, and checks what callers and engines observed against the promises.

mod callers;
#[path = "../../platform/tests/common/mod.rs"]
mod common;
mod plan;
mod process;
mod run;
mod violations;

use std::time::Duration;

use plan::Size;
use run::{Outcome, soak};

/// A deployment with few hosts.
const SMALL: Size = Size {
    hosts: 3,
    engines: 4,
    callers: 8,
    duration: Duration::from_secs(5),
};
/// A deployment with more hosts and a longer run.
const LARGE: Size = Size {
    hosts: 12,
    engines: 12,
    callers: 24,
    duration: Duration::from_secs(15),
};
/// Seeds of the test that runs by default.
const SHORT_RUN_SEEDS: [u64; 2] = [1, 2];

fn check_seed(seed: u64, size: Size) {
    let Outcome { violations, requests } = soak(seed, size);
    let (sent, served) = requests;
    println!(
        "seed {seed}: {sent} requests, {served} served, {} broken",
        violations.len()
    );
    for violation in violations.iter().take(5) {
        println!("  {violation}");
    }
    assert!(violations.is_empty(), "seed {seed} breaks promises");
}

fn env_or(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.map_or(default, |text| text.parse().unwrap())
}

#[test]
fn promises_hold_under_a_few_seeded_troubles() {
    for seed in SHORT_RUN_SEEDS {
        check_seed(seed, SMALL);
    }
}

/// Runs several seeds. `SOAK_FIRST` sets the first seed and `SOAK_COUNT` the number of seeds.
fn check_many(size: Size, count: u64) {
    let first = env_or("SOAK_FIRST", 100);
    for seed in first..first + env_or("SOAK_COUNT", count) {
        check_seed(seed, size);
    }
}

#[test]
#[ignore = "takes minutes"]
fn promises_hold_under_many_seeded_troubles() {
    check_many(SMALL, 50);
}

#[test]
#[ignore = "takes minutes"]
fn promises_hold_in_a_larger_deployment() {
    check_many(LARGE, 5);
}
