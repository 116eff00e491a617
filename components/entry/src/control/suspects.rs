use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};

use error_stack::Report;
use errors::events;
use metadata::{
    Committed, Condition, Expect, HttpPlatform, PlatformError, Row, ScanRequest, TableService, Transaction,
    Write,
};
use policy::{Fingerprint, Suspicion, TryId};
use serde::{Deserialize, Serialize};
use slog::info;
use utils::TargetId;

use super::poll::{Health, jittered};
use crate::quarantine::{MAX_ATTEMPT_TIME, TableCommand};
use crate::shared::Shared;

/// Prefix of the keys of suspect rows.
const SUSPECT_PREFIX: &str = "suspect/";
/// Prefix of the keys of the rows that reserve a target for an attempt of a suspect.
const TARGET_PREFIX: &str = "suspect-target/";
/// Time since its last change after which a row is removed.
const ROW_EXPIRY: Duration = Duration::from_secs(3_600);
/// Maximum number of rows in a transaction.
const MAX_BATCH_ROWS: usize = 64;
/// Maximum number of rows that a scan returns.
const MAX_SCAN_ROWS: usize = 1_000;
/// Time between attempts to write a batch.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Row of a request that ran on a target that crashed.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
struct SuspectRow {
    /// Crashes and attempts of the request.
    suspicion: Suspicion,
    /// Time of the last change, in seconds since the Unix epoch.
    changed_at: u64,
}

/// Row of a target that is reserved for an attempt of a suspect.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
struct TargetRow {
    /// The attempt.
    id: TryId,
    /// Time of the reservation, in seconds since the Unix epoch.
    claimed_at: u64,
}

/// A target, the attempt that claims it, and the sender that reports whether the claim is granted.
type Claim = (TargetId, TryId, async_channel::Sender<bool>);

/// Sends the merged rows to a waiting thread.
type RowsSender = async_channel::Sender<Vec<(Fingerprint, Suspicion)>>;

/// Commands that are written in one transaction.
#[derive(Default)]
struct Batch {
    /// Rows to merge.
    merges: BTreeMap<Fingerprint, Suspicion>,
    /// Rows to remove.
    removals: BTreeSet<Fingerprint>,
    /// Senders to notify once the rows are written.
    waiters: Vec<RowsSender>,
    /// Targets to claim.
    claims: Vec<Claim>,
    /// Targets to release.
    releases: BTreeSet<(TargetId, TryId)>,
}

/// Result of writing a batch.
struct WriteResult {
    /// Merged rows of suspects.
    rows: Vec<(Fingerprint, Suspicion)>,
    /// For each claim, whether it is granted.
    granted: Vec<bool>,
}

impl Batch {
    fn add(&mut self, command: TableCommand) {
        match command {
            TableCommand::Merge { rows, done } => {
                for (request, suspicion) in rows {
                    self.removals.remove(&request);
                    self.merges.entry(request).or_default().merge(&suspicion);
                }
                self.waiters.push(done);
            }
            TableCommand::Remove(request) => {
                self.merges.remove(&request);
                self.removals.insert(request);
            }
            TableCommand::Claim { target, id, done } => self.claims.push((target, id, done)),
            TableCommand::Release { target, id } => {
                self.claims.retain(|(_, other, _)| *other != id);
                self.releases.insert((target, id));
            }
        }
    }

    fn is_full(&self) -> bool {
        let rows = self.merges.len() + self.removals.len();
        rows + self.claims.len() + self.releases.len() >= MAX_BATCH_ROWS
    }

    /// Merges the batch with the rows in the table and writes it; returns `None` if a row changed meanwhile.
    async fn write(
        &self,
        shared: &Shared,
        table: &HttpPlatform,
    ) -> Result<Option<WriteResult>, Report<PlatformError>> {
        let mut keys: Vec<_> = self.merges.keys().map(suspect_key).collect();
        let claimed = self.claims.iter().map(|(target, _, _)| target);
        let released = self.releases.iter().map(|(target, _)| target);
        let targets: BTreeSet<_> = claimed.chain(released).cloned().collect();
        keys.extend(targets.iter().map(target_key));
        let mut found = table.read(keys).await?.into_iter();
        let now = wall_seconds(shared);
        let mut tx = Transaction::default();
        let rows = self.add_merges(&mut tx, found.by_ref(), now);
        let target_rows = targets.into_iter().zip(found).collect();
        let granted = self.add_claims(&mut tx, &target_rows, now);
        let removals = self.removals.iter();
        tx.writes.extend(removals.map(|request| Write::Delete {
            key: suspect_key(request),
        }));
        if tx.writes.is_empty() {
            return Ok(Some(WriteResult { rows, granted }));
        }
        match table.transact(tx).await? {
            Committed::Applied { .. } => Ok(Some(WriteResult { rows, granted })),
            Committed::Refused { .. } => Ok(None),
        }
    }

    fn add_merges(
        &self,
        tx: &mut Transaction,
        found: impl Iterator<Item = Option<Row>>,
        now: u64,
    ) -> Vec<(Fingerprint, Suspicion)> {
        let mut merged = Vec::new();
        for ((request, suspicion), row) in self.merges.iter().zip(found) {
            let mut suspicion = suspicion.clone();
            if let Some(old) = row.as_ref().and_then(parse_suspect) {
                suspicion.merge(&old.suspicion);
            }
            let value = SuspectRow {
                suspicion: suspicion.clone(),
                changed_at: now,
            };
            *tx = std::mem::take(tx).put(
                suspect_key(request),
                expect(row.as_ref()),
                serde_json::json!(value),
            );
            merged.push((*request, suspicion));
        }
        merged
    }

    /// Adds the rows of claimed targets that are free, expired or released, and deletes the rows of other
    /// released targets. Returns for each claim whether it is granted.
    fn add_claims(
        &self,
        tx: &mut Transaction,
        target_rows: &BTreeMap<TargetId, Option<Row>>,
        now: u64,
    ) -> Vec<bool> {
        let mut claimed_targets = BTreeSet::new();
        let mut granted = Vec::new();
        for (target, id, _) in &self.claims {
            let row = target_rows.get(target).and_then(Option::as_ref);
            let is_free = !claimed_targets.contains(target) && self.is_free(target, row, id, now);
            granted.push(is_free);
            if !is_free {
                continue;
            }
            claimed_targets.insert(target);
            let value = TargetRow {
                id: id.clone(),
                claimed_at: now,
            };
            *tx = std::mem::take(tx).put(target_key(target), expect(row), serde_json::json!(value));
        }
        for (target, id) in self
            .releases
            .iter()
            .filter(|(target, _)| !claimed_targets.contains(target))
        {
            let row = target_rows.get(target).and_then(Option::as_ref);
            if row.and_then(parse_target).is_some_and(|found| found.id == *id) {
                let key = target_key(target);
                tx.conditions.push(Condition {
                    key: key.clone(),
                    expect: expect(row),
                });
                tx.writes.push(Write::Delete { key });
            }
        }
        granted
    }

    fn is_free(&self, target: &TargetId, row: Option<&Row>, id: &TryId, now: u64) -> bool {
        let Some(found) = row.and_then(parse_target) else {
            return true;
        };
        let is_expired = now.saturating_sub(found.claimed_at) >= MAX_ATTEMPT_TIME.as_secs();
        let is_own = found.id == *id;
        is_expired || is_own || self.releases.contains(&(target.clone(), found.id))
    }
}

/// Executes commands as they arrive, with all pending commands up to the batch size in one transaction.
pub(crate) async fn write(
    shared: Arc<Shared>,
    table: Arc<HttpPlatform>,
    commands: async_channel::Receiver<TableCommand>,
) {
    let mut health = Health::new(&shared, "suspects");
    while let Ok(first) = commands.recv().await {
        let mut batch = Batch::default();
        batch.add(first);
        loop {
            while !batch.is_full()
                && let Ok(more) = commands.try_recv()
            {
                batch.add(more);
            }
            if let Some(Some(written)) = health.record(batch.write(&shared, &table).await) {
                apply_written(&shared, &batch, &written);
                break;
            }
            smol::Timer::after(jittered(WRITE_RETRY_DELAY)).await;
        }
    }
}

/// Merges the written rows into this host's state and notifies the waiters.
fn apply_written(shared: &Shared, batch: &Batch, written: &WriteResult) {
    let now = shared.clock.now();
    for (request, suspicion) in &written.rows {
        shared.suspects.quarantine().merge(*request, suspicion, now);
    }
    for request in &batch.removals {
        clear_request(shared, request);
    }
    for done in &batch.waiters {
        let _ = done.try_send(written.rows.clone());
    }
    for ((_, _, done), granted) in batch.claims.iter().zip(&written.granted) {
        let _ = done.try_send(*granted);
    }
}

/// Scans the rows of all hosts at an interval, and removes expired rows.
pub(crate) async fn scan(shared: Arc<Shared>, table: Arc<HttpPlatform>) {
    let mut health = Health::new(&shared, "suspects");
    let interval = Duration::from_millis(shared.settings.platform.head_interval_ms);
    let mut cached = BTreeSet::new();
    loop {
        if let Some(rows) = health.record(read_all(&table).await) {
            cached = apply_rows(&shared, &cached, &rows);
            let expired = expired_removals(&shared, &rows);
            if !expired.writes.is_empty() {
                health.record(table.transact(expired).await);
            }
        }
        smol::Timer::after(jittered(interval)).await;
    }
}

async fn read_all(table: &HttpPlatform) -> Result<Vec<Row>, Report<PlatformError>> {
    let mut rows: Vec<Row> = Vec::new();
    loop {
        let req = ScanRequest {
            prefix: SUSPECT_PREFIX.to_owned(),
            after: rows.last().map_or_else(String::new, |row| row.key.clone()),
            limit: MAX_SCAN_ROWS,
        };
        let more = table.scan(req).await?;
        let is_last = more.len() < MAX_SCAN_ROWS;
        rows.extend(more);
        if is_last {
            return Ok(rows);
        }
    }
}

/// Merges the rows into this host's state and clears requests whose rows are gone. Returns the requests with
/// rows.
fn apply_rows(shared: &Shared, cached: &BTreeSet<Fingerprint>, rows: &[Row]) -> BTreeSet<Fingerprint> {
    let now = shared.clock.now();
    let mut found = BTreeSet::new();
    for row in rows {
        let request = row
            .key
            .strip_prefix(SUSPECT_PREFIX)
            .and_then(|text| text.parse().ok());
        if let (Some(request), Some(row)) = (request, parse_suspect(row)) {
            shared.suspects.quarantine().merge(request, &row.suspicion, now);
            found.insert(request);
        }
    }
    cached
        .difference(&found)
        .for_each(|request| clear_request(shared, request));
    found
}

fn clear_request(shared: &Shared, request: &Fingerprint) {
    shared.suspects.quarantine().forget(request);
    info!(shared.log, "request cleared"; events::REQUEST_CLEARED, "fingerprint" => %request);
}

/// Returns a transaction that removes the rows that have not changed for [`ROW_EXPIRY`].
fn expired_removals(shared: &Shared, rows: &[Row]) -> Transaction {
    let now = wall_seconds(shared);
    let mut tx = Transaction::default();
    for row in rows {
        let age = parse_suspect(row).map(|found| now.saturating_sub(found.changed_at));
        if age.is_none_or(|age| age < ROW_EXPIRY.as_secs()) {
            continue;
        }
        let (key, expect) = (row.key.clone(), Expect::Version(row.version));
        tx.conditions.push(Condition {
            key: key.clone(),
            expect,
        });
        tx.writes.push(Write::Delete { key });
    }
    tx
}

fn parse_suspect(row: &Row) -> Option<SuspectRow> {
    serde_json::from_value(row.value.clone()).ok()
}

fn parse_target(row: &Row) -> Option<TargetRow> {
    serde_json::from_value(row.value.clone()).ok()
}

fn expect(row: Option<&Row>) -> Expect {
    row.map_or(Expect::Absent, |row| Expect::Version(row.version))
}

fn target_key(target: &TargetId) -> String {
    format!("{TARGET_PREFIX}{target}")
}

fn suspect_key(request: &Fingerprint) -> String {
    format!("{SUSPECT_PREFIX}{request}")
}

fn wall_seconds(shared: &Shared) -> u64 {
    let since = shared.clock.wall().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_secs()
}
