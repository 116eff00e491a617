use http_io::HttpError;

/// Why a call to a target failed, and whether the target may have run the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum TargetError {
    /// No byte of the request reached the target.
    #[error("the request was not sent")]
    NotSent,
    /// The target refused the request and did not run it; holds the HTTP status.
    #[error("the target refused the request with status {0}")]
    Refused(u16),
    /// The connection broke after the request was sent.
    #[error("the connection broke after the request was sent")]
    Interrupted,
    /// The target did not answer within the time limit.
    #[error("the target was silent for too long")]
    TimedOut,
    /// The answer belongs to another request or attempt.
    #[error("the answer belongs to another request")]
    WrongRequest,
    /// The answer ended without an end event, or a token was missing or repeated.
    #[error("the answer is not whole")]
    Incomplete,
    /// The target does not have the requested weight version, or no longer has it.
    #[error("the weight version is not loaded")]
    VersionNotLoaded,
    /// The answer can not be parsed, or the request can not be built.
    #[error("the answer can not be read")]
    Malformed,
}

impl TargetError {
    /// Whether it is certain that the target did not run the request.
    pub fn is_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::Refused(_) | Self::VersionNotLoaded)
    }
}

impl From<HttpError> for TargetError {
    fn from(e: HttpError) -> Self {
        match e {
            e if e.is_not_sent() => Self::NotSent,
            HttpError::TimedOut => Self::TimedOut,
            HttpError::Status(status) => Self::Refused(status),
            HttpError::Malformed | HttpError::TooLarge { .. } => Self::Malformed,
            _ => Self::Interrupted,
        }
    }
}
