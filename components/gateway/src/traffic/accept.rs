use std::sync::Arc;
use std::time::Duration;

use errors::ProblemKind;
use futures_lite::FutureExt;
use http_io::{HeldBody, HttpError, MemoryHolder, read_request};
use hyper::Request;
use hyper::body::Incoming;
use utils::ServiceId;

use super::admit::{Admitted, admit};
use super::refusal::Refusal;
use super::request::{Call, output_tokens};
use super::resumption::Resumption;
use super::state::Traffic;
use crate::CallFacts;
use crate::declared::Route;
use crate::jitter::jittered;
use crate::quarantine::Fingerprint;
use crate::suspects::PartFingerprint;

/// `Retry-After` of a request that a draining host can not finish; another host takes it.
const DRAINING_RETRY_AFTER: Duration = Duration::from_millis(100);
/// `Retry-After` of a quarantined request. The request may not be the cause of the crashes.
const QUARANTINE_RETRY_AFTER: Duration = Duration::from_secs(5);

/// `Retry-After` of a request for which the host has no memory. Stalled requests leave within this time.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Returns the refusal of a request that the host may not be able to answer before it ends.
pub(crate) fn draining_refusal() -> Refusal {
    Refusal::not_run(ProblemKind::NotServing, "this host is about to end")
        .with_retry_after(DRAINING_RETRY_AFTER)
}

/// Returns the refusal of a request whose prompt holds a quarantined part.
pub(crate) fn quarantined_part_refusal() -> Refusal {
    let detail = "targets that ran requests with a part of this prompt have crashed";
    Refusal::not_run(ProblemKind::NoTarget, detail).with_retry_after(QUARANTINE_RETRY_AFTER)
}

/// Returns the refusal of a request whose body was evicted or found no room, or for which no connection to a target could
/// be opened within the memory. Only whole bodies are sent to targets.
pub(crate) fn no_memory_refusal() -> Refusal {
    let detail = "this host has no memory for the request";
    Refusal::not_run(ProblemKind::Overloaded, detail).with_retry_after(jittered(NO_MEMORY_RETRY_AFTER, 0.5))
}

/// Checks a request and reads its body.
pub(crate) async fn accept(
    cx: &Arc<Traffic>,
    req: Request<Incoming>,
    facts: CallFacts,
) -> Result<Call, Refusal> {
    let started = cx.now();
    let memory = MemoryHolder::of(&req);
    let (parts, body) = req.into_parts();
    let view = cx.view.load_full();
    let Admitted {
        route,
        workspace,
        declared,
    } = admit(&view, &parts, &facts, cx.has_current_declarations())?;
    let wait = facts.deadline.unwrap_or(route.timeout).min(route.timeout);
    let deadline = started + wait;
    let service = choose_service(&route);
    let tokens = output_tokens(facts.prompt.as_ref(), &route);
    if cx.begin_by(&service, tokens, deadline).is_none() {
        return Err(draining_refusal());
    }
    let body = read_body(body, declared.limits.body_bytes, &memory, wait).await?;
    let workspace_name = workspace.as_ref().map_or("", |w| &w.name);
    let target_uri = parts.uri.path_and_query().map_or("/", |p| p.as_str());
    let fingerprint = Fingerprint::of_parts(target_uri, workspace_name, body.parts());
    if view.quarantined.contains(&fingerprint) || cx.routing().crashes.is_quarantined(&fingerprint) {
        let detail = "targets that ran this request have crashed";
        return Err(Refusal::not_run(ProblemKind::NoTarget, detail).with_retry_after(QUARANTINE_RETRY_AFTER));
    }
    let shared_parts = facts
        .prompt
        .as_ref()
        .map_or(Vec::new(), PartFingerprint::shared_parts);
    let is_quarantined = view.has_quarantined(&shared_parts);
    let is_trial = is_quarantined && cx.take_part_trial(&shared_parts);
    if is_quarantined && !is_trial {
        return Err(quarantined_part_refusal());
    }
    let resumption = Resumption {
        route: &route,
        workspace: workspace.as_deref(),
        service: &service,
    };
    let required = resumption.required_software(cx, &facts).await?;
    let (service, software) = match required {
        Some(required) => (required.service, Some(required.software)),
        None => (service, None),
    };
    let malformed = Refusal::not_run(ProblemKind::MalformedRequest, "the path can not be read");
    Ok(Call {
        id: facts.id.unwrap_or_default(),
        number: cx.next_call(),
        target_uri: target_uri.parse().map_err(|_| malformed)?,
        method: parts.method,
        headers: parts.headers,
        body: Arc::new(body),
        memory,
        declared: declared.version,
        route,
        service,
        key: facts.key,
        workspace,
        prompt: facts.prompt,
        last_event: facts.last_event,
        software,
        deadline,
        fingerprint,
        shared_parts,
        is_trial,
    })
}

async fn read_body(
    body: Incoming,
    limit: usize,
    memory: &MemoryHolder,
    wait: Duration,
) -> Result<HeldBody, Refusal> {
    let read = async { Some(read_request(body, limit, memory).await) };
    let timeout = async {
        smol::Timer::after(wait).await;
        None
    };
    match read.or(timeout).await {
        Some(Ok(body)) => Ok(body),
        Some(Err(e)) => Err(match e.current_context() {
            HttpError::TooLarge { .. } => {
                Refusal::not_run(ProblemKind::BodyTooLarge, "the body is too large")
            }
            HttpError::NoMemory => no_memory_refusal(),
            _ => Refusal::not_run(ProblemKind::MalformedRequest, "the body ended early"),
        }),
        None => Err(Refusal::not_run(
            ProblemKind::SlowSender,
            "the body did not arrive in time",
        )),
    }
}

/// Chooses one of the route's services at random, by weight.
fn choose_service(route: &Route) -> ServiceId {
    let total: u32 = route.services.iter().map(|s| s.weight).sum();
    let mut draw = rand::random_range(0..total.max(1));
    for share in &route.services {
        if draw < share.weight {
            return share.service.clone();
        }
        draw -= share.weight;
    }
    route
        .services
        .first()
        .map_or_else(ServiceId::default, |s| s.service.clone())
}
