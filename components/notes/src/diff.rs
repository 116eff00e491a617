use std::fmt;
use std::sync::Arc;

use imbl::OrdMap;
use imbl::ordmap::DiffItem;
use serde::Serialize;
use serde_json::Value;

use crate::{Declared, EntryKind, EntryName};

/// Difference of one entry between two versions.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct EntryChange {
    /// Name of the entry.
    pub entry: EntryName,
    /// Whether the entry was added, changed or withdrawn.
    pub action: EntryAction,
    /// Fields that differ, by path; all fields of an added or withdrawn entry.
    pub fields: Vec<FieldChange>,
}

/// How an entry differs between two versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryAction {
    /// The entry is new.
    Added,
    /// The entry has other content.
    Changed,
    /// The entry was removed.
    Withdrawn,
}

/// A field that differs between two versions of an entry.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct FieldChange {
    /// Path inside the entry, its parts joined by dots.
    pub field: String,
    /// Value before, if the field existed.
    pub before: Option<Value>,
    /// Value after, if the field exists.
    pub after: Option<Value>,
}

/// Returns the differences between two versions, in the order of the entries.
///
/// Subtrees of the maps that both versions share in memory are skipped.
///
/// ```
/// let before = notes::Declared::default();
/// let note = notes::NoteFile::parse("id: a\nbase: 0\nadd:\n  workspaces: {mill: {}}\n", "f").unwrap().note;
/// let after = notes::apply(&before, &note).unwrap();
/// let changes = notes::diff(&before, &after);
/// assert!(changes[0].to_string().starts_with("+ workspaces.mill"));
/// ```
pub fn diff(before: &Declared, after: &Declared) -> Vec<EntryChange> {
    let mut changes = Vec::new();
    diff_kind(
        EntryKind::Workspaces,
        &before.workspaces,
        &after.workspaces,
        &mut changes,
    );
    diff_kind(
        EntryKind::Deployments,
        &before.deployments,
        &after.deployments,
        &mut changes,
    );
    diff_kind(
        EntryKind::Services,
        &before.services,
        &after.services,
        &mut changes,
    );
    diff_kind(EntryKind::Rules, &before.rules, &after.rules, &mut changes);
    changes
}

fn diff_kind<V: Serialize + PartialEq>(
    kind: EntryKind,
    before: &OrdMap<Arc<str>, V>,
    after: &OrdMap<Arc<str>, V>,
    changes: &mut Vec<EntryChange>,
) {
    for item in before.diff(after) {
        let (name, action, old, new) = match item {
            DiffItem::Add(name, new) => (name, EntryAction::Added, None, Some(new)),
            DiffItem::Update { old, new } => (new.0, EntryAction::Changed, Some(old.1), Some(new.1)),
            DiffItem::Remove(name, old) => (name, EntryAction::Withdrawn, Some(old), None),
        };
        changes.push(EntryChange {
            entry: EntryName {
                kind,
                name: name.clone(),
            },
            action,
            fields: diff_fields(old, new),
        });
    }
}

fn diff_fields<V: Serialize>(before: Option<&V>, after: Option<&V>) -> Vec<FieldChange> {
    let (before, after) = (flatten(before), flatten(after));
    let mut fields: Vec<&String> = before.keys().chain(after.keys()).collect();
    fields.sort_unstable();
    fields.dedup();
    let differing = fields.into_iter().filter(|f| before.get(*f) != after.get(*f));
    differing
        .map(|field| FieldChange {
            field: field.clone(),
            before: before.get(field).cloned(),
            after: after.get(field).cloned(),
        })
        .collect()
}

fn flatten<V: Serialize>(value: Option<&V>) -> serde_json::Map<String, Value> {
    let mut fields = serde_json::Map::new();
    let value = value.and_then(|v| serde_json::to_value(v).ok());
    if let Some(value) = value {
        flatten_into("", value, &mut fields);
    }
    fields
}

fn flatten_into(path: &str, value: Value, fields: &mut serde_json::Map<String, Value>) {
    let Value::Object(map) = value else {
        fields.insert(path.to_owned(), value);
        return;
    };
    for (key, value) in map {
        let path = if path.is_empty() {
            key
        } else {
            format!("{path}.{key}")
        };
        flatten_into(&path, value, fields);
    }
}

impl EntryAction {
    /// Returns the sign that starts the entry's line in printed differences.
    pub fn sign(self) -> char {
        match self {
            Self::Added => '+',
            Self::Changed => '~',
            Self::Withdrawn => '-',
        }
    }
}

impl fmt::Display for EntryChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.action.sign(), self.entry)?;
        if self.action == EntryAction::Withdrawn {
            return Ok(());
        }
        for change in &self.fields {
            write!(f, "\n    {change}")?;
        }
        Ok(())
    }
}

impl fmt::Display for FieldChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(f, "{}: {before} -> {after}", self.field),
            (None, Some(after)) => write!(f, "{}: {after}", self.field),
            (Some(before), None) => write!(f, "{}: {before} -> absent", self.field),
            (None, None) => Ok(()),
        }
    }
}
