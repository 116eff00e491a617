use http_io::HttpError;

/// Why a call to the platform failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum PlatformError {
    /// The call was not sent; it took no effect.
    #[error("the platform can not be reached; the call was not sent")]
    Unreachable,
    /// The call was sent and its answer is lost; it may have taken effect.
    #[error("the platform's answer is lost; the call may have taken effect")]
    AnswerLost,
    /// The platform refused the call because of its rate; it took no effect.
    #[error("the platform refused the call because of its rate")]
    Busy,
    /// The answer can not be read.
    #[error("the platform's answer can not be read")]
    Malformed,
}

impl PlatformError {
    /// Whether it is certain that the call took no effect.
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
