use std::collections::BTreeMap;
use std::sync::Arc;

use error_stack::Report;
use imbl::OrdMap;

use crate::{Declared, EntryKind, EntryName, Finding, Note, NoteError};

/// Returns what is declared after a note, without modifying the base.
///
/// The caller must have checked the note; only the names are checked again. Each entry of the note costs
/// O(log n) for n declared entries.
///
/// # Errors
/// [`NoteError::WrongBase`], and [`NoteError::Invalid`] if an added entry exists already or a changed or
/// withdrawn entry does not exist.
///
/// ```
/// let file = notes::NoteFile::parse("id: first\nbase: 0\nadd:\n  workspaces: {mill: {}}\n", "f").unwrap();
/// let after = notes::apply(&notes::Declared::default(), &file.note).unwrap();
/// assert_eq!(after.version, 1);
/// assert!(after.workspaces.contains_key("mill"));
/// ```
pub fn apply(base: &Declared, note: &Note) -> Result<Declared, Report<NoteError>> {
    if note.base != base.version {
        return Err(Report::new(NoteError::WrongBase {
            found: note.base,
            head: base.version,
        }));
    }
    let findings = check_names(base, note);
    if !findings.is_empty() {
        return Err(Report::new(NoteError::Invalid {
            file: note.id.to_string(),
            findings,
        }));
    }
    Ok(apply_unchecked(base, note))
}

fn apply_unchecked(base: &Declared, note: &Note) -> Declared {
    let mut next = base.clone();
    next.version += 1;
    let (add, change, withdraw) = (&note.add, &note.change, &note.withdraw);
    update(
        &mut next.workspaces,
        [&add.workspaces, &change.workspaces],
        &withdraw.workspaces,
    );
    update(
        &mut next.deployments,
        [&add.deployments, &change.deployments],
        &withdraw.deployments,
    );
    update(
        &mut next.services,
        [&add.services, &change.services],
        &withdraw.services,
    );
    update(&mut next.rules, [&add.rules, &change.rules], &withdraw.rules);
    next
}

/// Returns what would be declared after a note whose names may be wrong; used for further checks.
pub(crate) fn apply_for_check(base: &Declared, note: &Note) -> Declared {
    apply_unchecked(base, note)
}

/// Returns a finding for each name that is added but exists, or is changed or withdrawn but does not exist.
pub(crate) fn check_names(base: &Declared, note: &Note) -> Vec<Finding> {
    let added = note.add.names().map(|name| ("add", name, false));
    let changed = note.change.names().map(|name| ("change", name, true));
    let withdrawn = withdrawn(note).map(|(field, name)| (field, name, true));
    let mut findings = Vec::new();
    for (section, name, must_exist) in added.chain(changed) {
        let field = format!("{section}.{name}");
        findings.extend(name_finding(base, field, &name, must_exist));
    }
    for (field, name, must_exist) in withdrawn {
        findings.extend(name_finding(base, field, &name, must_exist));
    }
    findings
}

/// Returns the withdrawn names with the paths of their fields.
pub(crate) fn withdrawn(note: &Note) -> impl Iterator<Item = (String, EntryName)> {
    let mut last = None;
    let mut i = 0;
    note.withdraw.names().map(move |name| {
        i = if last == Some(name.kind) { i + 1 } else { 0 };
        last = Some(name.kind);
        (format!("withdraw.{}.{i}", name.kind.as_str()), name)
    })
}

/// Returns whether an entry is declared.
pub(crate) fn exists(base: &Declared, name: &EntryName) -> bool {
    match name.kind {
        EntryKind::Workspaces => base.workspaces.contains_key(&name.name),
        EntryKind::Deployments => base.deployments.contains_key(&name.name),
        EntryKind::Services => base.services.contains_key(&name.name),
        EntryKind::Rules => base.rules.contains_key(&name.name),
    }
}

fn name_finding(base: &Declared, field: String, name: &EntryName, must_exist: bool) -> Option<Finding> {
    let exists = exists(base, name);
    if exists == must_exist {
        return None;
    }
    let (found, allowed) = match must_exist {
        true => (
            "a name that the base does not have",
            "the name of an entry of the base",
        ),
        false => (
            "a name that the base has already",
            "a new name, or the section `change`",
        ),
    };
    Some(Finding {
        place: None,
        field,
        found: found.to_owned(),
        allowed: allowed.to_owned(),
    })
}

fn update<V: Clone>(
    map: &mut OrdMap<Arc<str>, V>,
    written: [&BTreeMap<Arc<str>, V>; 2],
    withdrawn: &[Arc<str>],
) {
    for (name, value) in written.into_iter().flatten() {
        map.insert(name.clone(), value.clone());
    }
    for name in withdrawn {
        map.remove(name);
    }
}
