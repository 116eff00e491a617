use std::collections::BTreeMap;
use std::sync::Arc;

use notes::{HeadRead, HeadSeq, NoteReplica};

use super::bounds::Process;
use super::state::{NotesState, Packet};
use super::{Mutant, NOW, NotesAction, NotesSpec, REGION};

impl NotesSpec {
    pub(super) fn first(&self) -> NotesState {
        let holders = self
            .processes
            .iter()
            .map(|p| p.from_start.then(|| self.started(p)));
        let rows = self.processes.iter().filter(|p| p.from_start);
        NotesState {
            holders: holders.collect(),
            incarnations: self.processes.iter().map(|p| p.incarnation).collect(),
            accepted: 1,
            staged: None,
            last_seq: 1,
            revision: 1,
            rows: rows.map(|p| (p.host, (p.incarnation, 0, true))).collect(),
            reads: vec![None; self.processes.len()],
            acks: vec![None; self.processes.len()],
            packets: BTreeMap::new(),
            acceptor: None,
            is_reverted: false,
            is_restarted: false,
        }
    }

    /// A process that has read the first head just now.
    pub(super) fn started(&self, process: &Process) -> NoteReplica {
        let mut holder = NoteReplica::new(process.host.into(), process.incarnation, REGION.into());
        let reading = self.reading(1, 1, None);
        holder.on_head_read(NOW, &reading);
        holder
    }

    pub(super) fn reading(&self, revision: u64, head: HeadSeq, staged: Option<HeadSeq>) -> HeadRead {
        HeadRead {
            revision,
            head: self.known[head as usize - 1].clone(),
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
            if self.with_late_acknowledgements {
                actions.extend([NotesAction::Acknowledge(i), NotesAction::AcknowledgeLands(i)]);
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

    /// Takes a step; `None` if it is not possible.
    pub(super) fn take(&self, state: &mut NotesState, action: NotesAction) -> Option<()> {
        match action {
            NotesAction::Tick => state.tick(),
            NotesAction::Start(i) => self.start(state, i)?,
            NotesAction::Restart(i) => self.restart(state, i)?,
            NotesAction::Read(i) => self.read(state, i)?,
            NotesAction::ReadArrives(i) => self.read_arrives(state, i)?,
            NotesAction::Acknowledge(i) => state.acknowledge(i)?,
            NotesAction::AcknowledgeLands(i) => self.acknowledge_lands(state, i)?,
            NotesAction::Probe(from, to) => self.probe(state, from, to)?,
            NotesAction::ProbeArrives(from, to) => state.probe_arrives(from, to)?,
            NotesAction::EchoArrives(from, to) => self.echo_arrives(state, from, to)?,
            NotesAction::Stage => self.stage(state)?,
            NotesAction::Accept => state.accept()?,
            NotesAction::Abandon => state.abandon()?,
        }
        Some(())
    }

    pub(super) fn start(&self, state: &mut NotesState, i: usize) -> Option<()> {
        let process = self.processes[i];
        if process.from_start || state.holders[i].is_some() {
            return None;
        }
        let holder = NoteReplica::new(process.host.into(), process.incarnation, REGION.into());
        state.holders[i] = Some(holder);
        state.rows.insert(process.host, (process.incarnation, 0, false));
        state.reads[i] = Some(state.answer());
        self.poll(state);
        Some(())
    }

    pub(super) fn restart(&self, state: &mut NotesState, i: usize) -> Option<()> {
        if state.is_restarted {
            return None;
        }
        let incarnation = state.incarnations[i] + 10;
        state.incarnations[i] = incarnation;
        state.is_restarted = true;
        state.holders[i] = Some(NoteReplica::new(
            self.processes[i].host.into(),
            incarnation,
            REGION.into(),
        ));
        state.rows.insert(self.processes[i].host, (incarnation, 0, true));
        state.reads[i] = Some(state.answer());
        self.poll(state);
        Some(())
    }

    pub(super) fn read(&self, state: &mut NotesState, i: usize) -> Option<()> {
        state.holders[i].as_ref()?;
        state.reads[i] = Some(state.answer());
        match self.late_readers.contains(&i) {
            true => Some(()),
            false => self.read_arrives(state, i),
        }
    }

    pub(super) fn read_arrives(&self, state: &mut NotesState, i: usize) -> Option<()> {
        let answer = state.reads[i].take()?;
        let reading = self.reading(answer.revision, answer.head, answer.staged);
        let holder = state.holders[i].as_mut()?;
        let before = holder.state().head;
        holder.on_head_read(answer.sent, &reading);
        state.is_reverted |= holder.state().head < before;
        if !self.with_late_acknowledgements && state.acknowledge(i).is_some() {
            self.acknowledge_lands(state, i)?;
        }
        Some(())
    }

    pub(super) fn acknowledge_lands(&self, state: &mut NotesState, i: usize) -> Option<()> {
        let (incarnation, seq) = state.acks[i].take()?;
        let row = state.rows.get_mut(self.processes[i].host)?;
        let is_fenced = row.0 != incarnation && self.mutant != Some(Mutant::AnyIncarnation);
        if !is_fenced {
            row.1 = row.1.max(seq);
        }
        if let Some(holder) = state.holders[i].as_mut()
            && state.incarnations[i] == incarnation
            && !is_fenced
        {
            holder.on_acknowledged(seq);
        }
        self.poll(state);
        Some(())
    }

    pub(super) fn probe(&self, state: &mut NotesState, from: usize, to: usize) -> Option<()> {
        let peer = self.processes[to].host.into();
        state.holders[from].as_mut()?.on_probe(NOW, peer, 1);
        state.packets.insert((from, to), Packet::Probe);
        Some(())
    }

    pub(super) fn echo_arrives(&self, state: &mut NotesState, from: usize, to: usize) -> Option<()> {
        let Packet::Echo(echo) = *state.packets.get(&(from, to))? else {
            return None;
        };
        let peer: Arc<str> = self.processes[to].host.into();
        let holder = state.holders[from].as_mut()?;
        let before = holder.state().head;
        if self.mutant == Some(Mutant::CountReceived) {
            holder.on_probe(NOW, peer.clone(), echo.nonce);
        }
        holder.on_echo(&peer, &echo);
        state.packets.remove(&(from, to));
        state.is_reverted |= holder.state().head < before;
        Some(())
    }

    pub(super) fn stage(&self, state: &mut NotesState) -> Option<()> {
        if state.staged.is_some() || state.last_seq as usize >= self.rosters.len() {
            return None;
        }
        state.last_seq += 1;
        state.staged = Some(state.last_seq);
        state.revision += 1;
        state.acceptor = Some(self.acceptor(state.accepted, state.last_seq));
        self.poll(state);
        Some(())
    }

    /// The operator sees every change of the hosts' rows at once, the earliest that is possible.
    pub(super) fn poll(&self, state: &mut NotesState) {
        let rows = self.rows(state);
        if let Some(acceptor) = &mut state.acceptor {
            acceptor.on_hosts(NOW, &rows);
        }
    }
}
