use http_io::HttpError;

/// Errors of calls to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum PlatformError {
    /// The call was not sent and took no effect.
    #[error("the platform can not be reached; the call was not sent")]
    Unreachable,
    /// The call was sent, but no answer arrived or its status is unexpected; the call may have taken effect.
    #[error("the platform's answer is lost; the call may have taken effect")]
    AnswerLost,
    /// The platform refused the call because of its rate limit or overload (status 429 or 503). The call took
    /// no effect.
    #[error("the platform refused the call because of its rate")]
    Busy,
    /// The answer is too large or can not be parsed.
    #[error("the platform's answer can not be read")]
    Malformed,
}

impl PlatformError {
    /// Returns whether the call certainly took no effect.
    pub fn is_without_effect(self) -> bool {
        matches!(self, Self::Unreachable | Self::Busy)
    }
}

impl From<HttpError> for PlatformError {
    fn from(e: HttpError) -> Self {
        match e {
            e if e.is_not_sent() => Self::Unreachable,
            HttpError::Status(429 | 503) => Self::Busy,
            HttpError::Malformed | HttpError::TooLarge { .. } => Self::Malformed,
            _ => Self::AnswerLost,
        }
    }
}
