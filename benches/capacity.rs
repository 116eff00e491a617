//! Prints the slopes of docs/CAPACITY.md: `cargo bench --bench capacity` (`-- --json` for JSON).

use std::alloc::System;
use std::time::Duration;

use capacity::{Meter, Scale, run};
use cpu_time::ThreadTime;
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let scale = if args.iter().any(|a| a == "--test") {
        Scale::Smoke
    } else {
        Scale::Full
    };
    let meter = Meter {
        allocated: &allocated,
        processor: &processor,
    };
    let report = run(scale, &meter);
    if args.iter().any(|a| a == "--json") {
        println!("{}", serde_json::to_string_pretty(&report).unwrap_or_default());
    } else {
        println!("{report}");
    }
}

fn allocated() -> u64 {
    let stats = ALLOCATOR.stats();
    (stats.bytes_allocated - stats.bytes_deallocated) as u64
}

fn processor() -> Duration {
    ThreadTime::now().as_duration()
}
