use std::collections::BTreeMap;
use std::sync::Arc;

use notes::{HeadRead, HeadSeq, NoteReplica};

use super::bounds::Process;
use super::state::{NotesState, Packet};
use super::{Mutant, NOW, NotesAction, NotesSpec, REGION};

impl NotesSpec {
    pub(super) fn initial_state(&self) -> NotesState {
        let replicas = self
            .processes
            .iter()
            .map(|p| p.from_start.then(|| self.started_replica(p)));
        let rows = self.processes.iter().filter(|p| p.from_start);
        NotesState {
            replicas: replicas.collect(),
            incarnations: self.processes.iter().map(|p| p.incarnation).collect(),
            accepted: 1,
            staged: None,
            last_seq: 1,
            revision: 1,
            rows: rows.map(|p| (p.host, (p.incarnation, 0, true))).collect(),
            reads: vec![None; self.processes.len()],
            acks: vec![None; self.processes.len()],
            packets: BTreeMap::new(),
            ack_tracker: None,
            is_reverted: false,
            is_restarted: false,
        }
    }

    /// Returns the replica of a process that has just read the first head.
    pub(super) fn started_replica(&self, process: &Process) -> NoteReplica {
        let mut replica = NoteReplica::new(process.host.into(), process.incarnation, REGION.into());
        let head_read = self.head_read(1, 1, None);
        replica.on_head_read(NOW, &head_read);
        replica
    }

    pub(super) fn head_read(&self, revision: u64, head: HeadSeq, staged: Option<HeadSeq>) -> HeadRead {
        HeadRead {
            revision,
            head: self.head_changes[head as usize - 1].clone(),
            staged: staged.map(|seq| self.staged(head, seq)),
        }
    }

    pub(super) fn actions(&self, state: &NotesState) -> Vec<NotesAction> {
        let mut actions = vec![NotesAction::Tick, NotesAction::Stage, NotesAction::Accept];
        if self.with_abandon {
            actions.push(NotesAction::Abandon);
        }
        for i in 0..self.processes.len() {
            actions.extend([NotesAction::Start(i), NotesAction::ReadArrives(i)]);
            if self.with_late_acks {
                actions.extend([
                    NotesAction::Acknowledge(i),
                    NotesAction::AcknowledgementArrives(i),
                ]);
            }
            if self.readers.contains(&i) {
                actions.push(NotesAction::Read(i));
            }
            if self.with_restart {
                actions.push(NotesAction::Restart(i));
            }
        }
        actions.extend(
            self.probes
                .iter()
                .map(|(from, to)| NotesAction::Probe(*from, *to)),
        );
        for ((from, to), packet) in &state.packets {
            actions.push(match packet {
                Packet::Probe => NotesAction::ProbeArrives(*from, *to),
                Packet::Echo(_) => NotesAction::EchoArrives(*from, *to),
            });
        }
        actions
    }

    /// Applies a step; returns `None` if the step is not possible.
    pub(super) fn apply(&self, state: &mut NotesState, action: NotesAction) -> Option<()> {
        match action {
            NotesAction::Tick => state.advance_time(),
            NotesAction::Start(i) => self.start(state, i)?,
            NotesAction::Restart(i) => self.restart(state, i)?,
            NotesAction::Read(i) => self.read(state, i)?,
            NotesAction::ReadArrives(i) => self.deliver_read(state, i)?,
            NotesAction::Acknowledge(i) => state.acknowledge(i)?,
            NotesAction::AcknowledgementArrives(i) => self.deliver_acknowledgement(state, i)?,
            NotesAction::Probe(from, to) => self.probe(state, from, to)?,
            NotesAction::ProbeArrives(from, to) => state.deliver_probe(from, to)?,
            NotesAction::EchoArrives(from, to) => self.deliver_echo(state, from, to)?,
            NotesAction::Stage => self.stage(state)?,
            NotesAction::Accept => state.accept()?,
            NotesAction::Abandon => state.abandon()?,
        }
        Some(())
    }

    pub(super) fn start(&self, state: &mut NotesState, i: usize) -> Option<()> {
        let process = self.processes[i];
        if process.from_start || state.replicas[i].is_some() {
            return None;
        }
        let replica = NoteReplica::new(process.host.into(), process.incarnation, REGION.into());
        state.replicas[i] = Some(replica);
        state.rows.insert(process.host, (process.incarnation, 0, false));
        state.reads[i] = Some(state.answer());
        self.observe_rows(state);
        Some(())
    }

    pub(super) fn restart(&self, state: &mut NotesState, i: usize) -> Option<()> {
        if state.is_restarted {
            return None;
        }
        let incarnation = state.incarnations[i] + 10;
        state.incarnations[i] = incarnation;
        state.is_restarted = true;
        state.replicas[i] = Some(NoteReplica::new(
            self.processes[i].host.into(),
            incarnation,
            REGION.into(),
        ));
        state.rows.insert(self.processes[i].host, (incarnation, 0, true));
        state.reads[i] = Some(state.answer());
        self.observe_rows(state);
        Some(())
    }

    pub(super) fn read(&self, state: &mut NotesState, i: usize) -> Option<()> {
        state.replicas[i].as_ref()?;
        state.reads[i] = Some(state.answer());
        match self.late_readers.contains(&i) {
            true => Some(()),
            false => self.deliver_read(state, i),
        }
    }

    pub(super) fn deliver_read(&self, state: &mut NotesState, i: usize) -> Option<()> {
        let answer = state.reads[i].take()?;
        let head_read = self.head_read(answer.revision, answer.head, answer.staged);
        let replica = state.replicas[i].as_mut()?;
        let before = replica.state().head;
        replica.on_head_read(answer.sent, &head_read);
        state.is_reverted |= replica.state().head < before;
        if !self.with_late_acks && state.acknowledge(i).is_some() {
            self.deliver_acknowledgement(state, i)?;
        }
        Some(())
    }

    pub(super) fn deliver_acknowledgement(&self, state: &mut NotesState, i: usize) -> Option<()> {
        let (incarnation, seq) = state.acks[i].take()?;
        let row = state.rows.get_mut(self.processes[i].host)?;
        let is_fenced = row.0 != incarnation && self.mutant != Some(Mutant::AnyIncarnation);
        if !is_fenced {
            row.1 = row.1.max(seq);
        }
        if let Some(replica) = state.replicas[i].as_mut()
            && state.incarnations[i] == incarnation
            && !is_fenced
        {
            replica.on_acknowledged(seq);
        }
        self.observe_rows(state);
        Some(())
    }

    pub(super) fn probe(&self, state: &mut NotesState, from: usize, to: usize) -> Option<()> {
        let peer = self.processes[to].host.into();
        state.replicas[from].as_mut()?.on_probe(NOW, peer, 1);
        state.packets.insert((from, to), Packet::Probe);
        Some(())
    }

    pub(super) fn deliver_echo(&self, state: &mut NotesState, from: usize, to: usize) -> Option<()> {
        let Packet::Echo(echo) = *state.packets.get(&(from, to))? else {
            return None;
        };
        let peer: Arc<str> = self.processes[to].host.into();
        let replica = state.replicas[from].as_mut()?;
        let before = replica.state().head;
        if self.mutant == Some(Mutant::CountReceived) {
            replica.on_probe(NOW, peer.clone(), echo.nonce);
        }
        replica.on_echo(&peer, &echo);
        state.packets.remove(&(from, to));
        state.is_reverted |= replica.state().head < before;
        Some(())
    }

    pub(super) fn stage(&self, state: &mut NotesState) -> Option<()> {
        if state.staged.is_some() || state.last_seq as usize >= self.rosters.len() {
            return None;
        }
        state.last_seq += 1;
        state.staged = Some(state.last_seq);
        state.revision += 1;
        state.ack_tracker = Some(self.ack_tracker(state.accepted, state.last_seq));
        self.observe_rows(state);
        Some(())
    }

    /// Passes the hosts' rows to the operator, who thereby observes every change of them at the earliest
    /// possible time.
    pub(super) fn observe_rows(&self, state: &mut NotesState) {
        let rows = self.rows(state);
        if let Some(ack_tracker) = &mut state.ack_tracker {
            ack_tracker.on_hosts(NOW, &rows);
        }
    }
}
