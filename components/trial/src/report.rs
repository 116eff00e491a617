use checker::{Promise, Report, RunRecord};
use errors::Outcome;
use loadgen::LatencySummary;
use serde::Serialize;

use crate::WorkSummary;

/// What a trial found.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct TrialReport {
    /// Seed of the trace.
    pub seed: u64,
    /// Requests in the trace.
    pub requests: u64,
    /// Requests whose caller got the whole answer.
    pub answered: u64,
    /// Requests that ended with `not-run`.
    pub refused: u64,
    /// Requests that ended otherwise: `may-have-run` or no answer.
    pub unknown: u64,
    /// Requests whose caller came back at least once.
    pub came_back: u64,
    /// Share of prompt tokens that were computed again.
    pub recomputed_share: f64,
    /// Share of prompt tokens that came from cache.
    pub cached_share: f64,
    /// Prompt work and link use.
    pub work: WorkSummary,
    /// Latencies.
    pub latencies: LatencySummary,
    /// The nine promises.
    pub promises: Vec<PromiseLine>,
    /// Facts that break a promise.
    pub broken: u64,
}

/// One promise in a report.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct PromiseLine {
    /// The promise.
    pub promise: Promise,
    /// Facts that were checked.
    pub checked: u64,
    /// Facts that break it.
    pub broken: u64,
    /// The first broken cases.
    pub cases: Vec<String>,
}

impl TrialReport {
    pub(crate) fn new(
        seed: u64,
        record: &RunRecord,
        latencies: LatencySummary,
        work: WorkSummary,
        verdict: &Report,
    ) -> Self {
        let requests = &record.requests;
        let answered = requests.iter().filter(|req| req.received.whole).count() as u64;
        let is_refused = |req: &&checker::CallerRequest| {
            let last = req.exchanges.last().and_then(|exchange| exchange.outcome);
            !req.received.whole && last == Some(Outcome::NotRun)
        };
        let refused = requests.iter().filter(is_refused).count() as u64;
        let total = requests.len() as u64;
        Self {
            seed,
            requests: total,
            answered,
            refused,
            unknown: total - answered - refused,
            came_back: requests.iter().filter(|req| req.exchanges.len() > 1).count() as u64,
            recomputed_share: work.recomputed_share(),
            cached_share: work.cached_share(),
            work,
            latencies,
            promises: lines(verdict),
            broken: verdict.broken(),
        }
    }

    /// Whether every promise was kept.
    pub fn all_promises_kept(&self) -> bool {
        self.broken == 0
    }
}

fn lines(verdict: &Report) -> Vec<PromiseLine> {
    let line = |(promise, found): (&Promise, &checker::PromiseReport)| PromiseLine {
        promise: *promise,
        checked: found.checked,
        broken: found.broken,
        cases: found.cases.iter().map(ToString::to_string).collect(),
    };
    verdict.promises.iter().map(line).collect()
}
