use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use utils::{ModelId, NoteVersion, ServiceId, WorkspaceId};

use crate::{Deployment, PlainService, Rule, Workspace};

/// Identifier of a note, unique over all notes of a deployment.
pub type NoteId = Arc<str>;

/// A release note: the entries that are added, changed and withdrawn against a base version.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Note {
    /// Identifier, unique over all notes.
    pub id: NoteId,
    /// Accepted version that the note was written against.
    pub base: NoteVersion,
    /// Reason for the note, shown in the log.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub summary: String,
    /// New entries.
    #[serde(default, skip_serializing_if = "Entries::is_empty")]
    pub add: Entries,
    /// Entries that replace those of the same name as a whole.
    #[serde(default, skip_serializing_if = "Entries::is_empty")]
    pub change: Entries,
    /// Names of the entries to remove.
    #[serde(default, skip_serializing_if = "Names::is_empty")]
    pub withdraw: Names,
}

/// Entries of a note with their content, by kind.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Entries {
    /// Workspaces by name.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub workspaces: BTreeMap<WorkspaceId, Workspace>,
    /// Model deployments by name.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub deployments: BTreeMap<ModelId, Deployment>,
    /// Plain services by name.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub services: BTreeMap<ServiceId, PlainService>,
    /// Rules by name.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub rules: BTreeMap<Arc<str>, Rule>,
}

/// Names of entries, by kind.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Names {
    /// Names of workspaces.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub workspaces: Vec<WorkspaceId>,
    /// Names of model deployments.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub deployments: Vec<ModelId>,
    /// Names of plain services.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<ServiceId>,
    /// Names of rules.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub rules: Vec<Arc<str>>,
}

/// Kind of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryKind {
    /// A customer's workspace.
    Workspaces,
    /// A model deployment.
    Deployments,
    /// A plain service.
    Services,
    /// A placement rule.
    Rules,
}

/// Kind and name of an entry, printed as `workspaces.mill`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct EntryName {
    /// Kind of the entry.
    pub kind: EntryKind,
    /// Name, unique within the kind.
    pub name: Arc<str>,
}

impl EntryKind {
    /// Returns the name of the field that holds entries of this kind in a note.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Workspaces => "workspaces",
            Self::Deployments => "deployments",
            Self::Services => "services",
            Self::Rules => "rules",
        }
    }
}

impl fmt::Display for EntryName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.kind.as_str(), self.name)
    }
}

impl Entries {
    /// Returns whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.names().next().is_none()
    }

    /// Returns the names of all entries.
    pub fn names(&self) -> impl Iterator<Item = EntryName> {
        named(EntryKind::Workspaces, self.workspaces.keys())
            .chain(named(EntryKind::Deployments, self.deployments.keys()))
            .chain(named(EntryKind::Services, self.services.keys()))
            .chain(named(EntryKind::Rules, self.rules.keys()))
    }
}

impl Names {
    /// Returns whether there is no name.
    pub fn is_empty(&self) -> bool {
        self.names().next().is_none()
    }

    /// Returns all names.
    pub fn names(&self) -> impl Iterator<Item = EntryName> {
        named(EntryKind::Workspaces, &self.workspaces)
            .chain(named(EntryKind::Deployments, &self.deployments))
            .chain(named(EntryKind::Services, &self.services))
            .chain(named(EntryKind::Rules, &self.rules))
    }
}

impl Note {
    /// Returns the names of all entries that the note adds, changes or withdraws.
    pub fn touched(&self) -> impl Iterator<Item = EntryName> {
        self.add
            .names()
            .chain(self.change.names())
            .chain(self.withdraw.names())
    }
}

fn named<'a>(
    kind: EntryKind,
    names: impl IntoIterator<Item = &'a Arc<str>>,
) -> impl Iterator<Item = EntryName> {
    names.into_iter().map(move |name| EntryName {
        kind,
        name: name.clone(),
    })
}
