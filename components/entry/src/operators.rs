use std::net::TcpListener;
use std::sync::Arc;

use bytes::Bytes;
use http_io::{Body, Executor, Handler, Server, ServerConfig, Shutdown, full_body, json_body};
use hyper::{Method, Request, Response};
use serde::Serialize;

use crate::quarantine::SuspectState;
use crate::shared::Shared;
use crate::view::Serving;

/// Body of the answer to `GET /v1/state`.
#[derive(Serialize)]
struct State<'a> {
    /// Name of the host.
    host: &'a str,
    /// Incarnation of the process, in hexadecimal.
    incarnation: String,
    /// Version of the release notes in force at this host.
    note_version: u64,
    /// Whether the host accepts new requests.
    serving: Serving,
    /// Number of the staged change that the host also enforces.
    staged: Option<u64>,
    /// Whether the host is draining.
    draining: bool,
    /// Number of open streams.
    open_streams: usize,
    /// Engines with their state.
    engines: Vec<(&'a str, policy::TargetState)>,
    /// Targets of plain services.
    services: Vec<&'a str>,
    /// Requests that ran on a target when it crashed and have not succeeded since.
    suspects: Vec<SuspectState>,
    /// Number of observations dropped because the queue to the control thread was full.
    observations_dropped: u64,
}

/// Maximum number of open connections of operators.
const MAX_CONNECTIONS: usize = 256;

/// Serves operators until `stop` resolves.
pub(crate) async fn serve(shared: Arc<Shared>, listener: TcpListener, ex: Executor, stop: Shutdown) {
    let cfg = ServerConfig {
        memory: shared.memory.clone(),
        max_connections: MAX_CONNECTIONS,
        ..ServerConfig::default()
    };
    let Ok(server) = Server::from_std(listener, cfg) else {
        return;
    };
    let handler: Handler = Arc::new(move |req| {
        let shared = shared.clone();
        Box::pin(async move { answer(&shared, &req) })
    });
    server.run(ex, handler, stop).await;
}

fn answer<B>(shared: &Shared, req: &Request<B>) -> Response<Body> {
    let path = req.uri().path();
    match path {
        "/healthz" => text(200, "text/plain", "ok\n"),
        "/readyz" => ready(shared),
        "/metrics" => text(200, "text/plain; version=0.0.4", shared.metrics.text()),
        "/v1/state" => json(&state(shared)),
        _ => match path.rsplit_once('/') {
            Some(("/v1/decisions", id)) => decision(shared, id),
            Some(("/v1/suspects", id)) if req.method() == Method::DELETE => clear_suspect(shared, id),
            _ => text(404, "text/plain", "not found\n"),
        },
    }
}

fn clear_suspect(shared: &Shared, id: &str) -> Response<Body> {
    match id.parse() {
        Ok(request) if shared.suspects.clear(request) => {
            text(202, "text/plain", "the row is being removed\n")
        }
        Ok(_) => text(503, "text/plain", "too many rows wait to be written\n"),
        Err(_) => text(400, "text/plain", "a fingerprint is 64 hexadecimal digits\n"),
    }
}

fn ready(shared: &Shared) -> Response<Body> {
    if shared.is_draining() {
        return text(503, "text/plain", "draining\n");
    }
    match shared.serving(&shared.view.load()) {
        Serving::Yes => text(200, "text/plain", "ready\n"),
        Serving::NoNote => text(503, "text/plain", "no release note read yet\n"),
        Serving::Unconfirmed => text(503, "text/plain", "release note in force not confirmed\n"),
    }
}

fn json(value: &impl Serialize) -> Response<Body> {
    let mut res = Response::new(json_body(value));
    let content_type = hyper::header::HeaderValue::from_static("application/json");
    res.headers_mut()
        .insert(hyper::header::CONTENT_TYPE, content_type);
    res
}

fn decision(shared: &Shared, id: &str) -> Response<Body> {
    let found = u128::from_str_radix(id, 16)
        .ok()
        .and_then(|id| shared.outcomes.get(id));
    match found {
        Some(record) => json(&record),
        None => text(404, "text/plain", "this host does not remember the request\n"),
    }
}

fn state(shared: &Shared) -> impl Serialize {
    let view = shared.view.load();
    serde_json::json!(State {
        host: &shared.settings.host.id,
        incarnation: format!("{:016x}", shared.incarnation),
        note_version: view.declared.version,
        serving: shared.serving(&view),
        staged: view.enforced.state().staged,
        draining: shared.is_draining(),
        open_streams: shared.open_streams.load(std::sync::atomic::Ordering::Acquire),
        engines: view
            .placement
            .targets
            .values()
            .map(|t| (&*t.id, t.state))
            .collect(),
        services: view.services.iter().map(|s| &*s.id).collect(),
        suspects: shared.suspects.states(),
        observations_dropped: shared.observer.dropped(),
    })
}

fn text(status: u16, content_type: &'static str, body: impl Into<Bytes>) -> Response<Body> {
    let mut res = Response::new(full_body(body));
    *res.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    let content_type = hyper::header::HeaderValue::from_static(content_type);
    res.headers_mut()
        .insert(hyper::header::CONTENT_TYPE, content_type);
    res
}
