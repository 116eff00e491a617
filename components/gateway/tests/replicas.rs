//! Replicas of a table that follow the store, read it whole, learn from each other, and start again, in random order.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use gateway::ports::{Record, Table};
use gateway::{CachedState, Position, UpdateSource, View};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use support::{at, decode, removed, row, snapshot};

const HOSTS: usize = 4;
const KEYS: usize = 5;
const SEEDS: u64 = 200;
const STEPS: usize = 150;
/// Longest time between two steps; some steps outlast the tombstones.
const MAX_PAUSE: Duration = Duration::from_secs(20);

/// The store: the rows after each write, and the version of each row.
struct Store {
    history: Vec<BTreeSet<String>>,
    /// Version of the last write to each key, and whether the row exists.
    rows: BTreeMap<String, (u64, bool)>,
}

impl Store {
    fn new() -> Self {
        Self {
            history: vec![BTreeSet::new()],
            rows: BTreeMap::new(),
        }
    }

    fn version(&self) -> u64 {
        self.history.len() as u64 - 1
    }

    /// Adds the row if there is none, and removes it otherwise.
    fn toggle(&mut self, key: String) {
        let mut names = self.history.last().cloned().unwrap_or_default();
        let exists = names.insert(key.clone());
        if !exists {
            names.remove(&key);
        }
        self.history.push(names);
        self.rows.insert(key, (self.version(), exists));
    }

    /// Returns the rows that have changed after a version; only existing ones from the start.
    fn changed_after(&self, version: Option<u64>) -> Vec<Record> {
        let rows = self.rows.iter();
        let rows =
            rows.filter(|(_, (written, exists))| version.map_or(*exists, |version| *written > version));
        let record = |(key, (written, exists)): (&String, &(u64, bool))| match exists {
            true => row(key, "target s 1", *written),
            false => removed(key, *written),
        };
        rows.map(record).collect()
    }
}

struct Replica {
    state: CachedState,
    view: View,
}

impl Replica {
    /// Creates a replica that knows the declaration of the targets' service.
    fn new() -> Self {
        let mut state = CachedState::new(decode(), Duration::from_secs(2));
        let declared = snapshot(0, [row("config", "declared 1", 0)]);
        state.replace(Table::Declared, declared, UpdateSource::Store, Duration::ZERO);
        Self {
            state,
            view: View::default(),
        }
    }

    fn position(&self) -> Option<Position> {
        self.state.complete_position(Table::Targets)
    }

    fn read_whole(&mut self, store: &Store, now: Duration) {
        let all = snapshot(store.version(), store.changed_after(None));
        self.state.replace(Table::Targets, all, UpdateSource::Store, now);
    }

    /// Reads what has changed, or the whole table first.
    fn follow(&mut self, store: &Store, now: Duration) {
        let Some(position) = self.position() else {
            return self.read_whole(store, now);
        };
        let changed = store.changed_after(Some(position.version()));
        let changed = snapshot(store.version(), changed);
        self.state
            .apply(Table::Targets, changed, UpdateSource::Store, now);
    }

    fn ask(&mut self, peer: &Self, now: Duration) {
        let position = self.position().unwrap_or_default();
        if let Some(update) = peer.state.changes_since(Table::Targets, position) {
            self.state.apply_update(Table::Targets, update, now);
        }
    }

    fn names(&mut self) -> BTreeSet<String> {
        if let Some(view) = self.state.publish() {
            self.view = view;
        }
        let targets = self.view.targets_of("s").iter();
        targets.map(|target| target.instance.clone()).collect()
    }
}

// Guards against a removed row that a host keeps for good, as it took over a position from one that knew of fewer removals.
#[test]
fn a_replica_has_exactly_the_rows_of_the_store_at_its_position() {
    for seed in 0..SEEDS {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut store = Store::new();
        let mut replicas: Vec<_> = (0..HOSTS).map(|_| Replica::new()).collect();
        let mut now = Duration::from_secs(1);
        for step in 0..STEPS {
            now += MAX_PAUSE.mul_f64(rng.random::<f64>().powi(4));
            let index = rng.random_range(0..HOSTS);
            let mut replica = std::mem::replace(&mut replicas[index], Replica::new());
            match rng.random_range(0..10) {
                0..4 => store.toggle(format!("t{}", rng.random_range(0..KEYS))),
                4..6 => replica.follow(&store, now),
                6 => replica.read_whole(&store, now),
                7 => replica = Replica::new(),
                _ => replica.ask(&replicas[(index + rng.random_range(1..HOSTS)) % HOSTS], now),
            }
            replica.state.tick(now);
            if let Some(position) = replica.position() {
                let stored = &store.history[position.version() as usize];
                assert_eq!(replica.names(), *stored, "seed {seed}, step {step}, {position:?}");
            }
            replicas[index] = replica;
        }
    }
}

// Guards against a host that was cut off from the store and keeps a target for good, as the hosts that it asked had just started.
#[test]
fn a_host_that_has_just_read_the_table_does_not_hide_removals_from_one_behind() {
    let now = Duration::from_secs(1);
    let mut store = Store::new();
    store.toggle("t1".to_owned());
    store.toggle("t2".to_owned());
    let mut behind = Replica::new();
    behind.read_whole(&store, now);
    store.toggle("t1".to_owned());
    store.toggle("t3".to_owned());
    let mut started = Replica::new();
    started.read_whole(&store, now);
    behind.ask(&started, now);
    assert_eq!(behind.position(), Some(at(4)));
    assert_eq!(behind.names(), ["t2", "t3"].map(str::to_owned).into());
}

// Guards against an evacuation that goes on at a host although it was taken back.
#[test]
fn a_host_that_has_just_read_the_declarations_does_not_hide_the_end_of_an_evacuation() {
    let now = Duration::from_secs(1);
    let config = || row("config", "declared 1", 1);
    let mut behind = CachedState::new(decode(), Duration::from_secs(2));
    let before = snapshot(2, [config(), row("evacuate/a", "", 2)]);
    behind.replace(Table::Declared, before, UpdateSource::Store, now);
    let mut started = CachedState::new(decode(), Duration::from_secs(2));
    started.replace(Table::Declared, snapshot(3, [config()]), UpdateSource::Store, now);
    let update = started.changes_since(Table::Declared, at(2)).unwrap();
    behind.apply_update(Table::Declared, update, now);
    assert!(behind.publish().unwrap().evacuated.is_empty());
}
