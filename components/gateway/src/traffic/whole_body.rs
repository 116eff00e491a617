use std::time::Duration;

use futures_lite::FutureExt;
use http_io::{HeldBody, HttpError, read_answer};
use hyper::body::Incoming;

use super::request::Call;

/// Longest answer that is buffered until it is whole, in bytes.
const MAX_WHOLE_BYTES: usize = 8 << 20;
/// Longest body of a refusal, in bytes. Callers get a refusal of this host in its place.
const MAX_REFUSAL_BYTES: usize = 64 << 10;

/// Why a body was not read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WholeBodyError {
    /// The connection broke.
    Broken,
    /// The body is too long.
    TooLong,
    /// The time was over.
    TimedOut,
    /// The host has no memory for the body. This says nothing about the target.
    NoMemory,
}

/// Reads the body of an answer to its end within `time_left`. Its memory is charged to the caller's connection.
pub(super) async fn read_whole(
    call: &Call,
    body: Incoming,
    time_left: Duration,
) -> Result<HeldBody, WholeBodyError> {
    read_at_most(MAX_WHOLE_BYTES, call, body, time_left).await
}

/// Reads and discards the body of a refusal to its end within `time_left`, to keep its connection.
pub(super) async fn read_refusal(
    call: &Call,
    body: Incoming,
    time_left: Duration,
) -> Result<(), WholeBodyError> {
    let read = read_at_most(MAX_REFUSAL_BYTES, call, body, time_left).await;
    read.map(drop)
}

async fn read_at_most(
    limit: usize,
    call: &Call,
    body: Incoming,
    time_left: Duration,
) -> Result<HeldBody, WholeBodyError> {
    let read = async {
        let held = read_answer(body, limit, &call.memory).await;
        held.map_err(|e| match e.current_context() {
            HttpError::NoMemory => WholeBodyError::NoMemory,
            HttpError::TooLarge { .. } => WholeBodyError::TooLong,
            _ => WholeBodyError::Broken,
        })
    };
    let timeout = async {
        smol::Timer::after(time_left).await;
        Err(WholeBodyError::TimedOut)
    };
    read.or(timeout).await
}
