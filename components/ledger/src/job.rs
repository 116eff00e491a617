use metadata::{Expect, RowKey, RowVersion};

use crate::{ClaimRow, ClaimState, RowWrite, StoredClaim, WriteResult};

/// Background write of a claim's row that marks the claim as abandoned or records the result of its call,
/// also an unknown one. It is retried until it has taken effect or a newer row makes it obsolete.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Job {
    /// The next write to send.
    write: RowWrite,
}

/// Whether the background write of a [`Job`] is finished or has to be sent again, after a write result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum JobStep {
    /// The job is finished.
    Done,
    /// [`Job::write`] has to be sent again.
    Retry,
}

impl Job {
    /// Creates a job that marks a claim as abandoned, under which no call was sent. The row is not deleted,
    /// because its presence makes the table service refuse an insert of the same claim that is still in
    /// flight.
    pub fn abandon(key: &RowKey, claim: &ClaimRow, held: Option<RowVersion>) -> Self {
        let expect = held.map_or(Expect::Absent, Expect::Version);
        Self::new(key, claim.with_state(ClaimState::Abandoned), expect)
    }

    /// Creates a job that records the result of a call.
    pub fn settle(key: &RowKey, row: ClaimRow, version: RowVersion) -> Self {
        Self::new(key, row, Expect::Version(version))
    }

    fn new(key: &RowKey, row: ClaimRow, expect: Expect) -> Self {
        let key = key.clone();
        Self {
            write: RowWrite { key, expect, row },
        }
    }

    /// Returns the write to send.
    pub fn write(&self) -> &RowWrite {
        &self.write
    }

    /// Updates the job with the result of its write.
    pub fn step(&mut self, result: &WriteResult) -> JobStep {
        match result {
            WriteResult::Applied(_) | WriteResult::Malformed => JobStep::Done,
            WriteResult::Lost | WriteResult::NotSent => JobStep::Retry,
            WriteResult::Refused(None) => self.retry_with(Expect::Absent),
            WriteResult::Refused(Some(found)) if self.supersedes(found) => {
                self.retry_with(Expect::Version(found.version))
            }
            WriteResult::Refused(Some(_)) => JobStep::Done,
        }
    }

    /// Whether the write is a later state of the call than the stored row.
    fn supersedes(&self, found: &StoredClaim) -> bool {
        let is_own = found.row.attempt == self.write.row.attempt;
        match (&self.write.row.state, &found.row.state) {
            (ClaimState::Abandoned, ClaimState::Claimed) => is_own,
            // A new row version makes the table service refuse an insert of this attempt that expects the old
            // version.
            (ClaimState::Abandoned, ClaimState::Abandoned) => !is_own,
            (ClaimState::Settled(_), ClaimState::Claimed | ClaimState::Unknown) => is_own,
            (ClaimState::Unknown, ClaimState::Claimed) => is_own,
            _ => false,
        }
    }

    fn retry_with(&mut self, expect: Expect) -> JobStep {
        self.write.expect = expect;
        JobStep::Retry
    }
}
