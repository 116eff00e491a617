use std::time::Duration;

use policy::{LinkHealth, LinkMeter, VolumeBudget};
use proptest::prelude::*;

const MB: u64 = 1_000_000;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn transfer(meter: &mut LinkMeter, at: Duration, took: Duration) -> Duration {
    meter.started(MB, at);
    meter.finished(MB, at + took);
    at + took
}

#[test]
fn slow_link_is_detected_and_cleared_with_hysteresis() {
    let mut meter = LinkMeter::new(4e6);
    let mut now = ms(0);
    now = transfer(&mut meter, now, ms(1_000));
    assert_eq!(meter.health(), LinkHealth::Normal);
    for _ in 0..2 {
        now = transfer(&mut meter, now, ms(1_000));
    }
    assert_eq!(meter.health(), LinkHealth::Slow);
    assert!(meter.rate() < 2e6);
    for _ in 0..2 {
        now = transfer(&mut meter, now, ms(250));
        assert_eq!(meter.health(), LinkHealth::Slow);
    }
    transfer(&mut meter, now, ms(250));
    assert_eq!(meter.health(), LinkHealth::Normal);
}

#[test]
fn link_without_progress_is_cut_and_probed_periodically() {
    let mut meter = LinkMeter::new(4e6);
    meter.started(MB, ms(0));
    meter.check(ms(2_900));
    assert_eq!(meter.health(), LinkHealth::Normal);
    meter.check(ms(3_000));
    assert_eq!(meter.health(), LinkHealth::Cut);
    meter.failed(MB, ms(3_500));
    assert!(!meter.is_usable(ms(7_900)));
    assert!(meter.is_usable(ms(8_000)));
    meter.started(MB, ms(8_000));
    assert!(!meter.is_usable(ms(8_100)));
    meter.finished(MB, ms(8_250));
    assert_eq!(meter.health(), LinkHealth::Slow);
    assert_eq!(meter.backlog_bytes(), 0);
}

proptest! {
    #[test]
    fn hosts_together_stay_within_the_budget(
        asks in prop::collection::vec((0_usize..9, 0_u64..2_000, 1_u64..3 * MB), 1..300),
        lost in 0_usize..9,
    ) {
        let (rate, burst) = (1e6, 9 * MB);
        let mut hosts: Vec<_> = (0..9).map(|_| VolumeBudget::new(rate, burst, 9, Duration::ZERO)).collect();
        let mut now = Duration::ZERO;
        let mut sent = 0;
        for (host, wait, bytes) in asks {
            now += ms(wait);
            if host == lost {
                // The replacement of the lost host starts with zero bytes.
                hosts[host] = VolumeBudget::new(rate, burst, 9, now);
            }
            // Another host has seen the loss but not yet the replacement, and counts 8 hosts. Its clock stops
            // at 59 s, below the 60 s after which a lower number of hosts takes effect.
            hosts[(host + 1) % 9].set_hosts(8, now.min(Duration::from_secs(59)));
            sent += if hosts[host].take(bytes, now) { bytes } else { 0 };
            prop_assert!(sent as f64 <= rate * now.as_secs_f64() + 1.0);
        }
    }
}
