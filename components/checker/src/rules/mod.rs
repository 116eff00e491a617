mod answers;
mod cache;
mod calls;
mod hosts;
mod leaving;
mod notes;
mod outcomes;

use crate::{Grace, Report, RunRecord};

/// Checks a run against all nine promises.
///
/// ```
/// let report = checker::check(&checker::RunRecord::default(), checker::Grace::default());
/// assert_eq!(report.broken(), 0);
/// ```
pub fn check(record: &RunRecord, grace: Grace) -> Report {
    let mut report = Report::new();
    cache::check(record, &mut report);
    answers::check(record, &mut report);
    calls::check(record, &mut report);
    outcomes::check(record, &mut report);
    leaving::check(record, grace, &mut report);
    hosts::check(record, &mut report);
    notes::check(record, grace, &mut report);
    report
}
