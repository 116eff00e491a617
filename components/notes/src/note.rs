use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use utils::{ModelId, NoteVersion, ServiceId, WorkspaceId};

use crate::{Deployment, PlainService, Rule, Workspace};

/// Identifier of a note, unique over all notes of a deployment.
pub type NoteId = Arc<str>;

/// A release note: what is added, changed and withdrawn against a base version.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Note {
    /// Identifier, unique over all notes.
    pub id: NoteId,
    /// Accepted version that the note was written against.
    pub base: NoteVersion,
    /// Why the note exists, for the log.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub summary: String,
    /// New entries.
    #[serde(default, skip_serializing_if = "Entries::is_empty")]
    pub add: Entries,
    /// Entries that replace those of the same name, whole.
    #[serde(default, skip_serializing_if = "Entries::is_empty")]
    pub change: Entries,
    /// Names of entries that are removed.
    #[serde(default, skip_serializing_if = "Names::is_empty")]
    pub withdraw: Names,
}

/// Entries with their content.
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

/// Names of entries.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Names {
    /// Workspaces.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub workspaces: Vec<WorkspaceId>,
    /// Model deployments.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub deployments: Vec<ModelId>,
    /// Plain services.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<ServiceId>,
    /// Rules.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub rules: Vec<Arc<str>>,
}

/// What an entry is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryKind {
    /// A customer's space.
    Workspaces,
    /// A model deployment.
    Deployments,
    /// A plain service.
    Services,
    /// A rule for where work may run.
    Rules,
}

/// Kind and name of an entry, printed as `workspaces.mill`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct EntryName {
    /// What the entry is.
    pub kind: EntryKind,
    /// Name inside its kind.
    pub name: Arc<str>,
}

impl EntryKind {
    /// The field of a note that holds entries of this kind.
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
    /// Whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.names().next().is_none()
    }

    /// Names of all entries.
    pub fn names(&self) -> impl Iterator<Item = EntryName> {
        named(EntryKind::Workspaces, self.workspaces.keys())
            .chain(named(EntryKind::Deployments, self.deployments.keys()))
            .chain(named(EntryKind::Services, self.services.keys()))
            .chain(named(EntryKind::Rules, self.rules.keys()))
    }
}

impl Names {
    /// Whether there is no name.
    pub fn is_empty(&self) -> bool {
        self.names().next().is_none()
    }

    /// All names.
    pub fn names(&self) -> impl Iterator<Item = EntryName> {
        named(EntryKind::Workspaces, &self.workspaces)
            .chain(named(EntryKind::Deployments, &self.deployments))
            .chain(named(EntryKind::Services, &self.services))
            .chain(named(EntryKind::Rules, &self.rules))
    }
}

impl Note {
    /// Names of all entries that the note adds, changes or withdraws.
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
