use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use futures_lite::FutureExt;
use hyper::body::{Frame, Incoming, SizeHint};
use hyper::header::{CONTENT_LENGTH, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::{Method, Request, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol::net::TcpStream;

use crate::body::json_body;
use crate::pool::Pool;
use crate::progress::Counted;
use crate::{
    AnswerProgress, Body, Executor, HeldBody, HttpError, MemoryAccount, OutgoingConnection, empty_body,
    read_answer,
};

/// Timeouts and limits of a [`Client`].
#[derive(Debug, Clone)]
pub struct ClientConfig {
    /// Maximum time to open a connection.
    pub connect_timeout: Duration,
    /// Maximum time from sending a request to the head of its response.
    pub response_timeout: Duration,
    /// Idle time after which a connection is not reused.
    pub max_idle: Duration,
    /// Maximum number of idle connections per address.
    pub idle_per_address: usize,
    /// Maximum size of a JSON response body, in bytes.
    pub max_json_bytes: usize,
}

impl Default for ClientConfig {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            response_timeout: Duration::from_secs(2),
            max_idle: Duration::from_secs(20),
            idle_per_address: 256,
            max_json_bytes: 64 << 20,
        }
    }
}

/// HTTP client with a pool of idle connections. The connections run on the given executor.
#[derive(Clone)]
pub struct Client {
    /// Executor that runs the connections.
    ex: Executor,
    /// Timeouts and limits.
    cfg: Arc<ClientConfig>,
    /// Pool of idle connections.
    pool: Arc<Pool>,
    /// Account that answers are charged to.
    memory: Arc<MemoryAccount>,
}

/// Response body that returns its connection to the pool after the last frame.
pub struct PooledBody {
    /// Body as hyper reads it.
    inner: Incoming,
    /// Whether only the end of the connection ends the body.
    is_unframed: bool,
    /// Connection with its pool and address; `None` after the end of the body or an error.
    pooled: Option<(Arc<Pool>, SocketAddr, OutgoingConnection)>,
}

impl PooledBody {
    /// Reads the whole body, at most `limit` bytes, and charges it to the client's account. The connection of a body that
    /// is longer is closed. `progress` shows how much has arrived.
    ///
    /// # Errors
    /// As [`read_answer`].
    pub async fn read_whole(
        self,
        limit: usize,
        progress: &AnswerProgress,
    ) -> Result<HeldBody, Report<HttpError>> {
        let holder = self.pooled.as_ref().map(|(_, _, conn)| conn.memory().clone());
        let holder = holder.ok_or(HttpError::Interrupted)?;
        progress.begin();
        read_answer(Counted::new(self, progress), limit, &holder).await
    }
}

impl Client {
    /// Builds a client whose connections run on `ex`, for a process without a budget.
    pub fn new(ex: Executor, cfg: ClientConfig) -> Self {
        Self::with_memory(ex, cfg, MemoryAccount::unlimited())
    }

    /// Builds a client whose connections run on `ex`. Answers that [`PooledBody::read_whole`] reads are charged to
    /// `memory`.
    ///
    /// ```
    /// use http_io::{Client, ClientConfig, Executor, MemoryAccount};
    ///
    /// let memory = MemoryAccount::for_calls(110 << 20);
    /// let client = Client::with_memory(Executor::default(), ClientConfig::default(), memory.clone());
    /// assert_eq!(memory.connections(), 0);
    /// ```
    pub fn with_memory(ex: Executor, cfg: ClientConfig, memory: Arc<MemoryAccount>) -> Self {
        let pool = Arc::new(Pool::new(cfg.idle_per_address, cfg.max_idle));
        Self {
            ex,
            cfg: Arc::new(cfg),
            pool,
            memory,
        }
    }

    /// Sends a request on an idle connection, or on a new one if there is none or the idle one closed before
    /// the request was sent.
    ///
    /// # Errors
    /// [`HttpError::is_not_sent`] returns whether it is certain that the peer received no part of the
    /// request.
    pub async fn send(
        &self,
        addr: SocketAddr,
        req: Request<Body>,
    ) -> Result<Response<PooledBody>, Report<HttpError>> {
        match self.pool.take(addr) {
            Some(conn) => match self.exchange(addr, conn, req).await {
                Ok(res) => Ok(res),
                Err((e, Some(req))) if e.is_not_sent() => self.send_on_new_connection(addr, req).await,
                Err((e, _)) => Err(Report::new(e)),
            },
            None => self.send_on_new_connection(addr, req).await,
        }
    }

    /// Sends a request on a new connection.
    ///
    /// # Errors
    /// As [`Client::send`].
    pub async fn send_on_new_connection(
        &self,
        addr: SocketAddr,
        req: Request<Body>,
    ) -> Result<Response<PooledBody>, Report<HttpError>> {
        let conn = self.connect(addr).await?;
        self.exchange(addr, conn, req)
            .await
            .map_err(|(e, _)| Report::new(e))
    }

    /// Closes the idle connections to an address.
    pub fn close_idle(&self, addr: SocketAddr) {
        self.pool.close_idle(addr);
    }

    /// Sends a JSON request and reads a JSON response with a success status.
    ///
    /// # Errors
    /// As [`Client::send`] and [`crate::read_json`], and [`HttpError::Status`] for any other status.
    pub async fn call<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        body: Option<&impl Serialize>,
    ) -> Result<T, Report<HttpError>> {
        let req = json_request(addr, method, path, body)?;
        let res = self.send(addr, req).await?;
        if !res.status().is_success() {
            return Err(Report::new(HttpError::Status(res.status().as_u16())));
        }
        let read = async {
            let progress = AnswerProgress::default();
            let held = res
                .into_body()
                .read_whole(self.cfg.max_json_bytes, &progress)
                .await?;
            let (bytes, _charge) = held.join()?;
            serde_json::from_slice(&bytes).change_context(HttpError::Malformed)
        };
        read.or(timeout(self.cfg.response_timeout)).await
    }

    async fn connect(&self, addr: SocketAddr) -> Result<OutgoingConnection, Report<HttpError>> {
        let memory = self.memory.open_for_calls().change_context(HttpError::NoMemory)?;
        let open = async {
            let stream = TcpStream::connect(addr)
                .await
                .change_context(HttpError::Connect)?;
            stream.set_nodelay(true).change_context(HttpError::Connect)?;
            OutgoingConnection::start(&self.ex, stream, memory).await
        };
        let timed_out = async {
            smol::Timer::after(self.cfg.connect_timeout).await;
            Err(Report::new(HttpError::Connect))
        };
        open.or(timed_out).await
    }

    async fn exchange(
        &self,
        addr: SocketAddr,
        mut conn: OutgoingConnection,
        req: Request<Body>,
    ) -> Result<Response<PooledBody>, (HttpError, Option<Request<Body>>)> {
        let answer = async {
            conn.send(req).await.map_err(|mut e| match e.take_message() {
                Some(req) => (HttpError::NotSent, Some(req)),
                None => (HttpError::Interrupted, None),
            })
        };
        let timed_out = async {
            smol::Timer::after(self.cfg.response_timeout).await;
            Err((HttpError::TimedOut, None))
        };
        let (parts, inner) = answer.or(timed_out).await?.into_parts();
        if !is_final(parts.status) {
            return Err((HttpError::Malformed, None));
        }
        let body = PooledBody {
            inner,
            is_unframed: is_unframed(parts.status, &parts.headers),
            pooled: Some((self.pool.clone(), addr, conn)),
        };
        Ok(Response::from_parts(parts, body))
    }
}

impl hyper::body::Body for PooledBody {
    type Data = Bytes;
    type Error = HttpError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, HttpError>>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.inner).poll_frame(cx);
        match polled {
            Poll::Ready(None) => {
                let Some((pool, addr, conn)) = this.pooled.take() else {
                    return Poll::Ready(None);
                };
                if this.is_unframed && !conn.has_written_request() {
                    return Poll::Ready(Some(Err(HttpError::Interrupted)));
                }
                pool.put(addr, conn);
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(_))) => {
                this.pooled = None;
                Poll::Ready(Some(Err(HttpError::Interrupted)))
            }
            Poll::Ready(Some(Ok(frame))) => Poll::Ready(Some(Ok(frame))),
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        false
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// Whether a status can end a request: it is of a class that HTTP defines, and none of an interim answer or of a change of
/// protocol, which no request asks for.
///
/// ```
/// use hyper::StatusCode;
///
/// assert!(http_io::is_final(StatusCode::NOT_FOUND));
/// assert!(!http_io::is_final(StatusCode::SWITCHING_PROTOCOLS));
/// ```
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Whether only the end of the connection ends the body of an answer with this head. Some statuses never have a body.
///
/// ```
/// use hyper::header::{CONTENT_LENGTH, HeaderMap, HeaderValue};
/// use hyper::StatusCode;
///
/// let mut headers = HeaderMap::new();
/// assert!(http_io::is_unframed(StatusCode::OK, &headers));
/// assert!(!http_io::is_unframed(StatusCode::NO_CONTENT, &headers));
/// headers.insert(CONTENT_LENGTH, HeaderValue::from(4));
/// assert!(!http_io::is_unframed(StatusCode::OK, &headers));
/// ```
pub fn is_unframed(status: StatusCode, headers: &HeaderMap) -> bool {
    let has_body = status != StatusCode::NO_CONTENT && status != StatusCode::NOT_MODIFIED;
    has_body && !headers.contains_key(CONTENT_LENGTH) && !headers.contains_key(TRANSFER_ENCODING)
}

async fn timeout<T>(after: Duration) -> Result<T, Report<HttpError>> {
    smol::Timer::after(after).await;
    Err(Report::new(HttpError::TimedOut))
}

fn json_request(
    addr: SocketAddr,
    method: Method,
    path: &str,
    body: Option<&impl Serialize>,
) -> Result<Request<Body>, Report<HttpError>> {
    let host = HeaderValue::from_str(&addr.to_string()).change_context(HttpError::Malformed)?;
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", host)
        .header("content-type", "application/json")
        .body(body.map_or_else(empty_body, |value| json_body(value)))
        .change_context(HttpError::Malformed)
}
