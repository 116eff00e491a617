use std::time::Duration;

use errors::{OUTCOME_HEADER, Outcome, Problem, ProblemKind};
use http_io::{Body, full_body};
use hyper::header::{CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// A response that the host gives in place of a target's answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Refusal {
    /// Kind of the problem.
    pub kind: ProblemKind,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// What happened, for the caller and the log.
    pub detail: &'static str,
    /// Time after which a retry may succeed.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    pub(crate) const fn not_run(kind: ProblemKind, detail: &'static str) -> Self {
        Self {
            kind,
            outcome: Outcome::NotRun,
            detail,
            retry_after: None,
        }
    }

    pub(crate) const fn may_have_run(kind: ProblemKind, detail: &'static str) -> Self {
        Self {
            kind,
            outcome: Outcome::MayHaveRun,
            detail,
            retry_after: None,
        }
    }

    pub(crate) const fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Builds the response. Its status means "not run" only if it is certain that the request did not run.
    pub(crate) fn response(&self, request_id: &str) -> Response<Body> {
        let problem = Problem::new(self.kind, self.outcome, self.detail).with_request(request_id);
        let status = StatusCode::from_u16(problem.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut builder = Response::builder()
            .status(status)
            .header(CONTENT_TYPE, "application/problem+json")
            .header(OUTCOME_HEADER, self.outcome.as_str());
        if let Some(wait) = self.retry_after {
            builder = builder.header(RETRY_AFTER, format!("{:.2}", wait.as_secs_f64()));
        }
        let body = serde_json::to_vec(&problem).unwrap_or_default();
        builder
            .body(full_body(body))
            .unwrap_or_else(|_| Response::new(full_body("")))
    }
}
