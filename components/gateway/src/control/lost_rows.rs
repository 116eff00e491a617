use std::sync::Arc;
use std::time::Duration;

use errors::events;
use slog::{info, warn};

use super::Control;
use super::register::shared_write;
use crate::LostRow;
use crate::ports::{Expected, RecordWrite, RecordWritten};

/// Interval between checks for rows to write.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Number of hosts that write a row that its first owner has not written.
const BACKUP_OWNERS: usize = 3;
/// Time after which they do.
const TAKEOVER_DELAY: Duration = Duration::from_secs(4);
/// Pause after writes, until the rows can be expected back from the store.
const WRITE_PAUSE: Duration = Duration::from_secs(1);

/// Writes rows of the shared table again that a restored store has lost.
pub(crate) async fn rewrite_lost_rows(control: Arc<Control>) {
    loop {
        smol::Timer::after(CHECK_INTERVAL).await;
        if control.cached_state().is_store_down() {
            continue;
        }
        let mut due = control.cached_state().lost_rows();
        due.retain(|row| is_owner(&control, row));
        if due.is_empty() {
            continue;
        }
        for row in due {
            if !rewrite(&control, row).await {
                break;
            }
        }
        smol::Timer::after(WRITE_PAUSE).await;
    }
}

fn is_owner(control: &Control, row: &LostRow) -> bool {
    let age = control.traffic.now().saturating_sub(row.lost_at);
    let owners = if age < TAKEOVER_DELAY { 1 } else { BACKUP_OWNERS };
    let view = control.traffic.view.load();
    view.owns(row.key.as_bytes(), &control.traffic.settings.name, owners)
}

/// Writes a row unless another host has; returns whether the store answered.
async fn rewrite(control: &Control, row: LostRow) -> bool {
    let write = RecordWrite {
        expect: Expected::Absent,
        ..shared_write(row.key.clone(), Some(row.value))
    };
    match control.store.write(write).await {
        Ok(RecordWritten::Applied(_)) => {
            info!(control.traffic.log, "lost row written again"; events::LOST_ROW_WRITTEN, "key" => row.key);
            true
        }
        Ok(RecordWritten::Refused) => true,
        Err(e) => {
            warn!(control.traffic.log, "lost row not written again yet"; events::LOST_ROW_WRITTEN,
                "key" => row.key, "error" => format!("{e:?}"));
            false
        }
    }
}
