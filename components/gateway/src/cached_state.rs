use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use error_stack::Report;
use utils::{ModelId, Monotonic};

use crate::ports::{DeclaredRecord, Decode, Record, Snapshot, Table, UnusableRecord};
use crate::quarantine::{CRASH_RETENTION, CRASHES_TO_QUARANTINE, Fingerprint};
use crate::rows::{Rows, TableUpdate};
use crate::view::{HostEntry, View, WeightsHistory};
use crate::{Declared, Target};

/// Start of the keys under which entry hosts register themselves.
pub(crate) const HOST_PREFIX: &str = "host/";
/// Start of the keys of crashes: `crash/FINGERPRINT/HOST/NUMBER`, a row for each crash that a host has seen.
pub(crate) const CRASH_PREFIX: &str = "crash/";

/// Who told the host about a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateSource {
    /// The platform's store.
    Store,
    /// Another entry host.
    Peer,
}

/// Connection to the store, as its calls show it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StoreLink {
    /// Calls are answered, since this moment; `None` since the start.
    Up(Option<Monotonic>),
    /// Calls fail.
    Down,
}

/// What the host believes about declarations, targets and other hosts. A state machine without I/O.
///
/// Versions only grow: a row that is older than the one held is ignored, so a late or stale answer can't bring back what
/// has been replaced. Entries that vanish while the store was away may only have lapsed; they stay until
/// the grace after its return has passed.
pub struct CachedState {
    /// Reads rows.
    decode: Arc<dyn Decode>,
    /// Time for which an entry that is missing after an outage may still come back.
    return_grace: Duration,
    /// Rows as they were read.
    tables: HashMap<Table, Rows>,
    /// State of the store.
    link: StoreLink,
    /// When the store last answered.
    answered_at: Monotonic,
    /// Declared state.
    declared: Option<Arc<Declared>>,
    /// Named weights.
    weights: HashMap<ModelId, WeightsHistory>,
    /// Usable targets by key.
    targets: BTreeMap<String, Arc<Target>>,
    /// Targets whose entry vanished around an outage.
    unconfirmed: BTreeMap<String, Arc<Target>>,
    /// Entry hosts.
    hosts: BTreeMap<String, HostEntry>,
    /// Crashes by key, with the request that was aboard and when this host learned of it.
    crashes: BTreeMap<String, (Fingerprint, Monotonic)>,
    /// Whether the declared state was read before the change at hand.
    was_declared_read: bool,
    /// Whether the view has to be published again.
    is_changed: bool,
}

impl CachedState {
    /// A host that knows nothing.
    pub fn new(decode: Arc<dyn Decode>, return_grace: Duration) -> Self {
        Self {
            decode,
            return_grace,
            tables: HashMap::new(),
            link: StoreLink::Up(None),
            answered_at: Monotonic::ZERO,
            declared: None,
            weights: HashMap::new(),
            targets: BTreeMap::new(),
            unconfirmed: BTreeMap::new(),
            hosts: BTreeMap::new(),
            crashes: BTreeMap::new(),
            was_declared_read: false,
            is_changed: false,
        }
    }

    /// The version up to which a table is known, once it was read whole.
    pub fn complete_version(&self, table: Table) -> Option<u64> {
        self.tables.get(&table)?.complete_version()
    }

    /// Version of a row that is there.
    pub fn version_of(&self, table: Table, key: &str) -> Option<u64> {
        self.tables.get(&table)?.version_of(key)
    }

    /// Removed rows that are remembered, to be told to other hosts.
    pub fn tombstone_count(&self) -> usize {
        self.tables.values().map(Rows::tombstone_count).sum()
    }

    /// What another host lacks that knows a table up to a version; `None` if this host can't say. Targets that may have lapsed
    /// only because the store was away are neither there nor gone, so nothing is said of targets until that is settled.
    pub fn changes_since(&self, table: Table, version: u64) -> Option<TableUpdate> {
        let has_unconfirmed = table == Table::Targets && !self.unconfirmed.is_empty();
        let rows = self.tables.get(&table).filter(|_| !has_unconfirmed)?;
        rows.complete_version()?;
        Some(rows.changes_since(version))
    }

    /// A call to the store was answered. True if calls failed before.
    pub fn store_answered(&mut self, now: Monotonic) -> bool {
        self.answered_at = now;
        let was_down = self.link == StoreLink::Down;
        if was_down {
            self.link = StoreLink::Up(Some(now));
        }
        was_down
    }

    /// A call to the store failed. True if calls were answered before.
    pub fn store_failed(&mut self) -> bool {
        let was_up = self.link != StoreLink::Down;
        self.link = StoreLink::Down;
        was_up
    }

    /// Time since the store last answered.
    pub fn store_age(&self, now: Monotonic) -> Duration {
        now.saturating_sub(self.answered_at)
    }

    /// Whether calls to the store fail.
    pub fn is_store_down(&self) -> bool {
        self.link == StoreLink::Down
    }

    /// Takes a whole table. Rows that it lacks are gone; an older answer than what is held is ignored.
    pub fn replace(
        &mut self,
        table: Table,
        snapshot: Snapshot,
        source: UpdateSource,
        now: Monotonic,
    ) -> Vec<Report<UnusableRecord>> {
        let applied = self.tables.entry(table).or_default().replace(snapshot, now);
        // A table without rows is news as well: from now on it is known.
        self.is_changed |= applied.is_some();
        self.apply_records(table, applied.unwrap_or_default(), source, now)
    }

    /// Takes rows that changed.
    pub fn apply(
        &mut self,
        table: Table,
        changed: Snapshot,
        source: UpdateSource,
        now: Monotonic,
    ) -> Vec<Report<UnusableRecord>> {
        let applied = self.tables.entry(table).or_default().apply(changed, now);
        self.apply_records(table, applied, source, now)
    }

    /// Takes what another host told.
    pub fn apply_update(
        &mut self,
        table: Table,
        update: TableUpdate,
        now: Monotonic,
    ) -> Vec<Report<UnusableRecord>> {
        match update {
            // To a host that knows nothing, what is newer than nothing is the whole table.
            TableUpdate::Newer(snapshot) if self.complete_version(table).is_some() => {
                self.apply(table, snapshot, UpdateSource::Peer, now)
            }
            TableUpdate::Newer(snapshot) | TableUpdate::All(snapshot) => {
                self.replace(table, snapshot, UpdateSource::Peer, now)
            }
        }
    }

    /// Keys of crashes that are old enough to be forgotten.
    pub fn expired_crashes(&self, now: Monotonic) -> Vec<String> {
        let expired = self
            .crashes
            .iter()
            .filter(|(_, (_, at))| now >= *at + CRASH_RETENTION);
        expired.map(|(key, _)| key.clone()).collect()
    }

    /// Removes the entries that did not come back in time after an outage, and forgets old removals.
    pub fn tick(&mut self, now: Monotonic) {
        for rows in self.tables.values_mut() {
            rows.purge_tombstones(now);
        }
        let StoreLink::Up(Some(back_at)) = self.link else {
            return;
        };
        if now < back_at + self.return_grace {
            return;
        }
        self.link = StoreLink::Up(None);
        if !self.unconfirmed.is_empty() {
            self.unconfirmed.clear();
            self.is_changed = true;
        }
    }

    /// The view to publish, if anything has changed since the last one.
    pub fn publish(&mut self) -> Option<View> {
        if !std::mem::take(&mut self.is_changed) {
            return None;
        }
        let mut targets: HashMap<_, Vec<_>> = HashMap::new();
        for target in self.targets.values().chain(self.unconfirmed.values()) {
            if !target.is_leaving {
                targets
                    .entry(target.service.clone())
                    .or_default()
                    .push(target.clone());
            }
        }
        let hosts = self.hosts.values().map(|h| (h.name.clone(), h.clone()));
        Some(View {
            declared: self.declared.clone(),
            targets,
            weights: self.weights.clone(),
            hosts: hosts.collect(),
            quarantined: self.quarantined(),
            has_read_targets: self.complete_version(Table::Targets).is_some(),
        })
    }

    fn apply_records(
        &mut self,
        table: Table,
        applied: Vec<Record>,
        source: UpdateSource,
        now: Monotonic,
    ) -> Vec<Report<UnusableRecord>> {
        self.is_changed |= !applied.is_empty();
        let unusable = applied
            .into_iter()
            .filter_map(|record| self.apply_record(table, record, source, now).err())
            .collect();
        self.was_declared_read |= table == Table::Declared && self.complete_version(table).is_some();
        unusable
    }

    fn apply_record(
        &mut self,
        table: Table,
        record: Record,
        source: UpdateSource,
        now: Monotonic,
    ) -> Result<(), Report<UnusableRecord>> {
        match table {
            Table::Declared => self.apply_declared(&record, now),
            Table::Targets => self.apply_target(record, source),
            Table::Shared => self.apply_shared(&record, now),
            Table::Orders => Ok(()),
        }
    }

    fn apply_declared(&mut self, record: &Record, now: Monotonic) -> Result<(), Report<UnusableRecord>> {
        if record.value.is_none() {
            return Ok(());
        }
        match self.decode.declared(record)? {
            DeclaredRecord::All(declared) => {
                let current_version = self.declared.as_ref().map_or(0, |current| current.version);
                if declared.version > current_version {
                    self.declared = Some(Arc::from(declared));
                }
            }
            DeclaredRecord::Weights(weights) => {
                let received_at = self.was_declared_read.then_some(now);
                self.weights
                    .entry(weights.model)
                    .or_default()
                    .add(weights.version, received_at);
            }
            DeclaredRecord::Other => {}
        }
        Ok(())
    }

    fn apply_target(&mut self, record: Record, source: UpdateSource) -> Result<(), Report<UnusableRecord>> {
        if record.value.is_none() {
            self.remove_target(&record.key, source);
            return Ok(());
        }
        let decoded = self.decode.target(&record);
        if decoded.is_err() {
            self.targets.remove(&record.key);
        }
        self.unconfirmed.remove(&record.key);
        self.targets.insert(record.key, Arc::new(decoded?));
        Ok(())
    }

    /// A host that reaches the store has resolved doubts itself; what it calls gone is gone.
    fn remove_target(&mut self, key: &str, source: UpdateSource) {
        let Some(target) = self.targets.remove(key) else {
            if source == UpdateSource::Peer {
                self.unconfirmed.remove(key);
            }
            return;
        };
        if source == UpdateSource::Store && self.link != StoreLink::Up(None) {
            self.unconfirmed.insert(key.to_owned(), target);
        }
    }

    fn apply_shared(&mut self, record: &Record, now: Monotonic) -> Result<(), Report<UnusableRecord>> {
        if let Some(name) = record.key.strip_prefix(HOST_PREFIX) {
            let entry = record.value.as_deref();
            let entry = entry.map(serde_json::from_slice::<HostEntry>).transpose();
            match entry.map_err(|e| Report::new(e).change_context(UnusableRecord))? {
                Some(entry) => self.hosts.insert(name.to_owned(), entry),
                None => self.hosts.remove(name),
            };
        }
        if let Some(text) = record.key.strip_prefix(CRASH_PREFIX) {
            let text = text.split('/').next().unwrap_or_default();
            let fingerprint = Fingerprint::parse(text).ok_or(UnusableRecord)?;
            match record.value {
                Some(_) => self.crashes.insert(record.key.clone(), (fingerprint, now)),
                None => self.crashes.remove(&record.key),
            };
        }
        Ok(())
    }

    /// Requests that were aboard crashes often enough, whichever hosts saw them.
    fn quarantined(&self) -> HashSet<Fingerprint> {
        let mut counts: HashMap<Fingerprint, u32> = HashMap::new();
        for (fingerprint, _) in self.crashes.values() {
            *counts.entry(*fingerprint).or_default() += 1;
        }
        counts.retain(|_, count| *count >= CRASHES_TO_QUARANTINE);
        counts.into_keys().collect()
    }
}
