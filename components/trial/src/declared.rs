use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use checker::NoteAccepted;
use loadgen::{Arrival, PlannedDraft, PlannedWork, Preset, Trace};
use notes::{Declared, Deployment, Limits, PlainService, Workspace};
use standins::unix_micros;
use utils::{NoteVersion, WorkspaceId};

/// Maximum number of tokens that a request may ask for.
const MAX_TOKENS: u32 = 4_096;
/// Number of planned requests for each added request that has to be refused.
const REQUESTS_PER_REFUSAL: usize = 40;
/// Number of long drafts. There are more of them than entry hosts, which gives each host at least one.
const LONG_DRAFTS: u64 = 6;
/// Tokens to generate for a long draft.
const LONG_DRAFT_TOKENS: u32 = 600;
/// Time from the start of the long drafts to the drain.
const LONG_DRAFT_LEAD: Duration = Duration::from_millis(300);
/// Deadline for the first token of a draft, in milliseconds.
const FIRST_TOKEN_DEADLINE_MS: u64 = 10_000;

/// Returns the API keys of the workspaces of a trace.
pub(crate) fn api_keys(trace: &Trace) -> HashMap<WorkspaceId, String> {
    let workspaces = trace.workspaces().into_iter();
    workspaces
        .map(|workspace| (workspace.clone(), format!("key-of-{workspace}")))
        .collect()
}

/// Adds requests for a model that no note declares. Each has to be refused without being run.
pub(crate) fn add_refusals(trace: &mut Trace) {
    let planned = trace.arrivals.len() as u64;
    let positions = (0..trace.arrivals.len())
        .step_by(REQUESTS_PER_REFUSAL)
        .zip(planned..);
    let refusals: Vec<Arrival> = positions
        .map(|(position, number)| refusal(&trace.arrivals[position], number))
        .collect();
    trace.arrivals.extend(refusals);
    trace.arrivals.sort_by_key(|arrival| arrival.at);
}

/// Returns a request that has to be refused, due at the same time and from the same workspace as `template`.
fn refusal(template: &Arrival, number: u64) -> Arrival {
    Arrival {
        number,
        at: template.at,
        workspace: template.workspace.clone(),
        work: PlannedWork::Draft(PlannedDraft {
            model: "not-declared".into(),
            prompt: "a prompt for a model that nobody declared".into(),
            max_tokens: 8,
        }),
    }
}

/// Adds long drafts that start before an entry host is drained and are still in progress at the drain.
pub(crate) fn add_long_drafts(trace: &mut Trace, preset: &Preset, drain_time: Duration) {
    let Some(first) = trace.arrivals.first() else {
        return;
    };
    let workspace = first.workspace.clone();
    let planned = trace.arrivals.len() as u64;
    let long = (planned..planned + LONG_DRAFTS).map(|number| Arrival {
        number,
        at: drain_time.saturating_sub(LONG_DRAFT_LEAD),
        workspace: workspace.clone(),
        work: PlannedWork::Draft(PlannedDraft {
            model: preset.model.clone(),
            prompt: format!("a prompt with a long answer, {number}").into(),
            max_tokens: LONG_DRAFT_TOKENS,
        }),
    });
    trace.arrivals.extend(long);
    trace.arrivals.sort_by_key(|arrival| arrival.at);
}

/// Returns what the release notes up to `version` declare.
pub(crate) fn declared(preset: &Preset, trace: &Trace, version: NoteVersion) -> Declared {
    let mut declared = Declared {
        version,
        ..Declared::default()
    };
    for (workspace, key) in api_keys(trace) {
        declared
            .workspaces
            .insert(workspace, workspace_with_key(&key, version));
    }
    let deployment = Deployment {
        weight_version: 1,
        max_tokens: MAX_TOKENS,
        first_token_deadline_ms: FIRST_TOKEN_DEADLINE_MS,
        ..Deployment::default()
    };
    declared.deployments.insert(preset.model.clone(), deployment);
    let service = PlainService {
        repeatable: false,
        timeout_ms: 2_000,
        workspaces: Vec::new(),
    };
    declared.services.insert(preset.service.clone(), service);
    declared
}

/// Returns the declaration of a workspace with the API key `key`.
fn workspace_with_key(key: &str, version: NoteVersion) -> Workspace {
    Workspace {
        key_digests: vec![utils::digest(key.as_bytes())],
        limits: Limits {
            // Depends on the version, as each note has to change something.
            requests_per_second: 1_000.0 + version as f64,
            prompt_tokens_per_second: 2_000_000.0,
            open_streams: 1_000,
        },
        ..Workspace::default()
    }
}

/// Returns the record of a note that was accepted at this moment.
pub(crate) fn accepted_now(declared: &Declared) -> NoteAccepted {
    let versions = declared.deployments.iter();
    NoteAccepted {
        version: declared.version,
        at: unix_micros(),
        weight_versions: versions
            .map(|(model, deployment)| (model.clone(), deployment.weight_version))
            .collect::<BTreeMap<_, _>>(),
    }
}
