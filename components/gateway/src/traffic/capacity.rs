use std::time::Duration;

use super::request::Call;
use super::state::Traffic;
use crate::admission::{ServiceLoad, ShortCapacity};
use crate::placement::{Candidate, Demand};

/// Returns why the present load of the candidates does not let the request be sent; `None` if it does. Requests without
/// a prompt always are.
pub(super) fn refusal(
    cx: &Traffic,
    call: &Call,
    demand: &Demand,
    candidates: &[Candidate],
) -> Option<ShortCapacity> {
    if demand.prompt_tokens == 0 || candidates.is_empty() {
        return None;
    }
    let now = cx.now();
    let workspace = call.workspace.as_ref().map_or("", |workspace| &workspace.name);
    let mut admissions = cx.admissions();
    let admission = admissions.entry(call.service.clone()).or_default();
    let change = admission.observe(&ServiceLoad::of(candidates), now);
    let is_admitted = admission.admits(demand.priority, workspace, rand::random(), now);
    cx.telemetry.pressure(&call.service, admission.level(), change);
    (!is_admitted).then(|| admission.refusal(demand.priority, now))
}

/// Returns the `Retry-After` of a request that is refused for lack of capacity.
pub(super) fn overload_wait(cx: &Traffic, call: &Call, demand: &Demand) -> Duration {
    let mut admissions = cx.admissions();
    let admission = admissions.entry(call.service.clone()).or_default();
    admission.retry_after(demand.time_left, rand::random(), cx.now())
}
