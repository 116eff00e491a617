use bytes::Bytes;
use error_stack::{Report, ResultExt};
use futures_lite::{Stream, StreamExt};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full, StreamBody};
use hyper::body::Frame;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::held::read_held;
use crate::{HttpError, MemoryHolder};

/// Body of a request or response that this crate sends.
pub type Body = UnsyncBoxBody<Bytes, HttpError>;

/// The sending half of a [`channel_body`]. Dropping it ends the body; sending an error aborts the body.
pub type BodySender = async_channel::Sender<Result<Bytes, HttpError>>;

/// Returns a body without content.
pub fn empty_body() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// Returns a body with the given content.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns a JSON body; it is empty if the value can not be serialized.
///
/// ```
/// let body = http_io::json_body(&["a", "b"]);
/// ```
pub fn json_body(value: &impl Serialize) -> Body {
    full_body(serde_json::to_vec(value).unwrap_or_default())
}

/// Returns a body and the channel for its chunks, which buffers at most `capacity` of them.
pub fn channel_body(capacity: usize) -> (BodySender, Body) {
    let (tx, rx) = async_channel::bounded(capacity);
    (tx, stream_body(rx))
}

/// Returns a body whose chunks come from a stream. The connection that sends the body polls the stream.
pub fn stream_body(chunks: impl Stream<Item = Result<Bytes, HttpError>> + Send + 'static) -> Body {
    let frames = chunks.map(|chunk| chunk.map(Frame::data));
    BodyExt::boxed_unsync(StreamBody::new(frames))
}

/// Reads a complete body of at most `limit` bytes without a charge.
///
/// # Errors
/// [`HttpError::TooLarge`] if the body exceeds the limit, [`HttpError::Interrupted`] if it ends early.
pub async fn read_limited<B>(body: B, limit: usize) -> Result<Bytes, Report<HttpError>>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let held = read_held(std::pin::pin!(body), limit, &MemoryHolder::unlimited()).await?;
    Ok(held.join()?.0)
}

/// Reads a JSON body of at most `limit` bytes.
///
/// # Errors
/// As [`read_limited`], and [`HttpError::Malformed`] if the body is not JSON of the expected type.
pub async fn read_json<T, B>(body: B, limit: usize) -> Result<T, Report<HttpError>>
where
    T: DeserializeOwned,
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let bytes = read_limited(body, limit).await?;
    serde_json::from_slice(&bytes).change_context(HttpError::Malformed)
}
