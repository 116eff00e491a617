use std::time::Duration;

use bytes::Bytes;
use futures_lite::FutureExt;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;

/// Longest answer that is buffered until it is whole, in bytes.
const MAX_WHOLE_BYTES: usize = 8 << 20;

/// Why a body was not read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WholeBodyError {
    /// The connection broke.
    Broken,
    /// The body is too long.
    TooLong,
    /// The time was over.
    TimedOut,
}

/// Reads a body to its end within `time_left`.
pub(super) async fn read_whole(body: Incoming, time_left: Duration) -> Result<Bytes, WholeBodyError> {
    let read = async {
        match Limited::new(body, MAX_WHOLE_BYTES).collect().await {
            Ok(all) => Ok(all.to_bytes()),
            Err(e) if e.is::<LengthLimitError>() => Err(WholeBodyError::TooLong),
            Err(_) => Err(WholeBodyError::Broken),
        }
    };
    let timeout = async {
        smol::Timer::after(time_left).await;
        Err(WholeBodyError::TimedOut)
    };
    read.or(timeout).await
}
