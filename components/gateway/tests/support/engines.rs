//! Model engines and hosts in virtual time: batches, chunked prefill, memory that running requests and cached parts
//! share, preemption, and load reports that arrive late.

use std::collections::{BTreeSet, VecDeque};
use std::ops::Range;

use gateway::{
    Admission, Candidate, Decision, Demand, LoadEstimate, Pace, ReportedLoad, ResponseLoad, ServiceLoad,
    Sessions, Work, decide, sample,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::ms;

const ENGINES: usize = 60;
const HOSTS: usize = 65;
const SLOTS: usize = 64;
/// Memory of an engine, in tokens.
const MEMORY: u64 = 148_357;
/// Tokens of one step's prefill, and tokens prefilled in a millisecond.
const CHUNK: u64 = 1_024;
const PREFILL_PER_MS: f64 = 125.0;
/// Time of a step, and what each running request adds, in milliseconds.
const STEP_MS: (f64, f64) = (3.27, 0.08);
/// Interval of the engines' reports, in milliseconds; each arrives one interval late.
const REPORT_MS: u64 = 400;
const END_MS: u64 = 40_000;
/// Length of the intervals that answers in time are counted by, in milliseconds.
pub(crate) const INTERVAL_MS: u64 = 2_000;
/// Workspaces; the first one sends the burst.
const WORKSPACES: [&str; 5] = ["bursting", "a", "b", "c", "d"];

/// A class of requests; times in milliseconds.
struct Class {
    /// Requests per second, usually and in the burst.
    rates: [f64; 2],
    tokens: u64,
    shared: u64,
    output: u64,
    sessions: u64,
    target: u64,
    deadline: u64,
}

/// Short prompts, checks and long prompts; the index is the priority.
const CLASSES: [Class; 3] = [
    Class {
        rates: [341.0, 341.0],
        tokens: 830,
        shared: 512,
        output: 120,
        sessions: 100,
        target: 400,
        deadline: 12_000,
    },
    Class {
        rates: [274.0, 274.0],
        tokens: 2_370,
        shared: 2_000,
        output: 30,
        sessions: 100,
        target: 400,
        deadline: 3_000,
    },
    Class {
        rates: [139.0, 500.0],
        tokens: 12_000,
        shared: 9_000,
        output: 200,
        sessions: 200,
        target: 1_500,
        deadline: 12_000,
    },
];

/// What happens; times in milliseconds.
#[derive(Clone)]
pub(crate) struct Scenario {
    /// Whether hosts refuse by pressure, or only by the room at engines.
    pub has_admission: bool,
    /// Time of the burst of long prompts.
    pub burst: Range<u64>,
    /// Time in which a third of the engines is gone.
    pub loss: Range<u64>,
    /// Factor on all rates.
    pub rate: f64,
    /// Time in which hosts receive load reports.
    pub reports: Range<u64>,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            has_admission: true,
            burst: 0..0,
            loss: 0..0,
            rate: 1.0,
            reports: 0..END_MS,
        }
    }
}

/// Counts of one group of requests.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Counts {
    pub sent: u64,
    pub in_time: u64,
    pub served: u64,
    pub refusals: u64,
}

impl Counts {
    pub(crate) fn missed(&self) -> u64 {
        self.sent - self.in_time
    }

    pub(crate) fn served_share(&self) -> f64 {
        self.served as f64 / self.sent.max(1) as f64
    }
}

/// The counts of a play.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    pub classes: [Counts; 3],
    /// The largest tenth of each class.
    pub largest: [Counts; 3],
    pub workspaces: [Counts; WORKSPACES.len()],
    /// By the time of arrival.
    pub intervals: [Counts; (END_MS / INTERVAL_MS) as usize],
    pub prefilled: u64,
    pub preempted: u64,
}

impl Outcome {
    fn count(&mut self, req: &Req, f: impl Fn(&mut Counts)) {
        f(&mut self.classes[req.class]);
        f(&mut self.workspaces[req.workspace]);
        f(&mut self.intervals[(req.at / INTERVAL_MS) as usize]);
        if req.tokens > CLASSES[req.class].tokens {
            f(&mut self.largest[req.class]);
        }
    }

    /// Returns how long after `end` the first interval begins from which on 95 in 100 requests are in time.
    pub(crate) fn recovery_ms(&self, end: u64) -> u64 {
        let is_bad = |c: &Counts| c.in_time * 100 < c.sent * 95;
        // The answers to the last interval are cut off by the end.
        let played = &self.intervals[..self.intervals.len() - 1];
        let good_from = played.iter().rposition(is_bad).map_or(0, |last| last as u64 + 1);
        (good_from * INTERVAL_MS).saturating_sub(end)
    }
}

#[derive(Clone, Copy)]
struct Req {
    class: usize,
    workspace: usize,
    session: u64,
    tokens: u64,
    at: u64,
    host: usize,
    is_repeat: bool,
    has_begun: bool,
    sent_at: u64,
    engine: usize,
    work: Work,
}

/// A request at an engine.
#[derive(Clone, Copy)]
struct Run {
    id: usize,
    priority: usize,
    arrival: u64,
    to_prefill: u64,
    output: u64,
    memory: u64,
}

enum Event {
    FirstToken(usize),
    Done(usize),
}

#[derive(Default)]
struct Engine {
    waiting: Vec<Run>,
    running: Vec<Run>,
    /// Sessions and tokens, least recently used first.
    cache: VecDeque<(u64, u64)>,
    next_step: f64,
    arrivals: u64,
}

impl Engine {
    fn memory(&self) -> u64 {
        self.running.iter().map(|run| run.memory).sum()
    }

    /// Takes the newest of the least urgent requests out of the batch if it is less urgent than `priority`.
    fn preempt(&mut self, priority: usize, outcome: &mut Outcome) -> bool {
        let runs = self.running.iter().enumerate();
        let last = runs.max_by_key(|(_, run)| (run.priority, run.arrival));
        let Some((index, _)) = last.filter(|(_, run)| run.priority > priority) else {
            return false;
        };
        self.waiting.push(self.running.swap_remove(index));
        outcome.preempted += 1;
        true
    }

    fn admit(&mut self, reqs: &[Req], outcome: &mut Outcome) {
        loop {
            self.waiting.sort_by_key(|run| (run.priority, run.arrival));
            let Some(&next) = self.waiting.first() else { return };
            let Req { tokens, session, .. } = reqs[next.id];
            if self.running.len() >= SLOTS || self.memory() + tokens > MEMORY {
                if !self.preempt(next.priority, outcome) {
                    return;
                }
                continue;
            }
            self.waiting.remove(0);
            let cached = self.cache.iter().position(|part| part.0 == session);
            let cached = cached.and_then(|index| self.cache.remove(index));
            self.cache.extend(cached);
            let to_prefill = tokens - cached.map_or(0, |part| part.1);
            self.running.push(Run {
                to_prefill,
                memory: tokens,
                ..next
            });
            self.evict();
        }
    }

    fn evict(&mut self) {
        let free = MEMORY.saturating_sub(self.memory());
        while self.cache.iter().map(|part| part.1).sum::<u64>() > free {
            self.cache.pop_front();
        }
    }

    fn step(&mut self, reqs: &[Req], outcome: &mut Outcome, events: &mut Vec<Event>) {
        self.admit(reqs, outcome);
        let mut chunk = CHUNK;
        for run in &mut self.running {
            if run.to_prefill > 0 {
                let part = chunk.min(run.to_prefill);
                run.to_prefill -= part;
                chunk -= part;
                if run.to_prefill > 0 {
                    continue;
                }
                events.push(Event::FirstToken(run.id));
            }
            run.output -= 1;
            run.memory += 1;
        }
        let prefilled = CHUNK - chunk;
        outcome.prefilled += prefilled;
        let of_requests = STEP_MS.1 * self.running.len() as f64;
        self.next_step += STEP_MS.0 + of_requests + prefilled as f64 / PREFILL_PER_MS;
        for run in self.running.extract_if(.., |run| run.output == 0) {
            let Req { class, session, .. } = reqs[run.id];
            if !self.cache.iter().any(|part| part.0 == session) {
                self.cache.push_back((session, CLASSES[class].shared));
            }
            events.push(Event::Done(run.id));
        }
        while self.memory() > MEMORY && self.preempt(0, outcome) {}
        self.evict();
    }
}

#[derive(Default)]
struct Host {
    loads: Vec<LoadEstimate>,
    sessions: Sessions,
    admission: Admission,
}

impl Host {
    /// Returns the candidates for a session, its owner first, with their engines.
    fn candidates(&self, session: u64, listed: impl Fn(usize) -> bool, now: u64) -> Vec<(usize, Candidate)> {
        let own: u32 = self.loads.iter().map(LoadEstimate::own_requests).sum();
        let memory: u64 = self.loads.iter().map(LoadEstimate::own_memory).sum();
        let others = f64::from(own) / ENGINES as f64 * (HOSTS - 1) as f64;
        let each = memory as f64 / f64::from(own.max(1));
        let order = (0..ENGINES).map(|position| (session as usize * 7 + position) % ENGINES);
        let engines = order.filter(|engine| listed(*engine)).enumerate();
        let candidate = |(position, engine): (usize, usize)| {
            let load = &self.loads[engine];
            let target = engine.to_string();
            let candidate = Candidate {
                distance: 1,
                requests: load.requests(others, ms(now)),
                waiting: load.waiting(ms(now)),
                queued: load.queued(ms(now)),
                memory: (load.memory(each, others, ms(now)), MEMORY),
                slots: SLOTS as u32,
                prefill_backlog: load.prefill_backlog(),
                cache_hit_chance: self
                    .sessions
                    .cache_hit_chance(session, &target, position, ms(now)),
                latency_ms: 100.0,
                failures: 0.0,
                has_old_weights: false,
                is_connected: true,
            };
            (engine, candidate)
        };
        engines.map(candidate).collect()
    }
}

/// Hosts and engines of one play.
pub(crate) struct Fleet {
    scenario: Scenario,
    rng: StdRng,
    engines: Vec<Engine>,
    hosts: Vec<Host>,
    reqs: Vec<Req>,
    /// Times at which requests arrive at a host.
    arrivals: BTreeSet<(u64, usize)>,
    reports: Vec<ReportedLoad>,
    outcome: Outcome,
}

impl Fleet {
    pub(crate) fn new(scenario: Scenario, seed: u64) -> Self {
        let host = || Host {
            loads: vec![LoadEstimate::default(); ENGINES],
            ..Host::default()
        };
        Self {
            scenario,
            rng: StdRng::seed_from_u64(seed),
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            hosts: (0..HOSTS).map(|_| host()).collect(),
            reqs: Vec::new(),
            arrivals: BTreeSet::new(),
            reports: Vec::new(),
            outcome: Outcome::default(),
        }
    }

    pub(crate) fn play(mut self) -> Outcome {
        let mut events = Vec::new();
        for now in 0..END_MS {
            self.create_requests(now);
            if self.scenario.loss.contains(&now) {
                (0..ENGINES / 3).for_each(|engine| self.lose(engine, now));
            }
            if now.is_multiple_of(REPORT_MS) {
                self.report(now);
                self.expire(now);
            }
            while self.arrivals.first().is_some_and(|next| next.0 <= now) {
                let Some((_, id)) = self.arrivals.pop_first() else {
                    break;
                };
                self.place(id, now);
            }
            for engine in &mut self.engines {
                while engine.next_step <= now as f64 {
                    engine.step(&self.reqs, &mut self.outcome, &mut events);
                }
            }
            events.drain(..).for_each(|event| self.apply(event, now));
        }
        self.outcome
    }

    fn create_requests(&mut self, now: u64) {
        for (class, c) in CLASSES.iter().enumerate() {
            let [usual, in_burst] = c.rates.map(|rate| rate * self.scenario.rate / 1e3);
            let rate = if self.scenario.burst.contains(&now) {
                in_burst
            } else {
                usual
            };
            if self.rng.random::<f64>() >= rate {
                continue;
            }
            let is_burst = self.rng.random::<f64>() * rate >= usual;
            let is_large = self.rng.random_ratio(1, 10);
            let req = Req {
                class,
                workspace: if is_burst {
                    0
                } else {
                    self.rng.random_range(1..WORKSPACES.len())
                },
                session: self.rng.random_range(0..c.sessions) * 3 + class as u64,
                tokens: if is_large { c.tokens * 3 / 2 } else { c.tokens },
                at: now,
                host: self.rng.random_range(0..HOSTS),
                is_repeat: false,
                has_begun: false,
                sent_at: 0,
                engine: 0,
                work: Work::default(),
            };
            self.outcome.count(&req, |c| c.sent += 1);
            self.arrivals.insert((now, self.reqs.len()));
            self.reqs.push(req);
        }
    }

    fn place(&mut self, id: usize, now: u64) {
        let req = &mut self.reqs[id];
        let c = &CLASSES[req.class];
        let time_left = ms((req.at + c.deadline).saturating_sub(now));
        let host = &mut self.hosts[req.host];
        let demand = Demand {
            prompt_tokens: req.tokens as u32,
            shared_tokens: c.shared as u32,
            memory: (req.tokens + c.output / 2) as u32,
            priority: req.class as u8,
            latency_target: ms(c.target),
            time_left,
            pace: Pace::default(),
        };
        let is_lost = |engine| self.scenario.loss.contains(&now) && engine < ENGINES / 3;
        let (engines, all): (Vec<_>, Vec<_>) = host
            .candidates(req.session, |engine| !is_lost(engine), now)
            .into_iter()
            .unzip();
        host.admission.observe(&ServiceLoad::of(&all), ms(now));
        let draw = self.rng.random();
        let is_admitted = host
            .admission
            .admits(demand.priority, WORKSPACES[req.workspace], draw, ms(now));
        let sampled = sample(&all, true, HOSTS, &mut self.rng);
        let compared: Vec<_> = sampled.iter().map(|index| all[*index]).collect();
        let choice = match decide(&demand, &compared, self.rng.random()) {
            _ if self.scenario.has_admission && !is_admitted => None,
            Decision::Send(choice) => Some(sampled[choice.index]),
            _ => match decide(&demand, &all, self.rng.random()) {
                Decision::Send(choice) => Some(choice.index),
                _ => None,
            },
        };
        let Some(choice) = choice else {
            let wait = match self.scenario.has_admission {
                true => host.admission.retry_after(time_left, self.rng.random(), ms(now)),
                false => ms(c.deadline).mul_f64(0.12 * self.rng.random_range(0.7..1.3)),
            };
            self.outcome.count(req, |c| c.refusals += 1);
            if !req.is_repeat && wait <= time_left / 3 {
                (req.is_repeat, req.host) = (true, self.rng.random_range(0..HOSTS));
                self.arrivals.insert((now + wait.as_millis() as u64, id));
            }
            return;
        };
        let engine = engines[choice];
        let held = (all[choice].cache_hit_chance * c.shared as f64) as u64;
        req.work = Work {
            memory: demand.memory.into(),
            prefill_tokens: req.tokens - held,
        };
        (req.sent_at, req.engine) = (now, engine);
        host.loads[engine].record_start(req.work, ms(now));
        host.sessions
            .record_sent(req.session, engine.to_string().as_str().into(), ms(now));
        let at = &mut self.engines[engine];
        at.arrivals += 1;
        at.waiting.push(Run {
            id,
            priority: req.class,
            arrival: at.arrivals,
            to_prefill: 0,
            output: c.output,
            memory: 0,
        });
    }

    fn apply(&mut self, event: Event, now: u64) {
        match event {
            Event::FirstToken(id) if !self.reqs[id].has_begun => {
                let req = &mut self.reqs[id];
                req.has_begun = true;
                let engine = &self.engines[req.engine];
                let load = &mut self.hosts[req.host].loads[req.engine];
                load.record_first_byte(req.work.prefill_tokens, ms(req.sent_at));
                let counts = [engine.running.len(), engine.waiting.len(), SLOTS].map(|count| count as u32);
                let [running, waiting, slots] = counts;
                load.record_answer_load(
                    ResponseLoad {
                        running,
                        waiting,
                        slots,
                    },
                    ms(now),
                );
                let is_in_time = now <= req.at + CLASSES[req.class].target;
                self.outcome.count(req, |c| {
                    c.served += 1;
                    c.in_time += u64::from(is_in_time);
                });
            }
            Event::FirstToken(_) => {}
            Event::Done(id) => self.forget(id),
        }
    }

    /// Removes a request from the load that its host counts.
    fn forget(&mut self, id: usize) {
        let req = &self.reqs[id];
        let load = &mut self.hosts[req.host].loads[req.engine];
        if !req.has_begun {
            load.record_first_byte(req.work.prefill_tokens, ms(req.sent_at));
        }
        load.record_end(req.work);
    }

    /// Delivers the reports of the last interval, and takes new ones.
    fn report(&mut self, now: u64) {
        let report = |engine: &Engine| ReportedLoad {
            running: engine.running.len() as u32,
            waiting: engine.waiting.len() as u32,
            prefilling: engine.running.iter().filter(|run| run.to_prefill > 0).count() as u32,
            memory: engine.memory(),
        };
        let new = self.engines.iter().map(report).collect();
        let old = std::mem::replace(&mut self.reports, new);
        if !self.scenario.reports.contains(&now) {
            return;
        }
        for host in &mut self.hosts {
            for (load, report) in host.loads.iter_mut().zip(&old) {
                load.record_report(*report, ms(now - REPORT_MS));
            }
        }
    }

    /// Drops the requests that have not begun by their deadline.
    fn expire(&mut self, now: u64) {
        let reqs = &self.reqs;
        let is_over = |run: &mut Run| {
            let req = &reqs[run.id];
            !req.has_begun && now > req.at + CLASSES[req.class].deadline
        };
        let waiting = self.engines.iter_mut().map(|engine| &mut engine.waiting);
        let over: Vec<_> = waiting
            .flat_map(|waiting| waiting.extract_if(.., is_over))
            .collect();
        over.into_iter().for_each(|run| self.forget(run.id));
    }

    /// Takes an engine away; its requests that have not begun are placed again.
    fn lose(&mut self, index: usize, now: u64) {
        let engine = &mut self.engines[index];
        let lost: Vec<_> = engine.waiting.drain(..).chain(engine.running.drain(..)).collect();
        engine.cache.clear();
        for run in lost {
            self.forget(run.id);
            if !self.reqs[run.id].has_begun {
                self.arrivals.insert((now, run.id));
            }
        }
    }
}
