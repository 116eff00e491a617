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

/// The faults that hit one draft's stream.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DraftHits {
    /// Added before the first event.
    pub(crate) delay: Duration,
    /// The events carry another identifier.
    pub(crate) cross: bool,
    /// No end event.
    pub(crate) cut_short: bool,
    /// The end event's count is wrong.
    pub(crate) wrong_count: bool,
    /// The first token's event comes twice.
    pub(crate) duplicate: bool,
}

/// What the stream sends next.
#[derive(Debug, Clone, Copy)]
enum Step {
    Start,
    Token(u32),
    Again(u32),
    End,
    Done,
}

/// The events of one draft for one caller.
pub(crate) struct DraftEvents {
    /// Gives the time.
    engine: Arc<Engine>,
    /// The request.
    req: DraftRequest,
    /// Identifier in the events.
    request_id: RequestId,
    /// Brings the schedule.
    notice: async_channel::Receiver<Schedule>,
    /// What is generated, and when.
    schedule: Schedule,
    /// What comes next.
    step: Step,
    /// Faults.
    hits: DraftHits,
}

impl DraftEvents {
    pub(crate) fn new(
        engine: Arc<Engine>,
        req: DraftRequest,
        notice: async_channel::Receiver<Schedule>,
        hits: DraftHits,
    ) -> Self {
        let schedule = Schedule {
            since: Monotonic::ZERO,
            first_index: req.offset,
            cached_tokens: 0,
            answer: Answer::new(&req.model, req.weight_version, &req.prompt),
            max_tokens: req.max_tokens,
        };
        Self {
            request_id: if hits.cross {
                !req.request_id
            } else {
                req.request_id
            },
            engine,
            req,
            notice,
            schedule,
            step: Step::Start,
            hits,
        }
    }

    /// The body that sends the events as they are ready.
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
                // The draft was cancelled.
                None => return Some(Err(HttpError::Interrupted)),
            },
            Step::Token(index) | Step::Again(index) => self.token(index).await,
            Step::End => self.end(),
            Step::Done => return None,
        };
        let data = serde_json::to_string(&event).unwrap_or_default();
        Some(Ok(SseEvent { id: None, data }.to_bytes()))
    }

    async fn start(&mut self) -> Option<DraftEvent> {
        self.schedule = self.notice.recv().await.ok()?;
        if !self.hits.delay.is_zero() {
            smol::Timer::after(self.hits.delay).await;
        }
        self.step = self.step_to(self.req.offset);
        let mut event = self.event();
        event.start = Some(DraftStart {
            weight_version: self.req.weight_version,
            cached_tokens: self.schedule.cached_tokens,
        });
        Some(event)
    }

    async fn token(&mut self, index: u32) -> DraftEvent {
        let cfg = self.engine.config();
        let place = index.saturating_sub(self.schedule.first_index) + 1;
        let ready = self.schedule.since + cfg.time_per_output_token * place;
        self.engine.sleep_until(ready).await;
        let repeats = self.hits.duplicate && index == self.req.offset && matches!(self.step, Step::Token(_));
        self.step = if repeats {
            Step::Again(index)
        } else {
            self.step_to(index + 1)
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
            tokens: self.schedule.max_tokens + u32::from(self.hits.wrong_count),
        });
        event
    }

    fn step_to(&self, index: u32) -> Step {
        if self.hits.cut_short && index >= self.schedule.max_tokens.div_ceil(2) {
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
