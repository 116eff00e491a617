//! Release notes: an accepted note is obeyed by every host that takes new work.
//!
//! The processes run [`notes::NoteReplica`], the operator runs [`notes::AckTracker`]; only the network, the
//! table's rows and the time stand here. A step of time moves every kept time back, so time itself has no
//! end.

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
/// The present; older times end at zero.
const NOW: Monotonic = Duration::from_millis(LAPSE);
/// Freshness period, in steps of time.
const FRESHNESS: u64 = 1;
/// Lapse period, in steps of time.
const LAPSE: u64 = 2;
/// The region of all processes.
const REGION: &str = "r";

/// A fault built into the protocol, which exploration must find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// One acknowledgement fewer than the overlap needs.
    NoOverlap,
    /// An echo counts from when it was received.
    CountReceived,
    /// Acceptance follows the last acknowledgement at once.
    NoWait,
    /// Whatever run of a member acknowledged, it counts.
    AnyIncarnation,
    /// Acknowledgements are counted on the roster of the staged change.
    UnversionedRoster,
    /// A host that holds a staged change counts its peers on the head's roster alone.
    HeadRosterOnly,
    /// A host obeys the staged change alone.
    ObeyStagedOnly,
    /// A host obeys the head alone.
    ObeyHeadOnly,
    /// A minority goes on serving after the lapse period.
    NoLapse,
}

/// One step, also a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotesAction {
    /// Time passes.
    Tick,
    /// A process that runs beside an older one of its host starts and registers.
    Start(usize),
    /// A process ends and starts again at once.
    Restart(usize),
    /// The table answers a read; the answer is on its way.
    Read(usize),
    /// The answer arrives.
    ReadArrives(usize),
    /// A process sends its acknowledgement.
    Acknowledge(usize),
    /// The acknowledgement reaches the table.
    AcknowledgeLands(usize),
    /// A process probes another.
    Probe(usize, usize),
    /// The probe arrives and is answered.
    ProbeArrives(usize, usize),
    /// The echo arrives.
    EchoArrives(usize, usize),
    /// The operator stages the next change.
    Stage,
    /// The operator accepts.
    Accept,
    /// The operator gives up the staged change.
    Abandon,
}

/// What must hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotesInvariant {
    /// A host that takes new work obeys the accepted change.
    InForce,
    /// The head that a process knows never goes back.
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

    /// What a process learns of a staged change.
    fn staged(&self, head: HeadSeq, seq: HeadSeq) -> HeadChange {
        let mut known = self.known[seq as usize - 1].clone();
        if self.mutant == Some(Mutant::HeadRosterOnly) {
            known.terms = self.known[head as usize - 1].terms.clone();
        }
        known
    }

    fn with_known(mut self) -> Self {
        let seqs = 1..=self.rosters.len() as HeadSeq;
        let known = seqs.map(|seq| HeadChange {
            seq,
            version: seq,
            terms: self.terms(seq),
        });
        self.known = known.collect();
        self
    }

    fn acceptor(&self, accepted: HeadSeq, seq: HeadSeq) -> AckTracker {
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

    fn obeyed(&self, holder: &NoteReplica) -> Vec<HeadSeq> {
        let state = holder.state();
        match self.mutant {
            Some(Mutant::ObeyStagedOnly) => vec![state.staged.unwrap_or(state.head)],
            Some(Mutant::ObeyHeadOnly) => vec![state.head],
            _ => holder.enforced_changes(),
        }
    }

    fn is_in_force(&self, state: &NotesState) -> bool {
        let serving = state.holders.iter().flatten();
        serving
            .filter(|holder| holder.may_take_new_work(NOW))
            .all(|holder| self.obeyed(holder).contains(&state.accepted))
    }
}

impl Spec for NotesSpec {
    type State = NotesState;
    type Action = NotesAction;
    type Invariant = NotesInvariant;

    fn initial(&self) -> Vec<NotesState> {
        vec![self.first()]
    }

    fn steps(&self, state: &NotesState) -> Vec<(NotesAction, NotesState)> {
        let actions = self.actions(state);
        let taken = actions.into_iter().filter_map(|action| {
            let mut next = state.clone();
            self.take(&mut next, action)?;
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
