use std::time::Duration;

use errors::{OUTCOME_HEADER, Outcome, Problem, ProblemKind};
use http_io::{Body, full_body};
use hyper::header::{CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};

use super::exclusion::Exclusion;
use crate::jitter::jittered;

/// `Retry-After` of a request that no target took.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(300);
/// `Retry-After` of a request that the operator's rules keep from all targets. It is longer, as a target that comes back
/// does not help, and jittered, as requests refused together would return together otherwise.
const CONSTRAINT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// `Retry-After` of a request for which only cold targets are left, which stay cold for seconds. Jittered for the same
/// reason.
const COLD_RETRY_AFTER: Duration = Duration::from_millis(1_500);

/// `Retry-After` of a request for which only targets with a limit are left; a slot of this or another host opens meanwhile.
const LIMIT_RETRY_AFTER: Duration = Duration::from_secs(1);

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
    /// Why no target was a candidate, if that is the cause.
    pub exclusion: Option<Exclusion>,
}

impl Refusal {
    pub(crate) const fn not_run(kind: ProblemKind, detail: &'static str) -> Self {
        Self {
            kind,
            outcome: Outcome::NotRun,
            detail,
            retry_after: None,
            exclusion: None,
        }
    }

    pub(crate) const fn may_have_run(kind: ProblemKind, detail: &'static str) -> Self {
        Self {
            kind,
            outcome: Outcome::MayHaveRun,
            detail,
            retry_after: None,
            exclusion: None,
        }
    }

    /// Refuses a request for which no target is a candidate.
    pub(crate) fn no_target(exclusion: Option<Exclusion>) -> Self {
        let (detail, wait) = match exclusion {
            Some(Exclusion::ColdQuotaUsed) => return Self::cold_quota_used(),
            Some(Exclusion::LimitUsed) => return Self::limit_used(),
            Some(Exclusion::OutsideAllowedRegions) => (
                "no target is in a region that the route and the workspace allow",
                jittered(CONSTRAINT_RETRY_AFTER, 0.3),
            ),
            Some(Exclusion::Evacuated) => (
                "every target that may run the request is evacuated",
                jittered(CONSTRAINT_RETRY_AFTER, 0.3),
            ),
            Some(Exclusion::OtherSoftware) => (
                "no target has the software version that began the stream",
                jittered(CONSTRAINT_RETRY_AFTER, 0.3),
            ),
            _ => ("no target took the request", NO_TARGET_RETRY_AFTER),
        };
        let refusal = Self::not_run(ProblemKind::NoTarget, detail).with_retry_after(wait);
        refusal.with_exclusion(exclusion)
    }

    /// Refuses a request for which only cold targets are left, none of which this host may send to at this moment.
    fn cold_quota_used() -> Self {
        let detail = "the remaining targets are cold and take no more requests now";
        let refusal = Self::not_run(ProblemKind::Overloaded, detail);
        let refusal = refusal.with_retry_after(jittered(COLD_RETRY_AFTER, 0.3));
        refusal.with_exclusion(Some(Exclusion::ColdQuotaUsed))
    }

    /// Refuses a request for which only targets with a limit are left, none of which this host may send to at this moment.
    fn limit_used() -> Self {
        let detail = "the remaining targets have named a limit and take no more requests now";
        let refusal = Self::not_run(ProblemKind::Overloaded, detail);
        let refusal = refusal.with_retry_after(jittered(LIMIT_RETRY_AFTER, 0.5));
        refusal.with_exclusion(Some(Exclusion::LimitUsed))
    }

    pub(crate) const fn with_exclusion(mut self, exclusion: Option<Exclusion>) -> Self {
        self.exclusion = exclusion;
        self
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
