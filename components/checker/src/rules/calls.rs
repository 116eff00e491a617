use std::collections::BTreeMap;

use errors::Outcome;
use standins::{CallRun, Receipt};
use utils::WorkspaceId;

use crate::{CallBody, CallerRequest, Promise, Report, RunRecord, Violation, Work};

/// Identifies a call: workspace, service and idempotency key.
type CallId = (WorkspaceId, String, String);

/// Checks how often each call ran, and that its caller received the answer to that call.
pub(crate) fn check(record: &RunRecord, report: &mut Report) {
    let runs = runs(record);
    let repeatable = repeatable(record);
    for (id, count) in &runs {
        if !repeatable.contains(id) {
            report.record(Promise::AtMostOnce, check_runs(id, *count));
        }
    }
    for req in &record.requests {
        let Work::Call(body) = &req.work else {
            continue;
        };
        report.record(Promise::WholeAnswers, check_reply(req, body));
        // Whether a call ran is known only from the records of the services.
        if req.received.whole && !record.services.is_empty() {
            let id = id_of(req, body);
            report.record(Promise::WholeAnswers, check_ran(req, runs.contains_key(&id)));
        }
    }
}

fn runs(record: &RunRecord) -> BTreeMap<CallId, usize> {
    let mut runs = BTreeMap::new();
    for run in record.services.values().flat_map(|service| &service.runs) {
        *runs.entry(id_of_run(run)).or_default() += 1;
    }
    runs
}

fn repeatable(record: &RunRecord) -> Vec<CallId> {
    let calls = record.requests.iter().filter_map(|req| match &req.work {
        Work::Call(body) if body.repeatable => Some(id_of(req, body)),
        _ => None,
    });
    calls.collect()
}

fn id_of_run(run: &CallRun) -> CallId {
    let service = run.path.split('/').next().unwrap_or_default();
    (run.workspace.clone(), service.to_owned(), run.key.clone())
}

fn id_of(req: &CallerRequest, body: &CallBody) -> CallId {
    (req.workspace.clone(), body.service.to_string(), body.key.clone())
}

fn check_runs((workspace, service, key): &CallId, runs: usize) -> Result<(), Violation> {
    if runs <= 1 {
        return Ok(());
    }
    Err(Violation::RanAgain {
        workspace: workspace.clone(),
        service: service.clone(),
        key: key.clone(),
        runs,
    })
}

fn check_reply(req: &CallerRequest, body: &CallBody) -> Result<(), Violation> {
    if !req.received.whole {
        return Ok(());
    }
    let expected = Receipt {
        workspace: req.workspace.clone(),
        path: format!("{}/{}", body.service, body.path),
        key: body.key.clone(),
        body: body.body,
    };
    if req.received.body == expected.to_text() {
        return Ok(());
    }
    Err(Violation::WrongReply { number: req.number })
}

fn check_ran(req: &CallerRequest, ran: bool) -> Result<(), Violation> {
    let outcome = req.exchanges.last().and_then(|exchange| exchange.outcome);
    if ran || outcome != Some(Outcome::Ran) {
        return Ok(());
    }
    Err(Violation::NeverRan { number: req.number })
}
