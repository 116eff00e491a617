use std::time::{Duration, Instant};

use bytes::Bytes;
use checker::{CallerRequest, DraftBody, Exchange, Received, Work};
use errors::{Outcome, Problem};
use futures_lite::FutureExt;
use http_io::{PooledBody, SseEvent, SseReader};
use hyper::Response;
use serde::Deserialize;
use serde_json::json;
use standins::unix_micros;

use super::exchange::{RequestParts, is_retryable, read_rest};
use super::{Caller, Finished, Timing};
use crate::{Arrival, PlannedDraft};

/// Path of the API for drafts.
const PATH: &str = "/v1/completions";
/// Data of the event that ends a complete stream.
const DONE: &str = "[DONE]";

/// Timeout for the end of a body after its last event.
const BODY_END_TIMEOUT: Duration = Duration::from_millis(200);

/// Fields of a streamed object that a caller uses.
#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
    error: Option<Problem>,
}

/// Fields of a choice in a [`Chunk`] that a caller uses.
#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    text: String,
    finish_reason: Option<String>,
}

/// State of a draft over all of its exchanges.
struct Progress {
    /// Time at which the request was due.
    due: Instant,
    /// Time at which the latest token was received.
    last_token_at: Option<Instant>,
    /// Answer received so far.
    received: Received,
    /// `id` of the latest event, sent to resume the stream.
    last_event_id: Option<String>,
    /// Latencies measured so far.
    timing: Timing,
}

impl Caller {
    /// Requests a draft, with retries, and resumes its stream after an interruption.
    pub(super) async fn draft(&self, arrival: &Arrival, planned: &PlannedDraft, due: Instant) -> Finished {
        let body = json!({"model": &*planned.model, "prompt": &*planned.prompt,
            "max_tokens": planned.max_tokens, "stream": true});
        let body = Bytes::from(body.to_string());
        let mut progress = Progress::new(due);
        let mut exchanges = Vec::new();
        for _ in 0..self.cfg.max_exchanges {
            let exchange = self.draft_exchange(arrival, &body, &mut progress).await;
            let retry = is_retryable(&exchange);
            exchanges.push(exchange);
            if progress.received.whole || !retry {
                break;
            }
            self.wait_before_retry().await;
        }
        progress.timing.whole = due.elapsed();
        let request = CallerRequest {
            number: arrival.number,
            workspace: arrival.workspace.clone(),
            work: Work::Draft(DraftBody {
                model: planned.model.clone(),
                prompt: planned.prompt.clone(),
                max_tokens: planned.max_tokens,
            }),
            exchanges,
            received: progress.received,
        };
        Finished {
            request,
            timing: progress.timing,
        }
    }

    /// Sends the draft once, or resumes it if an event was received before.
    async fn draft_exchange(&self, arrival: &Arrival, body: &Bytes, progress: &mut Progress) -> Exchange {
        let resume = progress.last_event_id.clone();
        let parts = RequestParts {
            path: PATH,
            api_key: self.api_key(&arrival.workspace),
            extra_header: resume.as_deref().map(|id| ("last-event-id", id)),
            body: resume.is_none().then(|| body.clone()),
        };
        let (mut exchange, res) = self.send_request(self.next_entry(), &parts).await;
        exchange.is_resume = resume.is_some();
        match res {
            Some(res) if exchange.status == 200 => {
                read_stream(res, &mut exchange, progress, self.cfg.progress_timeout).await;
            }
            Some(res) => {
                read_rest(&mut exchange, res).await;
                // The draft can not be resumed: a further exchange has to start a new draft.
                if resume.is_some() && matches!(exchange.status, 410 | 502) {
                    progress.reset();
                }
            }
            None => {}
        }
        exchange
    }
}

/// Reads the events of a stream until it ends, fails or exceeds `progress_timeout`.
async fn read_stream(
    res: Response<PooledBody>,
    exchange: &mut Exchange,
    progress: &mut Progress,
    progress_timeout: Duration,
) {
    let mut reader = SseReader::new(res.into_body());
    loop {
        let timeout = async {
            smol::Timer::after(progress_timeout).await;
            Ok(None)
        };
        let Ok(Some(event)) = reader.next().or(timeout).await else {
            break;
        };
        if progress.apply_event(event, exchange) {
            // Reads the body to its end, which makes the connection reusable.
            let timeout = async {
                smol::Timer::after(BODY_END_TIMEOUT).await;
                Ok(None)
            };
            let _ = reader.next().or(timeout).await;
            break;
        }
    }
    exchange.ended_at = unix_micros();
}

impl Progress {
    fn new(due: Instant) -> Self {
        Self {
            due,
            last_token_at: None,
            received: Received::default(),
            last_event_id: None,
            timing: Timing::default(),
        }
    }

    /// Discards the partial answer; the latencies stay.
    fn reset(&mut self) {
        self.received = Received::default();
        self.last_event_id = None;
    }

    /// Applies an event of the stream. Returns whether the stream has ended.
    fn apply_event(&mut self, event: SseEvent, exchange: &mut Exchange) -> bool {
        if event.data == DONE {
            self.received.whole = true;
            exchange.ended_well = true;
            return true;
        }
        let Ok(chunk) = serde_json::from_str::<Chunk>(&event.data) else {
            return true;
        };
        if let Some(problem) = chunk.error {
            exchange.outcome = Some(problem.outcome);
            exchange.ended_well = true;
            exchange.status = problem.status;
            return true;
        }
        self.last_event_id = event.id.or(self.last_event_id.take());
        for choice in chunk.choices {
            if choice.finish_reason.is_none() {
                self.record_token(choice.text);
            } else {
                exchange.outcome = Some(Outcome::Ran);
            }
        }
        false
    }

    /// Records a token and its latency.
    fn record_token(&mut self, text: String) {
        let now = Instant::now();
        match self.last_token_at {
            Some(last_token_at) => self.timing.between.push(now - last_token_at),
            None => self.timing.first = Some(now - self.due),
        }
        self.last_token_at = Some(now);
        self.received.tokens.push(text);
    }
}
