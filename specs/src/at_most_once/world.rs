use errors::Outcome;
use ledger::{Attempt, ClaimRow, ClaimState, Effect, Job, RowWrite, StoredClaim, WriteResult};
use metadata::{Expect, RowVersion};

use super::CallInvariant;

/// Number of entry hosts.
pub(crate) const HOSTS: usize = 2;
/// Maximum number of attempts.
pub(crate) const MAX_ATTEMPTS: usize = 3;
/// Last value of the clock, in steps; a claim is valid for one step.
pub(crate) const MAX_TIME: u64 = 2;

/// A fault built into the model, which the exploration must find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallMutant {
    /// A host takes a lost answer to its write as a granted claim.
    SkipReadBack,
    /// A host does not check the deadline before it sends the first byte.
    DispatchAfterLapse,
    /// A host abandons a claim that another host holds.
    AbandonOthers,
    /// A host sends a call again after its answer is lost.
    RetryAfterDispatch,
    /// The row of an abandoned claim is deleted.
    DeleteAbandoned,
    /// A host reports `not-run` when the target's answer is lost.
    GuessNotRun,
}

/// State of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct World {
    /// Row of the call and its version.
    pub(crate) row: Option<(ClaimRow, RowVersion)>,
    /// Version that the last write produced.
    pub(crate) version: RowVersion,
    /// The entry hosts.
    pub(crate) hosts: [Host; HOSTS],
    /// Writes that may still take effect although their sender no longer waits for the answer.
    pub(crate) late_writes: Vec<RowWrite>,
    /// Attempts whose call was sent and has not reached the target.
    pub(crate) in_flight: Vec<u8>,
    /// Number of times that each attempt ran.
    pub(crate) run_counts: [u8; MAX_ATTEMPTS],
    /// Outcome that the caller of each attempt received.
    pub(crate) reported: [Option<Outcome>; MAX_ATTEMPTS],
    /// Whether a call was sent after its claim's deadline.
    pub(crate) is_sent_late: bool,
    /// The clock, in steps.
    pub(crate) now: u64,
    /// Number of attempts so far.
    pub(crate) attempts: u8,
    /// Number of answers that may still be lost or late.
    pub(crate) losses: u8,
    /// Number of times that a host may still be replaced.
    pub(crate) replacements: u8,
}

/// An entry host.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Host {
    /// Incarnation of the process.
    pub(crate) incarnation: u64,
    /// The attempt in progress.
    pub(crate) attempt: Option<ActiveAttempt>,
    /// Pending background writes.
    pub(crate) jobs: Vec<Job>,
}

/// An attempt in progress.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct ActiveAttempt {
    /// Number of the attempt.
    pub(crate) number: u8,
    /// The daemon's state of the attempt.
    pub(crate) call: Attempt,
    /// Effect to carry out next.
    pub(crate) next: Effect,
}

/// A step of the model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorldAction {
    /// The caller sends the call to a host.
    Arrive { host: usize, number: u8 },
    /// A write takes effect and its answer arrives.
    Write { host: usize },
    /// A write takes effect and its answer is lost.
    WriteThenLose { host: usize },
    /// The sender stops waiting for a write, which may take effect later.
    Delay { host: usize },
    /// The table service is unreachable.
    StoreFails { host: usize },
    /// A host reads the row; with `is_suspected` it takes the claim's holder for failed.
    Read { host: usize, is_suspected: bool },
    /// A host is about to send the first byte.
    Send { host: usize },
    /// The caller disconnects before anything was sent.
    Cancel { host: usize },
    /// The target's answer arrives.
    Answer { host: usize },
    /// The target refuses the call.
    RefusedByTarget { host: usize },
    /// The connection to the target breaks and the answer is lost.
    LoseAnswer { host: usize },
    /// A host queries the target; `can_answer` states whether the target still has a record of the call.
    QueryTarget { host: usize, can_answer: bool },
    /// A late write takes effect; with `is_duplicate` it stays pending and may take effect again.
    LateWrite { index: usize, is_duplicate: bool },
    /// A host makes a background write.
    RunJob { host: usize, is_answer_lost: bool },
    /// The target runs a call.
    Run { number: u8 },
    /// A host's process ends and a new process with the same name starts.
    Replace { host: usize },
    /// The clock advances by one step, also while hosts are paused.
    Tick,
}

impl World {
    pub(crate) fn new(losses: u8, replacements: u8) -> Self {
        let host = Host {
            incarnation: 0,
            attempt: None,
            jobs: Vec::new(),
        };
        Self {
            row: None,
            version: 0,
            hosts: [host.clone(), host],
            late_writes: Vec::new(),
            in_flight: Vec::new(),
            run_counts: [0; MAX_ATTEMPTS],
            reported: [None; MAX_ATTEMPTS],
            is_sent_late: false,
            now: 0,
            attempts: 0,
            losses,
            replacements,
        }
    }

    /// Applies a conditional write to the row.
    pub(crate) fn apply(&mut self, write: &RowWrite, mutant: Option<CallMutant>) -> WriteResult {
        let version = self.row.as_ref().map(|(_, version)| *version);
        let holds = match write.expect {
            Expect::Absent => version.is_none(),
            Expect::Version(expected) => version == Some(expected),
        };
        if !holds {
            return WriteResult::Refused(self.found(false));
        }
        self.version += 1;
        self.row = Some((write.row.clone(), self.version));
        if mutant == Some(CallMutant::DeleteAbandoned) && write.row.state == ClaimState::Abandoned {
            self.row = None;
        }
        WriteResult::Applied(self.version)
    }

    /// Returns the row as a host reads it; with `is_suspected` a running holder appears failed.
    pub(crate) fn found(&self, is_suspected: bool) -> Option<StoredClaim> {
        let (row, version) = self.row.as_ref()?;
        Some(StoredClaim {
            is_holder_alive: self.is_alive(row) && !is_suspected,
            row: row.clone(),
            version: *version,
        })
    }

    fn is_alive(&self, row: &ClaimRow) -> bool {
        let host = &self.hosts[host_index(row)];
        host.incarnation == row.holder.incarnation
    }

    /// Returns whether the state violates an invariant.
    pub(crate) fn violates(&self, invariant: CallInvariant) -> bool {
        let runs: u8 = self.run_counts.iter().sum();
        match invariant {
            CallInvariant::RunsAtMostOnce => runs > 1,
            CallInvariant::NotRunIsTrue => (0..MAX_ATTEMPTS).any(|i| self.is_false_not_run(i)),
            CallInvariant::RanIsTrue => runs == 0 && self.reported.contains(&Some(Outcome::Ran)),
            CallInvariant::SentInTime => self.is_sent_late,
            CallInvariant::NoLeakedClaim => self.has_leaked_claim(),
        }
    }

    fn is_false_not_run(&self, i: usize) -> bool {
        let may_run = self.run_counts[i] > 0 || self.in_flight.contains(&(i as u8));
        self.reported[i] == Some(Outcome::NotRun) && may_run
    }

    fn has_leaked_claim(&self) -> bool {
        let is_busy = |host: &Host| host.attempt.is_some() || !host.jobs.is_empty();
        if self.hosts.iter().any(is_busy) || !self.late_writes.is_empty() || !self.in_flight.is_empty() {
            return false;
        }
        let left = self.row.as_ref().map(|(row, _)| row);
        left.is_some_and(|row| row.state == ClaimState::Claimed && self.is_alive(row))
    }

    /// Returns the name of a host, which is its number.
    pub(crate) fn host_name(host: usize) -> String {
        host.to_string()
    }

    /// Returns whether any attempt ran.
    pub(crate) fn has_run(&self) -> bool {
        self.run_counts.iter().any(|runs| *runs > 0)
    }

    /// Sorts the collections whose order has no meaning, so that equivalent states compare equal.
    pub(crate) fn normalize(&mut self) {
        self.in_flight.sort_unstable();
        self.late_writes
            .sort_by_cached_key(|write| (write.row.attempt, format!("{:?}", write.expect)));
        self.late_writes.dedup();
    }
}

fn host_index(row: &ClaimRow) -> usize {
    row.holder.host.parse().unwrap_or_default()
}
