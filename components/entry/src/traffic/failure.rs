use errors::{Outcome, Problem, ProblemKind};

/// Why a request ends without its answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Failure {
    /// The reason.
    pub kind: ProblemKind,
    /// What is known about whether the request ran.
    pub outcome: Outcome,
    /// What happened, for the caller.
    pub detail: String,
}

impl Failure {
    /// A refusal: nothing of the request reached a target.
    pub(crate) fn refused(kind: ProblemKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            outcome: Outcome::NotRun,
            detail: detail.into(),
        }
    }

    /// A failure after a target may have run the request.
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
