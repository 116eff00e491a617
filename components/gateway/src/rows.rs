use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use utils::Monotonic;

use crate::Position;
use crate::earlier_values::{EarlierValues, is_large};
use crate::packed::Base;
use crate::ports::{Record, Snapshot};

/// How long a tombstone is kept for updates to other hosts. A host that is further behind receives the whole
/// table.
pub(crate) const TOMBSTONE_RETENTION: Duration = Duration::from_secs(60);

/// An update of a table sent from one host to another.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum TableUpdate {
    /// Rows that changed after the requested position.
    Newer(Snapshot),
    /// The whole table.
    All(Snapshot),
}

impl TableUpdate {
    /// Whether this is the whole table.
    pub(crate) fn is_whole(&self) -> bool {
        matches!(self, Self::All(_))
    }

    /// Returns the number of rows.
    pub(crate) fn row_count(&self) -> usize {
        self.snapshot().records.len()
    }

    /// Returns the rows.
    pub(crate) fn snapshot(&self) -> &Snapshot {
        let (Self::Newer(snapshot) | Self::All(snapshot)) = self;
        snapshot
    }

    /// Returns the rows.
    pub(crate) fn into_snapshot(self) -> Snapshot {
        let (Self::Newer(snapshot) | Self::All(snapshot)) = self;
        snapshot
    }
}

/// Result of replacing a whole table.
#[derive(Debug, Default)]
pub(crate) struct Replaced {
    /// Rows that changed, removed ones included.
    pub changed: Vec<Record>,
    /// Rows as they were before, which a restored store no longer has.
    pub lost: Vec<Record>,
    /// Whether the table comes from a store that was restored from an older copy.
    pub is_restored: bool,
}

/// A host's replica of a table of the store. Positions only increase.
#[derive(Debug, Default)]
pub(crate) struct Rows {
    /// Existing rows by key.
    live: BTreeMap<String, Record>,
    /// Earlier values of large rows.
    earlier: EarlierValues,
    /// Tombstones of recently removed rows by key, with the time at which this host received the removal.
    tombstones: BTreeMap<String, (Record, Monotonic)>,
    /// Newest position received.
    position: Position,
    /// Position up to which removals may be unknown: that of the newest purged tombstone, or of the last read of the whole
    /// table, which shows neither what was removed before it nor what came and went since the read before.
    unknown_until: Position,
    /// Whether the table has been read in full.
    is_complete: bool,
}

impl Rows {
    /// Returns the position up to which the table is complete; `None` until it has been read in full.
    pub(crate) fn complete_position(&self) -> Option<Position> {
        self.is_complete.then_some(self.position)
    }

    /// Returns the position of an existing row.
    pub(crate) fn position_of(&self, key: &str) -> Option<Position> {
        self.live.get(key).map(|row| row.position)
    }

    /// Returns the positions of the large rows and of their earlier values, of each row the newest first.
    pub(crate) fn base_positions(&self) -> impl Iterator<Item = (&str, Position)> {
        let is_large_row = |row: &&Record| row.value.as_deref().is_some_and(is_large);
        self.live.values().filter(is_large_row).flat_map(|row| {
            let earlier = self.earlier.of_row(&row.key).map(|base| base.position);
            let positions = std::iter::once(row.position).chain(earlier);
            positions.map(|position| (&*row.key, position))
        })
    }

    /// Returns the value that the write at `position` gave to a row, if it is the present one or a kept earlier one.
    pub(crate) fn base(&self, key: &str, position: Position) -> Option<Base> {
        let live = self.live.get(key).filter(|row| row.position == position);
        let live = live.and_then(|row| row.value.as_deref()).map(|value| Base {
            position,
            value: Bytes::copy_from_slice(value),
        });
        live.or_else(|| self.earlier.find(key, position).cloned())
    }

    /// Returns the update from `position` to the current position: the changed rows, or the whole table if removals
    /// after `position` are unknown. Returns `None` if `position` is of a later era.
    pub(crate) fn changes_since(&self, position: Position) -> Option<TableUpdate> {
        if position.era() > self.position.era() {
            return None;
        }
        let snapshot = |rows: &mut dyn Iterator<Item = &Record>| Snapshot {
            records: rows.cloned().collect(),
            position: self.position,
            store_time: None,
            transfer_time: Duration::ZERO,
        };
        let is_earlier_era = position != Position::default() && position.era() < self.position.era();
        if position < self.unknown_until || is_earlier_era {
            return Some(TableUpdate::All(snapshot(&mut self.live.values())));
        }
        let rows = self
            .live
            .values()
            .chain(self.tombstones.values().map(|(row, _)| row));
        Some(TableUpdate::Newer(snapshot(
            &mut rows.filter(|row| row.position > position),
        )))
    }

    /// Applies changed rows. Returns those newer than the replica. Changes of another era are ignored: they leave
    /// out what the restored store has lost.
    pub(crate) fn apply(&mut self, changed: Snapshot, now: Monotonic) -> Vec<Record> {
        let complete_position = self.complete_position();
        if complete_position.is_some_and(|position| position.era() != changed.position.era()) {
            return Vec::new();
        }
        self.position = self.position.max(changed.position);
        let mut applied = changed.records;
        applied.retain(|record| self.apply_row(record, complete_position, now));
        applied
    }

    /// Replaces the whole table and removes the rows missing from the snapshot. Returns `None` if the snapshot is
    /// older than the replica.
    pub(crate) fn replace(&mut self, snapshot: Snapshot, now: Monotonic) -> Option<Replaced> {
        if snapshot.position < self.position {
            return None;
        }
        let is_restored = self.is_complete && snapshot.position.era() > self.position.era();
        if is_restored {
            self.tombstones.clear();
        }
        if snapshot.position > self.position || !self.is_complete {
            self.unknown_until = snapshot.position;
        }
        let listed: HashSet<&str> = snapshot.records.iter().map(|r| r.key.as_str()).collect();
        let missing = self.live.values().filter(|row| !listed.contains(&*row.key));
        let missing: Vec<Record> = missing.cloned().collect();
        let removals = missing.iter().map(|row| Record {
            key: row.key.clone(),
            value: None,
            position: snapshot.position,
        });
        let mut changed: Vec<Record> = removals.collect();
        changed.extend(snapshot.records);
        changed.retain(|record| self.apply_row(record, None, now));
        self.position = snapshot.position;
        self.is_complete = true;
        let lost = if is_restored { missing } else { Vec::new() };
        Some(Replaced {
            changed,
            lost,
            is_restored,
        })
    }

    /// Purges expired tombstones.
    pub(crate) fn purge_tombstones(&mut self, now: Monotonic) {
        let unknown_until = &mut self.unknown_until;
        self.tombstones.retain(|_, (row, at)| {
            let is_expired = now >= *at + TOMBSTONE_RETENTION;
            if is_expired {
                *unknown_until = row.position.max(*unknown_until);
            }
            !is_expired
        });
    }

    /// Returns the number of tombstones.
    pub(crate) fn tombstone_count(&self) -> usize {
        self.tombstones.len()
    }

    /// Applies a row if it is newer than the replica; returns whether its content changed. A row that is absent
    /// although the table is complete up to its position was removed, so it is ignored.
    fn apply_row(&mut self, record: &Record, complete_position: Option<Position>, now: Monotonic) -> bool {
        let live = self.live.get(&record.key);
        let removed = self.tombstones.get(&record.key).map(|(row, _)| row);
        let is_newer = match live.or(removed) {
            Some(held) => held.position < record.position,
            None => complete_position.is_none_or(|position| position < record.position),
        };
        // A write that survived the restore of the store.
        let is_known = live.is_some_and(|held| held.is_same_write(record));
        if is_newer {
            self.put(record.clone(), now);
        }
        is_newer && !is_known
    }

    fn put(&mut self, record: Record, now: Monotonic) {
        let key = record.key.clone();
        if record.value.is_some() {
            self.tombstones.remove(&key);
            if let Some(replaced) = self.live.insert(key, record) {
                self.earlier.add(replaced);
            }
        } else {
            self.live.remove(&key);
            self.tombstones.insert(key, (record, now));
        }
    }
}
