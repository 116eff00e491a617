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
use crate::reply::{body_bytes, body_json, handled, json, never, segments, status};
use crate::running::{Control, Running, StandIn, Strike, control_channel, start, unix_micros};

/// Settings of a [`Service`].
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceConfig {
    /// Name in the host list.
    pub id: Arc<str>,
    /// Time that a call takes.
    #[serde(with = "crate::time_text")]
    pub call_time: Duration,
    /// Whether the service can be asked for the outcome of a key.
    pub tells_outcomes: bool,
    /// Seed of the faults.
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
    /// The call runs and its answer is lost with the connection.
    pub lose_answers: Odds,
    /// The call does not run and is never answered.
    pub ignore: Odds,
    /// The process dies before the call runs.
    pub crash_before: Odds,
    /// The process dies after the call ran.
    pub crash_after: Odds,
    /// The answer carries another request's identifier.
    pub cross_answers: Odds,
    /// Added to each call, in milliseconds.
    pub slow_ms: u64,
}

/// A call that ran.
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
    /// Number of the try.
    pub attempt: Attempt,
    /// BLAKE3 hash of the body.
    pub body: Digest,
    /// When it ran, in microseconds since the Unix epoch.
    pub at_micros: u64,
}

/// What a [`Service`] did.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct ServiceRecord {
    /// Every call that ran, in order.
    pub runs: Vec<CallRun>,
}

/// Stand-in for a plain service: a ledger of grants, payments and orders. It runs whatever it is sent, also twice.
pub struct Service {
    /// Settings.
    cfg: ServiceConfig,
    /// What changes.
    state: Mutex<State>,
    /// Reaches the connections.
    control: Control,
}

struct State {
    /// What ran; a ledger outlives its process.
    record: ServiceRecord,
    /// Outcomes by workspace and key.
    outcomes: HashMap<(WorkspaceId, String), CallOutcome>,
    /// Fault switches.
    faults: ServiceFaults,
    /// Decides about faults.
    rng: ChaCha8Rng,
}

/// The faults that hit one call.
struct Hits {
    lose_answer: bool,
    ignore: bool,
    crash_before: bool,
    crash_after: bool,
    cross: bool,
    delay: Duration,
}

impl Service {
    /// Starts a service that listens on `addr`; port 0 takes a free one.
    ///
    /// # Errors
    /// [`HttpError::Listen`] if the address can not be had.
    pub fn start(
        ex: &Executor,
        addr: SocketAddr,
        cfg: ServiceConfig,
    ) -> Result<Running<Self>, Report<HttpError>> {
        let channel = control_channel();
        let state = State {
            record: ServiceRecord::default(),
            outcomes: HashMap::new(),
            faults: ServiceFaults::default(),
            rng: ChaCha8Rng::seed_from_u64(cfg.seed),
        };
        let service = Arc::new(Self {
            cfg,
            state: Mutex::new(state),
            control: channel.0.clone(),
        });
        start(ex, addr, service, channel)
    }

    /// What the service did so far.
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
            (Method::POST, ["v1", "crash"]) => self.strike(Strike::Crash).await,
            (Method::POST, ["v1", "silence"]) => self.strike(Strike::Silence).await,
            _ => Err(StatusCode::NOT_FOUND),
        }
    }

    async fn strike(&self, strike: Strike) -> Result<Response<Body>, StatusCode> {
        let _ = self.control.try_send(strike);
        Ok(status(StatusCode::NO_CONTENT))
    }

    async fn call(&self, req: Request<Incoming>, path: String) -> Result<Response<Body>, StatusCode> {
        let headers = req.headers().clone();
        let body = body_bytes(req).await?;
        let hits = self.lock().hits();
        if hits.ignore {
            return never().await;
        }
        if hits.crash_before {
            return self.die().await;
        }
        let run = run_of(&headers, path, &body);
        self.begin(&run).await;
        let delay = self.cfg.call_time + hits.delay;
        if !delay.is_zero() {
            smol::Timer::after(delay).await;
        }
        let answer = self.finish(run).await;
        if hits.crash_after {
            return self.die().await;
        }
        if hits.lose_answer {
            return never().await;
        }
        Ok(reply(&headers, answer, hits.cross))
    }

    /// Dies; the answer never comes since its connection closes.
    async fn die(&self) -> Result<Response<Body>, StatusCode> {
        let _ = self.control.try_send(Strike::Crash);
        never().await
    }

    async fn begin(&self, run: &CallRun) {
        let id = (run.workspace.clone(), run.key.clone());
        let mut state = self.lock();
        state.record.runs.push(run.clone());
        state.outcomes.entry(id).or_insert(CallOutcome::Running);
    }

    /// Ends a call; gives its answer.
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

/// What the caller of a ledger gets back; the same for the same call, so that a checker can compute it again.
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
    /// The body of the answer.
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

impl State {
    fn hits(&mut self) -> Hits {
        let Self { faults, rng, .. } = self;
        Hits {
            ignore: faults.ignore.hits(rng),
            crash_before: faults.crash_before.hits(rng),
            crash_after: faults.crash_after.hits(rng),
            lose_answer: faults.lose_answers.hits(rng),
            cross: faults.cross_answers.hits(rng),
            delay: Duration::from_millis(faults.slow_ms),
        }
    }
}

fn run_of(headers: &HeaderMap, path: String, body: &Bytes) -> CallRun {
    CallRun {
        workspace: text(headers, "x-workspace").into(),
        key: text(headers, "idempotency-key").to_owned(),
        path,
        request_id: text(headers, "x-request-id").to_owned(),
        attempt: text(headers, "x-attempt").parse().unwrap_or_default(),
        body: utils::digest(body),
        at_micros: unix_micros(),
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default()
}

fn reply(headers: &HeaderMap, body: String, crossed: bool) -> Response<Body> {
    let id = if crossed {
        "ffffffffffffffffffffffffffffffff"
    } else {
        text(headers, "x-request-id")
    };
    Response::builder()
        .status(StatusCode::CREATED)
        .header("content-type", "application/json")
        .header("x-request-id", id)
        .header("x-attempt", text(headers, "x-attempt"))
        .body(full_body(body))
        .unwrap_or_else(|_| status(StatusCode::BAD_REQUEST))
}

impl StandIn for Service {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> HandlerFuture {
        handled(self.route(req))
    }

    fn crash(&self) {
        let mut state = self.lock();
        state
            .outcomes
            .retain(|_, outcome| *outcome != CallOutcome::Running);
    }
}
