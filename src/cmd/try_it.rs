use std::io::IsTerminal;
use std::sync::Arc;

use error_stack::{Report, ResultExt};
use indicatif::{ProgressBar, ProgressStyle};
use loadgen::{Finished, PlayObserver};
use trial::TrialConfig;

use crate::cli::{OutputFormat, TryArgs};
use crate::exit::CommandError;

/// Progress bar that counts finished requests.
struct Progress(ProgressBar);

impl PlayObserver for Progress {
    fn finished(&self, _: &Finished) {
        self.0.inc(1);
    }
}

/// Runs a trial and prints its report; fails if a promise is broken.
pub(crate) fn try_it(args: &TryArgs) -> Result<(), Report<CommandError>> {
    let preset = super::preset(&args.preset)?;
    let cfg = TrialConfig {
        preset,
        seed: args.seed,
        requests: args.requests,
    };
    let bar = progress_bar(cfg.requests);
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let report = trial::run(&cfg, &log, Arc::new(Progress(bar.clone())));
    bar.finish_and_clear();
    let report = report.change_context(CommandError::Failed)?;
    match args.format {
        OutputFormat::Table => super::print_text(&trial::report_table(&report)),
        OutputFormat::Json => super::print_json(&report),
    }
    if report.all_promises_kept() {
        return Ok(());
    }
    Err(Report::new(CommandError::BrokenPromise).change_context(CommandError::Failed))
}

fn progress_bar(requests: u64) -> ProgressBar {
    if !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let bar = ProgressBar::new(requests);
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} requests, {elapsed}") {
        bar.set_style(style);
    }
    bar
}
