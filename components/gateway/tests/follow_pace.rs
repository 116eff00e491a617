//! Hosts that follow a table in virtual time while answers of the store or of a relay are lost.

use std::time::Duration;

use gateway::{FollowPace, PAUSE_JITTER, STORE_ANSWER_TIMEOUT};

/// Bounds within which a change must be in force.
const BOUNDS_MS: [u64; 3] = [2_500, 4_000, 6_000];
/// Time that an answer takes, and step between the cases.
const STEP: Duration = Duration::from_millis(50);
/// Loss lengths; the longest makes the pauses reach their bound.
const LOSSES_MS: [u64; 7] = [50, 400, 800, 1_200, 3_000, 6_500, 12_000];
/// Interval between queries to a relay, with its jitter.
const QUERY_INTERVAL: Duration = Duration::from_millis(840);

/// When other calls of the host show that the store answers.
#[derive(Debug, Clone, Copy)]
enum OtherCalls {
    /// Never: only the calls for this table tell.
    Silent,
    /// Always, as their answers are not lost.
    Answered,
}

// Guards against a pause after a large change that adds to the time of a lost answer.
#[test]
fn a_change_is_in_force_in_time_when_the_answer_after_a_large_change_is_lost() {
    for bound in BOUNDS_MS.map(Duration::from_millis) {
        for bytes in [0, 100_000, 1 << 20, 64 << 20] {
            let mut pace = FollowPace::new(bound);
            let paused = pace.after_change(bytes);
            pace.answered();
            let lost = pace.wait(false, false) + STORE_ANSWER_TIMEOUT;
            let delay = paused + lost + pace.failed().mul_f64(1.0 + PAUSE_JITTER) + STEP;
            assert!(delay <= bound, "{delay:?} of {bound:?} after {bytes} bytes");
        }
    }
}

/// Returns how long after the end of a loss a host knows of a change that was acknowledged at that moment. Its first call
/// begins `before` the loss; calls that are open or begin during the loss get no answer.
fn delay(bound: Duration, before: Duration, loss: Duration, others: OtherCalls) -> Duration {
    let mut pace = FollowPace::new(bound);
    let (begin, end) = (before, before + loss);
    let (mut now, mut is_down) = (Duration::ZERO, false);
    loop {
        let wait = pace.wait(is_down && matches!(others, OtherCalls::Silent), false);
        let is_lost = now < end && now + wait + STEP >= begin;
        match is_lost {
            // The store answers at once, as there is a change.
            false if now >= end => return now + STEP - end,
            false => {
                pace.answered();
                now += wait + STEP;
            }
            true => {
                is_down = true;
                now += wait + STORE_ANSWER_TIMEOUT + pace.failed().mul_f64(1.0 + PAUSE_JITTER);
            }
        }
    }
}

// Guards against a lost answer that keeps a change from being in force in time: the sum of the waits of a call, its timeout
// and the pause after it.
#[test]
fn a_change_is_in_force_in_time_whenever_answers_of_the_store_were_lost() {
    for bound in BOUNDS_MS.map(Duration::from_millis) {
        for loss in LOSSES_MS.map(Duration::from_millis) {
            for others in [OtherCalls::Silent, OtherCalls::Answered] {
                for before in (0..80).map(|step| step * STEP) {
                    let delay = delay(bound, before, loss, others);
                    assert!(
                        delay <= bound,
                        "{delay:?} of {bound:?}: loss of {loss:?} after {before:?}, {others:?}"
                    );
                }
            }
        }
    }
}

// Guards against a host that goes on relying on relays which have fallen silent, with a state that was old already.
#[test]
fn a_change_is_in_force_in_time_when_the_relays_fall_silent() {
    for bound in BOUNDS_MS.map(Duration::from_millis) {
        let pace = FollowPace::new(bound);
        let confirmed_at = Duration::from_secs(100);
        // The change is acknowledged right after the relay was confirmed.
        let mut now = confirmed_at;
        while !pace.relayed_for(confirmed_at, now).is_zero() {
            now += STEP;
        }
        let delay = now + STEP - confirmed_at;
        assert!(delay <= bound, "{delay:?} of {bound:?}");
    }
}

// Guards against hosts that leave their relays although these answer as usual.
#[test]
fn a_host_relies_on_relays_that_answer_as_usual() {
    let pace = FollowPace::new(Duration::from_millis(4_000));
    // The relay's wait for a change and its pause after changes of targets.
    let oldest = pace.wait(false, true) + Duration::from_millis(600) + STEP;
    assert!(oldest <= pace.max_relay_age());
    let confirmed_at = Duration::from_secs(100);
    let next_answer = confirmed_at + oldest + QUERY_INTERVAL + STEP;
    assert!(!pace.relayed_for(confirmed_at, next_answer).is_zero());
}

// Guards against a host that waits without end for a relay that never has the whole of a change.
#[test]
fn a_host_does_not_wait_without_end_for_a_relay_that_is_receiving() {
    for bound in BOUNDS_MS.map(Duration::from_millis) {
        let pace = FollowPace::new(bound);
        let confirmed_at = Duration::from_secs(10);
        for asked_at in (0..100).map(|query| confirmed_at + query * QUERY_INTERVAL) {
            assert!(pace.receiving_until(asked_at, confirmed_at) <= confirmed_at + 2 * bound);
        }
    }
}

// Guards against followers that read a change themselves because the pause of their relay adds to its wait.
#[test]
fn a_host_relies_on_relays_that_pause_after_a_large_change() {
    for bytes in [0, 100_000, 1 << 20, 64 << 20] {
        let mut pace = FollowPace::new(Duration::from_secs(4));
        let paused = pace.after_change(bytes);
        let age = paused + pace.wait(false, true) + QUERY_INTERVAL + STEP;
        assert!(age <= pace.max_relay_age(), "{age:?} after {bytes} bytes");
    }
}
