use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use directory::Reread;
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use targets::{CacheEvent, CacheEvents, CacheSnapshot, Catalogue, PIECE_TOKENS, PieceId};

use crate::chooser::{Ask, Choice, choose};
use crate::host::{Host, Observation, Sent};
use crate::lru::Lru;
use crate::options::{Deployment, Fault, HOSTS, LINK_RATE, PIECE_BYTES, SPEED, Strategy};
use crate::trace::{Request, requests};
use crate::world::{Pipe, World};

/// Time between two load reports and between two heartbeats, in seconds.
const TICK: f64 = 0.25;

/// Time on the way from a caller to a target, in seconds.
const NETWORK: f64 = 0.002;

/// Time until a host notices that a target does not answer, in seconds.
const DETECTION: f64 = 1.0;

/// Time until a transfer is given up, beyond a multiple of what was expected, in seconds.
const FETCH_GRACE: f64 = 0.5;

/// Multiple of the expected time until a transfer is given up.
const FETCH_PATIENCE: f64 = 3.0;

/// Length of most faults, in seconds.
const FAULT_SECONDS: f64 = 600.0;

/// What one run measured.
#[derive(Debug)]
pub(crate) struct Outcome {
    /// Time to first token, in microseconds.
    pub(crate) first_token: Histogram<u64>,
    pub(crate) requests: u64,
    pub(crate) prompt_tokens: u64,
    pub(crate) recomputed_tokens: u64,
    pub(crate) link_bytes: u64,
    /// Transfers over the paid link that did not fit its budget.
    pub(crate) over_budget: u64,
}

/// A request under way.
#[derive(Debug, Clone)]
struct Job {
    request: usize,
    pieces: Arc<Vec<PieceId>>,
    excluded: Vec<usize>,
    choice: Choice,
    /// Pieces that arrived from stores.
    arrived: usize,
    /// Run of the target's process.
    incarnation: u64,
}

#[derive(Debug, Clone)]
enum Event {
    Arrival(usize),
    Retry(Job),
    Ready(Job),
    Done(Job),
    Ended {
        host: usize,
        path: usize,
        bytes: u64,
        is_whole: bool,
    },
    Written {
        region: usize,
        workspace: usize,
        pieces: Vec<(u16, PieceId)>,
        incarnation: u64,
    },
    Events {
        host: usize,
        target: usize,
        batch: Arc<CacheEvents>,
    },
    Snapshot {
        host: usize,
        target: usize,
    },
    Catalogue {
        host: usize,
        store: usize,
        from: u64,
        catalogue: Arc<Catalogue>,
    },
    Tick,
    Fault {
        starts: bool,
    },
}

/// One run in virtual time.
pub(crate) struct Sim {
    strategy: Strategy,
    fault: Fault,
    trace: Vec<Request>,
    world: World,
    hosts: Vec<Host>,
    /// Prompts in the queue of each engine.
    waiting: Vec<VecDeque<Job>>,
    rng: ChaCha8Rng,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    next_event: u64,
    /// Observations that go to the peers with the next heartbeat.
    gossip: Vec<(usize, Observation)>,
    /// Load of each engine for the hosts of each region, as of the last tick.
    sampled: [Vec<Option<u64>>; 2],
    is_faulty: bool,
    warm_until: f64,
    ends_at: f64,
    now: f64,
    outcome: Outcome,
}

/// Runs one strategy through one trace.
pub(crate) fn simulate(
    deployment: Deployment,
    fault: Fault,
    strategy: Strategy,
    seed: u64,
    minutes: u32,
) -> Outcome {
    let seconds = f64::from(minutes) * 60.0;
    let sizes = deployment.sizes();
    let window = (seconds / 2.0, seconds / 2.0 + FAULT_SECONDS.min(seconds / 4.0));
    let world = World::new(sizes);
    let mut sim = Sim {
        strategy,
        fault,
        trace: requests(&sizes, fault, seconds, window, seed),
        hosts: (0..HOSTS).map(|n| Host::new(n, &world)).collect(),
        waiting: vec![VecDeque::new(); world.engines.len()],
        world,
        rng: ChaCha8Rng::seed_from_u64(seed ^ 0x5EED),
        queue: BinaryHeap::new(),
        events: BTreeMap::new(),
        next_event: 0,
        gossip: Vec::new(),
        sampled: [Vec::new(), Vec::new()],
        is_faulty: false,
        warm_until: seconds / 3.0,
        ends_at: seconds,
        now: 0.0,
        outcome: Outcome {
            first_token: Histogram::new_with_bounds(1, 3_600_000_000, 3).unwrap_or_else(|_| unreachable!()),
            requests: 0,
            prompt_tokens: 0,
            recomputed_tokens: 0,
            link_bytes: 0,
            over_budget: 0,
        },
    };
    let until = if fault == Fault::TargetCrash {
        window.0 + FAULT_SECONDS / 5.0
    } else {
        window.1
    };
    sim.at(window.0, Event::Fault { starts: true });
    sim.at(until, Event::Fault { starts: false });
    sim.at(0.0, Event::Tick);
    if !sim.trace.is_empty() {
        sim.at(sim.trace[0].at, Event::Arrival(0));
    }
    while let Some(Reverse((micros, id))) = sim.queue.pop() {
        sim.now = micros as f64 / 1e6;
        if let Some(event) = sim.events.remove(&id) {
            sim.handle(event);
        }
    }
    sim.outcome
}

impl Sim {
    fn at(&mut self, time: f64, event: Event) {
        self.next_event += 1;
        self.queue.push(Reverse((
            (time.max(self.now) * 1e6).ceil() as u64,
            self.next_event,
        )));
        self.events.insert(self.next_event, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(request) => self.arrive(request),
            Event::Retry(job) => self.dispatch(job),
            Event::Ready(job) => self.enqueue(job),
            Event::Done(job) => self.finish(job),
            Event::Ended {
                host,
                path,
                bytes,
                is_whole,
            } => {
                self.tell(
                    host,
                    Observation::Ended {
                        path,
                        bytes,
                        is_whole,
                    },
                );
            }
            Event::Written {
                region,
                workspace,
                pieces,
                incarnation,
            } => {
                self.written(region, workspace, &pieces, incarnation);
            }
            Event::Events { host, target, batch } => {
                if self.hosts[host].events(target, &batch) == Reread::Needed {
                    self.at(self.now + DETECTION, Event::Snapshot { host, target });
                }
            }
            Event::Snapshot { host, target } => self.snapshot(host, target),
            Event::Catalogue {
                host,
                store,
                from,
                catalogue,
            } => {
                if self.hosts[host].catalogue(store, from, &catalogue) == Reread::Needed {
                    self.reread_store(host, store);
                }
            }
            Event::Tick => self.tick(),
            Event::Fault { starts } => self.fault(starts),
        }
    }

    fn arrive(&mut self, request: usize) {
        let pieces = Arc::new(self.trace[request].names(self.world.version));
        if request + 1 < self.trace.len() {
            self.at(self.trace[request + 1].at, Event::Arrival(request + 1));
        }
        self.dispatch(Job {
            request,
            pieces,
            excluded: Vec::new(),
            choice: Choice::default(),
            arrived: 0,
            incarnation: 0,
        });
    }

    fn dispatch(&mut self, mut job: Job) {
        let req = &self.trace[job.request];
        let host = req.host;
        let ask = Ask {
            req,
            pieces: &job.pieces,
            excluded: &job.excluded,
            now: self.now,
        };
        let Some(choice) = choose(self.strategy, &ask, &mut self.hosts[host], &mut self.world) else {
            job.excluded.clear();
            return self.at(self.now + TICK, Event::Retry(job));
        };
        let target = choice.target;
        if !self.world.reaches(self.hosts[host].region, target) {
            self.hosts[host].suspect(target);
            job.excluded.push(target);
            return self.at(self.now + DETECTION, Event::Retry(job));
        }
        job.incarnation = self.world.engines[target].incarnation;
        job.choice = choice;
        let ready = self.transfer(host, &mut job);
        self.world.engines[target].pending += job.choice.tokens as f64 / SPEED;
        let sent = Observation::Sent(Sent {
            target,
            tokens: job.choice.tokens,
            queued_at: ready,
            pieces: Arc::clone(&job.pieces),
        });
        self.tell(host, sent);
        self.at(ready, Event::Ready(job));
    }

    /// Starts the transfers of a job; gives the time when the last one ends or is given up.
    fn transfer(&mut self, host: usize, job: &mut Job) -> f64 {
        let region = self.world.engines[job.choice.target].region;
        let mut ready = self.now + NETWORK;
        if region != self.hosts[host].region {
            let text = u64::from(self.trace[job.request].tokens) * 4;
            let from = self.hosts[host].region;
            self.pay(host, from, text);
            ready = self.world.links[from].send(1, text, self.now, f64::MAX).1;
        }
        let deadline = self.now + FETCH_GRACE + FETCH_PATIENCE * job.choice.fetch_seconds;
        let mut first = job.choice.resident;
        let mut is_whole = true;
        for (store, wanted) in [region, 1 - region].into_iter().zip(job.choice.fetches) {
            if wanted == 0 || !is_whole {
                continue;
            }
            let pieces = &job.pieces[first..first + wanted];
            let (arrived, end) = self.read(host, store, region, pieces, deadline);
            job.arrived += arrived;
            is_whole = arrived == wanted;
            first += arrived;
            ready = ready.max(end);
        }
        ready
    }

    /// Reads pieces from a store to a region.
    fn read(
        &mut self,
        host: usize,
        store: usize,
        to: usize,
        pieces: &[PieceId],
        deadline: f64,
    ) -> (usize, f64) {
        let path = if store == to { store } else { 2 + store };
        let bytes = pieces.len() as u64 * PIECE_BYTES;
        self.tell(host, Observation::Started { path, bytes });
        let source = &mut self.world.stores[store];
        let is_up = source.is_up;
        let held = pieces
            .iter()
            .take_while(|p| is_up && source.kept.contains_key(*p))
            .count();
        if store != to {
            self.pay(host, store, held as u64 * PIECE_BYTES);
        }
        let pipe = if store == to {
            &mut self.world.stores[store].reads
        } else {
            &mut self.world.links[store]
        };
        let (arrived, end) = pipe.send(held, PIECE_BYTES, self.now, deadline);
        let end = if held == 0 {
            self.now + FETCH_GRACE / 10.0
        } else {
            end
        };
        let is_whole = is_up && arrived == held;
        self.at(
            end,
            Event::Ended {
                host,
                path,
                bytes,
                is_whole,
            },
        );
        (arrived, end)
    }

    /// Counts bytes over the paid link.
    fn pay(&mut self, host: usize, from: usize, bytes: u64) {
        let now = Duration::from_secs_f64(self.now);
        let fits_share =
            self.strategy != Strategy::CacheAware || self.hosts[host].budgets[from].take(bytes, now);
        let fits = self.world.budgets[from].take(bytes, now) && fits_share;
        self.outcome.over_budget += u64::from(!fits);
        if self.now >= self.warm_until {
            self.outcome.link_bytes += bytes;
        }
    }

    fn enqueue(&mut self, job: Job) {
        let choice = &job.choice;
        let engine = &mut self.world.engines[choice.target];
        let expected = choice.tokens as f64 / SPEED;
        if engine.incarnation != job.incarnation || !engine.is_up {
            return self.retry(job);
        }
        engine.pending = (engine.pending - expected).max(0.0);
        engine.queued += expected;
        let target = choice.target;
        self.waiting[target].push_back(job);
        if self.world.engines[target].free_at <= self.now {
            self.start(target);
        }
    }

    /// Places a job again whose target has crashed.
    fn retry(&mut self, mut job: Job) {
        job.excluded.push(job.choice.target);
        job.arrived = 0;
        self.at(self.now + DETECTION, Event::Retry(job));
    }

    /// Starts the first prompt in an engine's queue; what it has in its cache counts now.
    fn start(&mut self, target: usize) {
        let Some(job) = self.waiting[target].pop_front() else {
            return;
        };
        let engine = &mut self.world.engines[target];
        let choice = &job.choice;
        engine.queued = (engine.queued - choice.tokens as f64 / SPEED).max(0.0);
        let resident = engine.cache.prefix(&job.pieces);
        let reaches = choice.resident + job.arrived;
        let covered = if resident >= choice.resident {
            resident.max(reaches)
        } else {
            resident
        };
        let req = &self.trace[job.request];
        let tokens = req.tokens - covered as u32 * PIECE_TOKENS;
        engine.free_at = self.now + f64::from(tokens) / SPEED;
        if resident < choice.resident {
            let key = self.hosts[req.host].keys[target];
            self.hosts[req.host]
                .directory
                .remove_uncached(key, &job.pieces, resident);
        }
        let computed = &self.world.computed;
        let again = job.pieces[covered..]
            .iter()
            .filter(|p| computed.contains(*p))
            .count();
        if req.at >= self.warm_until {
            self.outcome.recomputed_tokens += again as u64 * u64::from(PIECE_TOKENS);
        }
        let done = engine.free_at;
        self.at(done, Event::Done(job));
    }

    fn finish(&mut self, job: Job) {
        let target = job.choice.target;
        let engine = &mut self.world.engines[target];
        if engine.incarnation != job.incarnation {
            return self.retry(job);
        }
        let new: Vec<_> = job
            .pieces
            .iter()
            .rev()
            .filter(|p| engine.cache.touch(**p))
            .copied()
            .collect();
        let dropped = engine.cache.shrink();
        let (region, workspace) = (engine.region, self.trace[job.request].workspace);
        self.count(&job);
        self.publish(target, &new, &dropped);
        let now = Duration::from_secs_f64(self.now);
        for (depth, piece) in job.pieces.iter().enumerate() {
            self.world.computed.insert(*piece);
            self.world
                .retention
                .record_use(&self.world.workspaces[workspace], *piece, depth as u16, now);
            if let Some(kept) = self.world.stores[region].kept.get_mut(piece) {
                kept.used_at = now;
            }
        }
        self.start(target);
        if self.strategy.uses_stores() {
            let (pieces, done) = self.world.write_back(region, workspace, &job.pieces, self.now);
            let incarnation = self.world.stores[region].incarnation;
            self.at(
                done,
                Event::Written {
                    region,
                    workspace,
                    pieces,
                    incarnation,
                },
            );
        }
    }

    fn count(&mut self, job: &Job) {
        let req = &self.trace[job.request];
        if req.at < self.warm_until {
            return;
        }
        let micros = ((self.now - req.at + NETWORK) * 1e6) as u64;
        self.outcome.first_token.saturating_record(micros.max(1));
        self.outcome.requests += 1;
        self.outcome.prompt_tokens += u64::from(req.tokens);
    }

    /// Sends an engine's cache events to the hosts, each with its own delay.
    fn publish(&mut self, target: usize, new: &[PieceId], dropped: &[PieceId]) {
        if self.strategy != Strategy::CacheAware || new.len() + dropped.len() == 0 {
            return;
        }
        let engine = &mut self.world.engines[target];
        let stored = new.iter().map(|p| CacheEvent::Stored(*p));
        let batch = Arc::new(CacheEvents {
            incarnation: engine.incarnation,
            first: engine.next_event,
            events: stored
                .chain(dropped.iter().map(|p| CacheEvent::Evicted(*p)))
                .collect(),
        });
        engine.next_event += batch.events.len() as u64;
        for host in 0..HOSTS {
            if self.is_faulty && self.fault == Fault::EventGaps && self.rng.random_bool(0.1) {
                continue;
            }
            let batch = Arc::clone(&batch);
            self.at(self.now + self.delay(), Event::Events { host, target, batch });
        }
    }

    /// Delay of events.
    fn delay(&self) -> f64 {
        if self.is_faulty && self.fault == Fault::LateEvents {
            30.0
        } else {
            1.0
        }
    }

    fn snapshot(&mut self, host: usize, target: usize) {
        let engine = &self.world.engines[target];
        let snapshot = CacheSnapshot {
            incarnation: engine.incarnation,
            next: engine.next_event,
            pieces: engine.cache.pieces().copied().collect(),
        };
        self.hosts[host].snapshot(target, &snapshot);
    }

    fn written(&mut self, region: usize, workspace: usize, pieces: &[(u16, PieceId)], incarnation: u64) {
        let store = &self.world.stores[region];
        if pieces.is_empty() || !store.is_up || store.incarnation != incarnation {
            return;
        }
        let from = store.next_change;
        let [stored, dropped] = self.world.store(region, workspace, pieces, self.now);
        self.catalogue(region, from, stored, dropped);
    }

    fn catalogue(&mut self, store: usize, from: u64, stored: Vec<PieceId>, dropped: Vec<PieceId>) {
        if self.strategy != Strategy::CacheAware {
            return;
        }
        let source = &self.world.stores[store];
        let catalogue = Arc::new(Catalogue {
            incarnation: source.incarnation,
            next: source.next_change,
            stored,
            dropped,
            free_bytes: 0,
        });
        for host in 0..HOSTS {
            let catalogue = Arc::clone(&catalogue);
            self.at(
                self.now + self.delay(),
                Event::Catalogue {
                    host,
                    store,
                    from,
                    catalogue,
                },
            );
        }
    }

    /// Lets a host read the whole content of a store.
    fn reread_store(&mut self, host: usize, store: usize) {
        let source = &self.world.stores[store];
        let mut stored: Vec<_> = source.kept.keys().copied().collect();
        stored.sort();
        let catalogue = Catalogue {
            incarnation: source.incarnation,
            next: source.next_change,
            stored,
            dropped: Vec::new(),
            free_bytes: 0,
        };
        let _ = self.hosts[host].catalogue(store, 0, &catalogue);
    }

    /// Gives an observation to its own host now and to the peers with the next heartbeat.
    fn tell(&mut self, host: usize, observation: Observation) {
        self.hosts[host].observe(&observation, self.now);
        self.gossip.push((host, observation));
    }

    /// Brings the load reports of the last tick and the heartbeats to all hosts.
    fn tick(&mut self) {
        for (from, observation) in std::mem::take(&mut self.gossip) {
            for (number, host) in self.hosts.iter_mut().enumerate().filter(|(n, _)| *n != from) {
                let is_cut = self.world.links[0].rate <= 0.0 && (number >= 6) != (from >= 6);
                if !is_cut {
                    host.observe(&observation, self.now);
                }
            }
        }
        for host in &mut self.hosts {
            host.report(&self.sampled[host.region], self.now - TICK, self.now);
        }
        for region in 0..2 {
            let load = |n: usize| {
                let queue = self.world.engines[n].wait(self.now);
                self.world.reaches(region, n).then_some((queue * SPEED) as u64)
            };
            self.sampled[region] = (0..self.world.engines.len()).map(load).collect();
        }
        if self.now < self.ends_at {
            self.at(self.now + TICK, Event::Tick);
        }
    }

    fn fault(&mut self, starts: bool) {
        self.is_faulty = starts;
        let rate = self.world.sizes.store_rate[0];
        match self.fault {
            Fault::TargetCrash => self.crash(0, starts),
            Fault::StoreDeath => self.kill_store(0, starts),
            Fault::FullStore => {
                let capacity = self.world.sizes.store_pieces[0];
                self.world.stores[0].capacity = if starts { capacity / 4 } else { capacity };
            }
            Fault::SlowLink => {
                let share = if starts { 0.1 } else { 1.0 };
                self.world.stores[0].reads.rate = rate * share;
                self.world
                    .links
                    .iter_mut()
                    .for_each(|l| l.rate = LINK_RATE * share);
            }
            Fault::CutRegion => {
                let rate = if starts { 0.0 } else { LINK_RATE };
                self.world.links = [Pipe::new(rate); 2];
            }
            Fault::VersionSwap if starts => {
                self.world.version += 1;
                self.hosts
                    .iter_mut()
                    .for_each(|h| h.set_version(self.world.version));
            }
            _ => {}
        }
    }

    fn crash(&mut self, target: usize, starts: bool) {
        let engine = &mut self.world.engines[target];
        engine.is_up = !starts;
        if starts {
            engine.incarnation += 1;
            engine.next_event = 0;
            engine.free_at = self.now;
            engine.queued = 0.0;
            engine.pending = 0.0;
            engine.cache = Lru::new(self.world.sizes.engine_pieces);
            let lost = std::mem::take(&mut self.waiting[target]);
            lost.into_iter().for_each(|job| self.retry(job));
        }
    }

    fn kill_store(&mut self, store: usize, starts: bool) {
        let source = &mut self.world.stores[store];
        source.is_up = !starts;
        source.kept.clear();
        source.incarnation += 1;
        source.next_change = 1;
        if !starts {
            self.catalogue(store, 0, Vec::new(), Vec::new());
        }
    }
}
