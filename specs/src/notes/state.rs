use std::collections::BTreeMap;

use notes::{AckTracker, HeadSeq, NoteEcho, NoteReplica};
use utils::Monotonic;

use super::{NOW, TICK};

/// A message between two processes; it may be late or lost. The receiver ignores a second copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Packet {
    /// A probe on its way.
    Probe,
    /// An echo on its way.
    Echo(NoteEcho),
}

/// The table's answer to a read of the head row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Answer {
    /// When the process asked.
    pub(super) sent: Monotonic,
    /// Version of the row.
    pub(super) revision: u64,
    /// The accepted change.
    pub(super) head: HeadSeq,
    /// The staged change.
    pub(super) staged: Option<HeadSeq>,
}

/// Everything that decides what happens next.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct NotesState {
    /// The processes; `None` before the start.
    pub(super) holders: Vec<Option<NoteReplica>>,
    /// Run of each process.
    pub(super) incarnations: Vec<u64>,
    /// The last accepted change.
    pub(super) accepted: HeadSeq,
    /// The staged change.
    pub(super) staged: Option<HeadSeq>,
    /// Highest change that was ever staged.
    pub(super) last_seq: HeadSeq,
    /// Version of the head row.
    pub(super) revision: u64,
    /// Rows of the hosts.
    pub(super) rows: BTreeMap<&'static str, (u64, HeadSeq, bool)>,
    /// Answers of the table that are on their way to a process.
    pub(super) reads: Vec<Option<Answer>>,
    /// Acknowledgements that are on their way to the table, with the run that sent each.
    pub(super) acks: Vec<Option<(u64, HeadSeq)>>,
    /// Packets between processes, by sender of the probe and receiver.
    pub(super) packets: BTreeMap<(usize, usize), Packet>,
    /// The operator.
    pub(super) acceptor: Option<AckTracker>,
    /// Whether a host's head went back.
    pub(super) is_reverted: bool,
    /// Whether the one restart has happened.
    pub(super) is_restarted: bool,
}

impl NotesState {
    /// The last accepted change.
    pub fn accepted(&self) -> HeadSeq {
        self.accepted
    }

    pub(super) fn answer(&self) -> Answer {
        Answer {
            sent: NOW,
            revision: self.revision,
            head: self.accepted,
            staged: self.staged,
        }
    }

    pub(super) fn tick(&mut self) {
        self.holders
            .iter_mut()
            .flatten()
            .for_each(|holder| holder.shift_times_back(TICK));
        self.acceptor
            .iter_mut()
            .for_each(|acceptor| acceptor.shift_times_back(TICK));
        for answer in self.reads.iter_mut().flatten() {
            answer.sent = answer.sent.saturating_sub(TICK);
        }
    }

    pub(super) fn acknowledge(&mut self, i: usize) -> Option<()> {
        let seq = self.holders[i].as_ref()?.unacknowledged()?;
        self.acks[i] = Some((self.incarnations[i], seq));
        Some(())
    }

    pub(super) fn probe_arrives(&mut self, from: usize, to: usize) -> Option<()> {
        let holder = self.holders[to].as_ref()?;
        let echo = NoteEcho {
            nonce: 1,
            incarnation: self.incarnations[to],
            state: holder.state(),
        };
        self.packets.insert((from, to), Packet::Echo(echo));
        Some(())
    }

    pub(super) fn accept(&mut self) -> Option<()> {
        let is_ready = self.acceptor.as_ref()?.is_ready(NOW);
        let staged = self.staged.filter(|_| is_ready)?;
        self.accepted = staged;
        self.staged = None;
        self.acceptor = None;
        self.revision += 1;
        Some(())
    }

    pub(super) fn abandon(&mut self) -> Option<()> {
        self.staged.take()?;
        self.acceptor = None;
        self.revision += 1;
        Some(())
    }
}
