use std::collections::BTreeSet;

use utils::{WorkspaceId, digest};

use super::salt::{CacheScope, escape};

/// Hexadecimal digits of a digest that stand in a salt.
const DIGEST_DIGITS: usize = 32;

/// The workspaces that a declaration isolates, by name.
///
/// Cache that all others share belongs to one such set. When a workspace becomes isolated, the others leave what it has
/// made behind; a host needs nothing but the declaration for that. When the set is the same again, so is the cache: none
/// of its makers is isolated then.
///
/// ```
/// use gateway::{CacheScope, IsolatedWorkspaces};
///
/// let isolated: IsolatedWorkspaces = ["mill".into()].into_iter().collect();
/// assert_eq!(isolated.scope_of(Some("mill")), CacheScope::Isolated("mill"));
/// assert_ne!(isolated.scope_of(Some("farm")), CacheScope::Shared);
/// assert_eq!(IsolatedWorkspaces::default().scope_of(Some("farm")), CacheScope::Shared);
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct IsolatedWorkspaces {
    /// Their names.
    names: BTreeSet<WorkspaceId>,
    /// Texts of their scopes.
    scopes: BTreeSet<String>,
    /// Digest of the names; `None` if there are none.
    digest: Option<String>,
}

impl IsolatedWorkspaces {
    /// Returns the scope of a request of a workspace, or of a request without one.
    pub fn scope_of<'a>(&'a self, workspace: Option<&'a str>) -> CacheScope<'a> {
        match (workspace, &self.digest) {
            (Some(name), _) if self.names.contains(name) => CacheScope::Isolated(name),
            (_, Some(digest)) => CacheScope::SharedBeside(digest),
            (_, None) => CacheScope::Shared,
        }
    }

    /// Returns whether requests use the scope with this text.
    pub fn is_current(&self, scope: &str) -> bool {
        self.scopes.contains(scope) || self.scope_of(None).text() == scope
    }
}

impl FromIterator<WorkspaceId> for IsolatedWorkspaces {
    fn from_iter<T: IntoIterator<Item = WorkspaceId>>(names: T) -> Self {
        let names: BTreeSet<_> = names.into_iter().collect();
        let fields: Vec<_> = names.iter().map(|name| escape(name)).collect();
        let mut digits = digest(fields.join("/").as_bytes()).to_string();
        digits.truncate(DIGEST_DIGITS);
        Self {
            scopes: names
                .iter()
                .map(|name| CacheScope::Isolated(name).text())
                .collect(),
            digest: (!names.is_empty()).then_some(digits),
            names,
        }
    }
}
