use bytes::Bytes;
use http_io::{Body, HandlerFuture, empty_body, full_body, json_body, read_json, read_limited};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 256 << 20;

/// Builds a response with a JSON body.
pub(crate) fn json(value: &impl Serialize) -> Response<Body> {
    Response::builder()
        .header("content-type", "application/json")
        .body(json_body(value))
        .unwrap_or_else(|_| status(StatusCode::INTERNAL_SERVER_ERROR))
}

/// Builds a response without a body.
pub(crate) fn status(code: StatusCode) -> Response<Body> {
    let mut res = Response::new(empty_body());
    *res.status_mut() = code;
    res
}

/// Builds a response with a body of bytes.
pub(crate) fn bytes(content: Bytes) -> Response<Body> {
    Response::new(full_body(content))
}

/// Reads a JSON body; returns status 400 if it is too large, interrupted or invalid.
pub(crate) async fn body_json<T: DeserializeOwned>(req: Request<Incoming>) -> Result<T, StatusCode> {
    read_json(req.into_body(), MAX_BODY_BYTES)
        .await
        .map_err(|_| StatusCode::BAD_REQUEST)
}

/// Reads a body; returns status 400 if it is too large or interrupted.
pub(crate) async fn body_bytes(req: Request<Incoming>) -> Result<Bytes, StatusCode> {
    read_limited(req.into_body(), MAX_BODY_BYTES)
        .await
        .map_err(|_| StatusCode::BAD_REQUEST)
}

/// Boxes the future of a response; an error becomes an empty response with that status.
pub(crate) fn handler_future(
    work: impl Future<Output = Result<Response<Body>, StatusCode>> + Send + 'static,
) -> HandlerFuture {
    Box::pin(async move { work.await.unwrap_or_else(status) })
}

/// Never completes; the future is dropped when its connection closes.
pub(crate) async fn never<T>() -> T {
    std::future::pending().await
}

/// Splits a path into its non-empty segments.
pub(crate) fn segments(path: &str) -> Vec<&str> {
    path.split('/').filter(|part| !part.is_empty()).collect()
}
