//! Which requests a host accepts while it drains.

use std::time::Duration;

use gateway::{DrainSchedule, RunBound, RunTimes};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const SCHEDULE: DrainSchedule = DrainSchedule {
    limited_from: Duration::from_millis(2_600),
    answers_end: Duration::from_millis(7_500),
    ends_at: Duration::from_millis(7_750),
};

// Guards against the refusal of requests that a balancer sends before it has noticed the drain.
#[test]
fn every_request_is_sent_before_the_limit() {
    let deadline = ms(60_000);
    assert_eq!(SCHEDULE.begin_by(deadline, None, ms(2_599)), Some(deadline));
    assert_eq!(SCHEDULE.begin_by(deadline, None, ms(2_600)), None);
}

// Guards against the refusal of requests whose callers get a final answer before the host ends.
#[test]
fn a_request_whose_deadline_lies_in_the_grace_is_sent() {
    assert_eq!(SCHEDULE.begin_by(ms(7_500), None, ms(7_000)), Some(ms(7_500)));
    assert_eq!(SCHEDULE.begin_by(ms(7_501), None, ms(7_000)), None);
}

// Guards against an answer that begins too late to be completed before the host ends.
#[test]
fn a_request_with_a_bound_must_begin_so_early_that_it_can_end() {
    let bound = RunBound {
        first_byte: ms(1_000),
        rest: ms(2_000),
    };
    let begin_by = |now| SCHEDULE.begin_by(ms(15_000), Some(bound), now);
    assert_eq!(begin_by(ms(4_500)), Some(ms(5_500)));
    assert_eq!(begin_by(ms(4_501)), None);
}

// Guards against a bound that a single run or the mean of the runs decides.
#[test]
fn the_bound_follows_the_slowest_recent_run() {
    let mut times = RunTimes::default();
    for i in 0..7 {
        times.record(ms(100), ms(200), 20, ms(i));
        assert_eq!(times.bound(20, ms(i)), None);
    }
    times.record(ms(300), ms(640), 20, ms(8));
    let bound = times.bound(100, ms(8)).unwrap();
    assert_eq!((bound.first_byte, bound.rest), (ms(600), ms(6_400)));
}

// Guards against times of a load that is long gone.
#[test]
fn old_runs_do_not_count() {
    let mut times = RunTimes::default();
    for _ in 0..20 {
        times.record(ms(100), ms(200), 20, ms(1_000));
    }
    assert!(times.bound(20, ms(29_999)).is_some());
    assert_eq!(times.bound(20, ms(30_000)), None);
    assert_eq!(times.bound(20, ms(3_600_000)), None);
}

// Guards against a number of tokens from a caller that overflows a time.
#[test]
fn any_number_of_tokens_has_a_bound() {
    let mut times = RunTimes::default();
    for _ in 0..20 {
        times.record(Duration::MAX, Duration::MAX, 1, ms(0));
    }
    let bound = times.bound(u32::MAX, ms(0));
    assert!(bound.is_some());
    assert_eq!(SCHEDULE.begin_by(ms(15_000), bound, ms(5_000)), None);
}
