use checker::{Promise, Report, RunRecord};
use errors::Outcome;
use loadgen::LatencySummary;
use serde::Serialize;

use crate::WorkSummary;

/// Results of a trial.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct TrialReport {
    /// Seed of the trace.
    pub seed: u64,
    /// Number of requests in the trace.
    pub requests: u64,
    /// Requests whose caller received the complete answer.
    pub answered: u64,
    /// Requests without a complete answer whose last outcome is `not-run`.
    pub refused: u64,
    /// Other requests without a complete answer: their outcome is `may-have-run` or there was no answer.
    pub unknown: u64,
    /// Requests that their caller retried or resumed at least once.
    pub came_back: u64,
    /// Share of the prompt tokens that were computed again, 0 to 1.
    pub recomputed_share: f64,
    /// Share of the prompt tokens that came from cache, 0 to 1.
    pub cached_share: f64,
    /// Token counts and traffic between regions.
    pub work: WorkSummary,
    /// Latencies of the requests with a complete answer.
    pub latencies: LatencySummary,
    /// Results for each of the nine promises.
    pub promises: Vec<PromiseLine>,
    /// Number of violations of any promise.
    pub broken: u64,
}

/// Results of a trial for one promise.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct PromiseLine {
    /// Promise that was checked.
    pub promise: Promise,
    /// Number of facts that were checked.
    pub checked: u64,
    /// Number of violations.
    pub broken: u64,
    /// Descriptions of the first violations.
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
            promises: promise_lines(verdict),
            broken: verdict.broken(),
        }
    }

    /// Returns whether every promise was kept.
    pub fn all_promises_kept(&self) -> bool {
        self.broken == 0
    }
}

fn promise_lines(verdict: &Report) -> Vec<PromiseLine> {
    let line = |(promise, found): (&Promise, &checker::PromiseReport)| PromiseLine {
        promise: *promise,
        checked: found.checked,
        broken: found.broken,
        cases: found.cases.iter().map(ToString::to_string).collect(),
    };
    verdict.promises.iter().map(line).collect()
}
