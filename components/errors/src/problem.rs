use serde::{Deserialize, Serialize};

use crate::Outcome;

/// Kind of a problem document, which a caller receives instead of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProblemKind {
    MalformedRequest,
    BodyTooLarge,
    PromptTooLong,
    SlowSender,
    UnknownApiKey,
    Forbidden,
    NotFound,
    MethodNotAllowed,
    UnknownModel,
    UnknownService,
    MissingIdempotencyKey,
    KeyInProgress,
    KeyReused,
    InvalidResumeToken,
    ExpiredResumeToken,
    VersionGone,
    WorkspaceLimit,
    TooManyStreams,
    Overloaded,
    DeadlineUnreachable,
    NoTarget,
    Quarantined,
    NotServing,
    StoreUnavailable,
    TargetFailed,
    OutcomeUnknown,
    AnswerCut,
}

impl ProblemKind {
    /// Returns the HTTP status of this kind.
    pub fn status(self) -> u16 {
        match self {
            Self::MalformedRequest | Self::MissingIdempotencyKey | Self::InvalidResumeToken => 400,
            Self::UnknownApiKey => 401,
            Self::Forbidden => 403,
            Self::NotFound | Self::UnknownModel | Self::UnknownService => 404,
            Self::MethodNotAllowed => 405,
            Self::SlowSender => 408,
            Self::KeyInProgress => 409,
            Self::ExpiredResumeToken | Self::VersionGone => 410,
            Self::BodyTooLarge | Self::PromptTooLong => 413,
            Self::KeyReused | Self::Quarantined => 422,
            Self::WorkspaceLimit | Self::TooManyStreams => 429,
            Self::TargetFailed | Self::OutcomeUnknown | Self::AnswerCut => 502,
            Self::Overloaded | Self::NoTarget | Self::NotServing | Self::StoreUnavailable => 503,
            Self::DeadlineUnreachable => 504,
        }
    }

    /// Returns a short sentence that is the same for every occurrence of the kind.
    pub fn title(self) -> &'static str {
        match self {
            Self::MalformedRequest => "The request can not be read",
            Self::BodyTooLarge => "The request body is too large",
            Self::PromptTooLong => "The prompt is too long",
            Self::SlowSender => "The request arrived too slowly",
            Self::UnknownApiKey => "The API key is unknown",
            Self::Forbidden => "The workspace may not do this",
            Self::NotFound => "There is no such resource",
            Self::MethodNotAllowed => "The method is not allowed here",
            Self::UnknownModel => "The workspace has no such model",
            Self::UnknownService => "The workspace has no such service",
            Self::MissingIdempotencyKey => "This call needs an Idempotency-Key header",
            Self::KeyInProgress => "A call with this idempotency key is in progress",
            Self::KeyReused => "The idempotency key was used with another body",
            Self::InvalidResumeToken => "The Last-Event-ID is not a valid resume token",
            Self::ExpiredResumeToken => "The resume token has expired",
            Self::VersionGone => "The weight version of this answer is gone",
            Self::WorkspaceLimit => "The workspace is over its limit",
            Self::TooManyStreams => "Too many streams are open",
            Self::Overloaded => "The system is overloaded",
            Self::DeadlineUnreachable => "The deadline can not be met",
            Self::NoTarget => "No target can take the request",
            Self::Quarantined => "The request is quarantined because it crashed targets",
            Self::NotServing => "This host can not confirm the release note in force",
            Self::StoreUnavailable => "The table service can not be reached",
            Self::TargetFailed => "The target failed to answer",
            Self::OutcomeUnknown => "It is not known whether the call ran",
            Self::AnswerCut => "The answer ended early",
        }
    }

    /// Returns the kebab-case name, which is also the last part of the problem's `type`.
    pub fn name(self) -> String {
        serde_json::to_value(self)
            .ok()
            .and_then(|v| v.as_str().map(str::to_owned))
            .unwrap_or_default()
    }
}

/// A problem document as in RFC 9457, extended by the outcome of the request.
///
/// ```
/// use errors::{Outcome, Problem, ProblemKind};
///
/// let problem = Problem::new(ProblemKind::NoTarget, Outcome::NotRun, "no live target");
/// assert_eq!(problem.status, 503);
/// assert_eq!(problem.kind, "urn:laburnumtally:problem:no-target");
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Problem {
    /// URN that identifies the kind.
    #[serde(rename = "type")]
    pub kind: String,
    /// Sentence that is the same for every occurrence of the kind.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// Explanation specific to this occurrence.
    pub detail: String,
    /// What is known about whether the request ran.
    pub outcome: Outcome,
    /// Identifier of the request in logs; empty before it is assigned.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub request_id: String,
}

impl Problem {
    /// Builds the document for one occurrence of a kind.
    pub fn new(kind: ProblemKind, outcome: Outcome, detail: impl Into<String>) -> Self {
        Self {
            kind: format!("urn:laburnumtally:problem:{}", kind.name()),
            title: kind.title().to_owned(),
            status: kind.status(),
            detail: detail.into(),
            outcome,
            request_id: String::new(),
        }
    }

    /// Sets the request identifier.
    pub fn with_request(mut self, request_id: impl Into<String>) -> Self {
        self.request_id = request_id.into();
        self
    }
}
