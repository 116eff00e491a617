use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use directory::Reread;
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use targets::{CacheEvent, CacheEvents, CacheSnapshot, Catalogue, PIECE_TOKENS, PieceId};

use crate::chooser::{Choice, DecisionInput, choose};
use crate::host::{Host, Observation, SentDraft};
use crate::lru::Lru;
use crate::options::{Deployment, Fault, HOSTS, LINK_RATE, PIECE_BYTES, PREFILL_TOKENS_PER_SECOND, Strategy};
use crate::trace::{Request, requests};
use crate::world::{Pipe, World};

/// Time between two load reports and between two heartbeats, in seconds.
const TICK_SECONDS: f64 = 0.25;

/// Network delay between a caller and a target, in seconds.
const NETWORK_SECONDS: f64 = 0.002;

/// Time until a host detects a failure and retries, in seconds.
const DETECTION_SECONDS: f64 = 1.0;

/// Constant part of the timeout of a request's transfers, in seconds.
const FETCH_GRACE_SECONDS: f64 = 0.5;

/// Factor of the expected duration in the timeout of a request's transfers.
const FETCH_TIMEOUT_FACTOR: f64 = 3.0;

/// Maximum duration of a fault, in seconds. A target crash lasts a fifth of it.
const FAULT_SECONDS: f64 = 600.0;

/// Measurements of a run.
#[derive(Debug)]
pub(crate) struct RunMetrics {
    /// Time to first token, in microseconds.
    pub(crate) first_token: Histogram<u64>,
    /// Completed requests.
    pub(crate) requests: u64,
    /// Prompt tokens of the completed requests.
    pub(crate) prompt_tokens: u64,
    /// Prompt tokens that were computed again.
    pub(crate) recomputed_tokens: u64,
    /// Bytes over the paid link, both ways.
    pub(crate) link_bytes: u64,
    /// Transfers over the paid link that exceeded its budget.
    pub(crate) over_budget: u64,
}

/// A request in flight.
#[derive(Debug, Clone)]
struct Job {
    /// Index of the request in the trace.
    request: usize,
    /// Full pieces of the prompt.
    pieces: Arc<Vec<PieceId>>,
    /// Targets that have failed the request.
    excluded: Vec<usize>,
    /// Current placement.
    choice: Choice,
    /// Pieces that were read from stores.
    fetched_pieces: usize,
    /// Incarnation of the target's process when the job was sent.
    incarnation: u64,
}

/// An event in virtual time.
#[derive(Debug, Clone)]
enum Event {
    /// The request with this index arrives.
    Arrival(usize),
    /// A job is placed again.
    Retry(Job),
    /// The transfers of a job have ended or timed out.
    TransfersDone(Job),
    /// A target has computed the prompt of a job.
    PrefillDone(Job),
    /// A transfer has ended or timed out on a path.
    TransferEnded {
        host: usize,
        path: usize,
        bytes: u64,
        is_whole: bool,
    },
    /// A store has received pieces.
    WriteDone {
        region: usize,
        workspace: usize,
        pieces: Vec<(u16, PieceId)>,
        incarnation: u64,
    },
    /// Cache events reach a host.
    CacheBatch {
        host: usize,
        target: usize,
        batch: Arc<CacheEvents>,
    },
    /// A host reads a snapshot of a target's cache.
    Snapshot { host: usize, target: usize },
    /// Changes of a store reach a host.
    Catalogue {
        host: usize,
        store: usize,
        from: u64,
        catalogue: Arc<Catalogue>,
    },
    /// Load reports and heartbeats are sent.
    Tick,
    /// The fault starts or ends.
    Fault { starts: bool },
}

/// Simulation of a run in virtual time.
pub(crate) struct Sim {
    strategy: Strategy,
    fault: Fault,
    trace: Vec<Request>,
    world: World,
    hosts: Vec<Host>,
    /// Queue of each engine.
    engine_queues: Vec<VecDeque<Job>>,
    rng: ChaCha8Rng,
    /// Times in microseconds and numbers of the scheduled events.
    event_queue: BinaryHeap<Reverse<(u64, u64)>>,
    /// Scheduled events by number.
    events: BTreeMap<u64, Event>,
    /// Number of the last scheduled event.
    next_event: u64,
    /// Observations that the peers receive with the next heartbeat, with the index of the host.
    gossip: Vec<(usize, Observation)>,
    /// Queued prompt tokens of each engine at the last tick, by region of the host; `None` if it is
    /// unreachable.
    sampled_loads: [Vec<Option<u64>>; 2],
    is_fault_active: bool,
    /// Time from which requests are measured, in seconds.
    warm_up_end: f64,
    /// Time at which ticks stop, in seconds.
    end_at: f64,
    /// Current virtual time, in seconds.
    now: f64,
    metrics: RunMetrics,
}

/// Simulates a strategy with a generated trace and returns its measurements.
pub(crate) fn simulate(
    deployment: Deployment,
    fault: Fault,
    strategy: Strategy,
    seed: u64,
    minutes: u32,
) -> RunMetrics {
    let seconds = f64::from(minutes) * 60.0;
    let sizes = deployment.sizes();
    let fault_window = (seconds / 2.0, seconds / 2.0 + FAULT_SECONDS.min(seconds / 4.0));
    let world = World::new(sizes);
    let mut sim = Sim {
        strategy,
        fault,
        trace: requests(&sizes, fault, seconds, fault_window, seed),
        hosts: (0..HOSTS).map(|n| Host::new(n, &world)).collect(),
        engine_queues: vec![VecDeque::new(); world.engines.len()],
        world,
        rng: ChaCha8Rng::seed_from_u64(seed ^ 0x5EED),
        event_queue: BinaryHeap::new(),
        events: BTreeMap::new(),
        next_event: 0,
        gossip: Vec::new(),
        sampled_loads: [Vec::new(), Vec::new()],
        is_fault_active: false,
        warm_up_end: seconds / 3.0,
        end_at: seconds,
        now: 0.0,
        metrics: RunMetrics {
            first_token: Histogram::new_with_bounds(1, 3_600_000_000, 3).unwrap_or_else(|_| unreachable!()),
            requests: 0,
            prompt_tokens: 0,
            recomputed_tokens: 0,
            link_bytes: 0,
            over_budget: 0,
        },
    };
    let fault_end = if fault == Fault::TargetCrash {
        fault_window.0 + FAULT_SECONDS / 5.0
    } else {
        fault_window.1
    };
    sim.schedule(fault_window.0, Event::Fault { starts: true });
    sim.schedule(fault_end, Event::Fault { starts: false });
    sim.schedule(0.0, Event::Tick);
    if !sim.trace.is_empty() {
        sim.schedule(sim.trace[0].arrives_at, Event::Arrival(0));
    }
    while let Some(Reverse((micros, id))) = sim.event_queue.pop() {
        sim.now = micros as f64 / 1e6;
        if let Some(event) = sim.events.remove(&id) {
            sim.handle(event);
        }
    }
    sim.metrics
}

impl Sim {
    /// Schedules an event at a time, or now if the time has passed.
    fn schedule(&mut self, time: f64, event: Event) {
        self.next_event += 1;
        self.event_queue.push(Reverse((
            (time.max(self.now) * 1e6).ceil() as u64,
            self.next_event,
        )));
        self.events.insert(self.next_event, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(request) => self.arrive(request),
            Event::Retry(job) => self.dispatch(job),
            Event::TransfersDone(job) => self.enqueue(job),
            Event::PrefillDone(job) => self.finish_prefill(job),
            Event::TransferEnded {
                host,
                path,
                bytes,
                is_whole,
            } => {
                self.share_observation(
                    host,
                    Observation::TransferEnded {
                        path,
                        bytes,
                        is_whole,
                    },
                );
            }
            Event::WriteDone {
                region,
                workspace,
                pieces,
                incarnation,
            } => {
                self.finish_write(region, workspace, &pieces, incarnation);
            }
            Event::CacheBatch { host, target, batch } => {
                if self.hosts[host].apply_events(target, &batch) == Reread::Needed {
                    self.schedule(self.now + DETECTION_SECONDS, Event::Snapshot { host, target });
                }
            }
            Event::Snapshot { host, target } => self.send_snapshot(host, target),
            Event::Catalogue {
                host,
                store,
                from,
                catalogue,
            } => {
                if self.hosts[host].apply_catalogue(store, from, &catalogue) == Reread::Needed {
                    self.reread_store(host, store);
                }
            }
            Event::Tick => self.tick(),
            Event::Fault { starts } => self.apply_fault(starts),
        }
    }

    fn arrive(&mut self, request: usize) {
        let pieces = Arc::new(self.trace[request].piece_ids(self.world.version));
        if request + 1 < self.trace.len() {
            self.schedule(self.trace[request + 1].arrives_at, Event::Arrival(request + 1));
        }
        self.dispatch(Job {
            request,
            pieces,
            excluded: Vec::new(),
            choice: Choice::default(),
            fetched_pieces: 0,
            incarnation: 0,
        });
    }

    /// Places a job and sends it to the chosen target. Retries later if no target is usable or reachable.
    fn dispatch(&mut self, mut job: Job) {
        let req = &self.trace[job.request];
        let host = req.host;
        let input = DecisionInput {
            req,
            pieces: &job.pieces,
            excluded: &job.excluded,
            now: self.now,
        };
        let Some(choice) = choose(self.strategy, &input, &mut self.hosts[host], &mut self.world) else {
            job.excluded.clear();
            return self.schedule(self.now + TICK_SECONDS, Event::Retry(job));
        };
        let target = choice.target;
        if !self.world.is_reachable(self.hosts[host].region, target) {
            self.hosts[host].mark_suspect(target);
            job.excluded.push(target);
            return self.schedule(self.now + DETECTION_SECONDS, Event::Retry(job));
        }
        job.incarnation = self.world.engines[target].incarnation;
        job.choice = choice;
        let ready = self.start_transfers(host, &mut job);
        self.world.engines[target].pending += job.choice.prefill_tokens as f64 / PREFILL_TOKENS_PER_SECOND;
        let sent = Observation::Sent(SentDraft {
            target,
            prefill_tokens: job.choice.prefill_tokens,
            queued_at: ready,
            pieces: Arc::clone(&job.pieces),
        });
        self.share_observation(host, sent);
        self.schedule(ready, Event::TransfersDone(job));
    }

    /// Starts the transfers of a job. Returns the time at which the last one ends or times out.
    fn start_transfers(&mut self, host: usize, job: &mut Job) -> f64 {
        let region = self.world.engines[job.choice.target].region;
        let mut ready = self.now + NETWORK_SECONDS;
        if region != self.hosts[host].region {
            let text = u64::from(self.trace[job.request].tokens) * 4;
            let from = self.hosts[host].region;
            self.charge_link(host, from, text);
            ready = self.world.links[from].send(1, text, self.now, f64::MAX).1;
        }
        let deadline = self.now + FETCH_GRACE_SECONDS + FETCH_TIMEOUT_FACTOR * job.choice.fetch_seconds;
        let mut first = job.choice.resident;
        let mut is_whole = true;
        for (store, wanted) in [region, 1 - region].into_iter().zip(job.choice.fetches) {
            if wanted == 0 || !is_whole {
                continue;
            }
            let pieces = &job.pieces[first..first + wanted];
            let (arrived, end) = self.read_pieces(host, store, region, pieces, deadline);
            job.fetched_pieces += arrived;
            is_whole = arrived == wanted;
            first += arrived;
            ready = ready.max(end);
        }
        ready
    }

    /// Starts reading pieces from a store to a region. Returns the number of pieces that arrive, and when the
    /// transfer ends.
    fn read_pieces(
        &mut self,
        host: usize,
        store: usize,
        to: usize,
        pieces: &[PieceId],
        deadline: f64,
    ) -> (usize, f64) {
        let path = if store == to { store } else { 2 + store };
        let bytes = pieces.len() as u64 * PIECE_BYTES;
        self.share_observation(host, Observation::TransferStarted { path, bytes });
        let source = &mut self.world.stores[store];
        let is_up = source.is_up;
        let held = pieces
            .iter()
            .take_while(|p| is_up && source.contents.contains_key(*p))
            .count();
        if store != to {
            self.charge_link(host, store, held as u64 * PIECE_BYTES);
        }
        let pipe = if store == to {
            &mut self.world.stores[store].reads
        } else {
            &mut self.world.links[store]
        };
        let (arrived, end) = pipe.send(held, PIECE_BYTES, self.now, deadline);
        let end = if held == 0 {
            self.now + FETCH_GRACE_SECONDS / 10.0
        } else {
            end
        };
        let is_whole = is_up && arrived == held;
        self.schedule(
            end,
            Event::TransferEnded {
                host,
                path,
                bytes,
                is_whole,
            },
        );
        (arrived, end)
    }

    /// Charges bytes to the budgets of the paid link, and counts them after the warm-up. Only the cache-aware
    /// policy has a budget share per host.
    fn charge_link(&mut self, host: usize, from: usize, bytes: u64) {
        let now = Duration::from_secs_f64(self.now);
        let fits_share =
            self.strategy != Strategy::CacheAware || self.hosts[host].budgets[from].take(bytes, now);
        let fits = self.world.budgets[from].take(bytes, now) && fits_share;
        self.metrics.over_budget += u64::from(!fits);
        if self.now >= self.warm_up_end {
            self.metrics.link_bytes += bytes;
        }
    }

    /// Queues a job at its target after the transfers, or retries it if the target has restarted.
    fn enqueue(&mut self, job: Job) {
        let choice = &job.choice;
        let engine = &mut self.world.engines[choice.target];
        let expected = choice.prefill_tokens as f64 / PREFILL_TOKENS_PER_SECOND;
        if engine.incarnation != job.incarnation || !engine.is_up {
            return self.retry(job);
        }
        engine.pending = (engine.pending - expected).max(0.0);
        engine.queued += expected;
        let target = choice.target;
        self.engine_queues[target].push_back(job);
        if self.world.engines[target].free_at <= self.now {
            self.start_next(target);
        }
    }

    /// Schedules another placement of a job whose target has crashed.
    fn retry(&mut self, mut job: Job) {
        job.excluded.push(job.choice.target);
        job.fetched_pieces = 0;
        self.schedule(self.now + DETECTION_SECONDS, Event::Retry(job));
    }

    /// Starts the first prompt in an engine's queue. The pieces that are in the cache at this time are not
    /// computed.
    fn start_next(&mut self, target: usize) {
        let Some(job) = self.engine_queues[target].pop_front() else {
            return;
        };
        let engine = &mut self.world.engines[target];
        let choice = &job.choice;
        engine.queued = (engine.queued - choice.prefill_tokens as f64 / PREFILL_TOKENS_PER_SECOND).max(0.0);
        let resident = engine.cache.cached_prefix(&job.pieces);
        let expected = choice.resident + job.fetched_pieces;
        let covered = if resident >= choice.resident {
            resident.max(expected)
        } else {
            resident
        };
        let req = &self.trace[job.request];
        let tokens = req.tokens - covered as u32 * PIECE_TOKENS;
        engine.free_at = self.now + f64::from(tokens) / PREFILL_TOKENS_PER_SECOND;
        if resident < choice.resident {
            let key = self.hosts[req.host].keys[target];
            self.hosts[req.host]
                .directory
                .remove_uncached(key, &job.pieces, resident);
        }
        let computed = &self.world.computed;
        let recomputed = job.pieces[covered..]
            .iter()
            .filter(|p| computed.contains(*p))
            .count();
        if req.arrives_at >= self.warm_up_end {
            self.metrics.recomputed_tokens += recomputed as u64 * u64::from(PIECE_TOKENS);
        }
        let done = engine.free_at;
        self.schedule(done, Event::PrefillDone(job));
    }

    /// Updates caches and measurements after a prefill, starts the next prompt and writes pieces to the
    /// store.
    fn finish_prefill(&mut self, job: Job) {
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
        let dropped = engine.cache.evict();
        let (region, workspace) = (engine.region, self.trace[job.request].workspace);
        self.record_completion(&job);
        self.publish_cache_events(target, &new, &dropped);
        let now = Duration::from_secs_f64(self.now);
        for (depth, piece) in job.pieces.iter().enumerate() {
            self.world.computed.insert(*piece);
            self.world
                .retention
                .record_use(&self.world.workspaces[workspace], *piece, depth as u16, now);
            if let Some(stored) = self.world.stores[region].contents.get_mut(piece) {
                stored.used_at = now;
            }
        }
        self.start_next(target);
        if self.strategy.uses_stores() {
            let (pieces, done) = self.world.write_back(region, workspace, &job.pieces, self.now);
            let incarnation = self.world.stores[region].incarnation;
            self.schedule(
                done,
                Event::WriteDone {
                    region,
                    workspace,
                    pieces,
                    incarnation,
                },
            );
        }
    }

    /// Records the time to first token of a job, unless it arrived during the warm-up.
    fn record_completion(&mut self, job: &Job) {
        let req = &self.trace[job.request];
        if req.arrives_at < self.warm_up_end {
            return;
        }
        let micros = ((self.now - req.arrives_at + NETWORK_SECONDS) * 1e6) as u64;
        self.metrics.first_token.saturating_record(micros.max(1));
        self.metrics.requests += 1;
        self.metrics.prompt_tokens += u64::from(req.tokens);
    }

    /// Sends an engine's cache events to all hosts. [`Fault::EventGaps`] drops a tenth of the messages.
    fn publish_cache_events(&mut self, target: usize, new: &[PieceId], dropped: &[PieceId]) {
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
            if self.is_fault_active && self.fault == Fault::EventGaps && self.rng.random_bool(0.1) {
                continue;
            }
            let batch = Arc::clone(&batch);
            self.schedule(
                self.now + self.event_delay(),
                Event::CacheBatch { host, target, batch },
            );
        }
    }

    /// Returns the delay of cache events and store changes, in seconds.
    fn event_delay(&self) -> f64 {
        if self.is_fault_active && self.fault == Fault::LateEvents {
            30.0
        } else {
            1.0
        }
    }

    fn send_snapshot(&mut self, host: usize, target: usize) {
        let engine = &self.world.engines[target];
        let snapshot = CacheSnapshot {
            incarnation: engine.incarnation,
            next: engine.next_event,
            pieces: engine.cache.pieces().copied().collect(),
        };
        self.hosts[host].apply_snapshot(target, &snapshot);
    }

    /// Stores written pieces, unless the store has failed or restarted since the write began.
    fn finish_write(&mut self, region: usize, workspace: usize, pieces: &[(u16, PieceId)], incarnation: u64) {
        let store = &self.world.stores[region];
        if pieces.is_empty() || !store.is_up || store.incarnation != incarnation {
            return;
        }
        let from = store.next_change;
        let [stored, dropped] = self.world.store(region, workspace, pieces, self.now);
        self.publish_catalogue(region, from, stored, dropped);
    }

    /// Sends changes of a store to all hosts.
    fn publish_catalogue(&mut self, store: usize, from: u64, stored: Vec<PieceId>, dropped: Vec<PieceId>) {
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
            self.schedule(
                self.now + self.event_delay(),
                Event::Catalogue {
                    host,
                    store,
                    from,
                    catalogue,
                },
            );
        }
    }

    /// Makes a host read the whole content of a store.
    fn reread_store(&mut self, host: usize, store: usize) {
        let source = &self.world.stores[store];
        let mut stored: Vec<_> = source.contents.keys().copied().collect();
        stored.sort();
        let catalogue = Catalogue {
            incarnation: source.incarnation,
            next: source.next_change,
            stored,
            dropped: Vec::new(),
            free_bytes: 0,
        };
        let _ = self.hosts[host].apply_catalogue(store, 0, &catalogue);
    }

    /// Applies an observation at its own host now and sends it to the peers with the next heartbeat.
    fn share_observation(&mut self, host: usize, observation: Observation) {
        self.hosts[host].apply_observation(&observation, self.now);
        self.gossip.push((host, observation));
    }

    /// Delivers the heartbeats and the load reports of the last tick to all hosts, and samples the next
    /// reports.
    fn tick(&mut self) {
        for (from, observation) in std::mem::take(&mut self.gossip) {
            for (number, host) in self.hosts.iter_mut().enumerate().filter(|(n, _)| *n != from) {
                let is_cut = self.world.links[0].rate <= 0.0 && (number >= 6) != (from >= 6);
                if !is_cut {
                    host.apply_observation(&observation, self.now);
                }
            }
        }
        for host in &mut self.hosts {
            host.apply_loads(
                &self.sampled_loads[host.region],
                self.now - TICK_SECONDS,
                self.now,
            );
        }
        for region in 0..2 {
            let load = |n: usize| {
                let wait_seconds = self.world.engines[n].wait(self.now);
                self.world
                    .is_reachable(region, n)
                    .then_some((wait_seconds * PREFILL_TOKENS_PER_SECOND) as u64)
            };
            self.sampled_loads[region] = (0..self.world.engines.len()).map(load).collect();
        }
        if self.now < self.end_at {
            self.schedule(self.now + TICK_SECONDS, Event::Tick);
        }
    }

    /// Starts or ends the fault of the run.
    fn apply_fault(&mut self, starts: bool) {
        self.is_fault_active = starts;
        let rate = self.world.sizes.store_rate[0];
        match self.fault {
            Fault::TargetCrash => self.set_crashed(0, starts),
            Fault::StoreDeath => self.set_store_down(0, starts),
            // The capacity of the store drops to a quarter.
            Fault::FullStore => {
                let capacity = self.world.sizes.store_pieces[0];
                self.world.stores[0].capacity = if starts { capacity / 4 } else { capacity };
            }
            // The reads from the store and the paid link, in both directions, slow down to a tenth.
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

    /// Crashes a target and retries its queued jobs, or brings it up again.
    fn set_crashed(&mut self, target: usize, starts: bool) {
        let engine = &mut self.world.engines[target];
        engine.is_up = !starts;
        if starts {
            engine.incarnation += 1;
            engine.next_event = 0;
            engine.free_at = self.now;
            engine.queued = 0.0;
            engine.pending = 0.0;
            engine.cache = Lru::new(self.world.sizes.engine_pieces);
            let lost = std::mem::take(&mut self.engine_queues[target]);
            lost.into_iter().for_each(|job| self.retry(job));
        }
    }

    /// Takes a store down, or brings it up again empty.
    fn set_store_down(&mut self, store: usize, starts: bool) {
        let source = &mut self.world.stores[store];
        source.is_up = !starts;
        source.contents.clear();
        source.incarnation += 1;
        source.next_change = 1;
        if !starts {
            self.publish_catalogue(store, 0, Vec::new(), Vec::new());
        }
    }
}
