use std::path::Path;

use error_stack::{Report, ResultExt};
use policy_bench::{Options, run, write_plots};

use crate::cli::{BenchPolicyArgs, OutputFormat};
use crate::exit::CommandError;

/// File name of the JSON report in the output directory.
const REPORT_FILE: &str = "policy-bench.json";

/// Runs the policy bench and prints its report.
pub(crate) fn bench_policy(args: &BenchPolicyArgs) -> Result<(), Report<CommandError>> {
    let report = run(&Options {
        seed: args.seed,
        minutes: args.minutes,
        threads: args.threads,
        ..Options::default()
    });
    match args.format {
        OutputFormat::Table => super::print_text(&report.to_string()),
        OutputFormat::Json => super::print_json(&report),
    }
    match &args.out {
        Some(dir) => write_report(&report, dir),
        None => Ok(()),
    }
}

fn write_report(report: &policy_bench::Report, dir: &Path) -> Result<(), Report<CommandError>> {
    std::fs::create_dir_all(dir).change_context(CommandError::Failed)?;
    let json = serde_json::to_vec_pretty(report).change_context(CommandError::Failed)?;
    std::fs::write(dir.join(REPORT_FILE), json).change_context(CommandError::Failed)?;
    write_plots(report, dir).change_context(CommandError::Failed)
}
