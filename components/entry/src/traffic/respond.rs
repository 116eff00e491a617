use errors::{OUTCOME_HEADER, Outcome, Problem};
use http_io::{Body, full_body, json_body};
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use serde::Serialize;
use targets::CallReply;
use utils::RequestId;

/// Response header with the identifier of the request.
const REQUEST_ID_HEADER: &str = "laburnumtally-request-id";
/// Response header with the version of the release notes that the request was served under.
const NOTE_HEADER: &str = "laburnumtally-note";

/// Formats a request identifier for callers.
pub(crate) fn id_text(id: RequestId) -> String {
    format!("{id:032x}")
}

/// Returns a problem document as a response.
pub(crate) fn problem(problem: &Problem, note_version: u64) -> Response<Body> {
    let mut res = Response::new(json_body(problem));
    *res.status_mut() = StatusCode::from_u16(problem.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    set_header(&mut res, CONTENT_TYPE.as_str(), "application/problem+json");
    set_request_headers(&mut res, problem.outcome, &problem.request_id, note_version);
    if matches!(problem.status, 429 | 503) {
        set_header(&mut res, "retry-after", "1");
    }
    res
}

/// Returns a JSON response.
pub(crate) fn json(value: &impl Serialize, outcome: Outcome, id: &str, note_version: u64) -> Response<Body> {
    let mut res = Response::new(json_body(value));
    set_header(&mut res, CONTENT_TYPE.as_str(), "application/json");
    set_request_headers(&mut res, outcome, id, note_version);
    res
}

/// Returns a response that streams server-sent events.
pub(crate) fn stream(body: Body, id: &str, note_version: u64) -> Response<Body> {
    let mut res = Response::new(body);
    set_header(&mut res, CONTENT_TYPE.as_str(), "text/event-stream");
    set_header(&mut res, CACHE_CONTROL.as_str(), "no-store");
    set_request_headers(&mut res, Outcome::Ran, id, note_version);
    res
}

/// Returns the answer of a plain service as a response.
pub(crate) fn reply(reply: CallReply, id: &str, note_version: u64) -> Response<Body> {
    let mut res = Response::new(full_body(reply.body));
    *res.status_mut() = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY);
    set_header(&mut res, CONTENT_TYPE.as_str(), &reply.content_type);
    set_request_headers(&mut res, Outcome::Ran, id, note_version);
    res
}

fn set_request_headers(res: &mut Response<Body>, outcome: Outcome, id: &str, note_version: u64) {
    set_header(res, OUTCOME_HEADER, outcome.as_str());
    set_header(res, REQUEST_ID_HEADER, id);
    set_header(res, NOTE_HEADER, &note_version.to_string());
}

fn set_header(res: &mut Response<Body>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        res.headers_mut().insert(name, value);
    }
}
