use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use futures_lite::{AsyncRead, AsyncWrite, FutureExt};
use futures_rustls::TlsAcceptor;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::{Body, Executor, HttpError};

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
}

impl Default for ServerConfig {
    fn default() -> Self {
        Self {
            header_timeout: Duration::from_secs(10),
            max_headers: 64,
            max_head_bytes: 16 << 10,
            tls: None,
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
        let mut tasks = Vec::new();
        let accept = async {
            while let Some(stream) = self.accept(&stop).await {
                let _ = stream.set_nodelay(true);
                let serve = serve_stream(stream, self.cfg.clone(), handler.clone(), stop.clone());
                tasks.push(ex.spawn(serve));
                tasks.retain(|t| !t.is_finished());
            }
        };
        accept.or(resolved(&abort)).await;
        drop(self.listener);
        let finish = async {
            for task in &mut tasks {
                task.await;
            }
        };
        finish.or(resolved(&abort)).await;
        for task in tasks {
            task.cancel().await;
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

async fn serve_stream(stream: TcpStream, cfg: ServerConfig, handler: Handler, stop: Shutdown) {
    let Some(acceptor) = cfg.tls.clone() else {
        return serve_connection(stream, cfg, handler, stop).await;
    };
    let timed_out = async {
        smol::Timer::after(cfg.header_timeout).await;
        Err(std::io::ErrorKind::TimedOut.into())
    };
    if let Ok(stream) = acceptor.accept(stream).or(timed_out).await {
        serve_connection(stream, cfg, handler, stop).await;
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
    let service = service_fn(move |req| {
        let answer = handler(req);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let conn = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(cfg.header_timeout)
        .max_headers(cfg.max_headers)
        .max_buf_size(cfg.max_head_bytes.max(8 << 10))
        .serve_connection(FuturesIo::new(stream), service);
    let mut conn = std::pin::pin!(conn);
    let ended = async {
        let _ = conn.as_mut().await;
        true
    };
    let stop = async {
        let _ = stop.recv().await;
        false
    };
    if !ended.or(stop).await {
        conn.as_mut().graceful_shutdown();
        let _ = conn.await;
    }
}
