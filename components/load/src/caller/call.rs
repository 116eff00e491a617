use std::time::Instant;

use bytes::Bytes;
use checker::{CallBody, CallerRequest, Exchange, Received, Work};

use super::exchange::{RequestParts, is_retryable, read_rest};
use super::{Caller, Finished, Timing};
use crate::{Arrival, PlannedCall};

impl Caller {
    /// Calls a plain service, with retries under the same idempotency key.
    pub(super) async fn call(&self, arrival: &Arrival, planned: &PlannedCall, due: Instant) -> Finished {
        let mut exchanges: Vec<Exchange> = Vec::new();
        let mut received = Received::default();
        let mut timing = Timing::default();
        for _ in 0..self.cfg.max_exchanges {
            let (exchange, body) = self.call_exchange(arrival, planned).await;
            let retry = is_retryable(&exchange);
            let answered = (200..300).contains(&exchange.status) && exchange.ended_well;
            exchanges.push(exchange);
            if answered {
                received.whole = true;
                received.body = body.unwrap_or_default();
                timing.first = Some(due.elapsed());
            }
            if answered || !retry {
                break;
            }
            self.wait_before_retry().await;
        }
        timing.whole = due.elapsed();
        let work = CallBody {
            service: planned.service.clone(),
            path: planned.path.clone(),
            key: planned.key.clone(),
            body: utils::digest(planned.body.as_bytes()),
            repeatable: planned.repeatable,
        };
        let request = CallerRequest {
            number: arrival.number,
            workspace: arrival.workspace.clone(),
            work: Work::Call(work),
            exchanges,
            received,
        };
        Finished { request, timing }
    }

    /// Sends the call once; returns the record of the exchange and the body of the answer.
    async fn call_exchange(&self, arrival: &Arrival, planned: &PlannedCall) -> (Exchange, Option<String>) {
        let path = format!("/v1/services/{}/{}", planned.service, planned.path);
        let parts = RequestParts {
            path: &path,
            api_key: self.api_key(&arrival.workspace),
            extra_header: Some(("idempotency-key", &planned.key)),
            body: Some(Bytes::from(planned.body.clone())),
        };
        let (mut exchange, res) = self.send_request(self.next_entry(), &parts).await;
        let body = match res {
            Some(res) => read_rest(&mut exchange, res).await,
            None => None,
        };
        (exchange, body)
    }
}
