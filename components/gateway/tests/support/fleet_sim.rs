//! A fleet in virtual time: hosts in two regions that place prompts by late reports, engines that prefill in chunks
//! between the tokens of running streams, and a link of limited capacity between the regions.

use std::cmp::Reverse;
use std::collections::VecDeque;
use std::time::Duration;

use gateway::{
    Candidate, Choice, Demand, FleetEffects, LinkUse, LoadEstimate, OwnerRank, Pace, ReportedLoad,
    ResponseLoad, ServiceTimes, Sessions, StreamTimes, TargetCondition, TargetSpeed, Work, average_others,
    spread_for,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use utils::rendezvous_score;

use crate::old_rule::OldLoad;

/// Tokens that an engine prefills in one step, and in a millisecond.
const CHUNK_TOKENS: f64 = 1_024.0;
const PREFILL_TOKENS_PER_MS: f64 = 112.0;
/// Length of a step without prefill, and its growth per running request, in milliseconds.
const STEP_MS: f64 = 3.23;
const STEP_PER_REQUEST_MS: f64 = 0.08;
/// Interval between the reports of an engine, and between the fetches of a host, in milliseconds.
const REPORT_MS: u64 = 400;
const FETCH_MS: u64 = 500;
/// Bytes of a prompt token and of an event.
const BYTES_PER_TOKEN: u32 = 6;
const EVENT_BYTES: u32 = 150;
/// Longest gap between the events of a stream in time, in milliseconds.
const GAP_TARGET_MS: u64 = 250;
/// Warm-up time that is not counted, in milliseconds.
const WARM_UP_MS: u64 = 3_000;

/// A kind of request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Class {
    pub tokens: u32,
    pub shared: u32,
    pub out: u32,
    pub per_second: f64,
    pub target_ms: u64,
    pub priority: u8,
    pub sessions: u64,
}

/// Size of a fleet and its load.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Fleet {
    pub hosts: usize,
    pub engines: usize,
    pub slots: u32,
    pub memory: u64,
    pub classes: [Class; 3],
    /// Whether a tenth of the engines is slow for good and a tenth from time to time.
    pub is_noisy: bool,
    /// Capacity of the link in each direction, in bytes per millisecond; 7,500 are 60 Mbit/s.
    pub link_bytes_per_ms: f64,
    /// Time from which no reports arrive, in milliseconds.
    pub reports_until_ms: u64,
    /// Length of the play, in milliseconds.
    pub length_ms: u64,
}

/// Chooses an engine for a request.
pub(crate) trait Rule {
    fn choose(
        &self,
        demand: &Demand,
        candidates: &[Candidate],
        hosts: usize,
        rng: &mut StdRng,
    ) -> Option<Choice>;
    /// Whether the estimates use what section D of `docs/design/load-control.md` added.
    fn is_new(&self) -> bool;
}

/// What a play measured after the warm-up.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    /// Requests that were sent.
    pub sent: u32,
    /// Median and 99th percentile of the time to the first token, in milliseconds.
    pub first_token_ms: (f64, f64),
    /// Share of the requests whose first token was later than their target.
    pub late_share: f64,
    /// Highest load of an engine over the mean, averaged over samples of the running and waiting requests.
    pub peak_to_mean: f64,
    /// Share of the shared tokens that were cached.
    pub cached_share: f64,
    /// Share of the streams with a gap above 250 ms.
    pub gap_share: f64,
    /// Share of the sends that crossed the link.
    pub far_share: f64,
    /// Share of the link's capacity that was used.
    pub link_share: f64,
}

struct Run {
    class: Class,
    host: usize,
    session: u64,
    work: Work,
    sent_at: u64,
    choice: Choice,
    prefill_left: f64,
    cached: f64,
    made: u32,
    first_event: f64,
    last_event: f64,
    longest_gap: f64,
}

#[derive(Default)]
struct Engine {
    running: Vec<Run>,
    waiting: VecDeque<Run>,
    /// Sessions in the cache with their tokens, the least recently used first.
    cache: VecDeque<(u64, u32)>,
    step_end: f64,
    report: Option<(ReportedLoad, u64)>,
}

impl Engine {
    /// Returns the tokens that can not be evicted. Requests of a session share its part.
    fn used(&self) -> u64 {
        let own = |run: &Run| u64::from(run.class.tokens - run.class.shared + run.made);
        let mut parts: Vec<_> = self
            .running
            .iter()
            .map(|run| (run.session, run.class.shared))
            .collect();
        parts.sort_unstable();
        parts.dedup();
        self.running.iter().map(own).sum::<u64>()
            + parts.iter().map(|(_, tokens)| u64::from(*tokens)).sum::<u64>()
    }

    fn is_running(&self, session: u64) -> bool {
        self.running.iter().any(|run| run.session == session)
    }

    fn requests(&self) -> u32 {
        (self.running.len() + self.waiting.len()) as u32
    }

    fn load(&self) -> ReportedLoad {
        ReportedLoad {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            prefilling: self.running.iter().filter(|run| run.prefill_left > 0.0).count() as u32,
            memory: self.used(),
        }
    }

    fn touch(&mut self, session: u64, tokens: u32, memory: u64) {
        self.cache.retain(|(other, _)| *other != session);
        self.cache.push_back((session, tokens));
        let used = self.used();
        let idle: Vec<_> = self
            .cache
            .iter()
            .copied()
            .filter(|(session, _)| !self.is_running(*session))
            .collect();
        let mut evictable: u64 = idle.iter().map(|(_, tokens)| u64::from(*tokens)).sum();
        for (session, tokens) in idle {
            if used + evictable <= memory {
                return;
            }
            evictable -= u64::from(tokens);
            self.cache.retain(|(other, _)| *other != session);
        }
    }

    fn admit(&mut self, fleet: &Fleet) {
        while self.running.len() < fleet.slots as usize {
            let Some(position) = (0..self.waiting.len()).min_by_key(|i| self.waiting[*i].class.priority)
            else {
                return;
            };
            if self.used() + u64::from(self.waiting[position].class.tokens) > fleet.memory {
                return;
            }
            let Some(mut run) = self.waiting.remove(position) else {
                return;
            };
            let is_cached = self.cache.iter().any(|(session, _)| *session == run.session);
            run.cached = if is_cached {
                f64::from(run.class.shared)
            } else {
                0.0
            };
            run.prefill_left = f64::from(run.class.tokens) - run.cached;
            self.running.push(run);
        }
    }

    /// Preempts the newest of the least urgent requests while the memory is overfull.
    fn preempt(&mut self, fleet: &Fleet) {
        while self.used() > fleet.memory && self.running.len() > 1 {
            let newest = (0..self.running.len()).max_by_key(|i| (self.running[*i].class.priority, *i));
            let run = self.running.remove(newest.unwrap_or_default());
            self.waiting.push_front(run);
        }
    }

    /// Runs one step of prefill and decoding and returns its length.
    fn step(&mut self, speed: f64) -> f64 {
        let mut chunk = CHUNK_TOKENS;
        for run in &mut self.running {
            let tokens = run.prefill_left.min(chunk);
            run.prefill_left -= tokens;
            chunk -= tokens;
        }
        let prefill_ms = (CHUNK_TOKENS - chunk) / PREFILL_TOKENS_PER_MS;
        speed * (STEP_MS + STEP_PER_REQUEST_MS * self.running.len() as f64 + prefill_ms)
    }
}

struct Host {
    loads: Vec<LoadEstimate>,
    old_loads: Vec<OldLoad>,
    speeds: Vec<TargetSpeed>,
    times: ServiceTimes,
    sessions: Sessions,
    pace: Pace,
    link: LinkUse,
    fetches_at: u64,
}

/// Plays a fleet under a rule.
pub(crate) struct Play<'a, R: Rule> {
    fleet: Fleet,
    rule: &'a R,
    rng: StdRng,
    hosts: Vec<Host>,
    engines: Vec<Engine>,
    names: Vec<String>,
    noisy_until: Vec<u64>,
    link_free_at: [f64; 2],
    arriving: Vec<(f64, usize, Run)>,
    first_tokens: Vec<f64>,
    late: u32,
    gaps: (u32, u32),
    tokens: (f64, f64),
    far: u32,
    peaks: Vec<f64>,
    link_ms: f64,
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

impl<'a, R: Rule> Play<'a, R> {
    pub(crate) fn new(fleet: Fleet, rule: &'a R, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let host = |_| Host {
            loads: vec![LoadEstimate::default(); fleet.engines],
            old_loads: vec![OldLoad::default(); fleet.engines],
            speeds: vec![TargetSpeed::default(); fleet.engines],
            times: ServiceTimes::default(),
            sessions: Sessions::default(),
            pace: Pace::default(),
            link: LinkUse::default(),
            fetches_at: rng.random_range(0..FETCH_MS),
        };
        let hosts = (0..fleet.hosts).map(host).collect();
        Self {
            fleet,
            rule,
            hosts,
            engines: (0..fleet.engines).map(|_| Engine::default()).collect(),
            names: (0..fleet.engines).map(|i| format!("engine-{i}")).collect(),
            noisy_until: vec![0; fleet.engines],
            link_free_at: [0.0; 2],
            arriving: Vec::new(),
            first_tokens: Vec::new(),
            late: 0,
            gaps: (0, 0),
            tokens: (0.0, 0.0),
            far: 0,
            peaks: Vec::new(),
            link_ms: 0.0,
            rng,
        }
    }

    pub(crate) fn run(mut self) -> Outcome {
        for now in 0..self.fleet.length_ms {
            self.report(now);
            self.place_arrivals(now);
            let is_here = |(at, _, _): &mut (f64, usize, Run)| *at <= now as f64;
            for (_, engine, run) in self.arriving.extract_if(.., is_here) {
                self.engines[engine].waiting.push_back(run);
            }
            for engine in 0..self.engines.len() {
                self.advance(engine, now);
            }
            if now >= WARM_UP_MS && now.is_multiple_of(20) {
                let loads = self.engines.iter().map(|engine| f64::from(engine.requests()));
                let mean = loads.clone().sum::<f64>() / self.engines.len() as f64;
                self.peaks.push(loads.fold(0.0, f64::max) / mean.max(0.1));
            }
        }
        self.first_tokens.sort_by(f64::total_cmp);
        let quantile = |q: f64| self.first_tokens[(q * (self.first_tokens.len() - 1) as f64) as usize];
        let sent = self.first_tokens.len() as u32;
        Outcome {
            sent,
            first_token_ms: (quantile(0.5), quantile(0.99)),
            late_share: f64::from(self.late) / f64::from(sent),
            peak_to_mean: self.peaks.iter().sum::<f64>() / self.peaks.len() as f64,
            cached_share: self.tokens.0 / self.tokens.1,
            gap_share: f64::from(self.gaps.0) / f64::from(self.gaps.1),
            far_share: f64::from(self.far) / f64::from(sent),
            link_share: self.link_ms / 2.0 / self.fleet.length_ms as f64,
        }
    }

    fn report(&mut self, now: u64) {
        if now >= self.fleet.reports_until_ms {
            return;
        }
        for (i, engine) in self.engines.iter_mut().enumerate() {
            if (now + 7 * i as u64).is_multiple_of(REPORT_MS) {
                engine.report = Some((engine.load(), now));
            }
        }
        for host in &mut self.hosts {
            if now % FETCH_MS != host.fetches_at {
                continue;
            }
            for (i, engine) in self.engines.iter().enumerate() {
                if let Some((report, at)) = engine.report {
                    host.loads[i].record_report(report, ms(at));
                    host.old_loads[i].report(report, at);
                }
            }
        }
    }

    fn place_arrivals(&mut self, now: u64) {
        for (kind, class) in self.fleet.classes.into_iter().enumerate() {
            // Arrivals of a Poisson process; two in one millisecond are rare.
            let mut expected = class.per_second / 1e3;
            while self.rng.random::<f64>() < expected.min(0.5) {
                let host = self.rng.random_range(0..self.fleet.hosts);
                // Some sessions are more frequent than others.
                let rank = self.rng.random::<f64>().powf(1.7);
                let session = 1_000 * kind as u64 + (rank * class.sessions as f64) as u64;
                self.place(class, host, session, now);
                expected -= 0.5;
            }
        }
    }

    fn distance(&self, host: usize, engine: usize) -> usize {
        match (host % 6, engine % 6) {
            (a, b) if a == b => 0,
            (a, b) if a % 2 == b % 2 => 1,
            _ => 2,
        }
    }

    fn place(&mut self, class: Class, host: usize, session: u64, now: u64) {
        let mut order: Vec<usize> = (0..self.fleet.engines).collect();
        let key = session.to_le_bytes();
        order.sort_by_cached_key(|i| Reverse(rendezvous_score(&key, &self.names[*i])));
        let hosts = self.fleet.hosts;
        let state = &self.hosts[host];
        let own: u32 = state.loads.iter().map(LoadEstimate::own_requests).sum();
        let others = average_others(&state.loads, self.fleet.engines, hosts, ms(now));
        let own_memory = state.loads.iter().map(LoadEstimate::own_memory).sum::<u64>();
        let own_memory = if own == 0 {
            4_000.0
        } else {
            own_memory as f64 / f64::from(own)
        };
        let expected_others = f64::from(own) / self.fleet.engines as f64 * (hosts - 1) as f64;
        let first_near = order.iter().position(|engine| self.distance(host, *engine) < 2);
        let candidates: Vec<_> = order
            .iter()
            .enumerate()
            .map(|(position, engine)| {
                let load = &state.loads[*engine];
                let rank = OwnerRank::new(position, first_near.filter(|_| self.rule.is_new()));
                let (requests, waiting, queued, memory) = match self.rule.is_new() {
                    false => state.old_loads[*engine].at(expected_others, own_memory, now),
                    true => (
                        load.requests(others.requests, ms(now)),
                        load.waiting(ms(now)),
                        load.queued(others.queued, ms(now)),
                        load.memory(others.memory, others.requests, ms(now)),
                    ),
                };
                Candidate {
                    distance: self.distance(host, *engine),
                    requests,
                    waiting,
                    queued,
                    memory: (memory, self.fleet.memory),
                    slots: self.fleet.slots,
                    prefill_backlog: load.prefill_backlog(),
                    cache_hit_chance: state.sessions.cache_hit_chance(
                        session,
                        &self.names[*engine],
                        rank,
                        ms(now),
                    ),
                    latency_ms: load.latency_ms(),
                    failures: load.failures(),
                    has_old_weights: false,
                    is_connected: true,
                    condition: match self.rule.is_new() {
                        true => state.speeds[*engine].condition(ms(now)),
                        false => TargetCondition::default(),
                    },
                }
            })
            .collect();
        let bytes = class.tokens * BYTES_PER_TOKEN + class.out * EVENT_BYTES;
        let demand = Demand {
            prompt_tokens: class.tokens,
            shared_tokens: class.shared,
            memory: class.tokens + class.out / 2,
            priority: class.priority,
            latency_target: ms(class.target_ms),
            time_left: ms(12_000),
            pace: state.pace,
            gap_target: Some(ms(GAP_TARGET_MS)),
            fleet: FleetEffects {
                link_cost: state.link.cost(f64::from(bytes), hosts, ms(now)),
                spread: spread_for(hosts),
            },
        };
        let Some(choice) = self.rule.choose(&demand, &candidates, hosts, &mut self.rng) else {
            return;
        };
        let held = candidates[choice.index].cache_hit_chance * f64::from(class.shared);
        let engine = order[choice.index];
        let work = Work {
            memory: demand.memory.into(),
            prefill_tokens: (f64::from(class.tokens) - held).max(0.0) as u64,
        };
        let distance = candidates[choice.index].distance;
        self.hosts[host].loads[engine].record_start(work, ms(now));
        self.hosts[host].old_loads[engine].start(work, now);
        self.hosts[host]
            .sessions
            .record_sent(session, (*self.names[engine]).into(), ms(now));
        if distance == 2 {
            self.hosts[host].link.record(f64::from(bytes), hosts, ms(now));
        }
        let arrived = self.transfer(host % 2, distance, class.tokens * BYTES_PER_TOKEN, now as f64);
        if now >= WARM_UP_MS {
            self.far += u32::from(distance == 2);
        }
        let run = Run {
            class,
            host,
            session,
            work,
            choice,
            sent_at: now,
            prefill_left: 0.0,
            cached: 0.0,
            made: 0,
            first_event: 0.0,
            last_event: 0.0,
            longest_gap: 0.0,
        };
        self.arriving.push((arrived, engine, run));
    }

    /// Returns when bytes arrive that are sent from a region.
    fn transfer(&mut self, region: usize, distance: usize, bytes: u32, now: f64) -> f64 {
        if distance < 2 {
            return now + [0.1, 1.5][distance];
        }
        self.link_ms += f64::from(bytes) / self.fleet.link_bytes_per_ms;
        let free_at = &mut self.link_free_at[region];
        *free_at = free_at.max(now) + f64::from(bytes) / self.fleet.link_bytes_per_ms;
        *free_at + 8.0
    }

    fn speed(&mut self, engine: usize, now: u64) -> f64 {
        if !self.fleet.is_noisy {
            return 1.0;
        }
        match engine % 10 {
            3 => 1.3,
            7 => {
                if now > self.noisy_until[engine] + 1_500 {
                    self.noisy_until[engine] = now + self.rng.random_range(400..600);
                }
                if now < self.noisy_until[engine] { 2.5 } else { 1.0 }
            }
            _ => 1.0,
        }
    }

    fn advance(&mut self, index: usize, now: u64) {
        while self.engines[index].step_end <= now as f64 {
            self.engines[index].admit(&self.fleet);
            if self.engines[index].running.is_empty() {
                self.engines[index].step_end = now as f64 + 1.0;
                return;
            }
            let speed = self.speed(index, now);
            let engine = &mut self.engines[index];
            let start = engine.step_end;
            engine.step_end = start + engine.step(speed);
            self.make_tokens(index);
            self.engines[index].preempt(&self.fleet);
        }
    }

    /// Makes a token for each running request that is prefilled, and ends those that are complete.
    fn make_tokens(&mut self, index: usize) {
        let at = self.engines[index].step_end;
        let mut running = std::mem::take(&mut self.engines[index].running);
        let mut left = Vec::with_capacity(running.len());
        let mut touched = Vec::new();
        let load = ResponseLoad {
            running: running.len() as u32,
            waiting: self.engines[index].waiting.len() as u32,
            slots: self.fleet.slots,
        };
        for mut run in running.drain(..) {
            if run.prefill_left > 0.0 {
                left.push(run);
                continue;
            }
            let distance = self.distance(run.host, index);
            let seen = self.transfer((run.host + 1) % 2, distance, EVENT_BYTES, at);
            if run.made == 0 {
                self.first_token(index, &run, seen, at, load);
                run.first_event = seen;
                touched.push((run.session, run.class.shared));
            } else {
                run.longest_gap = run.longest_gap.max(seen - run.last_event);
            }
            run.last_event = seen;
            run.made += 1;
            if run.made < run.class.out {
                left.push(run);
                continue;
            }
            let ended = Work {
                prefill_tokens: 0,
                ..run.work
            };
            self.hosts[run.host].loads[index].record_end(ended, ms(run.sent_at), ms(at as u64));
            self.hosts[run.host].old_loads[index].end(run.work);
            let times = StreamTimes {
                events: u64::from(run.made) - 1,
                rest: Duration::from_secs_f64((seen - run.first_event) / 1e3),
                longest_gap: Duration::from_secs_f64(run.longest_gap / 1e3),
            };
            let host = &mut self.hosts[run.host];
            if let Some(ratio) = host.times.observe_stream(&times) {
                host.speeds[index].observe_events(ratio, ms(at as u64));
            }
            host.speeds[index].observe_gap(times.longest_gap > ms(GAP_TARGET_MS), ms(at as u64));
            if run.sent_at >= WARM_UP_MS {
                self.gaps.0 += u32::from(run.longest_gap > GAP_TARGET_MS as f64);
                self.gaps.1 += 1;
            }
        }
        self.engines[index].running = left;
        for (session, tokens) in touched {
            self.engines[index].touch(session, tokens, self.fleet.memory);
        }
    }

    fn first_token(&mut self, index: usize, run: &Run, seen: f64, at: f64, load: ResponseLoad) {
        let took = seen - run.sent_at as f64;
        let distance = self.distance(run.host, index);
        let host = &mut self.hosts[run.host];
        let expected_ms = host.pace.expected_ms(&run.choice.parts);
        host.link
            .record_lateness(distance == 2, took - expected_ms, ms(seen as u64));
        if distance < 2 {
            let took = Duration::from_secs_f64(took / 1e3);
            let ratio = host.times.observe_first_byte(&host.pace, &run.choice.parts, took);
            host.speeds[index].observe_first_byte(ratio, ms(seen as u64));
        }
        host.pace
            .observe(&run.choice.parts, Duration::from_secs_f64(took / 1e3));
        host.loads[index].record_first_byte(run.work.prefill_tokens, ms(run.sent_at), ms(seen as u64));
        host.loads[index].record_answer_load(load, ms(seen as u64));
        host.old_loads[index].first_byte(run.work.prefill_tokens, run.sent_at);
        host.old_loads[index].answer(load.running, load.waiting, at as u64);
        if run.sent_at < WARM_UP_MS {
            return;
        }
        self.first_tokens.push(took);
        self.late += u32::from(took > run.class.target_ms as f64);
        self.tokens.0 += run.cached;
        self.tokens.1 += f64::from(run.class.shared);
    }
}
