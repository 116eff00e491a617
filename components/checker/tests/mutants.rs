//! Introduces violations of each promise, one at a time, into a record without violations.

use std::time::Duration;

use checker::{
    CallBody, CallerRequest, DraftBody, Drain, Exchange, Grace, Leave, NoteAccepted, Promise, Received,
    RunRecord, Work, check,
};
use errors::Outcome;
use standins::{Answer, CallRun, DraftRun, EngineRecord, ImportRun, PieceUse, Receipt, ServiceRecord};
use utils::digest;

const SECOND: u64 = 1_000_000;

fn exchange(id: u128, at: u64) -> Exchange {
    Exchange {
        host: "entry-1".into(),
        sent_at: at,
        head_at: Some(at + 10),
        ended_at: at + 100,
        status: 200,
        outcome: Some(Outcome::Ran),
        request_id: format!("{id:032x}"),
        note: Some(1),
        ended_well: true,
        is_resume: false,
    }
}

fn draft(number: u64, workspace: &str, at: u64) -> CallerRequest {
    let body = DraftBody {
        model: "quotes".into(),
        prompt: format!("prompt of {workspace}").into(),
        max_tokens: 4,
    };
    let answer = Answer::new("quotes", 1, &body.prompt);
    CallerRequest {
        number,
        workspace: workspace.into(),
        exchanges: vec![exchange(u128::from(number), at)],
        received: Received {
            tokens: (0..4).map(|i| answer.token(i)).collect(),
            body: String::new(),
            whole: true,
        },
        work: Work::Draft(body),
    }
}

fn call(number: u64, at: u64) -> CallerRequest {
    let receipt = Receipt {
        workspace: "mill".into(),
        path: "orders/sacks".to_owned(),
        key: format!("k{number}"),
        body: digest(b"{}"),
    };
    CallerRequest {
        number,
        workspace: "mill".into(),
        work: Work::Call(CallBody {
            service: "orders".into(),
            path: "sacks".to_owned(),
            key: receipt.key.clone(),
            body: receipt.body,
            repeatable: false,
        }),
        exchanges: vec![exchange(u128::from(number), at)],
        received: Received {
            tokens: Vec::new(),
            body: receipt.to_text(),
            whole: true,
        },
    }
}

fn draft_run(req: &CallerRequest) -> DraftRun {
    DraftRun {
        request_id: u128::from(req.number),
        attempt: 1,
        workspace: req.workspace.clone(),
        model: "quotes".into(),
        weight_version: 1,
        prompt: digest(b""),
        prompt_tokens: 4_096,
        cached_tokens: 2_048,
        offset: 0,
        at_micros: req.exchanges[0].sent_at + 1,
    }
}

fn piece_use(req: &CallerRequest) -> PieceUse {
    PieceUse {
        request_id: u128::from(req.number),
        piece: digest(req.workspace.as_bytes()),
        workspace: req.workspace.clone(),
        from_workspace: Some(req.workspace.clone()),
        weight_version: 1,
        from_version: 1,
        intact: true,
    }
}

fn call_run(req: &CallerRequest) -> CallRun {
    let Work::Call(body) = &req.work else {
        panic!("not a call");
    };
    CallRun {
        workspace: req.workspace.clone(),
        key: body.key.clone(),
        path: "orders/sacks".to_owned(),
        request_id: req.exchanges[0].request_id.clone(),
        attempt: 1,
        body: body.body,
        at_micros: req.exchanges[0].sent_at + 1,
    }
}

/// Returns a record without violations that has at least one check for every promise.
fn healthy() -> RunRecord {
    let drafts = [draft(1, "mill", 20 * SECOND), draft(2, "yard", 21 * SECOND)];
    let mut refused = draft(3, "mill", 22 * SECOND);
    refused.exchanges[0].outcome = Some(Outcome::NotRun);
    refused.received = Received::default();
    let order = call(4, 23 * SECOND);
    let engine = EngineRecord {
        drafts: drafts.iter().map(draft_run).collect(),
        uses: drafts.iter().map(piece_use).collect(),
        imports: vec![ImportRun {
            piece: digest(b"mill"),
            weight_version: 1,
            accepted: true,
            intact: true,
            store: ([127, 0, 0, 1], 1).into(),
            bytes: 10,
        }],
        ..EngineRecord::default()
    };
    let service = ServiceRecord {
        runs: vec![call_run(&order)],
    };
    RunRecord {
        requests: drafts.into_iter().chain([refused, order]).collect(),
        engines: [("engine-1".into(), engine)].into(),
        services: [("desk-1".into(), service)].into(),
        leaves: vec![Leave {
            target: "engine-1".into(),
            at: 21 * SECOND,
        }],
        drains: vec![Drain {
            host: "entry-1".into(),
            began: 23 * SECOND + 50,
            ended: 24 * SECOND,
        }],
        notes: vec![NoteAccepted {
            version: 1,
            at: SECOND,
            weight_versions: [("quotes".into(), 1)].into(),
        }],
    }
}

/// Returns the promises that are violated after `mutate` has changed the healthy record.
fn broken_by(mutate: impl FnOnce(&mut RunRecord)) -> Vec<Promise> {
    let mut record = healthy();
    mutate(&mut record);
    let grace = Grace {
        leave: Duration::from_secs(5),
        note: Duration::from_secs(5),
    };
    check(&record, grace).broken_promises()
}

fn engine(record: &mut RunRecord) -> &mut EngineRecord {
    record.engines.get_mut("engine-1").unwrap()
}

fn service(record: &mut RunRecord) -> &mut ServiceRecord {
    record.services.get_mut("desk-1").unwrap()
}

#[test]
fn a_healthy_run_breaks_nothing_and_checks_every_promise() {
    let report = check(&healthy(), Grace::default());
    assert_eq!(report.broken_promises(), []);
    assert!(report.promises.values().all(|p| p.checked > 0), "{report:?}");
}

#[test]
fn damaged_cache_blocks() {
    let used = broken_by(|r| engine(r).uses[0].intact = false);
    assert_eq!(used, [Promise::IntactCache]);
    let imported = broken_by(|r| engine(r).imports[0].intact = false);
    assert_eq!(imported, [Promise::IntactCache]);
}

#[test]
fn cache_of_another_workspace() {
    let computed = broken_by(|r| engine(r).uses[0].from_workspace = Some("yard".into()));
    assert_eq!(computed, [Promise::WorkspaceIsolation]);
    let imported = broken_by(|r| {
        let piece = engine(r).uses[0].piece;
        let used = &mut engine(r).uses[1];
        (used.piece, used.from_workspace) = (piece, None);
    });
    assert_eq!(imported, [Promise::WorkspaceIsolation]);
    let ran = broken_by(|r| engine(r).drafts[0].workspace = "yard".into());
    assert_eq!(ran, [Promise::WorkspaceIsolation]);
}

#[test]
fn cache_of_another_weight_version() {
    let mixed = broken_by(|r| engine(r).uses[0].from_version = 2);
    assert_eq!(mixed, [Promise::WeightVersions]);
    let stale = broken_by(|r| engine(r).drafts[0].weight_version = 2);
    assert_eq!(stale, [Promise::WeightVersions]);
}

#[test]
fn answers_that_are_crossed_cut_or_spliced() {
    let crossed = broken_by(|r| r.requests[0].received = r.requests[1].received.clone());
    assert_eq!(crossed, [Promise::WholeAnswers]);
    let cut = broken_by(|r| drop(r.requests[0].received.tokens.pop()));
    assert_eq!(cut, [Promise::WholeAnswers]);
    let spliced = broken_by(|r| {
        engine(r).drafts[1].weight_version = 2;
        engine(r).drafts[1].attempt = 2;
        let second = Answer::new("quotes", 2, "prompt of mill");
        r.requests[0].received.tokens[3] = second.token(3);
    });
    assert_eq!(spliced, [Promise::WholeAnswers]);
    let reply = broken_by(|r| r.requests[3].received.body = "{}".to_owned());
    assert_eq!(reply, [Promise::WholeAnswers]);
    let invented = broken_by(|r| service(r).runs.clear());
    assert_eq!(invented, [Promise::WholeAnswers]);
}

#[test]
fn not_run_that_ran() {
    let draft = broken_by(|r| r.requests[0].exchanges[0].outcome = Some(Outcome::NotRun));
    assert_eq!(draft, [Promise::TrueNotRun]);
    let call = broken_by(|r| r.requests[3].exchanges[0].outcome = Some(Outcome::NotRun));
    assert_eq!(call, [Promise::TrueNotRun]);
}

#[test]
fn call_that_ran_twice() {
    let twice = broken_by(|r| {
        let again = service(r).runs[0].clone();
        service(r).runs.push(again);
    });
    assert_eq!(twice, [Promise::AtMostOnce]);
    let elsewhere = broken_by(|r| {
        let again = r.services.clone().into_values().next().unwrap();
        r.services.insert("desk-2".into(), again);
    });
    assert_eq!(elsewhere, [Promise::AtMostOnce]);
}

#[test]
fn new_work_for_a_target_that_left() {
    let late = broken_by(|r| r.leaves[0].at = 10 * SECOND);
    assert_eq!(late, [Promise::LeavingTargets]);
}

#[test]
fn shutdown_that_cuts_off_a_request() {
    let cut = broken_by(|r| r.requests[3].exchanges[0].ended_well = false);
    assert_eq!(cut, [Promise::GracefulShutdown]);
    let unanswered = broken_by(|r| {
        let exchange = &mut r.requests[3].exchanges[0];
        (exchange.ended_well, exchange.head_at) = (false, None);
    });
    assert_eq!(unanswered, [Promise::GracefulShutdown]);
}

#[test]
fn note_that_comes_late_or_reverts() {
    let second = |at| NoteAccepted {
        version: 2,
        at,
        weight_versions: [("quotes".into(), 1)].into(),
    };
    let late = broken_by(|r| r.notes.push(second(2 * SECOND)));
    assert_eq!(late, [Promise::NotesInForce]);
    let reverted = broken_by(|r| {
        r.notes.push(second(20 * SECOND));
        r.requests[0].exchanges[0].note = Some(2);
    });
    assert_eq!(reverted, [Promise::NotesInForce]);
}
