use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::fmt;
use std::time::Duration;

use error_stack::Report;
use ledger::{
    AttemptId, Batch, ClaimRow, ClaimState, Effect, Found, Holder, Input, JobStep, Protocol, RefusedReason,
    Verdict, WriteResult,
};
use platform::{Committed, PlatformError, Transaction};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use utils::Monotonic;

use crate::host::{Host, Open, Tag};
use crate::world::{CallFate, Fault, StoreMood, TARGETS, World, millis, reply};

const HOSTS: usize = 9;
/// Calls a second over all hosts.
const RATE: u64 = 200;
pub(crate) const STORE_TIMEOUT_MS: u64 = 500;
const STORE_TIMEOUT: Duration = Duration::from_millis(STORE_TIMEOUT_MS);
const READ_BACK_TIMEOUT: Duration = Duration::from_millis(40);
const COMMIT_WINDOW: Duration = Duration::from_millis(3);
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which peers take a silent host for dead.
const SILENCE: Duration = Duration::from_secs(1);
const CLAIM_VALID_MS: u64 = 2_000;
const MAX_SENDS: u32 = 12;
const BATCH_ROWS: usize = 64;

/// What was counted.
#[derive(Debug, Clone, Default)]
pub(crate) struct Counts {
    pub(crate) calls: usize,
    pub(crate) never_ran: usize,
    pub(crate) ran_once: usize,
    pub(crate) ran_twice: usize,
    /// Callers that got the answer.
    pub(crate) answered: usize,
    /// Callers that were told `may-have-run` at last.
    pub(crate) unknown: usize,
    /// Callers that were told `not-run` at last.
    pub(crate) refused: usize,
    /// Callers that got no reply at all.
    pub(crate) open: usize,
    /// Replies that do not fit what the targets did.
    pub(crate) lies: usize,
    /// Replies that say `not-run` of a try, truly, while an earlier try of the same call ran.
    pub(crate) earlier_ran: usize,
    /// Replies that were checked.
    pub(crate) replies: usize,
    pub(crate) transactions: usize,
    pub(crate) rows: usize,
    /// Times to refusals because of the table service, in milliseconds.
    pub(crate) refusals: Vec<u64>,
}

impl Counts {
    pub(crate) fn add(&mut self, other: &Self) {
        self.calls += other.calls;
        self.never_ran += other.never_ran;
        self.ran_once += other.ran_once;
        self.ran_twice += other.ran_twice;
        self.answered += other.answered;
        self.unknown += other.unknown;
        self.refused += other.refused;
        self.open += other.open;
        self.lies += other.lies;
        self.earlier_ran += other.earlier_ran;
        self.replies += other.replies;
        self.transactions += other.transactions;
        self.rows += other.rows;
        self.refusals.extend(&other.refusals);
    }

    /// A quantile of the times to refusals.
    pub(crate) fn refusal_ms(&self, quantile: f64) -> u64 {
        let mut sorted = self.refusals.clone();
        sorted.sort_unstable();
        let at = (sorted.len() as f64 * quantile) as usize;
        sorted
            .get(at.min(sorted.len().saturating_sub(1)))
            .copied()
            .unwrap_or_default()
    }
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let per_call = |n: usize| n as f64 / self.calls.max(1) as f64;
        write!(
            f,
            "{} calls ran 0/1/2 times: {}/{}/{}; last reply ran {}, may-have-run {}, not-run {}, none {}; \
             {} lies in {} replies, {} say not-run of a later try; {:.2} transactions and {:.2} rows a call",
            self.calls,
            self.never_ran,
            self.ran_once,
            self.ran_twice,
            self.answered,
            self.unknown,
            self.refused,
            self.open,
            self.lies,
            self.replies,
            self.earlier_ran,
            per_call(self.transactions),
            per_call(self.rows),
        )
    }
}

/// What happens at a moment. Events of a host carry its incarnation and are lost with it.
enum Event {
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

/// A caller with one call.
#[derive(Debug, Clone, Default)]
struct Caller {
    sends: u32,
    last: Option<Verdict>,
    is_done: bool,
}

/// Nine hosts, their callers and the world.
pub(crate) struct Sim {
    rng: ChaCha8Rng,
    now: Monotonic,
    protocol: Protocol,
    hosts: Vec<Host>,
    world: World,
    faults: Vec<Fault>,
    events: BTreeMap<u64, (Option<(usize, u64)>, Event)>,
    order: BinaryHeap<Reverse<(Monotonic, u64)>>,
    next_event: u64,
    attempts: u64,
    callers: Vec<Caller>,
    /// Replies to tries, to be checked when all is over.
    told: Vec<(u64, u64, Verdict)>,
    counts: Counts,
    /// A fault of the rules: a call whose answer is lost is sent again.
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
            order: BinaryHeap::new(),
            next_event: 0,
            attempts: 0,
            callers: Vec::new(),
            told: Vec::new(),
            counts: Counts::default(),
            is_retrying_after_dispatch: false,
        }
    }

    /// Makes calls and waits until every caller has a last reply.
    pub(crate) fn run(&mut self, calls: usize) -> Counts {
        self.callers = vec![Caller::default(); calls];
        for key in 0..calls as u64 {
            let at = Duration::from_millis(key * 1_000 / RATE);
            self.at(at, None, Event::Caller { key });
        }
        for fault in self.faults.clone() {
            let wait = millis(&mut self.rng, 100, 2_000);
            self.at(wait, None, Event::Fault { fault });
        }
        let end = Duration::from_secs(calls as u64 / RATE + 60);
        while let Some(Reverse((at, id))) = self.order.pop() {
            if at > end {
                break;
            }
            self.now = at;
            if let Some((place, event)) = self.events.remove(&id) {
                self.happen(place, event);
            }
        }
        self.count();
        self.counts.clone()
    }

    fn at(&mut self, wait: Duration, host: Option<usize>, event: Event) {
        let place = host.map(|host| (host, self.hosts[host].incarnation));
        self.schedule(self.now + wait, place, event);
    }

    fn schedule(&mut self, at: Monotonic, place: Option<(usize, u64)>, event: Event) {
        self.next_event += 1;
        self.events.insert(self.next_event, (place, event));
        self.order.push(Reverse((at, self.next_event)));
    }

    /// Lets an event happen, unless its host is gone; a paused host sees it later.
    fn happen(&mut self, place: Option<(usize, u64)>, event: Event) {
        let Some((host, incarnation)) = place else {
            return self.happen_outside(event);
        };
        if self.hosts[host].incarnation != incarnation {
            return;
        }
        let until = self.hosts[host].paused_until;
        if self.now < until {
            return self.schedule(until, place, event);
        }
        match event {
            Event::Flush => self.flush(host),
            Event::Answer { batch, answer } => self.take_answer(host, batch, answer),
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

    fn happen_outside(&mut self, event: Event) {
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

    /// The balancer gives a caller's request to a host.
    fn send_call(&mut self, key: u64) {
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
            return self.tell(key, attempt, refused);
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
        let open = Open {
            call: self.protocol.start(row_key(key), row),
            key,
            target,
            came: self.now,
        };
        self.hosts[host].open.insert(attempt, open);
        // A paused host sees the request later.
        let wait = self.hosts[host].paused_until.saturating_sub(self.now);
        match wait.is_zero() {
            true => self.input(host, attempt, Input::Start),
            false => self.at(
                wait,
                Some(host),
                Event::CallEnd {
                    attempt,
                    input: Input::Start,
                },
            ),
        }
    }

    fn input(&mut self, host: usize, attempt: u64, input: Input) {
        let Some(open) = self.hosts[host].open.get_mut(&attempt) else {
            return;
        };
        let step = self
            .protocol
            .step(&mut open.call, input, self.now)
            .expect("allowed input");
        let (key, target, came) = (open.key, open.target, open.came);
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
                let wait = millis(&mut self.rng, 0, 1);
                self.at(wait, Some(host), Event::Send { attempt });
            }
            Effect::Dispatch => self.dispatch(host, attempt, key, target),
            Effect::Ask(asked) => {
                let asked = asked.parse().expect("number of a target");
                let wait = millis(&mut self.rng, 1, 5);
                self.at(
                    wait,
                    Some(host),
                    Event::Ask {
                        attempt,
                        target: asked,
                    },
                );
            }
            Effect::Tell(verdict) => {
                if verdict == Verdict::Refused(RefusedReason::StoreUnavailable) {
                    self.counts.refusals.push((self.now - came).as_millis() as u64);
                }
                self.hosts[host].open.remove(&attempt);
                self.tell(key, attempt, verdict);
            }
        }
    }

    fn wake(&mut self, host: usize) {
        if !self.hosts[host].is_writing {
            self.hosts[host].is_writing = true;
            self.at(COMMIT_WINDOW, Some(host), Event::Flush);
        }
    }

    /// Sends what waits; while the table service is out of reach, claims are refused and settlements wait.
    fn flush(&mut self, host: usize) {
        let this = &mut self.hosts[host];
        this.is_writing = false;
        let mut batch = Batch::default();
        this.inserts.fill(&mut batch, BATCH_ROWS);
        if !this.breaker.is_closed() {
            let (results, _) =
                batch.settle(Err(Report::new(PlatformError::Unreachable)), |_: &ClaimRow| true);
            results
                .into_iter()
                .for_each(|(tag, result)| self.deliver(host, tag, result));
            return;
        }
        this.jobs.fill(&mut batch, BATCH_ROWS);
        if !batch.is_empty() {
            self.write(host, batch);
        }
    }

    fn write(&mut self, host: usize, batch: Batch<Tag>) {
        self.hosts[host].is_writing = true;
        self.counts.transactions += 1;
        self.counts.rows += batch.len();
        let trip = millis(&mut self.rng, 1, 4);
        let tx = batch.transaction();
        let lost = Err(PlatformError::AnswerLost);
        let (wait, answer) = match self.world.store_mood(&mut self.rng) {
            StoreMood::Answers => (trip, Ok(self.world.table.apply(&tx))),
            StoreMood::LosesAnswer => {
                self.world.table.apply(&tx);
                (STORE_TIMEOUT, lost)
            }
            StoreMood::NotReached => (trip, Err(PlatformError::Unreachable)),
            StoreMood::Silent => (STORE_TIMEOUT, lost),
            StoreMood::Late => {
                let late = millis(&mut self.rng, 1, 5_000);
                self.at(late, None, Event::Late { tx });
                (STORE_TIMEOUT, lost)
            }
        };
        self.at(wait, Some(host), Event::Answer { batch, answer });
    }

    fn take_answer(&mut self, host: usize, batch: Batch<Tag>, answer: Result<Committed, PlatformError>) {
        self.note_store(host, answer.is_ok());
        let alive = self.alive();
        let (results, rest) = batch.settle(answer.map_err(Report::new), |row| alive(&row.holder));
        results
            .into_iter()
            .for_each(|(tag, result)| self.deliver(host, tag, result));
        self.hosts[host].is_writing = false;
        match rest {
            Some(rest) => self.write(host, rest),
            None if !self.hosts[host].inserts.is_empty() || !self.hosts[host].jobs.is_empty() => {
                self.wake(host)
            }
            None => {}
        }
    }

    fn deliver(&mut self, host: usize, tag: Tag, result: WriteResult) {
        match tag {
            Tag::Insert(attempt) => {
                let input = match result {
                    WriteResult::Applied(version) => Input::Applied(version),
                    WriteResult::Refused(found) => Input::Refused(found),
                    WriteResult::Lost => Input::Lost,
                    WriteResult::NotSent | WriteResult::Malformed => Input::StoreFailed,
                };
                self.input(host, attempt, input);
            }
            Tag::Job(mut job) => {
                if job.step(&result) == JobStep::Again {
                    self.hosts[host].push_job(*job);
                }
            }
        }
    }

    /// Opens or closes the host's circuit breaker.
    fn note_store(&mut self, host: usize, is_answered: bool) {
        if is_answered {
            self.hosts[host].breaker.succeed();
            return;
        }
        if self.hosts[host].breaker.is_closed() {
            self.at(Duration::from_millis(1), Some(host), Event::Probe);
        }
        let jitter = self.rng.random::<f64>();
        self.hosts[host].breaker.fail(self.now, jitter);
    }

    fn probe(&mut self, host: usize) {
        if self.world.store_mood(&mut self.rng) == StoreMood::Answers {
            self.hosts[host].breaker.succeed();
            return self.wake(host);
        }
        let jitter = self.rng.random::<f64>();
        self.hosts[host].breaker.fail(self.now, jitter);
        let due = self.hosts[host].breaker.probe_at().unwrap_or(self.now);
        self.at(due - self.now, Some(host), Event::Probe);
    }

    fn read_back(&mut self, host: usize, attempt: u64) {
        let trip = millis(&mut self.rng, 1, 4);
        match self.world.store_mood(&mut self.rng) {
            StoreMood::Answers => self.at(trip, Some(host), Event::ReadBack { attempt }),
            _ => self.at(READ_BACK_TIMEOUT, Some(host), Event::ReadFailed { attempt }),
        }
    }

    fn read(&self, host: usize, attempt: u64) -> Option<Found> {
        let open = self.hosts[host].open.get(&attempt)?;
        let row = self.world.table.get(&row_key(open.key))?;
        let alive = self.alive();
        Some(Found::parse(&row, |row| alive(&row.holder)).expect("claim"))
    }

    /// What peers take for alive: a dead host for a while longer, and a paused one not.
    fn alive(&self) -> impl Fn(&Holder) -> bool + use<> {
        let now = self.now;
        let hosts: Vec<_> = self
            .hosts
            .iter()
            .map(|h| {
                let is_recent = h.died_at.is_some_and(|at| now - at < SILENCE);
                let is_silent = now < h.paused_until && now - h.paused_from > SILENCE;
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

    fn dispatch(&mut self, host: usize, attempt: u64, key: u64, target: usize) {
        let (there, back) = (millis(&mut self.rng, 1, 3), millis(&mut self.rng, 2, 30));
        let end = |input| Event::CallEnd { attempt, input };
        match self.world.call_fate(target, &mut self.rng) {
            CallFate::NotSent => self.at(there, Some(host), end(Input::NotRun)),
            CallFate::LostBefore => self.at(CALL_TIMEOUT, Some(host), end(Input::AnswerLost)),
            CallFate::Late => {
                let late = CALL_TIMEOUT + millis(&mut self.rng, 0, 5_000);
                self.at(late, None, Event::Run { target, key, attempt });
                self.at(CALL_TIMEOUT, Some(host), end(Input::AnswerLost));
            }
            CallFate::LostAfter => {
                self.at(there, None, Event::Run { target, key, attempt });
                self.at(CALL_TIMEOUT, Some(host), end(Input::AnswerLost));
            }
            CallFate::Answered => {
                self.at(there, None, Event::Run { target, key, attempt });
                self.at(there + back, Some(host), end(Input::Answered(reply(attempt))));
            }
        }
    }

    /// The answer came, unless the target went down before it ran the call or before it answered.
    fn end_call(&mut self, host: usize, attempt: u64, input: Input) {
        let Some(open) = self.hosts[host].open.get(&attempt) else {
            return;
        };
        let (key, target) = (open.key, open.target);
        let has_run = self
            .world
            .runs
            .get(&key)
            .is_some_and(|runs| runs.contains(&attempt));
        let is_answer = matches!(input, Input::Answered(_));
        let is_cut = is_answer && (!has_run || self.world.targets[target].is_down);
        let input = if is_cut { Input::AnswerLost } else { input };
        if self.is_retrying_after_dispatch && input == Input::AnswerLost {
            return self.dispatch(host, attempt, key, target);
        }
        self.input(host, attempt, input);
    }

    /// The target is asked for the outcome; the last target can't say.
    fn ask(&mut self, host: usize, attempt: u64, target: usize) {
        let Some(key) = self.hosts[host].open.get(&attempt).map(|open| open.key) else {
            return;
        };
        let can_say =
            target + 1 < TARGETS && self.world.call_fate(target, &mut self.rng) == CallFate::Answered;
        let ran = self.world.targets[target].ran.get(&key).filter(|_| can_say);
        let input = ran.map_or(Input::TargetOpen, |ran| Input::TargetRan(reply(*ran)));
        self.input(host, attempt, input);
    }

    /// A caller gets a reply, and sends again unless it is an answer.
    fn tell(&mut self, key: u64, attempt: u64, verdict: Verdict) {
        let is_answer = matches!(verdict, Verdict::Reply(_));
        let caller = &mut self.callers[key as usize];
        caller.is_done |= is_answer;
        caller.last = Some(verdict.clone());
        self.told.push((key, attempt, verdict));
        if !is_answer {
            let wait = millis(&mut self.rng, 200, 2_000);
            self.at(wait, None, Event::Caller { key });
        }
    }

    fn begin_fault(&mut self, fault: Fault) {
        let victim = self.rng.random_range(0..HOSTS);
        let length = millis(&mut self.rng, 300, 4_000);
        match fault {
            Fault::HostKilled => self.kill(victim),
            Fault::TargetKilled => self.world.targets[victim % TARGETS].is_down = true,
            Fault::StoreDown => self.world.is_store_down = true,
            Fault::AnswerLost => self.world.is_losing_answers = true,
            Fault::ConnectionSilent => self.world.is_silent = true,
            Fault::HolderPaused => {
                self.hosts[victim].paused_from = self.now;
                self.hosts[victim].paused_until = self.now + length;
            }
        }
        self.at(length, None, Event::FaultEnd { fault, victim });
    }

    fn end_fault(&mut self, fault: Fault, victim: usize) {
        match fault {
            Fault::TargetKilled => self.world.targets[victim % TARGETS].is_down = false,
            Fault::StoreDown => self.world.is_store_down = false,
            Fault::AnswerLost => self.world.is_losing_answers = false,
            Fault::ConnectionSilent => self.world.is_silent = false,
            Fault::HostKilled | Fault::HolderPaused => {}
        }
        if self.callers.iter().any(|caller| caller.last.is_none()) {
            let wait = millis(&mut self.rng, 100, 2_000);
            self.at(wait, None, Event::Fault { fault });
        }
    }

    /// A host dies and a new one takes its name; its callers see their connections break and send again.
    fn kill(&mut self, victim: usize) {
        let incarnation = self.hosts[victim].incarnation + 1;
        let old = std::mem::replace(&mut self.hosts[victim], Host::new(incarnation));
        self.hosts[victim].died_at = Some(self.now);
        for open in old.open.into_values() {
            let wait = millis(&mut self.rng, 1, 100);
            self.at(wait, None, Event::Caller { key: open.key });
        }
    }

    /// Checks every reply against what the targets did.
    fn count(&mut self) {
        let counts = &mut self.counts;
        counts.calls = self.callers.len();
        for (key, caller) in self.callers.iter().enumerate() {
            match self.world.runs.get(&(key as u64)).map_or(0, Vec::len) {
                0 => counts.never_ran += 1,
                1 => counts.ran_once += 1,
                _ => counts.ran_twice += 1,
            }
            match &caller.last {
                None => counts.open += 1,
                Some(Verdict::Reply(_)) => counts.answered += 1,
                Some(Verdict::Refused(_)) => counts.refused += 1,
                Some(Verdict::InProgress | Verdict::Unknown) => counts.unknown += 1,
            }
        }
        counts.replies = self.told.len();
        let none = Vec::new();
        for (key, attempt, verdict) in &self.told {
            let runs = self.world.runs.get(key).unwrap_or(&none);
            let is_true = match verdict {
                Verdict::Refused(_) => !runs.contains(attempt),
                Verdict::Reply(told) => runs.iter().any(|ran| reply(*ran) == *told),
                Verdict::InProgress | Verdict::Unknown => true,
            };
            counts.lies += usize::from(!is_true);
            let is_refused = matches!(verdict, Verdict::Refused(_));
            let is_after_run = runs.iter().any(|ran| ran < attempt);
            counts.earlier_ran += usize::from(is_refused && is_after_run);
        }
    }
}

fn row_key(key: u64) -> String {
    format!("claim/mill/orders/{key}")
}
