use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use crate::callers::SentRequest;
use crate::common::deployment::{MAX_RUNS, PERMANENT_PATHS, WORKSPACES};
use crate::common::{EVENT_COUNT, Observations, Order, Run};
use crate::plan::Disruption;
use crate::process::host_name;

/// Time after a fault during which it may still have effects.
const FAULT_EFFECT_TIME: Duration = Duration::from_millis(1_500);
/// Time after a pause during which orders may arrive that were in flight before it.
const ORDER_TRANSIT_TIME: Duration = Duration::from_millis(300);
/// Duration of the lease for orders, during which no other host sends orders.
const ORDER_LEASE: Duration = Duration::from_secs(3);

/// A disruption that is not planned work, with its start and end.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FaultWindow {
    pub disruption: Disruption,
    pub from: Instant,
    pub until: Instant,
}

/// Everything that callers and engines observed in a run, and its faults.
pub(crate) struct History<'a> {
    pub requests: &'a [SentRequest],
    pub observations: &'a Observations,
    pub fault_windows: &'a [FaultWindow],
}

/// Returns a description of each violation of a promise.
pub(crate) fn find_violations(history: &History<'_>) -> Vec<String> {
    let runs = history.observations.runs.lock().unwrap();
    let mut by_id: HashMap<&str, Vec<&Run>> = HashMap::new();
    for run in runs.iter() {
        by_id.entry(&run.id).or_default().push(run);
    }
    let mut violations = Vec::new();
    for request in history.requests {
        let runs = by_id.get(request.id.as_str()).map_or(&[][..], Vec::as_slice);
        let checks = [
            answer_violation(request),
            run_violation(request, runs),
            refusal_violation(request, runs),
            loss_violation(history, request, runs),
        ];
        let found = checks.into_iter().flatten();
        violations.extend(found.map(|violation| format!("{violation}: {request:?}, ran {runs:?}")));
    }
    violations.extend(declaration_rollbacks(history.requests));
    violations.extend(cache_sharing_violations(&runs));
    violations.extend(concurrent_holders(history));
    violations
}

/// Returns a violation if the answer belongs to another request or is incomplete without being recognisable
/// as such.
fn answer_violation(request: &SentRequest) -> Option<&'static str> {
    let reply = &request.reply;
    if reply.status != 200 {
        return None;
    }
    if reply.header("response-signature") != Some("s") {
        return Some("an answer without its signature");
    }
    let is_stream = request.path.starts_with("/chat/") || request.path.starts_with("/talk/");
    let id = &request.id;
    if !is_stream {
        let is_right = reply.body == format!("done {id}");
        return (reply.is_complete && !is_right).then_some("the answer of another request");
    }
    let whole: String = (1..=EVENT_COUNT)
        .map(|number| format!("id: {number}\ndata: {id} {number}\n\n"))
        .collect();
    if !whole.starts_with(&reply.body) {
        return Some("a stream with a wrong event");
    }
    (reply.is_complete && reply.body != whole).then_some("a truncated stream that looks complete")
}

/// Returns a violation if the request ran too often or for another workspace.
fn run_violation(request: &SentRequest, runs: &[&Run]) -> Option<&'static str> {
    let is_once = request.path.starts_with("/once/") || request.path.starts_with("/talk/");
    if is_once && runs.len() > 1 {
        return Some("an at-most-once request ran again");
    }
    if runs.len() > MAX_RUNS {
        return Some("a request ran on too many targets");
    }
    let is_other = |run: &&Run| run.workspace.as_deref() != Some(request.workspace);
    runs.iter()
        .any(is_other)
        .then_some("a request ran for another workspace")
}

/// Returns a violation if the request was refused although it had run or is always allowed.
fn refusal_violation(request: &SentRequest, runs: &[&Run]) -> Option<&'static str> {
    let status = request.reply.status;
    if matches!(status, 408 | 421 | 429 | 503) && !runs.is_empty() {
        return Some("a request was answered as not executed but had run");
    }
    let is_permanent = request.required_version.is_none()
        && PERMANENT_PATHS.iter().any(|path| request.path.starts_with(path));
    (is_permanent && matches!(status, 401 | 403 | 404))
        .then_some("a request that every declaration allows was refused")
}

/// Returns a violation if the answer of a request that ran was lost without a fault during or shortly before
/// the request.
fn loss_violation(history: &History<'_>, request: &SentRequest, runs: &[&Run]) -> Option<&'static str> {
    let is_near_fault = |fault: &FaultWindow| {
        fault.from <= request.ended_at && request.sent_at <= fault.until + FAULT_EFFECT_TIME
    };
    let is_lost = !request.reply.is_complete && !runs.is_empty();
    (is_lost && !history.fault_windows.iter().any(is_near_fault))
        .then_some("an answer was lost without a fault")
}

/// Returns a violation for each request that a process served under an older declaration than it had used
/// before.
fn declaration_rollbacks(requests: &[SentRequest]) -> Vec<String> {
    let mut by_process: BTreeMap<(usize, u64), Vec<&SentRequest>> = BTreeMap::new();
    for request in requests {
        // With equal start counts, the request was sent to and answered by the same process.
        if request.required_version.is_some()
            && request.reply.status == 200
            && request.start_counts.0 == request.start_counts.1
        {
            let process = (request.host, request.start_counts.0);
            by_process.entry(process).or_default().push(request);
        }
    }
    let mut violations = Vec::new();
    for served in by_process.values() {
        for later in served {
            let is_older = |earlier: &&&SentRequest| {
                earlier.required_version > later.required_version && earlier.ended_at < later.sent_at
            };
            if let Some(earlier) = served.iter().find(is_older) {
                violations.push(format!(
                    "an older declaration was applied again: {earlier:?}, then {later:?}"
                ));
            }
        }
    }
    violations
}

/// Returns a violation for each cache salt that is used with several weights, or by an isolated workspace and
/// another.
fn cache_sharing_violations(runs: &[Run]) -> Vec<String> {
    let mut users_by_salt: HashMap<&str, (HashSet<u64>, HashSet<&str>)> = HashMap::new();
    for run in runs {
        if let (Some(salt), Some(workspace)) = (&run.salt, &run.workspace) {
            let (weights, workspaces) = users_by_salt.entry(salt).or_default();
            weights.insert(run.weights);
            workspaces.insert(workspace);
        }
    }
    let is_isolated = |name: &&str| WORKSPACES.iter().any(|(n, _, isolated)| n == name && *isolated);
    let is_broken = |(weights, workspaces): &(HashSet<u64>, HashSet<&str>)| {
        weights.len() > 1 || workspaces.len() > 1 && workspaces.iter().any(is_isolated)
    };
    let violations = users_by_salt.iter().filter(|(_, users)| is_broken(users));
    violations
        .map(|(salt, users)| format!("cache is shared under {salt}: {users:?}"))
        .collect()
}

/// Returns a violation for each token that two lease holders used, each order of a second holder within the
/// lease of the first, and each order with an older token than the order before it. The checks of times and
/// of the order of tokens leave out orders that a disrupted link to an engine may have delayed, and orders in
/// flight when their process was paused.
fn concurrent_holders(history: &History<'_>) -> Vec<String> {
    let orders = history.observations.orders.lock().unwrap();
    let is_near_fault = |order: &Order| {
        history.fault_windows.iter().any(|fault| {
            let after = match fault.disruption {
                Disruption::EngineLink(..) => FAULT_EFFECT_TIME,
                Disruption::Pause(host) | Disruption::PauseDuringLoad(host)
                    if order.holder == host_name(host) =>
                {
                    ORDER_TRANSIT_TIME
                }
                _ => return false,
            };
            fault.from <= order.at && order.at <= fault.until + after
        })
    };
    let mut violations = Vec::new();
    let mut holders: HashMap<u64, &str> = HashMap::new();
    let mut last: HashMap<&str, &Order> = HashMap::new();
    for (engine, order) in orders.iter() {
        let holder = holders.entry(order.token).or_insert(&order.holder);
        if *holder != order.holder {
            violations.push(format!("two holders with one token: {holder} and {order:?}"));
        }
        if is_near_fault(order) {
            continue;
        }
        if let Some(previous) = last.insert(engine, order) {
            let is_early_takeover = previous.holder != order.holder && order.at < previous.at + ORDER_LEASE;
            if is_early_takeover || order.token < previous.token {
                violations.push(format!(
                    "{engine} received orders of two holders: {previous:?}, {order:?}"
                ));
            }
        }
    }
    violations
}
