//! Requests through the whole path over real sockets, without and with faults.

mod common;

use common::{Cluster, ClusterConfig, GREEN_KEY, MILL_KEY, MODEL, body, declared};
use errors::Outcome;
use hyper::Method;
use smol::block_on;
use standins::{Answer, PlatformFaults};

fn expected_answer(prompt: &str, tokens: u32) -> String {
    Answer::new(MODEL, 1, prompt).text(tokens)
}

#[test]
fn an_answer_is_streamed_completely() {
    let cluster = Cluster::start(&ClusterConfig::default());
    let streamed = block_on(
        cluster
            .caller(0, MILL_KEY)
            .stream(&body("draft a quote", 20), None),
    );
    assert_eq!((streamed.status, streamed.outcome.as_str()), (200, "ran"));
    assert_eq!(streamed.text, expected_answer("draft a quote", 20));
    assert!(streamed.done);
    cluster.stop();
}

#[test]
fn an_answer_that_is_not_streamed_is_whole() {
    let cluster = Cluster::start(&ClusterConfig::default());
    let caller = cluster.caller(0, MILL_KEY);
    let json = serde_json::json!({
        "model": MODEL, "max_tokens": 5, "messages": [{ "role": "user", "content": "sacks" }],
    });
    let req = caller
        .request(Method::POST, "/v1/chat/completions")
        .body(http_io::json_body(&json))
        .unwrap();
    let answered = block_on(caller.send(req));
    let value: serde_json::Value = serde_json::from_str(&answered.body).unwrap();
    assert_eq!(
        value["choices"][0]["message"]["content"],
        expected_answer("user: sacks\n", 5)
    );
    assert_eq!(value["usage"]["completion_tokens"], 5);
    cluster.stop();
}

#[test]
fn a_call_runs_once_at_any_host() {
    let cluster = Cluster::start(&ClusterConfig::default());
    let path = "/v1/services/ledger/grants";
    let first = block_on(cluster.caller(0, GREEN_KEY).call(path, Some("grant-1"), "plaza"));
    let again = block_on(cluster.caller(1, GREEN_KEY).call(path, Some("grant-1"), "plaza"));
    let other_body = block_on(cluster.caller(1, GREEN_KEY).call(path, Some("grant-1"), "common"));
    let no_key = block_on(cluster.caller(0, GREEN_KEY).call(path, None, "plaza"));
    let other_query = block_on(cluster.caller(0, GREEN_KEY).call(
        "/v1/services/ledger/grants?green=2",
        Some("grant-1"),
        "plaza",
    ));
    assert_eq!(
        (other_query.status, other_query.outcome.as_str()),
        (422, "not-run")
    );
    assert_eq!((first.status, first.outcome.as_str()), (201, "ran"));
    assert_eq!(again.body, first.body);
    assert_eq!((other_body.status, other_body.outcome.as_str()), (422, "not-run"));
    assert_eq!((no_key.status, no_key.outcome.as_str()), (400, "not-run"));
    assert_eq!(cluster.ledger.state().record().runs.len(), 1);
    cluster.stop();
}

#[test]
fn a_note_takes_effect_at_every_host() {
    let cluster = Cluster::start(&ClusterConfig::default());
    let mut next = declared(2);
    next.workspaces.remove("mill");
    cluster.declare(&next);
    for host in 0..cluster.hosts.len() {
        let caller = cluster.caller(host, MILL_KEY);
        while block_on(caller.stream(&body("draft", 1), None)).status != 401 {
            std::thread::sleep(std::time::Duration::from_millis(20));
        }
    }
    cluster.stop();
}

#[test]
fn a_host_that_can_not_confirm_the_note_takes_no_new_work() {
    let cluster = Cluster::start(&ClusterConfig::default());
    let caller = cluster.caller(0, MILL_KEY);
    let status_is = |wanted: u16| loop {
        let streamed = block_on(caller.stream(&body("draft", 1), None));
        if streamed.status == wanted {
            return streamed;
        }
        std::thread::sleep(std::time::Duration::from_millis(20));
    };
    cluster.platform.state().set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });
    let refused = status_is(503);
    assert_eq!(refused.outcome, "not-run");
    assert_eq!(
        refused.problem.unwrap().kind,
        "urn:laburnumtally:problem:not-serving"
    );
    cluster.platform.state().set_faults(PlatformFaults::default());
    assert_eq!(status_is(200).outcome, "ran");
    cluster.stop();
}

#[test]
fn a_stalled_connection_does_not_interrupt_an_answer() {
    let cluster = Cluster::start(&ClusterConfig {
        engines: 1,
        ..ClusterConfig::default()
    });
    let caller = cluster.caller(0, MILL_KEY);
    let silenced = async {
        smol::Timer::after(std::time::Duration::from_millis(50)).await;
        cluster.engines[0].silence();
    };
    let request = body("a long draft", 300);
    let (streamed, ()) = block_on(futures_lite::future::zip(caller.stream(&request, None), silenced));
    assert_eq!(streamed.text, expected_answer("a long draft", 300));
    assert!(streamed.done);
    cluster.stop();
}

#[test]
fn a_crashed_engine_does_not_interrupt_an_answer() {
    let cluster = Cluster::start(&ClusterConfig::default());
    let caller = cluster.caller(0, MILL_KEY);
    let crash = async {
        smol::Timer::after(std::time::Duration::from_millis(50)).await;
        for engine in &cluster.engines {
            let drafts = engine.state().record().drafts;
            if drafts.iter().any(|d| d.prompt == utils::digest(b"a long draft")) {
                engine.crash();
            }
        }
    };
    let request = body("a long draft", 300);
    let (streamed, ()) = block_on(futures_lite::future::zip(caller.stream(&request, None), crash));
    assert_eq!(streamed.text, expected_answer("a long draft", 300));
    assert!(streamed.done);
    cluster.stop();
}

#[test]
fn a_stream_resumes_at_another_host() {
    let cluster = Cluster::start(&ClusterConfig::default());
    let begun = block_on(
        cluster
            .caller(0, MILL_KEY)
            .stream_until(&body("a long draft", 200), None, 50),
    );
    let rest = block_on(
        cluster
            .caller(1, MILL_KEY)
            .stream(&body("", 0), Some(&begun.last_id)),
    );
    assert_eq!(
        begun.text.clone() + &rest.text,
        expected_answer("a long draft", 200)
    );
    assert!(rest.done);
    let foreign = block_on(
        cluster
            .caller(1, GREEN_KEY)
            .stream(&body("", 0), Some(&begun.last_id)),
    );
    assert_eq!((foreign.status, foreign.outcome.as_str()), (400, "not-run"));
    cluster.stop();
}

/// Returns the number of open streams that a host reports.
fn open_streams(operators: &common::Caller) -> u64 {
    let req = operators
        .request(Method::GET, "/v1/state")
        .body(http_io::empty_body());
    let state = block_on(operators.send(req.unwrap()));
    let state: serde_json::Value = serde_json::from_str(&state.body).unwrap();
    state["open_streams"].as_u64().unwrap()
}

#[test]
fn a_drain_interrupts_no_stream() {
    const STREAMS: u64 = 200;
    let mut cluster = Cluster::start(&ClusterConfig {
        hosts: 1,
        time_per_output_token: std::time::Duration::from_millis(10),
        ..ClusterConfig::default()
    });
    let caller = cluster.caller(0, MILL_KEY);
    let host = cluster.hosts.remove(0);
    let operators = caller.at(host.addresses().operators);
    let streams = std::thread::spawn(move || {
        block_on(async {
            let request = body("a long draft", 500);
            let all = (0..STREAMS).map(|_| caller.stream(&request, None));
            let ex = smol::LocalExecutor::new();
            let tasks: Vec<_> = all.map(|stream| ex.spawn(stream)).collect();
            ex.run(async {
                let mut streamed = Vec::new();
                for task in tasks {
                    streamed.push(task.await);
                }
                streamed
            })
            .await
        })
    });
    while open_streams(&operators) < STREAMS {
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
    host.drain().unwrap();
    for streamed in streams.join().unwrap() {
        assert_eq!(
            streamed.text,
            expected_answer("a long draft", 500),
            "{:?}",
            streamed.problem
        );
        assert!(streamed.done);
    }
    cluster.stop();
}

#[test]
fn a_workspace_over_its_limit_is_refused_and_others_are_served() {
    let cluster = Cluster::start(&ClusterConfig {
        hosts: 1,
        ..ClusterConfig::default()
    });
    let mut next = declared(2);
    let limits = notes::Limits {
        requests_per_second: 0.01,
        ..notes::Limits::default()
    };
    let mill = next.workspaces.get("mill").unwrap().clone();
    next.workspaces
        .insert("mill".into(), notes::Workspace { limits, ..mill });
    cluster.declare(&next);
    let caller = cluster.caller(0, MILL_KEY);
    let refused = loop {
        let streamed = block_on(caller.stream(&body("draft", 1), None));
        if streamed.status != 200 {
            break streamed;
        }
    };
    assert_eq!((refused.status, refused.outcome.as_str()), (429, "not-run"));
    let other = block_on(cluster.caller(0, GREEN_KEY).stream(&body("draft", 1), None));
    assert_eq!(other.status, 200);
    cluster.stop();
}

#[test]
fn invalid_input_is_refused_and_the_host_keeps_serving() {
    let cluster = Cluster::start(&ClusterConfig {
        hosts: 1,
        ..ClusterConfig::default()
    });
    let caller = cluster.caller(0, MILL_KEY);
    let post = |path: &str, text: String| {
        let req = caller
            .request(Method::POST, path)
            .body(http_io::full_body(text))
            .unwrap();
        let answered = block_on(caller.send(req));
        assert_eq!(answered.outcome, Outcome::NotRun.as_str(), "{path}");
        answered.status
    };
    assert_eq!(post("/v1/completions", "{".to_owned()), 400);
    assert_eq!(
        post("/v1/completions", body("x", 1).to_string().replace(MODEL, "none")),
        404
    );
    assert_eq!(
        post("/v1/completions", body(&"x".repeat(40_000), 1).to_string()),
        413
    );
    assert_eq!(
        post("/v1/completions", body(&"x".repeat(70_000), 1).to_string()),
        413
    );
    assert_eq!(post("/v1/services/none/x", String::new()), 404);
    assert_eq!(post("/elsewhere", String::new()), 404);
    let forged = block_on(caller.stream(&body("", 0), Some("AAAA")));
    assert_eq!(forged.status, 400);
    let stranger = block_on(cluster.caller(0, "no-such-key").stream(&body("x", 1), None));
    assert_eq!(stranger.status, 401);
    assert_eq!(block_on(caller.stream(&body("still here", 1), None)).status, 200);
    cluster.stop();
}

#[test]
fn the_outcome_and_placement_of_a_request_can_be_queried() {
    let cluster = Cluster::start(&ClusterConfig {
        hosts: 1,
        ..ClusterConfig::default()
    });
    let caller = cluster.caller(0, MILL_KEY);
    let streamed = block_on(caller.stream(&body("a short draft", 3), None));
    let id = &streamed.request_id;
    let get = |path: String| {
        caller
            .request(Method::GET, &path)
            .body(http_io::empty_body())
            .unwrap()
    };
    loop {
        let answered = block_on(caller.send(get(format!("/v1/requests/{id}"))));
        if answered.body.contains(r#""state":"answered""#) {
            assert_eq!(answered.outcome, "ran");
            break;
        }
    }
    let operators = caller.at(cluster.hosts[0].addresses().operators);
    let decision = block_on(operators.send(get(format!("/v1/decisions/{id}"))));
    assert!(decision.body.contains("chosen"), "{}", decision.body);
    let stranger = cluster.caller(0, GREEN_KEY);
    assert_eq!(
        block_on(
            stranger.send(
                stranger
                    .request(Method::GET, &format!("/v1/requests/{id}"))
                    .body(http_io::empty_body())
                    .unwrap()
            )
        )
        .status,
        404
    );
    cluster.stop();
}
