use std::collections::BTreeMap;
use std::sync::Arc;

use imbl::OrdMap;
use imbl::ordmap::DiffItem;

use crate::{Declared, Note, NoteId};

impl Note {
    /// Returns the note that turns the entries of `base` into those of `wanted`. A note is a set of
    /// additions, changes and withdrawals to the declared state.
    ///
    /// ```
    /// use notes::{Declared, Note, Workspace};
    ///
    /// let mut wanted = Declared::default();
    /// wanted.workspaces.insert("mill".into(), Workspace::default());
    /// let note = Note::between("first", &Declared::default(), &wanted);
    /// let after = notes::apply(&Declared::default(), &note).unwrap();
    /// assert_eq!(after.workspaces, wanted.workspaces);
    /// ```
    pub fn between(id: impl Into<NoteId>, base: &Declared, wanted: &Declared) -> Self {
        let mut note = Self {
            id: id.into(),
            base: base.version,
            ..Self::default()
        };
        let (add, change, withdraw) = (&mut note.add, &mut note.change, &mut note.withdraw);
        let (a, b) = (base, wanted);
        withdraw.workspaces = diff_entries(
            &a.workspaces,
            &b.workspaces,
            &mut add.workspaces,
            &mut change.workspaces,
        );
        withdraw.deployments = diff_entries(
            &a.deployments,
            &b.deployments,
            &mut add.deployments,
            &mut change.deployments,
        );
        withdraw.services = diff_entries(&a.services, &b.services, &mut add.services, &mut change.services);
        withdraw.rules = diff_entries(&a.rules, &b.rules, &mut add.rules, &mut change.rules);
        note
    }
}

/// Puts the entries that differ into `added` and `changed`, and returns the names of the withdrawn ones.
fn diff_entries<V: Clone + PartialEq>(
    before: &OrdMap<Arc<str>, V>,
    after: &OrdMap<Arc<str>, V>,
    added: &mut BTreeMap<Arc<str>, V>,
    changed: &mut BTreeMap<Arc<str>, V>,
) -> Vec<Arc<str>> {
    let mut withdrawn = Vec::new();
    for item in before.diff(after) {
        match item {
            DiffItem::Add(name, value) => added.insert(name.clone(), value.clone()),
            DiffItem::Update { new, .. } => changed.insert(new.0.clone(), new.1.clone()),
            DiffItem::Remove(name, _) => {
                withdrawn.push(name.clone());
                None
            }
        };
    }
    withdrawn
}
