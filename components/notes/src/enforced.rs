use std::collections::BTreeMap;
use std::sync::Arc;

use imbl::OrdMap;
use utils::{Digest, Monotonic, WorkspaceId};

use crate::intersect::intersect;
use crate::{Declared, Deployment, HeadSeq, Note, NoteState, PlainService, Workspace};

/// What both the head and the staged note allow, and the time until which new work may be taken under it.
///
/// The control thread builds a value for each change; the traffic threads read it without a lock.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct EnforcedNotes {
    /// Entries that both the head and the staged note allow.
    declared: Arc<Declared>,
    /// Workspaces by the digests of their keys.
    keys: OrdMap<Digest, WorkspaceId>,
    /// Changes of the head row that the host holds.
    state: NoteState,
    /// Time from which the host takes no new work.
    serves_until: Monotonic,
}

/// Builds [`EnforcedNotes`] values, each incrementally from the previous head.
#[derive(Debug, Clone, Default)]
pub struct EnforcedNotesBuilder {
    /// Entries that the previous head declares.
    head: Declared,
    /// Workspaces of the previous head by the digests of their keys.
    keys: OrdMap<Digest, WorkspaceId>,
    /// Head and staged change of the last value, and the value.
    last: Option<(HeadSeq, Option<HeadSeq>, EnforcedNotes)>,
}

impl EnforcedNotesBuilder {
    /// Builds the value for a head and the staged note, if there is one.
    ///
    /// The cost grows with the length of the two notes, not with the number of declared entries.
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
            Some(note) => intersect(head, note),
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
    /// Returns the workspace that owns the API key with this digest: the stored digest, the name and the
    /// entry.
    pub fn workspace_by_key(&self, key: &Digest) -> Option<(&Digest, &WorkspaceId, &Workspace)> {
        let (stored, id) = self.keys.get_key_value(key)?;
        let (id, workspace) = self.declared.workspaces.get_key_value(id)?;
        Some((stored, id, workspace))
    }

    /// Returns a model deployment.
    pub fn deployment(&self, model: &str) -> Option<&Deployment> {
        self.declared.deployments.get(model)
    }

    /// Returns a plain service.
    pub fn service(&self, name: &str) -> Option<&PlainService> {
        self.declared.services.get(name)
    }

    /// Returns whether work of `workspace` for `model` may run in a failure domain of a region.
    pub fn allows(&self, workspace: &str, model: &str, region: &str, failure_domain: &str) -> bool {
        self.declared.allows(workspace, model, region, failure_domain)
    }

    /// Returns whether the host may take new work. Callers check at admission and again right before
    /// dispatch.
    ///
    /// ```
    /// assert!(!notes::EnforcedNotes::default().may_take_new_work(std::time::Duration::ZERO));
    /// ```
    pub fn may_take_new_work(&self, now: Monotonic) -> bool {
        now < self.serves_until
    }

    /// Returns all entries that both the head and the staged note allow.
    pub fn declared(&self) -> &Arc<Declared> {
        &self.declared
    }

    /// Returns the changes of the head row that the host holds.
    pub fn state(&self) -> NoteState {
        self.state
    }
}

/// Updates an index of key digests from the workspaces of one version to those of another.
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
