//! How short the capacity of a service is.

use std::time::Duration;

use utils::Monotonic;

use super::RANKS;
use super::room::MIN_WAITING_TO_REFUSE;
use crate::placement::Candidate;

/// Shares of the engines' memory in use between which the level rises by one. Above, running requests evict the
/// shared parts that later prompts need, and each of these is prefilled again.
const FILL_RANGE: (f64, f64) = (0.8, 0.95);
/// Waiting requests per engine without contention, as owners of popular sessions are busier than others. Memory in use
/// does not count up to here: the estimate is too high where there are no reports.
const USUAL_WAITING: f64 = 0.4;
/// Waiting requests per engine from which memory in use counts in full, and above which each further one raises the
/// level by one.
const HIGH_WAITING: f64 = 1.0;
/// Highest level: a share of the most urgent requests is refused.
const MAX_LEVEL: f64 = 4.0;
/// Level from which requests of each priority are refused; their largest share is refused one level above.
const REFUSED_FROM: [f64; RANKS] = [3.0, 2.0, 0.0];
/// Largest share of the requests of each priority that is refused. Callers retry once, so that 0.85 leaves a
/// class that is always refused that often 28%, more than a quarter of any other.
const MAX_REFUSED: [f64; RANKS] = [0.3, 0.5, 0.85];
/// Times in which the level follows half of a rise and half of a fall. Relief shows before those return that were
/// refused.
const RISE_HALF_TIME: Duration = Duration::from_millis(200);
const FALL_HALF_TIME: Duration = Duration::from_secs(1);
/// Level from which capacity counts as short, and level below which it no longer does.
const SHORT_FROM: f64 = 0.1;
const SHORT_UNTIL: f64 = 0.02;
/// Level that counts as none, so that the metric is not recorded for ever.
const NEGLIGIBLE: f64 = 0.001;
/// Time without a request after which a shortage counts as a new one; also after a suspension of the host.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(5);

/// The load of the engines of a service, as this host estimates it.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ServiceLoad {
    /// Number of engines.
    pub engines: usize,
    /// Share of the engines' memory that running requests use.
    pub fill: f64,
    /// Requests that wait per engine.
    pub waiting: f64,
}

impl ServiceLoad {
    /// Sums up the load of the engines that a request could be sent to.
    ///
    /// ```
    /// assert_eq!(gateway::ServiceLoad::of(&[]), gateway::ServiceLoad::default());
    /// ```
    pub fn of(candidates: &[Candidate]) -> Self {
        let count = candidates.len().max(1) as f64;
        let fill = |c: &Candidate| c.memory.0 / c.memory.1.max(1) as f64;
        Self {
            engines: candidates.len(),
            fill: candidates.iter().map(fill).sum::<f64>() / count,
            waiting: candidates.iter().map(|c| c.waiting).sum::<f64>() / count,
        }
    }

    /// Returns the level that the load calls for. Memory alone does not: nobody is short of it while no request
    /// waits.
    fn level(&self) -> f64 {
        if self.waiting * (self.engines as f64) < MIN_WAITING_TO_REFUSE {
            return 0.0;
        }
        let weight = share_between(self.waiting, (USUAL_WAITING, HIGH_WAITING));
        let waiting = (self.waiting - HIGH_WAITING).max(0.0);
        (weight * share_between(self.fill, FILL_RANGE) + waiting).min(MAX_LEVEL)
    }
}

/// Returns where a value lies in a range, from 0 at its begin to 1 at its end.
fn share_between(value: f64, (low, high): (f64, f64)) -> f64 {
    ((value - low) / (high - low)).clamp(0.0, 1.0)
}

/// A change between enough and short capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PressureChange {
    /// Capacity has become short.
    Short,
    /// Capacity is no longer short, after this time.
    Enough(Duration),
}

/// The pressure on the engines of a service: a smoothed level, and since when capacity has been short.
#[derive(Debug, Clone, Default)]
pub(super) struct Pressure {
    /// From 0 without pressure to [`MAX_LEVEL`].
    level: f64,
    /// Whether the last observed load calls for a level above 0.
    is_loaded: bool,
    /// Time of the last observation.
    observed_at: Monotonic,
    /// Time since which capacity has been short, if it is.
    short_since: Option<Monotonic>,
}

impl Pressure {
    /// Moves the level towards the one that the load calls for.
    pub(super) fn observe(&mut self, load: &ServiceLoad, now: Monotonic) -> Option<PressureChange> {
        let wanted = load.level();
        self.is_loaded = wanted > 0.0;
        let half_time = if wanted > self.level {
            RISE_HALF_TIME
        } else {
            FALL_HALF_TIME
        };
        let age = now.saturating_sub(self.observed_at);
        let kept = 0.5f64.powf(age.as_secs_f64() / half_time.as_secs_f64());
        self.level = wanted + (self.level - wanted) * kept;
        if wanted <= 0.0 && self.level < NEGLIGIBLE {
            self.level = 0.0;
        }
        self.observed_at = now;
        if age > FORGOTTEN_AFTER && self.short_since.is_some() {
            self.short_since = Some(now);
        }
        self.update_short(now)
    }

    fn update_short(&mut self, now: Monotonic) -> Option<PressureChange> {
        match self.short_since {
            None if self.level >= SHORT_FROM => {
                self.short_since = Some(now);
                Some(PressureChange::Short)
            }
            Some(since) if self.level < SHORT_UNTIL => {
                self.short_since = None;
                Some(PressureChange::Enough(now.saturating_sub(since)))
            }
            _ => None,
        }
    }

    /// Returns the share of the requests of a rank to refuse, of those for whose engines the load was just observed.
    /// The level is that of all engines of the service, and other requests may be bound to other regions, so that
    /// nothing is refused while these engines themselves are not short of capacity.
    pub(super) fn refused_share(&self, rank: usize) -> f64 {
        if self.short_since.is_none() || !self.is_loaded {
            return 0.0;
        }
        (self.level - REFUSED_FROM[rank]).clamp(0.0, 1.0) * MAX_REFUSED[rank]
    }

    /// Returns how long capacity has been short.
    pub(super) fn lasted(&self, now: Monotonic) -> Duration {
        self.short_since
            .map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    pub(super) fn level(&self) -> f64 {
        self.level
    }
}
