use std::time::Duration;

use serde::{Deserialize, Serialize};
use utils::Monotonic;

use crate::ResponseLoad;
use crate::decay::weight_at;

/// Weight of a new sample in the exponentially weighted averages.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Age at which a report and the expected load weigh the same.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(1_000);
/// Age at which a reported queue and the expected one weigh the same. Prefills take some hundred milliseconds, so a
/// queue changes faster than the number of running requests.
const QUEUE_HALF_LIFE: Duration = Duration::from_millis(400);
/// Memory assumed for a request while this host has none in flight, in tokens.
const DEFAULT_REQUEST_MEMORY: f64 = 4_000.0;
/// Time for which a report counts in the average load of all targets.
const REPORT_RETENTION: Duration = Duration::from_secs(2);
/// Time for which ended requests are remembered. Reports that are older are not compared with own requests.
const ENDED_RETENTION: Duration = Duration::from_secs(2);
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

/// A request of this host at a target.
#[derive(Debug, Clone, Copy)]
struct OwnRequest {
    /// Time of the send.
    sent_at: Monotonic,
    /// Memory that the request holds, in tokens.
    memory: u64,
    /// Time of the first byte of the answer.
    answered_at: Option<Monotonic>,
    /// Time at which the request ended.
    ended_at: Option<Monotonic>,
}

impl OwnRequest {
    /// Whether the request was at the target at a time.
    fn was_running(&self, at: Monotonic) -> bool {
        self.sent_at <= at && self.ended_at.is_none_or(|ended| at < ended)
    }

    /// Whether the request was at the target and had no first byte at a time.
    fn was_unanswered(&self, at: Monotonic) -> bool {
        self.was_running(at) && self.answered_at.is_none_or(|answered| at < answered)
    }

    /// Whether the request has neither been answered nor ended.
    fn is_unanswered(&self) -> bool {
        self.answered_at.is_none() && self.ended_at.is_none()
    }
}

/// Estimates a target's load and health from this host's own sends and from the load that the target reports.
///
/// Reports are delayed, and several hosts see the same idle target at once. The own requests at the time of a report
/// are taken out of it, and the present ones are added. The reported load of other hosts moves towards the average
/// of all targets with the report's age, as other hosts send to the targets that were idle in the report.
#[derive(Debug, Clone, Default)]
pub struct LoadEstimate {
    /// Requests of this host that are in flight at the target.
    own_requests: u32,
    /// Memory that this host's requests hold, in tokens.
    own_memory: u64,
    /// Prompt tokens of this host's requests that have not received their first byte.
    own_prefill_tokens: u64,
    /// This host's requests, with those that ended a short time ago.
    own: Vec<OwnRequest>,
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
        self.own
            .retain(|req| req.ended_at.is_none_or(|ended| now < ended + ENDED_RETENTION));
        self.own.push(OwnRequest {
            sent_at: now,
            memory: work.memory,
            answered_at: None,
            ended_at: None,
        });
        self.own_memory += work.memory;
        self.own_prefill_tokens += work.prefill_tokens;
    }

    /// Records the first byte of a request's answer: its prompt is prefilled.
    pub fn record_first_byte(&mut self, tokens: u64, sent_at: Monotonic, now: Monotonic) {
        self.own_prefill_tokens = self.own_prefill_tokens.saturating_sub(tokens);
        let is_same = |req: &&mut OwnRequest| req.sent_at == sent_at && req.is_unanswered();
        if let Some(req) = self.own.iter_mut().find(is_same) {
            req.answered_at = Some(now);
        }
    }

    /// Records that a request has ended. `work` has the prompt tokens of a request without a first byte.
    pub fn record_end(&mut self, work: Work, sent_at: Monotonic, now: Monotonic) {
        self.own_requests = self.own_requests.saturating_sub(1);
        self.own_memory = self.own_memory.saturating_sub(work.memory);
        self.own_prefill_tokens = self.own_prefill_tokens.saturating_sub(work.prefill_tokens);
        let is_same = |req: &&mut OwnRequest| req.sent_at == sent_at && req.ended_at.is_none();
        if let Some(req) = self.own.iter_mut().find(is_same) {
            req.ended_at = Some(now);
        }
    }

    /// Records the load that the target reported with an answer.
    pub fn record_answer_load(&mut self, note: ResponseLoad, now: Monotonic) {
        let own = self.own.iter().filter(|req| req.was_running(now)).count();
        self.other_requests = (f64::from(note.running + note.waiting) - own as f64).max(0.0);
        self.waiting = f64::from(note.waiting);
        self.reported_at = now;
    }

    /// Records the load that an engine reported at time `at`. The counts of requests are used only if no
    /// later answer has reported any. A report that is older than the last one is ignored.
    pub fn record_report(&mut self, load: ReportedLoad, at: Monotonic) {
        if self.other_queued.is_some_and(|(_, last)| at < last) {
            return;
        }
        let own = self.own.iter().filter(|req| req.was_running(at));
        let memory = load.memory.saturating_sub(own.map(|req| req.memory).sum()) as f64;
        self.other_memory = Some((memory, at));
        let own = self.own.iter().filter(|req| req.was_unanswered(at)).count();
        let queued = f64::from(load.waiting + load.prefilling) - own as f64;
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
        let is_overdue = |req: &&OwnRequest| req.is_unanswered() && now > req.sent_at + OVERDUE_AFTER;
        let overdue = self.own.iter().filter(is_overdue).count();
        (self.waiting * self.report_weight(now)).max(overdue as f64)
    }

    /// Returns the estimated number of requests of other hosts that are queued or in their prefill. `expected` is the
    /// number that is assumed without a recent report.
    pub fn queued(&self, expected: f64, now: Monotonic) -> f64 {
        let reported = self.other_queued.map_or(expected, |(queued, at)| {
            let weight = weight_at(at, QUEUE_HALF_LIFE, now);
            queued * weight + expected * (1.0 - weight)
        });
        let unanswered = self.own.iter().filter(|req| req.is_unanswered()).count();
        reported.max(self.waiting(now) - unanswered as f64)
    }

    /// Returns the load of other hosts in the engine's last report; `memory` is that of all their requests. `None` if
    /// there is no recent report.
    fn reported_others(&self, now: Monotonic) -> Option<OtherHostsLoad> {
        let (queued, at) = self.other_queued?;
        let memory = self.other_memory.map_or(0.0, |(memory, _)| memory);
        (now < at + REPORT_RETENTION).then_some(OtherHostsLoad {
            requests: self.other_requests,
            queued,
            memory,
        })
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

/// Load assumed for other hosts at a target without a recent report.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OtherHostsLoad {
    /// Requests of all other hosts at one target.
    pub requests: f64,
    /// Those of them that are queued or in their prefill.
    pub queued: f64,
    /// Memory of each request, in tokens.
    pub memory: f64,
}

/// Returns the load that other hosts are assumed to cause at a target without a recent report: the average of the
/// reported ones. Without any report it is this host's average for each of the other hosts.
///
/// ```
/// let others = gateway::average_others([], 3, 9, std::time::Duration::ZERO);
/// assert_eq!(others.requests, 0.0);
/// ```
pub fn average_others<'a>(
    loads: impl IntoIterator<Item = &'a LoadEstimate>,
    targets: usize,
    hosts: usize,
    now: Monotonic,
) -> OtherHostsLoad {
    let (mut own_memory, mut own_requests) = (0, 0);
    let (mut requests, mut queued, mut memory, mut reports) = (0.0, 0.0, 0.0, 0.0);
    for load in loads {
        own_memory += load.own_memory;
        own_requests += u64::from(load.own_requests);
        if let Some(reported) = load.reported_others(now) {
            requests += reported.requests;
            queued += reported.queued;
            memory += reported.memory;
            reports += 1.0;
        }
    }
    let of_each_host = own_requests as f64 / targets.max(1) as f64;
    OtherHostsLoad {
        requests: match reports > 0.0 {
            true => requests / reports,
            false => of_each_host * hosts.saturating_sub(1) as f64,
        },
        queued: queued / f64::max(reports, 1.0),
        // Requests of a session share memory, so the reports give less for each request than the own requests do.
        memory: match own_requests {
            _ if requests > 0.0 => memory / requests,
            0 => DEFAULT_REQUEST_MEMORY,
            _ => own_memory as f64 / own_requests as f64,
        },
    }
}

/// Returns the weight of a report made at `at`.
fn report_weight_at(at: Monotonic, now: Monotonic) -> f64 {
    weight_at(at, REPORT_HALF_LIFE, now)
}
