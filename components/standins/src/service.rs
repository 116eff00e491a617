use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use error_stack::Report;
use http_io::{Body, Executor, HandlerFuture, HttpError, full_body};
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Method, Request, Response, StatusCode};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use targets::CallOutcome;
use utils::{Attempt, Digest, WorkspaceId};

use crate::odds::Odds;
use crate::reply::{body_bytes, body_json, handler_future, json, never, segments, status};
use crate::running::{FaultSender, ProcessFault, Running, StandIn, fault_channel, start, unix_micros};

/// Settings of a [`Service`].
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceConfig {
    /// Identifier in the host list.
    pub id: Arc<str>,
    /// Duration of a call.
    #[serde(with = "crate::time_text")]
    pub call_time: Duration,
    /// Whether the service answers queries for the outcome of an idempotency key.
    pub tells_outcomes: bool,
    /// Seed of the random generator that decides about faults.
    pub seed: u64,
}

impl Default for ServiceConfig {
    fn default() -> Self {
        Self {
            id: "service".into(),
            call_time: Duration::ZERO,
            tells_outcomes: true,
            seed: 1,
        }
    }
}

/// Fault switches of a [`Service`].
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceFaults {
    /// The call runs but is never answered.
    pub lose_answers: Odds,
    /// The call does not run and is never answered.
    pub ignore: Odds,
    /// The process crashes before the call runs.
    pub crash_before: Odds,
    /// The process crashes after the call ran.
    pub crash_after: Odds,
    /// The response carries another request identifier.
    pub cross_answers: Odds,
    /// Additional duration of each call, in milliseconds.
    pub slow_ms: u64,
}

/// A call that the service started to run.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CallRun {
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Idempotency key, empty if the call had none.
    pub key: String,
    /// Name of the service and path, for example `permits/grants`.
    pub path: String,
    /// Identifier of the request.
    pub request_id: String,
    /// Number of the attempt.
    pub attempt: Attempt,
    /// BLAKE3 hash of the body.
    pub body: Digest,
    /// When it started, in microseconds since the Unix epoch.
    pub at_micros: u64,
}

/// Record of what a [`Service`] did.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct ServiceRecord {
    /// Every call that was started, in order.
    pub runs: Vec<CallRun>,
}

/// Stand-in for a plain service: a ledger of grants, payments and orders.
///
/// It does not deduplicate: a call that is sent twice runs twice.
pub struct Service {
    /// Settings.
    cfg: ServiceConfig,
    /// Mutable state.
    state: Mutex<State>,
    /// Injects faults into the connections.
    fault_tx: FaultSender,
}

struct State {
    /// Record of the calls; durable, so a crash does not clear it.
    record: ServiceRecord,
    /// Outcomes by workspace and idempotency key.
    outcomes: HashMap<(WorkspaceId, String), CallOutcome>,
    /// Fault switches.
    faults: ServiceFaults,
    /// Decides which calls a fault affects.
    rng: ChaCha8Rng,
}

/// The faults that are injected into one call.
struct CallFaults {
    lose_answer: bool,
    ignore: bool,
    crash_before: bool,
    crash_after: bool,
    wrong_request_id: bool,
    delay: Duration,
}

impl Service {
    /// Starts a service that listens on `addr`; port 0 chooses a free port.
    ///
    /// # Errors
    /// [`HttpError::Listen`] if the address can not be bound.
    pub fn start(
        ex: &Executor,
        addr: SocketAddr,
        cfg: ServiceConfig,
    ) -> Result<Running<Self>, Report<HttpError>> {
        let channel = fault_channel();
        let state = State {
            record: ServiceRecord::default(),
            outcomes: HashMap::new(),
            faults: ServiceFaults::default(),
            rng: ChaCha8Rng::seed_from_u64(cfg.seed),
        };
        let service = Arc::new(Self {
            cfg,
            state: Mutex::new(state),
            fault_tx: channel.0.clone(),
        });
        start(ex, addr, service, channel)
    }

    /// Returns a copy of the record of what the service did so far.
    pub fn record(&self) -> ServiceRecord {
        self.lock().record.clone()
    }

    /// Sets the fault switches.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.lock().faults = faults;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn route(self: Arc<Self>, req: Request<Incoming>) -> Result<Response<Body>, StatusCode> {
        let path = req.uri().path().to_owned();
        let parts = segments(&path);
        match (req.method().clone(), parts.as_slice()) {
            (_, ["v1", "services", name, rest @ ..]) => {
                let path = format!("{name}/{}", rest.join("/"));
                self.call(req, path).await
            }
            (Method::GET, ["v1", "outcomes", workspace, key]) => self.outcome(workspace, key).await,
            (Method::GET, ["v1", "record"]) => Ok(json(&self.lock().record)),
            (Method::GET, ["v1", "faults"]) => Ok(json(&self.lock().faults)),
            (Method::PUT, ["v1", "faults"]) => {
                let faults = body_json(req).await?;
                self.lock().faults = faults;
                Ok(status(StatusCode::NO_CONTENT))
            }
            (Method::POST, ["v1", "crash"]) => self.inject(ProcessFault::Crash).await,
            (Method::POST, ["v1", "silence"]) => self.inject(ProcessFault::Silence).await,
            _ => Err(StatusCode::NOT_FOUND),
        }
    }

    async fn inject(&self, fault: ProcessFault) -> Result<Response<Body>, StatusCode> {
        let _ = self.fault_tx.try_send(fault);
        Ok(status(StatusCode::NO_CONTENT))
    }

    async fn call(&self, req: Request<Incoming>, path: String) -> Result<Response<Body>, StatusCode> {
        let headers = req.headers().clone();
        let body = body_bytes(req).await?;
        let faults = self.lock().draw_faults();
        if faults.ignore {
            return never().await;
        }
        if faults.crash_before {
            return self.crash_process().await;
        }
        let run = call_run(&headers, path, &body);
        self.begin(&run).await;
        let delay = self.cfg.call_time + faults.delay;
        if !delay.is_zero() {
            smol::Timer::after(delay).await;
        }
        let answer = self.finish(run).await;
        if faults.crash_after {
            return self.crash_process().await;
        }
        if faults.lose_answer {
            return never().await;
        }
        Ok(reply(&headers, answer, faults.wrong_request_id))
    }

    /// Crashes the process; the call gets no response because its connection closes.
    async fn crash_process(&self) -> Result<Response<Body>, StatusCode> {
        let _ = self.fault_tx.try_send(ProcessFault::Crash);
        never().await
    }

    async fn begin(&self, run: &CallRun) {
        let id = (run.workspace.clone(), run.key.clone());
        let mut state = self.lock();
        state.record.runs.push(run.clone());
        state.outcomes.entry(id).or_insert(CallOutcome::Running);
    }

    /// Records the outcome of a call; returns the body of its response.
    async fn finish(&self, run: CallRun) -> String {
        let receipt = Receipt {
            workspace: run.workspace.clone(),
            path: run.path,
            key: run.key.clone(),
            body: run.body,
        };
        let body = receipt.to_text();
        let outcome = CallOutcome::Ran {
            status: StatusCode::CREATED.as_u16(),
            content_type: "application/json".to_owned(),
            body: body.clone(),
        };
        let id = (run.workspace.clone(), run.key.clone());
        self.lock().outcomes.insert(id, outcome);
        body
    }

    async fn outcome(&self, workspace: &str, key: &str) -> Result<Response<Body>, StatusCode> {
        if !self.cfg.tells_outcomes {
            return Err(StatusCode::NOT_IMPLEMENTED);
        }
        let id = (WorkspaceId::from(workspace), key.to_owned());
        let state = self.lock();
        Ok(json(state.outcomes.get(&id).unwrap_or(&CallOutcome::Unseen)))
    }
}

/// The response of a service to a call. It depends only on the call, so the checker can recompute it.
///
/// ```
/// let receipt = standins::Receipt {
///     workspace: "mill".into(),
///     path: "orders/sacks".to_owned(),
///     key: "k".to_owned(),
///     body: utils::digest(b"{}"),
/// };
/// assert!(receipt.to_text().starts_with(r#"{"workspace":"mill""#));
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Receipt {
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Name of the service and path.
    pub path: String,
    /// Idempotency key.
    pub key: String,
    /// BLAKE3 hash of the call's body.
    pub body: Digest,
}

impl Receipt {
    /// Returns the body of the response, as JSON.
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

impl State {
    fn draw_faults(&mut self) -> CallFaults {
        let Self { faults, rng, .. } = self;
        CallFaults {
            ignore: faults.ignore.applies(rng),
            crash_before: faults.crash_before.applies(rng),
            crash_after: faults.crash_after.applies(rng),
            lose_answer: faults.lose_answers.applies(rng),
            wrong_request_id: faults.cross_answers.applies(rng),
            delay: Duration::from_millis(faults.slow_ms),
        }
    }
}

fn call_run(headers: &HeaderMap, path: String, body: &Bytes) -> CallRun {
    CallRun {
        workspace: header_text(headers, "x-workspace").into(),
        key: header_text(headers, "idempotency-key").to_owned(),
        path,
        request_id: header_text(headers, "x-request-id").to_owned(),
        attempt: header_text(headers, "x-attempt").parse().unwrap_or_default(),
        body: utils::digest(body),
        at_micros: unix_micros(),
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default()
}

fn reply(headers: &HeaderMap, body: String, wrong_request_id: bool) -> Response<Body> {
    let id = if wrong_request_id {
        "ffffffffffffffffffffffffffffffff"
    } else {
        header_text(headers, "x-request-id")
    };
    Response::builder()
        .status(StatusCode::CREATED)
        .header("content-type", "application/json")
        .header("x-request-id", id)
        .header("x-attempt", header_text(headers, "x-attempt"))
        .body(full_body(body))
        .unwrap_or_else(|_| status(StatusCode::BAD_REQUEST))
}

impl StandIn for Service {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> HandlerFuture {
        handler_future(self.route(req))
    }

    fn crash(&self) {
        let mut state = self.lock();
        state
            .outcomes
            .retain(|_, outcome| *outcome != CallOutcome::Running);
    }
}
