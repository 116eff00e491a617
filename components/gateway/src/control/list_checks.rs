//! Checks that the list of targets is that of the store, for requests that wait for them.

use std::sync::Arc;
use std::time::Duration;

use super::Control;
use crate::UpdateSource;
use crate::ports::{Changes, Table};

/// Answers requests for checks. Those that arrive while one runs share the next.
pub(crate) async fn answer_list_checks(control: Arc<Control>) {
    while let Some(check) = control.traffic.list_checks.next().await {
        if check.is_abandoned() {
            continue;
        }
        let is_confirmed = check_list(&control).await;
        check.answer(is_confirmed);
    }
}

/// Brings the list of targets to the present state of the store; returns whether that succeeded.
async fn check_list(control: &Control) -> bool {
    let Some(held) = control.cached_state().complete_position(Table::Targets) else {
        return false;
    };
    let changes = control.store.follow(Table::Targets, held, Duration::ZERO).await;
    control.traffic.telemetry.store_call(changes.is_ok());
    // A restored store, or one without the history, is read in full by the task that follows the table.
    let Ok(Changes::Delta(changed)) = changes else {
        return false;
    };
    let (now, position) = (control.traffic.now(), changed.position);
    control.update(|state| state.apply(Table::Targets, changed, UpdateSource::Store, now));
    let held = control.cached_state().complete_position(Table::Targets);
    held >= Some(position)
}
