use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use utils::{Digest, WorkspaceId};

use crate::apply::{apply_for_check, check_names, withdrawn};
use crate::values::{check_deployment, check_rule, check_service, check_workspace};
use crate::{Declared, Entries, EntryKind, EntryName, Finding, Note};

/// Returns all violations in a note against a base; empty if the note can be accepted.
///
/// ```
/// let file = notes::NoteFile::parse("id: a\nbase: 0\nwithdraw:\n  rules: [gone]\n", "f").unwrap();
/// let findings = notes::check(&notes::Declared::default(), &file.note);
/// assert_eq!(findings[0].field, "withdraw.rules.0");
/// ```
pub fn check(base: &Declared, note: &Note) -> Vec<Finding> {
    let mut findings = check_header(base, note);
    findings.extend(check_names(base, note));
    findings.extend(check_sections(note));
    let after = apply_for_check(base, note);
    for (section, entries) in [("add", &note.add), ("change", &note.change)] {
        findings.extend(check_values(base, section, entries));
        findings.extend(check_references(&after, section, entries));
    }
    findings.extend(check_withdrawn(&after, note));
    findings.extend(check_keys(&after, note));
    findings
}

/// Creates a finding without a position.
pub(crate) fn finding(field: String, found: impl Into<String>, allowed: impl Into<String>) -> Finding {
    Finding {
        place: None,
        field,
        found: found.into(),
        allowed: allowed.into(),
    }
}

fn check_header(base: &Declared, note: &Note) -> Vec<Finding> {
    let mut findings = Vec::new();
    if !is_valid_name(&note.id) {
        findings.push(finding("id".to_owned(), format!("`{}`", note.id), NAME_RULE));
    }
    if note.base != base.version {
        let allowed = format!("the head's version, {}", base.version);
        findings.push(finding("base".to_owned(), note.base.to_string(), allowed));
    }
    for (section, entries) in [("add", &note.add), ("change", &note.change)] {
        let wrong = entries.names().filter(|name| !is_valid_name(&name.name));
        findings.extend(wrong.map(|n| finding(format!("{section}.{n}"), format!("`{}`", n.name), NAME_RULE)));
    }
    findings
}

fn check_sections(note: &Note) -> Vec<Finding> {
    let mut seen = BTreeSet::new();
    let mut findings = Vec::new();
    let changed = note.change.names().map(|name| (format!("change.{name}"), name));
    seen.extend(note.add.names());
    for (field, name) in changed.chain(withdrawn(note)) {
        if !seen.insert(name.clone()) {
            findings.push(finding(
                field,
                "a name that the note lists twice",
                "each entry once",
            ));
        }
    }
    findings
}

fn check_values(base: &Declared, section: &str, entries: &Entries) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (name, workspace) in &entries.workspaces {
        check_workspace(&format!("{section}.workspaces.{name}"), workspace, &mut findings);
    }
    for (name, deployment) in &entries.deployments {
        let before = base.deployments.get(name);
        check_deployment(
            &format!("{section}.deployments.{name}"),
            before,
            deployment,
            &mut findings,
        );
    }
    for (name, service) in &entries.services {
        check_service(&format!("{section}.services.{name}"), service, &mut findings);
    }
    for (name, rule) in &entries.rules {
        check_rule(&format!("{section}.rules.{name}"), rule, &mut findings);
    }
    findings
}

fn check_references(after: &Declared, section: &str, entries: &Entries) -> Vec<Finding> {
    let dangling = references(entries).filter(|(_, _, reference)| !is_declared(after, reference));
    dangling
        .map(|(owner, field, reference)| {
            let found = format!("`{}`, which no note declares", reference.name());
            finding(format!("{section}.{owner}.{field}"), found, reference.allowed())
        })
        .collect()
}

/// Name of another entry that an entry refers to.
enum Reference {
    /// A workspace.
    Workspace(Arc<str>),
    /// A model deployment or a plain service.
    Model(Arc<str>),
}

impl Reference {
    fn name(&self) -> &Arc<str> {
        match self {
            Self::Workspace(name) | Self::Model(name) => name,
        }
    }

    fn allowed(&self) -> &'static str {
        match self {
            Self::Workspace(_) => "the name of a workspace",
            Self::Model(_) => "the name of a deployment or service",
        }
    }
}

fn is_declared(after: &Declared, reference: &Reference) -> bool {
    match reference {
        Reference::Workspace(name) => after.workspaces.contains_key(name),
        Reference::Model(name) => after.deployments.contains_key(name) || after.services.contains_key(name),
    }
}

/// Returns the references of entries, each with its owner and the field in it.
fn references(entries: &Entries) -> impl Iterator<Item = (EntryName, String, Reference)> {
    let deployments = entries.deployments.iter();
    let services = entries.services.iter();
    let rules = entries.rules.iter();
    let deployments = deployments.flat_map(|(n, d)| of_workspaces(EntryKind::Deployments, n, &d.workspaces));
    let services = services.flat_map(|(n, s)| of_workspaces(EntryKind::Services, n, &s.workspaces));
    let rules = rules
        .flat_map(|(n, r)| of_workspaces(EntryKind::Rules, n, &r.workspaces).chain(of_models(n, &r.models)));
    deployments.chain(services).chain(rules)
}

fn of_workspaces(
    kind: EntryKind,
    owner: &Arc<str>,
    names: &[WorkspaceId],
) -> impl Iterator<Item = (EntryName, String, Reference)> {
    names.iter().enumerate().map(move |(i, name)| {
        let owner = EntryName {
            kind,
            name: owner.clone(),
        };
        (
            owner,
            format!("workspaces.{i}"),
            Reference::Workspace(name.clone()),
        )
    })
}

fn of_models(owner: &Arc<str>, names: &[Arc<str>]) -> impl Iterator<Item = (EntryName, String, Reference)> {
    names.iter().enumerate().map(move |(i, name)| {
        let owner = EntryName {
            kind: EntryKind::Rules,
            name: owner.clone(),
        };
        (owner, format!("models.{i}"), Reference::Model(name.clone()))
    })
}

fn check_withdrawn(after: &Declared, note: &Note) -> Vec<Finding> {
    if note.withdraw.is_empty() {
        return Vec::new();
    }
    let referrers = referrers(after);
    let mut findings = Vec::new();
    for (field, name) in withdrawn(note) {
        let key = (name.kind == EntryKind::Workspaces, &name.name);
        if name.kind != EntryKind::Rules
            && let Some(referrer) = referrers.get(&key)
        {
            findings.push(finding(
                field,
                format!("an entry that {referrer} names"),
                "an entry that no other names",
            ));
        }
    }
    findings
}

/// Returns one referring entry for each name that entries refer to. The key's flag tells whether the name is
/// that of a workspace.
fn referrers(after: &Declared) -> BTreeMap<(bool, &Arc<str>), EntryName> {
    let mut referrers = BTreeMap::new();
    for (name, deployment) in &after.deployments {
        insert_referrers(
            &mut referrers,
            EntryKind::Deployments,
            name,
            true,
            &deployment.workspaces,
        );
    }
    for (name, service) in &after.services {
        insert_referrers(
            &mut referrers,
            EntryKind::Services,
            name,
            true,
            &service.workspaces,
        );
    }
    for (name, rule) in &after.rules {
        insert_referrers(&mut referrers, EntryKind::Rules, name, true, &rule.workspaces);
        insert_referrers(&mut referrers, EntryKind::Rules, name, false, &rule.models);
    }
    referrers
}

fn insert_referrers<'a>(
    referrers: &mut BTreeMap<(bool, &'a Arc<str>), EntryName>,
    kind: EntryKind,
    owner: &Arc<str>,
    is_workspace: bool,
    references: &'a [Arc<str>],
) {
    for reference in references {
        let owner = EntryName {
            kind,
            name: owner.clone(),
        };
        referrers.insert((is_workspace, reference), owner);
    }
}

fn check_keys(after: &Declared, note: &Note) -> Vec<Finding> {
    let written = [("add", &note.add), ("change", &note.change)];
    if written
        .iter()
        .all(|(_, e)| e.workspaces.values().all(|w| w.key_digests.is_empty()))
    {
        return Vec::new();
    }
    let mut owners: BTreeMap<Digest, Vec<&WorkspaceId>> = BTreeMap::new();
    for (name, workspace) in &after.workspaces {
        for key in &workspace.key_digests {
            owners.entry(*key).or_default().push(name);
        }
    }
    let mut findings = Vec::new();
    for (section, entries) in written {
        for (name, workspace) in &entries.workspaces {
            for (i, key) in workspace.key_digests.iter().enumerate() {
                if owners.get(key).is_some_and(|owners| owners.len() > 1) {
                    let field = format!("{section}.workspaces.{name}.key_digests.{i}");
                    findings.push(finding(
                        field,
                        "a key that is listed twice",
                        "each key once over all workspaces",
                    ));
                }
            }
        }
    }
    findings
}

const NAME_RULE: &str = "1 to 63 of a-z, 0-9, `-`, `_` and `.`";
const MAX_NAME_BYTES: usize = 63;

fn is_valid_name(name: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-_.".contains(&b);
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(is_allowed)
}
