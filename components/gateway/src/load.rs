use std::time::Duration;

use serde::{Deserialize, Serialize};
use utils::Monotonic;

use crate::LoadNote;

/// Weight of a new sample in the running averages.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Age at which a report counts half, and what is typical the other half.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(1_000);
/// Time without a first byte after which a request is taken to wait at its target.
const OVERDUE_AFTER: Duration = Duration::from_millis(250);
/// First pause after a target could not be reached.
const INITIAL_PAUSE: Duration = Duration::from_millis(300);
/// Longest pause after a target could not be reached.
const MAX_PAUSE: Duration = Duration::from_secs(3);
/// Pause after a target turned a request away because it was full.
const FULL_PAUSE: Duration = Duration::from_millis(150);
/// Pause after a target turned a request away because it changes its weights.
const LOADING_PAUSE: Duration = Duration::from_millis(1_000);
/// Latency assumed before the first answer, in milliseconds.
const DEFAULT_LATENCY_MS: f64 = 20.0;

/// How a send ended, as far as it says something of the target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SendOutcome {
    /// It answered well, this long after the send.
    Answered(Duration),
    /// It answered with a failure of its own.
    Failed,
    /// It turned the request away without running it.
    Rejected,
    /// As [`SendOutcome::Rejected`], while newer weights are named than it has.
    LoadingWeights,
    /// No connection, or the connection broke off.
    Unreachable,
}

/// What a request takes of an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Work {
    /// Tokens of memory that it needs until its end.
    pub memory: u64,
    /// Prompt tokens that have to be read.
    pub prefill_tokens: u64,
}

/// What an engine says of its load when it is asked.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Tokens of memory that are taken and can not yield.
    pub memory: u64,
}

/// What a host knows of a target's load and health: its own sends, and what the target says with its answers.
///
/// Reports lag, and several hosts see the same idle target at once; own sends since the report are therefore added, and what
/// others run fades with the report's age.
#[derive(Debug, Clone, Default)]
pub struct LoadEstimate {
    /// Own requests that the target has.
    own_requests: u32,
    /// Memory of own requests, in tokens.
    own_memory: u64,
    /// Prompt tokens of own requests that have not got their first token.
    own_prefill_tokens: u64,
    /// When own requests were sent that have not got their first byte.
    unanswered: Vec<Monotonic>,
    /// Requests of other hosts as of the last report, and when it came.
    other_requests: f64,
    /// Requests that waited as of the last report.
    waiting: f64,
    /// When the last report came.
    reported_at: Monotonic,
    /// Memory that requests of other hosts take as of the last report that told memory, in tokens, and when it came.
    other_memory: Option<(f64, Monotonic)>,
    /// Running average of the time to an answer.
    latency_ms: Option<f64>,
    /// Running share of failures.
    failures: f64,
    /// No sends before this moment.
    paused_until: Monotonic,
    /// Pauses in a row.
    consecutive_pauses: u32,
}

impl LoadEstimate {
    /// A request is sent.
    pub fn record_start(&mut self, work: Work, now: Monotonic) {
        self.own_requests += 1;
        self.unanswered.push(now);
        self.own_memory += work.memory;
        self.own_prefill_tokens += work.prefill_tokens;
    }

    /// The first byte has come of a request, or its end: the target has read the prompt.
    pub fn record_first_byte(&mut self, tokens: u64, sent_at: Monotonic) {
        self.own_prefill_tokens = self.own_prefill_tokens.saturating_sub(tokens);
        if let Some(found) = self.unanswered.iter().position(|at| *at == sent_at) {
            self.unanswered.swap_remove(found);
        }
    }

    /// The request is over.
    pub fn record_end(&mut self, work: Work) {
        self.own_requests = self.own_requests.saturating_sub(1);
        self.own_memory = self.own_memory.saturating_sub(work.memory);
    }

    /// Takes the load that came with an answer.
    pub fn record_answer_load(&mut self, note: LoadNote, now: Monotonic) {
        let all = f64::from(note.running + note.waiting);
        self.other_requests = (all - f64::from(self.own_requests)).max(0.0);
        self.waiting = f64::from(note.waiting);
        self.reported_at = now;
    }

    /// Takes what an engine has reported at a moment; an answer that came later says more of its requests.
    pub fn record_report(&mut self, load: ReportedLoad, at: Monotonic) {
        let memory = load.memory.saturating_sub(self.own_memory) as f64;
        self.other_memory = Some((memory, at));
        if at > self.reported_at {
            let note = LoadNote {
                running: load.running,
                waiting: load.waiting,
                slots: 0,
            };
            self.record_answer_load(note, at);
        }
    }

    /// Takes the end of a send.
    pub fn record_outcome(&mut self, outcome: SendOutcome, now: Monotonic) {
        let failed = match outcome {
            SendOutcome::Answered(took) => {
                let ms = took.as_secs_f64() * 1e3;
                let known = self.latency_ms.unwrap_or(ms);
                self.latency_ms = Some(known + SAMPLE_WEIGHT * (ms - known));
                self.consecutive_pauses = 0;
                0.0
            }
            SendOutcome::Failed => 1.0,
            SendOutcome::Rejected => {
                self.paused_until = self.paused_until.max(now + FULL_PAUSE);
                return;
            }
            SendOutcome::LoadingWeights => {
                self.paused_until = self.paused_until.max(now + LOADING_PAUSE);
                return;
            }
            SendOutcome::Unreachable => {
                let pause = INITIAL_PAUSE * 2u32.pow(self.consecutive_pauses.min(5));
                self.paused_until = now + pause.min(MAX_PAUSE);
                self.consecutive_pauses += 1;
                1.0
            }
        };
        self.failures += SAMPLE_WEIGHT * (failed - self.failures);
    }

    /// Whether the target is left alone for now.
    pub fn is_paused(&self, now: Monotonic) -> bool {
        now < self.paused_until
    }

    /// Requests that the target is thought to have, if other hosts typically have `typical` at a target.
    pub fn requests(&self, expected_others: f64, now: Monotonic) -> f64 {
        f64::from(self.own_requests) + self.other_requests(expected_others, now)
    }

    /// Requests that are thought to wait for their turn: reported ones, or own ones that are overdue.
    pub fn waiting(&self, now: Monotonic) -> f64 {
        let is_overdue = |at: &&Monotonic| now > **at + OVERDUE_AFTER;
        let overdue = self.unanswered.iter().filter(is_overdue).count();
        (self.waiting * self.report_weight(now)).max(overdue as f64)
    }

    /// Memory that is thought to be taken, in tokens, if a request of another host takes `each`.
    pub fn memory(&self, memory_per_request: f64, expected_others: f64, now: Monotonic) -> f64 {
        let counted = self.other_requests(expected_others, now) * memory_per_request;
        let others = self.other_memory.map_or(counted, |(memory, at)| {
            let weight = report_weight_at(at, now);
            memory * weight + counted * (1.0 - weight)
        });
        self.own_memory as f64 + others
    }

    /// Memory of own requests, in tokens.
    pub fn own_memory(&self) -> u64 {
        self.own_memory
    }

    /// Requests of other hosts: what the last report said, the less the older it is.
    fn other_requests(&self, expected_others: f64, now: Monotonic) -> f64 {
        let weight = self.report_weight(now);
        self.other_requests * weight + expected_others * (1.0 - weight)
    }

    /// What a report counts at its age.
    fn report_weight(&self, now: Monotonic) -> f64 {
        report_weight_at(self.reported_at, now)
    }

    /// Prompt tokens that the target has to read before a new request's.
    pub fn prefill_backlog(&self) -> u64 {
        self.own_prefill_tokens
    }

    /// Own requests that the target has.
    pub fn own_requests(&self) -> u32 {
        self.own_requests
    }

    /// Average time to an answer, in milliseconds.
    pub fn latency_ms(&self) -> f64 {
        self.latency_ms.unwrap_or(DEFAULT_LATENCY_MS)
    }

    /// Running share of failures.
    pub fn failures(&self) -> f64 {
        self.failures
    }
}

/// What a report from a moment counts now.
fn report_weight_at(at: Monotonic, now: Monotonic) -> f64 {
    let age = now.saturating_sub(at).as_secs_f64();
    0.5f64.powf(age / REPORT_HALF_LIFE.as_secs_f64())
}
