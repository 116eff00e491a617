//! Tests the clients in `metadata` and `targets` against the stand-ins, without faults.

mod support;

use std::sync::Arc;

use bytes::Bytes;
use metadata::{
    Committed, Expect, HostList, HostRole, HostState, HttpPlatform, ListedHost, ObjectStore, ScanRequest,
    TableService, Transaction,
};
use standins::{
    Answer, Engine, EngineConfig, Platform, PlatformConfig, Service, ServiceConfig, Store, StoreConfig,
};
use support::{client, draft, loopback, read_all, run, text};
use targets::{
    CacheEvent, CallOutcome, CallRequest, Engine as _, HttpEngine, HttpService, HttpStore, Order, OrderKind,
    Service as _, Store as _, TargetError, TransferRequest,
};

#[test]
fn platform_serves_table_list_and_objects() {
    run(|ex| async move {
        let running = Platform::start(&ex, loopback(), PlatformConfig::default()).unwrap();
        let platform = HttpPlatform::new(client(&ex), running.addr());
        let insert = Transaction::default().put("a/1", Expect::Absent, serde_json::json!(7));
        let first = platform.transact(insert.clone()).await.unwrap();
        assert_eq!(first, Committed::Applied { version: 1 });
        assert!(matches!(
            platform.transact(insert).await.unwrap(),
            Committed::Refused { .. }
        ));
        let rows = platform.read(vec!["a/1".into(), "b".into()]).await.unwrap();
        assert!(rows[0].is_some() && rows[1].is_none());
        let scan = ScanRequest {
            prefix: "a/".into(),
            after: String::new(),
            limit: 10,
        };
        assert_eq!(platform.scan(scan).await.unwrap().len(), 1);

        running.state().set_host(host("engine-1"));
        assert_eq!(platform.list().await.unwrap(), [host("engine-1")]);

        platform.put("notes/1".into(), Bytes::from("text")).await.unwrap();
        assert_eq!(platform.get("notes/1".into()).await.unwrap().unwrap(), "text");
        assert_eq!(platform.get("notes/2".into()).await.unwrap(), None);
        running.stop().await;
    });
}

fn host(id: &str) -> ListedHost {
    ListedHost {
        id: id.into(),
        role: HostRole::Engine,
        region: "north".into(),
        failure_domain: "a".into(),
        address: loopback(),
        peer_address: None,
        incarnation: 0,
        state: HostState::Live,
        serves: vec!["draft".into()],
        checks_epochs: true,
    }
}

#[test]
fn engine_streams_the_expected_answer_and_resumes_it() {
    run(|ex| async move {
        let running = Engine::start(&ex, loopback(), EngineConfig::default()).unwrap();
        let engine = HttpEngine::new(client(&ex), running.addr());
        let (events, end) = read_all(engine.draft(draft(1, "hello", 8)).await.unwrap()).await;
        end.unwrap();
        let expected = Answer::new("draft", 1, "hello");
        assert_eq!(text(&events), expected.text(8));
        assert_eq!(events[0].start.as_ref().unwrap().cached_tokens, 0);

        let mut resumed = draft(1, "", 8);
        (resumed.attempt, resumed.offset, resumed.resume_only) = (2, 5, true);
        let (events, end) = read_all(engine.draft(resumed.clone()).await.unwrap()).await;
        end.unwrap();
        let rest: String = (5..8).map(|i| expected.token(i)).collect();
        assert_eq!(text(&events), rest);
        resumed.workspace = "yard".into();
        let other_workspace = engine.draft(resumed).await.err().unwrap();
        assert_eq!(*other_workspace.current_context(), TargetError::Refused(404));

        let mut moved = draft(2, "hello", 8);
        (moved.offset, moved.continued) = (5, expected.text(5));
        let (events, end) = read_all(engine.draft(moved).await.unwrap()).await;
        end.unwrap();
        assert_eq!(text(&events), rest);
        assert_eq!(events[0].start.as_ref().unwrap().cached_tokens, 2_048);

        let events = engine.cache_events(0).await.unwrap();
        assert_eq!(events.events, [CacheEvent::Stored(utils::digest(b"hello"))]);
        assert_eq!(engine.cache_snapshot().await.unwrap().pieces.len(), 1);
        engine.cancel(1).await.unwrap();
        running.stop().await;
    });
}

#[test]
fn connection_is_reused_after_the_end_event() {
    run(|ex| async move {
        let running = Engine::start(&ex, loopback(), EngineConfig::default()).unwrap();
        let engine = HttpEngine::new(client(&ex), running.addr());
        for id in 0..5 {
            let mut stream = engine.draft(draft(id, "hello", 2)).await.unwrap();
            while stream
                .next()
                .await
                .unwrap()
                .is_some_and(|event| event.end.is_none())
            {}
        }
        assert_eq!(running.connections(), 1);
        running.stop().await;
    });
}

#[test]
fn engine_refuses_a_version_that_is_not_loaded_and_loads_it_on_order() {
    run(|ex| async move {
        let running = Engine::start(&ex, loopback(), EngineConfig::default()).unwrap();
        let engine = HttpEngine::new(client(&ex), running.addr());
        let mut req = draft(1, "hello", 2);
        req.weight_version = 2;
        let refused = engine.draft(req.clone()).await.err().unwrap();
        assert_eq!(*refused.current_context(), TargetError::VersionNotLoaded);

        let kind = OrderKind::LoadVersion {
            model: "draft".into(),
            version: 2,
        };
        let order = Order { epoch: 5, kind };
        assert!(engine.order(order.clone()).await.unwrap().accepted);
        while engine.load().await.unwrap().versions != [(Arc::from("draft"), 2)] {
            smol::Timer::after(std::time::Duration::from_millis(2)).await;
        }
        read_all(engine.draft(req).await.unwrap()).await.1.unwrap();
        let outdated = engine.order(Order { epoch: 4, ..order }).await.unwrap();
        assert!(!outdated.accepted && outdated.epoch == 5);
        running.stop().await;
    });
}

#[test]
fn pieces_are_transferred_between_engines_through_a_store() {
    run(|ex| async move {
        let store = Store::start(&ex, loopback(), StoreConfig::default()).unwrap();
        let first = Engine::start(&ex, loopback(), EngineConfig::default()).unwrap();
        let second = Engine::start(&ex, loopback(), EngineConfig::default()).unwrap();
        let (from, to) = (
            HttpEngine::new(client(&ex), first.addr()),
            HttpEngine::new(client(&ex), second.addr()),
        );
        read_all(from.draft(draft(1, "hello", 1)).await.unwrap())
            .await
            .1
            .unwrap();
        let transfer = TransferRequest {
            piece: utils::digest(b"hello"),
            weight_version: 1,
            store: store.addr(),
        };
        let missing = to.import(transfer.clone()).await.unwrap_err();
        assert_eq!(*missing.current_context(), TargetError::Refused(404));
        from.export(transfer.clone()).await.unwrap();
        let http_store = HttpStore::new(client(&ex), store.addr());
        assert_eq!(http_store.catalogue(0).await.unwrap().stored, [transfer.piece]);
        to.import(transfer).await.unwrap();

        let (events, end) = read_all(to.draft(draft(2, "hello", 4)).await.unwrap()).await;
        end.unwrap();
        assert_eq!(events[0].start.as_ref().unwrap().cached_tokens, 2_048);
        assert_eq!(text(&events), Answer::new("draft", 1, "hello").text(4));
        first.stop().await;
        second.stop().await;
        store.stop().await;
    });
}

#[test]
fn service_runs_a_call_and_reports_its_outcome() {
    run(|ex| async move {
        let running = Service::start(&ex, loopback(), ServiceConfig::default()).unwrap();
        let service = HttpService::new(client(&ex), running.addr());
        let unseen = service.outcome("mill".into(), "k1".into()).await.unwrap();
        assert_eq!(unseen, Some(CallOutcome::Unseen));
        let reply = service.call(call("k1")).await.unwrap();
        assert_eq!(reply.status, 201);
        let outcome = service.outcome("mill".into(), "k1".into()).await.unwrap();
        assert!(matches!(outcome, Some(CallOutcome::Ran { body, .. }) if body.as_bytes() == reply.body));
        let runs = running.state().record().runs;
        assert_eq!((runs.len(), runs[0].path.as_str()), (1, "orders/sacks"));
        running.stop().await;
    });
}

fn call(key: &str) -> CallRequest {
    CallRequest {
        request_id: 9,
        attempt: 1,
        workspace: "mill".into(),
        service: "orders".into(),
        method: "POST".into(),
        path: "sacks".into(),
        content_type: "application/json".into(),
        idempotency_key: Some(key.to_owned()),
        body: Bytes::from("{}"),
    }
}
