use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::FutureExt;
use futures_lite::stream;
use http_body_util::BodyExt;
use http_io::{Body, HttpError, stream_body};
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::http::response::Parts;
use smol::Timer;
use utils::Monotonic;

use super::crashes::{BrokenAttempt, may_send_again, record_crash, record_success};
use super::exchange::{Answer, AttemptResult, Exchange, exchange};
use super::pipeline::{Attempts, OpenRequest, may_have_events, may_resume};
use super::place::place;
use super::request::Call;
use super::state::Traffic;
use super::stream_events::EventSplitter;
use crate::suspects::AnswerStage;
use crate::{AnswerFacts, StreamTimes, Target};

/// A stream that is passed to the caller. The caller's connection polls it; when the caller disconnects, the
/// stream is dropped together with the target's connection.
struct Relay {
    /// The traffic thread's state.
    cx: Arc<Traffic>,
    /// The request.
    call: Call,
    /// Attempts to send the request so far.
    attempts: Attempts,
    /// Splits the stream at event boundaries.
    splitter: EventSplitter,
    /// Resolves at the request's deadline. One timer serves the whole stream, as setting one for each chunk costs more
    /// than passing the chunk on.
    deadline: Timer,
    /// The target's answer; `None` once it has ended.
    source: Option<Source>,
    /// Counts the request as in flight until the stream ends.
    _open: OpenRequest,
}

/// The target's answer that events are read from.
struct Source {
    /// Body with the events.
    body: Incoming,
    /// Content of the answer's head.
    facts: AnswerFacts,
    /// The exchange with the target.
    exchange: Exchange,
    /// Times of the chunks of events.
    chunks: ChunkTimes,
    /// Whether an end at this point proves nothing: no byte has arrived of an unframed stream that begins with the
    /// first event.
    is_unproven: bool,
}

impl Source {
    /// Creates the source of a stream that begins with the first event, or after the event `after`.
    fn new(answer: Answer, after: Option<&str>) -> (Parts, Self) {
        let source = Self {
            body: answer.body,
            facts: answer.facts,
            exchange: answer.exchange,
            chunks: ChunkTimes::default(),
            is_unproven: answer.is_unframed && after.is_none(),
        };
        (answer.parts, source)
    }
}

/// Times of the chunks of events that a target has sent.
#[derive(Default)]
struct ChunkTimes {
    /// Times of the first and the last chunk.
    bounds: Option<(Monotonic, Monotonic)>,
    /// Longest time between two chunks.
    longest_gap: Duration,
}

impl ChunkTimes {
    fn record(&mut self, now: Monotonic) {
        let (first, last) = self.bounds.unwrap_or((now, now));
        self.longest_gap = self.longest_gap.max(now.saturating_sub(last));
        self.bounds = Some((first, now));
    }

    fn stream_times(&self, events: u64) -> StreamTimes {
        let (first, last) = self.bounds.unwrap_or_default();
        StreamTimes {
            events: events.saturating_sub(1),
            rest: last.saturating_sub(first),
            longest_gap: self.longest_gap,
        }
    }
}

/// The next item read from the target.
enum Next {
    /// Bytes of the body.
    Data(Bytes),
    /// The body has ended.
    End,
    /// The connection broke.
    Broken,
    /// The request's deadline has passed.
    TimedOut,
}

/// Passes a stream to the caller as it arrives.
pub(crate) fn relay(
    cx: Arc<Traffic>,
    call: Call,
    answer: Answer,
    attempts: Attempts,
    open: OpenRequest,
) -> Response<Body> {
    let (mut parts, source) = Source::new(answer, call.last_event.as_deref());
    if may_resume(&call) {
        // After a resume the length can differ from the one that the first target announced.
        parts.headers.remove(CONTENT_LENGTH);
    }
    let splitter = EventSplitter::resume_after(call.last_event.clone());
    let deadline = Timer::after(call.deadline.saturating_sub(cx.now()));
    let relay = Relay {
        deadline,
        cx,
        call,
        attempts,
        splitter,
        source: Some(source),
        _open: open,
    };
    let chunks = stream::unfold(relay, |mut relay| async move {
        let item = relay.next().await?;
        Some((item, relay))
    });
    Response::from_parts(parts, stream_body(chunks))
}

impl Relay {
    /// Returns the next bytes for the caller. An error breaks the response, as it would look complete
    /// otherwise.
    async fn next(&mut self) -> Option<Result<Bytes, HttpError>> {
        loop {
            let was_answered = self.has_events();
            let source = self.source.as_mut()?;
            match read(&mut self.deadline, source).await {
                Next::Data(bytes) => {
                    source.is_unproven &= bytes.is_empty();
                    let whole = self.splitter.push(&bytes);
                    if !whole.is_empty() {
                        source.chunks.record(self.cx.now());
                    }
                    if !was_answered && self.has_events() {
                        record_success(&self.cx, &self.call);
                    }
                    if !whole.is_empty() {
                        return Some(Ok(whole));
                    }
                }
                Next::End if !source.is_unproven && self.splitter.is_between_events() => return self.end(),
                Next::TimedOut => {
                    source.chunks.record(self.cx.now());
                    if let Some(source) = self.source.take() {
                        self.record_stream(&source);
                    }
                    self.log_interrupted("the route's time is up");
                    return Some(Err(HttpError::TimedOut));
                }
                // A stream that ends inside an event, or unframed without a byte, has been broken off.
                Next::End | Next::Broken => {
                    if !self.resume_if_allowed().await {
                        self.log_interrupted("the target broke off");
                        return Some(Err(HttpError::Interrupted));
                    }
                }
            }
        }
    }

    fn end(&mut self) -> Option<Result<Bytes, HttpError>> {
        let source = self.source.take()?;
        let run = source.exchange.target.run.clone();
        if let (Some(times), Some(tokens), 1) = (
            source.exchange.answer_times(),
            self.call.output_tokens(),
            self.attempts.possible_runs,
        ) {
            self.cx
                .record_run(&self.call.service, tokens, times.first_byte, times.rest);
        }
        self.record_stream(&source);
        source.exchange.finish(&source.facts);
        self.cx.routing().crashes.record_success(&self.call.fingerprint);
        let events = self.splitter.progress().events;
        self.cx
            .telemetry
            .answered(&self.call.id, &run, 200, events, self.attempts.sends);
        let rest = self.splitter.finish();
        (!rest.is_empty()).then_some(Ok(rest))
    }

    fn record_stream(&self, source: &Source) {
        // The events of a resumed stream come from several targets.
        let events = match self.attempts.possible_runs {
            1 => self.splitter.progress().events,
            _ => 0,
        };
        let times = source.chunks.stream_times(events);
        let gap_target = self.call.route.gap_target;
        self.cx.record_stream(&source.exchange.target, &times, gap_target);
    }

    /// Whether the caller has received an event.
    fn has_events(&self) -> bool {
        self.splitter.progress().events > 0
    }

    /// Records the broken connection and resumes the stream if it may be sent again.
    async fn resume_if_allowed(&mut self) -> bool {
        let Some((target, broken)) = self.record_broken() else {
            return false;
        };
        may_resume(&self.call)
            && may_send_again(&self.cx, &self.call, &target, broken).await
            && self.resume().await
    }

    fn record_broken(&mut self) -> Option<(Arc<Target>, BrokenAttempt)> {
        self.splitter.discard_partial();
        let source = self.source.take()?;
        let stage = match self.has_events() {
            true => AnswerStage::Events,
            false => AnswerStage::Head,
        };
        let broken = source.exchange.broken(stage);
        source.exchange.record_broken();
        record_crash(&self.cx, &self.call, &source.exchange.target, broken);
        Some((source.exchange.target.clone(), broken))
    }

    /// Resumes the stream at another target after the last whole event; returns whether that succeeded.
    async fn resume(&mut self) -> bool {
        if !self.splitter.is_resumable() {
            return false;
        }
        let after = self.splitter.progress().last_event.clone();
        while self.attempts.may_send(&self.cx, &self.call) {
            let Ok(placed) = place(&self.cx, &self.call, &self.attempts.tried_targets) else {
                return false;
            };
            let attempt = exchange(&self.cx, &self.call, &placed, after.clone()).await;
            self.attempts.record(&placed, &attempt);
            match attempt {
                AttemptResult::NotSent | AttemptResult::NotRun(_) | AttemptResult::Withdrawn => {}
                AttemptResult::Unknown(broken) => {
                    record_crash(&self.cx, &self.call, &placed.target, broken);
                }
                AttemptResult::TimedOut | AttemptResult::HostEnds => return false,
                AttemptResult::Answered(answer) => {
                    // Anything but events would reach the caller in the middle of the stream.
                    if !answer.parts.status.is_success() || !may_have_events(&answer.parts.headers) {
                        continue;
                    }
                    let event = after.as_deref().unwrap_or_default();
                    self.cx
                        .telemetry
                        .resumed(&self.call.id, &placed.target.instance, event);
                    let (_, source) = Source::new(*answer, after.as_deref());
                    self.source = Some(source);
                    return true;
                }
            }
        }
        false
    }

    fn log_interrupted(&self, reason: &'static str) {
        let events = self.splitter.progress().events;
        self.cx.telemetry.cut(&self.call.id, events, reason);
    }
}

async fn read(deadline: &mut Timer, source: &mut Source) -> Next {
    let frame = async {
        loop {
            match source.body.frame().await {
                None => return Next::End,
                Some(Err(_)) => return Next::Broken,
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        return Next::Data(bytes);
                    }
                }
            }
        }
    };
    let timeout = async {
        deadline.await;
        Next::TimedOut
    };
    frame.or(timeout).await
}
