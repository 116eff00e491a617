use bytes::Bytes;
use http_io::{Body, HandlerFuture, empty_body, full_body, json_body, read_json, read_limited};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Largest body that a stand-in reads, in bytes.
const MAX_BODY_BYTES: usize = 256 << 20;

/// A JSON answer.
pub(crate) fn json(value: &impl Serialize) -> Response<Body> {
    Response::builder()
        .header("content-type", "application/json")
        .body(json_body(value))
        .unwrap_or_else(|_| status(StatusCode::INTERNAL_SERVER_ERROR))
}

/// An answer without content.
pub(crate) fn status(code: StatusCode) -> Response<Body> {
    let mut res = Response::new(empty_body());
    *res.status_mut() = code;
    res
}

/// An answer of bytes.
pub(crate) fn bytes(content: Bytes) -> Response<Body> {
    Response::new(full_body(content))
}

/// Reads a JSON body, or gives the status that says why not.
pub(crate) async fn body_json<T: DeserializeOwned>(req: Request<Incoming>) -> Result<T, StatusCode> {
    read_json(req.into_body(), MAX_BODY_BYTES)
        .await
        .map_err(|_| StatusCode::BAD_REQUEST)
}

/// Reads a body, or gives the status that says why not.
pub(crate) async fn body_bytes(req: Request<Incoming>) -> Result<Bytes, StatusCode> {
    read_limited(req.into_body(), MAX_BODY_BYTES)
        .await
        .map_err(|_| StatusCode::BAD_REQUEST)
}

/// Boxes an answer; an error becomes an answer of its status.
pub(crate) fn handled(
    work: impl Future<Output = Result<Response<Body>, StatusCode>> + Send + 'static,
) -> HandlerFuture {
    Box::pin(async move { work.await.unwrap_or_else(status) })
}

/// Never answers; the future ends when its connection does.
pub(crate) async fn never<T>() -> T {
    std::future::pending().await
}

/// Parts of a path without the empty ones.
pub(crate) fn segments(path: &str) -> Vec<&str> {
    path.split('/').filter(|part| !part.is_empty()).collect()
}
