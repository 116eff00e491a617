use std::net::SocketAddr;
use std::time::Duration;

use policy::{ServiceTarget, ServiceTargetKey, ServiceTargets, TargetState};
use proptest::prelude::*;

fn targets(count: usize) -> (ServiceTargets, Vec<ServiceTargetKey>) {
    let address: SocketAddr = ([127, 0, 0, 1], 1).into();
    let mut targets = ServiceTargets::default();
    let domains = [("north", "a"), ("north", "b"), ("south", "c")];
    let keys = (0..count).map(|n| {
        let (region, domain) = domains[n % 3];
        let id = format!("ledger-{n}").into();
        targets
            .targets
            .insert(ServiceTarget::new(id, address, region.into(), domain.into()))
    });
    let keys = keys.collect();
    (targets, keys)
}

fn choose(targets: &ServiceTargets, now: Duration) -> Option<ServiceTargetKey> {
    targets.choose(&"north".into(), &"b".into(), |_| true, now)
}

#[test]
fn own_failure_domain_is_preferred_until_it_is_busier() {
    let (mut targets, keys) = targets(3);
    let now = Duration::ZERO;
    assert_eq!(choose(&targets, now), Some(keys[1]));
    (0..3).for_each(|_| targets.started(keys[1]));
    assert_eq!(choose(&targets, now), Some(keys[0]));
    targets.targets[keys[0]].state = TargetState::Leaving;
    assert_eq!(choose(&targets, now), Some(keys[1]));
    (0..2).for_each(|_| targets.started(keys[1]));
    assert_eq!(choose(&targets, now), Some(keys[2]));
}

#[test]
fn failing_target_is_ejected_for_longer_each_time() {
    let (mut targets, keys) = targets(3);
    let now = Duration::ZERO;
    assert!((0..4).all(|_| !targets.ended(keys[1], true, now)));
    assert!(targets.ended(keys[1], true, now));
    assert_eq!(choose(&targets, now), Some(keys[0]));
    let back = Duration::from_secs(5);
    assert_eq!(choose(&targets, back), Some(keys[1]));
    assert!(targets.ended(keys[1], true, back));
    assert!(targets.targets[keys[1]].is_ejected(back + Duration::from_secs(9)));
    assert!(!targets.ended(keys[1], false, back + Duration::from_secs(10)));
}

proptest! {
    #[test]
    fn half_of_the_targets_stay_in_use(
        count in 1_usize..9,
        ends in prop::collection::vec((0_usize..9, any::<bool>(), 0_u64..2_000), 0..200),
    ) {
        let (mut targets, keys) = targets(count);
        let mut now = Duration::ZERO;
        for (at, is_failure, wait) in ends {
            now += Duration::from_millis(wait);
            targets.ended(keys[at % count], is_failure, now);
            let ejected = targets.targets.values().filter(|t| t.is_ejected(now)).count();
            prop_assert!(ejected * 2 <= count);
            let chosen = choose(&targets, now);
            prop_assert!(chosen.is_some_and(|key| !targets.targets[key].is_ejected(now)));
        }
    }
}
