use crate::{Grace, Leave, Promise, Report, RunRecord, Violation};

/// Checks that leaving targets received no new work after the grace period.
pub(crate) fn check(record: &RunRecord, grace: Grace, report: &mut Report) {
    for leave in &record.leaves {
        let deadline = leave.at + grace.leave.as_micros() as u64;
        for at in work_times(record, leave) {
            report.record(Promise::LeavingTargets, check_time(leave, at, deadline));
        }
        // Counts one passed check for each leaving target, also for a target without work.
        report.record(Promise::LeavingTargets, Ok(()));
    }
}

/// Returns the times at which the target received work, in microseconds since the Unix epoch.
fn work_times(record: &RunRecord, leave: &Leave) -> Vec<u64> {
    let engine = record.engines.get(&leave.target);
    let drafts = engine
        .into_iter()
        .flat_map(|e| &e.drafts)
        .map(|run| run.at_micros);
    let service = record.services.get(&leave.target);
    let calls = service.into_iter().flat_map(|s| &s.runs).map(|run| run.at_micros);
    drafts.chain(calls).collect()
}

fn check_time(leave: &Leave, at: u64, deadline: u64) -> Result<(), Violation> {
    if at <= deadline {
        return Ok(());
    }
    Err(Violation::WorkAfterLeave {
        target: leave.target.clone(),
        late_micros: at - deadline,
    })
}
