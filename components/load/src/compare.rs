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

/// Settings of [`compare`].
#[derive(Debug, Clone)]
pub struct CompareConfig {
    /// Address of the engine that serves both the direct requests and those through entry hosts.
    pub engine: SocketAddr,
    /// Weight version that the engine has loaded.
    pub weight_version: WeightVersion,
    /// Settings of the callers that send through entry hosts.
    pub callers: CallerConfig,
    /// Requests at the start of the trace whose latencies are not counted.
    pub warm_up: usize,
}

/// Latencies of direct requests and of requests through an entry host, measured in the same run.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct Comparison {
    /// Latencies of the requests that go directly to the engine.
    pub direct: LatencySummary,
    /// Latencies of the requests through the entry host.
    pub entry: LatencySummary,
    /// Median time to the first token through the entry host minus the direct median, in milliseconds.
    pub first_token_later_p50_ms: f64,
    /// Difference of the 99th percentiles of the time to the first token, in milliseconds.
    pub first_token_later_p99_ms: f64,
    /// Incomplete requests through the entry host, without the warm-up.
    pub failed: usize,
    /// Failed direct requests, with those of the warm-up.
    pub direct_failed: usize,
}

/// Sends the same trace directly to an engine and through entry hosts, at the same time, from two threads.
///
/// # Errors
/// Returns [`LoadError::Thread`] if a thread panics.
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
    for complete in counted.clone().filter(|f| f.request.received.whole) {
        latencies.add(&complete.timing);
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
