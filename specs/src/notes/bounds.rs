use notes::HeadChange;

use super::Mutant;

/// One process of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Process {
    /// Name of its host.
    pub host: &'static str,
    /// Run.
    pub incarnation: u64,
    /// Whether it runs from the start; another one starts later, while those before it go on.
    pub from_start: bool,
}

/// Bounds of an exploration.
#[derive(Debug, Clone)]
pub struct NotesSpec {
    /// All processes.
    pub processes: Vec<Process>,
    /// Members of the roster under each change, by index of process; the first is accepted at the start.
    pub rosters: Vec<Vec<usize>>,
    /// Members that a host must hear.
    pub serving: usize,
    /// Who probes whom.
    pub probes: Vec<(usize, usize)>,
    /// Processes that may read the head row after the first change is staged.
    pub readers: Vec<usize>,
    /// Readers whose answers may be late; those of the others arrive at once.
    pub late_readers: Vec<usize>,
    /// Whether the operator may give up a staged change.
    pub with_abandon: bool,
    /// Whether a process may end and start again, once.
    pub with_restart: bool,
    /// Whether an acknowledgement may reach the table late; else it does at once.
    pub with_late_acknowledgements: bool,
    /// The changes as processes learn them, shared by all states.
    pub known: Vec<HeadChange>,
    /// Fault built in.
    pub mutant: Option<Mutant>,
}

impl NotesSpec {
    /// Three hosts, two of which must hear each other, and one change.
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
            with_late_acknowledgements: false,
            known: Vec::new(),
            mutant: None,
        }
        .with_known()
    }

    /// Three hosts, each of which serves alone until it has been in a minority for the lapse period.
    pub fn serving_alone() -> Self {
        let mut spec = Self::three_hosts();
        spec.serving = 1;
        spec.with_known()
    }

    /// Two changes, the first of which may be given up.
    pub fn abandoned() -> Self {
        let mut spec = Self::three_hosts();
        spec.rosters = vec![vec![0, 1, 2]; 3];
        spec.readers = vec![1];
        spec.with_abandon = true;
        spec.with_known()
    }

    /// A process ends and starts again while its acknowledgement is on its way.
    pub fn restarted() -> Self {
        let mut spec = Self::three_hosts();
        spec.readers = vec![1];
        spec.with_restart = true;
        spec.with_late_acknowledgements = true;
        spec.with_known()
    }

    /// Host `b` is replaced under its name while its first process goes on.
    pub fn replaced() -> Self {
        let mut spec = Self::three_hosts();
        spec.processes.push(process("b", 2, false));
        spec.probes.push((0, 3));
        spec.readers = vec![2, 3];
        spec.late_readers = vec![3];
        spec.with_known()
    }

    /// The list drops two hosts that can reach each other only; a second change follows.
    pub fn dropped_island() -> Self {
        let mut spec = Self::three_hosts();
        spec.rosters = vec![vec![0, 1, 2], vec![2], vec![2]];
        spec.readers = vec![0, 2];
        spec.late_readers = vec![0];
        spec.with_known()
    }

    /// The same with a fault built in.
    pub fn with(mut self, mutant: Mutant) -> Self {
        self.mutant = Some(mutant);
        self.with_known()
    }
}

fn process(host: &'static str, incarnation: u64, from_start: bool) -> Process {
    Process {
        host,
        incarnation,
        from_start,
    }
}
