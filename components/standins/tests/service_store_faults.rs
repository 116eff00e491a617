//! Tests the effect of each fault switch of the service and store stand-ins on their clients.

mod support;

use std::time::{Duration, Instant};

use bytes::Bytes;
use http_io::Executor;
use standins::{
    Engine, EngineConfig, Odds, Running, Service, ServiceConfig, ServiceFaults, Store, StoreConfig,
    StoreFaults, expected_content,
};
use support::{client, loopback, run};
use targets::{
    CallOutcome, CallRequest, Engine as _, HttpEngine, HttpService, HttpStore, Manifest, Service as _,
    Store as _, TargetError, TransferRequest,
};
use utils::digest;

fn service(ex: &Executor, cfg: ServiceConfig, faults: ServiceFaults) -> (Running<Service>, HttpService) {
    let running = Service::start(ex, loopback(), cfg).unwrap();
    running.state().set_faults(faults);
    let service = HttpService::new(client(ex), running.addr());
    (running, service)
}

fn call() -> CallRequest {
    CallRequest {
        request_id: 9,
        attempt: 1,
        workspace: "mill".into(),
        service: "orders".into(),
        method: "POST".into(),
        path: "sacks".into(),
        content_type: "application/json".into(),
        idempotency_key: Some("k".to_owned()),
        body: Bytes::from("{}"),
    }
}

/// Checks the error of a call, how often the call ran and which outcome the service reports afterwards.
fn failing_call(faults: ServiceFaults, error: TargetError, runs: usize, outcome: CallOutcome) {
    run(|ex| async move {
        let (running, service) = service(&ex, ServiceConfig::default(), faults);
        let failed = service.call(call()).await.unwrap_err();
        assert_eq!(*failed.current_context(), error);
        assert_eq!(running.state().record().runs.len(), runs);
        let reported = service.outcome("mill".into(), "k".to_owned()).await.unwrap();
        let kind = std::mem::discriminant;
        assert_eq!(reported.as_ref().map(kind), Some(kind(&outcome)));
        running.kill().await;
    });
}

fn ran() -> CallOutcome {
    CallOutcome::Ran {
        status: 201,
        content_type: String::new(),
        body: String::new(),
    }
}

#[test]
fn service_runs_a_call_and_loses_the_answer() {
    let lose_answers = Odds::next(1);
    let faults = ServiceFaults {
        lose_answers,
        ..ServiceFaults::default()
    };
    failing_call(faults, TargetError::TimedOut, 1, ran());
}

#[test]
fn service_ignores_a_call() {
    let ignore = Odds::next(1);
    let faults = ServiceFaults {
        ignore,
        ..ServiceFaults::default()
    };
    failing_call(faults, TargetError::TimedOut, 0, CallOutcome::Unseen);
}

#[test]
fn service_crashes_before_a_call() {
    let crash_before = Odds::next(1);
    let faults = ServiceFaults {
        crash_before,
        ..ServiceFaults::default()
    };
    failing_call(faults, TargetError::Interrupted, 0, CallOutcome::Unseen);
}

#[test]
fn service_crashes_after_a_call() {
    let crash_after = Odds::next(1);
    let faults = ServiceFaults {
        crash_after,
        ..ServiceFaults::default()
    };
    failing_call(faults, TargetError::Interrupted, 1, ran());
}

#[test]
fn service_answers_with_another_request_id() {
    let cross_answers = Odds::next(1);
    let faults = ServiceFaults {
        cross_answers,
        ..ServiceFaults::default()
    };
    failing_call(faults, TargetError::WrongRequest, 1, ran());
}

#[test]
fn service_is_slow_and_runs_a_retried_call_twice() {
    run(|ex| async move {
        let faults = ServiceFaults {
            slow_ms: 30,
            ..ServiceFaults::default()
        };
        let cfg = ServiceConfig {
            tells_outcomes: false,
            ..ServiceConfig::default()
        };
        let (running, service) = service(&ex, cfg, faults);
        let started = Instant::now();
        service.call(call()).await.unwrap();
        service.call(call()).await.unwrap();
        assert!(started.elapsed() >= Duration::from_millis(60));
        assert_eq!(running.state().record().runs.len(), 2);
        let reported = service.outcome("mill".into(), "k".to_owned()).await.unwrap();
        assert_eq!(reported, None);
        running.stop().await;
    });
}

fn store(ex: &Executor, cfg: StoreConfig, faults: StoreFaults) -> (Running<Store>, HttpStore) {
    let running = Store::start(ex, loopback(), cfg).unwrap();
    running.state().set_faults(faults);
    let store = HttpStore::new(client(ex), running.addr());
    (running, store)
}

fn piece(bytes: usize) -> (Bytes, Manifest) {
    let piece = digest(b"piece");
    let content = expected_content(piece, 1, bytes);
    let manifest = Manifest {
        piece,
        bytes: bytes as u64,
        content: digest(&content),
        weight_version: 1,
        tokens: 2_048,
    };
    (content, manifest)
}

/// Stores a piece and imports it into an engine; returns the status of the import, 200 if it was accepted.
async fn import(ex: &Executor, running: &Running<Store>, store: &HttpStore, faults: StoreFaults) -> u16 {
    running.state().set_faults(faults);
    let (content, manifest) = piece(1_000);
    store.put_content(manifest.piece, content).await.unwrap();
    store.put_manifest(manifest.clone()).await.unwrap();
    let engine = Engine::start(ex, loopback(), EngineConfig::default()).unwrap();
    let req = TransferRequest {
        piece: manifest.piece,
        weight_version: 1,
        store: running.addr(),
    };
    let imported = HttpEngine::new(client(ex), engine.addr()).import(req).await;
    let import_run = engine.state().record().imports[0].clone();
    assert_eq!(import_run.accepted, import_run.intact);
    engine.stop().await;
    match imported {
        Ok(()) => 200,
        Err(e) => match e.current_context() {
            TargetError::Refused(status) => *status,
            other => panic!("{other}"),
        },
    }
}

#[test]
fn only_complete_pieces_can_be_read() {
    run(|ex| async move {
        let (running, store) = store(&ex, StoreConfig::default(), StoreFaults::default());
        let (content, manifest) = piece(1_000);
        assert!(store.put_manifest(manifest.clone()).await.is_err());
        store
            .put_content(manifest.piece, content.slice(..500))
            .await
            .unwrap();
        assert!(store.put_manifest(manifest.clone()).await.is_err());
        assert_eq!(store.content(manifest.piece).await.unwrap(), None);
        store.put_content(manifest.piece, content.clone()).await.unwrap();
        store.put_manifest(manifest.clone()).await.unwrap();
        assert_eq!(store.content(manifest.piece).await.unwrap(), Some(content));
        store.drop_piece(manifest.piece).await.unwrap();
        let catalogue = store.catalogue(1).await.unwrap();
        assert_eq!(catalogue.dropped, [manifest.piece]);
        running.stop().await;
    });
}

#[test]
fn engine_refuses_truncated_and_corrupt_pieces() {
    run(|ex| async move {
        let (running, store) = store(&ex, StoreConfig::default(), StoreFaults::default());
        let halved = StoreFaults {
            halve_writes: Odds::next(1),
            ..StoreFaults::default()
        };
        assert_eq!(import(&ex, &running, &store, halved).await, 409);
        store.drop_piece(digest(b"piece")).await.unwrap();
        let corrupt = StoreFaults {
            corrupt_reads: Odds::next(1),
            ..StoreFaults::default()
        };
        assert_eq!(import(&ex, &running, &store, corrupt).await, 409);
        assert_eq!(import(&ex, &running, &store, StoreFaults::default()).await, 200);
        running.stop().await;
    });
}

#[test]
fn full_store_refuses_writes() {
    run(|ex| async move {
        let cfg = StoreConfig {
            capacity_bytes: 1_500,
            ..StoreConfig::default()
        };
        let (running, store) = store(&ex, cfg, StoreFaults::default());
        let (content, manifest) = piece(1_000);
        store.put_content(manifest.piece, content.clone()).await.unwrap();
        let full = store.put_content(digest(b"other"), content.clone()).await;
        assert_eq!(*full.unwrap_err().current_context(), TargetError::Refused(507));
        store.drop_piece(manifest.piece).await.unwrap();
        let faults = StoreFaults {
            full: true,
            ..StoreFaults::default()
        };
        running.state().set_faults(faults);
        assert!(store.put_content(manifest.piece, content).await.is_err());
        assert_eq!(store.catalogue(0).await.unwrap().free_bytes, 0);
        assert_eq!(running.state().record().refused, 2);
        running.stop().await;
    });
}

#[test]
fn dead_store_times_out_and_slow_store_delays_calls() {
    run(|ex| async move {
        let faults = StoreFaults {
            dead: true,
            ..StoreFaults::default()
        };
        let (running, store) = store(&ex, StoreConfig::default(), faults);
        let dead = store.manifest(digest(b"piece")).await.unwrap_err();
        assert_eq!(*dead.current_context(), TargetError::TimedOut);
        let faults = StoreFaults {
            slow_ms: 40,
            ..StoreFaults::default()
        };
        running.state().set_faults(faults);
        let started = Instant::now();
        assert_eq!(store.manifest(digest(b"piece")).await.unwrap(), None);
        assert!(started.elapsed() >= Duration::from_millis(40));
        running.kill().await;
    });
}

#[test]
fn crashed_store_is_empty_and_has_a_new_incarnation() {
    run(|ex| async move {
        let (running, store) = store(&ex, StoreConfig::default(), StoreFaults::default());
        let (content, manifest) = piece(1_000);
        store.put_content(manifest.piece, content).await.unwrap();
        store.put_manifest(manifest).await.unwrap();
        let before = store.catalogue(0).await.unwrap();
        running.crash();
        smol::Timer::after(Duration::from_millis(20)).await;
        let after = store.catalogue(0).await.unwrap();
        assert_ne!(before.incarnation, after.incarnation);
        assert_eq!((before.stored.len(), after.stored.len()), (1, 0));
        running.stop().await;
    });
}
