use std::time::Duration;

use serde::{Deserialize, Serialize};
use utils::Monotonic;

use crate::ResponseLoad;

/// Weight of a new sample in the exponentially weighted averages.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Age at which a report and the expected load weigh the same.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(1_000);
/// Time without a first byte after which a request counts as waiting at its target.
const OVERDUE_AFTER: Duration = Duration::from_millis(250);
/// First pause after a target was unreachable; it doubles with each further failure.
const INITIAL_PAUSE: Duration = Duration::from_millis(300);
/// Longest pause after a target was unreachable.
const MAX_PAUSE: Duration = Duration::from_secs(3);
/// Pause after a target rejected a request because it was full.
const FULL_PAUSE: Duration = Duration::from_millis(150);
/// Pause after a target rejected a request because it was loading newer weights.
const LOADING_PAUSE: Duration = Duration::from_millis(1_000);
/// Latency assumed before the first answer, in milliseconds.
const DEFAULT_LATENCY_MS: f64 = 20.0;

/// The result of a send, as far as it concerns the target's load and health.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SendOutcome {
    /// The target answered without a failure; holds the time from the send to the first byte.
    Answered(Duration),
    /// The target answered with a server error, or the connection broke after the request was sent.
    Failed,
    /// The target rejected the request without running it.
    Rejected,
    /// As [`SendOutcome::Rejected`], from a target whose weights have been replaced by newer ones.
    LoadingWeights,
    /// No connection to the target could be opened.
    Unreachable,
}

/// Resources that a request uses at an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Work {
    /// Tokens of engine memory that the request holds until it ends.
    pub memory: u64,
    /// Prompt tokens that the engine has to prefill.
    pub prefill_tokens: u64,
}

/// The load that an engine reports when it is asked.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ReportedLoad {
    /// Requests that the engine is running.
    pub running: u32,
    /// Requests that wait in the engine's queue.
    pub waiting: u32,
    /// Running requests without a first token.
    pub prefilling: u32,
    /// Tokens of engine memory that are in use and can not be evicted.
    pub memory: u64,
}

/// Estimates a target's load and health from this host's own sends and from the load that the target reports.
///
/// Reports are delayed, and several hosts see the same idle target at once. The estimate therefore adds the
/// own sends since the report, and the reported load of other hosts decays with the report's age.
#[derive(Debug, Clone, Default)]
pub struct LoadEstimate {
    /// Requests of this host that are in flight at the target.
    own_requests: u32,
    /// Memory that this host's requests hold, in tokens.
    own_memory: u64,
    /// Prompt tokens of this host's requests that have not received their first byte.
    own_prefill_tokens: u64,
    /// Send times of this host's requests that have not received their first byte.
    unanswered: Vec<Monotonic>,
    /// Requests of other hosts at the time of the last report.
    other_requests: f64,
    /// Requests that waited at the time of the last report.
    waiting: f64,
    /// Requests of other hosts that were queued or in their prefill at the time of the engine's last report,
    /// and that time.
    other_queued: Option<(f64, Monotonic)>,
    /// Time of the last report, from an answer or from the engine.
    reported_at: Monotonic,
    /// Memory that requests of other hosts hold, in tokens, and the time of the engine's report that gave it.
    other_memory: Option<(f64, Monotonic)>,
    /// Exponentially weighted average of the time to an answer, in milliseconds.
    latency_ms: Option<f64>,
    /// Exponentially weighted share of sends that failed.
    failures: f64,
    /// Time until which no request is sent to the target.
    paused_until: Monotonic,
    /// Times that the target was unreachable since its last good answer.
    consecutive_pauses: u32,
}

impl LoadEstimate {
    /// Records that a request is sent.
    pub fn record_start(&mut self, work: Work, now: Monotonic) {
        self.own_requests += 1;
        self.unanswered.push(now);
        self.own_memory += work.memory;
        self.own_prefill_tokens += work.prefill_tokens;
    }

    /// Records the first byte of a request's answer, or the end of the request: its prompt is prefilled.
    pub fn record_first_byte(&mut self, tokens: u64, sent_at: Monotonic) {
        self.own_prefill_tokens = self.own_prefill_tokens.saturating_sub(tokens);
        if let Some(found) = self.unanswered.iter().position(|at| *at == sent_at) {
            self.unanswered.swap_remove(found);
        }
    }

    /// Records that a request has ended.
    pub fn record_end(&mut self, work: Work) {
        self.own_requests = self.own_requests.saturating_sub(1);
        self.own_memory = self.own_memory.saturating_sub(work.memory);
    }

    /// Records the load that the target reported with an answer.
    pub fn record_answer_load(&mut self, note: ResponseLoad, now: Monotonic) {
        let all = f64::from(note.running + note.waiting);
        self.other_requests = (all - f64::from(self.own_requests)).max(0.0);
        self.waiting = f64::from(note.waiting);
        self.reported_at = now;
    }

    /// Records the load that an engine reported at time `at`. The counts of requests are used only if no
    /// later answer has reported any.
    pub fn record_report(&mut self, load: ReportedLoad, at: Monotonic) {
        let memory = load.memory.saturating_sub(self.own_memory) as f64;
        self.other_memory = Some((memory, at));
        let queued = f64::from(load.waiting + load.prefilling) - self.unanswered.len() as f64;
        self.other_queued = Some((queued.max(0.0), at));
        if at > self.reported_at {
            let note = ResponseLoad {
                running: load.running,
                waiting: load.waiting,
                slots: 0,
            };
            self.record_answer_load(note, at);
        }
    }

    /// Records the result of a send in the latency, the failures and the pauses.
    pub fn record_outcome(&mut self, outcome: SendOutcome, now: Monotonic) {
        let failed = match outcome {
            SendOutcome::Answered(elapsed) => {
                let ms = elapsed.as_secs_f64() * 1e3;
                let average = self.latency_ms.unwrap_or(ms);
                self.latency_ms = Some(average + SAMPLE_WEIGHT * (ms - average));
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

    /// Whether the target currently gets no requests unless no other target is left.
    pub fn is_paused(&self, now: Monotonic) -> bool {
        now < self.paused_until
    }

    /// Returns the estimated number of requests at the target. `expected_others` is the number of requests of
    /// other hosts that is assumed without a recent report.
    pub fn requests(&self, expected_others: f64, now: Monotonic) -> f64 {
        f64::from(self.own_requests) + self.other_requests(expected_others, now)
    }

    /// Returns the estimated number of queued requests: the reported ones, or this host's overdue ones if
    /// those are more.
    pub fn waiting(&self, now: Monotonic) -> f64 {
        let is_overdue = |at: &&Monotonic| now > **at + OVERDUE_AFTER;
        let overdue = self.unanswered.iter().filter(is_overdue).count();
        (self.waiting * self.report_weight(now)).max(overdue as f64)
    }

    /// Returns the estimated number of requests of other hosts that are queued or in their prefill.
    pub fn queued(&self, now: Monotonic) -> f64 {
        let reported = self
            .other_queued
            .map_or(0.0, |(queued, at)| queued * report_weight_at(at, now));
        reported.max(self.waiting(now) - self.unanswered.len() as f64)
    }

    /// Returns the estimated KV-cache memory in use at the engine, in tokens. `memory_per_request` is the
    /// memory assumed for a request of another host.
    pub fn memory(&self, memory_per_request: f64, expected_others: f64, now: Monotonic) -> f64 {
        let estimated_from_requests = self.other_requests(expected_others, now) * memory_per_request;
        let others = self.other_memory.map_or(estimated_from_requests, |(memory, at)| {
            let weight = report_weight_at(at, now);
            memory * weight + estimated_from_requests * (1.0 - weight)
        });
        self.own_memory as f64 + others
    }

    /// Returns the KV-cache memory that this host's requests hold at the engine, in tokens.
    pub fn own_memory(&self) -> u64 {
        self.own_memory
    }

    /// Returns the estimated requests of other hosts, weighting the last report by its age.
    fn other_requests(&self, expected_others: f64, now: Monotonic) -> f64 {
        let weight = self.report_weight(now);
        self.other_requests * weight + expected_others * (1.0 - weight)
    }

    /// Returns the weight of the last report, from 1 when it is new towards 0.
    fn report_weight(&self, now: Monotonic) -> f64 {
        report_weight_at(self.reported_at, now)
    }

    /// Returns the prompt tokens of this host that the target has to prefill before those of a new request.
    pub fn prefill_backlog(&self) -> u64 {
        self.own_prefill_tokens
    }

    /// Returns the number of this host's requests in flight at the target.
    pub fn own_requests(&self) -> u32 {
        self.own_requests
    }

    /// Returns the average time to an answer, in milliseconds.
    pub fn latency_ms(&self) -> f64 {
        self.latency_ms.unwrap_or(DEFAULT_LATENCY_MS)
    }

    /// Returns the exponentially weighted share of sends that failed.
    pub fn failures(&self) -> f64 {
        self.failures
    }
}

/// Returns the weight of a report made at `at`: 0.5 to the power of its age in half-lives.
fn report_weight_at(at: Monotonic, now: Monotonic) -> f64 {
    let age = now.saturating_sub(at).as_secs_f64();
    0.5f64.powf(age / REPORT_HALF_LIFE.as_secs_f64())
}
