use std::sync::Arc;

use imbl::OrdMap;
use utils::WorkspaceId;

use crate::{Declared, Deployment, Limits, Note, PlainService, Workspace};

/// What both a head and a note on top of it allow. Costs as much as the note is long.
pub(crate) fn narrow(head: &Declared, note: &Note) -> Declared {
    let mut both = head.clone();
    remove_all(&mut both.workspaces, &note.withdraw.workspaces);
    remove_all(&mut both.deployments, &note.withdraw.deployments);
    remove_all(&mut both.services, &note.withdraw.services);
    for (name, staged) in &note.change.workspaces {
        narrow_entry(&mut both.workspaces, name, |head| {
            Some(narrow_workspace(head, staged))
        });
    }
    for (name, staged) in &note.change.deployments {
        narrow_entry(&mut both.deployments, name, |head| {
            narrow_deployment(head, staged)
        });
    }
    for (name, staged) in &note.change.services {
        narrow_entry(&mut both.services, name, |head| narrow_service(head, staged));
    }
    // A withdrawn rule stays, and a changed one counts twice: every rule must allow a place.
    for (name, rule) in note.add.rules.iter().chain(&note.change.rules) {
        both.rules.insert(format!("{name}/staged").into(), rule.clone());
    }
    both
}

fn remove_all<V: Clone>(map: &mut OrdMap<Arc<str>, V>, names: &[Arc<str>]) {
    for name in names {
        map.remove(name);
    }
}

fn narrow_entry<V: Clone>(
    map: &mut OrdMap<Arc<str>, V>,
    name: &Arc<str>,
    narrow: impl FnOnce(&V) -> Option<V>,
) {
    match map.get(name).and_then(narrow) {
        Some(both) => map.insert(name.clone(), both),
        None => map.remove(name),
    };
}

fn narrow_workspace(head: &Workspace, staged: &Workspace) -> Workspace {
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

/// `None` if no weight version, adapter or workspace is allowed by both.
fn narrow_deployment(head: &Deployment, staged: &Deployment) -> Option<Deployment> {
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
        workspaces: narrow_list(&head.workspaces, &staged.workspaces)?,
        max_tokens: head.max_tokens.min(staged.max_tokens),
        first_token_deadline_ms: head.first_token_deadline_ms.min(staged.first_token_deadline_ms),
    })
}

fn narrow_service(head: &PlainService, staged: &PlainService) -> Option<PlainService> {
    Some(PlainService {
        repeatable: head.repeatable && staged.repeatable,
        timeout_ms: head.timeout_ms.min(staged.timeout_ms),
        workspaces: narrow_list(&head.workspaces, &staged.workspaces)?,
    })
}

/// What two lists allow, where an empty list stands for all; `None` if they allow nothing in common.
fn narrow_list(a: &[WorkspaceId], b: &[WorkspaceId]) -> Option<Vec<WorkspaceId>> {
    if a.is_empty() || b.is_empty() {
        return Some(if a.is_empty() { b.to_vec() } else { a.to_vec() });
    }
    let both: Vec<_> = a.iter().filter(|name| b.contains(name)).cloned().collect();
    (!both.is_empty()).then_some(both)
}
