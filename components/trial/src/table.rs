use tabled::builder::Builder;
use tabled::settings::Style;

use crate::TrialReport;

/// Formats a report as tables for a terminal.
pub fn report_table(report: &TrialReport) -> String {
    let mut text = format!("{}\n{}\n", summary_table(report), promise_table(report));
    for case in report.promises.iter().flat_map(|line| &line.cases) {
        text.push_str(&format!("broken: {case}\n"));
    }
    text
}

fn summary_table(report: &TrialReport) -> String {
    let first = &report.latencies.first;
    let rows = [
        ("seed", report.seed.to_string()),
        ("requests", report.requests.to_string()),
        ("answered", report.answered.to_string()),
        ("refused, not run", report.refused.to_string()),
        ("outcome unknown", report.unknown.to_string()),
        ("callers that came back", report.came_back.to_string()),
        ("prompt tokens from cache", percent(report.cached_share)),
        ("prompt tokens recomputed", percent(report.recomputed_share)),
        ("bytes between regions", report.work.link_bytes.to_string()),
        ("first token p50", format!("{:.1} ms", first.p50)),
        ("first token p95", format!("{:.1} ms", first.p95)),
    ];
    let mut builder = Builder::default();
    for (name, value) in rows {
        builder.push_record([name, value.as_str()]);
    }
    builder.build().with(Style::sharp()).to_string()
}

fn promise_table(report: &TrialReport) -> String {
    let mut builder = Builder::default();
    builder.push_record(["promise", "checked", "broken"]);
    for line in &report.promises {
        let (checked, broken) = (line.checked.to_string(), line.broken.to_string());
        builder.push_record([line.promise.name(), &checked, &broken]);
    }
    builder.build().with(Style::sharp()).to_string()
}

fn percent(share: f64) -> String {
    format!("{:.1} %", share * 100.0)
}
