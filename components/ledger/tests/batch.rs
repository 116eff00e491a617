//! Tests of batches of writes that share a transaction.

use ledger::{AttemptId, Batch, Batcher, ClaimRow, ClaimState, Holder, RowWrite, WriteResult};
use metadata::{Expect, MemoryTable};

fn insert(key: &str, attempt: u128) -> RowWrite {
    RowWrite {
        key: key.to_owned(),
        expect: Expect::Absent,
        row: ClaimRow {
            attempt: AttemptId(attempt),
            holder: Holder {
                host: "entry-1".into(),
                incarnation: 1,
            },
            target: "desk-1".into(),
            body: utils::digest(b""),
            valid_ms: 1,
            claimed_at_ms: 0,
            state: ClaimState::Claimed,
        },
    }
}

#[test]
fn two_writes_of_one_row_never_share_a_transaction() {
    let mut batcher = Batcher::default();
    for attempt in 0..3 {
        batcher.push(insert("a", attempt), attempt);
        batcher.push(insert(&format!("b{attempt}"), attempt), 10 + attempt);
    }
    let sizes = [
        next_batch(&mut batcher).len(),
        next_batch(&mut batcher).len(),
        next_batch(&mut batcher).len(),
    ];
    assert_eq!(sizes, [4, 1, 1]);
    assert!(batcher.is_empty());
}

#[test]
fn writes_that_share_a_transaction_with_a_refused_one_are_sent_again() {
    let table = MemoryTable::default();
    let mut batcher = Batcher::default();
    batcher.push(insert("b", 1), 1);
    let (first, _) = commit(&table, next_batch(&mut batcher));
    assert_eq!(first, [(1, WriteResult::Applied(1))]);
    for (i, key) in ["a", "b", "c"].into_iter().enumerate() {
        batcher.push(insert(key, 10), i);
    }
    let (refused, rest) = commit(&table, next_batch(&mut batcher));
    assert!(matches!(&refused[..], [(1, WriteResult::Refused(Some(found)))] if found.version == 1));
    let (applied, rest) = commit(&table, rest.expect("rest"));
    assert_eq!(
        applied,
        [(0, WriteResult::Applied(2)), (2, WriteResult::Applied(2))]
    );
    assert!(rest.is_none());
}

type CommitResult = (Vec<(usize, WriteResult)>, Option<ledger::Batch<usize>>);

fn commit(table: &MemoryTable, batch: ledger::Batch<usize>) -> CommitResult {
    let committed = table.apply(&batch.transaction());
    batch.handle_answer(Ok(committed), |_: &ClaimRow| true)
}

fn next_batch<T>(batcher: &mut Batcher<T>) -> Batch<T> {
    let mut batch = Batch::default();
    batcher.fill(&mut batch, 64);
    batch
}
