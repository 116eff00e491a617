use std::net::SocketAddr;

use error_stack::{Report, ResultExt};
use http_io::{Client, HttpError, empty_body, full_body, read_json, read_limited};
use hyper::header::{CONTENT_TYPE, HeaderMap};
use hyper::{Method, Request, Response};
use utils::WorkspaceId;

use crate::engine_http::into_target_error;
use crate::{BoxFuture, CallOutcome, CallReply, CallRequest, Service, TargetError};

/// Maximum size of a service's answer, in bytes.
const MAX_REPLY_BYTES: usize = 8 << 20;
/// Header with the request id, in the request and in its answer.
const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the number of the attempt, in the request and in its answer.
const ATTEMPT_HEADER: &str = "x-attempt";

/// HTTP client of a plain service.
///
/// Paths: `{method} /v1/services/{service}/{path}`, `GET /v1/outcomes/{workspace}/{key}`.
#[derive(Clone)]
pub struct HttpService {
    /// HTTP client that sends the requests.
    client: Client,
    /// Address of the service.
    addr: SocketAddr,
}

impl HttpService {
    /// Creates a client of the service at `addr`.
    pub fn new(client: Client, addr: SocketAddr) -> Self {
        Self { client, addr }
    }

    fn request(&self, req: &CallRequest) -> Result<Request<http_io::Body>, Report<TargetError>> {
        let mut http = Request::builder()
            .method(req.method.as_str())
            .uri(format!("/v1/services/{}/{}", req.service, req.path))
            .header("host", self.addr.to_string())
            .header(CONTENT_TYPE, &req.content_type)
            .header(REQUEST_ID_HEADER, format!("{:032x}", req.request_id))
            .header(ATTEMPT_HEADER, req.attempt)
            .header("x-workspace", &*req.workspace);
        if let Some(key) = &req.idempotency_key {
            http = http.header("idempotency-key", key);
        }
        http.body(full_body(req.body.clone()))
            .change_context(TargetError::Malformed)
    }
}

impl Service for HttpService {
    fn call(&self, req: CallRequest) -> BoxFuture<'_, Result<CallReply, Report<TargetError>>> {
        Box::pin(async move {
            let http = self.request(&req)?;
            // Each call uses a new connection: a pooled connection may be stale, and a call that must run
            // once can not be sent again after the connection breaks.
            let sent = self.client.send_on_new_connection(self.addr, http).await;
            let res = sent.map_err(into_target_error)?;
            check_identity(&req, &res)?;
            let status = res.status().as_u16();
            let content_type = text_header(res.headers(), CONTENT_TYPE.as_str());
            let body = read_limited(res.into_body(), MAX_REPLY_BYTES)
                .await
                .map_err(into_target_error)?;
            Ok(CallReply {
                status,
                content_type,
                body,
            })
        })
    }

    fn outcome(
        &self,
        workspace: WorkspaceId,
        key: String,
    ) -> BoxFuture<'_, Result<Option<CallOutcome>, Report<TargetError>>> {
        Box::pin(async move {
            let http = Request::builder()
                .method(Method::GET)
                .uri(format!("/v1/outcomes/{workspace}/{key}"))
                .header("host", self.addr.to_string())
                .body(empty_body())
                .change_context(TargetError::Malformed)?;
            let res = self
                .client
                .send(self.addr, http)
                .await
                .map_err(into_target_error)?;
            match res.status().as_u16() {
                200 => read_json(res.into_body(), MAX_REPLY_BYTES)
                    .await
                    .map(Some)
                    .map_err(into_target_error),
                404 | 405 | 501 => Ok(None),
                status => Err(into_target_error(Report::new(HttpError::Status(status)))),
            }
        })
    }
}

/// Checks that the answer repeats the request id and the attempt.
fn check_identity<B>(req: &CallRequest, res: &Response<B>) -> Result<(), Report<TargetError>> {
    let id = text_header(res.headers(), REQUEST_ID_HEADER);
    let attempt = text_header(res.headers(), ATTEMPT_HEADER);
    if id == format!("{:032x}", req.request_id) && attempt == req.attempt.to_string() {
        return Ok(());
    }
    Err(Report::new(TargetError::WrongRequest))
}

/// Returns the value of a header, or an empty text if it is missing or not text.
fn text_header(headers: &HeaderMap, name: &str) -> String {
    headers
        .get(name)
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}
