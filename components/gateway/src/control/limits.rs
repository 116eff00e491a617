//! Records of the limits that targets have named, in the shared table. They tell hosts without an answer of their own of a
//! limit, of another number, and of the end.

use std::sync::Arc;
use std::time::Duration;

use errors::events;
use slog::info;

use super::Control;
use super::register::shared_write;
use crate::LimitRecord;
use crate::cached_state::{LIMIT_PREFIX, LimitRow};
use crate::jitter::jittered;
use crate::ports::{RecordWrite, Table};

/// Mean interval between checks whether a record must be changed.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Records limits, and removes the records of those that have ended.
pub(crate) async fn record_limits(control: Arc<Control>) {
    loop {
        smol::Timer::after(jittered(CHECK_INTERVAL, 0.5)).await;
        for change in control.traffic.limit_record_changes() {
            write(&control, &change).await;
        }
    }
}

/// Writes a change, unless another host has changed the record meanwhile. A failed write is repeated after the next check.
async fn write(control: &Control, change: &LimitRecord) {
    let (run, per_second) = match change {
        LimitRecord::Put(run, per_second) => (run, Some(*per_second)),
        LimitRecord::Remove(run) => (run, None),
    };
    let key = format!("{LIMIT_PREFIX}{run}");
    let position = control.cached_state().position_of(Table::Shared, &key);
    let row = per_second.map(|per_second| LimitRow { per_second });
    let value = row.and_then(|row| serde_json::to_vec(&row).ok());
    let write = RecordWrite {
        expect: position.into(),
        ..shared_write(key, value)
    };
    let result = control.store.write(write).await;
    info!(control.traffic.log, "limit of a target recorded"; events::LIMIT_RECORDED, "run" => &**run,
        "per_second" => per_second, "result" => format!("{:?}", result.ok()));
}
