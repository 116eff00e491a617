use std::sync::Arc;
use std::time::{Duration, Instant};

use http_io::Executor;

use crate::{Arrival, Caller, CallerConfig, Finished, Trace};

/// Observer of the requests of a trace that is being played.
pub trait PlayObserver: Send + Sync {
    /// Called after a request has ended.
    fn finished(&self, finished: &Finished) {
        let _ = finished;
    }
}

impl PlayObserver for () {}

/// Plays a trace in an open loop and returns its requests in the order of the trace.
///
/// Each request starts when it is due, whether or not earlier requests have ended.
pub async fn play(
    ex: &Executor,
    caller: &Caller,
    trace: &Trace,
    observer: Arc<dyn PlayObserver>,
) -> Vec<Finished> {
    let start = Instant::now();
    let mut tasks = Vec::with_capacity(trace.arrivals.len());
    for arrival in &trace.arrivals {
        let due = start + arrival.at;
        sleep_until(due).await;
        tasks.push(ex.spawn(run_arrival(
            caller.clone(),
            arrival.clone(),
            due,
            observer.clone(),
        )));
    }
    let mut finished = Vec::with_capacity(tasks.len());
    for task in tasks {
        finished.push(task.await);
    }
    finished
}

/// Plays a trace like [`play`], on a new executor, and blocks until all requests have ended.
pub fn play_blocking(cfg: &CallerConfig, trace: &Trace, observer: Arc<dyn PlayObserver>) -> Vec<Finished> {
    let ex: Executor = Arc::new(smol::Executor::new());
    let caller = Caller::new(&ex, cfg.clone());
    smol::block_on(ex.run(play(&ex, &caller, trace, observer)))
}

async fn run_arrival(
    caller: Caller,
    arrival: Arrival,
    due: Instant,
    observer: Arc<dyn PlayObserver>,
) -> Finished {
    let finished = caller.run(&arrival, due).await;
    observer.finished(&finished);
    finished
}

pub(crate) async fn sleep_until(due: Instant) {
    let left = due.saturating_duration_since(Instant::now());
    if left > Duration::ZERO {
        smol::Timer::after(left).await;
    }
}
