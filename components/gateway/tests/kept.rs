//! Kept cache: fetches use only whole parts of a store's current run, and saves only parts that no store
//! holds.

mod support;

use std::sync::Arc;

use gateway::{
    AbandonedScopes, IsolatedWorkspaces, KeptCache, KeptEvent, PartKey, PlanRequest, PollSource, PromptPart,
    PromptShape, RegionStore, StoreChanges, StoreDirectory, StoreList,
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

/// Returns the state of a host that has received the declarations, the clock and the stores' changes at `at`.
fn state_at(at: u64, received: &[(&str, StoreChanges)]) -> KeptCache {
    let mut kept = KeptCache::default();
    kept.record_declared(ms(at));
    kept.record_clock(50_000, ms(at));
    for (address, changes) in received {
        kept.store(&Arc::from(*address))
            .apply_changes(changes.clone(), ms(at), ms(at));
    }
    kept
}

/// Applies an answer of a store without changes.
fn confirm(kept: &mut KeptCache, address: &str, epoch: u64, at: u64) {
    let next = kept.store(&address.into()).next();
    kept.store(&address.into())
        .apply_changes(changes(epoch, next, &[]), ms(at), ms(at));
}

#[test]
fn a_new_run_of_a_store_clears_its_directory() {
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
fn a_gap_requires_a_list() {
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
        fetch_limit: ms(700),
    };
    kept.plan(&req, ms(at))
}

#[test]
fn shared_parts_are_saved_once_and_the_last_part_never() {
    let stores = [store("near", true), store("far", false)];
    let mut kept = state_at(0, &[("near", changes(1, 0, &[])), ("far", changes(1, 0, &[]))]);
    confirm(&mut kept, "near", 1, 6_000);
    confirm(&mut kept, "far", 1, 6_000);
    let near = Some(Arc::from("near"));
    let first = plan(&mut kept, &stores, None, 6_000);
    assert_eq!(first.save, [near.clone(), near, None]);
    let second = plan(&mut kept, &stores, None, 7_000);
    assert_eq!(second.save, [None, None, None]);
}

#[test]
fn a_fetch_has_a_deadline_on_the_servers_clock() {
    let stores = [store("near", true)];
    let mut kept = state_at(1_000, &[("near", changes(1, 2, &["b"]))]);
    let plan = plan(&mut kept, &stores, None, 2_000);
    assert_eq!(plan.fetch, [None, Some("near".into()), None]);
    assert_eq!(plan.fetch_until_ms, Some(51_700));
}

#[test]
fn parts_that_may_have_been_dropped_are_not_fetched() {
    let stores = [store("near", true)];
    let fetch = |kept: &mut KeptCache, at| plan(kept, &stores, None, at).fetch;
    let nothing = [None, None, None];
    let mut silent_store = state_at(0, &[("near", changes(1, 2, &["b"]))]);
    assert_ne!(fetch(&mut silent_store, 3_400), nothing);
    silent_store.record_declared(ms(3_500));
    assert_eq!(fetch(&mut silent_store, 3_500), nothing);
    let mut old_declarations = state_at(0, &[("near", changes(1, 2, &["b"]))]);
    confirm(&mut old_declarations, "near", 1, 3_900);
    assert_ne!(fetch(&mut old_declarations, 3_900), nothing);
    assert_eq!(fetch(&mut old_declarations, 4_000), nothing);
}

#[test]
fn cache_of_replaced_weights_is_neither_fetched_nor_saved() {
    let stores = [store("near", true)];
    let mut kept = state_at(0, &[("near", changes(1, 2, &["b"]))]);
    confirm(&mut kept, "near", 1, 6_000);
    kept.record_declared(ms(6_000));
    let prompt = prompt();
    let req = PlanRequest {
        prompt: &prompt,
        salt: "all/m/1",
        stores: &stores,
        owner: None,
        has_newest_weights: false,
        fetch_limit: ms(700),
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
fn a_part_that_no_store_holds_is_fetched_from_its_owner() {
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
fn a_restarted_store_gets_no_saves_while_old_fetches_may_run() {
    let stores = [store("near", true)];
    let mut kept = state_at(10_000, &[("near", changes(1, 0, &[]))]);
    // Other hosts use the old state for 3.5 s and fetch for 0.7 s; half a second is a margin.
    let saves_at = |kept: &mut KeptCache, now| {
        confirm(kept, "near", 1, now);
        plan(kept, &stores, None, now).save
    };
    assert_eq!(saves_at(&mut kept, 14_600), [None, None, None]);
    let near = Some(Arc::from("near"));
    assert_eq!(saves_at(&mut kept, 14_700), [near.clone(), near, None]);
}

/// Applies at one host the changes that another host holds since `number`; returns the next number.
fn pass_on(from: &StoreDirectory, to: &mut StoreDirectory, number: Option<u64>, at: u64) -> u64 {
    let (update, next) = from.update_since(number, ms(at));
    to.apply_update(update, ms(at), ms(at));
    next
}

#[test]
fn store_state_is_forwarded_between_hosts() {
    let (mut watcher, mut other) = (StoreDirectory::default(), StoreDirectory::default());
    watcher.apply_changes(changes(1, 3, &["a", "b"]), ms(1_000), ms(1_000));
    let next = pass_on(&watcher, &mut other, None, 2_000);
    assert!(other.holds(&key("a"), ms(4_400)) && other.holds(&key("b"), ms(4_400)));
    // The state is as old as at the host that sent it.
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
fn a_restart_of_a_store_clears_its_directory_at_other_hosts() {
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
fn a_host_that_is_far_behind_receives_the_whole_content() {
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

/// Time after which no host fetches the parts of a scope that is no longer in use.
const DROP_DELAY_MS: u64 = 5_400;

// Guards against a store that fills up with parts that workspaces shared with one that is isolated now, and against parts that
// are dropped while other hosts fetch them: by a host that does not know the newest declaration, or just after it was made.
#[test]
fn parts_of_a_scope_that_no_request_uses_are_dropped_once_no_host_fetches_them() {
    let isolated: IsolatedWorkspaces = ["mill".into()].into_iter().collect();
    let none = IsolatedWorkspaces::default();
    let shared = format!("{}/m/1", isolated.scope_of(Some("farm")).text());
    let (all, mill) = ("all/m/1", "one/mill/m/1");
    let salts = || [all, &shared, mill].into_iter();
    let mut scopes = AbandonedScopes::default();
    // This host has not learned of the isolation: what the others save must stay.
    for now in (1_000..20_000).step_by(1_000) {
        scopes.update(salts(), &none, Some(ms(900)), ms(now));
        assert!(!salts().any(|salt| scopes.may_drop(salt, ms(now))), "{now}");
    }
    // It learns of it, and a moment later that its declarations are current.
    scopes.update(salts(), &isolated, Some(ms(900)), ms(20_000));
    scopes.update(salts(), &isolated, Some(ms(20_500)), ms(21_000));
    assert!(!scopes.may_drop(all, ms(21_000 + DROP_DELAY_MS - 1)));
    let end = ms(21_000 + DROP_DELAY_MS);
    let dropped: Vec<_> = salts().filter(|salt| scopes.may_drop(salt, end)).collect();
    assert_eq!(dropped, [all]);
    // While its declarations are old, others may use the scope again.
    scopes.update(salts(), &isolated, Some(ms(20_500)), end);
    assert!(!scopes.may_drop(all, end));
    // The isolation ends: the parts of all are in use again.
    scopes.update(salts(), &none, Some(end), end);
    assert!(!scopes.may_drop(all, end + end));
}

// Guards against the whole content of the stores that is sent again for each answer that is lost.
#[test]
fn a_host_that_answered_last_is_asked_for_changes_only() {
    let [first, other] = [1, 2].map(|host| ([10, 0, 0, host], 80).into());
    let mut source = PollSource::default();
    source.answered(first, 7);
    source.failed();
    assert_eq!(source.next(|| Some(first)), Some((first, Some(7))));
    assert_eq!(source.next(|| Some(other)), Some((other, None)));
    source.failed();
    assert_eq!(source.next(|| Some(other)), Some((first, Some(7))));
    source.answered(other, 3);
    assert_eq!(source.next(|| Some(first)), Some((other, Some(3))));
}
