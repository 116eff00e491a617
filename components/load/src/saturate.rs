use std::sync::Arc;
use std::time::{Duration, Instant};

use http_io::Executor;
use serde::Serialize;

use crate::{Arrival, Caller, CallerConfig, Latencies, LatencySummary, Trace};

/// Throughput of a system under callers that send their next request as soon as the last one has ended.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct Saturation {
    /// Concurrent callers.
    pub callers: usize,
    /// Complete answers per second.
    pub answers_per_second: f64,
    /// Requests without a complete answer.
    pub failed: u64,
    /// HTTP status of the last exchange of each failed request; 0 if there was no answer.
    pub failed_statuses: Vec<u16>,
    /// Latencies of the complete answers, measured from when each request was sent.
    pub latencies: LatencySummary,
}

/// Result of [`hold_streams`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
pub struct OpenStreams {
    /// Streams that were requested.
    pub wanted: usize,
    /// Streams that completed.
    pub whole: usize,
}

/// Measures throughput in a closed loop.
///
/// Each of `callers` concurrent callers sends its share of the trace over and over, one request after
/// another, and starts no new request once `duration` has passed.
pub fn saturate(cfg: &CallerConfig, trace: &Trace, callers: usize, duration: Duration) -> Saturation {
    let ex: Executor = Arc::new(smol::Executor::new());
    let caller = Caller::new(&ex, cfg.clone());
    let deadline = Instant::now() + duration;
    let started_at = Instant::now();
    let results = smol::block_on(ex.run(async {
        let share_of = |i: usize| trace.arrivals.iter().skip(i).step_by(callers).cloned().collect();
        let tasks: Vec<_> = (0..callers)
            .map(|i| ex.spawn(closed_loop(caller.clone(), share_of(i), deadline)))
            .collect();
        let mut results = Vec::new();
        for task in tasks {
            results.push(task.await);
        }
        results
    }));
    let mut latencies = Latencies::default();
    let (mut answers, mut failed_statuses) = (0_u64, Vec::new());
    for result in results {
        let _ = latencies.first.add(result.latencies.first);
        let _ = latencies.between.add(result.latencies.between);
        let _ = latencies.whole.add(result.latencies.whole);
        answers += result.complete;
        failed_statuses.extend(result.failed_statuses);
    }
    Saturation {
        callers,
        answers_per_second: answers as f64 / started_at.elapsed().as_secs_f64(),
        failed: failed_statuses.len() as u64,
        failed_statuses,
        latencies: latencies.summary(),
    }
}

/// Results of one caller of a closed loop.
struct CallerResult {
    /// Number of complete answers.
    complete: u64,
    /// HTTP status of the last exchange of each failed request; 0 if there was no answer.
    failed_statuses: Vec<u16>,
    /// Latencies of the complete answers.
    latencies: Latencies,
}

async fn closed_loop(caller: Caller, arrivals: Vec<Arrival>, deadline: Instant) -> CallerResult {
    let mut result = CallerResult {
        complete: 0,
        failed_statuses: Vec::new(),
        latencies: Latencies::default(),
    };
    for arrival in arrivals.iter().cycle() {
        if Instant::now() >= deadline {
            break;
        }
        let finished = caller.run(arrival, Instant::now()).await;
        if finished.request.received.whole {
            result.complete += 1;
            result.latencies.add(&finished.timing);
        } else {
            let last = finished.request.exchanges.last();
            result
                .failed_statuses
                .push(last.map_or(0, |exchange| exchange.status));
        }
    }
    result
}

/// Starts all requests of a trace at once, calls `on_open` after `settle_time` and waits until all requests
/// have ended.
///
/// `settle_time` has to be long enough for all streams to be open.
pub fn hold_streams(
    cfg: &CallerConfig,
    trace: &Trace,
    settle_time: Duration,
    on_open: impl FnOnce(),
) -> OpenStreams {
    let ex: Executor = Arc::new(smol::Executor::new());
    let caller = Caller::new(&ex, cfg.clone());
    let whole = smol::block_on(ex.run(async {
        let run = |arrival: Arrival| {
            let caller = caller.clone();
            async move { caller.run(&arrival, Instant::now()).await }
        };
        let tasks: Vec<_> = trace.arrivals.iter().cloned().map(|a| ex.spawn(run(a))).collect();
        smol::Timer::after(settle_time).await;
        on_open();
        let mut whole = 0;
        for task in tasks {
            whole += usize::from(task.await.request.received.whole);
        }
        whole
    }));
    OpenStreams {
        wanted: trace.arrivals.len(),
        whole,
    }
}
