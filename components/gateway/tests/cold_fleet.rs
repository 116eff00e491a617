//! A fleet of engines that crash and come back cold, in virtual time: today's rule and the quota.

mod support;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use gateway::{
    Candidate, ColdBound, ColdEntry, ColdLimit, ColdPermit, ColdRules, ColdTargets, Decision, Demand,
    LoadEstimate, Pace, ReportedLoad, SendOutcome, StoreClock, Work, decide, sample,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use support::ms;
use utils::HostId;

const HOSTS: usize = 85;
const ENGINES: usize = 60;
/// Engines that crash three times.
const CRASHING: usize = ENGINES / 3;
/// Times of these crashes, in seconds, and the time until an engine is back.
const CRASH_TIMES: [u64; 3] = [10, 13, 16];
const DOWN_TIME: Duration = Duration::from_secs(1);
const SIMULATED: Duration = Duration::from_secs(60);
/// Time from which the fleet counts as recovered.
const RECOVERED_AT: Duration = Duration::from_secs(40);
/// Time between requests of the whole fleet, and of one request at an engine.
const ARRIVAL: Duration = Duration::from_micros(600);
const RUN_TIME: Duration = Duration::from_millis(1_200);
/// Time after a request for which the end of its connection tells a host of a crash.
const IDLE_TIME: Duration = Duration::from_secs(2);
/// Requests that an engine takes at once; it rejects more.
const SLOTS: u32 = 64;
/// Time between reports of the engines' load, and between renewals of their entries.
const REPORT_INTERVAL: Duration = Duration::from_millis(650);
const RENEWAL: Duration = Duration::from_millis(1_200);
/// Most sends of one request.
const MAX_SENDS: usize = 4;
/// Most requests in a second that a cold engine survives.
const MOST_WHILE_COLD: usize = 29;

fn rules() -> ColdRules {
    let limit = ColdLimit {
        duration: Duration::from_secs(8),
        per_second: 16.0,
    };
    let bound = ColdBound {
        overrun: 1.5,
        slack: 5.0,
    };
    ColdRules::new(limit, &bound)
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A request ends that host sent to a run of an engine.
    End(usize, usize, u64),
    /// A host sees an entry of an engine: its run, and until when it is cold.
    Entry(usize, usize, u64, Duration),
    /// An engine renews its entry.
    Renewal(usize),
    /// An engine crashes whatever it does.
    Crash(usize),
    /// An engine is back.
    Back(usize),
    /// Hosts get the engines' reports and the list of hosts.
    Report,
}

struct Engine {
    is_down: bool,
    run: u64,
    running: u32,
    cold_until: Duration,
    /// Times of the arrivals of the last second.
    arrivals: VecDeque<Duration>,
}

struct Host {
    cold: ColdTargets,
    /// Known run and estimated load of each engine.
    engines: Vec<(u64, LoadEstimate)>,
    /// Time of the last send to each engine.
    last_sent: Vec<Duration>,
    joins_at: Duration,
    /// Time in which the host does not run, or sees neither entries nor the list of hosts.
    frozen: (Duration, Duration),
    cut_off: (Duration, Duration),
    /// Time until the host sees an entry.
    delay: Duration,
}

fn is_in((start, end): (Duration, Duration), now: Duration) -> bool {
    (start..end).contains(&now)
}

struct Fleet {
    now: Duration,
    rng: StdRng,
    has_quota: bool,
    engines: Vec<Engine>,
    hosts: Vec<Host>,
    events: BinaryHeap<Reverse<(Duration, Event)>>,
    result: Outcome,
}

#[derive(Debug, Default)]
struct Outcome {
    /// Crashes by overload, and those after the fleet should have recovered.
    crashes: usize,
    late_crashes: usize,
    /// Requests after the fleet should have recovered, and those that no engine took or that a crash ended.
    late_requests: usize,
    late_failed: usize,
    /// Most requests in a second at a cold engine.
    most_while_cold: usize,
}

impl Fleet {
    fn new(has_quota: bool, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let hosts = (0..HOSTS).map(|number| {
            let name: HostId = format!("host-{number}").into();
            let mut cold = ColdTargets::new(name);
            let mut clock = StoreClock::default();
            clock.record(ms(1_000_000 + rng.random_range(0..80)), Duration::ZERO);
            cold.set_store_clock(clock);
            let mut fault = |from: usize, length: u64| {
                let start = ms(rng.random_range(9_000..30_000));
                let is_hit = (from..from + 8).contains(&number);
                (start, if is_hit { start + ms(length) } else { start })
            };
            Host {
                cold,
                engines: (0..ENGINES).map(|_| (0, LoadEstimate::default())).collect(),
                last_sent: vec![Duration::ZERO; ENGINES],
                frozen: fault(0, 4_000),
                cut_off: fault(8, 15_000),
                joins_at: if number >= 75 {
                    ms(1_000 * (number as u64 - 70))
                } else {
                    ms(0)
                },
                delay: ms(rng.random_range(100..1_800)),
            }
        });
        let hosts = hosts.collect();
        let engines = (0..ENGINES).map(|_| Engine {
            is_down: false,
            run: 0,
            running: 0,
            cold_until: Duration::ZERO,
            arrivals: VecDeque::new(),
        });
        let mut fleet = Self {
            now: Duration::ZERO,
            has_quota,
            engines: engines.collect(),
            hosts,
            events: BinaryHeap::new(),
            result: Outcome::default(),
            rng,
        };
        fleet.at(Duration::ZERO, Event::Report);
        for engine in 0..ENGINES {
            fleet.at(ms(20 * engine as u64), Event::Renewal(engine));
            for time in CRASH_TIMES.iter().filter(|_| engine < CRASHING) {
                fleet.at(Duration::from_secs(*time), Event::Crash(engine));
            }
        }
        fleet
    }

    fn at(&mut self, time: Duration, event: Event) {
        self.events.push(Reverse((time, event)));
    }

    fn run(mut self) -> Outcome {
        while self.now < SIMULATED {
            while self.events.peek().is_some_and(|Reverse((at, _))| *at <= self.now) {
                if let Some(Reverse((_, event))) = self.events.pop() {
                    self.handle(event);
                }
            }
            let host = self.rng.random_range(0..HOSTS);
            let is_up = self.now >= self.hosts[host].joins_at && !is_in(self.hosts[host].frozen, self.now);
            if is_up {
                let is_served = self.serve(host);
                if self.now >= RECOVERED_AT {
                    self.result.late_requests += 1;
                    self.result.late_failed += usize::from(!is_served);
                }
            }
            self.now += ARRIVAL;
        }
        self.result
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::End(host, engine, run) if self.engines[engine].run == run => {
                self.engines[engine].running -= 1;
                let (known, load) = &mut self.hosts[host].engines[engine];
                if *known == run {
                    load.record_end(work());
                }
            }
            Event::End(..) => {}
            Event::Entry(host, engine, run, cold_until) => {
                let host = &mut self.hosts[host];
                if host.engines[engine].0 > run || is_in(host.cut_off, now) {
                    return;
                }
                if host.engines[engine].0 < run {
                    host.engines[engine] = (run, LoadEstimate::default());
                }
                // The remaining time was written with the entry.
                let written_at = now.saturating_sub(host.delay);
                let entry = ColdEntry {
                    instance: instance(engine),
                    run: format!("{}/{run}", instance(engine)).into(),
                    service: "s".into(),
                    remaining: Some(cold_until.saturating_sub(written_at)),
                };
                host.cold.record_entry(&entry, now);
            }
            Event::Renewal(engine) => {
                self.at(now + RENEWAL, Event::Renewal(engine));
                self.write_entry(engine);
            }
            Event::Crash(engine) if !self.engines[engine].is_down => self.crash(engine),
            Event::Crash(_) => {}
            Event::Back(engine) => {
                self.engines[engine].is_down = false;
                self.engines[engine].cold_until = now + rules().limit.duration;
                self.write_entry(engine);
            }
            Event::Report => {
                self.at(now + REPORT_INTERVAL, Event::Report);
                self.report();
            }
        }
    }

    fn write_entry(&mut self, engine: usize) {
        let Engine {
            is_down,
            run,
            cold_until,
            ..
        } = self.engines[engine];
        if !is_down {
            for host in 0..HOSTS {
                let seen_at = self.now + self.hosts[host].delay;
                self.at(seen_at, Event::Entry(host, engine, run, cold_until));
            }
        }
    }

    fn report(&mut self) {
        let now = self.now;
        let joined = |host: &&Host| now >= host.joins_at + ms(1_000);
        let names: Vec<HostId> = (0..HOSTS)
            .filter(|number| joined(&&self.hosts[*number]))
            .map(|number| format!("host-{number}").into())
            .collect();
        for host in &mut self.hosts {
            if is_in(host.cut_off, now) || is_in(host.frozen, now) {
                continue;
            }
            host.cold.hosts.update(names.iter(), now);
            host.cold.hosts.confirm(now);
            for ((run, load), engine) in host.engines.iter_mut().zip(&self.engines) {
                if *run == engine.run && !engine.is_down {
                    let report = ReportedLoad {
                        running: engine.running,
                        waiting: 0,
                        prefilling: 0,
                        memory: 0,
                    };
                    load.record_report(report, now);
                }
            }
        }
    }

    /// Crashes an engine: its requests fail, which their hosts notice.
    fn crash(&mut self, engine: usize) {
        let state = &mut self.engines[engine];
        if self.now >= RECOVERED_AT {
            self.result.late_failed += state.running as usize;
        }
        state.is_down = true;
        state.run += 1;
        state.running = 0;
        state.arrivals.clear();
        for host in &mut self.hosts {
            let (_, load) = &mut host.engines[engine];
            let is_running = load.own_requests() > 0;
            if is_running {
                load.record_outcome(SendOutcome::Failed, self.now);
            }
            if is_running || self.now < host.last_sent[engine] + IDLE_TIME {
                host.cold.record_failure(&instance(engine), self.now);
            }
        }
        self.at(self.now + DOWN_TIME, Event::Back(engine));
    }

    /// Places a request at a host and sends it until an engine takes it; returns whether one did.
    fn serve(&mut self, host: usize) -> bool {
        let mut tried = Vec::new();
        for _ in 0..MAX_SENDS {
            let Some((engine, permit)) = self.place(host, &tried) else {
                return false;
            };
            tried.push(engine);
            if permit.is_some() && self.send(host, engine) {
                return true;
            }
        }
        false
    }

    fn place(&mut self, number: usize, tried: &[usize]) -> Option<(usize, Option<ColdPermit>)> {
        let now = self.now;
        let host = &mut self.hosts[number];
        let mut allowed: Vec<usize> = (0..ENGINES).filter(|engine| !tried.contains(engine)).collect();
        if self.has_quota {
            allowed.retain(|engine| host.cold.has_quota(&instance(*engine), &rules(), now));
        }
        allowed.retain(|engine| !host.engines[*engine].1.is_paused(now));
        // Each session has another order of engines.
        let shift = self.rng.random_range(0..allowed.len().max(1));
        allowed.rotate_left(shift);
        let candidates: Vec<_> = allowed
            .iter()
            .map(|engine| candidate(*engine, number, &host.engines[*engine].1, now))
            .collect();
        let compared = sample(&candidates, true, HOSTS, &mut self.rng);
        let sampled: Vec<_> = compared.iter().map(|index| candidates[*index]).collect();
        let engine = match decide(&demand(), &sampled, self.rng.random()) {
            Decision::Send(choice) => allowed[compared[choice.index]],
            _ => return None,
        };
        let permit = match self.has_quota {
            true => host.cold.take(&instance(engine), &rules(), now),
            false => Some(ColdPermit::Warm),
        };
        Some((engine, permit))
    }

    /// Sends a request; returns whether the engine runs it to its end, as far as is known now.
    fn send(&mut self, number: usize, engine: usize) -> bool {
        let now = self.now;
        let state = &mut self.engines[engine];
        let host = &mut self.hosts[number];
        let load = &mut host.engines[engine].1;
        if state.is_down {
            load.record_outcome(SendOutcome::Unreachable, now);
            host.cold.record_failure(&instance(engine), now);
            return false;
        }
        host.last_sent[engine] = now;
        state.arrivals.push_back(now);
        while state.arrivals.front().is_some_and(|at| *at + ms(1_000) <= now) {
            state.arrivals.pop_front();
        }
        let is_cold = now < state.cold_until;
        if is_cold {
            self.result.most_while_cold = self.result.most_while_cold.max(state.arrivals.len());
        }
        if is_cold && state.arrivals.len() > MOST_WHILE_COLD {
            self.result.crashes += 1;
            self.result.late_crashes += usize::from(now >= RECOVERED_AT);
            self.crash(engine);
            return false;
        }
        if state.running >= SLOTS {
            load.record_outcome(SendOutcome::Rejected, now);
            return false;
        }
        state.running += 1;
        load.record_start(work(), now);
        load.record_first_byte(work().prefill_tokens, now);
        load.record_outcome(SendOutcome::Answered(ms(100)), now);
        let run = state.run;
        self.at(now + RUN_TIME, Event::End(number, engine, run));
        true
    }
}

fn instance(engine: usize) -> String {
    format!("engine-{engine}")
}

fn work() -> Work {
    Work {
        memory: 2_000,
        prefill_tokens: 0,
    }
}

fn demand() -> Demand {
    Demand {
        prompt_tokens: 2_000,
        shared_tokens: 0,
        memory: 2_000,
        priority: 1,
        latency_target: ms(600),
        time_left: ms(9_000),
        pace: Pace::default(),
    }
}

fn candidate(engine: usize, host: usize, load: &LoadEstimate, now: Duration) -> Candidate {
    Candidate {
        distance: if engine % 2 == host % 2 { 1 } else { 2 },
        requests: load.requests(12.0, now),
        waiting: load.waiting(now),
        queued: load.queued(now),
        memory: (load.memory(2_000.0, 12.0, now), 151_766),
        slots: SLOTS,
        prefill_backlog: load.prefill_backlog(),
        cache_hit_chance: 0.0,
        latency_ms: load.latency_ms(),
        failures: load.failures(),
        has_old_weights: false,
        is_connected: true,
    }
}

// Guards against a collapse that sustains itself: engines that come back cold are sent more than they tolerate, crash
// again, and so on after the fault has ended.
#[test]
fn engines_that_come_back_cold_recover_only_with_the_quota() {
    for seed in [1, 2] {
        let before = Fleet::new(false, seed).run();
        let after = Fleet::new(true, seed).run();
        assert!(before.late_crashes >= 100, "{before:?}");
        assert_eq!(after.crashes, 0, "{after:?}");
        assert!(after.late_failed * 1_000 <= after.late_requests, "{after:?}");
        assert!(after.most_while_cold <= MOST_WHILE_COLD, "{after:?}");
    }
}
