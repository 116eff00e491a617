//! Tests the effect of each fault switch of the platform stand-in on its client.

mod support;

use std::time::{Duration, Instant};

use http_io::Executor;
use metadata::{Expect, HostList, HttpPlatform, PlatformError, TableService, Transaction};
use standins::{Odds, Platform, PlatformConfig, PlatformFaults, Running};
use support::{client, loopback, run};

/// Starts a platform with these faults.
fn faulty(ex: &Executor, cfg: PlatformConfig, faults: PlatformFaults) -> (Running<Platform>, HttpPlatform) {
    let running = Platform::start(ex, loopback(), cfg).unwrap();
    running.state().set_faults(faults);
    let platform = HttpPlatform::new(client(ex), running.addr());
    (running, platform)
}

fn insert(key: &str) -> Transaction {
    Transaction::default().put(key, Expect::Absent, serde_json::json!(1))
}

#[test]
fn calls_while_down_have_no_effect() {
    run(|ex| async move {
        let faults = PlatformFaults {
            down: true,
            ..PlatformFaults::default()
        };
        let (running, platform) = faulty(&ex, PlatformConfig::default(), faults);
        let failed = platform.transact(insert("a")).await.unwrap_err();
        assert_eq!(*failed.current_context(), PlatformError::AnswerLost);
        assert!(platform.list().await.is_err());
        running.state().set_faults(PlatformFaults::default());
        assert_eq!(running.state().table().get("a"), None);
        platform.transact(insert("a")).await.unwrap();
        running.kill().await;
    });
}

#[test]
fn slow_ms_delays_each_call() {
    run(|ex| async move {
        let faults = PlatformFaults {
            slow_ms: 50,
            ..PlatformFaults::default()
        };
        let (running, platform) = faulty(&ex, PlatformConfig::default(), faults);
        let started = Instant::now();
        platform.read(vec!["a".to_owned()]).await.unwrap();
        assert!(started.elapsed() >= Duration::from_millis(50));
        running.stop().await;
    });
}

#[test]
fn transaction_with_a_lost_answer_takes_effect() {
    run(|ex| async move {
        let faults = PlatformFaults {
            lose_answers: Odds::next(1),
            ..PlatformFaults::default()
        };
        let (running, platform) = faulty(&ex, PlatformConfig::default(), faults);
        let failed = platform.transact(insert("a")).await.unwrap_err();
        assert_eq!(*failed.current_context(), PlatformError::AnswerLost);
        assert!(platform.read(vec!["a".to_owned()]).await.unwrap()[0].is_some());
        running.kill().await;
    });
}

#[test]
fn changes_of_the_list_are_delayed() {
    run(|ex| async move {
        let faults = PlatformFaults {
            list_lag_ms: 80,
            ..PlatformFaults::default()
        };
        let (running, platform) = faulty(&ex, PlatformConfig::default(), faults);
        let host = serde_json::json!({"id": "e", "role": "engine", "region": "r", "failure_domain": "a",
            "address": "127.0.0.1:1", "state": "live"});
        let started = Instant::now();
        running.state().set_host(serde_json::from_value(host).unwrap());
        while platform.list().await.unwrap().is_empty() {
            smol::Timer::after(Duration::from_millis(5)).await;
        }
        assert!(started.elapsed() >= Duration::from_millis(80));
        running.stop().await;
    });
}

#[test]
fn rate_is_limited_and_counted() {
    run(|ex| async move {
        let cfg = PlatformConfig {
            writes_per_second: 2,
            ..PlatformConfig::default()
        };
        let (running, platform) = faulty(&ex, cfg, PlatformFaults::default());
        let mut refused = 0;
        for i in 0..30 {
            if let Err(e) = platform.transact(insert(&format!("k{i}"))).await {
                assert_eq!(*e.current_context(), PlatformError::Busy);
                refused += 1;
            }
        }
        let counters = running.state().counters();
        let counted: u32 = counters.iter().map(|c| c.refused).sum();
        assert!(refused > 0 && counted == refused);
        assert!(counters.iter().all(|c| c.transactions <= 2));
        running.stop().await;
    });
}

#[test]
fn refused_calls_have_no_effect() {
    run(|ex| async move {
        let faults = PlatformFaults {
            refuse: Odds::next(1),
            ..PlatformFaults::default()
        };
        let (running, platform) = faulty(&ex, PlatformConfig::default(), faults);
        assert!(platform.transact(insert("a")).await.is_err());
        assert_eq!(running.state().table().get("a"), None);
        running.stop().await;
    });
}

#[test]
fn calls_on_silent_connections_have_no_effect() {
    run(|ex| async move {
        let (running, platform) = faulty(&ex, PlatformConfig::default(), PlatformFaults::default());
        platform.read(vec!["a".to_owned()]).await.unwrap();
        running.silence();
        smol::Timer::after(Duration::from_millis(20)).await;
        assert!(platform.transact(insert("a")).await.is_err());
        assert_eq!(running.state().table().get("a"), None);
        platform.transact(insert("a")).await.unwrap();
        running.stop().await;
    });
}
