use tabled::settings::Style;
use tabled::{Table, Tabled};

use crate::{LatencySummary, Quantiles};

#[derive(Tabled)]
struct Row {
    latency: &'static str,
    count: u64,
    #[tabled(rename = "p50 ms")]
    p50: String,
    #[tabled(rename = "p95 ms")]
    p95: String,
    #[tabled(rename = "p99 ms")]
    p99: String,
    #[tabled(rename = "max ms")]
    max: String,
}

/// Latencies as a table for a terminal.
///
/// ```
/// let table = loadgen::latency_table(&loadgen::LatencySummary::default());
/// assert!(table.contains("first token"));
/// ```
pub fn latency_table(summary: &LatencySummary) -> String {
    let rows = [
        row("first token", &summary.first),
        row("between tokens", &summary.between),
        row("whole", &summary.whole),
    ];
    Table::new(rows).with(Style::sharp()).to_string()
}

fn row(latency: &'static str, quantiles: &Quantiles) -> Row {
    let text = |ms: f64| format!("{ms:.3}");
    Row {
        latency,
        count: quantiles.count,
        p50: text(quantiles.p50),
        p95: text(quantiles.p95),
        p99: text(quantiles.p99),
        max: text(quantiles.max),
    }
}
