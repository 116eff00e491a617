//! Tests the effect of each fault switch of the engine stand-in on its client.

mod support;

use std::time::{Duration, Instant};

use serde_json::json;
use standins::{Engine, EngineConfig, EngineFaults, Odds, Running};
use support::{client, draft, loopback, put_faults, read_all, run};
use targets::{Engine as _, HttpEngine, Order, OrderKind, TargetError};

/// Starts an engine with these faults.
fn faulty(ex: &http_io::Executor, faults: EngineFaults) -> (Running<Engine>, HttpEngine) {
    let cfg = EngineConfig {
        time_per_output_token: Duration::from_millis(1),
        ..EngineConfig::default()
    };
    let running = Engine::start(ex, loopback(), cfg).unwrap();
    running.state().set_faults(faults);
    let engine = HttpEngine::new(client(ex), running.addr());
    (running, engine)
}

/// Checks how a draft of eight tokens ends at an engine with these faults, and that the next draft succeeds.
fn end_of_draft(faults: EngineFaults, expected: Result<(), TargetError>) {
    run(|ex| async move {
        let (running, engine) = faulty(&ex, faults);
        let (_, end) = read_all(engine.draft(draft(1, "hello", 8)).await.unwrap()).await;
        assert_eq!(end.map_err(|e| *e.current_context()), expected);
        let (_, end) = read_all(engine.draft(draft(2, "hello", 8)).await.unwrap()).await;
        end.unwrap();
        running.stop().await;
    });
}

#[test]
fn answer_with_another_request_id() {
    let cross_answers = Odds::next(1);
    let faults = EngineFaults {
        cross_answers,
        ..EngineFaults::default()
    };
    end_of_draft(faults, Err(TargetError::WrongRequest));
}

#[test]
fn answer_without_an_end_event() {
    let cut_short = Odds::next(1);
    let faults = EngineFaults {
        cut_short,
        ..EngineFaults::default()
    };
    end_of_draft(faults, Err(TargetError::Incomplete));
}

#[test]
fn answer_with_a_wrong_token_count() {
    let wrong_count = Odds::next(1);
    let faults = EngineFaults {
        wrong_count,
        ..EngineFaults::default()
    };
    end_of_draft(faults, Err(TargetError::Incomplete));
}

#[test]
fn duplicated_event() {
    let duplicate_events = Odds::next(1);
    let faults = EngineFaults {
        duplicate_events,
        ..EngineFaults::default()
    };
    end_of_draft(faults, Err(TargetError::Incomplete));
}

#[test]
fn late_answer() {
    run(|ex| async move {
        let (running, engine) = faulty(&ex, EngineFaults::default());
        let set = put_faults(&ex, running.addr(), json!({"late": {"next": 1}, "late_ms": 60})).await;
        assert_eq!(set, 204);
        let started = Instant::now();
        let (_, end) = read_all(engine.draft(draft(1, "hello", 2)).await.unwrap()).await;
        end.unwrap();
        assert!(started.elapsed() >= Duration::from_millis(60));
        running.stop().await;
    });
}

#[test]
fn unknown_fault_is_refused() {
    run(|ex| async move {
        let (running, _) = faulty(&ex, EngineFaults::default());
        assert_eq!(put_faults(&ex, running.addr(), json!({"latee": 1})).await, 400);
        running.stop().await;
    });
}

#[test]
fn marked_prompt_crashes_the_process() {
    run(|ex| async move {
        let faults = EngineFaults {
            crash_marker: Some("poison".to_owned()),
            ..EngineFaults::default()
        };
        let (running, engine) = faulty(&ex, faults);
        let before = engine.cache_snapshot().await.unwrap();
        let other_draft = engine.draft(draft(1, "hello", 500)).await.unwrap();
        let crashed = engine.draft(draft(2, "some poison", 2)).await.err().unwrap();
        assert_eq!(*crashed.current_context(), TargetError::Interrupted);
        let (_, end) = read_all(other_draft).await;
        assert_eq!(*end.unwrap_err().current_context(), TargetError::Interrupted);
        let after = engine.cache_snapshot().await.unwrap();
        assert_ne!(before.incarnation, after.incarnation);
        assert!(after.pieces.is_empty());
        assert_eq!(running.state().record().crashes.len(), 1);
        running.stop().await;
    });
}

#[test]
fn crash_discards_drafts() {
    run(|ex| async move {
        let (running, engine) = faulty(&ex, EngineFaults::default());
        let stream = engine.draft(draft(1, "hello", 500)).await.unwrap();
        running.crash();
        assert!(read_all(stream).await.1.is_err());
        let mut resumed = draft(1, "", 500);
        resumed.resume_only = true;
        let refused = engine.draft(resumed).await.err().unwrap();
        assert_eq!(*refused.current_context(), TargetError::Refused(404));
        running.stop().await;
    });
}

#[test]
fn silent_connections_stay_silent_and_new_ones_work() {
    run(|ex| async move {
        let (running, engine) = faulty(&ex, EngineFaults::default());
        let mut stream = engine.draft(draft(1, "hello", 100)).await.unwrap();
        stream.next().await.unwrap();
        running.silence();
        smol::Timer::after(Duration::from_millis(20)).await;
        while let Some(read) = within(40, stream.next()).await {
            read.unwrap();
        }
        let mut resumed = draft(1, "", 100);
        (resumed.offset, resumed.resume_only) = (50, true);
        let fresh = engine.draft_on_new_connection(resumed).await.unwrap();
        let (events, end) = read_all(fresh).await;
        end.unwrap();
        assert_eq!(events.len(), 52);
        running.stop().await;
    });
}

/// Returns the result of `work`, or `None` if it takes longer than `ms` milliseconds.
async fn within<T>(ms: u64, work: impl Future<Output = T>) -> Option<T> {
    let timeout = async {
        smol::Timer::after(Duration::from_millis(ms)).await;
        None
    };
    smol::future::or(async { Some(work.await) }, timeout).await
}

#[test]
fn cache_events_are_delayed_and_have_gaps() {
    run(|ex| async move {
        let (running, engine) = faulty(&ex, EngineFaults::default());
        for i in 0..4 {
            let prompt = format!("prompt {i}");
            read_all(engine.draft(draft(i, &prompt, 1)).await.unwrap())
                .await
                .1
                .unwrap();
        }
        let faults = |event_lag_ms, gaps| EngineFaults {
            event_lag_ms,
            event_gaps: Odds::next(gaps),
            ..EngineFaults::default()
        };
        running.state().set_faults(faults(60_000, 0));
        assert!(engine.cache_events(0).await.unwrap().events.is_empty());
        running.state().set_faults(faults(0, 1));
        let gap = engine.cache_events(0).await.unwrap();
        assert_eq!((gap.first, gap.events.len()), (2, 2));
        assert_eq!(engine.cache_events(0).await.unwrap().events.len(), 4);
        running.stop().await;
    });
}

#[test]
fn weights_load_slowly() {
    run(|ex| async move {
        let faults = EngineFaults {
            slow_load_ms: 80,
            ..EngineFaults::default()
        };
        let (running, engine) = faulty(&ex, faults);
        let kind = OrderKind::LoadVersion {
            model: "draft".into(),
            version: 2,
        };
        let started = Instant::now();
        engine.order(Order { epoch: 1, kind }).await.unwrap();
        while engine.load().await.unwrap().versions[0].1 == 1 {
            smol::Timer::after(Duration::from_millis(5)).await;
        }
        assert!(started.elapsed() >= Duration::from_millis(80));
        running.stop().await;
    });
}
