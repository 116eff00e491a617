//! Expected time to the first token of a prompt, learned from the answers that a host receives.

use std::time::Duration;

use serde::Serialize;

/// Weight of a new sample, from 0 to 1.
const STEP: f64 = 0.05;
/// Added to the squared size of a sample, in square milliseconds. A sample whose parts are much smaller than
/// its square root changes little.
const DAMPING_MS2: f64 = 100.0 * 100.0;
/// Largest error that a single sample counts with, relative to the expected time. Limits the effect of
/// targets that stall.
const MAX_RELATIVE_ERROR: f64 = 0.5;
/// Range of the factors.
const FACTOR_RANGE: (f64, f64) = (0.2, 8.0);

/// The parts of an expected time to the first token, in milliseconds, as the priors give them.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
#[derive(Serialize)]
pub struct TimeParts {
    /// Part that is not learned: the way to the target and the first step.
    pub fixed_ms: f64,
    /// Prefill of this prompt and of the ones that this host sent before it.
    pub prefill_ms: f64,
    /// Requests of other hosts that are queued at the target or in their prefill.
    pub queue_ms: f64,
}

/// Factors on the priors of a service's prefill time and queueing time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    prefill: f64,
    queue: f64,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            prefill: 1.0,
            queue: 1.0,
        }
    }
}

impl Pace {
    /// Returns the expected time to the first token, in milliseconds.
    ///
    /// ```
    /// use gateway::{Pace, TimeParts};
    ///
    /// let parts = TimeParts { fixed_ms: 45.0, prefill_ms: 100.0, queue_ms: 50.0 };
    /// assert_eq!(Pace::default().expected_ms(&parts), 195.0);
    /// ```
    pub fn expected_ms(&self, parts: &TimeParts) -> f64 {
        parts.fixed_ms + self.prefill * parts.prefill_ms + self.queue * parts.queue_ms
    }

    /// Adjusts the factors to an observed time (normalized least mean squares). A part that was small in the
    /// sample is adjusted little.
    pub fn observe(&mut self, parts: &TimeParts, observed: Duration) {
        let expected = self.expected_ms(parts);
        let limit = MAX_RELATIVE_ERROR * expected.max(1.0);
        let error = (observed.as_secs_f64() * 1e3 - expected).clamp(-limit, limit);
        let size = DAMPING_MS2 + parts.prefill_ms.powi(2) + parts.queue_ms.powi(2);
        let (min, max) = FACTOR_RANGE;
        self.prefill = (self.prefill + STEP * error * parts.prefill_ms / size).clamp(min, max);
        self.queue = (self.queue + STEP * error * parts.queue_ms / size).clamp(min, max);
    }
}
