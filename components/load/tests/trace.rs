//! Tests of the generation and the playing of traces.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use http_io::{Executor, Handler, Server, ServerConfig, full_body, shutdown_channel};
use hyper::Response;
use loadgen::{Arrival, Caller, CallerConfig, Entry, PlannedCall, PlannedWork, Preset, Trace, play};

#[test]
fn prompts_recur_and_grow() {
    let trace = Preset::cadwaladr().trace(5, 400);
    let mut last: HashMap<(String, String), usize> = HashMap::new();
    let mut repeats = 0;
    for arrival in &trace.arrivals {
        let PlannedWork::Draft(draft) = &arrival.work else {
            continue;
        };
        // The first 40 characters identify a long prompt, as turns are added at its end.
        let prefix = draft.prompt.chars().take(40).collect();
        let length = draft.prompt.len();
        if let Some(before) = last.insert((arrival.workspace.to_string(), prefix), length) {
            assert!(length > before);
            repeats += 1;
        }
    }
    assert!(repeats > 200, "{repeats} of 400 arrivals repeat a prompt");
}

#[test]
fn arrivals_match_the_rate_and_the_call_share() {
    let preset = Preset::permisos_verdes();
    let trace = preset.trace(5, 3_000);
    let rate = 3_000.0 / trace.duration().as_secs_f64();
    assert!((rate / preset.requests_per_second - 1.0).abs() < 0.1, "{rate}");
    let calls = trace
        .arrivals
        .iter()
        .filter(|a| matches!(a.work, PlannedWork::Call(_)));
    let share = calls.count() as f64 / 3_000.0;
    assert!((share - preset.call_share).abs() < 0.05, "{share}");
    assert!(trace.arrivals.windows(2).all(|w| w[0].at <= w[1].at));
}

fn call(number: u64) -> Arrival {
    Arrival {
        number,
        at: Duration::from_millis(number),
        workspace: "mill".into(),
        work: PlannedWork::Call(PlannedCall {
            service: "orders".into(),
            path: "sacks".to_owned(),
            key: format!("k{number}"),
            body: "{}".to_owned(),
            repeatable: false,
        }),
    }
}

/// Returns a handler that answers no request until `expected` requests have arrived.
fn barrier_handler(expected: usize) -> Handler {
    let arrived = Arc::new(AtomicUsize::new(0));
    Arc::new(move |_| {
        let arrived = arrived.clone();
        arrived.fetch_add(1, Ordering::SeqCst);
        Box::pin(async move {
            while arrived.load(Ordering::SeqCst) < expected {
                smol::Timer::after(Duration::from_millis(1)).await;
            }
            Response::new(full_body("{}"))
        })
    })
}

#[test]
fn requests_start_when_due_while_earlier_ones_are_pending() {
    let ex: Executor = Arc::new(smol::Executor::new());
    smol::block_on(ex.run(async {
        let server = Server::bind(([127, 0, 0, 1], 0).into(), ServerConfig::default()).unwrap();
        let entry = Entry::new("entry-1", server.local_addr().unwrap());
        let (stop, stopped) = shutdown_channel();
        let serving = ex.spawn(server.run(ex.clone(), barrier_handler(20), stopped));
        let trace = Trace {
            arrivals: (0..20).map(call).collect(),
        };
        let caller = Caller::new(&ex, CallerConfig::new(vec![entry], HashMap::new()));
        let finished = play(&ex, &caller, &trace, Arc::new(())).await;
        assert!(finished.iter().all(|f| f.request.received.whole));
        // The first request is answered only after the last one, due 19 ms later, has arrived.
        assert!(finished[0].timing.whole >= Duration::from_millis(19));
        drop(stop);
        drop(caller);
        serving.await;
    }));
}
