use std::time::Duration;

use errors::{Outcome, ProblemKind, events};
use futures_lite::FutureExt;
use http_io::Body;
use hyper::Response;
use hyper::header::CONTENT_TYPE;
use metadata::HostState;
use rand::seq::IndexedRandom;
use slog::info;
use targets::{CallReply, CallRequest, HttpService, Service, TargetError};

use super::admit::admit;
use super::failure::Failure;
use super::once::call_once;
use super::respond::id_text;
use super::route::{Received, check_serving};
use super::{Context, respond};
use crate::outcomes::RequestRecord;
use crate::view::ServiceTarget;

/// Answers a call to a plain service.
pub(crate) async fn answer(cx: &Context, received: Received) -> Result<Response<Body>, Failure> {
    check_serving(cx, &received.view)?;
    let (service, path) = split(&received.path)?;
    let declared = received.view.declared.clone();
    let found = declared
        .services
        .get_key_value(service)
        .filter(|(_, s)| s.is_open_to(&received.workspace));
    let Some((service, rules)) = found else {
        return Err(Failure::refused(ProblemKind::UnknownService, service));
    };
    let key = received
        .headers
        .get("idempotency-key")
        .and_then(|v| v.to_str().ok())
        .map(str::to_owned);
    let req = CallRequest {
        request_id: received.id,
        attempt: 1,
        workspace: received.workspace.clone(),
        service: service.clone(),
        method: received.method.as_str().to_owned(),
        path: with_query(path, received.query.as_deref()),
        content_type: content_type(&received),
        idempotency_key: key,
        body: received.body.clone(),
    };
    let limits = declared
        .workspaces
        .get(&received.workspace)
        .map(|w| w.limits)
        .unwrap_or_default();
    let _guard = admit(cx, &received.workspace, &limits, 0)?;
    let reply = match (rules.repeatable, &req.idempotency_key) {
        (true, _) => send(cx, &received, &req, rules.timeout()).await?,
        (false, Some(_)) => call_once(cx, &received, &req, rules.timeout()).await?,
        (false, None) => {
            let detail = "calls to this service are not repeatable";
            return Err(Failure::refused(ProblemKind::MissingIdempotencyKey, detail));
        }
    };
    Ok(respond::reply(
        reply,
        &id_text(received.id),
        received.view.declared.version,
    ))
}

/// Sends a repeatable call to one target of the service.
async fn send(
    cx: &Context,
    received: &Received,
    req: &CallRequest,
    timeout: Duration,
) -> Result<CallReply, Failure> {
    let target = choose_target(cx, received, req)?;
    let result = call_target(cx, req, target, timeout).await;
    let outcome = match &result {
        Ok(_) => Outcome::Ran,
        Err(e) if e.is_not_run() => Outcome::NotRun,
        Err(_) => Outcome::MayHaveRun,
    };
    record_outcome(cx, received, outcome);
    result.map_err(|error| match outcome {
        Outcome::NotRun => Failure::refused(ProblemKind::TargetFailed, error.to_string()),
        _ => Failure::may_have_run(ProblemKind::OutcomeUnknown, error.to_string()),
    })
}

/// Sends a call to a target once, without retries.
pub(crate) async fn call_target(
    cx: &Context,
    req: &CallRequest,
    target: &ServiceTarget,
    timeout: Duration,
) -> Result<CallReply, TargetError> {
    info!(cx.shared.log, "call placed"; events::PLACED,
        "request" => id_text(req.request_id), "service" => &*req.service, "target" => &*target.id);
    let service = HttpService::new(cx.services.clone(), target.address);
    let on_timeout = async {
        smol::Timer::after(timeout).await;
        Err(TargetError::TimedOut.into())
    };
    let result = service.call(req.clone()).or(on_timeout).await;
    result.map_err(|e| *e.current_context())
}

/// Records the outcome of a call, for later lookups and for the metrics.
pub(crate) fn record_outcome(cx: &Context, received: &Received, outcome: Outcome) {
    let state = match outcome {
        Outcome::Ran => "answered",
        Outcome::NotRun => "refused",
        Outcome::MayHaveRun => "unknown",
    };
    let record = RequestRecord {
        workspace: received.workspace.clone(),
        state,
        outcome,
        placement: None,
    };
    cx.shared.outcomes.record(received.id, record);
    cx.shared.metrics.record_request("call", outcome);
}

/// Chooses a random target of the service, from this host's failure domain if it has a usable one.
pub(crate) fn choose_target<'a>(
    cx: &Context,
    received: &'a Received,
    req: &CallRequest,
) -> Result<&'a ServiceTarget, Failure> {
    let view = &received.view;
    let host = &cx.shared.settings.host;
    let usable = |t: &&ServiceTarget| {
        t.state == HostState::Live
            && t.services.contains(&req.service)
            && view
                .declared
                .allows(&req.workspace, &req.service, &t.region, &t.failure_domain)
    };
    let is_same_domain =
        |t: &&ServiceTarget| t.region == host.region && t.failure_domain == host.failure_domain;
    let all: Vec<_> = view.services.iter().filter(usable).collect();
    let same_domain: Vec<_> = all.iter().copied().filter(is_same_domain).collect();
    let pool = if same_domain.is_empty() {
        &all
    } else {
        &same_domain
    };
    let chosen = pool.choose(&mut rand::rng()).copied();
    chosen.ok_or_else(|| Failure::refused(ProblemKind::NoTarget, "no live target offers the service"))
}

fn split(path: &str) -> Result<(&str, &str), Failure> {
    let rest = path.strip_prefix("/v1/services/").unwrap_or_default();
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    if service.is_empty() {
        return Err(Failure::refused(
            ProblemKind::NotFound,
            "the path names no service",
        ));
    }
    Ok((service, path))
}

fn with_query(path: &str, query: Option<&str>) -> String {
    match query {
        Some(query) => format!("{path}?{query}"),
        None => path.to_owned(),
    }
}

fn content_type(received: &Received) -> String {
    let found = received.headers.get(CONTENT_TYPE).and_then(|v| v.to_str().ok());
    found.unwrap_or("application/octet-stream").to_owned()
}
