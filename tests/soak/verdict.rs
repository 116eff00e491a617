use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use crate::callers::Attempt;
use crate::common::deployment::{MAX_RUNS, PERMANENT_PATHS, WORKSPACES};
use crate::common::{EVENT_COUNT, Observations, Order, Run};
use crate::plan::Trouble;
use crate::process::host_name;

/// Time after a trouble in which its effects may still show.
const AFTERMATH: Duration = Duration::from_millis(1_500);
/// Time after a pause in which orders may arrive that were on their way before it.
const ON_THE_WAY: Duration = Duration::from_millis(300);
/// Time for which a holder of the lease for orders is the only one.
const ORDER_LEASE: Duration = Duration::from_secs(3);

/// When a trouble that is not planned work was on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Harm {
    pub trouble: Trouble,
    pub from: Instant,
    pub until: Instant,
}

/// All that was seen in a run.
pub(crate) struct Evidence<'a> {
    pub attempts: &'a [Attempt],
    pub witness: &'a Observations,
    pub harms: &'a [Harm],
}

/// Promises that were broken, in words.
pub(crate) fn judge(evidence: &Evidence<'_>) -> Vec<String> {
    let runs = evidence.witness.runs.lock().unwrap();
    let mut by_id: HashMap<&str, Vec<&Run>> = HashMap::new();
    for run in runs.iter() {
        by_id.entry(&run.id).or_default().push(run);
    }
    let mut broken = Vec::new();
    for attempt in evidence.attempts {
        let runs = by_id.get(attempt.id.as_str()).map_or(&[][..], Vec::as_slice);
        let faults = [
            answer_fault(attempt),
            run_fault(attempt, runs),
            refusal_fault(attempt, runs),
            loss_fault(evidence, attempt, runs),
        ];
        let faults = faults.into_iter().flatten();
        broken.extend(faults.map(|fault| format!("{fault}: {attempt:?}, ran {runs:?}")));
    }
    broken.extend(older_declarations(evidence.attempts));
    broken.extend(shared_cache(&runs));
    broken.extend(two_holders(evidence));
    broken
}

/// An answer that is not the one to this request, or that is no whole answer and looks so.
fn answer_fault(attempt: &Attempt) -> Option<&'static str> {
    let reply = &attempt.reply;
    if reply.status != 200 {
        return None;
    }
    if reply.header("response-signature") != Some("s") {
        return Some("an answer without its signature");
    }
    let is_stream = attempt.path.starts_with("/chat/") || attempt.path.starts_with("/talk/");
    let id = &attempt.id;
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
    (reply.is_complete && reply.body != whole).then_some("a cut stream that looks complete")
}

/// A request that ran too often, or for another workspace.
fn run_fault(attempt: &Attempt, runs: &[&Run]) -> Option<&'static str> {
    let is_once = attempt.path.starts_with("/once/") || attempt.path.starts_with("/talk/");
    if is_once && runs.len() > 1 {
        return Some("a request that may run once ran again");
    }
    if runs.len() > MAX_RUNS {
        return Some("a request ran on too many targets");
    }
    let is_other = |run: &&Run| run.workspace.as_deref() != Some(attempt.workspace);
    runs.iter()
        .any(is_other)
        .then_some("a request ran for another workspace")
}

/// A refusal that is not true.
fn refusal_fault(attempt: &Attempt, runs: &[&Run]) -> Option<&'static str> {
    let status = attempt.reply.status;
    if matches!(status, 408 | 421 | 429 | 503) && !runs.is_empty() {
        return Some("a request that was said not to have run had run");
    }
    let is_lasting =
        attempt.only_in.is_none() && PERMANENT_PATHS.iter().any(|path| attempt.path.starts_with(path));
    (is_lasting && matches!(status, 401 | 403 | 404)).then_some("what every declaration allows was refused")
}

/// An answer that was lost while there was only planned work.
fn loss_fault(evidence: &Evidence<'_>, attempt: &Attempt, runs: &[&Run]) -> Option<&'static str> {
    let is_harmed = |harm: &Harm| harm.from <= attempt.ended_at && attempt.sent_at <= harm.until + AFTERMATH;
    let is_lost = !attempt.reply.is_complete && !runs.is_empty();
    (is_lost && !evidence.harms.iter().any(is_harmed)).then_some("an answer was lost beside planned work")
}

/// A process that obeyed a declaration and later an older one.
fn older_declarations(attempts: &[Attempt]) -> Vec<String> {
    let mut by_process: BTreeMap<(usize, u64), Vec<&Attempt>> = BTreeMap::new();
    for attempt in attempts {
        // Sent to and answered by one process.
        if attempt.only_in.is_some() && attempt.reply.status == 200 && attempt.starts.0 == attempt.starts.1 {
            let process = (attempt.host, attempt.starts.0);
            by_process.entry(process).or_default().push(attempt);
        }
    }
    let mut broken = Vec::new();
    for served in by_process.values() {
        for later in served {
            let is_older =
                |earlier: &&&Attempt| earlier.only_in > later.only_in && earlier.ended_at < later.sent_at;
            if let Some(earlier) = served.iter().find(is_older) {
                broken.push(format!(
                    "an older declaration was obeyed again: {earlier:?}, then {later:?}"
                ));
            }
        }
    }
    broken
}

/// Cache that is shared between weights, or with a workspace that shares none.
fn shared_cache(runs: &[Run]) -> Vec<String> {
    let mut seen: HashMap<&str, (HashSet<u64>, HashSet<&str>)> = HashMap::new();
    for run in runs {
        if let (Some(salt), Some(workspace)) = (&run.salt, &run.workspace) {
            let (weights, workspaces) = seen.entry(salt).or_default();
            weights.insert(run.weights);
            workspaces.insert(workspace);
        }
    }
    let is_isolated = |name: &&str| WORKSPACES.iter().any(|(n, _, isolated)| n == name && *isolated);
    let is_broken = |(weights, workspaces): &(HashSet<u64>, HashSet<&str>)| {
        weights.len() > 1 || workspaces.len() > 1 && workspaces.iter().any(is_isolated)
    };
    let broken = seen.iter().filter(|(_, users)| is_broken(users));
    broken
        .map(|(salt, users)| format!("cache is shared under {salt}: {users:?}"))
        .collect()
}

/// Orders of two holders at a time. Orders that a line to an engine may have held back are left out, and those that a process
/// had on its way when it stood still.
fn two_holders(evidence: &Evidence<'_>) -> Vec<String> {
    let orders = evidence.witness.orders.lock().unwrap();
    let is_harmed = |order: &Order| {
        evidence.harms.iter().any(|harm| {
            let after = match harm.trouble {
                Trouble::EngineLine(..) => AFTERMATH,
                Trouble::Pause(host) | Trouble::PauseInLoad(host) if order.holder == host_name(host) => {
                    ON_THE_WAY
                }
                _ => return false,
            };
            harm.from <= order.at && order.at <= harm.until + after
        })
    };
    let mut broken = Vec::new();
    let mut holders: HashMap<u64, &str> = HashMap::new();
    let mut last: HashMap<&str, &Order> = HashMap::new();
    for (engine, order) in orders.iter() {
        let holder = holders.entry(order.token).or_insert(&order.holder);
        if *holder != order.holder {
            broken.push(format!("two holders with one token: {holder} and {order:?}"));
        }
        if is_harmed(order) {
            continue;
        }
        if let Some(before) = last.insert(engine, order) {
            let is_turn = before.holder != order.holder && order.at < before.at + ORDER_LEASE;
            if is_turn || order.token < before.token {
                broken.push(format!(
                    "{engine} got orders of two holders: {before:?}, {order:?}"
                ));
            }
        }
    }
    broken
}
