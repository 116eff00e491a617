use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use error_stack::Report;

use super::{Control, TICK_INTERVAL};
use crate::UpdateSource;
use crate::jitter::jittered;
use crate::ports::{Changes, Snapshot, StoreError, Table};
use crate::telemetry::GaugeValues;

/// Longest wait of the store for a change: a connection that has gone silent is noticed after it.
const FOLLOW_WAIT: Duration = Duration::from_millis(3_000);
/// The same for what hosts share, which none depends on from one moment to the next.
const FOLLOW_SHARED_WAIT: Duration = Duration::from_secs(15);
/// Pause after a change of targets, so that many changes in a row take few calls. Well below the time within which a host must
/// have stopped to use a target that leaves.
const TARGETS_PAUSE: Duration = Duration::from_millis(600);
/// The same for what hosts share.
const SHARED_PAUSE: Duration = Duration::from_millis(2_000);
/// First pause after a failed call.
const FIRST_BACKOFF: Duration = Duration::from_millis(150);
/// Longest pause after failed calls.
const MAX_BACKOFF: Duration = Duration::from_millis(900);

/// What a call to the store brought.
enum Fetched {
    /// A whole table.
    Whole(Snapshot),
    /// What changed.
    Changed(Snapshot),
    /// Nothing; the table has to be read again.
    Compacted,
}

/// Keeps the host's copy of a table up to date.
pub(crate) async fn follow(control: Arc<Control>, table: Table) {
    let mut backoff = FIRST_BACKOFF;
    let mut needs_full_read = false;
    loop {
        let fetched = fetch(&control, table, needs_full_read).await;
        control.record_store_call(fetched.is_ok());
        let now = control.traffic.now();
        if fetched.is_ok() && table == Table::Declared {
            control.traffic.kept().record_declared(now);
        }
        match fetched {
            Ok(Fetched::Whole(snapshot)) => {
                needs_full_read = false;
                control.update(|state| state.replace(table, snapshot, UpdateSource::Store, now));
            }
            Ok(Fetched::Changed(changed)) => {
                let pause = pause_after(table, &changed);
                control.update(|state| state.apply(table, changed, UpdateSource::Store, now));
                smol::Timer::after(pause).await;
            }
            Ok(Fetched::Compacted) => needs_full_read = true,
            Err(_) => {
                smol::Timer::after(jittered(backoff, 0.5)).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
                continue;
            }
        }
        backoff = FIRST_BACKOFF;
    }
}

/// Pause before a table is asked for again.
fn pause_after(table: Table, changed: &Snapshot) -> Duration {
    match table {
        Table::Targets if !changed.records.is_empty() => TARGETS_PAUSE,
        Table::Shared if !changed.records.is_empty() => SHARED_PAUSE,
        _ => Duration::ZERO,
    }
}

async fn fetch(
    control: &Control,
    table: Table,
    needs_full_read: bool,
) -> Result<Fetched, Report<StoreError>> {
    let complete_version = control.cached_state().complete_version(table);
    let wait = if table == Table::Shared {
        FOLLOW_SHARED_WAIT
    } else {
        FOLLOW_WAIT
    };
    let Some(after) = complete_version.filter(|_| !needs_full_read) else {
        return Ok(Fetched::Whole(control.store.read(table).await?));
    };
    Ok(match control.store.follow(table, after, wait).await? {
        Changes::Delta(changed) => Fetched::Changed(changed),
        Changes::Compacted => Fetched::Compacted,
    })
}

/// Does what only time brings about.
pub(crate) async fn tick(control: Arc<Control>) {
    loop {
        smol::Timer::after(TICK_INTERVAL).await;
        let now = control.traffic.now();
        control.update(|state| {
            state.tick(now);
            Vec::new()
        });
        control.traffic.remove_stale();
        let view = control.traffic.view.load();
        control.traffic.telemetry.record_gauges(&GaugeValues {
            store_age: control.cached_state().store_age(now),
            in_flight: control.traffic.in_flight.load(Ordering::Acquire),
            declared: view.declared.as_ref().map_or(0, |declared| declared.version),
            targets: view.targets.values().map(Vec::len).sum(),
            hosts: view.hosts.len(),
        });
    }
}
