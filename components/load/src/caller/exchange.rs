use bytes::Bytes;
use checker::Exchange;
use errors::{OUTCOME_HEADER, Outcome, Problem};
use http_io::{Body, HttpError, PooledBody, empty_body, full_body, read_limited};
use hyper::header::HeaderMap;
use hyper::{Request, Response};
use standins::unix_micros;

use super::{Caller, Entry};

/// Maximum size of an answer that is not streamed, in bytes.
const MAX_REPLY_BYTES: usize = 16 << 20;

/// Parts of an HTTP request to an entry host.
pub(super) struct RequestParts<'a> {
    /// Path of the request.
    pub(super) path: &'a str,
    /// API key of the workspace.
    pub(super) api_key: &'a str,
    /// Name and value of an additional header.
    pub(super) extra_header: Option<(&'static str, &'a str)>,
    /// Request body; `None` to resume a stream.
    pub(super) body: Option<Bytes>,
}

impl RequestParts<'_> {
    fn request(&self, entry: &Entry) -> Result<Request<Body>, HttpError> {
        let mut req = Request::builder()
            .method("POST")
            .uri(self.path)
            .header("host", entry.address.to_string())
            .header("content-type", "application/json")
            .header("authorization", format!("Bearer {}", self.api_key));
        if let Some((name, value)) = self.extra_header {
            req = req.header(name, value);
        }
        let body = self.body.clone().map_or_else(empty_body, full_body);
        req.body(body).map_err(|_| HttpError::Malformed)
    }
}

impl Caller {
    /// Sends a request to an entry host. Returns the record of the exchange, and the answer if its head was
    /// received.
    pub(super) async fn send_request(
        &self,
        entry: &Entry,
        parts: &RequestParts<'_>,
    ) -> (Exchange, Option<Response<PooledBody>>) {
        let mut exchange = new_exchange(entry);
        let Ok(req) = parts.request(entry) else {
            return (exchange, None);
        };
        let Ok(res) = self.client.send(entry.address, req).await else {
            exchange.ended_at = unix_micros();
            return (exchange, None);
        };
        exchange.head_at = Some(unix_micros());
        exchange.status = res.status().as_u16();
        exchange.outcome = header_text(res.headers(), OUTCOME_HEADER).parse().ok();
        exchange.request_id = header_text(res.headers(), "laburnumtally-request-id").to_owned();
        exchange.note = header_text(res.headers(), "laburnumtally-note").parse().ok();
        (exchange, Some(res))
    }
}

/// Reads the body of an answer that is not streamed and completes the record of the exchange.
pub(super) async fn read_rest(exchange: &mut Exchange, res: Response<PooledBody>) -> Option<String> {
    let read = read_limited(res.into_body(), MAX_REPLY_BYTES).await;
    exchange.ended_at = unix_micros();
    let body = String::from_utf8(read.ok()?.to_vec()).ok()?;
    exchange.ended_well = true;
    if let Ok(problem) = serde_json::from_str::<Problem>(&body) {
        exchange.outcome = Some(problem.outcome);
    }
    Some(body)
}

/// Returns whether a request may be retried after an exchange: either it did not run, or the same idempotency
/// key makes a retry safe.
pub(super) fn is_retryable(exchange: &Exchange) -> bool {
    match exchange.status {
        0 | 409 | 429 | 502 | 503 => true,
        504 => exchange.outcome == Some(Outcome::NotRun),
        _ => !exchange.ended_well,
    }
}

/// Returns the record of an exchange that starts now.
fn new_exchange(entry: &Entry) -> Exchange {
    let now = unix_micros();
    Exchange {
        host: entry.id.clone(),
        sent_at: now,
        head_at: None,
        ended_at: now,
        status: 0,
        outcome: None,
        request_id: String::new(),
        note: None,
        ended_well: false,
        is_resume: false,
    }
}

/// Returns the value of a header; empty if it is missing or not text.
fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default()
}
