use std::sync::Arc;
use std::time::Duration;

use errors::events;
use slog::info;
use utils::{ModelId, Monotonic};

use super::Control;
use crate::cached_state::DECLARED_TIMES_PREFIX;
use crate::ports::{RecordWrite, RecordWritten, Table};
use crate::weights_history::DeclaredTimes;

/// Interval between checks for declarations without a recorded time.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of hosts that record the time of a new declaration at once.
const FIRST_RECORDERS: usize = 3;
/// Time after which every host records a declaration that the first recorders have not.
const TAKEOVER_DELAY: Duration = Duration::from_secs(4);
/// Pause after a write, until the row can be expected back from the store.
const WRITE_PAUSE: Duration = Duration::from_secs(1);

/// Records in the shared table when declared weights were received, so that a restarted host knows how long
/// ago older weights were replaced.
pub(crate) async fn record_times(control: Arc<Control>) {
    loop {
        smol::Timer::after(CHECK_INTERVAL).await;
        let now = control.traffic.now();
        if control.cached_state().is_store_down() {
            continue;
        }
        let unrecorded = control.cached_state().unrecorded_times(now);
        let due = unrecorded
            .into_iter()
            .find(|(model, _)| is_recorder(&control, model, now));
        let Some((model, times)) = due else { continue };
        write_times(&control, &model, &times).await;
        smol::Timer::after(WRITE_PAUSE).await;
    }
}

fn is_recorder(control: &Control, model: &ModelId, now: Monotonic) -> bool {
    let view = control.traffic.view.load();
    let age = view
        .weights
        .get(model)
        .and_then(|history| history.newest_age(now));
    let duty = format!("{DECLARED_TIMES_PREFIX}{model}");
    view.owns(duty.as_bytes(), &control.traffic.settings.name, FIRST_RECORDERS)
        || age.is_some_and(|age| age >= TAKEOVER_DELAY)
}

/// Writes the row of a model unless another host has changed it.
async fn write_times(control: &Control, model: &ModelId, times: &DeclaredTimes) {
    let key = format!("{DECLARED_TIMES_PREFIX}{model}");
    let position = control.cached_state().position_of(Table::Shared, &key);
    let write = RecordWrite {
        table: Table::Shared,
        key,
        expect: position.into(),
        value: serde_json::to_vec(times).ok(),
        identity: None,
    };
    if let Ok(RecordWritten::Applied(_)) = control.store.write(write).await {
        info!(control.traffic.log, "recorded when weights were declared"; events::WEIGHTS_TIME_RECORDED,
            "model" => &**model, "versions" => times.versions.len());
    }
}
