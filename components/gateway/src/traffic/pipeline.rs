use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use errors::ProblemKind;
use futures_lite::FutureExt;
use http_io::{Body, HttpError, full_body, read_limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, Uri};
use utils::{ModelId, Monotonic, ServiceId, TargetId};

use super::admit::{Admitted, admit};
use super::exchange::{Answer, Tried, exchange, read_whole, run_of};
use super::place::{NoPlace, place, versioned};
use super::refusal::Refusal;
use super::relay::relay;
use super::state::Traffic;
use crate::declared::{Repeat, Route, Workspace};
use crate::kept::{salt_of, wall_of};
use crate::placement::Demand;
use crate::quarantine::{Crash, Fingerprint};
use crate::sessions::SessionKey;
use crate::{CallFacts, PromptShape, Target};

/// Most sends of one request, those that were turned away included.
const MOST_SENDS: u32 = 4;
/// Most targets that could not be reached before a request is refused.
const MOST_UNREACHABLE: u32 = 6;
/// Wait before a refused request is worth another try.
const REFUSED_WAIT: Duration = Duration::from_millis(300);
/// Time until the first token at a loaded engine.
const LONGEST_READ: Duration = Duration::from_millis(1_500);
/// Time for each token at a loaded engine.
const LONGEST_TOKEN: Duration = Duration::from_millis(20);
/// Wait before a request that was aboard crashes is worth another try; it may be innocent.
const QUARANTINE_WAIT: Duration = Duration::from_secs(5);
/// Wait before a request that came to a leaving host is worth a try at another.
const LEAVING_WAIT: Duration = Duration::from_millis(100);
/// Part of the route's timeout after which a request that found no room is worth another try. Spread, so that those who were
/// refused together do not return together.
const FULL_WAIT_PART: f64 = 0.12;
/// Time left below which a request is not sent any more.
const SHORTEST_USEFUL: Duration = Duration::from_millis(10);

/// A request on its way.
pub(crate) struct Call {
    /// Identifier that the caller gave it.
    pub id: String,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target_uri: Uri,
    /// Headers as they came.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Route.
    pub route: Arc<Route>,
    /// Service that was drawn for it.
    pub service: ServiceId,
    /// Workspace.
    pub workspace: Option<Arc<Workspace>>,
    /// Prompt.
    pub prompt: Option<PromptShape>,
    /// Last event that the caller has.
    pub last_event: Option<String>,
    /// When its time is up.
    pub until: Monotonic,
    /// Names it among the requests that crash targets.
    pub fingerprint: Fingerprint,
}

impl Call {
    pub(crate) fn model(&self) -> Option<&ModelId> {
        self.prompt.as_ref().map(|prompt| &prompt.model)
    }

    /// What placement has to weigh.
    pub(crate) fn demand(&self) -> Demand {
        let prompt = self.prompt.as_ref();
        Demand {
            tokens: prompt.map_or(0, |p| p.tokens_in),
            shared_tokens: prompt.map_or(0, PromptShape::shared_tokens),
            memory: prompt.map_or(0, |p| p.tokens_in + p.tokens_out / 2),
            rank: self.rank().unwrap_or(0),
            latency_target: self.route.latency_target,
        }
    }

    /// Names what the prompt shares with others.
    pub(crate) fn session_key(&self) -> Option<SessionKey> {
        let prompt = self.prompt.as_ref()?;
        let part = prompt.session()?;
        let wall = wall_of(self.workspace.as_deref());
        let text = format!("{wall}\n{}\n{}", prompt.model, part.id);
        let digest = utils::digest(text.as_bytes());
        let mut first = [0; 8];
        first.copy_from_slice(&digest.as_bytes()[..8]);
        Some(u64::from_le_bytes(first))
    }

    /// Kept cache is shared only under the same name: the workspace if it is isolated, and the weight version.
    pub(crate) fn cache_salt(&self, weights: Option<u64>) -> Option<String> {
        Some(salt_of(
            self.workspace.as_deref(),
            self.model()?,
            weights.unwrap_or(0),
        ))
    }

    /// Rank at the target: the workspace's goes before the route's.
    pub(crate) fn rank(&self) -> Option<u8> {
        self.prompt.as_ref()?;
        let workspace = self.workspace.as_ref().and_then(|w| w.priority);
        Some(workspace.unwrap_or(self.route.priority).min(9))
    }
}

/// Counts a request as open while it is held.
pub(crate) struct OpenRequest(Arc<Traffic>);

impl OpenRequest {
    fn new(cx: &Arc<Traffic>) -> Self {
        cx.open.fetch_add(1, Ordering::AcqRel);
        Self(cx.clone())
    }

    fn counter(&self) -> &AtomicUsize {
        &self.0.open
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.counter().fetch_sub(1, Ordering::AcqRel);
    }
}

/// Answers a caller's request.
pub(crate) async fn serve(cx: Arc<Traffic>, req: Request<Incoming>) -> Response<Body> {
    let open = OpenRequest::new(&cx);
    let id = cx.heads.read_call(req.headers());
    let request_id = id.id.clone().unwrap_or_default();
    let mut res = match accept(&cx, req, id).await {
        Ok(call) => run(&cx, call, open).await,
        Err(refusal) => {
            log_refusal(&cx, &request_id, &refusal);
            refusal.response(&request_id)
        }
    };
    if cx.is_draining() {
        res.headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    res
}

/// Checks a request and reads its body.
async fn accept(cx: &Arc<Traffic>, req: Request<Incoming>, facts: CallFacts) -> Result<Call, Refusal> {
    let started = cx.now();
    let (parts, body) = req.into_parts();
    let view = cx.view.load_full();
    let Admitted {
        route,
        workspace,
        declared,
    } = admit(&view, &parts, &facts)?;
    let wait = facts.deadline.unwrap_or(route.timeout).min(route.timeout);
    let until = started + wait;
    if !cx.can_finish(until.min(started + longest_run(&facts))) {
        let refusal = Refusal::not_run(ProblemKind::NotServing, "this host is about to end");
        return Err(refusal.after(LEAVING_WAIT));
    }
    let body = read_body(body, declared.limits.body_bytes, wait).await?;
    let service = draw_service(&route);
    let workspace_name = workspace.as_ref().map_or("", |w| &w.name);
    let target_uri = parts.uri.path_and_query().map_or("/", |p| p.as_str());
    let fingerprint = Fingerprint::of(target_uri, workspace_name, &body);
    if view.quarantined.contains(&fingerprint) || cx.known().crashes.is_quarantined(&fingerprint) {
        let detail = "targets that ran this request have crashed";
        return Err(Refusal::not_run(ProblemKind::NoTarget, detail).after(QUARANTINE_WAIT));
    }
    let malformed = Refusal::not_run(ProblemKind::MalformedRequest, "the path can not be read");
    Ok(Call {
        id: facts.id.unwrap_or_default(),
        target_uri: target_uri.parse().map_err(|_| malformed)?,
        method: parts.method,
        headers: parts.headers,
        body,
        route,
        service,
        workspace,
        prompt: facts.prompt,
        last_event: facts.last_event,
        until,
        fingerprint,
    })
}

/// How long a request may take at a loaded engine, by the tokens that it may generate; unknown without.
fn longest_run(facts: &CallFacts) -> Duration {
    let tokens = facts.prompt.as_ref().map(|prompt| prompt.tokens_out);
    tokens.map_or(Duration::MAX / 2, |tokens| LONGEST_READ + LONGEST_TOKEN * tokens)
}

async fn read_body(body: Incoming, limit: usize, wait: Duration) -> Result<Bytes, Refusal> {
    let read = async { Some(read_limited(body, limit).await) };
    let late = async {
        smol::Timer::after(wait).await;
        None
    };
    match read.or(late).await {
        Some(Ok(bytes)) => Ok(bytes),
        Some(Err(e)) => Err(match e.current_context() {
            HttpError::TooLarge { .. } => {
                Refusal::not_run(ProblemKind::BodyTooLarge, "the body is too large")
            }
            _ => Refusal::not_run(ProblemKind::MalformedRequest, "the body ended early"),
        }),
        None => Err(Refusal::not_run(
            ProblemKind::SlowSender,
            "the body did not arrive in time",
        )),
    }
}

/// Draws one of the route's services by weight.
fn draw_service(route: &Route) -> ServiceId {
    let total: u32 = route.services.iter().map(|s| s.weight).sum();
    let mut draw = rand::random_range(0..total.max(1));
    for share in &route.services {
        if draw < share.weight {
            return share.service.clone();
        }
        draw -= share.weight;
    }
    route
        .services
        .first()
        .map_or_else(ServiceId::default, |s| s.service.clone())
}

/// How far a request's tries got.
#[derive(Default)]
pub(crate) struct Tries {
    /// Runs of targets that it was sent to or that could not be reached.
    pub tried: Vec<TargetId>,
    /// Sends.
    pub sends: u32,
    /// Sends that may have run.
    pub runs: u32,
    /// Targets that could not be reached.
    unreachable: u32,
    /// Why it had no place at last.
    no_place: Option<NoPlace>,
    /// A failure that a target answered; delivered if nothing better comes.
    failure: Option<(hyper::http::response::Parts, Bytes)>,
}

impl Tries {
    /// Whether one more send is allowed: by the route, by the time left and, beyond the first, by the budget of repeats.
    pub(crate) fn may_send(&self, cx: &Traffic, call: &Call) -> bool {
        let is_early = cx.now() + SHORTEST_USEFUL < call.until;
        let may_run = self.runs == 0 || call.route.repeat.is_idempotent();
        let has_tries = self.runs < call.route.max_targets.max(1) && self.sends < MOST_SENDS;
        let is_allowed = is_early && may_run && has_tries && self.unreachable < MOST_UNREACHABLE;
        is_allowed && (self.sends == 0 || cx.take_repeat(&call.service))
    }

    fn refusal(&self, call: &Call) -> Refusal {
        if self.runs > 0 {
            return Refusal::unknown(
                ProblemKind::OutcomeUnknown,
                "a target took the request and did not answer",
            );
        }
        match self.no_place {
            Some(NoPlace::Full) => {
                let wait = call
                    .route
                    .timeout
                    .mul_f64(FULL_WAIT_PART * (0.7 + 0.6 * rand::random::<f64>()));
                Refusal::not_run(ProblemKind::Overloaded, "every target is full").after(wait)
            }
            _ => Refusal::not_run(ProblemKind::NoTarget, "no target took the request").after(REFUSED_WAIT),
        }
    }
}

/// Sends a request until a target answers it or no further try is allowed.
async fn run(cx: &Arc<Traffic>, call: Call, open: OpenRequest) -> Response<Body> {
    cx.note_request(&call.service);
    let mut tries = Tries::default();
    while tries.may_send(cx, &call) {
        let placed = match place(cx, &call, &tries.tried) {
            Ok(placed) => placed,
            Err(reason) => {
                tries.no_place = Some(reason);
                break;
            }
        };
        cx.telemetry
            .placed(&call.id, &placed.target.instance, &placed.choice, tries.sends + 1);
        let run = crate::weights::run_id(&placed.target);
        if let (Some(session), true) = (call.session_key(), tries.runs == 0) {
            let now = cx.now();
            let session = versioned(session, placed.weights);
            cx.known().sessions.note_sent(session, run.clone(), now);
        }
        let resume_after = call.last_event.clone();
        match exchange(cx, &call, &placed, resume_after).await {
            Tried::NotSent => {
                tries.unreachable += 1;
                tries.tried.push(run);
            }
            Tried::NotRun(facts) => {
                tries.sends += 1;
                // With the version that it just named, the same target takes the request.
                let shows_newer = facts.is_misdirected && facts.weights > placed.weights;
                if !shows_newer {
                    tries.tried.push(run);
                }
            }
            Tried::Unknown => {
                tries.sends += 1;
                tries.runs += 1;
                note_crash(cx, &call, &placed.target);
                tries.tried.push(run);
            }
            Tried::TimedOut => {
                return refuse(
                    cx,
                    &call,
                    &Refusal::unknown(ProblemKind::DeadlineUnreachable, "no answer in time"),
                );
            }
            Tried::Answered(answer) => {
                tries.sends += 1;
                tries.runs += 1;
                match settle(cx, &call, *answer, &mut tries).await {
                    Settled::Stream(answer) => return relay(cx.clone(), call, *answer, tries, open),
                    Settled::Whole(res) => return res,
                    Settled::Again => {}
                }
            }
        }
    }
    if let Some((parts, body)) = tries.failure.take() {
        return Response::from_parts(parts, full_body(body));
    }
    refuse(cx, &call, &tries.refusal(&call))
}

/// What becomes of an answer.
enum Settled {
    /// It is passed on as it comes.
    Stream(Box<Answer>),
    /// It goes to the caller whole.
    Whole(Response<Body>),
    /// It is a failure, or broke off; the request may be sent again.
    Again,
}

async fn settle(cx: &Arc<Traffic>, call: &Call, answer: Answer, tries: &mut Tries) -> Settled {
    let is_good = answer.parts.status.is_success();
    if is_good && call.route.repeat.is_stream() {
        return Settled::Stream(Box::new(answer));
    }
    let run = run_of(&answer.exchange);
    let Answer {
        parts,
        facts,
        body,
        exchange,
    } = answer;
    let Some(bytes) = read_whole(body, call.until.saturating_sub(cx.now())).await else {
        exchange.note_broken();
        note_crash(cx, call, &exchange.target);
        tries.tried.push(run);
        return Settled::Again;
    };
    exchange.finish(&facts);
    if parts.status.is_server_error() && call.route.repeat.is_idempotent() {
        tries.tried.push(run);
        tries.failure = Some((parts, bytes));
        return Settled::Again;
    }
    if is_good {
        cx.known().crashes.note_success(&call.fingerprint);
    }
    cx.telemetry
        .answered(&call.id, &run, parts.status.as_u16(), 0, tries.sends);
    Settled::Whole(Response::from_parts(parts, full_body(bytes)))
}

/// A target broke off with the request aboard.
pub(crate) fn note_crash(cx: &Traffic, call: &Call, target: &Target) {
    let now = cx.now();
    let count = cx.known().crashes.note_crash(call.fingerprint, now);
    let crash = Crash {
        fingerprint: call.fingerprint,
        address: target.address,
        count,
    };
    if cx.crashed.try_send(crash).is_err() {
        cx.telemetry.crash_untold(&call.id);
    }
}

fn refuse(cx: &Traffic, call: &Call, refusal: &Refusal) -> Response<Body> {
    log_refusal(cx, &call.id, refusal);
    refusal.response(&call.id)
}

fn log_refusal(cx: &Traffic, id: &str, refusal: &Refusal) {
    cx.telemetry.refused(id, refusal.outcome, refusal.detail);
}

/// Whether a broken stream may go on at another target.
pub(crate) fn may_resume(call: &Call) -> bool {
    call.route.repeat == Repeat::Stream { resumable: true }
}
