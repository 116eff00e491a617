use errors::Outcome;
use ledger::{ClaimRow, ClaimState, Effect, Found, Job, RowWrite, Try, WriteResult};
use metadata::{Expect, RowVersion};

use super::CallInvariant;

/// Number of entry hosts.
pub(crate) const HOSTS: usize = 2;
/// Most tries.
pub(crate) const MAX_TRIES: usize = 3;
/// Last moment of the clock; claims are valid for one step of it.
pub(crate) const LAST_MOMENT: u64 = 2;

/// A fault of the code that the exploration must find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallMutant {
    /// A lost answer counts as a claim.
    SkipReadBack,
    /// The deadline is not checked before the first byte.
    DispatchAfterLapse,
    /// A claim that another host holds is given up for it.
    AbandonOthers,
    /// A call whose answer is lost is sent again.
    RetryAfterDispatch,
    /// The row of a claim that is given up is removed.
    DeleteAbandoned,
    /// The caller is told `not-run` when the target's answer is lost.
    GuessNotRun,
}

/// Everything that decides what happens next.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct World {
    /// The call's row with its version.
    pub(crate) row: Option<(ClaimRow, RowVersion)>,
    /// Version of the last write.
    pub(crate) version: RowVersion,
    /// Entry hosts.
    pub(crate) hosts: [Host; HOSTS],
    /// Writes whose sender has stopped waiting.
    pub(crate) late: Vec<RowWrite>,
    /// Calls on their way to the target.
    pub(crate) arriving: Vec<u8>,
    /// Times that each try ran.
    pub(crate) ran: [u8; MAX_TRIES],
    /// What each try's caller was told.
    pub(crate) told: [Option<Outcome>; MAX_TRIES],
    /// Whether a call was sent after its claim's deadline.
    pub(crate) is_sent_late: bool,
    /// The clock.
    pub(crate) now: u64,
    /// Tries so far.
    pub(crate) tries: u8,
    /// Losses left.
    pub(crate) losses: u8,
    /// Replacements left.
    pub(crate) kills: u8,
}

/// An entry host.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Host {
    /// The run of the process.
    pub(crate) incarnation: u64,
    /// The try under way.
    pub(crate) open: Option<OpenTry>,
    /// Background writes.
    pub(crate) jobs: Vec<Job>,
}

/// A try under way.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct OpenTry {
    /// Number of the try.
    pub(crate) number: u8,
    /// The daemon's state of it.
    pub(crate) call: Try,
    /// What it does next.
    pub(crate) next: Effect,
}

/// One step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorldAction {
    /// The caller sends the call to a host.
    Arrive { host: usize, number: u8 },
    /// A write takes effect and is answered.
    Write { host: usize },
    /// A write takes effect and its answer is lost.
    WriteThenLose { host: usize },
    /// The sender stops waiting for a write that may take effect later.
    Delay { host: usize },
    /// The table service is out of reach.
    StoreFails { host: usize },
    /// The row is read.
    Read { host: usize, is_suspected: bool },
    /// The first byte is about to be sent.
    Send { host: usize },
    /// The caller is gone before anything was sent.
    GiveUp { host: usize },
    /// The answer comes, or the target shows that it did not run the call.
    Answer { host: usize },
    /// The target refuses the call.
    RefusedByTarget { host: usize },
    /// The connection breaks.
    LoseAnswer { host: usize },
    /// The target is asked; `can_say` tells whether it remembers.
    Ask { host: usize, can_say: bool },
    /// A late write reaches the table service; a duplicate stays under way.
    LateWrite { index: usize, is_duplicate: bool },
    /// A background write is made.
    Job { host: usize, is_answer_lost: bool },
    /// The target runs a call.
    Run { number: u8 },
    /// The process ends and a new one takes its name.
    Replace { host: usize },
    /// Time passes; all hosts may have been paused.
    Tick,
}

impl World {
    pub(crate) fn new(losses: u8, kills: u8) -> Self {
        let host = Host {
            incarnation: 0,
            open: None,
            jobs: Vec::new(),
        };
        Self {
            row: None,
            version: 0,
            hosts: [host.clone(), host],
            late: Vec::new(),
            arriving: Vec::new(),
            ran: [0; MAX_TRIES],
            told: [None; MAX_TRIES],
            is_sent_late: false,
            now: 0,
            tries: 0,
            losses,
            kills,
        }
    }

    /// Makes a conditional write.
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

    /// The row as a host reads it; a living holder may be suspected wrongly.
    pub(crate) fn found(&self, is_suspected: bool) -> Option<Found> {
        let (row, version) = self.row.as_ref()?;
        Some(Found {
            is_holder_alive: self.is_alive(row) && !is_suspected,
            row: row.clone(),
            version: *version,
        })
    }

    fn is_alive(&self, row: &ClaimRow) -> bool {
        let host = &self.hosts[host_index(row)];
        host.incarnation == row.holder.incarnation
    }

    /// Whether an invariant does not hold.
    pub(crate) fn breaks(&self, invariant: CallInvariant) -> bool {
        let runs: u8 = self.ran.iter().sum();
        match invariant {
            CallInvariant::RunsAtMostOnce => runs > 1,
            CallInvariant::NotRunIsTrue => (0..MAX_TRIES).any(|i| self.is_false_not_run(i)),
            CallInvariant::RanIsTrue => runs == 0 && self.told.contains(&Some(Outcome::Ran)),
            CallInvariant::SentInTime => self.is_sent_late,
            CallInvariant::NoClaimLeftOver => self.has_claim_left_over(),
        }
    }

    fn is_false_not_run(&self, i: usize) -> bool {
        let may_run = self.ran[i] > 0 || self.arriving.contains(&(i as u8));
        self.told[i] == Some(Outcome::NotRun) && may_run
    }

    fn has_claim_left_over(&self) -> bool {
        let is_busy = |host: &Host| host.open.is_some() || !host.jobs.is_empty();
        if self.hosts.iter().any(is_busy) || !self.late.is_empty() || !self.arriving.is_empty() {
            return false;
        }
        let left = self.row.as_ref().map(|(row, _)| row);
        left.is_some_and(|row| row.state == ClaimState::Claimed && self.is_alive(row))
    }

    /// Names of hosts are their numbers.
    pub(crate) fn host_name(host: usize) -> String {
        host.to_string()
    }

    /// Whether any try ran.
    pub(crate) fn has_run(&self) -> bool {
        self.ran.iter().any(|runs| *runs > 0)
    }

    /// Makes states equal that differ only in the order of what has none.
    pub(crate) fn normalize(&mut self) {
        self.arriving.sort_unstable();
        self.late
            .sort_by_cached_key(|write| (write.row.attempt, format!("{:?}", write.expect)));
        self.late.dedup();
    }
}

fn host_index(row: &ClaimRow) -> usize {
    row.holder.host.parse().unwrap_or_default()
}
