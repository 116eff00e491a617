//! Prints the measurements of docs/CAPACITY.md: `cargo bench --bench capacity`. `-- --json` prints JSON, and
//! `-- --test` runs with small sizes.

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
        allocated_bytes: &allocated_bytes,
        cpu_time: &cpu_time,
    };
    let report = run(scale, &meter);
    if args.iter().any(|a| a == "--json") {
        println!("{}", serde_json::to_string_pretty(&report).unwrap_or_default());
    } else {
        println!("{report}");
    }
}

/// Returns the bytes that are currently allocated.
fn allocated_bytes() -> u64 {
    let stats = ALLOCATOR.stats();
    (stats.bytes_allocated - stats.bytes_deallocated) as u64
}

/// Returns the processor time that this thread has used.
fn cpu_time() -> Duration {
    ThreadTime::now().as_duration()
}
