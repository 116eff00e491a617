use tabled::settings::Style;
use tabled::{Table, Tabled};

use crate::{LatencySummary, Quantiles};

/// Quantiles of one kind of latency as the columns of the table, in milliseconds.
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

/// Formats latencies as a table for a terminal.
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
    let format_ms = |ms: f64| format!("{ms:.3}");
    Row {
        latency,
        count: quantiles.count,
        p50: format_ms(quantiles.p50),
        p95: format_ms(quantiles.p95),
        p99: format_ms(quantiles.p99),
        max: format_ms(quantiles.max),
    }
}
