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
use super::exchange::{Answer, AttemptResult, exchange, read_whole};
use super::place::{Placed, PlacementError, place, session_for_weights};
use super::refusal::Refusal;
use super::relay::relay;
use super::request::Call;
use super::state::Traffic;
use crate::declared::Repeat;
use crate::jitter::jittered;
use crate::quarantine::Crash;
use crate::{AnswerFacts, Target};

/// Most sends of one request, those that were turned away included.
const MAX_SENDS: u32 = 4;
/// Most targets that could not be reached before a request is refused.
const MAX_UNREACHABLE: u32 = 6;
/// Wait before a refused request is worth another try.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Part of the route's timeout after which a request that found no room is worth another try. Spread, so that those who were
/// refused together do not return together.
const OVERLOAD_RETRY_AFTER_SHARE: f64 = 0.12;
/// Time left below which a request is not sent any more.
const MIN_TIME_LEFT: Duration = Duration::from_millis(10);

/// Counts a request as open while it is held.
pub(crate) struct OpenRequest(Arc<Traffic>);

impl OpenRequest {
    fn new(cx: &Arc<Traffic>) -> Self {
        cx.in_flight.fetch_add(1, Ordering::AcqRel);
        Self(cx.clone())
    }

    fn counter(&self) -> &AtomicUsize {
        &self.0.in_flight
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
        Ok(call) => send_until_answered(&cx, call, open).await,
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
pub(crate) struct Attempts {
    /// Runs of targets that it was sent to or that could not be reached.
    pub tried_targets: Vec<TargetId>,
    /// Sends.
    pub sends: u32,
    /// Sends that may have run.
    pub possible_runs: u32,
    /// Targets that could not be reached.
    unreachable: u32,
    /// Why it had no place at last.
    placement_error: Option<PlacementError>,
    /// A failure that a target answered; delivered if nothing better comes.
    failure: Option<(hyper::http::response::Parts, Bytes)>,
}

impl Attempts {
    /// Whether one more send is allowed: by the route, by the time left and, beyond the first, by the budget of repeats.
    pub(crate) fn may_send(&self, cx: &Traffic, call: &Call) -> bool {
        let is_early = cx.now() + MIN_TIME_LEFT < call.deadline;
        let may_run = self.possible_runs == 0 || call.route.repeat.is_idempotent();
        let has_tries = self.possible_runs < call.route.max_targets.max(1) && self.sends < MAX_SENDS;
        let is_allowed = is_early && may_run && has_tries && self.unreachable < MAX_UNREACHABLE;
        is_allowed && (self.sends == 0 || cx.take_retry(&call.service))
    }

    /// Counts a send.
    pub(crate) fn record(&mut self, placed: &Placed, tried: &AttemptResult) {
        match tried {
            AttemptResult::NotSent => self.unreachable += 1,
            AttemptResult::NotRun(_) => self.sends += 1,
            AttemptResult::Unknown | AttemptResult::TimedOut | AttemptResult::Answered(_) => {
                self.sends += 1;
                self.possible_runs += 1;
            }
        }
        // With the version that it just named, the same target takes the request.
        let shows_newer = |facts: &AnswerFacts| facts.is_misdirected && facts.weights > placed.weights;
        if !matches!(tried, AttemptResult::NotRun(facts) if shows_newer(facts)) {
            self.tried_targets.push(placed.target.run.clone());
        }
    }

    fn refusal(&self, call: &Call) -> Refusal {
        if self.possible_runs > 0 {
            return Refusal::may_have_run(
                ProblemKind::OutcomeUnknown,
                "a target took the request and did not answer",
            );
        }
        match self.placement_error {
            Some(PlacementError::AllFull) => {
                let wait = jittered(call.route.timeout.mul_f64(OVERLOAD_RETRY_AFTER_SHARE), 0.3);
                Refusal::not_run(ProblemKind::Overloaded, "every target is full").with_retry_after(wait)
            }
            _ => Refusal::not_run(ProblemKind::NoTarget, "no target took the request")
                .with_retry_after(NO_TARGET_RETRY_AFTER),
        }
    }
}

/// Sends a request until a target answers it or no further try is allowed.
async fn send_until_answered(cx: &Arc<Traffic>, call: Call, open: OpenRequest) -> Response<Body> {
    cx.record_request(&call.service);
    let mut attempts = Attempts::default();
    while attempts.may_send(cx, &call) {
        let placed = match place(cx, &call, &attempts.tried_targets) {
            Ok(placed) => placed,
            Err(reason) => {
                attempts.placement_error = Some(reason);
                break;
            }
        };
        cx.telemetry.placed(
            &call.id,
            &placed.target.instance,
            &placed.choice,
            attempts.sends + 1,
        );
        if let (Some(session), true) = (call.session_key(), attempts.possible_runs == 0) {
            let now = cx.now();
            let session = session_for_weights(session, placed.weights);
            cx.routing()
                .sessions
                .record_sent(session, placed.target.run.clone(), now);
        }
        let resume_after = call.last_event.clone();
        let tried = exchange(cx, &call, &placed, resume_after).await;
        attempts.record(&placed, &tried);
        match tried {
            AttemptResult::NotSent | AttemptResult::NotRun(_) => {}
            AttemptResult::Unknown => record_crash(cx, &call, &placed.target),
            AttemptResult::TimedOut => {
                return refuse(
                    cx,
                    &call,
                    &Refusal::may_have_run(ProblemKind::DeadlineUnreachable, "no answer in time"),
                );
            }
            AttemptResult::Answered(answer) => match handle_answer(cx, &call, *answer, &mut attempts).await {
                AnswerAction::Stream(answer) => return relay(cx.clone(), call, *answer, attempts, open),
                AnswerAction::Whole(res) => return res,
                AnswerAction::Retry => {}
            },
        }
    }
    if let Some((parts, body)) = attempts.failure.take() {
        return Response::from_parts(parts, full_body(body));
    }
    refuse(cx, &call, &attempts.refusal(&call))
}

/// What becomes of an answer.
enum AnswerAction {
    /// It is passed on as it comes.
    Stream(Box<Answer>),
    /// It goes to the caller whole.
    Whole(Response<Body>),
    /// It is a failure, or broke off; the request may be sent again.
    Retry,
}

async fn handle_answer(
    cx: &Arc<Traffic>,
    call: &Call,
    answer: Answer,
    attempts: &mut Attempts,
) -> AnswerAction {
    let is_good = answer.parts.status.is_success();
    if is_good && call.route.repeat.is_stream() {
        return AnswerAction::Stream(Box::new(answer));
    }
    let run = answer.exchange.target.run.clone();
    let Answer {
        parts,
        facts,
        body,
        exchange,
    } = answer;
    let Some(bytes) = read_whole(body, call.deadline.saturating_sub(cx.now())).await else {
        exchange.record_broken();
        // A target that is only slow has not crashed.
        if cx.now() < call.deadline {
            record_crash(cx, call, &exchange.target);
        }
        return AnswerAction::Retry;
    };
    exchange.finish(&facts);
    if parts.status.is_server_error() && call.route.repeat.is_idempotent() {
        attempts.failure = Some((parts, bytes));
        return AnswerAction::Retry;
    }
    if is_good {
        cx.routing().crashes.record_success(&call.fingerprint);
    }
    cx.telemetry
        .answered(&call.id, &run, parts.status.as_u16(), 0, attempts.sends);
    AnswerAction::Whole(Response::from_parts(parts, full_body(bytes)))
}

/// A target broke off with the request aboard.
pub(crate) fn record_crash(cx: &Traffic, call: &Call, target: &Target) {
    let now = cx.now();
    let count = cx.routing().crashes.record_crash(call.fingerprint, now);
    let crash = Crash {
        fingerprint: call.fingerprint,
        address: target.address,
        count,
    };
    if cx.crashed.try_send(crash).is_err() {
        cx.telemetry.crash_not_shared(&call.id);
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
