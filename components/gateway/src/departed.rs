//! Targets that have left, for the case that the store is restored from a copy which lists them as serving.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use utils::{Monotonic, TargetId};

use crate::Target;

/// Time for which a run that has left is remembered. The copy that a store is restored from is some seconds old.
const RETENTION: Duration = Duration::from_secs(60);
/// Time after which the entry of a removed target counts again. The store removes the entry of a target that no
/// longer writes before that.
const REMOVED_HOLD: Duration = Duration::from_secs(6);

/// How a run left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Departure {
    /// Its entry said that it was leaving.
    Leaving,
    /// Its entry was removed, or another run took its place.
    Removed,
}

/// A run that has left.
#[derive(Debug)]
struct Departed {
    /// How it left.
    departure: Departure,
    /// Era of the store in which it left.
    era: u64,
    /// Time at which this host was last told so.
    at: Monotonic,
}

/// A restored entry that is not used.
#[derive(Debug)]
struct Held {
    /// The target as the entry describes it.
    target: Arc<Target>,
    /// Time from which the entry is used if the store still has it.
    until: Monotonic,
}

/// Runs that have left, and restored entries of such runs that are held back.
#[derive(Debug, Default)]
pub(crate) struct DepartedTargets {
    /// Runs that have left.
    runs: HashMap<TargetId, Departed>,
    /// Held entries by key.
    held: BTreeMap<String, Held>,
}

impl DepartedTargets {
    /// Records that a run has left.
    pub(crate) fn record(&mut self, run: &TargetId, departure: Departure, era: u64, now: Monotonic) {
        let departed = Departed {
            departure,
            era,
            at: now,
        };
        self.runs.insert(run.clone(), departed);
    }

    /// Holds back an entry that describes a run as serving which left in an earlier era; returns whether it did. A
    /// further entry shows that a removed target writes again. A run that was leaving stays so.
    pub(crate) fn hold(&mut self, key: &str, target: &Arc<Target>, era: u64, now: Monotonic) -> bool {
        let was_held = self.held.remove(key).is_some();
        let Some(departed) = self.runs.get(&target.run) else {
            return false;
        };
        let hold = match departed.departure {
            _ if departed.era >= era || target.is_leaving => None,
            Departure::Removed if was_held => None,
            Departure::Removed => Some(REMOVED_HOLD),
            Departure::Leaving => Some(RETENTION),
        };
        let Some(hold) = hold else {
            self.runs.remove(&target.run);
            return false;
        };
        let held = Held {
            target: target.clone(),
            until: now + hold,
        };
        self.held.insert(key.to_owned(), held);
        true
    }

    /// Forgets a held entry that the store has removed; returns whether there was one.
    pub(crate) fn drop_held(&mut self, key: &str) -> bool {
        self.held.remove(key).is_some()
    }

    /// Whether any entry is held back.
    pub(crate) fn has_held(&self) -> bool {
        !self.held.is_empty()
    }

    /// Forgets what is too old, and returns the entries to use again with their keys.
    pub(crate) fn expire(&mut self, now: Monotonic) -> Vec<(String, Arc<Target>)> {
        self.runs.retain(|_, departed| now < departed.at + RETENTION);
        let ended = self.held.extract_if(.., |_, held| now >= held.until);
        ended.map(|(key, held)| (key, held.target)).collect()
    }
}
