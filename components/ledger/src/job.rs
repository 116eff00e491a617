use metadata::{Expect, RowKey, RowVersion};

use crate::{ClaimRow, ClaimState, RowWrite, StoredClaim, WriteResult};

/// A background write that is repeated until it took effect or is needless.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Job {
    /// What is written next.
    write: RowWrite,
}

/// What follows from a result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum JobStep {
    /// Nothing is left to do.
    Done,
    /// [`Job::write`] is to be made again.
    Retry,
}

impl Job {
    /// Gives up a claim that nothing was sent under. A row stays, so that an insert that is still under way is refused.
    pub fn abandon(key: &RowKey, claim: &ClaimRow, held: Option<RowVersion>) -> Self {
        let expect = held.map_or(Expect::Absent, Expect::Version);
        Self::new(key, claim.with_state(ClaimState::Abandoned), expect)
    }

    /// Records a call's result.
    pub fn settle(key: &RowKey, row: ClaimRow, version: RowVersion) -> Self {
        Self::new(key, row, Expect::Version(version))
    }

    fn new(key: &RowKey, row: ClaimRow, expect: Expect) -> Self {
        let key = key.clone();
        Self {
            write: RowWrite { key, expect, row },
        }
    }

    /// The write to make.
    pub fn write(&self) -> &RowWrite {
        &self.write
    }

    /// Takes the result of the write.
    pub fn step(&mut self, result: &WriteResult) -> JobStep {
        match result {
            WriteResult::Applied(_) | WriteResult::Malformed => JobStep::Done,
            WriteResult::Lost | WriteResult::NotSent => JobStep::Retry,
            WriteResult::Refused(None) => self.expect(Expect::Absent),
            WriteResult::Refused(Some(found)) if self.replaces(found) => {
                self.expect(Expect::Version(found.version))
            }
            WriteResult::Refused(Some(_)) => JobStep::Done,
        }
    }

    /// Whether the found row is older news than the write.
    fn replaces(&self, found: &StoredClaim) -> bool {
        let is_own = found.row.attempt == self.write.row.attempt;
        match (&self.write.row.state, &found.row.state) {
            (ClaimState::Abandoned, ClaimState::Claimed) => is_own,
            // A new version of the row stops an own insert that expects the old one.
            (ClaimState::Abandoned, ClaimState::Abandoned) => !is_own,
            (ClaimState::Settled(_), ClaimState::Claimed | ClaimState::Unknown) => is_own,
            (ClaimState::Unknown, ClaimState::Claimed) => is_own,
            _ => false,
        }
    }

    fn expect(&mut self, expect: Expect) -> JobStep {
        self.write.expect = expect;
        JobStep::Retry
    }
}
