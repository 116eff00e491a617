use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use utils::Monotonic;

use crate::ports::{Record, Snapshot};

/// Time for which a removed row is told to hosts that do not know of it; a host that is further behind gets the whole table.
pub(crate) const REMOVAL_MEMORY: Duration = Duration::from_secs(60);

/// What a host tells another one of a table.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Told {
    /// Rows that changed since the version that was asked for.
    Newer(Snapshot),
    /// The whole table.
    All(Snapshot),
}

impl Told {
    /// Number of rows.
    pub(crate) fn rows(&self) -> usize {
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
    removed: BTreeMap<String, (Record, Monotonic)>,
    /// Newest version that was heard of.
    version: u64,
    /// Newest version of a removal that is not remembered any more.
    forgotten: u64,
    /// Whether the table was ever read whole.
    is_read: bool,
}

impl Rows {
    /// The version up to which the table is known, once it was read whole.
    pub(crate) fn known(&self) -> Option<u64> {
        self.is_read.then_some(self.version)
    }

    /// Version of a row that is there.
    pub(crate) fn version_of(&self, key: &str) -> Option<u64> {
        self.live.get(key).map(|row| row.version)
    }

    /// What a host lacks that knows the table up to a version.
    pub(crate) fn newer_than(&self, version: u64) -> Told {
        let snapshot = |rows: &mut dyn Iterator<Item = &Record>| Snapshot {
            records: rows.cloned().collect(),
            version: self.version,
        };
        if version < self.forgotten {
            return Told::All(snapshot(&mut self.live.values()));
        }
        let rows = self
            .live
            .values()
            .chain(self.removed.values().map(|(row, _)| row));
        Told::Newer(snapshot(&mut rows.filter(|row| row.version > version)))
    }

    /// Takes rows that changed; returns those that are news.
    pub(crate) fn apply(&mut self, changed: Snapshot, now: Monotonic) -> Vec<Record> {
        let known = self.known();
        self.version = self.version.max(changed.version);
        let mut news = changed.records;
        news.retain(|record| self.take(record, known, now));
        news
    }

    /// Takes a whole table: rows that it lacks are gone. Returns what is news, `None` if the table is older than what is held.
    pub(crate) fn replace(&mut self, snapshot: Snapshot, now: Monotonic) -> Option<Vec<Record>> {
        if snapshot.version < self.version {
            return None;
        }
        let listed: HashSet<&str> = snapshot.records.iter().map(|r| r.key.as_str()).collect();
        let gone = self.live.keys().filter(|key| !listed.contains(key.as_str()));
        let gone = gone.map(|key| Record {
            key: key.clone(),
            value: None,
            version: snapshot.version,
        });
        let mut news: Vec<Record> = gone.collect();
        news.extend(snapshot.records);
        news.retain(|record| self.take(record, None, now));
        self.version = snapshot.version;
        self.is_read = true;
        Some(news)
    }

    /// Forgets old removals.
    pub(crate) fn forget(&mut self, now: Monotonic) {
        let forgotten = &mut self.forgotten;
        self.removed.retain(|_, (row, at)| {
            let is_old = now >= *at + REMOVAL_MEMORY;
            if is_old {
                *forgotten = row.version.max(*forgotten);
            }
            !is_old
        });
    }

    /// Removals that are remembered.
    pub(crate) fn removals(&self) -> usize {
        self.removed.len()
    }

    /// Takes a row if it is newer than what is held. One that is not held, though the table is known up to its version, was
    /// removed.
    fn take(&mut self, record: &Record, known: Option<u64>, now: Monotonic) -> bool {
        let live = self.live.get(&record.key);
        let removed = self.removed.get(&record.key).map(|(row, _)| row);
        let is_news = match live.or(removed) {
            Some(held) => held.version < record.version,
            None => known.is_none_or(|known| known < record.version),
        };
        if is_news {
            self.put(record.clone(), now);
        }
        is_news
    }

    fn put(&mut self, record: Record, now: Monotonic) {
        let key = record.key.clone();
        if record.value.is_some() {
            self.removed.remove(&key);
            self.live.insert(key, record);
        } else {
            self.live.remove(&key);
            self.removed.insert(key, (record, now));
        }
    }
}
