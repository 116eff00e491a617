//! Assignment of owners by rendezvous hashing, and the cost of its updates.

use std::collections::BTreeSet;

use membership::Owners;
use utils::{HostId, rendezvous_order};

fn hosts(n: usize) -> Vec<HostId> {
    (0..n).map(|i| format!("entry-{i}").into()).collect()
}

fn owners(n: usize, keys: usize) -> Owners {
    let mut owners = Owners::new(2);
    owners.set_hosts(hosts(n));
    owners.set_keys((0..keys).map(|i| format!("engine-{i}").into()));
    owners
}

#[test]
fn owners_are_the_first_in_rendezvous_order_after_every_change() {
    let mut owners = owners(9, 40);
    for n in [8, 9, 5, 12, 12, 1, 3] {
        let hosts = hosts(n);
        owners.set_hosts(hosts.iter().cloned());
        for key in (0..40).map(|i| format!("engine-{i}")) {
            let expected = rendezvous_order(key.as_bytes(), hosts.iter().map(|h| &**h));
            let found: Vec<_> = owners.owners(&key).map(|h| &**h).collect();
            assert_eq!(found, expected[..n.min(2)], "{key} among {n}");
        }
    }
}

#[test]
fn removed_host_moves_only_its_own_keys() {
    let mut owners = owners(9, 200);
    let before: Vec<_> = (0..200).map(|i| set(&owners, i)).collect();
    owners.set_hosts(hosts(8));
    for (i, before) in before.into_iter().enumerate() {
        let after = set(&owners, i);
        assert!(before == after || before.contains("entry-8"), "engine-{i}");
    }
}

fn set(owners: &Owners, key: usize) -> BTreeSet<HostId> {
    owners.owners(&format!("engine-{key}")).cloned().collect()
}

#[test]
fn adding_or_removing_a_host_computes_few_scores() {
    let mut owners = owners(340, 3_000);
    let built = owners.scores_computed();
    assert_eq!(built, 340 * 3_000);
    owners.set_hosts(hosts(341));
    let joined = owners.scores_computed() - built;
    assert_eq!(joined, 3_000);
    owners.set_hosts(hosts(340));
    let left = owners.scores_computed() - built - joined;
    let expected = 340 * 3_000 * 2 / 341;
    assert!(left <= 2 * expected, "{left} scores, about {expected} expected");
}

#[test]
fn keys_are_spread_evenly() {
    let owners = owners(9, 900);
    for host in hosts(9) {
        let count = owners.owned_by(&host).count();
        assert!((100..=300).contains(&count), "{host} owns {count}");
    }
}
