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

use super::exchange::{Sending, is_worth_repeating, read_rest};
use super::{Caller, Finished, Timing};
use crate::{Arrival, PlannedDraft};

/// Path of drafts.
const PATH: &str = "/v1/completions";
/// Data of the event after the last one.
const DONE: &str = "[DONE]";

/// Longest wait for the end of a body after its last event.
const END_OF_BODY: Duration = Duration::from_millis(200);

/// An object of a streamed answer, as far as a caller needs it.
#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
    error: Option<Problem>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    text: String,
    finish_reason: Option<String>,
}

/// What a caller has so far.
struct Progress {
    /// When the request was due.
    due: Instant,
    /// When the last token came.
    last: Option<Instant>,
    /// The answer so far.
    received: Received,
    /// `id` of the last event, for coming back.
    last_id: Option<String>,
    /// Latencies so far.
    timing: Timing,
}

impl Caller {
    pub(super) async fn draft(&self, arrival: &Arrival, planned: &PlannedDraft, due: Instant) -> Finished {
        let body = json!({"model": &*planned.model, "prompt": &*planned.prompt,
            "max_tokens": planned.max_tokens, "stream": true});
        let body = Bytes::from(body.to_string());
        let mut progress = Progress::new(due);
        let mut exchanges = Vec::new();
        for _ in 0..self.cfg.max_exchanges {
            let exchange = self.draft_exchange(arrival, &body, &mut progress).await;
            let again = is_worth_repeating(&exchange);
            exchanges.push(exchange);
            if progress.received.whole || !again {
                break;
            }
            self.pause().await;
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

    async fn draft_exchange(&self, arrival: &Arrival, body: &Bytes, progress: &mut Progress) -> Exchange {
        let resume = progress.last_id.clone();
        let sending = Sending {
            path: PATH,
            key: self.key(&arrival.workspace),
            header: resume.as_deref().map(|id| ("last-event-id", id)),
            body: resume.is_none().then(|| body.clone()),
        };
        let (mut exchange, res) = self.exchange(self.next_entry(), &sending).await;
        exchange.is_resume = resume.is_some();
        match res {
            Some(res) if exchange.status == 200 => {
                read_stream(res, &mut exchange, progress, self.cfg.patience).await;
            }
            Some(res) => {
                read_rest(&mut exchange, res).await;
                // The draft can not be resumed: only a new one can still answer.
                if resume.is_some() && matches!(exchange.status, 410 | 502) {
                    progress.start_over();
                }
            }
            None => {}
        }
        exchange
    }
}

async fn read_stream(
    res: Response<PooledBody>,
    exchange: &mut Exchange,
    progress: &mut Progress,
    patience: Duration,
) {
    let mut reader = SseReader::new(res.into_body());
    loop {
        let late = async {
            smol::Timer::after(patience).await;
            Ok(None)
        };
        let Ok(Some(event)) = reader.next().or(late).await else {
            break;
        };
        if progress.take(event, exchange) {
            // Reads the end of the body, so that the connection can be used again.
            let late = async {
                smol::Timer::after(END_OF_BODY).await;
                Ok(None)
            };
            let _ = reader.next().or(late).await;
            break;
        }
    }
    exchange.ended_at = unix_micros();
}

impl Progress {
    fn new(due: Instant) -> Self {
        Self {
            due,
            last: None,
            received: Received::default(),
            last_id: None,
            timing: Timing::default(),
        }
    }

    fn start_over(&mut self) {
        self.received = Received::default();
        self.last_id = None;
    }

    /// Takes an event; true after the last one.
    fn take(&mut self, event: SseEvent, exchange: &mut Exchange) -> bool {
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
        self.last_id = event.id.or(self.last_id.take());
        for choice in chunk.choices {
            if choice.finish_reason.is_none() {
                self.token(choice.text);
            } else {
                exchange.outcome = Some(Outcome::Ran);
            }
        }
        false
    }

    fn token(&mut self, text: String) {
        let now = Instant::now();
        match self.last {
            Some(last) => self.timing.between.push(now - last),
            None => self.timing.first = Some(now - self.due),
        }
        self.last = Some(now);
        self.received.tokens.push(text);
    }
}
