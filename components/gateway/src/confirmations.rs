use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use utils::Monotonic;

use crate::ports::Table;

/// Times at which the host's copies of tables were last known to be those of the store.
#[derive(Debug, Default)]
pub(crate) struct Confirmations(Mutex<HashMap<Table, Monotonic>>);

impl Confirmations {
    /// Records that a copy was current at a time. An earlier time than the known one has no effect.
    pub(crate) fn record(&self, table: Table, at: Monotonic) {
        let mut times = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let latest = times.entry(table).or_default();
        *latest = (*latest).max(at);
    }

    /// Returns the time since a copy was last known to be current; `None` if it never was.
    pub(crate) fn age(&self, table: Table, now: Monotonic) -> Option<Duration> {
        let times = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        Some(now.saturating_sub(*times.get(&table)?))
    }
}
