//! Kept cache: only whole parts of the run that still answers are fetched, and only what no store holds is saved.

mod support;

use std::sync::Arc;

use gateway::{
    KeptCache, KeptEvent, PartKey, PlanRequest, PromptPart, PromptShape, RegionStore, StoreChanges,
    StoreDirectory, StoreList,
};
use support::ms;

fn key(id: &str) -> PartKey {
    PartKey {
        salt: "all/m/1".into(),
        id: id.into(),
    }
}

fn changes(epoch: u64, next: u64, ids: &[&str]) -> StoreChanges {
    let event = |id: &&str| KeptEvent {
        key: key(id),
        stored: Some(8_000),
    };
    StoreChanges {
        epoch,
        next,
        has_gap: false,
        events: ids.iter().map(event).collect(),
        clock_ms: Some(50_000),
    }
}

fn prompt() -> PromptShape {
    let part = |id: &str, tokens| PromptPart {
        id: id.into(),
        tokens,
    };
    PromptShape {
        model: "m".into(),
        tokens_in: 9_500,
        tokens_out: 100,
        parts: vec![part("a", 500), part("b", 8_000), part("c", 1_000)],
    }
}

fn store(address: &str, is_same_domain: bool) -> RegionStore {
    RegionStore {
        address: address.into(),
        is_same_domain,
        capacity_tokens: 100_000,
    }
}

/// What a host knows that has heard everything at a moment: the declarations, the clock, and the stores' changes.
fn informed(at: u64, heard: &[(&str, StoreChanges)]) -> KeptCache {
    let mut kept = KeptCache::default();
    kept.record_declared(ms(at));
    kept.record_clock(50_000, ms(at));
    for (address, changes) in heard {
        kept.store(&Arc::from(*address))
            .apply_changes(changes.clone(), ms(at), ms(at));
    }
    kept
}

/// Asks a store again, which has nothing new.
fn confirm(kept: &mut KeptCache, address: &str, epoch: u64, at: u64) {
    let next = kept.store(&address.into()).next();
    kept.store(&address.into())
        .apply_changes(changes(epoch, next, &[]), ms(at), ms(at));
}

#[test]
fn a_store_in_a_new_run_holds_nothing_of_before() {
    let mut directory = StoreDirectory::default();
    directory.apply_changes(changes(1, 2, &["b"]), ms(0), ms(0));
    assert!(directory.holds(&key("b"), ms(10)));
    directory.apply_changes(changes(2, 9, &["c"]), ms(0), ms(0));
    assert!(!directory.holds(&key("b"), ms(10)) && !directory.holds(&key("c"), ms(10)));
    assert_eq!(directory.next(), 0);
}

#[test]
fn a_store_that_does_not_answer_holds_nothing_that_may_be_fetched() {
    let mut directory = StoreDirectory::default();
    directory.apply_changes(changes(1, 2, &["b"]), ms(0), ms(0));
    directory.clear();
    assert!(!directory.holds(&key("b"), ms(10)));
}

#[test]
fn a_gap_calls_for_a_list() {
    let mut directory = StoreDirectory::default();
    let gap = StoreChanges {
        has_gap: true,
        ..changes(1, 2, &["b"])
    };
    directory.apply_changes(gap, ms(0), ms(0));
    assert!(directory.needs_list());
    directory.apply_list(
        StoreList {
            epoch: 1,
            next: 5,
            parts: vec![(key("c"), 10)],
        },
        ms(0),
        ms(0),
    );
    assert!(
        directory.holds(&key("c"), ms(10)) && !directory.holds(&key("b"), ms(10)) && !directory.needs_list()
    );
    assert_eq!(directory.tokens(), 10);
}

fn plan(
    kept: &mut KeptCache,
    stores: &[RegionStore],
    owner: Option<&Arc<str>>,
    at: u64,
) -> gateway::CachePlan {
    let prompt = prompt();
    let req = PlanRequest {
        prompt: &prompt,
        salt: "all/m/1",
        stores,
        owner,
        has_newest_weights: true,
    };
    kept.plan(&req, ms(at))
}

#[test]
fn shared_parts_are_saved_once_and_the_own_part_never() {
    let stores = [store("near", true), store("far", false)];
    let mut kept = informed(0, &[("near", changes(1, 0, &[])), ("far", changes(1, 0, &[]))]);
    confirm(&mut kept, "near", 1, 6_000);
    confirm(&mut kept, "far", 1, 6_000);
    let near = Some(Arc::from("near"));
    let first = plan(&mut kept, &stores, None, 6_000);
    assert_eq!(first.save, [near.clone(), near, None]);
    let again = plan(&mut kept, &stores, None, 7_000);
    assert_eq!(again.save, [None, None, None]);
}

#[test]
fn a_kept_part_is_fetched_until_a_moment_of_the_servers_clock() {
    let stores = [store("near", true)];
    let mut kept = informed(1_000, &[("near", changes(1, 2, &["b"]))]);
    let plan = plan(&mut kept, &stores, None, 2_000);
    assert_eq!(plan.fetch, [None, Some("near".into()), None]);
    assert_eq!(plan.fetch_until_ms, Some(51_700));
}

#[test]
fn nothing_is_fetched_that_may_have_been_dropped_meanwhile() {
    let stores = [store("near", true)];
    let fetch = |kept: &mut KeptCache, at| plan(kept, &stores, None, at).fetch;
    let nothing = [None, None, None];
    let mut silent_store = informed(0, &[("near", changes(1, 2, &["b"]))]);
    assert_ne!(fetch(&mut silent_store, 3_400), nothing);
    silent_store.record_declared(ms(3_500));
    assert_eq!(fetch(&mut silent_store, 3_500), nothing);
    let mut no_declarations = informed(0, &[("near", changes(1, 2, &["b"]))]);
    confirm(&mut no_declarations, "near", 1, 3_900);
    assert_ne!(fetch(&mut no_declarations, 3_900), nothing);
    assert_eq!(fetch(&mut no_declarations, 4_000), nothing);
}

#[test]
fn what_replaced_weights_made_is_neither_fetched_nor_saved() {
    let stores = [store("near", true)];
    let mut kept = informed(0, &[("near", changes(1, 2, &["b"]))]);
    confirm(&mut kept, "near", 1, 6_000);
    kept.record_declared(ms(6_000));
    let prompt = prompt();
    let req = PlanRequest {
        prompt: &prompt,
        salt: "all/m/1",
        stores: &stores,
        owner: None,
        has_newest_weights: false,
    };
    assert_eq!(
        kept.plan(&req, ms(6_000)),
        gateway::CachePlan {
            fetch: vec![None; 3],
            save: vec![None; 3],
            fetch_until_ms: None,
        }
    );
}

#[test]
fn what_no_store_holds_comes_from_the_engine_that_read_it() {
    let owner: Arc<str> = "10.0.0.1:80".into();
    let plan = plan(&mut KeptCache::default(), &[], Some(&owner), 0);
    assert_eq!(plan.fetch, [Some(owner.clone()), Some(owner), None]);
    assert_eq!(plan.save, [None, None, None]);
}

#[test]
fn a_store_that_does_not_answer_gets_no_saves() {
    let stores = [store("near", true)];
    let plan = plan(&mut KeptCache::default(), &stores, None, 0);
    assert_eq!(plan.save, [None, None, None]);
}

#[test]
fn a_store_in_a_new_run_gets_no_saves_until_nobody_fetches_from_the_old_one() {
    let stores = [store("near", true)];
    let mut kept = informed(10_000, &[("near", changes(1, 0, &[]))]);
    // Relied upon for 3.5 s by others, who fetch for 0.7 s, and half a second to be safe.
    let at = |kept: &mut KeptCache, now| {
        confirm(kept, "near", 1, now);
        plan(kept, &stores, None, now).save
    };
    assert_eq!(at(&mut kept, 14_600), [None, None, None]);
    let near = Some(Arc::from("near"));
    assert_eq!(at(&mut kept, 14_700), [near.clone(), near, None]);
}

/// Passes on what a host lacks that was told everything before a number.
fn pass_on(from: &StoreDirectory, to: &mut StoreDirectory, number: Option<u64>, at: u64) -> u64 {
    let (update, next) = from.update_since(number, ms(at));
    to.apply_update(update, ms(at), ms(at));
    next
}

#[test]
fn a_host_learns_from_another_what_a_store_holds() {
    let (mut watcher, mut other) = (StoreDirectory::default(), StoreDirectory::default());
    watcher.apply_changes(changes(1, 3, &["a", "b"]), ms(1_000), ms(1_000));
    let next = pass_on(&watcher, &mut other, None, 2_000);
    assert!(other.holds(&key("a"), ms(4_400)) && other.holds(&key("b"), ms(4_400)));
    // As old as at the host that told it.
    assert!(!other.holds(&key("a"), ms(4_500)));
    watcher.record_dropped(&[key("a")]);
    watcher.apply_changes(changes(1, 4, &["c"]), ms(4_000), ms(4_000));
    let (update, _) = watcher.update_since(Some(next), ms(4_100));
    assert_eq!((update.is_all, update.events.len()), (false, 2));
    pass_on(&watcher, &mut other, Some(next), 4_100);
    assert!(!other.holds(&key("a"), ms(5_000)) && other.holds(&key("c"), ms(5_000)));
    assert_eq!(other.tokens(), watcher.tokens());
}

#[test]
fn a_store_that_restarted_holds_nothing_for_those_who_are_told_either() {
    let (mut watcher, mut other) = (StoreDirectory::default(), StoreDirectory::default());
    watcher.apply_changes(changes(1, 3, &["a", "b"]), ms(0), ms(0));
    let next = pass_on(&watcher, &mut other, None, 100);
    watcher.clear();
    let next = pass_on(&watcher, &mut other, Some(next), 1_000);
    assert!(!other.holds(&key("a"), ms(1_000)) && !other.accepts_saves(ms(9_000)));
    watcher.apply_changes(changes(2, 0, &[]), ms(2_000), ms(2_000));
    watcher.apply_changes(changes(2, 1, &["c"]), ms(2_100), ms(2_100));
    pass_on(&watcher, &mut other, Some(next), 2_200);
    assert!(!other.holds(&key("a"), ms(2_300)) && other.holds(&key("c"), ms(2_300)));
}

#[test]
fn a_host_that_is_far_behind_is_told_all_of_a_store() {
    let (mut watcher, mut other) = (StoreDirectory::default(), StoreDirectory::default());
    watcher.apply_changes(changes(1, 1, &["gone"]), ms(0), ms(0));
    let next = pass_on(&watcher, &mut other, None, 100);
    watcher.record_dropped(&[key("gone")]);
    for number in 0..10_000u64 {
        let id = format!("p{}", number % 50);
        watcher.apply_changes(changes(1, number, &[&id]), ms(200), ms(200));
    }
    let (update, _) = watcher.update_since(Some(next), ms(300));
    assert!(update.is_all);
    pass_on(&watcher, &mut other, Some(next), 300);
    assert!(!other.holds(&key("gone"), ms(300)));
    assert_eq!(other.tokens(), 50 * 8_000);
}
