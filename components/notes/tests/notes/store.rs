//! Tests of the notes in the table: lost answers, racing operators, snapshots and host rows.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use crate::support::{Fault, host, note, store, terms};
use notes::{Acceptance, NoteError, NoteReader, NoteStore, Operator, Proposal};
use utils::SystemClock;

const TIMEOUT: Duration = Duration::from_secs(10);
const MILL: &str = "id: mill\nbase: 0\nadd:\n  workspaces: {mill: {}}\n";
const YARD: &str = "id: yard\nbase: 0\nadd:\n  workspaces: {yard: {}, mill: {priority: 1}}\n";

fn operator(store: &NoteStore) -> Operator {
    Operator {
        store: store.clone(),
        clock: Arc::new(SystemClock::new()),
    }
}

async fn bring_into_force(store: &NoteStore, text: &str) -> Result<Acceptance, NoteError> {
    let operator = operator(store);
    let staged = operator.stage(&note(text), TIMEOUT).await;
    let (head, base) = staged.map_err(|e| e.current_context().clone())?;
    let accepted = operator.accept(head, &base, TIMEOUT, |_| {}).await;
    accepted.map_err(|e| e.current_context().clone())
}

#[test]
fn a_lost_answer_is_read_back() {
    for faults in [
        [Fault::LostAfter, Fault::LostAfter],
        [Fault::LostBefore, Fault::None],
        [Fault::None, Fault::LostBefore],
        [Fault::LostBefore, Fault::LostAfter],
    ] {
        smol::block_on(async {
            let (platform, store) = store();
            store.bootstrap(&terms(&[], 1)).await.unwrap();
            platform.faults.lock().unwrap().extend(faults);
            let accepted = bring_into_force(&store, MILL).await.unwrap();
            assert!(matches!(accepted, Acceptance::InForce(head) if head.row.version == 1));
            assert_eq!(store.log(0, 10).await.unwrap().len(), 1);
        });
    }
}

#[test]
fn the_second_of_two_operators_gets_the_conflict() {
    smol::block_on(async {
        let (_, store) = store();
        store.bootstrap(&terms(&["a"], 1)).await.unwrap();
        operator(&store).stage(&note(MILL), TIMEOUT).await.unwrap();
        let e = bring_into_force(&store, YARD).await.unwrap_err();
        insta::assert_snapshot!(e.to_string(), @"the note clashes with mill in: workspaces.mill");
        let disjoint = "id: quay\nbase: 0\nadd:\n  workspaces: {quay: {}}\n";
        let e = bring_into_force(&store, disjoint).await.unwrap_err();
        insta::assert_snapshot!(e.to_string(), @"note mill is staged already as change 2");
    });
}

#[test]
fn the_later_operator_gets_the_conflict_after_acceptance() {
    smol::block_on(async {
        let (_, store) = store();
        store.bootstrap(&terms(&[], 1)).await.unwrap();
        bring_into_force(&store, MILL).await.unwrap();
        let e = bring_into_force(&store, YARD).await.unwrap_err();
        insta::assert_snapshot!(e.to_string(), @"the note clashes with mill in: workspaces.mill");
        let e = bring_into_force(&store, MILL).await.unwrap_err();
        insta::assert_snapshot!(e.to_string(), @"note mill is in force already, as version 1");
    });
}

#[test]
fn exactly_one_of_many_racing_operators_wins() {
    smol::block_on(async {
        let (_, store) = store();
        let head = store.bootstrap(&terms(&[], 1)).await.unwrap();
        let mut won = 0;
        for i in 0..20 {
            let text = format!(
                "id: n{i}\nbase: 0\nadd:\n  workspaces: {{mill: {{priority: {}}}}}\n",
                i % 10
            );
            let proposal = Proposal {
                note: Some(note(&text)),
                terms: None,
            };
            won += usize::from(store.stage(&head, &proposal).await.is_ok());
        }
        assert_eq!(won, 1);
    });
}

#[test]
fn an_unconfirmed_region_is_named_and_the_note_stays_staged() {
    smol::block_on(async {
        let (_, store) = store();
        store.bootstrap(&terms(&["a", "b", "c"], 2)).await.unwrap();
        for name in ["a", "b", "c"] {
            store.register(host(name, 1)).await.unwrap();
        }
        let operator = operator(&store);
        let (head, base) = operator.stage(&note(MILL), TIMEOUT).await.unwrap();
        let short = Duration::from_millis(1);
        let waiting = operator.accept(head.clone(), &base, short, |_| {}).await.unwrap();
        let Acceptance::Waiting { status, .. } = waiting else {
            panic!("accepted without acknowledgements")
        };
        let region = &status.regions["gwynedd"];
        assert_eq!((region.counted, region.needed, region.missing.len()), (0, 2, 3));
        for name in ["a", "b"] {
            let (revision, mut row) = store.register(host(name, 1)).await.unwrap();
            row.acknowledged = 2;
            store.update_host(revision, &row).await.unwrap();
        }
        let accepted = operator.accept(head, &base, TIMEOUT, |_| {}).await.unwrap();
        assert!(matches!(accepted, Acceptance::InForce(_)));
    });
}

#[test]
fn an_abandoned_change_never_comes_into_force() {
    smol::block_on(async {
        let (_, store) = store();
        store.bootstrap(&terms(&[], 1)).await.unwrap();
        let operator = operator(&store);
        let (head, base) = operator.stage(&note(MILL), TIMEOUT).await.unwrap();
        store.abandon(&head).await.unwrap();
        let late = store.accept(&head, &base, SystemTime::UNIX_EPOCH).await;
        assert!(matches!(
            late.unwrap_err().current_context(),
            NoteError::Superseded { .. }
        ));
        bring_into_force(&store, MILL).await.unwrap();
        assert_eq!(store.head().await.unwrap().row.seq, 3);
    });
}

#[test]
fn an_old_run_can_not_acknowledge() {
    smol::block_on(async {
        let (_, store) = store();
        let (revision, mut old) = store.register(host("a", 1)).await.unwrap();
        let mut elsewhere = host("a", 2);
        elsewhere.address = ([127, 0, 0, 2], 7_000).into();
        let (_, new) = store.register(elsewhere).await.unwrap();
        assert!(!new.are_earlier_ended);
        old.acknowledged = 9;
        let e = store.update_host(revision, &old).await.unwrap_err();
        assert!(matches!(e.current_context(), NoteError::OtherRun { .. }));
        assert!(!new.confirms(1, 9));
        let (_, same_address) = store.register(host("b", 1)).await.unwrap();
        assert!(host("b", 2).register(Some(&same_address)).confirms(1, 9));
    });
}

#[test]
fn a_starting_host_reads_a_snapshot_and_few_notes() {
    smol::block_on(async {
        let (platform, store) = store();
        let mut first = terms(&[], 1);
        first.freshness_ms = 0;
        store.bootstrap(&first).await.unwrap();
        for i in 0..70 {
            let text = format!("id: n{i}\nbase: {i}\nadd:\n  workspaces: {{w{i}: {{}}}}\n");
            bring_into_force(&store, &text).await.unwrap();
        }
        let before = platform.reads.load(std::sync::atomic::Ordering::Relaxed);
        let mut reader = NoteReader::new(store.clone());
        let content = reader.read().await.unwrap();
        assert_eq!(content.declared.workspaces.len(), 70);
        assert_eq!(content.head_read.head.version, 70);
        let reads = platform.reads.load(std::sync::atomic::Ordering::Relaxed) - before;
        assert_eq!(reads, 3, "the head, the terms, the log after the snapshot");
        reader.read().await.unwrap();
        let reads = platform.reads.load(std::sync::atomic::Ordering::Relaxed) - before;
        assert_eq!(reads, 4, "the head alone");
        assert_eq!(store.head().await.unwrap().row.snapshot, 64);
    });
}
