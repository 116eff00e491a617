//! The learned time to the first token on engines of different speed, with a change of speed and with engines
//! that stall.

mod support;

use gateway::{Pace, TimeParts};
use support::ms;

/// Sizes of prompts, in milliseconds of prefill under the prior, and queue lengths that alternate.
const SAMPLES: [(f64, f64); 4] = [(150.0, 0.0), (30.0, 4.0), (10.0, 12.0), (120.0, 6.0)];

fn parts(prefill_ms: f64, queued: f64) -> TimeParts {
    TimeParts {
        fixed_ms: 45.0,
        prefill_ms,
        queue_ms: queued * 50.0,
    }
}

/// Plays `count` answers of engines whose prefill and queue take `prefill` and `queue` times as long as
/// assumed.
fn observe(pace: &mut Pace, prefill: f64, queue: f64, count: usize) {
    for (prefill_ms, queued) in SAMPLES.into_iter().cycle().take(count) {
        let parts = parts(prefill_ms, queued);
        let took = parts.fixed_ms + prefill * parts.prefill_ms + queue * parts.queue_ms;
        pace.observe(&parts, ms(took as u64));
    }
}

/// Returns the largest ratio of expected to actual time, or its inverse, over the samples.
fn worst_ratio(pace: &Pace, prefill: f64, queue: f64) -> f64 {
    let ratio = |(prefill_ms, queued)| {
        let parts = parts(prefill_ms, queued);
        let took = parts.fixed_ms + prefill * parts.prefill_ms + queue * parts.queue_ms;
        let ratio = pace.expected_ms(&parts) / took;
        ratio.max(1.0 / ratio)
    };
    SAMPLES.into_iter().map(ratio).fold(1.0, f64::max)
}

#[test]
fn the_expected_time_converges_on_three_kinds_of_engines() {
    for (prefill, queue) in [(1.0, 1.0), (1.9, 2.6), (0.5, 0.4)] {
        let mut pace = Pace::default();
        observe(&mut pace, prefill, queue, 200);
        let ratio = worst_ratio(&pace, prefill, queue);
        assert!(ratio < 1.25, "{prefill} {queue}: {ratio} {pace:?}");
    }
}

#[test]
fn the_expected_time_follows_a_change_of_speed() {
    let mut pace = Pace::default();
    observe(&mut pace, 0.6, 0.6, 300);
    observe(&mut pace, 2.0, 3.0, 300);
    let ratio = worst_ratio(&pace, 2.0, 3.0);
    assert!(ratio < 1.25, "{ratio} {pace:?}");
}

#[test]
fn answers_of_a_stalled_engine_change_the_expected_time_little() {
    let mut pace = Pace::default();
    for step in 0..400 {
        observe(&mut pace, 1.0, 1.0, 1);
        if step % 20 == 0 {
            pace.observe(&parts(100.0, 1.0), ms(30_000));
        }
    }
    let ratio = worst_ratio(&pace, 1.0, 1.0);
    assert!(ratio < 1.25, "{ratio} {pace:?}");
}
