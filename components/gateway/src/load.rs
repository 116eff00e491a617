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
const FIRST_PAUSE: Duration = Duration::from_millis(300);
/// Longest pause after a target could not be reached.
const LONGEST_PAUSE: Duration = Duration::from_secs(3);
/// Pause after a target turned a request away because it was full.
const FULL_PAUSE: Duration = Duration::from_millis(150);
/// Pause after a target turned a request away because it changes its weights.
const LOADING_PAUSE: Duration = Duration::from_millis(1_000);
/// Latency assumed before the first answer, in milliseconds.
const FIRST_LATENCY_MS: f64 = 20.0;

/// How a send ended, as far as it says something of the target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Outcome {
    /// It answered well, this long after the send.
    Answered(Duration),
    /// It answered with a failure of its own.
    Failed,
    /// It turned the request away without running it.
    TurnedAway,
    /// As [`Outcome::TurnedAway`], while newer weights are named than it has.
    Loading,
    /// No connection, or the connection broke off.
    Unreachable,
}

/// What a request takes of an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Work {
    /// Tokens of memory that it needs until its end.
    pub memory: u64,
    /// Prompt tokens that have to be read.
    pub reading: u64,
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
    own: u32,
    /// Memory of own requests, in tokens.
    own_memory: u64,
    /// Prompt tokens of own requests that have not got their first token.
    own_reading: u64,
    /// When own requests were sent that have not got their first byte.
    unanswered: Vec<Monotonic>,
    /// Requests of other hosts as of the last report, and when it came.
    others: f64,
    /// Requests that waited as of the last report.
    waiting: f64,
    /// When the last report came.
    reported_at: Monotonic,
    /// Memory that requests of other hosts take as of the last report that told memory, in tokens, and when it came.
    others_memory: Option<(f64, Monotonic)>,
    /// Running average of the time to an answer.
    latency_ms: Option<f64>,
    /// Running share of failures.
    failures: f64,
    /// No sends before this moment.
    paused_until: Monotonic,
    /// Pauses in a row.
    pauses: u32,
}

impl LoadEstimate {
    /// A request is sent.
    pub fn begin(&mut self, work: Work, now: Monotonic) {
        self.own += 1;
        self.unanswered.push(now);
        self.own_memory += work.memory;
        self.own_reading += work.reading;
    }

    /// The first byte has come of a request, or its end: the target has read the prompt.
    pub fn note_read(&mut self, tokens: u64, sent_at: Monotonic) {
        self.own_reading = self.own_reading.saturating_sub(tokens);
        if let Some(found) = self.unanswered.iter().position(|at| *at == sent_at) {
            self.unanswered.swap_remove(found);
        }
    }

    /// The request is over.
    pub fn end(&mut self, work: Work) {
        self.own = self.own.saturating_sub(1);
        self.own_memory = self.own_memory.saturating_sub(work.memory);
    }

    /// Takes the load that came with an answer.
    pub fn note_load(&mut self, note: LoadNote, now: Monotonic) {
        let all = f64::from(note.running + note.waiting);
        self.others = (all - f64::from(self.own)).max(0.0);
        self.waiting = f64::from(note.waiting);
        self.reported_at = now;
    }

    /// Takes what an engine has reported at a moment; an answer that came later says more of its requests.
    pub fn note_report(&mut self, load: ReportedLoad, at: Monotonic) {
        let memory = load.memory.saturating_sub(self.own_memory) as f64;
        self.others_memory = Some((memory, at));
        if at > self.reported_at {
            let note = LoadNote {
                running: load.running,
                waiting: load.waiting,
                slots: 0,
            };
            self.note_load(note, at);
        }
    }

    /// Takes the end of a send.
    pub fn note(&mut self, outcome: Outcome, now: Monotonic) {
        let failed = match outcome {
            Outcome::Answered(took) => {
                let ms = took.as_secs_f64() * 1e3;
                let known = self.latency_ms.unwrap_or(ms);
                self.latency_ms = Some(known + SAMPLE_WEIGHT * (ms - known));
                self.pauses = 0;
                0.0
            }
            Outcome::Failed => 1.0,
            Outcome::TurnedAway => {
                self.paused_until = self.paused_until.max(now + FULL_PAUSE);
                return;
            }
            Outcome::Loading => {
                self.paused_until = self.paused_until.max(now + LOADING_PAUSE);
                return;
            }
            Outcome::Unreachable => {
                let pause = FIRST_PAUSE * 2u32.pow(self.pauses.min(5));
                self.paused_until = now + pause.min(LONGEST_PAUSE);
                self.pauses += 1;
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
    pub fn requests(&self, typical: f64, now: Monotonic) -> f64 {
        f64::from(self.own) + self.others(typical, now)
    }

    /// Requests that are thought to wait for their turn: reported ones, or own ones that are overdue.
    pub fn waiting(&self, now: Monotonic) -> f64 {
        let is_overdue = |at: &&Monotonic| now > **at + OVERDUE_AFTER;
        let overdue = self.unanswered.iter().filter(is_overdue).count();
        (self.waiting * self.fade(now)).max(overdue as f64)
    }

    /// Memory that is thought to be taken, in tokens, if a request of another host takes `each`.
    pub fn memory(&self, each: f64, typical: f64, now: Monotonic) -> f64 {
        let counted = self.others(typical, now) * each;
        let others = self.others_memory.map_or(counted, |(memory, at)| {
            let fade = faded(at, now);
            memory * fade + counted * (1.0 - fade)
        });
        self.own_memory as f64 + others
    }

    /// Memory of own requests, in tokens.
    pub fn own_memory(&self) -> u64 {
        self.own_memory
    }

    /// Requests of other hosts: what the last report said, the less the older it is.
    fn others(&self, typical: f64, now: Monotonic) -> f64 {
        let fade = self.fade(now);
        self.others * fade + typical * (1.0 - fade)
    }

    /// What a report counts at its age.
    fn fade(&self, now: Monotonic) -> f64 {
        faded(self.reported_at, now)
    }

    /// Prompt tokens that the target has to read before a new request's.
    pub fn reading(&self) -> u64 {
        self.own_reading
    }

    /// Own requests that the target has.
    pub fn own(&self) -> u32 {
        self.own
    }

    /// Average time to an answer, in milliseconds.
    pub fn latency_ms(&self) -> f64 {
        self.latency_ms.unwrap_or(FIRST_LATENCY_MS)
    }

    /// Running share of failures.
    pub fn failures(&self) -> f64 {
        self.failures
    }
}

/// What a report from a moment counts now.
fn faded(at: Monotonic, now: Monotonic) -> f64 {
    let age = now.saturating_sub(at).as_secs_f64();
    0.5f64.powf(age / REPORT_HALF_LIFE.as_secs_f64())
}
