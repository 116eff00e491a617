use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use utils::Monotonic;

use crate::ports::{Record, Snapshot};

/// How long a tombstone is kept for updates to other hosts. A host that is further behind receives the whole
/// table.
pub(crate) const TOMBSTONE_RETENTION: Duration = Duration::from_secs(60);

/// An update of a table sent from one host to another.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum TableUpdate {
    /// Rows that changed after the requested version.
    Newer(Snapshot),
    /// The whole table.
    All(Snapshot),
}

impl TableUpdate {
    /// Returns the number of rows.
    pub(crate) fn row_count(&self) -> usize {
        let (Self::Newer(snapshot) | Self::All(snapshot)) = self;
        snapshot.records.len()
    }
}

/// A host's replica of a table of the store. Versions only increase.
#[derive(Debug, Default)]
pub(crate) struct Rows {
    /// Existing rows by key.
    live: BTreeMap<String, Record>,
    /// Tombstones of recently removed rows by key, with the time at which this host received the removal.
    tombstones: BTreeMap<String, (Record, Monotonic)>,
    /// Newest version received.
    version: u64,
    /// Newest version of a purged tombstone.
    purged_version: u64,
    /// Whether the table has been read in full.
    is_complete: bool,
}

impl Rows {
    /// Returns the version up to which the table is complete; `None` until it has been read in full.
    pub(crate) fn complete_version(&self) -> Option<u64> {
        self.is_complete.then_some(self.version)
    }

    /// Returns the version of an existing row.
    pub(crate) fn version_of(&self, key: &str) -> Option<u64> {
        self.live.get(key).map(|row| row.version)
    }

    /// Returns the update from `version` to the current version: the changed rows, or the whole table if
    /// tombstones newer than `version` have been purged.
    pub(crate) fn changes_since(&self, version: u64) -> TableUpdate {
        let snapshot = |rows: &mut dyn Iterator<Item = &Record>| Snapshot {
            records: rows.cloned().collect(),
            version: self.version,
            store_time: None,
        };
        if version < self.purged_version {
            return TableUpdate::All(snapshot(&mut self.live.values()));
        }
        let rows = self
            .live
            .values()
            .chain(self.tombstones.values().map(|(row, _)| row));
        TableUpdate::Newer(snapshot(&mut rows.filter(|row| row.version > version)))
    }

    /// Applies changed rows. Returns those newer than the replica.
    pub(crate) fn apply(&mut self, changed: Snapshot, now: Monotonic) -> Vec<Record> {
        let complete_version = self.complete_version();
        self.version = self.version.max(changed.version);
        let mut applied = changed.records;
        applied.retain(|record| self.apply_row(record, complete_version, now));
        applied
    }

    /// Replaces the whole table and removes the rows missing from the snapshot. Returns the rows that
    /// changed; `None` if the snapshot is older than the replica.
    pub(crate) fn replace(&mut self, snapshot: Snapshot, now: Monotonic) -> Option<Vec<Record>> {
        if snapshot.version < self.version {
            return None;
        }
        let listed: HashSet<&str> = snapshot.records.iter().map(|r| r.key.as_str()).collect();
        let missing = self.live.keys().filter(|key| !listed.contains(key.as_str()));
        let missing = missing.map(|key| Record {
            key: key.clone(),
            value: None,
            version: snapshot.version,
        });
        let mut applied: Vec<Record> = missing.collect();
        applied.extend(snapshot.records);
        applied.retain(|record| self.apply_row(record, None, now));
        self.version = snapshot.version;
        self.is_complete = true;
        Some(applied)
    }

    /// Purges expired tombstones.
    pub(crate) fn purge_tombstones(&mut self, now: Monotonic) {
        let purged_version = &mut self.purged_version;
        self.tombstones.retain(|_, (row, at)| {
            let is_expired = now >= *at + TOMBSTONE_RETENTION;
            if is_expired {
                *purged_version = row.version.max(*purged_version);
            }
            !is_expired
        });
    }

    /// Returns the number of tombstones.
    pub(crate) fn tombstone_count(&self) -> usize {
        self.tombstones.len()
    }

    /// Applies a row if it is newer than the replica. A row that is absent although the table is complete up
    /// to its version was removed, so it is ignored.
    fn apply_row(&mut self, record: &Record, complete_version: Option<u64>, now: Monotonic) -> bool {
        let live = self.live.get(&record.key);
        let removed = self.tombstones.get(&record.key).map(|(row, _)| row);
        let is_newer = match live.or(removed) {
            Some(held) => held.version < record.version,
            None => complete_version.is_none_or(|version| version < record.version),
        };
        if is_newer {
            self.put(record.clone(), now);
        }
        is_newer
    }

    fn put(&mut self, record: Record, now: Monotonic) {
        let key = record.key.clone();
        if record.value.is_some() {
            self.tombstones.remove(&key);
            self.live.insert(key, record);
        } else {
            self.live.remove(&key);
            self.tombstones.insert(key, (record, now));
        }
    }
}
