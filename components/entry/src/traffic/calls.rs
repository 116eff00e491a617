use std::time::Duration;

use errors::{Outcome, ProblemKind, events};
use futures_lite::FutureExt;
use http_io::Body;
use hyper::Response;
use hyper::header::CONTENT_TYPE;
use platform::{Committed, Expect, HostState, Row, TableService, Transaction};
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use slog::info;
use targets::{CallReply, CallRequest, HttpService, Service, TargetError};

use super::failure::Failure;
use super::respond::id_text;
use super::route::{Received, check_serving};
use super::{Context, respond};
use crate::outcomes::Remembered;
use crate::view::ServiceTarget;

/// Content of a claim's row.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
struct Claim {
    /// Identifier of the request that made the claim.
    request: String,
    /// Digest of the body.
    body: utils::Digest,
    /// The answer, once it is known.
    reply: Option<(u16, String, String)>,
}

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
        path: path.to_owned(),
        content_type: content_type(&received),
        idempotency_key: key,
        body: received.body.clone(),
    };
    let reply = match (rules.repeatable, &req.idempotency_key) {
        (true, _) => send(cx, &received, &req, rules.timeout()).await?,
        (false, Some(key)) => {
            let row = format!("claim/{}/{service}/{key}", received.workspace);
            once(cx, &received, &req, row, rules.timeout()).await?
        }
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

/// Claims the key, makes the call and records its answer.
async fn once(
    cx: &Context,
    received: &Received,
    req: &CallRequest,
    row: String,
    timeout: Duration,
) -> Result<CallReply, Failure> {
    let claim = Claim {
        request: id_text(req.request_id),
        body: utils::digest(&req.body),
        reply: None,
    };
    let value = serde_json::json!(claim);
    let insert = Transaction::default().put(row.clone(), Expect::Absent, value);
    let version = match cx.platform.transact(insert).await {
        Ok(Committed::Applied { version }) => version,
        Ok(Committed::Refused { rows, .. }) => return replay(&claim, rows.first()),
        Err(e) => {
            let detail = format!("the call was not sent: {}", e.current_context());
            return Err(Failure::refused(ProblemKind::StoreUnavailable, detail));
        }
    };
    let reply = send(cx, received, req, timeout).await?;
    let body = String::from_utf8_lossy(&reply.body).into_owned();
    let settled = Claim {
        reply: Some((reply.status, reply.content_type.clone(), body)),
        ..claim
    };
    let settle = Transaction::default().put(row, Expect::Version(version), serde_json::json!(settled));
    let _ = cx.platform.transact(settle).await;
    Ok(reply)
}

fn replay(ours: &Claim, row: Option<&Row>) -> Result<CallReply, Failure> {
    let theirs: Option<Claim> = row.and_then(|row| serde_json::from_value(row.value.clone()).ok());
    let Some(theirs) = theirs else {
        return Err(Failure::unknown(
            ProblemKind::OutcomeUnknown,
            "the record of this key can not be read",
        ));
    };
    if theirs.body != ours.body {
        return Err(Failure::refused(
            ProblemKind::KeyReused,
            "the first call with this key had another body",
        ));
    }
    match theirs.reply {
        Some((status, content_type, body)) => Ok(CallReply {
            status,
            content_type,
            body: body.into(),
        }),
        None => Err(Failure::unknown(
            ProblemKind::KeyInProgress,
            "the first call with this key is not settled",
        )),
    }
}

/// Sends a call to one target of the service.
async fn send(
    cx: &Context,
    received: &Received,
    req: &CallRequest,
    timeout: Duration,
) -> Result<CallReply, Failure> {
    let target = choose(cx, received, req)?;
    info!(cx.shared.log, "call placed"; events::PLACED,
        "request" => id_text(req.request_id), "service" => &*req.service, "target" => &*target.id);
    let service = HttpService::new(cx.services.clone(), target.address);
    let late = async {
        smol::Timer::after(timeout).await;
        Err(TargetError::TimedOut.into())
    };
    let result = service.call(req.clone()).or(late).await;
    let (state, outcome) = match &result {
        Ok(_) => ("answered", Outcome::Ran),
        Err(e) if e.current_context().is_not_run() => ("refused", Outcome::NotRun),
        Err(_) => ("unknown", Outcome::MayHaveRun),
    };
    let remembered = Remembered {
        workspace: received.workspace.clone(),
        state,
        outcome,
        placement: None,
    };
    cx.shared.outcomes.record(req.request_id, remembered);
    cx.shared.metrics.request("call", outcome);
    result.map_err(|e| {
        let error = *e.current_context();
        if error.is_not_run() {
            return Failure::refused(ProblemKind::TargetFailed, error.to_string());
        }
        Failure::unknown(ProblemKind::OutcomeUnknown, error.to_string())
    })
}

fn choose<'a>(cx: &Context, received: &'a Received, req: &CallRequest) -> Result<&'a ServiceTarget, Failure> {
    let view = &received.view;
    let host = &cx.shared.settings.host;
    let usable = |t: &&ServiceTarget| {
        t.state == HostState::Live
            && t.services.contains(&req.service)
            && view
                .declared
                .allows(&req.workspace, &req.service, &t.region, &t.failure_domain)
    };
    let near = |t: &&ServiceTarget| t.region == host.region && t.failure_domain == host.failure_domain;
    let all: Vec<_> = view.services.iter().filter(usable).collect();
    let nearest: Vec<_> = all.iter().copied().filter(near).collect();
    let pool = if nearest.is_empty() { &all } else { &nearest };
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

fn content_type(received: &Received) -> String {
    let found = received.headers.get(CONTENT_TYPE).and_then(|v| v.to_str().ok());
    found.unwrap_or("application/octet-stream").to_owned()
}
