//! Entry hosts as processes of their own, before a store and engines that misbehave, under seeded troubles from outside. What
//! callers and engines have seen is judged.

mod callers;
#[path = "../../platform/tests/common/mod.rs"]
mod common;
mod plan;
mod process;
mod run;
mod verdict;

use std::time::Duration;

use plan::Size;
use run::{Outcome, soak};

/// A deployment of a few processes.
const SMALL: Size = Size {
    hosts: 3,
    engines: 4,
    callers: 8,
    length: Duration::from_secs(5),
};
/// One with more hosts and a longer run.
const LARGE: Size = Size {
    hosts: 12,
    engines: 12,
    callers: 24,
    length: Duration::from_secs(15),
};
/// Seeds of the short run.
const SHORT: [u64; 2] = [1, 2];

fn check(seed: u64, size: Size) {
    let Outcome { broken, requests } = soak(seed, size);
    let (sent, served) = requests;
    println!(
        "seed {seed}: {sent} requests, {served} served, {} broken",
        broken.len()
    );
    for fault in broken.iter().take(5) {
        println!("  {fault}");
    }
    assert!(broken.is_empty(), "seed {seed} breaks promises");
}

fn setting(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.map_or(default, |text| text.parse().unwrap())
}

#[test]
fn promises_hold_under_a_few_seeded_troubles() {
    for seed in SHORT {
        check(seed, SMALL);
    }
}

/// `SOAK_FIRST` is the first seed and `SOAK_COUNT` the number of seeds.
fn check_many(size: Size, count: u64) {
    let first = setting("SOAK_FIRST", 100);
    for seed in first..first + setting("SOAK_COUNT", count) {
        check(seed, size);
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
