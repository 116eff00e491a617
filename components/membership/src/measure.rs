use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

use metadata::{HostRole, HostState, ListedHost};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use utils::{Clock, HostId, Monotonic};

use crate::{
    Effect, Heartbeat, Identity, Input, Membership, Owners, TargetLiveness, TargetSummary, TargetTag,
    WIRE_OVERHEAD_BYTES,
};

/// Time between two ticks of a host.
const TICK: Duration = Duration::from_millis(250);
/// Time between two reads of the load of a watched target.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);
/// One-way latency within a region.
const REGION_LATENCY: Duration = Duration::from_millis(1);
/// One-way latency between regions.
const CROSS_REGION_LATENCY: Duration = Duration::from_millis(5);
/// Time at which the first host reads that a target is leaving.
const TARGET_LEAVES_AT: Duration = Duration::from_secs(10);
/// Time at which a host crashes.
const HOST_FAILS_AT: Duration = Duration::from_secs(15);
/// Share of the hosts and targets that are in the first region.
const FIRST_REGION_SHARE: f64 = 2.0 / 3.0;

/// Parameters of a simulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MeasureOptions {
    /// Number of entry hosts, in two regions.
    pub hosts: usize,
    /// Number of targets, in two regions.
    pub targets: usize,
    /// Duration of the simulation in virtual time.
    pub duration: Duration,
    /// Seed of all random numbers.
    pub seed: u64,
}

/// Control traffic, processor time and propagation delay of updates among hosts.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Measurement {
    /// Mean rate at which a host sends, including the overhead of the lower layers, in bytes per second.
    pub sent_per_second: f64,
    /// Mean rate at which a host receives, in bytes per second.
    pub received_per_second: f64,
    /// Rate at which the busiest host sends and receives, in bytes per second.
    pub busiest_per_second: f64,
    /// Mean rate at which a host sends heartbeats, per second.
    pub heartbeats_per_second: f64,
    /// Mean processor time of a host per second of virtual time, in seconds.
    pub cpu_per_second: f64,
    /// Time from the first host reading that a target is leaving until the median host shows it as leaving.
    pub leaving_median: Duration,
    /// The same for the last host.
    pub leaving_last: Duration,
    /// Number of hosts that showed the change.
    pub leaving_observers: usize,
    /// Time from the crash of a host until the median host removed it from its view.
    pub dead_median: Duration,
    /// The same for the last host.
    pub dead_last: Duration,
    /// Number of hosts that showed the change.
    pub dead_observers: usize,
    /// Mean age of the load summaries at the end, over all hosts, in seconds.
    pub summary_age: f64,
    /// Mean share of the targets of which a host has a load summary at the end.
    pub summary_share: f64,
}

/// Simulates the state machines of all hosts in virtual time; `clock` measures processor time.
///
/// ```
/// use std::time::Duration;
///
/// let options = membership::MeasureOptions {
///     hosts: 3, targets: 4, duration: Duration::from_secs(2), seed: 1,
/// };
/// let measure = membership::measure(options, &utils::SystemClock::new());
/// assert!(measure.heartbeats_per_second > 0.0);
/// ```
pub fn measure(options: MeasureOptions, clock: &dyn Clock) -> Measurement {
    let mut simulation = Simulation::new(options);
    let began = clock.now();
    simulation.run();
    let spent = clock.now() - began;
    simulation.finish(spent)
}

/// A scheduled event.
#[derive(Debug, Clone)]
enum Event {
    Tick(usize),
    Watch(usize),
    Deliver {
        from: usize,
        to: usize,
        heartbeat: Heartbeat,
    },
}

/// An entry of the event queue, ordered such that the heap returns the earliest first.
#[derive(Debug, Clone)]
struct QueuedEvent {
    at: Monotonic,
    number: u64,
    event: Event,
}

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for QueuedEvent {}

impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueuedEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

#[derive(Default, Clone, Copy)]
struct Traffic {
    sent: u64,
    received: u64,
    heartbeats: u64,
}

struct Simulation {
    options: MeasureOptions,
    list: Vec<ListedHost>,
    hosts: Vec<Membership>,
    index: BTreeMap<HostId, usize>,
    watched: Vec<Vec<TargetTag>>,
    traffic: Vec<Traffic>,
    queue: BinaryHeap<QueuedEvent>,
    scheduled: u64,
    now: Monotonic,
    rng: ChaCha8Rng,
    dead: Option<usize>,
    leaving_seen_at: Vec<Option<Monotonic>>,
    removed_at: Vec<Option<Monotonic>>,
}

impl Simulation {
    fn new(options: MeasureOptions) -> Self {
        let list = list(options);
        let entries: Vec<_> = list.iter().filter(|h| h.role == HostRole::Entry).collect();
        let index: BTreeMap<_, _> = entries
            .iter()
            .enumerate()
            .map(|(i, h)| (h.id.clone(), i))
            .collect();
        let hosts = entries
            .iter()
            .enumerate()
            .map(|(i, h)| Membership::new(identity(h), options.seed + i as u64, Duration::ZERO))
            .collect();
        let watched = watched(&list, &index);
        let mut simulation = Self {
            options,
            hosts,
            index,
            watched,
            traffic: vec![Traffic::default(); options.hosts],
            queue: BinaryHeap::new(),
            scheduled: 0,
            now: Duration::ZERO,
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            dead: None,
            leaving_seen_at: vec![None; options.hosts],
            removed_at: vec![None; options.hosts],
            list,
        };
        simulation.start();
        simulation
    }

    fn start(&mut self) {
        for i in 0..self.hosts.len() {
            let list = self.list.clone();
            self.hosts[i].step(Input::List(list), Duration::ZERO);
            let offset = TICK.mul_f64(self.rng.random());
            self.schedule(offset, Event::Tick(i));
            let offset = WATCH_INTERVAL.mul_f64(self.rng.random());
            self.schedule(offset, Event::Watch(i));
        }
    }

    fn run(&mut self) {
        let mut is_leaving = false;
        while let Some(entry) = self.queue.pop() {
            if entry.at > self.options.duration {
                return;
            }
            self.now = entry.at;
            if self.now >= TARGET_LEAVES_AT && !is_leaving {
                is_leaving = true;
                self.leave_first_target();
            }
            if self.now >= HOST_FAILS_AT && self.dead.is_none() {
                self.dead = Some(self.hosts.len() - 1);
            }
            self.handle(entry.event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(i) if Some(i) == self.dead => {}
            Event::Tick(i) => {
                self.step(i, Input::Tick);
                self.schedule(self.now + TICK, Event::Tick(i));
            }
            Event::Watch(i) if Some(i) == self.dead => {}
            Event::Watch(i) => {
                self.watch(i);
                self.schedule(self.now + WATCH_INTERVAL, Event::Watch(i));
            }
            Event::Deliver { to, .. } if Some(to) == self.dead => {}
            Event::Deliver { from, to, heartbeat } => {
                let from = self.hosts[from].identity().id.clone();
                self.step(to, Input::Received { from, heartbeat });
            }
        }
    }

    fn step(&mut self, i: usize, input: Input) {
        let effects = self.hosts[i].step(input, self.now);
        let mut changed = false;
        for effect in effects {
            match effect {
                Effect::Send { to, heartbeat } => self.send(i, &to, heartbeat),
                Effect::ViewChanged => changed = true,
                _ => {}
            }
        }
        if changed {
            self.record_view_changes(i);
        }
    }

    fn send(&mut self, from: usize, to: &HostId, heartbeat: Heartbeat) {
        let to = self.index[to];
        let bytes = heartbeat.encode().map_or(0, |b| b.len()) + WIRE_OVERHEAD_BYTES;
        self.traffic[from].sent += bytes as u64;
        self.traffic[from].heartbeats += 1;
        self.traffic[to].received += bytes as u64;
        let same = self.hosts[from].identity().region == self.hosts[to].identity().region;
        let latency = if same {
            REGION_LATENCY
        } else {
            CROSS_REGION_LATENCY
        };
        self.schedule(self.now + latency, Event::Deliver { from, to, heartbeat });
    }

    fn schedule(&mut self, at: Monotonic, event: Event) {
        self.scheduled += 1;
        let number = self.scheduled;
        self.queue.push(QueuedEvent { at, number, event });
    }

    fn watch(&mut self, i: usize) {
        for target in self.watched[i].clone() {
            let summary = TargetSummary {
                queued: TargetSummary::level(self.rng.random_range(0..40_000)),
                running: self.rng.random_range(0..32),
                sent: TargetSummary::level(self.rng.random_range(0..4_000)),
                ..TargetSummary::empty(target)
            };
            self.step(i, Input::Watched(summary));
        }
    }

    fn leave_first_target(&mut self) {
        let target = self.list.iter_mut().find(|h| h.role == HostRole::Engine);
        if let Some(target) = target {
            target.state = HostState::Leaving;
        }
        let list = self.list.clone();
        self.step(0, Input::List(list));
    }

    /// Records when the view of a host first shows the leaving target and no longer shows the crashed host.
    fn record_view_changes(&mut self, i: usize) {
        if self.now < TARGET_LEAVES_AT {
            return;
        }
        let view = self.hosts[i].view(self.now);
        let leaving = |t: &crate::TargetEntry| t.liveness == TargetLiveness::Leaving;
        if view.targets.values().any(leaving) {
            self.leaving_seen_at[i].get_or_insert(self.now);
        }
        let shown: usize = view.hosts.values().map(Vec::len).sum();
        if self.dead.is_some() && shown < self.hosts.len() {
            self.removed_at[i].get_or_insert(self.now);
        }
    }

    fn finish(self, spent: Duration) -> Measurement {
        let hosts = self.hosts.len() as f64;
        let seconds = self.options.duration.as_secs_f64();
        let total = |f: fn(&Traffic) -> u64| self.traffic.iter().map(f).sum::<u64>() as f64;
        let busiest = self.traffic.iter().map(|t| t.sent + t.received).max();
        let leaving = delays(&self.leaving_seen_at, TARGET_LEAVES_AT);
        let removed = delays(&self.removed_at, HOST_FAILS_AT);
        let (summary_age, summary_share) = self.summaries();
        Measurement {
            sent_per_second: total(|t| t.sent) / hosts / seconds,
            received_per_second: total(|t| t.received) / hosts / seconds,
            busiest_per_second: busiest.unwrap_or(0) as f64 / seconds,
            heartbeats_per_second: total(|t| t.heartbeats) / hosts / seconds,
            cpu_per_second: spent.as_secs_f64() / hosts / seconds,
            leaving_median: leaving.get(leaving.len() / 2).copied().unwrap_or_default(),
            leaving_last: leaving.last().copied().unwrap_or_default(),
            leaving_observers: leaving.len(),
            dead_median: removed.get(removed.len() / 2).copied().unwrap_or_default(),
            dead_last: removed.last().copied().unwrap_or_default(),
            dead_observers: removed.len(),
            summary_age,
            summary_share,
        }
    }

    fn summaries(&self) -> (f64, f64) {
        let mut held = 0_usize;
        let mut age = Duration::ZERO;
        for host in &self.hosts {
            for (_, read_at) in host.targets.summaries() {
                held += 1;
                age += self.now.saturating_sub(read_at);
            }
        }
        let all = (self.hosts.len() * self.options.targets).max(1);
        (age.as_secs_f64() / held.max(1) as f64, held as f64 / all as f64)
    }
}

fn delays(times: &[Option<Monotonic>], since: Monotonic) -> Vec<Duration> {
    let mut delays: Vec<_> = times.iter().flatten().map(|at| *at - since).collect();
    delays.sort_unstable();
    delays
}

fn identity(host: &ListedHost) -> Identity {
    Identity {
        id: host.id.clone(),
        region: host.region.clone(),
        incarnation: host.incarnation,
    }
}

fn list(options: MeasureOptions) -> Vec<ListedHost> {
    let entries = (0..options.hosts).map(|i| listed(HostRole::Entry, i, options.hosts));
    let targets = (0..options.targets).map(|i| listed(HostRole::Engine, i, options.targets));
    entries.chain(targets).collect()
}

fn listed(role: HostRole, number: usize, of: usize) -> ListedHost {
    let first = (number as f64) < FIRST_REGION_SHARE * of as f64;
    let (name, serves): (_, Vec<Arc<str>>) = match role {
        HostRole::Entry => ("entry", Vec::new()),
        _ => ("engine", vec!["draft".into()]),
    };
    ListedHost {
        id: format!("{name}-{number}").into(),
        role,
        region: if first { "north" } else { "south" }.into(),
        failure_domain: "a".into(),
        address: ([127, 0, 0, 1], 1).into(),
        peer_address: Some(([127, 0, 0, 1], 2).into()),
        incarnation: 1,
        state: HostState::Live,
        serves,
        checks_epochs: false,
    }
}

/// Returns the targets that each host watches.
fn watched(list: &[ListedHost], index: &BTreeMap<HostId, usize>) -> Vec<Vec<TargetTag>> {
    let mut watched = vec![Vec::new(); index.len()];
    for region in ["north", "south"] {
        let here = |role| move |h: &&ListedHost| h.role == role && &*h.region == region;
        let mut owners = Owners::new(2);
        owners.set_hosts(list.iter().filter(here(HostRole::Entry)).map(|h| h.id.clone()));
        owners.set_keys(list.iter().filter(here(HostRole::Engine)).map(|h| h.id.clone()));
        for host in list.iter().filter(here(HostRole::Entry)) {
            watched[index[&host.id]] = owners.owned_by(&host.id).map(|id| TargetTag::of(id)).collect();
        }
    }
    watched
}

impl Measurement {
    /// Returns the mean rate at which a host sends and receives, in bytes per second.
    pub fn bytes_per_second(&self) -> f64 {
        self.sent_per_second + self.received_per_second
    }
}
