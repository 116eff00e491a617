//! Assignment of duties for a region: all hosts compute the same owners, and each task of a store's followers
//! has exactly one owner.

use gateway::{HostEntry, LinkRate, Regions, View, is_sole_owner};
use utils::HostId;

/// Returns a view of `count` hosts that alternate between two regions.
fn view(count: usize) -> (View, Regions) {
    let mut view = View::default();
    for number in 0..count {
        let name: HostId = format!("host-{number}").into();
        let entry = HostEntry {
            name: name.clone(),
            domain: if number % 2 == 0 { "a" } else { "b" }.into(),
            peers: ([127, 0, 0, 1], 1).into(),
            link: None,
        };
        view.hosts.insert(name, entry);
    }
    let regions = [("a".into(), "north".into()), ("b".into(), "south".into())].into();
    (view, regions)
}

/// Returns the rate of a link, in Mbit/s.
fn link(mbps: u64) -> Option<LinkRate> {
    LinkRate::from_bits_per_second(mbps * 1_000_000)
}

#[test]
fn a_large_region_is_served_by_its_own_hosts() {
    let (view, regions) = view(80);
    let names = view.hosts_for(&regions, &"north".into(), "kept", 10);
    assert_eq!(names.len(), 10);
    assert!(names.iter().all(|name| &*view.hosts[name].domain == "a"));
}

#[test]
fn a_small_region_is_served_by_all_hosts() {
    let (view, regions) = view(9);
    let names = view.hosts_for(&regions, &"south".into(), "kept", 10);
    assert_eq!(names.len(), 9);
}

#[test]
fn one_of_the_hosts_that_follow_a_store_drops_its_outdated_parts() {
    for count in [1, 9, 80, 340] {
        let (view, regions) = view(count);
        let watchers = view.hosts_for(&regions, &"north".into(), "kept", 10);
        for store in 0..20 {
            let task = format!("10.0.0.{store}:80");
            let drops = |name: &&HostId| is_sole_owner(&watchers, task.as_bytes(), name);
            assert_eq!(watchers.iter().filter(drops).count(), 1);
            assert_eq!(view.hosts.keys().filter(drops).count(), 1);
        }
    }
}

#[test]
fn a_few_hosts_of_a_large_region_follow_the_store_for_the_others() {
    let (north, south) = ("north".into(), "south".into());
    let (view, regions) = view(390);
    let relays = view.relays(&regions, &north);
    assert_eq!(relays.len(), 3);
    assert!(relays.iter().all(|name| &*view.hosts[name].domain == "a"));
    assert!(
        view.relays(&regions, &south)
            .iter()
            .all(|name| !relays.contains(name))
    );
}

#[test]
fn hosts_of_a_small_region_follow_the_store_themselves() {
    let (view, regions) = view(30);
    assert!(view.relays(&regions, &"north".into()).is_empty());
    assert!(view.relays(&regions, &"south".into()).is_empty());
}

// Guards against a slow link that carries a large declaration to all hosts of a region.
#[test]
fn relays_are_hosts_with_fast_links_and_a_lost_one_is_replaced() {
    let (mut view, regions) = view(84);
    let north = "north".into();
    let rates = [link(200), link(10), link(10), None, link(10), link(10), link(10)];
    let near = view.hosts.values_mut().filter(|host| &*host.domain == "a");
    for (host, rate) in near.zip(rates.into_iter().cycle()) {
        host.link = rate;
    }
    // 6 of the 42 hosts have fast links, 6 unknown ones.
    let mut lost_rates = Vec::new();
    while let [first, kept @ ..] = &view.relays(&regions, &north)[..] {
        lost_rates.push(view.hosts.remove(first).unwrap().link);
        let next = view.relays(&regions, &north);
        assert!(next.is_empty() || next.starts_with(kept));
    }
    let fast = lost_rates.iter().filter(|rate| **rate == link(200)).count();
    assert!(lost_rates[..fast].iter().all(|rate| *rate == link(200)));
    assert!(lost_rates[fast..].iter().all(|rate| *rate == link(10)));
    assert_eq!((fast, lost_rates.len()), (6, 27));
}

// Guards against hosts of two versions that name different relays although all links are alike.
#[test]
fn links_that_are_nearly_alike_do_not_decide_who_is_a_relay() {
    let (mut view, regions) = view(84);
    let unknown = view.relays(&regions, &"north".into());
    for (number, host) in view.hosts.values_mut().enumerate() {
        host.link = link(200 + number as u64 % 50);
    }
    assert_eq!(view.relays(&regions, &"north".into()), unknown);
}

// Guards against hosts that can not read each other's rows, or write their own again and again, after an upgrade.
#[test]
fn rows_of_hosts_of_other_versions_stay_readable() {
    let decode = |row: &str| serde_json::from_str::<HostEntry>(row).unwrap();
    let row = r#"{"name":"one","domain":"a","peers":"10.1.0.20:8582"}"#;
    let mut entry = decode(row);
    assert_eq!(entry.link, None);
    assert_eq!(serde_json::to_string(&entry).unwrap(), row);
    for odd in ["null", "-1", r#""fast""#, r#"{"bits_per_second":0}"#] {
        assert_eq!(decode(&row.replace('}', &format!(r#","link":{odd}}}"#))), entry);
    }
    entry.link = link(200);
    assert_eq!(decode(&serde_json::to_string(&entry).unwrap()), entry);
}
