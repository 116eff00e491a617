use crate::{Grace, Leave, Promise, Report, RunRecord, Violation};

/// Checks that leaving targets got no new work after the grace period.
pub(crate) fn check(record: &RunRecord, grace: Grace, report: &mut Report) {
    for leave in &record.leaves {
        let until = leave.at + grace.leave.as_micros() as u64;
        for at in work_of(record, leave) {
            report.note(Promise::LeavingTargets, in_time(leave, at, until));
        }
        // A target without work keeps the promise too.
        report.note(Promise::LeavingTargets, Ok(()));
    }
}

/// Times at which the target got work.
fn work_of(record: &RunRecord, leave: &Leave) -> Vec<u64> {
    let engine = record.engines.get(&leave.target);
    let drafts = engine
        .into_iter()
        .flat_map(|e| &e.drafts)
        .map(|run| run.at_micros);
    let service = record.services.get(&leave.target);
    let calls = service.into_iter().flat_map(|s| &s.runs).map(|run| run.at_micros);
    drafts.chain(calls).collect()
}

fn in_time(leave: &Leave, at: u64, until: u64) -> Result<(), Violation> {
    if at <= until {
        return Ok(());
    }
    Err(Violation::WorkAfterLeave {
        target: leave.target.clone(),
        late_micros: at - until,
    })
}
