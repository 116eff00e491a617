//! Rows of the shared table that a restored store has lost.

use std::collections::BTreeMap;

use utils::Monotonic;

use crate::Position;
use crate::ports::Record;

/// A row of the shared table that a restored store has lost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LostRow {
    /// Key of the row.
    pub key: String,
    /// Its content.
    pub value: Vec<u8>,
    /// Time at which this host noticed the loss.
    pub lost_at: Monotonic,
}

/// Lost rows that no host has written again, in the order in which they were written first.
#[derive(Debug, Default)]
pub(crate) struct LostRows {
    /// Rows by position and key.
    rows: BTreeMap<(Position, String), LostRow>,
}

impl LostRows {
    /// Adds a row as it was before the loss.
    pub(crate) fn add(&mut self, record: &Record, now: Monotonic) {
        let Some(value) = record.value.clone() else { return };
        let row = LostRow {
            key: record.key.clone(),
            value,
            lost_at: now,
        };
        self.rows.insert((record.position, record.key.clone()), row);
    }

    /// Forgets a row that the store has again.
    pub(crate) fn forget(&mut self, key: &str) {
        self.rows.retain(|_, row| row.key != key);
    }

    /// Removes the rows with these keys and returns their removals.
    pub(crate) fn remove(&mut self, keys: &[String]) -> Vec<Record> {
        let removed = self.rows.extract_if(.., |_, row| keys.contains(&row.key));
        let removal = |((position, key), _)| Record {
            key,
            value: None,
            position,
        };
        removed.map(removal).collect()
    }

    /// Whether there are none.
    pub(crate) fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the rows, oldest first.
    pub(crate) fn to_vec(&self) -> Vec<LostRow> {
        self.rows.values().cloned().collect()
    }
}
