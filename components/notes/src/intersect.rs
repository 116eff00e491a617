use std::sync::Arc;

use imbl::OrdMap;
use utils::WorkspaceId;

use crate::{Declared, Deployment, Limits, Note, PlainService, Workspace};

/// Returns what both a head and a note on top of it allow. The cost grows with the length of the note.
pub(crate) fn intersect(head: &Declared, note: &Note) -> Declared {
    let mut common = head.clone();
    remove_all(&mut common.workspaces, &note.withdraw.workspaces);
    remove_all(&mut common.deployments, &note.withdraw.deployments);
    remove_all(&mut common.services, &note.withdraw.services);
    for (name, staged) in &note.change.workspaces {
        intersect_entry(&mut common.workspaces, name, |head| {
            Some(intersect_workspace(head, staged))
        });
    }
    for (name, staged) in &note.change.deployments {
        intersect_entry(&mut common.deployments, name, |head| {
            intersect_deployment(head, staged)
        });
    }
    for (name, staged) in &note.change.services {
        intersect_entry(&mut common.services, name, |head| intersect_service(head, staged));
    }
    // Every rule must allow a placement, so a withdrawn rule stays and a changed rule applies in both
    // versions.
    for (name, rule) in note.add.rules.iter().chain(&note.change.rules) {
        common.rules.insert(format!("{name}/staged").into(), rule.clone());
    }
    common
}

fn remove_all<V: Clone>(map: &mut OrdMap<Arc<str>, V>, names: &[Arc<str>]) {
    for name in names {
        map.remove(name);
    }
}

fn intersect_entry<V: Clone>(
    map: &mut OrdMap<Arc<str>, V>,
    name: &Arc<str>,
    intersect: impl FnOnce(&V) -> Option<V>,
) {
    match map.get(name).and_then(intersect) {
        Some(common) => map.insert(name.clone(), common),
        None => map.remove(name),
    };
}

fn intersect_workspace(head: &Workspace, staged: &Workspace) -> Workspace {
    let is_kept = |key: &&utils::Digest| staged.key_digests.contains(key);
    let (a, b) = (&head.limits, &staged.limits);
    Workspace {
        key_digests: head.key_digests.iter().filter(is_kept).copied().collect(),
        limits: Limits {
            requests_per_second: a.requests_per_second.min(b.requests_per_second),
            prompt_tokens_per_second: a.prompt_tokens_per_second.min(b.prompt_tokens_per_second),
            open_streams: a.open_streams.min(b.open_streams),
        },
        cost: head.cost,
        priority: head.priority.max(staged.priority),
    }
}

/// Returns `None` if both have no weight version, adapter or workspace in common.
fn intersect_deployment(head: &Deployment, staged: &Deployment) -> Option<Deployment> {
    let oldest = *head
        .weight_versions()
        .start()
        .max(staged.weight_versions().start());
    let newest = head.weight_version.min(staged.weight_version);
    if oldest > newest || head.adapter != staged.adapter {
        return None;
    }
    Some(Deployment {
        weight_version: newest,
        oldest_weight_version: Some(oldest),
        adapter: head.adapter.clone(),
        workspaces: intersect_list(&head.workspaces, &staged.workspaces)?,
        max_tokens: head.max_tokens.min(staged.max_tokens),
        first_token_deadline_ms: head.first_token_deadline_ms.min(staged.first_token_deadline_ms),
    })
}

fn intersect_service(head: &PlainService, staged: &PlainService) -> Option<PlainService> {
    Some(PlainService {
        repeatable: head.repeatable && staged.repeatable,
        timeout_ms: head.timeout_ms.min(staged.timeout_ms),
        workspaces: intersect_list(&head.workspaces, &staged.workspaces)?,
    })
}

/// Returns the names that two lists allow, where an empty list allows all; `None` if they have none in
/// common.
fn intersect_list(a: &[WorkspaceId], b: &[WorkspaceId]) -> Option<Vec<WorkspaceId>> {
    if a.is_empty() || b.is_empty() {
        return Some(if a.is_empty() { b.to_vec() } else { a.to_vec() });
    }
    let common: Vec<_> = a.iter().filter(|name| b.contains(name)).cloned().collect();
    (!common.is_empty()).then_some(common)
}
