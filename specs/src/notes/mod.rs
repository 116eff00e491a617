//! Specification of release notes: every host that takes new work enforces the accepted note.
//!
//! The processes run [`notes::NoteReplica`] and the operator runs [`notes::AckTracker`]. This module models
//! only the network, the table's rows and time. The present is constant and a step of time moves every stored
//! time back, which keeps the number of states finite without a last time.

mod bounds;
mod state;
mod steps;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use notes::{AckTracker, HeadChange, HeadSeq, HostRow, NoteReplica, RegionRoster, Terms};
use utils::Monotonic;

use crate::Spec;

pub use bounds::{NotesSpec, Process};
pub use state::NotesState;

/// Length of one step of time.
const TICK: Duration = Duration::from_millis(1);
/// The present; times older than the lapse period saturate at zero.
const NOW: Monotonic = Duration::from_millis(LAPSE);
/// Freshness period, in steps of time.
const FRESHNESS: u64 = 1;
/// Lapse period, in steps of time.
const LAPSE: u64 = 2;
/// The region of all processes.
const REGION: &str = "r";

/// A fault built into the model, which the exploration must find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// The operator accepts with one acknowledgement fewer than the overlap of quorums requires.
    NoOverlap,
    /// A host counts an echo from its receipt instead of from the probe.
    CountReceived,
    /// The operator accepts immediately after the last acknowledgement.
    NoWait,
    /// The operator counts an acknowledgement of any incarnation of a member.
    AnyIncarnation,
    /// The operator counts acknowledgements on the roster of the staged change.
    UnversionedRoster,
    /// A host with a staged change counts its peers only on the head's roster.
    HeadRosterOnly,
    /// A host enforces only the staged change.
    EnforceStagedOnly,
    /// A host enforces only the head.
    EnforceHeadOnly,
    /// A minority continues to serve after the lapse period.
    NoLapse,
}

/// A step of the model: progress of a process, passage of time or a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotesAction {
    /// Time advances by one step.
    Tick,
    /// A process starts and registers while an older process of its host still runs.
    Start(usize),
    /// A process ends and restarts immediately.
    Restart(usize),
    /// The table answers a read; the answer is in flight.
    Read(usize),
    /// The answer to a read arrives.
    ReadArrives(usize),
    /// A process sends its acknowledgement.
    Acknowledge(usize),
    /// The acknowledgement reaches the table.
    AcknowledgementArrives(usize),
    /// A process probes another.
    Probe(usize, usize),
    /// The probe arrives and is answered.
    ProbeArrives(usize, usize),
    /// The echo arrives.
    EchoArrives(usize, usize),
    /// The operator stages the next change.
    Stage,
    /// The operator accepts the staged change.
    Accept,
    /// The operator abandons the staged change.
    Abandon,
}

/// A property that must hold in every state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotesInvariant {
    /// A host that takes new work enforces the accepted change.
    InForce,
    /// The head of a process never reverts to an earlier change.
    NeverReverts,
}

impl NotesSpec {
    fn terms(&self, seq: HeadSeq) -> Arc<Terms> {
        let members = &self.rosters[seq as usize - 1];
        let members = members.iter().map(|i| {
            let process = self.processes[*i];
            (process.host.into(), process.incarnation)
        });
        let roster = RegionRoster {
            serving: self.serving.min(members.len()),
            members: members.collect(),
        };
        Arc::new(Terms {
            freshness_ms: FRESHNESS,
            lapse_ms: self.lapse(),
            regions: [(REGION.into(), roster)].into(),
        })
    }

    fn lapse(&self) -> u64 {
        match self.mutant {
            Some(Mutant::NoLapse) => u64::MAX / 2,
            _ => LAPSE,
        }
    }

    /// Returns the staged change as a process receives it.
    fn staged(&self, head: HeadSeq, seq: HeadSeq) -> HeadChange {
        let mut change = self.head_changes[seq as usize - 1].clone();
        if self.mutant == Some(Mutant::HeadRosterOnly) {
            change.terms = self.head_changes[head as usize - 1].terms.clone();
        }
        change
    }

    fn with_head_changes(mut self) -> Self {
        let seqs = 1..=self.rosters.len() as HeadSeq;
        let changes = seqs.map(|seq| HeadChange {
            seq,
            version: seq,
            terms: self.terms(seq),
        });
        self.head_changes = changes.collect();
        self
    }

    fn ack_tracker(&self, accepted: HeadSeq, seq: HeadSeq) -> AckTracker {
        let on = match self.mutant {
            Some(Mutant::UnversionedRoster) => seq,
            _ => accepted,
        };
        let mut terms = self.terms(on);
        let changed = Arc::make_mut(&mut terms);
        changed.lapse_ms = LAPSE;
        match self.mutant {
            Some(Mutant::NoOverlap) => {
                changed
                    .regions
                    .values_mut()
                    .for_each(|roster| roster.serving += 1);
            }
            Some(Mutant::NoWait) => changed.freshness_ms = 0,
            _ => {}
        }
        AckTracker::new(seq, terms, NOW)
    }

    fn rows(&self, state: &NotesState) -> Vec<HostRow> {
        let rows = state.rows.iter();
        rows.map(|(host, (incarnation, acknowledged, are_earlier_ended))| HostRow {
            host: (*host).into(),
            incarnation: match self.mutant {
                Some(Mutant::AnyIncarnation) => 1,
                _ => *incarnation,
            },
            region: REGION.into(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            acknowledged: *acknowledged,
            is_stopped: false,
            are_earlier_ended: *are_earlier_ended,
        })
        .collect()
    }

    fn enforced(&self, replica: &NoteReplica) -> Vec<HeadSeq> {
        let state = replica.state();
        match self.mutant {
            Some(Mutant::EnforceStagedOnly) => vec![state.staged.unwrap_or(state.head)],
            Some(Mutant::EnforceHeadOnly) => vec![state.head],
            _ => replica.enforced_changes(),
        }
    }

    fn is_in_force(&self, state: &NotesState) -> bool {
        let serving = state.replicas.iter().flatten();
        serving
            .filter(|replica| replica.may_take_new_work(NOW))
            .all(|replica| self.enforced(replica).contains(&state.accepted))
    }
}

impl Spec for NotesSpec {
    type State = NotesState;
    type Action = NotesAction;
    type Invariant = NotesInvariant;

    fn initial(&self) -> Vec<NotesState> {
        vec![self.initial_state()]
    }

    fn steps(&self, state: &NotesState) -> Vec<(NotesAction, NotesState)> {
        let actions = self.actions(state);
        let taken = actions.into_iter().filter_map(|action| {
            let mut next = state.clone();
            self.apply(&mut next, action)?;
            (next != *state).then_some((action, next))
        });
        taken.collect()
    }

    fn violated(&self, state: &NotesState) -> Option<NotesInvariant> {
        if state.is_reverted {
            return Some(NotesInvariant::NeverReverts);
        }
        (!self.is_in_force(state)).then_some(NotesInvariant::InForce)
    }
}
