//! Services that the operator names and whose listed targets may therefore be used.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use utils::{Monotonic, ServiceId};

use crate::Declared;

/// Time for which the targets of a service that is no longer declared are used, so that requests in flight end as they
/// began.
const RETENTION: Duration = Duration::from_secs(60);

/// The services of the newest declaration, and those that an earlier one named until a short time ago. An entry of any
/// other service comes from another writer than a target.
#[derive(Debug, Default)]
pub(crate) struct NamedServices {
    /// Services of the newest declaration that have targets.
    declared: BTreeSet<ServiceId>,
    /// Services that are no longer declared, with the time until which they count.
    retired: BTreeMap<ServiceId, Monotonic>,
}

impl NamedServices {
    /// Takes over a newer declaration. A store of kept cache is no target and appears in no list of them.
    pub(crate) fn declare(&mut self, declared: &Declared, now: Monotonic) {
        let with_targets = declared.services().filter(|service| service.store.is_none());
        let newer = with_targets.map(|service| service.name.clone()).collect();
        let older = std::mem::replace(&mut self.declared, newer);
        let dropped = older.difference(&self.declared).cloned();
        self.retired
            .extend(dropped.map(|service| (service, now + RETENTION)));
        self.retired.retain(|service, _| !self.declared.contains(service));
    }

    /// Whether entries of a service name targets to use.
    pub(crate) fn contains(&self, service: &str) -> bool {
        self.declared.contains(service) || self.retired.contains_key(service)
    }

    /// Forgets services that were dropped long enough ago; returns whether there were any.
    pub(crate) fn expire(&mut self, now: Monotonic) -> bool {
        let before = self.retired.len();
        self.retired.retain(|_, until| now < *until);
        self.retired.len() < before
    }
}
