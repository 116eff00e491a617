use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use utils::Monotonic;

use crate::ports::{Record, Snapshot};

/// Time for which a removed row is told to hosts that do not know of it; a host that is further behind gets the whole table.
pub(crate) const TOMBSTONE_RETENTION: Duration = Duration::from_secs(60);

/// What a host tells another one of a table.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum TableUpdate {
    /// Rows that changed since the version that was asked for.
    Newer(Snapshot),
    /// The whole table.
    All(Snapshot),
}

impl TableUpdate {
    /// Number of rows.
    pub(crate) fn row_count(&self) -> usize {
        let (Self::Newer(snapshot) | Self::All(snapshot)) = self;
        snapshot.records.len()
    }
}

/// A host's copy of a table of the store. Versions only grow.
#[derive(Debug, Default)]
pub(crate) struct Rows {
    /// Rows that are there, by key.
    live: BTreeMap<String, Record>,
    /// Rows that were removed lately, by key, with the moment at which this host learned of it.
    tombstones: BTreeMap<String, (Record, Monotonic)>,
    /// Newest version that was heard of.
    version: u64,
    /// Newest version of a removal that is not remembered any more.
    purged_version: u64,
    /// Whether the table was ever read whole.
    is_complete: bool,
}

impl Rows {
    /// The version up to which the table is known, once it was read whole.
    pub(crate) fn complete_version(&self) -> Option<u64> {
        self.is_complete.then_some(self.version)
    }

    /// Version of a row that is there.
    pub(crate) fn version_of(&self, key: &str) -> Option<u64> {
        self.live.get(key).map(|row| row.version)
    }

    /// What a host lacks that knows the table up to a version.
    pub(crate) fn changes_since(&self, version: u64) -> TableUpdate {
        let snapshot = |rows: &mut dyn Iterator<Item = &Record>| Snapshot {
            records: rows.cloned().collect(),
            version: self.version,
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

    /// Takes rows that changed; returns those that are applied.
    pub(crate) fn apply(&mut self, changed: Snapshot, now: Monotonic) -> Vec<Record> {
        let complete_version = self.complete_version();
        self.version = self.version.max(changed.version);
        let mut applied = changed.records;
        applied.retain(|record| self.apply_row(record, complete_version, now));
        applied
    }

    /// Takes a whole table: rows that it lacks are gone. Returns what is news, `None` if the table is older than what is held.
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

    /// Forgets old removals.
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

    /// Removals that are remembered.
    pub(crate) fn tombstone_count(&self) -> usize {
        self.tombstones.len()
    }

    /// Takes a row if it is newer than what is held. One that is not held, though the table is known up to its version, was
    /// removed.
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
