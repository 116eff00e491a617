use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use errors::events;
use slog::{Drain, Level, OwnedKVList, Record, b, record};
use utils::{Clock, Monotonic};

/// Span over which lines are counted.
const SPAN: Duration = Duration::from_secs(1);

/// Most lines a second.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LineLimits {
    /// All lines.
    pub all: u32,
    /// Lines on what went well; the rest is left to failures, refusals and late answers.
    pub routine: u32,
}

impl Default for LineLimits {
    /// A line costs up to 25 microseconds with its write, so these are at most 1% of a core.
    fn default() -> Self {
        Self {
            all: 400,
            routine: 300,
        }
    }
}

/// Lines of the second at hand.
#[derive(Debug, Default)]
struct Count {
    /// When the second began.
    since: Monotonic,
    /// Lines written.
    written: u32,
    /// Lines on what went well that were left out.
    routine_left_out: u32,
    /// Other lines that were left out.
    failures_left_out: u32,
}

/// Passes on a limited number of lines a second, failures before successes, and says how many it left out.
pub struct LogBudget<D, C> {
    /// Where lines go.
    drain: D,
    /// How many.
    limits: LineLimits,
    /// Time.
    clock: Arc<C>,
    /// Lines so far.
    count: Mutex<Count>,
}

impl<D, C: Clock> LogBudget<D, C> {
    /// A budget before a drain.
    pub fn new(drain: D, limits: LineLimits, clock: Arc<C>) -> Self {
        Self {
            drain,
            limits,
            clock,
            count: Mutex::default(),
        }
    }

    /// Whether a line may be written, and what the second before has left out if this line is the first after it.
    fn admit(&self, level: Level) -> (bool, Option<Count>) {
        let now = self.clock.now();
        let mut count = self.count.lock().unwrap_or_else(PoisonError::into_inner);
        let mut ended = None;
        if now >= count.since + SPAN {
            let fresh = Count {
                since: now,
                ..Count::default()
            };
            let before = std::mem::replace(&mut *count, fresh);
            ended = Some(before).filter(|c| c.routine_left_out + c.failures_left_out > 0);
        }
        let is_routine = !level.is_at_least(Level::Warning);
        let limit = if is_routine {
            self.limits.routine
        } else {
            self.limits.all
        };
        let is_admitted = count.written < limit;
        match (is_admitted, is_routine) {
            (true, _) => count.written += 1,
            (false, true) => count.routine_left_out += 1,
            (false, false) => count.failures_left_out += 1,
        }
        (is_admitted, ended)
    }
}

impl<D: Drain<Ok = ()>, C: Clock> Drain for LogBudget<D, C> {
    type Ok = ();
    type Err = D::Err;

    fn log(&self, line: &Record<'_>, values: &OwnedKVList) -> Result<(), D::Err> {
        let (is_admitted, ended) = self.admit(line.level());
        if let Some(count) = ended {
            self.drain.log(
                &record!(
                    Level::Warning,
                    "",
                    &format_args!("lines left out"),
                    b!(events::LINES_LEFT_OUT, "routine" => count.routine_left_out,
                        "failures" => count.failures_left_out)
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
