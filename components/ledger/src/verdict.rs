use errors::{Outcome, ProblemKind};

use crate::RecordedReply;

/// What the caller of a try is told.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// The call ran; this is its answer.
    Reply(RecordedReply),
    /// This try was not sent, or the target shows that it did not run it.
    Refused(RefusedReason),
    /// Another try of the same call is under way.
    InProgress,
    /// The call may have run and its result is not known.
    Unknown,
}

/// Why a try was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusedReason {
    /// The table service is out of reach.
    StoreUnavailable,
    /// Too many settlements wait to be written.
    BacklogFull,
    /// The key was used with another body.
    KeyReused,
    /// The deadline of the claim passed before the call could be sent.
    Lapsed,
    /// The target could not be reached or refused the call.
    ByTarget,
    /// The entry host gave up before it sent anything.
    GaveUp,
}

impl RefusedReason {
    /// The problem that a caller gets.
    pub fn problem(self) -> ProblemKind {
        match self {
            Self::StoreUnavailable => ProblemKind::StoreUnavailable,
            Self::BacklogFull => ProblemKind::Overloaded,
            Self::KeyReused => ProblemKind::KeyReused,
            Self::Lapsed => ProblemKind::DeadlineUnreachable,
            Self::ByTarget => ProblemKind::TargetFailed,
            Self::GaveUp => ProblemKind::NoTarget,
        }
    }
}

impl Verdict {
    /// What is known about whether the call ran.
    ///
    /// ```
    /// use ledger::{RefusedReason, Verdict};
    ///
    /// let refused = Verdict::Refused(RefusedReason::KeyReused);
    /// assert_eq!(refused.outcome(), errors::Outcome::NotRun);
    /// assert_eq!(refused.problem().map(|p| p.status()), Some(422));
    /// ```
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::Reply(_) => Outcome::Ran,
            Self::Refused(_) => Outcome::NotRun,
            Self::InProgress | Self::Unknown => Outcome::MayHaveRun,
        }
    }

    /// The problem that the caller gets; `None` for an answer.
    pub fn problem(&self) -> Option<ProblemKind> {
        match self {
            Self::Reply(_) => None,
            Self::Refused(reason) => Some(reason.problem()),
            Self::InProgress => Some(ProblemKind::KeyInProgress),
            Self::Unknown => Some(ProblemKind::OutcomeUnknown),
        }
    }
}
