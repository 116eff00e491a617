//! The speed of a target relative to its service, and the late gaps of its streams.

use std::time::Duration;

use utils::Monotonic;

use crate::decay::weight_at;
use crate::first_token::Pace;
use crate::placement::TargetCondition;
use crate::{ServerSpeed, TimeParts};

/// Weight of a new sample of a first byte. The time of one answer depends mostly on what runs beside it.
const FIRST_BYTE_STEP: f64 = 0.05;
/// Weight of a new sample of the events of a stream, which averages over many steps of the target.
const EVENTS_STEP: f64 = 0.2;
/// Largest logarithm of a ratio that a sample counts with.
const MAX_SAMPLE: f64 = 1.0;
/// Time after which half of what was learned is forgotten.
const FORGET_HALF_LIFE: Duration = Duration::from_secs(15);
/// Bounds of the logarithm of the factor: from two thirds of the usual time to three times the usual time.
const LOG_RANGE: (f64, f64) = (-0.4, 1.1);
/// Age at which the speed that a target states and the learned one weigh the same. It changes many times per second.
const STATED_HALF_LIFE: Duration = Duration::from_millis(300);
/// Weight of a new stream in the share of streams with late gaps.
const GAP_STEP: f64 = 0.2;
/// Time after which the share of late gaps has halved. Engines whose memory is nearly full preempt streams for some
/// seconds.
const GAP_HALF_LIFE: Duration = Duration::from_secs(2);
/// Weight of a new stream in a service's average time between events.
const EVENT_TIME_STEP: f64 = 0.02;
/// Shortest time between events that ratios are formed with, in milliseconds.
const MIN_EVENT_MS: f64 = 0.5;

/// Times of a stream from its first byte to its end.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StreamTimes {
    /// Events after the first.
    pub events: u64,
    /// Time from the first byte to the end.
    pub rest: Duration,
    /// Longest time between two chunks of events.
    pub longest_gap: Duration,
}

/// Average times of a service, which the times of its targets are compared with.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServiceTimes {
    /// Time between the events of a stream, in milliseconds.
    event_ms: Option<f64>,
    /// Logarithm of the time to the first byte relative to the expected one. Not zero, as the expected time has parts
    /// that are not learned.
    first_byte: Option<f64>,
}

impl ServiceTimes {
    /// Records a time to the first byte and returns it relative to the expected one and the average.
    pub fn observe_first_byte(&mut self, pace: &Pace, expected: &TimeParts, took: Duration) -> f64 {
        let sample = log(took.as_secs_f64() * 1e3 / pace.expected_ms(expected).max(1.0));
        let average = self.first_byte.get_or_insert(sample);
        let ratio = (sample - *average).exp();
        *average += FIRST_BYTE_STEP * (sample - *average);
        ratio
    }

    /// Records a stream and returns its time between events relative to the average; `None` for a stream too short to
    /// tell.
    pub fn observe_stream(&mut self, stream: &StreamTimes) -> Option<f64> {
        const MIN_EVENTS: u64 = 8;
        if stream.events < MIN_EVENTS {
            return None;
        }
        let ms = (stream.rest.as_secs_f64() * 1e3 / stream.events as f64).max(MIN_EVENT_MS);
        let average = self.event_ms.get_or_insert(ms);
        let ratio = ms / *average;
        *average += EVENT_TIME_STEP * (ms - *average).clamp(-*average, *average);
        Some(ratio)
    }
}

/// Factor on the expected times at one run of a target, relative to its service. It is bounded, forgets old samples, and
/// prefers what the target states itself while that is new.
///
/// ```
/// use std::time::Duration;
///
/// let mut speed = gateway::TargetSpeed::default();
/// for second in 0..60 {
///     speed.observe_events(1.3, Duration::from_secs(second));
/// }
/// let now = Duration::from_secs(60);
/// assert!((1.15..1.4).contains(&speed.time_factor(now)));
/// assert!(speed.time_factor(now + Duration::from_secs(120)) < 1.01);
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct TargetSpeed {
    /// Logarithm of the learned factor.
    log_factor: f64,
    /// Time of the last sample.
    learned_at: Monotonic,
    /// Factor that the target stated, and when.
    stated: Option<(f64, Monotonic)>,
    /// Share of the recent streams with a late gap.
    late_gaps: f64,
    /// Time of the last stream.
    gaps_at: Monotonic,
}

impl TargetSpeed {
    /// Records the time to the first byte relative to the expected one, which contains the factor at the time of the
    /// send, and the service's average.
    pub fn observe_first_byte(&mut self, ratio: f64, now: Monotonic) {
        self.learn(self.learned(now) + FIRST_BYTE_STEP * log(ratio), now);
    }

    /// Records the time between events of a stream relative to the service's average.
    pub fn observe_events(&mut self, ratio: f64, now: Monotonic) {
        let learned = self.learned(now);
        self.learn(learned + EVENTS_STEP * (log(ratio) - learned), now);
    }

    /// Records whether a stream had a gap longer than its route's target.
    pub fn observe_gap(&mut self, is_late: bool, now: Monotonic) {
        let late = if is_late { 1.0 } else { 0.0 };
        let recent = self.late_gaps(now);
        self.late_gaps = recent + GAP_STEP * (late - recent);
        self.gaps_at = now;
    }

    /// Records the speed that the target stated with an answer.
    pub fn record_stated(&mut self, speed: ServerSpeed, now: Monotonic) {
        self.stated = Some((log(f64::from(speed.time_percent) / 100.0), now));
    }

    /// Returns the factor on the expected times.
    pub fn time_factor(&self, now: Monotonic) -> f64 {
        let learned = self.learned(now);
        let factor = self.stated.map_or(learned, |(stated, at)| {
            let weight = weight_at(at, STATED_HALF_LIFE, now);
            stated * weight + learned * (1.0 - weight)
        });
        factor.clamp(LOG_RANGE.0, LOG_RANGE.1).exp()
    }

    /// Returns the share of the recent streams with a late gap.
    pub fn late_gaps(&self, now: Monotonic) -> f64 {
        self.late_gaps * weight_at(self.gaps_at, GAP_HALF_LIFE, now)
    }

    /// Returns the factor and the late gaps.
    pub fn condition(&self, now: Monotonic) -> TargetCondition {
        TargetCondition {
            time_factor: self.time_factor(now),
            late_gaps: self.late_gaps(now),
        }
    }

    fn learned(&self, now: Monotonic) -> f64 {
        self.log_factor * weight_at(self.learned_at, FORGET_HALF_LIFE, now)
    }

    fn learn(&mut self, log_factor: f64, now: Monotonic) {
        self.log_factor = log_factor.clamp(LOG_RANGE.0, LOG_RANGE.1);
        self.learned_at = now;
    }
}

/// Returns the bounded logarithm of a ratio.
fn log(ratio: f64) -> f64 {
    ratio.max(f64::MIN_POSITIVE).ln().clamp(-MAX_SAMPLE, MAX_SAMPLE)
}
