use std::sync::Arc;
use std::time::Duration;

use futures_lite::FutureExt;
use http_io::{is_final, is_unframed};
use hyper::body::Incoming;
use hyper::http::response::Parts;
use utils::Monotonic;

use super::connect::Connection;
use super::crashes::BrokenAttempt;
use super::open::{OpenError, open};
use super::outgoing::{request, strip_connection_headers};
use super::place::Placed;
use super::request::Call;
use super::state::Traffic;
use super::whole_body::read_refusal;
use crate::Target;
use crate::call::{AnswerFacts, RequestedPause};
use crate::first_token::TimeParts;
use crate::freshness::weights_wait_left;
use crate::load::{SendOutcome, Work};
use crate::suspects::AnswerStage;
use crate::telemetry::SendResult;
use crate::weights_history::Replacement;

/// Time limit for the body of an answer whose head says that the request did not run. The head is enough to
/// send the request to another target; the body is read to keep the connection.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(50);
/// Interval between checks whether the weights of a target that a request waits at have been replaced.
const WEIGHTS_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Pause after another instance has answered at a target's address. The entry of a target that is gone is removed
/// within this time, and one that is back is another run.
const OTHER_INSTANCE_PAUSE: Duration = Duration::from_secs(5);

/// The result of an attempt to send a request to a target.
pub(crate) enum AttemptResult {
    /// No byte of the request reached the target.
    NotSent,
    /// The target is cold or has named a limit, and this host may not send to it any more. No byte of the request reached it.
    NoPermit,
    /// The host has no memory for a connection to the target. No byte of the request reached it.
    NoMemory,
    /// The target states that it did not run the request.
    NotRun(AnswerFacts),
    /// The request was sent, and nothing proves that it did not run.
    Unknown(BrokenAttempt),
    /// The request's deadline has passed.
    TimedOut,
    /// The request waited at replaced weights until it could no longer begin there in time. It may have run.
    Withdrawn,
    /// The host ends before the answer would be complete. The request may have run.
    HostEnds,
    /// The head of an answer has arrived.
    Answered(Box<Answer>),
}

/// An answer whose body has not been read.
pub(crate) struct Answer {
    /// Head of the answer, without hop-by-hop headers.
    pub parts: Parts,
    /// Content of the head.
    pub facts: AnswerFacts,
    /// The body.
    pub body: Incoming,
    /// Whether only the end of the connection ends the body.
    pub is_unframed: bool,
    /// The exchange with the target, which ends when it is dropped.
    pub exchange: Exchange,
}

/// A request at a target. It counts in the target's load until it is dropped. Dropping it also closes the
/// connection, unless [`Exchange::finish`] has returned the connection to the pool.
pub(crate) struct Exchange {
    /// The traffic thread's state.
    cx: Arc<Traffic>,
    /// The target.
    pub target: Arc<Target>,
    /// The connection.
    conn: Option<Connection>,
    /// Resources counted in the target's load; `prefill_tokens` only until the first byte.
    work: Work,
    /// Time at which the request was sent.
    sent_at: Monotonic,
    /// Whether the request is the first on its connection.
    is_fresh: bool,
    /// Parts of the expected time to the first byte.
    expected: TimeParts,
    /// Time from the send to the first byte of the answer.
    first_byte: Option<Duration>,
}

/// Times of an answer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AnswerTimes {
    /// Time from the send to the first byte.
    pub first_byte: Duration,
    /// Time since the first byte.
    pub rest: Duration,
}

impl Exchange {
    /// Records the first byte of the answer in the target's load and health.
    fn record_first_byte(&mut self, call: &Call, facts: &AnswerFacts, status: u16, has_old_weights: bool) {
        let now = self.cx.now();
        let prefill_tokens = std::mem::take(&mut self.work.prefill_tokens);
        let elapsed = now.saturating_sub(self.sent_at);
        self.first_byte = Some(elapsed);
        self.cx.telemetry.first_byte(elapsed);
        if (200..300).contains(&status) && !facts.is_not_run {
            let service = &self.target.service;
            let mut routing = self.cx.routing();
            let pace = routing.paces.entry(service.clone()).or_default();
            pace.observe(&self.expected, elapsed);
        }
        // Callers can give any name.
        let listed = call
            .model()
            .filter(|model| self.target.weights_of(model).is_some());
        self.cx.with_slot(&self.target, |slot| {
            slot.load.record_first_byte(prefill_tokens, self.sent_at);
            if let Some(load) = facts.load {
                slot.load.record_answer_load(load, now);
            }
            if let Some((model, version)) = listed.zip(facts.weights) {
                slot.observe_weights(model, version);
            }
            let outcome = match status {
                _ if facts.is_not_run && has_old_weights => SendOutcome::LoadingWeights,
                _ if facts.is_not_run => SendOutcome::Rejected,
                _ if facts.promises_not_run => SendOutcome::Failed,
                500.. => SendOutcome::Failed,
                _ => SendOutcome::Answered(elapsed),
            };
            // A misdirected request gives no information about the target's load.
            if !facts.is_misdirected {
                slot.load.record_outcome(outcome, now);
            }
        });
    }

    /// Records what the target says of itself. The answer of another instance only says that it has the address.
    fn record_announcements(&self, call: &Call, facts: &AnswerFacts) {
        let now = self.cx.now();
        let run = &self.target.run;
        if facts.is_misdirected {
            // A target with other weights than expected names them.
            if facts.weights.is_none() {
                let mut routing = self.cx.routing();
                routing.announcements.record_pause(run, OTHER_INSTANCE_PAUSE, now);
            }
            return;
        }
        let is_new = facts.is_leaving && self.cx.routing().announcements.record_leaving(run, now);
        if is_new {
            self.cx.telemetry.leaving(&call.id, &self.target.instance);
        }
        self.cx
            .record_limit(&call.id, &self.target, facts.limit, self.sent_at);
        let Some(pause) = facts.pause else { return };
        self.cx
            .telemetry
            .pause_requested(&call.id, &self.target.instance, pause);
        if let RequestedPause::For(pause) = pause {
            self.cx.routing().announcements.record_pause(run, pause, now);
        }
    }

    /// Returns the times of the answer so far; `None` before its first byte.
    pub(crate) fn answer_times(&self) -> Option<AnswerTimes> {
        let first_byte = self.first_byte?;
        let rest = self.cx.now().saturating_sub(self.sent_at + first_byte);
        Some(AnswerTimes { first_byte, rest })
    }

    /// Whether an answer has ended before its request was written, so that the end of the connection does not prove that it is
    /// whole.
    pub(crate) fn ended_early(&self) -> bool {
        self.conn.as_ref().is_some_and(|conn| !conn.has_written_request())
    }

    /// Returns the connection to the pool after the body was read to its end, unless the target closes it.
    pub(crate) fn finish(mut self, facts: &AnswerFacts) {
        let now = self.cx.now();
        let Some(conn) = self.conn.take() else { return };
        self.cx.with_slot(&self.target, |slot| match facts.is_closing {
            true => slot.release(),
            false => slot.put_idle(conn, facts.keep_alive, now),
        });
    }

    /// Returns the connection to the pool although nothing was sent on it.
    fn put_back(mut self) {
        let now = self.cx.now();
        let Some(conn) = self.conn.take() else { return };
        self.cx.with_slot(&self.target, |slot| slot.put_back(conn, now));
    }

    /// Describes the attempt after its connection broke.
    pub(crate) fn broken(&self, stage: AnswerStage) -> BrokenAttempt {
        BrokenAttempt {
            sent_at: self.sent_at,
            stage,
            is_connection_lost: true,
        }
    }

    /// Records that the connection broke.
    pub(crate) fn record_broken(&self) {
        let now = self.cx.now();
        self.cx.with_slot(&self.target, |slot| {
            slot.load.record_outcome(SendOutcome::Failed, now)
        });
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        let (work, sent_at) = (self.work, self.sent_at);
        let is_open = self.conn.take().is_some();
        self.cx.with_slot(&self.target, |slot| {
            slot.load.record_first_byte(work.prefill_tokens, sent_at);
            slot.load.record_end(work);
            if is_open {
                slot.release();
            }
        });
    }
}

/// Sends a request to a target and waits for the head of its answer.
pub(crate) async fn exchange(
    cx: &Arc<Traffic>,
    call: &Call,
    placed: &Placed,
    resume_after: Option<String>,
) -> AttemptResult {
    let attempt = send_to_target(cx, call, placed, resume_after).await;
    let result = match &attempt {
        AttemptResult::NotSent | AttemptResult::NoPermit | AttemptResult::NoMemory => SendResult::NotSent,
        AttemptResult::NotRun(_) => SendResult::NotRun,
        AttemptResult::Unknown(_) | AttemptResult::TimedOut => SendResult::NoAnswer,
        AttemptResult::Withdrawn | AttemptResult::HostEnds => SendResult::Withdrawn,
        AttemptResult::Answered(_) => SendResult::Answered,
    };
    cx.telemetry.sent(&call.id, &placed.target.instance, result);
    attempt
}

async fn send_to_target(
    cx: &Arc<Traffic>,
    call: &Call,
    placed: &Placed,
    resume_after: Option<String>,
) -> AttemptResult {
    let target = placed.target.clone();
    let conn = match open(cx, call, &target).await {
        Ok(conn) => conn,
        Err(OpenError::Unavailable) => return AttemptResult::NotSent,
        Err(OpenError::NoMemory) => return AttemptResult::NoMemory,
    };
    let sent_at = cx.now();
    cx.with_slot(&target, |slot| slot.load.record_start(placed.work, sent_at));
    let mut exchange = Exchange {
        cx: cx.clone(),
        target: target.clone(),
        conn: Some(conn),
        work: placed.work,
        sent_at,
        is_fresh: false,
        expected: placed.choice.parts,
        first_byte: None,
    };
    if !cx.may_send(call, &target) {
        return AttemptResult::NotSent;
    }
    // The weights of the target may have been replaced too long ago by now.
    if stream_wait_left(cx, call, placed.weights).is_some_and(|left| left.is_zero()) {
        return AttemptResult::NotSent;
    }
    let Some(begin_by) = cx.begin_by(&call.service, call.output_tokens(), call.deadline) else {
        return AttemptResult::NotSent;
    };
    let time_left = call.deadline.saturating_sub(cx.now());
    let Some(req) = request(cx, call, placed, time_left, resume_after) else {
        return AttemptResult::NotSent;
    };
    if !cx.may_use_permit(placed) || !cx.may_use_limit_permit(placed) {
        exchange.put_back();
        return AttemptResult::NoPermit;
    }
    let Some(conn) = exchange.conn.as_mut() else {
        return AttemptResult::NotSent;
    };
    exchange.is_fresh = conn.record_call(call.number);
    let answer = async { Ok(conn.send(req).await) };
    let timeout = async {
        smol::Timer::after(begin_by.saturating_sub(cx.now())).await;
        match begin_by < call.deadline {
            true => Err(AttemptResult::HostEnds),
            false => Err(AttemptResult::TimedOut),
        }
    };
    let withdrawal = async {
        wait_for_weights_deadline(cx, call, placed.weights).await;
        Err(AttemptResult::Withdrawn)
    };
    let res = match answer.or(timeout).or(withdrawal).await {
        Err(ended) => return ended,
        Ok(Ok(res)) => res,
        Ok(Err(mut e)) => {
            let is_sent = e.take_message().is_none();
            if is_sent {
                exchange.record_broken();
            }
            return if is_sent {
                AttemptResult::Unknown(exchange.broken(AnswerStage::NoHead))
            } else {
                AttemptResult::NotSent
            };
        }
    };
    let (parts, body) = res.into_parts();
    classify_answer(cx, call, placed, exchange, parts, body).await
}

/// Waits until a stream must not begin any more on the weights that it was placed on. Does not return while they
/// are current, nor for a request whose answer begins only after its run.
async fn wait_for_weights_deadline(cx: &Traffic, call: &Call, weights: Option<u64>) {
    loop {
        let left = stream_wait_left(cx, call, weights).unwrap_or(WEIGHTS_CHECK_INTERVAL);
        if left.is_zero() {
            return;
        }
        smol::Timer::after(left.min(WEIGHTS_CHECK_INTERVAL)).await;
    }
}

/// Returns how much longer a stream may wait for its first byte at a target with these weights; `None` without a
/// limit.
fn stream_wait_left(cx: &Traffic, call: &Call, weights: Option<u64>) -> Option<Duration> {
    if !call.route.retry_safety.is_stream() {
        return None;
    }
    let replacement = cx.view.load().replacement(call.model(), weights, cx.now());
    weights_wait_left(replacement, cx.settings.bounds.weights_deadline)
}

/// Classifies an answer by its head.
async fn classify_answer(
    cx: &Traffic,
    call: &Call,
    placed: &Placed,
    mut exchange: Exchange,
    mut parts: Parts,
    body: Incoming,
) -> AttemptResult {
    let view = cx.view.load();
    let named = call.model().and_then(|model| view.weights.get(model));
    let has_old_weights = named.is_some_and(|named| placed.weights < Some(named.newest()));
    let facts = cx.heads.read_answer(parts.status.as_u16(), &parts.headers);
    if !is_final(parts.status) || !is_answer_to(call, &facts, exchange.is_fresh) {
        // The answer to this request can not be identified any more.
        return AttemptResult::Unknown(exchange.broken(AnswerStage::NoHead).on_open_connection());
    }
    exchange.record_first_byte(call, &facts, parts.status.as_u16(), has_old_weights);
    exchange.record_announcements(call, &facts);
    if facts.is_not_run || facts.is_misdirected {
        let time_left = call.deadline.saturating_sub(cx.now());
        let rest = read_refusal(call, body, time_left.min(REFUSAL_TIMEOUT)).await;
        if rest.is_ok() {
            exchange.finish(&facts);
        }
        return AttemptResult::NotRun(facts);
    }
    if parts.status.is_success() {
        log_replaced_weights(cx, call, &exchange, facts.weights.or(placed.weights));
    }
    let is_unframed = is_unframed(parts.status, &parts.headers);
    strip_connection_headers(&mut parts.headers);
    AttemptResult::Answered(Box::new(Answer {
        parts,
        facts,
        body,
        is_unframed,
        exchange,
    }))
}

/// Whether an answer is the answer to the call. Targets repeat the id of a request, so an answer without one on a kept
/// connection can be bytes that the target sent after an earlier answer.
fn is_answer_to(call: &Call, facts: &AnswerFacts, is_fresh: bool) -> bool {
    match &facts.id {
        Some(id) => *id == call.id,
        None => is_fresh || call.id.is_empty(),
    }
}

/// Records the answer if it began on replaced weights.
fn log_replaced_weights(cx: &Traffic, call: &Call, exchange: &Exchange, weights: Option<u64>) {
    let now = cx.now();
    let age = match cx.view.load().replacement(call.model(), weights, now) {
        Replacement::Current => return,
        Replacement::Since(age) => Some(age),
        Replacement::SinceUnknown => None,
    };
    let waited = now.saturating_sub(exchange.sent_at);
    cx.telemetry
        .replaced_weights_used(&call.id, &exchange.target.instance, age, waited);
}
