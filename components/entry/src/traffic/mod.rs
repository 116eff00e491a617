//! The traffic threads. Each accepts connections and serves them on its own executor.

mod admit;
mod calls;
mod drafts;
mod failure;
mod import;
mod in_flight;
mod once;
mod openai;
mod relay;
mod respond;
mod route;
mod watch;

use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use futures_rustls::TlsAcceptor;
use http_io::{Client, ClientConfig, ConnectionLimits, Executor, Handler, Server, ServerConfig, Shutdown};

use crate::shared::Shared;

/// State that a traffic thread needs to answer requests.
#[derive(Clone)]
pub(crate) struct Context {
    /// State shared by all threads.
    pub shared: Arc<Shared>,
    /// Client for drafts to engines.
    pub engines: Client,
    /// Client for calls to plain services.
    pub services: Client,
}

/// Upper bound of the response timeout of plain services. A release note can only lower it.
const MAX_CALL_TIME: Duration = Duration::from_secs(60);

/// Size of the kernel's buffers of a connection, in bytes.
const SOCKET_BUFFER_BYTES: usize = 64 << 10;

/// Serves callers until `stop` resolves and all open requests have finished, or until `abort` resolves.
pub(crate) fn run(
    shared: Arc<Shared>,
    listener: TcpListener,
    tls: Option<TlsAcceptor>,
    stop: Shutdown,
    abort: Shutdown,
) {
    let limits = &shared.settings.limits;
    let header_timeout = Duration::from_millis(shared.settings.timeouts.header_ms);
    let connection_limits = ConnectionLimits::new(limits.head_bytes, header_timeout, header_timeout);
    let cfg = ServerConfig {
        header_timeout,
        max_headers: limits.headers,
        max_head_bytes: limits.head_bytes,
        tls,
        limits: Some(Arc::new(connection_limits)),
        memory: shared.memory.clone(),
        max_connections: limits.connections / shared.settings.threads.traffic.max(1),
        socket_buffer_bytes: Some(SOCKET_BUFFER_BYTES),
        is_reserved: false,
    };
    let Ok(server) = Server::from_std(listener, cfg) else {
        return;
    };
    let ex: Executor = Arc::new(smol::Executor::new());
    let cx = Context::new(shared, &ex);
    let handler: Handler = Arc::new(move |req| {
        let cx = cx.clone();
        Box::pin(async move { route::answer(cx, req).await })
    });
    smol::block_on(ex.run(server.run_or_abort(ex.clone(), handler, stop, abort)));
}

impl Context {
    fn new(shared: Arc<Shared>, ex: &Executor) -> Self {
        let client = |response_timeout| {
            Client::new(
                ex.clone(),
                ClientConfig {
                    response_timeout,
                    ..ClientConfig::default()
                },
            )
        };
        let first_event = Duration::from_millis(shared.settings.timeouts.first_event_ms);
        Self {
            engines: client(first_event),
            services: client(MAX_CALL_TIME),
            shared,
        }
    }
}
