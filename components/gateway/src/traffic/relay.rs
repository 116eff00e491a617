use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use futures_lite::FutureExt;
use futures_lite::stream;
use http_body_util::BodyExt;
use http_io::{Body, Charge, HeldBody, HttpError, OutOfMemory, stream_body};
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::http::response::Parts;

use super::crashes::{BrokenAttempt, may_send_again, record_crash, record_success};
use super::exchange::{Answer, AttemptResult, Exchange, exchange};
use super::origin_record::{OriginRecord, hold_origin};
use super::pipeline::{Attempts, OpenRequest, may_have_events, may_resume};
use super::place::place;
use super::request::Call;
use super::state::Traffic;
use super::stream_events::EventSplitter;
use crate::suspects::AnswerStage;
use crate::{AnswerFacts, Target};

/// Longest part that is passed to the caller's connection at once, in bytes. The connection copies it into a buffer that
/// is not charged, and asks for the next part once the caller has read.
const PART_BYTES: usize = 16 << 10;

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
    /// Parts of events that the caller's connection has not taken.
    parts: VecDeque<Bytes>,
    /// Charge of the parts and of the splitter's buffer.
    charge: Charge,
    /// The target's answer; `None` once it has ended.
    source: Option<Source>,
    /// The record of the software version that begins the stream, until an event is passed on.
    record: Option<OriginRecord>,
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
    /// Whether an end at this point proves nothing: no byte has arrived of an unframed stream that begins with the
    /// first event.
    is_unproven: bool,
    /// Whether only the end of the connection ends the answer.
    is_unframed: bool,
}

impl Source {
    /// Creates the source of a stream that begins with the first event, or after the event `after`.
    fn new(answer: Answer, after: Option<&str>) -> (Parts, Self) {
        let source = Self {
            body: answer.body,
            facts: answer.facts,
            exchange: answer.exchange,
            is_unproven: answer.is_unframed && after.is_none(),
            is_unframed: answer.is_unframed,
        };
        (answer.parts, source)
    }

    /// Whether the end of the body is that of the answer.
    fn is_whole(&self) -> bool {
        let is_cut = self.is_unframed && self.exchange.ended_early();
        !(self.is_unproven || is_cut)
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
    mut call: Call,
    answer: Answer,
    attempts: Attempts,
    open: OpenRequest,
) -> Response<Body> {
    let (mut parts, source) = Source::new(answer, call.last_event.as_deref());
    match may_resume(&call) {
        // After a resume the length can differ from the one that the first target announced.
        true => drop(parts.headers.remove(CONTENT_LENGTH)),
        // The request is not sent again, so its memory is released.
        false => call.body = Arc::new(HeldBody::empty(&call.memory)),
    }
    let splitter = EventSplitter::resume_after(call.last_event.clone());
    let target = source.exchange.target.clone();
    let mut relay = Relay {
        cx,
        charge: call.memory.charge(),
        call,
        attempts,
        splitter,
        parts: VecDeque::new(),
        source: Some(source),
        record: None,
        _open: open,
    };
    relay.begin_record(&target);
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
            if !self.parts.is_empty() && !self.may_pass_on().await {
                self.parts.clear();
                self.source = None;
                self.log_interrupted("the version that begins the stream could not be recorded");
                return Some(Err(HttpError::Interrupted));
            }
            if let Some(part) = self.parts.pop_front() {
                // The charge only shrinks here.
                let _ = self.charge_held();
                return Some(Ok(part));
            }
            let source = self.source.as_mut()?;
            match read(&self.cx, &self.call, source).await {
                Next::Data(bytes) => {
                    source.is_unproven &= bytes.is_empty();
                    let was_answered = self.has_events();
                    let whole = self.splitter.push(&bytes);
                    self.add_parts(whole);
                    if self.charge_held().is_err() {
                        self.parts.clear();
                        self.source = None;
                        self.log_interrupted("this host has no memory for the event");
                        return Some(Err(HttpError::NoMemory));
                    }
                    if !was_answered && self.has_events() {
                        self.record_first_event();
                    }
                }
                Next::End if source.is_whole() && self.splitter.is_between_events() => self.end(),
                Next::TimedOut => {
                    self.source = None;
                    self.log_interrupted("the route's time is up");
                    return Some(Err(HttpError::TimedOut));
                }
                // A stream that ends inside an event, or unframed without a byte or before its request was written, has been
                // broken off.
                Next::End | Next::Broken => {
                    if !self.resume_if_allowed().await {
                        self.log_interrupted("the target broke off");
                        return Some(Err(HttpError::Interrupted));
                    }
                }
            }
        }
    }

    /// Records the first event: from now on the stream goes on at targets of the same software version only.
    fn record_first_event(&mut self) {
        record_success(&self.cx, &self.call);
        if let (None, Some(source)) = (&self.call.software, &self.source) {
            hold_origin(&self.cx, &self.call, &source.exchange.target);
            self.call.software = Some(source.exchange.target.software.clone());
        }
    }

    /// Starts the record of a stream that begins at this target, if it needs one. The record can't be taken back, so from now
    /// on the stream goes on at targets of the same software version only, also before its first event.
    fn begin_record(&mut self, target: &Target) {
        if self.call.software.is_none() && !self.has_events() {
            self.record = OriginRecord::begin(&self.cx, &self.call, target);
            self.call.software = self.record.is_some().then(|| target.software.clone());
        }
    }

    /// Waits until the bytes of the first event may be passed on; returns whether they may.
    async fn may_pass_on(&mut self) -> bool {
        let Some(record) = self.record.take() else {
            return true;
        };
        let time_left = self.call.deadline.saturating_sub(self.cx.now());
        record.allows_first_event(time_left).await
    }

    /// Adds bytes for the caller. Large ones are copied, so that each part releases its memory.
    fn add_parts(&mut self, bytes: Bytes) {
        match bytes.len() {
            0 => {}
            1..=PART_BYTES => self.parts.push_back(bytes),
            _ => self
                .parts
                .extend(bytes.chunks(PART_BYTES).map(Bytes::copy_from_slice)),
        }
    }

    fn charge_held(&mut self) -> Result<(), OutOfMemory> {
        let parts = self.parts.iter().map(Bytes::len).sum::<usize>();
        self.charge.resize(parts + self.splitter.held_bytes())
    }

    fn end(&mut self) {
        let Some(source) = self.source.take() else { return };
        let run = source.exchange.target.run.clone();
        if let (Some(times), Some(tokens), 1) = (
            source.exchange.answer_times(),
            self.call.output_tokens(),
            self.attempts.possible_runs,
        ) {
            self.cx
                .record_run(&self.call.service, tokens, times.first_byte, times.rest);
        }
        source.exchange.finish(&source.facts);
        self.cx.routing().crashes.record_success(&self.call.fingerprint);
        let events = self.splitter.progress().events;
        self.cx
            .telemetry
            .answered(&self.call.id, &run, 200, events, self.attempts.sends);
        let rest = self.splitter.finish();
        self.add_parts(rest);
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
            let Ok(placed) = place(&self.cx, &self.call, &self.attempts) else {
                return false;
            };
            self.cx
                .telemetry
                .placed(&self.call, &placed, self.attempts.sends + 1);
            let attempt = exchange(&self.cx, &self.call, &placed, after.clone()).await;
            self.attempts.record(&placed, &attempt);
            match attempt {
                AttemptResult::NotSent
                | AttemptResult::NoPermit
                | AttemptResult::NotRun(_)
                | AttemptResult::Withdrawn => {}
                AttemptResult::Unknown(broken) => {
                    record_crash(&self.cx, &self.call, &placed.target, broken);
                }
                AttemptResult::NoMemory | AttemptResult::TimedOut | AttemptResult::HostEnds => return false,
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
                    self.begin_record(&source.exchange.target);
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

async fn read(cx: &Traffic, call: &Call, source: &mut Source) -> Next {
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
        smol::Timer::after(call.deadline.saturating_sub(cx.now())).await;
        Next::TimedOut
    };
    frame.or(timeout).await
}
