use std::net::SocketAddr;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use futures_lite::FutureExt;
use http_io::{Client, HttpError, SseReader, json_body};
use hyper::{Method, Request};
use serde::Serialize;
use serde::de::DeserializeOwned;
use utils::RequestId;

use crate::{
    BoxFuture, CacheEvents, CacheSnapshot, DraftEvent, DraftRequest, DraftStream, Engine, LoadReport, Order,
    OrderReply, TargetError, TransferRequest,
};

/// HTTP status of an engine that does not have the weight version.
const STATUS_VERSION_NOT_LOADED: u16 = 410;

/// Maximum wait for the end of the body after the end event.
const END_OF_BODY_TIMEOUT: Duration = Duration::from_millis(5);

/// HTTP client of a model engine.
///
/// Paths: `POST /v1/drafts` (server-sent events), `DELETE /v1/drafts/{id}`, `GET /v1/load`,
/// `GET /v1/cache/events/{from}`, `GET /v1/cache`, `POST /v1/cache/{import,export}`, `POST /v1/orders`.
#[derive(Clone)]
pub struct HttpEngine {
    /// HTTP client that sends the requests.
    client: Client,
    /// Address of the engine.
    addr: SocketAddr,
}

impl HttpEngine {
    /// Creates a client of the engine at `addr`.
    pub fn new(client: Client, addr: SocketAddr) -> Self {
        Self { client, addr }
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&impl Serialize>,
    ) -> Result<T, Report<TargetError>> {
        self.client
            .call(self.addr, method, path, body)
            .await
            .map_err(into_target_error)
    }

    async fn start(
        &self,
        req: DraftRequest,
        on_new_connection: bool,
    ) -> Result<Box<dyn DraftStream>, Report<TargetError>> {
        let http = Request::builder()
            .method(Method::POST)
            .uri("/v1/drafts")
            .header("host", self.addr.to_string())
            .header("content-type", "application/json")
            .body(json_body(&req))
            .change_context(TargetError::Malformed)?;
        let sent = if on_new_connection {
            self.client.send_on_new_connection(self.addr, http).await
        } else {
            self.client.send(self.addr, http).await
        };
        let res = sent.map_err(into_target_error)?;
        match res.status().as_u16() {
            200 => Ok(Box::new(HttpDraft::new(&req, SseReader::new(res.into_body())))),
            STATUS_VERSION_NOT_LOADED => Err(Report::new(TargetError::VersionNotLoaded)),
            status @ 400..500 | status @ 503 => Err(Report::new(TargetError::Refused(status))),
            _ => Err(Report::new(TargetError::Interrupted)),
        }
    }
}

impl Engine for HttpEngine {
    fn draft(&self, req: DraftRequest) -> BoxFuture<'_, Result<Box<dyn DraftStream>, Report<TargetError>>> {
        Box::pin(self.start(req, false))
    }

    fn draft_on_new_connection(
        &self,
        req: DraftRequest,
    ) -> BoxFuture<'_, Result<Box<dyn DraftStream>, Report<TargetError>>> {
        Box::pin(self.start(req, true))
    }

    fn cancel(&self, request_id: RequestId) -> BoxFuture<'_, Result<(), Report<TargetError>>> {
        let path = format!("/v1/drafts/{request_id:032x}");
        Box::pin(async move { self.call(Method::DELETE, &path, None::<&()>).await })
    }

    fn load(&self) -> BoxFuture<'_, Result<LoadReport, Report<TargetError>>> {
        Box::pin(async move { self.call(Method::GET, "/v1/load", None::<&()>).await })
    }

    fn cache_events(&self, from: u64) -> BoxFuture<'_, Result<CacheEvents, Report<TargetError>>> {
        let path = format!("/v1/cache/events/{from}");
        Box::pin(async move { self.call(Method::GET, &path, None::<&()>).await })
    }

    fn cache_snapshot(&self) -> BoxFuture<'_, Result<CacheSnapshot, Report<TargetError>>> {
        Box::pin(async move { self.call(Method::GET, "/v1/cache", None::<&()>).await })
    }

    fn import(&self, req: TransferRequest) -> BoxFuture<'_, Result<(), Report<TargetError>>> {
        Box::pin(async move { self.call(Method::POST, "/v1/cache/import", Some(&req)).await })
    }

    fn export(&self, req: TransferRequest) -> BoxFuture<'_, Result<(), Report<TargetError>>> {
        Box::pin(async move { self.call(Method::POST, "/v1/cache/export", Some(&req)).await })
    }

    fn order(&self, order: Order) -> BoxFuture<'_, Result<OrderReply, Report<TargetError>>> {
        Box::pin(async move { self.call(Method::POST, "/v1/orders", Some(&order)).await })
    }
}

/// Stream of a draft. Checks that each event belongs to the request and that no token is missing or repeated.
struct HttpDraft<B> {
    /// Reads the server-sent events.
    reader: SseReader<B>,
    /// Request id and attempt that every event must repeat.
    identity: (RequestId, u32),
    /// Index that the next token must have.
    next_index: u32,
    /// Whether the end event was read.
    ended: bool,
}

impl<B> HttpDraft<B> {
    fn new(req: &DraftRequest, reader: SseReader<B>) -> Self {
        Self {
            reader,
            identity: (req.request_id, req.attempt),
            next_index: req.offset,
            ended: false,
        }
    }

    fn check(&mut self, event: &DraftEvent) -> Result<(), TargetError> {
        if (event.request_id, event.attempt) != self.identity {
            return Err(TargetError::WrongRequest);
        }
        if let Some(chunk) = &event.chunk {
            if chunk.index != self.next_index {
                return Err(TargetError::Incomplete);
            }
            self.next_index += 1;
        }
        if let Some(end) = &event.end {
            if end.tokens != self.next_index {
                return Err(TargetError::Incomplete);
            }
            self.ended = true;
        }
        Ok(())
    }
}

impl<B> HttpDraft<B>
where
    B: hyper::body::Body<Data = bytes::Bytes> + Unpin,
{
    /// Reads the end of the body, which returns the connection to the pool. Waits at most
    /// [`END_OF_BODY_TIMEOUT`].
    async fn finish(&mut self) -> Result<(), Report<TargetError>> {
        let timeout = async {
            smol::Timer::after(END_OF_BODY_TIMEOUT).await;
            Ok(None)
        };
        match self.reader.next().or(timeout).await {
            Ok(Some(_)) => Err(Report::new(TargetError::WrongRequest)),
            Ok(None) | Err(_) => Ok(()),
        }
    }
}

impl<B> DraftStream for HttpDraft<B>
where
    B: hyper::body::Body<Data = bytes::Bytes> + Unpin + Send,
    B::Error: Send,
{
    fn next(&mut self) -> BoxFuture<'_, Result<Option<DraftEvent>, Report<TargetError>>> {
        Box::pin(async move {
            let read = self.reader.next().await.map_err(into_target_error)?;
            let Some(sse) = read else {
                return if self.ended {
                    Ok(None)
                } else {
                    Err(Report::new(TargetError::Incomplete))
                };
            };
            if self.ended {
                return Err(Report::new(TargetError::WrongRequest));
            }
            let event: DraftEvent = serde_json::from_str(&sse.data).change_context(TargetError::Malformed)?;
            self.check(&event).map_err(Report::new)?;
            if self.ended {
                self.finish().await?;
            }
            Ok(Some(event))
        })
    }
}

/// Converts an HTTP failure to a failure of the target.
pub(crate) fn into_target_error(report: Report<HttpError>) -> Report<TargetError> {
    let kind = TargetError::from(*report.current_context());
    report.change_context(kind)
}
