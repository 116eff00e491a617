//! Time to force and calls to the table, in virtual time, over the state machines of the daemon.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

use notes::{
    AckTracker, HeadChange, HeadRead, HostRow, NoteReplica, RegionRoster, Terms, head_interval, write_window,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use utils::Monotonic;

use crate::support::host;

const MS: Duration = Duration::from_millis(1);
/// Time of a call to the table, there and back.
const ROUND_TRIP: Duration = Duration::from_millis(10);
/// Time between two reads of the hosts' rows by the operator.
const OPERATOR_INTERVAL: Duration = Duration::from_millis(200);
/// Notes in a run.
const NOTES: u64 = 100;
/// Reads a second that the notes may take: a quarter of two thousand.
const READS_A_SECOND: usize = 500;
/// Writes a second that the notes may take: a quarter of four hundred.
const WRITES_A_SECOND: usize = 100;

/// Who acknowledges.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Mode {
    /// No roster: reads of the table alone tell a host that it is current.
    TableAlone,
    /// A roster in two regions whose members acknowledge.
    Roster,
}

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Read(usize),
    Answer(usize, Monotonic, u64),
    Acknowledge(usize, u64),
    Operator,
    Stage,
}

struct Table {
    head: HeadChange,
    staged: Option<HeadChange>,
    revision: u64,
    rows: Vec<HostRow>,
    reads: BTreeMap<u64, usize>,
    writes: BTreeMap<u64, usize>,
}

struct Run {
    now: Monotonic,
    hosts: Vec<NoteReplica>,
    table: Table,
    acceptor: Option<AckTracker>,
    staged_at: Monotonic,
    /// Time from staging to force at the last host, for each note.
    forced: Vec<Duration>,
    queue: BinaryHeap<Reverse<(Monotonic, u64, Event)>>,
    count: u64,
    rng: ChaCha8Rng,
    terms: Arc<Terms>,
    /// Readings by revision, as the table held them.
    history: BTreeMap<u64, HeadRead>,
}

impl Run {
    fn new(hosts: usize, mode: Mode) -> Self {
        let names: Vec<String> = (0..hosts).map(|i| format!("entry-{i}")).collect();
        let region = |i: usize| if i % 3 == 2 { "glamorgan" } else { "gwynedd" };
        let mut regions: BTreeMap<_, RegionRoster> = BTreeMap::new();
        for (i, name) in names.iter().enumerate().filter(|_| mode == Mode::Roster) {
            let roster = regions.entry(region(i).into()).or_default();
            roster.serving = 2;
            roster.members.insert(name.as_str().into(), 1);
        }
        let terms = Arc::new(Terms {
            freshness_ms: freshness(hosts, mode),
            lapse_ms: 30_000,
            regions,
        });
        let rows = names.iter().enumerate().map(|(i, name)| {
            let mut row = host(name, 1);
            row.region = region(i).into();
            row
        });
        let head = HeadChange {
            seq: 1,
            version: 1,
            terms: terms.clone(),
        };
        let table = Table {
            head,
            staged: None,
            revision: 1,
            rows: rows.collect(),
            reads: BTreeMap::new(),
            writes: BTreeMap::new(),
        };
        let holders = names
            .iter()
            .enumerate()
            .map(|(i, name)| NoteReplica::new(name.as_str().into(), 1, region(i).into()));
        let mut run = Self {
            now: Monotonic::ZERO,
            hosts: holders.collect(),
            table,
            acceptor: None,
            staged_at: Monotonic::ZERO,
            forced: Vec::new(),
            queue: BinaryHeap::new(),
            count: 0,
            rng: ChaCha8Rng::seed_from_u64(7),
            terms,
            history: BTreeMap::new(),
        };
        run.remember();
        for i in 0..hosts {
            let at = run.part_of(interval(hosts));
            run.at(at, Event::Read(i));
        }
        run.at(Duration::from_secs(10), Event::Stage);
        run
    }

    fn at(&mut self, after: Duration, event: Event) {
        self.count += 1;
        self.queue.push(Reverse((self.now + after, self.count, event)));
    }

    fn part_of(&mut self, whole: Duration) -> Duration {
        whole.mul_f64(self.rng.random_range(0.0..1.0))
    }

    fn remember(&mut self) {
        let reading = HeadRead {
            revision: self.table.revision,
            head: self.table.head.clone(),
            staged: self.table.staged.clone(),
        };
        self.history.insert(self.table.revision, reading);
    }

    fn play(&mut self) {
        while self.forced.len() < NOTES as usize {
            let Reverse((at, _, event)) = self.queue.pop().unwrap();
            self.now = at;
            self.take(event);
        }
    }

    fn take(&mut self, event: Event) {
        let second = self.now.as_secs();
        match event {
            Event::Read(i) => {
                *self.table.reads.entry(second).or_default() += 1;
                self.at(ROUND_TRIP, Event::Answer(i, self.now, self.table.revision));
            }
            Event::Answer(i, sent, revision) => self.answer(i, sent, revision),
            Event::Acknowledge(i, seq) => {
                *self.table.writes.entry(second).or_default() += 1;
                self.table.rows[i].acknowledged = seq;
                self.hosts[i].on_acknowledged(seq);
            }
            Event::Stage => self.stage(),
            Event::Operator => self.operate(),
        }
    }

    fn answer(&mut self, i: usize, sent: Monotonic, revision: u64) {
        let hosts = self.hosts.len();
        let first = self.hosts[i].unacknowledged();
        self.hosts[i].on_head_read(sent, &self.history[&revision]);
        if let Some(seq) = self.hosts[i].unacknowledged().filter(|seq| Some(*seq) != first) {
            let spread = self.part_of(write_window(hosts as u32));
            self.at(spread + ROUND_TRIP, Event::Acknowledge(i, seq));
        }
        let jittered = interval(hosts).mul_f64(0.9) + self.part_of(interval(hosts).mul_f64(0.2));
        self.at(jittered, Event::Read(i));
        let head = self.table.head.seq;
        let is_forced = self.hosts.iter().all(|host| host.state().head == head);
        if is_forced && self.table.staged.is_none() && self.forced.len() as u64 + 2 == head {
            self.forced.push(self.now - self.staged_at);
            let pause = self.part_of(Duration::from_secs(3));
            self.at(pause, Event::Stage);
        }
    }

    fn stage(&mut self) {
        let seq = self.table.head.seq + 1;
        *self.table.writes.entry(self.now.as_secs()).or_default() += 1;
        self.table.staged = Some(HeadChange {
            seq,
            version: seq,
            terms: self.terms.clone(),
        });
        self.table.revision += 1;
        self.remember();
        self.staged_at = self.now;
        self.acceptor = Some(AckTracker::new(seq, self.terms.clone(), self.now + ROUND_TRIP));
        self.at(ROUND_TRIP, Event::Operator);
    }

    fn operate(&mut self) {
        *self.table.reads.entry(self.now.as_secs()).or_default() += 1;
        let acceptor = self.acceptor.as_mut().unwrap();
        acceptor.on_hosts(self.now, &self.table.rows);
        if !acceptor.is_ready(self.now) {
            return self.at(OPERATOR_INTERVAL, Event::Operator);
        }
        *self.table.writes.entry(self.now.as_secs()).or_default() += 1;
        self.table.head = self.table.staged.take().unwrap();
        self.table.revision += 1;
        self.remember();
    }
}

/// Time between two reads of the head, as the daemon takes it.
fn interval(hosts: usize) -> Duration {
    head_interval(500 * MS, hosts as u32)
}

/// With a roster heartbeats keep hosts current; without one a host must read the head three times.
fn freshness(hosts: usize, mode: Mode) -> u64 {
    match mode {
        Mode::Roster => 1_000,
        Mode::TableAlone => (interval(hosts).as_millis() as u64 * 5 / 2).max(1_800),
    }
}

/// The p99 of the time to force, in milliseconds.
fn measure(hosts: usize, mode: Mode) -> u128 {
    let mut run = Run::new(hosts, mode);
    run.play();
    run.forced.sort_unstable();
    let at = |share: usize| run.forced[run.forced.len() * share / 100].as_millis();
    let reads = run.table.reads.values().max().copied().unwrap_or_default();
    let writes = run.table.writes.values().max().copied().unwrap_or_default();
    let all: usize = run.table.writes.values().sum();
    println!(
        "{mode:?} {hosts} hosts: time to force p50 {} ms, p99 {} ms; writes a note {}, most in a second {writes}; most reads in a second {reads}",
        at(50),
        at(99),
        all / NOTES as usize
    );
    assert!(
        reads <= READS_A_SECOND && writes <= WRITES_A_SECOND,
        "{hosts} hosts"
    );
    at(99)
}

#[test]
fn a_note_is_in_force_within_3_s_at_9_hosts() {
    assert!(measure(9, Mode::Roster) <= 3_000);
    assert!(measure(9, Mode::TableAlone) <= 3_000);
}

#[test]
fn a_note_is_in_force_within_9_s_at_340_hosts() {
    for hosts in [30, 100, 340] {
        assert!(measure(hosts, Mode::Roster) <= 9_000);
        assert!(measure(hosts, Mode::TableAlone) <= 9_000);
    }
}
