//! Which requests a host still accepts while it drains: those that it can answer before it ends.

use std::time::Duration;

use utils::Monotonic;

/// Length of a window of run times. The runs of the current and the previous window count.
const WINDOW: Duration = Duration::from_secs(15);
/// Fewest runs in both windows from which a bound is derived.
const MIN_RUNS: u32 = 8;
/// Factor between the slowest recent run and the bound. Covers a load that rises during the drain.
const SAFETY_FACTOR: u32 = 2;

/// Times of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainSchedule {
    /// From this time on the host accepts only requests that it can answer.
    pub limited_from: Monotonic,
    /// Time by which each answer must be complete.
    pub answers_end: Monotonic,
    /// Time at which the host ends.
    pub ends_at: Monotonic,
}

impl DrainSchedule {
    /// Returns the time by which the answer to a request must begin if the request is sent now; `None` if the
    /// request must not be sent. The caller gets a final answer at `deadline` at the latest. `bound` is the
    /// longest time that the request is expected to take, if it is known.
    pub fn begin_by(
        &self,
        deadline: Monotonic,
        bound: Option<RunBound>,
        now: Monotonic,
    ) -> Option<Monotonic> {
        if now < self.limited_from || deadline <= self.answers_end {
            return Some(deadline);
        }
        let bound = bound.filter(|bound| {
            now.saturating_add(bound.first_byte.saturating_add(bound.rest)) <= self.answers_end
        })?;
        Some(self.answers_end.saturating_sub(bound.rest))
    }
}

/// The longest time that a request is expected to take at its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunBound {
    /// Time until the answer begins.
    pub first_byte: Duration,
    /// Time from there until it is complete.
    pub rest: Duration,
}

/// Slowest runs of a window.
#[derive(Debug, Clone, Copy, Default)]
struct SlowestRuns {
    /// Number of runs.
    count: u32,
    /// Longest time until an answer began.
    first_byte: Duration,
    /// Longest time for each output token, or for a whole answer without tokens.
    per_token: Duration,
}

impl SlowestRuns {
    fn merge(self, other: Self) -> Self {
        Self {
            count: self.count + other.count,
            first_byte: self.first_byte.max(other.first_byte),
            per_token: self.per_token.max(other.per_token),
        }
    }
}

/// Times that the targets of a service have recently taken for complete answers, at their slow end.
///
/// ```
/// use std::time::Duration;
/// use gateway::RunTimes;
///
/// let ms = Duration::from_millis;
/// let mut times = RunTimes::default();
/// for _ in 0..8 {
///     times.record(ms(200), ms(1_000), 50, ms(0));
/// }
/// let bound = times.bound(10, ms(0)).unwrap();
/// assert_eq!((bound.first_byte, bound.rest), (ms(400), ms(400)));
/// ```
#[derive(Debug, Clone, Default)]
pub struct RunTimes {
    /// Number of the current window.
    window: u128,
    current: SlowestRuns,
    previous: SlowestRuns,
}

impl RunTimes {
    /// Records a complete answer of up to `tokens` output tokens. It began after `first_byte` and took `rest`
    /// from there.
    pub fn record(&mut self, first_byte: Duration, rest: Duration, tokens: u32, now: Monotonic) {
        self.advance(now);
        let run = SlowestRuns {
            count: 1,
            first_byte,
            per_token: rest / tokens.max(1),
        };
        self.current = self.current.merge(run);
    }

    /// Returns a bound on the time of a request for up to `tokens` output tokens; `None` after too few recent runs.
    pub fn bound(&self, tokens: u32, now: Monotonic) -> Option<RunBound> {
        let mut times = self.clone();
        times.advance(now);
        let slowest = times.previous.merge(times.current);
        (slowest.count >= MIN_RUNS).then(|| RunBound {
            first_byte: slowest.first_byte.saturating_mul(SAFETY_FACTOR),
            rest: slowest
                .per_token
                .saturating_mul(tokens.max(1))
                .saturating_mul(SAFETY_FACTOR),
        })
    }

    fn advance(&mut self, now: Monotonic) {
        let window = now.as_nanos() / WINDOW.as_nanos();
        let current = std::mem::take(&mut self.current);
        (self.previous, self.current) = match window.saturating_sub(self.window) {
            0 => (self.previous, current),
            1 => (current, SlowestRuns::default()),
            _ => Default::default(),
        };
        self.window = self.window.max(window);
    }
}
