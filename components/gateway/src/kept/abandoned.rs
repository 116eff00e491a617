use std::collections::{BTreeMap, BTreeSet};

use utils::Monotonic;

use super::isolated::IsolatedWorkspaces;
use super::plan::{MAX_DECLARED_AGE, OLD_WEIGHTS_DROP_DELAY};
use super::salt::scope_of_salt;

/// Scopes of a store's parts that no request uses any more, because workspaces have become isolated or shared.
///
/// A host whose declarations are old does not fetch, so some time after this host knows that a scope is not in use, no
/// host fetches its parts.
///
/// ```
/// use std::time::Duration;
/// use gateway::{AbandonedScopes, IsolatedWorkspaces};
///
/// let mut scopes = AbandonedScopes::default();
/// let isolated: IsolatedWorkspaces = ["mill".into()].into_iter().collect();
/// let at = Duration::from_secs;
/// scopes.update(["all/m/1", "one/mill/m/1"].into_iter(), &isolated, Some(at(1)), at(1));
/// assert!(!scopes.may_drop("all/m/1", at(1)));
/// assert!(scopes.may_drop("all/m/1", at(10)));
/// assert!(!scopes.may_drop("one/mill/m/1", at(10)));
/// ```
#[derive(Debug, Default)]
pub struct AbandonedScopes {
    /// The scopes by their text.
    scopes: BTreeMap<Box<str>, Abandoned>,
}

/// What is known of a scope that is not in use.
#[derive(Debug, Clone, Copy)]
struct Abandoned {
    /// Time at which this host first noticed it.
    noticed_at: Monotonic,
    /// Time since which this host knows it from declarations that were current when it noticed it, or later. `None` while its
    /// declarations are old: newer ones may use the scope.
    known_at: Option<Monotonic>,
}

impl AbandonedScopes {
    /// Takes over the salts of a store's parts. `declared_at` is the last time at which this host's declarations were those
    /// of the platform's store.
    pub fn update<'a>(
        &mut self,
        salts: impl Iterator<Item = &'a str>,
        isolated: &IsolatedWorkspaces,
        declared_at: Option<Monotonic>,
        now: Monotonic,
    ) {
        let mut unused: BTreeSet<&str> = salts.filter_map(scope_of_salt).collect();
        unused.retain(|scope| !isolated.is_current(scope));
        self.scopes.retain(|scope, _| unused.contains(&**scope));
        let declared_at = declared_at.filter(|at| now < at.saturating_add(MAX_DECLARED_AGE));
        for scope in unused {
            let scope = self.scopes.entry(scope.into()).or_insert(Abandoned {
                noticed_at: now,
                known_at: None,
            });
            scope.known_at = match declared_at {
                Some(at) if at >= scope.noticed_at => scope.known_at.or(Some(now)),
                Some(_) => scope.known_at,
                None => None,
            };
        }
    }

    /// Whether no host fetches the parts under a salt any more.
    pub fn may_drop(&self, salt: &str, now: Monotonic) -> bool {
        let scope = scope_of_salt(salt).and_then(|scope| self.scopes.get(scope));
        let known_at = scope.and_then(|scope| scope.known_at);
        known_at.is_some_and(|at| now >= at.saturating_add(OLD_WEIGHTS_DROP_DELAY))
    }
}
