//! Measures the overhead of an entry host.
//!
//! The argument chooses the measurement: `compare` (the default) for the added latency, `saturate` for the
//! throughput, `streams` for the memory of open streams.

use std::time::Duration;

use loadgen::{CompareConfig, Preset, compare, hold_streams, latency_table, saturate};
use trial::SingleEntry;

/// Seed of all traces.
const SEED: u64 = 1;
/// Requests of the trace for `compare` and `saturate`; `compare` sends 500 per second.
const REQUESTS: u64 = 7_500;
/// Requests at the start of a comparison whose latencies are not counted.
const WARM_UP: usize = 1_000;
/// Concurrent callers of `saturate`.
const CALLERS: usize = 64;
/// Streams that `streams` holds open.
const STREAMS: u64 = 2_000;

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("saturate") => saturation(),
        Some("streams") => streams(),
        _ => comparison(),
    }
}

fn comparison() {
    let preset = Preset::short();
    let trace = preset.trace(SEED, REQUESTS);
    let single = start(&preset, &trace, Duration::ZERO);
    let cfg = CompareConfig {
        engine: single.engine(),
        weight_version: 1,
        callers: single.callers().clone(),
        warm_up: WARM_UP,
    };
    let found = compare(&cfg, &trace).expect("the threads run");
    println!("directly to the engine: {} failed", found.direct_failed);
    println!("{}", latency_table(&found.direct));
    println!("through the entry host: {} failed", found.failed);
    println!("{}", latency_table(&found.entry));
    println!(
        "added time to the first token: {:.3} ms at the median, {:.3} ms at p99",
        found.first_token_later_p50_ms, found.first_token_later_p99_ms
    );
    single.stop().expect("the threads end");
}

fn saturation() {
    let preset = Preset::short();
    let trace = preset.trace(SEED, REQUESTS);
    let single = start(&preset, &trace, Duration::ZERO);
    let found = saturate(single.callers(), &trace, CALLERS, Duration::from_secs(8));
    println!(
        "{:.0} answers per second with {} callers, {} failed, last statuses {:?}",
        found.answers_per_second, found.callers, found.failed, found.failed_statuses
    );
    println!("{}", latency_table(&found.latencies));
    single.stop().expect("the threads end");
}

fn streams() {
    let mut preset = Preset::short();
    preset.max_tokens = 400..401;
    let trace = preset.trace(SEED, STREAMS);
    let single = start(&preset, &trace, Duration::from_millis(25));
    let before = resident_kib();
    let mut open = 0;
    let held = hold_streams(single.callers(), &trace, Duration::from_secs(5), || {
        open = resident_kib()
    });
    println!("{} of {} streams completed", held.whole, held.wanted);
    println!(
        "resident memory of callers, engine and entry host together: \
         {before} KiB before, {open} KiB with all streams open, {} KiB per stream",
        open.saturating_sub(before) / STREAMS
    );
    single.stop().expect("the threads end");
}

fn start(preset: &Preset, trace: &loadgen::Trace, time_per_output_token: Duration) -> SingleEntry {
    let log = slog::Logger::root(slog::Discard, slog::o!());
    SingleEntry::start(preset, trace, time_per_output_token, &log).expect("the deployment starts")
}

/// Returns the resident memory of this process, in KiB.
fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.trim().strip_suffix("kB")?.trim().parse().ok());
    number.unwrap_or_default()
}
