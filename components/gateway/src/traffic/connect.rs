use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use futures_lite::FutureExt;
use http_io::{Body, Executor, HttpError, MemoryAccount, OutgoingConnection};
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::{Request, Response};
use smol::net::TcpStream;
use socket2::{SockRef, TcpKeepalive};
use utils::Monotonic;

/// Time limit for opening a connection: a round trip between regions, and the handshake with a busy target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time without an acknowledgement of sent bytes after which the connection is closed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Idle time before the first keep-alive probe, and the time between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which the connection is closed.
const MAX_UNANSWERED_PROBES: u32 = 2;

/// Number of a caller's request at this host.
pub(crate) type CallNumber = u64;

/// An open connection to a target; dropping it closes the socket.
pub(crate) struct Connection {
    /// The connection, charged to the account of callers and targets.
    inner: OutgoingConnection,
    /// Address that it was opened to.
    pub address: SocketAddr,
    /// Time until which it may be used while it is idle, by the last answer; `None` before the first one.
    pub usable_until: Option<Monotonic>,
    /// The last call that was sent on it.
    last_call: Option<CallNumber>,
}

impl Connection {
    /// Sends a request and waits for the head of its answer.
    pub(crate) async fn send(
        &mut self,
        req: Request<Body>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Body>>> {
        self.inner.send(req).await
    }

    /// Whether the last request has been written to its end.
    pub(crate) fn has_written_request(&self) -> bool {
        self.inner.has_written_request()
    }

    /// Whether a request can be sent now.
    pub(crate) fn is_ready(&self) -> bool {
        self.inner.is_ready()
    }

    /// Whether the connection has ended.
    pub(crate) fn is_closed(&self) -> bool {
        self.inner.is_closed()
    }

    /// Records a call that is sent now; returns whether it is the first.
    pub(crate) fn record_call(&mut self, call: CallNumber) -> bool {
        self.last_call.replace(call).is_none()
    }

    /// Whether this call was sent last, so that late copies of its answer look like the answer to another send of
    /// it.
    pub(crate) fn has_last_sent(&self, call: CallNumber) -> bool {
        self.last_call == Some(call)
    }
}

/// Opens a connection that detects the failure of its peer by itself. An error of [`HttpError::NoMemory`] says nothing
/// about the peer.
pub(crate) async fn connect(
    ex: &Executor,
    memory: &Arc<MemoryAccount>,
    address: SocketAddr,
) -> Result<Connection, Report<HttpError>> {
    let memory = memory.open_outgoing().change_context(HttpError::NoMemory)?;
    let open = async {
        let stream = TcpStream::connect(address)
            .await
            .change_context(HttpError::Connect)?;
        configure_socket(&stream).change_context(HttpError::Connect)?;
        OutgoingConnection::start(ex, stream, memory).await
    };
    let timeout = async {
        smol::Timer::after(CONNECT_TIMEOUT).await;
        Err(Report::new(HttpError::Connect))
    };
    Ok(Connection {
        inner: open.or(timeout).await?,
        address,
        usable_until: None,
        last_call: None,
    })
}

fn configure_socket(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(MAX_UNANSWERED_PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}
