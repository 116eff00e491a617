use std::net::SocketAddr;
use std::sync::Arc;

use error_stack::Report;
use http_io::{Client, ClientConfig, Executor};
use targets::{DraftEvent, DraftRequest, DraftStream, TargetError};

/// Runs the future of a test on its own executor.
pub(crate) fn run<F: Future<Output = ()>>(test: impl FnOnce(Executor) -> F) {
    let ex: Executor = Arc::new(smol::Executor::new());
    smol::block_on(ex.run(test(ex.clone())));
}

/// Returns the loopback address with port 0, which chooses a free port.
pub(crate) fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Creates a client with a response timeout of 300 ms, which keeps tests of lost responses short.
pub(crate) fn client(ex: &Executor) -> Client {
    let cfg = ClientConfig {
        response_timeout: std::time::Duration::from_millis(300),
        ..ClientConfig::default()
    };
    Client::new(ex.clone(), cfg)
}

/// Creates a draft request whose prompt contains one full piece.
#[allow(dead_code)]
pub(crate) fn draft(id: u128, prompt: &str, max_tokens: u32) -> DraftRequest {
    DraftRequest {
        request_id: id,
        attempt: 1,
        workspace: "mill".into(),
        model: "draft".into(),
        weight_version: 1,
        prompt: prompt.to_owned(),
        prompt_tokens: 3_000,
        pieces: vec![utils::digest(prompt.as_bytes())],
        max_tokens,
        priority: 0,
        offset: 0,
        continued: String::new(),
        resume_only: false,
    }
}

/// Reads a stream to its end or first error.
#[allow(dead_code)]
pub(crate) async fn read_all(
    mut stream: Box<dyn DraftStream>,
) -> (Vec<DraftEvent>, Result<(), Report<TargetError>>) {
    let mut events = Vec::new();
    loop {
        match stream.next().await {
            Ok(Some(event)) => events.push(event),
            Ok(None) => return (events, Ok(())),
            Err(e) => return (events, Err(e)),
        }
    }
}

/// Joins the texts of the token events.
#[allow(dead_code)]
pub(crate) fn text(events: &[DraftEvent]) -> String {
    events
        .iter()
        .filter_map(|e| e.chunk.as_ref())
        .map(|c| c.text.as_str())
        .collect()
}

/// Sets the fault switches of a stand-in over HTTP; returns the status.
#[allow(dead_code)]
pub(crate) async fn put_faults(ex: &Executor, addr: SocketAddr, faults: serde_json::Value) -> u16 {
    let req = hyper::Request::builder()
        .method("PUT")
        .uri("/v1/faults")
        .header("host", addr.to_string())
        .body(http_io::json_body(&faults))
        .unwrap();
    client(ex).send(addr, req).await.unwrap().status().as_u16()
}
