use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use errors::ProblemKind;
use http_io::{Body, full_body};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Request, Response};
use utils::TargetId;

use super::accept::accept;
use super::exchange::{Answer, Tried, exchange, read_whole};
use super::place::{NoPlace, Placed, place, versioned};
use super::refusal::Refusal;
use super::relay::relay;
use super::request::Call;
use super::state::Traffic;
use crate::declared::Repeat;
use crate::jitter::jittered;
use crate::quarantine::Crash;
use crate::{AnswerFacts, Target};

/// Most sends of one request, those that were turned away included.
const MOST_SENDS: u32 = 4;
/// Most targets that could not be reached before a request is refused.
const MOST_UNREACHABLE: u32 = 6;
/// Wait before a refused request is worth another try.
const REFUSED_WAIT: Duration = Duration::from_millis(300);
/// Part of the route's timeout after which a request that found no room is worth another try. Spread, so that those who were
/// refused together do not return together.
const FULL_WAIT_PART: f64 = 0.12;
/// Time left below which a request is not sent any more.
const SHORTEST_USEFUL: Duration = Duration::from_millis(10);

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

    /// Counts a send.
    pub(crate) fn note(&mut self, placed: &Placed, tried: &Tried) {
        match tried {
            Tried::NotSent => self.unreachable += 1,
            Tried::NotRun(_) => self.sends += 1,
            Tried::Unknown | Tried::TimedOut | Tried::Answered(_) => {
                self.sends += 1;
                self.runs += 1;
            }
        }
        // With the version that it just named, the same target takes the request.
        let shows_newer = |facts: &AnswerFacts| facts.is_misdirected && facts.weights > placed.weights;
        if !matches!(tried, Tried::NotRun(facts) if shows_newer(facts)) {
            self.tried.push(placed.target.run.clone());
        }
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
                let wait = jittered(call.route.timeout.mul_f64(FULL_WAIT_PART), 0.3);
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
        if let (Some(session), true) = (call.session_key(), tries.runs == 0) {
            let now = cx.now();
            let session = versioned(session, placed.weights);
            cx.known()
                .sessions
                .note_sent(session, placed.target.run.clone(), now);
        }
        let resume_after = call.last_event.clone();
        let tried = exchange(cx, &call, &placed, resume_after).await;
        tries.note(&placed, &tried);
        match tried {
            Tried::NotSent | Tried::NotRun(_) => {}
            Tried::Unknown => note_crash(cx, &call, &placed.target),
            Tried::TimedOut => {
                return refuse(
                    cx,
                    &call,
                    &Refusal::unknown(ProblemKind::DeadlineUnreachable, "no answer in time"),
                );
            }
            Tried::Answered(answer) => match settle(cx, &call, *answer, &mut tries).await {
                Settled::Stream(answer) => return relay(cx.clone(), call, *answer, tries, open),
                Settled::Whole(res) => return res,
                Settled::Again => {}
            },
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
    let run = answer.exchange.target.run.clone();
    let Answer {
        parts,
        facts,
        body,
        exchange,
    } = answer;
    let Some(bytes) = read_whole(body, call.until.saturating_sub(cx.now())).await else {
        exchange.note_broken();
        // A target that is only slow has not crashed.
        if cx.now() < call.until {
            note_crash(cx, call, &exchange.target);
        }
        return Settled::Again;
    };
    exchange.finish(&facts);
    if parts.status.is_server_error() && call.route.repeat.is_idempotent() {
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
