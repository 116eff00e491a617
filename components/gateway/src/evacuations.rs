use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use utils::{FailureDomainId, Monotonic};

/// Time for which an evacuation is kept whose row a restored store has lost. Within it the operator can see the restore
/// and write the row again, or end the evacuation.
const LOST_ROW_RETENTION: Duration = Duration::from_secs(600);

/// Whether a failure domain is still evacuated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Evacuation {
    /// Its row exists.
    Declared,
    /// A restored store has lost its row. Holds the time at which the host noticed.
    Lost(Monotonic),
}

/// The failure domains that the operator has evacuated. A state machine without I/O.
///
/// An evacuation begins and ends with its row. A restore of the store from an older copy ends none at once, as it undoes
/// no other declaration: the row may have been written after the copy was made.
///
/// ```
/// use std::time::Duration;
/// use gateway::Evacuations;
///
/// let mut evacuations = Evacuations::default();
/// evacuations.declare("a".into());
/// assert!(evacuations.domains().contains("a"));
/// evacuations.end("a");
/// assert!(evacuations.domains().is_empty());
/// ```
#[derive(Debug, Default)]
pub struct Evacuations {
    /// Evacuations by failure domain.
    domains: BTreeMap<FailureDomainId, Evacuation>,
}

impl Evacuations {
    /// Returns the evacuated failure domains.
    pub fn domains(&self) -> HashSet<FailureDomainId> {
        self.domains.keys().cloned().collect()
    }

    /// Applies the row of an evacuation.
    pub fn declare(&mut self, domain: FailureDomainId) {
        self.domains.insert(domain, Evacuation::Declared);
    }

    /// Applies the removal of the row of an evacuation.
    pub fn end(&mut self, domain: &str) {
        self.domains.remove(domain);
    }

    /// Records that a restored store does not have the row of an evacuation.
    pub fn record_lost(&mut self, domain: &str, now: Monotonic) {
        if let Some(evacuation) = self.domains.get_mut(domain) {
            *evacuation = Evacuation::Lost(now);
        }
    }

    /// Returns the number of evacuations whose rows are lost.
    pub fn lost_count(&self) -> usize {
        let is_lost = |evacuation: &&Evacuation| **evacuation != Evacuation::Declared;
        self.domains.values().filter(is_lost).count()
    }

    /// Ends the evacuations whose rows were lost too long ago. Returns whether there were any.
    pub fn expire(&mut self, now: Monotonic) -> bool {
        let count = self.domains.len();
        let is_kept = |evacuation: &Evacuation| match evacuation {
            Evacuation::Declared => true,
            Evacuation::Lost(at) => now < *at + LOST_ROW_RETENTION,
        };
        self.domains.retain(|_, evacuation| is_kept(evacuation));
        self.domains.len() < count
    }
}
