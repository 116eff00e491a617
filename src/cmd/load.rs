use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use checker::Report as Verdict;
use error_stack::{Report, ResultExt};
use loadgen::{
    CallerConfig, CompareConfig, Comparison, Entry, Finished, Latencies, LatencySummary, OpenStreams,
    RecordSources, Saturation, Trace,
};
use serde::Serialize;
use utils::WorkspaceId;

use crate::cli::{LoadArgs, NamedAddress, OutputFormat};
use crate::exit::CommandError;

/// Number of requests at the start of a comparison that are not counted.
const WARM_UP_REQUESTS: usize = 500;
/// Time to wait after all streams are open before memory is measured.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Result of a run of the trace.
#[derive(Serialize)]
struct LoadReport {
    /// Requests with a complete answer.
    answered: usize,
    /// Requests without a complete answer.
    failed: usize,
    /// Latencies of the answered requests.
    latencies: LatencySummary,
    /// Results of the checks of the nine promises.
    verdict: Verdict,
}

/// Result of a run with all streams held open.
#[derive(Serialize)]
struct HoldReport {
    /// Counts of streams.
    streams: OpenStreams,
    /// Resident memory before the streams open, in bytes.
    before_bytes: Option<u64>,
    /// Resident memory with all streams open, in bytes.
    open_bytes: Option<u64>,
    /// Growth of resident memory per stream, in bytes.
    bytes_per_stream: Option<u64>,
}

/// Sends load to a running system and prints a report; fails if a promise is broken.
pub(crate) fn load(args: &LoadArgs) -> Result<(), Report<CommandError>> {
    let mut preset = super::preset(&args.preset)?;
    if let Some(rate) = args.rate {
        preset.requests_per_second = rate;
    }
    if args.hold {
        // 1,000 tokens keep every stream open until all are open.
        preset.max_tokens = 1_000..1_001;
    }
    let trace = preset.trace(args.seed, args.requests);
    let callers = callers(args, &trace);
    if let Some(engine) = args.direct {
        let cfg = CompareConfig {
            engine,
            weight_version: 1,
            callers,
            warm_up: WARM_UP_REQUESTS,
        };
        let comparison = loadgen::compare(&cfg, &trace).change_context(CommandError::Failed)?;
        print_report(args, &comparison, comparison_text);
        return Ok(());
    }
    if let Some(count) = args.saturate {
        let time = Duration::from_secs(args.seconds);
        let saturation = loadgen::saturate(&callers, &trace, count, time);
        print_report(args, &saturation, saturation_text);
        return Ok(());
    }
    if args.hold {
        print_report(args, &hold(args, &callers, &trace), hold_text);
        return Ok(());
    }
    replay(args, &callers, &trace)
}

fn replay(args: &LoadArgs, callers: &CallerConfig, trace: &Trace) -> Result<(), Report<CommandError>> {
    let finished = loadgen::play_blocking(callers, trace, Arc::new(()));
    let sources = RecordSources {
        engines: targets(&args.engine),
        services: targets(&args.service),
    };
    let verdict = loadgen::check_run(&sources, &finished).change_context(CommandError::Failed)?;
    let broken = verdict.broken();
    print_report(args, &report(&finished, verdict), load_text);
    if broken == 0 {
        return Ok(());
    }
    Err(Report::new(CommandError::BrokenPromise).change_context(CommandError::Failed))
}

fn report(finished: &[Finished], verdict: Verdict) -> LoadReport {
    let mut latencies = Latencies::default();
    let whole = finished.iter().filter(|one| one.request.received.whole);
    let answered = whole.inspect(|one| latencies.add(&one.timing)).count();
    LoadReport {
        answered,
        failed: finished.len() - answered,
        latencies: latencies.summary(),
        verdict,
    }
}

fn hold(args: &LoadArgs, callers: &CallerConfig, trace: &Trace) -> HoldReport {
    let memory = || args.watch_pid.and_then(resident_bytes);
    let before_bytes = memory();
    let mut open_bytes = None;
    let streams = loadgen::hold_streams(callers, trace, SETTLE_TIME, || open_bytes = memory());
    let grown = open_bytes
        .zip(before_bytes)
        .map(|(open, before)| open.saturating_sub(before));
    HoldReport {
        streams,
        before_bytes,
        open_bytes,
        bytes_per_stream: grown.map(|bytes| bytes / streams.wanted.max(1) as u64),
    }
}

/// Returns the resident memory of a process from /proc, in bytes.
fn resident_bytes(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kib: u64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kib << 10)
}

fn callers(args: &LoadArgs, trace: &Trace) -> CallerConfig {
    let entries = args.entry.iter().map(|e| Entry::new(e.name.as_str(), e.address));
    let keys_by_workspace: HashMap<_, _> = args.key.iter().cloned().collect();
    let key = |workspace: &WorkspaceId| {
        let key = keys_by_workspace.get(&**workspace).cloned();
        key.unwrap_or_else(|| format!("key-of-{workspace}"))
    };
    let keys = trace.workspaces().into_iter().map(|w| (w.clone(), key(&w)));
    CallerConfig::new(entries.collect(), keys.collect())
}

fn targets(named: &[NamedAddress]) -> Vec<(utils::TargetId, std::net::SocketAddr)> {
    named
        .iter()
        .map(|n| (n.name.as_str().into(), n.address))
        .collect()
}

fn print_report<T: Serialize>(args: &LoadArgs, report: &T, text: impl Fn(&T) -> String) {
    match args.format {
        OutputFormat::Table => super::print_text(&text(report)),
        OutputFormat::Json => super::print_json(report),
    }
}

fn load_text(report: &LoadReport) -> String {
    let mut text = format!(
        "answered {}, failed {}\n{}\n",
        report.answered,
        report.failed,
        loadgen::latency_table(&report.latencies)
    );
    for (promise, checks) in &report.verdict.promises {
        text += &format!(
            "{promise}: {} checked, {} broken\n",
            checks.checked, checks.broken
        );
        for case in &checks.cases {
            text += &format!("broken: {case}\n");
        }
    }
    text
}

fn comparison_text(comparison: &Comparison) -> String {
    format!(
        "straight to the engine ({} failed)\n{}\nthrough the entry host ({} failed)\n{}\n\
         first token later by {:.3} ms at the median, {:.3} ms at p99\n",
        comparison.direct_failed,
        loadgen::latency_table(&comparison.direct),
        comparison.failed,
        loadgen::latency_table(&comparison.entry),
        comparison.first_token_later_p50_ms,
        comparison.first_token_later_p99_ms
    )
}

fn saturation_text(saturation: &Saturation) -> String {
    format!(
        "{:.0} answers a second with {} callers, {} failed, last statuses {:?}\n{}\n",
        saturation.answers_per_second,
        saturation.callers,
        saturation.failed,
        saturation.failed_statuses,
        loadgen::latency_table(&saturation.latencies)
    )
}

fn hold_text(report: &HoldReport) -> String {
    let mut text = format!(
        "{} of {} streams ended whole\n",
        report.streams.whole, report.streams.wanted
    );
    if let (Some(before), Some(open), Some(each)) =
        (report.before_bytes, report.open_bytes, report.bytes_per_stream)
    {
        text += &format!("resident memory {before} bytes before, {open} open, {each} for each stream\n");
    }
    text
}
