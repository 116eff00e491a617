//! Violates promises with fault switches of the stand-ins, over real sockets.

use std::sync::Arc;

use checker::{CallerRequest, DraftBody, Grace, Promise, Received, RunRecord, Work, check};
use http_io::{Client, ClientConfig, Executor};
use standins::{Engine, EngineConfig, EngineFaults, Odds, Running, Store, StoreConfig, StoreFaults};
use targets::{DraftRequest, Engine as _, HttpEngine, TransferRequest};

const PROMPT: &str = "a long contract history";

fn request(id: u128) -> DraftRequest {
    DraftRequest {
        request_id: id,
        attempt: 1,
        workspace: "mill".into(),
        model: "draft".into(),
        weight_version: 1,
        prompt: PROMPT.to_owned(),
        prompt_tokens: 3_000,
        pieces: vec![utils::digest(PROMPT.as_bytes())],
        max_tokens: 4,
        priority: 0,
        offset: 0,
        continued: String::new(),
        resume_only: false,
    }
}

async fn tokens(engine: &HttpEngine, id: u128) -> Vec<String> {
    let mut stream = engine.draft(request(id)).await.unwrap();
    let mut tokens = Vec::new();
    while let Some(event) = stream.next().await.unwrap() {
        tokens.extend(event.chunk.map(|chunk| chunk.text));
    }
    tokens
}

/// Lets the second engine import the first engine's piece from a store that corrupts it, and returns the
/// second engine's record.
async fn run(ex: &Executor, faults: EngineFaults) -> RunRecord {
    let addr = ([127, 0, 0, 1], 0).into();
    let client = Client::new(ex.clone(), ClientConfig::default());
    let store = Store::start(ex, addr, StoreConfig::default()).unwrap();
    let first = Engine::start(ex, addr, EngineConfig::default()).unwrap();
    let second = Engine::start(ex, addr, EngineConfig::default()).unwrap();
    second.state().set_faults(faults);
    let at = |running: &Running<Engine>| HttpEngine::new(client.clone(), running.addr());
    tokens(&at(&first), 1).await;
    let transfer = TransferRequest {
        piece: utils::digest(PROMPT.as_bytes()),
        weight_version: 1,
        store: store.addr(),
    };
    at(&first).export(transfer.clone()).await.unwrap();
    store.state().set_faults(StoreFaults {
        corrupt_reads: Odds::next(1),
        ..StoreFaults::default()
    });
    let _ = at(&second).import(transfer).await;
    let received = Received {
        tokens: tokens(&at(&second), 2).await,
        body: String::new(),
        whole: true,
    };
    let req = CallerRequest {
        number: 2,
        workspace: "mill".into(),
        work: Work::Draft(DraftBody {
            model: "draft".into(),
            prompt: PROMPT.into(),
            max_tokens: 4,
        }),
        exchanges: Vec::new(),
        received,
    };
    let record = RunRecord {
        requests: vec![req],
        engines: [("engine-2".into(), second.state().record())].into(),
        ..RunRecord::default()
    };
    first.stop().await;
    second.stop().await;
    store.stop().await;
    record
}

fn broken_promises(faults: EngineFaults) -> Vec<Promise> {
    let ex: Executor = Arc::new(smol::Executor::new());
    let record = smol::block_on(ex.run(run(&ex, faults)));
    check(&record, Grace::default()).broken_promises()
}

#[test]
fn an_engine_that_checks_imports_keeps_the_promises() {
    assert_eq!(broken_promises(EngineFaults::default()), []);
}

#[test]
fn an_engine_that_does_not_check_imports_is_found() {
    let faults = EngineFaults {
        skip_import_check: true,
        ..EngineFaults::default()
    };
    let expected = [Promise::IntactCache, Promise::WholeAnswers];
    assert_eq!(broken_promises(faults), expected);
}
