use std::time::Duration;

use futures_lite::FutureExt;
use http_io::{HeldBody, HttpError, read_held};
use hyper::body::Incoming;

use super::request::Call;

/// Longest answer that is buffered until it is whole, in bytes.
const MAX_WHOLE_BYTES: usize = 8 << 20;

/// Result of reading an answer to its end.
pub(crate) enum WholeAnswer {
    /// The whole body.
    Read(HeldBody),
    /// The connection broke, the body is too long, or the time is over.
    Broken,
    /// The host has no memory for the body. This says nothing about the target.
    NoMemory,
}

/// Reads the body of an answer within `time_left`. Its memory is charged to the caller's connection.
pub(crate) async fn read_whole(call: &Call, body: Incoming, time_left: Duration) -> WholeAnswer {
    let read = async {
        match read_held(body, MAX_WHOLE_BYTES, &call.memory).await {
            Ok(body) => WholeAnswer::Read(body),
            Err(e) if *e.current_context() == HttpError::NoMemory => WholeAnswer::NoMemory,
            Err(_) => WholeAnswer::Broken,
        }
    };
    let timeout = async {
        smol::Timer::after(time_left).await;
        WholeAnswer::Broken
    };
    read.or(timeout).await
}
