use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use errors::ProblemKind;
use http_io::{Body, HeldBody};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderMap, HeaderValue};
use hyper::{Request, Response};
use utils::TargetId;

use super::accept::{accept, draining_refusal, no_memory_refusal, quarantined_part_refusal};
use super::crashes::{may_send_again, record_crash, record_success};
use super::exchange::{Answer, AttemptResult, exchange};
use super::exclusion::Exclusion;
use super::place::{Placed, PlacementError, place, session_for_weights};
use super::refusal::Refusal;
use super::relay::relay;
use super::request::Call;
use super::state::Traffic;
use super::whole_body::{WholeBodyError, read_whole};
use crate::AnswerFacts;
use crate::declared::RetrySafety;
use crate::jitter::jittered;
use crate::suspects::AnswerStage;
use crate::telemetry::DeclaredState;

/// Most sends of one request, including those that targets rejected.
const MAX_SENDS: u32 = 4;
/// Most unreachable targets, and sends given up for lack of a permit, before a request is refused.
const MAX_UNREACHABLE: u32 = 6;
/// Share of a pause that all targets have asked for by which the callers' return is spread after its end.
const PAUSE_SPREAD: f64 = 0.5;
/// Least time left for another send.
const MIN_TIME_LEFT: Duration = Duration::from_millis(10);

/// Counts a request as in flight until it is dropped.
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

/// Routes a caller's request and returns the response.
pub(crate) async fn serve(cx: Arc<Traffic>, req: Request<Incoming>) -> Response<Body> {
    let open = OpenRequest::new(&cx);
    let id = cx.heads.read_call(req.headers());
    let request_id = id.id.clone().unwrap_or_default();
    let accepted = cx.before_last_answers(accept(&cx, req, id)).await;
    let answer = match accepted.unwrap_or_else(|| Err(draining_refusal())) {
        Ok(call) => cx
            .before_last_answers(send_until_answered(&cx, call, open))
            .await
            .ok_or_else(host_ended_refusal),
        Err(refusal) => Err(refusal),
    };
    let mut res = answer.unwrap_or_else(|refusal| {
        log_refusal(&cx, &request_id, &refusal);
        refusal.response(&request_id)
    });
    if cx.is_draining() {
        res.headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    res
}

/// Returns the refusal of a request whose answer has not begun when the host ends.
fn host_ended_refusal() -> Refusal {
    let detail = "this host ends before a target has answered";
    Refusal::may_have_run(ProblemKind::OutcomeUnknown, detail)
}

/// The attempts to send a request so far.
#[derive(Default)]
pub(crate) struct Attempts {
    /// Runs of the targets that the request was sent to or that were unreachable.
    pub tried_targets: Vec<TargetId>,
    /// Sends, including those that targets rejected.
    pub sends: u32,
    /// Sends after which the request may have run.
    pub possible_runs: u32,
    /// Unreachable targets.
    unreachable: u32,
    /// Sends that were given up because the target was cold or has a limit, and this host's quota was used.
    without_permit: u32,
    /// Whether the host had no memory for a connection to a target.
    lacks_memory: bool,
    /// Whether a target answered with a status that promises that the request has not run, without stating that.
    has_unproven_refusal: bool,
    /// Why the last placement failed.
    placement_error: Option<PlacementError>,
    /// A server error that a target answered; it goes to the caller if no later attempt succeeds.
    failure: Option<(hyper::http::response::Parts, HeldBody)>,
}

impl Attempts {
    /// Whether no target has been chosen yet. A target that was tried can still be a candidate, so that
    /// `tried_targets` does not tell.
    pub(crate) fn is_first(&self) -> bool {
        self.sends + self.unreachable + self.without_permit == 0
    }

    /// Whether the quarantine, the route, the time left, a drain and, beyond the first send, the retry budget allow
    /// one more send. Takes a retry from the budget.
    pub(crate) fn may_send(&self, cx: &Traffic, call: &Call) -> bool {
        let is_first_trial = call.is_trial && self.sends == 0;
        if cx.view.load().has_quarantined(&call.shared_parts) && !is_first_trial {
            return false;
        }
        let is_early = cx.now() + MIN_TIME_LEFT < call.deadline;
        let may_run = self.possible_runs == 0 || call.route.retry_safety.is_idempotent();
        let has_attempts = self.possible_runs < call.route.max_targets.max(1) && self.sends < MAX_SENDS;
        let can_finish = cx
            .begin_by(&call.service, call.output_tokens(), call.deadline)
            .is_some();
        let has_targets = self.unreachable + self.without_permit < MAX_UNREACHABLE;
        let is_allowed = is_early && may_run && has_attempts && can_finish && has_targets;
        is_allowed && (self.sends == 0 || cx.take_retry(&call.service))
    }

    /// Records the result of an attempt.
    pub(crate) fn record(&mut self, placed: &Placed, attempt: &AttemptResult) {
        match attempt {
            AttemptResult::NotSent => self.unreachable += 1,
            // The target stays a candidate: placement leaves it out until this host may send to it again.
            AttemptResult::NoPermit => {
                self.without_permit += 1;
                return;
            }
            AttemptResult::NoMemory => self.lacks_memory = true,
            AttemptResult::NotRun(_) => self.sends += 1,
            AttemptResult::Unknown(_)
            | AttemptResult::TimedOut
            | AttemptResult::Withdrawn
            | AttemptResult::HostEnds
            | AttemptResult::Answered(_) => {
                self.sends += 1;
                self.possible_runs += 1;
            }
        }
        // A target that reported a newer weight version takes the request under that version, and stays a
        // candidate.
        let shows_newer = |facts: &AnswerFacts| facts.is_misdirected && facts.weights > placed.weights;
        if !matches!(attempt, AttemptResult::NotRun(facts) if shows_newer(facts)) {
            self.tried_targets.push(placed.target.run.clone());
        }
    }

    fn refusal(&self, cx: &Traffic, call: &Call) -> Refusal {
        if self.possible_runs > 0 {
            let detail = match self.has_unproven_refusal {
                true => "a target refused the request without stating that it has not run",
                false => "a target took the request and did not answer",
            };
            return Refusal::may_have_run(ProblemKind::OutcomeUnknown, detail);
        }
        if self.lacks_memory {
            return no_memory_refusal();
        }
        if cx.view.load().has_quarantined(&call.shared_parts) {
            return quarantined_part_refusal();
        }
        let begin_by = cx.begin_by(&call.service, call.output_tokens(), call.deadline);
        if begin_by.is_none() {
            return draining_refusal();
        }
        match self.placement_error {
            Some(PlacementError::NoCapacity(reason, wait)) => {
                Refusal::not_run(ProblemKind::Overloaded, reason.as_str()).with_retry_after(wait)
            }
            Some(PlacementError::AllPaused(pause)) => {
                // Spread, so that the callers do not return together.
                let wait = pause + jittered(pause.mul_f64(PAUSE_SPREAD / 2.0), 1.0);
                let detail = "every target is paused";
                let refusal = Refusal::not_run(ProblemKind::Overloaded, detail).with_retry_after(wait);
                refusal.with_exclusion(Some(Exclusion::Paused))
            }
            Some(PlacementError::NoTarget(exclusion)) => Refusal::no_target(exclusion),
            None if self.without_permit > 0 => Refusal::no_target(Some(Exclusion::ColdQuotaUsed)),
            None => Refusal::no_target(None),
        }
    }
}

/// Sends a request until a target answers it or no further attempt is allowed.
async fn send_until_answered(cx: &Arc<Traffic>, call: Call, open: OpenRequest) -> Response<Body> {
    cx.record_request(&call.service);
    let mut attempts = Attempts::default();
    while attempts.may_send(cx, &call) {
        let placed = match place(cx, &call, &attempts) {
            Ok(placed) => placed,
            Err(reason) => {
                attempts.placement_error = Some(reason);
                break;
            }
        };
        cx.telemetry.placed(&call, &placed, attempts.sends + 1);
        if let (Some(session), true) = (placed.session, attempts.possible_runs == 0) {
            let now = cx.now();
            let session = session_for_weights(session, placed.weights);
            cx.routing()
                .sessions
                .record_sent(session, placed.target.run.clone(), now);
        }
        let resume_after = call.last_event.clone();
        let attempt = exchange(cx, &call, &placed, resume_after).await;
        attempts.record(&placed, &attempt);
        match attempt {
            AttemptResult::NotSent
            | AttemptResult::NoPermit
            | AttemptResult::NotRun(_)
            | AttemptResult::Withdrawn => {}
            AttemptResult::NoMemory => break,
            AttemptResult::Unknown(broken) => record_crash(cx, &call, &placed.target, broken),
            AttemptResult::TimedOut => {
                return refuse(
                    cx,
                    &call,
                    &Refusal::may_have_run(ProblemKind::DeadlineUnreachable, "no answer in time"),
                );
            }
            AttemptResult::HostEnds => return refuse(cx, &call, &host_ended_refusal()),
            AttemptResult::Answered(answer) => match handle_answer(cx, &call, *answer, &mut attempts).await {
                AnswerAction::Stream(answer) => return relay(cx.clone(), call, *answer, attempts, open),
                AnswerAction::Whole(res) => return res,
                AnswerAction::Retry => {}
            },
        }
    }
    if let Some((parts, body)) = attempts.failure.take() {
        return Response::from_parts(parts, body.into_body());
    }
    refuse(cx, &call, &attempts.refusal(cx, &call))
}

/// How an answer is handled.
enum AnswerAction {
    /// The answer is streamed to the caller.
    Stream(Box<Answer>),
    /// The whole response goes to the caller.
    Whole(Response<Body>),
    /// The answer is a server error, a refusal without proof or incomplete; another attempt may follow.
    Retry,
}

async fn handle_answer(
    cx: &Arc<Traffic>,
    call: &Call,
    answer: Answer,
    attempts: &mut Attempts,
) -> AnswerAction {
    let is_good = answer.parts.status.is_success();
    let is_stream = call.route.retry_safety.is_stream() && !is_json(&answer.parts.headers);
    if is_good && is_stream {
        return AnswerAction::Stream(Box::new(answer));
    }
    let run = answer.exchange.target.run.clone();
    let Answer {
        parts,
        facts,
        body,
        is_unframed,
        exchange,
    } = answer;
    let read = read_whole(call, body, call.deadline.saturating_sub(cx.now())).await;
    let is_cut = is_unframed && exchange.ended_early();
    let read = read.and_then(|whole| match is_cut {
        true => Err(WholeBodyError::Broken),
        false => Ok(whole),
    });
    let whole = match read {
        Ok(whole) => whole,
        Err(WholeBodyError::NoMemory) => {
            let detail = "this host has no memory for the answer";
            let refusal = Refusal::may_have_run(ProblemKind::AnswerCut, detail);
            return AnswerAction::Whole(refuse(cx, call, &refusal));
        }
        Err(reason) => {
            exchange.record_broken();
            // A timeout does not prove a crash.
            if cx.now() < call.deadline {
                let mut broken = exchange.broken(AnswerStage::Head);
                broken.is_connection_lost = reason == WholeBodyError::Broken;
                record_crash(cx, call, &exchange.target, broken);
                if !may_send_again(cx, call, &exchange.target, broken).await {
                    return AnswerAction::Whole(refuse(cx, call, &attempts.refusal(cx, call)));
                }
            }
            return AnswerAction::Retry;
        }
    };
    let times = exchange.answer_times();
    if facts.is_unproven_refusal() {
        cx.telemetry
            .unproven_refusal(&call.id, &exchange.target.instance, parts.status.as_u16());
        exchange.finish(&facts);
        attempts.has_unproven_refusal = true;
        return AnswerAction::Retry;
    }
    exchange.finish(&facts);
    if parts.status.is_server_error() && call.route.retry_safety.is_idempotent() {
        attempts.failure = Some((parts, whole));
        return AnswerAction::Retry;
    }
    if is_good {
        cx.routing().crashes.record_success(&call.fingerprint);
        record_success(cx, call);
        if let Some(times) = times {
            cx.record_run(&call.service, 0, times.first_byte + times.rest, Duration::ZERO);
        }
    }
    cx.telemetry
        .answered(&call.id, &run, parts.status.as_u16(), 0, attempts.sends);
    AnswerAction::Whole(Response::from_parts(parts, whole.into_body()))
}

/// Whether an answer is a JSON document, which has no events even on the route of a stream.
fn is_json(headers: &HeaderMap) -> bool {
    media_type(headers).is_some_and(|media_type| media_type.eq_ignore_ascii_case("application/json"))
}

/// Whether an answer can go on with the events of a stream: its type is that of a stream, or not given.
pub(crate) fn may_have_events(headers: &HeaderMap) -> bool {
    media_type(headers).is_none_or(|media_type| media_type.eq_ignore_ascii_case("text/event-stream"))
}

/// Returns the type of an answer's content, without parameters.
fn media_type(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(CONTENT_TYPE)?.to_str().ok()?;
    value.split(';').next().map(str::trim)
}

fn refuse(cx: &Traffic, call: &Call, refusal: &Refusal) -> Response<Body> {
    log_refusal(cx, &call.id, refusal);
    refusal.response(&call.id)
}

fn log_refusal(cx: &Traffic, id: &str, refusal: &Refusal) {
    let declared = DeclaredState {
        version: cx.view.load().declared.as_ref().map(|declared| declared.version),
        age_ms: cx.declared_age_ms(),
    };
    cx.telemetry.refused(id, refusal, declared);
}

/// Whether another target may continue a broken stream.
pub(crate) fn may_resume(call: &Call) -> bool {
    call.route.retry_safety == RetrySafety::Stream { resumable: true }
}
