use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::stream;
use http_io::{Body, HttpError, SseEvent, stream_body};
use targets::{DraftChunk, DraftEnd, DraftEvent, DraftRequest, DraftStart};
use utils::{Monotonic, RequestId};

use super::batch::Schedule;
use super::server::Engine;
use crate::answer::Answer;

/// The faults that are injected into the stream of one draft.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DraftFaults {
    /// Delay before the first event.
    pub(crate) delay: Duration,
    /// Whether the events carry another request identifier.
    pub(crate) wrong_request_id: bool,
    /// Whether the stream stops halfway, without an end event.
    pub(crate) cut_short: bool,
    /// Whether the token count of the end event is wrong.
    pub(crate) wrong_count: bool,
    /// Whether the event of the first token is sent twice.
    pub(crate) duplicate: bool,
}

/// The event that the stream sends next.
#[derive(Debug, Clone, Copy)]
enum Step {
    Start,
    Token(u32),
    Duplicate(u32),
    End,
    Done,
}

/// The event stream of one draft for one caller.
pub(crate) struct DraftEvents {
    /// The engine, for its clock and settings.
    engine: Arc<Engine>,
    /// The request.
    req: DraftRequest,
    /// Request identifier in the events.
    request_id: RequestId,
    /// Receives the schedule; closed when the draft is cancelled.
    schedule_rx: async_channel::Receiver<Schedule>,
    /// The tokens and the times at which they are ready; a placeholder until the schedule is received.
    schedule: Schedule,
    /// The event to send next.
    step: Step,
    /// Faults of this stream.
    faults: DraftFaults,
}

impl DraftEvents {
    pub(crate) fn new(
        engine: Arc<Engine>,
        req: DraftRequest,
        schedule_rx: async_channel::Receiver<Schedule>,
        faults: DraftFaults,
    ) -> Self {
        let schedule = Schedule {
            prefill_end: Monotonic::ZERO,
            first_index: req.offset,
            cached_tokens: 0,
            answer: Answer::new(&req.model, req.weight_version, &req.prompt),
            max_tokens: req.max_tokens,
        };
        Self {
            request_id: if faults.wrong_request_id {
                !req.request_id
            } else {
                req.request_id
            },
            engine,
            req,
            schedule_rx,
            schedule,
            step: Step::Start,
            faults,
        }
    }

    /// Converts the events into a response body that sends each when it is ready.
    pub(crate) fn into_body(self) -> Body {
        stream_body(stream::unfold(self, |mut events| async move {
            let chunk = events.next().await?;
            Some((chunk, events))
        }))
    }

    async fn next(&mut self) -> Option<Result<Bytes, HttpError>> {
        let event = match self.step {
            Step::Start => match self.start().await {
                Some(event) => event,
                // The draft was cancelled before it had a schedule.
                None => return Some(Err(HttpError::Interrupted)),
            },
            Step::Token(index) | Step::Duplicate(index) => self.token(index).await,
            Step::End => self.end(),
            Step::Done => return None,
        };
        let data = serde_json::to_string(&event).unwrap_or_default();
        Some(Ok(SseEvent { id: None, data }.to_bytes()))
    }

    async fn start(&mut self) -> Option<DraftEvent> {
        self.schedule = self.schedule_rx.recv().await.ok()?;
        if !self.faults.delay.is_zero() {
            smol::Timer::after(self.faults.delay).await;
        }
        self.step = self.step_at(self.req.offset);
        let mut event = self.event();
        event.start = Some(DraftStart {
            weight_version: self.req.weight_version,
            cached_tokens: self.schedule.cached_tokens,
        });
        Some(event)
    }

    async fn token(&mut self, index: u32) -> DraftEvent {
        let cfg = self.engine.config();
        let position = index.saturating_sub(self.schedule.first_index) + 1;
        let ready = self.schedule.prefill_end + cfg.time_per_output_token * position;
        self.engine.sleep_until(ready).await;
        let is_duplicated =
            self.faults.duplicate && index == self.req.offset && matches!(self.step, Step::Token(_));
        self.step = if is_duplicated {
            Step::Duplicate(index)
        } else {
            self.step_at(index + 1)
        };
        let mut event = self.event();
        event.chunk = Some(DraftChunk {
            index,
            text: self.schedule.answer.token(index),
        });
        event
    }

    fn end(&mut self) -> DraftEvent {
        self.step = Step::Done;
        let mut event = self.event();
        event.end = Some(DraftEnd {
            tokens: self.schedule.max_tokens + u32::from(self.faults.wrong_count),
        });
        event
    }

    fn step_at(&self, index: u32) -> Step {
        if self.faults.cut_short && index >= self.schedule.max_tokens.div_ceil(2) {
            Step::Done
        } else if index < self.schedule.max_tokens {
            Step::Token(index)
        } else {
            Step::End
        }
    }

    fn event(&self) -> DraftEvent {
        DraftEvent {
            request_id: self.request_id,
            attempt: self.req.attempt,
            start: None,
            chunk: None,
            end: None,
        }
    }
}
