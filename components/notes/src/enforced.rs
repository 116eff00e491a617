use std::collections::BTreeMap;
use std::sync::Arc;

use imbl::OrdMap;
use utils::{Digest, Monotonic, WorkspaceId};

use crate::intersect::narrow;
use crate::{Declared, Deployment, HeadSeq, Note, NoteState, PlainService, Workspace};

/// What new work must obey: what both the head and the staged note allow, and until when.
///
/// Built on the control thread for each change, read by the traffic threads without a lock.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct EnforcedNotes {
    /// What both allow.
    declared: Arc<Declared>,
    /// Workspaces by the digests of their keys.
    keys: OrdMap<Digest, WorkspaceId>,
    /// What the host knows about the notes.
    state: NoteState,
    /// From when on the host takes no new work.
    serves_until: Monotonic,
}

/// Builds [`EnforcedNotes`] views, each from the one before.
#[derive(Debug, Clone, Default)]
pub struct EnforcedNotesBuilder {
    /// What the head declares.
    head: Declared,
    /// Keys of the head's workspaces.
    keys: OrdMap<Digest, WorkspaceId>,
    /// The last view's number and content.
    last: Option<(HeadSeq, Option<HeadSeq>, EnforcedNotes)>,
}

impl EnforcedNotesBuilder {
    /// The view for a head and the staged note, if there is one.
    ///
    /// Costs as much as the two notes are long, not as much as is declared.
    pub fn build(
        &mut self,
        state: NoteState,
        head: &Declared,
        staged: Option<&Note>,
        serves_until: Monotonic,
    ) -> EnforcedNotes {
        if let Some((seq, staged, last)) = &mut self.last
            && (*seq, *staged) == (state.head, state.staged)
        {
            last.serves_until = serves_until;
            return last.clone();
        }
        index_keys(&mut self.keys, &self.head, head);
        self.head = head.clone();
        let declared = match staged {
            Some(note) => narrow(head, note),
            None => head.clone(),
        };
        let mut keys = self.keys.clone();
        index_keys(&mut keys, head, &declared);
        let obeyed = EnforcedNotes {
            declared: Arc::new(declared),
            keys,
            state,
            serves_until,
        };
        self.last = Some((state.head, state.staged, obeyed.clone()));
        obeyed
    }
}

impl EnforcedNotes {
    /// The workspace that an API key of this digest belongs to, after the digest as it is kept.
    pub fn workspace_by_key(&self, key: &Digest) -> Option<(&Digest, &WorkspaceId, &Workspace)> {
        let (kept, id) = self.keys.get_key_value(key)?;
        let (id, workspace) = self.declared.workspaces.get_key_value(id)?;
        Some((kept, id, workspace))
    }

    /// A model deployment.
    pub fn deployment(&self, model: &str) -> Option<&Deployment> {
        self.declared.deployments.get(model)
    }

    /// A plain service.
    pub fn service(&self, name: &str) -> Option<&PlainService> {
        self.declared.services.get(name)
    }

    /// Whether work of `workspace` for `model` may run in a place.
    pub fn allows(&self, workspace: &str, model: &str, region: &str, failure_domain: &str) -> bool {
        self.declared.allows(workspace, model, region, failure_domain)
    }

    /// Whether the host may take new work. Ask at admission and again right before dispatch.
    ///
    /// ```
    /// assert!(!notes::EnforcedNotes::default().may_take_new_work(std::time::Duration::ZERO));
    /// ```
    pub fn may_take_new_work(&self, now: Monotonic) -> bool {
        now < self.serves_until
    }

    /// Everything that both allow.
    pub fn declared(&self) -> &Arc<Declared> {
        &self.declared
    }

    /// What the host knows about the notes.
    pub fn state(&self) -> NoteState {
        self.state
    }
}

/// Moves an index of keys from one version to another.
fn index_keys(keys: &mut OrdMap<Digest, WorkspaceId>, before: &Declared, after: &Declared) {
    let mut added = BTreeMap::new();
    for item in before.workspaces.diff(&after.workspaces) {
        let (old, new) = match item {
            imbl::ordmap::DiffItem::Add(id, new) => (None, Some((id, new))),
            imbl::ordmap::DiffItem::Update { old, new } => (Some(old), Some(new)),
            imbl::ordmap::DiffItem::Remove(id, old) => (Some((id, old)), None),
        };
        for key in old.iter().flat_map(|(_, old)| &old.key_digests) {
            keys.remove(key);
        }
        if let Some((id, new)) = new {
            added.extend(new.key_digests.iter().map(|key| (*key, id.clone())));
        }
    }
    keys.extend(added);
}
