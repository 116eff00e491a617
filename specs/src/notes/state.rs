use std::collections::BTreeMap;

use notes::{AckTracker, HeadSeq, NoteEcho, NoteReplica};
use utils::Monotonic;

use super::{NOW, TICK};

/// A message between two processes, which may be late or lost. Duplicates are not modelled because the
/// receiver ignores them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Packet {
    /// A probe in flight.
    Probe,
    /// An echo in flight.
    Echo(NoteEcho),
}

/// The table's answer to a read of the head row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Answer {
    /// Time at which the process sent the read.
    pub(super) sent: Monotonic,
    /// Version of the row.
    pub(super) revision: u64,
    /// The accepted change.
    pub(super) head: HeadSeq,
    /// The staged change.
    pub(super) staged: Option<HeadSeq>,
}

/// State of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct NotesState {
    /// Replica of each process; `None` before the process starts.
    pub(super) replicas: Vec<Option<NoteReplica>>,
    /// Incarnation of each process.
    pub(super) incarnations: Vec<u64>,
    /// The last accepted change.
    pub(super) accepted: HeadSeq,
    /// The staged change.
    pub(super) staged: Option<HeadSeq>,
    /// Highest change that has been staged.
    pub(super) last_seq: HeadSeq,
    /// Version of the head row.
    pub(super) revision: u64,
    /// Row of each host: incarnation, acknowledged change, and whether all earlier processes have ended.
    pub(super) rows: BTreeMap<&'static str, (u64, HeadSeq, bool)>,
    /// Answer of the table in flight to each process.
    pub(super) reads: Vec<Option<Answer>>,
    /// Acknowledgement of each process in flight to the table, with the incarnation that sent it.
    pub(super) acks: Vec<Option<(u64, HeadSeq)>>,
    /// Packets in flight, by sender and receiver of the probe.
    pub(super) packets: BTreeMap<(usize, usize), Packet>,
    /// The operator's count of acknowledgements while a change is staged.
    pub(super) ack_tracker: Option<AckTracker>,
    /// Whether a process's head reverted to an earlier change.
    pub(super) is_reverted: bool,
    /// Whether the single restart has happened.
    pub(super) is_restarted: bool,
}

impl NotesState {
    /// Returns the last accepted change.
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

    pub(super) fn advance_time(&mut self) {
        self.replicas
            .iter_mut()
            .flatten()
            .for_each(|replica| replica.shift_times_back(TICK));
        self.ack_tracker
            .iter_mut()
            .for_each(|ack_tracker| ack_tracker.shift_times_back(TICK));
        for answer in self.reads.iter_mut().flatten() {
            answer.sent = answer.sent.saturating_sub(TICK);
        }
    }

    pub(super) fn acknowledge(&mut self, i: usize) -> Option<()> {
        let seq = self.replicas[i].as_ref()?.unacknowledged()?;
        self.acks[i] = Some((self.incarnations[i], seq));
        Some(())
    }

    pub(super) fn deliver_probe(&mut self, from: usize, to: usize) -> Option<()> {
        let replica = self.replicas[to].as_ref()?;
        let echo = NoteEcho {
            nonce: 1,
            incarnation: self.incarnations[to],
            state: replica.state(),
        };
        self.packets.insert((from, to), Packet::Echo(echo));
        Some(())
    }

    pub(super) fn accept(&mut self) -> Option<()> {
        let is_ready = self.ack_tracker.as_ref()?.is_ready(NOW);
        let staged = self.staged.filter(|_| is_ready)?;
        self.accepted = staged;
        self.staged = None;
        self.ack_tracker = None;
        self.revision += 1;
        Some(())
    }

    pub(super) fn abandon(&mut self) -> Option<()> {
        self.staged.take()?;
        self.ack_tracker = None;
        self.revision += 1;
        Some(())
    }
}
