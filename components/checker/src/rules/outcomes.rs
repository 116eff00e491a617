use std::collections::HashMap;

use errors::Outcome;
use utils::TargetId;

use crate::{CallerRequest, Exchange, Promise, Report, RunRecord, Violation};

/// Checks that no target ran a request whose caller received the outcome `not-run`.
pub(crate) fn check(record: &RunRecord, report: &mut Report) {
    let ran = targets_by_request(record);
    for req in &record.requests {
        let not_run = req
            .exchanges
            .iter()
            .filter(|e| e.outcome == Some(Outcome::NotRun));
        for exchange in not_run {
            report.record(Promise::TrueNotRun, check_not_run(req, exchange, &ran));
        }
    }
}

/// Returns the target that ran each request, by the identifier of the request.
fn targets_by_request(record: &RunRecord) -> HashMap<String, TargetId> {
    let mut ran = HashMap::new();
    for (target, engine) in &record.engines {
        for run in &engine.drafts {
            ran.insert(format!("{:032x}", run.request_id), target.clone());
        }
    }
    for (target, service) in &record.services {
        for run in &service.runs {
            ran.insert(run.request_id.clone(), target.clone());
        }
    }
    ran
}

fn check_not_run(
    req: &CallerRequest,
    exchange: &Exchange,
    ran: &HashMap<String, TargetId>,
) -> Result<(), Violation> {
    match ran.get(&exchange.request_id) {
        Some(target) => Err(Violation::FalseNotRun {
            number: req.number,
            request: exchange.request_id.clone(),
            target: target.clone(),
        }),
        None => Ok(()),
    }
}
