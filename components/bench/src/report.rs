use std::fmt;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use serde::Serialize;

use crate::options::{Deployment, Fault, Options, Strategy};
use crate::sim::{RunMetrics, simulate};

/// Measurements of a strategy under a fault.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct Row {
    /// Simulated deployment.
    pub deployment: Deployment,
    /// Injected fault.
    pub fault: Fault,
    /// Strategy that placed the requests.
    pub strategy: Strategy,
    /// Requests that were measured.
    pub requests: u64,
    /// Mean time to first token, in milliseconds.
    pub mean_ms: f64,
    /// Median time to first token, in milliseconds.
    pub p50_ms: f64,
    /// 95th percentile of the time to first token, in milliseconds.
    pub p95_ms: f64,
    /// 99th percentile of the time to first token, in milliseconds.
    pub p99_ms: f64,
    /// Prompt tokens of all measured requests.
    pub prompt_tokens: u64,
    /// Prompt tokens that were computed again.
    pub recomputed_tokens: u64,
    /// Bytes over the paid link, both ways.
    pub link_bytes: u64,
    /// Transfers over the paid link that exceeded its budget.
    pub over_budget: u64,
}

/// Result of a benchmark.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize)]
pub struct Report {
    /// Seed from which the traces were generated.
    pub seed: u64,
    /// Length of a trace, in virtual minutes.
    pub minutes: u32,
    /// Rows, ordered by deployment, fault and strategy.
    pub rows: Vec<Row>,
}

impl Row {
    fn new(deployment: Deployment, fault: Fault, strategy: Strategy, metrics: &RunMetrics) -> Self {
        let ms = |quantile| metrics.first_token.value_at_quantile(quantile) as f64 / 1e3;
        Self {
            deployment,
            fault,
            strategy,
            requests: metrics.requests,
            mean_ms: metrics.first_token.mean() / 1e3,
            p50_ms: ms(0.5),
            p95_ms: ms(0.95),
            p99_ms: ms(0.99),
            prompt_tokens: metrics.prompt_tokens,
            recomputed_tokens: metrics.recomputed_tokens,
            link_bytes: metrics.link_bytes,
            over_budget: metrics.over_budget,
        }
    }

    /// Returns the share of the prompt tokens that were computed again.
    pub fn recomputed_share(&self) -> f64 {
        self.recomputed_tokens as f64 / self.prompt_tokens.max(1) as f64
    }

    /// Returns the main measure of the deployment, in milliseconds per request. For Cadwaladr this is the
    /// mean time to first token; for Permisos Verdes the cost of recomputed tokens and of bytes over the paid
    /// link, with the weights of the deployment.
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
    /// Returns the row of a strategy under a fault.
    pub fn row(&self, deployment: Deployment, fault: Fault, strategy: Strategy) -> Option<&Row> {
        let mut rows = self.rows.iter();
        rows.find(|r| (r.deployment, r.fault, r.strategy) == (deployment, fault, strategy))
    }

    /// Returns by how much the policy's main measure exceeds the oracle's, as a share of the oracle's.
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

/// Runs every strategy under every fault of every deployment. The report is deterministic for given options.
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
                    let metrics = simulate(deployment, fault, strategy, options.seed, options.minutes);
                    let row = Row::new(deployment, fault, strategy, &metrics);
                    let index = runs.iter().position(|r| *r == (deployment, fault, strategy));
                    if let (Some(index), Ok(mut rows)) = (index, rows.lock()) {
                        rows[index] = Some(row);
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
