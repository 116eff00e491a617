use std::sync::Arc;
use std::time::Duration;

use errors::events;
use slog::{info, warn};
use utils::Monotonic;

use super::register::shared_write;
use super::{Control, relays};
use crate::ports::{RecordWrite, RecordWritten, Table};
use crate::software::{BaselineChange, BaselineWrite};

/// Interval between checks for rows to write.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which twice as many hosts write a row that its owners have not written.
const TAKEOVER_DELAY: Duration = Duration::from_secs(4);
/// The same for a row that is confirmed: its owner may know less than others, and callers wait for it.
const CONFIRM_TAKEOVER_DELAY: Duration = Duration::from_secs(1);
/// Pause after writes, until the rows can be expected back from the store.
const WRITE_PAUSE: Duration = Duration::from_secs(4);
/// Longest pause after failed writes.
const MAX_PAUSE: Duration = Duration::from_secs(60);
/// Age up to which the list of targets tells which versions are listed.
const MAX_LIST_AGE: Duration = Duration::from_secs(5);

/// Writes the rows of the shared table with the baselines of the services.
pub(crate) async fn write_baselines(control: Arc<Control>) {
    let mut pause = WRITE_PAUSE;
    loop {
        smol::Timer::after(CHECK_INTERVAL).await;
        let now = control.traffic.now();
        if control.cached_state().is_store_down() || !has_current_list(&control, now) {
            continue;
        }
        let mut due = control.cached_state().due_baselines(now);
        due.retain(|write| is_writer(&control, write, now) && has_written_records(&control, write));
        if due.is_empty() {
            continue;
        }
        pause = match write_all(&control, &due).await {
            true => WRITE_PAUSE,
            false => (pause * 2).min(MAX_PAUSE),
        };
        smol::Timer::after(pause).await;
    }
}

/// Whether the list of targets is as the store has it. An older one may lack a version that has returned.
pub(super) fn has_current_list(control: &Control, now: Monotonic) -> bool {
    let confirmed_age = control.confirmed_age(now);
    confirmed_age.is_some_and(|age| age <= MAX_LIST_AGE) || relays::is_relayed(control)
}

/// Whether the restored store has this host's records again. Once a baseline is confirmed, a missing record counts as none.
fn has_written_records(control: &Control, write: &BaselineWrite) -> bool {
    let origins = &control.traffic.origins;
    write.change != BaselineChange::Confirmed || origins.records().has_written_again(write.baseline.era)
}

/// Whether this host writes a row: its owner first, then more and more hosts.
fn is_writer(control: &Control, write: &BaselineWrite, now: Monotonic) -> bool {
    let takeover_delay = match write.change {
        BaselineChange::Confirmed => CONFIRM_TAKEOVER_DELAY,
        BaselineChange::Created | BaselineChange::Changed => TAKEOVER_DELAY,
    };
    let delays = now.saturating_sub(write.due_since).as_secs() / takeover_delay.as_secs();
    let owners = 1 << delays.min(16);
    let view = control.traffic.view.load();
    view.owns(write.key().as_bytes(), &control.traffic.settings.name, owners)
}

/// Writes rows; returns whether the store answered all calls.
async fn write_all(control: &Control, due: &[BaselineWrite]) -> bool {
    for write in due {
        if !write_row(control, write).await {
            return false;
        }
    }
    true
}

/// Writes a row unless another host has changed it; returns whether the store answered.
async fn write_row(control: &Control, due: &BaselineWrite) -> bool {
    let key = due.key();
    let position = control.cached_state().position_of(Table::Shared, &key);
    let write = RecordWrite {
        expect: position.into(),
        ..shared_write(key, serde_json::to_vec(&due.baseline).ok())
    };
    let written = control.store.write(write).await;
    match &written {
        Ok(RecordWritten::Applied(_)) => log_written(control, due),
        Ok(RecordWritten::Refused) => {}
        Err(e) => warn!(control.traffic.log, "baseline of a service not written yet";
            events::BASELINE_NOT_WRITTEN, "service" => &*due.service, "error" => format!("{e:?}")),
    }
    written.is_ok()
}

fn log_written(control: &Control, due: &BaselineWrite) {
    let log = &control.traffic.log;
    let (service, software) = (&*due.service, &*due.baseline.software);
    let (term, era) = (due.baseline.term, due.baseline.era);
    match due.change {
        BaselineChange::Created => info!(log, "baseline of a service created"; events::BASELINE_CREATED,
            "service" => service, "software" => software, "term" => term, "era" => era),
        BaselineChange::Changed => info!(log, "baseline of a service changed"; events::BASELINE_CHANGED,
            "service" => service, "software" => software, "term" => term, "era" => era),
        BaselineChange::Confirmed => info!(log, "baseline of a service confirmed";
            events::BASELINE_CONFIRMED, "service" => service, "software" => software, "term" => term, "era" => era),
    }
}
