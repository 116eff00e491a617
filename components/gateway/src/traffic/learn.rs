//! What the traffic thread learns of targets and links from answers.

use std::time::Duration;

use utils::Monotonic;

use super::state::{RoutingState, Traffic};
use crate::first_token::TimeParts;
use crate::host::Distance;
use crate::{LinkUse, ServerSpeed, StreamTimes, Target, TargetSpeed};

/// Time between two ticks after which the host has been suspended. Ticks are due every 200 ms, and a host with little
/// processor time delays them by some hundred milliseconds.
const SUSPENDED_AFTER: Duration = Duration::from_millis(1_500);

/// Detects that the host was suspended. Times that span a suspension say nothing about targets.
///
/// ```
/// use std::time::Duration;
///
/// let at = Duration::from_millis;
/// let mut suspensions = gateway::Suspensions::default();
/// assert!(!suspensions.tick(at(5_000)));
/// // An answer is read right after the host goes on, before its next tick.
/// assert!(suspensions.is_between(at(5_100), at(9_000)));
/// assert!(suspensions.tick(at(9_010)));
/// assert!(!suspensions.is_between(at(9_020), at(9_200)));
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct Suspensions {
    /// Time of the last tick.
    ticked_at: Monotonic,
    /// End of the last suspension.
    resumed_at: Monotonic,
}

impl Suspensions {
    /// Records a tick; returns whether the host was suspended before it.
    pub fn tick(&mut self, now: Monotonic) -> bool {
        let is_first = self.ticked_at.is_zero();
        let was_suspended = !is_first && now > self.ticked_at + SUSPENDED_AFTER;
        self.ticked_at = now;
        if was_suspended {
            self.resumed_at = now;
        }
        was_suspended
    }

    /// Whether the host was suspended between `since` and `now`.
    pub fn is_between(&self, since: Monotonic, now: Monotonic) -> bool {
        let is_overdue = !self.ticked_at.is_zero() && now > self.ticked_at + SUSPENDED_AFTER;
        since < self.resumed_at || is_overdue
    }
}

impl RoutingState {
    /// Discards what was learned if the host has been suspended.
    /// Returns whether it was.
    pub(super) fn tick(&mut self, now: Monotonic) -> bool {
        if !self.suspensions.tick(now) {
            return false;
        }
        self.link = LinkUse::default();
        for slot in self.slots.values_mut() {
            slot.speed = TargetSpeed::default();
        }
        true
    }
}

impl Traffic {
    /// Records the time to the first byte of a good answer in the learned times and the delay of the links.
    pub(crate) fn record_first_byte(
        &self,
        target: &Target,
        expected: &TimeParts,
        elapsed: Duration,
        speed: Option<ServerSpeed>,
    ) {
        let now = self.now();
        let is_far = self.settings.distance(&target.domain) == Distance::OtherRegion;
        let mut routing = self.routing();
        if routing.suspensions.is_between(now.saturating_sub(elapsed), now) {
            return;
        }
        let pace = routing.paces.entry(target.service.clone()).or_default();
        let before = *pace;
        pace.observe(expected, elapsed);
        let late_ms = elapsed.as_secs_f64() * 1e3 - before.expected_ms(expected);
        routing.link.record_lateness(is_far, late_ms, now);
        let ratio = (!is_far).then(|| {
            let times = routing.service_times.entry(target.service.clone()).or_default();
            times.observe_first_byte(&before, expected, elapsed)
        });
        let slot = routing.slots.entry(target.run.clone()).or_default();
        if let Some(ratio) = ratio {
            slot.speed.observe_first_byte(ratio, now);
        }
        if let Some(speed) = speed {
            slot.speed.record_stated(speed, now);
        }
    }

    /// Records the estimated use of the links between regions.
    pub(crate) fn record_link_share(&self) {
        let hosts = self.view.load().host_count();
        let now = self.now();
        let mut routing = self.routing();
        let (share, change) = (routing.link.share(hosts, now), routing.link.change(hosts, now));
        drop(routing);
        self.telemetry.link(share, change);
    }

    /// Records the times of a stream. `gap_target` is the longest gap for which it has its full value.
    pub(crate) fn record_stream(&self, target: &Target, times: &StreamTimes, gap_target: Option<Duration>) {
        let now = self.now();
        self.telemetry.stream_gap(times.longest_gap);
        let mut routing = self.routing();
        if routing
            .suspensions
            .is_between(now.saturating_sub(times.rest), now)
        {
            return;
        }
        let service = routing.service_times.entry(target.service.clone()).or_default();
        let ratio = service.observe_stream(times);
        let slot = routing.slots.entry(target.run.clone()).or_default();
        if let Some(ratio) = ratio {
            slot.speed.observe_events(ratio, now);
            self.telemetry.target_speed(slot.speed.time_factor(now));
        }
        if let Some(gap_target) = gap_target {
            slot.speed.observe_gap(times.longest_gap > gap_target, now);
        }
    }
}
