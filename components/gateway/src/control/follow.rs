use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use error_stack::Report;
use errors::events;
use futures_lite::future;
use http_io::HttpError;
use slog::{info, warn};
use utils::Monotonic;

use super::baselines::has_current_list;
use super::{Control, TICK_INTERVAL, relays};
use crate::follow_pause::pause_after;
use crate::jitter::jittered;
use crate::ports::{Changes, Snapshot, StoreError, Table};
use crate::telemetry::GaugeValues;
use crate::{CachedState, FollowPace, PAUSE_JITTER, Position, UpdateSource};

/// Longest wait for changes of the shared table, which no host needs within seconds.
const FOLLOW_SHARED_WAIT: Duration = Duration::from_secs(15);
/// Pause after a read that was older than the cached table.
const STALE_READ_PAUSE: Duration = Duration::from_millis(150);
/// Size from which an answer with rows is logged, in bytes.
const LARGE_ANSWER_BYTES: usize = 64 << 10;
/// Time between two ticks from which on the process was suspended.
const MAX_TICK_GAP: Duration = Duration::from_secs(2);
/// Age up to which the answer of another host shows which targets are listed. Some hosts may not answer.
const MAX_PEER_ANSWER_AGE: Duration = Duration::from_secs(3);

/// Result of a call to the store.
enum Fetched {
    /// The whole table.
    Whole(Snapshot),
    /// Changed rows.
    Changed(Snapshot),
    /// No rows; the table must be read in full.
    Compacted,
    /// Nothing; the store was restored while the call waited, or another host has given the table.
    Superseded,
}

/// Keeps the host's replica of a table up to date.
pub(crate) async fn follow(control: Arc<Control>, table: Table) {
    let mut pace = control.pace(table);
    let mut needs_full_read = false;
    loop {
        let relayed_for = relays::relayed_for(&control, table);
        if !relayed_for.is_zero() {
            smol::Timer::after(relayed_for).await;
            continue;
        }
        let called_at = control.traffic.now();
        let fetched = fetch(&control, table, &pace, needs_full_read).await;
        if matches!(fetched, Ok(Fetched::Superseded)) {
            continue;
        }
        // A store whose answer stalls is not away.
        let is_answered = fetched.as_ref().map_or_else(is_incomplete, |_| true);
        control.record_store_call(is_answered);
        let now = control.traffic.now();
        log_size(&control, table, &fetched, now.saturating_sub(called_at));
        match fetched {
            Ok(Fetched::Whole(snapshot)) => {
                let position = snapshot.position;
                let read_at = now.saturating_sub(snapshot.transfer_time);
                control.update(|state| state.replace(table, snapshot, UpdateSource::Store, now));
                needs_full_read = is_stale(&control.cached_state(), table, position);
                if needs_full_read {
                    // A stale read. Another one at once would be as old.
                    log_ignored(&control, table, &"the table is older than the cached one");
                    smol::Timer::after(jittered(STALE_READ_PAUSE, 0.5)).await;
                } else {
                    control.record_confirmed(table, read_at);
                }
            }
            Ok(Fetched::Changed(changed)) => {
                let read_pause = match table {
                    Table::Declared => pace.after_change(changed.value_bytes()),
                    _ => Duration::ZERO,
                };
                let pause = apply_changes(&control, table, changed, now);
                smol::Timer::after(pause.max(read_pause)).await;
            }
            Ok(Fetched::Compacted | Fetched::Superseded) => needs_full_read = true,
            Err(e) => {
                if !matches!(
                    e.current_context(),
                    StoreError::Rejected(_) | StoreError::NoResponse | StoreError::Incomplete(_)
                ) {
                    log_ignored(&control, table, e.current_context());
                }
                // Changes that are too many for one answer come in pages when the table is read.
                needs_full_read |= is_too_large(&e);
                smol::Timer::after(jittered(pace.failed(), PAUSE_JITTER)).await;
                continue;
            }
        }
        pace.answered();
    }
}

/// Whether a table was read as of a position that is older than what the host has.
fn is_stale(state: &CachedState, table: Table, position: Position) -> bool {
    state.complete_position(table) > Some(position) || state.era() > position.era()
}

/// Whether an answer of the store began to arrive.
fn is_incomplete(error: &Report<StoreError>) -> bool {
    matches!(error.current_context(), StoreError::Incomplete(_))
}

/// Whether an answer of the store had more bytes than the host reads.
fn is_too_large(error: &Report<StoreError>) -> bool {
    let cause = error.downcast_ref::<HttpError>();
    matches!(cause, Some(HttpError::TooLarge { .. } | HttpError::NoMemory))
}

/// Applies changed rows; returns the pause before the next call.
fn apply_changes(control: &Control, table: Table, changed: Snapshot, now: Monotonic) -> Duration {
    let names = changed.records.iter().map(|record| record.key.clone());
    let names: Vec<String> = names.filter(|_| table == Table::Targets).collect();
    let pause = pause_after(table, &changed, false);
    let renewed_pause = pause_after(table, &changed, true);
    let position = changed.position;
    let read_at = now.saturating_sub(changed.transfer_time);
    let is_changed = control.update(|state| state.apply(table, changed, UpdateSource::Store, now));
    // Changes of another era are ignored.
    if control.cached_state().complete_position(table) == Some(position) {
        control.record_confirmed(table, read_at);
    }
    match !is_changed && control.traffic.are_cold(&names) {
        true => renewed_pause,
        false => pause,
    }
}

/// Logs the size of a large answer, or how much had arrived of one that was given up.
fn log_size(
    control: &Control,
    table: Table,
    fetched: &Result<Fetched, Report<StoreError>>,
    elapsed: Duration,
) {
    let log = &control.traffic.log;
    let table = format!("{table:?}");
    match fetched {
        Ok(Fetched::Whole(rows) | Fetched::Changed(rows)) if rows.value_bytes() >= LARGE_ANSWER_BYTES => {
            info!(log, "large answer of the store"; events::LARGE_ANSWER, "table" => table,
                "bytes" => rows.value_bytes(), "ms" => elapsed.as_millis());
        }
        Err(e) => {
            if let StoreError::Incomplete(bytes) = *e.current_context() {
                control.traffic.telemetry.abandoned("store", bytes);
                warn!(log, "answer of the store given up"; events::ANSWER_ABANDONED, "source" => "store",
                    "table" => table, "bytes" => bytes, "ms" => elapsed.as_millis());
            }
        }
        Ok(_) => {}
    }
}

/// Logs an answer of the store that is not used.
fn log_ignored(control: &Control, table: Table, reason: &dyn std::fmt::Display) {
    let held = control.cached_state().complete_position(table);
    warn!(control.traffic.log, "answer of the store ignored"; events::STORE_ANSWER_IGNORED,
        "table" => format!("{table:?}"), "reason" => reason.to_string(), "held" => format!("{held:?}"));
}

async fn fetch(
    control: &Control,
    table: Table,
    pace: &FollowPace,
    needs_full_read: bool,
) -> Result<Fetched, Report<StoreError>> {
    // A call that reaches the store in an outage may never be answered. With a wait for changes it would be noticed long
    // after the store is back.
    let is_store_down = control.cached_state().is_store_down();
    let wait = match table {
        Table::Shared if !is_store_down => FOLLOW_SHARED_WAIT,
        _ => pace.wait(is_store_down, relays::is_relay(control)),
    };
    let followed = followed_position(&control.cached_state(), table);
    if followed.is_none() {
        let read = async { Some(control.store.read(table).await) };
        let given = async {
            control.wait_for_table(table).await;
            None
        };
        let read = future::or(read, given).await.transpose()?;
        return Ok(read.map_or(Fetched::Superseded, Fetched::Whole));
    }
    let Some(after) = followed.filter(|_| !needs_full_read) else {
        return Ok(Fetched::Whole(control.store.read(table).await?));
    };
    let call = async { Some(control.store.follow(table, after, wait).await) };
    // The store may have lost a call that it had before its restore, and gives out versions again.
    let restored = async {
        control.wait_for_era_after(after.era()).await;
        None
    };
    Ok(match future::or(call, restored).await.transpose()? {
        Some(Changes::Delta(changed)) => Fetched::Changed(changed),
        Some(Changes::Compacted) => Fetched::Compacted,
        None => Fetched::Superseded,
    })
}

/// Returns the position after which changes of a table can be asked for. One of an earlier era of the store says nothing of
/// what it has now.
pub(super) fn followed_position(state: &CachedState, table: Table) -> Option<Position> {
    let position = state.complete_position(table)?;
    (position.era() >= state.era()).then_some(position)
}

/// Whether this host has followed the list of targets, at the store or, while the store does not answer, at other hosts.
fn has_followed_list(control: &Control, now: Monotonic) -> bool {
    let peer_age = control.peer_answer_age(now);
    has_current_list(control, now) || peer_age.is_some_and(|age| age <= MAX_PEER_ANSWER_AGE)
}

/// Runs time-driven updates: expires cached entries, cleans the traffic state and records gauges.
pub(crate) async fn tick(control: Arc<Control>) {
    let mut last = control.traffic.now();
    loop {
        smol::Timer::after(TICK_INTERVAL).await;
        let now = control.traffic.now();
        let was_suspended = now.saturating_sub(last) > MAX_TICK_GAP;
        last = now;
        if was_suspended || !has_followed_list(&control, now) {
            control.cached_state().record_list_gap(now);
        }
        control.update(|state| {
            state.tick(now);
            Vec::new()
        });
        control.traffic.remove_stale();
        control.log_shortages(now);
        let view = control.traffic.view.load();
        control.traffic.telemetry.record_gauges(&GaugeValues {
            store_age: control.cached_state().store_age(now),
            in_flight: control.traffic.in_flight.load(Ordering::Acquire),
            declared: view.declared.as_ref().map_or(0, |declared| declared.version),
            targets: view.targets.values().map(Vec::len).sum(),
            hosts: view.hosts.len(),
            evacuated: view.evacuated.len(),
        });
    }
}
