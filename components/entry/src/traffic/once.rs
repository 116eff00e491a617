use std::time::Duration;

use bytes::Bytes;
use errors::ProblemKind;
use ledger::{
    AttemptId, BeginResult, CallEnd, CallKey, EndResult, NewCall, OutcomeQuery, RecordedBody, RecordedReply,
    RefusedReason, Verdict,
};
use targets::{CallOutcome, CallReply, CallRequest, HttpService, Service};

use super::Context;
use super::calls::{call_target, choose_target, record_outcome};
use super::failure::Failure;
use super::route::{Received, check_serving};

/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 200;
/// Timeout of a query to a target for the outcome of a key.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Runs a call at most once per idempotency key. If the call has run before, its recorded answer is replayed.
pub(crate) async fn call_once(
    cx: &Context,
    received: &Received,
    req: &CallRequest,
    timeout: Duration,
) -> Result<CallReply, Failure> {
    let key = checked_key(req)?;
    let target = choose_target(cx, received, req)?;
    let new = NewCall {
        key: CallKey {
            workspace: req.workspace.clone(),
            service: req.service.clone(),
            key,
        },
        attempt: AttemptId(req.request_id),
        target: target.id.clone(),
        body: body_digest(req),
    };
    let verdict = match cx.shared.ledger.begin(new).await {
        BeginResult::Decided(verdict) => verdict,
        BeginResult::QueryTarget(question) => query_target(cx, received, req, question).await,
        BeginResult::Held(claim) => {
            // If the check fails, the claim is dropped, which gives it up.
            check_serving(cx, &cx.shared.view.load())?;
            match claim.dispatch() {
                Err(verdict) => verdict,
                Ok(sent) => {
                    let end = call_end(call_target(cx, req, target, timeout).await);
                    match sent.end(end).await {
                        EndResult::Decided(verdict) => verdict,
                        EndResult::QueryTarget(question) => query_target(cx, received, req, question).await,
                    }
                }
            }
        }
    };
    record_outcome(cx, received, verdict.outcome());
    into_reply(verdict)
}

/// Returns the idempotency key if it is valid, which means that it can be a path segment at every target.
fn checked_key(req: &CallRequest) -> Result<String, Failure> {
    let key = req.idempotency_key.clone().unwrap_or_default();
    let is_plain = |b: u8| b.is_ascii_alphanumeric() || b"-_.~:".contains(&b);
    if key.is_empty() || key.len() > MAX_KEY_BYTES || !key.bytes().all(is_plain) {
        let detail = format!("an idempotency key has 1 to {MAX_KEY_BYTES} letters, digits and -_.~:");
        return Err(Failure::refused(ProblemKind::MalformedRequest, detail));
    }
    Ok(key)
}

/// Returns a digest of everything that distinguishes calls: method, path, content type and body.
fn body_digest(req: &CallRequest) -> utils::Digest {
    let mut hasher = blake3::Hasher::new();
    for part in [&req.method, &req.path, &req.content_type] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.update(&req.body);
    utils::Digest::from(*hasher.finalize().as_bytes())
}

fn call_end(result: Result<CallReply, targets::TargetError>) -> CallEnd {
    match result {
        Ok(reply) => CallEnd::Answered(RecordedReply {
            status: reply.status,
            content_type: reply.content_type,
            body: RecordedBody::new(reply.body.into()),
        }),
        Err(e) if e.is_not_run() => CallEnd::NotRun,
        Err(_) => CallEnd::Lost,
    }
}

/// Queries the target of an earlier attempt for its recorded outcome.
async fn query_target(
    cx: &Context,
    received: &Received,
    req: &CallRequest,
    question: OutcomeQuery,
) -> Verdict {
    let target = received.view.services.iter().find(|t| t.id == question.target);
    let reply = match target {
        Some(target) => {
            let service = HttpService::new(cx.services.clone(), target.address);
            recorded_outcome(&service, req).await
        }
        None => None,
    };
    question.resolve(reply).await
}

async fn recorded_outcome(service: &HttpService, req: &CallRequest) -> Option<RecordedReply> {
    let key = req.idempotency_key.clone()?;
    let timeout = async {
        smol::Timer::after(QUERY_TIMEOUT).await;
        None
    };
    let query = async { service.outcome(req.workspace.clone(), key).await.ok().flatten() };
    match smol::future::or(query, timeout).await {
        Some(CallOutcome::Ran {
            status,
            content_type,
            body,
        }) => Some(RecordedReply {
            status,
            content_type,
            body: RecordedBody::Text(body),
        }),
        _ => None,
    }
}

fn into_reply(verdict: Verdict) -> Result<CallReply, Failure> {
    let (kind, outcome) = (verdict.problem(), verdict.outcome());
    let detail = detail(&verdict);
    match (verdict, kind) {
        (Verdict::Reply(reply), _) => Ok(CallReply {
            status: reply.status,
            content_type: reply.content_type,
            body: Bytes::copy_from_slice(reply.body.as_bytes()),
        }),
        (_, kind) => Err(Failure {
            kind: kind.unwrap_or(ProblemKind::OutcomeUnknown),
            outcome,
            detail: detail.to_owned(),
        }),
    }
}

fn detail(verdict: &Verdict) -> &'static str {
    match verdict {
        Verdict::Reply(_) => "",
        Verdict::InProgress => "another try with this key is under way; send the same call again later",
        Verdict::Unknown => "a try with this key was sent and its result is not known",
        Verdict::Refused(reason) => match reason {
            RefusedReason::StoreUnavailable => {
                "this try was not sent, as the table service is out of reach; an earlier try with this key may have run"
            }
            RefusedReason::BacklogFull => {
                "this try was not sent, as too many calls wait to be recorded; an earlier try with this key may have run"
            }
            RefusedReason::KeyReused => "this try was not sent; the key belongs to a call with another body",
            RefusedReason::Lapsed => "this try was not sent, as its claim had run out before",
            RefusedReason::ByTarget => "the target was not reached or refused the call",
            RefusedReason::GaveUp => "this try was not sent",
        },
    }
}
