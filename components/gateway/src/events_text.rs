use slog::{Logger, info};

use errors::events;

use crate::placement::Choice;

/// Where a request was sent and why.
pub(crate) fn placed(log: &Logger, id: &str, target: &str, choice: &Choice, tries: u32) {
    info!(log, "placed"; events::ROUTE_PLACED, "request" => id, "target" => target,
        "cost" => choice.cost, "expected_ms" => choice.expected_ms, "try" => tries);
}
