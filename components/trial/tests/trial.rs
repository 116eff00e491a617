//! Runs a short trial over real sockets, with faults.

use std::sync::Arc;

use checker::Promise;
use trial::{TrialConfig, run};

#[test]
fn a_trial_keeps_all_promises() {
    let cfg = TrialConfig {
        seed: 3,
        requests: 120,
        ..TrialConfig::default()
    };
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let report = run(&cfg, &log, Arc::new(())).unwrap();
    // The trace has 120 planned requests, 3 requests that have to be refused (one for each 40) and 6 long
    // drafts that are open at the drain.
    assert_eq!(report.requests, 129);
    assert!(report.refused >= 3);
    assert_eq!(report.broken, 0, "{}", trial::report_table(&report));
    assert_eq!(report.answered + report.refused + report.unknown, 129);
    // Only intact cache may have nothing to check, if no engine imported or used a cache block.
    let checked = |line: &&trial::PromiseLine| line.checked > 0 || line.promise == Promise::IntactCache;
    assert!(report.promises.iter().all(|line| checked(&line)), "{report:?}");
}
