//! Prints control traffic, processor time and propagation delay of updates for several cluster sizes.

use std::time::Duration;

use membership::{MeasureOptions, measure};
use utils::SystemClock;

fn main() {
    for (hosts, targets) in [(9, 23), (30, 200), (100, 800), (340, 3_000)] {
        let options = MeasureOptions {
            hosts,
            targets,
            duration: Duration::from_secs(25),
            seed: 4,
        };
        println!(
            "{hosts} hosts, {targets} targets: {:#?}",
            measure(options, &SystemClock::new())
        );
    }
}
