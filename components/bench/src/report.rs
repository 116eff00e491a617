use std::fmt;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use serde::Serialize;

use crate::options::{Deployment, Fault, Options, Strategy};
use crate::sim::{Outcome, simulate};

/// Measures of one strategy under one fault.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct Row {
    /// Deployment.
    pub deployment: Deployment,
    /// What failed.
    pub fault: Fault,
    /// Who decided.
    pub strategy: Strategy,
    /// Requests that were counted.
    pub requests: u64,
    /// Mean time to first token, in milliseconds.
    pub mean_ms: f64,
    /// Half of the times to first token are at most this, in milliseconds.
    pub p50_ms: f64,
    /// 95 of 100 are at most this.
    pub p95_ms: f64,
    /// 99 of 100 are at most this.
    pub p99_ms: f64,
    /// Prompt tokens in all.
    pub prompt_tokens: u64,
    /// Prompt tokens that were computed again.
    pub recomputed_tokens: u64,
    /// Bytes over the paid link, both ways.
    pub link_bytes: u64,
    /// Transfers over the paid link that did not fit its budget.
    pub over_budget: u64,
}

/// All rows of a bench.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize)]
pub struct Report {
    /// Seed of the traces.
    pub seed: u64,
    /// Length of a trace in virtual minutes.
    pub minutes: u32,
    /// The rows, by deployment, fault and strategy.
    pub rows: Vec<Row>,
}

impl Row {
    fn new(deployment: Deployment, fault: Fault, strategy: Strategy, outcome: &Outcome) -> Self {
        let ms = |quantile| outcome.first_token.value_at_quantile(quantile) as f64 / 1e3;
        Self {
            deployment,
            fault,
            strategy,
            requests: outcome.requests,
            mean_ms: outcome.first_token.mean() / 1e3,
            p50_ms: ms(0.5),
            p95_ms: ms(0.95),
            p99_ms: ms(0.99),
            prompt_tokens: outcome.prompt_tokens,
            recomputed_tokens: outcome.recomputed_tokens,
            link_bytes: outcome.link_bytes,
            over_budget: outcome.over_budget,
        }
    }

    /// Share of the prompt tokens that were computed again.
    pub fn recomputed_share(&self) -> f64 {
        self.recomputed_tokens as f64 / self.prompt_tokens.max(1) as f64
    }

    /// The deployment's main measure: mean milliseconds until the first token for Cadwaladr; recomputed tokens and
    /// paid bytes, weighted as the deployment weighs them, in milliseconds a request, for Permisos Verdes.
    pub fn main_measure(&self) -> f64 {
        let [_, recomputed, link] = self.deployment.sizes().weights;
        match self.deployment {
            Deployment::Cadwaladr => self.mean_ms,
            Deployment::PermisosVerdes => {
                let cost = self.recomputed_tokens as f64 * recomputed + self.link_bytes as f64 / 1e3 * link;
                cost / self.requests.max(1) as f64
            }
        }
    }
}

impl Report {
    /// The row of a strategy under a fault.
    pub fn row(&self, deployment: Deployment, fault: Fault, strategy: Strategy) -> Option<&Row> {
        let mut rows = self.rows.iter();
        rows.find(|r| (r.deployment, r.fault, r.strategy) == (deployment, fault, strategy))
    }

    /// By how much the policy's main measure is above the oracle's, as a share.
    pub fn gap(&self, deployment: Deployment, fault: Fault) -> Option<f64> {
        let policy = self.row(deployment, fault, Strategy::CacheAware)?.main_measure();
        let oracle = self.row(deployment, fault, Strategy::Oracle)?.main_measure();
        Some(policy / oracle - 1.0)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "seed {}, {} virtual minutes, the first third not counted",
            self.seed, self.minutes
        )?;
        writeln!(
            f,
            "{:<15} {:<13} {:<17} {:>8} {:>8} {:>8} {:>8} {:>7} {:>8} {:>9} {:>5}",
            "deployment",
            "fault",
            "strategy",
            "mean ms",
            "p50 ms",
            "p95 ms",
            "p99 ms",
            "recomp%",
            "link MB",
            "main",
            "over"
        )?;
        for row in &self.rows {
            writeln!(
                f,
                "{:<15} {:<13} {:<17} {:>8.0} {:>8.0} {:>8.0} {:>8.0} {:>7.2} {:>8.1} {:>9.1} {:>5}",
                format!("{:?}", row.deployment),
                format!("{:?}", row.fault),
                format!("{:?}", row.strategy),
                row.mean_ms,
                row.p50_ms,
                row.p95_ms,
                row.p99_ms,
                row.recomputed_share() * 100.0,
                row.link_bytes as f64 / 1e6,
                row.main_measure(),
                row.over_budget
            )?;
        }
        for deployment in [Deployment::PermisosVerdes, Deployment::Cadwaladr] {
            for fault in Fault::ALL {
                if let Some(gap) = self.gap(deployment, fault) {
                    writeln!(
                        f,
                        "{deployment:?} {fault:?}: main measure {:+.1}% against the oracle",
                        gap * 100.0
                    )?;
                }
            }
        }
        Ok(())
    }
}

/// Runs every strategy under every fault. The same options give the same report.
///
/// ```
/// use policy_bench::{Deployment, Fault, Options, Strategy};
/// let options = Options {
///     deployments: vec![Deployment::Cadwaladr],
///     faults: vec![Fault::None],
///     strategies: vec![Strategy::CacheAware],
///     minutes: 6,
///     ..Options::default()
/// };
/// assert_eq!(policy_bench::run(&options).rows[0].over_budget, 0);
/// ```
pub fn run(options: &Options) -> Report {
    let mut runs = Vec::new();
    for deployment in &options.deployments {
        for fault in &options.faults {
            runs.extend(
                options
                    .strategies
                    .iter()
                    .map(|strategy| (*deployment, *fault, *strategy)),
            );
        }
    }
    let next = AtomicUsize::new(0);
    let rows = Mutex::new(vec![None; runs.len()]);
    thread::scope(|scope| {
        for _ in 0..options.threads.max(1) {
            scope.spawn(|| {
                while let Some(&(deployment, fault, strategy)) =
                    runs.get(next.fetch_add(1, Ordering::Relaxed))
                {
                    let outcome = simulate(deployment, fault, strategy, options.seed, options.minutes);
                    let row = Row::new(deployment, fault, strategy, &outcome);
                    let at = runs.iter().position(|r| *r == (deployment, fault, strategy));
                    if let (Some(at), Ok(mut rows)) = (at, rows.lock()) {
                        rows[at] = Some(row);
                    }
                }
            });
        }
    });
    let rows = rows.into_inner().unwrap_or_default();
    Report {
        seed: options.seed,
        minutes: options.minutes,
        rows: rows.into_iter().flatten().collect(),
    }
}
