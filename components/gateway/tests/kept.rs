//! Kept cache: only whole parts of the run that still answers are fetched, and only what no store holds is saved.

mod support;

use std::sync::Arc;

use gateway::{
    KeptCache, KeptEvent, PartKey, PlanRequest, PromptPart, PromptShape, StoreAt, StoreChanges,
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

fn store(address: &str, is_near: bool) -> StoreAt {
    StoreAt {
        address: address.into(),
        is_near,
        capacity_tokens: 100_000,
    }
}

#[test]
fn a_store_in_a_new_run_holds_nothing_of_before() {
    let mut known = StoreDirectory::default();
    known.take_changes(changes(1, 2, &["b"]), ms(0));
    assert!(known.holds(&key("b")));
    known.take_changes(changes(2, 9, &["c"]), ms(0));
    assert!(!known.holds(&key("b")) && !known.holds(&key("c")));
    assert_eq!(known.next(), 0);
}

#[test]
fn a_store_that_does_not_answer_holds_nothing_that_may_be_fetched() {
    let mut known = StoreDirectory::default();
    known.take_changes(changes(1, 2, &["b"]), ms(0));
    known.forget();
    assert!(!known.holds(&key("b")));
}

#[test]
fn a_gap_calls_for_a_list() {
    let mut known = StoreDirectory::default();
    let gap = StoreChanges {
        has_gap: true,
        ..changes(1, 2, &["b"])
    };
    known.take_changes(gap, ms(0));
    assert!(known.needs_list());
    known.take_list(
        StoreList {
            epoch: 1,
            next: 5,
            parts: vec![(key("c"), 10)],
        },
        ms(0),
    );
    assert!(known.holds(&key("c")) && !known.holds(&key("b")) && !known.needs_list());
    assert_eq!(known.tokens(), 10);
}

fn plan(kept: &mut KeptCache, stores: &[StoreAt], home: Option<&Arc<str>>, at: u64) -> gateway::CachePlan {
    let prompt = prompt();
    let req = PlanRequest {
        prompt: &prompt,
        salt: "all/m/1",
        stores,
        home,
        is_saving: true,
    };
    kept.plan(&req, ms(at))
}

#[test]
fn shared_parts_are_saved_once_and_the_own_part_never() {
    let stores = [store("near", true), store("far", false)];
    let mut kept = KeptCache::default();
    kept.store(&"near".into()).take_changes(changes(1, 0, &[]), ms(0));
    kept.store(&"far".into()).take_changes(changes(1, 0, &[]), ms(0));
    let near = Some(Arc::from("near"));
    let first = plan(&mut kept, &stores, None, 5_000);
    assert_eq!(first.save, [near.clone(), near, None]);
    let again = plan(&mut kept, &stores, None, 6_000);
    assert_eq!(again.save, [None, None, None]);
}

#[test]
fn a_kept_part_is_fetched_until_a_moment_of_the_servers_clock() {
    let stores = [store("near", true)];
    let mut kept = KeptCache::default();
    kept.note_clock(50_000, ms(1_000));
    kept.store(&"near".into())
        .take_changes(changes(1, 2, &["b"]), ms(0));
    let plan = plan(&mut kept, &stores, None, 2_000);
    assert_eq!(plan.fetch, [None, Some("near".into()), None]);
    assert_eq!(plan.fetch_until_ms, Some(53_500));
}

#[test]
fn what_no_store_holds_comes_from_the_engine_that_read_it() {
    let home: Arc<str> = "10.0.0.1:80".into();
    let plan = plan(&mut KeptCache::default(), &[], Some(&home), 0);
    assert_eq!(plan.fetch, [Some(home.clone()), Some(home), None]);
    assert_eq!(plan.save, [None, None, None]);
}

#[test]
fn a_store_that_does_not_answer_gets_no_saves() {
    let stores = [store("near", true)];
    let plan = plan(&mut KeptCache::default(), &stores, None, 0);
    assert_eq!(plan.save, [None, None, None]);
}

#[test]
fn a_store_in_a_new_run_gets_no_saves_until_every_host_has_forgotten_the_old_one() {
    let stores = [store("near", true)];
    let mut kept = KeptCache::default();
    kept.store(&"near".into())
        .take_changes(changes(1, 0, &[]), ms(10_000));
    let at = |kept: &mut KeptCache, now| plan(kept, &stores, None, now).save;
    assert_eq!(at(&mut kept, 12_900), [None, None, None]);
    let near = Some(Arc::from("near"));
    assert_eq!(at(&mut kept, 13_000), [near.clone(), near, None]);
}
