/// Reason why an HTTP exchange failed, and whether the request may have reached the peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum HttpError {
    /// No connection could be opened; nothing was sent.
    #[error("no connection could be opened")]
    Connect,
    /// The connection closed before any byte of the request was written.
    #[error("the connection closed before the request was sent")]
    NotSent,
    /// The connection failed after the request was sent at least partly, or a body ended early.
    #[error("the connection failed after the request was sent")]
    Interrupted,
    /// No answer arrived in time; the request may have been processed.
    #[error("no answer came in time")]
    TimedOut,
    /// The peer answered with an unexpected status.
    #[error("the peer answered with status {0}")]
    Status(u16),
    /// The body, or a line of an event stream, is longer than allowed.
    #[error("the body is longer than {limit} bytes")]
    TooLarge {
        /// Maximum size, in bytes.
        limit: usize,
    },
    /// The body is not of the expected format, or a request could not be built.
    #[error("the body can not be read")]
    Malformed,
    /// The memory budget has no room for the body.
    #[error("no memory is left for the body")]
    NoMemory,
    /// The server can not listen on the address.
    #[error("can not listen on the address")]
    Listen,
}

impl HttpError {
    /// Returns whether it is certain that no byte of the request reached the peer.
    pub fn is_not_sent(self) -> bool {
        matches!(self, Self::Connect | Self::NotSent)
    }
}
