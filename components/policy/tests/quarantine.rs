//! Guards the number of targets that a request can crash while callers resend it to any host and hosts are
//! replaced. Runs in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use policy::{Crash, Fingerprint, Permit, Quarantine, Suspicion, TryId, TryOutcome};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use utils::{HostId, Monotonic, TargetId};

const HOSTS: usize = 9;
const TARGETS: usize = 20;
const TICK: Duration = Duration::from_millis(50);
/// Ticks for which a healthy request runs.
const RUN_TICKS: u64 = 40;
/// Ticks until a bad request crashes its target.
const CRASH_TICKS: u64 = 8;
/// Ticks until a crashed target is up again.
const RESTART_TICKS: u64 = 60;
/// Mean number of ticks between replacements of a host.
const REPLACE_TICKS: u64 = 100;
/// Number of callers that send each bad request at the same time.
const CALLERS_PER_BAD_REQUEST: usize = 9;
/// Time after which a try no longer blocks equal requests.
const LONGEST_TRY: Duration = Duration::from_secs(60);

#[derive(Clone)]
struct Call {
    request: Fingerprint,
    is_bad: bool,
    /// Number of times that the caller may still send the request.
    sends: u32,
}

struct Run {
    call: Call,
    id: TryId,
    /// Whether the sending host was removed.
    is_orphan: bool,
    target: usize,
    ends_at: u64,
}

struct Target {
    incarnation: u64,
    down_until: u64,
}

/// Hosts, targets and the rows of the table service.
struct Sim {
    rng: ChaCha8Rng,
    tick: u64,
    /// Number of tries so far.
    tries: u64,
    /// One register per host; the owner of a fingerprint grants its permits.
    registers: Vec<Quarantine>,
    /// Rows of the table service.
    table: BTreeMap<Fingerprint, Suspicion>,
    targets: Vec<Target>,
    waiting: Vec<Call>,
    running: Vec<Run>,
    /// Number of crashes caused by each bad request.
    crashes: BTreeMap<Fingerprint, usize>,
    healthy: usize,
    answered: usize,
    quarantined_healthy: usize,
    /// Number of healthy requests that ran on a target when it crashed.
    affected_healthy: usize,
}

impl Sim {
    fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            tick: 0,
            tries: 0,
            registers: (0..HOSTS).map(|_| Quarantine::new(LONGEST_TRY)).collect(),
            table: BTreeMap::new(),
            targets: (0..TARGETS)
                .map(|_| Target {
                    incarnation: 0,
                    down_until: 0,
                })
                .collect(),
            waiting: Vec::new(),
            running: Vec::new(),
            crashes: BTreeMap::new(),
            healthy: 0,
            answered: 0,
            quarantined_healthy: 0,
            affected_healthy: 0,
        }
    }

    fn now(&self) -> Monotonic {
        TICK * self.tick as u32
    }

    fn owner(request: &Fingerprint) -> usize {
        usize::from(request.as_bytes()[0]) % HOSTS
    }

    fn backup(owner: usize) -> usize {
        (owner + 1) % HOSTS
    }

    fn run(&mut self, ticks: u64) {
        for _ in 0..ticks {
            self.tick += 1;
            self.arrive();
            self.end_runs();
            let waiting = std::mem::take(&mut self.waiting);
            for call in waiting {
                self.send(call);
            }
            if self.rng.random_range(0..REPLACE_TICKS) == 0 {
                self.replace_host();
            }
        }
    }

    fn arrive(&mut self) {
        let request = utils::digest(&self.rng.random::<[u8; 16]>());
        self.healthy += 1;
        self.waiting.push(Call {
            request,
            is_bad: false,
            sends: 1,
        });
        if self.tick.is_multiple_of(200) {
            let request = utils::digest(&self.rng.random::<[u8; 16]>());
            let call = Call {
                request,
                is_bad: true,
                sends: 6,
            };
            self.crashes.insert(request, 0);
            self.waiting.extend(vec![call; CALLERS_PER_BAD_REQUEST]);
        }
    }

    /// Delivers a caller's request to a random host, which asks the owner of the fingerprint for a permit.
    fn send(&mut self, call: Call) {
        let host = self.rng.random_range(0..HOSTS);
        self.tries += 1;
        let id = TryId {
            host: host_name(host),
            number: self.tries,
        };
        let now = self.now();
        let register = &mut self.registers[Self::owner(&call.request)];
        let excluded = match register.permit(call.request, &id, now) {
            Permit::Run => Vec::new(),
            Permit::RunAlone { .. } => {
                let known = register.suspicion(&call.request).cloned().unwrap_or_default();
                self.table.entry(call.request).or_default().merge(&known);
                self.targets_of_suspects(call.request)
            }
            Permit::Wait => return self.waiting.push(call),
            Permit::Quarantined { .. } => {
                self.quarantined_healthy += usize::from(!call.is_bad);
                return;
            }
        };
        let free = |i: &usize| {
            self.targets[*i].down_until <= self.tick && !excluded.iter().any(|t| **t == *target_name(*i))
        };
        let usable: Vec<usize> = (0..TARGETS).filter(free).collect();
        let Some(target) = usable.choose(&mut self.rng).copied() else {
            self.report(call.request, &id, &TryOutcome::Other);
            return self.waiting.push(call);
        };
        let owner = Self::owner(&call.request);
        self.registers[owner].set_target(call.request, &target_name(target));
        self.registers[Self::backup(owner)].mirror(call.request, &id, &target_name(target), now);
        let ticks = if call.is_bad { CRASH_TICKS } else { RUN_TICKS };
        let ends_at = self.tick + ticks;
        self.running.push(Run {
            call,
            id,
            is_orphan: false,
            target,
            ends_at,
        });
    }

    /// Returns the targets that run suspects, as reported by all hosts.
    fn targets_of_suspects(&self, except: Fingerprint) -> Vec<TargetId> {
        let registers = self.registers.iter();
        registers
            .flat_map(|register| register.targets_of_suspects(except))
            .collect()
    }

    fn end_runs(&mut self) {
        let tick = self.tick;
        while let Some(i) = self.running.iter().position(|run| run.ends_at <= tick) {
            let run = self.running.swap_remove(i);
            if run.call.is_bad {
                self.crash(run);
            } else {
                self.answered += usize::from(!run.is_orphan);
                self.end(&run, &TryOutcome::Succeeded);
            }
        }
    }

    /// Crashes the target of `culprit`: everything that runs on it fails, and each host reports its own
    /// tries.
    fn crash(&mut self, culprit: Run) {
        let target = culprit.target;
        *self.crashes.entry(culprit.call.request).or_default() += 1;
        let crash = Crash {
            target: target_name(target),
            incarnation: self.targets[target].incarnation,
        };
        self.targets[target].incarnation += 1;
        self.targets[target].down_until = self.tick + RESTART_TICKS;
        let (mut affected, others): (Vec<_>, Vec<_>) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|run| run.target == target);
        self.running = others;
        self.affected_healthy += affected.iter().filter(|run| !run.call.is_bad).count();
        affected.push(culprit);
        let now = self.now();
        for host in 0..HOSTS {
            for (request, suspicion) in self.registers[host].record_crash(&crash) {
                self.table.entry(request).or_default().merge(&suspicion);
                self.registers[Self::owner(&request)].merge(request, &suspicion, now);
            }
        }
        for run in affected {
            self.end(&run, &TryOutcome::Crashed(crash.clone()));
            if !run.is_orphan {
                self.send_again(run.call);
            }
        }
    }

    fn send_again(&mut self, mut call: Call) {
        call.sends = call.sends.saturating_sub(u32::from(call.is_bad));
        if call.sends > 0 {
            self.waiting.push(call);
        }
    }

    fn end(&mut self, run: &Run, outcome: &TryOutcome) {
        if !run.is_orphan {
            self.report(run.call.request, &run.id, outcome);
        }
    }

    /// Records the end of a try at the owner and its backup, and writes the result to the table service
    /// before the request runs again.
    fn report(&mut self, request: Fingerprint, id: &TryId, outcome: &TryOutcome) {
        let owner = Self::owner(&request);
        for register in [owner, Self::backup(owner)] {
            if let Some(suspicion) = self.registers[register].record_end(request, id, outcome) {
                self.table.entry(request).or_default().merge(&suspicion);
            }
        }
    }

    /// Replaces a host. The new one reads the state of the table service and of its backup. Targets continue
    /// the requests of the old host, whose callers send them again.
    fn replace_host(&mut self) {
        let (host, now) = (self.rng.random_range(0..HOSTS), self.now());
        let mut register = Quarantine::new(LONGEST_TRY);
        for (request, suspicion) in &self.table {
            register.merge(*request, suspicion, now);
        }
        register.adopt(&self.registers[Self::backup(host)], |request| {
            Self::owner(request) == host
        });
        self.registers[host] = register;
        for register in &mut self.registers {
            register.remove_host(&host_name(host), now);
        }
        let mut calls = Vec::new();
        for run in self
            .running
            .iter_mut()
            .filter(|run| run.id.host == host_name(host))
        {
            run.is_orphan = true;
            calls.push(run.call.clone());
        }
        for call in calls {
            self.send_again(call);
        }
    }
}

fn id(host: &str) -> TryId {
    TryId {
        host: host.into(),
        number: 0,
    }
}

fn host_name(host: usize) -> HostId {
    host.to_string().into()
}

fn target_name(target: usize) -> TargetId {
    target.to_string().into()
}

#[test]
fn a_bad_request_crashes_at_most_two_targets() {
    let (mut affected_healthy, mut quarantined_healthy, mut healthy) = (0, 0, 0);
    let mut counts = [0; 3];
    for seed in 0..20 {
        let mut sim = Sim::new(seed);
        sim.run(4_000);
        for crashes in sim.crashes.values() {
            assert!(*crashes <= 2, "seed {seed}: {crashes} targets crashed");
            counts[*crashes] += 1;
        }
        assert!(
            sim.answered + sim.quarantined_healthy + 200 > sim.healthy,
            "seed {seed}: healthy requests are not answered"
        );
        affected_healthy += sim.affected_healthy;
        quarantined_healthy += sim.quarantined_healthy;
        healthy += sim.healthy;
    }
    println!(
        "bad requests by crashes {counts:?}; {healthy} healthy, {affected_healthy} affected by crashes, {quarantined_healthy} quarantined"
    );
    // There is one bad request per 200 healthy ones. At most one of 1,000 healthy requests may be
    // quarantined.
    assert!(quarantined_healthy * 1_000 <= healthy);
}

#[test]
fn suspicion_merge_is_commutative_and_idempotent() {
    let crash = |incarnation| Crash {
        target: "engine-1".into(),
        incarnation,
    };
    let request = utils::digest(b"request");
    let host = id("entry-1");
    let mut first = Quarantine::new(LONGEST_TRY);
    let one = first
        .record_end(request, &host, &TryOutcome::Crashed(crash(1)))
        .expect("a changed history");
    let success = first
        .record_end(request, &host, &TryOutcome::Succeeded)
        .expect("a changed history");
    let two = first
        .record_end(request, &host, &TryOutcome::Crashed(crash(2)))
        .expect("a changed history");
    let mut forward = Suspicion::default();
    let mut backward = Suspicion::default();
    [&one, &success, &two, &one]
        .into_iter()
        .for_each(|s| forward.merge(s));
    [&two, &success, &one].into_iter().for_each(|s| backward.merge(s));
    assert_eq!(forward, backward);
    assert_eq!((forward.crash_count(), forward.is_quarantined()), (1, false));
}

#[test]
fn equal_requests_wait_until_the_first_succeeds() {
    let mut register = Quarantine::new(LONGEST_TRY);
    let request = utils::digest(b"request");
    let (first, second) = (id("entry-1"), id("entry-2"));
    let now = Duration::ZERO;
    assert_eq!(register.permit(request, &first, now), Permit::Run);
    assert_eq!(register.permit(request, &second, now), Permit::Wait);
    register.record_end(request, &first, &TryOutcome::Succeeded);
    assert_eq!(register.permit(request, &second, now), Permit::Run);
    assert_eq!(register.permit(request, &first, now), Permit::Run);
}
