//! Simulates the daemon's state machines in virtual time, and bounds the time until a note is in force and
//! the calls to the table.

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
/// Round-trip time of a call to the table.
const ROUND_TRIP: Duration = Duration::from_millis(10);
/// Time between two reads of the hosts' rows by the operator.
const OPERATOR_INTERVAL: Duration = Duration::from_millis(200);
/// Number of notes in a run.
const NOTES: u64 = 100;
/// Maximum reads per second for notes: a quarter of the table's 2000.
const READS_A_SECOND: usize = 500;
/// Maximum writes per second for notes: a quarter of the table's 400.
const WRITES_A_SECOND: usize = 100;

/// Whether a roster acknowledges notes.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Mode {
    /// There is no roster: only reads of the table keep a host fresh.
    TableAlone,
    /// There is a roster in two regions, whose members acknowledge.
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
    tracker: Option<AckTracker>,
    staged_at: Monotonic,
    /// For each note, the time from staging until the last host has it as its head.
    in_force_times: Vec<Duration>,
    queue: BinaryHeap<Reverse<(Monotonic, u64, Event)>>,
    count: u64,
    rng: ChaCha8Rng,
    terms: Arc<Terms>,
    /// Content of the head row by revision.
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
        let replicas = names
            .iter()
            .enumerate()
            .map(|(i, name)| NoteReplica::new(name.as_str().into(), 1, region(i).into()));
        let mut run = Self {
            now: Monotonic::ZERO,
            hosts: replicas.collect(),
            table,
            tracker: None,
            staged_at: Monotonic::ZERO,
            in_force_times: Vec::new(),
            queue: BinaryHeap::new(),
            count: 0,
            rng: ChaCha8Rng::seed_from_u64(7),
            terms,
            history: BTreeMap::new(),
        };
        run.record_revision();
        for i in 0..hosts {
            let at = run.random_part_of(interval(hosts));
            run.schedule(at, Event::Read(i));
        }
        run.schedule(Duration::from_secs(10), Event::Stage);
        run
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.count += 1;
        self.queue.push(Reverse((self.now + after, self.count, event)));
    }

    fn random_part_of(&mut self, whole: Duration) -> Duration {
        whole.mul_f64(self.rng.random_range(0.0..1.0))
    }

    fn record_revision(&mut self) {
        let reading = HeadRead {
            revision: self.table.revision,
            head: self.table.head.clone(),
            staged: self.table.staged.clone(),
        };
        self.history.insert(self.table.revision, reading);
    }

    fn run_to_end(&mut self) {
        while self.in_force_times.len() < NOTES as usize {
            let Reverse((at, _, event)) = self.queue.pop().unwrap();
            self.now = at;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        let second = self.now.as_secs();
        match event {
            Event::Read(i) => {
                *self.table.reads.entry(second).or_default() += 1;
                self.schedule(ROUND_TRIP, Event::Answer(i, self.now, self.table.revision));
            }
            Event::Answer(i, sent, revision) => self.answer(i, sent, revision),
            Event::Acknowledge(i, seq) => {
                *self.table.writes.entry(second).or_default() += 1;
                self.table.rows[i].acknowledged = seq;
                self.hosts[i].on_acknowledged(seq);
            }
            Event::Stage => self.stage(),
            Event::Operator => self.poll_hosts(),
        }
    }

    fn answer(&mut self, i: usize, sent: Monotonic, revision: u64) {
        let hosts = self.hosts.len();
        let first = self.hosts[i].unacknowledged();
        self.hosts[i].on_head_read(sent, &self.history[&revision]);
        if let Some(seq) = self.hosts[i].unacknowledged().filter(|seq| Some(*seq) != first) {
            let spread = self.random_part_of(write_window(hosts as u32));
            self.schedule(spread + ROUND_TRIP, Event::Acknowledge(i, seq));
        }
        let jittered = interval(hosts).mul_f64(0.9) + self.random_part_of(interval(hosts).mul_f64(0.2));
        self.schedule(jittered, Event::Read(i));
        let head = self.table.head.seq;
        let is_in_force = self.hosts.iter().all(|host| host.state().head == head);
        if is_in_force && self.table.staged.is_none() && self.in_force_times.len() as u64 + 2 == head {
            self.in_force_times.push(self.now - self.staged_at);
            let pause = self.random_part_of(Duration::from_secs(3));
            self.schedule(pause, Event::Stage);
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
        self.record_revision();
        self.staged_at = self.now;
        self.tracker = Some(AckTracker::new(seq, self.terms.clone(), self.now + ROUND_TRIP));
        self.schedule(ROUND_TRIP, Event::Operator);
    }

    fn poll_hosts(&mut self) {
        *self.table.reads.entry(self.now.as_secs()).or_default() += 1;
        let tracker = self.tracker.as_mut().unwrap();
        tracker.on_hosts(self.now, &self.table.rows);
        if !tracker.is_ready(self.now) {
            return self.schedule(OPERATOR_INTERVAL, Event::Operator);
        }
        *self.table.writes.entry(self.now.as_secs()).or_default() += 1;
        self.table.head = self.table.staged.take().unwrap();
        self.table.revision += 1;
        self.record_revision();
    }
}

/// Returns the daemon's time between two reads of the head row.
fn interval(hosts: usize) -> Duration {
    head_interval(500 * MS, hosts as u32)
}

/// Returns the freshness period in milliseconds. With a roster, heartbeats keep hosts fresh; without one, the
/// period must span three reads of the head row.
fn freshness(hosts: usize, mode: Mode) -> u64 {
    match mode {
        Mode::Roster => 1_000,
        Mode::TableAlone => (interval(hosts).as_millis() as u64 * 5 / 2).max(1_800),
    }
}

/// Runs the simulation, checks the call rates and returns the p99 of the time until a note is in force, in
/// milliseconds.
fn measure(hosts: usize, mode: Mode) -> u128 {
    let mut run = Run::new(hosts, mode);
    run.run_to_end();
    run.in_force_times.sort_unstable();
    let at = |share: usize| run.in_force_times[run.in_force_times.len() * share / 100].as_millis();
    let reads = run.table.reads.values().max().copied().unwrap_or_default();
    let writes = run.table.writes.values().max().copied().unwrap_or_default();
    let all: usize = run.table.writes.values().sum();
    println!(
        "{mode:?} {hosts} hosts: time until in force p50 {} ms, p99 {} ms; writes per note {}, maximum per second {writes}; maximum reads per second {reads}",
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
