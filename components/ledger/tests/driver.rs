//! Tests of the ledger's writer and handles on a table service with injected faults.

mod support;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use ledger::{BeginResult, CallEnd, EndResult, HeldClaim, LedgerHandle, NewCall, RefusedReason, Verdict};
use smol::LocalExecutor;
use support::{Fault, FaultyTable, call, host, reply};
use utils::{Clock, ManualClock, SystemClock};

async fn claim_call(handle: &LedgerHandle, new: NewCall) -> HeldClaim {
    match handle.begin(new).await {
        BeginResult::Held(claim) => claim,
        BeginResult::QueryTarget(_) => panic!("a query to the target instead of a claim"),
        BeginResult::Decided(verdict) => panic!("{verdict:?} instead of a claim"),
    }
}

async fn begin_decided(handle: &LedgerHandle, new: NewCall) -> Verdict {
    match handle.begin(new).await {
        BeginResult::Decided(verdict) => verdict,
        BeginResult::Held(_) => panic!("a claim instead of a verdict"),
        BeginResult::QueryTarget(_) => panic!("a query to the target instead of a verdict"),
    }
}

async fn answer_call(claim: HeldClaim, text: &str) -> Verdict {
    let Ok(sent) = claim.dispatch() else {
        panic!("the claim has lapsed");
    };
    match sent.end(CallEnd::Answered(reply(text))).await {
        EndResult::Decided(verdict) => verdict,
        EndResult::QueryTarget(_) => panic!("a query to the target instead of a verdict"),
    }
}

/// Waits until every settlement is written.
async fn wait_until_settled(handle: &LedgerHandle) {
    while handle.stats().backlog.load(Ordering::Relaxed) > 0 {
        smol::Timer::after(Duration::from_millis(1)).await;
    }
}

fn system_clock() -> Arc<dyn Clock> {
    Arc::new(SystemClock::new())
}

#[test]
fn a_settled_answer_is_replayed_at_every_host_and_another_body_is_refused() {
    let ex = LocalExecutor::new();
    smol::block_on(ex.run(async {
        let (table, clock) = (Arc::new(FaultyTable::default()), system_clock());
        let (first, task) = host(&ex, &table, &clock, "entry-1");
        let (second, other_task) = host(&ex, &table, &clock, "entry-2");
        let claim = claim_call(&first, call("7", 1, "20 bales")).await;
        assert_eq!(
            begin_decided(&second, call("7", 2, "20 bales")).await,
            Verdict::InProgress
        );
        assert_eq!(
            answer_call(claim, "order 7").await,
            Verdict::Reply(reply("order 7"))
        );
        wait_until_settled(&first).await;
        assert_eq!(
            begin_decided(&second, call("7", 3, "20 bales")).await,
            Verdict::Reply(reply("order 7"))
        );
        let reused = Verdict::Refused(RefusedReason::KeyReused);
        assert_eq!(begin_decided(&second, call("7", 4, "99 bales")).await, reused);
        drop((first, second));
        task.await;
        other_task.await;
    }));
}

#[test]
fn nine_hosts_with_the_same_key_at_once_hold_one_claim() {
    let ex = LocalExecutor::new();
    smol::block_on(ex.run(async {
        let (table, clock) = (Arc::new(FaultyTable::default()), system_clock());
        let hosts: Vec<_> = (0..9)
            .map(|i| host(&ex, &table, &clock, &format!("entry-{i}")))
            .collect();
        let mut attempts = Vec::new();
        for (i, (handle, _)) in hosts.iter().enumerate() {
            for repeat in 0..2 {
                let handle = handle.clone();
                let new = call("7", (2 * i + repeat) as u128, "20 bales");
                attempts.push(ex.spawn(async move { handle.begin(new).await }));
            }
        }
        let mut results = Vec::new();
        for task in attempts {
            results.push(task.await);
        }
        assert_eq!(
            results
                .iter()
                .filter(|b| matches!(b, BeginResult::Held(_)))
                .count(),
            1
        );
        let in_progress = |b: &&BeginResult| matches!(b, BeginResult::Decided(Verdict::InProgress));
        assert_eq!(results.iter().filter(in_progress).count(), 17);
    }));
}

#[test]
fn a_lost_answer_is_read_back() {
    let ex = LocalExecutor::new();
    smol::block_on(ex.run(async {
        let (table, clock) = (Arc::new(FaultyTable::default()), system_clock());
        let (handle, _task) = host(&ex, &table, &clock, "entry-1");
        table.set(Fault::LoseOne);
        let claim = claim_call(&handle, call("7", 1, "20 bales")).await;
        assert_eq!(handle.stats().reads.load(Ordering::Relaxed), 1);
        assert_eq!(
            answer_call(claim, "order 7").await,
            Verdict::Reply(reply("order 7"))
        );
    }));
}

#[test]
fn while_the_table_service_is_unavailable_calls_are_refused_and_settlements_wait() {
    let ex = LocalExecutor::new();
    smol::block_on(ex.run(async {
        let (table, clock) = (Arc::new(FaultyTable::default()), system_clock());
        let (handle, task) = host(&ex, &table, &clock, "entry-1");
        let claim = claim_call(&handle, call("7", 1, "20 bales")).await;
        table.set(Fault::Silent);
        let _ = answer_call(claim, "order 7").await;
        let refused = Verdict::Refused(RefusedReason::StoreUnavailable);
        for attempt in 2..50 {
            let key = attempt.to_string();
            assert_eq!(
                begin_decided(&handle, call(&key, attempt, "1 bale")).await,
                refused
            );
        }
        assert!(handle.stats().backlog.load(Ordering::Relaxed) > 0);
        assert!(handle.stats().transactions.load(Ordering::Relaxed) <= 3);
        table.set(Fault::None);
        wait_until_settled(&handle).await;
        let replayed = begin_decided(&handle, call("7", 60, "20 bales")).await;
        assert_eq!(replayed, Verdict::Reply(reply("order 7")));
        let _ = answer_call(claim_call(&handle, call("2", 61, "1 bale")).await, "order 2").await;
        drop(handle);
        task.await;
    }));
}

#[test]
fn a_holder_paused_past_its_deadline_does_not_send() {
    let ex = LocalExecutor::new();
    smol::block_on(ex.run(async {
        let manual = Arc::new(ManualClock::default());
        let clock: Arc<dyn Clock> = manual.clone();
        let table = Arc::new(FaultyTable::default());
        let (handle, _task) = host(&ex, &table, &clock, "entry-1");
        let claim = claim_call(&handle, call("7", 1, "20 bales")).await;
        manual.advance(Duration::from_secs(2));
        let lapsed = claim.dispatch().err();
        assert_eq!(lapsed, Some(Verdict::Refused(RefusedReason::Lapsed)));
        manual.advance(Duration::from_secs(60));
        let claim = claim_once_abandoned(&handle, &manual, 2).await;
        assert_eq!(
            answer_call(claim, "order 7").await,
            Verdict::Reply(reply("order 7"))
        );
    }));
}

#[test]
fn a_claim_that_expires_within_the_send_margin_is_not_used() {
    let ex = LocalExecutor::new();
    smol::block_on(ex.run(async {
        let manual = Arc::new(ManualClock::default());
        let clock: Arc<dyn Clock> = manual.clone();
        let table = Arc::new(FaultyTable::default());
        let (handle, _task) = host(&ex, &table, &clock, "entry-1");
        let claim = claim_call(&handle, call("7", 1, "20 bales")).await;
        manual.advance(Duration::from_millis(1_499));
        assert!(claim.dispatch().is_ok());
        let claim = claim_call(&handle, call("8", 2, "20 bales")).await;
        manual.advance(Duration::from_millis(1_500));
        let lapsed = claim.dispatch().err();
        assert_eq!(lapsed, Some(Verdict::Refused(RefusedReason::Lapsed)));
    }));
}

/// Retries until the abandonment of the earlier claim is written and the call can be claimed again.
async fn claim_once_abandoned(handle: &LedgerHandle, clock: &ManualClock, first_attempt: u128) -> HeldClaim {
    for attempt in first_attempt..first_attempt + 1_000 {
        clock.advance(Duration::from_millis(10));
        if let BeginResult::Held(claim) = handle.begin(call("7", attempt, "20 bales")).await {
            return claim;
        }
    }
    panic!("the claim was not abandoned");
}

#[test]
fn dropped_claims_are_abandoned_and_dropped_calls_become_unknown() {
    let ex = LocalExecutor::new();
    smol::block_on(ex.run(async {
        let (table, clock) = (Arc::new(FaultyTable::default()), system_clock());
        let (handle, _task) = host(&ex, &table, &clock, "entry-1");
        drop(claim_call(&handle, call("7", 1, "20 bales")).await);
        wait_until_settled(&handle).await;
        let claim = claim_call(&handle, call("7", 2, "20 bales")).await;
        drop(claim.dispatch().ok());
        wait_until_settled(&handle).await;
        let BeginResult::QueryTarget(query) = handle.begin(call("7", 3, "20 bales")).await else {
            panic!("the target is not queried");
        };
        assert_eq!(query.resolve(None).await, Verdict::Unknown);
        let BeginResult::QueryTarget(query) = handle.begin(call("7", 4, "20 bales")).await else {
            panic!("the target is not queried");
        };
        assert_eq!(
            query.resolve(Some(reply("order 7"))).await,
            Verdict::Reply(reply("order 7"))
        );
        wait_until_settled(&handle).await;
        let replayed = begin_decided(&handle, call("7", 5, "20 bales")).await;
        assert_eq!(replayed, Verdict::Reply(reply("order 7")));
    }));
}

#[test]
fn concurrent_calls_share_transactions() {
    let ex = LocalExecutor::new();
    smol::block_on(ex.run(async {
        let (table, clock) = (Arc::new(FaultyTable::default()), system_clock());
        let (handle, _task) = host(&ex, &table, &clock, "entry-1");
        let mut calls = Vec::new();
        for i in 0..512u128 {
            let handle = handle.clone();
            calls.push(ex.spawn(async move {
                let claim = claim_call(&handle, call(&i.to_string(), i, "1 bale")).await;
                answer_call(claim, "done").await
            }));
        }
        for task in calls {
            assert_eq!(task.await, Verdict::Reply(reply("done")));
        }
        wait_until_settled(&handle).await;
        let transactions = handle.stats().transactions.load(Ordering::Relaxed);
        let rows = handle.stats().rows.load(Ordering::Relaxed);
        println!("512 calls: {transactions} transactions, {rows} rows");
        assert_eq!(rows, 1_024);
        assert!(transactions < 512);
    }));
}
