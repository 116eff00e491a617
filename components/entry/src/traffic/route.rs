use std::time::Duration;

use bytes::Bytes;
use error_stack::Report;
use errors::{Outcome, ProblemKind, events};
use futures_lite::FutureExt;
use http_io::{Body, Charge, HeldBody, HttpError, MemoryHolder, read_limited, read_request};
use hyper::body::{Body as _, Incoming};
use hyper::header::{AUTHORIZATION, HeaderMap};
use hyper::{Method, Request, Response};
use slog::info;
use utils::{RequestId, WorkspaceId};

use super::failure::Failure;
use super::respond::id_text;
use super::{Context, calls, drafts, respond};
use crate::outcomes::RequestRecord;
use crate::view::{Serving, View};

/// Largest answer that is not charged, in bytes: the connection's own buffers take it at once.
const FREE_ANSWER_BYTES: u64 = 16 << 10;

/// An authenticated request.
pub(crate) struct Received {
    /// Identifier of the request.
    pub id: RequestId,
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// View under which the request was admitted.
    pub view: std::sync::Arc<View>,
    /// HTTP method.
    pub method: Method,
    /// Path with its leading slash.
    pub path: String,
    /// Query without the question mark.
    pub query: Option<String>,
    /// HTTP headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Memory of the body.
    _charge: Charge,
}

/// Answers a request of a caller.
pub(crate) async fn answer(cx: Context, req: Request<Incoming>) -> Response<Body> {
    let id: RequestId = rand::random();
    let view = cx.shared.view.load_full();
    let note = view.declared.version;
    let kind = kind_of(req.uri().path());
    match serve(&cx, id, view, req).await {
        Ok(res) => res,
        Err(failure) => {
            let id_text = id_text(id);
            info!(cx.shared.log, "request ended without answer"; event_of(&failure),
                "request" => &id_text, "problem" => failure.kind.name(),
                "outcome" => failure.outcome.as_str(), "detail" => &failure.detail);
            cx.shared.metrics.record_request(kind, failure.outcome);
            respond::problem(&failure.problem(&id_text), note)
        }
    }
}

async fn serve(
    cx: &Context,
    id: RequestId,
    view: std::sync::Arc<View>,
    req: Request<Incoming>,
) -> Result<Response<Body>, Failure> {
    let memory = MemoryHolder::of(&req);
    let (parts, body) = req.into_parts();
    let path = parts.uri.path().to_owned();
    let query = parts.uri.query().map(str::to_owned);
    let workspace = authenticate(cx, &view, &parts.headers)?;
    if let Some(wanted) = path.strip_prefix("/v1/requests/") {
        return look_up(cx, &view, &workspace, wanted);
    }
    let (body, charge) = read_body(cx, body, &memory).await?;
    // The release notes may have changed while the body was received.
    let view = cx.shared.view.load_full();
    let workspace = authenticate(cx, &view, &parts.headers)?;
    let received = Received {
        id,
        workspace,
        view,
        method: parts.method,
        path,
        query,
        headers: parts.headers,
        body,
        _charge: charge,
    };
    let res = match received.path.as_str() {
        "/v1/completions" | "/v1/chat/completions" => drafts::answer(cx, received).await,
        path if path.starts_with("/v1/services/") => calls::answer(cx, received).await,
        _ => Err(Failure::refused(
            ProblemKind::NotFound,
            "see the documentation for the paths",
        )),
    };
    let (parts, body) = res?.into_parts();
    let body = hold_whole(body, &memory).await.map_err(|_| {
        let detail = "this host has no memory for the answer";
        Failure::may_have_run(ProblemKind::AnswerCut, detail)
    })?;
    Ok(Response::from_parts(parts, body))
}

/// Charges an answer that is whole in memory until it is written; a stream stays as it is.
async fn hold_whole(body: Body, memory: &MemoryHolder) -> Result<Body, Report<HttpError>> {
    let size = body.size_hint().exact();
    let Some(size) = size.filter(|size| *size > FREE_ANSWER_BYTES) else {
        return Ok(body);
    };
    let bytes = read_limited(body, usize::try_from(size).unwrap_or(usize::MAX)).await?;
    Ok(HeldBody::from_bytes(bytes, memory)?.into_body())
}

/// Fails if the host can not accept new requests under a view.
pub(crate) fn check_serving(cx: &Context, view: &View) -> Result<(), Failure> {
    let detail = match cx.shared.serving(view) {
        Serving::Yes => return Ok(()),
        Serving::NoNote => "this host has not read a release note yet",
        Serving::Unconfirmed => "this host can not confirm the release note in force; send the request again",
    };
    Err(Failure::refused(ProblemKind::NotServing, detail))
}

fn authenticate(cx: &Context, view: &View, headers: &HeaderMap) -> Result<WorkspaceId, Failure> {
    let key = headers
        .get(AUTHORIZATION)
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.strip_prefix("Bearer "));
    let Some(key) = key else {
        return Err(Failure::refused(
            ProblemKind::UnknownApiKey,
            "send Authorization: Bearer with an API key",
        ));
    };
    if view.enforced.state().head == 0 {
        check_serving(cx, view)?;
    }
    match view.workspace_of(key) {
        Some((id, _)) => Ok(id.clone()),
        None => Err(Failure::refused(
            ProblemKind::UnknownApiKey,
            "no workspace has this API key",
        )),
    }
}

async fn read_body(cx: &Context, body: Incoming, memory: &MemoryHolder) -> Result<(Bytes, Charge), Failure> {
    let settings = &cx.shared.settings;
    let timeout = async {
        smol::Timer::after(Duration::from_millis(settings.timeouts.body_ms)).await;
        Err(HttpError::TimedOut.into())
    };
    let read = async {
        read_request(body, settings.limits.body_bytes, memory)
            .await?
            .join()
    };
    read.or(timeout).await.map_err(|e| match e.current_context() {
        HttpError::TooLarge { limit } => Failure::refused(
            ProblemKind::BodyTooLarge,
            format!("at most {limit} bytes are allowed"),
        ),
        HttpError::NoMemory => {
            Failure::refused(ProblemKind::Overloaded, "this host has no memory for the body")
        }
        HttpError::TimedOut => Failure::refused(ProblemKind::SlowSender, "the body did not arrive in time"),
        _ => Failure::refused(ProblemKind::MalformedRequest, "the body broke off"),
    })
}

fn look_up(
    cx: &Context,
    view: &View,
    workspace: &WorkspaceId,
    wanted: &str,
) -> Result<Response<Body>, Failure> {
    let found = RequestId::from_str_radix(wanted, 16)
        .ok()
        .and_then(|id| cx.shared.outcomes.get(id));
    match found {
        Some(record) if record.workspace == *workspace => {
            let RequestRecord { state, outcome, .. } = record;
            let answer = serde_json::json!({ "request_id": wanted, "state": state, "outcome": outcome });
            Ok(respond::json(&answer, outcome, wanted, view.declared.version))
        }
        _ => Err(Failure::may_have_run(
            ProblemKind::NotFound,
            "this host does not know the request",
        )),
    }
}

fn kind_of(path: &str) -> &'static str {
    match path {
        "/v1/completions" | "/v1/chat/completions" => "draft",
        path if path.starts_with("/v1/services/") => "call",
        _ => "other",
    }
}

fn event_of(failure: &Failure) -> errors::Event {
    match failure.outcome {
        Outcome::NotRun => events::REFUSED,
        Outcome::Ran | Outcome::MayHaveRun => events::OUTCOME_UNKNOWN,
    }
}
