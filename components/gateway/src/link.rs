//! The use of the links between regions.

use std::time::Duration;

use utils::Monotonic;

use crate::decay::weight_at;

/// Bytes that the links between regions are assumed to carry in a second and direction (60 Mbit/s).
const LINK_BYTES_PER_S: f64 = 7.5e6;
/// Time after which bytes count in the rate by a factor of e less, at least and for each host. The more hosts there are,
/// the fewer requests each sends, from which it estimates those of all.
const MIN_MEMORY: Duration = Duration::from_secs(2);
const MEMORY_PER_HOST: Duration = Duration::from_millis(25);
/// Share of the capacity up to which the link costs nothing.
const FREE_SHARE: f64 = 0.55;
/// Share of the capacity at which the link has its full cost. Above it bursts queue on the link and delay everything
/// that crosses it.
const FULL_COST_SHARE: f64 = 0.9;
/// Full cost of the bytes of a long prompt and its answer, in units of an average request's value.
const FULL_COST: f64 = 1.0;
/// Bytes of a long prompt and its answer.
const LONG_REQUEST_BYTES: f64 = 80_000.0;
/// Largest multiple of the full cost.
const MAX_COST_FACTOR: f64 = 2.0;
/// Delay that costs nothing, and the further delay that has the full cost, in milliseconds.
const FREE_DELAY_MS: f64 = 30.0;
const FULL_COST_DELAY_MS: f64 = 150.0;
/// Congestion from which the link is reported as busy.
const BUSY_CONGESTION: f64 = 0.5;
/// Shortest time between two reports of a change.
const MIN_CHANGE_INTERVAL: Duration = Duration::from_secs(10);
/// Weight of a new sample of the lateness, from 0 to 1.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Time without a sample after which the lateness has halved.
const LATENESS_HALF_LIFE: Duration = Duration::from_secs(10);
/// Largest lateness that a sample counts with, in milliseconds.
const MAX_LATENESS_MS: f64 = 1_000.0;
/// Bytes of an event of a stream, with its framing.
const EVENT_BYTES: f64 = 150.0;

/// Returns the bytes of a request and the events of its answer.
pub(crate) fn request_bytes(body: usize, output_tokens: u32) -> f64 {
    body as f64 + EVENT_BYTES * f64::from(output_tokens)
}

/// Average time by which answers came later than expected.
#[derive(Debug, Clone, Copy, Default)]
struct Lateness {
    average_ms: f64,
    /// Time of the last sample.
    sampled_at: Monotonic,
}

impl Lateness {
    fn record(&mut self, late_ms: f64, now: Monotonic) {
        let average = self.at(now);
        let sample = late_ms.clamp(-MAX_LATENESS_MS, MAX_LATENESS_MS);
        self.average_ms = average + SAMPLE_WEIGHT * (sample - average);
        self.sampled_at = now;
    }

    /// Returns the average, which decays without samples: requests that the delay keeps in their region must try the
    /// link again.
    fn at(&self, now: Monotonic) -> f64 {
        self.average_ms * weight_at(self.sampled_at, LATENESS_HALF_LIFE, now)
    }
}

/// Estimates the use of the link from this host's own requests to other regions, which are a random share of those of
/// all hosts. No message between hosts is needed.
#[derive(Debug, Clone, Default)]
pub struct LinkUse {
    /// Sum of the bytes with exponentially decreasing weights.
    bytes: f64,
    /// Time of the last record.
    at: Monotonic,
    /// Lateness of answers from the own region.
    near: Lateness,
    /// Lateness of answers from other regions.
    far: Lateness,
    /// Whether the link was last reported as busy.
    is_busy: bool,
    /// Time of that report.
    changed_at: Monotonic,
}

impl LinkUse {
    /// Records the bytes of a request to another region and its answer.
    pub fn record(&mut self, bytes: f64, hosts: usize, now: Monotonic) {
        self.bytes = self.recent_bytes(hosts, now) + bytes;
        self.at = now;
    }

    /// Returns the estimated share of the link's capacity that `hosts` hosts use together, half of it in each direction.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let mut link = gateway::LinkUse::default();
    /// link.record(1.5e6, 2, Duration::from_secs(1));
    /// assert_eq!(link.share(2, Duration::from_secs(1)), 0.1);
    /// assert!(link.share(2, Duration::from_secs(20)) < 0.001);
    /// ```
    pub fn share(&self, hosts: usize, now: Monotonic) -> f64 {
        let bytes_per_s = self.recent_bytes(hosts, now) / memory_s(hosts);
        bytes_per_s * hosts as f64 / (2.0 * LINK_BYTES_PER_S)
    }

    /// Records by how much the first byte of an answer came later than expected, from this or another region.
    pub fn record_lateness(&mut self, is_other_region: bool, late_ms: f64, now: Monotonic) {
        let lateness = if is_other_region {
            &mut self.far
        } else {
            &mut self.near
        };
        lateness.record(late_ms, now);
    }

    /// Returns the time by which requests to other regions are delayed, in milliseconds.
    pub fn delay_ms(&self, now: Monotonic) -> f64 {
        (self.far.at(now) - self.near.at(now).max(0.0)).max(0.0)
    }

    /// Returns the cost of sending a request of this size to another region. It is zero while the link has much free
    /// capacity and does not delay requests. The capacity is an assumption; the delay shows a link that carries less.
    pub fn cost(&self, bytes: f64, hosts: usize, now: Monotonic) -> f64 {
        FULL_COST * self.congestion(hosts, now) * bytes / LONG_REQUEST_BYTES
    }

    /// Returns whether the link has become busy or free, at most once in [`MIN_CHANGE_INTERVAL`].
    pub(crate) fn change(&mut self, hosts: usize, now: Monotonic) -> Option<bool> {
        let congestion = self.congestion(hosts, now);
        let is_busy = match self.is_busy {
            true => congestion > 0.0,
            false => congestion >= BUSY_CONGESTION,
        };
        if is_busy == self.is_busy || now < self.changed_at + MIN_CHANGE_INTERVAL {
            return None;
        }
        (self.is_busy, self.changed_at) = (is_busy, now);
        Some(is_busy)
    }

    /// Returns the congestion from 0, free, over 1, full, to [`MAX_COST_FACTOR`].
    fn congestion(&self, hosts: usize, now: Monotonic) -> f64 {
        let used = (self.share(hosts, now) - FREE_SHARE) / (FULL_COST_SHARE - FREE_SHARE);
        let delayed = (self.delay_ms(now) - FREE_DELAY_MS) / FULL_COST_DELAY_MS;
        used.max(delayed).clamp(0.0, MAX_COST_FACTOR)
    }

    fn recent_bytes(&self, hosts: usize, now: Monotonic) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.bytes * (-age / memory_s(hosts)).exp()
    }
}

/// Returns the time after which bytes count by a factor of e less, in seconds.
fn memory_s(hosts: usize) -> f64 {
    let of_hosts = MEMORY_PER_HOST.as_secs_f64() * hosts as f64;
    of_hosts.max(MIN_MEMORY.as_secs_f64())
}
