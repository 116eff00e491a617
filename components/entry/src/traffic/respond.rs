use errors::{OUTCOME_HEADER, Outcome, Problem};
use http_io::{Body, full_body, json_body};
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use serde::Serialize;
use targets::CallReply;
use utils::RequestId;

/// Response header with the request's identifier.
const REQUEST_ID_HEADER: &str = "laburnumtally-request-id";
/// Response header with the version of the release notes that the request was served under.
const NOTE_HEADER: &str = "laburnumtally-note";

/// The identifier of a request as callers see it.
pub(crate) fn id_text(id: RequestId) -> String {
    format!("{id:032x}")
}

/// A problem document.
pub(crate) fn problem(problem: &Problem, note: u64) -> Response<Body> {
    let mut res = Response::new(json_body(problem));
    *res.status_mut() = StatusCode::from_u16(problem.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    set(&mut res, CONTENT_TYPE.as_str(), "application/problem+json");
    mark(&mut res, problem.outcome, &problem.request_id, note);
    if matches!(problem.status, 429 | 503) {
        set(&mut res, "retry-after", "1");
    }
    res
}

/// A JSON answer.
pub(crate) fn json(value: &impl Serialize, outcome: Outcome, id: &str, note: u64) -> Response<Body> {
    let mut res = Response::new(json_body(value));
    set(&mut res, CONTENT_TYPE.as_str(), "application/json");
    mark(&mut res, outcome, id, note);
    res
}

/// The head of an event stream.
pub(crate) fn stream(body: Body, id: &str, note: u64) -> Response<Body> {
    let mut res = Response::new(body);
    set(&mut res, CONTENT_TYPE.as_str(), "text/event-stream");
    set(&mut res, CACHE_CONTROL.as_str(), "no-store");
    mark(&mut res, Outcome::Ran, id, note);
    res
}

/// A plain service's answer.
pub(crate) fn reply(reply: CallReply, id: &str, note: u64) -> Response<Body> {
    let mut res = Response::new(full_body(reply.body));
    *res.status_mut() = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY);
    set(&mut res, CONTENT_TYPE.as_str(), &reply.content_type);
    mark(&mut res, Outcome::Ran, id, note);
    res
}

fn mark(res: &mut Response<Body>, outcome: Outcome, id: &str, note: u64) {
    set(res, OUTCOME_HEADER, outcome.as_str());
    set(res, REQUEST_ID_HEADER, id);
    set(res, NOTE_HEADER, &note.to_string());
}

fn set(res: &mut Response<Body>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        res.headers_mut().insert(name, value);
    }
}
