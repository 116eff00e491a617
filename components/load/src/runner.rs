use std::sync::Arc;
use std::time::{Duration, Instant};

use http_io::Executor;

use crate::{Arrival, Caller, CallerConfig, Finished, Trace};

/// What playing a trace is told about.
pub trait PlayObserver: Send + Sync {
    /// A request ended.
    fn finished(&self, finished: &Finished) {
        let _ = finished;
    }
}

impl PlayObserver for () {}

/// Plays a trace open-loop: each request starts when it is due, however long earlier ones take.
pub async fn play(
    ex: &Executor,
    caller: &Caller,
    trace: &Trace,
    watch: Arc<dyn PlayObserver>,
) -> Vec<Finished> {
    let start = Instant::now();
    let mut tasks = Vec::with_capacity(trace.arrivals.len());
    for arrival in &trace.arrivals {
        let due = start + arrival.at;
        sleep_until(due).await;
        tasks.push(ex.spawn(one(caller.clone(), arrival.clone(), due, watch.clone())));
    }
    let mut all = Vec::with_capacity(tasks.len());
    for task in tasks {
        all.push(task.await);
    }
    all
}

/// As [`play`], on an executor of its own.
pub fn play_blocking(cfg: &CallerConfig, trace: &Trace, watch: Arc<dyn PlayObserver>) -> Vec<Finished> {
    let ex: Executor = Arc::new(smol::Executor::new());
    let caller = Caller::new(&ex, cfg.clone());
    smol::block_on(ex.run(play(&ex, &caller, trace, watch)))
}

async fn one(caller: Caller, arrival: Arrival, due: Instant, watch: Arc<dyn PlayObserver>) -> Finished {
    let finished = caller.run(&arrival, due).await;
    watch.finished(&finished);
    finished
}

pub(crate) async fn sleep_until(due: Instant) {
    let left = due.saturating_duration_since(Instant::now());
    if left > Duration::ZERO {
        smol::Timer::after(left).await;
    }
}
