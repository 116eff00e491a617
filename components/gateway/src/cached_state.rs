use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use error_stack::Report;
use serde::{Deserialize, Serialize};
use utils::{ModelId, Monotonic, TargetId};

use crate::cold::{ColdEntry, ColdReport};
use crate::crash_rows::{CRASH_PREFIX, CrashRows, SOUND_PREFIX, is_on_crash};
use crate::declared_weights::DeclaredWeights;
use crate::departed::{DepartedTargets, Departure};
use crate::evacuations::Evacuations;
use crate::lost_rows::{LostRow, LostRows};
use crate::named_services::NamedServices;
use crate::packed::Base;
use crate::ports::{DeclaredRecord, Decode, Record, Snapshot, Table, UnusableRecord};
use crate::rows::{Replaced, Rows, TableUpdate};
use crate::software::{BASELINE_PREFIX, BaselineWrite, Baselines};
use crate::store_clock::StoreClock;
use crate::store_link::{StoreLink, UpdateSource};
use crate::superseded::{SupersededTargets, TakeOver};
use crate::view::{HostEntry, View};
use crate::weights_history::{DeclaredAge, DeclaredTimes};
use crate::{Declared, Position, Target};

/// Prefix of the keys under which entry hosts register themselves.
pub(crate) const HOST_PREFIX: &str = "host/";
/// Prefix of the keys under which limits that targets have named are recorded, by run.
pub(crate) const LIMIT_PREFIX: &str = "limit/";
/// Prefix of the keys under which the ages of a model's declared weights are kept.
pub(crate) const DECLARED_TIMES_PREFIX: &str = "weights/";

/// The record of a limit that a target has named.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct LimitRow {
    /// Requests per second from all hosts together.
    pub per_second: f64,
}

/// The host's cached state: declarations, targets and other hosts. A state machine without I/O.
///
/// Positions only increase: a row older than the cached one is ignored, so a late or stale answer can't undo
/// an update. Entries that disappear around an outage of the store, or because it was restored from an older copy,
/// may only have lapsed; they stay until the grace period after its return ends.
pub struct CachedState {
    /// Decodes rows.
    decode: Arc<dyn Decode>,
    /// How long a target that is missing after an outage stays listed.
    return_grace: Duration,
    /// Raw rows by table.
    tables: HashMap<Table, Rows>,
    /// Availability of the store.
    link: StoreLink,
    /// Time of the last successful call to the store.
    answered_at: Monotonic,
    /// Latest declared configuration; `None` before the first one is read.
    declared: Option<Arc<Declared>>,
    /// Services whose targets may be used.
    services: NamedServices,
    /// Weight versions declared for each model.
    weights: DeclaredWeights,
    /// Evacuated failure domains.
    evacuations: Evacuations,
    /// The store's clock.
    store_clock: StoreClock,
    /// Confirmed targets by key.
    targets: BTreeMap<String, Arc<Target>>,
    /// Targets by key whose entry disappeared around an outage and may have only lapsed.
    unconfirmed: BTreeMap<String, Arc<Target>>,
    /// Runs of targets that have left.
    departed: DepartedTargets,
    /// The software versions of services.
    baselines: Baselines,
    /// Registered entry hosts by name.
    hosts: BTreeMap<String, HostEntry>,
    /// Rows on crashes of targets.
    crashes: CrashRows,
    /// Rows on crashes that a restored store has lost. They count as before until a host has written them again.
    lost_rows: LostRows,
    /// What entries said of the coldness of targets since it was last taken.
    cold_reports: Vec<ColdReport>,
    /// Listed targets whose address another one has taken over.
    superseded: SupersededTargets,
    /// Recorded limits of targets that have changed since they were last taken; `None` for a removed record.
    limit_reports: Vec<(TargetId, Option<f64>)>,
    /// Whether the declared table was read in full before the current update. Only versions received after
    /// that have a known age.
    was_declared_read: bool,
    /// Whether the state has changed since the last published view.
    is_changed: bool,
}

impl CachedState {
    /// Creates an empty state.
    pub fn new(decode: Arc<dyn Decode>, return_grace: Duration) -> Self {
        Self {
            decode,
            return_grace,
            tables: HashMap::new(),
            link: StoreLink::Up(None),
            answered_at: Monotonic::ZERO,
            declared: None,
            services: NamedServices::default(),
            weights: DeclaredWeights::default(),
            evacuations: Evacuations::default(),
            store_clock: StoreClock::default(),
            targets: BTreeMap::new(),
            unconfirmed: BTreeMap::new(),
            departed: DepartedTargets::default(),
            baselines: Baselines::default(),
            hosts: BTreeMap::new(),
            crashes: CrashRows::default(),
            lost_rows: LostRows::default(),
            cold_reports: Vec::new(),
            superseded: SupersededTargets::default(),
            limit_reports: Vec::new(),
            was_declared_read: false,
            is_changed: false,
        }
    }

    /// Returns the position up to which a table is complete; `None` until it has been read in full.
    pub fn complete_position(&self, table: Table) -> Option<Position> {
        self.tables.get(&table)?.complete_position()
    }

    /// Returns the position of an existing row.
    pub fn position_of(&self, table: Table, key: &str) -> Option<Position> {
        self.tables.get(&table)?.position_of(key)
    }

    /// Returns the positions of the large rows of a table and of their earlier values, of each row the newest first.
    pub fn base_positions(&self, table: Table) -> impl Iterator<Item = (&str, Position)> {
        let rows = self.tables.get(&table).into_iter();
        rows.flat_map(Rows::base_positions)
    }

    /// Returns the value that the write at `position` gave to a row, if it is the present one or a kept earlier one.
    pub fn base(&self, table: Table, key: &str, position: Position) -> Option<Base> {
        self.tables.get(&table)?.base(key, position)
    }

    /// Returns the newest era of the store in which a table was read.
    pub fn era(&self) -> u64 {
        let complete = self.tables.values().filter_map(Rows::complete_position);
        complete.map(Position::era).max().unwrap_or(0)
    }

    /// Returns the number of targets that are listed although the store does not have them.
    pub(crate) fn unconfirmed_count(&self) -> usize {
        self.unconfirmed.len()
    }

    /// Returns the number of listed entries whose service is not declared, so that they name no target to use.
    pub(crate) fn unnamed_count(&self) -> usize {
        let listed = self.targets.values().chain(self.unconfirmed.values());
        listed
            .filter(|target| !self.services.contains(&target.service))
            .count()
    }

    /// Returns the number of evacuations in force whose rows a restored store has lost.
    pub(crate) fn lost_evacuation_count(&self) -> usize {
        self.evacuations.lost_count()
    }

    /// Returns the number of tombstones kept for updates to other hosts.
    pub fn tombstone_count(&self) -> usize {
        self.tables.values().map(Rows::tombstone_count).sum()
    }

    /// Returns the update that another host needs to go from `position` of a table to the cached position;
    /// `None` while this host can't determine it. Unconfirmed targets and held entries are neither present nor
    /// removed, so no update of targets is returned while there are any.
    pub fn changes_since(&self, table: Table, position: Position) -> Option<TableUpdate> {
        let is_uncertain = !self.unconfirmed.is_empty() || self.departed.has_held();
        let rows = self
            .tables
            .get(&table)
            .filter(|_| table != Table::Targets || !is_uncertain)?;
        rows.complete_position()?;
        rows.changes_since(position)
    }

    /// Records a successful call to the store. Returns true if the previous call failed.
    pub fn store_answered(&mut self, now: Monotonic) -> bool {
        self.answered_at = now;
        let was_down = self.link == StoreLink::Down;
        if was_down {
            self.link = StoreLink::Up(Some(now));
        }
        was_down
    }

    /// Records a failed call to the store. Returns true if the previous call succeeded.
    pub fn store_failed(&mut self) -> bool {
        let was_up = self.link != StoreLink::Down;
        self.link = StoreLink::Down;
        was_up
    }

    /// Returns the time since the last successful call to the store.
    pub fn store_age(&self, now: Monotonic) -> Duration {
        now.saturating_sub(self.answered_at)
    }

    /// Returns whether the last call to the store failed.
    pub fn is_store_down(&self) -> bool {
        self.link == StoreLink::Down
    }

    /// Replaces a whole table and removes the rows missing from the snapshot. Ignores a snapshot older than
    /// the cached table. Returns the rows that can't be decoded.
    pub fn replace(
        &mut self,
        table: Table,
        snapshot: Snapshot,
        source: UpdateSource,
        now: Monotonic,
    ) -> Vec<Report<UnusableRecord>> {
        let store_time = snapshot.store_time;
        let read_at = now.saturating_sub(snapshot.transfer_time);
        if let Some(store_time) = store_time {
            self.record_store_time(store_time, read_at);
        }
        let Some(mut replaced) = self.tables.entry(table).or_default().replace(snapshot, now) else {
            return Vec::new();
        };
        if let Some(store_time) = store_time.filter(|_| replaced.is_restored) {
            self.store_clock.restart(store_time, read_at);
        }
        // An empty snapshot is a change as well: it makes the table complete.
        self.is_changed = true;
        if replaced.is_restored && self.link != StoreLink::Down {
            self.link = StoreLink::Up(Some(now));
        }
        if replaced.is_restored {
            self.keep_lost_rows(table, &mut replaced, now);
        }
        let unusable = self.apply_records(table, replaced.changed, source, now);
        self.observe_software(now);
        unusable
    }

    /// Leaves out the removal of rows that apply although the restored store has lost them.
    fn keep_lost_rows(&mut self, table: Table, replaced: &mut Replaced, now: Monotonic) {
        // Hosts register again, and record the times of declarations again, themselves.
        let is_kept = |record: &Record| match table {
            Table::Declared => true,
            Table::Shared => is_on_crash(&record.key),
            Table::Targets | Table::Orders => false,
        };
        replaced
            .changed
            .retain(|record| record.value.is_some() || !is_kept(record));
        for record in replaced.lost.iter().filter(|record| is_kept(record)) {
            if table == Table::Shared {
                self.lost_rows.add(record, now);
            } else if let Ok(DeclaredRecord::Evacuation(domain)) = self.decode.declared(record) {
                self.evacuations.record_lost(&domain, now);
            }
        }
    }

    /// Returns the rows that a restored store has lost and no host has written again, oldest first.
    pub fn lost_rows(&self) -> Vec<LostRow> {
        self.lost_rows.to_vec()
    }

    /// Forgets lost rows past their retention time.
    fn expire_lost_rows(&mut self, now: Monotonic) {
        if self.lost_rows.is_empty() {
            return;
        }
        let mut expired = self.expired_crashes(now);
        expired.extend(self.expired_sound_parts(now));
        for removal in self.lost_rows.remove(&expired) {
            // The key was valid when the row was applied.
            let _ = self.apply_shared(&removal, now);
            self.is_changed = true;
        }
    }

    /// Applies changed rows. Returns the rows that can't be decoded.
    pub fn apply(
        &mut self,
        table: Table,
        changed: Snapshot,
        source: UpdateSource,
        now: Monotonic,
    ) -> Vec<Report<UnusableRecord>> {
        if let Some(store_time) = changed.store_time {
            self.record_store_time(store_time, now.saturating_sub(changed.transfer_time));
        }
        let applied = self.tables.entry(table).or_default().apply(changed, now);
        let unusable = self.apply_records(table, applied, source, now);
        self.observe_software(now);
        unusable
    }

    /// Applies an update received from another host. Returns the rows that can't be decoded.
    pub fn apply_update(
        &mut self,
        table: Table,
        update: TableUpdate,
        now: Monotonic,
    ) -> Vec<Report<UnusableRecord>> {
        match update {
            // For a host without a complete table, the rows newer than position 0 are the whole table.
            TableUpdate::Newer(snapshot) if self.complete_position(table).is_some() => {
                self.apply(table, snapshot, UpdateSource::Peer, now)
            }
            TableUpdate::Newer(snapshot) | TableUpdate::All(snapshot) => {
                self.replace(table, snapshot, UpdateSource::Peer, now)
            }
        }
    }

    /// Returns what entries have said of the coldness of targets since the last call.
    pub(crate) fn take_cold_reports(&mut self) -> Vec<ColdReport> {
        std::mem::take(&mut self.cold_reports)
    }

    /// Returns the recorded limits of targets that have changed since the last call.
    pub(crate) fn take_limit_reports(&mut self) -> Vec<(TargetId, Option<f64>)> {
        std::mem::take(&mut self.limit_reports)
    }

    /// Returns the store's clock.
    pub(crate) fn store_clock(&self) -> StoreClock {
        self.store_clock
    }

    /// Returns the time on the store's clock; `None` until it is known.
    pub fn store_time(&self, now: Monotonic) -> Option<Duration> {
        self.store_clock.time(now)
    }

    /// Records the time on the store's clock, as the store or another host reported it.
    pub fn record_store_time(&mut self, store_time: Duration, now: Monotonic) {
        let was_unknown = self.store_clock.record(store_time, now);
        if let Some(store_time) = self.store_time(now).filter(|_| was_unknown) {
            self.weights.apply_all_times(store_time, now);
            self.is_changed = true;
        }
    }

    /// Returns the models whose row in the shared table lacks the time of a declaration that this host
    /// received, with the content that the row should have.
    pub(crate) fn unrecorded_times(&self, now: Monotonic) -> Vec<(ModelId, DeclaredTimes)> {
        let store_time = self.store_time(now);
        store_time.map_or_else(Vec::new, |store_time| {
            self.weights.unrecorded_times(store_time, now)
        })
    }

    /// Tells the baselines which targets are listed, after a change.
    fn observe_software(&mut self, now: Monotonic) {
        if self.is_changed {
            let (era, is_read) = (self.era(), self.has_read_era());
            let listed = self.targets.values().chain(self.unconfirmed.values());
            let listed = listed.map(|target| &**target);
            self.baselines
                .observe(era, is_read, self.declared.as_deref(), listed, now);
        }
    }

    /// Whether the targets and the shared table have been read in the newest era of the store.
    fn has_read_era(&self) -> bool {
        let era = Some(self.era());
        let tables = [Table::Targets, Table::Shared];
        tables.map(|table| self.complete_position(table).map(Position::era)) == [era; 2]
    }

    /// Records that this host has not followed the list of targets without a gap up to now.
    pub(crate) fn record_list_gap(&mut self, now: Monotonic) {
        self.baselines.record_gap(now);
    }

    /// Returns the baselines whose rows should be written.
    pub fn due_baselines(&self, now: Monotonic) -> Vec<BaselineWrite> {
        match self.has_read_era() {
            true => self.baselines.due(now),
            false => Vec::new(),
        }
    }

    /// Returns the keys of crashes past their retention time, which is longer for those that support the
    /// quarantine of a part.
    pub fn expired_crashes(&self, now: Monotonic) -> Vec<String> {
        self.crashes.expired(now)
    }

    /// Returns the keys of rows on parts that have succeeded, past their retention time.
    pub fn expired_sound_parts(&self, now: Monotonic) -> Vec<String> {
        self.crashes.expired_sound_parts(now)
    }

    /// Removes targets still unconfirmed when the grace period after an outage ends, and purges expired
    /// tombstones and requests in crash rows.
    pub fn tick(&mut self, now: Monotonic) {
        for rows in self.tables.values_mut() {
            rows.purge_tombstones(now);
        }
        self.expire_lost_rows(now);
        self.is_changed |= self.crashes.forget_bystanders(now);
        self.is_changed |= self.evacuations.expire(now);
        self.is_changed |= self.services.expire(now);
        for (key, target) in self.departed.expire(now) {
            self.targets.insert(key, target);
            self.is_changed = true;
        }
        self.expire_unconfirmed(now);
        self.observe_software(now);
        self.is_changed |= self.baselines.refresh(now);
    }

    /// Removes unconfirmed targets when the grace period ends.
    fn expire_unconfirmed(&mut self, now: Monotonic) {
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

    /// Returns the view to publish if the state has changed since the last one.
    pub fn publish(&mut self) -> Option<View> {
        if !std::mem::take(&mut self.is_changed) {
            return None;
        }
        let listed = self.targets.values().chain(self.unconfirmed.values());
        let named = listed.filter(|target| self.services.contains(&target.service));
        self.superseded.update(named.clone().map(|target| &**target));
        let mut targets: HashMap<_, Vec<_>> = HashMap::new();
        for target in named {
            if !target.is_leaving && !self.superseded.contains(&target.run) {
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
            weights: self.weights.histories().clone(),
            software: self.baselines.published().clone(),
            hosts: hosts.collect(),
            evacuated: self.evacuations.domains(),
            quarantined: self.crashes.quarantined(),
            parts: self.crashes.suspect_parts(),
            has_read_targets: self.complete_position(Table::Targets).is_some(),
            has_read_hosts: self.complete_position(Table::Shared).is_some(),
        })
    }

    /// Returns the targets whose address another one has taken over since the last call.
    pub(crate) fn take_superseded(&mut self) -> Vec<TakeOver> {
        self.superseded.take_new()
    }

    fn apply_records(
        &mut self,
        table: Table,
        applied: Vec<Record>,
        source: UpdateSource,
        now: Monotonic,
    ) -> Vec<Report<UnusableRecord>> {
        self.is_changed |= table != Table::Targets && !applied.is_empty();
        let unusable = applied
            .into_iter()
            .filter_map(|record| self.apply_record(table, record, source, now).err())
            .collect();
        self.was_declared_read |= table == Table::Declared && self.complete_position(table).is_some();
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
            Table::Targets => self.apply_target(record, source, now),
            Table::Shared => self.apply_shared(&record, now),
            Table::Orders => Ok(()),
        }
    }

    fn apply_declared(&mut self, record: &Record, now: Monotonic) -> Result<(), Report<UnusableRecord>> {
        let decoded = self.decode.declared(record);
        if record.value.is_none() {
            // Other declarations stay in force without their rows.
            if let Ok(DeclaredRecord::Evacuation(domain)) = decoded {
                self.evacuations.end(&domain);
            }
            return Ok(());
        }
        match decoded? {
            DeclaredRecord::All(declared) => {
                let current_version = self.declared.as_ref().map_or(0, |current| current.version);
                if declared.version > current_version {
                    self.services.declare(&declared, now);
                    self.declared = Some(Arc::from(declared));
                }
            }
            DeclaredRecord::Weights(weights) => {
                let age = DeclaredAge::new(Duration::ZERO, now);
                let age = self.was_declared_read.then_some(age);
                self.weights.add(&weights, age);
                self.apply_declared_times(&weights.model, now);
            }
            DeclaredRecord::Evacuation(domain) => self.evacuations.declare(domain),
            DeclaredRecord::Other => {}
        }
        Ok(())
    }

    fn apply_target(
        &mut self,
        record: Record,
        source: UpdateSource,
        now: Monotonic,
    ) -> Result<(), Report<UnusableRecord>> {
        let era = record.position.era();
        let was_changed = std::mem::replace(&mut self.is_changed, true);
        if record.value.is_none() {
            self.cold_reports.push(ColdReport::Gone(record.key.clone()));
            self.departed.drop_held(&record.key);
            self.remove_target(&record.key, source, era, now);
            return Ok(());
        }
        let decoded = self.decode.target(&record);
        if decoded.is_err() {
            self.targets.remove(&record.key);
        }
        let mut target = decoded?;
        let remaining = target.cold_remaining.take();
        let entry = ColdEntry::of(&target, remaining);
        self.cold_reports.push(ColdReport::Entry(entry));
        let target = Arc::new(target);
        if self.departed.hold(&record.key, &target, era, now) {
            self.remove_target(&record.key, source, era, now);
            return Ok(());
        }
        self.unconfirmed.remove(&record.key);
        if target.is_leaving {
            self.departed.record(&target.run, Departure::Leaving, era, now);
        }
        let run = target.run.clone();
        let replaced = self.targets.insert(record.key, target.clone());
        if replaced.as_ref() == Some(&target) {
            // A renewal: nothing but the time for which the target is cold can have changed.
            self.is_changed = was_changed;
        }
        if let Some(replaced) = replaced.filter(|replaced| replaced.run != run) {
            self.departed.record(&replaced.run, Departure::Removed, era, now);
        }
        Ok(())
    }

    /// Removes a target. A removal read from the store around an outage only makes the target unconfirmed. A
    /// peer reports no targets while it has unconfirmed ones, so a removal from a peer is final.
    fn remove_target(&mut self, key: &str, source: UpdateSource, era: u64, now: Monotonic) {
        let Some(target) = self.targets.remove(key) else {
            if source == UpdateSource::Peer {
                self.unconfirmed.remove(key);
            }
            return;
        };
        if source == UpdateSource::Store && self.link != StoreLink::Up(None) {
            self.unconfirmed.insert(key.to_owned(), target);
        } else if !target.is_leaving {
            self.departed.record(&target.run, Departure::Removed, era, now);
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
        if let Some(model) = record.key.strip_prefix(DECLARED_TIMES_PREFIX) {
            let model = model.into();
            self.weights.apply_times_row(&model, record.value.as_deref())?;
            self.apply_declared_times(&model, now);
        }
        if let Some(run) = record.key.strip_prefix(LIMIT_PREFIX) {
            let row = record.value.as_deref().map(serde_json::from_slice::<LimitRow>);
            let row = row.transpose();
            let row = row.map_err(|e| Report::new(e).change_context(UnusableRecord))?;
            self.limit_reports
                .push((run.into(), row.map(|row| row.per_second)));
        }
        if let Some(service) = record.key.strip_prefix(BASELINE_PREFIX) {
            let (value, era) = (record.value.as_deref(), record.position.era());
            self.baselines.apply_row(service, value, era, now)?;
        }
        if is_on_crash(&record.key) {
            self.lost_rows.forget(&record.key);
        }
        if let Some(text) = record.key.strip_prefix(CRASH_PREFIX) {
            self.crashes.apply_crash(text, record, now)?;
        }
        if let Some(text) = record.key.strip_prefix(SOUND_PREFIX) {
            self.crashes.apply_sound_part(text, record, now)?;
        }
        Ok(())
    }

    /// Adds the recorded ages to a model's history, once the store's time is known.
    fn apply_declared_times(&mut self, model: &ModelId, now: Monotonic) {
        if let Some(store_time) = self.store_time(now) {
            self.weights.apply_times(model, store_time, now);
        }
    }
}
