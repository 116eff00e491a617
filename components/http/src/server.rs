use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use futures_lite::{AsyncRead, AsyncWrite, FutureExt};
use futures_rustls::TlsAcceptor;
use hyper::body::{Body as _, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use policy::HolderPhase;
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::{FuturesIo, SmolTimer};
use socket2::SockRef;

use crate::account::{MemoryAccount, MemoryHolder, Shortage};
use crate::connections::Connections;
use crate::metered::Metered;
use crate::{Body, ConnectionLimits, Executor, HttpError, empty_body};

/// Future of a [`Handler`] that resolves to the response.
pub type HandlerFuture = Pin<Box<dyn Future<Output = Response<Body>> + Send>>;

/// Function that answers a request.
pub type Handler = Arc<dyn Fn(Request<Incoming>) -> HandlerFuture + Send + Sync>;

/// Signal that resolves once its sender is dropped; clones share the signal.
pub type Shutdown = async_channel::Receiver<()>;

/// Returns a sender and the [`Shutdown`] signal that resolves when the sender is dropped.
pub fn shutdown_channel() -> (async_channel::Sender<()>, Shutdown) {
    async_channel::bounded(1)
}

/// Limits of a [`Server`] on requests, and its encryption.
#[derive(Clone)]
pub struct ServerConfig {
    /// Maximum time to receive the head of a request; also the maximum time of a TLS handshake.
    pub header_timeout: Duration,
    /// Maximum number of headers in a request.
    pub max_headers: usize,
    /// Maximum size of the head of a request, in bytes.
    pub max_head_bytes: usize,
    /// Acceptor that encrypts the connections; `None` serves plain TCP.
    pub tls: Option<TlsAcceptor>,
    /// Limits that can change while the server runs. They replace `header_timeout` and `max_head_bytes`, except for the
    /// time of a TLS handshake.
    pub limits: Option<Arc<ConnectionLimits>>,
    /// Account that connections and their requests are charged to.
    pub memory: Arc<MemoryAccount>,
    /// Maximum number of open connections. A new one closes those that have been idle for longest.
    pub max_connections: usize,
    /// Whether connections are accepted without room in the memory budget and are not evicted while idle. Only for
    /// listeners of the system itself whose `max_connections` is small. Bodies are refused as on other listeners.
    pub is_reserved: bool,
    /// Size of the kernel's buffers of each connection, in bytes; `None` lets them grow to megabytes while the process
    /// is slower than its peers.
    pub socket_buffer_bytes: Option<usize>,
}

impl Default for ServerConfig {
    fn default() -> Self {
        Self {
            header_timeout: Duration::from_secs(10),
            max_headers: 64,
            max_head_bytes: 16 << 10,
            tls: None,
            limits: None,
            memory: MemoryAccount::unlimited(),
            max_connections: usize::MAX,
            is_reserved: false,
            socket_buffer_bytes: None,
        }
    }
}

impl ServerConfig {
    /// Returns the size of a connection's buffers.
    fn buffer_bytes(&self) -> usize {
        match &self.limits {
            Some(limits) => limits.buffer_bytes(),
            None => self.max_head_bytes.max(8 << 10),
        }
    }
}

/// An HTTP server with its listening socket.
pub struct Server {
    /// Listening socket.
    listener: TcpListener,
    /// Limits on requests, and encryption.
    cfg: ServerConfig,
}

impl Server {
    /// Listens on an address; port 0 selects a free port.
    ///
    /// # Errors
    /// [`HttpError::Listen`] if the address can not be bound.
    pub fn bind(addr: SocketAddr, cfg: ServerConfig) -> Result<Self, Report<HttpError>> {
        let listener = std::net::TcpListener::bind(addr).change_context(HttpError::Listen)?;
        Self::from_std(listener, cfg)
    }

    /// Builds a server from an open listener, for example a listener that several threads share.
    ///
    /// # Errors
    /// [`HttpError::Listen`] if the listener can not be made non-blocking.
    pub fn from_std(listener: std::net::TcpListener, cfg: ServerConfig) -> Result<Self, Report<HttpError>> {
        if let Some(bytes) = cfg.socket_buffer_bytes {
            // Accepted connections take the sizes over.
            let socket = SockRef::from(&listener);
            socket
                .set_recv_buffer_size(bytes)
                .and_then(|()| socket.set_send_buffer_size(bytes))
                .change_context(HttpError::Listen)?;
        }
        let listener = smol::Async::new(listener)
            .change_context(HttpError::Listen)?
            .into();
        Ok(Self { listener, cfg })
    }

    /// Returns the address that the server listens on.
    ///
    /// # Errors
    /// [`HttpError::Listen`] if the socket's address can not be read.
    pub fn local_addr(&self) -> Result<SocketAddr, Report<HttpError>> {
        self.listener.local_addr().change_context(HttpError::Listen)
    }

    /// Serves connections until `stop` resolves, then finishes all requests in progress and joins the
    /// connections.
    pub async fn run(self, ex: Executor, handler: Handler, stop: Shutdown) {
        let (_abort_sender, abort) = shutdown_channel();
        self.run_or_abort(ex, handler, stop, abort).await;
    }

    /// Serves as [`Server::run`] does, but once `abort` resolves, closes and joins all connections without
    /// finishing their requests.
    pub async fn run_or_abort(self, ex: Executor, handler: Handler, stop: Shutdown, abort: Shutdown) {
        let mut connections = Connections::new(&self.cfg);
        let accept = async {
            while let Some(stream) = self.accept_or_sweep(&stop, &mut connections).await {
                let Some(holder) = connections.make_room().await else {
                    continue;
                };
                let _ = stream.set_nodelay(true);
                let weak = holder.downgrade();
                let serve = serve_stream(stream, self.cfg.clone(), handler.clone(), stop.clone(), holder);
                connections.add(ex.spawn(serve), weak);
            }
        };
        accept.or(resolved(&abort)).await;
        drop(self.listener);
        connections.join().or(resolved(&abort)).await;
        connections.cancel().await;
    }

    /// Accepts the next connection and closes late ones meanwhile; returns `None` once `stop` resolves.
    async fn accept_or_sweep(&self, stop: &Shutdown, connections: &mut Connections) -> Option<TcpStream> {
        loop {
            let sweep = async {
                connections.next_sweep().await;
                None
            };
            let accepted = async { Some(self.accept(stop).await) };
            match accepted.or(sweep).await {
                Some(accepted) => return accepted,
                None => connections.sweep(),
            }
        }
    }

    /// Accepts the next connection; returns `None` once `stop` resolves.
    pub async fn accept(&self, stop: &Shutdown) -> Option<TcpStream> {
        let accept = async {
            loop {
                match self.listener.accept().await {
                    Ok((stream, _)) => return Some(stream),
                    // Accepting fails when file descriptors run out; the pause lets connections end.
                    Err(_) => smol::Timer::after(Duration::from_millis(10)).await,
                };
            }
        };
        accept.or(none_when_stopped(stop)).await
    }
}

async fn resolved(signal: &Shutdown) {
    let _ = signal.recv().await;
}

async fn none_when_stopped<T>(stop: &Shutdown) -> Option<T> {
    let _ = stop.recv().await;
    None
}

async fn serve_stream(
    stream: TcpStream,
    cfg: ServerConfig,
    handler: Handler,
    stop: Shutdown,
    holder: MemoryHolder,
) {
    let Some(acceptor) = cfg.tls.clone() else {
        return serve_held(stream, cfg, handler, stop, holder).await;
    };
    let timed_out = async {
        smol::Timer::after(cfg.header_timeout).await;
        Err(std::io::ErrorKind::TimedOut.into())
    };
    let closed = async {
        until_closed(&holder, std::pin::pin!(std::future::pending::<()>())).await;
        Err(std::io::ErrorKind::ConnectionAborted.into())
    };
    if let Ok(stream) = acceptor.accept(stream).or(timed_out).or(closed).await {
        serve_held(stream, cfg, handler, stop, holder).await;
    }
}

/// Serves a connection until the peer closes it, or until `stop` resolves and the request in progress is
/// finished.
pub async fn serve_connection(
    stream: impl AsyncRead + AsyncWrite + Unpin,
    cfg: ServerConfig,
    handler: Handler,
    stop: Shutdown,
) {
    if let Ok(holder) = cfg.memory.open() {
        serve_held(stream, cfg, handler, stop, holder).await;
    }
}

async fn serve_held(
    stream: impl AsyncRead + AsyncWrite + Unpin,
    cfg: ServerConfig,
    handler: Handler,
    stop: Shutdown,
    holder: MemoryHolder,
) {
    let max_head_bytes = cfg.limits.as_ref().map(|limits| limits.head_bytes());
    let service = service_fn({
        let (holder, memory, limits) = (holder.clone(), cfg.memory.clone(), cfg.limits.clone());
        move |req| {
            // The limit can have been lowered since the connection opened.
            let is_too_large = limits
                .as_ref()
                .is_some_and(|limits| head_bytes(&req) > limits.head_bytes());
            let answer = match is_too_large {
                true => {
                    memory.record(Shortage::HeadTooLarge);
                    None
                }
                false => Some(handler(begin_request(req, &holder))),
            };
            let holder = holder.clone();
            async move {
                let res = match answer {
                    Some(answer) => answer.await,
                    None => head_too_large(),
                };
                holder.record_answered();
                Ok::<_, Infallible>(res.map(|body| AnswerBody { body, holder }))
            }
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(SmolTimer::new())
        .max_headers(cfg.max_headers)
        .max_buf_size(cfg.buffer_bytes());
    match max_head_bytes {
        // The server's sweep closes late connections.
        Some(max) => builder.header_read_timeout(None).max_header_size(max),
        None => builder.header_read_timeout(cfg.header_timeout),
    };
    let stream = Metered::new(stream, holder.clone());
    let conn = builder.serve_connection(FuturesIo::new(stream), service);
    let mut conn = std::pin::pin!(conn);
    let ended = async {
        until_closed(&holder, conn.as_mut()).await;
        true
    };
    let stop = async {
        let _ = stop.recv().await;
        false
    };
    if !ended.or(stop).await {
        conn.as_mut().graceful_shutdown();
        until_closed(&holder, conn).await;
    }
}

/// Runs a connection until it ends or is evicted. Dropping it closes the socket.
async fn until_closed(holder: &MemoryHolder, mut conn: Pin<&mut impl Future>) {
    std::future::poll_fn(|cx| {
        holder.register(cx.waker());
        match holder.must_close() {
            true => Poll::Ready(()),
            false => conn.as_mut().poll(cx).map(|_| ()),
        }
    })
    .await;
}

/// Records that a head has arrived, and attaches the connection to the request.
fn begin_request(mut req: Request<Incoming>, holder: &MemoryHolder) -> Request<Incoming> {
    holder.set_phase(match req.body().is_end_stream() {
        true => HolderPhase::Running,
        false => HolderPhase::Body,
    });
    req.extensions_mut().insert(holder.clone());
    req
}

/// Returns the size of a head in its usual form, in bytes.
fn head_bytes(req: &Request<Incoming>) -> usize {
    const LINE_BYTES: usize = " HTTP/1.1\r\n\r\n".len() + 1;
    const HEADER_BYTES: usize = ": \r\n".len();
    let path = req.uri().path_and_query().map_or(0, |path| path.as_str().len());
    let headers = req.headers().iter();
    let headers = headers.map(|(name, value)| name.as_str().len() + value.len() + HEADER_BYTES);
    req.method().as_str().len() + path + LINE_BYTES + headers.sum::<usize>()
}

fn head_too_large() -> Response<Body> {
    let mut res = Response::new(empty_body());
    *res.status_mut() = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
    res
}

/// Body of an answer. The connection has no request once it is dropped.
struct AnswerBody {
    body: Body,
    holder: MemoryHolder,
}

impl hyper::body::Body for AnswerBody {
    type Data = Bytes;
    type Error = HttpError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, HttpError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        self.holder.set_phase(HolderPhase::Idle);
    }
}
