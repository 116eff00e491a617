use errors::{Outcome, Problem, ProblemKind};

/// Reason why a request ends without its complete answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Failure {
    /// Kind of the problem document.
    pub kind: ProblemKind,
    /// Whether the request ran, as far as known.
    pub outcome: Outcome,
    /// Detail of the problem document, for the caller.
    pub detail: String,
}

impl Failure {
    /// Creates a refusal. It is certain that no target ran the request.
    pub(crate) fn refused(kind: ProblemKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            outcome: Outcome::NotRun,
            detail: detail.into(),
        }
    }

    /// Creates a failure of a request that a target may have run.
    pub(crate) fn may_have_run(kind: ProblemKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            outcome: Outcome::MayHaveRun,
            detail: detail.into(),
        }
    }

    pub(crate) fn problem(&self, request_id: &str) -> Problem {
        Problem::new(self.kind, self.outcome, self.detail.clone()).with_request(request_id)
    }
}
