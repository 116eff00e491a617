use bytes::Bytes;
use checker::Exchange;
use errors::{OUTCOME_HEADER, Outcome, Problem};
use http_io::{Body, HttpError, PooledBody, empty_body, full_body, read_limited};
use hyper::header::HeaderMap;
use hyper::{Request, Response};
use standins::unix_micros;

use super::{Caller, Entry};

/// Largest answer that is read whole, in bytes.
const MAX_REPLY_BYTES: usize = 16 << 20;

/// What one request over HTTP sends.
pub(super) struct Sending<'a> {
    /// Path.
    pub(super) path: &'a str,
    /// API key.
    pub(super) key: &'a str,
    /// One more header.
    pub(super) header: Option<(&'static str, &'a str)>,
    /// Body; none for a resume.
    pub(super) body: Option<Bytes>,
}

impl Sending<'_> {
    fn request(&self, entry: &Entry) -> Result<Request<Body>, HttpError> {
        let mut req = Request::builder()
            .method("POST")
            .uri(self.path)
            .header("host", entry.address.to_string())
            .header("content-type", "application/json")
            .header("authorization", format!("Bearer {}", self.key));
        if let Some((name, value)) = self.header {
            req = req.header(name, value);
        }
        let body = self.body.clone().map_or_else(empty_body, full_body);
        req.body(body).map_err(|_| HttpError::Malformed)
    }
}

impl Caller {
    /// Sends a request to a host; gives the record of the exchange and the answer, if its head came.
    pub(super) async fn exchange(
        &self,
        entry: &Entry,
        sending: &Sending<'_>,
    ) -> (Exchange, Option<Response<PooledBody>>) {
        let mut exchange = begun(entry);
        let Ok(req) = sending.request(entry) else {
            return (exchange, None);
        };
        let Ok(res) = self.client.send(entry.address, req).await else {
            exchange.ended_at = unix_micros();
            return (exchange, None);
        };
        exchange.head_at = Some(unix_micros());
        exchange.status = res.status().as_u16();
        exchange.outcome = text(res.headers(), OUTCOME_HEADER).parse().ok();
        exchange.request_id = text(res.headers(), "laburnumtally-request-id").to_owned();
        exchange.note = text(res.headers(), "laburnumtally-note").parse().ok();
        (exchange, Some(res))
    }
}

/// Reads the rest of an answer that is not streamed.
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

/// Whether a caller may come back after an exchange, because nothing ran or because the same key is safe.
pub(super) fn is_worth_repeating(exchange: &Exchange) -> bool {
    match exchange.status {
        0 | 409 | 429 | 502 | 503 => true,
        504 => exchange.outcome == Some(Outcome::NotRun),
        _ => !exchange.ended_well,
    }
}

fn begun(entry: &Entry) -> Exchange {
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

fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default()
}
