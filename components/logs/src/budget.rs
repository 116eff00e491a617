use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use errors::events;
use slog::{Drain, Level, OwnedKVList, Record, b, record};
use utils::{Clock, Monotonic};

/// Length of the window in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Maximum numbers of log lines per second.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LineLimits {
    /// Lines of all levels together.
    pub all: u32,
    /// Lines below warning level. The difference to `all` is reserved for failures, refusals and late
    /// answers.
    pub routine: u32,
}

impl Default for LineLimits {
    /// Returns limits at which log lines use at most 1% of a core: a line costs up to 25 microseconds with
    /// its write.
    fn default() -> Self {
        Self {
            all: 400,
            routine: 300,
        }
    }
}

/// Counts of lines in the current window.
#[derive(Debug, Default)]
struct WindowCounts {
    /// Start of the window.
    since: Monotonic,
    /// Number of lines written.
    written: u32,
    /// Number of lines below warning level that were left out.
    routine_left_out: u32,
    /// Number of lines at warning level or above that were left out.
    failures_left_out: u32,
}

/// Drain that passes on a limited number of lines per second. Part of the limit is reserved for failures. The
/// first line after a second with omissions is preceded by a line with the numbers of lines left out.
pub struct LogBudget<D, C> {
    /// Drain that receives the admitted lines.
    drain: D,
    /// Limits per second.
    limits: LineLimits,
    /// Source of time.
    clock: Arc<C>,
    /// Counts in the current window.
    counts: Mutex<WindowCounts>,
}

impl<D, C: Clock> LogBudget<D, C> {
    /// Creates a budget in front of a drain.
    pub fn new(drain: D, limits: LineLimits, clock: Arc<C>) -> Self {
        Self {
            drain,
            limits,
            clock,
            counts: Mutex::default(),
        }
    }

    /// Returns whether a line is admitted. If the line is the first in a new window and lines were left out
    /// in the last one, returns the counts of that window too.
    fn admit(&self, level: Level) -> (bool, Option<WindowCounts>) {
        let now = self.clock.now();
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let mut ended = None;
        if now >= counts.since + WINDOW {
            let next = WindowCounts {
                since: now,
                ..WindowCounts::default()
            };
            let last = std::mem::replace(&mut *counts, next);
            ended = Some(last).filter(|c| c.routine_left_out + c.failures_left_out > 0);
        }
        let is_routine = !level.is_at_least(Level::Warning);
        let limit = if is_routine {
            self.limits.routine
        } else {
            self.limits.all
        };
        let is_admitted = counts.written < limit;
        match (is_admitted, is_routine) {
            (true, _) => counts.written += 1,
            (false, true) => counts.routine_left_out += 1,
            (false, false) => counts.failures_left_out += 1,
        }
        (is_admitted, ended)
    }
}

impl<D: Drain<Ok = ()>, C: Clock> Drain for LogBudget<D, C> {
    type Ok = ();
    type Err = D::Err;

    fn log(&self, line: &Record<'_>, values: &OwnedKVList) -> Result<(), D::Err> {
        let (is_admitted, ended) = self.admit(line.level());
        if let Some(counts) = ended {
            self.drain.log(
                &record!(
                    Level::Warning,
                    "",
                    &format_args!("lines left out"),
                    b!(events::LINES_LEFT_OUT, "routine" => counts.routine_left_out,
                        "failures" => counts.failures_left_out)
                ),
                values,
            )?;
        }
        match is_admitted {
            true => self.drain.log(line, values),
            false => Ok(()),
        }
    }
}
