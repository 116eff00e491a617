use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use ledger::{
    AttemptId, Batch, ClaimRow, ClaimState, Effect, Holder, Input, Protocol, RefusedReason, Verdict,
};
use metadata::{Committed, PlatformError, Transaction};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use utils::Monotonic;

use crate::counts::Counts;
use crate::host::{Host, InFlight, Tag};
use crate::world::{CallDelivery, Fault, TARGETS, World, random_millis, reply};

pub(crate) const HOSTS: usize = 9;
/// Calls per second over all hosts.
const CALLS_PER_SECOND: u64 = 200;
pub(crate) const STORE_TIMEOUT_MS: u64 = 500;
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without an answer after which peers consider a host dead.
const SUSPICION_TIMEOUT: Duration = Duration::from_secs(1);
const CLAIM_VALID_MS: u64 = 2_000;
const MAX_SENDS: u32 = 12;

/// A scheduled event. An event of a host carries the host's incarnation and is dropped once that incarnation
/// has ended.
pub(crate) enum Event {
    Caller {
        key: u64,
    },
    Flush,
    Answer {
        batch: Batch<Tag>,
        answer: Result<Committed, PlatformError>,
    },
    Late {
        tx: Transaction,
    },
    ReadBack {
        attempt: u64,
    },
    ReadFailed {
        attempt: u64,
    },
    Send {
        attempt: u64,
    },
    Run {
        target: usize,
        key: u64,
        attempt: u64,
    },
    CallEnd {
        attempt: u64,
        input: Input,
    },
    Ask {
        attempt: u64,
        target: usize,
    },
    Probe,
    Fault {
        fault: Fault,
    },
    FaultEnd {
        fault: Fault,
        victim: usize,
    },
}

/// A caller, which makes one call.
#[derive(Debug, Clone, Default)]
pub(crate) struct Caller {
    pub(crate) sends: u32,
    pub(crate) last: Option<Verdict>,
    pub(crate) is_done: bool,
}

/// A simulation of nine hosts, their callers and the world outside the hosts.
pub(crate) struct Sim {
    pub(crate) rng: ChaCha8Rng,
    pub(crate) now: Monotonic,
    pub(crate) protocol: Protocol,
    pub(crate) hosts: Vec<Host>,
    pub(crate) world: World,
    pub(crate) faults: Vec<Fault>,
    pub(crate) events: BTreeMap<u64, (Option<(usize, u64)>, Event)>,
    pub(crate) queue: BinaryHeap<Reverse<(Monotonic, u64)>>,
    pub(crate) next_event: u64,
    pub(crate) attempts: u64,
    pub(crate) callers: Vec<Caller>,
    /// Replies as (key, attempt, verdict), checked at the end of the run.
    pub(crate) replies: Vec<(u64, u64, Verdict)>,
    pub(crate) counts: Counts,
    /// Whether a call with a lost answer is sent again: a violation of the protocol that the checks must
    /// detect.
    pub(crate) is_retrying_after_dispatch: bool,
}

impl Sim {
    pub(crate) fn new(seed: u64, faults: &[Fault]) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Monotonic::ZERO,
            protocol: Protocol::load().expect("chart"),
            hosts: (0..HOSTS).map(|_| Host::new(0)).collect(),
            world: World::default(),
            faults: faults.to_vec(),
            events: BTreeMap::new(),
            queue: BinaryHeap::new(),
            next_event: 0,
            attempts: 0,
            callers: Vec::new(),
            replies: Vec::new(),
            counts: Counts::default(),
            is_retrying_after_dispatch: false,
        }
    }

    /// Runs the simulation with a number of calls until no event is left or the time limit is reached.
    pub(crate) fn run(&mut self, calls: usize) -> Counts {
        self.callers = vec![Caller::default(); calls];
        for key in 0..calls as u64 {
            let at = Duration::from_millis(key * 1_000 / CALLS_PER_SECOND);
            self.schedule_after(at, None, Event::Caller { key });
        }
        for fault in self.faults.clone() {
            let wait = random_millis(&mut self.rng, 100, 2_000);
            self.schedule_after(wait, None, Event::Fault { fault });
        }
        let end = Duration::from_secs(calls as u64 / CALLS_PER_SECOND + 60);
        while let Some(Reverse((at, id))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            if let Some((owner, event)) = self.events.remove(&id) {
                self.handle_event(owner, event);
            }
        }
        self.count();
        self.counts.clone()
    }

    pub(crate) fn schedule_after(&mut self, wait: Duration, host: Option<usize>, event: Event) {
        let owner = host.map(|host| (host, self.hosts[host].incarnation));
        self.schedule(self.now + wait, owner, event);
    }

    pub(crate) fn schedule(&mut self, at: Monotonic, owner: Option<(usize, u64)>, event: Event) {
        self.next_event += 1;
        self.events.insert(self.next_event, (owner, event));
        self.queue.push(Reverse((at, self.next_event)));
    }

    /// Handles an event, unless its host's incarnation has ended. Postpones an event of a paused host.
    pub(crate) fn handle_event(&mut self, owner: Option<(usize, u64)>, event: Event) {
        let Some((host, incarnation)) = owner else {
            return self.handle_world_event(event);
        };
        if self.hosts[host].incarnation != incarnation {
            return;
        }
        let until = self.hosts[host].paused_until;
        if self.now < until {
            return self.schedule(until, owner, event);
        }
        match event {
            Event::Flush => self.flush(host),
            Event::Answer { batch, answer } => self.handle_store_answer(host, batch, answer),
            Event::ReadBack { attempt } => {
                let found = self.read(host, attempt);
                self.input(host, attempt, Input::Read(found));
            }
            Event::ReadFailed { attempt } => self.input(host, attempt, Input::StoreFailed),
            Event::Send { attempt } => self.input(host, attempt, Input::Send),
            Event::CallEnd { attempt, input } => self.end_call(host, attempt, input),
            Event::Ask { attempt, target } => self.ask(host, attempt, target),
            Event::Probe => self.probe(host),
            _ => {}
        }
    }

    pub(crate) fn handle_world_event(&mut self, event: Event) {
        match event {
            Event::Caller { key } => self.send_call(key),
            Event::Late { tx } => {
                self.world.table.apply(&tx);
            }
            Event::Run { target, key, attempt } => {
                self.world.run(target, key, attempt);
            }
            Event::Fault { fault } => self.begin_fault(fault),
            Event::FaultEnd { fault, victim } => self.end_fault(fault, victim),
            _ => {}
        }
    }

    /// Sends a caller's request to a random host, as a load balancer does.
    pub(crate) fn send_call(&mut self, key: u64) {
        let caller = &mut self.callers[key as usize];
        if caller.is_done || caller.sends >= MAX_SENDS {
            return;
        }
        caller.sends += 1;
        let host = self.rng.random_range(0..HOSTS);
        self.attempts += 1;
        let attempt = self.attempts;
        if !self.hosts[host].breaker.is_closed() {
            let refused = Verdict::Refused(RefusedReason::StoreUnavailable);
            self.counts.refusals.push(0);
            return self.reply_to_caller(key, attempt, refused);
        }
        let target = self.rng.random_range(0..TARGETS);
        let row = ClaimRow {
            attempt: AttemptId(u128::from(attempt)),
            holder: Holder {
                host: host.to_string().into(),
                incarnation: self.hosts[host].incarnation,
            },
            target: target.to_string().into(),
            body: utils::digest(&key.to_le_bytes()),
            valid_ms: CLAIM_VALID_MS,
            claimed_at_ms: 0,
            state: ClaimState::Claimed,
        };
        let in_flight = InFlight {
            call: self.protocol.start(row_key(key), row),
            key,
            target,
            arrived_at: self.now,
        };
        self.hosts[host].in_flight.insert(attempt, in_flight);
        // A paused host handles the request after the pause.
        let wait = self.hosts[host].paused_until.saturating_sub(self.now);
        match wait.is_zero() {
            true => self.input(host, attempt, Input::Start),
            false => self.schedule_after(
                wait,
                Some(host),
                Event::CallEnd {
                    attempt,
                    input: Input::Start,
                },
            ),
        }
    }

    pub(crate) fn input(&mut self, host: usize, attempt: u64, input: Input) {
        let Some(in_flight) = self.hosts[host].in_flight.get_mut(&attempt) else {
            return;
        };
        let step = self
            .protocol
            .step(&mut in_flight.call, input, self.now)
            .expect("allowed input");
        let (key, target, arrived_at) = (in_flight.key, in_flight.target, in_flight.arrived_at);
        if let Some(job) = step.job {
            self.hosts[host].push_job(job);
            self.wake(host);
        }
        match step.effect {
            Effect::Insert(write) => {
                self.hosts[host].inserts.push(write, Tag::Insert(attempt));
                self.wake(host);
            }
            Effect::Read(_) => self.read_back(host, attempt),
            Effect::Hold => {
                let wait = random_millis(&mut self.rng, 0, 1);
                self.schedule_after(wait, Some(host), Event::Send { attempt });
            }
            Effect::Dispatch => self.dispatch(host, attempt, key, target),
            Effect::QueryTarget(queried) => {
                let queried = queried.parse().expect("number of a target");
                let wait = random_millis(&mut self.rng, 1, 5);
                self.schedule_after(
                    wait,
                    Some(host),
                    Event::Ask {
                        attempt,
                        target: queried,
                    },
                );
            }
            Effect::Respond(verdict) => {
                if verdict == Verdict::Refused(RefusedReason::StoreUnavailable) {
                    self.counts
                        .refusals
                        .push((self.now - arrived_at).as_millis() as u64);
                }
                self.hosts[host].in_flight.remove(&attempt);
                self.reply_to_caller(key, attempt, verdict);
            }
        }
    }

    /// Returns a check of whether peers consider a holder alive. A killed host counts as alive for the
    /// suspicion timeout, and a host paused for longer than that counts as dead.
    pub(crate) fn liveness(&self) -> impl Fn(&Holder) -> bool + use<> {
        let now = self.now;
        let hosts: Vec<_> = self
            .hosts
            .iter()
            .map(|h| {
                let is_recent = h.replaced_at.is_some_and(|at| now - at < SUSPICION_TIMEOUT);
                let is_silent = now < h.paused_until && now - h.paused_from > SUSPICION_TIMEOUT;
                (h.incarnation, is_recent, is_silent)
            })
            .collect();
        move |holder| {
            let (incarnation, is_recent, is_silent) =
                hosts[holder.host.parse::<usize>().expect("number of a host")];
            let is_last = holder.incarnation + 1 == incarnation && is_recent;
            (holder.incarnation == incarnation && !is_silent) || is_last
        }
    }

    pub(crate) fn dispatch(&mut self, host: usize, attempt: u64, key: u64, target: usize) {
        let (outbound, inbound) = (
            random_millis(&mut self.rng, 1, 3),
            random_millis(&mut self.rng, 2, 30),
        );
        let end = |input| Event::CallEnd { attempt, input };
        match self.world.call_delivery(target, &mut self.rng) {
            CallDelivery::NotSent => self.schedule_after(outbound, Some(host), end(Input::NotRun)),
            CallDelivery::LostBefore => self.schedule_after(CALL_TIMEOUT, Some(host), end(Input::AnswerLost)),
            CallDelivery::Late => {
                let delay = CALL_TIMEOUT + random_millis(&mut self.rng, 0, 5_000);
                self.schedule_after(delay, None, Event::Run { target, key, attempt });
                self.schedule_after(CALL_TIMEOUT, Some(host), end(Input::AnswerLost));
            }
            CallDelivery::LostAfter => {
                self.schedule_after(outbound, None, Event::Run { target, key, attempt });
                self.schedule_after(CALL_TIMEOUT, Some(host), end(Input::AnswerLost));
            }
            CallDelivery::Answered => {
                self.schedule_after(outbound, None, Event::Run { target, key, attempt });
                self.schedule_after(
                    outbound + inbound,
                    Some(host),
                    end(Input::Answered(reply(attempt))),
                );
            }
        }
    }

    /// Ends a call. Its answer is lost if the target went down before it ran the call or before it answered.
    pub(crate) fn end_call(&mut self, host: usize, attempt: u64, input: Input) {
        let Some(in_flight) = self.hosts[host].in_flight.get(&attempt) else {
            return;
        };
        let (key, target) = (in_flight.key, in_flight.target);
        let has_run = self
            .world
            .runs
            .get(&key)
            .is_some_and(|runs| runs.contains(&attempt));
        let is_answer = matches!(input, Input::Answered(_));
        let is_lost = is_answer && (!has_run || self.world.targets[target].is_down);
        let input = if is_lost { Input::AnswerLost } else { input };
        if self.is_retrying_after_dispatch && input == Input::AnswerLost {
            return self.dispatch(host, attempt, key, target);
        }
        self.input(host, attempt, input);
    }

    /// Queries a target for the outcome; the last target does not support the query.
    pub(crate) fn ask(&mut self, host: usize, attempt: u64, target: usize) {
        let Some(key) = self.hosts[host]
            .in_flight
            .get(&attempt)
            .map(|in_flight| in_flight.key)
        else {
            return;
        };
        let can_answer =
            target + 1 < TARGETS && self.world.call_delivery(target, &mut self.rng) == CallDelivery::Answered;
        let ran = self.world.targets[target].ran.get(&key).filter(|_| can_answer);
        let input = ran.map_or(Input::TargetInconclusive, |ran| Input::TargetRan(reply(*ran)));
        self.input(host, attempt, input);
    }

    /// Delivers a reply to a caller, which retries unless the reply is the call's answer.
    pub(crate) fn reply_to_caller(&mut self, key: u64, attempt: u64, verdict: Verdict) {
        let is_answer = matches!(verdict, Verdict::Reply(_));
        let caller = &mut self.callers[key as usize];
        caller.is_done |= is_answer;
        caller.last = Some(verdict.clone());
        self.replies.push((key, attempt, verdict));
        if !is_answer {
            let wait = random_millis(&mut self.rng, 200, 2_000);
            self.schedule_after(wait, None, Event::Caller { key });
        }
    }

    /// Checks every reply against what the targets ran and fills the counters.
    pub(crate) fn count(&mut self) {
        let counts = &mut self.counts;
        counts.calls = self.callers.len();
        for (key, caller) in self.callers.iter().enumerate() {
            match self.world.runs.get(&(key as u64)).map_or(0, Vec::len) {
                0 => counts.never_ran += 1,
                1 => counts.ran_once += 1,
                _ => counts.ran_twice += 1,
            }
            match &caller.last {
                None => counts.unanswered += 1,
                Some(Verdict::Reply(_)) => counts.answered += 1,
                Some(Verdict::Refused(_)) => counts.refused += 1,
                Some(Verdict::InProgress | Verdict::Unknown) => counts.unknown += 1,
            }
        }
        counts.replies = self.replies.len();
        let none = Vec::new();
        for (key, attempt, verdict) in &self.replies {
            let runs = self.world.runs.get(key).unwrap_or(&none);
            let is_true = match verdict {
                Verdict::Refused(_) => !runs.contains(attempt),
                Verdict::Reply(recorded) => runs.iter().any(|ran| reply(*ran) == *recorded),
                Verdict::InProgress | Verdict::Unknown => true,
            };
            counts.false_replies += usize::from(!is_true);
            let is_refused = matches!(verdict, Verdict::Refused(_));
            let is_after_run = runs.iter().any(|ran| ran < attempt);
            counts.earlier_ran += usize::from(is_refused && is_after_run);
        }
    }
}

pub(crate) fn row_key(key: u64) -> String {
    format!("claim/mill/orders/{key}")
}
