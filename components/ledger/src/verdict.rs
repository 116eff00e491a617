use errors::{Outcome, ProblemKind};

use crate::RecordedReply;

/// Final result of an attempt, as reported to the caller: the recorded answer or a problem.
///
/// [`BeginResult`](crate::BeginResult) and [`EndResult`](crate::EndResult) contain it once an attempt is
/// decided. [`CallEnd`](crate::CallEnd) is the input from which it is derived after a send. [`Outcome`] only
/// states whether the call ran; see [`Verdict::outcome`].
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// The call ran; holds the recorded answer.
    Reply(RecordedReply),
    /// This attempt was not sent, or the target proves that it did not run it.
    Refused(RefusedReason),
    /// Another attempt at the same call is in flight.
    InProgress,
    /// The call may have run; its result is unknown.
    Unknown,
}

/// Why an attempt was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusedReason {
    /// The table service is unavailable.
    StoreUnavailable,
    /// The backlog of unwritten settlements is full.
    BacklogFull,
    /// The idempotency key was used with another body.
    KeyReused,
    /// The claim's deadline passed before the call was sent.
    Lapsed,
    /// The target was unreachable or refused the call.
    ByTarget,
    /// The entry host abandoned the attempt before it sent anything.
    GaveUp,
}

impl RefusedReason {
    /// Returns the problem reported to the caller.
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
    /// Returns what is known about whether the call ran.
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

    /// Returns the problem reported to the caller; `None` for a recorded answer.
    pub fn problem(&self) -> Option<ProblemKind> {
        match self {
            Self::Reply(_) => None,
            Self::Refused(reason) => Some(reason.problem()),
            Self::InProgress => Some(ProblemKind::KeyInProgress),
            Self::Unknown => Some(ProblemKind::OutcomeUnknown),
        }
    }
}
