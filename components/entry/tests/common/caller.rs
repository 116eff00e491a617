use std::net::SocketAddr;

use errors::{OUTCOME_HEADER, Problem};
use http_io::{Body, Client, SseReader, full_body, json_body, read_limited};
use hyper::{Method, Request};

/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// A client of one entry host.
pub struct Caller {
    client: Client,
    addr: SocketAddr,
    api_key: String,
}

/// Result of a streamed completion.
#[derive(Debug, Default)]
pub struct StreamResult {
    /// HTTP status.
    pub status: u16,
    /// Value of the outcome header.
    pub outcome: String,
    /// Identifier of the request.
    pub request_id: String,
    /// Text received so far.
    pub text: String,
    /// Number of tokens received so far.
    pub tokens: u32,
    /// Identifier of the last event.
    pub last_id: String,
    /// Whether the end marker was received.
    pub done: bool,
    /// The problem, if the answer was one or ended with one.
    pub problem: Option<Problem>,
}

/// Result of a call to the ledger or of another unstreamed request.
#[derive(Debug)]
pub struct CallResult {
    /// HTTP status.
    pub status: u16,
    /// Value of the outcome header.
    pub outcome: String,
    /// Body.
    pub body: String,
}

impl Caller {
    pub fn new(client: Client, addr: SocketAddr, api_key: &str) -> Self {
        Self {
            client,
            addr,
            api_key: api_key.to_owned(),
        }
    }

    /// Returns a caller with the same key for another address.
    pub fn at(&self, addr: SocketAddr) -> Self {
        Self {
            client: self.client.clone(),
            addr,
            api_key: self.api_key.clone(),
        }
    }

    /// Reads a streamed completion to its end.
    pub async fn stream(&self, body: &serde_json::Value, last_id: Option<&str>) -> StreamResult {
        self.stream_until(body, last_id, u32::MAX).await
    }

    /// Reads a streamed completion until it has `tokens` tokens, then closes the connection.
    pub async fn stream_until(
        &self,
        body: &serde_json::Value,
        last_id: Option<&str>,
        tokens: u32,
    ) -> StreamResult {
        let mut req = self.request(Method::POST, "/v1/completions");
        if let Some(id) = last_id {
            req = req.header("last-event-id", id);
        }
        let body = if last_id.is_some() {
            http_io::empty_body()
        } else {
            json_body(body)
        };
        let Ok(res) = self.client.send(self.addr, req.body(body).unwrap()).await else {
            return StreamResult::default();
        };
        let mut streamed = StreamResult {
            status: res.status().as_u16(),
            outcome: header(res.headers(), OUTCOME_HEADER),
            request_id: header(res.headers(), "laburnumtally-request-id"),
            ..StreamResult::default()
        };
        if streamed.status != 200 {
            let bytes = read_limited(res.into_body(), MAX_ANSWER_BYTES).await.unwrap();
            streamed.problem = serde_json::from_slice(&bytes).ok();
            return streamed;
        }
        let mut reader = SseReader::new(res.into_body());
        while streamed.tokens < tokens {
            match reader.next().await {
                Ok(Some(event)) => streamed.apply(&event),
                Ok(None) | Err(_) => break,
            }
        }
        streamed
    }

    /// Sends a call to the ledger.
    pub async fn call(&self, path: &str, key: Option<&str>, body: &str) -> CallResult {
        let mut req = self.request(Method::POST, path);
        if let Some(key) = key {
            req = req.header("idempotency-key", key);
        }
        self.send(req.body(full_body(body.to_owned())).unwrap()).await
    }

    /// Sends a request and reads the whole answer.
    pub async fn send(&self, req: Request<Body>) -> CallResult {
        let res = self.client.send(self.addr, req).await.unwrap();
        let status = res.status().as_u16();
        let outcome = header(res.headers(), OUTCOME_HEADER);
        let body = read_limited(res.into_body(), MAX_ANSWER_BYTES).await.unwrap();
        CallResult {
            status,
            outcome,
            body: String::from_utf8_lossy(&body).into_owned(),
        }
    }

    /// Returns a request builder with the caller's key.
    pub fn request(&self, method: Method, path: &str) -> hyper::http::request::Builder {
        Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.addr.to_string())
            .header("content-type", "application/json")
            .header("authorization", format!("Bearer {}", self.api_key))
    }
}

impl StreamResult {
    fn apply(&mut self, event: &http_io::SseEvent) {
        if event.data == "[DONE]" {
            self.done = true;
            return;
        }
        let value: serde_json::Value = serde_json::from_str(&event.data).unwrap();
        if let Some(problem) = value.get("error") {
            self.problem = serde_json::from_value(problem.clone()).ok();
            return;
        }
        if let Some(id) = &event.id {
            self.last_id.clone_from(id);
        }
        let text = value["choices"][0]["text"].as_str().unwrap_or_default();
        if !text.is_empty() {
            self.text.push_str(text);
            self.tokens += 1;
        }
    }
}

fn header(headers: &hyper::HeaderMap, name: &str) -> String {
    headers
        .get(name)
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}
