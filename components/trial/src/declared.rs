use std::collections::{BTreeMap, HashMap};

use checker::NoteAccepted;
use loadgen::{Preset, Trace};
use notes::{Declared, Deployment, Limits, PlainService, Workspace};
use standins::unix_micros;
use utils::{NoteVersion, WorkspaceId};

/// Tokens that a request may ask for.
const MAX_TOKENS: u32 = 4_096;
/// Longest time to a first token, in milliseconds.
const FIRST_TOKEN_MS: u64 = 10_000;

/// API keys of the trace's workspaces.
pub(crate) fn api_keys(trace: &Trace) -> HashMap<WorkspaceId, String> {
    let workspaces = trace.workspaces().into_iter();
    workspaces
        .map(|workspace| (workspace.clone(), format!("key-of-{workspace}")))
        .collect()
}

/// What the release notes up to `version` declare.
pub(crate) fn declared(preset: &Preset, trace: &Trace, version: NoteVersion) -> Declared {
    let mut declared = Declared {
        version,
        ..Declared::default()
    };
    for (workspace, key) in api_keys(trace) {
        declared.workspaces.insert(workspace, workspace_of(&key));
    }
    let deployment = Deployment {
        weight_version: 1,
        max_tokens: MAX_TOKENS,
        first_token_deadline_ms: FIRST_TOKEN_MS,
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

fn workspace_of(key: &str) -> Workspace {
    Workspace {
        key_digests: vec![utils::digest(key.as_bytes())],
        limits: Limits {
            requests_per_second: 1_000.0,
            prompt_tokens_per_second: 2_000_000.0,
            open_streams: 1_000,
        },
        ..Workspace::default()
    }
}

/// The record of a note that was accepted just now.
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
