use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use error_stack::Report;

use super::{Control, TICK};
use crate::Learned;
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
const LONGEST_BACKOFF: Duration = Duration::from_millis(900);

/// What a call to the store brought.
enum Heard {
    /// A whole table.
    Whole(Snapshot),
    /// What changed.
    Changed(Snapshot),
    /// Nothing; the table has to be read again.
    Forgotten,
}

/// Keeps the host's copy of a table up to date.
pub(crate) async fn follow(control: Arc<Control>, table: Table) {
    let mut backoff = FIRST_BACKOFF;
    let mut must_read = false;
    loop {
        let heard = hear(&control, table, must_read).await;
        control.note_store(heard.is_ok());
        let now = control.traffic.now();
        if heard.is_ok() && table == Table::Declared {
            control.traffic.kept().record_declared(now);
        }
        match heard {
            Ok(Heard::Whole(snapshot)) => {
                must_read = false;
                control.update(|beliefs| beliefs.replace(table, snapshot, Learned::Store, now));
            }
            Ok(Heard::Changed(changed)) => {
                let pause = pause_after(table, &changed);
                control.update(|beliefs| beliefs.apply(table, changed, Learned::Store, now));
                smol::Timer::after(pause).await;
            }
            Ok(Heard::Forgotten) => must_read = true,
            Err(_) => {
                smol::Timer::after(jittered(backoff, 0.5)).await;
                backoff = (backoff * 2).min(LONGEST_BACKOFF);
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

async fn hear(control: &Control, table: Table, must_read: bool) -> Result<Heard, Report<StoreError>> {
    let known = control.beliefs().known(table);
    let wait = if table == Table::Shared {
        FOLLOW_SHARED_WAIT
    } else {
        FOLLOW_WAIT
    };
    let Some(after) = known.filter(|_| !must_read) else {
        return Ok(Heard::Whole(control.store.read(table).await?));
    };
    Ok(match control.store.follow(table, after, wait).await? {
        Changes::Known(changed) => Heard::Changed(changed),
        Changes::Forgotten => Heard::Forgotten,
    })
}

/// Does what only time brings about.
pub(crate) async fn tick(control: Arc<Control>) {
    loop {
        smol::Timer::after(TICK).await;
        let now = control.traffic.now();
        control.update(|beliefs| {
            beliefs.tick(now);
            Vec::new()
        });
        control.traffic.remove_stale();
        let view = control.traffic.view.load();
        control.traffic.telemetry.record_gauges(&GaugeValues {
            store_age: control.beliefs().store_age(now),
            in_flight: control.traffic.in_flight.load(Ordering::Acquire),
            declared: view.declared.as_ref().map_or(0, |declared| declared.version),
            targets: view.targets.values().map(Vec::len).sum(),
            hosts: view.hosts.len(),
        });
    }
}
