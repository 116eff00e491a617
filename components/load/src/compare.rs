use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use error_stack::{Report, ResultExt};
use http_io::Executor;
use serde::Serialize;
use utils::WeightVersion;

use crate::caller::DirectCaller;
use crate::runner::{play_blocking, sleep_until};
use crate::{CallerConfig, Latencies, LatencySummary, LoadError, Trace};

/// Settings of a comparison.
#[derive(Debug, Clone)]
pub struct CompareConfig {
    /// The engine that both ways lead to.
    pub engine: SocketAddr,
    /// Weight version that it has loaded.
    pub weight_version: WeightVersion,
    /// The way through entry hosts.
    pub callers: CallerConfig,
    /// Requests at the start that are not counted.
    pub warm_up: usize,
}

/// Latencies of both ways, from one run side by side.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct Comparison {
    /// Straight to the engine.
    pub direct: LatencySummary,
    /// Through the entry host.
    pub entry: LatencySummary,
    /// By how much the first token came later, at the median, in milliseconds.
    pub first_token_later_p50_ms: f64,
    /// The same at the 99th percentile.
    pub first_token_later_p99_ms: f64,
    /// Requests through the entry host that did not end whole.
    pub failed: usize,
    /// Requests straight to the engine that did not end whole.
    pub direct_failed: usize,
}

/// Sends the same trace straight to an engine and through entry hosts, at the same time, from two threads.
///
/// # Errors
/// [`LoadError::Thread`] if a thread can not run.
pub fn compare(cfg: &CompareConfig, trace: &Trace) -> Result<Comparison, Report<LoadError>> {
    let (direct, entry) = std::thread::scope(|scope| {
        let direct = scope.spawn(|| play_direct(cfg, trace));
        let entry = scope.spawn(|| play_blocking(&cfg.callers, trace, Arc::new(())));
        (direct.join(), entry.join())
    });
    let (direct, direct_failed) = direct.map_err(|_| LoadError::Thread)?;
    let finished = entry
        .map_err(|_| Report::new(LoadError::Thread))
        .attach("entry")?;
    let mut latencies = Latencies::default();
    let counted = finished.iter().skip(cfg.warm_up);
    for one in counted.clone().filter(|f| f.request.received.whole) {
        latencies.add(&one.timing);
    }
    let failed = counted.filter(|f| !f.request.received.whole).count();
    let (direct, entry) = (direct.summary(), latencies.summary());
    Ok(Comparison {
        direct,
        entry,
        first_token_later_p50_ms: entry.first.p50 - direct.first.p50,
        first_token_later_p99_ms: entry.first.p99 - direct.first.p99,
        failed,
        direct_failed,
    })
}

fn play_direct(cfg: &CompareConfig, trace: &Trace) -> (Latencies, usize) {
    let ex: Executor = Arc::new(smol::Executor::new());
    let caller = DirectCaller::new(&ex, cfg.engine, cfg.weight_version);
    smol::block_on(ex.run(async {
        let start = Instant::now();
        let mut tasks = Vec::with_capacity(trace.arrivals.len());
        for arrival in &trace.arrivals {
            let due = start + arrival.at;
            sleep_until(due).await;
            let (caller, arrival) = (caller.clone(), arrival.clone());
            tasks.push(ex.spawn(async move { caller.run(&arrival, due).await }));
        }
        let (mut latencies, mut failed) = (Latencies::default(), 0);
        for task in tasks.into_iter().enumerate() {
            match task.1.await {
                Ok(Some(timing)) if task.0 >= cfg.warm_up => latencies.add(&timing),
                Ok(_) => {}
                Err(_) => failed += 1,
            }
        }
        (latencies, failed)
    }))
}
