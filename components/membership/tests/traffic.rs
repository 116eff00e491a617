//! Control traffic in virtual time, compared with its bound.

use std::time::Duration;

use membership::{MeasureOptions, Membership, measure};
use utils::ManualClock;

/// Maximum control traffic of a host in both directions, in bytes per second.
const MAX_BYTES_PER_SECOND: f64 = 3_000.0;

fn run(hosts: usize, targets: usize) -> membership::Measurement {
    let options = MeasureOptions {
        hosts,
        targets,
        duration: Duration::from_secs(25),
        seed: 4,
    };
    measure(options, &ManualClock::default())
}

#[test]
fn traffic_stays_within_its_bound_with_few_and_many_hosts() {
    for (hosts, targets) in [(9, 23), (30, 200)] {
        let measure = run(hosts, targets);
        assert!(
            measure.bytes_per_second() <= MAX_BYTES_PER_SECOND,
            "{hosts}: {measure:?}"
        );
        assert!(
            measure.busiest_per_second <= MAX_BYTES_PER_SECOND,
            "{hosts}: {measure:?}"
        );
        assert_eq!(measure.leaving_observers, hosts);
        assert!(
            measure.leaving_last <= Duration::from_secs(3),
            "{hosts}: {measure:?}"
        );
        assert_eq!(measure.dead_observers, hosts - 1);
    }
}

#[test]
fn measure_is_repeatable() {
    assert_eq!(run(9, 23), run(9, 23));
}

#[test]
fn cloned_membership_returns_the_same_effects() {
    let identity = membership::Identity {
        id: "entry-0".into(),
        region: "north".into(),
        incarnation: 1,
    };
    let mut left = Membership::new(identity, 3, Duration::ZERO);
    let mut right = left.clone();
    let tick = || membership::Input::Tick;
    assert_eq!(
        left.step(tick(), Duration::from_secs(1)),
        right.step(tick(), Duration::from_secs(1))
    );
}
