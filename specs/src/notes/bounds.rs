use notes::HeadChange;

use super::Mutant;

/// A process of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Process {
    /// Name of its host.
    pub host: &'static str,
    /// Incarnation.
    pub incarnation: u64,
    /// Whether the process runs in the initial state; otherwise it starts later, while the host's earlier
    /// processes still run.
    pub from_start: bool,
}

/// Specification of the release notes with the bounds of its exploration.
#[derive(Debug, Clone)]
pub struct NotesSpec {
    /// All processes.
    pub processes: Vec<Process>,
    /// Roster of each change, as indices into `processes`; the first change is accepted in the initial state.
    pub rosters: Vec<Vec<usize>>,
    /// Number of roster members that a host must reach to serve.
    pub serving: usize,
    /// Pairs of probing and probed process.
    pub probes: Vec<(usize, usize)>,
    /// Processes that may read the head row after the first change is staged.
    pub readers: Vec<usize>,
    /// Readers whose answers may be late; answers to other readers arrive immediately.
    pub late_readers: Vec<usize>,
    /// Whether the operator may abandon a staged change.
    pub with_abandon: bool,
    /// Whether one process may restart once.
    pub with_restart: bool,
    /// Whether an acknowledgement may reach the table late; otherwise it does so immediately.
    pub with_late_acks: bool,
    /// The changes as processes read them, shared by all states.
    pub head_changes: Vec<HeadChange>,
    /// Fault that is built into the model.
    pub mutant: Option<Mutant>,
}

impl NotesSpec {
    /// Builds a model of three hosts and one change, in which two hosts must reach each other to serve.
    pub fn three_hosts() -> Self {
        Self {
            processes: ["a", "b", "c"].map(|host| process(host, 1, true)).to_vec(),
            rosters: vec![vec![0, 1, 2]; 2],
            serving: 2,
            probes: vec![(0, 1)],
            readers: vec![1, 2],
            late_readers: vec![1],
            with_abandon: false,
            with_restart: false,
            with_late_acks: false,
            head_changes: Vec::new(),
            mutant: None,
        }
        .with_head_changes()
    }

    /// Builds a model of three hosts, each of which may serve alone until it has been in a minority for the
    /// lapse period.
    pub fn serving_alone() -> Self {
        let mut spec = Self::three_hosts();
        spec.serving = 1;
        spec.with_head_changes()
    }

    /// Builds a model of two changes, the first of which may be abandoned.
    pub fn abandoned() -> Self {
        let mut spec = Self::three_hosts();
        spec.rosters = vec![vec![0, 1, 2]; 3];
        spec.readers = vec![1];
        spec.with_abandon = true;
        spec.with_head_changes()
    }

    /// Builds a model in which a process restarts while its acknowledgement is in flight.
    pub fn restarted() -> Self {
        let mut spec = Self::three_hosts();
        spec.readers = vec![1];
        spec.with_restart = true;
        spec.with_late_acks = true;
        spec.with_head_changes()
    }

    /// Builds a model in which a second process of host `b` starts while its first process still runs.
    pub fn replaced() -> Self {
        let mut spec = Self::three_hosts();
        spec.processes.push(process("b", 2, false));
        spec.probes.push((0, 3));
        spec.readers = vec![2, 3];
        spec.late_readers = vec![3];
        spec.with_head_changes()
    }

    /// Builds a model in which a change removes two hosts from the roster that can reach only each other, and
    /// a second change follows.
    pub fn removed_partition() -> Self {
        let mut spec = Self::three_hosts();
        spec.rosters = vec![vec![0, 1, 2], vec![2], vec![2]];
        spec.readers = vec![0, 2];
        spec.late_readers = vec![0];
        spec.with_head_changes()
    }

    /// Builds a fault into the model.
    pub fn with(mut self, mutant: Mutant) -> Self {
        self.mutant = Some(mutant);
        self.with_head_changes()
    }
}

fn process(host: &'static str, incarnation: u64, from_start: bool) -> Process {
    Process {
        host,
        incarnation,
        from_start,
    }
}
