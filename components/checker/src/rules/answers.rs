use std::collections::{BTreeSet, HashMap};

use standins::Answer;
use utils::{RequestId, TargetId, WeightVersion, WorkspaceId};

use crate::{CallerRequest, DraftBody, Promise, Report, RunRecord, Violation, Work};

/// Checks that each caller of a draft received its own answer, computed by a single weight version and
/// complete if it was marked complete, and that each draft ran in its caller's workspace.
pub(crate) fn check(record: &RunRecord, report: &mut Report) {
    let versions = versions(record);
    for req in &record.requests {
        if let Work::Draft(body) = &req.work {
            // The expected answer can only be computed for a known weight version of the model.
            if let Some(model_versions) = versions.get(&*body.model) {
                report.record(Promise::WholeAnswers, check_answer(req, body, model_versions));
            }
        }
    }
    let owners = owners(record);
    for (target, engine) in &record.engines {
        for run in &engine.drafts {
            let owner = owners.get(&run.request_id);
            let found = check_workspace(target, run.request_id, owner, &run.workspace);
            report.record(Promise::WorkspaceIsolation, found);
        }
    }
}

/// Returns the weight versions that ran or were accepted, by model.
fn versions(record: &RunRecord) -> HashMap<&str, BTreeSet<WeightVersion>> {
    let mut versions: HashMap<&str, BTreeSet<WeightVersion>> = HashMap::new();
    for run in record.engines.values().flat_map(|engine| &engine.drafts) {
        versions.entry(&run.model).or_default().insert(run.weight_version);
    }
    for (model, version) in record.notes.iter().flat_map(|note| &note.weight_versions) {
        versions.entry(model).or_default().insert(*version);
    }
    versions
}

fn check_answer(
    req: &CallerRequest,
    body: &DraftBody,
    versions: &BTreeSet<WeightVersion>,
) -> Result<(), Violation> {
    let tokens = &req.received.tokens;
    let is_answer_of = |version: &WeightVersion| {
        let answer = Answer::new(&body.model, *version, &body.prompt);
        tokens
            .iter()
            .zip(0..)
            .all(|(token, index)| *token == answer.token(index))
    };
    if !tokens.is_empty() && !versions.iter().any(is_answer_of) {
        return Err(Violation::WrongAnswer {
            number: req.number,
            tokens: tokens.len(),
        });
    }
    if req.received.whole && tokens.len() != body.max_tokens as usize {
        return Err(Violation::WrongLength {
            number: req.number,
            received: tokens.len(),
            expected: body.max_tokens,
        });
    }
    Ok(())
}

/// Returns the caller's workspace of each request, by the identifier that the entry host assigned.
fn owners(record: &RunRecord) -> HashMap<RequestId, WorkspaceId> {
    let mut owners = HashMap::new();
    for req in &record.requests {
        for exchange in &req.exchanges {
            if let Ok(id) = RequestId::from_str_radix(&exchange.request_id, 16) {
                owners.insert(id, req.workspace.clone());
            }
        }
    }
    owners
}

fn check_workspace(
    target: &TargetId,
    request: RequestId,
    owner: Option<&WorkspaceId>,
    ran_as: &WorkspaceId,
) -> Result<(), Violation> {
    match owner {
        Some(owner) if owner != ran_as => Err(Violation::ForeignRun {
            target: target.clone(),
            request: format!("{request:032x}"),
            owner: owner.clone(),
            ran_as: ran_as.clone(),
        }),
        _ => Ok(()),
    }
}
